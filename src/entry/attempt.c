#include "entry/attempt.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "entry/answer_room.h"
#include "entry/sse.h"

enum {
	ATTEMPT_URL_BYTES = 2048,
	ATTEMPT_HEADERS_MAX = 16,
	ATTEMPT_TEXT_BYTES = 128,
	ATTEMPT_ANSWER_MAX_BYTES = 16 * 1024 * 1024,
	/* Plain answers up to this size need no room. */
	ATTEMPT_ROOM_EXEMPT_BYTES = 64 * 1024,
	ATTEMPT_PROBE_MS = 1000,
	HTTP_OK_FIRST = 200,
	HTTP_NO_CONTENT = 204,
	HTTP_OK_LAST = 299,
	HTTP_NOT_MODIFIED = 304,
	HTTP_TOO_MANY = 429,
	HTTP_UNAVAILABLE = 503,
	US_PER_MS = 1000,
	MS_PER_S = 1000
};

struct attempt {
	struct answer_place place; /* first: the room knows attempts by it */
	struct loop_timer *resume_timer;
	size_t announced_bytes; /* the answer's length; 0: unknown */
	struct attempt_options options;
	struct http_client_call *call;
	struct http_client_call *probe;
	struct attempt_end end_after_probe; /* reported when the probe ends */
	struct loop_timer *progress_timer;
	int64_t last_data_us;
	struct sse sse;
	struct buf body;
	struct buf events;
	long status;
	char correlation[ATTEMPT_TEXT_BYTES];
	char content_type[ATTEMPT_TEXT_BYTES];
	char version[ATTEMPT_TEXT_BYTES];
	char run_state_text[ATTEMPT_TEXT_BYTES];
	uint32_t retry_after_ms;
	bool streaming; /* the answer is an event stream */
	/* Only the end of the connection delimits the answer */
	bool ends_with_connection;
	bool first_byte_seen;
	bool request_sent;
	bool ended;
};

static void release_room(struct attempt *a);

/* Reports the end of the attempt once; later calls do nothing. */
static void
end_attempt(struct attempt *a, struct attempt_end *end)
{
	if (a->ended)
		return;
	a->ended = true;
	loop_cancel(a->progress_timer);
	a->progress_timer = NULL;
	if (a->probe != NULL)
		http_client_cancel(a->probe);
	a->probe = NULL;
	end->status = a->status;
	end->retry_after_ms = a->retry_after_ms;
	/* The request may go on for long with other attempts. */
	if (end->error != 0 && (a->place.held || a->place.waiting)) {
		loop_cancel(a->resume_timer);
		a->resume_timer = NULL;
		release_room(a);
		buf_free(&a->body);
	}
	a->options.handler->end(a->options.ctx, a, end);
}

static void
copy_header(struct http_client_call *call, const char *name, char *out)
{
	const char *value = http_client_header(call, name);

	snprintf(out, ATTEMPT_TEXT_BYTES, "%s", value != NULL ? value : "");
}

/* Returns whether an answer with a body has neither a length nor chunks. */
static bool
has_no_framing(const struct attempt *a, struct http_client_call *call)
{
	return a->status != HTTP_NO_CONTENT && a->status != HTTP_NOT_MODIFIED &&
	       strcmp(a->options.method, "HEAD") != 0 &&
	       http_client_header(call, "Content-Length") == NULL &&
	       http_client_header(call, "Transfer-Encoding") == NULL;
}

static int
on_headers(void *ctx, struct http_client_call *call, long status)
{
	struct attempt *a = ctx;
	const char *echoed = http_client_header(call, "Celeryford-Request");
	const char *retry_after =
	    http_client_header(call, "Celeryford-Retry-After-Ms");
	const char *length;

	a->status = status;
	a->request_sent = true;
	/* Reject an answer to another request, late or on a mixed-up call. */
	if (echoed != NULL ? strcmp(echoed, a->correlation) != 0
			   : a->options.chat && status == HTTP_OK_FIRST)
		return ERR_UPSTREAM;
	copy_header(call, "Content-Type", a->content_type);
	copy_header(call, "Celeryford-Version", a->version);
	copy_header(call, "Celeryford-Run", a->run_state_text);
	if (retry_after != NULL)
		a->retry_after_ms = (uint32_t)strtoul(retry_after, NULL, 10);
	else if ((retry_after = http_client_header(call, "Retry-After")) !=
		 NULL)
		a->retry_after_ms =
		    (uint32_t)strtoul(retry_after, NULL, 10) * MS_PER_S;
	length = http_client_header(call, "Content-Length");
	if (length != NULL &&
	    http_client_header(call, "Transfer-Encoding") == NULL)
		a->announced_bytes = (size_t)strtoull(length, NULL, 10);
	a->streaming = a->options.streaming && status == HTTP_OK_FIRST;
	a->ends_with_connection = has_no_framing(a, call);
	return 0;
}

