#include "state/lease.h"

#include <string.h>

static void
fill_options(struct lease_options *to, const struct lease_options *from)
{
	memset(to, 0, sizeof(*to));
	if (from != NULL)
		*to = *from;
	if (to->lease_ms == 0)
		to->lease_ms = LEASE_DEFAULT_MS;
	if (to->margin_ms == 0)
		to->margin_ms = LEASE_DRIFT_MARGIN_MS;
	if (to->jump_ms == 0)
		to->jump_ms = LEASE_CLOCK_JUMP_MS;
}

static int64_t
lease_us(const struct lease_options *options)
{
	return options->lease_ms * (int64_t)1000;
}

/*
 * Starts a voter.  It grants nothing for one lease duration, since it may have
 * granted a lease just before it was restarted.
 */
void
lease_voter_init(struct lease_voter *vote, const struct lease_options *options,
    int64_t now_us)
{
	memset(vote, 0, sizeof(*vote));
	fill_options(&vote->options, options);
	vote->no_grants_until_us = now_us + lease_us(&vote->options);
	if (vote->options.unsafe_skip_wait)
		vote->no_grants_until_us = now_us;
}

/*
 * Grants or renews the lease for a candidate, unless another one may still hold
 * it.  *fence is the highest fencing number that the candidate has seen; on
 * return, it is the highest one known to this voter.  A new holder's number is
 * higher than those of all earlier holders that this voter knew.
 */
bool
lease_voter_request(struct lease_voter *vote, int64_t now_us,
    uint64_t candidate, uint64_t *fence)
{
	if (*fence > vote->fence)
		vote->fence = *fence;
	*fence = vote->fence;
	if (now_us < vote->no_grants_until_us)
		return false;
	if (vote->holder != 0 && vote->holder != candidate &&
	    now_us < vote->granted_until_us && !vote->options.unsafe_skip_wait)
		return false;
	if (vote->holder != candidate)
		vote->fence++;
	*fence = vote->fence;
	vote->holder = candidate;
	vote->granted_until_us = now_us + lease_us(&vote->options);
	return true;
}

/* Ends the candidate's lease before it expires. */
void
lease_voter_release(struct lease_voter *vote, uint64_t candidate)
{
	if (vote->holder != candidate)
		return;
	vote->holder = 0;
	vote->granted_until_us = 0;
}

/*
 * Initializes a candidate that requests the lease from a number of voters, at
 * most LEASE_VOTERS_MAX.
 */
void
lease_holder_init(struct lease_holder *hold,
    const struct lease_options *options, uint32_t voters)
{
	memset(hold, 0, sizeof(*hold));
	fill_options(&hold->options, options);
	hold->voters = voters < LEASE_VOTERS_MAX ? voters : LEASE_VOTERS_MAX;
}

/* Drops the lease and ignores replies still in flight. */
void
lease_holder_drop(struct lease_holder *hold)
{
	hold->until_us = 0;
	hold->grants = 0;
	hold->asked_us = 0;
	memset(hold->granted, 0, sizeof(hold->granted));
	hold->round++;
}

/*
 * Advances the time to now_us; returns true if all voters have to be asked now.
 * Requests are a third of the lease apart, so two in a row may be lost.  A jump
 * of the clock by more than jump_ms drops the lease.
 */
bool
lease_holder_tick(struct lease_holder *hold, int64_t now_us, uint32_t jitter_us)
{
	bool jumped;

	jumped =
	    hold->seen_us != 0 &&
	    now_us - hold->seen_us > hold->options.jump_ms * (int64_t)1000 &&
	    !hold->options.unsafe_skip_jump;
	hold->seen_us = now_us;
	if (jumped)
		lease_holder_drop(hold);
	if (now_us < hold->due_us)
		return false;
	hold->due_us = now_us + lease_us(&hold->options) / 3 + jitter_us;
	hold->asked_us = now_us;
	hold->round++;
	hold->grants = 0;
	memset(hold->granted, 0, sizeof(hold->granted));
	return true;
}

/*
 * Counts a voter's reply.  With a majority, the lease counts from the time when
 * the request was sent, less the margin, so it ends here before it ends at any
 * voter.
 */
void
lease_holder_on_reply(struct lease_holder *hold, int64_t now_us, uint32_t voter,
    uint64_t round, bool granted, uint64_t fence)
{
	int64_t until_us;

	if (fence > hold->fence)
		hold->fence = fence;
	if (round != hold->round || !granted || voter >= hold->voters ||
	    hold->granted[voter])
		return;
	hold->granted[voter] = 1;
	if (++hold->grants <= hold->voters / 2)
		return;
	until_us = hold->asked_us + lease_us(&hold->options) -
		   hold->options.margin_ms * (int64_t)1000;
	if (until_us > hold->until_us && until_us > now_us)
		hold->until_us = until_us;
}

/*
 * Tells whether the lease is held.  Call it before each action under the lease,
 * with a clock read just before.
 */
bool
lease_holder_is_valid(const struct lease_holder *hold, int64_t now_us)
{
	if (hold->until_us == 0)
		return false;
	return hold->options.unsafe_skip_check || now_us < hold->until_us;
}

void
lease_orders_init(
    struct lease_orders *orders, const struct lease_options *options)
{
	memset(orders, 0, sizeof(*orders));
	fill_options(&orders->options, options);
}

/*
 * Records that leadership was won or renewed.  With a new fencing number, a
 * former leader may continue until its own lease ends, which was granted at the
 * latest just before.  Until then, no orders go to engines that ignore the
 * number.
 */
void
lease_orders_set_leader(struct lease_orders *orders, int64_t now_us,
    uint64_t fence, int64_t until_us)
{
	if (fence < orders->fence)
		return;
	if (fence > orders->fence)
		orders->former_leader_until_us =
		    now_us + lease_us(&orders->options);
	if (orders->options.unsafe_skip_wait)
		orders->former_leader_until_us = now_us;
	orders->fence = fence;
	orders->until_us = until_us;
}

/*
 * Records the end of leadership.  The fencing number is kept, since it never
 * decreases.
 */
void
lease_orders_clear_leader(struct lease_orders *orders)
{
	orders->until_us = 0;
}

/*
 * Tells whether an order may be sent to an engine now.  Call it before each
 * order, with a clock read just before.
 */
bool
lease_orders_allowed(
    const struct lease_orders *orders, int64_t now_us, bool engine_checks_fence)
{
	if (orders->until_us == 0)
		return false;
	if (now_us >= orders->until_us && !orders->options.unsafe_skip_check)
		return false;
	return engine_checks_fence || now_us >= orders->former_leader_until_us;
}
