#include "core/limit.h"

enum {
	LIMIT_RETRY_COST = 1000, /* one retry, in thousandths of a success */
	LIMIT_RETRY_START = 3000,
	LIMIT_RETRY_MAX = 10000,
	LIMIT_BURST_US = 1000000 /* unused rate that is kept */
};

struct limit_lane {
	uint32_t rate_per_s; /* of all instances together; 0: no limit */
	uint32_t retry_permille;
	int64_t next_us; /* the bucket is full from here on */
	uint32_t budget;
	bool known;
};

struct limit {
	const struct alloc *alloc;
	struct limit_lane *lanes;
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
	alloc_free(limit->alloc, limit->lanes);
	alloc_free(limit->alloc, limit);
}

/* Takes over rates and budgets; what was spent stays spent. */
void
limit_configure(struct limit *limit, const struct cfg *cfg, uint16_t instances)
{
	struct limit_lane *lane;
	uint16_t i;

	limit->instances = instances == 0 ? 1 : instances;
	if (cfg->workspace_count > limit->count) {
		limit->lanes = alloc_resize(limit->alloc, limit->lanes,
		    cfg->workspace_count * sizeof(*limit->lanes));
		for (i = limit->count; i < cfg->workspace_count; i++)
			limit->lanes[i] = (struct limit_lane){.known = false};
		limit->count = cfg->workspace_count;
	}
	for (i = 0; i < cfg->workspace_count; i++) {
		lane = &limit->lanes[i];
		lane->rate_per_s = cfg->workspaces[i].rate_per_s;
		lane->retry_permille = cfg->workspaces[i].retry_permille;
		if (!lane->known && lane->retry_permille > 0)
			lane->budget = LIMIT_RETRY_START;
		lane->known = lane->known || lane->retry_permille > 0;
		if (lane->retry_permille == 0)
			lane->budget = 0;
	}
}

/*
 * Takes one request from a workspace's rate.  On false, retry_after_ms says
 * when the next one fits.
 */
bool
limit_take(struct limit *limit, uint16_t workspace, int64_t now_us,
    uint32_t *retry_after_ms)
{
	struct limit_lane *lane = &limit->lanes[workspace];
	int64_t gap_us, burst_us;

	if (lane->rate_per_s == 0)
		return true;
	gap_us = INT64_C(1000000) * limit->instances / lane->rate_per_s;
	burst_us = gap_us > LIMIT_BURST_US ? gap_us : LIMIT_BURST_US;
	if (lane->next_us < now_us)
		lane->next_us = now_us;
	if (lane->next_us + gap_us > now_us + burst_us) {
		*retry_after_ms =
		    (uint32_t)((lane->next_us + gap_us - now_us - burst_us) /
				   1000 +
			       1);
		return false;
	}
	lane->next_us += gap_us;
	return true;
}

/* Adds a success's part to the retry budget. */
void
limit_success(struct limit *limit, uint16_t workspace)
{
	struct limit_lane *lane = &limit->lanes[workspace];

	lane->budget += lane->retry_permille;
	if (lane->budget > LIMIT_RETRY_MAX)
		lane->budget = LIMIT_RETRY_MAX;
}

/* Takes one retry or hedge from the budget; returns whether it had one. */
bool
limit_retry(struct limit *limit, uint16_t workspace)
{
	struct limit_lane *lane = &limit->lanes[workspace];

	if (lane->budget < LIMIT_RETRY_COST)
		return false;
	lane->budget -= LIMIT_RETRY_COST;
	return true;
}
