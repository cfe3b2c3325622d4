#ifndef CF_GATEWAY_EXPLAIN_H
#define CF_GATEWAY_EXPLAIN_H

#include <jansson.h>

#include "gateway/gateway.h"
#include "http/front.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Explains where a request would go now and why, without sending it: the
 * decisions of exchange.c, exchange_model.c and exchange_send.c are made for it
 * on a copy of the entry's state.
 */
json_t *gw_explain_question(
    const struct gw *gw, json_t *question, const char **wrong_field);
void gw_explain(struct gw *gw, struct front_exchange *x);

#ifdef __cplusplus
}
#endif

#endif
