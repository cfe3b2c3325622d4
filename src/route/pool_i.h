#ifndef CF_ROUTE_POOL_I_H
#define CF_ROUTE_POOL_I_H

#include "route/centres.h"
#include "route/pool.h"
#include "route/pool_index.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Internals of the pool of servers; see pool.h. */
enum {
	POOL_CANDIDATES_MAX = 1024 /* servers considered for one request */
};

/* What pool_pace.c knows of a service. */
struct pool_pace_service {
	char name[REGISTRY_NAME_BYTES];
	struct pace_service pace;
};

/*
 * Candidates are listed by tier: healthy servers first, then servers whose
 * health is in doubt.  What a server takes well is an estimate, which a mix of
 * long and short requests misleads: it never makes a request wait.
 */
enum pool_tier {
	POOL_TIER_HEALTHY,
	/* Within their slots, though beyond what they are known to take well */
	POOL_TIER_SLOWED,
	POOL_TIER_FALLBACK,
	POOL_TIERS
};

/* What bounds the requests to each server of a service. */
struct pool_bounds {
	/* connections that a server accepts from all instances; 0: any number
	 */
	uint32_t connections_max;
	bool is_brittle; /* some server of the service says that it is */
	bool ignores_knee; /* their slots bound, not what they take well */
};

/* The rules by which candidates are listed. */
struct pool_listing {
	enum pool_role role;
	bool trial; /* only the trial group of a new version */
	enum pool_tier tier;
	struct pool_bounds bounds;
};

struct server_pool {
	struct pool_options options;
	struct centre_table centres;
	struct rng rng;
	struct pool_server *servers;
	uint16_t count;
	uint16_t size;
	uint16_t unused; /* slots without a server in use */
	struct pool_index *index;
	struct rate_members members; /* the instances that share bounds */
	bool lacked_memory; /* see pool_lacked_memory() */
	uint64_t bounded_picks; /* see pool_bounded_count() */
	bool heard_of_brittle; /* a server is or was brittle */
	const struct route_table *table;
	const struct ord *orders;
	struct pool_pace_service *pace_services;
	uint16_t pace_service_count;
};

bool pool_server_is_ready(const struct pool_server *s, const char *service);
bool pool_server_may_run(
    const struct pool_server *s, const struct pool_query *query);
enum pool_fit pool_admits(struct server_pool *pool, struct pool_server *s,
    const struct pool_query *query, bool ignores_knee, int64_t now_us);
bool pool_bound_allows(
    struct server_pool *pool, uint16_t server, int64_t now_us);
bool pool_server_is_brittle(const struct pool_server *s, int64_t now_us);
bool pool_service_is_brittle(
    const struct server_pool *pool, const char *service, int64_t now_us);
uint16_t pool_list_candidates(struct server_pool *pool,
    const struct pool_query *query, int64_t now_us,
    struct pool_listing *listing, uint16_t candidates[POOL_CANDIDATES_MAX]);
enum pool_fit pool_fit(struct server_pool *pool, uint16_t server,
    const struct pool_query *query, const struct pool_listing *listing,
    int64_t now_us);
uint16_t pool_find_prefix_home(const struct server_pool *pool,
    const struct pool_query *query, enum pool_role role);
bool pool_is_doubtful(
    struct server_pool *pool, uint16_t server, int64_t now_us);
double pool_significant_slowness(
    struct server_pool *pool, uint16_t server, int64_t now_us);
uint16_t pool_pace_service_index(struct server_pool *pool, const char *service);

#ifdef __cplusplus
}
#endif

#endif
