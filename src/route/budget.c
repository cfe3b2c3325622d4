#include "route/budget.h"

#include <string.h>

enum {
	TOKENS_PER_REPEAT = 1000000, /* fixed-point unit: one repeat */
	/* Part of the share that each request adds as tokens */
	REFILL_PERMILLE = 667,
	/*
	 * The rest of the share, which limits the bucket.  A larger value would
	 * break the bound in budget.h.
	 */
	RESERVE_PERMILLE = 1000 - REFILL_PERMILLE,
	SLACK_ASSIGNED_PERMILLE = 500
};

/*
 * Initializes the budget of a new life, which starts empty, and applies the
 * options as retry_budget_configure() does.
 */
void
retry_budget_init(struct retry_budget *budget,
    const struct retry_budget_options *options, int64_t now_us)
{
	memset(budget, 0, sizeof(*budget));
	budget->slot_us =
	    (int64_t)options->window_ms * 1000 / RETRY_BUDGET_SLOTS;
	if (budget->slot_us == 0)
		budget->slot_us = 1;
	budget->newest_slot_us = now_us;
	budget->slack_due_us =
	    options->begun_us + (int64_t)options->window_ms * 1000;
	retry_budget_configure(budget, options);
}

/* Changes the share and the slack; the window and its counts are kept. */
void
retry_budget_configure(
    struct retry_budget *budget, const struct retry_budget_options *options)
{
	budget->permille = options->permille;
	budget->tokens_per_request =
	    (uint64_t)options->permille * REFILL_PERMILLE;
	budget->slack_part =
	    options->instances > 0
		? (uint64_t)options->slack * SLACK_ASSIGNED_PERMILLE *
		      (TOKENS_PER_REPEAT / 1000) / options->instances
		: 0;
}

/* Returns the total over the last window, which is up to one slot shorter. */
static uint32_t
sum_slots(const uint32_t counts[RETRY_BUDGET_SLOTS])
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < RETRY_BUDGET_SLOTS; i++)
		total += counts[i];
	return total;
}

/* Clears the slots that have left the window. */
static void
advance_window(struct retry_budget *budget, int64_t now_us)
{
	int64_t steps = (now_us - budget->newest_slot_us) / budget->slot_us;

	if (steps <= 0)
		return;
	budget->newest_slot_us += steps * budget->slot_us;
	if (steps > RETRY_BUDGET_SLOTS)
		steps = RETRY_BUDGET_SLOTS;
	while (steps-- > 0) {
		budget->newest_slot =
		    (budget->newest_slot + 1) % RETRY_BUDGET_SLOTS;
		budget->requests[budget->newest_slot] = 0;
		budget->repeats[budget->newest_slot] = 0;
	}
}

/*
 * Adds this instance's part of the slack once it is due, and limits the tokens
 * to what the requests of the last window can have left.
 */
static void
settle_tokens(struct retry_budget *budget, int64_t now_us)
{
	uint64_t limit = (uint64_t)sum_slots(budget->requests) *
			 budget->permille * RESERVE_PERMILLE;

	if (!budget->has_slack && budget->slack_part > 0 &&
	    now_us >= budget->slack_due_us) {
		budget->has_slack = true;
		budget->tokens += budget->slack_part;
	}
	if (budget->has_slack)
		limit += budget->slack_part;
	if (budget->tokens > limit)
		budget->tokens = limit;
}

/* Counts a request of a caller, whether or not it is sent to a server. */
void
retry_budget_add_request(struct retry_budget *budget, int64_t now_us)
{
	advance_window(budget, now_us);
	budget->requests[budget->newest_slot]++;
	budget->tokens += budget->tokens_per_request;
	settle_tokens(budget, now_us);
}

/* Returns the counts of the window and the repeats left. */
struct retry_budget_state
retry_budget_read(struct retry_budget *budget, int64_t now_us)
{
	advance_window(budget, now_us);
	settle_tokens(budget, now_us);
	return (struct retry_budget_state){sum_slots(budget->requests),
	    sum_slots(budget->repeats),
	    (double)budget->tokens / TOKENS_PER_REPEAT};
}

/* Tells whether a repeat is allowed now, without consuming it. */
bool
retry_budget_allows(struct retry_budget *budget, int64_t now_us)
{
	advance_window(budget, now_us);
	settle_tokens(budget, now_us);
	return budget->tokens >= TOKENS_PER_REPEAT;
}

/* Consumes one repeat that is sent now; returns false if none is left. */
bool
retry_budget_consume(struct retry_budget *budget, int64_t now_us)
{
	if (!retry_budget_allows(budget, now_us))
		return false;
	budget->tokens -= TOKENS_PER_REPEAT;
	budget->repeats[budget->newest_slot]++;
	return true;
}
