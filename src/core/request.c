#include <string.h>

#include "core/router.h"

enum {
	RETRY_AFTER_MIN_MS = 200,
	RETRY_AFTER_MAX_MS = 30000,
	RETRY_AFTER_DEFAULT_MS = 500, /* when no wait was estimated */
	/* Used if neither the caller nor the workspace sets a deadline. */
	DEADLINE_DEFAULT_MS = 30000
};

#define STATE_BIT(state) (1u << (state))

/* Permitted transitions, as a mask of next states for each state. */
static const uint32_t router_request_transitions[] = {
    [REQUEST_FREE] = STATE_BIT(REQUEST_NEW),
    [REQUEST_NEW] = STATE_BIT(REQUEST_CLAIMING) | STATE_BIT(REQUEST_QUEUED) |
		    STATE_BIT(REQUEST_RUNNING) | STATE_BIT(REQUEST_FREE),
    [REQUEST_CLAIMING] = STATE_BIT(REQUEST_QUEUED) |
			 STATE_BIT(REQUEST_RUNNING) | STATE_BIT(REQUEST_FREE),
    [REQUEST_QUEUED] = STATE_BIT(REQUEST_RUNNING) | STATE_BIT(REQUEST_FREE),
    [REQUEST_RUNNING] = STATE_BIT(REQUEST_RUNNING) | STATE_BIT(REQUEST_QUEUED) |
			STATE_BIT(REQUEST_FREE),
};

/* Returns a request's slot in the table. */
uint32_t
router_request_slot(const struct cf_router *r, const struct router_request *q)
{
	return (uint32_t)(q - r->requests);
}

/* Returns the open request with the caller's id, or NULL. */
struct router_request *
router_request_find(struct cf_router *r, uint32_t id)
{
	int64_t slot = map_get(r->by_id, id);

	return slot == MAP_NONE ? NULL : &r->requests[slot];
}

/* Changes a request's state.  Traps if the transition is not permitted. */
void
router_request_set_state(struct router_request *q, enum router_request_state to)
{
	if (!(router_request_transitions[q->state] & STATE_BIT(to)))
		__builtin_trap();
	q->state = to;
}

/* Removes a request from the queue and the table and frees its slot. */
void
router_request_close(struct cf_router *r, struct router_request *q)
{
	if (q->state == REQUEST_QUEUED)
		router_request_dequeue(r, q);
	if (router_rule_disabled(r, CF_UNSAFE_END))
		return;
	heap_cancel(r->timers, router_request_slot(r, q));
	map_remove(r->by_id, q->params.id);
	router_request_set_state(q, REQUEST_FREE);
	q->next_free = r->free_head;
	r->free_head = router_request_slot(r, q);
}

/*
 * Returns what is known about a request's execution: the worst state of its
 * attempts.  It is ERR_NOT_RUN only if there was no attempt or each was
 * reported as not run.
 */
enum err_run_state
router_request_run_state(
    const struct cf_router *r, const struct router_request *q)
{
	enum err_run_state worst = ERR_NOT_RUN;
	enum err_run_state one;
	uint8_t i;

	for (i = 0; i < q->attempt_count; i++) {
		one = q->attempts[i].run_state;
		if (router_rule_disabled(r, CF_UNSAFE_RUN_STATE) &&
		    one == ERR_MAY_HAVE_RUN)
			one = ERR_NOT_RUN;
		if (one > worst)
			worst = one;
	}
	return worst;
}

/* Whether a request has crashed too many servers to be run again. */
bool
router_request_over_crash_limit(const struct cf_router *r, uint64_t fingerprint)
{
	return crash_marks_count(r->marks, fingerprint, r->now_us) >=
		   CRASH_MARKS_REFUSED &&
	       !router_rule_disabled(r, CF_UNSAFE_MARKS);
}

/* Returns the number of running attempts of a request. */
uint8_t
router_request_running_attempts(const struct router_request *q)
{
	uint8_t count = 0;
	uint8_t i;

	for (i = 0; i < q->attempt_count; i++)
		count += q->attempts[i].state == ATTEMPT_RUNNING;
	return count;
}

/*
 * Returns a Retry-After time in milliseconds, clamped and then randomized to up
 * to twice the value, so that refused callers do not all return at once.
 */
static uint32_t
router_request_retry_after(struct cf_router *r, uint32_t after_ms)
{
	if (after_ms == 0)
		after_ms = RETRY_AFTER_DEFAULT_MS;
	if (after_ms < RETRY_AFTER_MIN_MS)
		after_ms = RETRY_AFTER_MIN_MS;
	if (after_ms > RETRY_AFTER_MAX_MS)
		after_ms = RETRY_AFTER_MAX_MS;
	return after_ms + rng_below(&r->rng, after_ms);
}

