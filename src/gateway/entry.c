#include "gateway/entry.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "gateway/follow.h"

enum {
	CONNECTIONS_MAX = 3000,
	CONNECT_TIMEOUT_MS = 250, /* a server in reach answers far sooner */
	IDLE_TIMEOUT_MS = 20000, /* connections to servers */
	COMPILE_DELAY_US =
	    20000, /* changes that come together are compiled once */
	WAITING_RETRY_US = 20000, /* those that wait are looked at this often */
	READY_CONNECTIONS_MAX = 64,
	READY_LEASE_MIN_US =
	    1500000, /* of the time the orders count as fresh */
	LOG_LINES_PER_REQUEST = 4, /* in the log, as a rule */
	HTTP_OK = 200
};

static const struct hf_limits default_limits = {16384, 4194304, 3000, 15000};

/* A request that was open when its table was replaced lets go of it. */
void
gw_entry_table_release(struct gw_entry_table *table)
{
	if (table == NULL || --table->users > 0)
		return;
	rt_free(table->routes);
	alloc_free(alloc_default(), table);
}

/* Takes the document of the orders into use; one that can't be read is not. */
static void
compile_document(struct gw_entry *entry, const struct ord *ord)
{
	const struct dl_dialect *dialect = entry->gw->dialect;
	struct gw_entry_table *next =
	    alloc_zero(alloc_default(), 1, sizeof(*next));
	const struct rt_limits *limits;
	struct buf why;

	buf_init(&why, entry->gw->alloc);
	next->users = 1;
	if (dialect->ops->read_document(dialect, buf_text(ord_text(ord)),
		ord_text(ord)->len, &next->routes, &next->number, &why) != 0) {
		log_event(LOG_LEVEL_ERROR, "document_unreadable",
		    "number=%" PRIu64 " why=\"%s\"", ord_number(ord),
		    buf_text(&why));
		buf_free(&why);
		alloc_free(alloc_default(), next);
		return;
	}
	buf_free(&why);
	gw_entry_table_release(entry->table);
	entry->table = next;
	limits = rt_limits_of(next->routes);
	hf_set_limits(
	    entry->front, &(struct hf_limits){limits->header_max_bytes,
			      limits->body_max_bytes, limits->header_timeout_ms,
			      limits->idle_timeout_ms});
}

static void
on_compile(void *ctx)
{
	struct gw_entry *entry = ctx;
	const struct ord *ord = gf_orders(entry->gw->follow);

	entry->compile_timer = NULL;
	if (ord_number(ord) != 0 &&
	    (entry->table == NULL || entry->table->number != ord_number(ord)))
		compile_document(entry, ord);
	if (entry->table != NULL)
		pl_configure(entry->pool, entry->table->routes, ord);
	ge_wake_waiting(entry);
}

/* Logs what is new about a server: a life, its leaving, its end. */
static void
log_server_change(const struct gw_entry *entry, const struct rg_server *server)
{
	static const char *const states[] = {"ready", "draining", "gone"};
	uint16_t place = pl_place_of(entry->pool, server->id);
	const struct rg_server *known =
	    place != RT_NONE ? &pl_at(entry->pool, place)->said : NULL;

	if (known != NULL && known->born_ms == server->born_ms &&
	    known->state == server->state)
		return;
	log_event(LOG_LEVEL_INFO, "server",
	    "server=%s state=%s service=%s version=%s data_centre=%s "
	    "born_ms=%" PRIu64 " seq=%" PRIu64 " cold_ms=%u age_ms=%" PRId64,
	    server->id, states[server->state], server->service, server->version,
	    server->data_centre, server->born_ms, server->seq, server->cold_ms,
	    (loop_now_us(entry->gw->loop) - server->heard_us) / 1000);
}

/* Names a life of a server for the record of those that ended. */
struct su_life
gw_entry_life_of(const struct rg_server *server)
{
	return (struct su_life){.life = rg_life_of(server->id, server->born_ms),
	    .name = rg_life_of(server->id, 0),
	    .address = (uint64_t)server->ip << 16 | server->port};
}

