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
 * of death), and of parts of prompts that do so in whatever request.
 *
 * The possible causes of a crash are the requests that ran on the server, each
 * as a whole, and the shared parts of their prompts.  A mark is kept for each
 * possible cause.
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
 * ran beside the cause of a crash.  A life that ended under a cause with more
 * crashes does not count against a cause with fewer.  Of two with as many, a
 * part that has not completed lately is the likelier one; otherwise a life
 * that may as well have ended under a cause that a request does not contain
 * counts against the request only with SUSPECTS_CERTAIN_MIN crashes.
 *
 * Most parts are shared by many requests and complete all the time.  A crash
 * counts against such a part only if it does not complete soon after, while
 * other prompts do: as long as no server is left, nothing completes.
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
	SUSPECTS_MARK_TTL_US = 600000000,
	SUSPECTS_PARTS_MAX = 15, /* of one request; further ones are ignored */
	/* Crashes from which on a request, or one with the part, is refused */
	SUSPECTS_REFUSED_MIN = 3,
	/* The same for a part that has completed lately */
	SUSPECTS_KNOWN_GOOD_REFUSED_MIN = 5,
	/* The same where other causes explain the crashes as well */
	SUSPECTS_CERTAIN_MIN = 5,
	/*
	 * Crashes from which on all instances send the request, or those with
	 * the part, to the same server
	 */
	SUSPECTS_ALONE_MIN = 2,
	/* The same for a part that has not completed lately */
	SUSPECTS_UNKNOWN_ALONE_MIN = 1,
	/* Time from the last crash until a refused part is tried again */
	SUSPECTS_TRIAL_FIRST_US = 30000000,
	SUSPECTS_TRIAL_FACTOR = 4, /* its growth with each further crash */
	/* A part that has completed within this time counts as known good */
	SUSPECTS_KNOWN_GOOD_US = 60000000,
	/* Time for a known good part to complete before a crash counts */
	SUSPECTS_HOLD_US = 500000,
	/*
	 * The same if no other prompt completes; the default of hold_max_us
	 */
	SUSPECTS_HOLD_MAX_US = 2500000,
	SUSPECTS_HELD_MAX = 1024, /* crashes held back; others are dropped */
	/* Parts whose last completion is known; the oldest are replaced */
	SUSPECTS_COMPLETIONS_MAX = 4096
};

/* A request as a whole (id: its fingerprint), or a part of prompts. */
struct suspects_cause {
	uint64_t id;
	bool is_part;
};

/* The possible causes of a crash that a request contains. */
struct suspects_request {
	uint64_t fingerprint; /* 0: none */
	uint64_t parts[SUSPECTS_PARTS_MAX]; /* ids of shared prompt parts */
	uint8_t part_count;
};

/* One life of a backend server. */
struct suspects_life {
	uint64_t life; /* from registry_life_hash() */
	uint64_t name; /* hash of the server's id, which its next life keeps */
	uint64_t address;
};

enum suspects_finding {
	SUSPECTS_CRASHED = 1, /* the life ended under the cause */
	/* The cause has completed since; overrides SUSPECTS_CRASHED */
	SUSPECTS_ACQUITTED = 2
};

struct suspects_options {
	const struct alloc *alloc;
	int64_t hold_max_us; /* 0: SUSPECTS_HOLD_MAX_US */
	/*
	 * Called for each finding made here.  The callee passes it to
	 * suspects_apply_finding() here and at the other instances.  at_us:
	 * time of the crash or of the completion.
	 */
	void (*proved)(void *ctx, const struct suspects_cause *cause,
	    uint64_t life, enum suspects_finding state, int64_t at_us);
	void *ctx;
};

/* What is known of a request, and of the cause in it that decides. */
struct suspects_summary {
	bool refused; /* it must not run */
	/*
	 * Set if it is refused for a part: from then on one request with the
	 * part may be tried, to see whether it still crashes servers
	 */
	int64_t trial_us;
	/*
	 * Send it to the server that placement_hash selects, so that requests
	 * with the same cause crash one server together and not several.
	 */
	bool alone;
	uint64_t placement_hash;
	struct suspects_cause cause;
	bool known_good; /* the cause is a part that has completed lately */
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
    const struct suspects_life *life, const struct suspects_request *request,
    bool closed, int64_t now_us);
void suspects_add_unproved_run(struct suspect_table *table,
    const struct suspects_life *life, const struct suspects_request *request,
    int64_t now_us);
uint32_t suspects_record_answer(struct suspect_table *table, uint64_t life,
    int64_t sent_us, int64_t now_us);
uint32_t suspects_life_ended(
    struct suspect_table *table, uint64_t life, int64_t now_us);
uint32_t suspects_later_life_seen(struct suspect_table *table,
    const struct suspects_life *next, int64_t now_us);
void suspects_acquit(struct suspect_table *table,
    const struct suspects_request *request, int64_t now_us);
int64_t suspects_report_held(struct suspect_table *table, int64_t now_us);
void suspects_apply_finding(struct suspect_table *table,
    const struct suspects_cause *cause, uint64_t life,
    enum suspects_finding state, int64_t at_us);
void suspects_lookup(struct suspect_table *table,
    const struct suspects_request *request, int64_t now_us,
    struct suspects_summary *record);
bool suspects_contains_cause(
    const struct suspects_request *request, const struct suspects_cause *cause);
uint32_t suspects_mark_count(
    const struct suspect_table *table, uint8_t crashes, int64_t now_us);
uint64_t suspects_dropped_count(const struct suspect_table *table);

#ifdef __cplusplus
}
#endif

#endif
