#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "gateway/follow.h"
#include "gateway/path_check.h"
#include "route/stall.h"
#include "route/urgency.h"

/* Placement of a request on a backend server, and sending it there. */

enum {
	/* Longest wait for another server in the middle of a stream. */
	RESUME_WAIT_US = 2000000,
	/* Rounds of announcements until all servers are known. */
	STARTUP_ANNOUNCE_ROUNDS = 3,
	/* Part of the exposure limit, the most that a bad version may get. */
	TRIAL_EXPOSURE_PERCENT = 90,
	/* Most requests waiting at a server of a service that is no engine. */
	PLAIN_SERVICE_WAITING_MAX = 6,
	/*
	 * Part of its goal after which a request no longer waits for as much
	 * memory as it needs
	 */
	GOAL_PART_FOR_MEMORY = 8,
	WORKSPACE_SERIES_MAX = 256, /* workspaces with a metric of their own */
	/* Limit of the silence of another instance, relative to a server's */
	FORWARD_PATIENCE_FACTOR = 3,
	/* Callers refused because of limits are told to return within this. */
	LIMITED_RETURN_MAX_US = 10000000,
	US_PER_S = 1000000
};

/*
 * Returns a hash of the model and the prompt prefix that the request may share
 * with others; 0: it shares none.
 */
static uint64_t
affinity_of(const struct gw_exchange *ex, uint16_t model)
{
	const struct gw_request_header *r = &ex->request;

	if (!ex->route->sticky || r->part_count == 0)
		return 0;
	return (r->parts[r->part_count > 1 ? r->part_count - 2 : 0].id +
		   model) |
	       1;
}

/* Returns the model that the gateway has chosen; NULL: the caller's choice. */
const char *
gw_exchange_model(const struct gw_exchange *ex)
{
	const struct route_entry *route = ex->route;

	if (!ex->request.any_model || route->model_count == 0)
		return NULL;
	return route->models[ex->model_index];
}

/* Returns whether the service has a roll-out in its trial. */
static bool
is_rollout_running(const struct gw_exchange *ex)
{
	const struct ord_rollout *rollout = ord_newest_rollout(
	    gw_follower_orders(ex->entry->gw->order_follower),
	    ex->service_config->name);

	return rollout != NULL && rollout->state == ORD_RUNNING;
}

/* Returns whether a roll-out has reached its trial under load. */
bool
gw_exchange_is_load_trial(
    const struct gw_exchange *ex, const struct ord_rollout *rollout)
{
	return rollout->state == ORD_RUNNING &&
	       verdict_is_load_trial(
		   (gw_exchange_now_us(ex) - rollout->ordered_us) / US_PER_MS,
		   rollout->duration_ms);
}

/*
 * Returns whether the new version may get one more request that has no session.
 * (Requests with a session are assigned by the session, so that all instances
 * decide alike.)  The limit is a share of all requests until the end of the
 * roll-out; in the load trial, late in the roll-out, their total is
 * extrapolated from the requests so far.
 */
static bool
trial_has_room(struct gw_exchange *ex, const struct ord_rollout *rollout)
{
	struct gw_entry_service *service = ex->service_state;
	uint32_t most = ex->entry->gw->settings->exposure_permille;
	int64_t elapsed_ms =
	    (gw_exchange_now_us(ex) - rollout->ordered_us) / US_PER_MS;
	uint64_t total;

	if (strcmp(service->trial_version, rollout->target) != 0) {
		snprintf(service->trial_version, sizeof(service->trial_version),
		    "%s", rollout->target);
		service->trial_sent = service->trial_total = 0;
	}
	total = service->trial_total;
	if (gw_exchange_is_load_trial(ex, rollout) &&
	    elapsed_ms < rollout->duration_ms)
		total = total * rollout->duration_ms / (uint64_t)elapsed_ms;
	return (uint64_t)service->trial_sent * 1000 <=
	       total * most * TRIAL_EXPOSURE_PERCENT / 100;
}

/*
 * Chooses the version of the service for the request.  bound: set if the
 * session is bound to that version.
 */
static enum pool_role
choose_role(struct gw_exchange *ex, bool *bound)
{
	struct gw_entry *entry = ex->entry;
	const struct ord_rollout *rollout =
	    ord_newest_rollout(gw_follower_orders(entry->gw->order_follower),
		ex->service_config->name);
	struct sessions_query query = {.session = ex->request.session,
	    .now_us = gw_exchange_now_us(ex),
	    .permille = gw_entry_trial_permille(entry, false),
	    .draw = rng_below(&entry->rng, 1000)};
	enum pool_role role;

	*bound = false;
	if (rollout == NULL || rollout->state != ORD_RUNNING)
		return POOL_ROLE_BASE;
	query.order_age_us = query.now_us - rollout->ordered_us;
	if (gw_exchange_is_load_trial(ex, rollout)) {
		query.permille = gw_entry_trial_permille(entry, true);
		query.may_switch_version = true;
	}
	role = sessions_pick_role(entry->sessions, &query, bound);
	if (role == POOL_ROLE_TARGET && query.session == 0 &&
	    !trial_has_room(ex, rollout))
		role = POOL_ROLE_BASE;
	return role;
}

/*
 * Returns the tokens of all parts of the prompt but the last, which is the
 * caller's own and not shared with other requests.
 */
