#include <string.h>

#include "core/router.h"

enum {
	HEDGE_MIN_US = 400000, /* no hedge before */
	HEDGE_FACTOR = 3, /* times the expected time to the first token */
	SCORE_NONE = 0xffff,
	AVERAGE_SHARE = 32, /* weight of one sample in an average */
	COST_BASE = 64, /* fair-share cost of any request */
	COST_PROMPT_PARTS = 8, /* prompt tokens that cost as much as one more */
	COST_OUTPUT_UNKNOWN = 256
};

/* Returns the work a request stands for when shares are counted. */
static uint32_t
attempt_cost(const struct cf_request *asked)
{
	uint32_t output = asked->output_tokens_max;

	if (asked->kind == CF_SERVICE)
		return COST_BASE;
	if (output == 0)
		output = COST_OUTPUT_UNKNOWN;
	return COST_BASE + asked->prompt_tokens / COST_PROMPT_PARTS + output;
}

/*
 * Whether a call that must not run twice may be sent once more: only while
 * every earlier attempt is known not to have run.
 */
static bool
attempt_once_allowed(const struct cf_router *r, const struct request *q)
{
	return !q->asked.once || router_unsafe(r, CF_UNSAFE_ONCE) ||
	       (request_running(q) == 0 &&
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
	    q->asked.workspace, q->asked.session, q->asked.session_birth};
	uint16_t bound;

	if (q->asked.kind != CF_CHAT || q->asked.session == 0 ||
	    q->asked.version != CFG_NONE || q->asked.model != CFG_NONE)
		return true;
	bound = session_get(r->session, &key);
	return bound == CFG_NONE || bound == version ||
	       !place_allowed(r, q, bound);
}

static struct attempt *
attempt_start(struct cf_router *r, struct request *q, uint16_t version)
{
	struct attempt *t = &q->attempts[q->attempt_count++];

	if (q->state == REQUEST_QUEUED) {
		request_unqueue(r, q);
		queue_served(r->queue, q->asked.workspace, r->now_us);
	}
	request_move(q, REQUEST_RUNNING);
	memset(t, 0, sizeof(*t));
	t->state = ATTEMPT_RUNNING;
	t->run_state = ERR_MAY_HAVE_RUN;
	t->version = version;
	t->server = CF_NO_SERVER;
	t->data_centre = r->options.data_centre;
	t->started_us = r->now_us;
	queue_charge(r->queue, q->asked.workspace, attempt_cost(&q->asked));
	return t;
}

static struct cf_action *
attempt_act(struct cf_router *r, const struct request *q, uint8_t number,
    enum cf_action_kind kind)
{
	const struct attempt *t = &q->attempts[number];
	struct cf_action *a = router_act(r, kind);

	a->request = q->asked.id;
	a->workspace = q->asked.workspace;
	a->attempt = number;
	a->server = t->server;
	a->version = t->version;
	a->data_centre = t->data_centre;
	a->key = t->incarnation;
	return a;
}

static void
attempt_bind(struct cf_router *r, struct request *q, uint16_t version)
{
	struct session_key key = {
	    q->asked.workspace, q->asked.session, q->asked.session_birth};
	struct cf_action *a;

	q->bind = false;
	session_bind(r->session, &key, version);
	a = router_act(r, CF_ACT_BIND);
	a->request = q->asked.id;
	a->workspace = q->asked.workspace;
	a->version = version;
	a->key = q->asked.session;
}

static void
attempt_arm_hedge(struct cf_router *r, struct request *q)
{
	const struct attempt *t = &q->attempts[0];
	int64_t wait_us = HEDGE_FACTOR * t->expected_us;

	if (q->attempt_count != 1 || q->asked.once || t->suspect ||
	    q->asked.kind != CF_CHAT)
		return;
	if (wait_us < HEDGE_MIN_US)
		wait_us = HEDGE_MIN_US;
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
    const struct fl_choice *choice, uint16_t version, enum cf_reason why)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fl_need need;
	struct attempt *t;
	struct cf_action *a;
	uint16_t lane = place_lane(q, version);

	place_need(r, q, version, avoid, &need);
	if (q->attempt_count == CF_ATTEMPTS_MAX ||
	    !place_allowed(r, q, version) || !attempt_once_allowed(r, q) ||
	    request_convicted(r, q->asked.fingerprint) ||
	    !attempt_session_allowed(r, q, version) ||
	    !fl_can_take(r->fl, choice->server, &need, r->now_us))
		return false;
	t = attempt_start(r, q, version);
	t->server = choice->server;
	t->incarnation = fl_server(r->fl, t->server)->said.incarnation;
	t->expected_us = choice->expected_us;
	t->suspect = need.suspect;
	fl_started(r->fl, t->server, t->suspect, r->now_us);
	r->running[lane]++;
	if (version != CFG_NONE)
		ro_served(r->ro, version, r->now_us);
	a = attempt_act(r, q, q->attempt_count - 1, CF_ACT_DISPATCH);
	a->reason = why;
	a->candidates = choice->candidates;
	a->at_us = q->asked.deadline_us;
	if (q->bind)
		attempt_bind(r, q, version);
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
	    !attempt_once_allowed(r, q) ||
	    request_convicted(r, q->asked.fingerprint))
		return false;
	t = attempt_start(r, q, version);
	t->data_centre = data_centre;
	nb_sent(&r->nb, data_centre);
	a = attempt_act(r, q, q->attempt_count - 1, CF_ACT_FORWARD);
	a->reason = CF_WHY_ABSORB;
	a->at_us = q->asked.deadline_us;
	if (q->bind)
		attempt_bind(r, q, version);
	return true;
}

