#ifndef CF_ROUTE_CASCADE_H
#define CF_ROUTE_CASCADE_H

#include <stdbool.h>
#include <stdint.h>

#include "route/confidence.h"
#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Chooses the model that answers a request, and whether a larger one should
 * answer instead once a model has reported its confidence.
 *
 * The confidence arrives before the first event of an answer, so an answer that
 * is discarded costs only the processing of its prompt.
 *
 * A good answer in time has the value of 1 / (1 - quality target) runs of the
 * route's largest model, and less for each step of lower priority.
 * Another model runs if the better chance of a good answer in time is worth
 * more than its run, whose cost follows from the document's prices of models.
 * While servers have work queued, a run also delays the requests behind it and
 * counts for more, so a busy system gives up larger models for the least urgent
 * routes first.  No I/O and no state; what has been learned is an input.
 */
struct cascade_input {
	uint16_t model_count; /* models of the route, smallest first */
	/* Cost of 1,000 generated tokens, by model; 0: not known */
	double costs[ROUTE_MODELS_MAX];
	const struct confidence_stats *stats;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* estimate */
	uint8_t priority; /* of the route; 0 is the highest */
	/* Share of good answers wanted of the highest priority */
	uint32_t quality_permille;
	/* The route, its attempts and the retry budget allow another run */
	bool may_repeat;
	/* Of processing the prompt, by model; 0: not known */
	int64_t work_us[ROUTE_MODELS_MAX];
	/* Queued work at the best server of a larger model */
	int64_t backlog_us;
	int64_t spent_us; /* since the request arrived */
	/* Time since the request arrived in which an answer is worth most */
	int64_t goal_us;
	int64_t left_us; /* until the caller's deadline */
};

/* A choice, and the figures behind it for the log. */
struct cascade_choice {
	uint16_t model;
	double good; /* probability of a good answer without the larger model */
	double good_later; /* with the chosen model, 0 if it stays the same */
	double gain; /* over the alternative, in runs of the largest model */
};

struct cascade_choice cascade_first_model(const struct cascade_input *in);
struct cascade_choice cascade_next_model(
    const struct cascade_input *in, uint16_t model, int confidence);

#ifdef __cplusplus
}
#endif

#endif
