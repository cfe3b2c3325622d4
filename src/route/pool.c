#include "route/pool.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "route/pool_i.h"
#include "route/pool_roles.h"
#include "route/pool_sums.h"

enum {
	/* Pause after the first connect failure; doubles up to DOWN_MAX_US */
	DOWN_FIRST_US = 250000,
	DOWN_MAX_US = 4000000,
	/* Pause of a server that fails far more often than others */
	EJECT_DURATION_US = 4000000,
	/* Outcomes of a server before it can be ejected */
	EJECT_OUTCOMES_MIN = 6,
	FULL_BACKOFF_US = 150000, /* pause after a refusal */
	/* The same for a brittle server, which counts refusals by the second */
	BRITTLE_BACKOFF_US = 1000000,
	PAUSE_MAX_MS = 600000, /* longer requested pauses are cut to this */
	RAMP_LIMIT_FIRST = 1, /* concurrent requests after a pause */
	LOAD_REPORT_MAX_AGE_US = 2000000, /* older load reports are ignored */
	US_PER_MS = 1000,
	US_PER_S = 1000000,
	/*
	 * Number of instances up to which load reports arrive soon enough for
	 * each instance to compare all servers
	 */
	FULL_SCAN_INSTANCES_MAX = 12,
	/*
	 * Random servers of the own data centre that an instance compares when
	 * there are more instances
	 */
	NEAR_CANDIDATES = 2,
	/* Random servers of all data centres that it compares as well */
	RANDOM_CANDIDATES = 2
};

/* Weight of the newest outcome in the moving average */
static const double failure_weight = 0.15;
/* Ratio to the mean latency of another server from which a server is slow */
static const double slow_factor = 2;
/* Share of the servers that must be faster by slow_factor */
static const double faster_share_min = 0.25;
/* Weight of the newest answer in the moving average */
static const double refusal_weight = 0.3;
/* Time in which the refusal share decays to half */
static const double refusal_half_life_s = 6;
/* Cost of the next attempt after a refusal */
static const double refusal_penalty_ms = 300;
/* The same cost in requests, where servers are compared by load */
static const double refusal_penalty_requests = 4;
/* Failure share above the mean at which a server is ejected */
static const double eject_margin = 0.25;
/*
 * Cost of sending to another data centre: the delay, the bytes, and that fewer
 * of an instance's own requests tell it about the servers there
 */
static const double remote_penalty_ms = 60;
static const uint32_t remote_penalty_requests = 2; /* see pick_by_load() */
/* Random delay that keeps instances from making the same choice */
static const double jitter_ms = 6;

/* Creates a pool without servers. */
struct server_pool *
pool_new(const struct pool_options *options)
{
	struct server_pool *pool = alloc_zero(options->alloc, 1, sizeof(*pool));

	pool->options = *options;
	pool->index = pool_index_new(options->alloc);
	rng_init(&pool->rng, options->seed);
	return pool;
}

/* Releases a pool and its servers. */
void
pool_free(struct server_pool *pool)
{
	if (pool == NULL)
		return;
	pool_index_free(pool->index);
	alloc_free(pool->options.alloc, pool->servers);
	alloc_free(pool->options.alloc, pool->pace_services);
	alloc_free(pool->options.alloc, pool);
}

/* Returns a cleared slot for a new server; ROUTE_NONE if there are too many. */
static uint16_t
allocate_server(struct server_pool *pool)
{
	for (uint16_t i = 0; i < pool->count && pool->unused > 0; i++) {
		struct pool_server *s = &pool->servers[i];

		/* A slot is reused only once no request refers to it. */
		if (!s->used && s->in_flight == 0 && s->held == 0) {
			memset(s, 0, sizeof(*s));
			pool->unused--;
			return i;
		}
	}
	if (pool->count == ROUTE_NONE)
		return ROUTE_NONE;
	if (pool->count == pool->size) {
		pool->size = (uint16_t)(pool->size > 0 ? pool->size * 2 : 32);
		pool->servers = alloc_resize(pool->options.alloc, pool->servers,
		    pool->size * sizeof(*pool->servers));
	}
	memset(&pool->servers[pool->count], 0, sizeof(*pool->servers));
	return pool->count++;
}

/*
 * Tells whether what has changed between two announcements of a server concerns
 * where it is found, or the roles of servers.
 */
static bool
changes_place(
    const struct registry_server *before, const struct registry_server *after)
{
	return before->born_ms != after->born_ms || before->ip != after->ip ||
	       before->port != after->port || after->state == REGISTRY_GONE ||
	       strcmp(before->service, after->service) != 0 ||
	       strcmp(before->version, after->version) != 0 ||
	       strcmp(before->data_centre, after->data_centre) != 0;
}

