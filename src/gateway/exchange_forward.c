#include "gateway/exchange.h"

#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "gateway/follow.h"
#include "gateway/forward.h"

/*
 * Forwards a request through another instance while this one has no path to the
 * servers of its service, and takes requests that others forward.  The instance
 * that takes one does everything that it does for its own callers; the one that
 * forwards it only passes the answer on.
 */

enum {
	/* Time in which the other instances are told after the path was lost */
	FORWARDERS_WAIT_US = 500000
};

/*
 * Draws an instance that the request has not been forwarded to yet.  Returns 0
 * if there is none.
 */
static uint32_t
draw_forwarder(struct gw_exchange *ex)
{
	uint32_t all[GW_FORWARDERS_MAX];
	uint32_t count = gw_list_forwarders(ex->entry->gw, all);
	uint32_t chosen = 0, seen = 0;

	if (ex->forward_count == GW_FORWARD_TRIES_MAX)
		return 0;
	for (uint32_t i = 0; i < count; i++) {
		bool tried = false;

		for (uint8_t k = 0; k < ex->forward_count; k++)
			tried |= ex->forward_tries[k] == all[i];
		if (!tried && rng_below(&ex->entry->rng, ++seen) == 0)
			chosen = all[i];
	}
	return chosen;
}

/*
 * Returns whether the request must go through another instance.  If no other
 * one reaches the servers either, they have probably ended, and the request is
 * treated as usual.
 */
bool
gw_exchange_must_forward(const struct gw_exchange *ex)
{
	uint32_t all[GW_FORWARDERS_MAX];
	const struct reach *reach = &ex->service_state->reach;

	if (!reach->lost || ex->forwarded_by != 0 ||
	    ex->entry->gw->settings->forward_port == 0 ||
	    ex->forward_count == GW_FORWARD_TRIES_MAX)
		return false;
	return gw_list_forwarders(ex->entry->gw, all) > ex->forward_count ||
	       gw_exchange_now_us(ex) - reach->lost_us < FORWARDERS_WAIT_US;
}

/* Writes the head of the request as the other instance gets it. */
static void
write_head(const struct gw_exchange *ex, struct buf *out)
{
	const struct gw_entry *entry = ex->entry;
	const struct gw_dialect *dialect = entry->gw->dialect;
	const char *target = front_target(ex->caller);
	int64_t left_ms =
	    (ex->deadline_us - gw_exchange_now_us(ex)) / US_PER_MS;
	struct gw_forward_header send = {
	    .deadline_ms = left_ms > 0 ? (uint32_t)left_ms : 0,
	    .resumes = ex->has_last_event || ex->request.resumes,
	    .last_event = ex->last_event_id,
	    .priority = -1};
	struct gw_forward forward = {.from = entry->gw->self,
	    .to = ex->attempt.forwarded_to,
	    .document = ex->table->number,
	    .sends = ex->send_count,
	    .runs = ex->route->attempts_max - ex->attempt.runs_max,
	    .may_have_run = ex->may_have_run,
	    .may_have_arrived = ex->may_have_arrived,
	    .is_counted = ex->is_counted};

	buf_addf(out, "%s %s HTTP/1.1\r\n", front_method(ex->caller), target);
	dialect->ops->write_forwarded(
	    dialect, front_headers(ex->caller), &send, out);
	gw_forward_write(&forward, target, &entry->keys, out);
	buf_addf(
	    out, "Content-Length: %zu\r\n\r\n", front_body(ex->caller)->len);
}

/* Handles the head of the answer that the other instance passes on. */
static int
on_head(void *ctx, struct upstream_call *call, unsigned int status,
    const struct header_fields *headers)
{
	struct gw_exchange *ex = ctx;
	const struct gw_dialect *dialect = ex->entry->gw->dialect;
	struct gw_answer_header answer;
	char to[GW_NAME_BYTES];

	(void)call;
	dialect->ops->read_answer(dialect, headers, &answer);
	if (answer.id != NULL && strcmp(answer.id, ex->request.id) != 0) {
		gw_format_address(ex->attempt.forwarded_to, to);
		gw_exchange_log_mismatch(ex, to);
		return UPSTREAM_SKIP_ANSWER;
	}
	ex->attempt.progress_us = gw_exchange_now_us(ex);
	ex->attempt.header_received = true;
	ex->attempt.status = status;
	ex->attempt.declined =
	    headers_get(headers, GW_FORWARD_DECLINED_FIELD) != NULL;
	if (status < 300 &&
	    (!answer.has_proof || answer.encoded || answer.id == NULL))
		return ERR_UPSTREAM;
	return gw_exchange_begin_body(ex, headers);
}

