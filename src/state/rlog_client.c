#include <string.h>

#include "state/rlog_i.h"

/*
 * Appends an entry for a caller; RLOG_ACT_APPLY or RLOG_ACT_REFUSE returns its
 * token.
 */
void
rlog_on_propose(struct rlog *rlog, uint64_t token, const void *data, size_t len)
{
	struct rlog_slot *slot;

	if (rlog->role != RLOG_LEADER || rlog->handover_until_us != 0) {
		rlog_refuse(rlog, token, ERR_NOT_LEADER);
		return;
	}
	if (len > RLOG_ENTRY_MAX_BYTES) {
		rlog_refuse(rlog, token, ERR_TOO_LARGE);
		return;
	}
	slot = rlog_log_append(rlog, rlog->term, RLOG_ENTRY_DATA, data, len);
	slot->token = token;
	rlog_persist_entry(rlog, rlog_last_index(rlog));
}

static bool
may_read(const struct rlog *rlog, const struct rlog_read *read)
{
	if (rlog->options.unsafe_skip_lease_check)
		return true;
	return rlog->commit >= rlog->term_start_index &&
	       rlog->applied >= read->index &&
	       rlog->now_us < rlog->lease_until_us;
}

static void
grant_read(struct rlog *rlog, uint64_t token)
{
	struct rlog_action *action = rlog_add_action(rlog, RLOG_ACT_GRANT_READ);

	action->u.read.token = token;
}

/*
 * Requests a read of the current state.  Without a valid lease the read waits
 * for one, and a heartbeat round is started at once unless the last one is
 * newer than RLOG_READ_ROUND_INTERVAL_US.
 */
void
rlog_on_read(struct rlog *rlog, uint64_t token)
{
	struct rlog_read read = {
	    token, rlog->commit, rlog->now_us + rlog->options.election_max_us};

	if (rlog->role != RLOG_LEADER) {
		rlog_refuse(rlog, token, ERR_NOT_LEADER);
		return;
	}
	if (may_read(rlog, &read)) {
		grant_read(rlog, token);
		return;
	}
	if (rlog->read_count == rlog->read_size) {
		rlog->read_size =
		    rlog->read_size > 0 ? rlog->read_size * 2 : 16;
		rlog->reads = alloc_resize(rlog->alloc, rlog->reads,
		    rlog->read_size * sizeof(*rlog->reads));
	}
	rlog->reads[rlog->read_count++] = read;
	if (rlog->round_us[rlog->round % RLOG_ROUNDS_KEPT] +
		RLOG_READ_ROUND_INTERVAL_US <=
	    rlog->now_us)
		rlog->heartbeat_us = rlog->now_us;
}

/*
 * Grants the pending reads that have become possible, and refuses those that
 * have waited for longer than election_max_us.
 */
void
rlog_grant_reads(struct rlog *rlog)
{
	size_t kept = 0, i;

	for (i = 0; i < rlog->read_count; i++) {
		if (may_read(rlog, &rlog->reads[i]))
			grant_read(rlog, rlog->reads[i].token);
		else if (rlog->now_us > rlog->reads[i].until_us)
			rlog_refuse(rlog, rlog->reads[i].token, ERR_NO_QUORUM);
		else
			rlog->reads[kept++] = rlog->reads[i];
	}
	rlog->read_count = kept;
}

/* Refuses all pending reads. */
void
rlog_refuse_reads(struct rlog *rlog, int error)
{
	size_t i;

	for (i = 0; i < rlog->read_count; i++)
		rlog_refuse(rlog, rlog->reads[i].token, error);
	rlog->read_count = 0;
}

static void
apply_next(struct rlog *rlog)
{
	struct rlog_action *action;
	struct rlog_slot *slot;

	rlog->applied++;
	slot = rlog_slot_at(rlog, rlog->applied);
	if (slot->kind != RLOG_ENTRY_DATA)
		return;
	action = rlog_add_action(rlog, RLOG_ACT_APPLY);
	action->u.apply.entry = rlog_entry_at(rlog, rlog->applied);
	action->u.apply.token = slot->token;
	slot->token = 0;
}