static uint32_t
shared_prompt_tokens(const struct gw_exchange *ex)
{
	uint32_t tokens = 0;

	for (uint8_t i = 0; i + 1 < ex->request.part_count; i++)
		tokens += ex->request.parts[i].tokens;
	return tokens;
}

/* Returns how long requests of the service take a slot; 0: not known. */
static double
service_ms(const struct gw_exchange *ex)
{
	return ex->service_state->waiting.service_time.mean_us / US_PER_MS;
}

/* Returns how many requests may wait at a server of the service. */
static uint32_t
server_waiting_max(const struct gw_exchange *ex)
{
	const struct route_service *config = ex->service_config;

	return config->is_engine ? admission_waiting_max(config->slots,
				       service_ms(ex), config->slots / 2)
				 : PLAIN_SERVICE_WAITING_MAX;
}

/*
 * Returns the expected time from sending the request until its answer begins,
 * in microseconds, if as many wait at the server as may.
 */
int64_t
gw_exchange_first_us(const struct gw_exchange *ex)
{
	double ms;

	if (ex->service_config == NULL)
		return 0;
	ms = ex->service_config->is_engine
		 ? prefill_work_ms(
		       &ex->service_state->prefill_rates[ex->model_index],
		       ex->request.prompt_tokens)
		 : service_ms(ex);
	if (ex->service_config->slots > 0)
		ms += server_waiting_max(ex) * service_ms(ex) /
		      ex->service_config->slots;
	return (int64_t)(ms * US_PER_MS);
}

/* Returns the tokens of memory that the request takes at an engine. */
uint32_t
gw_exchange_tokens(const struct gw_exchange *ex)
{
	const struct route_service *config = ex->service_config;
	uint64_t most =
	    config->memory_tokens > 0 ? config->memory_tokens : UINT32_MAX - 1;
	uint64_t tokens =
	    (uint64_t)ex->request.prompt_tokens + gw_exchange_output_tokens(ex);

	if (!config->is_engine)
		return 0;
	return (uint32_t)(tokens < most ? tokens : most);
}

/*
 * Sets how many requests the servers may get: some wait there, but none if one
 * of them has just refused this request, so that it isn't repeated at a server
 * that is as full.
 */
static void
bound_servers(const struct gw_exchange *ex, struct pool_query *query)
{
	const struct route_service *config = ex->service_config;
	const struct gw_waiting *waiting = &ex->service_state->waiting;
	int64_t waited_us = gw_exchange_now_us(ex) - ex->arrived_us;
	int64_t goal_us = (int64_t)ex->route->goal_ms * US_PER_MS;

	query->queue_slots = server_waiting_max(ex);
	query->service_ms = service_ms(ex);
	if (ex->refused_full && !ex->answer_begun)
		query->queue_slots = 0;
	query->takes_turns = ex->waiting == waiting;
	query->goes_first = ex->answer_begun;
	query->only_spare = ex->is_over_share && !ex->answer_begun;
	query->memory_tokens = config->memory_tokens;
	query->tokens = gw_exchange_tokens(ex);
	query->mean_tokens = waiting->mean_tokens;
	query->ignores_memory =
	    ex->answer_begun || waited_us > goal_us / GOAL_PART_FOR_MEMORY;
}

/* Builds the pool query for the request with a model of its route. */
static struct pool_query
make_pool_query(struct gw_exchange *ex, uint16_t model)
{
	struct pool_query query = {.service = ex->service_config->name,
	    .by_prompt_work = ex->service_config->is_engine,
	    .affinity = affinity_of(ex, model)};
	const struct prefill_rate *rate =
	    &ex->service_state->prefill_rates[model];
	bool bound;

	bound_servers(ex, &query);
	query.role = choose_role(ex, &bound);
	query.allow_other_role = !bound;
	query.trial_permille = ex->entry->gw->settings->exposure_permille;
	if (query.by_prompt_work)
		query.work_ms =
		    prefill_work_ms(rate, ex->request.prompt_tokens);
	if (query.affinity != 0)
		query.prefix_work_ms =
		    prefill_work_ms(rate, shared_prompt_tokens(ex));
	query.avoid_count = ex->tried_count;
	memcpy(query.avoid, ex->tried_servers, sizeof(query.avoid));
	return query;
}

/* Writes the head of the request as the backend server gets it. */
static void
write_head(const struct gw_exchange *ex, const struct pool_server *server,
    struct buf *out)
{
	const struct gw_dialect *dialect = ex->entry->gw->dialect;
	int64_t left_ms =
	    (ex->deadline_us - gw_exchange_now_us(ex)) / US_PER_MS;
	const struct buf *body = front_body(ex->caller);
	const char *method = front_method(ex->caller);
	struct urgency_input urgency = {.priority = ex->route->priority,
	    .goal_ms = ex->route->goal_ms,
	    .work_ms = ex->attempt.pending_ms};
	struct gw_forward_header send = {
	    .deadline_ms = left_ms > 0 ? (uint32_t)left_ms : 0,
	    .server = server->announced.id,
	    .workspace = ex->workspace != NULL ? ex->workspace->name : NULL,
	    .model = gw_exchange_model(ex),
	    .resumes = ex->has_last_event || ex->request.resumes,
	    .last_event = ex->last_event_id,
	    .priority = ex->service_config->is_engine
			    ? urgency_of_request(&urgency)
			    : -1};

