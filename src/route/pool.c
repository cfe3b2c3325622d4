#include "route/pool.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "route/centres.h"

enum {
	DOWN_FIRST_US = 250000, /* after one failure to reach a server */
	DOWN_MAX_US = 4000000,
	EJECT_US = 4000000, /* a server that fails far more than others */
	EJECT_OUTCOMES = 6, /* of its own, before it is judged */
	FULL_US = 150000, /* a server that refused is left alone */
	PAUSE_MAX_MS = 600000, /* longer ones are taken as this */
	WINDOW_FIRST = 1, /* requests at a time after a pause */
	LOAD_AGE_US = 2000000, /* older reports count no more */
	US_PER_MS = 1000,
	US_PER_S = 1000000,
	FEW_INSTANCES = 12, /* whose reports come soon enough for all to compare
			       all servers */
	DRAWN_NEAR = 2, /* servers of the own data centre, compared by one of
			   many instances */
	DRAWN = 2, /* servers of all data centres, the same */
	TIMED_MIN = 3, /* answers of a server, before its mean is compared */
	ORDER_MAX = 1024 /* servers looked at for one request */
};

static const double failing_weight = 0.15; /* of the newest outcome */
static const double slow_times = 2; /* as long as others take */
static const double others_share = 0.25; /* of the servers, at the least */
static const double refusing_weight = 0.3; /* of the newest answer */
static const double refusing_fade_s = 6; /* the share falls to half in this */
static const double refused_ms = 300; /* a refusal costs the next attempt */
static const double refused_load = 4; /* the same, in requests at a server */
static const double eject_share = 0.25; /* failures above the mean */
static const double running_ms = 1.5; /* a running request slows reading by */
static const double abroad_ms = 60; /* bytes to another data centre cost */
static const uint32_t trial_load = 3; /* times the mean, on servers tried */
static const uint32_t abroad_load = 2; /* requests; see pick_by_load() */
static const double noise_ms = 6; /* keeps instances from choosing alike */

struct pl {
	struct pl_options options;
	struct centre_table centres;
	struct rng rng;
	struct pl_server *servers;
	uint16_t count;
	uint16_t size;
	uint32_t instances;
	const struct rt_table *table;
	const struct ord *orders;
};

/* Creates a pool without servers. */
struct pl *
pl_new(const struct pl_options *options)
{
	struct pl *pl = alloc_zero(options->alloc, 1, sizeof(*pl));

	pl->options = *options;
	rng_init(&pl->rng, options->seed);
	return pl;
}

/* Releases a pool. */
void
pl_free(struct pl *pl)
{
	if (pl == NULL)
		return;
	alloc_free(pl->options.alloc, pl->servers);
	alloc_free(pl->options.alloc, pl);
}

static struct pl_server *
find(struct pl *pl, const char *id)
{
	for (uint16_t i = 0; i < pl->count; i++) {
		if (pl->servers[i].used &&
		    strcmp(pl->servers[i].said.id, id) == 0)
			return &pl->servers[i];
	}
	return NULL;
}

static struct pl_server *
make(struct pl *pl)
{
	for (uint16_t i = 0; i < pl->count; i++) {
		struct pl_server *s = &pl->servers[i];

		/* A place is free once its last request has ended. */
		if (!s->used && s->in_flight == 0) {
			memset(s, 0, sizeof(*s));
			return s;
		}
	}
	if (pl->count == UINT16_MAX)
		return NULL;
	if (pl->count == pl->size) {
		pl->size = (uint16_t)(pl->size > 0 ? pl->size * 2 : 32);
		pl->servers = alloc_resize(pl->options.alloc, pl->servers,
		    pl->size * sizeof(*pl->servers));
	}
	memset(&pl->servers[pl->count], 0, sizeof(*pl->servers));
	return &pl->servers[pl->count++];
}

/*
 * The version that a service's servers have when no roll-out ever ended: that
 * of the oldest server.  Others were started for an order not heard of yet.
 */
