#include "gateway/replica.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/rng.h"
#include "state/cfgsync.h"
#include "state/diff.h"
#include "state/journal.h"
#include "state/rlog.h"
#include "state/rlog_quorum.h"

enum {
	/*
	 * The log's times are short, so that a failed leader is replaced
	 * quickly: decisions that need a fresh lease wait for the next leader.
	 */
	HEARTBEAT_US = 120000,
	LOG_LEASE_US = 350000,
	ELECTION_MIN_US = 450000,
	ELECTION_MAX_US = 750000,
	/* a longer gap between two steps ends the lease */
	STEP_GAP_MAX_US = 250000,
	/* delay before a failed data folder is opened again */
	REOPEN_DELAY_US = 1000000,
	/* period of the log lines while a data folder can't be opened */
	REFUSED_LOG_PERIOD_US = 10000000,
	SNAPSHOT_CHECK_US = 1000000,
	/* part of revoke-ms left for an answer that is being delivered */
	LEASE_MARGIN_MS = 1000,
	POLL_PERIOD_MS = 1000, /* period of the followers' requests */
	US_PER_MS = 1000
};

struct pending_proposal {
	uint64_t token;
	gw_replica_done_fn done;
	void *ctx;
	struct pending_proposal *next;
};

struct pending_record {
	uint64_t journal_seq;
	uint64_t log_number;
};

struct queued_event {
	struct rlog_event event;
	struct buf data;
	struct queued_event *next;
};

struct gw_replica {
	struct gw *gw;
	struct jnl *journal;
	struct loop_watch *journal_watch;
	struct loop_timer *wake_timer;
	struct loop_timer *tick_timer;
	struct loop_timer *reopen_timer;
	struct metrics_series *failures; /* of the folder */
	int64_t failed_us; /* when the folder failed; 0: it works */
	int64_t refused_log_us; /* when the next refusal is logged */
	uint64_t snapshot_failures; /* of this journal, those logged */
	struct rlog *log;
	struct rlog_actions actions;
	struct pending_record *records; /* not durable yet, oldest first */
	size_t record_count;
	size_t record_capacity;
	struct queued_event *queued_events;
	bool is_stepping; /* step_log() is running */
	uint64_t next_token;
	struct pending_proposal *proposals;
	struct ord *orders;
	struct buf published_image; /* of the orders, as last published */
	/* document in force once the last proposal is applied */
	struct ord_base base;
	uint64_t base_term; /* term in which base is valid */
	struct cfgsync_source *config_source;
	uint32_t peers[RLOG_INSTANCES_MAX];
	uint32_t peer_count;
	/* log index of the members in the last log line */
	uint64_t members_index;
	struct rlog_watch leader_watch;
};

static void step_log(struct gw_replica *rep, const struct rlog_event *event);
static int open_replica(struct gw_replica *rep);

/* Sends a configuration message; a source emits no other action of use here. */
static void
send_config(void *ctx, const struct cfgsync_action *action)
{
	struct gw_replica *rep = ctx;
	struct buf bytes;

	if (action->kind != CFGSYNC_SEND)
		return;
	buf_init(&bytes, rep->gw->alloc);
	cfgsync_msg_encode(action->msg, &bytes);
	gw_send_message(rep->gw, action->to, PEER_CONFIG, &bytes);
	buf_free(&bytes);
}

/*
 * Publishes the current orders to the followers, as a difference to the last
 * published ones unless send_whole is set.
 */
static void
publish_orders(struct gw_replica *rep, bool send_whole)
{
	struct buf image, diff;

	buf_init(&image, rep->gw->alloc);
	buf_init(&diff, rep->gw->alloc);
	ord_encode_image(rep->orders, &image);
	if (!send_whole && rep->published_image.len > 0)
		diff_encode(&rep->published_image, &image, &diff);
	cfgsync_source_accept(rep->config_source, ord_revision(rep->orders),
	    image.data, image.len, diff.len > 0 ? diff.data : NULL, diff.len);
	buf_free(&rep->published_image);
	rep->published_image = image;
	buf_free(&diff);
}

