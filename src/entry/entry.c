#include "entry/entry.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "config/compile.h"
#include "entry/answer.h"
#include "entry/flight.h"
#include "entry/request.h"

/*
 * The entry child.  A caller's request becomes a flight (entry/flight.h); the
 * router's actions on it are carried out in perform().  Events that arise
 * while a step is carried out wait in a queue, so that steps never nest.
 */

enum {
	ENTRY_TICK_US = 500000,
	ENTRY_HEADER_MAX_BYTES = 8 * 1024,
	ENTRY_BODY_TIMEOUT_MS = 10000,
	ENTRY_CONNECTIONS_MAX = 12000,
	ENTRY_CONNECT_TIMEOUT_MS = 1000,
	ENTRY_IDLE_CONNECTIONS = 1024,
	ENTRY_SERVERS_MAX = 256,
	ENTRY_SESSIONS_MAX = 65536,
	ENTRY_RETRY_MS = 1000,
	US_PER_S = 1000000,
	HTTP_OK = 200,
	HTTP_NO_CONTENT = 204
};

static const char service_prefix[] = "/v1/services/";

/* Returns the name of a version, "" for none. */
const char *
entry_version_name(const struct entry *entry, uint16_t version)
{
	return entry->cfg != NULL && version < entry->cfg->version_count
		   ? entry->cfg->versions[version].name
		   : "";
}

/* Logs a decision, and keeps its line for celeryfordctl explain. */
void
entry_note(struct entry *entry, const struct flight *f,
    const struct cf_action *action, const char *what, const char *choice)
{
	char *line = entry->explain[entry->explain_next++ % EXPLAIN_LINES];

	snprintf(line, EXPLAIN_LINE_BYTES,
	    "request=%s workspace=%s attempt=%u candidates=%u choice=%s "
	    "version=%s reason=%s",
	    f->name, entry->cfg->workspaces[f->request.workspace].name,
	    action->attempt, action->candidates, choice,
	    entry_version_name(entry, action->version),
	    cf_reason_name(action->reason));
	log_event(LOG_LEVEL_INFO, what, "%s", line);
}

/* Counts a refusal by its kind. */
void
entry_count_error(struct entry *entry, int error)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "kind=\"%s\"", err_name(error));
	metrics_get(entry->options.metrics, METRICS_COUNTER,
	    "celeryford_refusals_total", labels)
	    ->value++;
}

static void
claim(struct flight *f)
{
	const struct entry_options *options = &f->entry->options;
	struct entry_claim claim = {f->id,
	    f->entry->cfg->workspaces[f->request.workspace].name, f->key};

	options->ports->claim(options->ctx, &claim);
}

static void
on_wake(void *ctx)
{
	struct entry *entry = ctx;
	struct cf_event event = {.kind = CF_EV_WAKE};

	entry->wake = NULL;
	entry_event(entry, &event);
}

static void
set_wake(struct entry *entry, int64_t at_us)
{
	if (entry->wake != NULL && entry->wake_us <= at_us)
		return;
	loop_cancel(entry->wake);
	entry->wake_us = at_us;
	entry->wake = loop_after(entry->options.loop,
	    at_us - loop_now_us(entry->options.loop), on_wake, entry);
}

static void
perform_on_flight(struct flight *f, const struct cf_action *action)
{
	switch (action->kind) {
	case CF_ACT_CLAIM:
		claim(f);
		break;
	case CF_ACT_DISPATCH:
		flight_dispatch(f, action);
		break;
	case CF_ACT_FORWARD:
		flight_forward(f, action);
		break;
	case CF_ACT_CANCEL:
		flight_cancel(f, action->attempt);
		break;
	case CF_ACT_ANSWER:
		flight_answer(f, action);
		break;
	case CF_ACT_REFUSE:
		flight_refuse(f, action);
		break;
	default:
		break;
	}
}

