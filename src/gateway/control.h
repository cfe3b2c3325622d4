#ifndef CF_GATEWAY_CONTROL_H
#define CF_GATEWAY_CONTROL_H

#include "gateway/gateway.h"
#include "route/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Operators' and backend servers' calls, and the judgement of roll-outs. */
void gc_outcome(struct gc *gc, const char *service, const char *version,
    const struct vd_counts *counts);

#ifdef __cplusplus
}
#endif

#endif
