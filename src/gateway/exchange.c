#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "gateway/entry.h"
#include "gateway/follow.h"
#include "route/cascade.h"
#include "route/course.h"
#include "route/patience.h"

/*
 * One caller's request: checked, placed, sent, answered.  The decisions are
 * route/pool.c's (where) and route/course.c's (what next); this file carries
 * them out and keeps the promises about what was sent.
 */

enum {
	TRIED_MAX = 8,
	ANSWER_MAX_BYTES = 16 * 1024 * 1024, /* of a plain answer, buffered */
	EVENT_MAX_BYTES = 1024 * 1024,
	SLOW_CALLER_BYTES = 512 * 1024, /* not taken yet: reading stops */
	RETRY_MIN_MS = 50,
	RETRY_FULL_MS = 300,
	RETRY_UNKNOWN_MS = 1500, /* while no document or server is known */
	UNKNOWN_LEFT_MS = 1500, /* a caller's time, where no route is known */
	BACKLOG_NONE_MS = 10, /* a server counts as idle below this */
	AWAIT_ORDERS_US = 700000, /* after a start */
	LEFT_MIN_MS = 10, /* less is no offer to a server */
	US_PER_MS = 1000,
	STATUS_MISDIRECTED = 421
};

/* The first attempt's or the current one's call to a backend server. */
struct attempt {
	struct hu_call *call; /* NULL: none under way */
	uint16_t server;
	enum pl_role role;
	int64_t sent_us;
	bool answered; /* the header has come */
	bool not_run; /* the server says so */
	bool defective;
	bool dropped; /* a larger model answers instead */
	int64_t progress_us; /* when it was sent, or a byte came */
	double expected_ms; /* until the first byte */
	double work_ms; /* expected, until its first byte; then 0 */
	double backlog_ms; /* at the server when it was sent */
	uint32_t tokens; /* of the prompt that the server has to read */
	unsigned int status;
};

struct gx {
	struct ge *ge;
	struct hf_exchange *x; /* NULL: the caller has left */
	struct ge_table *table;
	const struct rt_route *route;
	const struct rt_workspace *workspace; /* NULL: none is needed */
	struct ge_service *service;
	const struct rt_service *target;
	struct dl_request request;
	uint64_t fingerprint; /* of what may crash a server */
	uint8_t priority;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t first_us; /* 0: no byte has come yet */
	struct loop_timer *timer;
	struct attempt now;
	uint16_t model; /* index in the route's list */
	uint16_t tried[TRIED_MAX];
	uint8_t tried_count;
	uint8_t sends;
	uint8_t runs;
	bool may_have_run;
	bool begun; /* the caller has part of an answer */
	bool waiting;
	struct buf lines; /* header of a plain answer */
	struct buf body; /* its body, or the beginning of an event */
	bool has_event;
	uint64_t last_event; /* passed on */
	struct gx *prev;
	struct gx *next;
	struct gx *next_waiting;
};

static void place(struct gx *gx);
static void attempt_done(void *ctx, const struct hu_result *result);
static int on_head(void *ctx, struct hu_call *call, unsigned int status,
    const struct hh *headers);
static int on_data(
    void *ctx, struct hu_call *call, const void *data, size_t len);

static const struct hu_handler call_handler = {
    on_head, on_data, attempt_done};

static int64_t
now_of(const struct gx *gx)
{
	return loop_now_us(gx->ge->gw->loop);
}

/* Work has begun at the server, or never will. */
static void
begin_work(struct gx *gx)
{
	pl_begun(gx->ge->pool, gx->now.server, gx->now.work_ms);
	gx->now.work_ms = 0;
}

static void
gx_free(struct gx *gx)
{
	struct ge *ge = gx->ge;

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
		hu_cancel(gx->now.call);
		begin_work(gx);
		pl_ended(ge->pool, gx->now.server);
	}
	if (gx->prev != NULL)
		gx->prev->next = gx->next;
	else
		ge->open = gx->next;
	if (gx->next != NULL)
		gx->next->prev = gx->prev;
	ge_table_release(gx->table);
	buf_free(&gx->lines);
	buf_free(&gx->body);
	alloc_free(ge->gw->alloc, gx);
}