/* Removes a pending proposal and calls its callback with the outcome. */
static void
finish_proposal(struct gw_replica *rep, uint64_t token, int error)
{
	for (struct pending_proposal **at = &rep->proposals; *at;
	     at = &(*at)->next) {
		struct pending_proposal *proposal = *at;

		if (proposal->token != token)
			continue;
		*at = proposal->next;
		proposal->done(proposal->ctx, error);
		alloc_free(rep->gw->alloc, proposal);
		return;
	}
}

/*
 * Applies a committed entry to the orders.  An entry without effect makes the
 * base unknown, so that it is taken from the applied orders again.
 */
static void
apply_entry(
    struct gw_replica *rep, const struct rlog_entry *entry, uint64_t token)
{
	bool changed = false;
	int error = ord_apply(rep->orders, entry->index, entry->data,
	    entry->len, loop_now_us(rep->gw->loop), clock_wall_us(), &changed);

	if (error != 0) {
		log_event(LOG_LEVEL_ERROR, "entry_without_effect",
		    "index=%" PRIu64 " error=%s", entry->index,
		    err_name(error));
		rep->base_term = 0;
	}
	if (changed) {
		log_event(LOG_LEVEL_INFO, "orders_changed",
		    "revision=%" PRIu64 " document=%" PRIu64,
		    ord_revision(rep->orders),
		    ord_document_number(rep->orders));
		publish_orders(rep, false);
	}
	if (token != 0)
		finish_proposal(rep, token, error);
}

static void
restore_image(struct gw_replica *rep, const struct rlog_action *action)
{
	if (ord_restore(rep->orders, action->u.restore.data,
		action->u.restore.len, loop_now_us(rep->gw->loop),
		clock_wall_us(), 0) != 0)
		log_event(LOG_LEVEL_ERROR, "image_unreadable", "index=%" PRIu64,
		    action->u.restore.index);
	else if (ord_revision(rep->orders) > 0)
		publish_orders(rep, true);
}

/* Appends a record to the journal and remembers it until it is durable. */
static void
append_record(struct gw_replica *rep, const struct rlog_action *action)
{
	struct pending_record record = {.log_number = action->u.persist.number};

	if (rep->record_count == rep->record_capacity) {
		rep->record_capacity =
		    rep->record_capacity > 0 ? rep->record_capacity * 2 : 64;
		rep->records = alloc_resize(rep->gw->alloc, rep->records,
		    rep->record_capacity * sizeof(*rep->records));
	}
	record.journal_seq = jnl_append(rep->journal, action->u.persist.kind,
	    action->u.persist.data, action->u.persist.len);
	rep->records[rep->record_count++] = record;
}

static void
send_message(struct gw_replica *rep, const struct rlog_action *action)
{
	struct buf bytes;

	buf_init(&bytes, rep->gw->alloc);
	if (rlog_msg_encode(&action->u.send.message, &bytes) == 0)
		gw_send_message(rep->gw, (uint32_t)action->u.send.instance,
		    PEER_RLOG, &bytes);
	buf_free(&bytes);
}

static void
take_snapshot(struct gw_replica *rep, uint64_t index)
{
	struct rlog_event event = {.kind = RLOG_EV_SNAPSHOT_TAKEN};
	struct buf image;

	buf_init(&image, rep->gw->alloc);
	ord_encode_image(rep->orders, &image);
	event.u.snapshot.index = index;
	event.u.snapshot.data = image.data;
	event.u.snapshot.len = image.len;
	step_log(rep, &event);
	buf_free(&image);
}

static void
log_leader(const struct rlog_action *action)
{
	char name[GW_NAME_BYTES] = "none";

	if (action->u.leader.instance != RLOG_NO_INSTANCE)
		gw_format_address((uint32_t)action->u.leader.instance, name);
	log_event(LOG_LEVEL_INFO, "leader",
	    "term=%" PRIu64 " instance=%s "
	    "is_self=%d",
	    action->u.leader.term, name, action->u.leader.is_self);
}