static void
log_crash(const struct rg_server *server, const char *why, uint32_t marked)
{
	if (marked > 0)
		log_event(LOG_LEVEL_WARN, "crash_seen",
		    "server=%s born_ms=%" PRIu64 " why=%s requests=%u",
		    server->id, server->born_ms, why, marked);
}

/* A server announced itself, here or elsewhere. */
void
ge_server_changed(struct gw_entry *entry, const struct rg_server *server)
{
	struct su_life life = gw_entry_life_of(server);
	uint16_t place;

	log_server_change(entry, server);
	if (server->state == RG_READY)
		log_crash(server, "later_life",
		    su_succeeded(
			entry->suspects, &life, loop_now_us(entry->gw->loop)));
	place = pl_take(entry->pool, server, loop_now_us(entry->gw->loop));
	if (server->state != RG_READY && place != RT_NONE)
		hu_forget(entry->client, &pl_at(entry->pool, place)->address);
	ge_wake_waiting(entry);
}

/*
 * An answer of a server says that it leaves.  What this instance hears counts
 * here at once, whether it is in touch with others or not.
 */
void
gw_entry_server_leaving(struct gw_entry *entry, const struct rg_server *server)
{
	uint64_t life = rg_life_of(server->id, server->born_ms);

	entry->leaving_notices->value++;
	log_event(LOG_LEVEL_INFO, "server_leaves", "server=%s born_ms=%" PRIu64,
	    server->id, server->born_ms);
	(void)rg_leaves(
	    entry->gw->registry, life, loop_now_us(entry->gw->loop));
	gw_spread(entry->gw, NT_LEAVING, life, 0, 1);
}

/* A probe of a server's address was refused, or came to nothing. */
static void
on_probed(void *ctx, const struct sockaddr_in *address, bool refused)
{
	struct gw_entry *entry = ctx;

	for (uint16_t i = 0; i < pl_count(entry->pool); i++) {
		const struct pl_server *s = pl_at(entry->pool, i);

		if (!s->used ||
		    s->address.sin_addr.s_addr != address->sin_addr.s_addr ||
		    s->address.sin_port != address->sin_port)
			continue;
		log_event(LOG_LEVEL_WARN, "server_unreachable",
		    "server=%s error=%s", s->said.id,
		    refused ? "refused" : "timeout");
		pl_unreachable(
		    entry->pool, i, !refused, loop_now_us(entry->gw->loop));
		if (refused)
			gw_entry_server_refused(entry, &s->said);
	}
}

/*
 * Finds out whether a server that broke a request off is still there, unless
 * that is known.  A connection that is made serves the next request.
 */
void
gw_entry_probe_server(struct gw_entry *entry, uint16_t server)
{
	const struct pl_server *s = pl_at(entry->pool, server);

	if (s->down_until_us < loop_now_us(entry->gw->loop))
		hu_probe(entry->client, &s->address);
}

static struct bu_options
budget_options(const struct gw_entry *entry)
{
	const struct gs *s = entry->gw->settings;

	return (struct bu_options){.permille = s->retry_permille,
	    .slack = s->retry_slack,
	    .instances = entry->instance_count,
	    .window_ms = s->retry_window_ms,
	    .begun_us = entry->started_us};
}

/* Sets how many instances share what servers bear and what may be repeated. */
void
ge_instances(struct gw_entry *entry, uint32_t entry_instances, uint32_t told_by)
{
	char from[GS_NAME_BYTES];
	struct bu_options budget;

	if (entry_instances != entry->instance_count) {
		gw_address_text(told_by, from);
		log_event(LOG_LEVEL_INFO, "entry_instances",
		    "count=%u before=%u told_by=%s", entry_instances,
		    entry->instance_count, from);
		entry->instance_count = entry_instances;
	}
	pl_set_instances(entry->pool, entry_instances);
	budget = budget_options(entry);
	for (struct gw_entry_service *service = entry->services;
	     service != NULL; service = service->next)
		bu_set(&service->budget, &budget);
}

