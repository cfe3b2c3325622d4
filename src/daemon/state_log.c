#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/directory.h"
#include "daemon/state.h"

/* Passes events to the replicated log and carries out its actions. */

enum {
	US_PER_MS = 1000
};

/* Creates this replica of the log, before the replay. */
int
state_log_new(struct state *state)
{
	const struct directory *directory = state->node->directory;
	struct rlog_options options = {.alloc = state->node->alloc,
	    .seed = rng_system_seed(),
	    .fresh_id = rng_system_seed(),
	    .instance = directory_self(directory)->rank,
	    .instances = directory_rank_mask(directory)};

	state->rlog = rlog_new(&options);
	return state->rlog != NULL ? 0 : ERR_INTERNAL;
}

static void
send_log_message(struct state *state, const struct rlog_action *action)
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
apply_entry(struct state *state, const struct rlog_entry *entry, uint64_t token)
{
	if (entry->len == 0)
		return;
	switch (entry->data[0]) {
	case ENTRY_CHANGE:
		state_config_apply(state, entry->index, entry->data + 1,
		    entry->len - 1, token);
		break;
	case ENTRY_SEAL:
		state_bills_apply_seal(state, entry->data + 1, entry->len - 1);
		break;
	default:
		log_event(LOG_LEVEL_WARN, "entry_of_newer_release",
		    "index=%" PRIu64, entry->index);
		break;
	}
}

/* Gives the log an image of the configuration store for its snapshot. */
static void
provide_snapshot(struct state *state, uint64_t index)
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
on_leader_change(struct state *state, const struct rlog_action *action)
{
	const struct directory_entry *leader = directory_find_rank(
	    state->node->directory, action->u.leader.instance);

	log_event(LOG_LEVEL_INFO, "leader", "term=%" PRIu64 " instance=%s",
	    action->u.leader.term, leader != NULL ? leader->name : "none");
	state_config_on_leader_change(state, action->u.leader.is_self);
}

static void
run_action(struct state *state, const struct rlog_action *action)
{
	switch (action->kind) {
	case RLOG_ACT_PERSIST:
		state_append_record(state, action->u.persist.kind,
		    action->u.persist.data, action->u.persist.len, OWNER_LOG,
		    action->u.persist.number);
		break;
	case RLOG_ACT_SEND:
		send_log_message(state, action);
		break;
	case RLOG_ACT_APPLY:
		apply_entry(
		    state, &action->u.apply.entry, action->u.apply.token);
		break;
	case RLOG_ACT_RESTORE:
		if (state_config_restore(state, action->u.restore.data,
			action->u.restore.len) != 0)
			log_event(LOG_LEVEL_ERROR, "image_refused",
			    "index=%" PRIu64, action->u.restore.index);
		break;
	case RLOG_ACT_REFUSE:
		state_config_end_proposal(
		    state, action->u.refuse.token, action->u.refuse.error);
		break;
	case RLOG_ACT_LEADER:
		on_leader_change(state, action);
		break;
	case RLOG_ACT_TAKE_SNAPSHOT:
		provide_snapshot(state, action->u.take.index);
		break;
	case RLOG_ACT_MEMBERS:
		log_event(LOG_LEVEL_INFO, "member_change",
		    "change=%s rank=%" PRIu64 " voters=%zu",
		    rlog_member_change_name(action->u.members.change),
		    action->u.members.instance, action->u.members.voters);
		break;
	case RLOG_ACT_GRANT_READ:
	case RLOG_ACT_REMOVED:
		break;
	}
}

static void
on_wake_timer(void *ctx)
{
	struct rlog_event event = {.kind = RLOG_EV_TICK};
	struct state *state = ctx;

	state->wake = NULL;
	state_log_step(state, &event);
}

static void
schedule_wake(struct state *state)
{
	loop_cancel(state->wake);
	state->wake = loop_after(state->node->loop,
	    rlog_next_tick_us(state->rlog) - loop_now_us(state->node->loop),
	    on_wake_timer, state);
}

static void
run_step(struct state *state, const struct rlog_event *event)
{
	state->actions.count = 0;
	rlog_step(state->rlog, loop_now_us(state->node->loop), event,
	    &state->actions);
	for (size_t i = 0; i < state->actions.count; i++)
		run_action(state, &state->actions.items[i]);
}