/* Takes an attempt off its server's count. */
static void
attempt_end(struct cf_router *r, struct request *q, struct attempt *t,
    enum attempt_state state)
{
	struct fl_server *s = fl_server(r->fl, t->server);

	t->state = state;
	t->ended_us = r->now_us;
	if (s == NULL)
		return;
	r->running[place_lane(q, t->version)]--;
	if (s->said.incarnation != t->incarnation)
		return;
	fl_ended(r->fl, t->server, t->suspect, r->now_us);
	if (state == ATTEMPT_CANCELLED)
		fl_cancelled(r->fl, t->server, r->now_us);
}

/* Stops a running attempt; whether it ran stays unknown. */
void
attempt_cancel(struct cf_router *r, struct request *q, uint8_t number)
{
	attempt_end(r, q, &q->attempts[number], ATTEMPT_CANCELLED);
	attempt_act(r, q, number, CF_ACT_CANCEL);
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
attempt_get(struct request *q, const struct cf_attempt *report)
{
	struct attempt *t;

	if (q == NULL || report->attempt >= q->attempt_count)
		return NULL;
	t = &q->attempts[report->attempt];
	return t->state == ATTEMPT_RUNNING ? t : NULL;
}

/* Moves an average by one sample; the first one sets it. */
static void
attempt_average(int64_t *average_us, int64_t took_us)
{
	if (*average_us == 0)
		*average_us = took_us;
	*average_us += (took_us - *average_us) / AVERAGE_SHARE;
}

/* Takes in the first token of an attempt; its hedge is no longer needed. */
void
attempt_first_token(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_get(r, report->request);
	struct attempt *t = attempt_get(q, report);
	int64_t took_us;
	uint8_t i;

	if (t == NULL || t->first_token_us != 0)
		return;
	t->first_token_us = r->now_us;
	heap_clear(r->timers, request_slot(r, q));
	attempt_cancel_others(r, q, report->attempt);
	if (t->server == CF_NO_SERVER)
		return;
	took_us = r->now_us - t->started_us;
	attempt_average(&r->first_us[place_lane(q, t->version)], took_us);
	if (t->incarnation == fl_server(r->fl, t->server)->said.incarnation)
		fl_first_token(r->fl, t->server, took_us, t->expected_us);
	for (i = 0; i < q->asked.prefix_count; i++)
		cache_believe(fl_cache(r->fl), t->server, q->asked.prefixes[i]);
	if (t->version == CFG_NONE)
		return;
	ro_latency(r->ro, t->version,
	    took_us > UINT32_MAX ? UINT32_MAX : (uint32_t)took_us, r->now_us);
	router_watch_version(r, t->version);
}

/* Counts the quick outcome of an attempt on a version. */
static void
attempt_learn(
    struct cf_router *r, const struct request *q, uint16_t version, bool good)
{
	uint16_t workspace = q->asked.workspace, class = q->asked.task_class;
	bool escalated = q->step > 0;

	ro_outcome_against(r->ro, version, good,
	    qual_expect_good(r->qual, workspace, version, class, escalated),
	    r->now_us);
	(escalated ? qual_evidence_escalated : qual_evidence)(
	    r->qual, workspace, version, class, good, r->now_us);
	if (ro_calm(r->ro, version))
		qual_settle(r->qual, version);
	router_watch_version(r, version);
}

/* Learns from a whole answer; returns whether it is good enough. */
static bool
attempt_judge(struct cf_router *r, const struct request *q,
    const struct attempt *t, const struct cf_attempt *report)
{
	bool rated = report->score_permille != SCORE_NONE;
	bool good =
	    !report->defective &&
	    (!rated || report->score_permille >= QUAL_SCORE_LOW_PERMILLE);
	int64_t took_us = r->now_us - t->started_us;

	if (t->server == CF_NO_SERVER)
		return good;
	fl_served(r->fl, t->server, took_us);
	attempt_average(&r->service_us[place_lane(q, t->version)], took_us);
	if (t->version == CFG_NONE)
		return good;
	attempt_learn(r, q, t->version, good);
	return good;
}

/* Whether a low answer may be followed by one of a better version. */
static bool
attempt_escalates(
    struct cf_router *r, struct request *q, const struct attempt *t)
{
	if (q->asked.once || q->asked.streaming || q->pinned ||
	    q->caller_gone || t->server == CF_NO_SERVER ||
	    r->now_us + t->expected_us > q->asked.deadline_us ||
	    q->step + 1 >= q->chain.count)
		return false;
	q->step++;
	q->why = CF_WHY_ESCALATE;
	return place_local(r, q, PLACE_IN_TURN) == PLACE_DONE;
}

/* Whether a defective answer may be asked for again. */
static bool
attempt_repeats(struct cf_router *r, struct request *q)
{
	if (q->asked.once || q->asked.streaming || q->caller_gone ||
	    r->now_us > q->asked.deadline_us ||
	    q->attempt_count == CF_ATTEMPTS_MAX ||
	    !limit_retry(r->limit, q->asked.workspace))
		return false;
	q->why = CF_WHY_RETRY;
	return place_choose(r, q) &&
	       place_local(r, q, PLACE_IN_TURN) == PLACE_DONE;
}

/* Takes in a whole answer: it is the caller's, or a better one is tried. */
void
attempt_done(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_get(r, report->request);
	struct attempt *t = attempt_get(q, report);
	uint8_t number = report->attempt;

	if (t == NULL)
		return;
	attempt_end(r, q, t, ATTEMPT_DONE);
	t->run_state = ERR_RAN;
	heap_clear(r->timers, request_slot(r, q));
	attempt_cancel_others(r, q, number);
	if (t->suspect)
		marks_acquit(r->marks, q->asked.fingerprint);
	if (!attempt_judge(r, q, t, report)) {
		if (!report->defective || q->kept == REQUEST_NO_ATTEMPT)
			q->kept = number;
		if (attempt_escalates(r, q, t) ||
		    (report->defective && q->kept == number &&
			attempt_repeats(r, q)))
			return;
		number = q->kept;
	}
	request_answer(r, q, number);
	if (t->server != CF_NO_SERVER)
		upkeep_drain_server(r, t->server);
}

/* Learns from a failed attempt. */
static void
attempt_blame(struct cf_router *r, const struct request *q,
    const struct attempt *t, const struct cf_attempt *report)
{
	if (t->server == CF_NO_SERVER)
		return;
	if (report->server_crashed &&
	    t->incarnation == fl_server(r->fl, t->server)->said.incarnation) {
		upkeep_crash(r, t->server);
		fl_gone(r->fl, t->server, r->now_us);
	}
	if (t->version == CFG_NONE || report->run_state == ERR_NOT_RUN ||
	    !err_answer(report->error)->try_again)
		return;
	attempt_learn(r, q, t->version, false);
}

/* Tries a request again after a failure, or ends it. */
static void
attempt_after_failure(struct cf_router *r, struct request *q,
    const struct cf_attempt *report, bool began)
{
	if (q->kept != REQUEST_NO_ATTEMPT)
		request_answer(r, q, q->kept);
	else if (!attempt_once_allowed(r, q))
		request_refuse(r, q, ERR_HALTED, CF_WHY_OUTCOME, 0);
	else if (request_convicted(r, q->asked.fingerprint))
		request_refuse(r, q, ERR_CRASHES, CF_WHY_CRASHES, 0);
	else if (!err_answer(report->error)->try_again ||
		 (q->asked.streaming && began) || q->caller_gone)
		request_refuse(r, q, report->error, CF_WHY_OUTCOME, 0);
	else if (r->now_us > q->asked.deadline_us)
		request_refuse(r, q, ERR_TIMEOUT, CF_WHY_LIMIT, 0);
	else if (q->attempt_count == CF_ATTEMPTS_MAX ||
		 !limit_retry(r->limit, q->asked.workspace))
		request_refuse(r, q, report->error, CF_WHY_BUDGET, 0);
	else
		request_go(r, q, CF_WHY_RETRY);
}

/* Takes in the end of an attempt without a whole answer. */
void
attempt_failed(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_get(r, report->request);
	struct attempt *t = attempt_get(q, report);
	uint16_t server;
	bool began;

	if (t == NULL)
		return;
	server = t->server;
	began = t->first_token_us != 0;
	attempt_blame(r, q, t, report);
	attempt_end(r, q, t, ATTEMPT_FAILED);
	t->run_state = report->run_state;
	if (request_running(q) == 0) {
		heap_clear(r->timers, request_slot(r, q));
		attempt_after_failure(r, q, report, began);
	}
	if (server != CF_NO_SERVER)
		upkeep_drain_server(r, server);
}

/* Starts a second attempt beside one whose first token is late. */
void
attempt_hedge(struct cf_router *r, struct request *q)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	const struct attempt *t = &q->attempts[0];
	struct fl_choice choice;
	struct fl_need need;

	if (q->attempt_count != 1 || t->state != ATTEMPT_RUNNING ||
	    t->first_token_us != 0 || !place_allowed(r, q, t->version))
		return;
	place_need(r, q, t->version, avoid, &need);
	if (need.avoid_count == 0)
		return;
	fl_pick(r->fl, &r->rng, &need, r->now_us, &choice);
	if (choice.server != CF_NO_SERVER &&
	    limit_retry(r->limit, q->asked.workspace))
		attempt_dispatch(r, q, &choice, t->version, CF_WHY_HEDGE);
}
