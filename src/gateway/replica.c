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

enum {
	/* A leader is missed soon: what needs a fresh lease waits for the next.
	 */
	HEARTBEAT_US = 120000,
	LOG_LEASE_US = 350000,
	ELECTION_MIN_US = 450000,
	ELECTION_MAX_US = 750000,
	JUMP_US = 250000, /* a gap between two steps that ends a lease */
	REOPEN_US = 1000000, /* before a folder that failed is tried again */
	SNAPSHOT_TICK_US = 1000000,
	LEASE_MARGIN_MS = 1000, /* of revoke-ms, for an answer under way */
	PERIOD_MS = 1000, /* followers ask this often */
	US_PER_MS = 1000
};

struct waiting {
	uint64_t token;
	gr_done_fn done;
	void *ctx;
	struct waiting *next;
};

struct record {
	uint64_t seq; /* of the journal */
	uint64_t number; /* of the log */
};

struct queued {
	struct rl_event event;
	struct buf data;
	struct queued *next;
};

struct gr {
	struct gw *gw;
	struct jn *jn;
	struct loop_watch *watch;
	struct loop_timer *wake;
	struct loop_timer *tick;
	struct loop_timer *reopen;
	struct rl *rl;
	struct rl_actions actions;
	struct record *records; /* not durable yet, oldest first */
	size_t record_count;
	size_t record_size;
	struct queued *queued;
	bool stepping;
	uint64_t next_token;
	struct waiting *waiting;
	struct ord *ord;
	struct buf image; /* of the orders, as last published */
	struct ord_base base; /* the document that the last proposal leaves */
	uint64_t base_term; /* in which that holds */
	struct cy_source *source;
	uint32_t known[RL_INSTANCES_MAX];
	uint32_t known_count;
	uint64_t members_index; /* of the members that were logged last */
};

static void step(struct gr *gr, const struct rl_event *event);
static int open_replica(struct gr *gr);

static void
emit_config(void *ctx, const struct cy_action *action)
{
	struct gr *gr = ctx;
	struct buf bytes;

	if (action->kind != CY_SEND)
		return;
	buf_init(&bytes, gr->gw->alloc);
	cy_msg_encode(action->msg, &bytes);
	gw_send(gr->gw, action->to, PEER_CONFIG, &bytes);
	buf_free(&bytes);
}

/* Hands the orders as they are now to the instances that follow. */
static void
publish(struct gr *gr, bool whole)
{
	struct buf image, diff;

	buf_init(&image, gr->gw->alloc);
	buf_init(&diff, gr->gw->alloc);
	ord_image(gr->ord, &image);
	if (!whole && gr->image.len > 0)
		df_make(&gr->image, &image, &diff);
	cy_source_accepted(gr->source, ord_revision(gr->ord), image.data,
	    image.len, diff.len > 0 ? diff.data : NULL, diff.len);
	buf_free(&gr->image);
	gr->image = image;
	buf_free(&diff);
}

static void
finish(struct gr *gr, uint64_t token, int error)
{
	for (struct waiting **at = &gr->waiting; *at; at = &(*at)->next) {
		struct waiting *w = *at;

		if (w->token != token)
			continue;
		*at = w->next;
		w->done(w->ctx, error);
		alloc_free(gr->gw->alloc, w);
		return;
	}
}

static void
apply(struct gr *gr, const struct rl_entry *entry, uint64_t token)
{
	bool changed = false;
	int error = ord_apply(gr->ord, entry->index, entry->data, entry->len,
	    loop_now_us(gr->gw->loop), clock_wall_us(), &changed);

	if (error != 0) {
		log_event(LOG_LEVEL_ERROR, "entry_without_effect",
		    "index=%" PRIu64 " error=%s", entry->index,
		    err_name(error));
		gr->base_term = 0;
	}
	if (changed) {
		log_event(LOG_LEVEL_INFO, "orders_changed",
		    "revision=%" PRIu64 " document=%" PRIu64,
		    ord_revision(gr->ord), ord_number(gr->ord));
		publish(gr, false);
	}
	if (token != 0)
		finish(gr, token, error);
}

