#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "gateway/follow.h"

enum {
	UNKNOWN_LEFT_MS = 1500, /* a caller's time, where no route is known */
	LEFT_MIN_MS = 10, /* less is no offer to a server */
	SILENT_US = 1000000 /* a server may have ended without a word */
};

int64_t
gx_now(const struct gx *gx)
{
	return loop_now_us(gx->ge->gw->loop);
}

/* Work has begun at the server, or never will. */
void
gx_begin_work(struct gx *gx)
{
	pl_begun(gx->ge->pool, gx->now.server, gx->now.work_ms);
	gx->now.work_ms = 0;
}

void
gx_free(struct gx *gx)
{
	struct ge *ge = gx->ge;

	gx_touch_session(gx);
	loop_cancel(gx->timer);
	if (gx->waiting) {
		for (struct gx **at = &ge->waiting; *at != NULL;
		     at = &(*at)->next_waiting) {
			if (*at == gx) {
				*at = gx->next_waiting;
				break;
			}
		}
	}
	if (gx->now.call != NULL) {
		if (gx_now(gx) - gx->now.progress_us >= SILENT_US &&
		    hu_was_sent(gx->now.call))
			gx_suspect(gx, false);
		hu_cancel(gx->now.call);
		gx_begin_work(gx);
		pl_ended(ge->pool, gx->now.server);
	}
	if (gx->prev != NULL)
		gx->prev->next = gx->next;
	else
		ge->open = gx->next;
	if (gx->next != NULL)
		gx->next->prev = gx->prev;
	ge_table_release(gx->table);
	ge->buffered -= gx->buffered;
	buf_free(&gx->lines);
	buf_free(&gx->body);
	buf_free(&gx->log);
	alloc_free(ge->gw->alloc, gx);
}

/* Puts the request's id after the name of the event. */
static void
insert_id(struct buf *line, const char *id)
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
 * Logs a decision on the request, with its id.  Where more requests come than
 * lines may be written, the lines of some are kept back and written only if
 * the request fails: so a log has all lines of a request or none, and always
 * those of the failed ones.
 */
void
gx_log(struct gx *gx, enum log_level level, const char *event,
    const char *format, ...)
{
	char with_id[LOG_QUOTED_BYTES * 2];
	struct buf line;
	va_list args;

	if (!log_is_enabled(level))
		return;
	snprintf(with_id, sizeof(with_id), "request=%s ",
	    gx->request.id[0] != '\0' ? gx->request.id : "-");
	buf_init(&line, gx->ge->gw->alloc);
	va_start(args, format);
	log_add(&line, level, event, format, args);
	va_end(args);
	insert_id(&line, with_id);
	if (gx->log_kept_back)
		buf_add(&gx->log, line.data, line.len);
	else
		log_lines(&line);
	buf_free(&line);
}

/* Ends the request in the log; failed ones are written in any case. */
void
gx_log_end(struct gx *gx, const char *outcome, unsigned int status)
{
	int64_t now_us = gx_now(gx);

	gx_log(gx, LOG_LEVEL_INFO, "answered",
	    "route=%s outcome=%s status=%u ms=%" PRId64 " first_ms=%" PRId64
	    " sends=%u runs=%u may_have_run=%d "
	    "document=%" PRIu64 " server_leaving=%d server_pause_ms=%u",
	    gx->route != NULL ? gx->route->name : "", outcome, status,
	    (now_us - gx->arrived_us) / US_PER_MS,
	    gx->first_us != 0 ? (gx->first_us - gx->arrived_us) / US_PER_MS
			      : -1,
	    gx->sends, gx->runs, gx->may_have_run,
	    gx->table != NULL ? gx->table->number : 0, gx->now.leaving,
	    gx->now.pause_ms);
	if (gx->log_kept_back && strcmp(outcome, "answered") != 0)
		log_lines(&gx->log);
}

/*
 * Answers with an error of the gateway's own and ends the request.  Statuses
 * that promise that it has not run are the caller's of this to vouch for.
 */
void
gx_answer_error(struct gx *gx, int error, int64_t retry_ms)
{
	const struct dl_dialect *dialect = gx->ge->gw->dialect;
	const struct err_answer *row = err_answer(error);
	int64_t left_ms = (gx->deadline_us - gx_now(gx)) / US_PER_MS;
	char seconds[32];
	struct hf_header headers[2] = {
	    {"Content-Type", "application/json"}, {"Retry-After", seconds}};
	struct buf body;

	/* Callers come back only within a third of the time they have left. */
	if (retry_ms > left_ms / 3)
		retry_ms = left_ms / 3;
	if (retry_ms < GX_RETRY_MIN_MS)
		retry_ms = GX_RETRY_MIN_MS;
	snprintf(seconds, sizeof(seconds), "%.3f", (double)retry_ms / 1000);
	gx_log_end(gx, err_name(error), row->http_status);
	gx->ge->refusals->value += row->http_status == 503;
	gx->ge->failures->value += row->http_status != 503;
	buf_init(&body, gx->ge->gw->alloc);
	dialect->ops->write_error(dialect, error, NULL, &body);
	if (gx->x != NULL)
		hf_answer(gx->x, row->http_status, headers,
		    row->http_status == 503 ? 2 : 1, body.data, body.len);
	buf_free(&body);
	gx_free(gx);
}

