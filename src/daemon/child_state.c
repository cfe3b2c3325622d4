#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "daemon/state.h"

/*
 * The state child: opens the journal, replays it into the modules of the state
 * and notifies them of durable records.  See state.h.
 */

enum {
	STATE_TICK_US = 50000,
	/* Delays before a failed data folder is tried again. */
	REOPEN_DELAY_US = 1000000,
	REOPEN_LATER_US = 5000000, /* after REOPEN_TRIES_SOON */
	REOPEN_DAMAGED_US = 30000000, /* only an operator can mend it */
	REOPEN_TRIES_SOON = 10,
	/* Mask: the record kinds of a module share the upper byte. */
	KIND_BASE = 0xff00,
	/* Lower byte of the kind of a module's image in snapshots. */
	KIND_IMAGE = 0x00ff
};

/* Adds a record whose owner is to be notified when it is durable. */
static void
push_waiting_record(struct state *state, struct state_waiting_record item)
{
	if (state->waiting_count == state->waiting_size) {
		size_t size =
		    state->waiting_size > 0 ? state->waiting_size * 2 : 256;
		struct state_waiting_record *grown =
		    alloc_zero(state->node->alloc, size, sizeof(*grown));

		for (size_t i = 0; i < state->waiting_count; i++)
			grown[i] = state->waiting[(state->waiting_first + i) %
						  state->waiting_size];
		alloc_free(state->node->alloc, state->waiting);
		state->waiting = grown;
		state->waiting_first = 0;
		state->waiting_size = size;
	}
	state->waiting[(state->waiting_first + state->waiting_count++) %
		       state->waiting_size] = item;
}

/*
 * Appends a journal record, whose owner is notified by number when the record
 * is durable.  Returns its sequence number, 0 if the journal has failed.
 */
uint64_t
state_append_record(struct state *state, uint16_t kind, const void *data,
    size_t len, enum state_owner owner, uint64_t number)
{
	struct state_waiting_record item = {.owner = owner, .number = number};

	if (state->journal_failed)
		return 0;
	item.seq = jnl_append(state->jnl, kind, data, len);
	push_waiting_record(state, item);
	return item.seq;
}

static void
notify_owner(struct state *state, const struct state_waiting_record *item)
{
	struct rlog_event event = {.kind = RLOG_EV_PERSISTED};
	int64_t now_us = loop_now_us(state->node->loop);

	switch (item->owner) {
	case OWNER_LOG:
		event.u.persisted.number = item->number;
		state_log_step(state, &event);
		break;
	case OWNER_CLAIMS:
		if (state->claims != NULL)
			claim_store_persisted(
			    state->claims, now_us, item->number);
		break;
	case OWNER_BILLS:
		bill_store_persisted(state->bills, item->number);
		break;
	case OWNER_CONFIG:
		node_config_persisted(state->node, item->number);
		break;
	}
}

static void on_reopen(void *ctx);

static void
schedule_reopen(struct node *node, int error)
{
	int64_t delay_us = REOPEN_DELAY_US;

	if (error == ERR_CORRUPT || error == ERR_VERSION)
		delay_us = REOPEN_DAMAGED_US;
	else if (++node->state_reopen_tries > REOPEN_TRIES_SOON)
		delay_us = REOPEN_LATER_US;
	loop_cancel(node->state_reopen);
	node->state_reopen = loop_after(node->loop, delay_us, on_reopen, node);
}

/*
 * Handles a failure of the data folder, whose content is unknown until it is
 * read again: the modules stop taking part as replicas at once, and are made
 * anew from the folder when it is opened again.
 */
void
state_folder_failed(struct state *state, const char *what)
{
	struct rlog_event event = {.kind = RLOG_EV_DISK_LOST};
	struct node *node = state->node;

	if (state->journal_failed)
		return;
	log_event(LOG_LEVEL_ERROR, "data_folder_failed", "folder=%s what=%s",
	    node->settings->data_dir, what);
	metrics_get(node->metrics, METRICS_COUNTER,
	    "celeryford_data_folder_failures_total", "")
	    ->value++;
	state->journal_failed = true;
	schedule_reopen(node, ERR_DISK);
	state_log_step(state, &event);
	if (state->claims != NULL)
		claim_store_persist_failed(state->claims);
	bill_store_persist_failed(state->bills);
}

/*
 * Notifies the owners of all records that have become durable.  The log is told
 * only of its newest one, which confirms all earlier ones too.
 */
