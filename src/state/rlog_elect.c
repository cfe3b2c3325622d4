#include "state/rlog_i.h"

/*
 * Resets the election timer to a random timeout between election_min_us and
 * election_max_us.
 */
void
rlog_reset_election_timer(struct rl *rl)
{
	int64_t span =
	    rl->options.election_max_us - rl->options.election_min_us + 1;

	rl->election_us = rl->now_us + rl->options.election_min_us +
			  rng_below(&rl->rng, (uint32_t)span);
}

/*
 * Sets the timer to retry soon after a split vote.  The timeout doubles with
 * each of the first three campaigns: with slow disks, votes take longer than
 * the first timeout to become durable.
 */
static void
retry_election(struct rl *rl)
{
	uint32_t wait_us = (uint32_t)rl->options.election_min_us / 4;

	wait_us <<= rl->campaigns < 3 ? rl->campaigns : 3;
	rl->election_us =
	    rl->now_us + wait_us / 2 + rng_below(&rl->rng, wait_us);
}

static void
set_term(struct rl *rl, uint64_t term, uint64_t voted_for)
{
	if (rl->term == term && rl->voted_for == voted_for)
		return;
	if (term > rl->term)
		rl->verified_index = rl->newest_round = 0;
	rl->term = term;
	rl->voted_for = voted_for;
	rlog_persist_vote(rl);
}

/*
 * Becomes a follower of a leader, or of none (leader_id 0), in the current or a
 * later term.
 */
void
rlog_become_follower(
    struct rl *rl, uint64_t term, uint64_t leader_id, uint64_t leader_instance)
{
	bool was_follower = rl->role == RLOG_FOLLOWER;

	if (rl->role == RL_LEADER) {
		rlog_refuse_reads(rl, ERR_NOT_LEADER);
		rl->lease_until_us = 0;
		rl->handover_until_us = 0;
		rl->remove_index = 0;
		if (rl->remove_token != 0)
			rlog_refuse(rl, rl->remove_token, ERR_TIMEOUT);
		rl->remove_token = 0;
	}
	rl->role = RLOG_FOLLOWER;
	rl->transfer = false;
	if (term > rl->term)
		set_term(rl, term, 0);
	rl->leader_id = leader_id;
	rl->leader_instance =
	    leader_id != 0 ? leader_instance : (uint64_t)RL_NO_INSTANCE;
	if (!was_follower)
		rlog_reset_election_timer(rl);
}

static void
request_votes(
    struct rl *rl, enum rlog_msg_kind kind, uint64_t term, uint64_t number)
{
	struct rl_msg msg;
	size_t i;

	for (i = 0; i < rl->peer_count; i++) {
		rl->peers[i].granted = false;
		if (!rlog_is_voter(rl, rl->peers[i].id))
			continue;
		msg = rlog_new_msg(rl, kind, rl->peers[i].id);
		msg.term = term;
		msg.log_index = rlog_last_index(rl);
		msg.log_term = rlog_last_term(rl);
		msg.transfer = rl->transfer;
		rlog_send_when_durable(rl, number, rl->peers[i].instance, &msg);
	}
}

/*
 * Starts a pre-vote: asks whether an election could be won without raising the
 * term, so that a replica that was cut off doesn't depose the leader when it
 * returns.
 */
static void
start_prevote(struct rl *rl)
{
	rl->role = RLOG_PRECANDIDATE;
	rl->leader_id = 0;
	rl->leader_instance = RL_NO_INSTANCE;
	retry_election(rl);
	request_votes(rl, RLOG_MSG_PREVOTE, rl->term + 1, 0);
	rlog_count_votes(rl);
}

/* Starts an election in the next term. */
void
rlog_campaign(struct rl *rl, bool transfer)
{
	rl->role = RLOG_CANDIDATE;
	rl->transfer = transfer;
	rl->leader_id = 0;
	rl->leader_instance = RL_NO_INSTANCE;
	set_term(rl, rl->term + 1, rl->id);
	rl->campaigns++;
	retry_election(rl);
	request_votes(rl, RLOG_MSG_VOTE, rl->term, rl->vote_record);
	rlog_count_votes(rl);
}

/*
 * Counts the votes and proceeds with a majority: from a pre-vote to an
 * election, from an election to leadership.  The own vote counts once it is
 * durable.
 */
void
rlog_count_votes(struct rl *rl)
{
	size_t votes = 0, i;

	if (rl->role != RLOG_CANDIDATE && rl->role != RLOG_PRECANDIDATE)
		return;
	if (rlog_is_voter(rl, rl->id) &&
	    (rl->role == RLOG_PRECANDIDATE || rl->persisted >= rl->vote_record))
		votes++;
	for (i = 0; i < rl->peer_count; i++)
		if (rl->peers[i].granted && rlog_is_voter(rl, rl->peers[i].id))
			votes++;
	if (votes < rlog_voter_count(rl) / 2 + 1)
		return;
	if (rl->role == RLOG_CANDIDATE)
		rlog_become_leader(rl);
	else
		rlog_campaign(rl, false);
}