static void
log_end(const struct gx *gx, const char *outcome, unsigned int status)
{
	int64_t now_us = now_of(gx);

	log_event(LOG_LEVEL_INFO, "answered",
	    "request=%s route=%s outcome=%s status=%u ms=%" PRId64
	    " first_ms=%" PRId64 " sends=%u runs=%u may_have_run=%d "
	    "document=%" PRIu64,
	    gx->request.id, gx->route != NULL ? gx->route->name : "",
	    outcome, status, (now_us - gx->arrived_us) / US_PER_MS,
	    gx->first_us != 0 ? (gx->first_us - gx->arrived_us) / US_PER_MS
			      : -1,
	    gx->sends, gx->runs, gx->may_have_run,
	    gx->table != NULL ? gx->table->number : 0);
}

/*
 * Answers with an error of the gateway's own and ends the request.  Statuses
 * that promise that it has not run are the caller's of this to vouch for.
 */
static void
answer_error(struct gx *gx, int error, int64_t retry_ms)
{
	const struct dl_dialect *dialect = gx->ge->gw->dialect;
	const struct err_answer *row = err_answer(error);
	int64_t left_ms = (gx->deadline_us - now_of(gx)) / US_PER_MS;
	char seconds[32];
	struct hf_header headers[2] = {
	    {"Content-Type", "application/json"}, {"Retry-After", seconds}};
	struct buf body;

	/* Callers come back only within a third of the time they have left. */
	if (retry_ms > left_ms / 3)
		retry_ms = left_ms / 3;
	if (retry_ms < RETRY_MIN_MS)
		retry_ms = RETRY_MIN_MS;
	snprintf(seconds, sizeof(seconds), "%.3f", (double)retry_ms / 1000);
	log_end(gx, err_name(error), row->http_status);
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
static void
cut_answer(struct gx *gx)
{
	log_end(gx, "cut", 200);
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
		cut_answer(gx);
	else
		answer_error(
		    gx, gx->may_have_run ? ERR_TIMEOUT : ERR_NO_CAPACITY, 0);
}

/* How long the attempt under way may go on without progress; 0: forever. */
static int64_t
patience_us(const struct gx *gx)
{
	struct pa_input in = {.kind = gx->route->kind,
	    .resumable = gx->route->resumable,
	    .begun = gx->begun,
	    .can_move = gx->x != NULL &&
			gx->runs + 1 < gx->route->attempts_max &&
			bu_may_repeat(&gx->service->budget, now_of(gx)),
	    .goal_ms = gx->route->goal_ms,
	    .gap_goal_ms = gx->route->gap_goal_ms,
	    .expected_ms = gx->now.expected_ms};

	return gx->now.call != NULL ? pa_limit_us(&in) : 0;
}

/*
 * The attempt makes no progress: its connection is closed, as are those that
 * were kept to the same server, and the request goes to another one.
 */
static void
move_on(struct gx *gx)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, gx->now.server);

	log_event(LOG_LEVEL_WARN, "attempt_silent",
	    "request=%s server=%s begun=%d silent_ms=%" PRId64
	    " expected_ms=%.0f",
	    gx->request.id, s->said.id, gx->begun,
	    (now_of(gx) - gx->now.progress_us) / US_PER_MS,
	    gx->now.expected_ms);
	gx->may_have_run |= hu_was_sent(gx->now.call);
	gx->runs += hu_was_sent(gx->now.call);
	hu_cancel(gx->now.call);
	gx->now.call = NULL;
	begin_work(gx);
	pl_ended(ge->pool, gx->now.server);
	pl_outcome(ge->pool, gx->now.server, true, now_of(gx));
	hu_forget(ge->client, &s->address);
	place(gx);
}

