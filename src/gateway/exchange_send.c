#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "gateway/follow.h"
#include "route/patience.h"
#include "route/urgency.h"

/* Where a request goes, and how it is sent there. */

enum {
	RESUME_WAIT_US = 2000000, /* for a server, in the middle of a stream */
	STARTING_ROUNDS = 3, /* of announcements, until all servers are known */
	EXPOSURE_PERCENT = 90, /* of what a bad version may get */
	PLAIN_WAITING = 6 /* may wait at a server of a plain service */
};

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
	const struct ord_rollout *rollout =
	    ord_rollout_of(gf_orders(gx->ge->gw->follow), gx->target->name);

	return rollout != NULL && rollout->state == ORD_RUNNING;
}

/* Whether a roll-out has come to its trial under load. */
bool
gx_is_load_trial(const struct gx *gx, const struct ord_rollout *rollout)
{
	return rollout->state == ORD_RUNNING &&
	       vd_is_load_trial((gx_now(gx) - rollout->ordered_us) / US_PER_MS,
		   rollout->duration_ms);
}

/*
 * Whether the new version may get one more request without a session; for the
 * others every instance has to decide alike, by the session.  What it may get
 * is a share of all requests until the roll-out's time limit; late in the
 * roll-out the rest of them can be foreseen.
 */
static bool
trial_has_room(struct gx *gx, const struct ord_rollout *rollout)
{
	struct ge_service *v = gx->service;
	uint32_t most = gx->ge->gw->settings->exposure_permille;
	int64_t elapsed_ms = (gx_now(gx) - rollout->ordered_us) / US_PER_MS;
	uint64_t total;

	if (strcmp(v->trial, rollout->target) != 0) {
		snprintf(v->trial, sizeof(v->trial), "%s", rollout->target);
		v->trial_sent = v->trial_total = 0;
	}
	total = v->trial_total;
	if (gx_is_load_trial(gx, rollout) && elapsed_ms < rollout->duration_ms)
		total = total * rollout->duration_ms / (uint64_t)elapsed_ms;
	return (uint64_t)v->trial_sent * 1000 <=
	       total * most * EXPOSURE_PERCENT / 100;
}