/* Takes a server that was in use out of its group and the index. */
static void
remove_server(struct server_pool *pool, uint16_t server)
{
	pool_roles_leave(pool, server);
	pool_index_remove(pool, server);
	pool->servers[server].used = false;
}

/* Enters a server into the index and its group. */
static void
add_server(struct server_pool *pool, uint16_t server)
{
	pool->servers[server].used = true;
	pool_index_add(pool, server);
	pool_roles_enter(pool, server);
}

/* Forgets what was learned of a server's earlier life. */
static void
forget_life(struct pool_server *s)
{
	s->has_load = false;
	s->is_presumed_cold = false;
	s->failures = 0;
	s->refusal_share = 0;
	s->paused_until_us = 0;
	s->ramp_limit = s->in_flight_before_pause = 0;
	memset(&s->limit, 0, sizeof(s->limit));
	memset(&s->brittle, 0, sizeof(s->brittle));
	s->has_answered = false;
	s->refused_us = 0;
	s->down_until_us = s->ejected_until_us = 0;
	s->failure_share = 0;
	s->outcomes = 0;
	s->latency_samples = 0;
	pace_restart(&s->pace);
}

/*
 * Applies a server's announcement.  Returns the server's index, or ROUTE_NONE
 * if it is unknown and gone, or if there are too many servers.
 */
uint16_t
pool_update_server(struct server_pool *pool,
    const struct registry_server *server, int64_t now_us)
{
	uint16_t found = pool_find_id(pool, server->id);
	struct pool_server *s;
	struct pool_group *group_before = NULL;
	bool is_new = found == ROUTE_NONE, moves, reborn, changes_state;

	if (is_new && (server->state == REGISTRY_GONE ||
			  (found = allocate_server(pool)) == ROUTE_NONE))
		return ROUTE_NONE;
	s = &pool->servers[found];
	if (is_new)
		s->bucket.refilled_us = now_us;
	moves = is_new || changes_place(&s->announced, server);
	reborn = !is_new && s->announced.born_ms != server->born_ms;
	changes_state = s->announced.state != server->state;
	if (moves && !is_new) {
		group_before = s->group;
		remove_server(pool, found);
	}
	s->announced = *server;
	if (reborn)
		forget_life(s);
	if (s->is_presumed_cold && server->seq > s->presumed_cold_seq) {
		s->is_presumed_cold = false;
		s->cold_until_us = 0;
	}
	if (server->cold_ms > 0)
		s->cold_until_us =
		    server->heard_us + (int64_t)server->cold_ms * US_PER_MS;
	if (moves) {
		s->pace_service =
		    pool_pace_service_index(pool, server->service);
		s->life = registry_life_hash(server->id, server->born_ms);
		s->address.sin_family = AF_INET;
		s->address.sin_addr.s_addr = server->ip;
		s->address.sin_port = htons(server->port);
	}
	if (server->state == REGISTRY_GONE)
		pool->unused++;
	else if (moves)
		add_server(pool, found);
	else if (changes_state)
		pool_roles_state_changed(pool, found);
	if (group_before != NULL)
		pool_roles_settle(pool, group_before);
	return found;
}

/*
 * Sets the route table and the orders.  The caller keeps both until the next
 * call.
 */
void
pool_configure(struct server_pool *pool, const struct route_table *table,
    const struct ord *orders, int64_t now_us)
{
	pool->table = table;
	pool->orders = orders;
	pool_roles_update_all(pool, now_us);
}

/* Sets the instances that may send to the same servers. */
void
pool_set_members(struct server_pool *pool, const struct rate_members *members)
{
	pool->members = *members;
}

/* Returns the index of the server with an id, or ROUTE_NONE. */
uint16_t
pool_index_of(const struct server_pool *pool, const char *id)
{
	return pool_find_id(pool, id);
}

/*
 * Returns a server by its index.  The index stays valid while requests of this
 * instance are there.
 */
const struct pool_server *
pool_server_at(const struct server_pool *pool, uint16_t server)
{
	return &pool->servers[server];
}

uint16_t
pool_server_count(const struct server_pool *pool)
{
	return pool->count;
}

/* Tells whether any server of a service that is ready and in use has a role. */
bool
pool_has_role(
    const struct server_pool *pool, const char *service, enum pool_role role)
{
	const struct pool_group *group = pool_find_group(pool, service);

	return group != NULL && group->may_run[role].count > 0;
}

/* Tells whether a server is ready and of a service. */
bool
pool_server_is_ready(const struct pool_server *s, const char *service)
{
	return s->used && s->announced.state == REGISTRY_READY &&
	       strcmp(s->announced.service, service) == 0;
}