static const char *
oldest_version(const struct pl *pl, const char *service)
{
	const struct pl_server *oldest = NULL;

	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (!s->used || strcmp(s->said.service, service) != 0 ||
		    ord_is_target(pl->orders, service, s->said.version))
			continue;
		if (oldest == NULL || s->said.born_ms < oldest->said.born_ms)
			oldest = s;
	}
	return oldest != NULL ? oldest->said.version : NULL;
}

static enum pl_role
role_of(const struct pl *pl, const struct rg_server *said)
{
	const char *base = NULL;

	if (pl->orders == NULL)
		return POOL_ROLE_EXCLUDED;
	for (size_t i = 0; i < ord_rollout_count(pl->orders); i++) {
		const struct ord_rollout *r = ord_rollout_at(pl->orders, i);
		bool is_target = strcmp(r->target, said->version) == 0;

		if (strcmp(r->service, said->service) != 0)
			continue;
		if (r->state == ORD_ROLLED_BACK && is_target)
			return POOL_ROLE_EXCLUDED;
		if (r->state == ORD_RUNNING && is_target)
			return PL_TARGET;
		if (r->state == ORD_FINISHING || r->state == ORD_COMPLETED)
			base = r->target;
	}
	if (base == NULL)
		base = oldest_version(pl, said->service);
	return base == NULL || strcmp(base, said->version) == 0
		   ? PL_BASE
		   : POOL_ROLE_EXCLUDED;
}

static void
refresh(struct pl *pl)
{
	for (uint16_t i = 0; i < pl->count; i++) {
		struct pl_server *s = &pl->servers[i];

		if (!s->used)
			continue;
		s->role = role_of(pl, &s->said);
		s->out = pl->orders != NULL &&
			 ord_is_out(pl->orders, s->said.data_centre);
	}
}

/* Takes a server's announcement; returns its place, or RT_NONE. */
uint16_t
pl_take(struct pl *pl, const struct rg_server *server, int64_t now_us)
{
	struct pl_server *s = find(pl, server->id);
	bool reborn;

	if (s == NULL) {
		if (server->state == RG_GONE || (s = make(pl)) == NULL)
			return RT_NONE;
		s->used = true;
		s->said = *server;
		s->warmup.full_us = now_us;
	}
	reborn = s->said.born_ms != server->born_ms;
	s->said = *server;
	if (reborn) {
		s->has_load = false;
		s->failures = 0;
		s->refusing = 0;
		s->paused_until_us = 0;
		s->window = s->before = 0;
		s->down_until_us = s->ejected_until_us = 0;
		s->failing = 0;
		s->outcomes = 0;
		s->timed = 0;
	}
	s->address.sin_family = AF_INET;
	s->address.sin_addr.s_addr = server->ip;
	s->address.sin_port = htons(server->port);
	if (server->cold_ms > 0)
		s->cold_until_us =
		    server->heard_us + (int64_t)server->cold_ms * US_PER_MS;
	if (server->state == RG_GONE)
		s->used = false;
	refresh(pl);
	return (uint16_t)(s - pl->servers);
}

/* Uses other routes and orders; both are kept until the next call. */
void
pl_configure(
    struct pl *pl, const struct rt_table *table, const struct ord *orders)
{
	pl->table = table;
	pl->orders = orders;
	refresh(pl);
}

/* Sets how many instances may send to the same servers; 0: not known. */
void
pl_set_instances(struct pl *pl, uint32_t entry_instances)
{
	pl->instances = entry_instances;
}

/* Returns the place of a server by its id, or RT_NONE. */
uint16_t
pl_place_of(const struct pl *pl, const char *id)
{
	const struct pl_server *s = find((struct pl *)pl, id);

	return s != NULL ? (uint16_t)(s - pl->servers) : (uint16_t)RT_NONE;
}

/* Returns a server; its place stays as long as requests are there. */
const struct pl_server *
pl_at(const struct pl *pl, uint16_t server)
{
	return &pl->servers[server];
}

uint16_t
pl_count(const struct pl *pl)
{
	return pl->count;
}