/* Ends an answer that has begun and can't be completed. */
void
gx_cut(struct gx *gx)
{
	gx_log_end(gx, "cut", 200);
	gx->ge->failures->value++;
	if (gx->x != NULL)
		hf_end(gx->x, false);
	gx_free(gx);
}

/* The caller's time, or the route's, is over. */
static void
time_out(struct gx *gx)
{
	if (gx->now.call != NULL && hu_was_sent(gx->now.call))
		gx->may_have_run = true;
	if (gx->begun)
		gx_cut(gx);
	else
		gx_answer_error(
		    gx, gx->may_have_run ? ERR_TIMEOUT : ERR_NO_CAPACITY, 0);
}

static void on_timer(void *ctx);

/* Sets the timer to what is due first: the deadline, or lost patience. */
void
gx_set_timer(struct gx *gx)
{
	int64_t at_us = gx->deadline_us;
	int64_t patience = gx_patience_us(gx);

	if (patience > 0 && gx->now.progress_us + patience < at_us)
		at_us = gx->now.progress_us + patience;
	loop_cancel(gx->timer);
	gx->timer =
	    loop_after(gx->ge->gw->loop, at_us - gx_now(gx), on_timer, gx);
}

static void
on_timer(void *ctx)
{
	struct gx *gx = ctx;
	int64_t patience = gx_patience_us(gx);
	int64_t now_us = gx_now(gx);

	gx->timer = NULL;
	if (now_us >= gx->deadline_us)
		time_out(gx);
	else if (patience > 0 && now_us >= gx->now.progress_us + patience)
		gx_move_on(gx);
	else
		gx_set_timer(gx);
}

/* Its session is in use, and counts as such from now on for a while. */
void
gx_touch_session(const struct gx *gx)
{
	se_touch(gx->ge->sessions, gx->request.session, gx_now(gx));
}

struct gx *
gx_next_open(const struct gx *gx)
{
	return gx->next;
}

/* Notes whether the request is on the list of those that wait. */
void
gx_set_waiting(struct gx *gx, bool waiting)
{
	gx->waiting = waiting;
}

/* Ends a request without an answer, when the entry stops. */
void
gx_drop(struct gx *gx)
{
	gx->x = NULL;
	gx_free(gx);
}

/* Order among those that wait: by priority, then by arrival. */
uint64_t
gx_rank(const struct gx *gx)
{
	return (uint64_t)gx->priority << 56 |
	       ((uint64_t)gx->arrived_us & 0xffffffffffffffULL);
}

struct gx **
gx_next_waiting(struct gx *gx)
{
	return &gx->next_waiting;
}

/*
 * The caller has left.  Its request is cancelled at the server, unless it must
 * not run twice: that one goes on to its end.
 */
void
gx_gone(struct gx *gx)
{
	gx->x = NULL;
	if (gx->route != NULL && gx->route->kind == RT_ONCE &&
	    gx->now.call != NULL) {
		gx_log(gx, LOG_LEVEL_INFO, "caller_gone", "server=%s goes_on=1",
		    pl_at(gx->ge->pool, gx->now.server)->said.id);
		return;
	}
	gx_log_end(gx, "caller_gone", 0);
	gx_free(gx);
}

/* The caller has taken what there was of the answer: more is read. */
void
gx_drained(struct gx *gx)
{
	if (!gx->paused)
		return;
	gx->paused = false;
	gx->now.progress_us = gx_now(gx);
	if (gx->now.call != NULL)
		hu_pause(gx->now.call, false);
	gx_set_timer(gx);
}

/* Returns an error for a request that this instance can't let in. */
static int
admit(struct gx *gx, int64_t *retry_ms)
{
	struct ge *ge = gx->ge;
	const char *host = hh_get(hf_headers(gx->x), "Host");
	bool fresh = gf_is_fresh(ge->gw->follow);

	*retry_ms = ge->closed ? GX_RETRY_MIN_MS : GX_RETRY_UNKNOWN_MS;
	if (ge->closed)
		return ERR_SHUTDOWN;
	if (gx->table == NULL && ge->table != NULL) {
		gx->table = ge->table;
		gx->table->users++;
	}
	if (gx->table == NULL)
		return ERR_NO_SERVER;
	gx->route = host != NULL
			? rt_route_of(gx->table->routes, host, hf_target(gx->x))
			: NULL;
	if (gx->route == NULL)
		return fresh ? ERR_NOT_FOUND : ERR_ISOLATED;
	if (!rt_has_workspaces(gx->table->routes) || gx->route->is_public)
		return 0;
	/* Whether a key still holds is known only with a fresh document. */
	if (!fresh)
		return ERR_ISOLATED;
	gx->workspace = rt_workspace_of(gx->table->routes, gx->request.key);
	return gx->workspace != NULL ? 0 : ERR_NO_KEY;
}

