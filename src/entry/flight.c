#include "entry/flight.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "entry/answer.h"

enum {
	PROGRESS_MS = 10000, /* without a byte: the server is probed */
	SLOW_CALLER_BYTES = 64 * 1024, /* untaken: the server is held back */
	HEADER_BYTES = 256,
	HEADERS_MAX = 10,
	US_PER_MS = 1000
};

static void on_stream(
    void *ctx, struct attempt *attempt, const void *data, size_t len);
static void on_first_byte(void *ctx, struct attempt *attempt);
static void on_end(
    void *ctx, struct attempt *attempt, const struct attempt_end *end);

static const struct attempt_handler flight_attempt_handler = {
    on_stream, on_first_byte, on_end};

/* Takes a place for a request, or returns NULL when all are taken. */
struct flight *
flight_new(struct entry *entry, struct hs_exchange *x)
{
	struct flight *f;

	if (entry->free_count == 0)
		return NULL;
	f = alloc_zero(entry->options.alloc, 1, sizeof(*f));
	f->entry = entry;
	f->id = entry->free_ids[--entry->free_count];
	f->x = x;
	f->winner = -1;
	f->streaming_from = -1;
	f->arrived_us = loop_now_us(entry->options.loop);
	buf_init(&f->body, entry->options.alloc);
	f->method = alloc_strdup(entry->options.alloc, hs_method(x));
	f->target = alloc_strdup(entry->options.alloc, hs_target(x));
	f->sequence = ++entry->sequence;
	snprintf(f->name, sizeof(f->name), "%016" PRIx64 "-%" PRIu64,
	    entry->options.owner, f->sequence);
	entry->flights[f->id] = f;
	return f;
}

/* Gives the place back; attempts still running are cancelled. */
void
flight_free(struct flight *f)
{
	struct entry *entry = f->entry;

	for (int i = 0; i < CF_ATTEMPTS_MAX; i++) {
		attempt_free(f->attempts[i].attempt);
		buf_free(&f->attempts[i].body);
	}
	if (f->x != NULL)
		hs_set_data(f->x, NULL);
	json_decref(f->json);
	buf_free(&f->body);
	alloc_free(entry->options.alloc, f->method);
	alloc_free(entry->options.alloc, f->target);
	entry->flights[f->id] = NULL;
	entry->free_ids[entry->free_count++] = f->id;
	alloc_free(entry->options.alloc, f);
}

/* Returns an open request, or NULL. */
struct flight *
flight_find(struct entry *entry, uint32_t id)
{
	return id < FLIGHTS_MAX ? entry->flights[id] : NULL;
}

static void
report(
    struct flight *f, enum cf_event_kind kind, const struct cf_attempt *attempt)
{
	struct cf_event event = {.kind = kind};

	event.u.attempt = *attempt;
	event.u.attempt.request = f->id;
	entry_event(f->entry, &event);
}

/* What the bill says so far. */
static struct entry_bill
bill_of(const struct flight *f)
{
	const struct entry *entry = f->entry;
	uint16_t version =
	    f->winner >= 0 ? f->attempts[f->winner].version : CFG_NONE;
	struct entry_bill bill = {.request = f->id,
	    .workspace = entry->cfg->workspaces[f->request.workspace].name,
	    .sequence = f->sequence,
	    .version = entry_version_name(entry, version),
	    .prompt_tokens = f->request.prompt_tokens,
	    .output_tokens = f->output_tokens,
	    .cost_nano = f->cost_nano,
	    .attempts = f->attempt_count};

	return bill;
}

/* Notes the intent before the first dispatch; false if it can't be kept. */
static bool
intend_once(struct flight *f)
{
	struct entry_bill bill;

	if (f->intended || f->request.forwarded)
		return true;
	bill = bill_of(f);
	f->intended =
	    f->entry->options.ports->intend(f->entry->options.ctx, &bill);
	return f->intended;
}

/* An attempt that was not started, since something it needs is missing. */
static void
fail_unstarted(struct flight *f, uint8_t number, int error)
{
	struct cf_attempt failed = {
	    .attempt = number, .error = error, .run_state = ERR_NOT_RUN};

	report(f, CF_EV_FAILED, &failed);
}

/* The body with the chosen version's name in place of the caller's model. */
static void
make_body(struct flight *f, struct flight_attempt *slot)
{
	char *text;

	buf_init(&slot->body, f->entry->options.alloc);
	if (f->json == NULL || slot->version == CFG_NONE)
		return;
	json_object_set_new(f->json, "model",
	    json_string(entry_version_name(f->entry, slot->version)));
	text = json_dumps(f->json, JSON_COMPACT);
	buf_adds(&slot->body, text != NULL ? text : "");
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

static void
pass_header(struct header_list *list, const struct flight *f, const char *name)
{
	if (f->x != NULL)
		add_header(list, name, hs_header(f->x, name));
}

static void
add_remaining(struct header_list *list, const struct flight *f)
{
	int64_t left_us =
	    f->request.deadline_us - loop_now_us(f->entry->options.loop);
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64,
	    left_us > 0 ? left_us / US_PER_MS : 0);
	add_header(list, "Celeryford-Deadline-Ms", text);
}

