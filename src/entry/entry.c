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
#include "entry/entry_request.h"
#include "entry/request.h"

/*
 * The entry child process.  Each caller's request becomes a struct
 * entry_request, and perform_action() carries out the router's actions on it.
 * Events raised while a router step is being performed are queued, so that
 * steps never nest.
 */

enum {
	ENTRY_TICK_US = 500000,
	ENTRY_HEADER_MAX_BYTES = 8 * 1024,
	ENTRY_BODY_TIMEOUT_MS = 10000,
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

/* Returns the name of a version, or "" if the index is unknown. */
const char *
entry_version_name(const struct entry *entry, uint16_t version)
{
	return entry->cfg != NULL && version < entry->cfg->version_count
		   ? entry->cfg->versions[version].name
		   : "";
}

/*
 * Logs a routing decision and keeps its line for celeryfordctl explain.  what
 * is the event name of the log line, choice the server, data centre or error
 * chosen.
 */
void
entry_log_decision(struct entry *entry, const struct entry_request *req,
    const struct cf_action *action, const char *what, const char *choice)
{
	char *line = entry->decision_lines[entry->next_decision_line++ %
					   DECISION_LINES_MAX];

	snprintf(line, DECISION_LINE_BYTES,
	    "request=%s workspace=%s attempt=%u candidates=%u choice=%s "
	    "version=%s reason=%s",
	    req->request_id,
	    entry->cfg->workspaces[req->request.workspace].name,
	    action->attempt, action->candidates, choice,
	    entry_version_name(entry, action->version),
	    cf_reason_name(action->reason));
	log_event(LOG_LEVEL_INFO, what, "%s", line);
}

/* Counts a refusal in celeryford_refusals_total by its error kind. */
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
claim(struct entry_request *req)
{
	const struct entry_options *options = &req->entry->options;
	struct entry_claim claim = {req->index,
	    req->entry->cfg->workspaces[req->request.workspace].name, req->key};

	options->ports->claim(options->ctx, &claim);
}

static void
on_wake(void *ctx)
{
	struct entry *entry = ctx;
	struct cf_event event = {.kind = CF_EV_WAKE};

	entry->wake_timer = NULL;
	entry_handle_event(entry, &event);
}

static void
schedule_wake(struct entry *entry, int64_t at_us)
{
	if (entry->wake_timer != NULL && entry->wake_us <= at_us)
		return;
	loop_cancel(entry->wake_timer);
	entry->wake_us = at_us;
	entry->wake_timer = loop_after(entry->options.loop,
	    at_us - loop_now_us(entry->options.loop), on_wake, entry);
}

static void
perform_for_request(struct entry_request *req, const struct cf_action *action)
{
	switch (action->kind) {
	case CF_ACT_CLAIM:
		claim(req);
		break;
	case CF_ACT_DISPATCH:
		entry_request_dispatch(req, action);
		break;
	case CF_ACT_FORWARD:
		entry_request_forward(req, action);
		break;
	case CF_ACT_CANCEL:
		entry_request_cancel(req, action->attempt);
		break;
	case CF_ACT_ANSWER:
		entry_request_answer(req, action);
		break;
	case CF_ACT_REFUSE:
		entry_request_refuse(req, action);
		break;
	default:
		break;
	}
}

static void
perform_action(struct entry *entry, const struct cf_action *action)
{
	struct entry_request *req;

	switch (action->kind) {
	case CF_ACT_WAKE:
		schedule_wake(entry, action->at_us);
		return;
	case CF_ACT_BIND:
	case CF_ACT_CRASH_MARK:
	case CF_ACT_CREDIT_ASK:
	case CF_ACT_CREDIT_GIVE:
	case CF_ACT_STOP_VERSION:
		entry->options.ports->spread(entry->options.ctx, action);
		return;
	default:
		req = entry_request_find(entry, action->request);
		if (req != NULL)
			perform_for_request(req, action);
	}
}

static void
defer_event(struct entry *entry, const struct cf_event *event)
{
	if (entry->deferred_count == entry->deferred_capacity) {
		entry->deferred_capacity = entry->deferred_capacity > 0
					       ? entry->deferred_capacity * 2
					       : 64;
		entry->deferred_events = alloc_resize(entry->options.alloc,
		    entry->deferred_events,
		    entry->deferred_capacity * sizeof(*entry->deferred_events));
	}
	entry->deferred_events[entry->deferred_count++] = *event;
}

static void
step_router(struct entry *entry, const struct cf_event *event)
{
	entry->actions->count = 0;
	cf_router_step(entry->router, loop_now_us(entry->options.loop), event,
	    entry->actions);
	for (size_t i = 0; i < entry->actions->count; i++)
		perform_action(entry, &entry->actions->items[i]);
}

/*
 * Passes an event to the router and performs the actions that it returns.
 * Called during a router step, queues the event until that step has ended.
 */
void
entry_handle_event(struct entry *entry, const struct cf_event *event)
{
	if (entry->router == NULL)
		return;
	if (entry->in_router_step) {
		defer_event(entry, event);
		return;
	}
	entry->in_router_step = true;
	step_router(entry, event);
	for (size_t i = 0; i < entry->deferred_count; i++) {
		struct cf_event next = entry->deferred_events[i];

		step_router(entry, &next);
	}
	entry->deferred_count = 0;
	entry->in_router_step = false;
}

/* Answers a request with an error before the router has seen it. */
static void
refuse_unrouted(struct entry *entry, struct http_server_exchange *x, int error,
    const char *param)
{
	struct answer_error answer = {.error = error,
	    .run_state = ERR_NOT_RUN,
	    .retry_after_ms = ENTRY_RETRY_MS,
	    .param = param};

	entry_count_error(entry, error);
	answer_error(x, &answer);
}

/*
 * Returns whether the request was forwarded by an instance of another data
 * centre, proven by its authentication tag; if so, adopts the request id given
 * there.
 */
static bool
verify_forward_tag(struct entry *entry, struct http_server_exchange *x,
    struct entry_request *req)
{
	const char *id = http_server_header(x, "Celeryford-Request");
	const char *tag = http_server_header(x, "Celeryford-Forwarded");
	char expected[ENTRY_TAG_BYTES];

