#ifndef CF_CHAIN_H
#define CF_CHAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"
#include "core/quality.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Picks the version of a first try and the version that its flagged answers
 * escalate to, from estimates and the price of quality alone.  An answer is
 * flagged if its quick outcome is not good.  Costs are shares of the most
 * expensive version's cost; a price is the cost, in that unit, that one more
 * passing answer is worth.
 */

/* Share of flagged answers that pass if they are kept. */
#define CHAIN_FLAGGED_PASS 0.25f

/* Estimates of one candidate; all shares are in [0, 1]. */
struct chain_estimate {
	uint16_t version;
	float relative_cost;
	float kept_pass_share; /* answers that are not flagged and pass */
	float flagged_share;
	float pass_share; /* without an escalation */
	float escalated_pass_share; /* as the escalation of a flagged answer */
	float pass_sigma; /* standard deviation of pass_share */
};

void chain_choose(const struct chain_estimate *all, size_t n, double price_log,
    bool may_escalate, struct rng *rng, struct qual_chain *chain);
void chain_choose_escalation(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, double price_log, bool may_escalate,
    struct qual_chain *chain);

#ifdef __cplusplus
}
#endif

#endif
