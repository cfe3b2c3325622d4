#ifndef CF_ROUTE_SUSPECTS_H
#define CF_ROUTE_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Detection of requests that crash the backend servers that run them (queries
 * of death).
 *
 * A run that ends with its connection closed by the server, or in silence,
 * makes the request a suspect for that life of the server.  The life counts as
 * ended when its address refuses a connection, or when a later life is seen at
 * its address or under its id; its suspects are then marked.  An answer to a
 * later request proves that the life goes on, and clears them.
 *
 * A mark is the set of lives that ended under a request.  Instances exchange
 * the elements of this set, so that one crash counts once no matter how many
 * instances saw it, and two simultaneous crashes count as two.  A run that
 * completes revokes the marks made before it; this clears requests that merely
 * ran beside the cause of a crash.  A life that ended under a request with more
 * crashes does not count against a request with fewer.
 *
 * No I/O.  Times are of the monotonic clock.
 */
enum {
	/* Recent broken runs; the oldest is replaced */
	SUSPECTS_RUNS_MAX = 2048,
	SUSPECTS_MARKS_MAX = 4096, /* marked requests; the oldest is replaced */
	/* Lives in one mark; more would change nothing */
	SUSPECTS_LIVES_MAX = 6,
	/* Lives that ended recently; the oldest is replaced */
	SUSPECTS_ENDED_MAX = 128,
	/*
	 * The end of a life must be seen within this time to mark its suspects
	 */
	SU_SUSPECT_US = 15000000,
	SU_MARK_US = 600000000 /* lifetime of a mark after its last crash */
};

/* One life of a backend server. */
struct su_life {
	uint64_t life; /* from rg_life_of() */
	uint64_t name; /* hash of the server's id, which its next life keeps */
	uint64_t address;
};

enum su_state {
	SUSPECTS_CRASHED = 1, /* the life ended under the request */
	/* The request has completed since; overrides SUSPECTS_CRASHED */
	SU_ACQUITTED = 2
};

struct su_options {
	const struct alloc *alloc;
	/*
	 * Called for each finding made here.  The callee passes it to su_take()
	 * here and at the other instances.
	 */
	void (*proved)(void *ctx, uint64_t fingerprint, uint64_t life,
	    enum su_state state);
	void *ctx;
};

/* What is known of a request. */
struct su_record {
	uint8_t crashes; /* lives that ended under it */
	/*
	 * Runs closed by their servers whose lives are not known to have ended
	 */
	uint8_t pending;
	int64_t oldest_us; /* time of the oldest pending run; 0: none */
	int64_t marked_us; /* time of the last change of its mark; 0: no mark */
	uint64_t lives[SUSPECTS_LIVES_MAX]; /* the lives counted in crashes */
};

struct su;

struct su *su_new(const struct su_options *options);
void su_free(struct su *table);
void su_broken(struct su *table, const struct su_life *life,
    uint64_t fingerprint, bool closed, int64_t now_us);
uint32_t su_answered(
    struct su *table, uint64_t life, int64_t sent_us, int64_t now_us);
uint32_t su_ended(struct su *table, uint64_t life, int64_t now_us);
uint32_t su_succeeded(
    struct su *table, const struct su_life *next, int64_t now_us);
void su_ran_well(struct su *table, uint64_t fingerprint, int64_t now_us);
void su_take(struct su *table, uint64_t fingerprint, uint64_t life,
    enum su_state state, int64_t at_us);
void su_look(struct su *table, uint64_t fingerprint, int64_t now_us,
    struct su_record *record);
uint32_t su_marks(const struct su *table, uint8_t crashes, int64_t now_us);
uint64_t su_dropped(const struct su *table);

#ifdef __cplusplus
}
#endif

#endif
