#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "gateway/follow.h"

enum {
	DEFAULT_TIMEOUT_MS = 1500, /* deadline where no route is known */
	DEADLINE_MIN_MS = 10, /* with less left it is not sent to a server */
	/* After this time without a byte a server may have crashed. */
	SILENCE_SUSPECT_US = 1000000,
	/* Interval at which a stalled attempt looks for a retry budget. */
	STALL_RECHECK_US = 500000
};

/*
 * Returns the monotonic time in microseconds at which the event loop woke up.
 */
int64_t
gw_exchange_now_us(const struct gw_exchange *ex)
{
	return loop_now_us(ex->entry->gw->loop);
}

/*
 * Returns a hash of the id by which answers to the request are recognized.  A
 * caller may send a request with the same id again.
 */
uint64_t
gw_exchange_identity(const struct gw_exchange *ex)
{
	return XXH64(ex->request.id, strlen(ex->request.id), 0) | 1;
}

/*
 * Takes the request's work out of the server's backlog: it has begun there, or
 * never will.
 */
void
gw_exchange_clear_pending(struct gw_exchange *ex)
{
	if (ex->attempt.forwarded_to != 0)
		return;
	pool_record_work_start(
	    ex->entry->pool, ex->attempt.server, ex->attempt.pending_ms);
	ex->attempt.pending_ms = 0;
}

/* Records in the pool that the attempt at the server has ended. */
void
gw_exchange_leave_server(struct gw_exchange *ex)
{
	gw_exchange_clear_pending(ex);
	if (ex->attempt.forwarded_to != 0)
		return;
	pool_record_end(ex->entry->pool, ex->attempt.server);
	pool_record_departure(
	    ex->entry->pool, ex->attempt.server, ex->attempt.tokens);
}

/*
 * Frees the request and cancels its attempt.  If the server has been silent for
 * SILENCE_SUSPECT_US, the request becomes a crash suspect.
 */
void
gw_exchange_free(struct gw_exchange *ex)
{
	struct gw_entry *entry = ex->entry;

	gw_exchange_touch_session(ex);
	loop_cancel(ex->timer);
	if (ex->end_check.awaited) {
		struct suspects_life life = gw_exchange_life(ex);

		suspects_add_unproved_run(entry->suspects, &life, &ex->causes,
		    gw_exchange_now_us(ex));
		pool_release(entry->pool, ex->attempt.server);
	}
	gw_waiting_remove(ex);
	if (ex->attempt.call != NULL) {
		if (ex->attempt.forwarded_to == 0 &&
		    gw_exchange_now_us(ex) - ex->attempt.progress_us >=
			SILENCE_SUSPECT_US &&
		    upstream_was_sent(ex->attempt.call))
			gw_exchange_suspect_crash(ex, false);
		upstream_cancel(ex->attempt.call);
		gw_exchange_leave_server(ex);
	}
	if (ex->prev != NULL)
		ex->prev->next = ex->next;
	else
		entry->exchanges = ex->next;
	if (ex->next != NULL)
		ex->next->prev = ex->prev;
	gw_entry_table_release(ex->table);
	entry->buffered_bytes -= ex->buffered_bytes;
	buf_free(&ex->answer_head);
	buf_free(&ex->answer_body);
	buf_free(&ex->deferred_log);
	alloc_free(entry->gw->alloc, ex);
}

/* Inserts the request's id after the event name of a log line. */
static void
insert_request_id(struct buf *line, const char *id)
{
	const char *event = strstr(buf_text(line), " event=");
	const char *at = event != NULL ? strchr(event + 1, ' ') : NULL;
	size_t before;
	struct buf whole;

	if (at == NULL)
		return;
	before = (size_t)(at + 1 - buf_text(line));
	buf_init(&whole, line->alloc);
	buf_add(&whole, line->data, before);
	buf_adds(&whole, id);
	buf_add(&whole, line->data + before, line->len - before);
	buf_free(line);
	*line = whole;
}

