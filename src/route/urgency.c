#include "route/urgency.h"

enum {
	FIRST = 2, /* of the highest priority; engines take 5 for unsaid */
	STEP = 2, /* for each priority below it */
	SHORT_AHEAD = 3 /* a short prompt goes before the next priority */
};

static const double short_share = 0.05; /* of the goal, at most */

/* Returns the urgency of a request. */
int
ur_of(const struct ur_input *in)
{
	int urgency = FIRST + STEP * in->priority;

	if (in->work_ms < short_share * in->goal_ms)
		urgency -= SHORT_AHEAD;
	if (urgency < 0)
		return 0;
	return urgency < URGENCY_LAST ? urgency : URGENCY_LAST;
}