/* Tells whether any server of a service has a role. */
bool
pool_has_role(const struct pl *pl, const char *service, enum pl_role role)
{
	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (s->used && s->role == role && s->said.state == RG_READY &&
		    !s->out && strcmp(s->said.service, service) == 0)
			return true;
	}
	return false;
}

/* Requests at a server: its last report and what was sent since. */
static uint32_t
load_of(const struct pl_server *s, int64_t now_us)
{
	int64_t load;

	if (!s->has_load || now_us - s->load_us > LOAD_AGE_US)
		return s->in_flight;
	load = (int64_t)s->running + s->waiting + s->since;
	return load > s->in_flight ? (uint32_t)load : s->in_flight;
}

/* Whether a cold server bears one more request of this instance. */
static bool
cold_allows(struct pl *pl, struct pl_server *s, int64_t now_us)
{
	const struct rt_service *service;
	struct warmup_limits limits = {
	    .slack = pl->options.cold_slack, .instances = pl->instances};

	if (now_us >= s->cold_until_us || pl->table == NULL)
		return true;
	service = route_table_find_service(pl->table, s->said.service);
	if (service == NULL || service->cold_per_s <= 0)
		return true;
	limits.bears = service->cold_per_s * pl->options.cold_permille / 1000 +
		       pl->options.cold_slack;
	return warmup_allows(&s->warmup, &limits, &pl->rng, now_us);
}

static bool
is_avoided(const struct pl_query *query, uint16_t server)
{
	for (uint8_t i = 0; i < query->avoid_count; i++) {
		if (query->avoid[i] == server)
			return true;
	}
	return false;
}

static bool
may_run(const struct pl_server *s, const struct pl_query *query)
{
	return s->used && s->said.state == RG_READY && !s->out &&
	       s->role != POOL_ROLE_EXCLUDED &&
	       strcmp(s->said.service, query->service) == 0;
}

static bool
has_room(
    const struct pl_server *s, const struct pl_query *query, int64_t now_us)
{
	if (s->window > 0 && s->in_flight >= s->before + s->window)
		return false;
	return s->said.slots == 0 ||
	       load_of(s, now_us) < s->said.slots + query->slots_more;
}

/* Until when a server gets nothing, whatever else is left to choose from. */
static int64_t
barred_until_us(const struct pl_server *s)
{
	return s->paused_until_us > s->down_until_us ? s->paused_until_us
						     : s->down_until_us;
}

static uint64_t
rank(uint64_t affinity, const struct pl_server *s)
{
	return XXH64(s->said.id, strlen(s->said.id), affinity);
}

/* Whether a server is among those that a new version is tried on. */
static bool
is_trial(const struct pl *pl, const struct pl_query *query, uint16_t server)
{
	uint64_t own = rank(0, &pl->servers[server]);
	uint32_t ready = 0, before = 0;

	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (s->role != PL_TARGET || !may_run(s, query))
			continue;
		ready++;
		before += rank(0, s) > own;
	}
	return before * 1000 * trial_load < ready * query->trial_permille;
}

/* Returns the work that waits at a server, as far as this instance knows. */
double
pl_backlog_ms(const struct pl *pl, uint16_t server, int64_t now_us)
{
	const struct pl_server *s = &pl->servers[server];
	double others =
	    s->others_ms - (double)(now_us - s->others_us) / US_PER_MS;

	return s->own_ms + (others > 0 ? others : 0);
}

/* Share of the requests that a server refuses, as far as is known now. */
static double
refusing_share(const struct pl_server *s, int64_t now_us)
{
	double age_s = (double)(now_us - s->refusing_us) / US_PER_S;

	return s->refusing > 0 ? s->refusing * exp2(-age_s / refusing_fade_s)
			       : 0;
}

/* Whether requests with a prefix meet at a server. */
bool
pl_is_home(const struct pl *pl, uint16_t server, const struct pl_query *query)
{
	uint64_t own = rank(query->affinity, &pl->servers[server]);

	if (query->affinity == 0)
		return false;
	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (i != server && may_run(s, query) &&
		    s->role == pl->servers[server].role &&
		    rank(query->affinity, s) > own)
			return false;
	}
	return true;
}