static void on_timer(void *ctx);

/* Sets the timer to what is due first: the deadline, or lost patience. */
static void
set_timer(struct gx *gx)
{
	int64_t at_us = gx->deadline_us;
	int64_t patience = patience_us(gx);

	if (patience > 0 && gx->now.progress_us + patience < at_us)
		at_us = gx->now.progress_us + patience;
	loop_cancel(gx->timer);
	gx->timer = loop_after(
	    gx->ge->gw->loop, at_us - now_of(gx), on_timer, gx);
}

static void
on_timer(void *ctx)
{
	struct gx *gx = ctx;
	int64_t patience = patience_us(gx);
	int64_t now_us = now_of(gx);

	gx->timer = NULL;
	if (now_us >= gx->deadline_us)
		time_out(gx);
	else if (patience > 0 && now_us >= gx->now.progress_us + patience)
		move_on(gx);
	else
		set_timer(gx);
}

/* Hash of the prompt prefix that other requests share; 0: none. */
static uint64_t
affinity_of(const struct gx *gx, uint16_t model)
{
	const struct dl_request *r = &gx->request;

	if (!gx->route->sticky || r->part_count == 0)
		return 0;
	return (r->parts[r->part_count > 1 ? r->part_count - 2 : 0].id +
		   model) |
	       1;
}

static const char *
model_of(const struct gx *gx)
{
	const struct rt_route *route = gx->route;

	if (!gx->request.any_model || route->model_count == 0)
		return NULL;
	return route->models[gx->model];
}

static bool
rollout_runs(const struct gx *gx)
{
	const struct ord_rollout *rollout = ord_rollout_of(
	    gf_orders(gx->ge->gw->follow), gx->target->name);

	return rollout != NULL && rollout->state == ORD_RUNNING;
}

/* The version of the service that this request runs on. */
static enum pl_role
role_of(struct gx *gx, bool *bound)
{
	struct ge *ge = gx->ge;
	const struct ord_rollout *rollout =
	    ord_rollout_of(gf_orders(ge->gw->follow), gx->target->name);
	struct se_query query = {.session = gx->request.session,
	    .now_us = now_of(gx),
	    .permille = GE_TARGET_PERMILLE,
	    .draw = rng_below(&ge->rng, 1000)};

	*bound = false;
	if (rollout == NULL || rollout->state != ORD_RUNNING)
		return PL_BASE;
	query.order_age_us = query.now_us - rollout->ordered_us;
	return se_role(ge->sessions, &query, bound);
}

static void
write_head(const struct gx *gx, const struct pl_server *server, struct buf *out)
{
	const struct dl_dialect *dialect = gx->ge->gw->dialect;
	int64_t left_ms = (gx->deadline_us - now_of(gx)) / US_PER_MS;
	const struct buf *body = hf_body(gx->x);
	const char *method = hf_method(gx->x);
	struct dl_send send = {.deadline_ms =
				   left_ms > 0 ? (uint32_t)left_ms : 0,
	    .server = server->said.id,
	    .workspace = gx->workspace != NULL ? gx->workspace->name : NULL,
	    .model = model_of(gx),
	    .resumes = gx->has_event || gx->request.resumes,
	    .last_event = gx->last_event,
	    .priority = -1};

	buf_addf(out, "%s %s HTTP/1.1\r\n", method, hf_target(gx->x));
	dialect->ops->write_request(dialect, hf_headers(gx->x), &send, out);
	if (body->len > 0 || strcmp(method, "GET") != 0)
		buf_addf(out, "Content-Length: %zu\r\n", body->len);
	buf_adds(out, "\r\n");
}

/* Tokens of the prompt but for the caller's own last part. */
static uint32_t
shared_tokens(const struct gx *gx)
{
	uint32_t tokens = 0;

	for (uint8_t i = 0; i + 1 < gx->request.part_count; i++)
		tokens += gx->request.parts[i].tokens;
	return tokens;
}