	if (id == NULL || tag == NULL ||
	    strlen(id) >= sizeof(req->request_id) ||
	    strlen(tag) != ENTRY_TAG_BYTES - 1)
		return false;
	entry->options.ports->forward_tag(entry->options.ctx, id, expected);
	if (sodium_memcmp(expected, tag, ENTRY_TAG_BYTES - 1) != 0)
		return false;
	snprintf(req->request_id, sizeof(req->request_id), "%s", id);
	return true;
}

static void
accept_request(struct entry *entry, struct http_server_exchange *x,
    struct request_parse *parse)
{
	struct cf_event event = {.kind = CF_EV_REQUEST};
	struct entry_request *req = entry_request_new(entry, x);

	if (req == NULL) {
		json_decref(parse->json);
		refuse_unrouted(entry, x, ERR_NO_CAPACITY, NULL);
		return;
	}
	http_server_set_data(x, req);
	req->json = parse->json;
	/* A non-repeatable call runs on after its caller has left. */
	if (parse->out.kind == CF_SERVICE || parse->out.once)
		buf_add(&req->body, http_server_body(x)->data,
		    http_server_body(x)->len);
	if (parse->out.session != 0)
		snprintf(req->session, sizeof(req->session), "%s@%" PRIu64,
		    parse->session, parse->out.session_birth);
	req->request = parse->out;
	req->request.id = req->index;
	req->request.forwarded = verify_forward_tag(entry, x, req);
	/* A generated key starts with its creation time so that it expires. */
	if (req->request.once && parse->key != NULL)
		snprintf(req->key, sizeof(req->key), "%s", parse->key);
	else if (req->request.once)
		snprintf(req->key, sizeof(req->key), "%010" PRId64 "-%s",
		    clock_wall_us() / US_PER_S, req->request_id);
	req->in_router = true;
	entry->requests_total->value++;
	event.u.request = req->request;
	entry_handle_event(entry, &event);
}

/* Returns 0, ERR_SHUTDOWN, or ERR_ISOLATED before the first configuration. */
static int
check_accepting(const struct entry *entry)
{
	if (entry->draining)
		return ERR_SHUTDOWN;
	return entry->router != NULL ? 0 : ERR_ISOLATED;
}

static void
on_chat(struct entry *entry, struct http_server_exchange *x)
{
	struct request_parse parse;
	int error = check_accepting(entry);

	if (error == 0)
		error = request_parse_chat(
		    x, entry->cfg, loop_now_us(entry->options.loop), &parse);
	else
		memset(&parse, 0, sizeof(parse));
	if (error == 0) {
		accept_request(entry, x, &parse);
		return;
	}
	json_decref(parse.json);
	refuse_unrouted(entry, x, error, parse.param);
}

static void
on_service(struct entry *entry, struct http_server_exchange *x)
{
	struct request_parse parse;
	int error = check_accepting(entry);

	if (error == 0)
		error = request_parse_service(
		    x, entry->cfg, loop_now_us(entry->options.loop), &parse);
	else
		memset(&parse, 0, sizeof(parse));
	if (error == 0)
		accept_request(entry, x, &parse);
	else
		refuse_unrouted(entry, x, error, parse.param);
}

static void
answer_models(
    struct http_server_exchange *x, const struct cfg *cfg, int workspace)
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
on_models(struct entry *entry, struct http_server_exchange *x)
{
	int workspace;

	if (entry->cfg == NULL) {
		refuse_unrouted(entry, x, ERR_ISOLATED, NULL);
		return;
	}
	workspace = request_workspace(x, entry->cfg);
	if (workspace < 0)
		refuse_unrouted(entry, x, workspace, "Authorization");
	else
		answer_models(x, entry->cfg, workspace);
}

/* Passes the cache events of an announcement to the router. */
static void
report_cache_events(struct entry *entry, uint16_t server,
    const struct server_announcement *announcement)
{
	for (uint8_t i = 0; i < announcement->cache_count; i++) {
		struct cf_event event = {.kind = CF_EV_CACHE};

		event.u.cache.server = server;
		event.u.cache.sequence = announcement->cache[i].sequence;
		event.u.cache.prefix = announcement->cache[i].prefix;
		event.u.cache.stored = announcement->cache[i].stored;
		entry_handle_event(entry, &event);
	}
}

/*
 * Applies a server's announcement, received here or by another instance.
 * Returns 0, ERR_ISOLATED if there is no configuration yet, or the error of
 * servers_update().
 */
int
entry_apply_announcement(
    struct entry *entry, const struct server_announcement *announcement)
{
	struct cf_event event = {.kind = CF_EV_ANNOUNCE};
	int index;

