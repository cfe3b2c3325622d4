#include "core/router.h"

#include <string.h>

enum {
	/* Upper bound of the actions for one request in a step. */
	ROUTER_REQUEST_ACTIONS_MAX = 3 * CF_ATTEMPTS_MAX,
	ROUTER_CRASH_MARKS_MAX = 4096 /* fingerprints kept */
};

/*
 * Appends an action of the given kind to the current step's list and returns
 * it, with no server or version and with this instance's data centre.
 */
struct cf_action *
router_add_action(struct cf_router *r, enum cf_action_kind kind)
{
	struct cf_action *a = &r->actions->items[r->actions->count++];

	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->server = CF_NO_SERVER;
	a->version = CFG_NONE;
	a->data_centre = r->options.data_centre;
	return a;
}

/*
 * Whether the action list has room for one more request.  If not, marks work as
 * left over, so that the step asks to be woken again at once.
 */
bool
router_has_room(struct cf_router *r)
{
	if (r->actions->count + 2 * ROUTER_REQUEST_ACTIONS_MAX <=
	    CF_ACTIONS_MAX)
		return true;
	r->work_left = true;
	return false;
}

/* Whether a test has switched off a rule with options.unsafe. */
bool
router_rule_disabled(const struct cf_router *r, enum cf_unsafe rule)
{
	return (r->options.unsafe & rule) != 0;
}

/* Returns a router that refuses everything until its first CF_EV_CONFIG. */
struct cf_router *
cf_router_new(const struct cf_router_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct fleet_options fleet_opts = {alloc, options->max_servers,
	    (options->unsafe & CF_UNSAFE_CREDIT) != 0,
	    (options->unsafe & CF_UNSAFE_LEAVING) != 0};
	struct cf_router *r = alloc_zero(alloc, 1, sizeof(*r));
	uint32_t i;

	r->options = *options;
	r->alloc = alloc;
	r->instances = 1;
	r->wake_us = INT64_MAX;
	r->fleet = fleet_new(&fleet_opts);
	r->qual = qual_new(alloc);
	r->rollout = rollout_new(alloc);
	r->queue = queue_new(alloc, options->max_requests);
	r->limit = limit_new(alloc);
	r->marks = crash_marks_new(alloc, ROUTER_CRASH_MARKS_MAX);
	r->sessions = session_new(alloc, options->max_sessions);
	r->timers = heap_new(alloc, options->max_requests);
	r->by_id = map_new(alloc, options->max_requests);
	r->requests =
	    alloc_zero(alloc, options->max_requests, sizeof(*r->requests));
	for (i = 0; i < options->max_requests; i++)
		r->requests[i].next_free = i + 1;
	neighbour_init(&r->neighbours, options->data_centre);
	rng_init(&r->rng, options->seed);
	return r;
}

void
cf_router_free(struct cf_router *r)
{
	if (r == NULL)
		return;
	fleet_free(r->fleet);
	qual_free(r->qual);
	rollout_free(r->rollout);
	queue_free(r->queue);
	limit_free(r->limit);
	crash_marks_free(r->marks);
	session_free(r->sessions);
	heap_free(r->timers);
	map_free(r->by_id);
	alloc_free(r->alloc, r->model_versions);
	alloc_free(r->alloc, r->requests);
	alloc_free(r->alloc, r);
}

/*
 * Emits CF_ACT_STOP_VERSION once for a version that the sequential test has
 * stopped.
 */
void
router_report_stopped(struct cf_router *r, uint16_t version)
{
	struct cf_action *a;

	if ((r->stopped >> version & 1) ||
	    !rollout_is_stopped(r->rollout, version))
		return;
	r->stopped |= UINT64_C(1) << version;
	a = router_add_action(r, CF_ACT_STOP_VERSION);
	a->version = version;
}

/*
 * Whether a configuration lets this instance's data centre take work: it is
 * listed and operators have not taken it out.
 */
static bool
router_accepts_work(const struct cf_router *r, const struct cfg *cfg)
{
	uint16_t dc = r->options.data_centre;

	return dc < cfg->data_centre_count && cfg->data_centres[dc].present &&
	       !cfg->data_centres[dc].out;
}

static void
router_configure(struct cf_router *r, const struct cfg *cfg)
{
	bool open = router_accepts_work(r, cfg);

	if (r->cfg != NULL && open && !r->accepts_work)
		r->returned_us = r->now_us;
	r->accepts_work = open;
	r->cfg = cfg;
	qual_configure(r->qual, cfg);
	rollout_configure(r->rollout, cfg);
	for (uint16_t i = cfg->workspace_count; i-- > 0;)
		queue_set_flow(r->queue, i, cfg->workspaces[i].priority,
		    cfg->workspaces[i].weight);
	limit_configure(r->limit, cfg, r->instances);
	session_configure(r->sessions, cfg);
	place_configure(r, cfg);
	upkeep_fill_servers(r);
}

static void
router_set_instances(struct cf_router *r, uint16_t instances)
{
	r->instances = instances == 0 ? 1 : instances;
	if (r->cfg != NULL)
		limit_configure(r->limit, r->cfg, r->instances);
}

/* Handles CF_EV_RATING: updates the roll-out test and the estimates. */
static void
router_apply_rating(struct cf_router *r, const struct cf_rating *rating)
{
	if (r->cfg == NULL || rating->version >= r->cfg->version_count ||
	    rating->workspace >= r->cfg->workspace_count)
		return;
	rollout_add_rating(r->rollout, rating->version, rating->passed,
	    qual_expected_pass_share(r->qual, rating), r->now_us);
	qual_add_rating(r->qual, rating, r->now_us);
	if (rollout_is_unsuspected(r->rollout, rating->version))
		qual_set_reference(r->qual, rating->version);
	router_report_stopped(r, rating->version);
}

