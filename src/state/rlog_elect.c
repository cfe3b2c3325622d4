#include "state/rlog_i.h"

/*
 * Resets the election timer to a random timeout between election_min_us and
 * election_max_us.
 */
void
rlog_reset_election_timer(struct rlog *rlog)
{
	int64_t span =
	    rlog->options.election_max_us - rlog->options.election_min_us + 1;

	rlog->election_us = rlog->now_us + rlog->options.election_min_us +
			    rng_below(&rlog->rng, (uint32_t)span);
}

/*
 * Sets the timer to retry soon after a split vote.  The timeout doubles with
 * each of the first three campaigns: with slow disks, votes take longer than
 * the first timeout to become durable.
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
		rlog->verified_index = rlog->newest_round = 0;
	rlog->term = term;
	rlog->voted_for = voted_for;
	rlog_persist_vote(rlog);
}

/*
 * Becomes a follower of a leader, or of none (leader_id 0), in the current or a
 * later term.
 */
void
rlog_become_follower(struct rlog *rlog, uint64_t term, uint64_t leader_id,
    uint64_t leader_instance)
{
	bool was_follower = rlog->role == RLOG_FOLLOWER;

	if (rlog->role == RLOG_LEADER) {
		rlog_refuse_reads(rlog, ERR_NOT_LEADER);
		rlog->lease_until_us = 0;
		rlog->handover_until_us = 0;
		rlog->remove_index = 0;
		if (rlog->remove_token != 0)
			rlog_refuse(rlog, rlog->remove_token, ERR_TIMEOUT);
		rlog->remove_token = 0;
	}
	rlog->role = RLOG_FOLLOWER;
	rlog->transfer = false;
	if (term > rlog->term)
		set_term(rlog, term, 0);
	rlog->leader_id = leader_id;
	rlog->leader_instance =
	    leader_id != 0 ? leader_instance : (uint64_t)RLOG_NO_INSTANCE;
	if (!was_follower)
		rlog_reset_election_timer(rlog);
}

/*
 * Asks the voters for their vote or pre-vote in a term, once a record is
 * durable (0: at once).
 */
void
rlog_request_votes(
    struct rlog *rlog, enum rlog_msg_kind kind, uint64_t term, uint64_t number)
{
	struct rlog_msg msg;
	size_t i;

	for (i = 0; i < rlog->peer_count; i++) {
		rlog->peers[i].granted = false;
		if (!rlog_is_voter(rlog, rlog->peers[i].id))
			continue;
		msg = rlog_new_msg(rlog, kind, rlog->peers[i].id);
		msg.term = term;
		msg.log_index = rlog_last_index(rlog);
		msg.log_term = rlog_last_term(rlog);
		msg.transfer = rlog->transfer;
		rlog_send_when_durable(
		    rlog, number, rlog->peers[i].instance, &msg);
	}
}

/*
 * Starts a pre-vote: asks whether an election could be won without raising the
 * term, so that a replica that was cut off doesn't depose the leader when it
 * returns.
 */
static void
start_prevote(struct rlog *rlog)
{
	rlog->role = RLOG_PRECANDIDATE;
	rlog->leader_id = 0;
	rlog->leader_instance = RLOG_NO_INSTANCE;
	retry_election(rlog);
	rlog_request_votes(rlog, RLOG_MSG_PREVOTE, rlog->term + 1, 0);
	rlog_count_votes(rlog);
}

/* Starts an election in the next term. */
void
rlog_campaign(struct rlog *rlog, bool transfer)
{
	rlog->role = RLOG_CANDIDATE;
	rlog->transfer = transfer;
	rlog->leader_id = 0;
	rlog->leader_instance = RLOG_NO_INSTANCE;
	set_term(rlog, rlog->term + 1, rlog->id);
	rlog->campaigns++;
	retry_election(rlog);
	rlog_request_votes(rlog, RLOG_MSG_VOTE, rlog->term, rlog->vote_record);
	rlog_count_votes(rlog);
}

/*
 * Counts the votes and proceeds with a majority: from a pre-vote to an
 * election, from an election to leadership.  The own vote counts once it is
 * durable.
 */
void
rlog_count_votes(struct rlog *rlog)
{
	size_t votes = 0, i;

	if (rlog->role != RLOG_CANDIDATE && rlog->role != RLOG_PRECANDIDATE)
		return;
	if (rlog_is_voter(rlog, rlog->id) &&
	    (rlog->role == RLOG_PRECANDIDATE ||
		rlog->persisted >= rlog->vote_record))
		votes++;
	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].granted &&
		    rlog_is_voter(rlog, rlog->peers[i].id))
			votes++;
	if (votes < rlog_voter_count(rlog) / 2 + 1)
		return;
	if (rlog->role == RLOG_CANDIDATE)
		rlog_become_leader(rlog);
	else
		rlog_campaign(rlog, false);
}

/*
 * Returns the monotonic time in microseconds at which this replica starts an
 * election unless it hears from a leader.  A leaving replica waits 2 *
 * election_max_us longer, so that others are elected first.
 */
int64_t
rlog_election_due_us(const struct rlog *rlog)
{
	return rlog->election_us +
	       (rlog->leaving ? 2 * rlog->options.election_max_us : 0);
}

