#include <stdlib.h>
#include <string.h>

#include "state/rlog_i.h"

static void
reset_peers(struct rlog *rlog)
{
	size_t i;

	for (i = 0; i < rlog->peer_count; i++) {
		struct rl_peer *peer = &rlog->peers[i];

		peer->state = RL_PROBE;
		peer->probing = false;
		peer->match = 0;
		peer->told_commit = 0;
		peer->next = rl_last_index(rlog) + 1;
		peer->acked_round = 0;
		peer->heard_us = rlog->now_us;
	}
}

/* Takes leadership of the current term with an empty entry of that term. */
void
rl_become_leader(struct rlog *rlog)
{
	rlog->role = RLOG_LEADER;
	rlog->leader_id = rlog->id;
	rlog->leader_instance = rlog->options.instance;
	rlog->min_round = rlog->round + 1;
	rlog->lease_until_us = 0;
	rlog->quorum_us = rlog->now_us;
	rlog->remove_index = 0;
	rlog->snapshot_asked = false;
	rlog->campaigns = 0;
	reset_peers(rlog);
	(void)rl_log_add(rlog, rlog->term, RL_ENTRY_EMPTY, NULL, 0);
	rlog->term_start = rl_last_index(rlog);
	rl_persist_entry(rlog, rlog->term_start);
	rl_start_round(rlog);
}

static struct rlog_msg
append_to(struct rlog *rlog, struct rl_peer *peer)
{
	struct rlog_msg msg = rl_msg_to(rlog, RL_MSG_APPEND, peer->id);
	uint64_t previous = peer->next - 1;

	if (peer->state == RL_SNAPSHOT ||
	    !rl_term_at(rlog, previous, &msg.log_term)) {
		previous = peer->match >= rlog->base_index ? peer->match : 0;
		if (!rl_term_at(rlog, previous, &msg.log_term))
			msg.log_term = 0;
	}
	msg.log_index = previous;
	msg.commit = rlog->commit;
	msg.round = rlog->round;
	peer->told_commit = rlog->commit;
	return msg;
}

/* Begins a heartbeat round; an answered round renews the lease. */
void
rl_start_round(struct rlog *rlog)
{
	struct rlog_msg msg;
	size_t i;

	rlog->round++;
	rlog->round_us[rlog->round % RL_ROUNDS] = rlog->now_us;
	rlog->heartbeat_us = rlog->now_us + rlog->options.heartbeat_us;
	for (i = 0; i < rlog->peer_count; i++) {
		msg = append_to(rlog, &rlog->peers[i]);
		rlog->peers[i].probing = false;
		rl_send(rlog, rlog->peers[i].instance, &msg);
	}
}

static bool
round_has_quorum(struct rlog *rlog, uint64_t round)
{
	size_t count = rl_is_voter(rlog, rlog->id) ? 1 : 0;
	size_t i;

	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].acked_round >= round &&
		    rl_is_voter(rlog, rlog->peers[i].id))
			count++;
	return count >= rl_voter_count(rlog) / 2 + 1;
}

/*
 * The lease runs from the start of the newest round that a quorum answered:
 * each of them promised, later than that, to vote for nobody else for
 * election_min_us.
 */
void
rl_renew_lease(struct rlog *rlog)
{
	uint64_t round;

	for (round = rlog->round; round >= rlog->min_round &&
				  round + RL_ROUNDS > rlog->round && round > 0;
	     round--) {
		if (!round_has_quorum(rlog, round))
			continue;
		rlog->quorum_us = rlog->round_us[round % RL_ROUNDS];
		rlog->lease_until_us = rlog->quorum_us + rlog->options.lease_us;
		return;
	}
}

/* Heartbeats, and stepping down when no quorum answers any more. */
void
rl_lead_tick(struct rlog *rlog)
{
	if (rlog->role != RLOG_LEADER)
		return;
	if (rlog->now_us >= rlog->heartbeat_us)
		rl_start_round(rlog);
	rl_renew_lease(rlog);
	if (rlog->now_us - rlog->quorum_us > rlog->options.election_max_us) {
		rl_refuse_reads(rlog, ERR_NO_QUORUM);
		rl_become_follower(rlog, rlog->term, 0, 0);
		return;
	}
	if (rlog->handover_until_us != 0 &&
	    rlog->now_us > rlog->handover_until_us) {
		rlog->handover_until_us = 0;
		rlog->leaving = false;
	}
}