static void
perform(struct entry *entry, const struct cf_action *action)
{
	struct flight *f;

	switch (action->kind) {
	case CF_ACT_WAKE:
		set_wake(entry, action->at_us);
		return;
	case CF_ACT_BIND:
	case CF_ACT_CRASH_MARK:
	case CF_ACT_CREDIT_ASK:
	case CF_ACT_CREDIT_GIVE:
	case CF_ACT_STOP_VERSION:
		entry->options.ports->spread(entry->options.ctx, action);
		return;
	default:
		f = flight_find(entry, action->request);
		if (f != NULL)
			perform_on_flight(f, action);
	}
}

static void
enqueue(struct entry *entry, const struct cf_event *event)
{
	if (entry->queued == entry->queue_size) {
		entry->queue_size =
		    entry->queue_size > 0 ? entry->queue_size * 2 : 64;
		entry->queue = alloc_resize(entry->options.alloc, entry->queue,
		    entry->queue_size * sizeof(*entry->queue));
	}
	entry->queue[entry->queued++] = *event;
}

static void
step(struct entry *entry, const struct cf_event *event)
{
	entry->actions->count = 0;
	cf_router_step(entry->router, loop_now_us(entry->options.loop), event,
	    entry->actions);
	for (size_t i = 0; i < entry->actions->count; i++)
		perform(entry, &entry->actions->items[i]);
}

/* Hands an event to the router and carries out what it asks for. */
void
entry_event(struct entry *entry, const struct cf_event *event)
{
	if (entry->router == NULL)
		return;
	if (entry->stepping) {
		enqueue(entry, event);
		return;
	}
	entry->stepping = true;
	step(entry, event);
	for (size_t i = 0; i < entry->queued; i++) {
		struct cf_event next = entry->queue[i];

		step(entry, &next);
	}
	entry->queued = 0;
	entry->stepping = false;
}

static void
refuse_early(
    struct entry *entry, struct hs_exchange *x, int error, const char *param)
{
	struct answer_error answer = {.error = error,
	    .run_state = ERR_NOT_RUN,
	    .retry_after_ms = ENTRY_RETRY_MS,
	    .param = param};

	entry_count_error(entry, error);
	answer_error(x, &answer);
}

/* A request that an instance of another data centre hands over. */
static bool
is_forwarded(struct entry *entry, struct hs_exchange *x, struct flight *f)
{
	const char *id = hs_header(x, "Celeryford-Request");
	const char *tag = hs_header(x, "Celeryford-Forwarded");
	char expected[ENTRY_TAG_BYTES];

	if (id == NULL || tag == NULL || strlen(id) >= sizeof(f->name) ||
	    strlen(tag) != ENTRY_TAG_BYTES - 1)
		return false;
	entry->options.ports->forward_tag(entry->options.ctx, id, expected);
	if (sodium_memcmp(expected, tag, ENTRY_TAG_BYTES - 1) != 0)
		return false;
	snprintf(f->name, sizeof(f->name), "%s", id);
	return true;
}

static void
take_request(
    struct entry *entry, struct hs_exchange *x, struct request_parse *parse)
{
	struct cf_event event = {.kind = CF_EV_REQUEST};
	struct flight *f = flight_new(entry, x);

	if (f == NULL) {
		json_decref(parse->json);
		refuse_early(entry, x, ERR_NO_CAPACITY, NULL);
		return;
	}
	hs_set_data(x, f);
	f->json = parse->json;
	/* A call that must not be repeated may outlive its caller. */
	if (parse->out.kind == CF_SERVICE || parse->out.once)
		buf_add(&f->body, hs_body(x)->data, hs_body(x)->len);
	if (parse->out.session != 0)
		snprintf(f->session, sizeof(f->session), "%s@%" PRIu64,
		    parse->session, parse->out.session_birth);
	f->request = parse->out;
	f->request.id = f->id;
	f->request.forwarded = is_forwarded(entry, x, f);
	/* A key of our own says when it was born, so that it can expire. */
	if (f->request.once && parse->key != NULL)
		snprintf(f->key, sizeof(f->key), "%s", parse->key);
	else if (f->request.once)
		snprintf(f->key, sizeof(f->key), "%010" PRId64 "-%s",
		    clock_wall_us() / US_PER_S, f->name);
	f->routed = true;
	entry->requests->value++;
	event.u.request = f->request;
	entry_event(entry, &event);
}

