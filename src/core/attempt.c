#include <string.h>

#include "core/router.h"

enum {
	HEDGE_DELAY_MIN_US = 400000, /* earliest hedge after the start */
	HEDGE_FACTOR = 3, /* multiple of the expected first token time */
	SCORE_NONE = 0xffff,
	AVERAGE_DIVISOR = 32, /* reciprocal weight of a sample in an average */
	COST_BASE = 64, /* base cost of a request for fair queueing */
	COST_PROMPT_DIVISOR = 8, /* prompt tokens equal to one output token */
	COST_OUTPUT_DEFAULT = 256
};

/*
 * Returns the cost of a request for fair queueing, in units of about one output
 * token.  A request without a token limit counts as COST_OUTPUT_DEFAULT tokens.
 */
static uint32_t
router_attempt_cost(const struct cf_request *params)
{
	uint32_t output = params->output_tokens_max;

	if (params->kind == CF_SERVICE)
		return COST_BASE;
	if (output == 0)
		output = COST_OUTPUT_DEFAULT;
	return COST_BASE + params->prompt_tokens / COST_PROMPT_DIVISOR + output;
}

/*
 * Whether another attempt may be started.  A call that must not run twice
 * allows it only if every earlier attempt has ended and is known not to have
 * run.
 */
static bool
router_attempt_may_start(
    const struct cf_router *r, const struct router_request *q)
{
	return !q->params.once || router_rule_disabled(r, CF_UNSAFE_ONCE) ||
	       (router_request_running_attempts(q) == 0 &&
		   router_request_run_state(r, q) == ERR_NOT_RUN);
}

/*
 * Whether a request may run on a version without breaking its session binding:
 * not if the session has meanwhile been bound to another version that is still
 * allowed.
 */
static bool
router_attempt_session_allowed(
    struct cf_router *r, const struct router_request *q, uint16_t version)
{
	struct session_key key = {
	    q->params.workspace, q->params.session, q->params.session_birth};
	uint16_t bound;

	if (q->params.kind != CF_CHAT || q->params.session == 0 ||
	    q->params.version != CFG_NONE || q->params.model != CFG_NONE)
		return true;
	bound = session_find_binding(r->sessions, &key);
	return bound == CFG_NONE || bound == version ||
	       !place_allowed(r, q, bound);
}

/*
 * Adds a running attempt to a request.  Takes the request out of the queue if
 * it waited there, and charges its cost to its workspace.
 */
static struct router_attempt *
router_attempt_open(
    struct cf_router *r, struct router_request *q, uint16_t version)
{
	struct router_attempt *t = &q->attempts[q->attempt_count++];

	if (q->state == REQUEST_QUEUED) {
		router_request_dequeue(r, q);
		queue_record_service(r->queue, q->params.workspace, r->now_us);
	}
	router_request_set_state(q, REQUEST_RUNNING);
	memset(t, 0, sizeof(*t));
	t->state = ATTEMPT_RUNNING;
	t->run_state = ERR_MAY_HAVE_RUN;
	t->version = version;
	t->server = CF_NO_SERVER;
	t->data_centre = r->options.data_centre;
	t->started_us = r->now_us;
	queue_charge(
	    r->queue, q->params.workspace, router_attempt_cost(&q->params));
	return t;
}

static struct cf_action *
router_attempt_add_action(struct cf_router *r, const struct router_request *q,
    uint8_t number, enum cf_action_kind kind)
{
	const struct router_attempt *t = &q->attempts[number];
	struct cf_action *a = router_add_action(r, kind);

	a->request = q->params.id;
	a->workspace = q->params.workspace;
	a->attempt = number;
	a->server = t->server;
	a->version = t->version;
	a->data_centre = t->data_centre;
	a->key = t->incarnation;
	return a;
}

/* Binds a request's session to a version and emits CF_ACT_BIND. */
static void
router_attempt_bind_session(
    struct cf_router *r, struct router_request *q, uint16_t version)
{
	struct session_key key = {
	    q->params.workspace, q->params.session, q->params.session_birth};
	struct cf_action *a;