	if (entry->cfg == NULL)
		return ERR_ISOLATED;
	index = servers_update(entry->servers, announcement, entry->cfg,
	    loop_now_us(entry->options.loop));
	if (index < 0)
		return index;
	event.u.announce = servers_at(entry->servers, (uint16_t)index)->last;
	entry->options.ports->announced(entry->options.ctx, &event.u.announce);
	entry_handle_event(entry, &event);
	report_cache_events(entry, (uint16_t)index, announcement);
	return 0;
}

static void
on_announce(struct entry *entry, struct http_server_exchange *x)
{
	static struct server_announcement announcement;
	const char *param = NULL;
	int error = servers_parse(buf_text(http_server_body(x)),
	    http_server_body(x)->len, &announcement, &param);

	if (error == 0 &&
	    strcmp(announcement.data_centre, entry->options.data_centre) != 0) {
		param = "data_centre";
		error = ERR_FORBIDDEN;
	}
	if (error == 0)
		error = entry_apply_announcement(entry, &announcement);
	if (error != 0) {
		refuse_unrouted(entry, x, error, param);
		return;
	}
	entry->options.ports->heard(entry->options.ctx, &announcement);
	http_server_answer(x, HTTP_NO_CONTENT, NULL, 0, "", 0);
}

static int
parse_rating(const struct entry *entry, const json_t *root,
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
on_rating(struct entry *entry, struct http_server_exchange *x)
{
	struct cf_event event = {.kind = CF_EV_RATING};
	json_t *root = json_loadb(
	    buf_text(http_server_body(x)), http_server_body(x)->len, 0, NULL);
	const char *param = "body";
	int error = ERR_MALFORMED;

	if (entry->cfg == NULL)
		error = ERR_ISOLATED;
	else if (json_is_object(root))
		error = parse_rating(entry, root, &event.u.rating, &param);
	json_decref(root);
	if (error != 0) {
		refuse_unrouted(entry, x, error, param);
		return;
	}
	entry_handle_event(entry, &event);
	entry->options.ports->rated(entry->options.ctx, &event.u.rating);
	http_server_answer(x, HTTP_NO_CONTENT, NULL, 0, "", 0);
}

static const struct {
	const char *method;
	const char *path;
	void (*handle)(struct entry *entry, struct http_server_exchange *x);
} entry_routes[] = {
    {"POST", "/v1/chat/completions", on_chat},
    {"GET", "/v1/models", on_models},
    {"POST", "/v1/announce", on_announce},
    {"POST", "/v1/ratings", on_rating},
};

static void
on_request(void *ctx, struct http_server_exchange *x)
{
	struct entry *entry = ctx;
	int error = ERR_NOT_FOUND;

	if (strncmp(http_server_path(x), service_prefix,
		sizeof(service_prefix) - 1) == 0) {
		on_service(entry, x);
		return;
	}
	for (size_t i = 0; i < sizeof(entry_routes) / sizeof(*entry_routes);
	     i++) {
		if (strcmp(http_server_path(x), entry_routes[i].path) != 0)
			continue;
		if (strcmp(http_server_method(x), entry_routes[i].method) ==
		    0) {
			entry_routes[i].handle(entry, x);
			return;
		}
		error = ERR_METHOD;
	}
	refuse_unrouted(entry, x, error, "path");
}

static void
on_caller_gone(void *ctx, struct http_server_exchange *x)
{
	struct entry_request *req = http_server_data(x);
	struct cf_event event = {.kind = CF_EV_CALLER_GONE};

	(void)ctx;
	if (req == NULL)
		return;
	req->x = NULL;
	if (!req->in_router)
		return;
	event.u.caller_gone.request = req->index;
	entry_handle_event(req->entry, &event);
	req = entry_request_find(req->entry, event.u.caller_gone.request);
	/* A non-repeatable call runs on, so that its outcome is recorded. */
	if (req != NULL && req->x == NULL && !req->request.once &&
	    req->pending_writes == 0)
		entry_request_abandon(req);
}

/* Resumes reading from the server once the caller's backlog is written. */
static void
on_caller_read(void *ctx, struct http_server_exchange *x)
{
	struct entry_request *req = http_server_data(x);

	(void)ctx;
	if (req != NULL && req->streaming_attempt >= 0 &&
	    req->attempts[req->streaming_attempt].attempt != NULL)
		attempt_pause(
		    req->attempts[req->streaming_attempt].attempt, false);
}

static void
on_invalid_request(void *ctx, struct http_server_exchange *x, int error)
{
	refuse_unrouted(ctx, x, error, NULL);
}

static const struct http_server_handler entry_handler = {
    on_request, on_caller_gone, on_caller_read, on_invalid_request};

/* Reports servers that have stopped announcing themselves as gone. */
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
		entry_handle_event(entry, &event);
	}
	entry->tick_timer =
	    loop_after(entry->options.loop, ENTRY_TICK_US, on_tick, entry);
}