static int
check_open(const struct entry *entry)
{
	if (entry->draining)
		return ERR_SHUTDOWN;
	return entry->router != NULL ? 0 : ERR_ISOLATED;
}

static void
on_chat(struct entry *entry, struct hs_exchange *x)
{
	struct request_parse parse;
	int error = check_open(entry);

	if (error == 0)
		error = request_parse_chat(
		    x, entry->cfg, loop_now_us(entry->options.loop), &parse);
	else
		memset(&parse, 0, sizeof(parse));
	if (error == 0) {
		take_request(entry, x, &parse);
		return;
	}
	json_decref(parse.json);
	refuse_early(entry, x, error, parse.param);
}

static void
on_service(struct entry *entry, struct hs_exchange *x)
{
	struct request_parse parse;
	int error = check_open(entry);

	if (error == 0)
		error = request_parse_service(
		    x, entry->cfg, loop_now_us(entry->options.loop), &parse);
	else
		memset(&parse, 0, sizeof(parse));
	if (error == 0)
		take_request(entry, x, &parse);
	else
		refuse_early(entry, x, error, parse.param);
}

static void
answer_models(struct hs_exchange *x, const struct cfg *cfg, int workspace)
{
	json_t *list = json_array();
	json_t *root;
	char *text;

	for (uint16_t v = 0; v < cfg->version_count; v++) {
		const struct cfg_version *version = &cfg->versions[v];

		if (!version->present || version->state == CFG_WITHDRAWN ||
		    (cfg->workspaces[workspace].versions >> v & 1) == 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s}", "id", version->name, "object",
			"model", "owned_by", cfg->models[version->model].name));
	}
	root = json_pack("{s:s,s:o}", "object", "list", "data", list);
	text = json_dumps(root, JSON_COMPACT);
	answer_json(x, HTTP_OK, text, strlen(text));
	free(text);
	json_decref(root);
}

static void
on_models(struct entry *entry, struct hs_exchange *x)
{
	int workspace;

	if (entry->cfg == NULL) {
		refuse_early(entry, x, ERR_ISOLATED, NULL);
		return;
	}
	workspace = request_workspace(x, entry->cfg);
	if (workspace < 0)
		refuse_early(entry, x, workspace, "Authorization");
	else
		answer_models(x, entry->cfg, workspace);
}

static void
tell_cache(struct entry *entry, uint16_t server, const struct server_news *news)
{
	for (uint8_t i = 0; i < news->cache_count; i++) {
		struct cf_event event = {.kind = CF_EV_CACHE};

		event.u.cache.server = server;
		event.u.cache.sequence = news->cache[i].sequence;
		event.u.cache.prefix = news->cache[i].prefix;
		event.u.cache.stored = news->cache[i].stored;
		entry_event(entry, &event);
	}
}

/*
 * Takes in what a server says of itself, heard here or by another instance.
 * Returns 0, or the error of servers_take().
 */
int
entry_announced(struct entry *entry, const struct server_news *news)
{
	struct cf_event event = {.kind = CF_EV_ANNOUNCE};
	int index;

	if (entry->cfg == NULL)
		return ERR_ISOLATED;
	index = servers_take(
	    entry->servers, news, entry->cfg, loop_now_us(entry->options.loop));
	if (index < 0)
		return index;
	event.u.announce = servers_at(entry->servers, (uint16_t)index)->last;
	entry->options.ports->announced(entry->options.ctx, &event.u.announce);
	entry_event(entry, &event);
	tell_cache(entry, (uint16_t)index, news);
	return 0;
}