	buf_addf(out, "%s %s HTTP/1.1\r\n", method, front_target(ex->caller));
	dialect->ops->write_request(
	    dialect, front_headers(ex->caller), &send, out);
	if (body->len > 0 || strcmp(method, "GET") != 0)
		buf_addf(out, "Content-Length: %zu\r\n", body->len);
	buf_adds(out, "\r\n");
}

/* Logs that the request goes to a server, and what decided that. */
static void
log_dispatch(struct gw_exchange *ex, const struct pool_server *s)
{
	struct gw_entry *entry = ex->entry;
	int64_t now_us = gw_exchange_now_us(ex);
	struct pool_withdrawn withdrawn =
	    pool_withdrawn(entry->pool, ex->service_config->name, now_us);
	struct retry_budget_state budget =
	    retry_budget_read(&ex->service_state->budget, now_us);
	bool bounded = pool_is_bounded(entry->pool, ex->attempt.server, now_us);

	gw_exchange_log(ex, LOG_LEVEL_INFO, "dispatch",
	    "route=%s server=%s send=%u role=%d load=%u+%u "
	    "in_flight=%u left_ms=%" PRId64 " document=%" PRIu64
	    " session=%016" PRIx64
	    " service=%s requests=%u repeats=%u budget=%.1f instances=%u"
	    " leaving=%u paused=%u limited=%u limit_milli_per_s=%u tokens=%.1f"
	    " slowness=%.2f takes_well=%u",
	    ex->route->name, s->announced.id, ex->send_count, s->role,
	    s->running, s->waiting, s->in_flight,
	    (ex->deadline_us - now_us) / US_PER_MS, ex->table->number,
	    ex->request.session, ex->service_state->name, budget.requests,
	    budget.repeats, budget.left, entry->members.count,
	    withdrawn.leaving, withdrawn.paused, withdrawn.limited,
	    s->limit.milli_per_s, bounded ? s->bucket.tokens : -1,
	    pool_slowness(entry->pool, ex->attempt.server, now_us),
	    pool_takes_well(entry->pool, ex->attempt.server, now_us));
}

/* Records when the first event of an attempt is expected, before it is sent. */
static void
predict_first_event(struct gw_exchange *ex, uint16_t server,
    const struct pool_query *query, bool is_home)
{
	struct server_pool *pool = ex->entry->pool;
	int64_t now_us = gw_exchange_now_us(ex);
	struct pool_estimate estimate;

	ex->attempt.nominal_ms =
	    pool_nominal_ms(pool, query, server, is_home, now_us);
	pool_estimate_server(pool, query, server, is_home, now_us, &estimate);
	ex->attempt.predicted_ms = estimate.first_event_ms;
}

/*
 * Sends the request to a server, logs and counts that, and records the server's
 * state for the evaluation of the answer.
 */
static void
dispatch(
    struct gw_exchange *ex, uint16_t server, const struct pool_query *query)
{
	struct gw_entry *entry = ex->entry;
	const struct pool_server *s = pool_server_at(entry->pool, server);
	int64_t now_us = gw_exchange_now_us(ex);
	bool is_home = pool_is_prefix_home(entry->pool, server, query);
	struct buf head;
	struct upstream_request request = {.address = s->address,
	    .head = &head,
	    .body = front_body(ex->caller)->data,
	    .len = front_body(ex->caller)->len,
	    .is_head = strcmp(front_method(ex->caller), "HEAD") == 0,
	    /* Without an id late answers of the connection can't be told. */
	    .fresh = ex->request.id[0] == '\0',
	    .identity = gw_exchange_identity(ex),
	    .handler = &gw_exchange_call_handler,
	    .ctx = ex};

	gw_waiting_record_send(ex);
	ex->is_paused = ex->in_turn = ex->awaits_limit = false;
	ex->is_retry_paid = ex->refused_full = false;
	ex->attempt = (struct gw_attempt){.server = server,
	    .role = s->role,
	    .runs_max = 1,
	    .tokens = query->tokens,
	    .born_ms = s->announced.born_ms,
	    .sent_us = now_us,
	    .progress_us = now_us};
	if (ex->send_count == 0)
		metrics_observe_us(entry->queue_us, now_us - ex->arrived_us);
	gw_exchange_count_request(ex);
	entry->repeats->value += ex->send_count > 0;
	ex->service_state->repeats->value += ex->may_have_arrived;
	ex->send_count++;
	if (ex->tried_count < GW_TRIED_SERVERS_MAX)
		ex->tried_servers[ex->tried_count++] = server;
	log_dispatch(ex, s);
	if (query->by_prompt_work) {
		ex->attempt.unread_tokens = ex->request.prompt_tokens;
		ex->attempt.pending_ms = query->work_ms;
		if (is_home) {
			ex->attempt.unread_tokens -= shared_prompt_tokens(ex);
			ex->attempt.pending_ms -= query->prefix_work_ms;
		}
		ex->attempt.backlog_ms =
		    pool_backlog_ms(entry->pool, server, now_us);
		ex->attempt.expected_ms =
		    ex->attempt.pending_ms + ex->attempt.backlog_ms;
	}
	ex->attempt.server_load =
	    pool_request_count(entry->pool, server, now_us);
	ex->attempt.server_cold = now_us < s->cold_until_us;
	predict_first_event(ex, server, query, is_home);
	buf_init(&head, entry->gw->alloc);
	write_head(ex, s, &head);
	pool_record_send(entry->pool, server, ex->attempt.pending_ms, now_us);
	pool_record_admission(entry->pool, server, ex->attempt.tokens);
	ex->service_state->trial_total++;
	ex->service_state->trial_sent += s->role == POOL_ROLE_TARGET;
	if (sessions_record_request(entry->sessions, ex->request.session,
		s->role,
		is_rollout_running(ex) ? gw_entry_trial_permille(entry, false)
				       : 0,
		now_us))
		gw_publish_note(entry->gw, GW_NOTE_SESSION_HELD,
		    ex->request.session, 0, (uint32_t)entry->rollout_number);
	ex->attempt.call = upstream_start(entry->client, &request);
	gw_path_watch(entry);
	buf_free(&head);
	if (ex->attempt.call == NULL) {
		struct upstream_result failed = {
		    .error = ERR_IO, .unreachable = true};

		gw_exchange_call_handler.done(ex, &failed);
		return;
	}
	gw_exchange_set_timer(ex);
}

