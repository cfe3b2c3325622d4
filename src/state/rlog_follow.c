#include <string.h>

#include "state/rlog_i.h"

static void
heard_leader(struct rl *rl, const struct rl_msg *msg)
{
	rl_become_follower(rl, msg->term, msg->from_id, msg->from_instance);
	rl_rest_election(rl);
	rl->campaigns = 0;
	rl->promise_us = rl->now_us + rl->options.election_min_us;
}

/* Nothing of a term is answered before the term itself is durable. */
static bool
may_answer(const struct rl *rl)
{
	return rl->persisted >= rl->vote_number &&
	       rl->persisted >= rl->snapshot_number;
}

static void
accept_reply(struct rl *rl)
{
	struct rl_msg reply = rl_msg_to(rl, RL_MSG_APPEND_REPLY, rl->leader_id);

	reply.ok = true;
	reply.match = rl->verified < rl->durable ? rl->verified : rl->durable;
	reply.round = rl->seen_round;
	rl_send(rl, rl->leader_instance, &reply);
}

/* Tells the leader that more of the log has become durable. */
void
rl_reply_durable(struct rl *rl)
{
	if (rl->role == RL_FOLLOWER && rl->leader_id != 0 && may_answer(rl))
		accept_reply(rl);
}

/*
 * Returns where the leader should try next: below the whole run of entries of
 * the term that does not match, but not below what is committed.
 */
static uint64_t
reject_hint(struct rl *rl, uint64_t index)
{
	uint64_t term, other;

	if (index > rl_last_index(rl))
		return rl_last_index(rl);
	if (!rl_term_at(rl, index, &term))
		return rl->commit;
	while (index > rl->commit && rl_term_at(rl, index, &other) &&
	       other == term)
		index--;
	return index;
}

static void
reject(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_msg reply = rl_msg_to(rl, RL_MSG_APPEND_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.match = reject_hint(rl, msg->log_index);
	reply.round = rl->seen_round;
	if (may_answer(rl))
		rl_send(rl, msg->from_instance, &reply);
}

static void
take_entries(struct rl *rl, const struct rl_msg *msg)
{
	const struct rl_entry *entry;
	uint64_t term;
	size_t i;

	for (i = 0; i < msg->entry_count; i++) {
		entry = &msg->entries[i];
		if (entry->index <= rl->commit ||
		    entry->index <= rl->base_index)
			continue;
		if (rl_term_at(rl, entry->index, &term)) {
			if (term == entry->term)
				continue;
			rl_log_truncate(rl, entry->index);
		}
		(void)rl_log_add(
		    rl, entry->term, entry->kind, entry->data, entry->len);
		rl_persist_entry(rl, entry->index);
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
	return rl_term_at(rl, msg->log_index, &term) && term == msg->log_term;
}

/* Takes entries or a heartbeat from the leader of the term. */
void
rl_on_append(struct rl *rl, const struct rl_msg *msg)
{
	uint64_t end;

	if (msg->term < rl->term) {
		struct rl_msg reply =
		    rl_msg_to(rl, RL_MSG_APPEND_REPLY, msg->from_id);

		rl_send(rl, msg->from_instance, &reply);
		return;
	}
	if (!is_contiguous(msg))
		return;
	heard_leader(rl, msg);
	if (msg->round > rl->seen_round)
		rl->seen_round = msg->round;
	if (!matches_previous(rl, msg)) {
		reject(rl, msg);
		return;
	}
	take_entries(rl, msg);
	rl_advance_durable(rl);
	end = msg->log_index + msg->entry_count;
	if (end > rl->verified)
		rl->verified = end;
	if (rl->verified > rl_last_index(rl))
		rl->verified = rl_last_index(rl);
	end = msg->commit < rl->verified ? msg->commit : rl->verified;
	if (end > rl->commit)
		rl->commit = end;
	if (msg->entry_count == 0 || rl->verified <= rl->durable)
		rl_reply_durable(rl);
}

/*
 * Takes in a whole snapshot: journal record, log and state.  The caller's
 * state is replaced before any later entry is applied.
 */
void
rl_install(struct rl *rl, uint64_t index, uint64_t term,
    const struct rl_config *config, const void *data, size_t len)
{
	struct rl_action *action;

	rl->snapshot.index = index;
	rl->snapshot.term = term;
	rl->snapshot.config = *config;
	buf_clear(&rl->snapshot.data);
	buf_add(&rl->snapshot.data, data, len);
	rl_log_reset(rl, index, term, config);
	rl_persist_snapshot(rl);
	rl->commit = index;
	rl->applied = index;
	rl->verified = index;
	rl->restore_due = false;
	action = rl_emit(rl, RL_ACT_RESTORE);
	action->u.restore.index = index;
	action->u.restore.data = rl->snapshot.data.data;
	action->u.restore.len = len;
}

static void
answer_chunk(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_msg reply =
	    rl_msg_to(rl, RL_MSG_SNAPSHOT_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.offset = rl->incoming.len;
	rl_send(rl, msg->from_instance, &reply);
}

static void
take_chunk(struct rl *rl, const struct rl_msg *msg)
{
	struct rl_config config;

	if (msg->log_index != rl->incoming_index ||
	    msg->term != rl->incoming_term || rl->incoming.len > msg->total) {
		buf_clear(&rl->incoming);
		rl->incoming_index = msg->log_index;
		rl->incoming_term = msg->term;
	}
	if (msg->offset == rl->incoming.len &&
	    msg->chunk_len <= msg->total - rl->incoming.len)
		buf_add(&rl->incoming, msg->chunk, msg->chunk_len);
	answer_chunk(rl, msg);
	if (rl->incoming.len != msg->total ||
	    msg->offset + msg->chunk_len != msg->total)
		return;
	config.count = msg->member_count;
	memcpy(config.members, msg->members,
	    msg->member_count * sizeof(*msg->members));
	rl_install(rl, msg->log_index, msg->log_term, &config,
	    rl->incoming.data, rl->incoming.len);
	buf_free(&rl->incoming);
	rl->incoming_index = 0;
}

/* Takes one chunk of the leader's snapshot. */
void
rl_on_snapshot(struct rl *rl, const struct rl_msg *msg)
{
	if (msg->term < rl->term || msg->member_count > RL_MEMBERS_MAX ||
	    msg->offset > msg->total)
		return;
	heard_leader(rl, msg);
	if (msg->log_index <= rl->commit) {
		if (rl->verified < rl->commit)
			rl->verified = rl->commit;
		rl_reply_durable(rl);
		return;
	}
	take_chunk(rl, msg);
}