static void
dispatch(struct gx *gx, uint16_t server, const struct pl_query *query)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, server);
	int64_t now_us = now_of(gx);
	struct buf head;
	struct hu_request request = {.address = s->address,
	    .head = &head,
	    .body = hf_body(gx->x)->data,
	    .len = hf_body(gx->x)->len,
	    .is_head = strcmp(hf_method(gx->x), "HEAD") == 0,
	    .handler = &call_handler,
	    .ctx = gx};

	gx->now = (struct attempt){
	    .server = server,
	    .role = s->role,
	    .sent_us = now_us,
	    .progress_us = now_us};
	if (gx->sends > 0) {
		bu_repeat(&gx->service->budget, now_us);
		ge->repeats->value++;
	}
	gx->sends++;
	if (gx->tried_count < TRIED_MAX)
		gx->tried[gx->tried_count++] = server;
	log_event(LOG_LEVEL_INFO, "dispatch",
	    "request=%s route=%s server=%s send=%u role=%d load=%u+%u "
	    "in_flight=%u left_ms=%" PRId64 " document=%" PRIu64,
	    gx->request.id, gx->route->name, s->said.id, gx->sends, s->role,
	    s->running, s->waiting, s->in_flight,
	    (gx->deadline_us - now_us) / US_PER_MS, gx->table->number);
	buf_init(&head, ge->gw->alloc);
	write_head(gx, s, &head);
	if (query->by_work) {
		gx->now.tokens = gx->request.prompt_tokens;
		gx->now.work_ms = query->work_ms;
		if (pl_is_home(ge->pool, server, query)) {
			gx->now.tokens -= shared_tokens(gx);
			gx->now.work_ms -= query->shared_ms;
		}
		gx->now.backlog_ms = pl_backlog_ms(ge->pool, server, now_us);
		gx->now.expected_ms = gx->now.work_ms + gx->now.backlog_ms;
	}
	pl_sent(ge->pool, server, gx->now.work_ms, now_us);
	if (se_note(ge->sessions, gx->request.session, s->role,
		rollout_runs(gx) ? GE_TARGET_PERMILLE : 0, now_us))
		gw_spread(ge->gw, GW_NOTE_HELD, gx->request.session, 1);
	gx->now.call = hu_start(ge->client, &request);
	buf_free(&head);
	if (gx->now.call == NULL) {
		struct hu_result failed = {
		    .error = ERR_IO, .unreachable = true};

		attempt_done(gx, &failed);
		return;
	}
	set_timer(gx);
}

/* What has not been sent may be refused; the caller learns when to return. */
static void
refuse(struct gx *gx, int error, int64_t retry_ms)
{
	if (gx->begun)
		cut_answer(gx);
	else
		answer_error(gx, gx->may_have_run ? ERR_UPSTREAM : error,
		    retry_ms);
}

/* What the request asks of a server, for a model of its route. */
static struct pl_query
query_for(struct gx *gx, uint16_t model)
{
	struct pl_query query = {.service = gx->target->name,
	    .by_work = gx->target->is_engine,
	    .affinity = affinity_of(gx, model),
	    .slots_more = gx->target->is_engine ? gx->target->slots / 2 : 6};
	const struct pc *pace = &gx->service->paces[model];
	bool bound;

	query.role = role_of(gx, &bound);
	query.any_role = !bound;
	if (query.by_work)
		query.work_ms = pc_work_ms(pace, gx->request.prompt_tokens);
	if (query.affinity != 0)
		query.shared_ms = pc_work_ms(pace, shared_tokens(gx));
	query.avoid_count = gx->tried_count;
	memcpy(query.avoid, gx->tried, sizeof(query.avoid));
	return query;
}

