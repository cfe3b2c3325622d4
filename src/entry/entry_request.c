#include "entry/entry_request.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "entry/answer.h"

enum {
	NO_PROGRESS_PROBE_MS = 10000, /* without data, before a probe */
	CALLER_BACKLOG_MAX_BYTES = 64 * 1024, /* unsent, before a pause */
	HEADER_BYTES = 256,
	HEADERS_MAX = 10,
	US_PER_MS = 1000
};

static void on_stream_events(
    void *ctx, struct attempt *attempt, const void *data, size_t len);
static void on_first_byte(void *ctx, struct attempt *attempt);
static void on_end(
    void *ctx, struct attempt *attempt, const struct attempt_end *end);

static const struct attempt_handler attempt_event_handler = {
    on_stream_events, on_first_byte, on_end};

/*
 * Creates a request and assigns its id.  Returns NULL if OPEN_REQUESTS_MAX
 * requests are open.
 */
struct entry_request *
entry_request_new(struct entry *entry, struct http_server_exchange *x)
{
	struct entry_request *req;

	if (entry->free_index_count == 0)
		return NULL;
	req = alloc_zero(entry->options.alloc, 1, sizeof(*req));
	req->entry = entry;
	req->index = entry->free_indexes[--entry->free_index_count];
	req->x = x;
	req->winner = -1;
	req->streaming_attempt = -1;
	req->arrived_us = loop_now_us(entry->options.loop);
	buf_init(&req->body, entry->options.alloc);
	req->method = alloc_strdup(entry->options.alloc, http_server_method(x));
	req->target = alloc_strdup(entry->options.alloc, http_server_target(x));
	req->sequence = ++entry->sequence;
	snprintf(req->request_id, sizeof(req->request_id),
	    "%016" PRIx64 "-%" PRIu64, entry->options.owner, req->sequence);
	entry->requests_by_index[req->index] = req;
	return req;
}

/* Releases a request and its index, and cancels its running attempts. */
void
entry_request_free(struct entry_request *req)
{
	struct entry *entry = req->entry;

	for (int i = 0; i < CF_ATTEMPTS_MAX; i++) {
		attempt_free(req->attempts[i].attempt);
		buf_free(&req->attempts[i].body);
	}
	if (req->x != NULL)
		http_server_set_data(req->x, NULL);
	json_decref(req->json);
	buf_free(&req->body);
	alloc_free(entry->options.alloc, req->method);
	alloc_free(entry->options.alloc, req->target);
	entry->requests_by_index[req->index] = NULL;
	entry->free_indexes[entry->free_index_count++] = req->index;
	alloc_free(entry->options.alloc, req);
}

/* Returns the open request with this index, or NULL. */
struct entry_request *
entry_request_find(struct entry *entry, uint32_t id)
{
	return id < OPEN_REQUESTS_MAX ? entry->requests_by_index[id] : NULL;
}

static void
report_attempt(struct entry_request *req, enum cf_event_kind kind,
    const struct cf_attempt *attempt)
{
	struct cf_event event = {.kind = kind};

	event.u.attempt = *attempt;
	event.u.attempt.request = req->index;
	entry_handle_event(req->entry, &event);
}

/* Returns the bill for the attempts made so far. */
static struct entry_bill
make_bill(const struct entry_request *req)
{
	const struct entry *entry = req->entry;
	uint16_t version =
	    req->winner >= 0 ? req->attempts[req->winner].version : CFG_NONE;
	struct entry_bill bill = {.request = req->index,
	    .workspace = entry->cfg->workspaces[req->request.workspace].name,
	    .sequence = req->sequence,
	    .version = entry_version_name(entry, version),
	    .prompt_tokens = req->request.prompt_tokens,
	    .output_tokens = req->output_tokens,
	    .cost_nano = req->cost_nano,
	    .attempts = req->attempt_count};

	return bill;
}

/*
 * Records the intent to bill before the first dispatch.  A forwarded request is
 * billed by the instance that forwarded it.  Returns false if the intent can't
 * be stored.
 */
static bool
write_bill_intent(struct entry_request *req)
{
	struct entry_bill bill;

	if (req->bill_intent_written || req->request.forwarded)
		return true;
	bill = make_bill(req);
	req->bill_intent_written =
	    req->entry->options.ports->intend(req->entry->options.ctx, &bill);
	return req->bill_intent_written;
}