static void
on_announce(struct entry *entry, struct hs_exchange *x)
{
	static struct server_news news;
	const char *param = NULL;
	int error =
	    servers_parse(buf_text(hs_body(x)), hs_body(x)->len, &news, &param);

	if (error == 0 &&
	    strcmp(news.data_centre, entry->options.data_centre) != 0) {
		param = "data_centre";
		error = ERR_FORBIDDEN;
	}
	if (error == 0)
		error = entry_announced(entry, &news);
	if (error != 0) {
		refuse_early(entry, x, error, param);
		return;
	}
	entry->options.ports->heard(entry->options.ctx, &news);
	hs_answer(x, HTTP_NO_CONTENT, NULL, 0, "", 0);
}

static int
read_rating(const struct entry *entry, const json_t *root,
    struct cf_rating *rating, const char **param)
{
	const char *version =
	    json_string_value(json_object_get(root, "version"));
	const char *workspace =
	    json_string_value(json_object_get(root, "workspace"));
	int found =
	    version != NULL ? cfg_find_version(entry->cfg, version) : -1;

	*param = "version";
	if (found < 0)
		return ERR_NOT_FOUND;
	rating->version = (uint16_t)found;
	*param = "workspace";
	if (workspace == NULL)
		return ERR_MALFORMED;
	for (uint16_t i = 0; i < entry->cfg->workspace_count; i++) {
		if (strcmp(entry->cfg->workspaces[i].name, workspace) != 0)
			continue;
		rating->workspace = i;
		rating->task_class = (uint16_t)json_integer_value(
		    json_object_get(root, "task_class"));
		rating->place = (enum cf_place)json_integer_value(
		    json_object_get(root, "place"));
		if (rating->place > CF_ESCALATED)
			rating->place = CF_ALONE;
		rating->passed = json_is_true(json_object_get(root, "passed"));
		return 0;
	}
	return ERR_NOT_FOUND;
}

static void
on_rating(struct entry *entry, struct hs_exchange *x)
{
	struct cf_event event = {.kind = CF_EV_RATING};
	json_t *root =
	    json_loadb(buf_text(hs_body(x)), hs_body(x)->len, 0, NULL);
	const char *param = "body";
	int error = ERR_MALFORMED;

	if (entry->cfg == NULL)
		error = ERR_ISOLATED;
	else if (json_is_object(root))
		error = read_rating(entry, root, &event.u.rating, &param);
	json_decref(root);
	if (error != 0) {
		refuse_early(entry, x, error, param);
		return;
	}
	entry_event(entry, &event);
	entry->options.ports->rated(entry->options.ctx, &event.u.rating);
	hs_answer(x, HTTP_NO_CONTENT, NULL, 0, "", 0);
}

static const struct {
	const char *method;
	const char *path;
	void (*handle)(struct entry *entry, struct hs_exchange *x);
} entry_routes[] = {
    {"POST", "/v1/chat/completions", on_chat},
    {"GET", "/v1/models", on_models},
    {"POST", "/v1/announce", on_announce},
    {"POST", "/v1/ratings", on_rating},
};

static void
on_request(void *ctx, struct hs_exchange *x)
{
	struct entry *entry = ctx;
	int error = ERR_NOT_FOUND;

	if (strncmp(hs_path(x), service_prefix, sizeof(service_prefix) - 1) ==
	    0) {
		on_service(entry, x);
		return;
	}
	for (size_t i = 0; i < sizeof(entry_routes) / sizeof(*entry_routes);
	     i++) {
		if (strcmp(hs_path(x), entry_routes[i].path) != 0)
			continue;
		if (strcmp(hs_method(x), entry_routes[i].method) == 0) {
			entry_routes[i].handle(entry, x);
			return;
		}
		error = ERR_METHOD;
	}
	refuse_early(entry, x, error, "path");
}

