#include "route/cascade.h"

enum {
	/* A larger model would answer too late with less time left */
	TIME_LEFT_MIN_US = 1000000
};

/* Cost and value of a prompt token, relative to a generated token. */
static const double prompt_token_cost = 0.25;
static const double prompt_token_value = 0.1;

/*
 * Required confidence if another run were free, and its reduction per unit of
 * cost per value.
 */
static const double confidence_base = 82;
static const double confidence_per_cost = 13;

/* Required confidence when the other answer would come late. */
static const double confidence_when_late = 8;
/* Other instances may choose the same server at the same time */
static const double backlog_factor = 2;

/* Returns the model that a request starts with. */
uint16_t
cascade_first_model(uint16_t model_count)
{
	(void)model_count;
	return 0;
}

/* Returns the confidence that an answer needs to be kept, 0 to 100. */
static double
required_confidence(const struct cascade_input *in)
{
	double cost = in->output_tokens + prompt_token_cost * in->prompt_tokens;
	double value =
	    in->output_tokens + prompt_token_value * in->prompt_tokens;

	if ((double)(in->spent_us + in->work_us) +
		backlog_factor * (double)in->backlog_us >
	    (double)in->goal_us)
		return confidence_when_late;
	return value > 0 ? confidence_base - confidence_per_cost * cost / value
			 : confidence_base - confidence_per_cost;
}

/* Tells whether a larger model should answer instead. */
bool
cascade_should_escalate(const struct cascade_input *in)
{
	if (in->confidence < 0 || in->confidence >= required_confidence(in) ||
	    in->model + 1 >= in->model_count || !in->may_repeat)
		return false;
	return in->left_us > TIME_LEFT_MIN_US;
}

/*
 * Returns the model to escalate to.  It is the largest: a model in between is
 * little better than the smallest and costs another pass over the prompt.
 */
uint16_t
cascade_next_model(uint16_t model_count, uint16_t model)
{
	(void)model;
	return (uint16_t)(model_count - 1);
}