/* Logs and counts that the retry budget did not allow another attempt. */
void
gw_exchange_log_no_budget(struct gw_exchange *ex)
{
	struct retry_budget_state budget = retry_budget_read(
	    &ex->service_state->budget, gw_exchange_now_us(ex));

	ex->service_state->repeats_refused->value++;
	gw_exchange_log(ex, LOG_LEVEL_WARN, "repeat_refused",
	    "service=%s requests=%u repeats=%u budget=%.1f instances=%u",
	    ex->service_state->name, budget.requests, budget.repeats,
	    budget.left, ex->entry->members.count);
}

/*
 * Ends the request without another attempt: with the given error and
 * Retry-After if it has not run, with ERR_UPSTREAM if it may have, or by
 * truncating an answer that has begun.
 */
void
gw_exchange_refuse(struct gw_exchange *ex, int error, int64_t retry_ms)
{
	if (ex->answer_begun)
		gw_exchange_truncate(ex);
	else
		gw_exchange_answer_error(
		    ex, ex->may_have_run ? ERR_UPSTREAM : error, retry_ms);
}

/*
 * Returns until when the request may wait for a server: half of the route's
 * latency goal, within which an answer is worth most, or, in the middle of a
 * stream, RESUME_WAIT_US, the longest pause that callers put up with.
 */
static int64_t
queue_limit_us(const struct gw_exchange *ex)
{
	int64_t until_us =
	    ex->answer_begun
		? ex->attempt.progress_us + RESUME_WAIT_US
		: ex->arrived_us + (int64_t)ex->route->goal_ms * US_PER_MS / 2;

	return until_us < ex->deadline_us ? until_us : ex->deadline_us;
}

bool
gw_exchange_may_keep_waiting(const struct gw_exchange *ex)
{
	return gw_exchange_now_us(ex) < queue_limit_us(ex);
}

/*
 * Returns whether the request should wait until more servers are known.  An
 * instance that has just started knows none yet; each server announces itself
 * once every announce-ms.
 */
static bool
should_await_servers(const struct gw_exchange *ex)
{
	const struct gw_entry *entry = ex->entry;
	int64_t announce_us = (int64_t)entry->gw->settings->announce_ms * 1000;

	if (ex->answer_begun)
		return gw_exchange_may_keep_waiting(ex);
	return gw_exchange_now_us(ex) - entry->started_us <
		   STARTUP_ANNOUNCE_ROUNDS * announce_us &&
	       gw_exchange_now_us(ex) - ex->arrived_us < GW_STARTUP_WAIT_US &&
	       gw_exchange_now_us(ex) < ex->deadline_us;
}

/* Queues the request, as all servers are full, cold or unreachable. */
void
gw_exchange_wait(struct gw_exchange *ex)
{
	if (!ex->was_queued)
		gw_exchange_log(ex, LOG_LEVEL_INFO, "queued",
		    "route=%s service=%s priority=%u servers=%u",
		    ex->route->name, ex->service_config->name, ex->priority,
		    pool_server_count(ex->entry->pool));
	ex->was_queued = true;
	ex->in_turn = false;
	ex->wait_until_us = 0;
	gw_entry_enqueue(ex->entry, ex);
}

/*
 * Returns when a caller that is refused because of the limits of all servers
 * should come back, in milliseconds from now.  Callers are told times as far
 * apart as the servers take requests from this instance; one that has no share
 * of any server sends them away for the mean time between two requests of an
 * instance.
 */
static int64_t
limited_retry_ms(struct gw_exchange *ex, const struct pool_opening *opening,
    int64_t opens_us)
{
	struct gw_entry *entry = ex->entry;
	int64_t *told_us = &ex->service_state->told_return_us;

	if (opening->per_s <= 0)
		return (int64_t)((0.5 + rng_unit(&entry->rng)) *
				 entry->members.count / opening->all_per_s *
				 1000);
	*told_us += (int64_t)(US_PER_S / opening->per_s);
	if (*told_us < opens_us || *told_us > opens_us + LIMITED_RETURN_MAX_US)
		*told_us = opens_us;
	return (*told_us - gw_exchange_now_us(ex)) / US_PER_MS;
}

/*
 * Counts a refusal by workspace.  Those beyond WORKSPACE_SERIES_MAX share a
 * series, which bounds the metrics page.
 */
