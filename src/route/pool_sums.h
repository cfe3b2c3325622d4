#ifndef CF_ROUTE_POOL_SUMS_H
#define CF_ROUTE_POOL_SUMS_H

#include "route/pool_i.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the servers of a service amount to together: failures, answer times, and
 * how many are leaving, paused, limited or brittle.  Each server's part is
 * replaced when it changes.
 */
void pool_sums_update(struct server_pool *pool, uint16_t server);
void pool_sums_leave(struct server_pool *pool, uint16_t server);
bool pool_is_timed(const struct pool_server *s);
double pool_mean_failure_share(const struct pool_group *group);
uint32_t pool_timed_count(const struct pool_group *group, enum pool_role role);
uint32_t pool_faster_count(
    const struct pool_group *group, enum pool_role role, double ms);
void pool_add_withdrawn(const struct pool_group *group, int64_t now_us,
    struct pool_withdrawn *withdrawn);

#ifdef __cplusplus
}
#endif

#endif
