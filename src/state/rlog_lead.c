#include <stdlib.h>
#include <string.h>

#include "state/rlog_i.h"

static void
reset_peers(struct rl *rl)
{
	size_t i;

	for (i = 0; i < rl->peer_count; i++) {
		struct rlog_peer *peer = &rl->peers[i];

		peer->state = RLOG_PEER_PROBE;
		peer->probing = false;
		peer->match = 0;
		peer->sent_commit = 0;
		peer->next = rlog_last_index(rl) + 1;
		peer->acked_round = 0;
		peer->heard_us = rl->now_us;
	}
}

/*
 * Becomes leader of the current term and appends an empty entry of that term,
 * since entries of older terms can't be committed by counting copies.
 */
void
rlog_become_leader(struct rl *rl)
{
	rl->role = RL_LEADER;
	rl->leader_id = rl->id;
	rl->leader_instance = rl->options.instance;
	rl->min_round = rl->round + 1;
	rl->lease_until_us = 0;
	rl->quorum_us = rl->now_us;
	rl->remove_index = 0;
	rl->image_requested = false;
	rl->campaigns = 0;
	reset_peers(rl);
	(void)rlog_log_append(rl, rl->term, RLOG_ENTRY_EMPTY, NULL, 0);
	rl->term_start_index = rlog_last_index(rl);
	rlog_persist_entry(rl, rl->term_start_index);
	rlog_start_round(rl);
}

static struct rl_msg
new_append(struct rl *rl, struct rlog_peer *peer)
{
	struct rl_msg msg = rlog_new_msg(rl, RLOG_MSG_APPEND, peer->id);
	uint64_t previous = peer->next - 1;

	if (peer->state == RLOG_PEER_SNAPSHOT ||
	    !rlog_term_at(rl, previous, &msg.log_term)) {
		previous = peer->match >= rl->base_index ? peer->match : 0;
		if (!rlog_term_at(rl, previous, &msg.log_term))
			msg.log_term = 0;
	}
	msg.log_index = previous;
	msg.commit = rl->commit;
	msg.round = rl->round;
	peer->sent_commit = rl->commit;
	return msg;
}

/*
 * Starts a heartbeat round.  The lease is renewed when a quorum replies to it.
 */
void
rlog_start_round(struct rl *rl)
{
	struct rl_msg msg;
	size_t i;

	rl->round++;
	rl->round_us[rl->round % RLOG_ROUNDS_KEPT] = rl->now_us;
	rl->heartbeat_us = rl->now_us + rl->options.heartbeat_us;
	for (i = 0; i < rl->peer_count; i++) {
		msg = new_append(rl, &rl->peers[i]);
		rl->peers[i].probing = false;
		rlog_send(rl, rl->peers[i].instance, &msg);
	}
}

static bool
round_has_quorum(struct rl *rl, uint64_t round)
{
	size_t count = rlog_is_voter(rl, rl->id) ? 1 : 0;
	size_t i;

	for (i = 0; i < rl->peer_count; i++)
		if (rl->peers[i].acked_round >= round &&
		    rlog_is_voter(rl, rl->peers[i].id))
			count++;
	return count >= rlog_voter_count(rl) / 2 + 1;
}

/*
 * Extends the lease to lease_us after the start of the newest round that a
 * quorum answered.  Each of those voters promised, after that start, not to
 * vote for another candidate for election_min_us.
 */
void
rlog_renew_lease(struct rl *rl)
{
	uint64_t round;

	for (round = rl->round;
	     round >= rl->min_round && round + RLOG_ROUNDS_KEPT > rl->round &&
	     round > 0;
	     round--) {
		if (!round_has_quorum(rl, round))
			continue;
		rl->quorum_us = rl->round_us[round % RLOG_ROUNDS_KEPT];
		rl->lease_until_us = rl->quorum_us + rl->options.lease_us;
		return;
	}
}

/*
 * Sends heartbeats, steps down when no quorum has replied for election_max_us,
 * and ends an expired leadership transfer.
 */
void
rlog_leader_tick(struct rl *rl)
{
	if (rl->role != RL_LEADER)
		return;
	if (rl->now_us >= rl->heartbeat_us)
		rlog_start_round(rl);
	rlog_renew_lease(rl);
	if (rl->now_us - rl->quorum_us > rl->options.election_max_us) {
		rlog_refuse_reads(rl, ERR_NO_QUORUM);
		rlog_become_follower(rl, rl->term, 0, 0);
		return;
	}
	if (rl->handover_until_us != 0 && rl->now_us > rl->handover_until_us) {
		rl->handover_until_us = 0;
		rl->leaving = false;
	}
}