static void
send_chunk(struct rlog *rlog, struct rl_peer *peer)
{
	struct rlog_msg msg = rl_msg_to(rlog, RL_MSG_SNAPSHOT, peer->id);
	size_t size = rlog->snapshot.data.len, len;

	if (peer->state != RL_SNAPSHOT ||
	    peer->snapshot_index != rlog->snapshot.index) {
		peer->state = RL_SNAPSHOT;
		peer->snapshot_index = rlog->snapshot.index;
		peer->snapshot_offset = 0;
	}
	if (peer->snapshot_offset > size)
		peer->snapshot_offset = 0;
	len = size - (size_t)peer->snapshot_offset;
	if (len > rlog->options.chunk_bytes)
		len = rlog->options.chunk_bytes;
	msg.log_index = rlog->snapshot.index;
	msg.log_term = rlog->snapshot.term;
	msg.offset = peer->snapshot_offset;
	msg.total = size;
	msg.chunk = rlog->snapshot.data.data + peer->snapshot_offset;
	msg.chunk_len = len;
	msg.members = rlog->snapshot.config.members;
	msg.member_count = rlog->snapshot.config.count;
	peer->probing = true;
	rl_send(rlog, peer->instance, &msg);
}

static uint64_t
bytes_in_flight(struct rlog *rlog, const struct rl_peer *peer)
{
	return rl_bytes_between(rlog, peer->match, peer->next - 1);
}

/* At least one entry, and no more than the batch and the window allow. */
static size_t
batch_size(struct rlog *rlog, const struct rl_peer *peer)
{
	uint64_t first = peer->next, last = rl_last_index(rlog);
	uint64_t flying = bytes_in_flight(rlog, peer);
	uint64_t limit = RL_BATCH_BYTES;
	size_t count = 0, bytes = 0;

	if (flying + limit > rlog->options.window_bytes)
		limit = flying < rlog->options.window_bytes
			    ? rlog->options.window_bytes - flying
			    : 0;

	while (first + count <= last && count < RL_BATCH_ENTRIES) {
		bytes += rl_slot_at(rlog, first + count)->len;
		if (count > 0 && bytes > limit)
			break;
		count++;
	}
	return count;
}

static void
send_entries(struct rlog *rlog, struct rl_peer *peer)
{
	struct rlog_msg msg = append_to(rlog, peer);
	struct rlog_entry *entries;
	size_t count, i;

	count = batch_size(rlog, peer);
	entries = alloc_get(rlog->alloc, (count + 1) * sizeof(*entries));
	rl_discard(rlog, entries);
	for (i = 0; i < count; i++)
		entries[i] = rl_entry_at(rlog, peer->next + i);
	msg.entries = entries;
	msg.entry_count = count;
	if (peer->state == RL_REPLICATE)
		peer->next += count;
	else
		peer->probing = true;
	rl_send(rlog, peer->instance, &msg);
}

static bool
may_send(struct rlog *rlog, const struct rl_peer *peer)
{
	if (peer->state != RL_REPLICATE)
		return !peer->probing;
	if (peer->next > rl_last_index(rlog))
		return false;
	if (peer->match < rlog->base_index)
		return true;
	return bytes_in_flight(rlog, peer) < rlog->options.window_bytes;
}

static void
replicate_to(struct rlog *rlog, struct rl_peer *peer)
{
	while (may_send(rlog, peer)) {
		if (peer->state == RL_SNAPSHOT ||
		    peer->next <= rlog->base_index) {
			send_chunk(rlog, peer);
		} else if (peer->next > rl_last_index(rlog) &&
			   peer->match == rl_last_index(rlog)) {
			return;
		} else {
			send_entries(rlog, peer);
		}
	}
}

/* A follower with nothing else to be sent still hears of a commit at once. */
static void
tell_commit(struct rlog *rlog, struct rl_peer *peer)
{
	struct rlog_msg msg;

	if (peer->state != RL_REPLICATE || peer->told_commit >= rlog->commit ||
	    peer->match < rlog->commit)
		return;
	msg = append_to(rlog, peer);
	rl_send(rlog, peer->instance, &msg);
}

/* Sends each follower what it lacks, within its window. */
void
rl_replicate(struct rlog *rlog)
{
	size_t i;

	if (rlog->role != RLOG_LEADER)
		return;
	for (i = 0; i < rlog->peer_count; i++) {
		replicate_to(rlog, &rlog->peers[i]);
		tell_commit(rlog, &rlog->peers[i]);
	}
}