/* Tells whether a server is ready, in use and of the service of a query. */
bool
pool_server_may_run(const struct pool_server *s, const struct pool_query *query)
{
	return s->used && s->announced.state == REGISTRY_READY && !s->out &&
	       s->role != POOL_ROLE_EXCLUDED &&
	       strcmp(s->announced.service, query->service) == 0;
}

/* Returns the number of servers of a service that are ready. */
uint32_t
pool_ready_count(const struct server_pool *pool, const char *service)
{
	const struct pool_group *group = pool_find_group(pool, service);

	return group != NULL ? group->ready_count : 0;
}

/*
 * Draws servers of a service that may show whether there is a path to it: none
 * that has failed since the last success, unless the path is lost, and
 * preferably those that could be connected to last time.  Returns their number,
 * at most most.
 */
uint8_t
pool_draw_for_probe(struct server_pool *pool, const char *service,
    const struct reach *reach, uint8_t most, uint16_t *servers)
{
	const struct pool_group *group = pool_find_group(pool, service);
	uint8_t count = 0;

	for (int preferred = 1; preferred >= 0; preferred--) {
		uint8_t kept = count;
		uint32_t seen = 0;

		for (uint16_t i = 0; i < pool_group_count(group); i++) {
			const struct pool_server *s =
			    pool_group_member(pool, group, i);
			uint32_t at;

			if (!pool_server_is_ready(s, service) ||
			    (s->failures == 0) != (preferred == 1) ||
			    (!reach->lost && reach_has_failed(reach, s->life)))
				continue;
			/* Each server is drawn with the same chance. */
			at = kept + rng_below(&pool->rng, ++seen);
			if (count < most) {
				servers[count] = servers[at];
				servers[at] = group->members[i];
				count++;
			} else if (at < most)
				servers[at] = group->members[i];
		}
	}
	return count;
}

/*
 * Estimates the requests at a server: its last report plus what was sent since,
 * and at least the own requests there.
 */
static uint32_t
estimated_requests(const struct pool_server *s, int64_t now_us)
{
	int64_t load;

	if (!s->has_load ||
	    now_us - s->load_reported_us > LOAD_REPORT_MAX_AGE_US)
		return s->in_flight;
	load = (int64_t)s->running + s->waiting + s->sent_since_report;
	return load > s->in_flight ? (uint32_t)load : s->in_flight;
}

static bool
is_avoided(const struct pool_query *query, uint16_t server)
{
	for (uint8_t i = 0; i < query->avoid_count; i++) {
		if (query->avoid[i] == server)
			return true;
	}
	return false;
}

static struct pool_bounds
bounds_of_service(
    const struct server_pool *pool, const char *service, int64_t now_us)
{
	const struct route_service *config =
	    pool->table != NULL ? route_table_find_service(pool->table, service)
				: NULL;

	return (struct pool_bounds){
	    .connections_max = config != NULL ? config->connections_max : 0,
	    .is_brittle = pool_service_is_brittle(pool, service, now_us)};
}

/*
 * Returns what keeps a server from getting another request, POOL_FITS if
 * nothing does: it admits one, it is within its ramp limit after a pause, and
 * this instance's part of its connections, and of its slots if it is brittle,
 * is not used up.  Each request takes a connection.
 */
static enum pool_fit
fit_of_room(struct server_pool *pool, uint16_t server,
    const struct pool_query *query, const struct pool_bounds *bounds,
    int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	if (bounds->connections_max > 0 && pool->members.count > 0 &&
	    s->in_flight >= rate_share_of_slots(bounds->connections_max,
				&pool->members, s->life))
		return POOL_OUT_OF_CONNECTIONS;
	if (bounds->is_brittle &&
	    (!s->has_answered || pool_server_is_brittle(s, now_us)) &&
	    s->in_flight >= pool_slots_share(pool, server, now_us))
		return POOL_BRITTLE_SHARE_USED;
	if (s->ramp_limit > 0 &&
	    s->in_flight >= s->in_flight_before_pause + s->ramp_limit)
		return POOL_RAMPS_UP;
	return pool_admits(pool, s, query, bounds->ignores_knee, now_us);
}

/*
 * Returns the weight of a server for a hash.  The server with the highest
 * weight is the same at every instance (rendezvous hashing).
 */
static uint64_t
rendezvous_hash(uint64_t affinity, uint64_t id_hash)
{
	uint64_t weight = id_hash ^ affinity;

	weight = (weight ^ weight >> 33) * UINT64_C(0xff51afd7ed558ccd);
	weight = (weight ^ weight >> 33) * UINT64_C(0xc4ceb9fe1a85ec53);
	return weight ^ weight >> 33;
}

