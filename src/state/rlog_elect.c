#include "state/rlog_i.h"

/* Puts the next election off by a random time. */
void
rl_rest_election(struct rlog *rlog)
{
	int64_t span =
	    rlog->options.election_max_us - rlog->options.election_min_us + 1;

	rlog->election_us = rlog->now_us + rlog->options.election_min_us +
			    rng_below(&rlog->rng, (uint32_t)span);
}

/*
 * Tries again soon after a split vote, and later each time: where disks are
 * slow, the votes take longer than the first wait.
 */
static void
retry_election(struct rlog *rlog)
{
	uint32_t wait_us = (uint32_t)rlog->options.election_min_us / 4;

	wait_us <<= rlog->campaigns < 3 ? rlog->campaigns : 3;
	rlog->election_us =
	    rlog->now_us + wait_us / 2 + rng_below(&rlog->rng, wait_us);
}

static void
set_term(struct rlog *rlog, uint64_t term, uint64_t voted_for)
{
	if (rlog->term == term && rlog->voted_for == voted_for)
		return;
	if (term > rlog->term)
		rlog->verified = rlog->seen_round = 0;
	rlog->term = term;
	rlog->voted_for = voted_for;
	rl_persist_vote(rlog);
}

/*
 * Follows a leader, or nobody (leader_id 0), in a term that is not below the
 * current one.
 */
void
rl_become_follower(struct rlog *rlog, uint64_t term, uint64_t leader_id,
    uint64_t leader_instance)
{
	bool was_follower = rlog->role == RL_FOLLOWER;

	if (rlog->role == RLOG_LEADER) {
		rl_refuse_reads(rlog, ERR_NOT_LEADER);
		rlog->lease_until_us = 0;
		rlog->handover_until_us = 0;
		rlog->remove_index = 0;
		if (rlog->remove_token != 0)
			rl_refuse(rlog, rlog->remove_token, ERR_TIMEOUT);
		rlog->remove_token = 0;
	}
	rlog->role = RL_FOLLOWER;
	rlog->transfer = false;
	if (term > rlog->term)
		set_term(rlog, term, 0);
	rlog->leader_id = leader_id;
	rlog->leader_instance =
	    leader_id != 0 ? leader_instance : (uint64_t)RLOG_NO_INSTANCE;
	if (!was_follower)
		rl_rest_election(rlog);
}

static void
ask_all(
    struct rlog *rlog, enum rl_msg_kind kind, uint64_t term, uint64_t number)
{
	struct rlog_msg msg;
	size_t i;

	for (i = 0; i < rlog->peer_count; i++) {
		rlog->peers[i].granted = false;
		if (!rl_is_voter(rlog, rlog->peers[i].id))
			continue;
		msg = rl_msg_to(rlog, kind, rlog->peers[i].id);
		msg.term = term;
		msg.log_index = rl_last_index(rlog);
		msg.log_term = rl_last_term(rlog);
		msg.transfer = rlog->transfer;
		rl_send_after(rlog, number, rlog->peers[i].instance, &msg);
	}
}

/*
 * Asks whether an election could be won, without raising the term, so that a
 * replica that was cut off disturbs nobody when it returns.
 */
static void
start_prevote(struct rlog *rlog)
{
	rlog->role = RL_PRECANDIDATE;
	rlog->leader_id = 0;
	rlog->leader_instance = RLOG_NO_INSTANCE;
	retry_election(rlog);
	ask_all(rlog, RL_MSG_PREVOTE, rlog->term + 1, 0);
	rl_count_votes(rlog);
}

/* Stands for leadership in the next term. */
void
rl_campaign(struct rlog *rlog, bool transfer)
{
	rlog->role = RL_CANDIDATE;
	rlog->transfer = transfer;
	rlog->leader_id = 0;
	rlog->leader_instance = RLOG_NO_INSTANCE;
	set_term(rlog, rlog->term + 1, rlog->id);
	rlog->campaigns++;
	retry_election(rlog);
	ask_all(rlog, RL_MSG_VOTE, rlog->term, rlog->vote_number);
	rl_count_votes(rlog);
}

/* Acts on the votes so far; the own one counts once it is durable. */
void
rl_count_votes(struct rlog *rlog)
{
	size_t votes = 0, i;

	if (rlog->role != RL_CANDIDATE && rlog->role != RL_PRECANDIDATE)
		return;
	if (rl_is_voter(rlog, rlog->id) &&
	    (rlog->role == RL_PRECANDIDATE ||
		rlog->persisted >= rlog->vote_number))
		votes++;
	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].granted &&
		    rl_is_voter(rlog, rlog->peers[i].id))
			votes++;
	if (votes < rl_voter_count(rlog) / 2 + 1)
		return;
	if (rlog->role == RL_CANDIDATE)
		rl_become_leader(rlog);
	else
		rl_campaign(rlog, false);
}

