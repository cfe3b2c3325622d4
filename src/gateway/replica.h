#ifndef CF_GATEWAY_REPLICA_H
#define CF_GATEWAY_REPLICA_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The state replica of an instance with a data folder.
 *
 * The callback of a proposal gets its outcome: 0 once its entry is applied at
 * this replica, ERR_NOT_LEADER if it has no effect, ERR_TIMEOUT if it is not
 * known whether it has.
 */
typedef void (*gw_replica_done_fn)(void *ctx, int error);

void gw_replica_propose(struct gw_replica *rep, const struct buf *change,
    gw_replica_done_fn done, void *ctx);
void gw_replica_propose_document(struct gw_replica *rep, uint64_t number,
    const struct buf *text, gw_replica_done_fn done, void *ctx);
void gw_replica_drop_callbacks(struct gw_replica *rep, void *ctx);
bool gw_replica_holds_lease(const struct gw_replica *rep);
uint32_t gw_replica_leader(const struct gw_replica *rep);
bool gw_replica_is_leader(const struct gw_replica *rep);
const struct ord *gw_replica_orders(const struct gw_replica *rep);
void gw_replica_log_message(
    struct gw_replica *rep, const uint8_t *data, uint32_t len);
void gw_replica_config_message(
    struct gw_replica *rep, uint32_t from, const uint8_t *data, uint32_t len);
void gw_replica_set_peers(
    struct gw_replica *rep, const uint32_t *instances, uint32_t count);
void gw_replica_hand_over(struct gw_replica *rep);
void gw_replica_update_metrics(const struct gw_replica *rep);

#ifdef __cplusplus
}
#endif

#endif
