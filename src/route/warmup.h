#ifndef CF_ROUTE_WARMUP_H
#define CF_ROUTE_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What one instance may send to one cold server, so that all instances together
 * stay within what the server bears in any second, whether they are in reach of
 * each other or not.  No I/O.
 *
 * Each has the same part: a burst of at least one request and a rate.  When the
 * bursts of all would be more than half of what the server bears, instances
 * draw lots, and about a quarter as many send as it bears requests; then the
 * bound is kept by the odds and not for certain.
 */
struct warmup_limits {
	double bears; /* requests in any second, of all instances together */
	double slack; /* of these, what may come as bursts */
	uint32_t instances; /* that may send; 0: not known, nothing is sent */
};

/* One server's; all zero but full_us at first. */
struct warmup_bucket {
	bool drawn; /* this instance may send, until the next lot */
	int64_t drawn_until_us;
	double tokens; /* requests that may go out now */
	int64_t full_us; /* when tokens were reckoned last */
};

bool warmup_allows(struct warmup_bucket *warmup_bucket,
    const struct warmup_limits *limits, struct rng *rng, int64_t now_us);
void warmup_consume(struct warmup_bucket *warmup_bucket);

#ifdef __cplusplus
}
#endif

#endif
