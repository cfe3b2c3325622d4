#include <string.h>

#include "core/router.h"

enum {
	HEDGE_DELAY_MIN_US = 400000, /* no hedge before */
	HEDGE_FACTOR = 3, /* times the expected time to the first token */
	SCORE_NONE = 0xffff,
	AVERAGE_DIVISOR = 32, /* weight of one sample in an average */
	COST_BASE = 64, /* fair-share cost of any request */
	COST_PROMPT_DIVISOR =
	    8, /* prompt tokens that cost as much as one more */
	COST_OUTPUT_DEFAULT = 256
};

/* Returns the work a request stands for when shares are counted. */
static uint32_t
attempt_cost(const struct cf_request *params)
{
	uint32_t output = params->output_tokens_max;

	if (params->kind == CF_SERVICE)
		return COST_BASE;
	if (output == 0)
		output = COST_OUTPUT_DEFAULT;
	return COST_BASE + params->prompt_tokens / COST_PROMPT_DIVISOR + output;
}

/*
 * Whether a call that must not run twice may be sent once more: only while
 * every earlier attempt is known not to have run.
 */
static bool
attempt_may_run_again(const struct cf_router *r, const struct request *q)
{
	return !q->params.once || router_rule_disabled(r, CF_UNSAFE_ONCE) ||
	       (request_running_attempts(q) == 0 &&
		   request_run_state(r, q) == ERR_NOT_RUN);
}

/*
 * Whether a session's request may run on a version: not if another request of
 * it has meanwhile been bound to one that may run.
 */
static bool
attempt_session_allowed(
    struct cf_router *r, const struct request *q, uint16_t version)
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

static struct attempt *
attempt_open(struct cf_router *r, struct request *q, uint16_t version)
{
	struct attempt *t = &q->attempts[q->attempt_count++];

	if (q->state == REQUEST_QUEUED) {
		request_dequeue(r, q);
		queue_record_service(r->queue, q->params.workspace, r->now_us);
	}
	request_set_state(q, REQUEST_RUNNING);
	memset(t, 0, sizeof(*t));
	t->state = ATTEMPT_RUNNING;
	t->run_state = ERR_MAY_HAVE_RUN;
	t->version = version;
	t->server = CF_NO_SERVER;
	t->data_centre = r->options.data_centre;
	t->started_us = r->now_us;
	queue_charge(r->queue, q->params.workspace, attempt_cost(&q->params));
	return t;
}

static struct cf_action *
attempt_add_action(struct cf_router *r, const struct request *q, uint8_t number,
    enum cf_action_kind kind)
{
	const struct attempt *t = &q->attempts[number];
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

static void
attempt_bind_session(struct cf_router *r, struct request *q, uint16_t version)
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

static void
attempt_arm_hedge(struct cf_router *r, struct request *q)
{
	const struct attempt *t = &q->attempts[0];
	int64_t wait_us = HEDGE_FACTOR * t->expected_us;

	if (q->attempt_count != 1 || q->params.once || t->suspect ||
	    q->params.kind != CF_CHAT)
		return;
	if (wait_us < HEDGE_DELAY_MIN_US)
		wait_us = HEDGE_DELAY_MIN_US;
	heap_set(r->timers, request_slot(r, q), r->now_us + wait_us);
}

/*
 * Starts an attempt on a backend server.  Every dispatch passes here: first
 * try, retry, hedge, escalation, a session's move, and after a wait.  The last
 * checks stand here, since all that was known before may have changed.
 * Returns false and does nothing when one of them fails.
 */
bool
attempt_dispatch(struct cf_router *r, struct request *q,
    const struct fleet_choice *choice, uint16_t version, enum cf_reason why)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fleet_need need;
	struct attempt *t;
	struct cf_action *a;
	uint16_t target = place_target(q, version);

	place_fill_need(r, q, version, avoid, &need);
	if (q->attempt_count == CF_ATTEMPTS_MAX ||
	    !place_allowed(r, q, version) || !attempt_may_run_again(r, q) ||
	    request_over_crash_limit(r, q->params.fingerprint) ||
	    !attempt_session_allowed(r, q, version) ||
	    !fleet_can_serve(r->fleet, choice->server, &need, r->now_us))
		return false;
	t = attempt_open(r, q, version);
	t->server = choice->server;
	t->incarnation =
	    fleet_server(r->fleet, t->server)->announcement.incarnation;
	t->expected_us = choice->expected_us;
	t->suspect = need.suspect;
	fleet_attempt_started(r->fleet, t->server, t->suspect, r->now_us);
	r->running[target]++;
	if (version != CFG_NONE)
		ro_served(r->ro, version, r->now_us);
	a = attempt_add_action(r, q, q->attempt_count - 1, CF_ACT_DISPATCH);
	a->reason = why;
	a->candidates = choice->candidates;
	a->at_us = q->params.deadline_us;
	if (q->bind_on_dispatch)
		attempt_bind_session(r, q, version);
	attempt_arm_hedge(r, q);
	return true;
}

