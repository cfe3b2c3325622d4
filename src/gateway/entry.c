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
	COMPILE_US = 20000, /* changes that come together are compiled once */
	WAITING_US = 20000, /* those that wait are looked at this often */
	READY_CONNECTIONS_MAX = 64,
	READY_LEFT_US = 1500000, /* of the time the orders count as fresh */
	LINES_A_REQUEST = 4, /* in the log, as a rule */
	HTTP_OK = 200
};

static const struct hf_limits first_limits = {16384, 4194304, 3000, 15000};

/* A request that was open when its table was replaced lets go of it. */
void
ge_table_release(struct ge_table *table)
{
	if (table == NULL || --table->users > 0)
		return;
	rt_free(table->routes);
	alloc_free(alloc_default(), table);
}

/* Takes the document of the orders into use; one that can't be read is not. */
static void
compile_document(struct ge *ge, const struct ord *ord)
{
	const struct dl_dialect *dialect = ge->gw->dialect;
	struct ge_table *next = alloc_zero(alloc_default(), 1, sizeof(*next));
	const struct rt_limits *limits;
	struct buf why;

	buf_init(&why, ge->gw->alloc);
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
	ge_table_release(ge->table);
	ge->table = next;
	limits = rt_limits_of(next->routes);
	hf_set_limits(
	    ge->front, &(struct hf_limits){limits->header_max_bytes,
			   limits->body_max_bytes, limits->header_timeout_ms,
			   limits->idle_timeout_ms});
}

static void
on_compile(void *ctx)
{
	struct ge *ge = ctx;
	const struct ord *ord = gf_orders(ge->gw->follow);

	ge->compile = NULL;
	if (ord_number(ord) != 0 &&
	    (ge->table == NULL || ge->table->number != ord_number(ord)))
		compile_document(ge, ord);
	if (ge->table != NULL)
		pl_configure(ge->pool, ge->table->routes, ord);
	ge_wake_waiting(ge);
}

/* Logs what is new about a server: a life, its leaving, its end. */
static void
log_server(const struct ge *ge, const struct rg_server *server)
{
	static const char *const states[] = {"ready", "draining", "gone"};
	uint16_t place = pl_place_of(ge->pool, server->id);
	const struct rg_server *known =
	    place != RT_NONE ? &pl_at(ge->pool, place)->said : NULL;

	if (known != NULL && known->born_ms == server->born_ms &&
	    known->state == server->state)
		return;
	log_event(LOG_LEVEL_INFO, "server",
	    "server=%s state=%s service=%s version=%s data_centre=%s "
	    "born_ms=%" PRIu64 " seq=%" PRIu64 " cold_ms=%u age_ms=%" PRId64,
	    server->id, states[server->state], server->service, server->version,
	    server->data_centre, server->born_ms, server->seq, server->cold_ms,
	    (loop_now_us(ge->gw->loop) - server->heard_us) / 1000);
}

/* Names a life of a server for the record of those that ended. */
struct su_life
ge_life_of(const struct rg_server *server)
{
	return (struct su_life){.life = rg_life_of(server->id, server->born_ms),
	    .name = rg_life_of(server->id, 0),
	    .address = (uint64_t)server->ip << 16 | server->port};
}

static void
log_crashed(const struct rg_server *server, const char *why, uint32_t marked)
{
	if (marked > 0)
		log_event(LOG_LEVEL_WARN, "crash_seen",
		    "server=%s born_ms=%" PRIu64 " why=%s requests=%u",
		    server->id, server->born_ms, why, marked);
}

/* A server announced itself, here or elsewhere. */
void
ge_server_changed(struct ge *ge, const struct rg_server *server)
{
	struct su_life life = ge_life_of(server);
	uint16_t place;

	log_server(ge, server);
	if (server->state == RG_READY)
		log_crashed(server, "later_life",
		    su_succeeded(
			ge->suspects, &life, loop_now_us(ge->gw->loop)));
	place = pl_take(ge->pool, server, loop_now_us(ge->gw->loop));
	if (server->state != RG_READY && place != RT_NONE)
		hu_forget(ge->client, &pl_at(ge->pool, place)->address);
	ge_wake_waiting(ge);
}

/*
 * An answer of a server says that it leaves.  What this instance hears counts
 * here at once, whether it is in touch with others or not.
 */
