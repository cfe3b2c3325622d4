#include "core/limit.h"

enum {
	LIMIT_RETRY_COST_PERMILLE =
	    1000, /* one retry, in thousandths of a success */
	LIMIT_RETRY_INITIAL_PERMILLE = 3000,
	LIMIT_RETRY_MAX_PERMILLE = 10000,
	LIMIT_BURST_US = 1000000 /* unused rate that is kept */
};

struct limit_account {
	uint32_t rate_per_s; /* of all instances together; 0: no limit */
	uint32_t retry_permille;
	int64_t arrival_us; /* the bucket is full from here on */
	uint32_t retry_budget;
	bool retry_budget_granted;
};

struct limit {
	const struct alloc *alloc;
	struct limit_account *accounts;
	uint16_t count;
	uint16_t instances;
};

/* Returns limits without workspaces. */
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

/* Takes over rates and budgets; what was spent stays spent. */
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
			account->retry_budget = LIMIT_RETRY_INITIAL_PERMILLE;
		account->retry_budget_granted = account->retry_budget_granted ||
						account->retry_permille > 0;
		if (account->retry_permille == 0)
			account->retry_budget = 0;
	}
}

/*
 * Takes one request from a workspace's rate.  On false, retry_after_ms says
 * when the next one fits.
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

/* Adds a success's part to the retry budget. */
void
limit_record_success(struct limit *limit, uint16_t workspace)
{
	struct limit_account *account = &limit->accounts[workspace];

	account->retry_budget += account->retry_permille;
	if (account->retry_budget > LIMIT_RETRY_MAX_PERMILLE)
		account->retry_budget = LIMIT_RETRY_MAX_PERMILLE;
}

/* Takes one retry or hedge from the budget; returns whether it had one. */
bool
limit_take_retry(struct limit *limit, uint16_t workspace)
{
	struct limit_account *account = &limit->accounts[workspace];

	if (account->retry_budget < LIMIT_RETRY_COST_PERMILLE)
		return false;
	account->retry_budget -= LIMIT_RETRY_COST_PERMILLE;
	return true;
}