static uint16_t
highest_rank(
    const struct pl *pl, const struct pl_query *query, enum pl_role role)
{
	uint16_t best = RT_NONE;
	uint64_t best_rank = 0;

	for (uint16_t i = 0; i < pl->count && query->affinity != 0; i++) {
		const struct pl_server *s = &pl->servers[i];
		uint64_t r;

		if (!may_run(s, query) || s->role != role)
			continue;
		r = rank(query->affinity, s);
		if (best == RT_NONE || r > best_rank) {
			best = i;
			best_rank = r;
		}
	}
	return best;
}

/* When the first event of a request would be due at a server, in ms. */
static double
due_ms(struct pl *pl, const struct pl_query *query, uint16_t server,
    uint16_t home, int64_t now_us)
{
	const struct pl_server *s = &pl->servers[server];
	double ms = pl_backlog_ms(pl, server, now_us) +
		    running_ms * (s->in_flight + s->others_running) +
		    noise_ms * rng_unit(&pl->rng) +
		    refused_ms * refusing_share(s, now_us);

	if (server != home)
		ms += query->shared_ms;
	if (strcmp(s->said.data_centre, pl->options.data_centre) != 0)
		ms += abroad_ms;
	return ms;
}

/* Where the first event would be due soonest, of the servers looked at so far.
 */
struct soonest {
	const struct pl_query *query;
	int64_t now_us;
	uint16_t home;
	uint16_t server; /* RT_NONE: none looked at */
	double ms;
};

static void
look_at(struct pl *pl, struct soonest *soonest, uint16_t server)
{
	double ms =
	    due_ms(pl, soonest->query, server, soonest->home, soonest->now_us);

	if (soonest->server != RT_NONE && ms >= soonest->ms)
		return;
	soonest->server = server;
	soonest->ms = ms;
}

/* A server drawn from those of the own data centre, or from all. */
static uint16_t
nearest(struct pl *pl, const uint16_t *list, uint16_t count)
{
	uint16_t found = RT_NONE;
	uint32_t seen = 0;

	for (uint16_t i = 0; i < count; i++) {
		const struct pl_server *s = &pl->servers[list[i]];

		if (strcmp(s->said.data_centre, pl->options.data_centre) == 0 &&
		    rng_below(&pl->rng, ++seen) == 0)
			found = list[i];
	}
	return found != RT_NONE ? found : list[rng_below(&pl->rng, count)];
}

/*
 * The server at which the first event is due soonest, of all while there are
 * few instances.  Many would send to the one that looked idle in the last
 * report until the next comes; each then compares the home of the prefix and a
 * few servers drawn at random, some of them near.
 */
static uint16_t
pick_by_work(struct pl *pl, const struct pl_query *query, const uint16_t *list,
    uint16_t count, int64_t now_us)
{
	struct soonest soonest = {.query = query,
	    .now_us = now_us,
	    .home = highest_rank(pl, query, pl->servers[list[0]].role),
	    .server = RT_NONE};
	bool all =
	    pl->instances <= FEW_INSTANCES || count <= DRAWN_NEAR + DRAWN;

	for (uint16_t i = 0; i < count; i++) {
		if (all || list[i] == soonest.home)
			look_at(pl, &soonest, list[i]);
	}
	for (int drawn = 0; !all && drawn < DRAWN_NEAR; drawn++)
		look_at(pl, &soonest, nearest(pl, list, count));
	for (int drawn = 0; !all && drawn < DRAWN; drawn++)
		look_at(pl, &soonest, list[rng_below(&pl->rng, count)]);
	return soonest.server;
}

/*
 * The less loaded of two.  A server in another data centre counts as having
 * somewhat more, so that it gets what the near ones have no room for.
 */