void
ge_server_leaves(struct ge *ge, const struct rg_server *server)
{
	uint64_t life = rg_life_of(server->id, server->born_ms);

	ge->leaving_heard->value++;
	log_event(LOG_LEVEL_INFO, "server_leaves", "server=%s born_ms=%" PRIu64,
	    server->id, server->born_ms);
	(void)rg_leaves(ge->gw->registry, life, loop_now_us(ge->gw->loop));
	gw_spread(ge->gw, NT_LEAVING, life, 0, 1);
}

/* A probe of a server's address was refused, or came to nothing. */
static void
on_probed(void *ctx, const struct sockaddr_in *address, bool refused)
{
	struct ge *ge = ctx;

	for (uint16_t i = 0; i < pl_count(ge->pool); i++) {
		const struct pl_server *s = pl_at(ge->pool, i);

		if (!s->used ||
		    s->address.sin_addr.s_addr != address->sin_addr.s_addr ||
		    s->address.sin_port != address->sin_port)
			continue;
		log_event(LOG_LEVEL_WARN, "server_unreachable",
		    "server=%s error=%s", s->said.id,
		    refused ? "refused" : "timeout");
		pl_unreachable(
		    ge->pool, i, !refused, loop_now_us(ge->gw->loop));
		if (refused)
			ge_server_refuses(ge, &s->said);
	}
}

/*
 * Finds out whether a server that broke a request off is still there, unless
 * that is known.  A connection that is made serves the next request.
 */
void
ge_probe(struct ge *ge, uint16_t server)
{
	const struct pl_server *s = pl_at(ge->pool, server);

	if (s->down_until_us < loop_now_us(ge->gw->loop))
		hu_probe(ge->client, &s->address);
}

static struct bu_options
budget_options(const struct ge *ge)
{
	const struct gs *s = ge->gw->settings;

	return (struct bu_options){.permille = s->retry_permille,
	    .slack = s->retry_slack,
	    .instances = ge->instances,
	    .window_ms = s->retry_window_ms,
	    .begun_us = ge->started_us};
}

/* Sets how many instances share what servers bear and what may be repeated. */
void
ge_instances(struct ge *ge, uint32_t entry_instances, uint32_t told_by)
{
	char from[GS_NAME_BYTES];
	struct bu_options budget;

	if (entry_instances != ge->instances) {
		gw_address_text(told_by, from);
		log_event(LOG_LEVEL_INFO, "entry_instances",
		    "count=%u before=%u told_by=%s", entry_instances,
		    ge->instances, from);
		ge->instances = entry_instances;
	}
	pl_set_instances(ge->pool, entry_instances);
	budget = budget_options(ge);
	for (struct ge_service *v = ge->services; v != NULL; v = v->next)
		bu_set(&v->budget, &budget);
}

/* Another instance, or this one, made something known. */
void
ge_note(struct ge *ge, const struct nt_note *note)
{
	switch (note->kind) {
	case NT_HELD:
		/* Of a roll-out that is heard of later: hold_sessions() asks.
		 */
		if (note->value == (uint32_t)ge->rollout)
			se_hold(
			    ge->sessions, note->key, loop_now_us(ge->gw->loop));
		break;
	case NT_LEAVING:
		break; /* the registry has told */
	case NT_ENDED:
		/* Of its suspects here, this instance may have no proof. */
		(void)su_ended(
		    ge->suspects, note->key, loop_now_us(ge->gw->loop));
		break;
	case NT_CRASH:
		ge->crash_marks->value++;
		su_take(ge->suspects, note->key, note->part,
		    (enum su_state)note->value, note->at_us);
		break;
	}
}

static void
note_crash(void *ctx, uint64_t fingerprint, uint64_t life, enum su_state state)
{
	struct ge *ge = ctx;

	gw_spread(ge->gw, NT_CRASH, fingerprint, life, state);
}

/* A server's address refuses connections: that life of it has ended. */
void
ge_server_refuses(struct ge *ge, const struct rg_server *server)
{
	uint64_t life = rg_life_of(server->id, server->born_ms);
	uint32_t marked =
	    su_ended(ge->suspects, life, loop_now_us(ge->gw->loop));

	log_crashed(server, "refuses_connections", marked);
	if (marked > 0)
		gw_spread(ge->gw, NT_ENDED, life, 0, 1);
}