/*
 * Returns when this replica starts an election unless it hears of a leader.
 * One that is leaving lets the others try first.
 */
int64_t
rl_election_due_us(const struct rlog *rlog)
{
	return rlog->election_us +
	       (rlog->leaving ? 2 * rlog->options.election_max_us : 0);
}

/* Starts an election when no leader has been heard of for long enough. */
void
rl_elect_tick(struct rlog *rlog)
{
	if (rlog->role == RLOG_LEADER ||
	    rlog->now_us < rl_election_due_us(rlog))
		return;
	if (!rl_is_voter(rlog, rlog->id)) {
		rlog->leader_id = 0;
		rlog->leader_instance = RLOG_NO_INSTANCE;
		rl_rest_election(rlog);
		return;
	}
	if (rlog->options.unsafe_skip_prevote)
		rl_campaign(rlog, false);
	else
		start_prevote(rlog);
}

static bool
log_is_current(const struct rlog *rlog, const struct rlog_msg *msg)
{
	if (rlog->options.unsafe_skip_log_check)
		return true;
	if (msg->log_term != rl_last_term(rlog))
		return msg->log_term > rl_last_term(rlog);
	return msg->log_index >= rl_last_index(rlog);
}

/*
 * A replica that has heard from a leader lately, or that may have before its
 * restart, keeps that leader's lease whole: it votes for nobody else.
 */
static bool
is_promised(const struct rlog *rlog)
{
	if (rlog->role == RLOG_LEADER)
		return rlog->now_us < rlog->lease_until_us;
	return rlog->now_us < rlog->promise_us;
}

/* Answers a pre-vote; nothing changes here. */
void
rl_on_prevote(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply =
	    rl_msg_to(rlog, RL_MSG_PREVOTE_REPLY, msg->from_id);

	reply.ok = msg->term > rlog->term && !is_promised(rlog) &&
		   log_is_current(rlog, msg);
	reply.term = reply.ok ? msg->term : rlog->term;
	rl_send(rlog, msg->from_instance, &reply);
}

/* Takes the answer to a pre-vote. */
void
rl_on_prevote_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rl_peer *peer = rl_peer_of(rlog, msg->from_id);

	if (!msg->ok) {
		if (msg->term > rlog->term)
			rl_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RL_PRECANDIDATE || msg->term != rlog->term + 1 ||
	    peer == NULL)
		return;
	peer->granted = true;
	rl_count_votes(rlog);
}

/* Answers a request for a vote, once the vote is durable. */
void
rl_on_vote(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply;

	if (msg->term < rlog->term ||
	    (is_promised(rlog) &&
		!(msg->transfer && msg->term == rlog->term + 1)))
		return;
	if (msg->term > rlog->term)
		rl_become_follower(rlog, msg->term, 0, 0);
	reply = rl_msg_to(rlog, RL_MSG_VOTE_REPLY, msg->from_id);
	reply.ok = (rlog->voted_for == 0 || rlog->voted_for == msg->from_id) &&
		   log_is_current(rlog, msg);
	if (reply.ok) {
		rl_become_follower(rlog, rlog->term, 0, 0);
		set_term(rlog, rlog->term, msg->from_id);
		rl_rest_election(rlog);
	}
	rl_send_after(rlog, rlog->vote_number, msg->from_instance, &reply);
}

/* Takes the answer to a request for a vote. */
void
rl_on_vote_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rl_peer *peer = rl_peer_of(rlog, msg->from_id);

	if (msg->term > rlog->term) {
		rl_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RL_CANDIDATE || msg->term != rlog->term || !msg->ok ||
	    peer == NULL)
		return;
	peer->granted = true;
	rl_count_votes(rlog);
}

/*
 * The leader of this term has stepped down in favour of this replica.  It holds
 * no lease any more, so the voters' promise to it is void.
 */
void
rl_on_timeout_now(struct rlog *rlog, const struct rlog_msg *msg)
{
	if (msg->term != rlog->term || rlog->role == RLOG_LEADER ||
	    !rl_is_voter(rlog, rlog->id) || rlog->leaving)
		return;
	rl_campaign(rlog, true);
}