/* Refuses a request that is not in the table. */
static void
router_request_refuse_untracked(struct cf_router *r,
    const struct cf_request *params, int error, enum cf_reason reason,
    uint32_t after_ms)
{
	struct cf_action *a = router_add_action(r, CF_ACT_REFUSE);

	a->request = params->id;
	a->workspace = params->workspace;
	a->error = error;
	a->reason = reason;
	a->run_state = ERR_NOT_RUN;
	if (err_answer(error)->try_again)
		a->retry_after_ms = router_request_retry_after(r, after_ms);
}

/*
 * Ends a request with an error.  after_ms is the suggested delay before a
 * retry, 0 for the default; it is not sent with errors that a retry cannot
 * resolve.
 */
void
router_request_refuse(struct cf_router *r, struct router_request *q, int error,
    enum cf_reason reason, uint32_t after_ms)
{
	enum err_run_state state = router_request_run_state(r, q);
	struct cf_action *a;

	if (q->params.once && state == ERR_NOT_RUN) {
		/*
		 * The error of a failed claim tells the state of the earlier
		 * call with the same key.
		 */
		if (error == ERR_DUPLICATE)
			state = ERR_RAN;
		if (error == ERR_HALTED || error == ERR_IN_PROGRESS)
			state = ERR_MAY_HAVE_RUN;
	}
	a = router_add_action(r, CF_ACT_REFUSE);
	a->request = q->params.id;
	a->workspace = q->params.workspace;
	a->error = error;
	a->run_state = state;
	a->reason = reason;
	if (err_answer(error)->try_again)
		a->retry_after_ms = router_request_retry_after(r, after_ms);
	router_request_close(r, q);
}

/* Returns the position of an attempt's version in the request's chain. */
static enum cf_place
router_request_chain_position(const struct router_request *q, uint8_t attempt)
{
	const struct router_attempt *t = &q->attempts[attempt];

	if (q->chain.count < 2 || q->params.streaming || q->pinned)
		return CF_ALONE;
	return t->version == q->chain.versions[0] ? CF_KEPT : CF_ESCALATED;
}

/* Ends a request successfully with the answer of one of its attempts. */
void
router_request_answer(
    struct cf_router *r, struct router_request *q, uint8_t attempt)
{
	struct cf_action *a = router_add_action(r, CF_ACT_ANSWER);
	const struct router_attempt *t = &q->attempts[attempt];

	a->request = q->params.id;
	a->workspace = q->params.workspace;
	a->attempt = attempt;
	a->server = t->server;
	a->version = t->version;
	a->data_centre = t->data_centre;
	a->run_state = ERR_RAN;
	a->reason = q->dispatch_reason;
	a->place = router_request_chain_position(q, attempt);
	limit_record_success(r->limit, q->params.workspace);
	router_request_close(r, q);
}

/*
 * Adds a queued request to, or removes it from, the counts of every target that
 * it may run on.
 */
static void
router_request_count_targets(
    struct cf_router *r, const struct router_request *q, bool add)
{
	bool service = q->params.kind == CF_SERVICE;
	uint64_t *mask =
	    service ? &r->services_waited_for : &r->versions_waited_for;
	uint32_t *counts = &r->waiting_any[service ? CFG_VERSIONS_MAX : 0];
	uint64_t left = q->target_mask;
	int i;

	for (; left != 0; left &= left - 1) {
		i = __builtin_ctzll(left);
		counts[i] += add ? 1 : -1u;
		if (counts[i] > 0)
			*mask |= UINT64_C(1) << i;
		else
			*mask &= ~(UINT64_C(1) << i);
	}
}

/* Removes a request from the queue without closing it. */
void
router_request_dequeue(struct cf_router *r, struct router_request *q)
{
	queue_remove(r->queue, router_request_slot(r, q));
	heap_cancel(r->timers, router_request_slot(r, q));
	router_request_count_targets(r, q, false);
	if (q->waiting_target != CFG_NONE)
		r->waiting_first[q->waiting_target]--;
}

/*
 * Queues a request.  Refuses it at once if no server runs its versions, or if
 * the estimated wait would delay its first token past the deadline.
 */
static void
router_request_enqueue(
    struct cf_router *r, struct router_request *q, enum place_result why)
{
	int64_t wait_us = place_wait_us(r, q);
	uint16_t target = place_target(q, q->chain.versions[q->chain_step]);
	int64_t latest_us =
	    q->params.deadline_us - r->mean_first_token_us[target];
	uint32_t after_ms = (uint32_t)(wait_us / 1000);

