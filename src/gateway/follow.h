#ifndef CF_GATEWAY_FOLLOW_H
#define CF_GATEWAY_FOLLOW_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The follower: the orders at an instance without a replica, and its lease on
 * them, which says how long they count as up to date.
 */
const struct ord *gf_orders(const struct gf *follower);
bool gf_is_fresh(const struct gf *follower);
bool gf_was_fresh(const struct gf *follower);
int64_t gf_left_us(const struct gf *follower);
void gw_follower_message(
    struct gf *follower, uint32_t from, const uint8_t *data, uint32_t len);
void gw_follower_set_upstream(
    struct gf *follower, const uint32_t *instances, uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