static void
on_journal_ready(void *ctx, int events)
{
	struct state *state = ctx;
	struct state_waiting_record newest_log = {0};
	uint64_t durable = 0;

	(void)events;
	if (jnl_poll(state->jnl, &durable) != 0) {
		state_folder_failed(state, "journal");
		return;
	}
	while (state->waiting_count > 0) {
		struct state_waiting_record item =
		    state->waiting[state->waiting_first];

		if (item.seq > durable)
			break;
		state->waiting_first =
		    (state->waiting_first + 1) % state->waiting_size;
		state->waiting_count--;
		if (item.owner == OWNER_LOG)
			newest_log = item;
		else
			notify_owner(state, &item);
	}
	if (newest_log.seq > 0)
		notify_owner(state, &newest_log);
}

/* Replaces the journal's content by images of all modules. */
static void
write_snapshot(struct state *state)
{
	struct buf parts[4];
	struct jnl_image images[4];
	size_t count = 0;

	for (size_t i = 0; i < 4; i++)
		buf_init(&parts[i], state->node->alloc);
	rlog_image(state->rlog, &parts[0]);
	images[count++] =
	    (struct jnl_image){RLOG_REC_IMAGE, parts[0].data, parts[0].len};
	if (state->claims != NULL) {
		claim_store_snapshot(state->claims, &parts[1]);
		images[count++] = (struct jnl_image){
		    JNL_KIND_CLAIMS | KIND_IMAGE, parts[1].data, parts[1].len};
	}
	bill_store_snapshot(state->bills, &parts[2]);
	images[count++] = (struct jnl_image){
	    JNL_KIND_BILLS | KIND_IMAGE, parts[2].data, parts[2].len};
	node_config_append_copy(state->node, &parts[3]);
	if (parts[3].len > 0)
		images[count++] = (struct jnl_image){
		    JNL_KIND_CFGDIST, parts[3].data, parts[3].len};
	if (jnl_queue_snapshot(state->jnl, images, count) != 0)
		state_folder_failed(state, "snapshot");
	for (size_t i = 0; i < 4; i++)
		buf_free(&parts[i]);
}

/* Logs snapshots that could not be written; the sync thread counts them. */
static void
log_failed_snapshots(struct state *state)
{
	struct jnl_stats stats;

	jnl_stats(state->jnl, &stats);
	if (stats.snapshot_failures == state->snapshot_failures)
		return;
	state->snapshot_failures = stats.snapshot_failures;
	log_event(LOG_LEVEL_WARN, "snapshot_failed",
	    "folder=%s failures=%" PRIu64, state->node->settings->data_dir,
	    stats.snapshot_failures);
}

static void
on_tick(void *ctx)
{
	struct state *state = ctx;

	state_log_tick(state);
	state_claims_tick(state);
	state_bills_tick(state);
	state_config_tick(state);
	log_failed_snapshots(state);
	if (!state->journal_failed && jnl_snapshot_due(state->jnl))
		write_snapshot(state);
	state->tick =
	    loop_after(state->node->loop, STATE_TICK_US, on_tick, state);
}

static int
replay_record(struct state *state, const struct jnl_record *record)
{
	bool image = (record->kind & KIND_IMAGE) == KIND_IMAGE;

	switch (record->kind & KIND_BASE) {
	case JNL_KIND_RLOG:
		return rlog_replay(
		    state->rlog, record->kind, record->data, record->len);
	case JNL_KIND_CLAIMS:
		return state_claims_replay(
		    state, record->data, record->len, image);
	case JNL_KIND_BILLS:
		if (state->bills == NULL && state_bills_new(state) != 0)
			return ERR_DISK;
		return image ? bill_store_restore_snapshot(
				   state->bills, record->data, record->len)
			     : bill_store_replay(
				   state->bills, record->data, record->len);
	case JNL_KIND_CFGDIST:
		return node_config_replay(
		    state->node, record->data, record->len);
	default:
		return ERR_VERSION;
	}
}

static int
replay_journal(struct state *state)
{
	struct jnl_record record;
	uint64_t records = 0;
	int status, error = 0;

	while (
	    (status = jnl_next_record(state->jnl, &record)) > 0 && error == 0) {
		error = replay_record(state, &record);
		records++;
	}
	if (status < 0)
		error = status;
	if (error != 0)
		log_event(LOG_LEVEL_ERROR, "replay_failed",
		    "error=%s record=%" PRIu64 " why=\"%s\"", err_name(error),
		    records, jnl_error_text(state->jnl));
	else
		log_event(
		    LOG_LEVEL_INFO, "replayed", "records=%" PRIu64, records);
	return error;
}

