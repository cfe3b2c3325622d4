#include "route/cascade.h"

enum {
	CONFIDENT = 50, /* answers rated lower by their model are replaced */
	LEFT_MIN_US = 1000000 /* a larger model would come too late */
};

/* Returns the model that a request begins with. */
uint16_t
ca_first(uint16_t model_count)
{
	(void)model_count;
	return 0;
}

/* Tells whether a larger model should answer instead. */
bool
ca_should_escalate(const struct ca_input *in)
{
	if (in->confidence < 0 || in->confidence >= CONFIDENT ||
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