/*
 * Returns the prompt work queued at a server in milliseconds, as far as this
 * instance knows.
 */
double
pool_backlog_ms(const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	double others = s->peer_backlog_ms -
			(double)(now_us - s->peer_reported_us) / US_PER_MS;

	return s->own_backlog_ms + (others > 0 ? others : 0);
}

/* Returns the share of requests that a server refuses, decayed to now_us. */
static double
current_refusal_share(const struct pool_server *s, int64_t now_us)
{
	double age_s = (double)(now_us - s->refusal_updated_us) / US_PER_S;

	return s->refusal_share > 0
		   ? s->refusal_share * exp2(-age_s / refusal_half_life_s)
		   : 0;
}

/*
 * Tells whether a server is the home of a query's prefix, where requests with
 * the same prefix meet.
 */
bool
pool_is_prefix_home(const struct server_pool *pool, uint16_t server,
    const struct pool_query *query)
{
	const struct pool_server *s = &pool->servers[server];
	const struct pool_group *group = pool_find_group(pool, query->service);
	uint64_t own = rendezvous_hash(query->affinity, s->id_hash);

	if (query->affinity == 0)
		return false;
	for (uint32_t i = 0; group != NULL && i < group->may_run[s->role].count;
	     i++) {
		if (rendezvous_hash(
			query->affinity, group->may_run[s->role].keys[i]) > own)
			return false;
	}
	return true;
}

/*
 * Returns the home of a query's prefix among the servers of a role, or
 * ROUTE_NONE.
 */
uint16_t
pool_find_prefix_home(const struct server_pool *pool,
    const struct pool_query *query, enum pool_role role)
{
	const struct pool_group *group = pool_find_group(pool, query->service);
	uint64_t best = 0, best_hash = 0;

	if (query->affinity == 0 || group == NULL ||
	    group->may_run[role].count == 0)
		return ROUTE_NONE;
	for (uint32_t i = 0; i < group->may_run[role].count; i++) {
		uint64_t id_hash = group->may_run[role].keys[i];
		uint64_t hash = rendezvous_hash(query->affinity, id_hash);

		if (i == 0 || hash > best_hash) {
			best = id_hash;
			best_hash = hash;
		}
	}
	return slot_index_first(&pool->index->ids, best);
}

/*
 * Returns the expected time to the first event at a server, in milliseconds,
 * and what speaks against the server besides.
 */
static double
expected_first_event_ms(struct server_pool *pool,
    const struct pool_query *query, uint16_t server, uint16_t home,
    int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	double ms =
	    pool_nominal_ms(pool, query, server, server == home, now_us) *
		pool_slowness(pool, server, now_us) +
	    jitter_ms * rng_unit(&pool->rng) +
	    refusal_penalty_ms * current_refusal_share(s, now_us);

	if (strcmp(s->announced.data_centre, pool->options.data_centre) != 0)
		ms += remote_penalty_ms;
	return ms;
}

/* The server with the lowest expected time to the first event so far. */
struct best_candidate {
	const struct pool_query *query;
	int64_t now_us;
	uint16_t home;
	uint16_t server; /* ROUTE_NONE: none considered yet */
	double ms;
};

/* Replaces the best candidate if a server is expected to be faster. */
static void
consider_server(
    struct server_pool *pool, struct best_candidate *best, uint16_t server)
{
	double ms = expected_first_event_ms(
	    pool, best->query, server, best->home, best->now_us);

	if (best->server != ROUTE_NONE && ms >= best->ms)
		return;
	best->server = server;
	best->ms = ms;
}

/*
 * Draws a random server of the own data centre, or of all if it has none there.
 */
static uint16_t
draw_near_server(
    struct server_pool *pool, const uint16_t *candidates, uint16_t count)
{
	uint16_t found = ROUTE_NONE;
	uint32_t seen = 0;

	for (uint16_t i = 0; i < count; i++) {
		const struct pool_server *s = &pool->servers[candidates[i]];

		if (strcmp(s->announced.data_centre,
			pool->options.data_centre) == 0 &&
		    rng_below(&pool->rng, ++seen) == 0)
			found = candidates[i];
	}
	return found != ROUTE_NONE ? found
				   : candidates[rng_below(&pool->rng, count)];
}

/*
 * Picks the server with the lowest expected time to the first event.
 *
 * With few instances all servers are compared.  Many instances would all choose
 * the server that looked idle in the last report until the next report arrives.
 * Each of them therefore compares only the home of the prefix and a few random
 * servers, some of them in its own data centre.
 */