	if (why == PLACE_NO_SERVER) {
		router_request_refuse(r, q, ERR_NO_SERVER, CF_WHY_NO_SERVER, 0);
		return;
	}
	if (router_rule_disabled(r, CF_UNSAFE_DEADLINE))
		latest_us = INT64_MAX;
	if (r->now_us + wait_us > latest_us) {
		router_request_refuse(
		    r, q, ERR_NO_CAPACITY, CF_WHY_LIMIT, after_ms);
		return;
	}
	router_request_set_state(q, REQUEST_QUEUED);
	queue_push(r->queue, q->params.workspace, router_request_slot(r, q));
	q->target_mask = place_target_mask(q);
	router_request_count_targets(r, q, true);
	q->waiting_target = CFG_NONE;
	if (crash_marks_count(r->marks, q->params.fingerprint, r->now_us) ==
	    0) {
		/*
		 * A suspect also waits for a server without another suspect, so
		 * it is not counted and does not hold back other requests.
		 */
		q->waiting_target = target;
		r->waiting_first[q->waiting_target]++;
	}
	if (latest_us != INT64_MAX)
		heap_set(r->timers, router_request_slot(r, q), latest_us);
}

/*
 * Refuses a request that may run on no version or in no data centre in reach,
 * with the error that tells which of these is the cause.
 */
static void
router_request_refuse_unplaceable(struct cf_router *r, struct router_request *q)
{
	const struct cfg *cfg = r->cfg;
	uint16_t dc = r->options.data_centre;
	uint16_t v = q->params.version;

	if (q->versions_anywhere == 0 && q->params.kind == CF_CHAT) {
		if (v != CFG_NONE && v < cfg->version_count &&
		    (!cfg->versions[v].present ||
			cfg->versions[v].state == CFG_WITHDRAWN))
			router_request_refuse(
			    r, q, ERR_UNKNOWN_MODEL, CF_WHY_NOT_ALLOWED, 0);
		else
			router_request_refuse(
			    r, q, ERR_FORBIDDEN, CF_WHY_NOT_ALLOWED, 0);
	} else if (dc < cfg->data_centre_count && cfg->data_centres[dc].out) {
		router_request_refuse(
		    r, q, ERR_NO_CAPACITY, CF_WHY_NO_SERVER, 0);
	} else if (r->isolated) {
		router_request_refuse(
		    r, q, ERR_ISOLATED, CF_WHY_NOT_ALLOWED, 0);
	} else {
		router_request_refuse(
		    r, q, ERR_FORBIDDEN, CF_WHY_NOT_ALLOWED, 0);
	}
}

/*
 * Routes a request that has no running attempt: dispatches it to a backend
 * server, forwards it to another data centre, queues it or refuses it.
 */
void
router_request_route(
    struct cf_router *r, struct router_request *q, enum cf_reason why)
{
	enum place_result result;

	q->dispatch_reason = why;
	if (router_request_over_crash_limit(r, q->params.fingerprint)) {
		router_request_refuse(r, q, ERR_CRASHES, CF_WHY_CRASHES, 0);
		return;
	}
	if (!place_choose_chain(r, q)) {
		router_request_refuse_unplaceable(r, q);
		return;
	}
	if (place_ramp_diverts(r) && place_forward(r, q))
		return;
	result = place_local(r, q, PLACE_NEW);
	if (result == PLACE_DISPATCHED || place_forward(r, q) ||
	    (result == PLACE_FULL && place_outside_chain(r, q)))
		return;
	if (result == PLACE_NOT_ALLOWED && !place_reachable(r, q))
		router_request_refuse_unplaceable(r, q);
	else
		router_request_enqueue(r, q, result);
}

/*
 * Ensures a free slot in the table, if need be by refusing a queued request.
 * Returns false if the table is full and the new request must be refused.
 */
static bool
router_request_make_room(struct cf_router *r, uint16_t workspace)
{
	int64_t victim;

	if (r->free_head != r->options.max_requests)
		return true;
	victim = queue_victim(r->queue, workspace);
	if (victim == QUEUE_NONE)
		return false;
	router_request_refuse(
	    r, &r->requests[victim], ERR_NO_CAPACITY, CF_WHY_LIMIT, 0);
	return r->free_head != r->options.max_requests;
}