/* Returns the share of a service's sessions that a new version gets. */
uint32_t
ge_trial_permille(const struct ge *ge, bool load_trial)
{
	return vd_trial_permille(
	    ge->gw->settings->exposure_permille, load_trial);
}

static void
hold_session(void *ctx, uint64_t session)
{
	struct ge *ge = ctx;

	gw_spread(ge->gw, NT_HELD, session, 0, (uint32_t)ge->rollout);
}

/*
 * A roll-out begins: sessions that would get the new version by their names
 * but have begun on the old one are held there, at every instance.
 */
static void
hold_sessions(struct ge *ge)
{
	const struct ord *ord = gf_orders(ge->gw->follow);
	const struct ord_rollout *running = NULL;

	for (size_t i = 0; i < ord_rollout_count(ord); i++) {
		if (ord_rollout_at(ord, i)->state == ORD_RUNNING)
			running = ord_rollout_at(ord, i);
	}
	if (running == NULL || running->number <= ge->rollout)
		return;
	ge->rollout = running->number;
	for (struct gx *gx = ge->open; gx != NULL; gx = gx_next_open(gx))
		gx_touch_session(gx);
	se_begin(ge->sessions, ge_trial_permille(ge, false),
	    loop_now_us(ge->gw->loop), hold_session, ge);
	/* Others may have told of theirs before the order came here. */
	gw_repeat_notes(ge->gw, NT_HELD, (uint32_t)ge->rollout);
}

static void
make_service_series(struct ge *ge, struct ge_service *v)
{
	struct metrics *m = ge->gw->metrics;
	char name[sizeof(v->name)];
	char label[sizeof(name) + sizeof("service=\"\"")];

	snprintf(name, sizeof(name), "%s", v->name);
	for (char *c = name; *c != '\0'; c++) {
		if (*c == '"' || *c == '\\' || *c == '\n')
			*c = '_'; /* would end the label */
	}
	snprintf(label, sizeof(label), "service=\"%s\"", name);
	v->requests = metrics_get(
	    m, METRICS_COUNTER, "celeryford_service_requests_total", label);
	v->repeats = metrics_get(
	    m, METRICS_COUNTER, "celeryford_service_repeats_total", label);
	v->repeats_refused = metrics_get(
	    m, METRICS_COUNTER, "celeryford_repeats_refused_total", label);
	v->budget_left = metrics_get(
	    m, METRICS_GAUGE, "celeryford_retry_budget_left", label);
}

/* Returns what belongs to a service, made on first use. */
struct ge_service *
ge_service_of(struct ge *ge, const char *name)
{
	struct bu_options budget = budget_options(ge);
	struct ge_service *v;

	for (v = ge->services; v != NULL; v = v->next) {
		if (strcmp(v->name, name) == 0)
			return v;
	}
	v = alloc_zero(ge->gw->alloc, 1, sizeof(*v));
	snprintf(v->name, sizeof(v->name), "%s", name);
	bu_init(&v->budget, &budget, loop_now_us(ge->gw->loop));
	make_service_series(ge, v);
	v->next = ge->services;
	ge->services = v;
	return v;
}

/* Returns what the versions of roll-outs under way answered so far. */
const struct ev *
ge_outcomes(const struct ge *ge)
{
	return ge->outcomes;
}

static void
drop_outcomes(struct ge *ge)
{
	const struct ord *ord = gf_orders(ge->gw->follow);

	for (size_t i = 0; i < ord_rollout_count(ord); i++) {
		const struct ord_rollout *r = ord_rollout_at(ord, i);

		if (r->state >= ORD_COMPLETED)
			ev_drop(ge->outcomes, r->service, r->target);
	}
}

/* The orders changed: routes are compiled anew in a moment. */
void
ge_orders_changed(struct ge *ge)
{
	pl_configure(ge->pool, ge->table != NULL ? ge->table->routes : NULL,
	    gf_orders(ge->gw->follow));
	hold_sessions(ge);
	drop_outcomes(ge);
	if (ge->compile == NULL)
		ge->compile =
		    loop_after(ge->gw->loop, COMPILE_US, on_compile, ge);
}

/* Tells whether any service has a roll-out under way. */
bool
ge_has_outcomes(const struct ge *ge)
{
	const struct ord *ord = gf_orders(ge->gw->follow);

	for (size_t i = 0; i < ord_rollout_count(ord); i++) {
		if (ord_rollout_at(ord, i)->state < ORD_COMPLETED)
			return true;
	}
	return false;
}

