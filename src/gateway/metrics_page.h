#ifndef CF_GATEWAY_METRICS_PAGE_H
#define CF_GATEWAY_METRICS_PAGE_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The metrics page for operators, in the Prometheus text format. */
struct sup_child_spec gw_child_metrics(struct gw *gw);

#ifdef __cplusplus
}
#endif

#endif
