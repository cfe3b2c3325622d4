#include <string.h>

#include "state/rlog_i.h"

static void
heard_leader(struct rlog *rlog, const struct rlog_msg *msg)
{
	rl_become_follower(rlog, msg->term, msg->from_id, msg->from_instance);
	rl_rest_election(rlog);
	rlog->campaigns = 0;
	rlog->promise_us = rlog->now_us + rlog->options.election_min_us;
}

/* Nothing of a term is answered before the term itself is durable. */
static bool
may_answer(const struct rlog *rlog)
{
	return rlog->persisted >= rlog->vote_number &&
	       rlog->persisted >= rlog->snapshot_number;
}

static void
accept_reply(struct rlog *rlog)
{
	struct rlog_msg reply =
	    rl_msg_to(rlog, RL_MSG_APPEND_REPLY, rlog->leader_id);

	reply.ok = true;
	reply.match =
	    rlog->verified < rlog->durable ? rlog->verified : rlog->durable;
	reply.round = rlog->seen_round;
	rl_send(rlog, rlog->leader_instance, &reply);
}

/* Tells the leader that more of the log has become durable. */
void
rl_reply_durable(struct rlog *rlog)
{
	if (rlog->role == RL_FOLLOWER && rlog->leader_id != 0 &&
	    may_answer(rlog))
		accept_reply(rlog);
}

/*
 * Returns where the leader should try next: below the whole run of entries of
 * the term that does not match, but not below what is committed.
 */
static uint64_t
reject_hint(struct rlog *rlog, uint64_t index)
{
	uint64_t term, other;

	if (index > rl_last_index(rlog))
		return rl_last_index(rlog);
	if (!rl_term_at(rlog, index, &term))
		return rlog->commit;
	while (index > rlog->commit && rl_term_at(rlog, index, &other) &&
	       other == term)
		index--;
	return index;
}

static void
reject(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply =
	    rl_msg_to(rlog, RL_MSG_APPEND_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.match = reject_hint(rlog, msg->log_index);
	reply.round = rlog->seen_round;
	if (may_answer(rlog))
		rl_send(rlog, msg->from_instance, &reply);
}

static void
take_entries(struct rlog *rlog, const struct rlog_msg *msg)
{
	const struct rlog_entry *entry;
	uint64_t term;
	size_t i;

	for (i = 0; i < msg->entry_count; i++) {
		entry = &msg->entries[i];
		if (entry->index <= rlog->commit ||
		    entry->index <= rlog->base_index)
			continue;
		if (rl_term_at(rlog, entry->index, &term)) {
			if (term == entry->term)
				continue;
			rl_log_truncate(rlog, entry->index);
		}
		(void)rl_log_add(
		    rlog, entry->term, entry->kind, entry->data, entry->len);
		rl_persist_entry(rlog, entry->index);
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
	return rl_term_at(rlog, msg->log_index, &term) && term == msg->log_term;
}

/* Takes entries or a heartbeat from the leader of the term. */
void
rl_on_append(struct rlog *rlog, const struct rlog_msg *msg)
{
	uint64_t end;

	if (msg->term < rlog->term) {
		struct rlog_msg reply =
		    rl_msg_to(rlog, RL_MSG_APPEND_REPLY, msg->from_id);

		rl_send(rlog, msg->from_instance, &reply);
		return;
	}
	if (!is_contiguous(msg))
		return;
	heard_leader(rlog, msg);
	if (msg->round > rlog->seen_round)
		rlog->seen_round = msg->round;
	if (!matches_previous(rlog, msg)) {
		reject(rlog, msg);
		return;
	}
	take_entries(rlog, msg);
	rl_advance_durable(rlog);
	end = msg->log_index + msg->entry_count;
	if (end > rlog->verified)
		rlog->verified = end;
	if (rlog->verified > rl_last_index(rlog))
		rlog->verified = rl_last_index(rlog);
	end = msg->commit < rlog->verified ? msg->commit : rlog->verified;
	if (end > rlog->commit)
		rlog->commit = end;
	if (msg->entry_count == 0 || rlog->verified <= rlog->durable)
		rl_reply_durable(rlog);
}

/*
 * Takes in a whole snapshot: journal record, log and state.  The caller's
 * state is replaced before any later entry is applied.
 */
void
rl_install(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rl_config *config, const void *data, size_t len)
{
	struct rlog_action *action;

	rlog->snapshot.index = index;
	rlog->snapshot.term = term;
	rlog->snapshot.config = *config;
	buf_clear(&rlog->snapshot.data);
	buf_add(&rlog->snapshot.data, data, len);
	rl_log_reset(rlog, index, term, config);
	rl_persist_snapshot(rlog);
	rlog->commit = index;
	rlog->applied = index;
	rlog->verified = index;
	rlog->restore_due = false;
	action = rl_emit(rlog, RLOG_ACT_RESTORE);
	action->u.restore.index = index;
	action->u.restore.data = rlog->snapshot.data.data;
	action->u.restore.len = len;
}

static void
answer_chunk(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_msg reply =
	    rl_msg_to(rlog, RL_MSG_SNAPSHOT_REPLY, msg->from_id);

	reply.log_index = msg->log_index;
	reply.offset = rlog->incoming.len;
	rl_send(rlog, msg->from_instance, &reply);
}

static void
take_chunk(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rl_config config;

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
	answer_chunk(rlog, msg);
	if (rlog->incoming.len != msg->total ||
	    msg->offset + msg->chunk_len != msg->total)
		return;
	config.count = msg->member_count;
	memcpy(config.members, msg->members,
	    msg->member_count * sizeof(*msg->members));
	rl_install(rlog, msg->log_index, msg->log_term, &config,
	    rlog->incoming.data, rlog->incoming.len);
	buf_free(&rlog->incoming);
	rlog->incoming_index = 0;
}

/* Takes one chunk of the leader's snapshot. */
void
rl_on_snapshot(struct rlog *rlog, const struct rlog_msg *msg)
{
	if (msg->term < rlog->term || msg->member_count > RL_MEMBERS_MAX ||
	    msg->offset > msg->total)
		return;
	heard_leader(rlog, msg);
	if (msg->log_index <= rlog->commit) {
		if (rlog->verified < rlog->commit)
			rlog->verified = rlog->commit;
		rl_reply_durable(rlog);
		return;
	}
	take_chunk(rlog, msg);
}