static void
on_gone(void *ctx, struct hs_exchange *x)
{
	struct flight *f = hs_data(x);
	struct cf_event event = {.kind = CF_EV_CALLER_GONE};

	(void)ctx;
	if (f == NULL)
		return;
	f->x = NULL;
	if (!f->routed)
		return;
	event.u.caller_gone.request = f->id;
	entry_event(f->entry, &event);
	f = flight_find(f->entry, event.u.caller_gone.request);
	/* A call that must not be repeated goes on to its outcome. */
	if (f != NULL && f->x == NULL && !f->request.once && f->waiting == 0)
		flight_free(f);
}

static void
on_drained(void *ctx, struct hs_exchange *x)
{
	struct flight *f = hs_data(x);

	(void)ctx;
	if (f != NULL && f->streaming_from >= 0 &&
	    f->attempts[f->streaming_from].attempt != NULL)
		attempt_pause(f->attempts[f->streaming_from].attempt, false);
}

static void
on_refused(void *ctx, struct hs_exchange *x, int error)
{
	refuse_early(ctx, x, error, NULL);
}

static const struct hs_handler entry_handler = {
    on_request, on_gone, on_drained, on_refused};

static void
on_tick(void *ctx)
{
	struct entry *entry = ctx;
	struct cf_event event = {.kind = CF_EV_SERVER_GONE};
	int index;

	while ((index = servers_expire(
		    entry->servers, loop_now_us(entry->options.loop))) >= 0) {
		log_event(LOG_LEVEL_WARN, "server_silent", "server=%s",
		    servers_at(entry->servers, (uint16_t)index)->name);
		event.u.gone.server = (uint16_t)index;
		event.u.gone.crashed = false;
		entry_event(entry, &event);
	}
	entry->tick =
	    loop_after(entry->options.loop, ENTRY_TICK_US, on_tick, entry);
}

static void
make_series(struct entry *entry)
{
	struct metrics *m = entry->options.metrics;

	entry->requests =
	    metrics_get(m, METRICS_COUNTER, "celeryford_requests_total", "");
	entry->answers =
	    metrics_get(m, METRICS_COUNTER, "celeryford_answers_total", "");
	entry->dispatches =
	    metrics_get(m, METRICS_COUNTER, "celeryford_dispatches_total", "");
	entry->tokens = metrics_get(
	    m, METRICS_COUNTER, "celeryford_output_tokens_total", "");
	entry->first_token = metrics_get(
	    m, METRICS_HISTOGRAM, "celeryford_first_token_seconds", "");
	entry->whole =
	    metrics_get(m, METRICS_HISTOGRAM, "celeryford_answer_seconds", "");
}

static void
make_tables(struct entry *entry)
{
	const struct alloc *alloc = entry->options.alloc;

	entry->actions = alloc_zero(alloc, 1, sizeof(*entry->actions));
	entry->flights =
	    alloc_zero(alloc, FLIGHTS_MAX, sizeof(struct flight *));
	entry->free_ids =
	    alloc_zero(alloc, FLIGHTS_MAX, sizeof(*entry->free_ids));
	for (uint32_t i = 0; i < FLIGHTS_MAX; i++)
		entry->free_ids[i] = FLIGHTS_MAX - 1 - i;
	entry->free_count = FLIGHTS_MAX;
	entry->explain =
	    alloc_zero(alloc, EXPLAIN_LINES, sizeof(*entry->explain));
	entry->servers = servers_new(alloc, ENTRY_SERVERS_MAX);
}

static struct hs *
start_server(struct entry *entry)
{
	struct hs_options options = {.alloc = entry->options.alloc,
	    .loop = entry->options.loop,
	    .host = entry->options.host,
	    .port = entry->options.port,
	    .body_max_bytes = entry->options.body_max_bytes,
	    .header_max_bytes = ENTRY_HEADER_MAX_BYTES,
	    .body_timeout_ms = ENTRY_BODY_TIMEOUT_MS,
	    .connections_max = ENTRY_CONNECTIONS_MAX,
	    .handler = &entry_handler,
	    .ctx = entry};

	return hs_new(&options);
}