static uint16_t
pick_by_first_event(struct server_pool *pool, const struct pool_query *query,
    const uint16_t *candidates, uint16_t count, int64_t now_us)
{
	struct best_candidate best = {.query = query,
	    .now_us = now_us,
	    .home = pool_find_prefix_home(
		pool, query, pool->servers[candidates[0]].role),
	    .server = ROUTE_NONE};
	bool all = pool->members.count <= FULL_SCAN_INSTANCES_MAX ||
		   count <= NEAR_CANDIDATES + RANDOM_CANDIDATES;

	for (uint16_t i = 0; i < count; i++) {
		if (all || candidates[i] == best.home)
			consider_server(pool, &best, candidates[i]);
	}
	for (int drawn = 0; !all && drawn < NEAR_CANDIDATES; drawn++)
		consider_server(
		    pool, &best, draw_near_server(pool, candidates, count));
	for (int drawn = 0; !all && drawn < RANDOM_CANDIDATES; drawn++)
		consider_server(
		    pool, &best, candidates[rng_below(&pool->rng, count)]);
	return best.server;
}

/*
 * Returns the load of a server by which plain requests are placed: its requests
 * and its slots, as many times as it is slower than others.  A slow server
 * counts as loaded even without requests.  A server in another data centre
 * counts as having remote_penalty_requests more.
 */
static double
effective_load(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	double load =
	    (s->announced.slots + estimated_requests(s, now_us)) *
		pool_significant_slowness(pool, server, now_us) +
	    refusal_penalty_requests * current_refusal_share(s, now_us);

	return strcmp(s->announced.data_centre, pool->options.data_centre) != 0
		   ? load + remote_penalty_requests
		   : load;
}

/*
 * Picks the less loaded of a random server of the own data centre and a random
 * server of all.
 */
static uint16_t
pick_by_load(struct server_pool *pool, const uint16_t *candidates,
    uint16_t count, int64_t now_us)
{
	uint16_t a = draw_near_server(pool, candidates, count);
	uint16_t b = candidates[rng_below(&pool->rng, count)];

	return effective_load(pool, a, now_us) <=
		       effective_load(pool, b, now_us)
		   ? a
		   : b;
}

/*
 * Returns the weight of a server for a suspect request.  Unlike that of
 * rendezvous_hash(), it is the same in all builds, so that instances also send
 * suspects to one server while they are upgraded one by one.
 */
static uint64_t
suspect_weight(uint64_t request, const struct pool_server *s)
{
	return XXH64(s->announced.id, strlen(s->announced.id), request);
}

/*
 * Picks by rendezvous hash, which gives the same server at every instance that
 * has the same candidates.
 */
static uint16_t
pick_by_hash(const struct server_pool *pool, uint64_t request,
    const uint16_t *candidates, uint16_t count)
{
	uint16_t best = candidates[0];

	for (uint16_t i = 1; i < count; i++) {
		if (suspect_weight(request, &pool->servers[candidates[i]]) >
		    suspect_weight(request, &pool->servers[best]))
			best = candidates[i];
	}
	return best;
}

/* Returns what makes a server unusable even as a fallback. */
static enum pool_fit
fit_as_fallback(const struct pool_server *s, int64_t now_us)
{
	if (s->paused_until_us > now_us)
		return POOL_PAUSED;
	if (s->down_until_us > now_us)
		return s->failures > 0 ? POOL_UNREACHABLE : POOL_HAS_REFUSED;
	return POOL_FITS;
}

/* Returns what puts the health of a server in doubt. */
static enum pool_fit
fit_of_health(
    struct server_pool *pool, const struct pool_server *s, int64_t now_us)
{
	enum pool_fit fit = fit_as_fallback(s, now_us);

	if (fit != POOL_FITS)
		return fit;
	if (centres_is_down(&pool->centres, s->announced.data_centre, now_us))
		return POOL_DATA_CENTRE_DOWN;
	if (s->ejected_until_us > now_us)
		return POOL_EJECTED;
	return now_us - s->announced.heard_us > pool->options.silent_us
		   ? POOL_SILENT
		   : POOL_FITS;
}

/*
 * Tells whether the health of a server is in doubt, so that it is only used if
 * there is no other.
 */
bool
pool_is_doubtful(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	return fit_of_health(pool, &pool->servers[server], now_us) != POOL_FITS;
}

/* Returns why a server doesn't count among those that may run requests. */
static enum pool_fit
fit_uncounted(const struct pool_server *s)
{
	if (s->announced.state != REGISTRY_READY)
		return POOL_NOT_READY;
	return s->out ? POOL_DATA_CENTRE_OUT : POOL_VERSION_EXCLUDED;
}

/*
 * Returns what rules a server out of a listing, or POOL_FITS.  This is the only
 * copy of these rules: requests are placed by it, and it is what is explained.
 */
