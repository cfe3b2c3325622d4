#ifndef CF_GATEWAY_REPLICA_H
#define CF_GATEWAY_REPLICA_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The state replica of an instance with a data folder.  A proposal's outcome
 * comes to its callback: 0 once its entry is applied here, ERR_NOT_LEADER if
 * it has no effect, ERR_TIMEOUT if that is not known.
 */
typedef void (*gr_done_fn)(void *ctx, int error);

void gr_propose(
    struct gr *gr, const struct buf *change, gr_done_fn done, void *ctx);
void gr_propose_document(struct gr *gr, uint64_t number, const struct buf *text,
    gr_done_fn done, void *ctx);
void gr_forget(struct gr *gr, void *ctx);
bool gr_is_current(const struct gr *gr);
uint32_t gr_leader(const struct gr *gr);
bool gr_leads(const struct gr *gr);
const struct ord *gr_orders(const struct gr *gr);
void gr_log_message(struct gr *gr, const uint8_t *data, uint32_t len);
void gr_config_message(
    struct gr *gr, uint32_t from, const uint8_t *data, uint32_t len);
void gr_known(struct gr *gr, const uint32_t *instances, uint32_t count);
void gr_hand_over(struct gr *gr);
void gr_measure(const struct gr *gr);

#ifdef __cplusplus
}
#endif

#endif