/* Another instance, or this one, made something known. */
void
ge_note(struct gw_entry *entry, const struct nt_note *note)
{
	switch (note->kind) {
	case NT_HELD:
		/* Of a roll-out that is heard of later:
		 * hold_old_version_sessions() asks.
		 */
		if (note->value == (uint32_t)entry->rollout_number)
			se_hold(entry->sessions, note->key,
			    loop_now_us(entry->gw->loop));
		break;
	case NT_LEAVING:
		break; /* the registry has told */
	case NT_ENDED:
		/* Of its suspects here, this instance may have no proof. */
		(void)su_ended(
		    entry->suspects, note->key, loop_now_us(entry->gw->loop));
		break;
	case NT_CRASH:
		entry->crash_marks->value++;
		su_take(entry->suspects, note->key, note->part,
		    (enum su_state)note->value, note->at_us);
		break;
	}
}

static void
spread_crash_mark(
    void *ctx, uint64_t fingerprint, uint64_t life, enum su_state state)
{
	struct gw_entry *entry = ctx;

	gw_spread(entry->gw, NT_CRASH, fingerprint, life, state);
}

/* A server's address refuses connections: that life of it has ended. */
void
gw_entry_server_refused(struct gw_entry *entry, const struct rg_server *server)
{
	uint64_t life = rg_life_of(server->id, server->born_ms);
	uint32_t marked =
	    su_ended(entry->suspects, life, loop_now_us(entry->gw->loop));

	log_crash(server, "refuses_connections", marked);
	if (marked > 0)
		gw_spread(entry->gw, NT_ENDED, life, 0, 1);
}

/* Returns the share of a service's sessions that a new version gets. */
uint32_t
gw_entry_trial_permille(const struct gw_entry *entry, bool load_trial)
{
	return vd_trial_permille(
	    entry->gw->settings->exposure_permille, load_trial);
}

static void
spread_held_session(void *ctx, uint64_t session)
{
	struct gw_entry *entry = ctx;

	gw_spread(
	    entry->gw, NT_HELD, session, 0, (uint32_t)entry->rollout_number);
}

/*
 * A roll-out begins: sessions that would get the new version by their names
 * but have begun on the old one are held there, at every instance.
 */
static void
hold_old_version_sessions(struct gw_entry *entry)
{
	const struct ord *ord = gf_orders(entry->gw->follow);
	const struct ord_rollout *running = NULL;

	for (size_t i = 0; i < ord_rollout_count(ord); i++) {
		if (ord_rollout_at(ord, i)->state == ORD_RUNNING)
			running = ord_rollout_at(ord, i);
	}
	if (running == NULL || running->number <= entry->rollout_number)
		return;
	entry->rollout_number = running->number;
	for (struct gw_exchange *ex = entry->exchanges; ex != NULL;
	     ex = gw_exchange_next(ex))
		gw_exchange_touch_session(ex);
	se_begin(entry->sessions, gw_entry_trial_permille(entry, false),
	    loop_now_us(entry->gw->loop), spread_held_session, entry);
	/* Others may have told of theirs before the order came here. */
	gw_repeat_notes(entry->gw, NT_HELD, (uint32_t)entry->rollout_number);
}

static void
create_service_metrics(struct gw_entry *entry, struct gw_entry_service *service)
{
	struct metrics *m = entry->gw->metrics;
	char name[sizeof(service->name)];
	char label[sizeof(name) + sizeof("service=\"\"")];

	snprintf(name, sizeof(name), "%s", service->name);
	for (char *c = name; *c != '\0'; c++) {
		if (*c == '"' || *c == '\\' || *c == '\n')
			*c = '_'; /* would end the label */
	}
	snprintf(label, sizeof(label), "service=\"%s\"", name);
	service->requests = metrics_get(
	    m, METRICS_COUNTER, "celeryford_service_requests_total", label);
	service->repeats = metrics_get(
	    m, METRICS_COUNTER, "celeryford_service_repeats_total", label);
	service->repeats_refused = metrics_get(
	    m, METRICS_COUNTER, "celeryford_repeats_refused_total", label);
	service->budget_left = metrics_get(
	    m, METRICS_GAUGE, "celeryford_retry_budget_left", label);
}

