#include <string.h>

#include "state/rlog_i.h"

/*
 * Appends an entry for a caller; RL_ACT_APPLY or RL_ACT_REFUSE returns its
 * token.
 */
void
rlog_on_propose(struct rl *rl, uint64_t token, const void *data, size_t len)
{
	struct rlog_slot *slot;

	if (rl->role != RL_LEADER || rl->handover_until_us != 0) {
		rlog_refuse(rl, token, ERR_NOT_LEADER);
		return;
	}
	if (len > RLOG_ENTRY_MAX_BYTES) {
		rlog_refuse(rl, token, ERR_TOO_LARGE);
		return;
	}
	slot = rlog_log_append(rl, rl->term, RLOG_ENTRY_DATA, data, len);
	slot->token = token;
	rlog_persist_entry(rl, rlog_last_index(rl));
}

static bool
may_read(const struct rl *rl, const struct rlog_read *read)
{
	if (rl->options.unsafe_skip_lease_check)
		return true;
	return rl->commit >= rl->term_start_index &&
	       rl->applied >= read->index && rl->now_us < rl->lease_until_us;
}

static void
grant_read(struct rl *rl, uint64_t token)
{
	struct rl_action *action = rlog_add_action(rl, RL_ACT_READ);

	action->u.read.token = token;
}

/*
 * Requests a read of the current state.  Without a valid lease the read waits
 * for one, and a heartbeat round is started at once unless the last one is
 * newer than RLOG_READ_ROUND_INTERVAL_US.
 */
void
rlog_on_read(struct rl *rl, uint64_t token)
{
	struct rlog_read read = {
	    token, rl->commit, rl->now_us + rl->options.election_max_us};

	if (rl->role != RL_LEADER) {
		rlog_refuse(rl, token, ERR_NOT_LEADER);
		return;
	}
	if (may_read(rl, &read)) {
		grant_read(rl, token);
		return;
	}
	if (rl->read_count == rl->read_size) {
		rl->read_size = rl->read_size > 0 ? rl->read_size * 2 : 16;
		rl->reads = alloc_resize(
		    rl->alloc, rl->reads, rl->read_size * sizeof(*rl->reads));
	}
	rl->reads[rl->read_count++] = read;
	if (rl->round_us[rl->round % RLOG_ROUNDS_KEPT] +
		RLOG_READ_ROUND_INTERVAL_US <=
	    rl->now_us)
		rl->heartbeat_us = rl->now_us;
}

/*
 * Grants the pending reads that have become possible, and refuses those that
 * have waited for longer than election_max_us.
 */
void
rlog_grant_reads(struct rl *rl)
{
	size_t kept = 0, i;

	for (i = 0; i < rl->read_count; i++) {
		if (may_read(rl, &rl->reads[i]))
			grant_read(rl, rl->reads[i].token);
		else if (rl->now_us > rl->reads[i].until_us)
			rlog_refuse(rl, rl->reads[i].token, ERR_NO_QUORUM);
		else
			rl->reads[kept++] = rl->reads[i];
	}
	rl->read_count = kept;
}

/* Refuses all pending reads. */
void
rlog_refuse_reads(struct rl *rl, int error)
{
	size_t i;

	for (i = 0; i < rl->read_count; i++)
		rlog_refuse(rl, rl->reads[i].token, error);
	rl->read_count = 0;
}

static void
apply_next(struct rl *rl)
{
	struct rl_action *action;
	struct rlog_slot *slot;

	rl->applied++;
	slot = rlog_slot_at(rl, rl->applied);
	if (slot->kind != RLOG_ENTRY_DATA)
		return;
	action = rlog_add_action(rl, RL_ACT_APPLY);
	action->u.apply.entry = rlog_entry_at(rl, rl->applied);
	action->u.apply.token = slot->token;
	slot->token = 0;
}

/*
 * Passes committed entries to the caller, after the snapshot if it has to be
 * restored first.
 */
void
rlog_apply(struct rl *rl)
{
	struct rl_action *action;

	if (rl->restore_pending) {
		rl->restore_pending = false;
		action = rlog_add_action(rl, RL_ACT_RESTORE);
		action->u.restore.index = rl->snapshot.index;
		action->u.restore.data = rl->snapshot.data.data;
		action->u.restore.len = rl->snapshot.data.len;
	}
	while (rl->applied < rl->commit && rl->applied < rlog_last_index(rl))
		apply_next(rl);
	if (rl->started)
		rlog_persist_commit(rl);
}

static bool
is_transferring(const struct rl *rl)
{
	size_t i;

	if (rl->role != RL_LEADER)
		return false;
	for (i = 0; i < rl->peer_count; i++)
		if (rl->peers[i].state == RLOG_PEER_SNAPSHOT &&
		    rl->peers[i].heard_us + rl->options.election_max_us >
			rl->now_us)
			return true;
	return false;
}

/*
 * Drops entries that the snapshot covers and that are durable here.  A quarter
 * of compact_bytes is kept, so that followers that lag a little need no
 * snapshot.
 */
static void
compact_log(struct rl *rl)
{
	uint64_t cut =
	    rl->snapshot.index < rl->durable ? rl->snapshot.index : rl->durable;

	if (rlog_bytes_between(rl, rl->base_index, cut) <
	    rl->options.compact_bytes / 2)
		return;
	while (cut > rl->base_index &&
	       rlog_bytes_between(rl, cut, rlog_last_index(rl)) <
		   rl->options.compact_bytes / 4)
		cut--;
	rlog_log_compact(rl, cut);
}

/*
 * Requests an image of the applied state once compact_bytes of entries have
 * been applied since the last one.  While a snapshot is being sent to a
 * follower, the limit is eight times as high, since a new image would restart
 * the transfer.
 */
void
rlog_request_image(struct rl *rl)
{
	uint64_t since = rl->snapshot.index > rl->base_index
			     ? rl->snapshot.index
			     : rl->base_index;
	uint64_t limit = rl->options.compact_bytes;
	struct rl_action *action;

	compact_log(rl);
	if (is_transferring(rl))
		limit *= 8;
	if (rl->image_requested ||
	    rlog_bytes_between(rl, since, rl->applied) < limit)
		return;
	rl->image_requested = true;
	action = rlog_add_action(rl, RL_ACT_TAKE_SNAPSHOT);
	action->u.take.index = rl->applied;
}

static struct rlog_config
config_at_index(struct rl *rl, uint64_t index)
{
	struct rlog_config config = rl->base_config;
	uint64_t i;

	for (i = rl->base_index + 1; i <= index; i++)
		if (rlog_slot_at(rl, i)->kind == RLOG_ENTRY_MEMBERS)
			(void)rlog_config_decode(rlog_slot_at(rl, i)->data,
			    rlog_slot_at(rl, i)->len, &config);
	return config;
}

/*
 * Replaces the snapshot by a new image of the applied state.  Images that are
 * newer than the applied index or not newer than the snapshot are ignored.
 */
void
rlog_on_snapshot_taken(
    struct rl *rl, uint64_t index, const void *data, size_t len)
{
	uint64_t term;

	rl->image_requested = false;
	if (index > rl->applied || index <= rl->snapshot.index ||
	    !rlog_term_at(rl, index, &term))
		return;
	rl->snapshot.index = index;
	rl->snapshot.term = term;
	rl->snapshot.config = config_at_index(rl, index);
	buf_clear(&rl->snapshot.data);
	buf_add(&rl->snapshot.data, data, len);
}
