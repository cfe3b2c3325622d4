#include <string.h>

#include "state/rlog_i.h"

/* Appends an entry for a caller; the answer comes as RLOG_ACT_APPLY or REFUSE.
 */
void
rl_on_propose(struct rlog *rlog, uint64_t token, const void *data, size_t len)
{
	struct rl_slot *slot;

	if (rlog->role != RLOG_LEADER || rlog->handover_until_us != 0) {
		rl_refuse(rlog, token, ERR_NOT_LEADER);
		return;
	}
	if (len > RL_ENTRY_MAX_BYTES) {
		rl_refuse(rlog, token, ERR_TOO_LARGE);
		return;
	}
	slot = rl_log_add(rlog, rlog->term, RL_ENTRY_DATA, data, len);
	slot->token = token;
	rl_persist_entry(rlog, rl_last_index(rlog));
}

static bool
may_read(const struct rlog *rlog, const struct rl_read *read)
{
	if (rlog->options.unsafe_skip_lease_check)
		return true;
	return rlog->commit >= rlog->term_start &&
	       rlog->applied >= read->index &&
	       rlog->now_us < rlog->lease_until_us;
}

static void
grant(struct rlog *rlog, uint64_t token)
{
	struct rlog_action *action = rl_emit(rlog, RLOG_ACT_GRANT_READ);

	action->u.read.token = token;
}

/*
 * Asks for a read of current state.  Without a lease it waits for one, and
 * that begins a round at once.
 */
void
rl_on_read(struct rlog *rlog, uint64_t token)
{
	struct rl_read read = {
	    token, rlog->commit, rlog->now_us + rlog->options.election_max_us};

	if (rlog->role != RLOG_LEADER) {
		rl_refuse(rlog, token, ERR_NOT_LEADER);
		return;
	}
	if (may_read(rlog, &read)) {
		grant(rlog, token);
		return;
	}
	if (rlog->read_count == rlog->read_size) {
		rlog->read_size =
		    rlog->read_size > 0 ? rlog->read_size * 2 : 16;
		rlog->reads = alloc_resize(rlog->alloc, rlog->reads,
		    rlog->read_size * sizeof(*rlog->reads));
	}
	rlog->reads[rlog->read_count++] = read;
	if (rlog->round_us[rlog->round % RL_ROUNDS] + RL_READ_ROUND_US <=
	    rlog->now_us)
		rlog->heartbeat_us = rlog->now_us;
}

/* Grants the reads that wait no longer and refuses those that waited too long.
 */
void
rl_grant_reads(struct rlog *rlog)
{
	size_t kept = 0, i;

	for (i = 0; i < rlog->read_count; i++) {
		if (may_read(rlog, &rlog->reads[i]))
			grant(rlog, rlog->reads[i].token);
		else if (rlog->now_us > rlog->reads[i].until_us)
			rl_refuse(rlog, rlog->reads[i].token, ERR_NO_QUORUM);
		else
			rlog->reads[kept++] = rlog->reads[i];
	}
	rlog->read_count = kept;
}

/* Refuses every read that waits. */
void
rl_refuse_reads(struct rlog *rlog, int error)
{
	size_t i;

	for (i = 0; i < rlog->read_count; i++)
		rl_refuse(rlog, rlog->reads[i].token, error);
	rlog->read_count = 0;
}

static void
apply_next(struct rlog *rlog)
{
	struct rlog_action *action;
	struct rl_slot *slot;

	rlog->applied++;
	slot = rl_slot_at(rlog, rlog->applied);
	if (slot->kind != RL_ENTRY_DATA)
		return;
	action = rl_emit(rlog, RLOG_ACT_APPLY);
	action->u.apply.entry = rl_entry_at(rlog, rlog->applied);
	action->u.apply.token = slot->token;
	slot->token = 0;
}

/* Hands committed entries to the caller, after the snapshot if one is due. */
void
rl_apply(struct rlog *rlog)
{
	struct rlog_action *action;

	if (rlog->restore_due) {
		rlog->restore_due = false;
		action = rl_emit(rlog, RLOG_ACT_RESTORE);
		action->u.restore.index = rlog->snapshot.index;
		action->u.restore.data = rlog->snapshot.data.data;
		action->u.restore.len = rlog->snapshot.data.len;
	}
	while (
	    rlog->applied < rlog->commit && rlog->applied < rl_last_index(rlog))
		apply_next(rlog);
	if (rlog->started)
		rl_persist_commit(rlog);
}

static bool
is_transferring(const struct rlog *rlog)
{
	size_t i;

	if (rlog->role != RLOG_LEADER)
		return false;
	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].state == RL_SNAPSHOT &&
		    rlog->peers[i].heard_us + rlog->options.election_max_us >
			rlog->now_us)
			return true;
	return false;
}

/*
 * Forgets entries that the snapshot covers and that are durable here.  A
 * quarter of compact_bytes stays, for followers that lag a little.
 */
static void
cut_covered(struct rlog *rlog)
{
	uint64_t cut = rlog->snapshot.index < rlog->durable
			   ? rlog->snapshot.index
			   : rlog->durable;

	if (rl_bytes_between(rlog, rlog->base_index, cut) <
	    rlog->options.compact_bytes / 2)
		return;
	while (cut > rlog->base_index &&
	       rl_bytes_between(rlog, cut, rl_last_index(rlog)) <
		   rlog->options.compact_bytes / 4)
		cut--;
	rl_log_cut(rlog, cut);
}

/*
 * Asks for an image once the log has grown since the last one; a transfer under
 * way goes first.
 */
void
rl_ask_snapshot(struct rlog *rlog)
{
	uint64_t since = rlog->snapshot.index > rlog->base_index
			     ? rlog->snapshot.index
			     : rlog->base_index;
	uint64_t limit = rlog->options.compact_bytes;
	struct rlog_action *action;

	cut_covered(rlog);
	if (is_transferring(rlog))
		limit *= 8;
	if (rlog->snapshot_asked ||
	    rl_bytes_between(rlog, since, rlog->applied) < limit)
		return;
	rlog->snapshot_asked = true;
	action = rl_emit(rlog, RLOG_ACT_TAKE_SNAPSHOT);
	action->u.take.index = rlog->applied;
}

static struct rl_config
config_at(struct rlog *rlog, uint64_t index)
{
	struct rl_config config = rlog->base_config;
	uint64_t i;

	for (i = rlog->base_index + 1; i <= index; i++)
		if (rl_slot_at(rlog, i)->kind == RL_ENTRY_MEMBERS)
			(void)rl_config_decode(rl_slot_at(rlog, i)->data,
			    rl_slot_at(rlog, i)->len, &config);
	return config;
}

/* Takes an image of the applied state in place of the last one. */
void
rl_on_snapshot_taken(
    struct rlog *rlog, uint64_t index, const void *data, size_t len)
{
	uint64_t term;

	rlog->snapshot_asked = false;
	if (index > rlog->applied || index <= rlog->snapshot.index ||
	    !rl_term_at(rlog, index, &term))
		return;
	rlog->snapshot.index = index;
	rlog->snapshot.term = term;
	rlog->snapshot.config = config_at(rlog, index);
	buf_clear(&rlog->snapshot.data);
	buf_add(&rlog->snapshot.data, data, len);
}