	q->bind_on_dispatch = false;
	session_bind(r->sessions, &key, version);
	a = router_add_action(r, CF_ACT_BIND);
	a->request = q->params.id;
	a->workspace = q->params.workspace;
	a->version = version;
	a->key = q->params.session;
}

/*
 * Sets the hedge timer of a request's first attempt.  Only chat requests are
 * hedged, and no suspects.
 */
static void
router_attempt_arm_hedge(struct cf_router *r, struct router_request *q)
{
	const struct router_attempt *t = &q->attempts[0];
	int64_t wait_us = HEDGE_FACTOR * t->expected_us;

	if (q->attempt_count != 1 || q->params.once || t->suspect ||
	    q->params.kind != CF_CHAT)
		return;
	if (wait_us < HEDGE_DELAY_MIN_US)
		wait_us = HEDGE_DELAY_MIN_US;
	heap_set(r->timers, router_request_slot(r, q), r->now_us + wait_us);
}

/*
 * Starts an attempt on a backend server.  Every dispatch goes through here:
 * first attempt, retry, hedge, escalation, session rebinding and dispatch from
 * the queue.  The final checks are made here because anything checked earlier
 * may have changed since.  Returns false and does nothing if a check fails.
 */
bool
router_attempt_dispatch(struct cf_router *r, struct router_request *q,
    const struct fleet_choice *choice, uint16_t version, enum cf_reason why)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fleet_need need;
	struct router_attempt *t;
	struct cf_action *a;
	uint16_t target = place_target(q, version);

	place_fill_need(r, q, version, avoid, &need);
	if (q->attempt_count == CF_ATTEMPTS_MAX ||
	    !place_allowed(r, q, version) || !router_attempt_may_start(r, q) ||
	    router_request_over_crash_limit(r, q->params.fingerprint) ||
	    !router_attempt_session_allowed(r, q, version) ||
	    !fleet_can_serve(r->fleet, choice->server, &need, r->now_us))
		return false;
	t = router_attempt_open(r, q, version);
	t->server = choice->server;
	t->incarnation =
	    fleet_server(r->fleet, t->server)->announcement.incarnation;
	t->expected_us = choice->expected_us;
	t->suspect = need.suspect;
	fleet_attempt_started(r->fleet, t->server, t->suspect, r->now_us);
	r->running[target]++;
	if (version != CFG_NONE)
		rollout_add_served(r->rollout, version, r->now_us);
	a = router_attempt_add_action(
	    r, q, q->attempt_count - 1, CF_ACT_DISPATCH);
	a->reason = why;
	a->candidates = choice->candidates;
	a->at_us = q->params.deadline_us;
	if (q->bind_on_dispatch)
		router_attempt_bind_session(r, q, version);
	router_attempt_arm_hedge(r, q);
	return true;
}

/*
 * Forwards a request to another data centre as an attempt of its own; the
 * receiving instance repeats the checks on what may run there.  Returns false
 * and does nothing if the request may not be sent again.
 */
bool
router_attempt_forward(
    struct cf_router *r, struct router_request *q, uint16_t data_centre)
{
	struct cf_action *a;
	struct router_attempt *t;
	uint16_t version = q->pinned ? q->chain.versions[0] : CFG_NONE;

	if (q->attempt_count == CF_ATTEMPTS_MAX ||
	    !router_attempt_may_start(r, q) ||
	    router_request_over_crash_limit(r, q->params.fingerprint))
		return false;
	t = router_attempt_open(r, q, version);
	t->data_centre = data_centre;
	neighbour_count_forward(&r->neighbours, data_centre);
	a = router_attempt_add_action(
	    r, q, q->attempt_count - 1, CF_ACT_FORWARD);
	a->reason = CF_WHY_ABSORB;
	a->at_us = q->params.deadline_us;
	if (q->bind_on_dispatch)
		router_attempt_bind_session(r, q, version);
	return true;
}

