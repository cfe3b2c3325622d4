#include "route/stall.h"

enum {
	FIRST_MIN_MS = 1000, /* a first event occasionally takes this long */
	FIRST_FACTOR = 3, /* multiple of the expected time */
	GAP_MIN_MS = 1000, /* between events, if the route sets no gap goal */
	GAP_FACTOR = 2, /* multiple of the route's gap goal */
	IDEMPOTENT_MIN_MS = 100,
	US_PER_MS = 1000
};

int64_t
stall_timeout_us(const struct stall_input *in)
{
	double limit_ms = 0;

	if (!in->can_move)
		return 0;
	if (in->kind == ROUTE_IDEMPOTENT) {
		limit_ms = in->goal_ms > IDEMPOTENT_MIN_MS ? in->goal_ms
							   : IDEMPOTENT_MIN_MS;
	} else if (in->kind == ROUTE_STREAM && in->resumable && in->begun) {
		limit_ms = GAP_FACTOR * in->gap_goal_ms;
		if (limit_ms < GAP_MIN_MS)
			limit_ms = GAP_MIN_MS;
	} else if (in->kind == ROUTE_STREAM && in->resumable) {
		limit_ms = FIRST_FACTOR * in->expected_ms + FIRST_MIN_MS;
	}
	return (int64_t)(limit_ms * US_PER_MS);
}