/* Returns what belongs to a service, made on first use. */
struct gw_entry_service *
gw_entry_get_service(struct gw_entry *entry, const char *name)
{
	struct bu_options budget = budget_options(entry);
	struct gw_entry_service *service;

	for (service = entry->services; service != NULL;
	     service = service->next) {
		if (strcmp(service->name, name) == 0)
			return service;
	}
	service = alloc_zero(entry->gw->alloc, 1, sizeof(*service));
	snprintf(service->name, sizeof(service->name), "%s", name);
	bu_init(&service->budget, &budget, loop_now_us(entry->gw->loop));
	create_service_metrics(entry, service);
	service->next = entry->services;
	entry->services = service;
	return service;
}

/* Returns what the versions of roll-outs under way answered so far. */
const struct ev *
ge_outcomes(const struct gw_entry *entry)
{
	return entry->outcomes;
}

static void
drop_finished_outcomes(struct gw_entry *entry)
{
	const struct ord *ord = gf_orders(entry->gw->follow);

	for (size_t i = 0; i < ord_rollout_count(ord); i++) {
		const struct ord_rollout *r = ord_rollout_at(ord, i);

		if (r->state >= ORD_COMPLETED)
			ev_drop(entry->outcomes, r->service, r->target);
	}
}

/* The orders changed: routes are compiled anew in a moment. */
void
ge_orders_changed(struct gw_entry *entry)
{
	pl_configure(entry->pool,
	    entry->table != NULL ? entry->table->routes : NULL,
	    gf_orders(entry->gw->follow));
	hold_old_version_sessions(entry);
	drop_finished_outcomes(entry);
	if (entry->compile_timer == NULL)
		entry->compile_timer = loop_after(
		    entry->gw->loop, COMPILE_DELAY_US, on_compile, entry);
}

/* Tells whether any service has a roll-out under way. */
bool
ge_has_outcomes(const struct gw_entry *entry)
{
	const struct ord *ord = gf_orders(entry->gw->follow);

	for (size_t i = 0; i < ord_rollout_count(ord); i++) {
		if (ord_rollout_at(ord, i)->state < ORD_COMPLETED)
			return true;
	}
	return false;
}

static void
on_waiting_timer(void *ctx)
{
	struct gw_entry *entry = ctx;

	entry->waiting_timer = NULL;
	ge_wake_waiting(entry);
}

/* Puts a request among those that wait, in its place. */
void
gw_entry_enqueue(struct gw_entry *entry, struct gw_exchange *ex)
{
	struct gw_exchange **at = &entry->waiting;

	while (*at != NULL &&
	       gw_exchange_queue_rank(*at) <= gw_exchange_queue_rank(ex))
		at = gw_exchange_next_waiting(*at);
	*gw_exchange_next_waiting(ex) = *at;
	*at = ex;
	gw_exchange_set_waiting(ex, true);
	if (entry->waiting_timer == NULL)
		entry->waiting_timer = loop_after(
		    entry->gw->loop, WAITING_RETRY_US, on_waiting_timer, entry);
}

/* Tries those that wait again, the most urgent first. */
void
ge_wake_waiting(struct gw_entry *entry)
{
	struct gw_exchange *list = entry->waiting;

	entry->waiting = NULL;
	for (struct gw_exchange *ex = list; ex != NULL;
	     ex = *gw_exchange_next_waiting(ex))
		gw_exchange_set_waiting(ex, false);
	while (list != NULL) {
		struct gw_exchange *ex = list;

		list = *gw_exchange_next_waiting(ex);
		*gw_exchange_next_waiting(ex) = NULL;
		gw_exchange_retry_waiting(ex);
	}
}

/* Whether the lines of one more request may be written as they come. */
bool
gw_entry_may_log(struct gw_entry *entry)
{
	int64_t now_us = loop_now_us(entry->gw->loop);
	double most = entry->gw->settings->log_lines;

	entry->log_tokens +=
	    most * (double)(now_us - entry->log_refilled_us) / 1000000;
	entry->log_refilled_us = now_us;
	if (entry->log_tokens > most)
		entry->log_tokens = most;
	if (entry->log_tokens < LOG_LINES_PER_REQUEST)
		return false;
	entry->log_tokens -= LOG_LINES_PER_REQUEST;
	return true;
}