static void
send_chunk(struct rl *rl, struct rlog_peer *peer)
{
	struct rl_msg msg = rlog_new_msg(rl, RLOG_MSG_SNAPSHOT, peer->id);
	size_t size = rl->snapshot.data.len, len;

	if (peer->state != RLOG_PEER_SNAPSHOT ||
	    peer->snapshot_index != rl->snapshot.index) {
		peer->state = RLOG_PEER_SNAPSHOT;
		peer->snapshot_index = rl->snapshot.index;
		peer->snapshot_offset = 0;
	}
	if (peer->snapshot_offset > size)
		peer->snapshot_offset = 0;
	len = size - (size_t)peer->snapshot_offset;
	if (len > rl->options.chunk_bytes)
		len = rl->options.chunk_bytes;
	msg.log_index = rl->snapshot.index;
	msg.log_term = rl->snapshot.term;
	msg.offset = peer->snapshot_offset;
	msg.total = size;
	msg.chunk = rl->snapshot.data.data + peer->snapshot_offset;
	msg.chunk_len = len;
	msg.members = rl->snapshot.config.members;
	msg.member_count = rl->snapshot.config.count;
	peer->probing = true;
	rlog_send(rl, peer->instance, &msg);
}

static uint64_t
bytes_in_flight(struct rl *rl, const struct rlog_peer *peer)
{
	return rlog_bytes_between(rl, peer->match, peer->next - 1);
}

/*
 * Returns the number of entries to send: at least one if there is any, and
 * otherwise no more than the batch size and the window allow.
 */
static size_t
batch_size(struct rl *rl, const struct rlog_peer *peer)
{
	uint64_t first = peer->next, last = rlog_last_index(rl);
	uint64_t flying = bytes_in_flight(rl, peer);
	uint64_t limit = RLOG_BATCH_BYTES;
	size_t count = 0, bytes = 0;

	if (flying + limit > rl->options.window_bytes)
		limit = flying < rl->options.window_bytes
			    ? rl->options.window_bytes - flying
			    : 0;

	while (first + count <= last && count < RLOG_BATCH_ENTRIES) {
		bytes += rlog_slot_at(rl, first + count)->len;
		if (count > 0 && bytes > limit)
			break;
		count++;
	}
	return count;
}

static void
send_entries(struct rl *rl, struct rlog_peer *peer)
{
	struct rl_msg msg = new_append(rl, peer);
	struct rl_entry *entries;
	size_t count, i;

	count = batch_size(rl, peer);
	entries = alloc_get(rl->alloc, (count + 1) * sizeof(*entries));
	rlog_free_later(rl, entries);
	for (i = 0; i < count; i++)
		entries[i] = rlog_entry_at(rl, peer->next + i);
	msg.entries = entries;
	msg.entry_count = count;
	if (peer->state == RLOG_PEER_REPLICATE)
		peer->next += count;
	else
		peer->probing = true;
	rlog_send(rl, peer->instance, &msg);
}

static bool
may_send(struct rl *rl, const struct rlog_peer *peer)
{
	if (peer->state != RLOG_PEER_REPLICATE)
		return !peer->probing;
	if (peer->next > rlog_last_index(rl))
		return false;
	if (peer->match < rl->base_index)
		return true;
	return bytes_in_flight(rl, peer) < rl->options.window_bytes;
}

static void
replicate_to(struct rl *rl, struct rlog_peer *peer)
{
	while (may_send(rl, peer)) {
		if (peer->state == RLOG_PEER_SNAPSHOT ||
		    peer->next <= rl->base_index) {
			send_chunk(rl, peer);
		} else if (peer->next > rlog_last_index(rl) &&
			   peer->match == rlog_last_index(rl)) {
			return;
		} else {
			send_entries(rl, peer);
		}
	}
}

/*
 * Sends the commit index at once to a follower that has no entries to receive,
 * instead of with the next heartbeat.
 */
static void
send_commit_index(struct rl *rl, struct rlog_peer *peer)
{
	struct rl_msg msg;

	if (peer->state != RLOG_PEER_REPLICATE ||
	    peer->sent_commit >= rl->commit || peer->match < rl->commit)
		return;
	msg = new_append(rl, peer);
	rlog_send(rl, peer->instance, &msg);
}

/*
 * Sends missing entries or snapshot chunks to each follower within its window.
 */
void
rlog_replicate(struct rl *rl)
{
	size_t i;

	if (rl->role != RL_LEADER)
		return;
	for (i = 0; i < rl->peer_count; i++) {
		replicate_to(rl, &rl->peers[i]);
		send_commit_index(rl, &rl->peers[i]);
	}
}

static int
compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/*
 * Advances the commit index to what a quorum of voters holds durably.  An entry
 * of an older term is committed only together with a later one of this term:
 * copies on a quorum are not enough, since another leader may still replace
 * them.
 */