static void
restore(struct gr *gr, const struct rl_action *action)
{
	if (ord_restore(gr->ord, action->u.restore.data, action->u.restore.len,
		loop_now_us(gr->gw->loop), clock_wall_us(), 0) != 0)
		log_event(LOG_LEVEL_ERROR, "image_unreadable", "index=%" PRIu64,
		    action->u.restore.index);
	else if (ord_revision(gr->ord) > 0)
		publish(gr, true);
}

static void
persist(struct gr *gr, const struct rl_action *action)
{
	struct record record = {.number = action->u.persist.number};

	if (gr->record_count == gr->record_size) {
		gr->record_size =
		    gr->record_size > 0 ? gr->record_size * 2 : 64;
		gr->records = alloc_resize(gr->gw->alloc, gr->records,
		    gr->record_size * sizeof(*gr->records));
	}
	record.seq = jn_append(gr->jn, action->u.persist.kind,
	    action->u.persist.data, action->u.persist.len);
	gr->records[gr->record_count++] = record;
}

static void
send_message(struct gr *gr, const struct rl_action *action)
{
	struct buf bytes;

	buf_init(&bytes, gr->gw->alloc);
	if (rl_msg_encode(&action->u.send.message, &bytes) == 0)
		gw_send(gr->gw, (uint32_t)action->u.send.instance, PEER_RLOG,
		    &bytes);
	buf_free(&bytes);
}

static void
hand_image(struct gr *gr, uint64_t index)
{
	struct rl_event event = {.kind = RL_EV_SNAPSHOT_TAKEN};
	struct buf image;

	buf_init(&image, gr->gw->alloc);
	ord_image(gr->ord, &image);
	event.u.snapshot.index = index;
	event.u.snapshot.data = image.data;
	event.u.snapshot.len = image.len;
	step(gr, &event);
	buf_free(&image);
}

static void
tell_leader(const struct rl_action *action)
{
	char name[GS_NAME_BYTES] = "none";

	if (action->u.leader.instance != RL_NO_INSTANCE)
		gw_address_text((uint32_t)action->u.leader.instance, name);
	log_event(LOG_LEVEL_INFO, "leader",
	    "term=%" PRIu64 " instance=%s "
	    "is_self=%d",
	    action->u.leader.term, name, action->u.leader.is_self);
}

static void
carry_out(struct gr *gr, const struct rl_action *action)
{
	switch (action->kind) {
	case RL_ACT_PERSIST:
		persist(gr, action);
		break;
	case RL_ACT_SEND:
		send_message(gr, action);
		break;
	case RL_ACT_APPLY:
		apply(gr, &action->u.apply.entry, action->u.apply.token);
		break;
	case RL_ACT_RESTORE:
		restore(gr, action);
		break;
	case RL_ACT_REFUSE:
		finish(gr, action->u.refuse.token, action->u.refuse.error);
		break;
	case RL_ACT_LEADER:
		tell_leader(action);
		break;
	case RL_ACT_TAKE_SNAPSHOT:
		hand_image(gr, action->u.take.index);
		break;
	case RL_ACT_READ:
	case RL_ACT_DONE:
		break;
	}
}

static void
on_wake(void *ctx)
{
	struct rl_event event = {.kind = RL_EV_TICK};
	struct gr *gr = ctx;

	gr->wake = NULL;
	step(gr, &event);
}

static void
step_once(struct gr *gr, const struct rl_event *event)
{
	gr->actions.count = 0;
	rl_step(gr->rl, loop_now_us(gr->gw->loop), event, &gr->actions);
	for (size_t i = 0; i < gr->actions.count; i++)
		carry_out(gr, &gr->actions.items[i]);
}