/* Handles CF_EV_BIND: another instance has bound a session. */
static void
router_apply_binding(struct cf_router *r, const struct cf_event *event)
{
	struct session_key key = {
	    event->u.bind.workspace, event->u.bind.session, 0};

	if (r->cfg == NULL || key.workspace >= r->cfg->workspace_count ||
	    event->u.bind.version >= r->cfg->version_count)
		return;
	session_bind(r->sessions, &key, event->u.bind.version);
}

/* Handles CF_EV_DIGEST: another instance's outcomes of a version. */
static void
router_apply_digest(struct cf_router *r, const struct cf_digest *digest)
{
	if (r->cfg == NULL || digest->version >= r->cfg->version_count)
		return;
	rollout_merge_digest(r->rollout, digest, r->now_us);
	router_report_stopped(r, digest->version);
}

/* Handles events about backend servers and other data centres. */
static void
router_fleet_event(struct cf_router *r, const struct cf_event *event)
{
	switch (event->kind) {
	case CF_EV_ANNOUNCE:
		if (fleet_apply_announcement(
			r->fleet, &event->u.announce, r->now_us))
			upkeep_fill_server(r, event->u.announce.server);
		break;
	case CF_EV_SERVER_GONE:
		if (event->u.gone.crashed)
			upkeep_record_crash(r, event->u.gone.server);
		fleet_mark_gone(r->fleet, event->u.gone.server, r->now_us);
		break;
	case CF_EV_CREDIT:
		fleet_set_credits(r->fleet, event->u.credit.server,
		    event->u.credit.incarnation, event->u.credit.credits,
		    event->u.credit.until_us);
		upkeep_fill_server(r, event->u.credit.server);
		break;
	case CF_EV_CACHE:
		cache_apply_event(fleet_cache(r->fleet), event->u.cache.server,
		    event->u.cache.sequence, event->u.cache.prefix,
		    event->u.cache.stored);
		break;
	case CF_EV_NEIGHBOUR:
		neighbour_update(&r->neighbours, event, r->now_us);
		upkeep_fill_servers(r);
		break;
	default:
		break;
	}
}

static void
router_handle_event(struct cf_router *r, const struct cf_event *event)
{
	switch (event->kind) {
	case CF_EV_CONFIG:
		router_configure(r, event->u.config);
		break;
	case CF_EV_REQUEST:
		router_request_arrived(r, &event->u.request);
		break;
	case CF_EV_CLAIMED:
		router_request_claimed(
		    r, event->u.claimed.request, event->u.claimed.error);
		break;
	case CF_EV_FIRST_TOKEN:
		router_attempt_on_first_token(r, &event->u.attempt);
		break;
	case CF_EV_DONE:
		router_attempt_on_done(r, &event->u.attempt);
		break;
	case CF_EV_FAILED:
		router_attempt_on_failed(r, &event->u.attempt);
		break;
	case CF_EV_CALLER_GONE:
		router_request_caller_gone(r, event->u.caller_gone.request);
		break;
	case CF_EV_RATING:
		router_apply_rating(r, &event->u.rating);
		break;
	case CF_EV_DIGEST:
		router_apply_digest(r, &event->u.digest);
		break;
	case CF_EV_BIND:
		router_apply_binding(r, event);
		break;
	case CF_EV_CRASH_MARK:
		crash_marks_merge(r->marks, event->u.crash_mark.fingerprint,
		    event->u.crash_mark.crashes, r->now_us);
		break;
	case CF_EV_ISOLATED:
		r->isolated = event->u.isolated;
		break;
	case CF_EV_INSTANCES:
		router_set_instances(r, event->u.instances);
		break;
	case CF_EV_WAKE:
		break;
	default:
		router_fleet_event(r, event);
		break;
	}
}

/*
 * Handles one event and replaces the contents of actions with the actions that
 * result.  now_us must not decrease between calls.
 */
void
cf_router_step(struct cf_router *r, int64_t now_us,
    const struct cf_event *event, struct cf_actions *actions)
{
	actions->count = 0;
	r->actions = actions;
	r->now_us = now_us;
	r->work_left = false;
	if (now_us >= r->wake_us)
		r->wake_us = INT64_MAX;
	router_handle_event(r, event);
	upkeep_finish_step(r);
}

/* Returns the number of open requests, including queued ones. */
uint32_t
cf_router_open(const struct cf_router *r)
{
	return map_count(r->by_id);
}

/* Returns the number of queued requests. */
uint32_t
cf_router_queued(const struct cf_router *r)
{
	return queue_count(r->queue);
}

/*
 * Returns the number of attempts that this instance runs on a backend server.
 */
uint16_t
cf_router_in_flight(const struct cf_router *r, uint16_t server)
{
	const struct fleet_server *s = fleet_server(r->fleet, server);

	return s != NULL ? s->in_flight : 0;
}

/*
 * Moves the quick outcomes collected since the last call into out, one digest
 * for each version and at most max of them.  Returns the number of digests
 * written.
 */
size_t
cf_router_digests(struct cf_router *r, struct cf_digest *out, size_t max)
{
	return rollout_take_digests(r->rollout, out, max);
}

/*
 * Returns the number of answers of a version that count towards its exposure.
 */
uint64_t
cf_router_exposure(const struct cf_router *r, uint16_t version)
{
	return rollout_exposure(r->rollout, version);
}