static void
create_metrics(struct entry *entry)
{
	struct metrics *m = entry->options.metrics;

	entry->requests_total =
	    metrics_get(m, METRICS_COUNTER, "celeryford_requests_total", "");
	entry->answers_total =
	    metrics_get(m, METRICS_COUNTER, "celeryford_answers_total", "");
	entry->dispatches_total =
	    metrics_get(m, METRICS_COUNTER, "celeryford_dispatches_total", "");
	entry->output_tokens_total = metrics_get(
	    m, METRICS_COUNTER, "celeryford_output_tokens_total", "");
	entry->first_token_duration = metrics_get(
	    m, METRICS_HISTOGRAM, "celeryford_first_token_seconds", "");
	entry->answer_duration =
	    metrics_get(m, METRICS_HISTOGRAM, "celeryford_answer_seconds", "");
}

static void
create_tables(struct entry *entry)
{
	const struct alloc *alloc = entry->options.alloc;

	entry->actions = alloc_zero(alloc, 1, sizeof(*entry->actions));
	entry->requests_by_index = alloc_zero(
	    alloc, OPEN_REQUESTS_MAX, sizeof(struct entry_request *));
	entry->free_indexes =
	    alloc_zero(alloc, OPEN_REQUESTS_MAX, sizeof(*entry->free_indexes));
	for (uint32_t i = 0; i < OPEN_REQUESTS_MAX; i++)
		entry->free_indexes[i] = OPEN_REQUESTS_MAX - 1 - i;
	entry->free_index_count = OPEN_REQUESTS_MAX;
	entry->decision_lines = alloc_zero(
	    alloc, DECISION_LINES_MAX, sizeof(*entry->decision_lines));
	entry->servers = servers_new(alloc, ENTRY_SERVERS_MAX);
}