/* The version of the service that this request runs on. */
static enum pl_role
role_of(struct gx *gx, bool *bound)
{
	struct ge *ge = gx->ge;
	const struct ord_rollout *rollout =
	    ord_rollout_of(gf_orders(ge->gw->follow), gx->target->name);
	struct se_query query = {.session = gx->request.session,
	    .now_us = gx_now(gx),
	    .permille = ge_trial_permille(ge, false),
	    .draw = rng_below(&ge->rng, 1000)};
	enum pl_role role;

	*bound = false;
	if (rollout == NULL || rollout->state != ORD_RUNNING)
		return PL_BASE;
	query.order_age_us = query.now_us - rollout->ordered_us;
	if (gx_is_load_trial(gx, rollout)) {
		query.permille = ge_trial_permille(ge, true);
		query.may_go_over = true;
	}
	role = se_role(ge->sessions, &query, bound);
	if (role == PL_TARGET && query.session == 0 &&
	    !trial_has_room(gx, rollout))
		role = PL_BASE;
	return role;
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

/* What the request asks of a server, for a model of its route. */
static struct pl_query
query_for(struct gx *gx, uint16_t model)
{
	struct pl_query query = {.service = gx->target->name,
	    .by_work = gx->target->is_engine,
	    .affinity = affinity_of(gx, model),
	    .slots_more =
		gx->target->is_engine ? gx->target->slots / 2 : PLAIN_WAITING};
	const struct pc *pace = &gx->service->paces[model];
	bool bound;

	query.role = role_of(gx, &bound);
	query.any_role = !bound;
	query.trial_permille = gx->ge->gw->settings->exposure_permille;
	if (query.by_work)
		query.work_ms = pc_work_ms(pace, gx->request.prompt_tokens);
	if (query.affinity != 0)
		query.shared_ms = pc_work_ms(pace, shared_tokens(gx));
	query.avoid_count = gx->tried_count;
	memcpy(query.avoid, gx->tried, sizeof(query.avoid));
	return query;
}

static void
write_head(const struct gx *gx, const struct pl_server *server, struct buf *out)
{
	const struct dl_dialect *dialect = gx->ge->gw->dialect;
	int64_t left_ms = (gx->deadline_us - gx_now(gx)) / US_PER_MS;
	const struct buf *body = hf_body(gx->x);
	const char *method = hf_method(gx->x);
	struct ur_input urgency = {.priority = gx->route->priority,
	    .goal_ms = gx->route->goal_ms,
	    .work_ms = gx->now.work_ms};
	struct dl_send send = {
	    .deadline_ms = left_ms > 0 ? (uint32_t)left_ms : 0,
	    .server = server->said.id,
	    .workspace = gx->workspace != NULL ? gx->workspace->name : NULL,
	    .model = model_of(gx),
	    .resumes = gx->has_event || gx->request.resumes,
	    .last_event = gx->last_event,
	    .priority = gx->target->is_engine ? ur_of(&urgency) : -1};

	buf_addf(out, "%s %s HTTP/1.1\r\n", method, hf_target(gx->x));
	dialect->ops->write_request(dialect, hf_headers(gx->x), &send, out);
	if (body->len > 0 || strcmp(method, "GET") != 0)
		buf_addf(out, "Content-Length: %zu\r\n", body->len);
	buf_adds(out, "\r\n");
}

static void
dispatch(struct gx *gx, uint16_t server, const struct pl_query *query)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, server);
	int64_t now_us = gx_now(gx);
	struct pl_spared spared = pl_spared(ge->pool, gx->target->name, now_us);
	struct bu_state budget;
	struct buf head;
	struct hu_request request = {.address = s->address,
	    .head = &head,
	    .body = hf_body(gx->x)->data,
	    .len = hf_body(gx->x)->len,
	    .is_head = strcmp(hf_method(gx->x), "HEAD") == 0,
	    .handler = &gx_call_handler,
	    .ctx = gx};

	gx->paused = false;
	gx->now = (struct gx_attempt){.server = server,
	    .role = s->role,
	    .born_ms = s->said.born_ms,
	    .sent_us = now_us,
	    .progress_us = now_us};
	if (gx->sends == 0)
		metrics_observe_us(ge->queue_us, now_us - gx->arrived_us);
	ge->repeats->value += gx->sends > 0;
	gx->service->repeats->value += gx->arrived;
	gx->sends++;
	if (gx->tried_count < GX_TRIED_MAX)
		gx->tried[gx->tried_count++] = server;
	budget = bu_read(&gx->service->budget, now_us);
	gx_log(gx, LOG_LEVEL_INFO, "dispatch",
	    "route=%s server=%s send=%u role=%d load=%u+%u "
	    "in_flight=%u left_ms=%" PRId64 " document=%" PRIu64
	    " session=%016" PRIx64
	    " service=%s requests=%u repeats=%u budget=%.1f instances=%u"
	    " leaving=%u paused=%u",
	    gx->route->name, s->said.id, gx->sends, s->role, s->running,
	    s->waiting, s->in_flight, (gx->deadline_us - now_us) / US_PER_MS,
	    gx->table->number, gx->request.session, gx->service->name,
	    budget.requests, budget.repeats, budget.left, ge->instances,
	    spared.leaving, spared.paused);
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
	gx->now.load = pl_load_of(ge->pool, server, now_us);
	gx->now.cold = now_us < s->cold_until_us;
	buf_init(&head, ge->gw->alloc);
	write_head(gx, s, &head);
	pl_sent(ge->pool, server, gx->now.work_ms, now_us);
	gx->service->trial_total++;
	gx->service->trial_sent += s->role == PL_TARGET;
	if (se_note(ge->sessions, gx->request.session, s->role,
		rollout_runs(gx) ? ge_trial_permille(ge, false) : 0, now_us))
		gw_spread(ge->gw, NT_HELD, gx->request.session, 0,
		    (uint32_t)ge->rollout);
	gx->now.call = hu_start(ge->client, &request);
	buf_free(&head);
	if (gx->now.call == NULL) {
		struct hu_result failed = {
		    .error = ERR_IO, .unreachable = true};

		gx_call_handler.done(gx, &failed);
		return;
	}
	gx_set_timer(gx);
}

