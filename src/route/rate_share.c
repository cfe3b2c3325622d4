#include "route/rate_share.h"

enum {
	US_PER_S = 1000000
};

/* Returns the bound of a server that takes any number of requests. */
struct rate_bound
rate_bound_none(void)
{
	return (struct rate_bound){.per_s = -1};
}

bool
rate_bound_is_none(const struct rate_bound *bound)
{
	return bound->per_s < 0;
}

/* Returns a bound that keeps both of two bounds. */
struct rate_bound
rate_bound_lower(const struct rate_bound *a, const struct rate_bound *b)
{
	if (rate_bound_is_none(a))
		return *b;
	if (rate_bound_is_none(b))
		return *a;
	return (struct rate_bound){
	    .per_s = a->per_s < b->per_s ? a->per_s : b->per_s,
	    .burst = a->burst < b->burst ? a->burst : b->burst};
}

/*
 * Returns this instance's share of a bound.  Without its place it gets none if
 * not all instances may send.
 */
struct rate_share
rate_share_of(const struct rate_bound *bound,
    const struct rate_members *members, uint64_t server_hash)
{
	uint32_t senders = members->count;
	struct rate_share share = {0};

	if (members->count == 0)
		return share;
	if (bound->burst < members->count) {
		senders = bound->burst < 1 ? 1 : (uint32_t)bound->burst;
		if (members->place == 0 ||
		    (members->place + server_hash % members->count) %
			    members->count >=
			senders)
			return share;
	}
	share.may_send = true;
	share.per_s = bound->per_s / senders;
	share.burst = bound->burst / senders;
	if (share.burst < 1)
		share.burst = 1;
	return share;
}

/*
 * Divides the slots of a server among the instances.  Those that are left over
 * go to instances that depend on the server: where servers are numbered from 0,
 * each goes on where the one before ended, so that all instances get as many of
 * them, but for one.  An instance that does not know the others takes one slot;
 * one that does not know its place takes none of those that are left over.
 */
uint32_t
rate_share_of_slots(
    uint32_t slots, const struct rate_members *members, uint64_t server_number)
{
	uint32_t left_over;

	if (members->count == 0)
		return 1;
	left_over = slots % members->count;
	if (members->place == 0)
		return slots / members->count;
	return slots / members->count +
	       ((members->place + server_number % members->count * left_over) %
		       members->count <
		   left_over);
}

/*
 * Adds the tokens of the time since the last call, at most a burst in all.
 * Returns whether a request may be sent now.  A bucket that may not be used
 * stays empty, so that an instance that takes over another's share starts
 * without a burst.
 */
bool
rate_bucket_refill(
    struct rate_bucket *bucket, const struct rate_share *share, int64_t now_us)
{
	bucket->tokens +=
	    share->per_s * (double)(now_us - bucket->refilled_us) / US_PER_S;
	bucket->refilled_us = now_us;
	if (!share->may_send)
		bucket->tokens = 0;
	else if (bucket->tokens > share->burst)
		bucket->tokens = share->burst;
	return bucket->tokens >= 1;
}

/*
 * Returns when the next request may be sent, as of a refill at now_us, or
 * INT64_MAX if none may be sent with this share.
 */
int64_t
rate_bucket_opens_us(const struct rate_bucket *bucket,
    const struct rate_share *share, int64_t now_us)
{
	if (bucket->tokens >= 1)
		return now_us;
	if (share->per_s <= 0)
		return INT64_MAX;
	return now_us +
	       (int64_t)((1 - bucket->tokens) / share->per_s * US_PER_S) + 1;
}

/* Takes the token of a request that is sent. */
void
rate_bucket_consume(struct rate_bucket *bucket)
{
	bucket->tokens -= 1;
}
