#ifndef CF_ROUTE_WARMUP_H
#define CF_ROUTE_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Limits what one instance sends to one cold server, so that all instances
 * together stay within what the server can take in any second, whether or not
 * they can reach each other.  No I/O.
 *
 * Each instance gets the same part: a token bucket with a burst of at least one
 * request and a rate.  If the bursts of all instances would exceed half of the
 * server's capacity, each instance decides at random whether it may send, so
 * that the expected number of senders is a quarter of the capacity in requests
 * a second.  The limit then holds with high probability instead of always.
 */
struct warmup_limits {
	/*
	 * Requests that the server takes in any second, from all instances
	 * together
	 */
	double capacity_per_s;
	double slack; /* part of the capacity that may come as bursts */
	/* Instances that may send; 0: not known, nothing is sent */
	uint32_t instances;
};

/* Token bucket for one server; all fields start at zero except refilled_us. */
struct warmup_bucket {
	bool may_send; /* result of the last random draw */
	int64_t draw_again_us;
	double tokens; /* requests that may be sent now */
	int64_t refilled_us; /* when tokens were last added */
};

bool warmup_allows(struct warmup_bucket *bucket,
    const struct warmup_limits *limits, struct rng *rng, int64_t now_us);
void warmup_consume(struct warmup_bucket *bucket);

#ifdef __cplusplus
}
#endif

#endif
