#include <string.h>

#include "core/router.h"

enum {
	/* Time for a returned data centre to reach its full share. */
	PLACE_RAMP_US = 30000000,
	PLACE_SERVICE_DEFAULT_US = 1000000, /* until an attempt has ended */
	PLACE_OUTSIDE_CHAIN_TRIES = 3, /* further chains tried if one is full */
	/* A wait is long above the time left divided by this. */
	PLACE_LONG_WAIT_DIVISOR = 4
};

/*
 * Returns the target index of a version, or of the request's service if version
 * is CFG_NONE.
 */
uint16_t
place_target(const struct router_request *q, uint16_t version)
{
	return version != CFG_NONE
		   ? version
		   : (uint16_t)(CFG_VERSIONS_MAX + q->params.service);
}

static bool
place_service_allowed(const struct cf_router *r, const struct router_request *q)
{
	const struct cfg *cfg = r->cfg;
	const struct cfg_workspace *w = &cfg->workspaces[q->params.workspace];
	uint16_t dc = r->options.data_centre;

	return w->present && (w->services >> q->params.service & 1) != 0 &&
	       cfg->services[q->params.service].present &&
	       (w->data_centres >> dc & 1) != 0 &&
	       dc < cfg->data_centre_count && cfg->data_centres[dc].present &&
	       !cfg->data_centres[dc].out;
}

/*
 * Whether an attempt may be dispatched in this data centre now, according to
 * the current configuration revision, the sequential test and, on an isolated
 * instance, the version's serve_isolated setting.
 */
bool
place_allowed(
    const struct cf_router *r, const struct router_request *q, uint16_t version)
{
	if (router_rule_disabled(r, CF_UNSAFE_ALLOWED))
		return true;
	if (q->params.kind == CF_SERVICE)
		return place_service_allowed(r, q);
	return cfg_version_allowed(r->cfg, q->params.workspace, version,
		   r->options.data_centre) &&
	       !rollout_is_stopped(r->rollout, version) &&
	       (!r->isolated || r->cfg->versions[version].serve_isolated);
}

/*
 * Precomputes the version masks that place_versions() combines for each
 * request.  They only narrow the choice; the dispatch itself calls
 * place_allowed().
 */
void
place_configure(struct cf_router *r, const struct cfg *cfg)
{
	const struct cfg_version *v;
	uint64_t bit;
	uint16_t i;

	r->model_versions = alloc_resize(r->alloc, r->model_versions,
	    (cfg->model_count + 1u) * sizeof(*r->model_versions));
	memset(r->model_versions, 0,
	    (cfg->model_count + 1u) * sizeof(*r->model_versions));
	r->rolling = 0;
	r->usable = 0;
	r->served_isolated = 0;
	r->stopped = 0;
	for (i = 0; i < cfg->version_count; i++) {
		v = &cfg->versions[i];
		bit = UINT64_C(1) << i;
		if (v->present && v->state != CFG_WITHDRAWN)
			r->usable |= bit;
		if (v->state == CFG_ROLLING)
			r->rolling |= bit;
		if (v->serve_isolated)
			r->served_isolated |= bit;
		if (rollout_is_stopped(r->rollout, i))
			r->stopped |= bit;
		if (v->model < cfg->model_count)
			r->model_versions[v->model] |= bit;
	}
}

/*
 * Returns the mask of versions that a request may run on in some data centre,
 * not necessarily this one.
 */
static uint64_t
place_versions(const struct cf_router *r, const struct router_request *q)
{
	const struct cfg *cfg = r->cfg;
	uint64_t mask = cfg->workspaces[q->params.workspace].versions &
			r->usable & ~r->stopped;

	if (q->params.version != CFG_NONE)
		mask &= UINT64_C(1) << q->params.version;
	if (q->params.model != CFG_NONE)
		mask &= q->params.model < cfg->model_count
			    ? r->model_versions[q->params.model]
			    : 0;
	return mask;
}

/* Restricts a mask of versions to those that may run in this data centre. */
static uint64_t
place_versions_here(
    const struct cf_router *r, const struct router_request *q, uint64_t mask)
{
	uint16_t dc = r->options.data_centre;

	if (!r->accepts_work ||
	    !(r->cfg->workspaces[q->params.workspace].data_centres >> dc & 1))
		return router_rule_disabled(r, CF_UNSAFE_ALLOWED) ? mask : 0;
	return r->isolated ? mask & r->served_isolated : mask;
}

static void
place_set_single_version(struct router_request *q, uint16_t version,
    enum cf_reason reason, bool pinned)
{
	q->chain.count = 1;
	q->chain.versions[0] = version;
	q->chain.reason = reason;
	q->pinned = pinned;
}