/* Logs that the retry budget kept a request from another attempt. */
void
gx_log_no_budget(struct gx *gx)
{
	struct bu_state budget = bu_read(&gx->service->budget, gx_now(gx));

	gx->service->repeats_refused->value++;
	gx_log(gx, LOG_LEVEL_WARN, "repeat_refused",
	    "service=%s requests=%u repeats=%u budget=%.1f instances=%u",
	    gx->service->name, budget.requests, budget.repeats, budget.left,
	    gx->ge->instances);
}

/* What has not been sent may be refused; the caller learns when to return. */
void
gx_refuse(struct gx *gx, int error, int64_t retry_ms)
{
	if (gx->begun)
		gx_cut(gx);
	else
		gx_answer_error(
		    gx, gx->may_have_run ? ERR_UPSTREAM : error, retry_ms);
}

/*
 * Until when the request may wait for a server: half of the time in which an
 * answer is worth most, or, in the middle of a stream, as long as its caller
 * bears a pause.
 */
static int64_t
waits_until_us(const struct gx *gx)
{
	int64_t until_us =
	    gx->begun
		? gx->now.progress_us + RESUME_WAIT_US
		: gx->arrived_us + (int64_t)gx->route->goal_ms * US_PER_MS / 2;

	return until_us < gx->deadline_us ? until_us : gx->deadline_us;
}

static bool
may_wait(const struct gx *gx)
{
	return gx_now(gx) < waits_until_us(gx);
}

/*
 * Whether servers will be heard of in a moment: each announces itself once in
 * announce-ms, and an instance that has just started knows none.
 */
static bool
should_await_servers(const struct gx *gx)
{
	const struct ge *ge = gx->ge;
	int64_t announce_us = (int64_t)ge->gw->settings->announce_ms * 1000;

	if (gx->begun)
		return may_wait(gx);
	return gx_now(gx) - ge->started_us < STARTING_ROUNDS * announce_us &&
	       gx_now(gx) - gx->arrived_us < GX_AWAIT_US &&
	       gx_now(gx) < gx->deadline_us;
}

/* All servers are full, cold or out of reach: the request is queued. */
static void
wait_for_server(struct gx *gx)
{
	if (!gx->queued)
		gx_log(gx, LOG_LEVEL_INFO, "queued",
		    "route=%s service=%s priority=%u servers=%u",
		    gx->route->name, gx->target->name, gx->priority,
		    pl_count(gx->ge->pool));
	gx->queued = true;
	ge_wait(gx->ge, gx);
}

/*
 * No server takes the request now.  Where all that may run it asked for a pause
 * that is longer than it may wait, it is refused at once; its caller learns
 * when the first pause ends.
 */
static void
wait_or_refuse(struct gx *gx, const struct pl_query *query)
{
	int64_t now_us = gx_now(gx);
	int64_t opens_us = pl_opens_us(gx->ge->pool, query, now_us);
	int64_t retry_ms = (opens_us - now_us) / US_PER_MS;

	if (may_wait(gx) && opens_us < waits_until_us(gx)) {
		wait_for_server(gx);
		return;
	}
	if (opens_us > now_us)
		gx_log(gx, LOG_LEVEL_INFO, "servers_paused",
		    "service=%s opens_ms=%" PRId64, gx->target->name, retry_ms);
	gx_refuse(gx, ERR_NO_CAPACITY,
	    retry_ms > GX_RETRY_FULL_MS ? retry_ms : GX_RETRY_FULL_MS);
}

/*
 * Refuses a request that crashes the servers that run it, or may do so: one
 * that was broken off as often is let in again once its last servers have
 * answered.
 */
static void
refuse_for_crashes(struct gx *gx, const struct su_record *record)
{
	int64_t now_us = gx_now(gx);
	bool proved = record->crashes >= GE_CRASHES_REFUSED;
	int64_t until_us = proved ? record->marked_us + SU_MARK_US
				  : record->oldest_us + SU_SUSPECT_US;

	gx->ge->crash_refusals->value++;
	gx_log(gx, LOG_LEVEL_WARN, "refused_for_crashes",
	    "fingerprint=%016" PRIx64 " crashes=%u pending=%u lives=%016" PRIx64
	    ",%016" PRIx64 ",%016" PRIx64 " marked_ms=%" PRId64,
	    gx->fingerprint, record->crashes, record->pending, record->lives[0],
	    record->lives[1], record->lives[2],
	    record->crashes > 0 ? (now_us - record->marked_us) / US_PER_MS : 0);
	gx_refuse(gx, ERR_NO_CAPACITY, (until_us - now_us) / US_PER_MS);
}

