#include "state/lease.h"

#include <string.h>

enum {
	US_PER_MS = 1000,
	RENEW_SHARE = 3 /* a lease is asked for anew after a third of it */
};

static int64_t
or_default_us(uint32_t value_ms, uint32_t fallback_ms)
{
	return (int64_t)(value_ms != 0 ? value_ms : fallback_ms) * US_PER_MS;
}

static int64_t
lease_us(const struct ls_options *options)
{
	return or_default_us(options->lease_ms, LS_LEASE_MS);
}

static int64_t
margin_us(const struct ls_options *options)
{
	return or_default_us(options->margin_ms, LS_MARGIN_MS);
}

static int64_t
jump_us(const struct ls_options *options)
{
	return or_default_us(options->jump_ms, LS_JUMP_MS);
}

/* Starts a voter; it grants nothing for one lease, in case it granted before.
 */
void
ls_vote_init(
    struct ls_vote *vote, const struct ls_options *options, int64_t now_us)
{
	memset(vote, 0, sizeof(*vote));
	vote->options = *options;
	if (!options->unsafe_skip_wait)
		vote->silent_until_us = now_us + lease_us(options);
}

/*
 * Asks a voter for the lease.  Returns true if the candidate has it from now
 * on; *fence is the number for its orders, the highest that the voter has
 * seen, and one more for a new holder.
 */
bool
ls_vote_ask(
    struct ls_vote *vote, int64_t now_us, uint64_t candidate, uint64_t *fence)
{
	bool free = vote->holder == 0 || now_us >= vote->granted_until_us;

	if (now_us < vote->silent_until_us)
		return false;
	if (vote->holder != candidate && !free)
		return false;
	if (vote->holder != candidate || free)
		vote->fence++;
	vote->holder = candidate;
	vote->granted_until_us = now_us + lease_us(&vote->options);
	*fence = vote->fence;
	return true;
}

/* Gives a lease back, so that the next holder need not wait. */
void
ls_vote_release(struct ls_vote *vote, uint64_t candidate)
{
	if (vote->holder != candidate)
		return;
	vote->holder = 0;
	vote->granted_until_us = 0;
}

/* Starts a candidate that holds nothing. */
void
ls_hold_init(
    struct ls_hold *hold, const struct ls_options *options, uint32_t voters)
{
	memset(hold, 0, sizeof(*hold));
	hold->options = *options;
	hold->voters = voters < LS_VOTERS_MAX ? voters : LS_VOTERS_MAX;
}

/* A gap between steps means that the process slept: nothing held is sure. */
static void
check_jump(struct ls_hold *hold, int64_t now_us)
{
	bool jumped = hold->seen_us != 0 &&
		      now_us - hold->seen_us > jump_us(&hold->options);

	hold->seen_us = now_us;
	if (jumped && !hold->options.unsafe_skip_jump)
		ls_hold_drop(hold);
}

/*
 * Lets time pass.  Returns true when all voters are to be asked, with
 * hold->round; jitter_us spreads the candidates.
 */
bool
ls_hold_tick(struct ls_hold *hold, int64_t now_us, uint32_t jitter_us)
{
	check_jump(hold, now_us);
	if (now_us < hold->due_us)
		return false;
	hold->round++;
	hold->asked_us = now_us;
	hold->grants = 0;
	memset(hold->granted, 0, sizeof(hold->granted));
	hold->due_us =
	    now_us + lease_us(&hold->options) / RENEW_SHARE + jitter_us;
	return true;
}

/* Takes a voter's answer to the present round. */
void
ls_hold_answer(struct ls_hold *hold, int64_t now_us, uint32_t voter,
    uint64_t round, bool granted, uint64_t fence)
{
	int64_t until_us = hold->asked_us + lease_us(&hold->options) -
			   margin_us(&hold->options);

	check_jump(hold, now_us);
	if (round != hold->round || !granted || voter >= hold->voters ||
	    hold->granted[voter])
		return;
	hold->granted[voter] = 1;
	hold->grants++;
	if (fence > hold->fence)
		hold->fence = fence;
	/* Counted from the question: a late answer does not lengthen it. */
	if (hold->grants * 2 > hold->voters && now_us < until_us &&
	    until_us > hold->until_us)
		hold->until_us = until_us;
}

/* Returns whether the lease is held at a time read just before. */
bool
ls_hold_valid(const struct ls_hold *hold, int64_t now_us)
{
	if (hold->until_us == 0)
		return false;
	if (hold->options.unsafe_skip_check)
		return true;
	return now_us < hold->until_us;
}

/* Holds nothing any more; answers still under way do not count. */
void
ls_hold_drop(struct ls_hold *hold)
{
	hold->until_us = 0;
	hold->grants = 0;
	hold->round++;
	hold->due_us = 0;
}

/* Starts without leadership. */
void
ls_orders_init(struct ls_orders *orders, const struct ls_options *options)
{
	memset(orders, 0, sizeof(*orders));
	orders->options = *options;
}

/*
 * Leadership was won or renewed until until_us.  A former leader that nobody
 * could tell may go on until its own lease ends, at most one lease from now.
 */
void
ls_orders_lead(
    struct ls_orders *orders, int64_t now_us, uint64_t fence, int64_t until_us)
{
	if (fence != orders->fence)
		orders->old_until_us = now_us + lease_us(&orders->options);
	orders->fence = fence;
	orders->until_us = until_us;
}

/* Leadership went; no order may be given. */
void
ls_orders_lost(struct ls_orders *orders)
{
	orders->fence = 0;
	orders->until_us = 0;
}

/* Returns whether an order may be given now to an engine of this kind. */
bool
ls_orders_may(
    const struct ls_orders *orders, int64_t now_us, bool engine_checks_fence)
{
	if (orders->fence == 0)
		return false;
	if (!orders->options.unsafe_skip_check && now_us >= orders->until_us)
		return false;
	if (engine_checks_fence || orders->options.unsafe_skip_wait)
		return true;
	return now_us >= orders->old_until_us;
}
