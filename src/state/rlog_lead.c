#include <stdlib.h>
#include <string.h>

#include "state/rlog_i.h"

static void
reset_peers(struct rlog *rlog)
{
	size_t i;

	for (i = 0; i < rlog->peer_count; i++) {
		struct rlog_peer *peer = &rlog->peers[i];

		peer->state = RLOG_PEER_PROBE;
		peer->probing = false;
		peer->match = 0;
		peer->sent_commit = 0;
		peer->next = rlog_last_index(rlog) + 1;
		peer->acked_round = 0;
		peer->heard_us = rlog->now_us;
	}
}

/*
 * Becomes leader of the current term and appends an empty entry of that term,
 * since entries of older terms can't be committed by counting copies.
 */
void
rlog_become_leader(struct rlog *rlog)
{
	rlog->role = RLOG_LEADER;
	rlog->leader_id = rlog->id;
	rlog->leader_instance = rlog->options.instance;
	rlog->min_round = rlog->round + 1;
	rlog->lease_until_us = 0;
	rlog->quorum_us = rlog->now_us;
	rlog->remove_index = 0;
	rlog->image_requested = false;
	rlog->campaigns = 0;
	reset_peers(rlog);
	(void)rlog_log_append(rlog, rlog->term, RLOG_ENTRY_EMPTY, NULL, 0);
	rlog->term_start_index = rlog_last_index(rlog);
	rlog_persist_entry(rlog, rlog->term_start_index);
	rlog_start_round(rlog);
}

static struct rlog_msg
new_append(struct rlog *rlog, struct rlog_peer *peer)
{
	struct rlog_msg msg = rlog_new_msg(rlog, RLOG_MSG_APPEND, peer->id);
	uint64_t previous = peer->next - 1;

	if (peer->state == RLOG_PEER_SNAPSHOT ||
	    !rlog_term_at(rlog, previous, &msg.log_term)) {
		previous = peer->match >= rlog->base_index ? peer->match : 0;
		if (!rlog_term_at(rlog, previous, &msg.log_term))
			msg.log_term = 0;
	}
	msg.log_index = previous;
	msg.commit = rlog->commit;
	msg.round = rlog->round;
	msg.replaces_voters = rlog_replaces_voters(rlog);
	peer->sent_commit = rlog->commit;
	return msg;
}

/*
 * Starts a heartbeat round.  The lease is renewed when a quorum replies to it.
 */
void
rlog_start_round(struct rlog *rlog)
{
	struct rlog_msg msg;
	size_t i;

	rlog->round++;
	rlog->round_us[rlog->round % RLOG_ROUNDS_KEPT] = rlog->now_us;
	rlog->heartbeat_us = rlog->now_us + rlog->options.heartbeat_us;
	for (i = 0; i < rlog->peer_count; i++) {
		msg = new_append(rlog, &rlog->peers[i]);
		rlog->peers[i].probing = false;
		rlog_send(rlog, rlog->peers[i].instance, &msg);
	}
}

static bool
round_has_quorum(struct rlog *rlog, uint64_t round)
{
	size_t count = rlog_is_voter(rlog, rlog->id) ? 1 : 0;
	size_t i;

	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].acked_round >= round &&
		    rlog_is_voter(rlog, rlog->peers[i].id))
			count++;
	return count >= rlog_voter_count(rlog) / 2 + 1;
}

/*
 * Extends the lease to lease_us after the start of the newest round that a
 * quorum answered.  Each of those voters promised, after that start, not to
 * vote for another candidate for election_min_us.
 */
void
rlog_renew_lease(struct rlog *rlog)
{
	uint64_t round;

	for (round = rlog->round;
	     round >= rlog->min_round &&
	     round + RLOG_ROUNDS_KEPT > rlog->round && round > 0;
	     round--) {
		if (!round_has_quorum(rlog, round))
			continue;
		rlog->quorum_us = rlog->round_us[round % RLOG_ROUNDS_KEPT];
		rlog->lease_until_us = rlog->quorum_us + rlog->options.lease_us;
		return;
	}
}

/*
 * Sends heartbeats, steps down when no quorum has replied for election_max_us,
 * and ends an expired leadership transfer.
 */