static void
on_waiting(void *ctx)
{
	struct ge *ge = ctx;

	ge->retry = NULL;
	ge_wake_waiting(ge);
}

/* Puts a request among those that wait, in its place. */
void
ge_wait(struct ge *ge, struct gx *gx)
{
	struct gx **at = &ge->waiting;

	while (*at != NULL && gx_rank(*at) <= gx_rank(gx))
		at = gx_next_waiting(*at);
	*gx_next_waiting(gx) = *at;
	*at = gx;
	gx_set_waiting(gx, true);
	if (ge->retry == NULL)
		ge->retry =
		    loop_after(ge->gw->loop, WAITING_US, on_waiting, ge);
}

/* Tries those that wait again, the most urgent first. */
void
ge_wake_waiting(struct ge *ge)
{
	struct gx *list = ge->waiting;

	ge->waiting = NULL;
	for (struct gx *gx = list; gx != NULL; gx = *gx_next_waiting(gx))
		gx_set_waiting(gx, false);
	while (list != NULL) {
		struct gx *gx = list;

		list = *gx_next_waiting(gx);
		*gx_next_waiting(gx) = NULL;
		gx_try(gx);
	}
}

/* Whether the lines of one more request may be written as they come. */
bool
ge_may_log(struct ge *ge)
{
	int64_t now_us = loop_now_us(ge->gw->loop);
	double most = ge->gw->settings->log_lines;

	ge->log_lines += most * (double)(now_us - ge->log_us) / 1000000;
	ge->log_us = now_us;
	if (ge->log_lines > most)
		ge->log_lines = most;
	if (ge->log_lines < LINES_A_REQUEST)
		return false;
	ge->log_lines -= LINES_A_REQUEST;
	return true;
}

static void
on_request(void *ctx, struct hf_exchange *x)
{
	gx_start(ctx, x);
}

static void
on_gone(void *ctx, struct hf_exchange *x)
{
	struct gx *gx = hf_data(x);

	(void)ctx;
	if (gx != NULL)
		gx_gone(gx);
}

static void
on_refused(void *ctx, int error)
{
	struct ge *ge = ctx;

	ge->refusals->value++;
	log_event(
	    LOG_LEVEL_INFO, "request_unreadable", "error=%s", err_name(error));
}

static void
on_drained(void *ctx, struct hf_exchange *x)
{
	struct gx *gx = hf_data(x);

	(void)ctx;
	if (gx != NULL)
		gx_drained(gx);
}

static const struct hf_handler front_handler = {
    on_request, on_gone, on_refused};

/*
 * Ready: the balancer may send new connections here.  An instance that no
 * leader confirms any more will soon have to refuse what needs an API key, so
 * callers had better go to others.
 */
static bool
is_ready(const struct ge *ge)
{
	return !ge->draining && ge->table != NULL &&
	       gf_left_us(ge->gw->follow) > READY_LEFT_US;
}

