#include "route/urgency.h"

enum {
	/* Urgency of the highest priority; engines assume 5 if none is given */
	URGENCY_FIRST = 2,
	PRIORITY_STEP = 2, /* added for each lower priority */
	/* Moves a short prompt ahead of the next higher priority */
	SHORT_PROMPT_BONUS = 3
};

/* Share of goal_ms below which a prompt's work counts as short */
static const double short_prompt_share_max = 0.05;

/* Returns the urgency of a request, 0 (first) to URGENCY_LAST. */
int
urgency_of_request(const struct urgency_input *in)
{
	int urgency = URGENCY_FIRST + PRIORITY_STEP * in->priority;

	if (in->work_ms < short_prompt_share_max * in->goal_ms)
		urgency -= SHORT_PROMPT_BONUS;
	if (urgency < 0)
		return 0;
	return urgency < URGENCY_LAST ? urgency : URGENCY_LAST;
}