/* Takes a free slot for a request; there must be one. */
static struct router_request *
router_request_new(struct cf_router *r, const struct cf_request *params)
{
	struct router_request *q = &r->requests[r->free_head];
	const struct cfg_workspace *w = &r->cfg->workspaces[params->workspace];
	uint32_t deadline_ms =
	    w->deadline_ms != 0 ? w->deadline_ms : DEADLINE_DEFAULT_MS;

	r->free_head = q->next_free;
	q->params = *params;
	router_request_set_state(q, REQUEST_NEW);
	q->caller_gone = false;
	q->pinned = false;
	q->bind_on_dispatch = false;
	q->attempt_count = 0;
	q->fallback_attempt = REQUEST_NO_ATTEMPT;
	q->chain_step = 0;
	q->versions_anywhere = 0;
	q->chain.count = 0;
	if (params->deadline_us == 0)
		q->params.deadline_us = r->now_us + deadline_ms * 1000LL;
	if (params->prefix_count > CF_PREFIXES_MAX)
		q->params.prefix_count = CF_PREFIXES_MAX;
	map_put(r->by_id, params->id, router_request_slot(r, q));
	return q;
}

/*
 * Whether a request refers only to entries of the current configuration, and to
 * a service that its workspace may call.
 */
static bool
router_request_is_valid(
    const struct cf_router *r, const struct cf_request *params)
{
	const struct cfg *cfg = r->cfg;

	if (cfg == NULL || params->workspace >= cfg->workspace_count ||
	    !cfg->workspaces[params->workspace].present)
		return false;
	if (params->kind == CF_SERVICE)
		return params->service < cfg->service_count &&
		       params->service < 64 &&
		       cfg->services[params->service].present &&
		       (cfg->workspaces[params->workspace].services >>
			       params->service &
			   1);
	return params->version == CFG_NONE ||
	       params->version < cfg->version_count;
}

/*
 * Handles CF_EV_REQUEST: checks crash marks and rate limit, then claims or
 * routes the request.
 */
void
router_request_arrived(struct cf_router *r, const struct cf_request *params)
{
	uint32_t after_ms = 0;
	struct router_request *q;
	struct cf_action *a;

	if (!router_request_is_valid(r, params)) {
		router_request_refuse_untracked(
		    r, params, ERR_FORBIDDEN, CF_WHY_NOT_ALLOWED, 0);
		return;
	}
	if (router_request_over_crash_limit(r, params->fingerprint)) {
		router_request_refuse_untracked(
		    r, params, ERR_CRASHES, CF_WHY_CRASHES, 0);
		return;
	}
	if (!params->forwarded &&
	    !limit_admit(r->limit, params->workspace, r->now_us, &after_ms)) {
		router_request_refuse_untracked(
		    r, params, ERR_RATE, CF_WHY_LIMIT, after_ms);
		return;
	}
	if (!router_request_make_room(r, params->workspace)) {
		router_request_refuse_untracked(
		    r, params, ERR_NO_CAPACITY, CF_WHY_LIMIT, 0);
		return;
	}
	q = router_request_new(r, params);
	if (!params->once || params->forwarded) {
		router_request_route(r, q, CF_WHY_CHEAPEST);
		return;
	}
	router_request_set_state(q, REQUEST_CLAIMING);
	a = router_add_action(r, CF_ACT_CLAIM);
	a->request = params->id;
	a->workspace = params->workspace;
}

/*
 * Handles CF_EV_CLAIMED: routes the request, or refuses it with the claim's
 * error.
 */
void
router_request_claimed(struct cf_router *r, uint32_t id, int error)
{
	struct router_request *q = router_request_find(r, id);

	if (q == NULL || q->state != REQUEST_CLAIMING)
		return;
	if (error != 0)
		router_request_refuse(r, q, error, CF_WHY_OUTCOME, 0);
	else
		router_request_route(r, q, CF_WHY_CHEAPEST);
}

/*
 * Handles CF_EV_CALLER_GONE: cancels the running attempts and closes the
 * request.  A running call that must not be repeated continues, so that its
 * outcome becomes known.
 */
void
router_request_caller_gone(struct cf_router *r, uint32_t id)
{
	struct router_request *q = router_request_find(r, id);
	uint16_t freed[CF_ATTEMPTS_MAX];
	uint8_t count = 0;
	uint8_t i;

	if (q == NULL)
		return;
	q->caller_gone = true;
	if (q->params.once && q->state == REQUEST_RUNNING)
		return;
	for (i = 0; i < q->attempt_count; i++) {
		if (q->attempts[i].state != ATTEMPT_RUNNING)
			continue;
		router_attempt_cancel(r, q, i);
		if (q->attempts[i].server != CF_NO_SERVER)
			freed[count++] = q->attempts[i].server;
	}
	router_request_close(r, q);
	for (i = 0; i < count; i++)
		upkeep_fill_server(r, freed[i]);
}
