#include <string.h>

#include "state/rlog_i.h"

static void
reset_leader_timeout(struct rl *rl, const struct rl_msg *msg)
{
	rlog_become_follower(rl, msg->term, msg->from_id, msg->from_instance);
	rlog_reset_election_timer(rl);
	rl->campaigns = 0;
	rl->vote_promise_until_us = rl->now_us + rl->options.election_min_us;
}

/*
 * Tells whether replies may be sent: the current term and an installed snapshot
 * have to be durable first.
 */
static bool
may_reply(const struct rl *rl)
{
	return rl->persisted >= rl->vote_record &&
	       rl->persisted >= rl->snapshot_record;
}

static void
acknowledge(struct rl *rl)
{
	struct rl_msg reply =
	    rlog_new_msg(rl, RLOG_MSG_APPEND_REPLY, rl->leader_id);

	reply.ok = true;
	reply.match =
	    rl->verified_index < rl->durable ? rl->verified_index : rl->durable;
	reply.round = rl->newest_round;
	rlog_send(rl, rl->leader_instance, &reply);
}

/* Acknowledges to the leader what has become durable. */
void
rlog_ack_durable(struct rl *rl)
{
	if (rl->role == RLOG_FOLLOWER && rl->leader_id != 0 && may_reply(rl))
		acknowledge(rl);
}

/*
 * Returns the index that the leader should probe next: below all entries of the
 * term that doesn't match, but not below the commit index.
 */
static uint64_t
reject_hint(struct rl *rl, uint64_t index)
{
	uint64_t term, other;

	if (index > rlog_last_index(rl))
		return rlog_last_index(rl);
	if (!rlog_term_at(rl, index, &term))
		return rl->commit;
	while (index > rl->commit && rlog_term_at(rl, index, &other) &&
	       other == term)
		index--;
	return index;
}

static void
send_reject(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_msg reply =
	    rlog_new_msg(rl, RLOG_MSG_APPEND_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.match = reject_hint(rl, msg->log_index);
	reply.round = rl->newest_round;
	if (may_reply(rl))
		rlog_send(rl, msg->from_instance, &reply);
}

static void
append_entries(struct rl *rl, const struct rl_msg *msg)
{
	const struct rl_entry *entry;
	uint64_t term;
	size_t i;

	for (i = 0; i < msg->entry_count; i++) {
		entry = &msg->entries[i];
		if (entry->index <= rl->commit ||
		    entry->index <= rl->base_index)
			continue;
		if (rlog_term_at(rl, entry->index, &term)) {
			if (term == entry->term)
				continue;
			rlog_log_truncate(rl, entry->index);
		}
		(void)rlog_log_append(
		    rl, entry->term, entry->kind, entry->data, entry->len);
		rlog_persist_entry(rl, entry->index);
	}
}

static bool
is_contiguous(const struct rl_msg *msg)
{
	size_t i;

	for (i = 0; i < msg->entry_count; i++)
		if (msg->entries[i].index != msg->log_index + 1 + i)
			return false;
	return true;
}

static bool
matches_previous(const struct rl *rl, const struct rl_msg *msg)
{
	uint64_t term;

	if (msg->log_index <= rl->commit)
		return true;
	return rlog_term_at(rl, msg->log_index, &term) && term == msg->log_term;
}

/* Handles entries or a heartbeat from the leader of the term. */
void
rlog_on_append(struct rl *rl, const struct rl_msg *msg)
{
	uint64_t end;

	if (msg->term < rl->term) {
		struct rl_msg reply =
		    rlog_new_msg(rl, RLOG_MSG_APPEND_REPLY, msg->from_id);

		rlog_send(rl, msg->from_instance, &reply);
		return;
	}
	if (!is_contiguous(msg))
		return;
	reset_leader_timeout(rl, msg);
	if (msg->round > rl->newest_round)
		rl->newest_round = msg->round;
	if (!matches_previous(rl, msg)) {
		send_reject(rl, msg);
		return;
	}
	append_entries(rl, msg);
	rlog_advance_durable(rl);
	end = msg->log_index + msg->entry_count;
	if (end > rl->verified_index)
		rl->verified_index = end;
	if (rl->verified_index > rlog_last_index(rl))
		rl->verified_index = rlog_last_index(rl);
	end =
	    msg->commit < rl->verified_index ? msg->commit : rl->verified_index;
	if (end > rl->commit)
		rl->commit = end;
	if (msg->entry_count == 0 || rl->verified_index <= rl->durable)
		rlog_ack_durable(rl);
}

/*
 * Installs a whole snapshot: writes the journal record, resets the log and
 * restores the caller's state, which is replaced before any later entry is
 * applied.
 */
void
rlog_install_snapshot(struct rl *rl, uint64_t index, uint64_t term,
    const struct rlog_config *config, const void *data, size_t len)
{
	struct rl_action *action;

	rl->snapshot.index = index;
	rl->snapshot.term = term;
	rl->snapshot.config = *config;
	buf_clear(&rl->snapshot.data);
	buf_add(&rl->snapshot.data, data, len);
	rlog_log_reset(rl, index, term, config);
	rlog_persist_snapshot(rl);
	rl->commit = index;
	rl->applied = index;
	rl->verified_index = index;
	rl->restore_pending = false;
	action = rlog_add_action(rl, RL_ACT_RESTORE);
	action->u.restore.index = index;
	action->u.restore.data = rl->snapshot.data.data;
	action->u.restore.len = len;
}

static void
ack_chunk(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_msg reply =
	    rlog_new_msg(rl, RLOG_MSG_SNAPSHOT_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.offset = rl->incoming.len;
	rlog_send(rl, msg->from_instance, &reply);
}

static void
receive_chunk(struct rl *rl, const struct rl_msg *msg)
{
	struct rlog_config config;

	if (msg->log_index != rl->incoming_index ||
	    msg->term != rl->incoming_term || rl->incoming.len > msg->total) {
		buf_clear(&rl->incoming);
		rl->incoming_index = msg->log_index;
		rl->incoming_term = msg->term;
	}
	if (msg->offset == rl->incoming.len &&
	    msg->chunk_len <= msg->total - rl->incoming.len)
		buf_add(&rl->incoming, msg->chunk, msg->chunk_len);
	ack_chunk(rl, msg);
	if (rl->incoming.len != msg->total ||
	    msg->offset + msg->chunk_len != msg->total)
		return;
	config.count = msg->member_count;
	memcpy(config.members, msg->members,
	    msg->member_count * sizeof(*msg->members));
	rlog_install_snapshot(rl, msg->log_index, msg->log_term, &config,
	    rl->incoming.data, rl->incoming.len);
	buf_free(&rl->incoming);
	rl->incoming_index = 0;
}

/* Handles one chunk of the leader's snapshot. */
void
rlog_on_snapshot(struct rl *rl, const struct rl_msg *msg)
{
	if (msg->term < rl->term || msg->member_count > RLOG_MEMBERS_MAX ||
	    msg->offset > msg->total)
		return;
	reset_leader_timeout(rl, msg);
	if (msg->log_index <= rl->commit) {
		if (rl->verified_index < rl->commit)
			rl->verified_index = rl->commit;
		rlog_ack_durable(rl);
		return;
	}
	receive_chunk(rl, msg);
}
