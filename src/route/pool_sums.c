#include "route/pool_sums.h"

enum {
	/* Answers of a server before its mean latency is compared */
	LATENCY_SAMPLES_MIN = 3
};

/* Tells whether a server has answered often enough for its mean to count. */
bool
pool_is_timed(const struct pool_server *s)
{
	return s->latency_samples >= LATENCY_SAMPLES_MIN;
}

/* Returns what a server in use adds to the sums of its service. */
static struct pool_part
part_of(const struct pool_server *s)
{
	struct pool_part part = {.role = s->role};

	if (pool_is_timed(s)) {
		part.is_timed = true;
		part.latency = sorted_keys_of_double(s->mean_latency_ms);
	}
	part.has_outcomes = s->outcomes > 0;
	part.failure_share = part.has_outcomes ? s->failure_share : 0;
	part.leaving = s->announced.state == REGISTRY_DRAINING;
	part.limited = s->limit.milli_per_s != 0;
	part.paused_until = (uint64_t)s->paused_until_us;
	part.is_ready = s->announced.state == REGISTRY_READY;
	if (s->brittle.milli_per_s != 0)
		part.brittle_until =
		    (uint64_t)(s->brittle.heard_us + SERVER_LIMIT_KEEP_US);
	return part;
}

static void
remove_part(struct pool_group *group, const struct pool_part *part)
{
	if (part->is_timed)
		sorted_keys_remove(
		    &group->latencies[part->role], part->latency);
	if (part->paused_until != 0)
		sorted_keys_remove(&group->pauses, part->paused_until);
	if (part->brittle_until != 0)
		sorted_keys_remove(
		    &group->brittle[part->is_ready], part->brittle_until);
	group->leaving -= part->leaving;
	group->limited -= part->limited;
	group->failure_sum -= part->failure_share;
	group->failure_count -= part->has_outcomes;
	/* Rounding errors end with the last part. */
	if (group->failure_count == 0)
		group->failure_sum = 0;
}

static void
add_part(struct pool_group *group, const struct pool_part *part)
{
	if (part->is_timed)
		sorted_keys_add(&group->latencies[part->role], part->latency);
	if (part->paused_until != 0)
		sorted_keys_add(&group->pauses, part->paused_until);
	if (part->brittle_until != 0)
		sorted_keys_add(
		    &group->brittle[part->is_ready], part->brittle_until);
	group->leaving += part->leaving;
	group->limited += part->limited;
	group->failure_sum += part->failure_share;
	group->failure_count += part->has_outcomes;
}

/* Removes a server's part, before it leaves its group. */
void
pool_sums_leave(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];

	remove_part(s->group, &s->part);
	s->part = (struct pool_part){0};
}

/* Replaces the part of a server after any change of what it consists of. */
void
pool_sums_update(struct server_pool *pool, uint16_t server)
{
	struct pool_server *s = &pool->servers[server];

	if (!s->used)
		return;
	remove_part(s->group, &s->part);
	s->part = part_of(s);
	add_part(s->group, &s->part);
}

/*
 * Returns the mean failure share of the servers of a group that have answered;
 * it may be NULL.
 */
double
pool_mean_failure_share(const struct pool_group *group)
{
	return group != NULL && group->failure_count > 0
		   ? group->failure_sum / group->failure_count
		   : 0;
}

/* Returns the servers of a role whose mean answer time is known. */
uint32_t
pool_timed_count(const struct pool_group *group, enum pool_role role)
{
	return group->latencies[role].count;
}

/* Returns how many of them answer in less than some time. */
uint32_t
pool_faster_count(
    const struct pool_group *group, enum pool_role role, double ms)
{
	return sorted_keys_below(
	    &group->latencies[role], sorted_keys_of_double(ms));
}

/* Adds the servers of a group that are withdrawn, or bounded, to others. */
void
pool_add_withdrawn(const struct pool_group *group, int64_t now_us,
    struct pool_withdrawn *withdrawn)
{
	uint64_t now = (uint64_t)now_us;

	withdrawn->leaving += group->leaving;
	withdrawn->paused += sorted_keys_above(&group->pauses, now);
	withdrawn->limited += group->limited;
	withdrawn->brittle += sorted_keys_above(&group->brittle[0], now) +
			      sorted_keys_above(&group->brittle[1], now);
}
