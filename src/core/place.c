#include <string.h>

#include "core/router.h"

enum {
	PLACE_RAMP_US =
	    30000000, /* a returned data centre's way to its share */
	PLACE_SERVICE_US = 1000000, /* time of an attempt before any ended */
	PLACE_BEYOND_TRIES = 3, /* further chains tried when one is full */
	PLACE_SPILL_PARTS = 4 /* a wait of this part of the time left is long */
};

/* Returns the index of a version's or service's counters. */
uint16_t
place_lane(const struct request *q, uint16_t version)
{
	return version != CFG_NONE
		   ? version
		   : (uint16_t)(CFG_VERSIONS_MAX + q->asked.service);
}

static bool
place_service_allowed(const struct cf_router *r, const struct request *q)
{
	const struct cfg *cfg = r->cfg;
	const struct cfg_workspace *w = &cfg->workspaces[q->asked.workspace];
	uint16_t dc = r->options.data_centre;

	return w->present && (w->services >> q->asked.service & 1) != 0 &&
	       cfg->services[q->asked.service].present &&
	       (w->data_centres >> dc & 1) != 0 &&
	       dc < cfg->data_centre_count && cfg->data_centres[dc].present &&
	       !cfg->data_centres[dc].out;
}

/*
 * Whether an attempt may be dispatched here now: by the current revision, the
 * sequential test and, on an isolated instance, the version's own setting.
 */
bool
place_allowed(
    const struct cf_router *r, const struct request *q, uint16_t version)
{
	if (router_unsafe(r, CF_UNSAFE_ALLOWED))
		return true;
	if (q->asked.kind == CF_SERVICE)
		return place_service_allowed(r, q);
	return cfg_version_allowed(r->cfg, q->asked.workspace, version,
		   r->options.data_centre) &&
	       !ro_stopped(r->ro, version) &&
	       (!r->isolated || r->cfg->versions[version].serve_isolated);
}

/*
 * Works out the masks that place_versions() combines for each request.  They
 * only narrow the choice: the dispatch itself asks place_allowed().
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
	r->when_isolated = 0;
	r->stopped = 0;
	for (i = 0; i < cfg->version_count; i++) {
		v = &cfg->versions[i];
		bit = UINT64_C(1) << i;
		if (v->present && v->state != CFG_WITHDRAWN)
			r->usable |= bit;
		if (v->state == CFG_ROLLING)
			r->rolling |= bit;
		if (v->serve_isolated)
			r->when_isolated |= bit;
		if (ro_stopped(r->ro, i))
			r->stopped |= bit;
		if (v->model < cfg->model_count)
			r->model_versions[v->model] |= bit;
	}
}

/* Returns the versions that a request may run on in some data centre. */
static uint64_t
place_versions(const struct cf_router *r, const struct request *q)
{
	const struct cfg *cfg = r->cfg;
	uint64_t mask = cfg->workspaces[q->asked.workspace].versions &
			r->usable & ~r->stopped;

	if (q->asked.version != CFG_NONE)
		mask &= UINT64_C(1) << q->asked.version;
	if (q->asked.model != CFG_NONE)
		mask &= q->asked.model < cfg->model_count
			    ? r->model_versions[q->asked.model]
			    : 0;
	return mask;
}

/* Narrows a mask of versions to what may run here. */
static uint64_t
place_versions_here(
    const struct cf_router *r, const struct request *q, uint64_t mask)
{
	uint16_t dc = r->options.data_centre;

	if (!r->open ||
	    !(r->cfg->workspaces[q->asked.workspace].data_centres >> dc & 1))
		return router_unsafe(r, CF_UNSAFE_ALLOWED) ? mask : 0;
	return r->isolated ? mask & r->when_isolated : mask;
}

static void
place_chain_of_one(
    struct request *q, uint16_t version, enum cf_reason reason, bool pinned)
{
	q->chain.count = 1;
	q->chain.versions[0] = version;
	q->chain.reason = reason;
	q->pinned = pinned;
}

/*
 * Returns the versions in roll-out that may take one more session.  Which of
 * them a session gets is its hash's matter, so every draw that opens one is
 * asked for.
 */
