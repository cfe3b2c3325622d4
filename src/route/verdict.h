#ifndef CF_ROUTE_VERDICT_H
#define CF_ROUTE_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/orders.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Judges a new version of a service by comparing its answers with those of the
 * old version over the same time.  No I/O.
 *
 * A version is rolled back when its share of failures, or of answers and events
 * that come far too late, is worse than the old version's by more than chance
 * explains.  Late answers and gaps are counted instead of adding up their
 * delays, because a single long pause says little: a long prompt processed
 * beside a stream causes one.  A version that is not rolled back gets all
 * requests after half of the roll-out's duration.  The old servers may be
 * stopped somewhat later, when the requests sent to them have ended.
 *
 * Some versions fail only on busy servers.  Before a version gets all requests
 * it therefore goes through a load trial: more requests on the same few
 * servers, until enough answers came from servers with more than half of their
 * slots busy, or until time runs short.
 */
struct verdict_counts {
	uint32_t answers;
	uint32_t failures;
	/* Failures in which the server itself answered with an error */
	uint32_t errors;
	uint32_t slow; /* answers that began far later than expected */
	uint32_t gaps; /* intervals between two events of a stream */
	uint32_t slow_gaps; /* gaps far longer than expected */
	/* Answers of servers with more than half of their slots busy */
	uint32_t loaded;
	uint32_t loaded_errors; /* errors among the loaded answers */
};

struct verdict_input {
	enum ord_rollout_state state;
	int64_t elapsed_ms; /* since the roll-out's order */
	int64_t finishing_ms; /* time spent in ORD_FINISHING */
	uint32_t duration_ms;
	struct verdict_counts fresh; /* answers of the new version */
	struct verdict_counts known; /* answers of the old version */
	/* The new version does worse on one route or on all together */
	bool is_worse;
	bool may_be_slower; /* the new version is more likely slower than not */
	bool has_servers; /* servers of the new version exist */
};

uint32_t verdict_trial_permille(uint32_t exposure_permille, bool load_trial);
bool verdict_is_load_trial(int64_t elapsed_ms, uint32_t duration_ms);
enum ord_rollout_state verdict_next_state(const struct verdict_input *in);
bool verdict_is_worse(
    const struct verdict_counts *fresh, const struct verdict_counts *known);

#ifdef __cplusplus
}
#endif

#endif
