#include "core/chain.h"

#include <math.h>

enum {
	EXPLORE_ONE_IN = 64,
	EXPLORE_ONE_IN_MISSED_TARGET = 8
};

/*
 * At a price whose natural logarithm is above this, the chains that are known
 * well miss the target, so that exploring is worth more.
 */
#define MISSED_TARGET_PRICE_LOG 4.0

/* Standard deviations above the mean that a version is given credit for. */
#define EXPLORE_SIGMAS 2.0f
#define EXPLORE_SIGMAS_MISSED_TARGET 4.0f

/* A version with a smaller standard deviation is known well. */
#define EXPLORE_MIN_SIGMA 0.03f

/*
 * Finds the escalation with the highest value for a flagged answer of a first
 * try, NULL if keeping the answer is worth more.  Returns that value.
 */
static float
best_escalation(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, float price,
    const struct chain_estimate **escalation)
{
	float value, best;
	size_t i;

	best = price * CHAIN_FLAGGED_PASS;
	*escalation = NULL;
	for (i = 0; i < n; i++) {
		if (all[i].version == first->version ||
		    all[i].escalated_pass_share <= CHAIN_FLAGGED_PASS ||
		    all[i].pass_share < first->pass_share)
			continue;
		value =
		    price * all[i].escalated_pass_share - all[i].relative_cost;
		if (value > best) {
			best = value;
			*escalation = &all[i];
		}
	}
	return best;
}

/* Returns the value of a first try with its best escalation at a price. */
static float
chain_value(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, float price, bool may_escalate,
    const struct chain_estimate **escalation)
{
	*escalation = NULL;
	if (!may_escalate)
		return price * first->pass_share - first->relative_cost;
	return price * first->kept_pass_share - first->relative_cost +
	       first->flagged_share *
		   best_escalation(all, n, first, price, escalation);
}

static void
chain_set(struct qual_chain *chain, const struct chain_estimate *first,
    const struct chain_estimate *escalation, enum cf_reason reason)
{
	chain->count = 1;
	chain->versions[0] = first->version;
	if (escalation != NULL)
		chain->versions[chain->count++] = escalation->version;
	chain->reason = reason;
}

/*
 * Picks a version to explore: one whose estimate is uncertain and whose value,
 * sigmas standard deviations above the mean, exceeds the best value.  Each of
 * several has the same probability.  Returns NULL if there is none.
 */
static const struct chain_estimate *
pick_exploration(const struct chain_estimate *all, size_t n, float best,
    float price, float sigmas, bool may_escalate, struct rng *rng)
{
	const struct chain_estimate *pick = NULL, *escalation;
	uint32_t seen = 0;
	float value;
	size_t i;

	for (i = 0; i < n; i++) {
		value = chain_value(
			    all, n, &all[i], price, may_escalate, &escalation) +
			price * sigmas * all[i].pass_sigma;
		if (all[i].pass_sigma < EXPLORE_MIN_SIGMA || value <= best)
			continue;
		if (rng_below(rng, ++seen) == 0)
			pick = &all[i];
	}
	return pick;
}

/*
 * Chooses the chain with the highest value at a price whose natural logarithm
 * is given.  One choice in EXPLORE_ONE_IN may go to a version whose estimate is
 * uncertain; above MISSED_TARGET_PRICE_LOG, where no chain seems to meet the
 * target, one in EXPLORE_ONE_IN_MISSED_TARGET.  n must be above zero.
 */
void
chain_choose(const struct chain_estimate *all, size_t n, double price_log,
    bool may_escalate, struct rng *rng, struct qual_chain *chain)
{
	const struct chain_estimate *escalation, *first = &all[0],
						 *first_escalation = NULL, *e;
	const struct chain_estimate *best_pass = &all[0], *cheapest = &all[0];
	float price, value, best = -INFINITY;
	uint32_t one_in;
	size_t i;

	price = expf((float)price_log);
	for (i = 0; i < n; i++) {
		value = chain_value(
		    all, n, &all[i], price, may_escalate, &escalation);
		if (value > best) {
			best = value;
			first = &all[i];
			first_escalation = escalation;
		}
		if (all[i].pass_share > best_pass->pass_share)
			best_pass = &all[i];
		if (all[i].relative_cost < cheapest->relative_cost)
			cheapest = &all[i];
	}
	chain_set(chain, first, first_escalation,
	    first == best_pass && first != cheapest ? CF_WHY_BEST
						    : CF_WHY_CHEAPEST);
	one_in = price_log > MISSED_TARGET_PRICE_LOG
		     ? EXPLORE_ONE_IN_MISSED_TARGET
		     : EXPLORE_ONE_IN;
	if (n == 1 || rng_below(rng, one_in) != 0)
		return;
	e = pick_exploration(all, n, best, price,
	    price_log > MISSED_TARGET_PRICE_LOG ? EXPLORE_SIGMAS_MISSED_TARGET
						: EXPLORE_SIGMAS,
	    may_escalate, rng);
	if (e != NULL && e != first) {
		chain_value(all, n, e, price, may_escalate, &escalation);
		chain_set(chain, e, escalation, CF_WHY_EXPLORE);
	}
}

/*
 * Chooses the best escalation behind a version in roll-out, which is the first
 * try.  The escalation need not have a higher pass share than that version,
 * since the version's own estimate is not proved yet.
 */
void
chain_choose_escalation(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, double price_log, bool may_escalate,
    struct qual_chain *chain)
{
	const struct chain_estimate *escalation = NULL;
	struct chain_estimate unproved = *first;

	unproved.pass_share = 0;
	if (may_escalate)
		best_escalation(
		    all, n, &unproved, expf((float)price_log), &escalation);
	chain_set(chain, first, escalation, CF_WHY_ROLLOUT);
}