/* Queues an event, with a copy of its data, until the current step ends. */
static void
queue_event(struct state *state, const struct rlog_event *event)
{
	const struct alloc *alloc = state->node->alloc;
	struct state_queued_event *item = alloc_zero(alloc, 1, sizeof(*item));
	struct state_queued_event **at = &state->queued;

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
 * Passes an event to the log and carries out the resulting actions in order. An
 * event raised by an action is queued until this step ends, because the actions
 * are valid only until the next step.
 */
void
state_log_step(struct state *state, const struct rlog_event *event)
{
	if (state->stepping) {
		queue_event(state, event);
		return;
	}
	state->stepping = true;
	run_step(state, event);
	while (state->queued != NULL) {
		struct state_queued_event *item = state->queued;

		state->queued = item->next;
		run_step(state, &item->event);
		buf_free(&item->data);
		alloc_free(state->node->alloc, item);
	}
	state->stepping = false;
	state_claims_open_if_member(state);
	schedule_wake(state);
}

/* Starts the log, after the replay. */
void
state_log_start(struct state *state)
{
	struct rlog_event event = {.kind = RLOG_EV_TICK};

	rlog_start(state->rlog, loop_now_us(state->node->loop));
	state_log_step(state, &event);
}

/* Handles a message of another replica; a malformed one is ignored. */
void
state_log_receive(struct state *state, const uint8_t *data, uint32_t len)
{
	struct rlog_event event = {.kind = RLOG_EV_MESSAGE};
	struct rlog_msg msg;

	if (rlog_msg_decode(data, len, &msg) != 0)
		return;
	event.u.message = &msg;
	state_log_step(state, &event);
	rlog_msg_release(&msg);
}

/*
 * Proposes an entry and returns its token, which the action that applies or
 * refuses the entry carries.  The entry may be refused before this function
 * returns.
 */
uint64_t
state_log_propose(
    struct state *state, enum state_entry_type kind, const struct buf *data)
{
	struct rlog_event event = {.kind = RLOG_EV_PROPOSE};
	uint8_t tag = (uint8_t)kind;
	struct buf entry;

	buf_init(&entry, state->node->alloc);
	buf_add(&entry, &tag, 1);
	buf_add(&entry, data->data, data->len);
	event.u.propose.token = ++state->last_token;
	event.u.propose.data = entry.data;
	event.u.propose.len = entry.len;
	state_log_step(state, &event);
	buf_free(&entry);
	return event.u.propose.token;
}

static void
append_instance_name(void *ctx, uint64_t rank, struct buf *out)
{
	const struct state *state = ctx;
	const struct directory_entry *entry =
	    directory_find_rank(state->node->directory, rank);

	buf_adds(out, entry != NULL ? entry->name : "unknown");
}

/* Logs why this replica has known no leader for long, and the end of that. */
void
state_log_tick(struct state *state)
{
	struct buf line;

	buf_init(&line, state->node->alloc);
	switch (rlog_watch_report(&state->leader_watch, state->rlog,
	    loop_now_us(state->node->loop), append_instance_name, state,
	    &line)) {
	case RLOG_WATCH_QUIET:
		break;
	case RLOG_WATCH_LOST:
		log_event(LOG_LEVEL_WARN, "no_leader", "%s", buf_text(&line));
		break;
	case RLOG_WATCH_FOUND:
		log_event(
		    LOG_LEVEL_WARN, "leader_found", "%s", buf_text(&line));
		break;
	}
	buf_free(&line);
}

static void
set_gauge(const struct node *node, const char *name, uint64_t value)
{
	metrics_get(node->metrics, METRICS_GAUGE, name, "")->value = value;
}

/* Sets the gauges of the log; all are 0 while the folder is not open. */
void
state_log_update_metrics(const struct node *node)
{
	bool is_open = node->state != NULL && !node->state->journal_failed;
	struct rlog_quorum quorum = {0};

	if (is_open)
		rlog_quorum(
		    node->state->rlog, loop_now_us(node->loop), &quorum);
	set_gauge(node, "celeryford_data_folder_open", is_open);
	set_gauge(node, "celeryford_log_voters", quorum.voter_count);
	set_gauge(node, "celeryford_log_voters_heard", quorum.heard);
	set_gauge(node, "celeryford_log_leaderless_milliseconds",
	    (uint64_t)(quorum.leaderless_us / US_PER_MS));
}