static void
count_of_workspace(const struct gw_exchange *ex, const char *counter)
{
	char label[LOG_QUOTED_BYTES * 2];
	const char *name = "";

	if (ex->workspace != NULL)
		name = ex->workspace->index < WORKSPACE_SERIES_MAX
			   ? ex->workspace->name
			   : "(others)";
	if (strpbrk(name, "\"\\\n") != NULL)
		name = "(others)"; /* not allowed unescaped in a label value */
	snprintf(label, sizeof(label), "workspace=\"%s\"", name);
	metrics_get(ex->entry->gw->metrics, METRICS_COUNTER, counter, label)
	    ->value++;
}

/*
 * Refuses a request that can't be served in its time as the servers are full.
 * Retry-After tells the caller when those ahead of it have been sent.
 */
static void
refuse_as_full(struct gw_exchange *ex, const struct gw_placement *placement)
{
	const struct admission_wait *wait = &placement->wait;
	struct gw_entry *entry = ex->entry;
	const struct gw_waiting_shares *shares = gw_waiting_shares_of(ex);
	bool waited = ex->waiting == &ex->service_state->waiting;

	(waited ? entry->wait_refusals : entry->full_refusals)->value++;
	count_of_workspace(ex, "celeryford_workspace_full_refusals_total");
	if (waited)
		gw_waiting_record_wait(ex);
	gw_exchange_log(ex, LOG_LEVEL_INFO, "servers_full",
	    "service=%s workspace=%s level=%u waited_ms=%" PRId64
	    " ahead=%u arriving_per_s=%.2f sent_per_s=%.2f first_ms=%" PRId64
	    " answer_ms=%" PRId64 " left_ms=%" PRId64 " retry_ms=%" PRId64
	    " over_share=%d share_per_s=%.2f free_places=%u",
	    ex->service_config->name,
	    ex->workspace != NULL ? ex->workspace->name : "",
	    gw_waiting_level(ex), (wait->now_us - ex->arrived_us) / US_PER_MS,
	    wait->ahead, wait->arriving_per_s, wait->sent_per_s,
	    wait->first_us / US_PER_MS, wait->answer_us / US_PER_MS,
	    (ex->deadline_us - wait->now_us) / US_PER_MS, placement->retry_ms,
	    ex->is_over_share, shares != NULL ? shares->shares.level : 0,
	    pool_free_places(entry->pool, &placement->query, wait->now_us));
	gw_exchange_refuse(ex, placement->error, placement->retry_ms);
}

static void
set_refusal(struct gw_placement *placement, enum gw_place place, int error,
    int64_t retry_ms)
{
	placement->place = place;
	placement->error = error;
	placement->retry_ms = retry_ms;
}

/*
 * Decides on a request that waits for room within the rates of its service:
 * until when, or that it is refused.
 */
static void
decide_on_queue(struct gw_exchange *ex, struct gw_placement *placement)
{
	struct admission_wait *wait = &placement->wait;
	struct gw_waiting_shares *shares = gw_waiting_shares_of(ex);
	int64_t until_us;

	*wait = gw_waiting_describe(ex);
	if (shares != NULL)
		shares_record_contention(&shares->shares, wait->now_us);
	until_us = admission_wait_until_us(wait);
	if (until_us <= wait->now_us) {
		set_refusal(placement, GW_PLACE_REFUSE_FULL, ERR_NO_CAPACITY,
		    admission_retry_ms(&ex->service_state->waiting.returns,
			gw_waiting_level(ex), wait, GW_RETRY_FULL_MS,
			rng_unit(&ex->entry->rng)));
		return;
	}
	placement->place = GW_PLACE_WAIT;
	placement->until_us = until_us;
}

/*
 * Decides on a request for which no server has room.  It is refused at once if
 * all servers that may run it have asked for pauses beyond the time it may
 * wait, if their limits leave no room for it by then, or if those that wait
 * already leave it no time.  Retry-After tells the caller when they take
 * requests again.
 */
static void
decide_on_wait(struct gw_exchange *ex, struct gw_placement *placement)
{
	int64_t now_us = gw_exchange_now_us(ex);
	struct pool_opening *opening = &placement->opening;
	int64_t opens_us, retry_ms;

	*opening =
	    pool_next_opening(ex->entry->pool, &placement->query, now_us);
	opens_us = opening->first_us;
	ex->awaits_limit = opening->all_per_s > 0;
	if (!ex->awaits_limit && opens_us <= now_us && !ex->answer_begun) {
		decide_on_queue(ex, placement);
		return;
	}
	if (opening->per_s > 0) {
		placement->ahead = gw_waiting_ahead(ex);
		opens_us +=
		    (int64_t)(placement->ahead / opening->per_s * US_PER_S);
	}
	if (gw_exchange_may_keep_waiting(ex) && opens_us < queue_limit_us(ex)) {
		placement->place = GW_PLACE_WAIT;
		return;
	}
	placement->opens_ms = ex->awaits_limit
				  ? limited_retry_ms(ex, opening, opens_us)
				  : (opens_us - now_us) / US_PER_MS;
	retry_ms = placement->opens_ms > GW_RETRY_FULL_MS ? placement->opens_ms
							  : GW_RETRY_FULL_MS;
	set_refusal(placement,
	    ex->awaits_limit ? GW_PLACE_REFUSE_LIMITED : GW_PLACE_REFUSE_PAUSED,
	    ERR_NO_CAPACITY, retry_ms);
}

