#include "state/rlog_i.h"

/*
 * Takes over from a leader of an older build, which keeps the votes of
 * instances that are gone: each replacement then adds a voter that never votes,
 * until the majority is lost.
 *
 * A leader can't be told to step down for a certain successor unless its build
 * knows how, but any leader steps down for a later term.  So a follower that
 * has the whole log, and is heard by the leader and a quorum, starts the next
 * term and stands once the promise that it and the others have given to that
 * leader has ended, before their election timers.
 */

enum {
	/* Upgrades restart instances in turn; the leader may be next. */
	WAIT_US = 2000000,
	WAIT_DOUBLINGS_MAX = 5,
	/* After the promise, as it ends a little later at others. */
	STAND_DELAY_US = 10000
};

static void
schedule(struct rlog *rlog)
{
	uint32_t wait_us = WAIT_US << (rlog->takeovers < WAIT_DOUBLINGS_MAX
					   ? rlog->takeovers
					   : WAIT_DOUBLINGS_MAX);

	rlog->takeover_us =
	    rlog->now_us + wait_us + rng_below(&rlog->rng, wait_us);
	rlog->takeover_asked_us = 0;
}

/* Notes whether the leader that sent a message is of an older build. */
void
rlog_takeover_note(struct rlog *rlog, const struct rlog_msg *msg)
{
	if (msg->replaces_voters || !rlog_replaces_voters(rlog)) {
		rlog->takeover_us = 0;
		rlog->takeovers = 0;
		return;
	}
	if (rlog->takeover_us != 0 && rlog->takeover_from == msg->from_id)
		return;
	rlog->takeover_from = msg->from_id;
	schedule(rlog);
}

static bool
may_take_over(const struct rlog *rlog)
{
	return rlog->takeover_us != 0 && rlog->now_us >= rlog->takeover_us &&
	       rlog->role == RLOG_FOLLOWER &&
	       rlog->leader_id == rlog->takeover_from && !rlog->leaving &&
	       rlog_is_voter(rlog, rlog->id) &&
	       rlog->verified_index == rlog_last_index(rlog) &&
	       rlog->durable == rlog_last_index(rlog);
}

/*
 * Tells whether the leader and a quorum have answered the pre-votes that were
 * sent to find out whether they hear this replica.
 */
static bool
is_heard(struct rlog *rlog)
{
	const struct rlog_peer *leader =
	    rlog_find_peer(rlog, rlog->takeover_from);
	size_t heard = 1;

	for (size_t i = 0; i < rlog->peer_count; i++)
		heard += rlog_is_voter(rlog, rlog->peers[i].id) &&
			 rlog->peers[i].answered_us >= rlog->takeover_asked_us;
	return leader != NULL &&
	       leader->answered_us >= rlog->takeover_asked_us &&
	       heard >= rlog_voter_count(rlog) / 2 + 1;
}

/*
 * Takes over when it is time.  Nothing that the leader's lease rests on is
 * broken: it drops the lease as it hears of the next term, and until the
 * promise ends this replica votes for nobody, itself included.
 */
void
rlog_takeover_tick(struct rlog *rlog)
{
	uint64_t leader_instance = rlog->leader_instance;
	struct rlog_msg msg;

	if (!may_take_over(rlog))
		return;
	if (rlog->takeover_asked_us == 0) {
		rlog->takeover_asked_us = rlog->now_us;
		rlog_request_votes(rlog, RLOG_MSG_PREVOTE, rlog->term + 1, 0);
		return;
	}
	if (!is_heard(rlog)) {
		if (rlog->now_us - rlog->takeover_asked_us <
		    rlog->options.election_max_us)
			return;
		rlog->takeovers++;
		schedule(rlog);
		return;
	}
	rlog->takeover_us = 0;
	rlog->takeovers++;
	rlog_become_follower(rlog, rlog->term + 1, 0, 0);
	rlog->election_us = rlog->vote_promise_until_us + STAND_DELAY_US;
	msg = rlog_new_msg(rlog, RLOG_MSG_APPEND_REPLY, rlog->takeover_from);
	rlog_send_when_durable(rlog, rlog->vote_record, leader_instance, &msg);
}
