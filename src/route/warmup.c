#include "route/warmup.h"

enum {
	DRAW_INTERVAL_US = 2000000, /* then other instances may be drawn */
	US_PER_S = 1000000
};

/* Bursts of all instances, as a share of the server's capacity */
static const double bursts_share_max = 0.5;
/* Mean number of drawn instances per unit of capacity */
static const double senders_share = 0.25;
/* Request rate of an instance that was drawn */
static const double drawn_per_s = 1;

/* What one instance may send to a cold server. */
struct share {
	double send_probability; /* that the instance may send at all */
	double burst; /* requests at once, at least one */
	double rate_per_s; /* sustained rate after the burst */
};

/* Returns one instance's part of the server's capacity. */
static struct share
instance_share(const struct warmup_limits *limits)
{
	struct share share = {
	    .send_probability = 1, .burst = limits->slack / limits->instances};

	if (share.burst < 1)
		share.burst = 1;
	if (share.burst * limits->instances <=
	    limits->capacity_per_s * bursts_share_max) {
		share.rate_per_s =
		    limits->capacity_per_s / limits->instances - share.burst;
	} else {
		share.send_probability =
		    limits->capacity_per_s * senders_share / limits->instances;
		share.rate_per_s = drawn_per_s;
	}
	return share;
}

/* Tells whether this instance may send another request to the server now. */
bool
warmup_allows(struct warmup_bucket *bucket, const struct warmup_limits *limits,
    struct rng *rng, int64_t now_us)
{
	struct share share;

	if (limits->instances == 0)
		return false;
	share = instance_share(limits);
	if (now_us >= bucket->draw_again_us) {
		bucket->may_send = rng_unit(rng) < share.send_probability;
		bucket->draw_again_us = now_us + DRAW_INTERVAL_US;
	}
	if (!bucket->may_send)
		return false;
	bucket->tokens += share.rate_per_s *
			  (double)(now_us - bucket->refilled_us) / US_PER_S;
	bucket->refilled_us = now_us;
	if (bucket->tokens > share.burst)
		bucket->tokens = share.burst;
	return bucket->tokens >= 1;
}

/* Counts a request that is sent to the server. */
void
warmup_consume(struct warmup_bucket *bucket)
{
	bucket->tokens -= 1;
}