/* Queues the request as decided. */
static void
wait_as_decided(struct gw_exchange *ex, const struct gw_placement *placement)
{
	const struct admission_wait *wait = &placement->wait;

	if (placement->until_us != 0 && !wait->is_waiting) {
		ex->queued_us = wait->now_us;
		ex->expected_wait_us =
		    wait->sent_per_s > 0 ? admission_expected_wait_us(wait) : 0;
	}
	gw_exchange_wait(ex);
	ex->wait_until_us = placement->until_us;
}

/* Refuses a request since the servers' limits or pauses leave it no time. */
static void
refuse_until_open(struct gw_exchange *ex, const struct gw_placement *placement)
{
	if (placement->place == GW_PLACE_REFUSE_LIMITED) {
		ex->entry->limit_refusals->value++;
		gw_exchange_log(ex, LOG_LEVEL_INFO, "servers_limited",
		    "service=%s retry_ms=%" PRId64
		    " ahead=%u share_per_s=%.3f all_per_s=%.3f",
		    ex->service_config->name, placement->opens_ms,
		    placement->ahead, placement->opening.per_s,
		    placement->opening.all_per_s);
	} else if (placement->opens_ms > 0)
		gw_exchange_log(ex, LOG_LEVEL_INFO, "servers_paused",
		    "service=%s opens_ms=%" PRId64, ex->service_config->name,
		    placement->opens_ms);
	gw_exchange_refuse(ex, placement->error, placement->retry_ms);
}

/*
 * Returns whether the request must let others that wait for the service go
 * first, unless they only wait for more memory than it needs.  Requests that
 * have waited as long as they may go on at once, and so do those whose answer
 * of a smaller model was dropped, which can't be had again.
 */
static bool
must_queue_up(struct gw_exchange *ex, uint16_t server)
{
	if (ex->in_turn || ex->answer_begun || ex->attempt.escalated ||
	    !gw_exchange_may_keep_waiting(ex))
		return false;
	ex->awaits_limit =
	    pool_is_limited(ex->entry->pool, server, gw_exchange_now_us(ex));
	return !gw_waiting_lets_pass(ex) && gw_waiting_ahead(ex) > 0;
}

/*
 * Returns in how many milliseconds a request that crashes servers, or may do
 * so, is admitted again: if some of its broken attempts are not proved to be
 * crashes, once the servers of these attempts have answered other requests.
 */
static int64_t
crashes_retry_ms(
    const struct gw_exchange *ex, const struct suspects_summary *record)
{
	int64_t now_us = gw_exchange_now_us(ex);
	int64_t until_us = record->marked_us + SUSPECTS_MARK_TTL_US;

	if (record->crashes < SUSPECTS_REFUSED_MIN)
		until_us = record->oldest_us + SUSPECTS_RUN_TTL_US;
	else if (record->cause.is_part && record->trial_us > now_us)
		until_us = record->trial_us;
	return (until_us - now_us) / US_PER_MS;
}

/* Refuses a request that crashes servers, by itself or by a part. */
static void
refuse_for_crashes(struct gw_exchange *ex, const struct gw_placement *placement)
{
	const struct suspects_summary *record = &placement->record;
	int64_t now_us = gw_exchange_now_us(ex);

	ex->entry->crash_refusals->value++;
	gw_exchange_log(ex, LOG_LEVEL_WARN, "refused_for_crashes",
	    "%s=%016" PRIx64 " crashes=%u pending=%u lives=%016" PRIx64
	    ",%016" PRIx64 ",%016" PRIx64 " marked_ms=%" PRId64,
	    record->cause.is_part ? "part" : "fingerprint", record->cause.id,
	    record->crashes, record->pending, record->lives[0],
	    record->lives[1], record->lives[2],
	    record->crashes > 0 ? (now_us - record->marked_us) / US_PER_MS : 0);
	gw_exchange_refuse(ex, placement->error, placement->retry_ms);
}

/*
 * Returns whether a request that is to be refused for a part of its prompt is
 * tried instead.  Only one instance of all tries, one request at a time.
 */
static bool
is_trial_due(
    const struct gw_exchange *ex, const struct suspects_summary *record)
{
	const struct rate_members *members = &ex->entry->members;

	if (!record->cause.is_part || record->pending > 0 ||
	    gw_exchange_now_us(ex) < record->trial_us || members->count == 0 ||
	    record->placement_hash % members->count + 1 != members->place)
		return false;
	for (const struct gw_exchange *other = ex->entry->exchanges;
	     other != NULL; other = other->next) {
		if (other->attempt.call != NULL &&
		    suspects_contains_cause(&other->causes, &record->cause))
			return false;
	}
	return true;
}

/* Marks a request that tries whether a part of prompts still crashes. */
static void
begin_crash_trial(struct gw_exchange *ex, const struct suspects_summary *record)
{
	if (ex->is_crash_trial)
		return;
	ex->is_crash_trial = true;
	gw_exchange_log(ex, LOG_LEVEL_WARN, "trial_after_crashes",
	    "part=%016" PRIx64 " crashes=%u marked_ms=%" PRId64,
	    record->cause.id, record->crashes,
	    (gw_exchange_now_us(ex) - record->marked_us) / US_PER_MS);
}

/* Decides on a request for which the pool has picked a server. */
static void
decide_on_pick(struct gw_exchange *ex, struct gw_placement *placement)
{
	if (must_queue_up(ex, placement->server)) {
		/* The place may be none for those ahead of it. */
		if (is_rollout_running(ex) && !ex->awaits_limit)
			placement->place = GW_PLACE_WAIT;
		else
			decide_on_wait(ex, placement);
		return;
	}
	/* The budget may have changed while the request waited. */
	if (ex->may_have_arrived && !ex->is_retry_paid &&
	    !retry_budget_consume(
		&ex->service_state->budget, gw_exchange_now_us(ex)))
		set_refusal(placement, GW_PLACE_REFUSE_BUDGET, ERR_NO_CAPACITY,
		    GW_RETRY_FULL_MS);
	else
		placement->place = GW_PLACE_SEND;
}

