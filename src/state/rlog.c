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
	COMPACT_BYTES = 1024 * 1024
};

static void
fill_defaults(struct rl_options *options)
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
}

/* Creates a replica with an empty log; rl_replay() loads the stored records. */
struct rl *
rl_new(const struct rl_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct rl *rl = alloc_zero(alloc, 1, sizeof(*rl));

	rl->options = *options;
	rl->alloc = alloc;
	fill_defaults(&rl->options);
	rlog_set_founders(rl);
	rng_init(&rl->rng, options->seed);
	rl->leader_instance = RL_NO_INSTANCE;
	buf_init(&rl->snapshot.data, alloc);
	buf_init(&rl->incoming, alloc);
	return rl;
}

/*
 * Ends the replay; everything replayed counts as durable.  Before its restart
 * the replica may have promised a leader not to vote for others.  That promise
 * is not stored, so the replica grants no vote for election_min_us.
 */
void
rl_start(struct rl *rl, int64_t now_us)
{
	rl->now_us = now_us;
	rl->last_step_us = now_us;
	if (rl->commit > rlog_last_index(rl))
		rl->commit = rlog_last_index(rl);
	rl->durable = rlog_last_index(rl);
	rl->commit_durable = rl->commit;
	rl->commit_pending = rl->commit;
	if (!rl->options.unsafe_skip_vote_wait)
		rl->vote_promise_until_us =
		    now_us + rl->options.election_min_us;
	rlog_config_reload(rl);
	rlog_reset_election_timer(rl);
}

static void
run_deferred_frees(struct rl *rl)
{
	size_t i;

	for (i = 0; i < rl->deferred_free_count; i++)
		alloc_free(rl->alloc, rl->deferred_frees[i]);
	rl->deferred_free_count = 0;
}

void
rl_free(struct rl *rl)
{
	size_t i;

	run_deferred_frees(rl);
	for (i = 0; i < rl->slot_count; i++)
		alloc_free(rl->alloc, rl->slots[i].data);
	alloc_free(rl->alloc, rl->slots);
	alloc_free(rl->alloc, rl->reads);
	alloc_free(rl->alloc, (void *)rl->deferred_frees);
	buf_free(&rl->snapshot.data);
	buf_free(&rl->incoming);
	alloc_free(rl->alloc, rl);
}

void
rl_actions_free(struct rl *rl, struct rl_actions *actions)
{
	alloc_free(rl->alloc, actions->items);
	memset(actions, 0, sizeof(*actions));
}

/*
 * Appends a zeroed action to the current step's list; valid until the next
 * call.
 */