void
rlog_leader_tick(struct rlog *rlog)
{
	if (rlog->role != RLOG_LEADER)
		return;
	if (rlog->now_us >= rlog->heartbeat_us)
		rlog_start_round(rlog);
	rlog_renew_lease(rlog);
	if (rlog->now_us - rlog->quorum_us > rlog->options.election_max_us) {
		rlog_refuse_reads(rlog, ERR_NO_QUORUM);
		rlog_become_follower(rlog, rlog->term, 0, 0);
		return;
	}
	if (rlog->handover_until_us != 0 &&
	    rlog->now_us > rlog->handover_until_us) {
		rlog->handover_until_us = 0;
		rlog->leaving = false;
	}
}

static void
send_chunk(struct rlog *rlog, struct rlog_peer *peer)
{
	struct rlog_msg msg = rlog_new_msg(rlog, RLOG_MSG_SNAPSHOT, peer->id);
	size_t size = rlog->snapshot.data.len, len;

	if (peer->state != RLOG_PEER_SNAPSHOT ||
	    peer->snapshot_index != rlog->snapshot.index) {
		peer->state = RLOG_PEER_SNAPSHOT;
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
	rlog_send(rlog, peer->instance, &msg);
}

static uint64_t
bytes_in_flight(struct rlog *rlog, const struct rlog_peer *peer)
{
	return rlog_bytes_between(rlog, peer->match, peer->next - 1);
}

/*
 * Returns the index up to which a follower gets entries: to the end of the log,
 * or as a learner only what is committed.  A voter that has just lost its vote
 * would otherwise hold the entry that says so before a quorum does: if this
 * leader is lost then, it votes for nobody with a shorter log and doesn't stand
 * for election itself.
 */
static uint64_t
last_to_send(const struct rlog *rlog, const struct rlog_peer *peer)
{
	return rlog_is_voter(rlog, peer->id) ? rlog_last_index(rlog)
					     : rlog->commit;
}

/*
 * Returns the number of entries to send: at least one if there is any, and
 * otherwise no more than the batch size and the window allow.
 */
static size_t
batch_size(struct rlog *rlog, const struct rlog_peer *peer)
{
	uint64_t first = peer->next, last = last_to_send(rlog, peer);
	uint64_t flying = bytes_in_flight(rlog, peer);
	uint64_t limit = RLOG_BATCH_BYTES;
	size_t count = 0, bytes = 0;

	if (flying + limit > rlog->options.window_bytes)
		limit = flying < rlog->options.window_bytes
			    ? rlog->options.window_bytes - flying
			    : 0;

	while (first + count <= last && count < RLOG_BATCH_ENTRIES) {
		bytes += rlog_slot_at(rlog, first + count)->len;
		if (count > 0 && bytes > limit)
			break;
		count++;
	}
	return count;
}

static void
send_entries(struct rlog *rlog, struct rlog_peer *peer)
{
	struct rlog_msg msg = new_append(rlog, peer);
	struct rlog_entry *entries;
	size_t count, i;

	count = batch_size(rlog, peer);
	entries = alloc_get(rlog->alloc, (count + 1) * sizeof(*entries));
	rlog_free_later(rlog, entries);
	for (i = 0; i < count; i++)
		entries[i] = rlog_entry_at(rlog, peer->next + i);
	msg.entries = entries;
	msg.entry_count = count;
	if (peer->state == RLOG_PEER_REPLICATE)
		peer->next += count;
	else
		peer->probing = true;
	rlog_send(rlog, peer->instance, &msg);
}

static bool
may_send(struct rlog *rlog, const struct rlog_peer *peer)
{
	if (peer->state != RLOG_PEER_REPLICATE)
		return !peer->probing;
	if (peer->next > last_to_send(rlog, peer))
		return false;
	if (peer->match < rlog->base_index)
		return true;
	return bytes_in_flight(rlog, peer) < rlog->options.window_bytes;
}

static void
replicate_to(struct rlog *rlog, struct rlog_peer *peer)
{
	while (may_send(rlog, peer)) {
		if (peer->state == RLOG_PEER_SNAPSHOT ||
		    peer->next <= rlog->base_index) {
			send_chunk(rlog, peer);
		} else if (peer->next > last_to_send(rlog, peer) &&
			   peer->match >= last_to_send(rlog, peer)) {
			return;
		} else {
			send_entries(rlog, peer);
		}
	}
}

/*
 * Sends the commit index at once to a follower that has no entries to receive,
 * instead of with the next heartbeat.
 */
static void
send_commit_index(struct rlog *rlog, struct rlog_peer *peer)
{
	struct rlog_msg msg;

	if (peer->state != RLOG_PEER_REPLICATE ||
	    peer->sent_commit >= rlog->commit || peer->match < rlog->commit)
		return;
	msg = new_append(rlog, peer);
	rlog_send(rlog, peer->instance, &msg);
}

/*
 * Sends missing entries or snapshot chunks to each follower within its window.
 */
void
rlog_replicate(struct rlog *rlog)
{
	size_t i;

	if (rlog->role != RLOG_LEADER)
		return;
	for (i = 0; i < rlog->peer_count; i++) {
		replicate_to(rlog, &rlog->peers[i]);
		send_commit_index(rlog, &rlog->peers[i]);
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
rlog_advance_commit(struct rlog *rlog)
{
	uint64_t matches[RLOG_MEMBERS_MAX], index, term;
	size_t count = 0, i;

	if (rlog->role != RLOG_LEADER)
		return;
	if (rlog_is_voter(rlog, rlog->id))
		matches[count++] = rlog->durable;
	for (i = 0; i < rlog->peer_count && count < RLOG_MEMBERS_MAX; i++)
		if (rlog_is_voter(rlog, rlog->peers[i].id))
			matches[count++] = rlog->peers[i].match;
	if (count == 0)
		return;
	qsort(matches, count, sizeof(*matches), compare_descending);
	index = matches[count / 2];
	if (index <= rlog->commit || !rlog_term_at(rlog, index, &term))
		return;
	if (term != rlog->term && !rlog->options.unsafe_commit_old_term)
		return;
	rlog->commit = index;
	rlog_member_committed(rlog);
}

static void
on_reject(struct rlog *rlog, struct rlog_peer *peer, const struct rlog_msg *msg)
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
on_accept(struct rlog *rlog, struct rlog_peer *peer, const struct rlog_msg *msg)
{
	if (msg->match > rlog_last_index(rlog))
		return;
	if (msg->match > peer->match)
		peer->match = msg->match;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
	if (peer->state == RLOG_PEER_SNAPSHOT) {
		if (peer->match < rlog->base_index)
			return;
		peer->next = peer->match + 1;
	}
	peer->state = RLOG_PEER_REPLICATE;
	peer->probing = false;
}

/* Handles a follower's reply to entries or a heartbeat. */
void
rlog_on_append_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rlog, msg->from_id);

	if (msg->term > rlog->term) {
		rlog_become_follower(rlog, msg->term, 0, 0);
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
 * Handles a follower's reply to a chunk, which names the next byte it expects.
 * A reply without progress triggers no message; otherwise duplicated messages
 * would double again with each exchange.  Going back, after the follower
 * restarted, is allowed once per heartbeat round.
 */
void
rlog_on_snapshot_reply(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_peer *peer = rlog_find_peer(rlog, msg->from_id);

	if (msg->term > rlog->term) {
		rlog_become_follower(rlog, msg->term, 0, 0);
		return;
	}
	if (rlog->role != RLOG_LEADER || msg->term != rlog->term ||
	    peer == NULL)
		return;
	peer->heard_us = rlog->now_us;
	if (peer->state != RLOG_PEER_SNAPSHOT ||
	    msg->log_index != peer->snapshot_index)
		return;
	if (msg->offset == peer->snapshot_offset ||
	    (msg->offset < peer->snapshot_offset &&
		peer->last_rewind_round == rlog->round))
		return;
	if (msg->offset < peer->snapshot_offset)
		peer->last_rewind_round = rlog->round;
	peer->snapshot_offset = msg->offset;
	peer->probing = msg->offset >= rlog->snapshot.data.len;
}

static struct rlog_peer *
find_successor(struct rlog *rlog)
{
	struct rlog_peer *best = NULL;
	int64_t since = rlog->now_us - 2 * rlog->options.heartbeat_us;
	size_t i;

	for (i = 0; i < rlog->peer_count; i++) {
		struct rlog_peer *peer = &rlog->peers[i];

		if (!rlog_is_voter(rlog, peer->id) || peer->heard_us < since)
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
rlog_transfer_leadership(struct rlog *rlog)
{
	struct rlog_peer *peer;
	struct rlog_msg msg;

	if (rlog->role != RLOG_LEADER || rlog->handover_until_us == 0)
		return;
	peer = find_successor(rlog);
	if (peer == NULL || peer->match < rlog_last_index(rlog))
		return;
	msg = rlog_new_msg(rlog, RLOG_MSG_TIMEOUT_NOW, peer->id);
	rlog_become_follower(rlog, rlog->term, 0, 0);
	rlog_send(rlog, peer->instance, &msg);
}