/* Keeps an event, with a copy of what it points to, for after this step. */
static void
queue_event(struct gr *gr, const struct rl_event *event)
{
	struct queued *item = alloc_zero(gr->gw->alloc, 1, sizeof(*item));
	struct queued **at = &gr->queued;

	item->event = *event;
	buf_init(&item->data, gr->gw->alloc);
	if (event->kind == RL_EV_PROPOSE) {
		buf_add(
		    &item->data, event->u.propose.data, event->u.propose.len);
		item->event.u.propose.data = item->data.data;
	} else if (event->kind == RL_EV_SNAPSHOT_TAKEN) {
		buf_add(
		    &item->data, event->u.snapshot.data, event->u.snapshot.len);
		item->event.u.snapshot.data = item->data.data;
	}
	while (*at != NULL)
		at = &(*at)->next;
	*at = item;
}

/*
 * Hands an event to the log and carries out its actions in their order.  What
 * arises meanwhile waits until this step is over.
 */
static void
step(struct gr *gr, const struct rl_event *event)
{
	if (gr->rl == NULL)
		return;
	if (gr->stepping) {
		queue_event(gr, event);
		return;
	}
	gr->stepping = true;
	step_once(gr, event);
	while (gr->queued != NULL) {
		struct queued *item = gr->queued;

		gr->queued = item->next;
		step_once(gr, &item->event);
		buf_free(&item->data);
		alloc_free(gr->gw->alloc, item);
	}
	gr->stepping = false;
	loop_cancel(gr->wake);
	gr->wake = loop_after(gr->gw->loop,
	    rl_wake_us(gr->rl) - loop_now_us(gr->gw->loop), on_wake, gr);
}

static void
close_replica(struct gr *gr)
{
	loop_cancel(gr->wake);
	loop_cancel(gr->tick);
	loop_unwatch(gr->watch);
	gr->wake = NULL;
	gr->tick = NULL;
	gr->watch = NULL;
	while (gr->waiting != NULL)
		finish(gr, gr->waiting->token, ERR_TIMEOUT);
	if (gr->rl != NULL) {
		rl_actions_free(gr->rl, &gr->actions);
		rl_free(gr->rl);
	}
	gr->rl = NULL;
	if (gr->jn != NULL)
		jn_close(gr->jn);
	gr->jn = NULL;
	gr->record_count = 0;
	ord_free(gr->ord);
	gr->ord = NULL;
	cy_source_free(gr->source);
	gr->source = NULL;
	buf_clear(&gr->image);
	gr->base_term = 0;
}

static void
on_reopen(void *ctx)
{
	struct gr *gr = ctx;

	gr->reopen = NULL;
	if (open_replica(gr) != 0) {
		close_replica(gr);
		gr->reopen = loop_after(gr->gw->loop, REOPEN_US, on_reopen, gr);
		return;
	}
	log_event(LOG_LEVEL_INFO, "data_folder_regained", "folder=%s",
	    gr->gw->settings->data_dir);
}

/*
 * What the folder holds is not known any more: the replica falls silent and
 * starts over from what it finds there.
 */
static void
lose_folder(struct gr *gr)
{
	log_event(LOG_LEVEL_ERROR, "data_folder_failed", "folder=%s",
	    gr->gw->settings->data_dir);
	close_replica(gr);
	gr->reopen = loop_after(gr->gw->loop, REOPEN_US, on_reopen, gr);
}

static void
on_durable(void *ctx, int events)
{
	struct rl_event event = {.kind = RL_EV_PERSISTED};
	struct gr *gr = ctx;
	uint64_t durable = 0;
	size_t done = 0;

	(void)events;
	if (jn_poll(gr->jn, &durable) != 0) {
		lose_folder(gr);
		return;
	}
	while (done < gr->record_count && gr->records[done].seq <= durable)
		event.u.persisted.number = gr->records[done++].number;
	if (done == 0)
		return;
	gr->record_count -= done;
	memmove(gr->records, gr->records + done,
	    gr->record_count * sizeof(*gr->records));
	step(gr, &event);
}

