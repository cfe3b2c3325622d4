#include "celeryford.h"

#include <string.h>

#include "base/rng.h"
#include "core/fleet.h"
#include "core/map.h"
#include "core/quality.h"
#include "core/rollout.h"

enum {
	RETRY_AFTER_MS = 500,
	REQUEST_TRIES_MAX = 3
};

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_RUNNING,
	ATTEMPT_ENDED
};

struct attempt {
	uint16_t server;
	uint16_t version;
	enum attempt_state state;
	uint64_t incarnation;
	int64_t started_us;
	int64_t first_token_us;
};

struct request {
	struct cf_request asked;
	bool used;
	bool claiming;
	uint8_t attempt_count;
	enum err_run_state run_state; /* over all attempts so far */
	struct qual_chain chain;
	uint8_t step; /* position in the chain */
	struct attempt attempts[CF_ATTEMPTS_MAX];
	uint32_t next_free;
};

struct cf_router {
	struct cf_router_options options;
	const struct alloc *alloc;
	const struct cfg *cfg;
	struct fl *fl;
	struct qual *qual;
	struct ro *ro;
	struct rng rng;
	struct map *by_id;
	struct request *requests;
	uint32_t free_head;
	bool isolated;
	int64_t now_us;
	struct cf_actions *actions;
};

static struct cf_action *
router_act(struct cf_router *r, enum cf_action_kind kind)
{
	struct cf_action *a = &r->actions->items[r->actions->count++];

	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->server = CF_NO_SERVER;
	a->version = CFG_NONE;
	a->data_centre = r->options.data_centre;
	return a;
}

/* Returns a router that refuses everything until its first CF_EV_CONFIG. */
struct cf_router *
cf_router_new(const struct cf_router_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct cf_router *r = alloc_zero(alloc, 1, sizeof(*r));
	uint32_t i;

	r->options = *options;
	r->alloc = alloc;
	r->fl = fl_new(alloc, options->max_servers);
	r->qual = qual_new(alloc);
	r->ro = ro_new(alloc);
	rng_init(&r->rng, options->seed);
	r->by_id = map_new(alloc, options->max_requests);
	r->requests =
	    alloc_zero(alloc, options->max_requests, sizeof(*r->requests));
	for (i = 0; i < options->max_requests; i++)
		r->requests[i].next_free = i + 1;
	return r;
}

void
cf_router_free(struct cf_router *r)
{
	if (r == NULL)
		return;
	fl_free(r->fl);
	qual_free(r->qual);
	ro_free(r->ro);
	map_free(r->by_id);
	alloc_free(r->alloc, r->requests);
	alloc_free(r->alloc, r);
}

static struct request *
request_get(struct cf_router *r, uint32_t id)
{
	int64_t slot = map_get(r->by_id, id);

	return slot == MAP_NONE ? NULL : &r->requests[slot];
}

static void
request_end(struct cf_router *r, struct request *q)
{
	map_remove(r->by_id, q->asked.id);
	q->used = false;
	q->next_free = r->free_head;
	r->free_head = (uint32_t)(q - r->requests);
}

static void
router_refuse(struct cf_router *r, uint32_t id, uint16_t workspace, int error,
    enum err_run_state run_state, enum cf_reason reason)
{
	struct cf_action *a = router_act(r, CF_ACT_REFUSE);

	a->request = id;
	a->workspace = workspace;
	a->error = error;
	a->run_state = run_state;
	a->reason = reason;
	if (err_answer(error)->try_again)
		a->retry_after_ms =
		    RETRY_AFTER_MS + rng_below(&r->rng, RETRY_AFTER_MS);
}

static void
request_refuse(
    struct cf_router *r, struct request *q, int error, enum cf_reason reason)
{
	router_refuse(
	    r, q->asked.id, q->asked.workspace, error, q->run_state, reason);
	request_end(r, q);
}

/* Whether an attempt may be dispatched now; the last check of every one. */
static bool
dispatch_allowed(
    const struct cf_router *r, const struct request *q, uint16_t version)
{
	const struct cfg *cfg = r->cfg;
	const struct cfg_workspace *w;
	uint16_t dc = r->options.data_centre;

	if (q->asked.kind == CF_SERVICE) {
		w = &cfg->workspaces[q->asked.workspace];
		return w->present && (w->services >> q->asked.service & 1) &&
		       (w->data_centres >> dc & 1) &&
		       cfg->data_centres[dc].present &&
		       !cfg->data_centres[dc].out;
	}
	return cfg_version_allowed(cfg, q->asked.workspace, version, dc) &&
	       !ro_stopped(r->ro, version) &&
	       (!r->isolated || cfg->versions[version].serve_isolated);
}

