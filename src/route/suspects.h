#ifndef CF_ROUTE_SUSPECTS_H
#define CF_ROUTE_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Requests that crash the backend servers that run them.
 *
 * A run that ends with its connection, or in silence, makes the request a
 * suspect for that life of the server.  The life is taken to have ended when
 * its address refuses a connection, or when a later life is heard of at its
 * address or under its id; its suspects are then marked.  An answer to a later
 * request shows that the life goes on, and clears them.
 *
 * A mark is the set of lives that ended under a request.  Instances tell each
 * other of its elements, so that one crash counts once however many saw it, and
 * two crashes that are seen at the same time count as two.  A run that ends
 * well takes back what was marked before it: requests that ran beside the cause
 * of a crash are cleared that way.  A life that is explained by a request with
 * more crashes does not count against one with fewer.
 *
 * No I/O.  Times are of the monotonic clock.
 */
enum {
	SUSPECTS_RUNS_MAX = 2048, /* runs broken off lately; the oldest yield */
	SUSPECTS_MARKS_MAX = 4096, /* requests; the oldest yield */
	SUSPECTS_LIVES_MAX = 6, /* of one mark; more change nothing */
	SUSPECTS_ENDED_MAX =
	    128, /* lives that ended lately; the oldest yield */
	SU_SUSPECT_US = 15000000, /* a life's end is proved within this */
	SU_MARK_US = 600000000 /* a mark lasts so long after its last crash */
};

/* One life of a backend server. */
struct su_life {
	uint64_t life; /* rg_life_of() */
	uint64_t name; /* hash of its id, the same in its next life */
	uint64_t address;
};

enum su_state {
	SUSPECTS_CRASHED = 1, /* the life ended under the request */
	SU_ACQUITTED = 2 /* the request ran well since; overrides the first */
};

struct su_options {
	const struct alloc *alloc;
	/* Something is proved here; su_take() is for the callee to call. */
	void (*proved)(void *ctx, uint64_t fingerprint, uint64_t life,
	    enum su_state state);
	void *ctx;
};

/* What is known of a request. */
struct su_record {
	uint8_t crashes; /* lives that ended under it */
	uint8_t pending; /* runs that their servers broke off, of which that is
			    not known yet */
	int64_t
	    oldest_us; /* when the oldest of these was broken off; 0: none */
	int64_t marked_us; /* when the mark changed last; 0: none */
	uint64_t lives[SUSPECTS_LIVES_MAX]; /* that count as crashes */
};

struct su;

struct su *su_new(const struct su_options *options);
void su_free(struct su *su);
void su_broken(struct su *su, const struct su_life *life, uint64_t fingerprint,
    bool closed, int64_t now_us);
uint32_t su_answered(
    struct su *su, uint64_t life, int64_t sent_us, int64_t now_us);
uint32_t su_ended(struct su *su, uint64_t life, int64_t now_us);
uint32_t su_succeeded(
    struct su *su, const struct su_life *next, int64_t now_us);
void su_ran_well(struct su *su, uint64_t fingerprint, int64_t now_us);
void su_take(struct su *su, uint64_t fingerprint, uint64_t life,
    enum su_state state, int64_t at_us);
void su_look(struct su *su, uint64_t fingerprint, int64_t now_us,
    struct su_record *record);
uint32_t su_marks(const struct su *su, uint8_t crashes, int64_t now_us);
uint64_t su_dropped(const struct su *su);

#ifdef __cplusplus
}
#endif

#endif