/*
 * Ends an attempt in the given state and removes it from the counts of its
 * target and, unless the server has restarted since, of its server.
 */
static void
router_attempt_close(struct cf_router *r, struct router_request *q,
    struct router_attempt *t, enum router_attempt_state state)
{
	struct fleet_server *s = fleet_server(r->fleet, t->server);

	t->state = state;
	t->ended_us = r->now_us;
	if (s == NULL)
		return;
	r->running[place_target(q, t->version)]--;
	if (s->announcement.incarnation != t->incarnation)
		return;
	fleet_attempt_ended(r->fleet, t->server, t->suspect, r->now_us);
	if (state == ATTEMPT_CANCELLED)
		fleet_attempt_cancelled(r->fleet, t->server, r->now_us);
}

/* Cancels a running attempt.  Its run state stays ERR_MAY_HAVE_RUN. */
void
router_attempt_cancel(
    struct cf_router *r, struct router_request *q, uint8_t number)
{
	router_attempt_close(r, q, &q->attempts[number], ATTEMPT_CANCELLED);
	router_attempt_add_action(r, q, number, CF_ACT_CANCEL);
}

static void
router_attempt_cancel_others(
    struct cf_router *r, struct router_request *q, uint8_t keep)
{
	uint8_t i;

	for (i = 0; i < q->attempt_count; i++)
		if (i != keep && q->attempts[i].state == ATTEMPT_RUNNING)
			router_attempt_cancel(r, q, i);
}

/* Returns the running attempt that a report refers to, or NULL. */
static struct router_attempt *
router_attempt_find_running(
    struct router_request *q, const struct cf_attempt *report)
{
	struct router_attempt *t;

	if (q == NULL || report->attempt >= q->attempt_count)
		return NULL;
	t = &q->attempts[report->attempt];
	return t->state == ATTEMPT_RUNNING ? t : NULL;
}

/* Updates an exponential moving average; the first sample initializes it. */
static void
router_attempt_update_average(int64_t *average_us, int64_t took_us)
{
	if (*average_us == 0)
		*average_us = took_us;
	*average_us += (took_us - *average_us) / AVERAGE_DIVISOR;
}

/*
 * Handles CF_EV_FIRST_TOKEN: cancels the hedge timer and the other attempts,
 * and records the latency.
 */
void
router_attempt_on_first_token(
    struct cf_router *r, const struct cf_attempt *report)
{
	struct router_request *q = router_request_find(r, report->request);
	struct router_attempt *t = router_attempt_find_running(q, report);
	int64_t took_us;
	uint8_t i;

	if (t == NULL || t->first_token_us != 0)
		return;
	t->first_token_us = r->now_us;
	heap_cancel(r->timers, router_request_slot(r, q));
	router_attempt_cancel_others(r, q, report->attempt);
	if (t->server == CF_NO_SERVER)
		return;
	took_us = r->now_us - t->started_us;
	router_attempt_update_average(
	    &r->mean_first_token_us[place_target(q, t->version)], took_us);
	if (t->incarnation ==
	    fleet_server(r->fleet, t->server)->announcement.incarnation)
		fleet_record_first_token(
		    r->fleet, t->server, took_us, t->expected_us);
	for (i = 0; i < q->params.prefix_count; i++)
		cache_add_prefix(
		    fleet_cache(r->fleet), t->server, q->params.prefixes[i]);
	if (t->version == CFG_NONE)
		return;
	rollout_add_latency(r->rollout, t->version,
	    took_us > UINT32_MAX ? UINT32_MAX : (uint32_t)took_us, r->now_us);
	router_report_stopped(r, t->version);
}

/*
 * Passes the quick outcome of an attempt on a version to the roll-out test and
 * the quality estimates.
 */