/* Reports an attempt that failed because it could not be started. */
static void
fail_before_start(struct entry_request *req, uint8_t number, int error)
{
	struct cf_attempt failed = {
	    .attempt = number, .error = error, .run_state = ERR_NOT_RUN};

	report_attempt(req, CF_EV_FAILED, &failed);
}

/* Replaces the caller's model in a chat body by the chosen version's name. */
static void
build_body(struct entry_request *req, struct entry_request_attempt *att)
{
	char *text;

	buf_init(&att->body, req->entry->options.alloc);
	if (req->json == NULL || att->version == CFG_NONE)
		return;
	json_object_set_new(req->json, "model",
	    json_string(entry_version_name(req->entry, att->version)));
	text = json_dumps(req->json, JSON_COMPACT);
	buf_adds(&att->body, text != NULL ? text : "");
	free(text);
}

struct header_list {
	char text[HEADERS_MAX][HEADER_BYTES];
	const char *items[HEADERS_MAX + 1];
	size_t count;
};

static void
add_header(struct header_list *list, const char *name, const char *value)
{
	if (value == NULL || list->count == HEADERS_MAX)
		return;
	snprintf(list->text[list->count], HEADER_BYTES, "%s: %s", name, value);
	list->items[list->count] = list->text[list->count];
	list->items[++list->count] = NULL;
}

/* Copies a header of the caller's request. */
static void
forward_header(
    struct header_list *list, const struct entry_request *req, const char *name)
{
	if (req->x != NULL)
		add_header(list, name, http_server_header(req->x, name));
}

/* Adds the time left until the deadline in milliseconds, at least 0. */
static void
add_deadline_header(struct header_list *list, const struct entry_request *req)
{
	int64_t left_us =
	    req->request.deadline_us - loop_now_us(req->entry->options.loop);
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64,
	    left_us > 0 ? left_us / US_PER_MS : 0);
	add_header(list, "Celeryford-Deadline-Ms", text);
}

/* Returns the timeout of a plain service in milliseconds; 0 for chat. */
static uint32_t
request_timeout_ms(const struct entry_request *req)
{
	if (req->request.kind != CF_SERVICE)
		return 0;
	return req->entry->cfg->services[req->request.service].timeout_ms;
}

static void
start_attempt(struct entry_request *req, const struct cf_action *action,
    const char *address, const struct header_list *headers)
{
	struct entry_request_attempt *att = &req->attempts[action->attempt];
	char correlation[REQUEST_ID_BYTES + 16];
	const struct buf *body = &att->body;
	struct attempt_options options = {.alloc = req->entry->options.alloc,
	    .loop = req->entry->options.loop,
	    .client = req->entry->client,
	    .address = address,
	    .method = req->method,
	    .path = req->target,
	    .headers = headers->items,
	    .correlation = correlation,
	    .streaming = req->request.streaming,
	    .chat = req->request.kind == CF_CHAT,
	    .fresh = req->request.once,
	    .room = &req->entry->answer_room,
	    .progress_ms = NO_PROGRESS_PROBE_MS,
	    .timeout_ms = request_timeout_ms(req),
	    .number = action->attempt,
	    .handler = &attempt_event_handler,
	    .ctx = req};

	if (body->len == 0)
		body = req->body.len == 0 && req->x != NULL
			   ? http_server_body(req->x)
			   : &req->body;
	options.body = body->data;
	options.len = body->len;
	snprintf(correlation, sizeof(correlation), "%s/%u", req->request_id,
	    action->attempt);
	att->server = action->server;
	att->attempt = attempt_start(&options);
	if (req->attempt_count <= action->attempt)
		req->attempt_count = action->attempt + 1;
	req->entry->dispatches_total->value++;
}

static void
dispatch_now(struct entry_request *req, const struct cf_action *action)
{
	struct entry_request_attempt *att = &req->attempts[action->attempt];
	const struct server *server =
	    servers_at(req->entry->servers, action->server);
	struct header_list headers = {.items = {NULL}};
	char number[16];

	att->version = action->version;
	build_body(req, att);
	if (req->request.kind == CF_CHAT)
		add_header(&headers, "Content-Type", "application/json");
	else
		forward_header(&headers, req, "Content-Type");
	forward_header(&headers, req, "Accept");
	forward_header(&headers, req, "Idempotency-Key");
	snprintf(number, sizeof(number), "%u",
	    req->entry->cfg->workspaces[req->request.workspace].priority);
	add_header(&headers, "Celeryford-Priority", number);
	entry_log_decision(req->entry, req, action, "dispatch", server->name);
	start_attempt(req, action, server->address, &headers);
}