/* Reserves the room that was granted, so that the body doesn't grow beyond. */
static void
reserve_body(struct attempt *a)
{
	if (a->announced_bytes > a->body.len)
		buf_reserve(&a->body, a->announced_bytes - a->body.len);
}

/*
 * Takes a part of a plain answer.  Once it is large and there is no room for
 * it, it is not read on until there is.
 */
static int
take_body(struct attempt *a, const char *data, size_t len)
{
	size_t bytes = a->announced_bytes > 0 ? a->announced_bytes
					      : ATTEMPT_ANSWER_MAX_BYTES;

	if (a->body.len + len > ATTEMPT_ANSWER_MAX_BYTES ||
	    a->announced_bytes > ATTEMPT_ANSWER_MAX_BYTES)
		return ERR_TOO_LARGE;
	buf_add(&a->body, data, len);
	if (a->options.room == NULL ||
	    a->body.len <= ATTEMPT_ROOM_EXEMPT_BYTES || a->place.held ||
	    a->place.waiting)
		return 0;
	if (answer_room_take(a->options.room, &a->place, bytes))
		reserve_body(a);
	else
		http_client_set_paused(a->call, true);
	return 0;
}

static void
on_resume(void *ctx)
{
	struct attempt *a = ctx;

	a->resume_timer = NULL;
	a->last_data_us = loop_now_us(a->options.loop);
	reserve_body(a);
	if (a->call != NULL)
		http_client_set_paused(a->call, false);
}

/*
 * Gives the room of an attempt back and has those go on that get theirs, in the
 * next turn of the loop, as libcurl may be running.
 */
static void
release_room(struct attempt *a)
{
	struct answer_place *place;

	if (a->options.room == NULL)
		return;
	answer_room_release(a->options.room, &a->place);
	while ((place = answer_room_next(a->options.room)) != NULL) {
		struct attempt *next = (struct attempt *)place;

		next->resume_timer =
		    loop_after(next->options.loop, 0, on_resume, next);
	}
}

static int
on_data(void *ctx, struct http_client_call *call, const char *data, size_t len)
{
	struct attempt *a = ctx;
	int error = 0;

	(void)call;
	a->last_data_us = loop_now_us(a->options.loop);
	if (!a->first_byte_seen && a->status == HTTP_OK_FIRST) {
		a->first_byte_seen = true;
		a->options.handler->first_byte(a->options.ctx, a);
	}
	if (!a->streaming)
		return take_body(a, data, len);
	buf_clear(&a->events);
	error = sse_feed(&a->sse, data, len, &a->events);
	if (a->events.len > 0 && !a->ended)
		a->options.handler->stream(
		    a->options.ctx, a, a->events.data, a->events.len);
	return error;
}