/*
 * Logs a decision on the request, with its id.  Under a load that would exceed
 * the permitted rate of log lines, the lines of some requests are deferred and
 * written only if the request fails.  The log thus has either all lines of a
 * request or none, and always those of failed requests.
 */
void
gw_exchange_log(struct gw_exchange *ex, enum log_level level, const char *event,
    const char *format, ...)
{
	char with_id[LOG_QUOTED_BYTES * 2];
	struct buf line;
	va_list args;

	if (!log_is_enabled(level))
		return;
	snprintf(with_id, sizeof(with_id), "request=%s ",
	    ex->request.id[0] != '\0' ? ex->request.id : "-");
	buf_init(&line, ex->entry->gw->alloc);
	va_start(args, format);
	log_format_line(&line, level, event, format, args);
	va_end(args);
	insert_request_id(&line, with_id);
	if (ex->defers_log)
		buf_add(&ex->deferred_log, line.data, line.len);
	else
		log_lines(&line);
	buf_free(&line);
}

/*
 * Formats the ids of the prompt's parts that other requests may share, all but
 * the last, separated by commas.  Returns out.
 */
const char *
gw_exchange_format_parts(
    const struct gw_exchange *ex, char out[GW_PARTS_TEXT_BYTES])
{
	size_t len = 0;

	out[0] = '\0';
	for (uint8_t i = 0; i + 1 < ex->request.part_count; i++)
		len += (size_t)snprintf(out + len, GW_PARTS_TEXT_BYTES - len,
		    "%s%" PRIx64, i > 0 ? "," : "", ex->request.parts[i].id);
	return out;
}

/*
 * Logs the outcome of the request, and its deferred lines if it failed.
 * status: HTTP status, or 0 if the caller got none.
 */
void
gw_exchange_log_end(
    struct gw_exchange *ex, const char *outcome, unsigned int status)
{
	int64_t now_us = gw_exchange_now_us(ex);

	gw_exchange_log(ex, LOG_LEVEL_INFO, "answered",
	    "route=%s outcome=%s status=%u ms=%" PRId64 " first_ms=%" PRId64
	    " sends=%u runs=%u may_have_run=%d "
	    "document=%" PRIu64 " server_leaving=%d server_pause_ms=%u "
	    "events=%u longest_gap_ms=%" PRId64
	    " delimited_by=%s server_after=%s",
	    ex->route != NULL ? ex->route->name : "", outcome, status,
	    (now_us - ex->arrived_us) / US_PER_MS,
	    ex->first_byte_us != 0
		? (ex->first_byte_us - ex->arrived_us) / US_PER_MS
		: -1,
	    ex->send_count, ex->run_count, ex->may_have_run,
	    ex->table != NULL ? ex->table->number : 0,
	    ex->attempt.server_leaving, ex->attempt.pause_ms,
	    ex->attempt.events, ex->longest_gap_us / US_PER_MS,
	    upstream_end_name(ex->attempt.end),
	    ex->attempt.end_sign != NULL ? ex->attempt.end_sign : "-");
	if (ex->defers_log && strcmp(outcome, "answered") != 0)
		log_lines(&ex->deferred_log);
}

/*
 * Returns the Retry-After that a caller is told, in milliseconds: callers retry
 * only within a third of the time they have left.
 */
int64_t
gw_exchange_retry_after_ms(const struct gw_exchange *ex, int64_t retry_ms)
{
	int64_t left_ms =
	    (ex->deadline_us - gw_exchange_now_us(ex)) / US_PER_MS;

	if (retry_ms > left_ms / 3)
		retry_ms = left_ms / 3;
	return retry_ms < GW_RETRY_MIN_MS ? GW_RETRY_MIN_MS : retry_ms;
}

/*
 * Answers with an error of the gateway and frees the request.  Some statuses
 * promise that the request has not run; the calling function must make sure
 * that this is true.  retry_ms: proposed Retry-After of a status 503.
 */