void
rlog_advance_commit(struct rl *rl)
{
	uint64_t matches[RLOG_MEMBERS_MAX], index, term;
	size_t count = 0, i;

	if (rl->role != RL_LEADER)
		return;
	if (rlog_is_voter(rl, rl->id))
		matches[count++] = rl->durable;
	for (i = 0; i < rl->peer_count && count < RLOG_MEMBERS_MAX; i++)
		if (rlog_is_voter(rl, rl->peers[i].id))
			matches[count++] = rl->peers[i].match;
	if (count == 0)
		return;
	qsort(matches, count, sizeof(*matches), compare_descending);
	index = matches[count / 2];
	if (index <= rl->commit || !rlog_term_at(rl, index, &term))
		return;
	if (term != rl->term && !rl->options.unsafe_commit_old_term)
		return;
	rl->commit = index;
	rlog_member_committed(rl);
}

static void
on_reject(struct rl *rl, struct rlog_peer *peer, const struct rl_msg *msg)
{
	if (peer->state == RLOG_PEER_SNAPSHOT ||
	    msg->log_index <= peer->match || msg->log_index >= peer->next)
		return;
	peer->state = RLOG_PEER_PROBE;
	peer->probing = false;
	peer->next =
	    msg->match + 1 < msg->log_index ? msg->match + 1 : msg->log_index;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
}

static void
on_accept(struct rl *rl, struct rlog_peer *peer, const struct rl_msg *msg)
{
	if (msg->match > rlog_last_index(rl))
		return;
	if (msg->match > peer->match)
		peer->match = msg->match;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
	if (peer->state == RLOG_PEER_SNAPSHOT) {
		if (peer->match < rl->base_index)
			return;
		peer->next = peer->match + 1;
	}
	peer->state = RLOG_PEER_REPLICATE;
	peer->probing = false;
}

/* Handles a follower's reply to entries or a heartbeat. */
void
rlog_on_append_reply(struct rl *rl, const struct rl_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rl, msg->from_id);

	if (msg->term > rl->term) {
		rlog_become_follower(rl, msg->term, 0, 0);
		return;
	}
	if (rl->role != RL_LEADER || msg->term != rl->term || peer == NULL)
		return;
	peer->heard_us = rl->now_us;
	if (msg->round > peer->acked_round && msg->round <= rl->round)
		peer->acked_round = msg->round;
	if (msg->ok)
		on_accept(rl, peer, msg);
	else
		on_reject(rl, peer, msg);
}

/*
 * Handles a follower's reply to a chunk, which names the next byte it expects.
 * A reply without progress triggers no message; otherwise duplicated messages
 * would double again with each exchange.  Going back, after the follower
 * restarted, is allowed once per heartbeat round.
 */
void
rlog_on_snapshot_reply(struct rl *rl, const struct rl_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rl, msg->from_id);

	if (msg->term > rl->term) {
		rlog_become_follower(rl, msg->term, 0, 0);
		return;
	}
	if (rl->role != RL_LEADER || msg->term != rl->term || peer == NULL)
		return;
	peer->heard_us = rl->now_us;
	if (peer->state != RLOG_PEER_SNAPSHOT ||
	    msg->log_index != peer->snapshot_index)
		return;
	if (msg->offset == peer->snapshot_offset ||
	    (msg->offset < peer->snapshot_offset &&
		peer->last_rewind_round == rl->round))
		return;
	if (msg->offset < peer->snapshot_offset)
		peer->last_rewind_round = rl->round;
	peer->snapshot_offset = msg->offset;
	peer->probing = msg->offset >= rl->snapshot.data.len;
}

static struct rlog_peer *
find_successor(struct rl *rl)
{
	struct rlog_peer *best = NULL;
	int64_t since = rl->now_us - 2 * rl->options.heartbeat_us;
	size_t i;

	for (i = 0; i < rl->peer_count; i++) {
		struct rlog_peer *peer = &rl->peers[i];

		if (!rlog_is_voter(rl, peer->id) || peer->heard_us < since)
			continue;
		if (best == NULL || peer->match > best->match)
			best = peer;
	}
	return best;
}

/*
 * Transfers leadership to a voter whose log is complete.  This replica drops
 * its lease and becomes a follower in its own term before the successor is
 * notified, and cannot lead in this term again.
 */
void
rlog_transfer_leadership(struct rl *rl)
{
	struct rlog_peer *peer;
	struct rl_msg msg;

	if (rl->role != RL_LEADER || rl->handover_until_us == 0)
		return;
	peer = find_successor(rl);
	if (peer == NULL || peer->match < rlog_last_index(rl))
		return;
	msg = rlog_new_msg(rl, RLOG_MSG_TIMEOUT_NOW, peer->id);
	rlog_become_follower(rl, rl->term, 0, 0);
	rlog_send(rl, peer->instance, &msg);
}