static void
router_attempt_record_outcome(struct cf_router *r,
    const struct router_request *q, uint16_t version, bool good)
{
	uint16_t workspace = q->params.workspace, class = q->params.task_class;
	bool escalated = q->chain_step > 0;

	rollout_add_outcome(r->rollout, version, good,
	    qual_expected_good_share(
		r->qual, workspace, version, class, escalated),
	    r->now_us);
	(escalated ? qual_add_escalated_outcome : qual_add_outcome)(
	    r->qual, workspace, version, class, good, r->now_us);
	if (rollout_is_unsuspected(r->rollout, version))
		qual_set_reference(r->qual, version);
	router_report_stopped(r, version);
}

/*
 * Records the time and quality of a complete answer.  Returns whether it is
 * neither defective nor rated low.
 */
static bool
router_attempt_evaluate_answer(struct cf_router *r,
    const struct router_request *q, const struct router_attempt *t,
    const struct cf_attempt *report)
{
	bool rated = report->score_permille != SCORE_NONE;
	bool good =
	    !report->defective &&
	    (!rated || report->score_permille >= QUAL_SCORE_LOW_PERMILLE);
	int64_t took_us = r->now_us - t->started_us;

	if (t->server == CF_NO_SERVER)
		return good;
	fleet_record_service_time(r->fleet, t->server, took_us);
	router_attempt_update_average(
	    &r->mean_service_us[place_target(q, t->version)], took_us);
	if (t->version == CFG_NONE)
		return good;
	router_attempt_record_outcome(r, q, t->version, good);
	return good;
}

/*
 * Dispatches the request on a later version of its chain after a low answer.
 * Returns false if that is not allowed, not possible in time, or no server has
 * room.
 */
static bool
router_attempt_try_escalation(struct cf_router *r, struct router_request *q,
    const struct router_attempt *t)
{
	if (q->params.once || q->params.streaming || q->pinned ||
	    q->caller_gone || t->server == CF_NO_SERVER ||
	    r->now_us + t->expected_us > q->params.deadline_us ||
	    q->chain_step + 1 >= q->chain.count)
		return false;
	q->chain_step++;
	q->dispatch_reason = CF_WHY_ESCALATE;
	return place_local(r, q, PLACE_IN_TURN) == PLACE_DISPATCHED;
}

/*
 * Repeats a request after a defective answer, within its deadline and its
 * workspace's retry budget.  Returns false if no attempt was started.
 */
static bool
router_attempt_try_repeat(struct cf_router *r, struct router_request *q)
{
	if (q->params.once || q->params.streaming || q->caller_gone ||
	    r->now_us > q->params.deadline_us ||
	    q->attempt_count == CF_ATTEMPTS_MAX ||
	    !limit_take_retry(r->limit, q->params.workspace))
		return false;
	q->dispatch_reason = CF_WHY_RETRY;
	return place_choose_chain(r, q) &&
	       place_local(r, q, PLACE_IN_TURN) == PLACE_DISPATCHED;
}

/*
 * Handles CF_EV_DONE: answers the caller, or starts another attempt if the
 * answer is low or defective.
 */
void
router_attempt_on_done(struct cf_router *r, const struct cf_attempt *report)
{
	struct router_request *q = router_request_find(r, report->request);
	struct router_attempt *t = router_attempt_find_running(q, report);
	uint8_t number = report->attempt;

	if (t == NULL)
		return;
	router_attempt_close(r, q, t, ATTEMPT_DONE);
	t->run_state = ERR_RAN;
	heap_cancel(r->timers, router_request_slot(r, q));
	router_attempt_cancel_others(r, q, number);
	if (t->suspect)
		crash_marks_clear_suspect(r->marks, q->params.fingerprint);
	if (!router_attempt_evaluate_answer(r, q, t, report)) {
		if (!report->defective ||
		    q->fallback_attempt == REQUEST_NO_ATTEMPT)
			q->fallback_attempt = number;
		if (router_attempt_try_escalation(r, q, t) ||
		    (report->defective && q->fallback_attempt == number &&
			router_attempt_try_repeat(r, q)))
			return;
		number = q->fallback_attempt;
	}
	router_request_answer(r, q, number);
	if (t->server != CF_NO_SERVER)
		upkeep_fill_server(r, t->server);
}