void
gw_exchange_answer_error(struct gw_exchange *ex, int error, int64_t retry_ms)
{
	const struct gw_dialect *dialect = ex->entry->gw->dialect;
	const struct err_answer *row = err_answer(error);
	char seconds[32];
	struct front_header headers[2] = {
	    {"Content-Type", "application/json"}, {"Retry-After", seconds}};
	struct buf body;

	snprintf(seconds, sizeof(seconds), "%.3f",
	    (double)gw_exchange_retry_after_ms(ex, retry_ms) / 1000);
	gw_exchange_log_end(ex, err_name(error), row->http_status);
	ex->entry->refusals->value += row->http_status == 503;
	ex->entry->failures->value += row->http_status != 503;
	buf_init(&body, ex->entry->gw->alloc);
	dialect->ops->write_error(dialect, error, NULL, &body);
	if (ex->caller != NULL)
		front_answer(ex->caller, row->http_status, headers,
		    row->http_status == 503 ? 2 : 1, body.data, body.len);
	buf_free(&body);
	gw_exchange_free(ex);
}

/*
 * Truncates an answer that has begun and can't be completed, and frees the
 * request.
 */
void
gw_exchange_truncate(struct gw_exchange *ex)
{
	gw_exchange_log_end(ex, "cut", 200);
	ex->entry->failures->value++;
	if (ex->caller != NULL)
		front_end_answer(ex->caller, false);
	gw_exchange_free(ex);
}

/*
 * Ends a request whose deadline has passed, or that this instance can't finish
 * before its own end.  error: the reason if it has not run.
 */
static void
end_unfinished(struct gw_exchange *ex, int error)
{
	if (ex->attempt.call != NULL && upstream_was_sent(ex->attempt.call))
		ex->may_have_run = true;
	if (ex->answer_begun)
		gw_exchange_truncate(ex);
	else
		gw_exchange_answer_error(
		    ex, ex->may_have_run ? ERR_TIMEOUT : error, 0);
}

/* Ends a request because this instance ends. */
void
gw_exchange_end(struct gw_exchange *ex)
{
	gw_exchange_log(ex, LOG_LEVEL_WARN, "ended_by_shutdown",
	    "answer_begun=%d sends=%u", ex->answer_begun, ex->send_count);
	end_unfinished(ex, ERR_SHUTDOWN);
}

/* Returns whether a caller waits for the answer. */
bool
gw_exchange_has_caller(const struct gw_exchange *ex)
{
	return ex->caller != NULL;
}

static void on_timer(void *ctx);

/*
 * Sets the timer to the deadline or to the limit of the time without progress,
 * whichever comes first.  An attempt beyond that limit goes on because there is
 * no retry budget for another one, and is looked at again soon.
 */
void
gw_exchange_set_timer(struct gw_exchange *ex)
{
	int64_t at_us = ex->deadline_us;
	int64_t patience = gw_exchange_progress_limit_us(ex);
	int64_t stalled_us = ex->attempt.progress_us + patience;

	if (stalled_us <= gw_exchange_now_us(ex))
		stalled_us = gw_exchange_now_us(ex) + STALL_RECHECK_US;
	if (patience > 0 && stalled_us < at_us)
		at_us = stalled_us;
	loop_cancel(ex->timer);
	ex->timer = loop_after(
	    ex->entry->gw->loop, at_us - gw_exchange_now_us(ex), on_timer, ex);
}

static void
on_timer(void *ctx)
{
	struct gw_exchange *ex = ctx;
	int64_t patience = gw_exchange_progress_limit_us(ex);
	int64_t now_us = gw_exchange_now_us(ex);

	ex->timer = NULL;
	if (now_us >= ex->deadline_us)
		end_unfinished(ex, ERR_NO_CAPACITY);
	else if (patience > 0 && now_us >= ex->attempt.progress_us + patience &&
		 retry_budget_allows(&ex->service_state->budget, now_us))
		gw_exchange_abandon_attempt(ex);
	else
		gw_exchange_set_timer(ex);
}