/*
 * Starts an attempt on a backend server: immediately, or for a claimed,
 * non-repeatable call once its attempt marker is durable.
 */
void
entry_request_dispatch(
    struct entry_request *req, const struct cf_action *action)
{
	const struct entry_options *options = &req->entry->options;

	if (!write_bill_intent(req)) {
		fail_before_start(req, action->attempt, ERR_NO_CAPACITY);
		return;
	}
	if (req->claimed &&
	    !options->ports->may_dispatch(options->ctx, req->index)) {
		req->awaiting_marker = true;
		req->deferred_dispatch = *action;
		options->ports->mark(options->ctx, req->index);
		return;
	}
	dispatch_now(req, action);
}

/*
 * Returns whether the current configuration still allows the dispatch that was
 * deferred; it may have changed while the marker was written.
 */
static bool
dispatch_still_allowed(const struct entry_request *req)
{
	const struct entry *entry = req->entry;
	uint16_t dc = entry->data_centre;

	if (req->request.kind == CF_CHAT)
		return cfg_version_allowed(entry->cfg, req->request.workspace,
		    req->deferred_dispatch.version, dc);
	return cfg_service_allowed(
	    entry->cfg, req->request.workspace, req->request.service, dc);
}

/* Starts the deferred attempt, or fails it if its marker isn't durable. */
void
entry_request_marker_done(struct entry_request *req, int error)
{
	const struct entry_options *options = &req->entry->options;

	if (!req->awaiting_marker)
		return;
	req->awaiting_marker = false;
	if (error == 0 &&
	    !options->ports->may_dispatch(options->ctx, req->index))
		error = ERR_TIMEOUT;
	if (error == 0 && !dispatch_still_allowed(req))
		error = ERR_FORBIDDEN;
	if (error != 0)
		fail_before_start(req, req->deferred_dispatch.attempt, error);
	else
		dispatch_now(req, &req->deferred_dispatch);
}

/* Forwards the request to an instance of another data centre. */
void
entry_request_forward(struct entry_request *req, const struct cf_action *action)
{
	struct entry *entry = req->entry;
	struct entry_request_attempt *att = &req->attempts[action->attempt];
	const char *address = entry->options.ports->neighbour(
	    entry->options.ctx, action->data_centre);
	struct header_list headers = {.items = {NULL}};
	char tag[ENTRY_TAG_BYTES];
	char id[REQUEST_ID_BYTES + 16];

	att->forwarded = true;
	att->version = CFG_NONE;
	entry_log_decision(entry, req, action, "forward",
	    entry->cfg->data_centres[action->data_centre].name);
	if (address == NULL || !write_bill_intent(req)) {
		fail_before_start(req, action->attempt, ERR_UPSTREAM);
		return;
	}
	snprintf(id, sizeof(id), "%s/%u", req->request_id, action->attempt);
	entry->options.ports->forward_tag(entry->options.ctx, id, tag);
	forward_header(&headers, req, "Authorization");
	forward_header(&headers, req, "Content-Type");
	forward_header(&headers, req, "Accept");
	forward_header(&headers, req, "Idempotency-Key");
	forward_header(&headers, req, "Celeryford-Session");
	forward_header(&headers, req, "Celeryford-Task-Class");
	add_header(&headers, "Celeryford-Forwarded", tag);
	add_deadline_header(&headers, req);
	start_attempt(req, action, address, &headers);
}

/* Cancels an attempt, also one that still awaits its marker. */
void
entry_request_cancel(struct entry_request *req, uint8_t attempt)
{
	attempt_free(req->attempts[attempt].attempt);
	req->attempts[attempt].attempt = NULL;
	if (req->awaiting_marker && req->deferred_dispatch.attempt == attempt)
		req->awaiting_marker = false;
}

/* Returns the answering version; a forwarded answer names its own. */
static const char *
answer_version(
    const struct entry_request *req, const struct entry_request_attempt *att)
{
	if (att->forwarded && att->attempt != NULL)
		return attempt_version(att->attempt);
	return entry_version_name(req->entry, att->version);
}

static size_t
build_answer_headers(const struct entry_request *req,
    const struct entry_request_attempt *att, const char *type,
    struct http_server_header *headers)
{
	size_t n = 0;