/*
 * Records a failed attempt: a crash of its server, and a bad outcome of its
 * version unless the attempt did not run or its error is not worth a retry.
 */
static void
router_attempt_record_failure(struct cf_router *r,
    const struct router_request *q, const struct router_attempt *t,
    const struct cf_attempt *report)
{
	if (t->server == CF_NO_SERVER)
		return;
	if (report->server_crashed &&
	    t->incarnation ==
		fleet_server(r->fleet, t->server)->announcement.incarnation) {
		upkeep_record_crash(r, t->server);
		fleet_mark_gone(r->fleet, t->server, r->now_us);
	}
	if (t->version == CFG_NONE || report->run_state == ERR_NOT_RUN ||
	    !err_answer(report->error)->try_again)
		return;
	router_attempt_record_outcome(r, q, t->version, false);
}

/*
 * After the last running attempt failed, answers with an earlier answer,
 * retries the request, or refuses it.
 */
static void
router_attempt_retry_or_refuse(struct cf_router *r, struct router_request *q,
    const struct cf_attempt *report, bool began)
{
	if (q->fallback_attempt != REQUEST_NO_ATTEMPT)
		router_request_answer(r, q, q->fallback_attempt);
	else if (!router_attempt_may_start(r, q))
		router_request_refuse(r, q, ERR_HALTED, CF_WHY_OUTCOME, 0);
	else if (router_request_over_crash_limit(r, q->params.fingerprint))
		router_request_refuse(r, q, ERR_CRASHES, CF_WHY_CRASHES, 0);
	else if (!err_answer(report->error)->try_again ||
		 (q->params.streaming && began) || q->caller_gone)
		router_request_refuse(r, q, report->error, CF_WHY_OUTCOME, 0);
	else if (r->now_us > q->params.deadline_us)
		router_request_refuse(r, q, ERR_TIMEOUT, CF_WHY_LIMIT, 0);
	else if (q->attempt_count == CF_ATTEMPTS_MAX ||
		 !limit_take_retry(r->limit, q->params.workspace))
		router_request_refuse(r, q, report->error, CF_WHY_BUDGET, 0);
	else
		router_request_route(r, q, CF_WHY_RETRY);
}

/* Handles CF_EV_FAILED: an attempt ended without a complete answer. */
void
router_attempt_on_failed(struct cf_router *r, const struct cf_attempt *report)
{
	struct router_request *q = router_request_find(r, report->request);
	struct router_attempt *t = router_attempt_find_running(q, report);
	uint16_t server;
	bool began;

	if (t == NULL)
		return;
	server = t->server;
	began = t->first_token_us != 0;
	router_attempt_record_failure(r, q, t, report);
	router_attempt_close(r, q, t, ATTEMPT_FAILED);
	t->run_state = report->run_state;
	if (router_request_running_attempts(q) == 0) {
		heap_cancel(r->timers, router_request_slot(r, q));
		router_attempt_retry_or_refuse(r, q, report, began);
	}
	if (server != CF_NO_SERVER)
		upkeep_fill_server(r, server);
}

/*
 * Starts a hedge, a second attempt in parallel, if the first token of the only
 * attempt is late and the retry budget allows it.
 */
void
router_attempt_hedge(struct cf_router *r, struct router_request *q)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	const struct router_attempt *t = &q->attempts[0];
	struct fleet_choice choice;
	struct fleet_need need;

	if (q->attempt_count != 1 || t->state != ATTEMPT_RUNNING ||
	    t->first_token_us != 0 || !place_allowed(r, q, t->version))
		return;
	place_fill_need(r, q, t->version, avoid, &need);
	if (need.avoid_count == 0)
		return;
	fleet_pick_server(r->fleet, &r->rng, &need, r->now_us, &choice);
	if (choice.server != CF_NO_SERVER &&
	    limit_take_retry(r->limit, q->params.workspace))
		router_attempt_dispatch(
		    r, q, &choice, t->version, CF_WHY_HEDGE);
}
