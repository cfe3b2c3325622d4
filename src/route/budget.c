#include "route/budget.h"

#include <string.h>

enum {
	TOKEN = 1000000, /* one repeat */
	ADDED_PERMILLE = 667, /* of the share, by each request */
	/* The rest, which must not be larger: see the bound in budget.h. */
	SAVED_PERMILLE = 1000 - ADDED_PERMILLE,
	SLACK_GIVEN_PERMILLE = 500
};

/* Prepares the budget of a new life, which begins empty; as bu_set() does. */
void
bu_init(struct bu *bu, const struct bu_options *options, int64_t now_us)
{
	memset(bu, 0, sizeof(*bu));
	bu->slot_us = (int64_t)options->window_ms * 1000 / RETRY_BUDGET_SLOTS;
	if (bu->slot_us == 0)
		bu->slot_us = 1;
	bu->first_us = now_us;
	bu->slack_us = options->begun_us + (int64_t)options->window_ms * 1000;
	bu_set(bu, options);
}

/* Changes share and slack; the window and what was counted stay. */
void
bu_set(struct bu *bu, const struct bu_options *options)
{
	bu->permille = options->permille;
	bu->per_request = (uint64_t)options->permille * ADDED_PERMILLE;
	bu->slack_part = options->instances > 0
			     ? (uint64_t)options->slack * SLACK_GIVEN_PERMILLE *
				   (TOKEN / 1000) / options->instances
			     : 0;
}

/* Requests of the last window, or of up to a slot less. */
static uint32_t
sum(const uint32_t counts[RETRY_BUDGET_SLOTS])
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < RETRY_BUDGET_SLOTS; i++)
		total += counts[i];
	return total;
}

/* Empties the slots that have left the window. */
static void
advance(struct bu *bu, int64_t now_us)
{
	int64_t steps = (now_us - bu->first_us) / bu->slot_us;

	if (steps <= 0)
		return;
	bu->first_us += steps * bu->slot_us;
	if (steps > RETRY_BUDGET_SLOTS)
		steps = RETRY_BUDGET_SLOTS;
	while (steps-- > 0) {
		bu->newest = (bu->newest + 1) % RETRY_BUDGET_SLOTS;
		bu->requests[bu->newest] = 0;
		bu->repeats[bu->newest] = 0;
	}
}

/*
 * Adds the part of the slack once it is due, and drops what the requests of the
 * last window can't have saved.
 */
static void
settle(struct bu *bu, int64_t now_us)
{
	uint64_t most =
	    (uint64_t)sum(bu->requests) * bu->permille * SAVED_PERMILLE;

	if (!bu->has_slack && bu->slack_part > 0 && now_us >= bu->slack_us) {
		bu->has_slack = true;
		bu->tokens += bu->slack_part;
	}
	if (bu->has_slack)
		most += bu->slack_part;
	if (bu->tokens > most)
		bu->tokens = most;
}

/* Counts a request of a caller, whether it is sent on or not. */
void
bu_request(struct bu *bu, int64_t now_us)
{
	advance(bu, now_us);
	bu->requests[bu->newest]++;
	bu->tokens += bu->per_request;
	settle(bu, now_us);
}

/* Returns what was counted in the window, and what is left of it. */
struct bu_state
bu_read(struct bu *bu, int64_t now_us)
{
	advance(bu, now_us);
	settle(bu, now_us);
	return (struct bu_state){
	    sum(bu->requests), sum(bu->repeats), (double)bu->tokens / TOKEN};
}

/* Tells whether a request may go to another server now; takes nothing. */
bool
bu_may_repeat(struct bu *bu, int64_t now_us)
{
	advance(bu, now_us);
	settle(bu, now_us);
	return bu->tokens >= TOKEN;
}

/* Takes one repeat, which is sent now; false: none is left. */
bool
bu_take(struct bu *bu, int64_t now_us)
{
	if (!bu_may_repeat(bu, now_us))
		return false;
	bu->tokens -= TOKEN;
	bu->repeats[bu->newest]++;
	return true;
}