/* Logs who keeps the log when that has changed. */
static void
note_members(struct gr *gr)
{
	struct rl_status status;
	struct buf list;

	rl_status(gr->rl, &status);
	if (status.members_index == gr->members_index)
		return;
	gr->members_index = status.members_index;
	buf_init(&list, gr->gw->alloc);
	for (size_t i = 0; i < status.member_count; i++) {
		const struct rl_member *member = &status.members[i];
		char name[GS_NAME_BYTES];

		gw_address_text((uint32_t)member->instance, name);
		buf_addf(&list, "%s%s%s", i > 0 ? "," : "", name,
		    member->voter ? "" : "(learns)");
	}
	log_event(LOG_LEVEL_INFO, "members", "index=%" PRIu64 " members=%s",
	    status.members_index, buf_text(&list));
	buf_free(&list);
}

static void
on_tick(void *ctx)
{
	struct gr *gr = ctx;
	struct jn_image image = {.kind = RL_REC_IMAGE};
	struct buf bytes;

	gr->tick = loop_after(gr->gw->loop, SNAPSHOT_TICK_US, on_tick, gr);
	note_members(gr);
	if (!jn_snapshot_due(gr->jn))
		return;
	buf_init(&bytes, gr->gw->alloc);
	rl_image(gr->rl, &bytes);
	image.data = bytes.data;
	image.len = bytes.len;
	if (jn_snapshot(gr->jn, &image, 1) != 0)
		log_event(LOG_LEVEL_WARN, "snapshot_failed", "folder=%s",
		    gr->gw->settings->data_dir);
	buf_free(&bytes);
}

/* Whether these seeds may form the log: only when everything is new. */
static uint32_t
founders(const struct gw *gw, uint64_t out[GS_SEEDS_MAX])
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

static int
replay(struct gr *gr)
{
	struct jn_record record;
	uint64_t records = 0;
	int more;

	while ((more = jn_next(gr->jn, &record)) > 0) {
		int error =
		    rl_replay(gr->rl, record.kind, record.data, record.len);

		if (error != 0)
			return error;
		records++;
	}
	if (more == 0)
		log_event(
		    LOG_LEVEL_INFO, "replayed", "records=%" PRIu64, records);
	return more;
}

static int
open_replica(struct gr *gr)
{
	struct gw *gw = gr->gw;
	uint64_t first[GS_SEEDS_MAX];
	struct jn_options journal = {
	    .alloc = gw->alloc, .folder = gw->settings->data_dir};
	struct rl_options log = {.alloc = gw->alloc,
	    .seed = rng_system_seed(),
	    .fresh_id = rng_system_seed(),
	    .instance = gw->self,
	    .founders = first,
	    .heartbeat_us = HEARTBEAT_US,
	    .lease_us = LOG_LEASE_US,
	    .election_min_us = ELECTION_MIN_US,
	    .election_max_us = ELECTION_MAX_US,
	    .jump_us = JUMP_US};
	struct cy_options source = {.alloc = gw->alloc,
	    .emit = emit_config,
	    .ctx = gr,
	    .apply = df_apply,
	    .instance = gw->self,
	    .incarnation = gw->incarnation,
	    .period_ms = PERIOD_MS,
	    .lease_ms = gw->settings->revoke_ms > 2 * LEASE_MARGIN_MS
			    ? gw->settings->revoke_ms - LEASE_MARGIN_MS
			    : gw->settings->revoke_ms / 2};
	struct rl_event event = {.kind = RL_EV_TICK};
	struct buf why;
	int error;

	buf_init(&why, gw->alloc);
	log.founder_count = founders(gw, first);
	gr->ord = ord_new(gw->alloc);
	gr->source = cy_source_new(&source);
	gr->rl = rl_new(&log);
	error = jn_open(&journal, &gr->jn, &why);
	if (why.len > 0)
		log_event(LOG_LEVEL_WARN, "data_folder", "what=\"%s\"",
		    buf_text(&why));
	buf_free(&why);
	if (error == 0)
		error = replay(gr);
	if (error == 0)
		error = jn_start(gr->jn);
	if (error != 0) {
		log_event(LOG_LEVEL_ERROR, "data_folder_refused", "error=%s",
		    err_name(error));
		return error;
	}
	gr->watch =
	    loop_watch(gw->loop, jn_fd(gr->jn), LOOP_READ, on_durable, gr);
	gr->tick = loop_after(gw->loop, SNAPSHOT_TICK_US, on_tick, gr);
	rl_start(gr->rl, loop_now_us(gw->loop));
	gr_known(gr, gr->known, gr->known_count);
	step(gr, &event);
	return 0;
}

