#ifndef CF_GATEWAY_JUDGE_H
#define CF_GATEWAY_JUDGE_H

#include "gateway/gateway.h"
#include "route/evidence.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The judgement of roll-outs, at every instance with a replica. */
struct sup_child_spec gw_child_judge(struct gw *gw);
void gw_judge_add_report(struct gj *jdg, const struct ev_row *reported);

#ifdef __cplusplus
}
#endif

#endif