	headers[n++] = (struct http_server_header){"Content-Type", type};
	headers[n++] =
	    (struct http_server_header){"Celeryford-Request", req->request_id};
	headers[n++] = (struct http_server_header){"Celeryford-Run", "ran"};
	if (req->request.kind == CF_CHAT)
		headers[n++] = (struct http_server_header){
		    "Celeryford-Version", answer_version(req, att)};
	if (req->request.kind == CF_CHAT && req->place != CF_ALONE)
		headers[n++] = (struct http_server_header){
		    "Celeryford-Place", req->place == CF_KEPT ? "1" : "2"};
	if (req->session[0] != '\0')
		headers[n++] = (struct http_server_header){
		    "Celeryford-Session", req->session};
	return n;
}

/*
 * Streams an attempt's events to the caller; the first attempt with events is
 * the only one streamed.  Pauses the server if the caller reads too slowly.
 */
static void
on_stream_events(
    void *ctx, struct attempt *attempt, const void *data, size_t len)
{
	struct entry_request *req = ctx;
	uint8_t number = attempt_number(attempt);
	struct http_server_header headers[HEADERS_MAX];
	size_t n;

	if (req->x == NULL)
		return;
	if (req->streaming_attempt < 0) {
		req->streaming_attempt = number;
		n = build_answer_headers(
		    req, &req->attempts[number], "text/event-stream", headers);
		http_server_stream_begin(req->x, 200, headers, n);
	}
	if (req->streaming_attempt != number)
		return;
	http_server_stream_write(req->x, data, len);
	if (http_server_stream_pending_bytes(req->x) > CALLER_BACKLOG_MAX_BYTES)
		attempt_pause(attempt, true);
}

static void
on_first_byte(void *ctx, struct attempt *attempt)
{
	struct entry_request *req = ctx;
	struct cf_attempt first = {.attempt = attempt_number(attempt)};

	metrics_observe_us(req->entry->first_token_duration,
	    loop_now_us(req->entry->options.loop) - req->arrived_us);
	report_attempt(req, CF_EV_FIRST_TOKEN, &first);
}

/* Adds the cost of an attempt that ran to the request's single bill. */
static void
add_cost(struct entry_request *req, struct entry_request_attempt *att,
    uint32_t tokens)
{
	const struct cfg *cfg = req->entry->cfg;

	if (att->forwarded) {
		for (uint16_t i = 0; i < cfg->version_count; i++) {
			if (strcmp(cfg->versions[i].name,
				attempt_version(att->attempt)) == 0)
				att->version = i;
		}
	}
	req->output_tokens = tokens;
	req->entry->output_tokens_total->value += tokens;
	if (att->version < cfg->version_count)
		/* Millionths per 1,000 tokens equal billionths per token. */
		req->cost_nano +=
		    (uint64_t)tokens * cfg->versions[att->version].cost_micro;
}

/*
 * Removes an unreachable server from routing until it announces itself again.
 * crashed means that a request had reached it; that request becomes a suspect.
 */
static void
mark_server_unreachable(struct entry *entry, uint16_t server, bool crashed)
{
	struct cf_event event = {.kind = CF_EV_SERVER_GONE};

	if (!servers_mark_gone(
		entry->servers, server, loop_now_us(entry->options.loop)))
		return;
	log_event(LOG_LEVEL_WARN, "server_unreachable", "server=%s",
	    servers_at(entry->servers, server)->name);
	event.u.gone.server = server;
	event.u.gone.crashed = crashed;
	entry_handle_event(entry, &event);
}

static void
on_end(void *ctx, struct attempt *attempt, const struct attempt_end *end)
{
	struct entry_request *req = ctx;
	uint8_t number = attempt_number(attempt);
	struct cf_attempt result = {.attempt = number,
	    .error = end->error,
	    .run_state = end->run_state,
	    .server_crashed = end->server_crashed,
	    .defective = end->defective,
	    .output_tokens = end->output_tokens,
	    .score_permille = UINT16_MAX};

	if (end->error == 0)
		add_cost(req, &req->attempts[number], end->output_tokens);
	/* A request that never reached the server can't have crashed it. */
	result.server_crashed &= end->run_state != ERR_NOT_RUN;
	if (end->server_crashed && !req->attempts[number].forwarded)
		mark_server_unreachable(req->entry,
		    req->attempts[number].server, result.server_crashed);
	report_attempt(
	    req, end->error == 0 ? CF_EV_DONE : CF_EV_FAILED, &result);
}

/* Starts to store the claim's outcome and the final bill. */
static void
write_outcome_and_bill(
    struct entry_request *req, enum entry_claim_outcome outcome)
{
	const struct entry_options *options = &req->entry->options;
	struct entry_bill bill = make_bill(req);
	struct entry_claim claim = {req->index, bill.workspace, req->key};

