#include "route/pool_roles.h"

#include <stdio.h>
#include <string.h>

#include "route/pool_sums.h"

/* Load of a trial server, as a multiple of the mean load */
static const uint32_t trial_load_factor = 3;

enum {
	US_PER_MS = 1000,
	US_PER_S = 1000000
};

/*
 * Tells whether the base version of a service for which no roll-out has
 * finished may be that of a server.  Servers of another version were started
 * for a roll-out order that has not arrived here yet.
 */
static bool
may_determine_base(const struct server_pool *pool, const struct pool_server *s)
{
	return ord_find_rollout(pool->orders, s->announced.service,
		   s->announced.version) == NULL;
}

/* Tells whether a server of a group started before the oldest known one. */
static bool
is_older(const struct server_pool *pool, const struct pool_group *group,
    uint16_t server)
{
	uint64_t born_ms = pool->servers[server].announced.born_ms, oldest_ms;

	if (group->oldest == ROUTE_NONE)
		return true;
	oldest_ms = pool->servers[group->oldest].announced.born_ms;
	return born_ms < oldest_ms ||
	       (born_ms == oldest_ms && server < group->oldest);
}

/* Finds the oldest server of a group again. */
static void
find_oldest(struct server_pool *pool, struct pool_group *group)
{
	group->oldest = ROUTE_NONE;
	group->oldest_known = true;
	for (uint16_t i = 0; i < group->count; i++) {
		if (may_determine_base(
			pool, pool_group_member(pool, group, i)) &&
		    is_older(pool, group, group->members[i]))
			group->oldest = group->members[i];
	}
}

/*
 * Returns the role of a server by its version and the roll-outs of its service.
 */
static enum pool_role
role_of(const struct server_pool *pool, const struct pool_server *s)
{
	const struct registry_server *announced = &s->announced;
	const char *base = s->group->base_version;

	if (pool->orders == NULL)
		return POOL_ROLE_EXCLUDED;
	for (size_t i = 0; i < ord_rollout_count(pool->orders); i++) {
		const struct ord_rollout *r = ord_rollout_at(pool->orders, i);
		bool is_target = strcmp(r->target, announced->version) == 0;

		if (strcmp(r->service, announced->service) != 0)
			continue;
		if (r->state == ORD_ROLLED_BACK && is_target)
			return POOL_ROLE_EXCLUDED;
		if (r->state == ORD_RUNNING && is_target)
			return POOL_ROLE_TARGET;
		if (r->state == ORD_FINISHING || r->state == ORD_COMPLETED)
			base = r->target;
	}
	return base[0] == '\0' || strcmp(base, announced->version) == 0
		   ? POOL_ROLE_BASE
		   : POOL_ROLE_EXCLUDED;
}

/* Stops counting a server among those of its group that may run requests. */
static void
uncount(struct pool_server *s)
{
	if (!s->is_counted)
		return;
	s->is_counted = false;
	sorted_keys_remove(&s->group->may_run[s->counted_role], s->id_hash);
}

/* Counts a server among those of its group that may run requests, or not. */
static void
count_again(struct pool_server *s)
{
	uncount(s);
	if (!s->used || s->announced.state != REGISTRY_READY || s->out ||
	    s->role == POOL_ROLE_EXCLUDED)
		return;
	s->is_counted = true;
	s->counted_role = s->role;
	sorted_keys_add(&s->group->may_run[s->role], s->id_hash);
}

/* Tells whether the orders keep a server's data centre out of use. */
static bool
is_out(const struct server_pool *pool, const struct pool_server *s)
{
	return pool->orders != NULL &&
	       ord_is_disabled(pool->orders, s->announced.data_centre);
}

/*
 * Updates what the orders determine of a server: its role and whether its data
 * centre is out of use.
 */
static void
update_role(struct server_pool *pool, struct pool_server *s)
{
	enum pool_role before = s->role;

	s->role = role_of(pool, s);
	s->out = is_out(pool, s);
	count_again(s);
	if (s->role != before)
		pool_sums_update(pool, (uint16_t)(s - pool->servers));
}

/*
 * Updates the base version of a group, and the roles of all its servers if that
 * has changed.
 */