static void
on_ready_request(void *ctx, struct hf_exchange *x)
{
	struct ge *ge = ctx;
	const struct dl_dialect *dialect = ge->gw->dialect;
	bool ready = is_ready(ge);

	/* Callers on open connections move to other instances as well. */
	hf_drain(ge->front, !ready);
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
ge_drain(struct ge *ge)
{
	ge->draining = true;
	hf_drain(ge->front, true);
}

/*
 * Takes no request any more: one that came now might not end in time.  It is
 * refused as not run, and connections without a request are closed.
 */
void
ge_refuse_new(struct ge *ge)
{
	ge->closed = true;
	hf_close_idle(ge->front);
}

/* Returns how many callers wait for an answer. */
uint32_t
ge_open_requests(const struct ge *ge)
{
	return hf_open_exchanges(ge->front);
}

static void
make_series(struct ge *ge)
{
	struct metrics *m = ge->gw->metrics;

	ge->requests =
	    metrics_get(m, METRICS_COUNTER, "celeryford_requests_total", "");
	ge->answers =
	    metrics_get(m, METRICS_COUNTER, "celeryford_answers_total", "");
	ge->refusals =
	    metrics_get(m, METRICS_COUNTER, "celeryford_refusals_total", "");
	ge->failures =
	    metrics_get(m, METRICS_COUNTER, "celeryford_failures_total", "");
	ge->repeats =
	    metrics_get(m, METRICS_COUNTER, "celeryford_repeats_total", "");
	ge->leaving_heard = metrics_get(
	    m, METRICS_COUNTER, "celeryford_servers_leaving_heard_total", "");
	ge->pauses = metrics_get(
	    m, METRICS_COUNTER, "celeryford_server_pauses_total", "");
	ge->pauses_unreadable = metrics_get(m, METRICS_COUNTER,
	    "celeryford_server_pauses_unreadable_total", "");
	ge->unending = metrics_get(
	    m, METRICS_COUNTER, "celeryford_answers_unending_total", "");
	ge->crash_refusals = metrics_get(
	    m, METRICS_COUNTER, "celeryford_crash_refusals_total", "");
	ge->crash_marks =
	    metrics_get(m, METRICS_COUNTER, "celeryford_crash_marks_total", "");
	ge->queue_us =
	    metrics_get(m, METRICS_HISTOGRAM, "celeryford_queue_seconds", "");
	ge->first_us = metrics_get(
	    m, METRICS_HISTOGRAM, "celeryford_first_byte_seconds", "");
	ge->whole_us =
	    metrics_get(m, METRICS_HISTOGRAM, "celeryford_answer_seconds", "");
	ge->pass_us = metrics_get(
	    m, METRICS_HISTOGRAM, "celeryford_event_pass_seconds", "");
}

static void
take_known(void *ctx, const struct rg_server *server)
{
	ge_server_changed(ctx, server);
}

static int
open_servers(struct ge *ge)
{
	const struct gs *s = ge->gw->settings;
	struct hf_options options = {.alloc = ge->gw->alloc,
	    .loop = ge->gw->loop,
	    .host = s->listen.host,
	    .port = s->listen.port,
	    .connections_max = CONNECTIONS_MAX,
	    .limits = first_limits,
	    .handler = &front_handler,
	    .drained = on_drained,
	    .ctx = ge};

	ge->front = hf_new(&options);
	if (ge->front == NULL)
		return ERR_IO;
	if (s->ready_listen.host[0] == '\0')
		return 0;
	options.host = s->ready_listen.host;
	options.port = s->ready_listen.port;
	options.connections_max = READY_CONNECTIONS_MAX;
	options.handler = &ready_handler;
	options.drained = NULL;
	ge->ready = hf_new(&options);
	return ge->ready != NULL ? 0 : ERR_IO;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct ge *ge = gw->entry;

	if (ge == NULL)
		return;
	gw->entry = NULL;
	loop_cancel(ge->compile);
	loop_cancel(ge->retry);
	hf_free(ge->ready);
	hf_free(ge->front);
	while (ge->open != NULL)
		gx_drop(ge->open);
	hu_free(ge->client);
	pl_free(ge->pool);
	se_free(ge->sessions);
	su_free(ge->suspects);
	ev_free(ge->outcomes);
	while (ge->services != NULL) {
		struct ge_service *v = ge->services;

		ge->services = v->next;
		alloc_free(gw->alloc, v);
	}
	ge_table_release(ge->table);
	alloc_free(gw->alloc, ge);
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct ge *ge;
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
	struct su_options suspects = {.alloc = gw->alloc, .proved = note_crash};

	if (gw->settings->listen.host[0] == '\0')
		return 0;
	ge = alloc_zero(gw->alloc, 1, sizeof(*ge));
	ge->gw = gw;
	suspects.ctx = ge;
	ge->started_us = loop_now_us(gw->loop);
	rng_init(&ge->rng, rng_system_seed());
	make_series(ge);
	client.ctx = ge;
	ge->client = hu_new(&client);
	ge->pool = pl_new(&pool);
	ge->suspects = su_new(&suspects);
	ge->outcomes = ev_new(gw->alloc);
	ge->sessions =
	    se_new(gw->alloc, (int64_t)gw->settings->session_ms * 1000);
	gw->entry = ge;
	if (open_servers(ge) != 0) {
		stop(gw);
		return ERR_IO;
	}
	rg_since(gw->registry, 0, take_known, ge);
	ge_orders_changed(ge);
	return 0;
}

struct sup_child_spec
gw_child_entry(struct gw *gw)
{
	return (struct sup_child_spec){"entry", start, stop, gw};
}