/* Marks the request's session as in use now. */
void
gw_exchange_touch_session(const struct gw_exchange *ex)
{
	sessions_touch(
	    ex->entry->sessions, ex->request.session, gw_exchange_now_us(ex));
}

/* Returns the next of all requests under way, or NULL. */
struct gw_exchange *
gw_exchange_next(const struct gw_exchange *ex)
{
	return ex->next;
}

/* Frees a request without an answer, when the entry stops. */
void
gw_exchange_discard(struct gw_exchange *ex)
{
	ex->caller = NULL;
	gw_exchange_free(ex);
}

/*
 * Handles a caller that has disconnected.  Its request is cancelled at the
 * server, unless it must not run twice: such a request runs to its end.
 */
void
gw_exchange_caller_left(struct gw_exchange *ex)
{
	ex->caller = NULL;
	if (ex->route != NULL && ex->route->kind == ROUTE_AT_MOST_ONCE &&
	    ex->attempt.call != NULL) {
		gw_exchange_log(ex, LOG_LEVEL_INFO, "caller_gone",
		    "server=%s goes_on=1",
		    ex->attempt.forwarded_to == 0
			? pool_server_at(ex->entry->pool, ex->attempt.server)
			      ->announced.id
			: "");
		return;
	}
	gw_exchange_log_end(ex, "caller_gone", 0);
	gw_exchange_free(ex);
}

/*
 * Resumes reading from the server once the caller has received nearly all that
 * was buffered for it.
 */
void
gw_exchange_resume_reading(struct gw_exchange *ex)
{
	if (!ex->is_paused)
		return;
	ex->is_paused = false;
	ex->attempt.progress_us = gw_exchange_now_us(ex);
	if (ex->attempt.call != NULL)
		upstream_set_paused(ex->attempt.call, false);
	gw_exchange_set_timer(ex);
}

/*
 * Finds the request's route and workspace.  Returns 0, or the error with which
 * this instance refuses it; sets the Retry-After for that in milliseconds.
 */
static int
admit(
    struct gw_exchange *ex, const struct gw_arrival *arrival, int64_t *retry_ms)
{
	struct gw_entry *entry = ex->entry;
	bool fresh = gw_follower_is_fresh(entry->gw->order_follower);

	*retry_ms = entry->refuses_new ? GW_RETRY_MIN_MS : GW_RETRY_UNKNOWN_MS;
	if (entry->refuses_new && ex->forwarded_by == 0)
		return ERR_SHUTDOWN;
	if (ex->table == NULL && entry->table != NULL) {
		ex->table = entry->table;
		ex->table->users++;
	}
	if (ex->table == NULL)
		return ERR_NO_SERVER;
	ex->route = arrival->host != NULL
			? route_table_find_route(
			      ex->table->routes, arrival->host, arrival->target)
			: NULL;
	if (ex->route == NULL)
		return fresh ? ERR_NOT_FOUND : ERR_ISOLATED;
	if (!route_table_has_workspaces(ex->table->routes) ||
	    ex->route->is_public)
		return 0;
	/* Only a fresh document tells whether an API key is still valid. */
	if (!fresh)
		return ERR_ISOLATED;
	ex->workspace =
	    route_table_find_workspace(ex->table->routes, ex->request.key);
	return ex->workspace != NULL ? 0 : ERR_NO_KEY;
}

/* Counts the request for the retry budget of its service, once. */
void
gw_exchange_count_request(struct gw_exchange *ex)
{
	if (ex->is_counted)
		return;
	ex->is_counted = true;
	retry_budget_add_request(
	    &ex->service_state->budget, gw_exchange_now_us(ex));
	ex->service_state->requests->value++;
}

/* Chooses one of the route's services at random, by their weights. */
static void
choose_service(struct gw_exchange *ex)
{
	const struct route_entry *route = ex->route;
	uint32_t at = rng_below(&ex->entry->rng, route->weight_sum);
	uint16_t i = 0;

	while (i + 1 < route->target_count && at >= route->targets[i].weight)
		at -= route->targets[i++].weight;
	ex->service_config = route_table_service_at(
	    ex->table->routes, route->targets[i].service);
	ex->service_state =
	    gw_entry_get_service(ex->entry, ex->service_config->name);
}