static uint64_t
place_rolling_open(const struct cf_router *r)
{
	return ro_room(r->ro) & r->rolling;
}

/*
 * Puts a session's version into the chain: the bound one while it may run, or
 * the one that the rule gives.
 */
static void
place_choose_session(
    struct cf_router *r, struct request *q, uint64_t candidates)
{
	struct session_key key = {
	    q->asked.workspace, q->asked.session, q->asked.session_birth};
	uint16_t version = session_get(r->session, &key);
	uint64_t loaded;
	bool lost;

	if (version != CFG_NONE && (candidates >> version & 1)) {
		place_chain_of_one(q, version, CF_WHY_SESSION, true);
		return;
	}
	lost = version != CFG_NONE && q->asked.model == CFG_NONE;
	candidates &= ~r->rolling | place_rolling_open(r);
	version = session_rule(r->session, &key, candidates);
	loaded = candidates & fl_versions(r->fl);
	if (loaded != 0 && (version == CFG_NONE || !(loaded >> version & 1)))
		version = session_rule(r->session, &key, loaded);
	if (version == CFG_NONE)
		return;
	place_chain_of_one(
	    q, version, lost ? CF_WHY_REBOUND : CF_WHY_SESSION, true);
	q->bind = !router_unsafe(r, CF_UNSAFE_STICKY);
}

/*
 * Lets the estimates choose.  A version on hold is left out, unless nothing
 * else may run.
 */
static void
place_choose_quality(
    struct cf_router *r, struct request *q, uint64_t candidates)
{
	uint64_t loaded = candidates & fl_versions(r->fl);
	struct qual_ask ask;

	if (loaded != 0)
		candidates = loaded;
	ask.workspace = q->asked.workspace;
	ask.task_class = q->asked.task_class;
	ask.rolling_open = ro_open(r->ro, (uint16_t)rng_below(&r->rng, 1000));
	ask.candidates = candidates & ask.rolling_open;
	ask.may_escalate = !q->asked.streaming;
	qual_choose(r->qual, &r->rng, &ask, &q->chain);
	if (q->chain.count != 0)
		return;
	ask.candidates = candidates;
	qual_choose(r->qual, &r->rng, &ask, &q->chain);
}

/*
 * Fills a request's chain of versions if it has none that may still run.  A
 * session is looked up again each time, since another request of it may have
 * been bound during a wait.  Returns false when nothing is allowed anywhere.
 */
bool
place_choose(struct cf_router *r, struct request *q)
{
	uint64_t candidates;
	bool first = q->chain.count == 0;

	if (q->asked.kind == CF_SERVICE) {
		if (first)
			place_chain_of_one(q, CFG_NONE, CF_WHY_ONLY, false);
		if (q->why == CF_WHY_CHEAPEST)
			q->why = CF_WHY_ONLY;
		return true;
	}
	q->elsewhere = place_versions(r, q);
	candidates = place_versions_here(r, q, q->elsewhere);
	if (candidates == 0)
		candidates = q->elsewhere;
	if (candidates == 0)
		return false;
	if (!first && (q->asked.session == 0 || q->asked.version != CFG_NONE) &&
	    (candidates >> q->chain.versions[q->step] & 1))
		return true;
	q->chain.count = 0;
	q->step = 0;
	if (q->asked.version != CFG_NONE)
		place_chain_of_one(q, q->asked.version, CF_WHY_REQUESTED, true);
	else if (q->asked.session != 0)
		place_choose_session(r, q, candidates);
	else
		place_choose_quality(r, q, candidates);
	if (first || q->chain.reason == CF_WHY_REBOUND)
		q->why = q->chain.reason;
	return q->chain.count > 0;
}