/* Starts listening for callers; NULL if the address can't be used. */
struct entry *
entry_new(const struct entry_options *options)
{
	struct entry *entry = alloc_zero(options->alloc, 1, sizeof(*entry));
	struct hc_options client = {.alloc = options->alloc,
	    .loop = options->loop,
	    .connect_timeout_ms = ENTRY_CONNECT_TIMEOUT_MS,
	    .idle_connections_max = ENTRY_IDLE_CONNECTIONS};

	entry->options = *options;
	entry->data_centre = CFG_NONE;
	make_tables(entry);
	make_series(entry);
	entry->client = hc_new(&client);
	entry->tick = loop_after(options->loop, ENTRY_TICK_US, on_tick, entry);
	entry->server = start_server(entry);
	if (entry->server == NULL) {
		entry_free(entry);
		return NULL;
	}
	return entry;
}

/* Ends the child; requests still open end as if their callers had gone. */
void
entry_free(struct entry *entry)
{
	const struct alloc *alloc;

	if (entry == NULL)
		return;
	alloc = entry->options.alloc;
	entry->stepping = true; /* nothing is started any more */
	hs_free(entry->server);
	for (uint32_t i = 0; i < FLIGHTS_MAX; i++) {
		if (entry->flights[i] != NULL)
			flight_free(entry->flights[i]);
	}
	hc_free(entry->client);
	loop_cancel(entry->wake);
	loop_cancel(entry->tick);
	cf_router_free(entry->router);
	servers_free(entry->servers);
	alloc_free(alloc, entry->queue);
	alloc_free(alloc, entry->explain);
	alloc_free(alloc, entry->free_ids);
	alloc_free(alloc, entry->flights);
	alloc_free(alloc, entry->actions);
	alloc_free(alloc, entry);
}

static struct cf_router *
make_router(const struct entry *entry, uint16_t data_centre)
{
	struct cf_router_options options = {.alloc = entry->options.alloc,
	    .seed = entry->options.seed,
	    .data_centre = data_centre,
	    .max_servers = ENTRY_SERVERS_MAX,
	    .max_requests = FLIGHTS_MAX,
	    .max_sessions = ENTRY_SESSIONS_MAX};

	return cf_router_new(&options);
}

/*
 * Puts a compiled configuration in force; it must outlive the next call.
 * Returns 0, or ERR_INVALID if it does not name this data centre.
 */
int
entry_configure(struct entry *entry, const struct cfg *cfg)
{
	struct cf_event event = {.kind = CF_EV_CONFIG};
	int dc = cfg_find_data_centre(cfg, entry->options.data_centre);

	if (dc < 0)
		return ERR_INVALID;
	if (entry->router == NULL) {
		entry->data_centre = (uint16_t)dc;
		entry->router = make_router(entry, (uint16_t)dc);
	}
	entry->cfg = cfg;
	servers_remask(entry->servers, cfg);
	event.u.config = cfg;
	entry_event(entry, &event);
	for (uint16_t i = 0; i < servers_count(entry->servers); i++) {
		const struct server *server = servers_at(entry->servers, i);
		struct cf_event again = {.kind = CF_EV_ANNOUNCE};

		again.u.announce = server->last;
		if (server->present)
			entry_event(entry, &again);
	}
	return 0;
}

/* The claim of a request ended: 0 granted, or the error to refuse with. */
void
entry_claimed(struct entry *entry, uint32_t request, int error)
{
	struct flight *f = flight_find(entry, request);
	struct cf_event event = {.kind = CF_EV_CLAIMED};

	if (f == NULL)
		return;
	f->claimed = error == 0;
	event.u.claimed.request = request;
	event.u.claimed.error = error;
	entry_event(entry, &event);
}

/* The attempt marker of a request is durable, or could not be made so. */
void
entry_marked(struct entry *entry, uint32_t request, int error)
{
	struct flight *f = flight_find(entry, request);

	if (f != NULL)
		flight_marked(f, error);
}