/*
 * Sets the deadline to the caller's or the route's timeout, whichever is
 * shorter.
 */
static void
set_deadline(struct gw_exchange *ex)
{
	int64_t left_ms =
	    ex->route != NULL ? ex->route->timeout_ms : DEFAULT_TIMEOUT_MS;

	if (ex->request.has_deadline &&
	    (ex->route == NULL || ex->request.deadline_ms < left_ms))
		left_ms = ex->request.deadline_ms;
	ex->deadline_us = ex->arrived_us + left_ms * US_PER_MS;
}

/*
 * Returns whether a request that can't be admitted should wait, because this
 * instance has just started and is about to receive the routes and keys.
 */
static bool
should_await_orders(const struct gw_exchange *ex, int error)
{
	return (error == ERR_ISOLATED || error == ERR_NO_SERVER) &&
	       !gw_follower_was_fresh(ex->entry->gw->order_follower) &&
	       gw_exchange_now_us(ex) - ex->arrived_us < GW_STARTUP_WAIT_US &&
	       gw_exchange_now_us(ex) < ex->deadline_us;
}

/*
 * Returns a hash that stays the same when a caller repeats a request: of its
 * target, workspace and body.  The workspace stands for the caller instead of
 * the API key, since a workspace has several keys.
 */
static uint64_t
fingerprint_of(const struct gw_exchange *ex, const struct gw_arrival *arrival)
{
	const char *workspace_name =
	    ex->workspace != NULL ? ex->workspace->name : "";
	uint64_t hash = XXH64(arrival->target, strlen(arrival->target), 0);

	hash = XXH64(workspace_name, strlen(workspace_name), hash);
	return XXH64(arrival->body->data, arrival->body->len, hash);
}

/*
 * Sets by what crashes of servers are attributed to the request: its
 * fingerprint and the parts of its prompt but the last, which no other request
 * has.
 */
static void
set_causes(struct gw_exchange *ex, const struct gw_arrival *arrival)
{
	struct suspects_request *causes = &ex->causes;

	causes->fingerprint = fingerprint_of(ex, arrival);
	for (uint8_t i = 0; i + 1 < ex->request.part_count &&
			    causes->part_count < SUSPECTS_PARTS_MAX;
	     i++)
		causes->parts[causes->part_count++] = ex->request.parts[i].id;
}

/*
 * Returns whether this instance shuts down before an answer of the service is
 * probably complete; time: how long answers take from now on.  A stream that
 * can be resumed goes on at another instance.
 */
static bool
ends_too_soon(const struct gw_exchange *ex, const struct answer_time *time)
{
	return ex->entry->draining && ex->forwarded_by == 0 &&
	       !ex->route->resumable &&
	       !answer_time_fits(
		   time, ex->entry->ends_us - gw_exchange_now_us(ex));
}

/*
 * Returns whether a request that has not run had better not be sent to a server
 * any more, as this instance shuts down before its answer.
 */
bool
gw_exchange_is_too_late(const struct gw_exchange *ex)
{
	return !ex->may_have_run && !ex->answer_begun &&
	       ends_too_soon(ex, &ex->service_state->waiting.service_time);
}

/*
 * Decides whether a request is admitted, and finds its service.  Returns false
 * if it isn't; the placement says what is to be done with it then.  Besides the
 * state of the request, it changes only its service's state and the entry's
 * random generator.
 */
bool
gw_exchange_prepare(struct gw_exchange *ex, const struct gw_arrival *arrival,
    struct gw_placement *placement)
{
	int error;

