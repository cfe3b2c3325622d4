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
	SUSPECTS_RUN_TTL_US = 15000000,
	/* Lifetime of a mark after its last crash */
	SUSPECTS_MARK_TTL_US = 600000000
};

/* One life of a backend server. */
struct suspects_life {
	uint64_t life; /* from registry_life_hash() */
	uint64_t name; /* hash of the server's id, which its next life keeps */
	uint64_t address;
};

enum suspects_finding {
	SUSPECTS_CRASHED = 1, /* the life ended under the request */
	/* The request has completed since; overrides SUSPECTS_CRASHED */
	SUSPECTS_ACQUITTED = 2
};

struct suspects_options {
	const struct alloc *alloc;
	/*
	 * Called for each finding made here.  The callee passes it to
	 * suspects_apply_finding() here and at the other instances.
	 */
	void (*proved)(void *ctx, uint64_t fingerprint, uint64_t life,
	    enum suspects_finding state);
	void *ctx;
};

/* What is known of a request. */
struct suspects_summary {
	uint8_t crashes; /* lives that ended under it */
	/*
	 * Runs closed by their servers whose lives are not known to have ended
	 */
	uint8_t pending;
	int64_t oldest_us; /* time of the oldest pending run; 0: none */
	int64_t marked_us; /* time of the last change of its mark; 0: no mark */
	uint64_t lives[SUSPECTS_LIVES_MAX]; /* the lives counted in crashes */
};

struct suspect_table;

struct suspect_table *suspects_new(const struct suspects_options *options);
void suspects_free(struct suspect_table *table);
void suspects_add_broken_run(struct suspect_table *table,
    const struct suspects_life *life, uint64_t fingerprint, bool closed,
    int64_t now_us);
uint32_t suspects_record_answer(struct suspect_table *table, uint64_t life,
    int64_t sent_us, int64_t now_us);
uint32_t suspects_life_ended(
    struct suspect_table *table, uint64_t life, int64_t now_us);
uint32_t suspects_later_life_seen(struct suspect_table *table,
    const struct suspects_life *next, int64_t now_us);
void suspects_acquit(
    struct suspect_table *table, uint64_t fingerprint, int64_t now_us);
void suspects_apply_finding(struct suspect_table *table, uint64_t fingerprint,
    uint64_t life, enum suspects_finding state, int64_t at_us);
void suspects_lookup(struct suspect_table *table, uint64_t fingerprint,
    int64_t now_us, struct suspects_summary *record);
uint32_t suspects_mark_count(
    const struct suspect_table *table, uint8_t crashes, int64_t now_us);
uint64_t suspects_dropped_count(const struct suspect_table *table);

#ifdef __cplusplus
}
#endif

#endif