static void
dispatch(struct cf_router *r, struct request *q, uint16_t server,
    uint16_t version, uint16_t candidates)
{
	struct fl_server *s = fl_server(r->fl, server);
	struct attempt *t = &q->attempts[q->attempt_count];
	struct cf_action *a = router_act(r, CF_ACT_DISPATCH);

	memset(t, 0, sizeof(*t));
	t->server = server;
	t->version = version;
	t->state = ATTEMPT_RUNNING;
	t->incarnation = s->said.incarnation;
	t->started_us = r->now_us;
	s->in_flight++;
	a->request = q->asked.id;
	a->workspace = q->asked.workspace;
	a->attempt = q->attempt_count++;
	a->server = server;
	a->version = version;
	a->candidates = candidates;
	a->reason = q->attempt_count > 1 ? CF_WHY_RETRY : q->chain.reason;
	a->at_us = q->asked.deadline_us;
	if (version != CFG_NONE)
		ro_served(r->ro, version, r->now_us);
}

/* Dispatches a request on the first version of its chain that has a server. */
static void
request_place(struct cf_router *r, struct request *q)
{
	uint16_t tried[CF_ATTEMPTS_MAX];
	struct fl_need need = {CFG_NONE, q->asked.service, tried, 0};
	uint16_t candidates, seen = 0;
	uint16_t server;
	bool allowed = false;
	uint8_t i;

	for (i = 0; i < q->attempt_count; i++)
		tried[need.avoid_count++] = q->attempts[i].server;
	for (i = 0; i < q->chain.count; i++) {
		need.version = q->chain.versions[i];
		if (!dispatch_allowed(r, q, need.version))
			continue;
		allowed = true;
		server = fl_pick(r->fl, &r->rng, &need, r->now_us, &candidates);
		seen += candidates;
		if (server != CF_NO_SERVER) {
			dispatch(r, q, server, need.version, candidates);
			return;
		}
	}
	if (!allowed)
		request_refuse(r, q, ERR_FORBIDDEN, CF_WHY_NOT_ALLOWED);
	else if (seen == 0)
		request_refuse(r, q, ERR_NO_SERVER, CF_WHY_NO_SERVER);
	else
		request_refuse(r, q, ERR_NO_CAPACITY, CF_WHY_LIMIT);
}

/* Returns the versions that the request may run, as a mask. */
static uint64_t
request_versions(const struct cf_router *r, const struct request *q)
{
	uint64_t mask = 0;
	uint16_t v;

	for (v = 0; v < r->cfg->version_count; v++)
		if ((q->asked.version == CFG_NONE || q->asked.version == v) &&
		    (q->asked.model == CFG_NONE ||
			r->cfg->versions[v].model == q->asked.model) &&
		    dispatch_allowed(r, q, v))
			mask |= UINT64_C(1) << v;
	return mask;
}

static void
request_choose(struct cf_router *r, struct request *q)
{
	uint64_t mask;

	if (q->asked.kind == CF_SERVICE) {
		q->chain.count = 1;
		q->chain.versions[0] = CFG_NONE;
		q->chain.reason = CF_WHY_ONLY;
		return;
	}
	mask = request_versions(r, q);
	if (mask == 0)
		return;
	if (q->asked.version != CFG_NONE) {
		q->chain.count = 1;
		q->chain.versions[0] = q->asked.version;
		q->chain.reason = CF_WHY_REQUESTED;
		return;
	}
	qual_choose(r->qual, &r->rng, q->asked.workspace, q->asked.task_class,
	    mask, ro_open(r->ro, (uint16_t)rng_below(&r->rng, 1000)),
	    !q->asked.streaming, r->now_us, &q->chain);
}

static void
on_request(struct cf_router *r, const struct cf_request *asked)
{
	struct request *q;
	struct cf_action *a;

	if (r->cfg == NULL || asked->workspace >= r->cfg->workspace_count) {
		router_refuse(r, asked->id, asked->workspace, ERR_FORBIDDEN,
		    ERR_NOT_RUN, CF_WHY_NOT_ALLOWED);
		return;
	}
	if (r->free_head == r->options.max_requests) {
		router_refuse(r, asked->id, asked->workspace, ERR_NO_CAPACITY,
		    ERR_NOT_RUN, CF_WHY_LIMIT);
		return;
	}
	q = &r->requests[r->free_head];
	r->free_head = q->next_free;
	memset(q, 0, sizeof(*q));
	q->asked = *asked;
	q->used = true;
	map_put(r->by_id, asked->id, (uint32_t)(q - r->requests));
	if (asked->once) {
		q->claiming = true;
		a = router_act(r, CF_ACT_CLAIM);
		a->request = asked->id;
		a->workspace = asked->workspace;
		return;
	}
	request_choose(r, q);
	request_place(r, q);
}