/* Takes the evidence on versions that has gathered since the last call. */
size_t
entry_digests(struct entry *entry, struct cf_digest *out, size_t max)
{
	return entry->router != NULL
		   ? cf_router_digests(entry->router, out, max)
		   : 0;
}

/* Returns the name of a server by its index. */
const char *
entry_server_name(const struct entry *entry, uint16_t server)
{
	return servers_at(entry->servers, server)->name;
}

/* Returns the index of a server by the hash of its name, or -1. */
int
entry_server_by_hash(const struct entry *entry, uint32_t hash)
{
	for (uint16_t i = 0; i < servers_count(entry->servers); i++) {
		const struct server *s = servers_at(entry->servers, i);

		if (s->present && XXH32(s->name, strlen(s->name), 0) == hash)
			return i;
	}
	return -1;
}

/*
 * Adds up this instance's share of the spare slots of each version: servers
 * report their load to every instance, so the share is what the report leaves
 * less what this instance has sent.
 */
void
entry_spare(struct entry *entry, uint16_t *spare, uint16_t count)
{
	for (uint16_t i = 0; i < servers_count(entry->servers); i++) {
		const struct server *s = servers_at(entry->servers, i);
		int left = s->last.slots - s->last.running - s->last.queued;

		if (!s->present || s->last.leaving || left <= 0 ||
		    s->last.warmth != CF_WARM)
			continue;
		for (uint16_t v = 0; v < count; v++) {
			if (s->last.versions >> v & 1)
				spare[v] = (uint16_t)(spare[v] + left);
		}
	}
}

/* A bill or an outcome of a request is durable. */
void
entry_settled(struct entry *entry, uint32_t request)
{
	struct flight *f = flight_find(entry, request);

	if (f != NULL)
		flight_durable(f);
}

/* Refuses new requests from now on, and closes the listening socket. */
void
entry_drain(struct entry *entry)
{
	entry->draining = true;
	hs_stop_accepting(entry->server);
}

/* Returns how many requests are open. */
uint32_t
entry_open_requests(const struct entry *entry)
{
	return FLIGHTS_MAX - entry->free_count;
}

/* Appends a JSON array of the backend servers known. */
void
entry_status(struct entry *entry, struct buf *out)
{
	json_t *list = json_array();
	char *text;

	for (uint16_t i = 0; i < servers_count(entry->servers); i++) {
		const struct server *s = servers_at(entry->servers, i);
		json_t *versions = json_array();

		if (!s->present) {
			json_decref(versions);
			continue;
		}
		for (uint8_t v = 0; v < s->version_count; v++)
			json_array_append_new(
			    versions, json_string(s->versions[v]));
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:o,s:i,s:i,s:i,s:b}", "server",
			s->name, "address", s->address, "warmth",
			s->last.warmth == CF_WARM ? "warm" : "cold", "versions",
			versions, "slots", s->last.slots, "running",
			s->last.running, "in_flight",
			entry->router != NULL
			    ? cf_router_in_flight(entry->router, i)
			    : 0,
			"leaving", s->last.leaving));
	}
	text = json_dumps(list, JSON_COMPACT);
	buf_adds(out, text);
	free(text);
	json_decref(list);
}

/* Appends the decision lines kept for a request, one each; false: none. */
bool
entry_explain(struct entry *entry, const char *id, struct buf *out)
{
	size_t before = out->len;
	char start[FLIGHT_ID_BYTES + 16];

	snprintf(start, sizeof(start), "request=%s ", id);
	for (uint32_t i = 0; i < EXPLAIN_LINES; i++) {
		const char *line =
		    entry->explain[(entry->explain_next + i) % EXPLAIN_LINES];

		if (strncmp(line, start, strlen(start)) == 0)
			buf_addf(out, "%s\n", line);
	}
	return out->len > before;
}