static void
check_chat_answer(const struct attempt *a, struct attempt_end *end)
{
	json_t *root = json_loadb(buf_text(&a->body), a->body.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	json_t *content =
	    json_object_get(json_object_get(choice, "message"), "content");
	json_t *usage = json_object_get(root, "usage");

	/* A part of a text, which looks complete, is none. */
	if (root == NULL && a->ends_with_connection)
		end->error = ERR_UPSTREAM_CUT;
	end->defective = json_string_length(content) == 0;
	end->output_tokens = (uint32_t)json_integer_value(
	    json_object_get(usage, "completion_tokens"));
	json_decref(root);
}

/*
 * Sets the error for an answer that refuses the request, and the run state if
 * the server states whether it ran the request.
 */
static void
set_refusal_error(const struct attempt *a, struct attempt_end *end)
{
	bool not_run = strcmp(a->run_state_text, "not_run") == 0;

	end->error = a->status == HTTP_TOO_MANY || a->status == HTTP_UNAVAILABLE
			 ? ERR_NO_CAPACITY
			 : ERR_UPSTREAM;
	if (not_run)
		end->run_state = ERR_NOT_RUN;
	else if (strcmp(a->run_state_text, "ran") == 0)
		end->run_state = ERR_RAN;
}

/* Checks that a received answer is complete and not a refusal. */
static void
check_answer(const struct attempt *a, struct attempt_end *end)
{
	if (a->streaming) {
		end->output_tokens = sse_output_tokens(&a->sse);
		if (!a->sse.terminated)
			end->error = ERR_UPSTREAM_CUT;
		return;
	}
	if (a->options.chat &&
	    (a->status < HTTP_OK_FIRST || a->status > HTTP_OK_LAST)) {
		set_refusal_error(a, end);
		return;
	}
	if (a->status == HTTP_TOO_MANY || a->status == HTTP_UNAVAILABLE)
		set_refusal_error(a, end);
	else if (a->options.chat)
		check_chat_answer(a, end);
}

static void start_probe(struct attempt *a, const struct attempt_end *end);

static void
on_done(void *ctx, const struct http_client_result *result)
{
	struct attempt *a = ctx;
	struct attempt_end end = {.error = result->error,
	    .run_state = result->run_state,
	    .server_crashed = result->unreachable};

	a->call = NULL;
	a->status = result->status;
	a->request_sent = a->request_sent || result->run_state != ERR_NOT_RUN;
	if (end.error == 0)
		check_answer(a, &end);
	if (end.error == 0)
		end.run_state = ERR_RAN;
	else if (end.error == ERR_UPSTREAM && a->first_byte_seen)
		end.error = ERR_UPSTREAM_CUT;
	/*
	 * The server may have crashed and left a part of the answer.  A stream
	 * has its terminator, and a chat answer is one JSON text.
	 */
	if (end.error == 0 && a->ends_with_connection && !a->streaming &&
	    !a->options.chat) {
		start_probe(a, &end);
		return;
	}
	/* A broken connection alone doesn't show that the server failed. */
	if (end.error != 0 && result->error != 0 && !result->unreachable &&
	    result->run_state != ERR_NOT_RUN)
		start_probe(a, &end);
	else
		end_attempt(a, &end);
}

static const struct http_client_handler call_handler = {
    on_headers, on_data, on_done};

static int
probe_headers(void *ctx, struct http_client_call *call, long status)
{
	(void)ctx;
	(void)call;
	(void)status;
	return 0;
}

static int
probe_data(
    void *ctx, struct http_client_call *call, const char *data, size_t len)
{
	(void)ctx;
	(void)call;
	(void)data;
	(void)len;
	return 0;
}

/*
 * Ends the attempt; a failed probe means that the server has crashed, and may
 * have left a part of an answer that seemed complete.
 */
static void
probe_done(void *ctx, const struct http_client_result *result)
{
	struct attempt *a = ctx;
	struct attempt_end end = a->end_after_probe;

	end.server_crashed = result->error != 0;
	if (end.server_crashed && end.error == 0) {
		end.error = ERR_UPSTREAM_CUT;
		end.run_state = ERR_MAY_HAVE_RUN;
	}
	a->probe = NULL;
	if (a->call != NULL)
		http_client_cancel(a->call);
	a->call = NULL;
	end_attempt(a, &end);
}

static const struct http_client_handler probe_handler = {
    probe_headers, probe_data, probe_done};

/*
 * Checks the server's health on a new connection, to find out whether it has
 * crashed, before the end of the attempt is reported.
 */
static void
start_probe(struct attempt *a, const struct attempt_end *end)
{
	char url[ATTEMPT_URL_BYTES];
	struct http_client_request probe = {.method = "GET",
	    .url = url,
	    .timeout_ms = ATTEMPT_PROBE_MS,
	    .fresh = true,
	    .handler = &probe_handler,
	    .ctx = a};

	a->end_after_probe = *end;
	snprintf(url, sizeof(url), "http://%s/healthz", a->options.address);
	a->probe = http_client_start(a->options.client, &probe);
}

/* Probes the server if no data has arrived for progress_ms. */
static void
check_progress(void *ctx)
{
	struct attempt *a = ctx;
	struct attempt_end timed_out = {
	    .error = ERR_TIMEOUT, .run_state = ERR_MAY_HAVE_RUN};
	int64_t limit_us = (int64_t)a->options.progress_ms * US_PER_MS;
	int64_t silent_us = loop_now_us(a->options.loop) - a->last_data_us;

	a->progress_timer = NULL;
	/* While it waits, it is not read. */
	if (a->place.waiting || a->resume_timer != NULL)
		a->progress_timer =
		    loop_after(a->options.loop, limit_us, check_progress, a);
	else if (silent_us < limit_us)
		a->progress_timer = loop_after(
		    a->options.loop, limit_us - silent_us, check_progress, a);
	else if (a->probe == NULL)
		start_probe(a, &timed_out);
}

static void
start_call(struct attempt *a)
{
	const struct attempt_options *o = &a->options;
	const char *headers[ATTEMPT_HEADERS_MAX];
	char correlation[ATTEMPT_TEXT_BYTES + 32];
	char url[ATTEMPT_URL_BYTES];
	size_t n = 0;
	struct http_client_request request = {.method = o->method,
	    .url = url,
	    .headers = headers,
	    .body = o->body,
	    .len = o->len,
	    .timeout_ms = o->timeout_ms,
	    .fresh = o->fresh,
	    .handler = &call_handler,
	    .ctx = a};

	snprintf(url, sizeof(url), "http://%s%s", o->address, o->path);
	snprintf(correlation, sizeof(correlation), "Celeryford-Request: %s",
	    a->correlation);
	headers[n++] = correlation;
	for (const char *const *h = o->headers;
	     *h != NULL && n < ATTEMPT_HEADERS_MAX - 1; h++)
		headers[n++] = *h;
	headers[n] = NULL;
	a->call = http_client_start(o->client, &request);
}

/* Starts an attempt; the handler is only called after this returns. */
struct attempt *
attempt_start(const struct attempt_options *options)
{
	struct attempt *a = alloc_zero(options->alloc, 1, sizeof(*a));

	a->options = *options;
	snprintf(
	    a->correlation, sizeof(a->correlation), "%s", options->correlation);
	sse_init(&a->sse, options->alloc);
	buf_init(&a->body, options->alloc);
	buf_init(&a->events, options->alloc);
	a->last_data_us = loop_now_us(options->loop);
	a->progress_timer = loop_after(options->loop,
	    (int64_t)options->progress_ms * US_PER_MS, check_progress, a);
	start_call(a);
	/* Both point to the caller's stack, which the attempt outlives. */
	a->options.headers = NULL;
	a->options.correlation = NULL;
	return a;
}

/* Cancels the attempt if it is running, without a report, and frees it. */
void
attempt_free(struct attempt *a)
{
	if (a == NULL)
		return;
	a->ended = true;
	loop_cancel(a->progress_timer);
	loop_cancel(a->resume_timer);
	release_room(a);
	if (a->call != NULL)
		http_client_cancel(a->call);
	if (a->probe != NULL)
		http_client_cancel(a->probe);
	sse_free(&a->sse);
	buf_free(&a->body);
	buf_free(&a->events);
	alloc_free(a->options.alloc, a);
}

/* Pauses or resumes reading the answer, for a caller that reads slowly. */
void
attempt_pause(struct attempt *a, bool pause)
{
	a->last_data_us = loop_now_us(a->options.loop);
	if (a->call != NULL)
		http_client_set_paused(a->call, pause);
}

uint8_t
attempt_number(const struct attempt *a)
{
	return a->options.number;
}

/* Returns the complete body of an answer that isn't streamed. */
const struct buf *
attempt_body(const struct attempt *a)
{
	return &a->body;
}

/* Returns the withheld terminator event of a stream. */
const struct buf *
attempt_terminator(const struct attempt *a)
{
	return &a->sse.terminator;
}

/* Returns the answer's content type, or "" if it has none. */
const char *
attempt_content_type(const struct attempt *a)
{
	return a->content_type;
}

/* Returns the HTTP status of the answer; 200 if none was received. */
unsigned int
attempt_status(const struct attempt *a)
{
	return a->status > 0 ? (unsigned int)a->status : 200;
}

/* Returns the version named in a forwarded answer, or "". */
const char *
attempt_version(const struct attempt *a)
{
	return a->version;
}

/* Returns whether any byte of the request may have been sent. */
bool
attempt_was_sent(const struct attempt *a)
{
	return a->request_sent ||
	       (a->call != NULL && http_client_was_sent(a->call));
}
