#ifndef CF_GATEWAY_FOLLOW_H
#define CF_GATEWAY_FOLLOW_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The follower: the orders at an instance with an entry, and its lease on
 * them, which says how long they count as up to date.
 */
const struct ord *gw_follower_orders(const struct gw_follower *follower);
bool gw_follower_is_fresh(const struct gw_follower *follower);
bool gw_follower_was_fresh(const struct gw_follower *follower);
int64_t gw_follower_lease_left_us(const struct gw_follower *follower);
void gw_follower_message(struct gw_follower *follower, uint32_t from,
    const uint8_t *data, uint32_t len);
void gw_follower_set_upstream(
    struct gw_follower *follower, const uint32_t *instances, uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
