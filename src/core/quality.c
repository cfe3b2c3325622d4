#include "core/quality.h"

struct qual {
	const struct alloc *alloc;
	const struct cfg *cfg;
};

/* Returns an estimator that knows nothing but the configured priors. */
struct qual *
qual_new(const struct alloc *alloc)
{
	struct qual *qual = alloc_zero(alloc, 1, sizeof(*qual));

	qual->alloc = alloc;
	return qual;
}

void
qual_free(struct qual *qual)
{
	alloc_free(qual->alloc, qual);
}

void
qual_configure(struct qual *qual, const struct cfg *cfg)
{
	qual->cfg = cfg;
}

void
qual_rate(struct qual *qual, const struct cf_rating *rating, int64_t now_us)
{
}

void
qual_evidence(struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
}

/*
 * Puts the cheapest candidate whose prior meets the workspace's target first,
 * or the one with the best prior, and the best prior behind it.
 */
void
qual_choose(struct qual *qual, struct rng *rng, uint16_t workspace,
    uint16_t task_class, uint64_t candidates, uint64_t rolling_open,
    bool may_escalate, int64_t now_us, struct qual_chain *chain)
{
	const struct cfg_version *v = qual->cfg->versions;
	uint16_t target = qual->cfg->workspaces[workspace].target_permille;
	uint16_t cheap = CFG_NONE, best = CFG_NONE;
	bool only = (candidates & (candidates - 1)) == 0;
	uint16_t i;

	chain->count = 0;
	for (; candidates != 0; candidates &= candidates - 1) {
		i = (uint16_t)__builtin_ctzll(candidates);
		if (v[i].state == CFG_ROLLING && !(rolling_open >> i & 1))
			continue;
		if (best == CFG_NONE ||
		    v[i].prior_permille > v[best].prior_permille)
			best = i;
		if (v[i].prior_permille >= target &&
		    (cheap == CFG_NONE ||
			v[i].cost_micro < v[cheap].cost_micro))
			cheap = i;
	}
	chain->reason = cheap == CFG_NONE ? CF_WHY_BEST : CF_WHY_CHEAPEST;
	if (only)
		chain->reason = CF_WHY_ONLY;
	if (cheap == CFG_NONE)
		cheap = best;
	if (cheap != CFG_NONE)
		chain->versions[chain->count++] = cheap;
	if (may_escalate && best != cheap)
		chain->versions[chain->count++] = best;
}

double
qual_mean(const struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class)
{
	return qual->cfg->versions[version].prior_permille / 1000.0;
}