static int
on_data(void *ctx, struct upstream_call *call, const void *data, size_t len)
{
	(void)call;
	return gw_exchange_take_data(ctx, data, len);
}

/*
 * Returns how the attempt ended.  A declined request has not been sent to a
 * server, just as one whose instance can't be reached.  Instances send a length
 * or chunks, so that an answer without either is none of theirs.
 */
static enum retry_end
classify_end(const struct gw_exchange *ex, const struct upstream_result *result)
{
	if (!result->sent || (ex->attempt.declined && result->error == 0))
		return RETRY_END_UNREACHABLE;
	if (result->error != 0 || result->end == UPSTREAM_END_CONNECTION ||
	    gw_exchange_stops_within_event(ex))
		return RETRY_END_BROKEN;
	return RETRY_END_ANSWERED;
}

static void
on_done(void *ctx, const struct upstream_result *result)
{
	struct gw_exchange *ex = ctx;
	struct gw_entry *entry = ex->entry;
	enum retry_end end = classify_end(ex, result);
	char to[GW_NAME_BYTES];

	ex->attempt.call = NULL;
	ex->attempt.end = result->end;
	if (end == RETRY_END_ANSWERED) {
		/* A stream that has begun can't become an error. */
		if (ex->answer_begun && ex->attempt.status >= 300)
			gw_exchange_truncate(ex);
		else
			gw_exchange_complete(ex);
		gw_entry_retry_waiting(entry);
		return;
	}
	gw_format_address(ex->attempt.forwarded_to, to);
	gw_exchange_log(ex, LOG_LEVEL_INFO, "forward_failed",
	    "instance=%s declined=%d status=%u error=%s sent=%d ms=%" PRId64,
	    to, ex->attempt.declined, result->status, err_name(result->error),
	    result->sent,
	    (gw_exchange_now_us(ex) - ex->attempt.sent_us) / US_PER_MS);
	gw_exchange_follow_up(ex, end, result);
}

static const struct upstream_handler forward_handler = {
    on_head, on_data, on_done};

/*
 * Returns how often the other instance may run the request.  One run is kept
 * back for the case that the instance itself fails, since nobody knows then how
 * often it has run there.
 */
static uint8_t
runs_for_other(const struct gw_exchange *ex)
{
	uint8_t left = ex->route->attempts_max > ex->run_count
			   ? ex->route->attempts_max - ex->run_count
			   : 0;

	return left > 1 ? left - 1 : left;
}

/* Sends the request to another instance. */
static void
send_to(struct gw_exchange *ex, uint32_t instance)
{
	struct gw_entry *entry = ex->entry;
	int64_t now_us = gw_exchange_now_us(ex);
	struct buf head;
	struct upstream_request request = {
	    .address = {.sin_family = AF_INET,
		.sin_addr = {htonl(instance)},
		.sin_port = htons((uint16_t)entry->gw->settings->forward_port)},
	    .head = &head,
	    .body = front_body(ex->caller)->data,
	    .len = front_body(ex->caller)->len,
	    .is_head = strcmp(front_method(ex->caller), "HEAD") == 0,
	    .fresh = ex->request.id[0] == '\0',
	    .identity = gw_exchange_identity(ex),
	    .handler = &forward_handler,
	    .ctx = ex};
	char to[GW_NAME_BYTES];

	gw_waiting_remove(ex);
	ex->is_paused = ex->in_turn = ex->awaits_limit = false;
	ex->attempt = (struct gw_attempt){.server = ROUTE_NONE,
	    .forwarded_to = instance,
	    .runs_max = runs_for_other(ex),
	    .sent_us = now_us,
	    .progress_us = now_us};
	ex->forward_tries[ex->forward_count++] = instance;
	entry->forwarded->value++;
	gw_format_address(instance, to);
	gw_exchange_log(ex, LOG_LEVEL_INFO, "forward",
	    "route=%s service=%s instance=%s sends=%u runs=%u lost_ms=%" PRId64
	    " left_ms=%" PRId64,
	    ex->route->name, ex->service_state->name, to, ex->send_count,
	    ex->run_count,
	    (now_us - ex->service_state->reach.lost_us) / US_PER_MS,
	    (ex->deadline_us - now_us) / US_PER_MS);
	buf_init(&head, entry->gw->alloc);
	write_head(ex, &head);
	ex->attempt.call = upstream_start(entry->client, &request);
	buf_free(&head);
	if (ex->attempt.call == NULL) {
		struct upstream_result failed = {
		    .error = ERR_IO, .unreachable = true};

		on_done(ex, &failed);
		return;
	}
	gw_exchange_set_timer(ex);
}