/* Places the request, or has it wait for a server. */
static void
place(struct gx *gx)
{
	struct ge *ge = gx->ge;
	struct pl_query query;
	uint16_t server = RT_NONE;

	if (gx->workspace != NULL && !gf_is_fresh(ge->gw->follow)) {
		refuse(gx, ERR_ISOLATED, RETRY_UNKNOWN_MS);
		return;
	}
	query = query_for(gx, gx->model);
	switch (pl_pick(ge->pool, &query, now_of(gx), &server)) {
	case PL_CHOSEN:
		dispatch(gx, server, &query);
		break;
	case PL_NONE:
		refuse(gx, ERR_NO_SERVER, RETRY_UNKNOWN_MS);
		break;
	case PL_FULL:
		if (now_of(gx) - gx->arrived_us >
		    (int64_t)gx->route->goal_ms * US_PER_MS / 2)
			refuse(gx, ERR_NO_CAPACITY, RETRY_FULL_MS);
		else if (!gx->waiting)
			ge_wait(ge, gx);
		break;
	}
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

static void
begin_answer(struct gx *gx)
{
	hf_begin(gx->x, gx->now.status, &gx->lines, true, 0);
	gx->begun = true;
}

/* Tokens that the answer will probably have. */
static uint32_t
output_guess(const struct gx *gx)
{
	return gx->request.output_tokens_guess > 0
		   ? gx->request.output_tokens_guess
		   : gx->request.output_tokens_max / 3;
}

/* Time until a model's first event, at the best server; -1: there is none. */
static int64_t
expected_us(struct gx *gx, uint16_t model)
{
	struct pl_query query = query_for(gx, model);
	uint16_t server;

	query.avoid_count = 0;
	if (pl_pick(gx->ge->pool, &query, now_of(gx), &server) != PL_CHOSEN)
		return -1;
	return (int64_t)((pl_backlog_ms(gx->ge->pool, server, now_of(gx)) +
			     query.work_ms) *
			 US_PER_MS);
}

/* Whether the answer that begins now is dropped for a larger model's. */
static bool
should_escalate(struct gx *gx, int confidence)
{
	int64_t now_us = now_of(gx);
	struct ca_input in = {.model_count = gx->route->model_count,
	    .model = gx->model,
	    .confidence = confidence,
	    .prompt_tokens = gx->request.prompt_tokens,
	    .output_tokens = output_guess(gx),
	    .may_repeat = gx->runs + 1 < gx->route->attempts_max &&
			  bu_may_repeat(&gx->service->budget, now_us),
	    .spent_us = now_us - gx->arrived_us,
	    .goal_us = (int64_t)gx->route->goal_ms * US_PER_MS,
	    .left_us = gx->deadline_us - now_us};
	uint16_t next;

	if (!gx->request.any_model || gx->begun || gx->x == NULL ||
	    gx->model + 1 >= gx->route->model_count)
		return false;
	next = ca_next(gx->route->model_count, gx->model);
	in.expected_us = expected_us(gx, next);
	if (in.expected_us < 0 || !ca_should_escalate(&in))
		return false;
	gx->model = next;
	log_event(LOG_LEVEL_INFO, "escalate",
	    "request=%s confidence=%d model=%s spent_ms=%" PRId64
	    " expected_ms=%" PRId64,
	    gx->request.id, confidence, gx->route->models[gx->model],
	    in.spent_us / US_PER_MS, in.expected_us / US_PER_MS);
	return true;
}

static int
on_head(void *ctx, struct hu_call *call, unsigned int status,
    const struct hh *headers)
{
	struct gx *gx = ctx;
	struct ge *ge = gx->ge;
	const struct dl_dialect *dialect = ge->gw->dialect;
	struct dl_answer answer;
	int64_t now_us = now_of(gx);

	(void)call;
	dialect->ops->read_answer(dialect, headers, &answer);
	if (answer.id != NULL && gx->request.id[0] != '\0' &&
	    strcmp(answer.id, gx->request.id) != 0) {
		log_event(LOG_LEVEL_WARN, "answer_of_another",
		    "request=%s server=%s", gx->request.id,
		    pl_at(ge->pool, gx->now.server)->said.id);
		return HU_NOT_OURS;
	}
	if (!gx->now.answered && gx->now.backlog_ms < BACKLOG_NONE_MS &&
	    gx->now.tokens > 0 && status < 300)
		pc_sample(&gx->service->paces[gx->model], gx->now.tokens,
		    now_us - gx->now.sent_us);
	begin_work(gx);
	gx->now.progress_us = now_us;
	gx->now.answered = true;
	gx->now.status = status;
	gx->now.not_run = answer.not_run || status == STATUS_MISDIRECTED;
	if (answer.has_load)
		pl_load(ge->pool, gx->now.server, answer.running,
		    answer.waiting, now_us);
	if (answer.has_cold)
		pl_cold(
		    ge->pool, gx->now.server, answer.cold_left_ms, now_us);
	if (status < 300 &&
	    (!answer.has_proof || answer.encoded || answer.id == NULL)) {
		gx->now.defective = true;
		return ERR_UPSTREAM;
	}
	if (status < 300 && should_escalate(gx, answer.confidence)) {
		gx->now.dropped = true;
		return ERR_UPSTREAM;
	}
	if (!gx->begun) {
		buf_clear(&gx->lines);
		dialect->ops->write_answer(dialect, headers, &gx->lines);
	}
	buf_clear(&gx->body);
	return 0;
}

/* Reads "id: N" of an event; false if there is none. */
static bool
event_id(const char *event, size_t len, uint64_t *id)
{
	size_t at = 0;

	while (at + 3 < len) {
		const char *end = memchr(event + at, '\n', len - at);

		if (strncmp(event + at, "id:", 3) == 0) {
			*id = strtoull(event + at + 3, NULL, 10);
			return true;
		}
		if (end == NULL)
			break;
		at = (size_t)(end - event) + 1;
	}
	return false;
}

/* Length of the first whole event, its blank line included; 0: none yet. */
static size_t
whole_event(const struct buf *buf)
{
	for (size_t i = 1; i < buf->len; i++) {
		if (buf->data[i] != '\n')
			continue;
		if (buf->data[i - 1] == '\n' ||
		    (i >= 3 && buf->data[i - 1] == '\r' &&
			buf->data[i - 2] == '\n'))
			return i + 1;
	}
	return 0;
}

static void
note_first(struct gx *gx)
{
	if (gx->first_us != 0)
		return;
	gx->first_us = now_of(gx);
	metrics_observe_us(gx->ge->first_us, gx->first_us - gx->arrived_us);
}

/* Passes whole events on as they come; half of one is kept back. */
static int
pass_events(struct gx *gx, const void *data, size_t len)
{
	size_t n, passed = 0;
	uint64_t id;

	buf_add(&gx->body, data, len);
	while ((n = whole_event(&gx->body)) > 0) {
		bool has_id =
		    event_id((const char *)gx->body.data, n, &id);

		/* A run that goes on may repeat what the caller has. */
		if (!(has_id && gx->has_event && id <= gx->last_event)) {
			if (!gx->begun)
				begin_answer(gx);
			if (gx->x != NULL)
				hf_write(gx->x, gx->body.data, n);
			if (has_id) {
				gx->last_event = id;
				gx->has_event = true;
			}
			passed += n;
		}
		buf_consume(&gx->body, n);
	}
	if (passed > 0)
		note_first(gx);
	return gx->body.len > EVENT_MAX_BYTES ? ERR_UPSTREAM : 0;
}

static int
on_data(void *ctx, struct hu_call *call, const void *data, size_t len)
{
	struct gx *gx = ctx;

	(void)call;
	gx->now.progress_us = now_of(gx);
	if (gx->now.not_run)
		return 0;
	if (gx->route->kind == RT_STREAM && gx->now.status < 300)
		return pass_events(gx, data, len);
	note_first(gx);
	buf_add(&gx->body, data, len);
	return gx->body.len > ANSWER_MAX_BYTES ? ERR_UPSTREAM : 0;
}

/* Statuses that promise that nothing ran, without the server's word for it. */
static bool
promises_not_run(unsigned int status)
{
	return status == 408 || status == 429 || status == 503;
}

static enum cs_end
classify(const struct gx *gx, const struct hu_result *result)
{
	if (gx->now.not_run && result->error == 0)
		return CS_NOT_RUN;
	if (gx->now.defective)
		return CS_DEFECTIVE;
	if (result->error == 0)
		return promises_not_run(result->status) ? CS_DEFECTIVE
							: CS_ANSWERED;
	if (!result->sent)
		return CS_UNREACHABLE;
	return gx->now.not_run ? CS_NOT_RUN : CS_BROKEN;
}

static void
note_outcome(struct gx *gx, enum cs_end end, unsigned int status)
{
	struct ge *ge = gx->ge;
	int64_t now_us = now_of(gx);
	bool failed = end == CS_BROKEN || end == CS_DEFECTIVE ||
		      (end == CS_ANSWERED && status >= 500);
	struct vd_counts *counts = gx->now.role == PL_TARGET
				       ? &gx->service->fresh
				       : &gx->service->known;

	if (end == CS_UNREACHABLE)
		pl_unreachable(ge->pool, gx->now.server, now_us);
	else if (end == CS_NOT_RUN)
		pl_full(ge->pool, gx->now.server, now_us);
	else
		pl_outcome(ge->pool, gx->now.server, failed, now_us);
	if (end == CS_UNREACHABLE || end == CS_NOT_RUN)
		return;
	counts->answers++;
	counts->failures += failed;
	if (!failed && gx->first_us != 0) {
		counts->seconds += (double)(gx->first_us - gx->now.sent_us) /
				   1000000;
		counts->work += 1 + gx->request.prompt_tokens / 4000.0;
	}
}

static void
pass_on(struct gx *gx)
{
	struct ge *ge = gx->ge;

	log_end(gx, "answered", gx->now.status);
	ge->answers->value++;
	metrics_observe_us(ge->whole_us, now_of(gx) - gx->arrived_us);
	if (gx->x == NULL) {
		gx_free(gx);
		return;
	}
	if (gx->begun) {
		if (gx->body.len > 0)
			hf_write(gx->x, gx->body.data, gx->body.len);
		hf_end(gx->x, true);
	} else {
		struct hf_exchange *x = gx->x;

		hf_begin(x, gx->now.status, &gx->lines, false, gx->body.len);
		hf_write(x, gx->body.data, gx->body.len);
		hf_end(x, true);
	}
	gx->x = NULL;
	gx_free(gx);
}

static void
attempt_done(void *ctx, const struct hu_result *result)
{
	struct gx *gx = ctx;
	struct ge *ge = gx->ge;
	enum cs_end end = classify(gx, result);
	struct cs_input in = {.kind = gx->route->kind,
	    .resumable = gx->route->resumable,
	    .end = end,
	    .status = gx->now.status,
	    .begun = gx->begun,
	    .runs_max = gx->route->attempts_max,
	    .left_us = gx->deadline_us - now_of(gx)};

	gx->now.call = NULL;
	begin_work(gx);
	pl_ended(ge->pool, gx->now.server);
	if (gx->now.dropped) {
		gx->runs++;
		gx->may_have_run = true;
		gx->tried_count = 0; /* its server may run the larger one */
		place(gx);
		ge_wake_waiting(ge);
		return;
	}
	note_outcome(gx, end, result->status);
	if (end != CS_UNREACHABLE && end != CS_NOT_RUN) {
		gx->runs++;
		gx->may_have_run = true;
	}
	in.may_have_run = gx->may_have_run;
	in.runs = gx->runs;
	in.sends = gx->sends;
	in.budget = bu_may_repeat(&gx->service->budget, now_of(gx));
	if (end != CS_ANSWERED)
		log_event(LOG_LEVEL_INFO, "attempt_failed",
		    "request=%s server=%s end=%d status=%u error=%s sent=%d "
		    "closed=%d reused=%d ms=%" PRId64,
		    gx->request.id, pl_at(ge->pool, gx->now.server)->said.id,
		    end, result->status, err_name(result->error),
		    result->sent, result->closed, result->reused,
		    (now_of(gx) - gx->now.sent_us) / US_PER_MS);
	if (gx->x == NULL) {
		gx_free(gx);
		ge_wake_waiting(ge);
		return;
	}
	switch (cs_next(&in)) {
	case CS_PASS_ON:
		pass_on(gx);
		break;
	case CS_AGAIN:
	case CS_RESUME:
		place(gx);
		break;
	case CS_REFUSE:
		answer_error(gx, ERR_NO_CAPACITY, RETRY_FULL_MS);
		break;
	case CS_FAIL:
		answer_error(gx, ERR_UPSTREAM, 0);
		break;
	case CS_CUT:
		cut_answer(gx);
		break;
	}
	ge_wake_waiting(ge);
}

/*
 * The caller has left.  Its request is cancelled at the server, unless it must
 * not run twice: that one goes on to its end.
 */
void
gx_gone(struct gx *gx)
{
	gx->x = NULL;
	log_end(gx, "caller_gone", 0);
	if (gx->route != NULL && gx->route->kind == RT_ONCE &&
	    gx->now.call != NULL)
		return;
	gx_free(gx);
}

/* Returns an error for a request that this instance can't let in. */
static int
admit(struct gx *gx, int64_t *retry_ms)
{
	struct ge *ge = gx->ge;
	const char *host = hh_get(hf_headers(gx->x), "Host");
	bool fresh = gf_is_fresh(ge->gw->follow);

	*retry_ms = ge->closed ? RETRY_MIN_MS : RETRY_UNKNOWN_MS;
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
	bu_request(&gx->service->budget, now_of(gx));
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
	       now_of(gx) - gx->arrived_us < AWAIT_ORDERS_US &&
	       now_of(gx) < gx->deadline_us;
}

/* Lets a request in, or answers why not. */
static void
enter(struct gx *gx)
{
	int64_t retry_ms = 0;
	int error = admit(gx, &retry_ms);

	set_deadline(gx);
	if (error == 0 &&
	    gx->deadline_us - now_of(gx) < LEFT_MIN_MS * US_PER_MS)
		error = ERR_NO_CAPACITY;
	if (error != 0 && should_await_orders(gx, error)) {
		ge_wait(gx->ge, gx);
		return;
	}
	if (error != 0) {
		answer_error(gx, error, retry_ms);
		return;
	}
	gx->priority = gx->workspace != NULL &&
			       gx->workspace->priority != RT_PRIORITY_NONE
			   ? gx->workspace->priority
			   : gx->route->priority;
	choose_target(gx);
	set_timer(gx);
	place(gx);
}

/* Tries again what waits for a server, or for the orders. */
void
gx_try(struct gx *gx)
{
	if (gx->target == NULL)
		enter(gx);
	else
		place(gx);
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
	gx->next = ge->open;
	if (ge->open != NULL)
		ge->open->prev = gx;
	ge->open = gx;
	hf_set_data(x, gx);
	ge->requests->value++;
	if (ge->gw->dialect->ops->read_request(ge->gw->dialect, hf_headers(x),
		&gx->request) != 0) {
		gx->deadline_us = gx->arrived_us + UNKNOWN_LEFT_MS * US_PER_MS;
		answer_error(gx, ERR_MALFORMED, 0);
		return;
	}
	gx->last_event = gx->request.last_event;
	gx->has_event = gx->request.resumes;
	enter(gx);
}