static int
open_journal(struct state *state)
{
	struct jnl_options options = {.alloc = state->node->alloc,
	    .folder = state->node->settings->data_dir};
	struct buf why;
	int error;

	buf_init(&why, state->node->alloc);
	error = jnl_open(&options, &state->jnl, &why);
	if (error != 0)
		log_event(LOG_LEVEL_ERROR, "data_folder_refused",
		    "error=%s why=\"%s\"", err_name(error), buf_text(&why));
	else if (why.len > 0)
		log_event(LOG_LEVEL_WARN, "data_folder_repaired", "what=\"%s\"",
		    buf_text(&why));
	buf_free(&why);
	return error;
}

/* Transfers the log's leadership to another replica before leaving. */
void
node_transfer_leadership(struct node *node)
{
	struct rlog_event event = {.kind = RLOG_EV_HANDOVER};

	if (node->state != NULL && rlog_is_leader(node->state->rlog))
		state_log_step(node->state, &event);
}

/* Closes the folder and frees the modules; who asked them asks others. */
static void
close_state(struct node *node)
{
	struct state *state = node->state;

	if (state == NULL)
		return;
	node->state = NULL;
	loop_cancel(state->tick);
	loop_cancel(state->wake);
	loop_unwatch(state->watch);
	state_config_free(state);
	if (state->rlog != NULL) {
		rlog_actions_free(state->rlog, &state->actions);
		rlog_free(state->rlog);
	}
	claim_store_free(state->claims);
	state_bills_free(state);
	if (state->jnl != NULL)
		jnl_close(state->jnl);
	alloc_free(node->alloc, state->waiting);
	alloc_free(node->alloc, state);
}

/*
 * Makes the modules from what the folder holds.  *was_read is set once all of
 * it has been read.
 */
static int
start_modules(struct state *state, bool *was_read)
{
	int error = open_journal(state);

	*was_read = false;
	if (error != 0)
		return error;
	state_config_new(state);
	error = state_log_new(state);
	if (error == 0)
		error = replay_journal(state);
	if (error == 0 && state->bills == NULL)
		error = state_bills_new(state);
	*was_read = error == 0;
	if (error == 0)
		error = jnl_start(state->jnl);
	return error;
}

/*
 * Opens the folder and starts the replica.  On an error of err.h nothing stays
 * open; *was_read then tells whether only writing to the folder failed.
 */
static int
open_state(struct node *node, bool *was_read)
{
	struct state *state = alloc_zero(node->alloc, 1, sizeof(*state));
	int error;

	state->node = node;
	node->state = state;
	error = start_modules(state, was_read);
	if (error != 0) {
		log_event(LOG_LEVEL_ERROR, "data_folder_unavailable",
		    "folder=%s error=%s read=%d", node->settings->data_dir,
		    err_name(error), *was_read);
		close_state(node);
		return error;
	}
	state->watch = loop_watch(
	    node->loop, jnl_fd(state->jnl), LOOP_READ, on_journal_ready, state);
	state->tick = loop_after(node->loop, STATE_TICK_US, on_tick, state);
	state_log_start(state);
	return 0;
}

/*
 * Opens a failed folder again.  The replica then takes part with what the
 * folder holds, as after a restart.
 */
static void
on_reopen(void *ctx)
{
	struct node *node = ctx;
	struct jnl_options options = {
	    .alloc = node->alloc, .folder = node->settings->data_dir};
	bool was_read;
	int error;

	node->state_reopen = NULL;
	close_state(node);
	error = jnl_probe(&options);
	if (error == 0)
		error = open_state(node, &was_read);
	if (error != 0) {
		schedule_reopen(node, error);
		return;
	}
	node->state_reopen_tries = 0;
	log_event(LOG_LEVEL_WARN, "data_folder_regained", "folder=%s",
	    node->settings->data_dir);
	node_config_persist_again(node);
}

/*
 * Starts the replica.  If the folder can be read but not written, the instance
 * serves without a replica until the folder can be opened; any other error ends
 * the process.
 */
static int
start(void *ctx)
{
	struct node *node = ctx;
	bool was_read;
	int error;

	if (node->settings->data_dir[0] == '\0')
		return 0;
	error = open_state(node, &was_read);
	if (error == 0 || !was_read)
		return error;
	schedule_reopen(node, error);
	return 0;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;

	loop_cancel(node->state_reopen);
	node->state_reopen = NULL;
	close_state(node);
}

struct sup_child_spec
child_state(struct node *node)
{
	return (struct sup_child_spec){"state", start, stop, node};
}
