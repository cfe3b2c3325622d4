#include "core/limit.h"

enum {
	LIMIT_RETRY_COST_PERMILLE = 1000, /* of a success, for one retry */
	LIMIT_RETRY_INITIAL_PERMILLE = 3000,
	LIMIT_RETRY_MAX_PERMILLE = 10000,
	LIMIT_BURST_US = 1000000 /* burst: unused rate that is kept */
};

struct limit_account {
	uint32_t rate_per_s; /* over all instances; 0: no limit */
	uint32_t retry_permille;
	int64_t arrival_us; /* theoretical arrival time of the next request */
	uint32_t retry_budget_permille;
	bool retry_budget_granted;
};

struct limit {
	const struct alloc *alloc;
	struct limit_account *accounts;
	uint16_t count;
	uint16_t instances;
};

/* Returns limits for no workspace, until limit_configure() is called. */
struct limit *
limit_new(const struct alloc *alloc)
{
	struct limit *limit = alloc_zero(alloc, 1, sizeof(*limit));

	limit->alloc = alloc;
	limit->instances = 1;
	return limit;
}

void
limit_free(struct limit *limit)
{
	if (limit == NULL)
		return;
	alloc_free(limit->alloc, limit->accounts);
	alloc_free(limit->alloc, limit);
}

/*
 * Applies the rates and retry shares of a configuration and the number of
 * instances that share the rates.  Usage counted so far is kept.
 */
void
limit_configure(struct limit *limit, const struct cfg *cfg, uint16_t instances)
{
	struct limit_account *account;
	uint16_t i;

	limit->instances = instances == 0 ? 1 : instances;
	if (cfg->workspace_count > limit->count) {
		limit->accounts = alloc_resize(limit->alloc, limit->accounts,
		    cfg->workspace_count * sizeof(*limit->accounts));
		for (i = limit->count; i < cfg->workspace_count; i++)
			limit->accounts[i] = (struct limit_account){
			    .retry_budget_granted = false};
		limit->count = cfg->workspace_count;
	}
	for (i = 0; i < cfg->workspace_count; i++) {
		account = &limit->accounts[i];
		account->rate_per_s = cfg->workspaces[i].rate_per_s;
		account->retry_permille = cfg->workspaces[i].retry_permille;
		if (!account->retry_budget_granted &&
		    account->retry_permille > 0)
			account->retry_budget_permille =
			    LIMIT_RETRY_INITIAL_PERMILLE;
		account->retry_budget_granted = account->retry_budget_granted ||
						account->retry_permille > 0;
		if (account->retry_permille == 0)
			account->retry_budget_permille = 0;
	}
}

/*
 * Admits one request under a workspace's rate limit (generic cell rate
 * algorithm).  On false, *retry_after_ms is the time until the next one is
 * admitted.
 */
bool
limit_admit(struct limit *limit, uint16_t workspace, int64_t now_us,
    uint32_t *retry_after_ms)
{
	struct limit_account *account = &limit->accounts[workspace];
	int64_t interval_us, burst_us;

	if (account->rate_per_s == 0)
		return true;
	interval_us = INT64_C(1000000) * limit->instances / account->rate_per_s;
	burst_us = interval_us > LIMIT_BURST_US ? interval_us : LIMIT_BURST_US;
	if (account->arrival_us < now_us)
		account->arrival_us = now_us;
	if (account->arrival_us + interval_us > now_us + burst_us) {
		*retry_after_ms =
		    (uint32_t)((account->arrival_us + interval_us - now_us -
				   burst_us) /
				   1000 +
			       1);
		return false;
	}
	account->arrival_us += interval_us;
	return true;
}

/* Adds the share of one success to a workspace's retry budget. */
void
limit_record_success(struct limit *limit, uint16_t workspace)
{
	struct limit_account *account = &limit->accounts[workspace];

	account->retry_budget_permille += account->retry_permille;
	if (account->retry_budget_permille > LIMIT_RETRY_MAX_PERMILLE)
		account->retry_budget_permille = LIMIT_RETRY_MAX_PERMILLE;
}

/*
 * Takes one retry or hedge from a workspace's budget.  Returns false if the
 * budget is spent.
 */
bool
limit_take_retry(struct limit *limit, uint16_t workspace)
{
	struct limit_account *account = &limit->accounts[workspace];

	if (account->retry_budget_permille < LIMIT_RETRY_COST_PERMILLE)
		return false;
	account->retry_budget_permille -= LIMIT_RETRY_COST_PERMILLE;
	return true;
}