/* Logs a change of the members that this replica decided on as leader. */
static void
log_member_change(const struct rlog_action *action)
{
	char name[GW_NAME_BYTES];

	gw_format_address((uint32_t)action->u.members.instance, name);
	log_event(LOG_LEVEL_INFO, "member_change",
	    "change=%s instance=%s silent_ms=%" PRId64 " voters=%zu",
	    rlog_member_change_name(action->u.members.change), name,
	    action->u.members.silent_us / US_PER_MS, action->u.members.voters);
}

static void
perform_action(struct gw_replica *rep, const struct rlog_action *action)
{
	switch (action->kind) {
	case RLOG_ACT_PERSIST:
		append_record(rep, action);
		break;
	case RLOG_ACT_SEND:
		send_message(rep, action);
		break;
	case RLOG_ACT_APPLY:
		apply_entry(rep, &action->u.apply.entry, action->u.apply.token);
		break;
	case RLOG_ACT_RESTORE:
		restore_image(rep, action);
		break;
	case RLOG_ACT_REFUSE:
		finish_proposal(
		    rep, action->u.refuse.token, action->u.refuse.error);
		break;
	case RLOG_ACT_LEADER:
		log_leader(action);
		break;
	case RLOG_ACT_TAKE_SNAPSHOT:
		take_snapshot(rep, action->u.take.index);
		break;
	case RLOG_ACT_MEMBERS:
		log_member_change(action);
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
	struct gw_replica *rep = ctx;

	rep->wake_timer = NULL;
	step_log(rep, &event);
}

static void
step_log_once(struct gw_replica *rep, const struct rlog_event *event)
{
	rep->actions.count = 0;
	rlog_step(rep->log, loop_now_us(rep->gw->loop), event, &rep->actions);
	for (size_t i = 0; i < rep->actions.count; i++)
		perform_action(rep, &rep->actions.items[i]);
}

/*
 * Queues an event until the current step is over.  Copies the data that the
 * event points to.
 */
static void
queue_event(struct gw_replica *rep, const struct rlog_event *event)
{
	struct queued_event *item =
	    alloc_zero(rep->gw->alloc, 1, sizeof(*item));
	struct queued_event **at = &rep->queued_events;

	item->event = *event;
	buf_init(&item->data, rep->gw->alloc);
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
 * Passes an event to the log and performs the resulting actions in order.
 * Events that arise from these actions are queued until this step is over.
 */
static void
step_log(struct gw_replica *rep, const struct rlog_event *event)
{
	if (rep->log == NULL)
		return;
	if (rep->is_stepping) {
		queue_event(rep, event);
		return;
	}
	rep->is_stepping = true;
	step_log_once(rep, event);
	while (rep->queued_events != NULL) {
		struct queued_event *item = rep->queued_events;

		rep->queued_events = item->next;
		step_log_once(rep, &item->event);
		buf_free(&item->data);
		alloc_free(rep->gw->alloc, item);
	}
	rep->is_stepping = false;
	loop_cancel(rep->wake_timer);
	rep->wake_timer = loop_after(rep->gw->loop,
	    rlog_next_tick_us(rep->log) - loop_now_us(rep->gw->loop), on_wake,
	    rep);
}

/*
 * Closes the journal and the log.  The outcome of pending proposals is not
 * known: their callbacks get ERR_TIMEOUT.
 */
static void
close_replica(struct gw_replica *rep)
{
	loop_cancel(rep->wake_timer);
	loop_cancel(rep->tick_timer);
	loop_unwatch(rep->journal_watch);
	rep->wake_timer = NULL;
	rep->tick_timer = NULL;
	rep->journal_watch = NULL;
	while (rep->proposals != NULL)
		finish_proposal(rep, rep->proposals->token, ERR_TIMEOUT);
	if (rep->log != NULL) {
		rlog_actions_free(rep->log, &rep->actions);
		rlog_free(rep->log);
	}
	rep->log = NULL;
	if (rep->journal != NULL)
		jnl_close(rep->journal);
	rep->journal = NULL;
	rep->snapshot_failures = 0;
	rep->record_count = 0;
	ord_free(rep->orders);
	rep->orders = NULL;
	cfgsync_source_free(rep->config_source);
	rep->config_source = NULL;
	buf_clear(&rep->published_image);
	rep->base_term = 0;
}

/* Tries to open the data folder again; repeats after REOPEN_DELAY_US. */
static void
on_reopen(void *ctx)
{
	struct gw_replica *rep = ctx;

	rep->reopen_timer = NULL;
	if (open_replica(rep) != 0) {
		close_replica(rep);
		rep->reopen_timer =
		    loop_after(rep->gw->loop, REOPEN_DELAY_US, on_reopen, rep);
		return;
	}
	log_event(LOG_LEVEL_WARN, "data_folder_regained",
	    "folder=%s after_ms=%" PRId64, rep->gw->settings->data_dir,
	    (loop_now_us(rep->gw->loop) - rep->failed_us) / US_PER_MS);
	rep->failed_us = 0;
	rep->refused_log_us = 0;
}

/*
 * Closes the replica after a failure of the data folder, whose contents are
 * then uncertain.  The replica sends nothing until the folder can be opened
 * again, and restarts from what it then contains.
 */
static void
on_folder_failed(struct gw_replica *rep)
{
	log_event(LOG_LEVEL_ERROR, "data_folder_failed", "folder=%s",
	    rep->gw->settings->data_dir);
	rep->failures->value++;
	rep->failed_us = loop_now_us(rep->gw->loop);
	close_replica(rep);
	rep->reopen_timer =
	    loop_after(rep->gw->loop, REOPEN_DELAY_US, on_reopen, rep);
}

/*
 * Tells the log which records have become durable.  A failure of the journal
 * closes the replica.
 */
static void
on_durable(void *ctx, int events)
{
	struct rlog_event event = {.kind = RLOG_EV_PERSISTED};
	struct gw_replica *rep = ctx;
	uint64_t durable = 0;
	size_t done = 0;

	(void)events;
	if (jnl_poll(rep->journal, &durable) != 0) {
		on_folder_failed(rep);
		return;
	}
	while (done < rep->record_count &&
	       rep->records[done].journal_seq <= durable)
		event.u.persisted.number = rep->records[done++].log_number;
	if (done == 0)
		return;
	rep->record_count -= done;
	memmove(rep->records, rep->records + done,
	    rep->record_count * sizeof(*rep->records));
	step_log(rep, &event);
}

/* Logs the members of the replicated log if they have changed. */
static void
log_members(struct gw_replica *rep)
{
	struct rlog_status status;
	struct buf list;

	rlog_status(rep->log, &status);
	if (status.members_index == rep->members_index)
		return;
	rep->members_index = status.members_index;
	buf_init(&list, rep->gw->alloc);
	for (size_t i = 0; i < status.member_count; i++) {
		const struct rlog_member *member = &status.members[i];
		char name[GW_NAME_BYTES];

		gw_format_address((uint32_t)member->instance, name);
		buf_addf(&list, "%s%s%s", i > 0 ? "," : "", name,
		    member->voter ? "" : "(learns)");
	}
	log_event(LOG_LEVEL_INFO, "members", "index=%" PRIu64 " members=%s",
	    status.members_index, buf_text(&list));
	buf_free(&list);
}

static void
append_name(void *ctx, uint64_t instance, struct buf *out)
{
	char name[GW_NAME_BYTES];

	(void)ctx;
	gw_format_address((uint32_t)instance, name);
	buf_adds(out, name);
}

/* Logs why this replica has known no leader for long, and the end of that. */
static void
log_missing_leader(struct gw_replica *rep)
{
	struct buf line;

	buf_init(&line, rep->gw->alloc);
	switch (rlog_watch_report(&rep->leader_watch, rep->log,
	    loop_now_us(rep->gw->loop), append_name, NULL, &line)) {
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

/* Logs snapshots that could not be written; the sync thread counts them. */
static void
log_failed_snapshots(struct gw_replica *rep)
{
	struct jnl_stats stats;

	jnl_stats(rep->journal, &stats);
	if (stats.snapshot_failures == rep->snapshot_failures)
		return;
	rep->snapshot_failures = stats.snapshot_failures;
	log_event(LOG_LEVEL_WARN, "snapshot_failed",
	    "folder=%s failures=%" PRIu64, rep->gw->settings->data_dir,
	    stats.snapshot_failures);
}

static void
on_tick(void *ctx)
{
	struct gw_replica *rep = ctx;
	struct jnl_image image = {.kind = RLOG_REC_IMAGE};
	struct buf bytes;

	rep->tick_timer =
	    loop_after(rep->gw->loop, SNAPSHOT_CHECK_US, on_tick, rep);
	log_members(rep);
	log_missing_leader(rep);
	log_failed_snapshots(rep);
	if (!jnl_snapshot_due(rep->journal))
		return;
	buf_init(&bytes, rep->gw->alloc);
	rlog_image(rep->log, &bytes);
	image.data = bytes.data;
	image.len = bytes.len;
	/* After an error on_durable() closes the journal. */
	(void)jnl_queue_snapshot(rep->journal, &image, 1);
	buf_free(&bytes);
}

/*
 * Lists the instances that may form a new log: the seeds if the setting
 * bootstrap says that the whole system is new, else none.  Returns their
 * number.
 */
static uint32_t
bootstrap_members(const struct gw *gw, uint64_t out[GW_SEEDS_MAX])
{
	uint32_t count = 0;

	if (!gw->settings->bootstrap)
		return 0;
	for (uint32_t i = 0; i < gw->settings->seed_count; i++) {
		struct in_addr address;

		if (inet_pton(AF_INET, gw->settings->seeds[i].host, &address) ==
		    1)
			out[count++] = ntohl(address.s_addr);
	}
	return count;
}

/*
 * Returns the number of voters whose majority keeps an entry on more disks than
 * may be lost.
 */
static uint32_t
voters_min(const struct gw_settings *settings)
{
	uint32_t losses = settings->disk_losses;

	return losses < RLOG_MEMBERS_MAX / 2 ? 2 * losses + 1
					     : (uint32_t)RLOG_MEMBERS_MAX;
}

/*
 * Replays the journal into the log and counts its records.  Returns 0 or an
 * error of err.h.
 */
static int
replay(struct gw_replica *rep, uint64_t *records)
{
	struct jnl_record record;
	int more;

	while ((more = jnl_next_record(rep->journal, &record)) > 0) {
		int error =
		    rlog_replay(rep->log, record.kind, record.data, record.len);

		if (error != 0)
			return error;
		(*records)++;
	}
	return more;
}

/*
 * Logs why the folder can't be opened, at a bounded rate: it is tried again
 * every second.
 */
static void
log_refused_folder(struct gw_replica *rep, int error, const struct buf *why)
{
	int64_t now_us = loop_now_us(rep->gw->loop);

	if (now_us < rep->refused_log_us)
		return;
	rep->refused_log_us = now_us + REFUSED_LOG_PERIOD_US;
	log_event(LOG_LEVEL_ERROR, "data_folder_refused",
	    "error=%s for_ms=%" PRId64 " why=\"%s\"", err_name(error),
	    rep->failed_us != 0 ? (now_us - rep->failed_us) / US_PER_MS : 0,
	    buf_text(why));
}

/*
 * Opens the data folder, replays the journal and starts the log.  Returns 0 or
 * an error of err.h; the caller then calls close_replica().
 */
static int
open_replica(struct gw_replica *rep)
{
	struct gw *gw = rep->gw;
	uint64_t first[GW_SEEDS_MAX];
	struct jnl_options journal_options = {
	    .alloc = gw->alloc, .folder = gw->settings->data_dir};
	struct rlog_options log_options = {.alloc = gw->alloc,
	    .seed = rng_system_seed(),
	    .fresh_id = rng_system_seed(),
	    .instance = gw->self,
	    .founders = first,
	    .heartbeat_us = HEARTBEAT_US,
	    .lease_us = LOG_LEASE_US,
	    .election_min_us = ELECTION_MIN_US,
	    .election_max_us = ELECTION_MAX_US,
	    .jump_us = STEP_GAP_MAX_US,
	    .voters_min = voters_min(gw->settings)};
	struct cfgsync_options source_options = {.alloc = gw->alloc,
	    .emit = send_config,
	    .ctx = rep,
	    .apply = diff_apply,
	    .instance = gw->self,
	    .incarnation = gw->incarnation,
	    .period_ms = POLL_PERIOD_MS,
	    .lease_ms = gw->settings->revoke_ms > 2 * LEASE_MARGIN_MS
			    ? gw->settings->revoke_ms - LEASE_MARGIN_MS
			    : gw->settings->revoke_ms / 2};
	struct rlog_event event = {.kind = RLOG_EV_TICK};
	uint64_t records = 0;
	struct buf why;
	int error;

	buf_init(&why, gw->alloc);
	log_options.founder_count = bootstrap_members(gw, first);
	rep->orders = ord_new(gw->alloc);
	rep->config_source = cfgsync_source_new(&source_options);
	rep->log = rlog_new(&log_options);
	error = jnl_open(&journal_options, &rep->journal, &why);
	if (error == 0)
		error = replay(rep, &records);
	if (error != 0 && rep->journal != NULL)
		buf_adds(&why, jnl_error_text(rep->journal));
	if (error == 0)
		error = jnl_start(rep->journal);
	if (error != 0)
		log_refused_folder(rep, error, &why);
	else if (why.len > 0)
		log_event(LOG_LEVEL_WARN, "data_folder", "what=\"%s\"",
		    buf_text(&why));
	buf_free(&why);
	if (error != 0)
		return error;
	log_event(LOG_LEVEL_INFO, "replayed", "records=%" PRIu64, records);
	rep->journal_watch = loop_watch(
	    gw->loop, jnl_fd(rep->journal), LOOP_READ, on_durable, rep);
	rep->tick_timer = loop_after(gw->loop, SNAPSHOT_CHECK_US, on_tick, rep);
	rlog_start(rep->log, loop_now_us(gw->loop));
	gw_replica_set_peers(rep, rep->peers, rep->peer_count);
	step_log(rep, &event);
	return 0;
}

/*
 * Sets the instances that may have a replica.  The log introduces itself to
 * them.
 */
void
gw_replica_set_peers(
    struct gw_replica *rep, const uint32_t *instances, uint32_t count)
{
	uint64_t wide[RLOG_INSTANCES_MAX];

	if (count > RLOG_INSTANCES_MAX)
		count = RLOG_INSTANCES_MAX;
	memmove(rep->peers, instances, count * sizeof(*instances));
	rep->peer_count = count;
	for (uint32_t i = 0; i < count; i++)
		wide[i] = instances[i];
	if (rep->log != NULL)
		rlog_set_hello_targets(rep->log, wide, count);
}

/* Handles a message from the log of another replica. */
void
gw_replica_log_message(
    struct gw_replica *rep, const uint8_t *data, uint32_t len)
{
	struct rlog_event event = {.kind = RLOG_EV_MESSAGE};
	struct rlog_msg msg;

	if (rlog_msg_decode(data, len, &msg) != 0) {
		log_event(LOG_LEVEL_WARN, "message_unreadable", "channel=log");
		return;
	}
	event.u.message = &msg;
	step_log(rep, &event);
	rlog_msg_release(&msg);
}

/* Handles a request from an instance that follows the orders. */
void
gw_replica_config_message(
    struct gw_replica *rep, uint32_t from, const uint8_t *data, uint32_t len)
{
	struct buf scratch;
	struct cfgsync_msg msg;

	if (rep->config_source == NULL)
		return;
	buf_init(&scratch, rep->gw->alloc);
	if (cfgsync_msg_decode(&msg, data, len, &scratch) == 0) {
		cfgsync_source_set_fresh_until(
		    rep->config_source, rlog_lease_until_us(rep->log));
		cfgsync_source_receive(
		    rep->config_source, loop_now_us(rep->gw->loop), from, &msg);
	}
	buf_free(&scratch);
}

/* Proposes a change to the log.  Calls done with the outcome, see replica.h. */
void
gw_replica_propose(struct gw_replica *rep, const struct buf *change,
    gw_replica_done_fn done, void *ctx)
{
	struct rlog_event event = {.kind = RLOG_EV_PROPOSE};
	struct pending_proposal *proposal;

	if (rep->log == NULL) {
		done(ctx, ERR_NOT_LEADER);
		return;
	}
	proposal = alloc_zero(rep->gw->alloc, 1, sizeof(*proposal));
	proposal->token = ++rep->next_token;
	proposal->done = done;
	proposal->ctx = ctx;
	proposal->next = rep->proposals;
	rep->proposals = proposal;
	event.u.propose.token = proposal->token;
	event.u.propose.data = change->data;
	event.u.propose.len = change->len;
	step_log(rep, &event);
}

/* Returns the document that will be in force once all proposals are applied. */
static const struct ord_base *
latest_base(struct gw_replica *rep)
{
	if (rep->base_term != rlog_term(rep->log) ||
	    rep->base.number < ord_document_number(rep->orders)) {
		buf_clear(&rep->base.text);
		buf_add(&rep->base.text, ord_document_text(rep->orders)->data,
		    ord_document_text(rep->orders)->len);
		rep->base.number = ord_document_number(rep->orders);
		rep->base_term = rlog_term(rep->log);
	}
	return &rep->base;
}

/*
 * Proposes a document, encoded as its difference to the preceding one.  A new
 * leader that has not applied its whole log yet may not know the preceding
 * document.  The proposal then has no effect, which its outcome says.
 */
void
gw_replica_propose_document(struct gw_replica *rep, uint64_t number,
    const struct buf *text, gw_replica_done_fn done, void *ctx)
{
	struct buf change;

	if (rep->log == NULL || !rlog_is_leader(rep->log)) {
		done(ctx, ERR_NOT_LEADER);
		return;
	}
	buf_init(&change, rep->gw->alloc);
	ord_encode_document(
	    number, text->data, text->len, latest_base(rep), &change);
	if (number > rep->base.number) {
		rep->base.number = number;
		buf_clear(&rep->base.text);
		buf_add(&rep->base.text, text->data, text->len);
	}
	gw_replica_propose(rep, &change, done, ctx);
	buf_free(&change);
}

static void
ignore_outcome(void *ctx, int error)
{
	(void)ctx;
	(void)error;
}

/*
 * Drops the callbacks of the proposals with this ctx, whose owner is about to
 * be freed.  The proposals themselves stay pending.
 */
void
gw_replica_drop_callbacks(struct gw_replica *rep, void *ctx)
{
	for (struct pending_proposal *proposal = rep->proposals;
	     proposal != NULL; proposal = proposal->next) {
		if (proposal->ctx == ctx)
			proposal->done = ignore_outcome;
	}
}

/*
 * Whether this replica leads and no other one can lead.  Reads the clock,
 * because the time of the loop is older and the lease may have ended since.
 */
bool
gw_replica_holds_lease(const struct gw_replica *rep)
{
	return rep->log != NULL &&
	       rlog_lease_until_us(rep->log) > clock_monotonic_us();
}

/*
 * Whether this replica leads as far as it knows.  Another one may have become
 * leader since, see gw_replica_holds_lease().
 */
bool
gw_replica_is_leader(const struct gw_replica *rep)
{
	return rep->log != NULL && rlog_is_leader(rep->log);
}

/* Returns the instance of the leader, or 0 if none is known. */
uint32_t
gw_replica_leader(const struct gw_replica *rep)
{
	uint64_t leader = rep->log != NULL ? rlog_leader_instance(rep->log)
					   : (uint64_t)RLOG_NO_INSTANCE;

	return leader == RLOG_NO_INSTANCE ? 0 : (uint32_t)leader;
}

/*
 * Returns the orders as applied by this replica, or NULL while the data folder
 * is unavailable.
 */
const struct ord *
gw_replica_orders(const struct gw_replica *rep)
{
	return rep->orders;
}

static void
set_gauge(const struct gw_replica *rep, const char *name, uint64_t value)
{
	metrics_get(rep->gw->metrics, METRICS_GAUGE, name, "")->value = value;
}

/*
 * Sets the gauges of the log and the journal; all are 0 while the data folder
 * is unavailable.
 */
void
gw_replica_update_metrics(const struct gw_replica *rep)
{
	struct rlog_status status = {0};
	struct jnl_stats journal_stats = {0};
	struct rlog_quorum quorum = {0};

	if (rep->log != NULL) {
		rlog_status(rep->log, &status);
		rlog_quorum(rep->log, loop_now_us(rep->gw->loop), &quorum);
	}
	if (rep->journal != NULL)
		jnl_stats(rep->journal, &journal_stats);
	set_gauge(rep, "celeryford_log_is_leader", status.role == RLOG_LEADER);
	set_gauge(rep, "celeryford_log_term", status.term);
	set_gauge(rep, "celeryford_log_last_index", status.last_index);
	set_gauge(rep, "celeryford_log_commit_index", status.commit);
	set_gauge(rep, "celeryford_log_applied_index", status.applied);
	set_gauge(rep, "celeryford_log_members", status.member_count);
	set_gauge(rep, "celeryford_log_voters", quorum.voter_count);
	set_gauge(rep, "celeryford_log_voters_heard", quorum.heard);
	set_gauge(rep, "celeryford_log_leaderless_milliseconds",
	    (uint64_t)(quorum.leaderless_us / US_PER_MS));
	set_gauge(rep, "celeryford_journal_unsynced_records",
	    journal_stats.appended_seq - journal_stats.durable_seq);
	set_gauge(rep, "celeryford_journal_syncs", journal_stats.syncs);
	set_gauge(rep, "celeryford_journal_bytes", journal_stats.bytes_written);
	set_gauge(rep, "celeryford_orders_revision",
	    rep->orders != NULL ? ord_revision(rep->orders) : 0);
}

/* Hands leadership over to another replica before this process ends. */
void
gw_replica_hand_over(struct gw_replica *rep)
{
	struct rlog_event event = {.kind = RLOG_EV_HANDOVER};

	step_log(rep, &event);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_replica *rep;

	if (gw->settings->data_dir[0] == '\0')
		return 0;
	rep = alloc_zero(gw->alloc, 1, sizeof(*rep));
	rep->gw = gw;
	buf_init(&rep->published_image, gw->alloc);
	buf_init(&rep->base.text, gw->alloc);
	gw->replica = rep;
	rep->failures = metrics_get(gw->metrics, METRICS_COUNTER,
	    "celeryford_data_folder_failures_total", "");
	rep->peer_count =
	    gw_list_control_instances(gw, rep->peers, RLOG_INSTANCES_MAX);
	if (open_replica(rep) != 0)
		on_folder_failed(rep);
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_replica *rep = gw->replica;

	if (rep == NULL)
		return;
	gw->replica = NULL;
	loop_cancel(rep->reopen_timer);
	close_replica(rep);
	alloc_free(gw->alloc, rep->records);
	buf_free(&rep->published_image);
	buf_free(&rep->base.text);
	alloc_free(gw->alloc, rep);
}

struct sup_child_spec
gw_child_replica(struct gw *gw)
{
	return (struct sup_child_spec){"replica", start, stop, gw};
}