/*
 * Starts an election when the election timer has expired.  A replica that is
 * not a voter only forgets the leader.
 */
void
rlog_election_tick(struct rlog *rlog)
{
	if (rlog->role == RLOG_LEADER ||
	    rlog->now_us < rlog_election_due_us(rlog))
		return;
	if (!rlog_is_voter(rlog, rlog->id)) {
		rlog->leader_id = 0;
		rlog->leader_instance = RLOG_NO_INSTANCE;
		rlog_reset_election_timer(rlog);
		return;
	}
	if (rlog->options.unsafe_skip_prevote)
		rlog_campaign(rlog, false);
	else
		start_prevote(rlog);
}

static bool
log_is_current(const struct rlog *rlog, const struct rlog_msg *msg)
{
	if (rlog->options.unsafe_skip_log_check)
		return true;
	if (msg->log_term != rlog_last_term(rlog))
		return msg->log_term > rlog_last_term(rlog);
	return msg->log_index >= rlog_last_index(rlog);
}

/*
 * Tells whether this replica must not vote for another candidate yet.  A
 * replica that heard from a leader within election_min_us, or that may have
 * done so before its restart, must not shorten that leader's lease.
 */
static bool
has_promised_vote(const struct rlog *rlog)
{
	if (rlog->role == RLOG_LEADER)
		return rlog->now_us < rlog->lease_until_us;
	return rlog->now_us < rlog->vote_promise_until_us;
}

/* Keeps a voter's answer for rlog_quorum(). */
static void
record_answer(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rlog, msg->from_id);

	if (peer == NULL)
		return;
	peer->answered_us = rlog->now_us;
	if (msg->ok)
		peer->answer = RLOG_ANSWER_GRANTED;
	else if (msg->log_term > rlog_last_term(rlog) ||
		 (msg->log_term == rlog_last_term(rlog) &&
		     msg->log_index > rlog_last_index(rlog)))
		peer->answer = RLOG_ANSWER_LOG_BEHIND;
	else
		peer->answer = RLOG_ANSWER_REFUSED;
}

/* Returns a reply that also names the end of this replica's log. */
static struct rlog_msg
new_vote_reply(const struct rlog *rlog, enum rlog_msg_kind kind, uint64_t to_id)
{
	struct rlog_msg reply = rlog_new_msg(rlog, kind, to_id);

	reply.log_index = rlog_last_index(rlog);
	reply.log_term = rlog_last_term(rlog);
	return reply;
}

/* Replies to a pre-vote; the replica's state doesn't change. */
void
rlog_on_prevote(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply =
	    new_vote_reply(rlog, RLOG_MSG_PREVOTE_REPLY, msg->from_id);

	reply.ok = msg->term > rlog->term && !has_promised_vote(rlog) &&
		   log_is_current(rlog, msg);
	reply.term = reply.ok ? msg->term : rlog->term;
	rlog_send(rlog, msg->from_instance, &reply);
}

/* Handles the reply to a pre-vote. */
void
rlog_on_prevote_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rlog, msg->from_id);

	record_answer(rlog, msg);
	if (!msg->ok) {
		if (msg->term > rlog->term)
			rlog_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RLOG_PRECANDIDATE || msg->term != rlog->term + 1 ||
	    peer == NULL)
		return;
	peer->granted = true;
	rlog_count_votes(rlog);
}

/* Handles a vote request; the reply is sent once the vote is durable. */
void
rlog_on_vote(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply;

	if (msg->term < rlog->term ||
	    (has_promised_vote(rlog) &&
		!(msg->transfer && msg->term == rlog->term + 1)))
		return;
	if (msg->term > rlog->term)
		rlog_become_follower(rlog, msg->term, 0, 0);
	reply = new_vote_reply(rlog, RLOG_MSG_VOTE_REPLY, msg->from_id);
	reply.ok = (rlog->voted_for == 0 || rlog->voted_for == msg->from_id) &&
		   log_is_current(rlog, msg);
	if (reply.ok) {
		rlog_become_follower(rlog, rlog->term, 0, 0);
		set_term(rlog, rlog->term, msg->from_id);
		rlog_reset_election_timer(rlog);
	}
	rlog_send_when_durable(
	    rlog, rlog->vote_record, msg->from_instance, &reply);
}

/* Handles the reply to a vote request. */
void
rlog_on_vote_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rlog, msg->from_id);

	record_answer(rlog, msg);
	if (msg->term > rlog->term) {
		rlog_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RLOG_CANDIDATE || msg->term != rlog->term ||
	    !msg->ok || peer == NULL)
		return;
	peer->granted = true;
	rlog_count_votes(rlog);
}

/*
 * Starts an election at once because the leader of this term has stepped down
 * in favour of this replica.  The old leader has dropped its lease, so the
 * voters' promise to it no longer applies.
 */
void
rlog_on_timeout_now(struct rlog *rlog, const struct rlog_msg *msg)
{
	if (msg->term != rlog->term || rlog->role == RLOG_LEADER ||
	    !rlog_is_voter(rlog, rlog->id) || rlog->leaving)
		return;
	rlog_campaign(rlog, true);
}