enum pool_fit
pool_fit(struct server_pool *pool, uint16_t server,
    const struct pool_query *query, const struct pool_listing *listing,
    int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	enum pool_fit fit;

	if (!s->is_counted)
		return fit_uncounted(s);
	if (s->role != listing->role)
		return POOL_OTHER_VERSION;
	if (listing->trial && !pool_is_trial_server(query, s))
		return POOL_OUTSIDE_TRIAL;
	fit = listing->tier == POOL_TIER_FALLBACK
		  ? fit_as_fallback(s, now_us)
		  : fit_of_health(pool, s, now_us);
	if (fit != POOL_FITS)
		return fit;
	if (is_avoided(query, server))
		return POOL_TRIED;
	fit = fit_of_room(pool, server, query, &listing->bounds, now_us);
	if (fit != POOL_FITS)
		return fit;
	return pool_bound_allows(pool, server, now_us) ? POOL_FITS
						       : POOL_RATE_USED;
}

/* Lists the servers that may take the request now by the rules of a listing. */
static uint16_t
list_tier(struct server_pool *pool, const struct pool_query *query,
    int64_t now_us, struct pool_listing *listing,
    uint16_t candidates[POOL_CANDIDATES_MAX])
{
	const struct pool_group *group = pool_find_group(pool, query->service);
	bool passed_over = false;
	uint16_t count = 0;

	listing->bounds = bounds_of_service(pool, query->service, now_us);
	listing->bounds.ignores_knee = listing->tier != POOL_TIER_HEALTHY;
	for (uint16_t k = 0;
	     k < pool_group_count(group) && count < POOL_CANDIDATES_MAX; k++) {
		const struct pool_server *s = pool_group_member(pool, group, k);
		enum pool_fit fit;

		if (!s->is_counted || s->role != listing->role)
			continue;
		fit = pool_fit(pool, group->members[k], query, listing, now_us);
		if (fit == POOL_FITS)
			candidates[count++] = group->members[k];
		passed_over |= fit == POOL_RATE_USED;
	}
	pool->bounded_picks += passed_over;
	return count;
}

/*
 * Lists the servers of a role.  Of a new version, only the trial group is
 * listed as long as it has room.
 */
static uint16_t
list_role(struct server_pool *pool, const struct pool_query *query,
    int64_t now_us, struct pool_listing *listing,
    uint16_t candidates[POOL_CANDIDATES_MAX])
{
	uint16_t count;

	listing->trial = listing->role == POOL_ROLE_TARGET;
	count = list_tier(pool, query, now_us, listing, candidates);
	if (count == 0 && listing->trial) {
		listing->trial = false;
		count = list_tier(pool, query, now_us, listing, candidates);
	}
	return count;
}

/* Tells whether any server could run the request if it had room. */
static bool
any_may_run(const struct server_pool *pool, const struct pool_query *query)
{
	return pool_has_role(pool, query->service, query->role) ||
	       (query->allow_other_role &&
		   (pool_has_role(pool, query->service, POOL_ROLE_BASE) ||
		       pool_has_role(pool, query->service, POOL_ROLE_TARGET)));
}

/*
 * Lists the servers among which one is picked for a request.  Returns their
 * number, and stores by which rules they were listed: the last ones if there
 * are none.
 */
uint16_t
pool_list_candidates(struct server_pool *pool, const struct pool_query *query,
    int64_t now_us, struct pool_listing *listing,
    uint16_t candidates[POOL_CANDIDATES_MAX])
{
	uint16_t count = 0;
	enum pool_role other =
	    query->role == POOL_ROLE_BASE ? POOL_ROLE_TARGET : POOL_ROLE_BASE;

	for (enum pool_tier tier = 0; tier < POOL_TIERS && count == 0; tier++) {
		*listing =
		    (struct pool_listing){.tier = tier, .role = query->role};
		count = list_role(pool, query, now_us, listing, candidates);
		/* A version on trial gets no more for servers that slow down.
		 */
		if (count == 0 && query->allow_other_role &&
		    tier != POOL_TIER_HEALTHY) {
			listing->role = other;
			count =
			    list_role(pool, query, now_us, listing, candidates);
		}
	}
	return count;
}

/*
 * Picks a server for a request and stores its index in *server if it returns
 * POOL_PICKED.
 */