/*
 * Returns the mask of versions in roll-out that may take one more session.  The
 * session's hash decides which of them it gets, so a version is included if any
 * random draw would admit a request to it.
 */
static uint64_t
place_rollout_versions(const struct cf_router *r)
{
	return rollout_versions_with_room(r->rollout) & r->rolling;
}

/*
 * Sets the chain to the version of the request's session: the bound version if
 * it may still run, otherwise the one that session_choose_version() returns.
 * Versions without a loaded server are chosen only if no candidate has one.
 */
static void
place_choose_session(
    struct cf_router *r, struct router_request *q, uint64_t candidates)
{
	struct session_key key = {
	    q->params.workspace, q->params.session, q->params.session_birth};
	uint16_t version = session_find_binding(r->sessions, &key);
	uint64_t loaded;
	bool was_bound;

	if (version != CFG_NONE && (candidates >> version & 1)) {
		place_set_single_version(q, version, CF_WHY_SESSION, true);
		return;
	}
	was_bound = version != CFG_NONE && q->params.model == CFG_NONE;
	candidates &= ~r->rolling | place_rollout_versions(r);
	version = session_choose_version(r->sessions, &key, candidates);
	loaded = candidates & fleet_versions(r->fleet);
	if (loaded != 0 && (version == CFG_NONE || !(loaded >> version & 1)))
		version = session_choose_version(r->sessions, &key, loaded);
	if (version == CFG_NONE)
		return;
	place_set_single_version(
	    q, version, was_bound ? CF_WHY_REBOUND : CF_WHY_SESSION, true);
	q->bind_on_dispatch = !router_rule_disabled(r, CF_UNSAFE_STICKY);
}

/*
 * Fills the chain according to the quality estimates, preferring versions that
 * are loaded on a server.  A version on hold is left out, unless nothing else
 * may run.
 */
static void
place_choose_quality(
    struct cf_router *r, struct router_request *q, uint64_t candidates)
{
	uint64_t loaded = candidates & fleet_versions(r->fleet);
	struct qual_query ask;

	if (loaded != 0)
		candidates = loaded;
	ask.workspace = q->params.workspace;
	ask.task_class = q->params.task_class;
	ask.rolling_open = rollout_open_versions(
	    r->rollout, (uint16_t)rng_below(&r->rng, 1000));
	ask.candidates = candidates & ask.rolling_open;
	ask.may_escalate = !q->params.streaming;
	qual_choose_chain(r->qual, &r->rng, &ask, &q->chain);
	if (q->chain.count != 0)
		return;
	ask.candidates = candidates;
	qual_choose_chain(r->qual, &r->rng, &ask, &q->chain);
}

/*
 * Fills a request's chain of versions unless the current one may still run.  A
 * session's binding is looked up each time, since another request of the
 * session may have been bound while this one was queued.  Returns false if no
 * version is allowed in any data centre.
 */
bool
place_choose_chain(struct cf_router *r, struct router_request *q)
{
	uint64_t candidates;
	bool first = q->chain.count == 0;

	if (q->params.kind == CF_SERVICE) {
		if (first)
			place_set_single_version(
			    q, CFG_NONE, CF_WHY_ONLY, false);
		if (q->dispatch_reason == CF_WHY_CHEAPEST)
			q->dispatch_reason = CF_WHY_ONLY;
		return true;
	}
	q->versions_anywhere = place_versions(r, q);
	candidates = place_versions_here(r, q, q->versions_anywhere);
	if (candidates == 0)
		candidates = q->versions_anywhere;
	if (candidates == 0)
		return false;
	if (!first &&
	    (q->params.session == 0 || q->params.version != CFG_NONE) &&
	    (candidates >> q->chain.versions[q->chain_step] & 1))
		return true;
	q->chain.count = 0;
	q->chain_step = 0;
	if (q->params.version != CFG_NONE)
		place_set_single_version(
		    q, q->params.version, CF_WHY_REQUESTED, true);
	else if (q->params.session != 0)
		place_choose_session(r, q, candidates);
	else
		place_choose_quality(r, q, candidates);
	if (first || q->chain.reason == CF_WHY_REBOUND)
		q->dispatch_reason = q->chain.reason;
	return q->chain.count > 0;
}

/*
 * Fills need with what the request requires of a server, and avoid with the
 * servers it has tried.  If no other server runs the target, none is avoided.
 */
