#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/directory.h"
#include "daemon/state.h"

/* The replicated log: events in, actions carried out. */

/* Creates the log's replica, before the replay. */
int
state_log_new(struct state *state)
{
	const struct directory *directory = state->node->directory;
	struct rlog_options options = {.alloc = state->node->alloc,
	    .seed = rng_system_seed(),
	    .fresh_id = rng_system_seed(),
	    .instance = directory_self(directory)->rank,
	    .instances = directory_ranks(directory)};

	state->rlog = rlog_new(&options);
	return state->rlog != NULL ? 0 : ERR_INTERNAL;
}

static void
send_message(struct state *state, const struct rlog_action *action)
{
	const struct directory_entry *to = directory_find_rank(
	    state->node->directory, action->u.send.instance);
	struct buf bytes;

	if (to == NULL || state->node->hub == NULL)
		return;
	buf_init(&bytes, state->node->alloc);
	if (rlog_msg_encode(&action->u.send.message, &bytes) == 0)
		peer_send(state->node->hub, to->name, PEER_RLOG, bytes.data,
		    (uint32_t)bytes.len);
	buf_free(&bytes);
}

static void
apply(struct state *state, const struct rlog_entry *entry, uint64_t token)
{
	if (entry->len == 0)
		return;
	switch (entry->data[0]) {
	case ENTRY_CHANGE:
		state_config_apply(state, entry->index, entry->data + 1,
		    entry->len - 1, token);
		break;
	case ENTRY_SEAL:
		state_bills_seal(state, entry->data + 1, entry->len - 1);
		break;
	default:
		log_event(LOG_LEVEL_WARN, "entry_of_newer_release",
		    "index=%" PRIu64, entry->index);
		break;
	}
}

static void
hand_image(struct state *state, uint64_t index)
{
	struct rlog_event event = {.kind = RLOG_EV_SNAPSHOT_TAKEN};
	struct buf image;

	buf_init(&image, state->node->alloc);
	cfgstore_encode_image(state->cfgstore, &image);
	event.u.snapshot.index = index;
	event.u.snapshot.data = image.data;
	event.u.snapshot.len = image.len;
	state_log_step(state, &event);
	buf_free(&image);
}

static void
tell_leader(struct state *state, const struct rlog_action *action)
{
	const struct directory_entry *leader = directory_find_rank(
	    state->node->directory, action->u.leader.instance);

	log_event(LOG_LEVEL_INFO, "leader", "term=%" PRIu64 " instance=%s",
	    action->u.leader.term, leader != NULL ? leader->name : "none");
	state_config_leader(state, action->u.leader.is_self);
}

static void
carry_out(struct state *state, const struct rlog_action *action)
{
	switch (action->kind) {
	case RLOG_ACT_PERSIST:
		state_append(state, action->u.persist.kind,
		    action->u.persist.data, action->u.persist.len, OWNER_LOG,
		    action->u.persist.number);
		break;
	case RLOG_ACT_SEND:
		send_message(state, action);
		break;
	case RLOG_ACT_APPLY:
		apply(state, &action->u.apply.entry, action->u.apply.token);
		break;
	case RLOG_ACT_RESTORE:
		if (state_config_restore(state, action->u.restore.data,
			action->u.restore.len) != 0)
			log_event(LOG_LEVEL_ERROR, "image_refused",
			    "index=%" PRIu64, action->u.restore.index);
		break;
	case RLOG_ACT_REFUSE:
		state_config_refused(
		    state, action->u.refuse.token, action->u.refuse.error);
		break;
	case RLOG_ACT_LEADER:
		tell_leader(state, action);
		break;
	case RLOG_ACT_TAKE_SNAPSHOT:
		hand_image(state, action->u.take.index);
		break;
	case RLOG_ACT_GRANT_READ:
	case RLOG_ACT_REMOVED:
		break;
	}
}

static void
on_wake(void *ctx)
{
	struct rlog_event event = {.kind = RLOG_EV_TICK};
	struct state *state = ctx;

	state->wake = NULL;
	state_log_step(state, &event);
}

static void
set_wake(struct state *state)
{
	loop_cancel(state->wake);
	state->wake = loop_after(state->node->loop,
	    rlog_next_tick_us(state->rlog) - loop_now_us(state->node->loop),
	    on_wake, state);
}

static void
step(struct state *state, const struct rlog_event *event)
{
	state->actions.count = 0;
	rlog_step(state->rlog, loop_now_us(state->node->loop), event,
	    &state->actions);
	for (size_t i = 0; i < state->actions.count; i++)
		carry_out(state, &state->actions.items[i]);
}

/* Keeps an event, with a copy of what it points to, for after this step. */
static void
queue_event(struct state *state, const struct rlog_event *event)
{
	const struct alloc *alloc = state->node->alloc;
	struct state_queued *item = alloc_zero(alloc, 1, sizeof(*item));
	struct state_queued **at = &state->queued;

	item->event = *event;
	buf_init(&item->data, alloc);
	if (event->kind == RLOG_EV_PROPOSE) {
		buf_add(
		    &item->data, event->u.propose.data, event->u.propose.len);
		item->event.u.propose.data = item->data.data;
	} else if (event->kind == RLOG_EV_SNAPSHOT_TAKEN) {
		buf_add(
		    &item->data, event->u.snapshot.data, event->u.snapshot.len);
		item->event.u.snapshot.data = item->data.data;
	}
	while (*at != NULL)
		at = &(*at)->next;
	*at = item;
}

/*
 * Hands an event to the log and carries out its actions in their order.  An
 * action that leads to another event has it wait until this step is over: the
 * actions are valid only until the next one.
 */
void
state_log_step(struct state *state, const struct rlog_event *event)
{
	if (state->stepping) {
		queue_event(state, event);
		return;
	}
	state->stepping = true;
	step(state, event);
	while (state->queued != NULL) {
		struct state_queued *item = state->queued;

		state->queued = item->next;
		step(state, &item->event);
		buf_free(&item->data);
		alloc_free(state->node->alloc, item);
	}
	state->stepping = false;
	state_claims_members(state);
	set_wake(state);
}

/* Begins, after the replay. */
void
state_log_start(struct state *state)
{
	struct rlog_event event = {.kind = RLOG_EV_TICK};

	rlog_start(state->rlog, loop_now_us(state->node->loop));
	state_log_step(state, &event);
}

/* Takes a message of another replica. */
void
state_log_message(struct state *state, const uint8_t *data, uint32_t len)
{
	struct rlog_event event = {.kind = RLOG_EV_MESSAGE};
	struct rlog_msg msg;

	if (rlog_msg_decode(data, len, &msg) != 0)
		return;
	event.u.message = &msg;
	state_log_step(state, &event);
	rlog_msg_release(&msg);
}

/* Proposes an entry; its token comes back when it is applied or refused. */
uint64_t
state_log_propose(
    struct state *state, enum state_entry kind, const struct buf *data)
{
	struct rlog_event event = {.kind = RLOG_EV_PROPOSE};
	uint8_t tag = (uint8_t)kind;
	struct buf entry;

	buf_init(&entry, state->node->alloc);
	buf_add(&entry, &tag, 1);
	buf_add(&entry, data->data, data->len);
	event.u.propose.token = ++state->next_token;
	event.u.propose.data = entry.data;
	event.u.propose.len = entry.len;
	state_log_step(state, &event);
	buf_free(&entry);
	return event.u.propose.token;
}