	memset(placement, 0, sizeof(*placement));
	placement->place = GW_PLACE_REFUSE;
	placement->server = ROUTE_NONE;
	error = admit(ex, arrival, &placement->retry_ms);
	set_deadline(ex);
	if (error == 0 && ex->deadline_us - gw_exchange_now_us(ex) <
			      DEADLINE_MIN_MS * US_PER_MS)
		error = ERR_NO_CAPACITY;
	placement->error = error;
	if (error != 0) {
		if (should_await_orders(ex, error))
			placement->place = GW_PLACE_AWAIT_ORDERS;
		return false;
	}
	ex->priority = ex->workspace != NULL &&
			       ex->workspace->priority != ROUTE_PRIORITY_NONE
			   ? ex->workspace->priority
			   : ex->route->priority;
	set_causes(ex, arrival);
	choose_service(ex);
	gw_waiting_record_arrival(ex);
	if (ends_too_soon(ex, &ex->service_state->answer_time)) {
		placement->error = ERR_SHUTDOWN;
		placement->retry_ms = GW_RETRY_MIN_MS;
		return false;
	}
	return true;
}

/*
 * Admits the request and places it, queues it until the orders are known, or
 * answers with an error.
 */
void
gw_exchange_admit(struct gw_exchange *ex)
{
	struct gw_arrival arrival = {
	    .host = headers_get(front_headers(ex->caller), "Host"),
	    .target = front_target(ex->caller),
	    .body = front_body(ex->caller)};
	struct gw_placement placement;
	bool is_admitted = gw_exchange_prepare(ex, &arrival, &placement);

	/* A forwarded request is counted by the instance that sends it. */
	if (ex->service_state != NULL && !gw_exchange_must_forward(ex))
		gw_exchange_count_request(ex);
	if (!is_admitted) {
		if (placement.place == GW_PLACE_AWAIT_ORDERS)
			gw_entry_enqueue(ex->entry, ex);
		else
			gw_exchange_answer_error(
			    ex, placement.error, placement.retry_ms);
		return;
	}
	gw_exchange_choose_model(ex);
	gw_exchange_set_timer(ex);
	gw_exchange_place(ex);
}

/* Retries a request that waited for a server or for the orders. */
void
gw_exchange_retry_waiting(struct gw_exchange *ex)
{
	ex->in_turn = true;
	if (ex->service_config == NULL)
		gw_exchange_admit(ex);
	else
		gw_exchange_place(ex);
}

/*
 * Creates the state of a request.  Returns NULL if its header is malformed; it
 * has been answered then.
 */
struct gw_exchange *
gw_exchange_new(struct gw_entry *entry, struct front_exchange *x)
{
	struct gw_exchange *ex = alloc_zero(entry->gw->alloc, 1, sizeof(*ex));
	const struct alloc *answers;

	ex->entry = entry;
	ex->caller = x;
	ex->arrived_us = front_arrived_us(x);
	answers =
	    memory_budget_alloc(&entry->gw->memory.budget, MEMORY_ANSWERS);
	buf_init(&ex->answer_head, answers);
	buf_init(&ex->answer_body, answers);
	buf_init(&ex->deferred_log, answers);
	ex->defers_log = !gw_entry_may_log(entry);
	ex->next = entry->exchanges;
	if (entry->exchanges != NULL)
		entry->exchanges->prev = ex;
	entry->exchanges = ex;
	front_set_data(x, ex);
	entry->requests->value++;
	if (entry->gw->dialect->ops->read_request(
		entry->gw->dialect, front_headers(x), &ex->request) != 0) {
		ex->deadline_us =
		    ex->arrived_us + DEFAULT_TIMEOUT_MS * US_PER_MS;
		gw_exchange_answer_error(ex, ERR_MALFORMED, 0);
		return NULL;
	}
	ex->last_event_id = ex->request.last_event;
	ex->has_last_event = ex->request.resumes;
	ex->ids_consecutive = true;
	return ex;
}

/* Starts processing a caller's request. */
void
gw_exchange_start(struct gw_entry *entry, struct front_exchange *x)
{
	struct gw_exchange *ex = gw_exchange_new(entry, x);

	if (ex != NULL)
		gw_exchange_admit(ex);
}