static uint32_t
timeout_of(const struct flight *f)
{
	if (f->request.kind != CF_SERVICE)
		return 0;
	return f->entry->cfg->services[f->request.service].timeout_ms;
}

static void
start_attempt(struct flight *f, const struct cf_action *action,
    const char *address, const struct header_list *headers)
{
	struct flight_attempt *slot = &f->attempts[action->attempt];
	char correlation[FLIGHT_ID_BYTES + 16];
	const struct buf *body = &slot->body;
	struct attempt_options options = {.alloc = f->entry->options.alloc,
	    .loop = f->entry->options.loop,
	    .client = f->entry->client,
	    .address = address,
	    .method = f->method,
	    .path = f->target,
	    .headers = headers->items,
	    .correlation = correlation,
	    .streaming = f->request.streaming,
	    .chat = f->request.kind == CF_CHAT,
	    .fresh = f->request.once,
	    .progress_ms = PROGRESS_MS,
	    .timeout_ms = timeout_of(f),
	    .number = action->attempt,
	    .handler = &flight_attempt_handler,
	    .ctx = f};

	if (body->len == 0)
		body =
		    f->body.len == 0 && f->x != NULL ? hs_body(f->x) : &f->body;
	options.body = body->data;
	options.len = body->len;
	snprintf(correlation, sizeof(correlation), "%s/%u", f->name,
	    action->attempt);
	slot->server = action->server;
	slot->attempt = attempt_start(&options);
	if (f->attempt_count <= action->attempt)
		f->attempt_count = action->attempt + 1;
	f->entry->dispatches->value++;
}

static void
dispatch_now(struct flight *f, const struct cf_action *action)
{
	struct flight_attempt *slot = &f->attempts[action->attempt];
	const struct server *server =
	    servers_at(f->entry->servers, action->server);
	struct header_list headers = {.items = {NULL}};
	char number[16];

	slot->version = action->version;
	make_body(f, slot);
	if (f->request.kind == CF_CHAT)
		add_header(&headers, "Content-Type", "application/json");
	else
		pass_header(&headers, f, "Content-Type");
	pass_header(&headers, f, "Accept");
	pass_header(&headers, f, "Idempotency-Key");
	snprintf(number, sizeof(number), "%u",
	    f->entry->cfg->workspaces[f->request.workspace].priority);
	add_header(&headers, "Celeryford-Priority", number);
	entry_note(f->entry, f, action, "dispatch", server->name);
	start_attempt(f, action, server->address, &headers);
}

/*
 * Starts an attempt on a backend server: at once, or for a call that must not
 * be repeated once its attempt marker is durable.
 */
void
flight_dispatch(struct flight *f, const struct cf_action *action)
{
	const struct entry_options *options = &f->entry->options;

	if (!intend_once(f)) {
		fail_unstarted(f, action->attempt, ERR_NO_CAPACITY);
		return;
	}
	if (f->claimed && !options->ports->may_dispatch(options->ctx, f->id)) {
		f->marking = true;
		f->start = *action;
		options->ports->mark(options->ctx, f->id);
		return;
	}
	dispatch_now(f, action);
}

/* Whether what the router chose before the wait is still allowed. */
static bool
still_allowed(const struct flight *f)
{
	const struct entry *entry = f->entry;
	uint16_t dc = entry->data_centre;

	if (f->request.kind == CF_CHAT)
		return cfg_version_allowed(
		    entry->cfg, f->request.workspace, f->start.version, dc);
	return cfg_service_allowed(
	    entry->cfg, f->request.workspace, f->request.service, dc);
}

/* The attempt marker is durable, or could not be made so. */
void
flight_marked(struct flight *f, int error)
{
	const struct entry_options *options = &f->entry->options;

	if (!f->marking)
		return;
	f->marking = false;
	if (error == 0 && !options->ports->may_dispatch(options->ctx, f->id))
		error = ERR_TIMEOUT;
	if (error == 0 && !still_allowed(f))
		error = ERR_FORBIDDEN;
	if (error != 0)
		fail_unstarted(f, f->start.attempt, error);
	else
		dispatch_now(f, &f->start);
}