	if (req->claimed && !req->request.forwarded) {
		req->pending_writes++;
		options->ports->outcome(options->ctx, &claim, outcome);
	}
	if (req->bill_intent_written) {
		req->pending_writes++;
		options->ports->settle(options->ctx, &bill);
	}
}

static void
send_complete_answer(struct entry_request *req)
{
	struct entry_request_attempt *att = &req->attempts[req->winner];
	const struct buf *body = attempt_body(att->attempt);
	const char *type = attempt_content_type(att->attempt);
	struct http_server_header headers[HEADERS_MAX];
	size_t n = build_answer_headers(req, att,
	    type[0] != '\0' ? type : "application/octet-stream", headers);

	http_server_answer(req->x, attempt_status(att->attempt), headers, n,
	    body->data, body->len);
}

static void
send_end_of_stream(struct entry_request *req)
{
	const struct buf *last =
	    attempt_terminator(req->attempts[req->winner].attempt);
	bool whole = req->streaming_attempt == req->winner;

	if (whole)
		http_server_stream_write(req->x, last->data, last->len);
	http_server_stream_end(req->x, whole);
}

/* Ends the answer, now that all writes are durable, and frees the request. */
static void
send_answer_and_free(struct entry_request *req)
{
	if (req->x != NULL && req->winner >= 0) {
		if (req->streaming_attempt >= 0)
			send_end_of_stream(req);
		else
			send_complete_answer(req);
		req->x = NULL;
		req->entry->answers_total->value++;
		metrics_observe_us(req->entry->answer_duration,
		    loop_now_us(req->entry->options.loop) - req->arrived_us);
	}
	entry_request_free(req);
}

/* Notes that one pending write is durable; after the last, ends the answer. */
void
entry_request_write_done(struct entry_request *req)
{
	if (req->pending_writes > 0 && --req->pending_writes == 0)
		send_answer_and_free(req);
}

/* Returns an attempt's answer once the bill and the outcome are durable. */
void
entry_request_answer(struct entry_request *req, const struct cf_action *action)
{
	req->in_router = false;
	req->winner = action->attempt;
	req->place = action->place;
	req->pending_writes = 1;
	write_outcome_and_bill(req, ENTRY_OUTCOME_DONE);
	entry_request_write_done(req);
}

static void
send_refusal(struct entry_request *req, const struct cf_action *action)
{
	struct answer_error answer = {.error = action->error,
	    .run_state = action->run_state,
	    .retry_after_ms = action->retry_after_ms,
	    .request = req->request_id};
	struct buf body;

	if (req->streaming_attempt < 0) {
		answer_error(req->x, &answer);
		return;
	}
	buf_init(&body, req->entry->options.alloc);
	buf_adds(&body, "event: error\ndata: ");
	answer_error_body(&answer, &body);
	buf_adds(&body, "\n");
	http_server_stream_write(req->x, body.data, body.len);
	http_server_stream_end(req->x, false);
	buf_free(&body);
}

static enum entry_claim_outcome
claim_outcome(const struct cf_action *action)
{
	switch (action->run_state) {
	case ERR_NOT_RUN:
		return ENTRY_OUTCOME_RELEASED;
	case ERR_RAN:
		return ENTRY_OUTCOME_DONE;
	case ERR_MAY_HAVE_RUN:
		break;
	}
	return ENTRY_OUTCOME_UNKNOWN;
}

/*
 * Ends a request whose caller has gone and which does not run on: its bill is
 * settled, as one that stays open holds back the export and the end of the
 * process.  Frees the request, now or once that is durable.
 */
void
entry_request_abandon(struct entry_request *req)
{
	req->in_router = false;
	req->pending_writes = 1;
	write_outcome_and_bill(req, ENTRY_OUTCOME_UNKNOWN);
	entry_request_write_done(req);
}

/* Answers with an error at once, then closes the bill and the claim. */
void
entry_request_refuse(struct entry_request *req, const struct cf_action *action)
{
	req->in_router = false;
	entry_log_decision(
	    req->entry, req, action, "refuse", err_name(action->error));
	entry_count_error(req->entry, action->error);
	if (req->x != NULL)
		send_refusal(req, action);
	req->x = NULL;
	req->pending_writes = 1;
	write_outcome_and_bill(req, claim_outcome(action));
	entry_request_write_done(req);
}
