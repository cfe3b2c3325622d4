#include "state/rlog.h"

#include <string.h>

#include "state/rlog_i.h"

enum {
	HEARTBEAT_US = 250000,
	ELECTION_MIN_US = 900000,
	ELECTION_MAX_US = 1400000,
	LEASE_US = 750000,
	JUMP_US = 400000,
	WINDOW_BYTES = 256 * 1024,
	CHUNK_BYTES = 64 * 1024,
	COMPACT_BYTES = 1024 * 1024,
	VOTERS_MIN = 3
};

static void
fill_defaults(struct rlog_options *options)
{
	if (options->heartbeat_us == 0)
		options->heartbeat_us = HEARTBEAT_US;
	if (options->election_min_us == 0)
		options->election_min_us = ELECTION_MIN_US;
	if (options->election_max_us == 0)
		options->election_max_us = ELECTION_MAX_US;
	if (options->lease_us == 0)
		options->lease_us = LEASE_US;
	if (options->jump_us == 0)
		options->jump_us = JUMP_US;
	if (options->window_bytes == 0)
		options->window_bytes = WINDOW_BYTES;
	if (options->chunk_bytes == 0)
		options->chunk_bytes = CHUNK_BYTES;
	if (options->compact_bytes == 0)
		options->compact_bytes = COMPACT_BYTES;
	if (options->voters_min < VOTERS_MIN)
		options->voters_min = VOTERS_MIN;
}

/*
 * Creates a replica with an empty log; rlog_replay() loads the stored records.
 */
struct rlog *
rlog_new(const struct rlog_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct rlog *rlog = alloc_zero(alloc, 1, sizeof(*rlog));

	rlog->options = *options;
	rlog->alloc = alloc;
	fill_defaults(&rlog->options);
	rlog_set_founders(rlog);
	rng_init(&rlog->rng, options->seed);
	rlog->leader_instance = RLOG_NO_INSTANCE;
	buf_init(&rlog->snapshot.data, alloc);
	buf_init(&rlog->incoming, alloc);
	return rlog;
}

/*
 * Ends the replay; everything replayed counts as durable.  Before its restart
 * the replica may have promised a leader not to vote for others.  That promise
 * is not stored, so the replica grants no vote for election_min_us.
 */
void
rlog_start(struct rlog *rlog, int64_t now_us)
{
	rlog->now_us = now_us;
	rlog->last_step_us = now_us;
	rlog->leader_heard_us = now_us;
	rlog->led_us = now_us;
	if (rlog->commit > rlog_last_index(rlog))
		rlog->commit = rlog_last_index(rlog);
	rlog->durable = rlog_last_index(rlog);
	rlog->commit_durable = rlog->commit;
	rlog->commit_pending = rlog->commit;
	if (!rlog->options.unsafe_skip_vote_wait)
		rlog->vote_promise_until_us =
		    now_us + rlog->options.election_min_us;
	rlog_config_reload(rlog);
	rlog_reset_election_timer(rlog);
}

static void
run_deferred_frees(struct rlog *rlog)
{
	size_t i;

	for (i = 0; i < rlog->deferred_free_count; i++)
		alloc_free(rlog->alloc, rlog->deferred_frees[i]);
	rlog->deferred_free_count = 0;
}

void
rlog_free(struct rlog *rlog)
{
	size_t i;

	run_deferred_frees(rlog);
	for (i = 0; i < rlog->slot_count; i++)
		alloc_free(rlog->alloc, rlog->slots[i].data);
	alloc_free(rlog->alloc, rlog->slots);
	alloc_free(rlog->alloc, rlog->reads);
	alloc_free(rlog->alloc, (void *)rlog->deferred_frees);
	buf_free(&rlog->snapshot.data);
	buf_free(&rlog->incoming);
	alloc_free(rlog->alloc, rlog);
}

void
rlog_actions_free(struct rlog *rlog, struct rlog_actions *actions)
{
	alloc_free(rlog->alloc, actions->items);
	memset(actions, 0, sizeof(*actions));
}