void
pool_roles_settle(struct server_pool *pool, struct pool_group *group)
{
	const char *base = "";

	if (pool->orders == NULL)
		return;
	if (!group->oldest_known)
		find_oldest(pool, group);
	if (group->oldest != ROUTE_NONE)
		base = pool->servers[group->oldest].announced.version;
	if (strcmp(base, group->base_version) == 0)
		return;
	snprintf(group->base_version, sizeof(group->base_version), "%s", base);
	for (uint16_t i = 0; i < group->count; i++)
		update_role(pool, pool_group_member(pool, group, i));
}

/*
 * Takes a server for cold until it says otherwise, or until a cold start that
 * began now would have ended.  Servers may cool down while they get no
 * requests, and report it with a delay.
 */
static void
presume_cold(
    const struct server_pool *pool, struct pool_server *s, int64_t now_us)
{
	const struct route_service *service =
	    pool->table != NULL
		? route_table_find_service(pool->table, s->announced.service)
		: NULL;
	int64_t until_us;

	if (service == NULL || service->cold_ms == 0)
		return;
	until_us = now_us + (int64_t)service->cold_ms * US_PER_MS;
	if (until_us > s->cold_until_us)
		s->cold_until_us = until_us;
	s->is_presumed_cold = true;
	s->presumed_cold_seq = s->announced.seq;
	/* It got nothing while its data centre was out of use. */
	s->bucket.refilled_us = now_us - US_PER_S;
}

/*
 * Derives again what the orders determine of all servers.  Those whose data
 * centre returns are taken for cold.
 */
void
pool_roles_update_all(struct server_pool *pool, int64_t now_us)
{
	for (uint16_t i = 0; i < pool->index->group_count; i++) {
		struct pool_group *group = pool->index->groups[i];

		for (uint16_t k = 0; k < group->count; k++) {
			struct pool_server *s =
			    pool_group_member(pool, group, k);

			if (s->out && !is_out(pool, s))
				presume_cold(pool, s, now_us);
		}
		group->oldest_known = false;
		pool_roles_settle(pool, group);
		for (uint16_t k = 0; k < group->count; k++)
			update_role(pool, pool_group_member(pool, group, k));
	}
}

/*
 * Moves a server's rank, and the ranks of the ready servers of its service with
 * later lives.  All instances derive them alike from the announcements.
 */
static void
set_ranked(
    const struct server_pool *pool, struct pool_server *changed, bool ranked)
{
	struct pool_group *group = changed->group;

	if (changed->is_ranked == ranked)
		return;
	changed->is_ranked = false;
	changed->rank = 0;
	for (uint16_t i = 0; i < group->count; i++) {
		struct pool_server *s = pool_group_member(pool, group, i);

		if (!s->is_ranked)
			continue;
		if (s->life > changed->life)
			s->rank += ranked ? 1 : -1;
		else if (ranked)
			changed->rank++;
	}
	changed->is_ranked = ranked;
	group->ready_count += ranked ? 1 : -1;
}

/* Applies that a server has become ready or is no longer. */
void
pool_roles_state_changed(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];

	set_ranked(pool, s, s->announced.state == REGISTRY_READY);
	count_again(s);
	pool_sums_update(pool, server);
}

/* Takes a server, which pool_index_add() has added, into its group. */
void
pool_roles_enter(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];
	struct pool_group *group = s->group;

	if (pool->orders != NULL && group->oldest_known &&
	    may_determine_base(pool, s) && is_older(pool, group, server))
		group->oldest = server;
	pool_roles_settle(pool, group);
	update_role(pool, s);
	pool_roles_state_changed(pool, server);
}

/*
 * Takes a server out of its group, before pool_index_remove() removes it.  The
 * caller settles the group afterwards.
 */
void
pool_roles_leave(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];

	set_ranked(pool, s, false);
	uncount(s);
	pool_sums_leave(pool, server);
	if (s->group->oldest == server)
		s->group->oldest_known = false;
}

/*
 * Tells whether a server of a new version that may run requests belongs to its
 * trial group.
 */
bool
pool_is_trial_server(
    const struct pool_query *query, const struct pool_server *s)
{
	const struct sorted_keys *trial = &s->group->may_run[POOL_ROLE_TARGET];

	return sorted_keys_above(trial, s->id_hash) * 1000 * trial_load_factor <
	       trial->count * query->trial_permille;
}
