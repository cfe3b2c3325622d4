#ifndef CF_ROUTE_POOL_ROLES_H
#define CF_ROUTE_POOL_ROLES_H

#include "route/pool_i.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What the orders and the other servers of its service determine of a server:
 * its role, its rank and whether it belongs to the trial group.
 */
void pool_roles_enter(struct server_pool *pool, uint16_t server);
void pool_roles_leave(struct server_pool *pool, uint16_t server);
void pool_roles_settle(struct server_pool *pool, struct pool_group *group);
void pool_roles_state_changed(struct server_pool *pool, uint16_t server);
void pool_roles_update_all(struct server_pool *pool, int64_t now_us);
bool pool_is_trial_server(
    const struct pool_query *query, const struct pool_server *s);

#ifdef __cplusplus
}
#endif

#endif
