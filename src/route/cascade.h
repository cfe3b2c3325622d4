#ifndef CF_ROUTE_CASCADE_H
#define CF_ROUTE_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Chooses the size of the model that answers a request: a small one first, then
 * a larger one if the small model reports low confidence in its answer.
 *
 * The confidence arrives before the first event of an answer, so an answer that
 * is discarded costs only the processing of its prompt.  The confidence that is
 * required depends on the cost of another run compared with the value of its
 * answer.  Prompt tokens are cheaper than generated tokens, and the value of an
 * answer grows more with the tokens generated than with the prompt.  If the
 * larger model's answer would be late because all servers are busy, only
 * answers of very low confidence are replaced, so that the cascade does not add
 * to an overload.  No I/O and no state.
 */
struct cascade_input {
	uint16_t model_count; /* models of the route, smallest first */
	uint16_t model; /* index of the model that answers now */
	int confidence; /* 0 to 100; -1: not reported */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* estimate */
	/* The route, its attempts and the retry budget allow another run */
	bool may_repeat;
	int64_t work_us; /* of processing the prompt with the larger model */
	/* Queued work at the best server of the larger model */
	int64_t backlog_us;
	int64_t spent_us; /* since the request arrived */
	/* Time since the request arrived in which an answer is worth most */
	int64_t goal_us;
	int64_t left_us; /* until the caller's deadline */
};

uint16_t cascade_first_model(uint16_t model_count);
bool cascade_should_escalate(const struct cascade_input *in);
uint16_t cascade_next_model(uint16_t model_count, uint16_t model);

#ifdef __cplusplus
}
#endif

#endif