static void
on_request(void *ctx, struct hf_exchange *x)
{
	gw_exchange_start(ctx, x);
}

static void
on_caller_left(void *ctx, struct hf_exchange *x)
{
	struct gw_exchange *ex = hf_data(x);

	(void)ctx;
	if (ex != NULL)
		gw_exchange_caller_left(ex);
}

static void
on_refused(void *ctx, int error)
{
	struct gw_entry *entry = ctx;

	entry->refusals->value++;
	log_event(
	    LOG_LEVEL_INFO, "request_unreadable", "error=%s", err_name(error));
}

static void
on_caller_drained(void *ctx, struct hf_exchange *x)
{
	struct gw_exchange *ex = hf_data(x);

	(void)ctx;
	if (ex != NULL)
		gw_exchange_resume_reading(ex);
}

static const struct hf_handler front_handler = {
    on_request, on_caller_left, on_refused};

/*
 * Ready: the balancer may send new connections here.  An instance that no
 * leader confirms any more will soon have to refuse what needs an API key, so
 * callers had better go to others.
 */
static bool
is_ready(const struct gw_entry *entry)
{
	return !entry->draining && entry->table != NULL &&
	       gf_left_us(entry->gw->follow) > READY_LEASE_MIN_US;
}

static void
on_ready_request(void *ctx, struct hf_exchange *x)
{
	struct gw_entry *entry = ctx;
	const struct dl_dialect *dialect = entry->gw->dialect;
	bool ready = is_ready(entry);

	/* Callers on open connections move to other instances as well. */
	hf_drain(entry->front, !ready);
	if (!dialect->ops->is_ready_probe(dialect, hf_method(x), hf_target(x)))
		hf_answer(x, err_answer(ERR_NOT_FOUND)->http_status, NULL, 0,
		    NULL, 0);
	else
		hf_answer(x,
		    ready ? HTTP_OK : err_answer(ERR_SHUTDOWN)->http_status,
		    NULL, 0, NULL, 0);
}

static void
on_ready_gone(void *ctx, struct hf_exchange *x)
{
	(void)ctx;
	(void)x;
}

static const struct hf_handler ready_handler = {
    on_ready_request, on_ready_gone, on_refused};

/* Begins to leave: unready, and every answer ends its connection. */
void
ge_drain(struct gw_entry *entry)
{
	entry->draining = true;
	hf_drain(entry->front, true);
}

/*
 * Takes no request any more: one that came now might not end in time.  It is
 * refused as not run, and connections without a request are closed.
 */
void
ge_refuse_new(struct gw_entry *entry)
{
	entry->refuses_new = true;
	hf_close_idle(entry->front);
}

/* Returns how many callers wait for an answer. */
uint32_t
ge_open_requests(const struct gw_entry *entry)
{
	return hf_open_exchanges(entry->front);
}

static void
create_metrics(struct gw_entry *entry)
{
	struct metrics *m = entry->gw->metrics;

	entry->requests =
	    metrics_get(m, METRICS_COUNTER, "celeryford_requests_total", "");
	entry->answers =
	    metrics_get(m, METRICS_COUNTER, "celeryford_answers_total", "");
	entry->refusals =
	    metrics_get(m, METRICS_COUNTER, "celeryford_refusals_total", "");
	entry->failures =
	    metrics_get(m, METRICS_COUNTER, "celeryford_failures_total", "");
	entry->repeats =
	    metrics_get(m, METRICS_COUNTER, "celeryford_repeats_total", "");
	entry->leaving_notices = metrics_get(
	    m, METRICS_COUNTER, "celeryford_servers_leaving_heard_total", "");
	entry->pauses = metrics_get(
	    m, METRICS_COUNTER, "celeryford_server_pauses_total", "");
	entry->pauses_unreadable = metrics_get(m, METRICS_COUNTER,
	    "celeryford_server_pauses_unreadable_total", "");
	entry->unending_answers = metrics_get(
	    m, METRICS_COUNTER, "celeryford_answers_unending_total", "");
	entry->crash_refusals = metrics_get(
	    m, METRICS_COUNTER, "celeryford_crash_refusals_total", "");
	entry->crash_marks =
	    metrics_get(m, METRICS_COUNTER, "celeryford_crash_marks_total", "");
	entry->queue_us =
	    metrics_get(m, METRICS_HISTOGRAM, "celeryford_queue_seconds", "");
	entry->first_byte_us = metrics_get(
	    m, METRICS_HISTOGRAM, "celeryford_first_byte_seconds", "");
	entry->answer_us =
	    metrics_get(m, METRICS_HISTOGRAM, "celeryford_answer_seconds", "");
	entry->event_pass_us = metrics_get(
	    m, METRICS_HISTOGRAM, "celeryford_event_pass_seconds", "");
}