/* Says what a request needs of its server, and which ones it has tried. */
void
place_need(const struct cf_router *r, const struct request *q, uint16_t version,
    uint16_t avoid[CF_ATTEMPTS_MAX], struct fl_need *need)
{
	uint8_t i;

	need->version = version;
	need->service = q->asked.service;
	need->suspect =
	    marks_get(r->marks, q->asked.fingerprint, r->now_us) > 0 &&
	    !router_unsafe(r, CF_UNSAFE_MARKS);
	need->avoid = avoid;
	need->avoid_count = 0;
	need->reserved = 0;
	need->prefixes = q->asked.prefixes;
	need->prefix_count = q->asked.prefix_count;
	need->prompt_tokens = q->asked.prompt_tokens;
	for (i = 0; i < q->attempt_count; i++)
		if (q->attempts[i].server != CF_NO_SERVER)
			avoid[need->avoid_count++] = q->attempts[i].server;
	if (need->avoid_count > 0 && fl_count(r->fl, need) <= need->avoid_count)
		need->avoid_count = 0;
}

/*
 * Returns how long a request would wait in the queue: what stands before it at
 * the rate at which its servers end attempts, or its workspace's own observed
 * pace where that is slower, since better priorities keep coming.
 */
int64_t
place_wait_us(const struct cf_router *r, const struct request *q)
{
	uint16_t version = q->chain.versions[q->step];
	uint16_t lane = place_lane(q, version);
	struct fl_need need = {.version = version, .service = q->asked.service};
	uint64_t ahead = queue_ahead(r->queue, q->asked.workspace);
	uint32_t queued = queue_count(r->queue);
	int64_t service_us = r->service_us[lane];
	uint32_t parallel = fl_slots(r->fl, &need) / r->instances;
	int64_t pace_us =
	    queue_pace_us(r->queue, q->asked.workspace, r->now_us);
	int64_t own = queue_waiting(r->queue, q->asked.workspace);
	int64_t wait_us;

	if (service_us == 0)
		service_us = PLACE_SERVICE_US;
	if (queued > 0)
		ahead = ahead * r->waiting[lane] / queued;
	if (parallel < r->running[lane])
		parallel = r->running[lane];
	if (parallel == 0)
		parallel = 1;
	wait_us = (int64_t)(ahead + 1) * service_us / parallel;
	return wait_us > (own + 1) * pace_us ? wait_us : (own + 1) * pace_us;
}

/* Whether waiting for the first choice costs too much of the time left. */
static bool
place_spills(const struct cf_router *r, const struct request *q)
{
	int64_t left_us = q->asked.deadline_us - r->now_us;

	return place_wait_us(r, q) * PLACE_SPILL_PARTS > left_us;
}

/*
 * Dispatches a request on a server with room, on the first version of its
 * chain that has one.  A later version than the first is taken when waiting
 * would be long.  Requests that come new do not pass the ones in the queue.
 */
enum place_result
place_local(struct cf_router *r, struct request *q, enum place_turn turn)
{
	enum place_result result = PLACE_NOT_ALLOWED;
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fl_choice choice;
	struct fl_need need;
	uint16_t version;
	uint8_t i;

	for (i = q->step; i < q->chain.count; i++) {
		version = q->chain.versions[i];
		if (!place_allowed(r, q, version))
			continue;
		if (i > q->step && result == PLACE_FULL && !place_spills(r, q))
			break;
		if (result == PLACE_NOT_ALLOWED)
			result = PLACE_NO_SERVER;
		place_need(r, q, version, avoid, &need);
		if (fl_count(r->fl, &need) == 0)
			continue;
		result = PLACE_FULL;
		if (turn != PLACE_IN_TURN &&
		    r->waiting[place_lane(q, version)] > 0)
			continue;
		if (turn == PLACE_SPARE || (turn == PLACE_NEW && i > q->step))
			need.reserved = r->wanted_versions;
		fl_pick(r->fl, &r->rng, &need, r->now_us, &choice);
		if (choice.cold != CF_NO_SERVER)
			upkeep_ask(r, choice.cold);
		if (choice.server != CF_NO_SERVER &&
		    attempt_dispatch(r, q, &choice, version, q->why)) {
			q->step = i;
			return PLACE_DONE;
		}
	}
	return result;
}

/* Returns the versions that may still serve a request, or its service. */
uint64_t
place_wants(const struct request *q)
{
	uint64_t mask = 0;
	uint8_t i;

	if (q->asked.kind == CF_SERVICE)
		return UINT64_C(1) << q->asked.service;
	for (i = q->step; i < q->chain.count; i++)
		mask |= UINT64_C(1) << q->chain.versions[i];
	return mask;
}