struct rl_action *
rlog_add_action(struct rl *rl, enum rlog_action_kind kind)
{
	struct rl_actions *out = rl->out;
	struct rl_action *action;

	if (out->count == out->size) {
		out->size = out->size > 0 ? out->size * 2 : 32;
		out->items = alloc_resize(
		    rl->alloc, out->items, out->size * sizeof(*out->items));
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
rlog_free_later(struct rl *rl, void *block)
{
	if (block == NULL)
		return;
	if (rl->deferred_free_count == rl->deferred_free_size) {
		rl->deferred_free_size = rl->deferred_free_size > 0
					     ? rl->deferred_free_size * 2
					     : 64;
		rl->deferred_frees =
		    alloc_resize(rl->alloc, (void *)rl->deferred_frees,
			rl->deferred_free_size * sizeof(*rl->deferred_frees));
	}
	rl->deferred_frees[rl->deferred_free_count++] = block;
}

/* Returns a message from this replica in its current term. */
struct rl_msg
rlog_new_msg(const struct rl *rl, enum rlog_msg_kind kind, uint64_t to_id)
{
	struct rl_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.kind = kind;
	msg.from_id = rl->id;
	msg.to_id = to_id;
	msg.from_instance = rl->options.instance;
	msg.term = rl->term;
	return msg;
}

void
rlog_send(struct rl *rl, uint64_t instance, const struct rl_msg *msg)
{
	struct rl_action *action = rlog_add_action(rl, RL_ACT_SEND);

	action->u.send.instance = instance;
	action->u.send.message = *msg;
}

/*
 * Sends a message once a journal record is durable.  If the queue is full, the
 * oldest message is dropped, which peers tolerate like a message lost on a
 * link.
 */
void
rlog_send_when_durable(
    struct rl *rl, uint64_t number, uint64_t instance, const struct rl_msg *msg)
{
	struct rlog_delayed_send *delayed;

	if (number <= rl->persisted) {
		rlog_send(rl, instance, msg);
		return;
	}
	if (rl->delayed_count == RLOG_DELAYED_SENDS_MAX) {
		rl->delayed_count--;
		memmove(rl->delayed, rl->delayed + 1,
		    rl->delayed_count * sizeof(rl->delayed[0]));
	}
	delayed = &rl->delayed[rl->delayed_count++];
	delayed->number = number;
	delayed->instance = instance;
	delayed->message = *msg;
}

static void
send_delayed(struct rl *rl)
{
	size_t kept = 0, i;

	for (i = 0; i < rl->delayed_count; i++) {
		struct rlog_delayed_send *delayed = &rl->delayed[i];

		if (delayed->number > rl->persisted)
			rl->delayed[kept++] = *delayed;
		else if (delayed->message.term >= rl->term)
			rlog_send(rl, delayed->instance, &delayed->message);
	}
	rl->delayed_count = kept;
}

/* Reports to the caller that its request failed, with the known leader. */
void
rlog_refuse(struct rl *rl, uint64_t token, int error)
{
	struct rl_action *action = rlog_add_action(rl, RL_ACT_REFUSE);

	action->u.refuse.token = token;
	action->u.refuse.error = error;
	action->u.refuse.leader = rl_leader(rl);
}

/* Advances the durable index by the records that the journal has reported. */
void
rlog_advance_durable(struct rl *rl)
{
	if (rl->persisted < rl->snapshot_record)
		return;
	if (rl->durable < rl->base_index)
		rl->durable = rl->base_index;
	while (rl->durable < rlog_last_index(rl) &&
	       rlog_slot_at(rl, rl->durable + 1)->number <= rl->persisted)
		rl->durable++;
}

static void
on_persisted(struct rl *rl, uint64_t number)
{
	uint64_t durable = rl->durable;
	bool could_reply = rl->persisted >= rl->vote_record;

	if (number <= rl->persisted || number > rl->number)
		return;
	rl->persisted = number;
	rlog_advance_durable(rl);
	if (rl->commit_record != 0 && number >= rl->commit_record) {
		rl->commit_record = 0;
		rl->commit_durable = rl->commit_pending;
	}
	send_delayed(rl);
	rlog_count_votes(rl);
	if (rl->durable > durable ||
	    (!could_reply && rl->persisted >= rl->vote_record))
		rlog_ack_durable(rl);
}

static void
on_message(struct rl *rl, const struct rl_msg *msg)
{
	if (msg->from_id == rl->id || (msg->to_id != 0 && msg->to_id != rl->id))
		return;
	switch (msg->kind) {
	case RLOG_MSG_HELLO:
		rlog_on_hello(rl, msg);
		break;
	case RLOG_MSG_PREVOTE:
		rlog_on_prevote(rl, msg);
		break;
	case RLOG_MSG_PREVOTE_REPLY:
		rlog_on_prevote_reply(rl, msg);
		break;
	case RLOG_MSG_VOTE:
		rlog_on_vote(rl, msg);
		break;
	case RLOG_MSG_VOTE_REPLY:
		rlog_on_vote_reply(rl, msg);
		break;
	case RLOG_MSG_APPEND:
		rlog_on_append(rl, msg);
		break;
	case RLOG_MSG_APPEND_REPLY:
		rlog_on_append_reply(rl, msg);
		break;
	case RLOG_MSG_SNAPSHOT:
		rlog_on_snapshot(rl, msg);
		break;
	case RLOG_MSG_SNAPSHOT_REPLY:
		rlog_on_snapshot_reply(rl, msg);
		break;
	case RLOG_MSG_TIMEOUT_NOW:
		rlog_on_timeout_now(rl, msg);
		break;
	}
}

static void
on_handover(struct rl *rl)
{
	rl->leaving = true;
	if (rl->role == RL_LEADER && rl->handover_until_us == 0)
		rl->handover_until_us =
		    rl->now_us + rl->options.election_max_us;
}

static void
on_disk_lost(struct rl *rl)
{
	if (rl->disk_failed)
		return;
	rlog_become_follower(rl, rl->term, 0, 0);
	rl->delayed_count = 0;
	rl->disk_failed = true;
}

static void
dispatch(struct rl *rl, const struct rl_event *event)
{
	switch (event->kind) {
	case RL_EV_TICK:
		break;
	case RL_EV_MESSAGE:
		on_message(rl, event->u.message);
		break;
	case RL_EV_PROPOSE:
		rlog_on_propose(rl, event->u.propose.token,
		    event->u.propose.data, event->u.propose.len);
		break;
	case RLOG_EV_READ:
		rlog_on_read(rl, event->u.read.token);
		break;
	case RL_EV_PERSISTED:
		on_persisted(rl, event->u.persisted.number);
		break;
	case RL_EV_SNAPSHOT_TAKEN:
		rlog_on_snapshot_taken(rl, event->u.snapshot.index,
		    event->u.snapshot.data, event->u.snapshot.len);
		break;
	case RLOG_EV_REMOVE:
		rlog_on_remove(
		    rl, event->u.remove.instance, event->u.remove.token);
		break;
	case RL_EV_HANDOVER:
		on_handover(rl);
		break;
	case RL_EV_DISK_LOST:
		on_disk_lost(rl);
		break;
	}
}

/* After a journal failure the replica sends no replies and refuses requests. */
static void
refuse_without_disk(struct rl *rl, const struct rl_event *event)
{
	if (event->kind == RL_EV_PROPOSE)
		rlog_refuse(rl, event->u.propose.token, ERR_DISK);
	else if (event->kind == RLOG_EV_READ)
		rlog_refuse(rl, event->u.read.token, ERR_DISK);
	else if (event->kind == RLOG_EV_REMOVE)
		rlog_refuse(rl, event->u.remove.token, ERR_DISK);
}

/*
 * After a long gap between two steps the process may have been frozen.  Its
 * lease and its election timeout are then out of date: a leader has to be
 * confirmed by a quorum again, and a follower starts a new timeout.
 */
static void
handle_time_jump(struct rl *rl)
{
	bool jumped = rl->now_us - rl->last_step_us > rl->options.jump_us;

	rl->last_step_us = rl->now_us;
	if (!jumped || rl->options.unsafe_skip_jump_check)
		return;
	rl->lease_until_us = 0;
	if (rl->role == RL_LEADER) {
		rl->min_round = rl->round + 1;
		rl->quorum_us = rl->now_us;
		rl->heartbeat_us = rl->now_us;
	} else {
		rlog_reset_election_timer(rl);
	}
}

static void
init_identity(struct rl *rl)
{
	rl->started = true;
	if (rl->id == 0) {
		rl->id = rl->options.fresh_id;
		rlog_persist_identity(rl);
	}
	rlog_config_reload(rl);
}

static void
report_leader(struct rl *rl)
{
	struct rl_action *action;

	if (rl->reported_term == rl->term &&
	    rl->reported_leader == rl->leader_id &&
	    rl->reported_role == rl->role)
		return;
	rl->reported_term = rl->term;
	rl->reported_leader = rl->leader_id;
	rl->reported_role = rl->role;
	action = rlog_add_action(rl, RL_ACT_LEADER);
	action->u.leader.term = rl->term;
	action->u.leader.instance = rl_leader(rl);
	action->u.leader.is_self = rl->role == RL_LEADER;
}

/*
 * Updates everything that depends on an event.  The order makes one pass
 * enough: each call uses only results of earlier ones.
 */
static void
advance_state(struct rl *rl)
{
	rlog_election_tick(rl);
	rlog_leader_tick(rl);
	rlog_advance_durable(rl);
	rlog_advance_commit(rl);
	rlog_renew_lease(rl);
	rlog_member_tick(rl);
	rlog_hello_tick(rl);
	rlog_transfer_leadership(rl);
	rlog_replicate(rl);
	rlog_apply(rl);
	if (rl->role == RL_LEADER)
		rlog_grant_reads(rl);
	rlog_request_image(rl);
	report_leader(rl);
}

/*
 * Handles one event and lists the resulting actions.  A now_us below the last
 * one is treated as the last one.  The list is cleared first; it and all it
 * points to are valid until the next step.
 */
void
rl_step(struct rl *rl, int64_t now_us, const struct rl_event *event,
    struct rl_actions *actions)
{
	run_deferred_frees(rl);
	actions->count = 0;
	rl->out = actions;
	if (now_us > rl->now_us)
		rl->now_us = now_us;
	if (rl->disk_failed) {
		refuse_without_disk(rl, event);
		return;
	}
	if (!rl->started)
		init_identity(rl);
	handle_time_jump(rl);
	dispatch(rl, event);
	if (!rl->disk_failed)
		advance_state(rl);
	else
		report_leader(rl);
}