static void
add_known_server(void *ctx, const struct rg_server *server)
{
	ge_server_changed(ctx, server);
}

static int
open_servers(struct gw_entry *entry)
{
	const struct gs *s = entry->gw->settings;
	struct hf_options options = {.alloc = entry->gw->alloc,
	    .loop = entry->gw->loop,
	    .host = s->listen.host,
	    .port = s->listen.port,
	    .connections_max = CONNECTIONS_MAX,
	    .limits = default_limits,
	    .handler = &front_handler,
	    .drained = on_caller_drained,
	    .ctx = entry};

	entry->front = hf_new(&options);
	if (entry->front == NULL)
		return ERR_IO;
	if (s->ready_listen.host[0] == '\0')
		return 0;
	options.host = s->ready_listen.host;
	options.port = s->ready_listen.port;
	options.connections_max = READY_CONNECTIONS_MAX;
	options.handler = &ready_handler;
	options.drained = NULL;
	entry->ready_front = hf_new(&options);
	return entry->ready_front != NULL ? 0 : ERR_IO;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_entry *e = gw->entry;

	if (e == NULL)
		return;
	gw->entry = NULL;
	loop_cancel(e->compile_timer);
	loop_cancel(e->waiting_timer);
	hf_free(e->ready_front);
	hf_free(e->front);
	while (e->exchanges != NULL)
		gw_exchange_discard(e->exchanges);
	hu_free(e->client);
	pl_free(e->pool);
	se_free(e->sessions);
	su_free(e->suspects);
	ev_free(e->outcomes);
	while (e->services != NULL) {
		struct gw_entry_service *service = e->services;

		e->services = service->next;
		alloc_free(gw->alloc, service);
	}
	gw_entry_table_release(e->table);
	alloc_free(gw->alloc, e);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_entry *e;
	struct hu_options client = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_MS,
	    .probed = on_probed};
	struct pl_options pool = {.alloc = gw->alloc,
	    .seed = rng_system_seed(),
	    .data_centre = gw->settings->data_centre,
	    .cold_permille = gw->settings->cold_permille,
	    .cold_slack = gw->settings->cold_slack,
	    .silent_us = (int64_t)gw->settings->announce_ms * 1000 * 5};
	struct su_options suspects = {
	    .alloc = gw->alloc, .proved = spread_crash_mark};

	if (gw->settings->listen.host[0] == '\0')
		return 0;
	e = alloc_zero(gw->alloc, 1, sizeof(*e));
	e->gw = gw;
	suspects.ctx = e;
	e->started_us = loop_now_us(gw->loop);
	rng_init(&e->rng, rng_system_seed());
	create_metrics(e);
	client.ctx = e;
	e->client = hu_new(&client);
	e->pool = pl_new(&pool);
	e->suspects = su_new(&suspects);
	e->outcomes = ev_new(gw->alloc);
	e->sessions =
	    se_new(gw->alloc, (int64_t)gw->settings->session_ms * 1000);
	gw->entry = e;
	if (open_servers(e) != 0) {
		stop(gw);
		return ERR_IO;
	}
	rg_since(gw->registry, 0, add_known_server, e);
	ge_orders_changed(e);
	return 0;
}

struct sup_child_spec
gw_child_entry(struct gw *gw)
{
	return (struct sup_child_spec){"entry", start, stop, gw};
}