static void
choose_target(struct gx *gx)
{
	const struct rt_route *route = gx->route;
	uint32_t at = rng_below(&gx->ge->rng, route->weight_sum);
	uint16_t i = 0;

	while (i + 1 < route->target_count && at >= route->targets[i].weight)
		at -= route->targets[i++].weight;
	gx->target =
	    rt_service_at(gx->table->routes, route->targets[i].service);
	gx->service = ge_service_of(gx->ge, gx->target->name);
	bu_request(&gx->service->budget, gx_now(gx));
	gx->service->requests->value++;
}

/* Sets until when the caller waits, and the route allows. */
static void
set_deadline(struct gx *gx)
{
	int64_t left_ms =
	    gx->route != NULL ? gx->route->timeout_ms : UNKNOWN_LEFT_MS;

	if (gx->request.has_deadline &&
	    (gx->route == NULL || gx->request.deadline_ms < left_ms))
		left_ms = gx->request.deadline_ms;
	gx->deadline_us = gx->arrived_us + left_ms * US_PER_MS;
}

/*
 * Whether a request that can't be let in yet should wait: this instance has
 * just started and hears of routes and keys in a moment.
 */
static bool
should_await_orders(const struct gx *gx, int error)
{
	return (error == ERR_ISOLATED || error == ERR_NO_SERVER) &&
	       !gf_was_fresh(gx->ge->gw->follow) &&
	       gx_now(gx) - gx->arrived_us < GX_AWAIT_US &&
	       gx_now(gx) < gx->deadline_us;
}

/*
 * What stays the same when the same caller sends the same request again: its
 * target, workspace and body.  A workspace has several keys.
 */
static uint64_t
fingerprint_of(const struct gx *gx)
{
	const char *target = hf_target(gx->x);
	const char *caller = gx->workspace != NULL ? gx->workspace->name : "";
	uint64_t hash = XXH64(target, strlen(target), 0);

	hash = XXH64(caller, strlen(caller), hash);
	return XXH64(hf_body(gx->x)->data, hf_body(gx->x)->len, hash);
}

/* Lets a request in, or answers why not. */
static void
enter(struct gx *gx)
{
	int64_t retry_ms = 0;
	int error = admit(gx, &retry_ms);

	set_deadline(gx);
	if (error == 0 &&
	    gx->deadline_us - gx_now(gx) < LEFT_MIN_MS * US_PER_MS)
		error = ERR_NO_CAPACITY;
	if (error != 0 && should_await_orders(gx, error)) {
		ge_wait(gx->ge, gx);
		return;
	}
	if (error != 0) {
		gx_answer_error(gx, error, retry_ms);
		return;
	}
	gx->priority =
	    gx->workspace != NULL && gx->workspace->priority != RT_PRIORITY_NONE
		? gx->workspace->priority
		: gx->route->priority;
	gx->fingerprint = fingerprint_of(gx);
	choose_target(gx);
	gx_set_timer(gx);
	gx_place(gx);
}

/* Tries again what waits for a server, or for the orders. */
void
gx_try(struct gx *gx)
{
	if (gx->target == NULL)
		enter(gx);
	else
		gx_place(gx);
}

/* Takes a caller's request. */
void
gx_start(struct ge *ge, struct hf_exchange *x)
{
	struct gx *gx = alloc_zero(ge->gw->alloc, 1, sizeof(*gx));

	gx->ge = ge;
	gx->x = x;
	gx->arrived_us = hf_arrived_us(x);
	buf_init(&gx->lines, ge->gw->alloc);
	buf_init(&gx->body, ge->gw->alloc);
	buf_init(&gx->log, ge->gw->alloc);
	gx->log_kept_back = !ge_may_log(ge);
	gx->next = ge->open;
	if (ge->open != NULL)
		ge->open->prev = gx;
	ge->open = gx;
	hf_set_data(x, gx);
	ge->requests->value++;
	if (ge->gw->dialect->ops->read_request(
		ge->gw->dialect, hf_headers(x), &gx->request) != 0) {
		gx->deadline_us = gx->arrived_us + UNKNOWN_LEFT_MS * US_PER_MS;
		gx_answer_error(gx, ERR_MALFORMED, 0);
		return;
	}
	gx->last_event = gx->request.last_event;
	gx->has_event = gx->request.resumes;
	enter(gx);
}
