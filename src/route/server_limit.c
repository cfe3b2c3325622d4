#include "route/server_limit.h"

enum {
	MILLI = 1000,
	CHANGE_SHIFT = 32 /* position of the change in a packed limit */
};

/*
 * Servers bear half as much again as their limit over 4 s and five requests
 * more.  Bursts take most of that; the rest is left for instances that differ
 * about their number, and for requests that arrive closer than they were sent.
 */
static const double burst_requests = 4;
static const double burst_s = 1.5;

/* Forgets a limit of which nothing was heard for long. */
static void
forget_old(struct server_limit *limit, int64_t now_us)
{
	if (now_us - limit->heard_us >= SERVER_LIMIT_KEEP_US)
		limit->milli_per_s = 0;
}

/* Stores a change that this instance was the first to hear. */
static void
begin_change(struct server_limit *limit, uint32_t milli_per_s, int64_t now_us)
{
	limit->milli_per_s = milli_per_s;
	limit->change++;
	limit->heard_us = limit->told_us = now_us;
}

/*
 * Handles a limit named in the answer to a request that was sent at sent_us.
 * Returns whether the other instances should be told.
 */
bool
server_limit_hear(struct server_limit *limit, uint32_t milli_per_s,
    int64_t sent_us, int64_t now_us)
{
	if (milli_per_s < SERVER_LIMIT_MIN_MILLI_PER_S)
		milli_per_s = SERVER_LIMIT_MIN_MILLI_PER_S;
	if (milli_per_s > SERVER_LIMIT_MAX_MILLI_PER_S)
		milli_per_s = SERVER_LIMIT_MAX_MILLI_PER_S;
	forget_old(limit, now_us);
	if (limit->milli_per_s == milli_per_s) {
		limit->heard_us = now_us;
		if (now_us - limit->told_us < SERVER_LIMIT_TELL_US)
			return false;
	} else if (limit->milli_per_s != 0 &&
		   milli_per_s > limit->milli_per_s &&
		   sent_us < limit->heard_us)
		return false;
	begin_change(limit, milli_per_s, now_us);
	return true;
}

/*
 * Handles the answer without a limit to a request that was sent at sent_us.
 * Returns whether the other instances should be told.
 */
bool
server_limit_hear_none(
    struct server_limit *limit, int64_t sent_us, int64_t now_us)
{
	forget_old(limit, now_us);
	if (limit->milli_per_s == 0 || sent_us < limit->heard_us)
		return false;
	begin_change(limit, 0, now_us);
	return true;
}

/*
 * Handles a limit that another instance tells.  Returns whether it is later
 * than the known one.
 */
bool
server_limit_told(struct server_limit *limit, uint64_t packed, int64_t now_us)
{
	if (packed <= server_limit_pack(limit))
		return false;
	limit->milli_per_s =
	    (uint32_t)packed != 0 ? UINT32_MAX - (uint32_t)packed : 0;
	limit->change = (uint32_t)(packed >> CHANGE_SHIFT);
	limit->heard_us = limit->told_us = now_us;
	return true;
}

/*
 * Returns the limit as one number, which is higher for a later change, and of
 * the same change for a lower limit.
 */
uint64_t
server_limit_pack(const struct server_limit *limit)
{
	uint32_t tightness =
	    limit->milli_per_s != 0 ? UINT32_MAX - limit->milli_per_s : 0;

	return (uint64_t)limit->change << CHANGE_SHIFT | tightness;
}

/* Returns what all instances together may send because of the limit. */
struct rate_bound
server_limit_bound(const struct server_limit *limit, int64_t now_us)
{
	double per_s = (double)limit->milli_per_s / MILLI;

	if (limit->milli_per_s == 0 ||
	    now_us - limit->heard_us >= SERVER_LIMIT_KEEP_US)
		return rate_bound_none();
	return (struct rate_bound){
	    .per_s = per_s, .burst = burst_requests + burst_s * per_s};
}