/*
 * Dispatches a request on versions outside its chain that nobody waits for,
 * chosen like the chain itself, when the wait for those in it would be long.
 * Leaves the chain as it was where nothing has room.
 */
bool
place_beyond(struct cf_router *r, struct request *q)
{
	struct qual_chain chain = q->chain;
	uint8_t step = q->step;
	uint64_t left;
	uint32_t i;

	if (q->pinned || q->asked.kind != CF_CHAT || !place_spills(r, q))
		return false;
	left = place_versions_here(r, q, place_versions(r, q)) &
	       fl_versions(r->fl) & ~r->wanted_versions;
	for (i = 0; i < PLACE_BEYOND_TRIES; i++) {
		left &= ~place_wants(q);
		if (left == 0)
			break;
		q->step = 0;
		place_choose_quality(r, q, left);
		if (q->chain.count == 0)
			break;
		if (place_local(r, q, PLACE_SPARE) == PLACE_DONE)
			return true;
	}
	q->chain = chain;
	q->step = step;
	return false;
}

/* Dispatches a waiting request on one server that got room, if it fits. */
bool
place_on(struct cf_router *r, struct request *q, uint16_t server)
{
	uint16_t avoid[CF_ATTEMPTS_MAX];
	struct fl_choice choice = {.server = server, .cold = CF_NO_SERVER};
	struct fl_need need;
	uint16_t version;
	uint8_t i;

	for (i = q->step; i < q->chain.count; i++) {
		version = q->chain.versions[i];
		if (!place_allowed(r, q, version))
			continue;
		place_need(r, q, version, avoid, &need);
		if (!fl_can_take(r->fl, server, &need, r->now_us))
			continue;
		if (i > q->step && !place_spills(r, q))
			return false;
		choice.candidates = fl_count(r->fl, &need);
		choice.expected_us = fl_expect(r->fl, server, &need, r->now_us);
		if (!attempt_dispatch(r, q, &choice, version, q->why))
			return false;
		q->step = i;
		return true;
	}
	return false;
}

static void
place_elsewhere(
    const struct cf_router *r, const struct request *q, struct nb_need *need)
{
	need->workspace = q->asked.workspace;
	need->service = q->asked.service;
	need->now_us = r->now_us;
	need->unsafe_anywhere = router_unsafe(r, CF_UNSAFE_ALLOWED);
	need->versions = 0;
	if (q->asked.kind == CF_CHAT)
		need->versions = q->pinned ? UINT64_C(1) << q->chain.versions[0]
					   : q->elsewhere;
}

/* Hands a request to another data centre that has room for it, if any. */
bool
place_forward(struct cf_router *r, struct request *q)
{
	struct nb_need need;
	uint16_t dc;

	if (q->asked.forwarded || q->attempt_count == CF_ATTEMPTS_MAX)
		return false;
	place_elsewhere(r, q, &need);
	if (q->asked.kind == CF_CHAT && need.versions == 0)
		return false;
	dc = nb_pick(&r->nb, r->cfg, &need);
	if (dc == CFG_NONE)
		return false;
	return attempt_forward(r, q, dc);
}

/* Whether another data centre could take a request once it has room. */
bool
place_reachable(const struct cf_router *r, const struct request *q)
{
	struct nb_need need;

	if (q->asked.forwarded)
		return false;
	place_elsewhere(r, q, &need);
	return (q->asked.kind == CF_SERVICE || need.versions != 0) &&
	       nb_reachable(&r->nb, r->cfg, &need);
}

/*
 * Draws whether a request should still go elsewhere because the own data
 * centre came back only now: its share grows evenly over PLACE_RAMP_US.
 */
bool
place_ramping(struct cf_router *r)
{
	int64_t since_us = r->now_us - r->returned_us;

	if (r->returned_us == 0 || since_us >= PLACE_RAMP_US)
		return false;
	return rng_below(&r->rng, PLACE_RAMP_US) >= since_us;
}