static uint16_t
pick_by_load(
    struct pl *pl, const uint16_t *list, uint16_t count, int64_t now_us)
{
	uint16_t a = nearest(pl, list, count);
	uint16_t b = list[rng_below(&pl->rng, count)];
	const struct pl_server *sa = &pl->servers[a], *sb = &pl->servers[b];
	double la =
	    load_of(sa, now_us) + refused_load * refusing_share(sa, now_us);
	double lb =
	    load_of(sb, now_us) + refused_load * refusing_share(sb, now_us);

	if (strcmp(sa->said.data_centre, pl->options.data_centre) != 0)
		la += abroad_load;
	if (strcmp(sb->said.data_centre, pl->options.data_centre) != 0)
		lb += abroad_load;
	return la <= lb ? a : b;
}

/* The same of a list at every instance that has it. */
static uint16_t
pick_alone(
    const struct pl *pl, uint64_t request, const uint16_t *list, uint16_t count)
{
	uint16_t best = list[0];

	for (uint16_t i = 1; i < count; i++) {
		if (rank(request, &pl->servers[list[i]]) >
		    rank(request, &pl->servers[best]))
			best = list[i];
	}
	return best;
}

/* How a list is narrowed: the best first, and what is only doubtful next. */
enum tier {
	TIER_SOUND,
	TIER_DOUBTFUL,
	TIERS
};

/* Servers of a role that may take the request, those on trial or all. */
static uint16_t
list_tier(struct pl *pl, const struct pl_query *query, int64_t now_us,
    enum pl_role role, bool trial, enum tier tier, uint16_t list[ORDER_MAX])
{
	uint16_t count = 0;

	for (uint16_t i = 0; i < pl->count && count < ORDER_MAX; i++) {
		struct pl_server *s = &pl->servers[i];
		bool suspect =
		    barred_until_us(s) > now_us ||
		    centres_is_down(
			&pl->centres, s->said.data_centre, now_us) ||
		    s->ejected_until_us > now_us ||
		    now_us - s->said.heard_us > pl->options.silent_us ||
		    is_avoided(query, i);

		if (!may_run(s, query) || s->role != role ||
		    (trial && !is_trial(pl, query, i)) ||
		    !cold_allows(pl, s, now_us) ||
		    (tier == TIER_SOUND &&
			(suspect || !has_room(s, query, now_us))) ||
		    (tier == TIER_DOUBTFUL &&
			(barred_until_us(s) > now_us || is_avoided(query, i) ||
			    !has_room(s, query, now_us))))
			continue;
		list[count++] = i;
	}
	return count;
}

/* Servers of a role; of a new version those on trial, if they have room. */
static uint16_t
list_role(struct pl *pl, const struct pl_query *query, int64_t now_us,
    enum pl_role role, enum tier tier, uint16_t list[ORDER_MAX])
{
	bool trial = role == PL_TARGET;
	uint16_t count = list_tier(pl, query, now_us, role, trial, tier, list);

	if (count == 0 && trial)
		count = list_tier(pl, query, now_us, role, false, tier, list);
	return count;
}

static bool
any_may_run(const struct pl *pl, const struct pl_query *query)
{
	for (uint16_t i = 0; i < pl->count; i++) {
		if (may_run(&pl->servers[i], query) &&
		    (query->any_role || pl->servers[i].role == query->role))
			return true;
	}
	return false;
}

/* Chooses a server for a request. */
enum pool_pick_result
pl_pick(struct pl *pl, const struct pl_query *query, int64_t now_us,
    uint16_t *server)
{
	uint16_t list[ORDER_MAX];
	uint16_t count = 0;
	enum pl_role other = query->role == PL_BASE ? PL_TARGET : PL_BASE;

	for (enum tier tier = 0; tier < TIERS && count == 0; tier++) {
		count = list_role(pl, query, now_us, query->role, tier, list);
		if (count == 0 && query->any_role)
			count = list_role(pl, query, now_us, other, tier, list);
	}
	if (count == 0)
		return any_may_run(pl, query) ? PL_FULL : PL_NONE;
	if (query->alone != 0) {
		*server = pick_alone(pl, query->alone, list, count);
		return PL_CHOSEN;
	}
	*server = query->by_work ? pick_by_work(pl, query, list, count, now_us)
				 : pick_by_load(pl, list, count, now_us);
	return PL_CHOSEN;
}

