#ifndef CF_GATEWAY_JUDGE_H
#define CF_GATEWAY_JUDGE_H

#include "gateway/gateway.h"
#include "route/evidence.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Judges roll-outs by the outcomes that the entry instances report.  Runs at
 * every instance with a replica; only the leader proposes state changes.
 */
struct sup_child_spec gw_child_judge(struct gw *gw);
void gw_judge_add_report(
    struct gw_judge *rollout_judge, const struct evidence_row *reported);

#ifdef __cplusplus
}
#endif

#endif
