#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"

enum {
	HTTP_CONNECTIONS_MAX = 8192
};

static const char *
http_header(struct MHD_Connection *connection, const char *name)
{
	return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/*
 * Returns the fault named by the Fake-Fault header, or else draws one with the
 * probabilities that the flags set.
 */
static enum fault
http_choose_fault(struct engine *engine, struct MHD_Connection *connection)
{
	static const char *const names[] = {
	    "none", "crash", "cut", "silent", "late", "cross"};
	const struct engine_options *o = &engine->options;
	const char *text = http_header(connection, "Fake-Fault");
	uint32_t draw_permille = rng_below(&engine->rng, 1000);
	int i;

	for (i = FAULT_CRASH; text != NULL && i <= FAULT_CROSS; i++)
		if (strcmp(text, names[i]) == 0)
			return (enum fault)i;
	if (draw_permille < o->late_permille)
		return FAULT_LATE;
	if (draw_permille < o->late_permille + o->cross_permille)
		return FAULT_CROSS;
	if (draw_permille <
	    o->late_permille + o->cross_permille + o->cut_permille)
		return FAULT_CUT;
	return FAULT_NONE;
}

/* Silences all open connections; connections accepted later still work. */
static void
http_silence_connections(struct engine *engine)
{
	struct conn *conn;

	for (conn = engine->conns; conn != NULL; conn = conn->next)
		conn->silent = true;
}

/*
 * Counts a call, reads its headers, and injects the faults that precede its
 * execution.
 */
static void
http_count_arrival(struct engine *engine, struct call *call)
{
	const struct engine_options *o = &engine->options;
	const char *text;

	engine->stats.requests++;
	if (engine->leaving_since_us != 0)
		engine->stats.after_leaving_us =
		    tool_loop_now_us() - engine->leaving_since_us;
	call->fault = http_choose_fault(engine, call->connection);
	text = http_header(call->connection, "Celeryford-Request");
	snprintf(call->id, sizeof(call->id), "%s", text == NULL ? "" : text);
	if (call->id[0] != '\0')
		stats_count_attempt(engine, call->id);
	text = http_header(call->connection, "Celeryford-Priority");
	call->priority = text == NULL ? 0 : atoi(text);
	if (call->fault == FAULT_CRASH)
		engine_crash(engine, "Fake-Fault");
	if (o->crash_on != NULL &&
	    strstr(buf_text(&call->body), o->crash_on) != NULL)
		engine_crash(engine, call->id);
	if (o->silent_after > 0 &&
	    engine->stats.requests == (uint64_t)o->silent_after)
		http_silence_connections(engine);
	if (call->fault == FAULT_SILENT)
		call->conn->silent = true;
}

static bool
http_known_service(const struct engine *engine, const char *path)
{
	const char *name = path + strlen("/v1/services/");
	size_t len;
	int i;

	for (i = 0; i < engine->options.services.count; i++) {
		len = strlen(engine->options.services.items[i]);
		if (strncmp(name, engine->options.services.items[i], len) ==
			0 &&
		    (name[len] == '\0' || name[len] == '/'))
			return true;
	}
	return false;
}

/* Parses and admits a call.  Returns 0, or the ERR_* code to answer with. */
static int
http_begin_call(struct engine *engine, struct call *call)
{
	const char *key;
	int error = 0;

	http_count_arrival(engine, call);
	if (call->service) {
		call->tokens = 1;
		if (!http_known_service(engine, call->path))
			error = ERR_NOT_FOUND;
	} else {
		error = chat_parse(engine, call);
	}
	if (error != 0)
		return error;
	key = http_header(call->connection, "Idempotency-Key");
	stats_count_run(engine, key, call->service);
	return work_admit(engine, call);
}

static enum MHD_Result
http_error(struct call *call, int error)
{
	const struct err_answer *answer = err_answer(error);
	char body[256];

	call->answered = true;
	snprintf(body, sizeof(body),
	    "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\","
	    "\"run_state\":\"not_run\"}}\n",
	    answer->name, answer->text);
	return serve_json(call->connection, answer->http_status, body,
	    "Celeryford-Request", call->id);
}

/* Answers a chat or service call, or suspends it until its tokens are due. */
static enum MHD_Result
http_answer_call(struct engine *engine, struct call *call)
{
	uint32_t wanted;
	int error;

	if (call->disconnected)
		return MHD_NO;
	if (!call->admitted) {
		error = http_begin_call(engine, call);
		if (error != 0)
			return http_error(call, error);
	}
	wanted = call->stream ? 1 : call->tokens;
	if (call->conn->silent || work_tokens_due(engine, call) < wanted) {
		work_suspend(call);
		return MHD_YES;
	}
	return call->service ? service_answer(engine, call)
			     : chat_answer(engine, call);
}

/* Changes settings and injects faults: POST /fake/set?NAME=NUMBER. */
static enum MHD_Result
http_change_settings(struct engine *engine, struct call *call)
{
	struct engine_options *o = &engine->options;
	int64_t n;

	n = serve_query_number(call->connection, "pass_permille");
	if (n >= 0)
		o->pass_permille = n;
	n = serve_query_number(call->connection, "token_us");
	if (n >= 0)
		o->token_us = n;
	n = serve_query_number(call->connection, "cold_ms");
	if (n >= 0)
		engine->cold_until_us = tool_loop_now_us() + n * 1000;
	n = serve_query_number(call->connection, "silent");
	if (n > 0)
		http_silence_connections(engine);
	return serve_json(call->connection, 200, "{}\n", NULL, NULL);
}

static enum MHD_Result
http_stats(struct engine *engine, struct call *call)
{
	char *text =
	    stats_json(engine, serve_query_number(call->connection, "keys") > 0,
		serve_query_number(call->connection, "attempts") > 0);
	enum MHD_Result result;

	result = serve_json(call->connection, 200, text, NULL, NULL);
	free(text);
	return result;
}

/* Answers with the content of the next announcement, for tests. */
static enum MHD_Result
http_announcement(struct engine *engine, struct call *call)
{
	char *text = announce_json(engine);
	enum MHD_Result result;

	result = serve_json(call->connection, 200, text, NULL, NULL);
	free(text);
	return result;
}

/* Dispatches a complete request by its path. */
static enum MHD_Result
http_route(struct engine *engine, struct call *call, const char *method)
{
	bool post = strcmp(method, "POST") == 0;

	if (call->body.len > ENGINE_BODY_MAX_BYTES)
		return http_error(call, ERR_TOO_LARGE);
	call->service = strncmp(call->path, "/v1/services/", 13) == 0;
	if (call->service ||
	    (post && strcmp(call->path, "/v1/chat/completions") == 0))
		return http_answer_call(engine, call);
	if (post && strcmp(call->path, "/v1/orders") == 0)
		return orders_answer(engine, call);
	call->answered = true;
	if (post && strcmp(call->path, "/fake/set") == 0)
		return http_change_settings(engine, call);
	if (strcmp(call->path, "/fake/stats") == 0)
		return http_stats(engine, call);
	if (strcmp(call->path, "/fake/announcement") == 0)
		return http_announcement(engine, call);
	if (strcmp(call->path, "/healthz") == 0)
		return serve_json(call->connection, 200, "{}\n", NULL, NULL);
	return http_error(call, ERR_NOT_FOUND);
}

static struct call *
http_call_new(
    struct engine *engine, struct MHD_Connection *connection, const char *path)
{
	struct call *call = alloc_zero(alloc_default(), 1, sizeof(*call));

	call->engine = engine;
	call->connection = connection;
	call->conn = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			 ->socket_context;
	call->path = path;
	call->arrived_us = tool_loop_now_us();
	buf_init(&call->body, alloc_default());
	buf_init(&call->pending, alloc_default());
	return call;
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **call_ctx)
{
	struct engine *engine = ctx;
	struct call *call = *call_ctx;

	if (call == NULL) {
		*call_ctx = http_call_new(engine, connection, url);
		return MHD_YES;
	}
	if (*size > 0) {
		if (call->body.len <= ENGINE_BODY_MAX_BYTES)
			buf_add(&call->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	return http_route(engine, call, method);
}

static void
on_request_completed(void *ctx, struct MHD_Connection *connection,
    void **call_ctx, enum MHD_RequestTerminationCode code)
{
	struct engine *engine = ctx;
	struct call *call = *call_ctx;

	if (call == NULL)
		return;
	if (call->admitted && code != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
	    (call->fault != FAULT_CUT || call->disconnected))
		engine->stats.cancelled++;
	work_end(engine, call);
	buf_free(&call->body);
	buf_free(&call->pending);
	alloc_free(alloc_default(), call);
	*call_ctx = NULL;
}

static void
on_connection(void *ctx, struct MHD_Connection *connection, void **conn_ctx,
    enum MHD_ConnectionNotificationCode code)
{
	struct engine *engine = ctx;
	struct conn *conn = *conn_ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = alloc_zero(alloc_default(), 1, sizeof(*conn));
		conn->next = engine->conns;
		if (conn->next != NULL)
			conn->next->prev = conn;
		engine->conns = conn;
		*conn_ctx = conn;
		return;
	}
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		engine->conns = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	alloc_free(alloc_default(), conn);
}

/* Starts the HTTP server; returns NULL if the address can't be used. */
struct MHD_Daemon *
http_start(struct engine *engine)
{
	struct sockaddr_in address;

	if (!flags_parse_address(engine->options.listen, &address))
		return NULL;
	return MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0,
	    NULL, NULL, on_request, engine, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, engine,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, engine,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTP_CONNECTIONS_MAX,
	    MHD_OPTION_END);
}