enum pool_pick_result
pool_pick_server(struct server_pool *pool, const struct pool_query *query,
    int64_t now_us, uint16_t *server)
{
	uint16_t candidates[POOL_CANDIDATES_MAX];
	struct pool_listing listing;
	uint16_t count;

	pool->lacked_memory = false;
	count = pool_list_candidates(pool, query, now_us, &listing, candidates);
	if (count == 0)
		return any_may_run(pool, query) ? POOL_NO_CAPACITY
						: POOL_NO_SERVER;
	if (query->suspect_hash != 0) {
		*server =
		    pick_by_hash(pool, query->suspect_hash, candidates, count);
		return POOL_PICKED;
	}
	*server =
	    query->by_prompt_work
		? pick_by_first_event(pool, query, candidates, count, now_us)
		: pick_by_load(pool, candidates, count, now_us);
	return POOL_PICKED;
}

/* Records that a request was sent to a server with work_ms of prompt work. */
void
pool_record_send(
    struct server_pool *pool, uint16_t server, double work_ms, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	s->in_flight++;
	s->sent_since_report++;
	s->own_backlog_ms += work_ms;
	if (pool_is_bounded(pool, server, now_us))
		rate_bucket_consume(&s->bucket);
}

/*
 * Removes a request's prompt work from the backlog, when its first event has
 * arrived or never will.
 */
void
pool_record_work_start(
    struct server_pool *pool, uint16_t server, double work_ms)
{
	struct pool_server *s = &pool->servers[server];

	s->own_backlog_ms =
	    s->own_backlog_ms > work_ms ? s->own_backlog_ms - work_ms : 0;
}

/*
 * Lists the load of own requests at each server, to be reported to the other
 * instances.  Returns the number of entries.
 */
size_t
pool_get_own_loads(
    const struct server_pool *pool, struct loads_entry *out, size_t max)
{
	size_t count = 0;

	for (uint16_t i = 0; i < pool->count && count < max; i++) {
		const struct pool_server *s = &pool->servers[i];

		if (s->used && s->in_flight > 0)
			out[count++] = (struct loads_entry){s->load_hash,
			    (uint32_t)s->own_backlog_ms, s->in_flight};
	}
	return count;
}

/* Replaces the load that the other instances reported. */
void
pool_set_peer_loads(struct server_pool *pool, const struct loads_entry *loads,
    size_t count, int64_t now_us)
{
	const struct slot_index *hashes = &pool->index->load_hashes;

	for (uint16_t i = 0; i < pool->count; i++) {
		struct pool_server *s = &pool->servers[i];

		s->peer_backlog_ms = 0;
		s->peer_in_flight = 0;
		s->peer_reported_us = now_us;
	}
	/* Of several entries for a server, the first one counts. */
	for (size_t k = count; k-- > 0;) {
		uint16_t i = slot_index_first(hashes, loads[k].server);

		for (; i != SLOT_INDEX_NONE; i = slot_index_next(hashes, i)) {
			pool->servers[i].peer_backlog_ms = loads[k].pending_ms;
			pool->servers[i].peer_in_flight = loads[k].running;
		}
	}
}

/* Records that a request at a server has ended, however it ended. */
void
pool_record_end(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];

	if (s->in_flight > 0)
		s->in_flight--;
	if (s->in_flight_before_pause > 0)
		s->in_flight_before_pause--;
	s->sent_since_report--;
}

/*
 * Keeps the index of a server from being used for another one, as a request
 * that has ended there is still to be concluded, until pool_release().
 */
void
pool_hold(struct server_pool *pool, uint16_t server)
{
	pool->servers[server].held++;
}

/* Gives up one pool_hold(). */
void
pool_release(struct server_pool *pool, uint16_t server)
{
	if (pool->servers[server].held > 0)
		pool->servers[server].held--;
}

/* Stores the number of running and waiting requests that an answer reported. */
void
pool_record_load(struct server_pool *pool, uint16_t server, uint16_t running,
    uint16_t waiting, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	s->has_load = true;
	s->running = running;
	s->waiting = waiting;
	s->load_reported_us = now_us;
	s->sent_since_report = 0;
}

/* Stores for how much longer a server stays cold, as reported by an answer. */
void
pool_record_cold(
    struct server_pool *pool, uint16_t server, uint32_t cold_ms, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	s->cold_until_us = now_us + (int64_t)cold_ms * US_PER_MS;
	s->is_presumed_cold = false;
}

/*
 * Records that no connection could be made.  silent: the connection attempt
 * timed out instead of being refused.
 */
void
pool_record_connect_failure(
    struct server_pool *pool, uint16_t server, bool silent, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];
	int64_t wait_us = DOWN_FIRST_US;

	for (uint8_t i = 0; i < s->failures && wait_us < DOWN_MAX_US; i++)
		wait_us *= 2;
	if (s->failures < UINT8_MAX)
		s->failures++;
	s->down_until_us =
	    now_us + (wait_us < DOWN_MAX_US ? wait_us : DOWN_MAX_US);
	centres_record_failure(
	    &pool->centres, s->announced.data_centre, server, silent, now_us);
}