static int
match_order(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/*
 * Commits what a quorum of voters holds durably.  Copies of an older term's
 * entry count only below one of this term, since they may yet be replaced.
 */
void
rl_advance_commit(struct rlog *rlog)
{
	uint64_t matches[RL_MEMBERS_MAX], index, term;
	size_t count = 0, i;

	if (rlog->role != RLOG_LEADER)
		return;
	if (rl_is_voter(rlog, rlog->id))
		matches[count++] = rlog->durable;
	for (i = 0; i < rlog->peer_count && count < RL_MEMBERS_MAX; i++)
		if (rl_is_voter(rlog, rlog->peers[i].id))
			matches[count++] = rlog->peers[i].match;
	if (count == 0)
		return;
	qsort(matches, count, sizeof(*matches), match_order);
	index = matches[count / 2];
	if (index <= rlog->commit || !rl_term_at(rlog, index, &term))
		return;
	if (term != rlog->term && !rlog->options.unsafe_commit_old_term)
		return;
	rlog->commit = index;
	rl_member_committed(rlog);
}

static void
on_reject(struct rlog *rlog, struct rl_peer *peer, const struct rlog_msg *msg)
{
	if (peer->state == RL_SNAPSHOT || msg->log_index <= peer->match ||
	    msg->log_index >= peer->next)
		return;
	peer->state = RL_PROBE;
	peer->probing = false;
	peer->next =
	    msg->match + 1 < msg->log_index ? msg->match + 1 : msg->log_index;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
}

static void
on_accept(struct rlog *rlog, struct rl_peer *peer, const struct rlog_msg *msg)
{
	if (msg->match > rl_last_index(rlog))
		return;
	if (msg->match > peer->match)
		peer->match = msg->match;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
	if (peer->state == RL_SNAPSHOT) {
		if (peer->match < rlog->base_index)
			return;
		peer->next = peer->match + 1;
	}
	peer->state = RL_REPLICATE;
	peer->probing = false;
}

/* Takes a follower's answer to entries or a heartbeat. */
void
rl_on_append_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rl_peer *peer = rl_peer_of(rlog, msg->from_id);

	if (msg->term > rlog->term) {
		rl_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RLOG_LEADER || msg->term != rlog->term ||
	    peer == NULL)
		return;
	peer->heard_us = rlog->now_us;
	if (msg->round > peer->acked_round && msg->round <= rlog->round)
		peer->acked_round = msg->round;
	if (msg->ok)
		on_accept(rlog, peer, msg);
	else
		on_reject(rlog, peer, msg);
}

/*
 * Takes a follower's answer to a chunk: which byte it wants next.  An answer
 * that brings no progress sends nothing, or doubled messages would double
 * again with each exchange; going back, after the follower's restart, is
 * granted once a heartbeat round.
 */
void
rl_on_snapshot_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rl_peer *peer = rl_peer_of(rlog, msg->from_id);

	if (msg->term > rlog->term) {
		rl_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RLOG_LEADER || msg->term != rlog->term ||
	    peer == NULL)
		return;
	peer->heard_us = rlog->now_us;
	if (peer->state != RL_SNAPSHOT ||
	    msg->log_index != peer->snapshot_index)
		return;
	if (msg->offset == peer->snapshot_offset ||
	    (msg->offset < peer->snapshot_offset &&
		peer->rewound_round == rlog->round))
		return;
	if (msg->offset < peer->snapshot_offset)
		peer->rewound_round = rlog->round;
	peer->snapshot_offset = msg->offset;
	peer->probing = msg->offset >= rlog->snapshot.data.len;
}

static struct rl_peer *
best_successor(struct rlog *rlog)
{
	struct rl_peer *best = NULL;
	int64_t since = rlog->now_us - 2 * rlog->options.heartbeat_us;
	size_t i;

	for (i = 0; i < rlog->peer_count; i++) {
		struct rl_peer *peer = &rlog->peers[i];

		if (!rl_is_voter(rlog, peer->id) || peer->heard_us < since)
			continue;
		if (best == NULL || peer->match > best->match)
			best = peer;
	}
	return best;
}

/*
 * Hands leadership to the voter whose log is whole.  The lease ends before the
 * successor is told: from here on this replica follows in its own term, and
 * cannot lead in it again.
 */
void
rl_handover(struct rlog *rlog)
{
	struct rl_peer *peer;
	struct rlog_msg msg;

	if (rlog->role != RLOG_LEADER || rlog->handover_until_us == 0)
		return;
	peer = best_successor(rlog);
	if (peer == NULL || peer->match < rl_last_index(rlog))
		return;
	msg = rl_msg_to(rlog, RL_MSG_TIMEOUT_NOW, peer->id);
	rl_become_follower(rlog, rlog->term, 0, 0);
	rl_send(rlog, peer->instance, &msg);
}