void
place_fill_need(const struct cf_router *r, const struct router_request *q,
    uint16_t version, uint16_t avoid[CF_ATTEMPTS_MAX], struct fleet_need *need)
{
	uint8_t i;

	need->version = version;
	need->service = q->params.service;
	need->suspect =
	    crash_marks_count(r->marks, q->params.fingerprint, r->now_us) > 0 &&
	    !router_rule_disabled(r, CF_UNSAFE_MARKS);
	need->avoid = avoid;
	need->avoid_count = 0;
	need->reserved = 0;
	need->prefixes = q->params.prefixes;
	need->prefix_count = q->params.prefix_count;
	need->prompt_tokens = q->params.prompt_tokens;
	for (i = 0; i < q->attempt_count; i++)
		if (q->attempts[i].server != CF_NO_SERVER)
			avoid[need->avoid_count++] = q->attempts[i].server;
	if (need->avoid_count > 0 &&
	    fleet_count_servers(r->fleet, need) <= need->avoid_count)
		need->avoid_count = 0;
}

/*
 * Returns the estimated time in the queue: the requests ahead, divided by the
 * rate at which the target's servers finish attempts.  Uses the workspace's own
 * observed rate where that is slower, since requests of better priority keep
 * arriving.
 */
int64_t
place_wait_us(const struct cf_router *r, const struct router_request *q)
{
	uint16_t version = q->chain.versions[q->chain_step];
	uint16_t target = place_target(q, version);
	struct fleet_need need = {
	    .version = version, .service = q->params.service};
	uint64_t ahead = queue_ahead(r->queue, q->params.workspace);
	uint32_t queued = queue_count(r->queue);
	int64_t service_us = r->mean_service_us[target];
	uint32_t parallel = fleet_count_slots(r->fleet, &need) / r->instances;
	int64_t interval_us =
	    queue_interval_us(r->queue, q->params.workspace, r->now_us);
	int64_t own_queued = queue_waiting(r->queue, q->params.workspace);
	int64_t wait_us;

	if (service_us == 0)
		service_us = PLACE_SERVICE_DEFAULT_US;
	if (queued > 0)
		ahead = ahead * r->waiting_first[target] / queued;
	if (parallel < r->running[target])
		parallel = r->running[target];
	if (parallel == 0)
		parallel = 1;
	wait_us = (int64_t)(ahead + 1) * service_us / parallel;
	return wait_us > (own_queued + 1) * interval_us
		   ? wait_us
		   : (own_queued + 1) * interval_us;
}

/*
 * Whether the wait for the preferred version takes too large a part of the time
 * left until the deadline.
 */
static bool
place_wait_is_long(const struct cf_router *r, const struct router_request *q)
{
	int64_t left_us = q->params.deadline_us - r->now_us;

	return place_wait_us(r, q) * PLACE_LONG_WAIT_DIVISOR > left_us;
}

/*
 * Dispatches a request to a server of this data centre, on the first version of
 * its chain that has a server with room.  While the preferred version's servers
 * are merely full, a later version is used only if the wait would be long.  New
 * requests do not overtake queued ones.
 */
enum place_result
place_local(struct cf_router *r, struct router_request *q, enum place_turn turn)
{
	enum place_result result = PLACE_NOT_ALLOWED;
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fleet_choice choice;
	struct fleet_need need;
	uint16_t version;
	uint8_t i;

	for (i = q->chain_step; i < q->chain.count; i++) {
		version = q->chain.versions[i];
		if (!place_allowed(r, q, version))
			continue;
		if (i > q->chain_step && result == PLACE_FULL &&
		    !place_wait_is_long(r, q))
			break;
		if (result == PLACE_NOT_ALLOWED)
			result = PLACE_NO_SERVER;
		place_fill_need(r, q, version, avoid, &need);
		if (fleet_count_servers(r->fleet, &need) == 0)
			continue;
		result = PLACE_FULL;
		if (turn != PLACE_IN_TURN &&
		    r->waiting_first[place_target(q, version)] > 0)
			continue;
		if (turn == PLACE_SPARE ||
		    (turn == PLACE_NEW && i > q->chain_step))
			need.reserved = r->versions_waited_for;
		fleet_pick_server(r->fleet, &r->rng, &need, r->now_us, &choice);
		if (choice.cold != CF_NO_SERVER)
			upkeep_ask_credit(r, choice.cold);
		if (choice.server != CF_NO_SERVER &&
		    router_attempt_dispatch(
			r, q, &choice, version, q->dispatch_reason)) {
			q->chain_step = i;
			return PLACE_DISPATCHED;
		}
	}
	return result;
}

/*
 * Returns the mask of versions that may still serve a chat request, or the bit
 * of a service request's service.
 */