/* Hands the request to an instance of another data centre. */
void
flight_forward(struct flight *f, const struct cf_action *action)
{
	struct entry *entry = f->entry;
	struct flight_attempt *slot = &f->attempts[action->attempt];
	const char *address = entry->options.ports->neighbour(
	    entry->options.ctx, action->data_centre);
	struct header_list headers = {.items = {NULL}};
	char tag[ENTRY_TAG_BYTES];
	char id[FLIGHT_ID_BYTES + 16];

	slot->forwarded = true;
	slot->version = CFG_NONE;
	entry_note(entry, f, action, "forward",
	    entry->cfg->data_centres[action->data_centre].name);
	if (address == NULL || !intend_once(f)) {
		fail_unstarted(f, action->attempt, ERR_UPSTREAM);
		return;
	}
	snprintf(id, sizeof(id), "%s/%u", f->name, action->attempt);
	entry->options.ports->forward_tag(entry->options.ctx, id, tag);
	pass_header(&headers, f, "Authorization");
	pass_header(&headers, f, "Content-Type");
	pass_header(&headers, f, "Accept");
	pass_header(&headers, f, "Idempotency-Key");
	pass_header(&headers, f, "Celeryford-Session");
	pass_header(&headers, f, "Celeryford-Task-Class");
	add_header(&headers, "Celeryford-Forwarded", tag);
	add_remaining(&headers, f);
	start_attempt(f, action, address, &headers);
}

/* Stops an attempt of the router's choice. */
void
flight_cancel(struct flight *f, uint8_t attempt)
{
	attempt_free(f->attempts[attempt].attempt);
	f->attempts[attempt].attempt = NULL;
	if (f->marking && f->start.attempt == attempt)
		f->marking = false;
}

static const char *
answer_version(const struct flight *f, const struct flight_attempt *slot)
{
	if (slot->forwarded && slot->attempt != NULL)
		return attempt_version(slot->attempt);
	return entry_version_name(f->entry, slot->version);
}

static size_t
answer_headers(const struct flight *f, const struct flight_attempt *slot,
    const char *type, struct hs_header *headers)
{
	size_t n = 0;

	headers[n++] = (struct hs_header){"Content-Type", type};
	headers[n++] = (struct hs_header){"Celeryford-Request", f->name};
	headers[n++] = (struct hs_header){"Celeryford-Run", "ran"};
	if (f->request.kind == CF_CHAT)
		headers[n++] = (struct hs_header){
		    "Celeryford-Version", answer_version(f, slot)};
	if (f->request.kind == CF_CHAT && f->place != CF_ALONE)
		headers[n++] = (struct hs_header){
		    "Celeryford-Place", f->place == CF_KEPT ? "1" : "2"};
	if (f->session[0] != '\0')
		headers[n++] =
		    (struct hs_header){"Celeryford-Session", f->session};
	return n;
}

static void
on_stream(void *ctx, struct attempt *attempt, const void *data, size_t len)
{
	struct flight *f = ctx;
	uint8_t number = attempt_number(attempt);
	struct hs_header headers[HEADERS_MAX];
	size_t n;

	if (f->x == NULL)
		return;
	if (f->streaming_from < 0) {
		f->streaming_from = number;
		n = answer_headers(
		    f, &f->attempts[number], "text/event-stream", headers);
		hs_stream_begin(f->x, 200, headers, n);
	}
	if (f->streaming_from != number)
		return;
	hs_stream_write(f->x, data, len);
	if (hs_stream_pending(f->x) > SLOW_CALLER_BYTES)
		attempt_pause(attempt, true);
}

static void
on_first_byte(void *ctx, struct attempt *attempt)
{
	struct flight *f = ctx;
	struct cf_attempt first = {.attempt = attempt_number(attempt)};

	metrics_observe_us(f->entry->first_token,
	    loop_now_us(f->entry->options.loop) - f->arrived_us);
	report(f, CF_EV_FIRST_TOKEN, &first);
}

/* Adds what an attempt that ran costs to the request's one bill. */
static void
add_cost(struct flight *f, struct flight_attempt *slot, uint32_t tokens)
{
	const struct cfg *cfg = f->entry->cfg;

	if (slot->forwarded) {
		for (uint16_t i = 0; i < cfg->version_count; i++) {
			if (strcmp(cfg->versions[i].name,
				attempt_version(slot->attempt)) == 0)
				slot->version = i;
		}
	}
	f->output_tokens = tokens;
	f->entry->tokens->value += tokens;
	if (slot->version < cfg->version_count)
		/* Millionths per 1,000 tokens: billionths per token. */
		f->cost_nano +=
		    (uint64_t)tokens * cfg->versions[slot->version].cost_micro;
}

/* A server that can't be reached gets nothing until it announces itself. */
static void
drop_server(struct entry *entry, uint16_t server, bool crashed)
{
	struct cf_event event = {.kind = CF_EV_SERVER_GONE};

	if (!servers_mark_gone(
		entry->servers, server, loop_now_us(entry->options.loop)))
		return;
	log_event(LOG_LEVEL_WARN, "server_unreachable", "server=%s",
	    servers_at(entry->servers, server)->name);
	event.u.gone.server = server;
	event.u.gone.crashed = crashed;
	entry_event(entry, &event);
}