/* Sets the instances that may keep a replica, for introductions. */
void
gr_known(struct gr *gr, const uint32_t *instances, uint32_t count)
{
	uint64_t wide[RL_INSTANCES_MAX];

	if (count > RL_INSTANCES_MAX)
		count = RL_INSTANCES_MAX;
	memmove(gr->known, instances, count * sizeof(*instances));
	gr->known_count = count;
	for (uint32_t i = 0; i < count; i++)
		wide[i] = instances[i];
	if (gr->rl != NULL)
		rl_introduce(gr->rl, wide, count);
}

/* Takes a message of another replica's log. */
void
gr_log_message(struct gr *gr, const uint8_t *data, uint32_t len)
{
	struct rl_event event = {.kind = RL_EV_MESSAGE};
	struct rl_msg msg;

	if (rl_msg_decode(data, len, &msg) != 0) {
		log_event(LOG_LEVEL_WARN, "message_unreadable", "channel=log");
		return;
	}
	event.u.message = &msg;
	step(gr, &event);
	rl_msg_release(&msg);
}

/* Takes a question of an instance that follows the orders. */
void
gr_config_message(
    struct gr *gr, uint32_t from, const uint8_t *data, uint32_t len)
{
	struct buf scratch;
	struct cy_msg msg;

	if (gr->source == NULL)
		return;
	buf_init(&scratch, gr->gw->alloc);
	if (cy_msg_decode(&msg, data, len, &scratch) == 0) {
		cy_source_fresh(gr->source, rl_lease_until_us(gr->rl));
		cy_source_message(
		    gr->source, loop_now_us(gr->gw->loop), from, &msg);
	}
	buf_free(&scratch);
}

/* Appends a change to the log; done hears what became of it. */
void
gr_propose(struct gr *gr, const struct buf *change, gr_done_fn done, void *ctx)
{
	struct rl_event event = {.kind = RL_EV_PROPOSE};
	struct waiting *w;

	if (gr->rl == NULL) {
		done(ctx, ERR_NOT_LEADER);
		return;
	}
	w = alloc_zero(gr->gw->alloc, 1, sizeof(*w));
	w->token = ++gr->next_token;
	w->done = done;
	w->ctx = ctx;
	w->next = gr->waiting;
	gr->waiting = w;
	event.u.propose.token = w->token;
	event.u.propose.data = change->data;
	event.u.propose.len = change->len;
	step(gr, &event);
}

/* The document that will be in force once all proposals are applied. */
static const struct ord_base *
current_base(struct gr *gr)
{
	if (gr->base_term != rl_term(gr->rl) ||
	    gr->base.number < ord_number(gr->ord)) {
		buf_clear(&gr->base.text);
		buf_add(&gr->base.text, ord_text(gr->ord)->data,
		    ord_text(gr->ord)->len);
		gr->base.number = ord_number(gr->ord);
		gr->base_term = rl_term(gr->rl);
	}
	return &gr->base;
}

/*
 * Proposes a document, as its difference to the one before it.  While a new
 * leader has not applied all of its log, it may not know that one; then the
 * proposal has no effect and its outcome says so.
 */
void
gr_propose_document(struct gr *gr, uint64_t number, const struct buf *text,
    gr_done_fn done, void *ctx)
{
	struct buf change;

	if (gr->rl == NULL || !rl_is_leader(gr->rl)) {
		done(ctx, ERR_NOT_LEADER);
		return;
	}
	buf_init(&change, gr->gw->alloc);
	ord_encode_document(
	    number, text->data, text->len, current_base(gr), &change);
	if (number > gr->base.number) {
		gr->base.number = number;
		buf_clear(&gr->base.text);
		buf_add(&gr->base.text, text->data, text->len);
	}
	gr_propose(gr, &change, done, ctx);
	buf_free(&change);
}