/* Records that a connection to a server was established. */
void
pool_record_connected(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];

	if (s->failures > 0)
		s->down_until_us = 0;
	s->failures = 0;
}

/*
 * Records how a request ended.  A server that fails far more requests than the
 * mean of its service is ejected for a while, even if its health check passes.
 */
void
pool_record_outcome(
    struct server_pool *pool, uint16_t server, bool failed, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	if (!failed) {
		s->failures = 0;
		centres_record_answer(&pool->centres, s->announced.data_centre);
	}
	s->outcomes++;
	s->failure_share +=
	    failure_weight * ((failed ? 1.0 : 0.0) - s->failure_share);
	pool_sums_update(pool, server);
	if (failed && s->outcomes >= EJECT_OUTCOMES_MIN &&
	    s->failure_share > pool_mean_failure_share(pool_group_of(pool, s)) +
				   eject_margin) {
		s->ejected_until_us = now_us + EJECT_DURATION_US;
		/* Lets it be tried again before it is ejected again */
		s->failure_share /= 2;
		pool_sums_update(pool, server);
	}
}

/*
 * Adds an answer time to the moving average of a server with the given weight.
 */
void
pool_record_latency(
    struct server_pool *pool, uint16_t server, double ms, double weight)
{
	struct pool_server *s = &pool->servers[server];

	if (++s->latency_samples * weight < 1)
		weight = 1.0 / s->latency_samples;
	s->mean_latency_ms += weight * (ms - s->mean_latency_ms);
	pool_sums_update(pool, server);
}

/*
 * Tells whether a server answers far more slowly than others of the same
 * service and version.  At least a quarter of them must be that much faster; a
 * median would not do, since more than half of the servers may be in trouble at
 * a time.
 */
bool
pool_is_slow(const struct server_pool *pool, uint16_t server)
{
	const struct pool_server *s = &pool->servers[server];
	const struct pool_group *group = pool_group_of(pool, s);
	uint32_t faster;

	if (!pool_is_timed(s) || group == NULL)
		return false;
	faster =
	    pool_faster_count(group, s->role, s->mean_latency_ms / slow_factor);
	return faster > 0 &&
	       faster >= pool_timed_count(group, s->role) * faster_share_min;
}

/* Estimates how many requests a server has, as far as this instance knows. */
uint32_t
pool_request_count(
    const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	return estimated_requests(&pool->servers[server], now_us);
}

/* Adds a refusal or an acceptance to the refusal share of a server. */
static void
record_refusal(struct pool_server *s, bool refused, int64_t now_us)
{
	double share = current_refusal_share(s, now_us);

	s->refusal_share =
	    share + refusal_weight * ((refused ? 1.0 : 0.0) - share);
	s->refusal_updated_us = now_us;
}

/* Records that a server refused a request because it is full. */
void
pool_record_refusal(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];
	int64_t until_us =
	    now_us + (pool_is_brittle(pool, server, now_us) ? BRITTLE_BACKOFF_US
							    : FULL_BACKOFF_US);

	s->refused_us = now_us;
	if (s->down_until_us < until_us)
		s->down_until_us = until_us;
	record_refusal(s, true, now_us);
}

/* Records that a server asked for a pause when it refused a request. */
void
pool_record_pause(struct server_pool *pool, uint16_t server, uint32_t pause_ms,
    int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];
	int64_t until_us =
	    now_us +
	    (int64_t)(pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS) *
		US_PER_MS;

	if (until_us > s->paused_until_us)
		s->paused_until_us = until_us;
	s->ramp_limit = RAMP_LIMIT_FIRST;
	s->in_flight_before_pause = s->in_flight;
	pool_sums_update(pool, server);
}

/*
 * Counts the servers of a service that are leaving, paused, limited or brittle;
 * of all services if service is NULL.
 */
struct pool_withdrawn
pool_withdrawn(
    const struct server_pool *pool, const char *service, int64_t now_us)
{
	struct pool_withdrawn withdrawn = {0};
	const struct pool_group *group;

	if (service != NULL) {
		group = pool_find_group(pool, service);
		if (group != NULL)
			pool_add_withdrawn(group, now_us, &withdrawn);
		return withdrawn;
	}
	for (uint16_t i = 0; i < pool->index->group_count; i++)
		pool_add_withdrawn(pool->index->groups[i], now_us, &withdrawn);
	return withdrawn;
}

/* Records that a server began to answer a request instead of refusing it. */
void
pool_record_acceptance(
    struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	record_refusal(s, false, now_us);
	if (s->ramp_limit > 0)
		s->ramp_limit =
		    s->ramp_limit < s->announced.slots ? s->ramp_limit + 1 : 0;
}
