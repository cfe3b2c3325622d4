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
 * Picks a first try and the version that its flagged answers escalate to, from
 * estimates and the price of quality alone.  Costs are shares of the dearest
 * version's; a price is what one more passing answer is worth in that unit.
 */

/* Share of flagged answers that pass if they are kept. */
#define CHAIN_FLAGGED_PASS 0.25f

/* What a choice knows of one candidate. */
struct chain_estimate {
	uint16_t version;
	float cost;
	float kept; /* share that is not flagged and passes */
	float flagged;
	float solo; /* pass share without escalation */
	float after; /* pass share as an escalation */
	float sigma; /* standard deviation of solo */
};

void chain_choose(const struct chain_estimate *all, size_t n, double price_log,
    bool may_escalate, struct rng *rng, struct qual_chain *chain);
void chain_follow(const struct chain_estimate *all, size_t n,
    const struct chain_estimate *first, double price_log, bool may_escalate,
    struct qual_chain *chain);

#ifdef __cplusplus
}
#endif

#endif