static void
ignore(void *ctx, int error)
{
	(void)ctx;
	(void)error;
}

/* Whoever waited is gone: the outcome of its proposals is told to nobody. */
void
gr_forget(struct gr *gr, void *ctx)
{
	for (struct waiting *w = gr->waiting; w != NULL; w = w->next) {
		if (w->ctx == ctx)
			w->done = ignore;
	}
}

/* Whether this replica leads and nobody else can, by a clock read now. */
bool
gr_is_current(const struct gr *gr)
{
	return gr->rl != NULL &&
	       rl_lease_until_us(gr->rl) > clock_monotonic_us();
}

/* Whether this replica leads, as far as it knows. */
bool
gr_leads(const struct gr *gr)
{
	return gr->rl != NULL && rl_is_leader(gr->rl);
}

/* Returns the instance of the known leader; 0: none. */
uint32_t
gr_leader(const struct gr *gr)
{
	uint64_t leader =
	    gr->rl != NULL ? rl_leader(gr->rl) : (uint64_t)RL_NO_INSTANCE;

	return leader == RL_NO_INSTANCE ? 0 : (uint32_t)leader;
}

/* Returns the orders as applied here; NULL while the folder is lost. */
const struct ord *
gr_orders(const struct gr *gr)
{
	return gr->ord;
}

static void
set_gauge(const struct gr *gr, const char *name, uint64_t value)
{
	metrics_get(gr->gw->metrics, METRICS_GAUGE, name, "")->value = value;
}

/* Sets the gauges of the log; all 0 while the folder is lost. */
void
gr_measure(const struct gr *gr)
{
	struct rl_status status = {0};
	struct jn_stats journal = {0};

	if (gr->rl != NULL)
		rl_status(gr->rl, &status);
	if (gr->jn != NULL)
		jn_stats(gr->jn, &journal);
	set_gauge(gr, "celeryford_log_is_leader", status.role == RL_LEADER);
	set_gauge(gr, "celeryford_log_term", status.term);
	set_gauge(gr, "celeryford_log_last_index", status.last_index);
	set_gauge(gr, "celeryford_log_commit_index", status.commit);
	set_gauge(gr, "celeryford_log_applied_index", status.applied);
	set_gauge(gr, "celeryford_log_members", status.member_count);
	set_gauge(gr, "celeryford_journal_unsynced_records",
	    journal.appended_seq - journal.durable_seq);
	set_gauge(gr, "celeryford_journal_syncs", journal.syncs);
	set_gauge(gr, "celeryford_journal_bytes", journal.bytes_written);
	set_gauge(gr, "celeryford_orders_revision",
	    gr->ord != NULL ? ord_revision(gr->ord) : 0);
}

/* Hands leadership to another replica before this one leaves. */
void
gr_hand_over(struct gr *gr)
{
	struct rl_event event = {.kind = RL_EV_HANDOVER};

	step(gr, &event);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gr *gr;

	if (gw->settings->data_dir[0] == '\0')
		return 0;
	gr = alloc_zero(gw->alloc, 1, sizeof(*gr));
	gr->gw = gw;
	buf_init(&gr->image, gw->alloc);
	buf_init(&gr->base.text, gw->alloc);
	gw->replica = gr;
	gr->known_count = gw_control_instances(gw, gr->known, RL_INSTANCES_MAX);
	if (open_replica(gr) != 0)
		lose_folder(gr);
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gr *gr = gw->replica;

	if (gr == NULL)
		return;
	gw->replica = NULL;
	loop_cancel(gr->reopen);
	close_replica(gr);
	alloc_free(gw->alloc, gr->records);
	buf_free(&gr->image);
	buf_free(&gr->base.text);
	alloc_free(gw->alloc, gr);
}

struct sup_child_spec
gw_child_replica(struct gw *gw)
{
	return (struct sup_child_spec){"replica", start, stop, gw};
}
