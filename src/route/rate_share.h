#ifndef CF_ROUTE_RATE_SHARE_H
#define CF_ROUTE_RATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Divides a bound on the requests that all instances together send to a server
 * into one token bucket for each instance, so that the bound holds whether or
 * not the instances can reach each other.  No I/O.
 *
 * Every instance gets the same share if each can have a burst of at least one
 * request.  With more instances than that, only as many may send as the bound
 * allows bursts.  They follow each other in the order of all instances, from a
 * position that depends on the server, so that different servers are used by
 * different instances.
 */
struct rate_bound {
	double per_s; /* sustained rate; negative: there is no bound */
	double burst; /* requests on top of that in any period */
};

/* The instances that share a bound, and this one's position among them. */
struct rate_members {
	uint32_t count; /* 0: not known, nothing is sent */
	uint32_t
	    place; /* from 1, in an order that all agree on; 0: not known */
};

/* What one instance may send. */
struct rate_share {
	bool may_send;
	double per_s;
	double burst;
};

/* Token bucket of one instance for one server; all fields start at zero. */
struct rate_bucket {
	double tokens; /* requests that may be sent now */
	int64_t refilled_us; /* when tokens were last added */
};

struct rate_bound rate_bound_none(void);
bool rate_bound_is_none(const struct rate_bound *bound);
struct rate_bound rate_bound_lower(
    const struct rate_bound *a, const struct rate_bound *b);
struct rate_share rate_share_of(const struct rate_bound *bound,
    const struct rate_members *members, uint64_t server_hash);
uint32_t rate_share_of_slots(
    uint32_t slots, const struct rate_members *members, uint64_t server_number);
bool rate_bucket_refill(
    struct rate_bucket *bucket, const struct rate_share *share, int64_t now_us);
int64_t rate_bucket_opens_us(const struct rate_bucket *bucket,
    const struct rate_share *share, int64_t now_us);
void rate_bucket_consume(struct rate_bucket *bucket);

#ifdef __cplusplus
}
#endif

#endif