/*
 * Hands a request to another data centre, as an attempt of its own; what may
 * run there is checked once more by its receiver.  Returns false and does
 * nothing where it may not be sent again.
 */
bool
attempt_forward(struct cf_router *r, struct request *q, uint16_t data_centre)
{
	struct cf_action *a;
	struct attempt *t;
	uint16_t version = q->pinned ? q->chain.versions[0] : CFG_NONE;

	if (q->attempt_count == CF_ATTEMPTS_MAX ||
	    !attempt_may_run_again(r, q) ||
	    request_over_crash_limit(r, q->params.fingerprint))
		return false;
	t = attempt_open(r, q, version);
	t->data_centre = data_centre;
	nb_sent(&r->nb, data_centre);
	a = attempt_add_action(r, q, q->attempt_count - 1, CF_ACT_FORWARD);
	a->reason = CF_WHY_ABSORB;
	a->at_us = q->params.deadline_us;
	if (q->bind_on_dispatch)
		attempt_bind_session(r, q, version);
	return true;
}

/* Takes an attempt off its server's count. */
static void
attempt_close(struct cf_router *r, struct request *q, struct attempt *t,
    enum attempt_state state)
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

/* Stops a running attempt; whether it ran stays unknown. */
void
attempt_cancel(struct cf_router *r, struct request *q, uint8_t number)
{
	attempt_close(r, q, &q->attempts[number], ATTEMPT_CANCELLED);
	attempt_add_action(r, q, number, CF_ACT_CANCEL);
}

static void
attempt_cancel_others(struct cf_router *r, struct request *q, uint8_t keep)
{
	uint8_t i;

	for (i = 0; i < q->attempt_count; i++)
		if (i != keep && q->attempts[i].state == ATTEMPT_RUNNING)
			attempt_cancel(r, q, i);
}

/* Returns the running attempt that a report names, or NULL. */
static struct attempt *
attempt_find_running(struct request *q, const struct cf_attempt *report)
{
	struct attempt *t;

	if (q == NULL || report->attempt >= q->attempt_count)
		return NULL;
	t = &q->attempts[report->attempt];
	return t->state == ATTEMPT_RUNNING ? t : NULL;
}

/* Moves an average by one sample; the first one sets it. */
static void
attempt_update_average(int64_t *average_us, int64_t took_us)
{
	if (*average_us == 0)
		*average_us = took_us;
	*average_us += (took_us - *average_us) / AVERAGE_DIVISOR;
}

/* Takes in the first token of an attempt; its hedge is no longer needed. */
void
attempt_on_first_token(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_find(r, report->request);
	struct attempt *t = attempt_find_running(q, report);
	int64_t took_us;
	uint8_t i;

	if (t == NULL || t->first_token_us != 0)
		return;
	t->first_token_us = r->now_us;
	heap_cancel(r->timers, request_slot(r, q));
	attempt_cancel_others(r, q, report->attempt);
	if (t->server == CF_NO_SERVER)
		return;
	took_us = r->now_us - t->started_us;
	attempt_update_average(
	    &r->mean_first_token_us[place_target(q, t->version)], took_us);
	if (t->incarnation ==
	    fleet_server(r->fleet, t->server)->announcement.incarnation)
		fleet_record_first_token(
		    r->fleet, t->server, took_us, t->expected_us);
	for (i = 0; i < q->params.prefix_count; i++)
		cache_believe(
		    fleet_cache(r->fleet), t->server, q->params.prefixes[i]);
	if (t->version == CFG_NONE)
		return;
	ro_latency(r->ro, t->version,
	    took_us > UINT32_MAX ? UINT32_MAX : (uint32_t)took_us, r->now_us);
	router_report_stopped(r, t->version);
}

/* Counts the quick outcome of an attempt on a version. */
static void
attempt_record_outcome(
    struct cf_router *r, const struct request *q, uint16_t version, bool good)
{
	uint16_t workspace = q->params.workspace, class = q->params.task_class;
	bool escalated = q->chain_step > 0;

	ro_outcome_against(r->ro, version, good,
	    qual_expect_good(r->qual, workspace, version, class, escalated),
	    r->now_us);
	(escalated ? qual_evidence_escalated : qual_evidence)(
	    r->qual, workspace, version, class, good, r->now_us);
	if (ro_calm(r->ro, version))
		qual_settle(r->qual, version);
	router_report_stopped(r, version);
}

