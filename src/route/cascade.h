#ifndef CF_ROUTE_CASCADE_H
#define CF_ROUTE_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Which size of model answers a request: a small one first, and a larger one
 * instead where the small one's own confidence in its answer is low.  An
 * answer comes with its confidence before its first event, so one that is
 * dropped costs the reading of the prompt and no more.  How much confidence is
 * enough depends on what another run costs against what its answer is good
 * for: reading is cheaper than writing, and an answer's use grows more with
 * what is written than with what is read.  Where the larger model's answer
 * would come late, as all servers are busy, only answers that are of little use
 * at all are replaced; so a cascade does not add to an overload.  No I/O and no
 * state.
 */
struct ca_input {
	uint16_t model_count; /* of the route, smallest first */
	uint16_t model; /* the one that answers now */
	int confidence; /* 0 to 100; -1: not said */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* as far as can be told before */
	bool may_repeat; /* attempts and budget allow another run */
	int64_t work_us; /* of reading the prompt with the larger model */
	int64_t backlog_us; /* that waits at the best server for it */
	int64_t spent_us; /* since the request came */
	int64_t goal_us; /* an answer is worth most until then */
	int64_t left_us; /* until the caller's time is over */
};

uint16_t cascade_first_model(uint16_t model_count);
bool ca_should_escalate(const struct ca_input *in);
uint16_t ca_next(uint16_t model_count, uint16_t model);

#ifdef __cplusplus
}
#endif

#endif
