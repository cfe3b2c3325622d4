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
}

/* Makes a replica of an empty folder; rlog_replay() fills in what it holds. */
struct rlog *
rlog_new(const struct rlog_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct rlog *rlog = alloc_zero(alloc, 1, sizeof(*rlog));

	rlog->options = *options;
	rlog->alloc = alloc;
	fill_defaults(&rlog->options);
	rl_set_founders(rlog);
	rng_init(&rlog->rng, options->seed);
	rlog->leader_instance = RLOG_NO_INSTANCE;
	buf_init(&rlog->snapshot.data, alloc);
	buf_init(&rlog->incoming, alloc);
	return rlog;
}

/*
 * Ends the replay.  All that was replayed is durable.  Before its restart the
 * replica may have promised a leader not to vote for others; it keeps that
 * promise without remembering it.
 */
void
rlog_start(struct rlog *rlog, int64_t now_us)
{
	rlog->now_us = now_us;
	rlog->last_step_us = now_us;
	if (rlog->commit > rl_last_index(rlog))
		rlog->commit = rl_last_index(rlog);
	rlog->durable = rl_last_index(rlog);
	rlog->commit_durable = rlog->commit;
	rlog->commit_pending = rlog->commit;
	if (!rlog->options.unsafe_skip_vote_wait)
		rlog->promise_us = now_us + rlog->options.election_min_us;
	rl_config_refresh(rlog);
	rl_rest_election(rlog);
}

static void
free_garbage(struct rlog *rlog)
{
	size_t i;

	for (i = 0; i < rlog->garbage_count; i++)
		alloc_free(rlog->alloc, rlog->garbage[i]);
	rlog->garbage_count = 0;
}

/* Releases a replica. */
void
rlog_free(struct rlog *rlog)
{
	size_t i;

	free_garbage(rlog);
	for (i = 0; i < rlog->slot_count; i++)
		alloc_free(rlog->alloc, rlog->slots[i].data);
	alloc_free(rlog->alloc, rlog->slots);
	alloc_free(rlog->alloc, rlog->reads);
	alloc_free(rlog->alloc, (void *)rlog->garbage);
	buf_free(&rlog->snapshot.data);
	buf_free(&rlog->incoming);
	alloc_free(rlog->alloc, rlog);
}

/* Releases the memory of a list of actions. */
void
rlog_actions_free(struct rlog *rlog, struct rlog_actions *actions)
{
	alloc_free(rlog->alloc, actions->items);
	memset(actions, 0, sizeof(*actions));
}

/* Adds an action to the step's list. */
struct rlog_action *
rl_emit(struct rlog *rlog, enum rl_action_kind kind)
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

/* Frees a block at the next step: actions of this one may point into it. */
void
rl_discard(struct rlog *rlog, void *block)
{
	if (block == NULL)
		return;
	if (rlog->garbage_count == rlog->garbage_size) {
		rlog->garbage_size =
		    rlog->garbage_size > 0 ? rlog->garbage_size * 2 : 64;
		rlog->garbage = alloc_resize(rlog->alloc, (void *)rlog->garbage,
		    rlog->garbage_size * sizeof(*rlog->garbage));
	}
	rlog->garbage[rlog->garbage_count++] = block;
}

/* Returns a message from this replica in its current term. */
struct rlog_msg
rl_msg_to(const struct rlog *rlog, enum rl_msg_kind kind, uint64_t to_id)
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

/* Sends a message now. */
void
rl_send(struct rlog *rlog, uint64_t instance, const struct rlog_msg *msg)
{
	struct rlog_action *action = rl_emit(rlog, RLOG_ACT_SEND);

	action->u.send.instance = instance;
	action->u.send.message = *msg;
}

/*
 * Sends a message once a journal record is durable.  When too many wait, the
 * oldest is dropped, as a link might.
 */
void
rl_send_after(struct rlog *rlog, uint64_t number, uint64_t instance,
    const struct rlog_msg *msg)
{
	struct rl_held *held;

	if (number <= rlog->persisted) {
		rl_send(rlog, instance, msg);
		return;
	}
	if (rlog->held_count == RL_HELD_MAX) {
		rlog->held_count--;
		memmove(rlog->held, rlog->held + 1,
		    rlog->held_count * sizeof(rlog->held[0]));
	}
	held = &rlog->held[rlog->held_count++];
	held->number = number;
	held->instance = instance;
	held->message = *msg;
}

static void
release_held(struct rlog *rlog)
{
	size_t kept = 0, i;

	for (i = 0; i < rlog->held_count; i++) {
		struct rl_held *held = &rlog->held[i];

		if (held->number > rlog->persisted)
			rlog->held[kept++] = *held;
		else if (held->message.term >= rlog->term)
			rl_send(rlog, held->instance, &held->message);
	}
	rlog->held_count = kept;
}

/* Tells a caller that what it asked for is not done here. */
void
rl_refuse(struct rlog *rlog, uint64_t token, int error)
{
	struct rlog_action *action = rl_emit(rlog, RLOG_ACT_REFUSE);

	action->u.refuse.token = token;
	action->u.refuse.error = error;
	action->u.refuse.leader = rlog_leader_instance(rlog);
}

/* Moves the durable index to what the journal has reported. */
void
rl_advance_durable(struct rlog *rlog)
{
	if (rlog->persisted < rlog->snapshot_number)
		return;
	if (rlog->durable < rlog->base_index)
		rlog->durable = rlog->base_index;
	while (rlog->durable < rl_last_index(rlog) &&
	       rl_slot_at(rlog, rlog->durable + 1)->number <= rlog->persisted)
		rlog->durable++;
}