static void
on_claimed(struct cf_router *r, uint32_t id, int error)
{
	struct request *q = request_get(r, id);

	if (q == NULL || !q->claiming)
		return;
	q->claiming = false;
	if (error != 0) {
		request_refuse(r, q, error, CF_WHY_OUTCOME);
		return;
	}
	request_choose(r, q);
	request_place(r, q);
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

static void
attempt_end(struct cf_router *r, struct attempt *t)
{
	struct fl_server *s = fl_server(r->fl, t->server);

	t->state = ATTEMPT_ENDED;
	if (s->in_flight > 0)
		s->in_flight--;
}

static void
on_done(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_get(r, report->request);
	struct attempt *t = attempt_get(q, report);
	struct cf_action *a;

	if (t == NULL)
		return;
	attempt_end(r, t);
	a = router_act(r, CF_ACT_ANSWER);
	a->request = q->asked.id;
	a->workspace = q->asked.workspace;
	a->attempt = report->attempt;
	a->server = t->server;
	a->version = t->version;
	a->run_state = ERR_RAN;
	request_end(r, q);
}

static void
on_failed(struct cf_router *r, const struct cf_attempt *report)
{
	struct request *q = request_get(r, report->request);
	struct attempt *t = attempt_get(q, report);

	if (t == NULL)
		return;
	attempt_end(r, t);
	if (report->run_state > q->run_state)
		q->run_state = report->run_state;
	if (q->asked.once && q->run_state != ERR_NOT_RUN)
		request_refuse(r, q, ERR_HALTED, CF_WHY_OUTCOME);
	else if (!err_answer(report->error)->try_again ||
		 (q->asked.streaming && t->first_token_us != 0))
		request_refuse(r, q, report->error, CF_WHY_OUTCOME);
	else if (q->attempt_count >= REQUEST_TRIES_MAX)
		request_refuse(r, q, report->error, CF_WHY_BUDGET);
	else
		request_place(r, q);
}

static void
on_caller_gone(struct cf_router *r, uint32_t id)
{
	struct request *q = request_get(r, id);
	struct cf_action *a;
	uint8_t i;

	if (q == NULL)
		return;
	for (i = 0; i < q->attempt_count; i++) {
		if (q->attempts[i].state != ATTEMPT_RUNNING)
			continue;
		attempt_end(r, &q->attempts[i]);
		a = router_act(r, CF_ACT_CANCEL);
		a->request = id;
		a->attempt = i;
		a->server = q->attempts[i].server;
	}
	request_end(r, q);
}

static void
on_first_token(struct cf_router *r, const struct cf_attempt *report)
{
	struct attempt *t =
	    attempt_get(request_get(r, report->request), report);

	if (t != NULL && t->first_token_us == 0)
		t->first_token_us = r->now_us;
}

static void
on_config(struct cf_router *r, const struct cfg *cfg)
{
	r->cfg = cfg;
	qual_configure(r->qual, cfg);
	ro_configure(r->ro, cfg);
}

/*
 * Takes in one event at the given time and appends the actions it leads to.
 * Times never run backwards between steps.
 */
void
cf_router_step(struct cf_router *r, int64_t now_us,
    const struct cf_event *event, struct cf_actions *actions)
{
	r->now_us = now_us;
	r->actions = actions;
	switch (event->kind) {
	case CF_EV_CONFIG:
		on_config(r, event->u.config);
		break;
	case CF_EV_ANNOUNCE:
		fl_announce(r->fl, &event->u.announce, now_us);
		break;
	case CF_EV_SERVER_GONE:
		fl_gone(r->fl, event->u.gone.server);
		break;
	case CF_EV_REQUEST:
		on_request(r, &event->u.request);
		break;
	case CF_EV_CLAIMED:
		on_claimed(r, event->u.claimed.request, event->u.claimed.error);
		break;
	case CF_EV_FIRST_TOKEN:
		on_first_token(r, &event->u.attempt);
		break;
	case CF_EV_DONE:
		on_done(r, &event->u.attempt);
		break;
	case CF_EV_FAILED:
		on_failed(r, &event->u.attempt);
		break;
	case CF_EV_CALLER_GONE:
		on_caller_gone(r, event->u.caller_gone.request);
		break;
	case CF_EV_RATING:
		qual_rate(r->qual, &event->u.rating, now_us);
		ro_rated(r->ro, event->u.rating.version, event->u.rating.passed,
		    now_us);
		break;
	case CF_EV_ISOLATED:
		r->isolated = event->u.isolated;
		break;
	case CF_EV_BIND:
	case CF_EV_CRASH_MARK:
	case CF_EV_CREDIT:
	case CF_EV_CACHE:
	case CF_EV_WAKE:
	case CF_EV_NEIGHBOUR:
	case CF_EV_INSTANCES:
		break;
	}
}

uint32_t
cf_router_open(const struct cf_router *r)
{
	return map_count(r->by_id);
}

uint32_t
cf_router_queued(const struct cf_router *r)
{
	return 0;
}

uint16_t
cf_router_in_flight(const struct cf_router *r, uint16_t server)
{
	return server < r->options.max_servers
		   ? fl_server(r->fl, server)->in_flight
		   : 0;
}

uint64_t
cf_router_exposure(const struct cf_router *r, uint16_t version)
{
	return ro_exposure(r->ro, version);
}