/*
 * Returns the monotonic time in microseconds at which this replica starts an
 * election unless it hears from a leader.  A leaving replica waits 2 *
 * election_max_us longer, so that others are elected first.
 */
int64_t
rlog_election_due_us(const struct rl *rl)
{
	return rl->election_us +
	       (rl->leaving ? 2 * rl->options.election_max_us : 0);
}

/*
 * Starts an election when the election timer has expired.  A replica that is
 * not a voter only forgets the leader.
 */
void
rlog_election_tick(struct rl *rl)
{
	if (rl->role == RL_LEADER || rl->now_us < rlog_election_due_us(rl))
		return;
	if (!rlog_is_voter(rl, rl->id)) {
		rl->leader_id = 0;
		rl->leader_instance = RL_NO_INSTANCE;
		rlog_reset_election_timer(rl);
		return;
	}
	if (rl->options.unsafe_skip_prevote)
		rlog_campaign(rl, false);
	else
		start_prevote(rl);
}

static bool
log_is_current(const struct rl *rl, const struct rl_msg *msg)
{
	if (rl->options.unsafe_skip_log_check)
		return true;
	if (msg->log_term != rlog_last_term(rl))
		return msg->log_term > rlog_last_term(rl);
	return msg->log_index >= rlog_last_index(rl);
}

/*
 * Tells whether this replica must not vote for another candidate yet.  A
 * replica that heard from a leader within election_min_us, or that may have
 * done so before its restart, must not shorten that leader's lease.
 */
static bool
has_promised_vote(const struct rl *rl)
{
	if (rl->role == RL_LEADER)
		return rl->now_us < rl->lease_until_us;
	return rl->now_us < rl->vote_promise_until_us;
}

/* Replies to a pre-vote; the replica's state doesn't change. */
void
rlog_on_prevote(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_msg reply =
	    rlog_new_msg(rl, RLOG_MSG_PREVOTE_REPLY, msg->from_id);

	reply.ok = msg->term > rl->term && !has_promised_vote(rl) &&
		   log_is_current(rl, msg);
	reply.term = reply.ok ? msg->term : rl->term;
	rlog_send(rl, msg->from_instance, &reply);
}

/* Handles the reply to a pre-vote. */
void
rlog_on_prevote_reply(struct rl *rl, const struct rl_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rl, msg->from_id);

	if (!msg->ok) {
		if (msg->term > rl->term)
			rlog_become_follower(rl, msg->term, 0, 0);
		return;
	}
	if (rl->role != RLOG_PRECANDIDATE || msg->term != rl->term + 1 ||
	    peer == NULL)
		return;
	peer->granted = true;
	rlog_count_votes(rl);
}

/* Handles a vote request; the reply is sent once the vote is durable. */
void
rlog_on_vote(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_msg reply;

	if (msg->term < rl->term ||
	    (has_promised_vote(rl) &&
		!(msg->transfer && msg->term == rl->term + 1)))
		return;
	if (msg->term > rl->term)
		rlog_become_follower(rl, msg->term, 0, 0);
	reply = rlog_new_msg(rl, RLOG_MSG_VOTE_REPLY, msg->from_id);
	reply.ok = (rl->voted_for == 0 || rl->voted_for == msg->from_id) &&
		   log_is_current(rl, msg);
	if (reply.ok) {
		rlog_become_follower(rl, rl->term, 0, 0);
		set_term(rl, rl->term, msg->from_id);
		rlog_reset_election_timer(rl);
	}
	rlog_send_when_durable(rl, rl->vote_record, msg->from_instance, &reply);
}

/* Handles the reply to a vote request. */
void
rlog_on_vote_reply(struct rl *rl, const struct rl_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rl, msg->from_id);

	if (msg->term > rl->term) {
		rlog_become_follower(rl, msg->term, 0, 0);
		return;
	}
	if (rl->role != RLOG_CANDIDATE || msg->term != rl->term || !msg->ok ||
	    peer == NULL)
		return;
	peer->granted = true;
	rlog_count_votes(rl);
}

/*
 * Starts an election at once because the leader of this term has stepped down
 * in favour of this replica.  The old leader has dropped its lease, so the
 * voters' promise to it no longer applies.
 */
void
rlog_on_timeout_now(struct rl *rl, const struct rl_msg *msg)
{
	if (msg->term != rl->term || rl->role == RL_LEADER ||
	    !rlog_is_voter(rl, rl->id) || rl->leaving)
		return;
	rlog_campaign(rl, true);
}
