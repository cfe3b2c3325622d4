#include "route/pool_i.h"
#include "route/pool_sums.h"

/*
 * What servers bear of all instances together, and this instance's share of it:
 * cold servers, named limits and brittle servers.
 */

enum {
	/* Time in which a brittle server gets less after a refusal */
	BRITTLE_REFUSAL_US = 5000000,
	/* More refusals a second than any server counts */
	BRITTLE_REJECTIONS_MAX = 1000000,
	MILLI = 1000
};

/* Bursts of all instances, as a share of a cold server's capacity */
static const double cold_bursts_share_max = 0.5;
/* Sending instances per unit of that capacity, where it is less than all */
static const double cold_senders_share = 0.25;

/*
 * Returns the bound on the requests to a server that is cold.  In any second it
 * bears its capacity.  Few instances get all of it, with a burst for each; many
 * leave half of it unused.
 */
static struct rate_bound
cold_bound(
    const struct server_pool *pool, const struct pool_server *s, int64_t now_us)
{
	const struct route_service *service;
	double capacity_per_s, burst = pool->options.cold_slack;

	if (now_us >= s->cold_until_us || pool->table == NULL)
		return rate_bound_none();
	service = route_table_find_service(pool->table, s->announced.service);
	if (service == NULL || service->cold_per_s <= 0)
		return rate_bound_none();
	capacity_per_s =
	    service->cold_per_s * pool->options.cold_permille / 1000 +
	    pool->options.cold_slack;
	if (burst < pool->members.count)
		burst = pool->members.count;
	if (burst > capacity_per_s * cold_bursts_share_max)
		return (struct rate_bound){
		    .per_s = capacity_per_s * cold_senders_share,
		    .burst = capacity_per_s * cold_senders_share};
	return (struct rate_bound){
	    .per_s = capacity_per_s - burst, .burst = burst};
}

/* Returns the bound on what all instances together may send to a server. */
static struct rate_bound
bound_of(
    const struct server_pool *pool, const struct pool_server *s, int64_t now_us)
{
	struct rate_bound cold = cold_bound(pool, s, now_us);
	struct rate_bound limit = server_limit_bound(&s->limit, now_us);

	return rate_bound_lower(&cold, &limit);
}

/* Tells whether the requests to a server are bounded now. */
bool
pool_is_bounded(const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct rate_bound bound =
	    bound_of(pool, &pool->servers[server], now_us);

	return !rate_bound_is_none(&bound);
}

/* Returns this instance's share of the bound of a server that has one. */
struct rate_share
pool_share_of(const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	struct rate_bound bound = bound_of(pool, s, now_us);

	return rate_share_of(&bound, &pool->members, s->life);
}

/*
 * Tells whether this instance may send another request to a server whose
 * requests may be bounded.
 */
bool
pool_bound_allows(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct rate_share share;

	if (!pool_is_bounded(pool, server, now_us))
		return true;
	share = pool_share_of(pool, server, now_us);
	return rate_bucket_refill(
	    &pool->servers[server].bucket, &share, now_us);
}

/* Tells whether a server says that it is brittle. */
bool
pool_server_is_brittle(const struct pool_server *s, int64_t now_us)
{
	struct rate_bound bound = server_limit_bound(&s->brittle, now_us);

	return !rate_bound_is_none(&bound);
}

/* Tells whether a server of a service says that it is brittle. */
bool
pool_service_is_brittle(
    const struct server_pool *pool, const char *service, int64_t now_us)
{
	const struct pool_group *group =
	    pool->heard_of_brittle ? pool_find_group(pool, service) : NULL;

	return group != NULL &&
	       sorted_keys_above(&group->brittle[1], (uint64_t)now_us) > 0;
}

/*
 * Tells whether a server counts as brittle: it says so, or has not answered yet
 * and another one of its service says so.
 */
bool
pool_is_brittle(const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];

	return pool_server_is_brittle(s, now_us) ||
	       (!s->has_answered &&
		   pool_service_is_brittle(pool, s->announced.service, now_us));
}

/*
 * Returns how many requests this instance may have at a brittle server.  After
 * a refusal it is one fewer for a while, as the server has less room than the
 * instances expect.
 */
uint32_t
pool_slots_share(
    const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	const struct pool_server *s = &pool->servers[server];
	/* A server that does not say how many slots it has has one at least. */
	uint32_t slots = s->announced.slots > 0 ? s->announced.slots : 1;
	uint32_t share = rate_share_of_slots(slots, &pool->members, s->rank);

	if (share > 0 && s->refused_us != 0 &&
	    now_us - s->refused_us < BRITTLE_REFUSAL_US)
		share--;
	return share;
}

/*
 * Stores the limit that a server names in the answer to a request that was sent
 * at sent_us.  Returns whether the other instances should be told.
 */
bool
pool_record_limit(struct server_pool *pool, uint16_t server,
    uint32_t limit_milli_per_s, int64_t sent_us, int64_t now_us)
{
	bool tell = server_limit_hear(
	    &pool->servers[server].limit, limit_milli_per_s, sent_us, now_us);

	pool_sums_update(pool, server);
	return tell;
}

/* The same for an answer that names no limit. */
bool
pool_record_no_limit(
    struct server_pool *pool, uint16_t server, int64_t sent_us, int64_t now_us)
{
	bool tell = server_limit_hear_none(
	    &pool->servers[server].limit, sent_us, now_us);