/*
 * Appends a zeroed action to the current step's list; valid until the next
 * call.
 */
struct rlog_action *
rlog_add_action(struct rlog *rlog, enum rlog_action_kind kind)
{
	struct rlog_actions *out = rlog->out;
	struct rlog_action *action;

	if (out->count == out->size) {
		out->size = out->size > 0 ? out->size * 2 : 32;
		out->items = alloc_resize(
		    rlog->alloc, out->items, out->size * sizeof(*out->items));
	}
	action = &out->items[out->count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	return action;
}

/*
 * Frees a block at the next step, since actions of this step may point into it.
 */
void
rlog_free_later(struct rlog *rlog, void *block)
{
	if (block == NULL)
		return;
	if (rlog->deferred_free_count == rlog->deferred_free_size) {
		rlog->deferred_free_size = rlog->deferred_free_size > 0
					       ? rlog->deferred_free_size * 2
					       : 64;
		rlog->deferred_frees = alloc_resize(rlog->alloc,
		    (void *)rlog->deferred_frees,
		    rlog->deferred_free_size * sizeof(*rlog->deferred_frees));
	}
	rlog->deferred_frees[rlog->deferred_free_count++] = block;
}

/* Returns a message from this replica in its current term. */
struct rlog_msg
rlog_new_msg(const struct rlog *rlog, enum rlog_msg_kind kind, uint64_t to_id)
{
	struct rlog_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.kind = kind;
	msg.from_id = rlog->id;
	msg.to_id = to_id;
	msg.from_instance = rlog->options.instance;
	msg.term = rlog->term;
	return msg;
}

void
rlog_send(struct rlog *rlog, uint64_t instance, const struct rlog_msg *msg)
{
	struct rlog_action *action = rlog_add_action(rlog, RLOG_ACT_SEND);

	action->u.send.instance = instance;
	action->u.send.message = *msg;
}

/*
 * Sends a message once a journal record is durable.  If the queue is full, the
 * oldest message is dropped, which peers tolerate like a message lost on a
 * link.
 */
void
rlog_send_when_durable(struct rlog *rlog, uint64_t number, uint64_t instance,
    const struct rlog_msg *msg)
{
	struct rlog_delayed_send *delayed;

	if (number <= rlog->persisted) {
		rlog_send(rlog, instance, msg);
		return;
	}
	if (rlog->delayed_count == RLOG_DELAYED_SENDS_MAX) {
		rlog->delayed_count--;
		memmove(rlog->delayed, rlog->delayed + 1,
		    rlog->delayed_count * sizeof(rlog->delayed[0]));
	}
	delayed = &rlog->delayed[rlog->delayed_count++];
	delayed->number = number;
	delayed->instance = instance;
	delayed->message = *msg;
}

static void
send_delayed(struct rlog *rlog)
{
	size_t kept = 0, i;

	for (i = 0; i < rlog->delayed_count; i++) {
		struct rlog_delayed_send *delayed = &rlog->delayed[i];

		if (delayed->number > rlog->persisted)
			rlog->delayed[kept++] = *delayed;
		else if (delayed->message.term >= rlog->term)
			rlog_send(rlog, delayed->instance, &delayed->message);
	}
	rlog->delayed_count = kept;
}

/* Reports to the caller that its request failed, with the known leader. */
void
rlog_refuse(struct rlog *rlog, uint64_t token, int error)
{
	struct rlog_action *action = rlog_add_action(rlog, RLOG_ACT_REFUSE);

	action->u.refuse.token = token;
	action->u.refuse.error = error;
	action->u.refuse.leader = rlog_leader_instance(rlog);
}

/* Advances the durable index by the records that the journal has reported. */
void
rlog_advance_durable(struct rlog *rlog)
{
	if (rlog->persisted < rlog->snapshot_record)
		return;
	if (rlog->durable < rlog->base_index)
		rlog->durable = rlog->base_index;
	while (rlog->durable < rlog_last_index(rlog) &&
	       rlog_slot_at(rlog, rlog->durable + 1)->number <= rlog->persisted)
		rlog->durable++;
}

static void
on_persisted(struct rlog *rlog, uint64_t number)
{
	uint64_t durable = rlog->durable;
	bool could_reply = rlog->persisted >= rlog->vote_record;

	if (number <= rlog->persisted || number > rlog->number)
		return;
	rlog->persisted = number;
	rlog_advance_durable(rlog);
	if (rlog->commit_record != 0 && number >= rlog->commit_record) {
		rlog->commit_record = 0;
		rlog->commit_durable = rlog->commit_pending;
	}
	send_delayed(rlog);
	rlog_count_votes(rlog);
	if (rlog->durable > durable ||
	    (!could_reply && rlog->persisted >= rlog->vote_record))
		rlog_ack_durable(rlog);
}

static void
on_message(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_peer *peer;

	if (msg->from_id == rlog->id ||
	    (msg->to_id != 0 && msg->to_id != rlog->id))
		return;
	peer = rlog_find_peer(rlog, msg->from_id);
	if (peer != NULL)
		peer->message_us = rlog->now_us;
	switch (msg->kind) {
	case RLOG_MSG_HELLO:
		rlog_on_hello(rlog, msg);
		break;
	case RLOG_MSG_PREVOTE:
		rlog_on_prevote(rlog, msg);
		break;
	case RLOG_MSG_PREVOTE_REPLY:
		rlog_on_prevote_reply(rlog, msg);
		break;
	case RLOG_MSG_VOTE:
		rlog_on_vote(rlog, msg);
		break;
	case RLOG_MSG_VOTE_REPLY:
		rlog_on_vote_reply(rlog, msg);
		break;
	case RLOG_MSG_APPEND:
		rlog_on_append(rlog, msg);
		break;
	case RLOG_MSG_APPEND_REPLY:
		rlog_on_append_reply(rlog, msg);
		break;
	case RLOG_MSG_SNAPSHOT:
		rlog_on_snapshot(rlog, msg);
		break;
	case RLOG_MSG_SNAPSHOT_REPLY:
		rlog_on_snapshot_reply(rlog, msg);
		break;
	case RLOG_MSG_TIMEOUT_NOW:
		rlog_on_timeout_now(rlog, msg);
		break;
	}
}

static void
on_handover(struct rlog *rlog)
{
	rlog->leaving = true;
	if (rlog->role == RLOG_LEADER && rlog->handover_until_us == 0)
		rlog->handover_until_us =
		    rlog->now_us + rlog->options.election_max_us;
}

static void
on_disk_lost(struct rlog *rlog)
{
	if (rlog->disk_failed)
		return;
	rlog_become_follower(rlog, rlog->term, 0, 0);
	rlog->delayed_count = 0;
	rlog->disk_failed = true;
}

static void
dispatch(struct rlog *rlog, const struct rlog_event *event)
{
	switch (event->kind) {
	case RLOG_EV_TICK:
		break;
	case RLOG_EV_MESSAGE:
		on_message(rlog, event->u.message);
		break;
	case RLOG_EV_PROPOSE:
		rlog_on_propose(rlog, event->u.propose.token,
		    event->u.propose.data, event->u.propose.len);
		break;
	case RLOG_EV_READ:
		rlog_on_read(rlog, event->u.read.token);
		break;
	case RLOG_EV_PERSISTED:
		on_persisted(rlog, event->u.persisted.number);
		break;
	case RLOG_EV_SNAPSHOT_TAKEN:
		rlog_on_snapshot_taken(rlog, event->u.snapshot.index,
		    event->u.snapshot.data, event->u.snapshot.len);
		break;
	case RLOG_EV_REMOVE:
		rlog_on_remove(
		    rlog, event->u.remove.instance, event->u.remove.token);
		break;
	case RLOG_EV_HANDOVER:
		on_handover(rlog);
		break;
	case RLOG_EV_DISK_LOST:
		on_disk_lost(rlog);
		break;
	}
}

/* After a journal failure the replica sends no replies and refuses requests. */
static void
refuse_without_disk(struct rlog *rlog, const struct rlog_event *event)
{
	if (event->kind == RLOG_EV_PROPOSE)
		rlog_refuse(rlog, event->u.propose.token, ERR_DISK);
	else if (event->kind == RLOG_EV_READ)
		rlog_refuse(rlog, event->u.read.token, ERR_DISK);
	else if (event->kind == RLOG_EV_REMOVE)
		rlog_refuse(rlog, event->u.remove.token, ERR_DISK);
}

/*
 * After a long gap between two steps the process may have been frozen.  Its
 * lease, its election timeout and the silence of its peers are then out of
 * date: a leader has to be confirmed by a quorum again, and a follower starts a
 * new timeout.
 */
static void
handle_time_jump(struct rlog *rlog)
{
	bool jumped = rlog->now_us - rlog->last_step_us > rlog->options.jump_us;

	rlog->last_step_us = rlog->now_us;
	if (!jumped || rlog->options.unsafe_skip_jump_check)
		return;
	rlog->lease_until_us = 0;
	if (rlog->role == RLOG_LEADER) {
		rlog->min_round = rlog->round + 1;
		rlog->quorum_us = rlog->now_us;
		rlog->heartbeat_us = rlog->now_us;
		for (size_t i = 0; i < rlog->peer_count; i++)
			rlog->peers[i].heard_us = rlog->now_us;
	} else {
		rlog_reset_election_timer(rlog);
	}
}

static void
init_identity(struct rlog *rlog)
{
	rlog->started = true;
	if (rlog->id == 0) {
		rlog->id = rlog->options.fresh_id;
		rlog_persist_identity(rlog);
	}
	rlog_config_reload(rlog);
}

static void
report_leader(struct rlog *rlog)
{
	struct rlog_action *action;

	if (rlog->leader_id != 0)
		rlog->led_us = rlog->now_us;
	if (rlog->reported_term == rlog->term &&
	    rlog->reported_leader == rlog->leader_id &&
	    rlog->reported_role == rlog->role)
		return;
	rlog->reported_term = rlog->term;
	rlog->reported_leader = rlog->leader_id;
	rlog->reported_role = rlog->role;
	action = rlog_add_action(rlog, RLOG_ACT_LEADER);
	action->u.leader.term = rlog->term;
	action->u.leader.instance = rlog_leader_instance(rlog);
	action->u.leader.is_self = rlog->role == RLOG_LEADER;
}

/*
 * Updates everything that depends on an event.  The order makes one pass
 * enough: each call uses only results of earlier ones.
 */
static void
advance_state(struct rlog *rlog)
{
	rlog_takeover_tick(rlog);
	rlog_election_tick(rlog);
	rlog_leader_tick(rlog);
	rlog_advance_durable(rlog);
	rlog_advance_commit(rlog);
	rlog_renew_lease(rlog);
	rlog_voters_tick(rlog);
	rlog_hello_tick(rlog);
	rlog_transfer_leadership(rlog);
	rlog_replicate(rlog);
	rlog_apply(rlog);
	if (rlog->role == RLOG_LEADER)
		rlog_grant_reads(rlog);
	rlog_request_image(rlog);
	report_leader(rlog);
}

/*
 * Handles one event and lists the resulting actions.  A now_us below the last
 * one is treated as the last one.  The list is cleared first; it and all it
 * points to are valid until the next step.
 */
void
rlog_step(struct rlog *rlog, int64_t now_us, const struct rlog_event *event,
    struct rlog_actions *actions)
{
	run_deferred_frees(rlog);
	actions->count = 0;
	rlog->out = actions;
	if (now_us > rlog->now_us)
		rlog->now_us = now_us;
	if (rlog->disk_failed) {
		refuse_without_disk(rlog, event);
		return;
	}
	if (!rlog->started)
		init_identity(rlog);
	handle_time_jump(rlog);
	dispatch(rlog, event);
	if (!rlog->disk_failed)
		advance_state(rlog);
	else
		report_leader(rlog);
}