/* Learns from a whole answer; returns whether it is good enough. */
static bool
attempt_evaluate_answer(struct cf_router *r, const struct request *q,
    const struct attempt *t, const struct cf_attempt *report)
{
	bool rated = report->score_permille != SCORE_NONE;
	bool good =
	    !report->defective &&
	    (!rated || report->score_permille >= QUAL_SCORE_LOW_PERMILLE);
	int64_t took_us = r->now_us - t->started_us;

	if (t->server == CF_NO_SERVER)
		return good;
	fleet_record_service_time(r->fleet, t->server, took_us);
	attempt_update_average(
	    &r->mean_service_us[place_target(q, t->version)], took_us);
	if (t->version == CFG_NONE)
		return good;
	attempt_record_outcome(r, q, t->version, good);
	return good;
}

/* Whether a low answer may be followed by one of a better version. */
static bool
attempt_try_escalation(
    struct cf_router *r, struct request *q, const struct attempt *t)
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

/* Whether a defective answer may be asked for again. */
static bool
attempt_try_repeat(struct cf_router *r, struct request *q)
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

/* Takes in a whole answer: it is the caller's, or a better one is tried. */
void
attempt_on_done(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_find(r, report->request);
	struct attempt *t = attempt_find_running(q, report);
	uint8_t number = report->attempt;

	if (t == NULL)
		return;
	attempt_close(r, q, t, ATTEMPT_DONE);
	t->run_state = ERR_RAN;
	heap_cancel(r->timers, request_slot(r, q));
	attempt_cancel_others(r, q, number);
	if (t->suspect)
		marks_acquit(r->marks, q->params.fingerprint);
	if (!attempt_evaluate_answer(r, q, t, report)) {
		if (!report->defective ||
		    q->fallback_attempt == REQUEST_NO_ATTEMPT)
			q->fallback_attempt = number;
		if (attempt_try_escalation(r, q, t) ||
		    (report->defective && q->fallback_attempt == number &&
			attempt_try_repeat(r, q)))
			return;
		number = q->fallback_attempt;
	}
	request_answer(r, q, number);
	if (t->server != CF_NO_SERVER)
		upkeep_fill_server(r, t->server);
}

/* Learns from a failed attempt. */
static void
attempt_record_failure(struct cf_router *r, const struct request *q,
    const struct attempt *t, const struct cf_attempt *report)
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
	attempt_record_outcome(r, q, t->version, false);
}

/* Tries a request again after a failure, or ends it. */
static void
attempt_retry_or_refuse(struct cf_router *r, struct request *q,
    const struct cf_attempt *report, bool began)
{
	if (q->fallback_attempt != REQUEST_NO_ATTEMPT)
		request_answer(r, q, q->fallback_attempt);
	else if (!attempt_may_run_again(r, q))
		request_refuse(r, q, ERR_HALTED, CF_WHY_OUTCOME, 0);
	else if (request_over_crash_limit(r, q->params.fingerprint))
		request_refuse(r, q, ERR_CRASHES, CF_WHY_CRASHES, 0);
	else if (!err_answer(report->error)->try_again ||
		 (q->params.streaming && began) || q->caller_gone)
		request_refuse(r, q, report->error, CF_WHY_OUTCOME, 0);
	else if (r->now_us > q->params.deadline_us)
		request_refuse(r, q, ERR_TIMEOUT, CF_WHY_LIMIT, 0);
	else if (q->attempt_count == CF_ATTEMPTS_MAX ||
		 !limit_take_retry(r->limit, q->params.workspace))
		request_refuse(r, q, report->error, CF_WHY_BUDGET, 0);
	else
		request_route(r, q, CF_WHY_RETRY);
}

/* Takes in the end of an attempt without a whole answer. */
void
attempt_on_failed(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_find(r, report->request);
	struct attempt *t = attempt_find_running(q, report);
	uint16_t server;
	bool began;

	if (t == NULL)
		return;
	server = t->server;
	began = t->first_token_us != 0;
	attempt_record_failure(r, q, t, report);
	attempt_close(r, q, t, ATTEMPT_FAILED);
	t->run_state = report->run_state;
	if (request_running_attempts(q) == 0) {
		heap_cancel(r->timers, request_slot(r, q));
		attempt_retry_or_refuse(r, q, report, began);
	}
	if (server != CF_NO_SERVER)
		upkeep_fill_server(r, server);
}

/* Starts a second attempt beside one whose first token is late. */
void
attempt_hedge(struct cf_router *r, struct request *q)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	const struct attempt *t = &q->attempts[0];
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
		attempt_dispatch(r, q, &choice, t->version, CF_WHY_HEDGE);
}
