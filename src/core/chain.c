#include "core/chain.h"

#include <math.h>

enum {
	EXPLORE_ONE_IN = 64,
	EXPLORE_ONE_IN_DEBT = 8 /* what is known misses the target */
};

#define DEBT_PRICE 4.0 /* natural logarithm */
#define HOPE 2.0f /* standard deviations above the mean */
#define HOPE_IN_DEBT 4.0f
#define UNSURE 0.03f /* standard deviation worth exploring */

/* Finds the escalation that adds most to a first try; returns its value. */
static float
best_next(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, float price,
    const struct chain_estimate **next)
{
	float value, best;
	size_t i;

	best = price * CHAIN_FLAGGED_PASS;
	*next = NULL;
	for (i = 0; i < n; i++) {
		if (all[i].version == first->version ||
		    all[i].after <= CHAIN_FLAGGED_PASS ||
		    all[i].solo < first->solo)
			continue;
		value = price * all[i].after - all[i].cost;
		if (value > best) {
			best = value;
			*next = &all[i];
		}
	}
	return best;
}

static float
chain_value(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, float price, bool may_escalate,
    const struct chain_estimate **next)
{
	*next = NULL;
	if (!may_escalate)
		return price * first->solo - first->cost;
	return price * first->kept - first->cost +
	       first->flagged * best_next(all, n, first, price, next);
}

static void
chain_set(struct qual_chain *chain, const struct chain_estimate *first,
    const struct chain_estimate *next, enum cf_reason reason)
{
	chain->count = 1;
	chain->versions[0] = first->version;
	if (next != NULL)
		chain->versions[chain->count++] = next->version;
	chain->reason = reason;
}

/*
 * Picks a version that is not well known and might beat the best value; the
 * last draw decides among several.
 */
static const struct chain_estimate *
explore(const struct chain_estimate *all, size_t n, float best, float price,
    float sigmas, bool may_escalate, struct rng *rng)
{
	const struct chain_estimate *pick = NULL, *next;
	uint32_t seen = 0;
	float value;
	size_t i;

	for (i = 0; i < n; i++) {
		value =
		    chain_value(all, n, &all[i], price, may_escalate, &next) +
		    price * sigmas * all[i].sigma;
		if (all[i].sigma < UNSURE || value <= best)
			continue;
		if (rng_below(rng, ++seen) == 0)
			pick = &all[i];
	}
	return pick;
}

/*
 * Puts the chain with the best value first, at a price whose natural logarithm
 * is given.  One choice in EXPLORE_ONE_IN may go to a version that is not well
 * known, more at a price at which no chain seems good enough.  n is above zero.
 */
void
chain_choose(const struct chain_estimate *all, size_t n, double price_log,
    bool may_escalate, struct rng *rng, struct qual_chain *chain)
{
	const struct chain_estimate *next, *first = &all[0], *follow = NULL, *e;
	const struct chain_estimate *top = &all[0], *cheapest = &all[0];
	float price, value, best = -INFINITY;
	uint32_t one_in;
	size_t i;

	price = expf((float)price_log);
	for (i = 0; i < n; i++) {
		value =
		    chain_value(all, n, &all[i], price, may_escalate, &next);
		if (value > best) {
			best = value;
			first = &all[i];
			follow = next;
		}
		if (all[i].solo > top->solo)
			top = &all[i];
		if (all[i].cost < cheapest->cost)
			cheapest = &all[i];
	}
	chain_set(chain, first, follow,
	    first == top && first != cheapest ? CF_WHY_BEST : CF_WHY_CHEAPEST);
	one_in = price_log > DEBT_PRICE ? EXPLORE_ONE_IN_DEBT : EXPLORE_ONE_IN;
	if (n == 1 || rng_below(rng, one_in) != 0)
		return;
	e = explore(all, n, best, price,
	    price_log > DEBT_PRICE ? HOPE_IN_DEBT : HOPE, may_escalate, rng);
	if (e != NULL && e != first) {
		chain_value(all, n, e, price, may_escalate, &next);
		chain_set(chain, e, next, CF_WHY_EXPLORE);
	}
}

/* Puts a version in roll-out first, and behind it the best escalation. */
void
chain_follow(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, double price_log, bool may_escalate,
    struct qual_chain *chain)
{
	const struct chain_estimate *next = NULL;
	struct chain_estimate unproved = *first;

	unproved.solo = 0;
	if (may_escalate)
		best_next(all, n, &unproved, expf((float)price_log), &next);
	chain_set(chain, first, next, CF_WHY_ROLLOUT);
}
