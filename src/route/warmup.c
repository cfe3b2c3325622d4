#include "route/warmup.h"

enum {
	LOT_US = 2000000, /* then others may send */
	US_PER_S = 1000000
};

static const double bursts_share = 0.5; /* of what a server bears, at most */
static const double senders_share = 0.25; /* of it, where lots are drawn */
static const double drawn_per_s = 1; /* rate of an instance that was drawn */

/* What one instance may send. */
struct part {
	double chance; /* that it may send at all */
	double burst; /* requests at once, at least one */
	double per_s; /* and after that */
};

static struct part
divide(const struct warmup_limits *limits)
{
	struct part part = {
	    .chance = 1, .burst = limits->slack / limits->instances};

	if (part.burst < 1)
		part.burst = 1;
	if (part.burst * limits->instances <= limits->bears * bursts_share) {
		part.per_s = limits->bears / limits->instances - part.burst;
	} else {
		part.chance = limits->bears * senders_share / limits->instances;
		part.per_s = drawn_per_s;
	}
	return part;
}

/* Whether the server bears one more request of this instance now. */
bool
warmup_allows(struct warmup_bucket *warmup_bucket,
    const struct warmup_limits *limits, struct rng *rng, int64_t now_us)
{
	struct part part;

	if (limits->instances == 0)
		return false;
	part = divide(limits);
	if (now_us >= warmup_bucket->drawn_until_us) {
		warmup_bucket->drawn = rng_unit(rng) < part.chance;
		warmup_bucket->drawn_until_us = now_us + LOT_US;
	}
	if (!warmup_bucket->drawn)
		return false;
	warmup_bucket->tokens +=
	    part.per_s * (double)(now_us - warmup_bucket->full_us) / US_PER_S;
	warmup_bucket->full_us = now_us;
	if (warmup_bucket->tokens > part.burst)
		warmup_bucket->tokens = part.burst;
	return warmup_bucket->tokens >= 1;
}

/* Counts a request that goes out. */
void
warmup_consume(struct warmup_bucket *warmup_bucket)
{
	warmup_bucket->tokens -= 1;
}
