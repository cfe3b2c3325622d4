#include <string.h>

#include "state/rlog_i.h"

static void
reset_leader_timeout(struct rlog *rlog, const struct rlog_msg *msg)
{
	rlog_become_follower(rlog, msg->term, msg->from_id, msg->from_instance);
	rlog_reset_election_timer(rlog);
	rlog->campaigns = 0;
	rlog->leader_heard_us = rlog->now_us;
	rlog->vote_promise_until_us =
	    rlog->now_us + rlog->options.election_min_us;
}

/*
 * Tells whether replies may be sent: the current term and an installed snapshot
 * have to be durable first.
 */
static bool
may_reply(const struct rlog *rlog)
{
	return rlog->persisted >= rlog->vote_record &&
	       rlog->persisted >= rlog->snapshot_record;
}

static void
acknowledge(struct rlog *rlog)
{
	struct rlog_msg reply =
	    rlog_new_msg(rlog, RLOG_MSG_APPEND_REPLY, rlog->leader_id);

	reply.ok = true;
	reply.match = rlog->verified_index < rlog->durable
			  ? rlog->verified_index
			  : rlog->durable;
	reply.round = rlog->newest_round;
	rlog_send(rlog, rlog->leader_instance, &reply);
}

/* Acknowledges to the leader what has become durable. */
void
rlog_ack_durable(struct rlog *rlog)
{
	if (rlog->role == RLOG_FOLLOWER && rlog->leader_id != 0 &&
	    may_reply(rlog))
		acknowledge(rlog);
}

/*
 * Returns the index that the leader should probe next: below all entries of the
 * term that doesn't match, but not below the commit index.
 */
static uint64_t
reject_hint(struct rlog *rlog, uint64_t index)
{
	uint64_t term, other;

	if (index > rlog_last_index(rlog))
		return rlog_last_index(rlog);
	if (!rlog_term_at(rlog, index, &term))
		return rlog->commit;
	while (index > rlog->commit && rlog_term_at(rlog, index, &other) &&
	       other == term)
		index--;
	return index;
}

static void
send_reject(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply =
	    rlog_new_msg(rlog, RLOG_MSG_APPEND_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.match = reject_hint(rlog, msg->log_index);
	reply.round = rlog->newest_round;
	if (may_reply(rlog))
		rlog_send(rlog, msg->from_instance, &reply);
}

static void
append_entries(struct rlog *rlog, const struct rlog_msg *msg)
{
	const struct rlog_entry *entry;
	uint64_t term;
	size_t i;

	for (i = 0; i < msg->entry_count; i++) {
		entry = &msg->entries[i];
		if (entry->index <= rlog->commit ||
		    entry->index <= rlog->base_index)
			continue;
		if (rlog_term_at(rlog, entry->index, &term)) {
			if (term == entry->term)
				continue;
			rlog_log_truncate(rlog, entry->index);
		}
		(void)rlog_log_append(
		    rlog, entry->term, entry->kind, entry->data, entry->len);
		rlog_persist_entry(rlog, entry->index);
	}
}

static bool
is_contiguous(const struct rlog_msg *msg)
{
	size_t i;

	for (i = 0; i < msg->entry_count; i++)
		if (msg->entries[i].index != msg->log_index + 1 + i)
			return false;
	return true;
}

static bool
matches_previous(const struct rlog *rlog, const struct rlog_msg *msg)
{
	uint64_t term;

	if (msg->log_index <= rlog->commit)
		return true;
	return rlog_term_at(rlog, msg->log_index, &term) &&
	       term == msg->log_term;
}

/* Handles entries or a heartbeat from the leader of the term. */
void
rlog_on_append(struct rlog *rlog, const struct rlog_msg *msg)
{
	uint64_t end;

	if (msg->term < rlog->term) {
		struct rlog_msg reply =
		    rlog_new_msg(rlog, RLOG_MSG_APPEND_REPLY, msg->from_id);

		rlog_send(rlog, msg->from_instance, &reply);
		return;
	}
	if (!is_contiguous(msg))
		return;
	reset_leader_timeout(rlog, msg);
	rlog_takeover_note(rlog, msg);
	if (msg->round > rlog->newest_round)
		rlog->newest_round = msg->round;
	if (!matches_previous(rlog, msg)) {
		send_reject(rlog, msg);
		return;
	}
	append_entries(rlog, msg);
	rlog_advance_durable(rlog);
	end = msg->log_index + msg->entry_count;
	if (end > rlog->verified_index)
		rlog->verified_index = end;
	if (rlog->verified_index > rlog_last_index(rlog))
		rlog->verified_index = rlog_last_index(rlog);
	end = msg->commit < rlog->verified_index ? msg->commit
						 : rlog->verified_index;
	if (end > rlog->commit)
		rlog->commit = end;
	if (msg->entry_count == 0 || rlog->verified_index <= rlog->durable)
		rlog_ack_durable(rlog);
}

/*
 * Installs a whole snapshot: writes the journal record, resets the log and
 * restores the caller's state, which is replaced before any later entry is
 * applied.
 */
void
rlog_install_snapshot(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rlog_config *config, const void *data, size_t len)
{
	struct rlog_action *action;

	rlog->snapshot.index = index;
	rlog->snapshot.term = term;
	rlog->snapshot.config = *config;
	buf_clear(&rlog->snapshot.data);
	buf_add(&rlog->snapshot.data, data, len);
	rlog_log_reset(rlog, index, term, config);
	rlog_persist_snapshot(rlog);
	rlog->commit = index;
	rlog->applied = index;
	rlog->verified_index = index;
	rlog->restore_pending = false;
	action = rlog_add_action(rlog, RLOG_ACT_RESTORE);
	action->u.restore.index = index;
	action->u.restore.data = rlog->snapshot.data.data;
	action->u.restore.len = len;
}

static void
ack_chunk(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply =
	    rlog_new_msg(rlog, RLOG_MSG_SNAPSHOT_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.offset = rlog->incoming.len;
	rlog_send(rlog, msg->from_instance, &reply);
}

static void
receive_chunk(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_config config;

	if (msg->log_index != rlog->incoming_index ||
	    msg->term != rlog->incoming_term ||
	    rlog->incoming.len > msg->total) {
		buf_clear(&rlog->incoming);
		rlog->incoming_index = msg->log_index;
		rlog->incoming_term = msg->term;
	}
	if (msg->offset == rlog->incoming.len &&
	    msg->chunk_len <= msg->total - rlog->incoming.len)
		buf_add(&rlog->incoming, msg->chunk, msg->chunk_len);
	ack_chunk(rlog, msg);
	if (rlog->incoming.len != msg->total ||
	    msg->offset + msg->chunk_len != msg->total)
		return;
	config.count = msg->member_count;
	memcpy(config.members, msg->members,
	    msg->member_count * sizeof(*msg->members));
	rlog_install_snapshot(rlog, msg->log_index, msg->log_term, &config,
	    rlog->incoming.data, rlog->incoming.len);
	buf_free(&rlog->incoming);
	rlog->incoming_index = 0;
}

/* Handles one chunk of the leader's snapshot. */
void
rlog_on_snapshot(struct rlog *rlog, const struct rlog_msg *msg)
{
	if (msg->term < rlog->term || msg->member_count > RLOG_MEMBERS_MAX ||
	    msg->offset > msg->total)
		return;
	reset_leader_timeout(rlog, msg);
	if (msg->log_index <= rlog->commit) {
		if (rlog->verified_index < rlog->commit)
			rlog->verified_index = rlog->commit;
		rlog_ack_durable(rlog);
		return;
	}
	receive_chunk(rlog, msg);
}
