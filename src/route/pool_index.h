#ifndef CF_ROUTE_POOL_INDEX_H
#define CF_ROUTE_POOL_INDEX_H

#include "route/pool.h"
#include "base/slot_index.h"
#include "base/sorted_keys.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The servers of one service, and what they have in common.  It is kept up to
 * date with each change of a server, so that neither announcements nor requests
 * have to look at all servers.
 */
struct pool_group {
	char service[REGISTRY_NAME_BYTES];
	uint16_t *members; /* ascending indices of the servers */
	uint16_t count;
	uint16_t size;
	/*
	 * Server that determines the base version as long as no roll-out has
	 * finished; ROUTE_NONE: there is none
	 */
	uint16_t oldest;
	bool oldest_known;
	char base_version[REGISTRY_NAME_BYTES]; /* of that server; "": none */
	uint32_t ready_count;
	/* Id hashes of those that may run requests; see pool_server_may_run()
	 */
	struct sorted_keys may_run[POOL_ROLES];
	/* See pool_sums.h. */
	struct sorted_keys latencies[POOL_ROLES]; /* mean answer times */
	struct sorted_keys pauses; /* their ends */
	/* Until when servers are brittle, of those that are ready in [1] */
	struct sorted_keys brittle[2];
	double failure_sum;
	uint32_t failure_count;
	uint32_t leaving;
	uint32_t limited;
};

/* Finds the servers of a pool. */
struct pool_index {
	const struct alloc *alloc;
	struct slot_index ids;
	struct slot_index lives;
	struct slot_index addresses;
	struct slot_index load_hashes; /* as in load reports */
	struct pool_group **groups;
	uint16_t group_count;
	struct slot_index group_names;
	uint64_t visits; /* see pool_visits() */
};

struct pool_index *pool_index_new(const struct alloc *alloc);
void pool_index_free(struct pool_index *index);
void pool_index_add(struct server_pool *pool, uint16_t server);
void pool_index_remove(struct server_pool *pool, uint16_t server);
uint16_t pool_find_id(const struct server_pool *pool, const char *id);
uint16_t pool_find_life(const struct server_pool *pool, uint64_t life);
struct pool_group *pool_find_group(
    const struct server_pool *pool, const char *service);
struct pool_group *pool_group_of(
    const struct server_pool *pool, const struct pool_server *s);
uint16_t pool_group_count(const struct pool_group *group);
struct pool_server *pool_group_member(
    const struct server_pool *pool, const struct pool_group *group, uint16_t i);

#ifdef __cplusplus
}
#endif

#endif