uint64_t
place_target_mask(const struct router_request *q)
{
	uint64_t mask = 0;
	uint8_t i;

	if (q->params.kind == CF_SERVICE)
		return UINT64_C(1) << q->params.service;
	for (i = q->chain_step; i < q->chain.count; i++)
		mask |= UINT64_C(1) << q->chain.versions[i];
	return mask;
}

/*
 * Dispatches a request on a version outside its chain if the wait for the
 * versions in it would be long.  Only versions that no queued request could use
 * are considered, chosen by the same estimates as the chain.  Restores the
 * chain and returns false if none has room.
 */
bool
place_outside_chain(struct cf_router *r, struct router_request *q)
{
	struct qual_chain chain = q->chain;
	uint8_t step = q->chain_step;
	uint64_t left;
	uint32_t i;

	if (q->pinned || q->params.kind != CF_CHAT || !place_wait_is_long(r, q))
		return false;
	left = place_versions_here(r, q, place_versions(r, q)) &
	       fleet_versions(r->fleet) & ~r->versions_waited_for;
	for (i = 0; i < PLACE_OUTSIDE_CHAIN_TRIES; i++) {
		left &= ~place_target_mask(q);
		if (left == 0)
			break;
		q->chain_step = 0;
		place_choose_quality(r, q, left);
		if (q->chain.count == 0)
			break;
		if (place_local(r, q, PLACE_SPARE) == PLACE_DISPATCHED)
			return true;
	}
	q->chain = chain;
	q->chain_step = step;
	return false;
}

/*
 * Dispatches a queued request to the given server if that may run one of its
 * versions now.
 */
bool
place_on_server(struct cf_router *r, struct router_request *q, uint16_t server)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fleet_choice choice = {.server = server, .cold = CF_NO_SERVER};
	struct fleet_need need;
	uint16_t version;
	uint8_t i;

	for (i = q->chain_step; i < q->chain.count; i++) {
		version = q->chain.versions[i];
		if (!place_allowed(r, q, version))
			continue;
		place_fill_need(r, q, version, avoid, &need);
		if (!fleet_can_serve(r->fleet, server, &need, r->now_us))
			continue;
		if (i > q->chain_step && !place_wait_is_long(r, q))
			return false;
		choice.candidates = fleet_count_servers(r->fleet, &need);
		choice.expected_us =
		    fleet_expected_us(r->fleet, server, &need, r->now_us);
		if (!router_attempt_dispatch(
			r, q, &choice, version, q->dispatch_reason))
			return false;
		q->chain_step = i;
		return true;
	}
	return false;
}

static void
place_fill_forward_need(const struct cf_router *r,
    const struct router_request *q, struct neighbour_need *need)
{
	need->workspace = q->params.workspace;
	need->service = q->params.service;
	need->now_us = r->now_us;
	need->unsafe_anywhere = router_rule_disabled(r, CF_UNSAFE_ALLOWED);
	need->versions = 0;
	if (q->params.kind == CF_CHAT)
		need->versions = q->pinned ? UINT64_C(1) << q->chain.versions[0]
					   : q->versions_anywhere;
}

/*
 * Forwards a request to another data centre with room.  Returns false if there
 * is none or the request may not be forwarded.
 */
bool
place_forward(struct cf_router *r, struct router_request *q)
{
	struct neighbour_need need;
	uint16_t dc;

	if (q->params.forwarded || q->attempt_count == CF_ATTEMPTS_MAX)
		return false;
	place_fill_forward_need(r, q, &need);
	if (q->params.kind == CF_CHAT && need.versions == 0)
		return false;
	dc = neighbour_choose(&r->neighbours, r->cfg, &need);
	if (dc == CFG_NONE)
		return false;
	return router_attempt_forward(r, q, dc);
}

/*
 * Whether another data centre in reach may run the request, with room now or
 * later.
 */
bool
place_reachable(const struct cf_router *r, const struct router_request *q)
{
	struct neighbour_need need;

	if (q->params.forwarded)
		return false;
	place_fill_forward_need(r, q, &need);
	return (q->params.kind == CF_SERVICE || need.versions != 0) &&
	       neighbour_any_allowed(&r->neighbours, r->cfg, &need);
}

/*
 * Decides at random whether a request is still forwarded because the own data
 * centre has only just come back.  The probability falls linearly to zero over
 * PLACE_RAMP_US.
 */
bool
place_ramp_diverts(struct cf_router *r)
{
	int64_t since_us = r->now_us - r->returned_us;

	if (r->returned_us == 0 || since_us >= PLACE_RAMP_US)
		return false;
	return rng_below(&r->rng, PLACE_RAMP_US) >= since_us;
}
