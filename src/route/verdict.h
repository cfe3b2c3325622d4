#ifndef CF_ROUTE_VERDICT_H
#define CF_ROUTE_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/orders.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The judgement of a new version of a service, from how its answers compare
 * with those of the old one at the same time.  No I/O.
 *
 * A version is rolled back once its share of failures, or of what comes far too
 * late, is worse beyond chance.  Late ones are counted, not added up: a single
 * long pause, as a long prompt beside a stream makes it, says little.  One that
 * is not gets everything after half of the roll-out's time, and the old servers
 * may be stopped somewhat later, when what they had been sent has ended.
 *
 * Some versions fail only on busy servers.  Before a version gets everything,
 * it has a load trial: more requests on as few servers as before, until enough
 * answers came from servers with over half of their slots busy, or time is
 * short.
 */
struct vd_counts {
	uint32_t answers;
	uint32_t failures;
	uint32_t errors; /* failures that the server itself answered with */
	uint32_t slow; /* answers that began far later than expected */
	uint32_t gaps; /* times between two events of a stream */
	uint32_t slow_gaps; /* those far longer than expected */
	uint32_t
	    loaded; /* answers of servers with over half their slots busy */
	uint32_t loaded_errors; /* errors among those */
};

struct vd_input {
	enum ord_rollout_state state;
	int64_t elapsed_ms; /* since the order */
	int64_t finishing_ms; /* in ORD_FINISHING so long */
	uint32_t duration_ms;
	struct vd_counts fresh; /* the new version */
	struct vd_counts known; /* the old one */
	bool is_worse; /* the new version, on some route or on all */
	bool may_be_slower; /* more likely than not */
	bool has_servers; /* of the new version */
};

uint32_t vd_trial_permille(uint32_t exposure_permille, bool load_trial);
bool vd_is_load_trial(int64_t elapsed_ms, uint32_t duration_ms);
enum ord_rollout_state vd_next(const struct vd_input *in);
bool verdict_is_worse(
    const struct vd_counts *fresh, const struct vd_counts *known);

#ifdef __cplusplus
}
#endif

#endif