static void
on_end(void *ctx, struct attempt *attempt, const struct attempt_end *end)
{
	struct flight *f = ctx;
	uint8_t number = attempt_number(attempt);
	struct cf_attempt result = {.attempt = number,
	    .error = end->error,
	    .run_state = end->run_state,
	    .server_crashed = end->server_crashed,
	    .defective = end->defective,
	    .output_tokens = end->output_tokens,
	    .score_permille = UINT16_MAX};

	if (end->error == 0)
		add_cost(f, &f->attempts[number], end->output_tokens);
	/* A request that never reached the server is no suspect of its crash.
	 */
	result.server_crashed &= end->run_state != ERR_NOT_RUN;
	if (end->server_crashed && !f->attempts[number].forwarded)
		drop_server(f->entry, f->attempts[number].server,
		    result.server_crashed);
	report(f, end->error == 0 ? CF_EV_DONE : CF_EV_FAILED, &result);
}

static void
settle(struct flight *f, enum entry_outcome outcome)
{
	const struct entry_options *options = &f->entry->options;
	struct entry_bill bill = bill_of(f);
	struct entry_claim claim = {f->id, bill.workspace, f->key};

	if (f->claimed && !f->request.forwarded) {
		f->waiting++;
		options->ports->outcome(options->ctx, &claim, outcome);
	}
	if (f->intended) {
		f->waiting++;
		options->ports->settle(options->ctx, &bill);
	}
}

static void
send_whole(struct flight *f)
{
	struct flight_attempt *slot = &f->attempts[f->winner];
	const struct buf *body = attempt_body(slot->attempt);
	const char *type = attempt_content_type(slot->attempt);
	struct hs_header headers[HEADERS_MAX];
	size_t n = answer_headers(f, slot,
	    type[0] != '\0' ? type : "application/octet-stream", headers);

	hs_answer(f->x, attempt_status(slot->attempt), headers, n, body->data,
	    body->len);
}

static void
send_end_of_stream(struct flight *f)
{
	const struct buf *last =
	    attempt_terminator(f->attempts[f->winner].attempt);
	bool whole = f->streaming_from == f->winner;

	if (whole)
		hs_stream_write(f->x, last->data, last->len);
	hs_stream_end(f->x, whole);
}

/* Everything that had to be durable is: the caller gets the end. */
static void
finish(struct flight *f)
{
	if (f->x != NULL && f->winner >= 0) {
		if (f->streaming_from >= 0)
			send_end_of_stream(f);
		else
			send_whole(f);
		f->x = NULL;
		f->entry->answers->value++;
		metrics_observe_us(f->entry->whole,
		    loop_now_us(f->entry->options.loop) - f->arrived_us);
	}
	flight_free(f);
}

/* One of the things that the answer waits for is durable. */
void
flight_durable(struct flight *f)
{
	if (f->waiting > 0 && --f->waiting == 0)
		finish(f);
}

/* Answers with an attempt, once bill and outcome are durable. */
void
flight_answer(struct flight *f, const struct cf_action *action)
{
	f->routed = false;
	f->winner = action->attempt;
	f->place = action->place;
	f->waiting = 1;
	settle(f, ENTRY_DONE);
	flight_durable(f);
}

static void
send_refusal(struct flight *f, const struct cf_action *action)
{
	struct answer_error answer = {.error = action->error,
	    .run_state = action->run_state,
	    .retry_after_ms = action->retry_after_ms,
	    .request = f->name};
	struct buf body;

	if (f->streaming_from < 0) {
		answer_error(f->x, &answer);
		return;
	}
	buf_init(&body, f->entry->options.alloc);
	buf_adds(&body, "event: error\ndata: ");
	answer_error_body(&answer, &body);
	buf_adds(&body, "\n");
	hs_stream_write(f->x, body.data, body.len);
	hs_stream_end(f->x, false);
	buf_free(&body);
}

static enum entry_outcome
outcome_of(const struct cf_action *action)
{
	switch (action->run_state) {
	case ERR_NOT_RUN:
		return ENTRY_RELEASED;
	case ERR_RAN:
		return ENTRY_DONE;
	case ERR_MAY_HAVE_RUN:
		break;
	}
	return ENTRY_UNKNOWN;
}

/* Answers with an error at once; bill and claim are closed behind it. */
void
flight_refuse(struct flight *f, const struct cf_action *action)
{
	f->routed = false;
	entry_note(f->entry, f, action, "refuse", err_name(action->error));
	entry_count_error(f->entry, action->error);
	if (f->x != NULL)
		send_refusal(f, action);
	f->x = NULL;
	f->waiting = 1;
	settle(f, outcome_of(action));
	flight_durable(f);
}