/*
 * Decides what is to be done with the request now.  Besides the state of the
 * request, it changes only the pool, its service's state and the entry's random
 * generator: it logs, counts and sends nothing.
 */
void
gw_exchange_decide(struct gw_exchange *ex, struct gw_placement *placement)
{
	struct gw_entry *entry = ex->entry;
	struct suspects_summary *record = &placement->record;

	memset(placement, 0, sizeof(*placement));
	placement->server = ROUTE_NONE;
	if (ex->workspace != NULL &&
	    !gw_follower_is_fresh(entry->gw->order_follower)) {
		set_refusal(placement, GW_PLACE_REFUSE, ERR_ISOLATED,
		    GW_RETRY_UNKNOWN_MS);
		return;
	}
	if (gw_exchange_must_decline(ex)) {
		placement->place = GW_PLACE_DECLINE;
		return;
	}
	if (gw_exchange_is_too_late(ex)) {
		set_refusal(
		    placement, GW_PLACE_REFUSE, ERR_SHUTDOWN, GW_RETRY_MIN_MS);
		return;
	}
	if (gw_exchange_must_forward(ex)) {
		placement->place = GW_PLACE_FORWARD;
		return;
	}
	suspects_lookup(
	    entry->suspects, &ex->causes, gw_exchange_now_us(ex), record);
	placement->is_trial = record->refused && is_trial_due(ex, record);
	if (record->refused && !placement->is_trial) {
		set_refusal(placement, GW_PLACE_REFUSE_CRASHES, ERR_NO_CAPACITY,
		    crashes_retry_ms(ex, record));
		return;
	}
	gw_waiting_check_share(ex);
	placement->query = make_pool_query(ex, ex->model_index);
	if (record->alone)
		placement->query.suspect_hash = record->placement_hash;
	switch (pool_pick_server(entry->pool, &placement->query,
	    gw_exchange_now_us(ex), &placement->server)) {
	case POOL_PICKED:
		decide_on_pick(ex, placement);
		break;
	case POOL_NO_SERVER:
		if (should_await_servers(ex))
			placement->place = GW_PLACE_AWAIT_SERVERS;
		else
			set_refusal(placement, GW_PLACE_REFUSE, ERR_NO_SERVER,
			    GW_RETRY_UNKNOWN_MS);
		break;
	case POOL_NO_CAPACITY:
		decide_on_wait(ex, placement);
		break;
	}
}

/* Sends the request to a server, queues it, or refuses it. */
void
gw_exchange_place(struct gw_exchange *ex)
{
	struct gw_placement placement;
	bool was_known = ex->is_share_known;

	gw_exchange_decide(ex, &placement);
	if (!was_known && ex->is_over_share)
		count_of_workspace(ex, "celeryford_workspace_over_share_total");
	if (placement.is_trial)
		begin_crash_trial(ex, &placement.record);
	switch (placement.place) {
	case GW_PLACE_SEND:
		dispatch(ex, placement.server, &placement.query);
		break;
	case GW_PLACE_FORWARD:
		gw_exchange_forward(ex);
		break;
	case GW_PLACE_DECLINE:
		gw_exchange_decline(ex);
		break;
	case GW_PLACE_AWAIT_ORDERS:
	case GW_PLACE_AWAIT_SERVERS:
		gw_exchange_wait(ex);
		break;
	case GW_PLACE_WAIT:
		ex->lacks_memory = pool_lacked_memory(ex->entry->pool);
		wait_as_decided(ex, &placement);
		break;
	case GW_PLACE_REFUSE_FULL:
		refuse_as_full(ex, &placement);
		break;
	case GW_PLACE_REFUSE_LIMITED:
	case GW_PLACE_REFUSE_PAUSED:
		refuse_until_open(ex, &placement);
		break;
	case GW_PLACE_REFUSE_CRASHES:
		refuse_for_crashes(ex, &placement);
		break;
	case GW_PLACE_REFUSE_BUDGET:
		gw_exchange_log_no_budget(ex);
		gw_exchange_refuse(ex, placement.error, placement.retry_ms);
		break;
	case GW_PLACE_REFUSE:
		gw_exchange_refuse(ex, placement.error, placement.retry_ms);
		break;
	}
}

/*
 * Estimates the time to read the prompt with a model, and the backlog of the
 * best server for it.  Returns false if no server has room.
 */
bool
gw_exchange_estimate(struct gw_exchange *ex, uint16_t model, int64_t *work_us,
    int64_t *backlog_us)
{
	struct pool_query query = make_pool_query(ex, model);
	uint16_t server;

	query.avoid_count = 0;
	if (pool_pick_server(ex->entry->pool, &query, gw_exchange_now_us(ex),
		&server) != POOL_PICKED)
		return false;
	if (gw_waiting_ahead(ex) > 0)
		return false;
	*work_us = (int64_t)(query.work_ms * US_PER_MS);
	*backlog_us = (int64_t)(pool_backlog_ms(ex->entry->pool, server,
				    gw_exchange_now_us(ex)) *
				US_PER_MS);
	return true;
}