/*
 * Passes committed entries to the caller, after the snapshot if it has to be
 * restored first.
 */
void
rlog_apply(struct rlog *rlog)
{
	struct rlog_action *action;

	if (rlog->restore_pending) {
		rlog->restore_pending = false;
		action = rlog_add_action(rlog, RLOG_ACT_RESTORE);
		action->u.restore.index = rlog->snapshot.index;
		action->u.restore.data = rlog->snapshot.data.data;
		action->u.restore.len = rlog->snapshot.data.len;
	}
	while (rlog->applied < rlog->commit &&
	       rlog->applied < rlog_last_index(rlog))
		apply_next(rlog);
	if (rlog->started)
		rlog_persist_commit(rlog);
}

static bool
is_transferring(const struct rlog *rlog)
{
	size_t i;

	if (rlog->role != RLOG_LEADER)
		return false;
	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].state == RLOG_PEER_SNAPSHOT &&
		    rlog->peers[i].heard_us + rlog->options.election_max_us >
			rlog->now_us)
			return true;
	return false;
}

/*
 * Drops entries that the snapshot covers and that are durable here.  A quarter
 * of compact_bytes is kept, so that followers that lag a little need no
 * snapshot.
 */
static void
compact_log(struct rlog *rlog)
{
	uint64_t cut = rlog->snapshot.index < rlog->durable
			   ? rlog->snapshot.index
			   : rlog->durable;

	if (rlog_bytes_between(rlog, rlog->base_index, cut) <
	    rlog->options.compact_bytes / 2)
		return;
	while (cut > rlog->base_index &&
	       rlog_bytes_between(rlog, cut, rlog_last_index(rlog)) <
		   rlog->options.compact_bytes / 4)
		cut--;
	rlog_log_compact(rlog, cut);
}

/*
 * Requests an image of the applied state once compact_bytes of entries have
 * been applied since the last one.  While a snapshot is being sent to a
 * follower, the limit is eight times as high, since a new image would restart
 * the transfer.
 */
void
rlog_request_image(struct rlog *rlog)
{
	uint64_t since = rlog->snapshot.index > rlog->base_index
			     ? rlog->snapshot.index
			     : rlog->base_index;
	uint64_t limit = rlog->options.compact_bytes;
	struct rlog_action *action;

	compact_log(rlog);
	if (is_transferring(rlog))
		limit *= 8;
	if (rlog->image_requested ||
	    rlog_bytes_between(rlog, since, rlog->applied) < limit)
		return;
	rlog->image_requested = true;
	action = rlog_add_action(rlog, RLOG_ACT_TAKE_SNAPSHOT);
	action->u.take.index = rlog->applied;
}

static struct rlog_config
config_at_index(struct rlog *rlog, uint64_t index)
{
	struct rlog_config config = rlog->base_config;
	uint64_t i;

	for (i = rlog->base_index + 1; i <= index; i++)
		if (rlog_slot_at(rlog, i)->kind == RLOG_ENTRY_MEMBERS)
			(void)rlog_config_decode(rlog_slot_at(rlog, i)->data,
			    rlog_slot_at(rlog, i)->len, &config);
	return config;
}

/*
 * Replaces the snapshot by a new image of the applied state.  Images that are
 * newer than the applied index or not newer than the snapshot are ignored.
 */
void
rlog_on_snapshot_taken(
    struct rlog *rlog, uint64_t index, const void *data, size_t len)
{
	uint64_t term;

	rlog->image_requested = false;
	if (index > rlog->applied || index <= rlog->snapshot.index ||
	    !rlog_term_at(rlog, index, &term))
		return;
	rlog->snapshot.index = index;
	rlog->snapshot.term = term;
	rlog->snapshot.config = config_at_index(rlog, index);
	buf_clear(&rlog->snapshot.data);
	buf_add(&rlog->snapshot.data, data, len);
}