static struct http_server *
start_server(struct entry *entry)
{
	struct http_server_options options = {.alloc = entry->options.alloc,
	    .loop = entry->options.loop,
	    .host = entry->options.host,
	    .port = entry->options.port,
	    .body_max_bytes = entry->options.body_max_bytes,
	    .header_max_bytes = ENTRY_HEADER_MAX_BYTES,
	    .body_timeout_ms = ENTRY_BODY_TIMEOUT_MS,
	    .connections_max = entry->options.connections_max,
	    .bodies_max_bytes = entry->options.bodies_max_bytes,
	    .answers_max_bytes = entry->options.answers_max_bytes,
	    .handler = &entry_handler,
	    .ctx = entry};

	return http_server_new(&options);
}

/*
 * Creates the entry child and starts listening for callers.  Returns NULL if
 * it can't listen on the address.
 */
struct entry *
entry_new(const struct entry_options *options)
{
	struct entry *entry = alloc_zero(options->alloc, 1, sizeof(*entry));
	struct http_client_options client = {.alloc = options->alloc,
	    .loop = options->loop,
	    .connect_timeout_ms = ENTRY_CONNECT_TIMEOUT_MS,
	    .idle_connections_max = ENTRY_IDLE_CONNECTIONS};

	entry->options = *options;
	entry->answer_room.max_bytes = options->answers_max_bytes;
	entry->data_centre = CFG_NONE;
	create_tables(entry);
	create_metrics(entry);
	entry->client = http_client_new(&client);
	entry->tick_timer =
	    loop_after(options->loop, ENTRY_TICK_US, on_tick, entry);
	entry->server = start_server(entry);
	if (entry->server == NULL) {
		entry_free(entry);
		return NULL;
	}
	return entry;
}

/*
 * Releases everything.  Requests that are still open are dropped as if their
 * callers had disconnected.
 */
void
entry_free(struct entry *entry)
{
	const struct alloc *alloc;

	if (entry == NULL)
		return;
	alloc = entry->options.alloc;
	entry->in_router_step = true; /* queue events: start nothing new */
	http_server_free(entry->server);
	for (uint32_t i = 0; i < OPEN_REQUESTS_MAX; i++) {
		if (entry->requests_by_index[i] != NULL)
			entry_request_free(entry->requests_by_index[i]);
	}
	http_client_free(entry->client);
	loop_cancel(entry->wake_timer);
	loop_cancel(entry->tick_timer);
	cf_router_free(entry->router);
	servers_free(entry->servers);
	alloc_free(alloc, entry->deferred_events);
	alloc_free(alloc, entry->decision_lines);
	alloc_free(alloc, entry->free_indexes);
	alloc_free(alloc, entry->requests_by_index);
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
	    .max_requests = OPEN_REQUESTS_MAX,
	    .max_sessions = ENTRY_SESSIONS_MAX};

	return cf_router_new(&options);
}