/*
 * Returns how long the attempt under way may go on without progress, in
 * microseconds; 0: without a limit.  The retry budget, which changes with time,
 * is left out.
 */
int64_t
gw_exchange_progress_limit_us(const struct gw_exchange *ex)
{
	struct stall_input in = {.kind = ex->route->kind,
	    .resumable = gw_exchange_may_resume(ex),
	    .begun = ex->answer_begun,
	    .can_move =
		ex->caller != NULL &&
		ex->run_count + ex->attempt.runs_max < ex->route->attempts_max,
	    .goal_ms = ex->route->goal_ms,
	    .gap_goal_ms = ex->route->gap_goal_ms,
	    .expected_ms = ex->attempt.expected_ms};

	if (ex->attempt.call == NULL || ex->is_paused)
		return 0;
	/* The other instance looks for stalled servers itself. */
	return ex->attempt.forwarded_to != 0
		   ? stall_timeout_us(&in) * FORWARD_PATIENCE_FACTOR
		   : stall_timeout_us(&in);
}

/*
 * Returns whether an attempt at a server of a service has made no progress for
 * REACH_SILENCE_US.
 */
bool
gw_exchange_is_silent(
    const struct gw_exchange *ex, const struct gw_entry_service *service)
{
	return ex->service_state == service && ex->attempt.call != NULL &&
	       ex->attempt.forwarded_to == 0 && !ex->is_paused &&
	       upstream_was_sent(ex->attempt.call) &&
	       gw_exchange_now_us(ex) - ex->attempt.progress_us >=
		   REACH_SILENCE_US;
}

/* Returns whether the attempt under way may be given up for another one. */
bool
gw_exchange_may_move(struct gw_exchange *ex)
{
	return gw_exchange_progress_limit_us(ex) > 0 &&
	       retry_budget_allows(
		   &ex->service_state->budget, gw_exchange_now_us(ex));
}

/* Cancels the attempt under way, which may have run. */
void
gw_exchange_cancel_attempt(struct gw_exchange *ex)
{
	bool sent = upstream_was_sent(ex->attempt.call);

	ex->may_have_run |= sent;
	ex->may_have_arrived |= sent;
	ex->run_count += sent ? ex->attempt.runs_max : 0;
	upstream_cancel(ex->attempt.call);
	ex->attempt.call = NULL;
	gw_exchange_leave_server(ex);
}

/*
 * Cancels the attempt of a request that must not run any more, because of a
 * part of its prompt, while its server has not begun to answer: most servers
 * drop a request whose connection closes, so that they are not crashed by it.
 */
void
gw_exchange_withdraw_suspect(struct gw_exchange *ex)
{
	struct suspects_summary record;

	if (ex->attempt.call == NULL || ex->attempt.header_received ||
	    ex->caller == NULL || ex->is_crash_trial ||
	    ex->attempt.forwarded_to != 0)
		return;
	suspects_lookup(
	    ex->entry->suspects, &ex->causes, gw_exchange_now_us(ex), &record);
	if (!record.refused || !record.cause.is_part || record.known_good)
		return;
	gw_exchange_log(ex, LOG_LEVEL_WARN, "withdrawn_for_crashes",
	    "server=%s part=%016" PRIx64 " crashes=%u ms=%" PRId64,
	    pool_server_at(ex->entry->pool, ex->attempt.server)->announced.id,
	    record.cause.id, record.crashes,
	    (gw_exchange_now_us(ex) - ex->attempt.sent_us) / US_PER_MS);
	gw_exchange_cancel_attempt(ex);
	gw_exchange_place(ex);
}

/*
 * Gives up an attempt that hangs on the way, without blame for the server, and
 * places the request again.
 */
void
gw_exchange_move(struct gw_exchange *ex)
{
	gw_exchange_log(ex, LOG_LEVEL_INFO, "attempt_moved",
	    "forwarded=%d begun=%d silent_ms=%" PRId64,
	    ex->attempt.forwarded_to != 0, ex->answer_begun,
	    (gw_exchange_now_us(ex) - ex->attempt.progress_us) / US_PER_MS);
	gw_exchange_cancel_attempt(ex);
	gw_exchange_place(ex);
}

/*
 * Gives up an attempt that makes no progress.  Closes its connection and the
 * idle connections to the same server, and places the request again.
 */
void
gw_exchange_abandon_attempt(struct gw_exchange *ex)
{
	struct gw_entry *entry = ex->entry;
	const struct pool_server *s;

	if (ex->attempt.forwarded_to != 0) {
		gw_exchange_move(ex);
		return;
	}
	s = pool_server_at(entry->pool, ex->attempt.server);
	if (upstream_was_sent(ex->attempt.call))
		gw_exchange_suspect_crash(ex, false);
	gw_exchange_log(ex, LOG_LEVEL_WARN, "attempt_silent",
	    "server=%s begun=%d silent_ms=%" PRId64 " expected_ms=%.0f",
	    s->announced.id, ex->answer_begun,
	    (gw_exchange_now_us(ex) - ex->attempt.progress_us) / US_PER_MS,
	    ex->attempt.expected_ms);
	gw_exchange_cancel_attempt(ex);
	pool_record_outcome(
	    entry->pool, ex->attempt.server, true, gw_exchange_now_us(ex));
	upstream_close_idle(entry->client, &s->address);
	gw_exchange_place(ex);
}