/* Places the request, or has it wait for a server. */
void
gx_place(struct gx *gx)
{
	struct ge *ge = gx->ge;
	struct pl_query query;
	struct su_record record;
	uint16_t server = RT_NONE;

	if (gx->workspace != NULL && !gf_is_fresh(ge->gw->follow)) {
		gx_refuse(gx, ERR_ISOLATED, GX_RETRY_UNKNOWN_MS);
		return;
	}
	su_look(ge->suspects, gx->fingerprint, gx_now(gx), &record);
	if (record.crashes + record.pending >= GE_CRASHES_REFUSED) {
		refuse_for_crashes(gx, &record);
		return;
	}
	query = query_for(gx, gx->model);
	if (record.crashes + record.pending >= GE_CRASHES_ALONE)
		query.alone = gx->fingerprint;
	switch (pl_pick(ge->pool, &query, gx_now(gx), &server)) {
	case PL_CHOSEN:
		/* It may have waited since it was allowed another attempt. */
		if (gx->arrived && !bu_take(&gx->service->budget, gx_now(gx))) {
			gx_log_no_budget(gx);
			gx_refuse(gx, ERR_NO_CAPACITY, GX_RETRY_FULL_MS);
		} else
			dispatch(gx, server, &query);
		break;
	case PL_NONE:
		if (should_await_servers(gx))
			wait_for_server(gx);
		else
			gx_refuse(gx, ERR_NO_SERVER, GX_RETRY_UNKNOWN_MS);
		break;
	case PL_FULL:
		wait_or_refuse(gx, &query);
		break;
	}
}

/*
 * Reckons the work of reading the prompt with a model, and what waits at the
 * best server for it.  False: no server has room.
 */
bool
gx_expect(struct gx *gx, uint16_t model, int64_t *work_us, int64_t *backlog_us)
{
	struct pl_query query = query_for(gx, model);
	uint16_t server;

	query.avoid_count = 0;
	if (pl_pick(gx->ge->pool, &query, gx_now(gx), &server) != PL_CHOSEN)
		return false;
	*work_us = (int64_t)(query.work_ms * US_PER_MS);
	*backlog_us =
	    (int64_t)(pl_backlog_ms(gx->ge->pool, server, gx_now(gx)) *
		      US_PER_MS);
	return true;
}

/* How long the attempt under way may go on without progress; 0: forever. */
int64_t
gx_patience_us(const struct gx *gx)
{
	struct pa_input in = {.kind = gx->route->kind,
	    .resumable = gx->route->resumable,
	    .begun = gx->begun,
	    .can_move = gx->x != NULL &&
			gx->runs + 1 < gx->route->attempts_max &&
			bu_may_repeat(&gx->service->budget, gx_now(gx)),
	    .goal_ms = gx->route->goal_ms,
	    .gap_goal_ms = gx->route->gap_goal_ms,
	    .expected_ms = gx->now.expected_ms};

	return gx->now.call != NULL && !gx->paused ? pa_limit_us(&in) : 0;
}

/*
 * The attempt makes no progress: its connection is closed, as are those that
 * were kept to the same server, and the request goes to another one.
 */
void
gx_move_on(struct gx *gx)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, gx->now.server);

	if (hu_was_sent(gx->now.call))
		gx_suspect(gx, false);
	gx_log(gx, LOG_LEVEL_WARN, "attempt_silent",
	    "server=%s begun=%d silent_ms=%" PRId64 " expected_ms=%.0f",
	    s->said.id, gx->begun,
	    (gx_now(gx) - gx->now.progress_us) / US_PER_MS,
	    gx->now.expected_ms);
	gx->may_have_run |= hu_was_sent(gx->now.call);
	gx->arrived |= hu_was_sent(gx->now.call);
	gx->runs += hu_was_sent(gx->now.call);
	hu_cancel(gx->now.call);
	gx->now.call = NULL;
	gx_begin_work(gx);
	pl_ended(ge->pool, gx->now.server);
	pl_outcome(ge->pool, gx->now.server, true, gx_now(gx));
	hu_forget(ge->client, &s->address);
	gx_place(gx);
}