static void
on_persisted(struct rlog *rlog, uint64_t number)
{
	uint64_t durable = rlog->durable;
	bool could = rlog->persisted >= rlog->vote_number;

	if (number <= rlog->persisted || number > rlog->number)
		return;
	rlog->persisted = number;
	rl_advance_durable(rlog);
	if (rlog->commit_number != 0 && number >= rlog->commit_number) {
		rlog->commit_number = 0;
		rlog->commit_durable = rlog->commit_pending;
	}
	release_held(rlog);
	rl_count_votes(rlog);
	if (rlog->durable > durable ||
	    (!could && rlog->persisted >= rlog->vote_number))
		rl_reply_durable(rlog);
}

static void
on_message(struct rlog *rlog, const struct rlog_msg *msg)
{
	if (msg->from_id == rlog->id ||
	    (msg->to_id != 0 && msg->to_id != rlog->id))
		return;
	switch (msg->kind) {
	case RL_MSG_HELLO:
		rl_on_hello(rlog, msg);
		break;
	case RL_MSG_PREVOTE:
		rl_on_prevote(rlog, msg);
		break;
	case RL_MSG_PREVOTE_REPLY:
		rl_on_prevote_reply(rlog, msg);
		break;
	case RL_MSG_VOTE:
		rl_on_vote(rlog, msg);
		break;
	case RL_MSG_VOTE_REPLY:
		rl_on_vote_reply(rlog, msg);
		break;
	case RL_MSG_APPEND:
		rl_on_append(rlog, msg);
		break;
	case RL_MSG_APPEND_REPLY:
		rl_on_append_reply(rlog, msg);
		break;
	case RL_MSG_SNAPSHOT:
		rl_on_snapshot(rlog, msg);
		break;
	case RL_MSG_SNAPSHOT_REPLY:
		rl_on_snapshot_reply(rlog, msg);
		break;
	case RL_MSG_TIMEOUT_NOW:
		rl_on_timeout_now(rlog, msg);
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
	if (rlog->dead)
		return;
	rl_become_follower(rlog, rlog->term, 0, 0);
	rlog->held_count = 0;
	rlog->dead = true;
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
		rl_on_propose(rlog, event->u.propose.token,
		    event->u.propose.data, event->u.propose.len);
		break;
	case RL_EV_READ:
		rl_on_read(rlog, event->u.read.token);
		break;
	case RLOG_EV_PERSISTED:
		on_persisted(rlog, event->u.persisted.number);
		break;
	case RLOG_EV_SNAPSHOT_TAKEN:
		rl_on_snapshot_taken(rlog, event->u.snapshot.index,
		    event->u.snapshot.data, event->u.snapshot.len);
		break;
	case RL_EV_REMOVE:
		rl_on_remove(
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

/* A replica without a disk promises and answers nothing any more. */
static void
refuse_dead(struct rlog *rlog, const struct rlog_event *event)
{
	if (event->kind == RLOG_EV_PROPOSE)
		rl_refuse(rlog, event->u.propose.token, ERR_DISK);
	else if (event->kind == RL_EV_READ)
		rl_refuse(rlog, event->u.read.token, ERR_DISK);
	else if (event->kind == RL_EV_REMOVE)
		rl_refuse(rlog, event->u.remove.token, ERR_DISK);
}

/*
 * After a gap between two steps the process may have been frozen: what it
 * believes of leases and of silence is out of date until others confirm it.
 */
static void
check_jump(struct rlog *rlog)
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
	} else {
		rl_rest_election(rlog);
	}
}

static void
start_first(struct rlog *rlog)
{
	rlog->started = true;
	if (rlog->id == 0) {
		rlog->id = rlog->options.fresh_id;
		rl_persist_identity(rlog);
	}
	rl_config_refresh(rlog);
}

static void
tell_leader(struct rlog *rlog)
{
	struct rlog_action *action;

	if (rlog->told_term == rlog->term &&
	    rlog->told_leader == rlog->leader_id &&
	    rlog->told_role == rlog->role)
		return;
	rlog->told_term = rlog->term;
	rlog->told_leader = rlog->leader_id;
	rlog->told_role = rlog->role;
	action = rl_emit(rlog, RLOG_ACT_LEADER);
	action->u.leader.term = rlog->term;
	action->u.leader.instance = rlog_leader_instance(rlog);
	action->u.leader.is_self = rlog->role == RLOG_LEADER;
}

/* What follows from any event, in the order that needs no second pass. */
static void
settle(struct rlog *rlog)
{
	rl_elect_tick(rlog);
	rl_lead_tick(rlog);
	rl_advance_durable(rlog);
	rl_advance_commit(rlog);
	rl_renew_lease(rlog);
	rl_member_tick(rlog);
	rl_hello_tick(rlog);
	rl_handover(rlog);
	rl_replicate(rlog);
	rl_apply(rlog);
	if (rlog->role == RLOG_LEADER)
		rl_grant_reads(rlog);
	rl_ask_snapshot(rlog);
	tell_leader(rlog);
}

/*
 * Takes one event at a time that never goes backwards and lists what to do.
 * The list is emptied first; it and all it points to are valid until the next
 * step.
 */
void
rlog_step(struct rlog *rlog, int64_t now_us, const struct rlog_event *event,
    struct rlog_actions *actions)
{
	free_garbage(rlog);
	actions->count = 0;
	rlog->out = actions;
	if (now_us > rlog->now_us)
		rlog->now_us = now_us;
	if (rlog->dead) {
		refuse_dead(rlog, event);
		return;
	}
	if (!rlog->started)
		start_first(rlog);
	check_jump(rlog);
	dispatch(rlog, event);
	if (!rlog->dead)
		settle(rlog);
	else
		tell_leader(rlog);
}