	pool_sums_update(pool, server);
	return tell;
}

/*
 * Stores that a server says, in the answer to a request that was sent at
 * sent_us, how many refusals a second it bears.  Returns whether the other
 * instances should be told.
 */
bool
pool_record_brittle(struct server_pool *pool, uint16_t server,
    uint32_t rejections_max, int64_t sent_us, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];
	uint32_t bears = rejections_max < BRITTLE_REJECTIONS_MAX
			     ? rejections_max
			     : BRITTLE_REJECTIONS_MAX;
	bool tell;

	s->has_answered = pool->heard_of_brittle = true;
	tell = server_limit_hear(
	    &s->brittle, (bears + 1) * MILLI, sent_us, now_us);
	pool_sums_update(pool, server);
	return tell;
}

/* The same for an answer that does not say that the server is brittle. */
bool
pool_record_not_brittle(
    struct server_pool *pool, uint16_t server, int64_t sent_us, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];

	bool tell = server_limit_hear_none(&s->brittle, sent_us, now_us);

	s->has_answered = true;
	pool_sums_update(pool, server);
	return tell;
}

/*
 * Applies a limit of a server that another instance tells.  Returns the server,
 * or ROUTE_NONE if nothing has changed.
 */
static uint16_t
apply_told(struct server_pool *pool, uint16_t server,
    struct server_limit *limit, uint64_t packed, int64_t now_us)
{
	if (!server_limit_told(limit, packed, now_us))
		return ROUTE_NONE;
	pool_sums_update(pool, server);
	return server;
}

/*
 * Applies what another instance tells of the limit of a life of a server.
 * Returns the index of the server, or ROUTE_NONE if the life is not known or
 * nothing has changed.
 */
uint16_t
pool_apply_limit(
    struct server_pool *pool, uint64_t life, uint64_t packed, int64_t now_us)
{
	uint16_t server = pool_find_life(pool, life);

	return server != ROUTE_NONE
		   ? apply_told(pool, server, &pool->servers[server].limit,
			 packed, now_us)
		   : (uint16_t)ROUTE_NONE;
}

/* The same for the refusals that a life of a server bears. */
uint16_t
pool_apply_brittle(
    struct server_pool *pool, uint64_t life, uint64_t packed, int64_t now_us)
{
	uint16_t server = pool_find_life(pool, life);

	pool->heard_of_brittle = true;
	return server != ROUTE_NONE
		   ? apply_told(pool, server, &pool->servers[server].brittle,
			 packed, now_us)
		   : (uint16_t)ROUTE_NONE;
}

/*
 * Returns how often a server was passed over because its requests are bounded,
 * once for each choice.
 */
uint64_t
pool_bounded_count(const struct server_pool *pool)
{
	return pool->bounded_picks;
}

static bool
is_limited(const struct pool_server *s, int64_t now_us)
{
	struct rate_bound limit = server_limit_bound(&s->limit, now_us);

	return !rate_bound_is_none(&limit);
}

/* Tells whether a server names a limit. */
bool
pool_is_limited(const struct server_pool *pool, uint16_t server, int64_t now_us)
{
	return is_limited(&pool->servers[server], now_us);
}

/* Returns when a server takes the next request, as far as that is known. */
static int64_t
opens_us(struct server_pool *pool, uint16_t server, int64_t now_us)
{
	struct pool_server *s = &pool->servers[server];
	struct rate_share share;
	int64_t at_us = now_us;

	if (pool->members.count > 0 && pool_is_bounded(pool, server, now_us)) {
		share = pool_share_of(pool, server, now_us);
		(void)rate_bucket_refill(&s->bucket, &share, now_us);
		at_us = rate_bucket_opens_us(&s->bucket, &share, now_us);
		if (!is_limited(s, now_us) && at_us > s->cold_until_us)
			at_us = s->cold_until_us;
	}
	return at_us > s->paused_until_us ? at_us : s->paused_until_us;
}

/*
 * Returns when the first server that may run a request takes one, and at which
 * rate they go on together if all of them name limits.
 */
struct pool_opening
pool_next_opening(
    struct server_pool *pool, const struct pool_query *query, int64_t now_us)
{
	struct pool_opening opening = {.first_us = INT64_MAX};
	const struct pool_group *group = pool_find_group(pool, query->service);
	uint32_t eligible = 0, limited = 0;

	for (uint16_t k = 0; k < pool_group_count(group); k++) {
		uint16_t i = group->members[k];
		const struct pool_server *s = pool_group_member(pool, group, k);
		int64_t at_us;

		if (!pool_server_may_run(s, query) ||
		    (!query->allow_other_role && s->role != query->role))
			continue;
		at_us = opens_us(pool, i, now_us);
		if (at_us < opening.first_us)
			opening.first_us = at_us;
		eligible++;
		if (!is_limited(s, now_us))
			continue;
		limited++;
		opening.per_s += pool_share_of(pool, i, now_us).per_s;
		opening.all_per_s += bound_of(pool, s, now_us).per_s;
	}
	if (limited < eligible || pool->members.count == 0)
		opening.per_s = opening.all_per_s = 0;
	if (eligible == 0)
		opening.first_us = now_us;
	return opening;
}