/*
 * Sends the request to an instance that reaches the servers, waits until one is
 * known, or refuses it.
 */
void
gw_exchange_forward(struct gw_exchange *ex)
{
	uint32_t instance = draw_forwarder(ex);

	if (instance == 0) {
		if (gw_exchange_may_keep_waiting(ex))
			gw_exchange_wait(ex);
		else
			gw_exchange_refuse(
			    ex, ERR_NO_CAPACITY, GW_RETRY_FULL_MS);
		return;
	}
	if (ex->may_have_arrived &&
	    !retry_budget_consume(
		&ex->service_state->budget, gw_exchange_now_us(ex))) {
		gw_exchange_log_no_budget(ex);
		gw_exchange_refuse(ex, ERR_NO_CAPACITY, GW_RETRY_FULL_MS);
		return;
	}
	send_to(ex, instance);
}

/*
 * Returns why this instance can't take forwarded requests now, or NULL.  One
 * that has an older document than the sender might handle the request by it.
 */
static const char *
reason_to_decline(
    const struct gw_entry *entry, const struct gw_forward *forward)
{
	if (!gw_entry_takes_forwarded(entry))
		return "draining";
	if (entry->table == NULL || entry->table->number < forward->document)
		return "older_document";
	if (!gw_follower_is_fresh(entry->gw->order_follower))
		return "isolated";
	return NULL;
}

static void
decline(struct gw_entry *entry, struct front_exchange *x, uint32_t by,
    const char *why)
{
	const struct front_header header = {GW_FORWARD_DECLINED_FIELD, why};
	char from[GW_NAME_BYTES];

	gw_format_address(by, from);
	log_event(
	    LOG_LEVEL_INFO, "forward_declined", "from=%s why=%s", from, why);
	entry->forwards_declined->value++;
	front_set_data(x, NULL);
	front_answer(
	    x, err_answer(ERR_NO_CAPACITY)->http_status, &header, 1, NULL, 0);
}

/*
 * Returns whether a forwarded request can't be sent from here either.  One that
 * has been sent to a server from here is not declined any more.
 */
bool
gw_exchange_must_decline(const struct gw_exchange *ex)
{
	return ex->forwarded_by != 0 && ex->attempt.sent_us == 0 &&
	       ex->caller != NULL && ex->service_state->reach.lost;
}

/* Declines a forwarded request and frees it. */
void
gw_exchange_decline(struct gw_exchange *ex)
{
	decline(ex->entry, ex->caller, ex->forwarded_by, "servers_lost");
	ex->caller = NULL;
	gw_exchange_free(ex);
}

/* Starts processing a request that another instance forwards. */
void
gw_exchange_start_forwarded(struct gw_entry *entry, struct front_exchange *x)
{
	struct gw_forward forward;
	int error = gw_forward_read(front_headers(x), front_target(x),
	    entry->gw->self, &entry->keys, &forward);
	const char *why;
	char from[GW_NAME_BYTES];
	struct gw_exchange *ex;

	gw_format_address(forward.from, from);
	if (error != 0) {
		log_event(LOG_LEVEL_WARN, "forward_rejected",
		    "from=%s error=%s", from, err_name(error));
		front_set_data(x, NULL);
		front_answer(
		    x, err_answer(error)->http_status, NULL, 0, NULL, 0);
		return;
	}
	why = reason_to_decline(entry, &forward);
	if (why != NULL) {
		decline(entry, x, forward.from, why);
		return;
	}
	ex = gw_exchange_new(entry, x);
	if (ex == NULL)
		return;
	entry->forwards_taken->value++;
	gw_exchange_log(ex, LOG_LEVEL_INFO, "forward_taken",
	    "from=%s sends=%u runs=%u may_have_run=%d", from, forward.sends,
	    forward.runs, forward.may_have_run);
	ex->forwarded_by = forward.from;
	ex->send_count = (uint8_t)forward.sends;
	ex->run_count = (uint8_t)forward.runs;
	ex->may_have_run = forward.may_have_run;
	ex->may_have_arrived = forward.may_have_arrived;
	ex->is_counted = forward.is_counted;
	ex->is_retry_paid = forward.may_have_arrived;
	gw_exchange_admit(ex);
}