/* A request goes out to a server. */
void
pl_sent(struct pl *pl, uint16_t server, double work_ms, int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];

	s->in_flight++;
	s->since++;
	s->own_ms += work_ms;
	if (now_us < s->cold_until_us)
		warmup_consume(&s->warmup);
}

/* A request's work has begun, or never will. */
void
pl_begun(struct pl *pl, uint16_t server, double work_ms)
{
	struct pl_server *s = &pl->servers[server];

	s->own_ms = s->own_ms > work_ms ? s->own_ms - work_ms : 0;
}

/* Lists what own requests are under way, for the other instances. */
size_t
pl_own_loads(const struct pl *pl, struct ld_load *out, size_t max)
{
	size_t count = 0;

	for (uint16_t i = 0; i < pl->count && count < max; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (s->used && s->in_flight > 0)
			out[count++] =
			    (struct ld_load){loads_server_hash(s->said.id),
				(uint32_t)s->own_ms, s->in_flight};
	}
	return count;
}

/* Takes what the other instances have under way. */
void
pl_others_loads(
    struct pl *pl, const struct ld_load *loads, size_t count, int64_t now_us)
{
	for (uint16_t i = 0; i < pl->count; i++) {
		struct pl_server *s = &pl->servers[i];
		uint32_t hash = loads_server_hash(s->said.id);

		s->others_ms = 0;
		s->others_running = 0;
		s->others_us = now_us;
		for (size_t k = 0; s->used && k < count; k++) {
			if (loads[k].server != hash)
				continue;
			s->others_ms = loads[k].pending_ms;
			s->others_running = loads[k].running;
			break;
		}
	}
}

/* A request at a server is over, however it ended. */
void
pl_ended(struct pl *pl, uint16_t server)
{
	struct pl_server *s = &pl->servers[server];

	if (s->in_flight > 0)
		s->in_flight--;
	if (s->before > 0)
		s->before--;
	s->since--;
}

/* An answer said how many requests a server has. */
void
pl_load(struct pl *pl, uint16_t server, uint16_t running, uint16_t waiting,
    int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];

	s->has_load = true;
	s->running = running;
	s->waiting = waiting;
	s->load_us = now_us;
	s->since = 0;
}

/* An answer said how long a server stays cold. */
void
pl_cold(struct pl *pl, uint16_t server, uint32_t cold_ms, int64_t now_us)
{
	pl->servers[server].cold_until_us =
	    now_us + (int64_t)cold_ms * US_PER_MS;
}

/* No connection could be made; silent: it was not even refused. */
void
pl_unreachable(struct pl *pl, uint16_t server, bool silent, int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];
	int64_t wait_us = DOWN_FIRST_US;

	for (uint8_t i = 0; i < s->failures && wait_us < DOWN_MAX_US; i++)
		wait_us *= 2;
	if (s->failures < UINT8_MAX)
		s->failures++;
	s->down_until_us =
	    now_us + (wait_us < DOWN_MAX_US ? wait_us : DOWN_MAX_US);
	centres_record_failure(
	    &pl->centres, s->said.data_centre, server, silent, now_us);
}

static double
mean_failing(const struct pl *pl, const char *service)
{
	double sum = 0;
	uint32_t count = 0;

	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (s->used && s->outcomes > 0 &&
		    strcmp(s->said.service, service) == 0) {
			sum += s->failing;
			count++;
		}
	}
	return count > 0 ? sum / count : 0;
}

/*
 * Notes how a request ended.  A server that fails far more of them than its
 * like is left alone for a while, whatever its health check says.
 */
