#include "route/cascade.h"

enum {
	LEFT_MIN_US = 1000000 /* a larger model would come too late */
};

/* Tokens read count as so much of one generated, in cost and in use. */
static const double read_cost = 0.25;
static const double read_use = 0.1;

/* Confidence that is enough, were another run free, and less by its cost. */
static const double enough_free = 82;
static const double enough_per_cost = 13;

/* Confidence that is enough where the other answer would come late. */
static const double enough_when_late = 8;
static const double backlog_factor = 2; /* others choose at the same time */

/* Returns the model that a request begins with. */
uint16_t
cascade_first_model(uint16_t model_count)
{
	(void)model_count;
	return 0;
}

/* The confidence that an answer needs to be kept. */
static double
enough(const struct ca_input *in)
{
	double cost = in->output_tokens + read_cost * in->prompt_tokens;
	double use = in->output_tokens + read_use * in->prompt_tokens;

	if ((double)(in->spent_us + in->work_us) +
		backlog_factor * (double)in->backlog_us >
	    (double)in->goal_us)
		return enough_when_late;
	return use > 0 ? enough_free - enough_per_cost * cost / use
		       : enough_free - enough_per_cost;
}

/* Tells whether a larger model should answer instead. */
bool
ca_should_escalate(const struct ca_input *in)
{
	if (in->confidence < 0 || in->confidence >= enough(in) ||
	    in->model + 1 >= in->model_count || !in->may_repeat)
		return false;
	return in->left_us > LEFT_MIN_US;
}

/*
 * Returns the model to go on with: the largest, since one between them is
 * little better than the smallest and costs another reading of the prompt.
 */
uint16_t
ca_next(uint16_t model_count, uint16_t model)
{
	(void)model;
	return (uint16_t)(model_count - 1);
}