/*
 * Applies a compiled configuration, which must stay valid until the next call
 * has returned, and repeats the known announcements to the router under it.
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
	servers_update_masks(entry->servers, cfg);
	event.u.config = cfg;
	entry_handle_event(entry, &event);
	for (uint16_t i = 0; i < servers_count(entry->servers); i++) {
		const struct server *server = servers_at(entry->servers, i);
		struct cf_event again = {.kind = CF_EV_ANNOUNCE};

		again.u.announce = server->last;
		if (server->present)
			entry_handle_event(entry, &again);
	}
	return 0;
}

/*
 * Reports the result of claiming a request's key.  error is 0 if the claim was
 * granted, else the error with which to refuse the request.
 */
void
entry_claim_done(struct entry *entry, uint32_t request, int error)
{
	struct entry_request *req = entry_request_find(entry, request);
	struct cf_event event = {.kind = CF_EV_CLAIMED};

	if (req == NULL)
		return;
	req->claimed = error == 0;
	event.u.claimed.request = request;
	event.u.claimed.error = error;
	entry_handle_event(entry, &event);
}

/* Reports that the attempt marker is durable, or why it is not (error). */
void
entry_marker_done(struct entry *entry, uint32_t request, int error)
{
	struct entry_request *req = entry_request_find(entry, request);

	if (req != NULL)
		entry_request_marker_done(req, error);
}

/*
 * Moves up to max digests of version outcomes, gathered since the last call,
 * into out.  Returns their number.
 */
size_t
entry_take_digests(struct entry *entry, struct cf_digest *out, size_t max)
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

/* Returns the index of the server whose name has this XXH32, or -1. */
int
entry_find_server_by_hash(const struct entry *entry, uint32_t hash)
{
	for (uint16_t i = 0; i < servers_count(entry->servers); i++) {
		const struct server *s = servers_at(entry->servers, i);

		if (s->present && XXH32(s->name, strlen(s->name), 0) == hash)
			return i;
	}
	return -1;
}

/*
 * Adds the spare slots of each warm server that isn't leaving to spare[v] for
 * each version v < count that it runs.  Spare slots are the announced slots
 * less the running and queued requests, which servers report to every instance.
 */
void
entry_add_spare_slots(struct entry *entry, uint16_t *spare, uint16_t count)
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

/* Reports that a request's bill or claim outcome is durable. */
void
entry_write_done(struct entry *entry, uint32_t request)
{
	struct entry_request *req = entry_request_find(entry, request);

	if (req != NULL)
		entry_request_write_done(req);
}

/* Refuses new requests from now on, and closes the listening socket. */
void
entry_drain(struct entry *entry)
{
	entry->draining = true;
	http_server_stop_accepting(entry->server);
}

/* Returns the number of open requests. */
uint32_t
entry_open_requests(const struct entry *entry)
{
	return OPEN_REQUESTS_MAX - entry->free_index_count;
}

/* Appends a JSON array of the backend servers that are present. */
void
entry_append_server_status(struct entry *entry, struct buf *out)
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

/*
 * Appends the decision lines kept for a request, oldest first.  Returns false
 * if there are none.
 */
bool
entry_append_decisions(struct entry *entry, const char *id, struct buf *out)
{
	size_t before = out->len;
	char start[REQUEST_ID_BYTES + 16];

	snprintf(start, sizeof(start), "request=%s ", id);
	for (uint32_t i = 0; i < DECISION_LINES_MAX; i++) {
		const char *line =
		    entry->decision_lines[(entry->next_decision_line + i) %
					  DECISION_LINES_MAX];

		if (strncmp(line, start, strlen(start)) == 0)
			buf_addf(out, "%s\n", line);
	}
	return out->len > before;
}