void
pl_outcome(struct pl *pl, uint16_t server, bool failed, int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];

	if (!failed) {
		s->failures = 0;
		centres_record_answer(&pl->centres, s->said.data_centre);
	}
	s->outcomes++;
	s->failing += failing_weight * ((failed ? 1.0 : 0.0) - s->failing);
	if (failed && s->outcomes >= EJECT_OUTCOMES &&
	    s->failing > mean_failing(pl, s->said.service) + eject_share) {
		s->ejected_until_us = now_us + EJECT_US;
		s->failing /= 2; /* it is tried again, and judged anew */
	}
}

/* Notes how long a server took, with the weight of it in the moving mean. */
void
pl_timed(struct pl *pl, uint16_t server, double ms, double weight)
{
	struct pl_server *s = &pl->servers[server];

	if (++s->timed * weight < 1)
		weight = 1.0 / s->timed;
	s->time_ms += weight * (ms - s->time_ms);
}

/*
 * Whether a server's answers take far longer than those of others with the same
 * service and version: of a quarter of them at least, since more than half may
 * be in trouble at a time.
 */
bool
pl_is_slow(const struct pl *pl, uint16_t server)
{
	const struct pl_server *s = &pl->servers[server];
	uint32_t quicker = 0, all = 0;

	if (s->timed < TIMED_MIN)
		return false;
	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *o = &pl->servers[i];

		if (!o->used || o->timed < TIMED_MIN || o->role != s->role ||
		    strcmp(o->said.service, s->said.service) != 0)
			continue;
		all++;
		quicker += o->time_ms * slow_times < s->time_ms;
	}
	return quicker > 0 && quicker >= all * others_share;
}

/* Returns how many requests a server has, as far as this instance knows. */
uint32_t
pl_load_of(const struct pl *pl, uint16_t server, int64_t now_us)
{
	return load_of(&pl->servers[server], now_us);
}

static void
note_refusal(struct pl_server *s, bool refused, int64_t now_us)
{
	double share = refusing_share(s, now_us);

	s->refusing = share + refusing_weight * ((refused ? 1.0 : 0.0) - share);
	s->refusing_us = now_us;
}

/* A server refused a request because it is full, or says so. */
void
pl_refused(struct pl *pl, uint16_t server, int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];

	if (s->down_until_us < now_us + FULL_US)
		s->down_until_us = now_us + FULL_US;
	note_refusal(s, true, now_us);
}

/* A server that refused a request says for how long it wants no other. */
void
pl_paused(struct pl *pl, uint16_t server, uint32_t pause_ms, int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];
	int64_t until_us =
	    now_us +
	    (int64_t)(pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS) *
		US_PER_MS;

	if (until_us > s->paused_until_us)
		s->paused_until_us = until_us;
	s->window = WINDOW_FIRST;
	s->before = s->in_flight;
}

/*
 * Returns when the first pause of the servers that may run a request ends;
 * now_us if one of them asked for none, or none is known.
 */
int64_t
pl_opens_us(const struct pl *pl, const struct pl_query *query, int64_t now_us)
{
	int64_t first_us = INT64_MAX;

	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (may_run(s, query) &&
		    (query->any_role || s->role == query->role) &&
		    s->paused_until_us < first_us)
			first_us = s->paused_until_us;
	}
	return first_us == INT64_MAX || first_us < now_us ? now_us : first_us;
}

/* Counts what a service's servers asked for; service NULL: all servers. */
struct pl_spared
pl_spared(const struct pl *pl, const char *service, int64_t now_us)
{
	struct pl_spared spared = {0};

	for (uint16_t i = 0; i < pl->count; i++) {
		const struct pl_server *s = &pl->servers[i];

		if (!s->used ||
		    (service != NULL && strcmp(s->said.service, service) != 0))
			continue;
		spared.leaving += s->said.state == RG_DRAINING;
		spared.paused += s->paused_until_us > now_us;
	}
	return spared;
}

/* A server has begun to answer a request, which it did not refuse. */
void
pl_accepted(struct pl *pl, uint16_t server, int64_t now_us)
{
	struct pl_server *s = &pl->servers[server];

	note_refusal(s, false, now_us);
	if (s->window > 0)
		s->window = s->window < s->said.slots ? s->window + 1 : 0;
}
