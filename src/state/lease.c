#include "state/lease.h"

#include <string.h>

static void
fill_options(struct lease_options *to, const struct lease_options *from)
{
	memset(to, 0, sizeof(*to));
	if (from != NULL)
		*to = *from;
	if (to->lease_ms == 0)
		to->lease_ms = LS_LEASE_MS;
	if (to->margin_ms == 0)
		to->margin_ms = LS_MARGIN_MS;
	if (to->jump_ms == 0)
		to->jump_ms = LS_JUMP_MS;
}

static int64_t
lease_us(const struct lease_options *options)
{
	return options->lease_ms * (int64_t)1000;
}

/*
 * Starts a voter.  It grants nothing for one lease, since it may have granted
 * one just before it was restarted.
 */
void
lease_voter_init(struct lease_voter *vote, const struct lease_options *options,
    int64_t now_us)
{
	memset(vote, 0, sizeof(*vote));
	fill_options(&vote->options, options);
	vote->silent_until_us = now_us + lease_us(&vote->options);
	if (vote->options.unsafe_skip_wait)
		vote->silent_until_us = now_us;
}

/*
 * Grants or renews the lease for a candidate, unless another one may still
 * hold it.  *fence is the highest fencing number seen: a new holder's is
 * higher than that of every earlier one that this voter knew.
 */
bool
lease_voter_request(struct lease_voter *vote, int64_t now_us,
    uint64_t candidate, uint64_t *fence)
{
	if (*fence > vote->fence)
		vote->fence = *fence;
	*fence = vote->fence;
	if (now_us < vote->silent_until_us)
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

/* The holder gives the lease back before its end. */
void
lease_voter_release(struct lease_voter *vote, uint64_t candidate)
{
	if (vote->holder != candidate)
		return;
	vote->holder = 0;
	vote->granted_until_us = 0;
}

/* Starts a candidate that asks a number of voters. */
void
lease_holder_init(struct lease_holder *hold,
    const struct lease_options *options, uint32_t voters)
{
	memset(hold, 0, sizeof(*hold));
	fill_options(&hold->options, options);
	hold->voters = voters < LS_VOTERS_MAX ? voters : LS_VOTERS_MAX;
}

/* Forgets the lease and every answer under way. */
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
 * Moves time on; true: ask all voters now.  A third of a lease lies between
 * two questions, so two may be lost.  A jump of the clock drops the lease.
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
 * Counts a voter's answer.  With a majority the lease is held from the moment
 * that the question was sent, so it ends here before it ends at any voter.
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

/* Whether the lease is held; asked with a fresh clock before each action. */
bool
lease_holder_is_valid(const struct lease_holder *hold, int64_t now_us)
{
	if (hold->until_us == 0)
		return false;
	return hold->options.unsafe_skip_check || now_us < hold->until_us;
}

/* Starts without leadership. */
void
lease_orders_init(
    struct lease_orders *orders, const struct lease_options *options)
{
	memset(orders, 0, sizeof(*orders));
	fill_options(&orders->options, options);
}

/*
 * Notes that leadership was won or renewed.  A new fencing number means that
 * another leader may go on until its own lease, granted at the latest just
 * before, has ended: engines that ignore the number are left alone until then.
 */
void
lease_orders_set_leader(struct lease_orders *orders, int64_t now_us,
    uint64_t fence, int64_t until_us)
{
	if (fence < orders->fence)
		return;
	if (fence > orders->fence)
		orders->old_until_us = now_us + lease_us(&orders->options);
	if (orders->options.unsafe_skip_wait)
		orders->old_until_us = now_us;
	orders->fence = fence;
	orders->until_us = until_us;
}

/* Leadership ended.  The number stays, since it never goes back. */
void
ls_orders_lost(struct lease_orders *orders)
{
	orders->until_us = 0;
}

/* Whether an order may be given now; asked with a fresh clock before each. */
bool
lease_orders_allowed(
    const struct lease_orders *orders, int64_t now_us, bool engine_checks_fence)
{
	if (orders->until_us == 0)
		return false;
	if (now_us >= orders->until_us && !orders->options.unsafe_skip_check)
		return false;
	return engine_checks_fence || now_us >= orders->old_until_us;
}
