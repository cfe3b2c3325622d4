#include "route/cascade.h"

#include <math.h>

enum {
	/* A larger model would answer too late with less time left */
	TIME_LEFT_MIN_US = 1000000,
	PERMILLE = 1000
};

/* Cost of a prompt token relative to a generated one. */
static const double prompt_token_cost = 0.25;
/* Value of a late answer relative to one in time. */
static const double late_value = 0.2;
/*
 * An answer expected before the first share of the goal is in time, one after
 * the last is late.  Reports of queued work lag, and other instances choose at
 * the same time.
 */
static const double goal_share_safe = 0.5;
static const double goal_share_late = 1.0;
/* Additional cost of a run when queued work takes the whole goal. */
static const double cost_per_backlog = 3;
/* Other instances may choose the same server at the same time. */
static const double backlog_factor = 2;
/*
 * Advantage that a larger model needs to be the first, in runs of the largest;
 * it keeps the choice from following small changes of what has been learned.
 */
static const double first_margin = 0.03;
/*
 * Cost of queued work to a higher priority relative to the next lower one, so
 * that under load the less urgent leave larger models to the others.
 */
static const double priority_step = 0.4;

/* Returns the cost of a model's run, in runs of the largest model. */
static double
run_cost(const struct cascade_input *in, uint16_t model)
{
	double largest = in->costs[in->model_count - 1];

	/* Without prices, a model's place in the list stands for its cost. */
	return largest > 0 && in->costs[model] > 0
		   ? in->costs[model] / largest
		   : (double)(model + 1) / in->model_count;
}

/*
 * Returns the cost of a run of which only the prompt is processed, in whole
 * runs of the largest model.
 */
static double
discarded_cost(const struct cascade_input *in, uint16_t model)
{
	double prompt = prompt_token_cost * in->prompt_tokens;
	double whole = prompt + in->output_tokens;

	return whole > 0 ? run_cost(in, model) * prompt / whole : 0;
}

/* Returns the value of a good answer, in runs of the largest model. */
static double
answer_value(const struct cascade_input *in)
{
	double missing = 1 - in->quality_permille / (double)PERMILLE;

	return 1 / missing;
}

/* Returns the value of an answer at a time, relative to one in time. */
static double
time_value(const struct cascade_input *in, double answered_us)
{
	double share = in->goal_us > 0 ? answered_us / (double)in->goal_us : 0;
	double late =
	    (share - goal_share_safe) / (goal_share_late - goal_share_safe);

	late = fmin(1, fmax(0, late));
	return 1 - late * (1 - late_value);
}

static double
load_factor(const struct cascade_input *in)
{
	if (in->goal_us <= 0 || in->backlog_us <= 0)
		return 1;
	return 1 + cost_per_backlog * (double)in->backlog_us /
		       (double)in->goal_us / pow(priority_step, in->priority);
}

/* Returns what a model's answer is worth if it starts now, less its run. */
static double
worth_of_run(const struct cascade_input *in, uint16_t model, double good,
    double extra_us)
{
	double answered_us = (double)(in->spent_us + in->work_us[model]) +
			     backlog_factor * (double)in->backlog_us + extra_us;

	return good * answer_value(in) * time_value(in, answered_us) -
	       run_cost(in, model) * load_factor(in);
}

/*
 * Returns the best larger model after an answer with such a probability of
 * being good, and its worth in *worth; or the same model with the worth kept.
 */
static uint16_t
best_next(const struct cascade_input *in, uint16_t model, int confidence,
    double good, double kept, double extra_us, double *worth)
{
	uint16_t best = model;

	*worth = kept;
	for (uint16_t i = model + 1; i < in->model_count; i++) {
		double later = confidence_good_later(
		    in->stats, in->model_count, i, confidence, good);
		double other = worth_of_run(in, i, later, extra_us);

		if (other > *worth) {
			*worth = other;
			best = i;
		}
	}
	return best;
}

/*
 * Returns what beginning with the smallest model is worth, on average over the
 * confidence that it may report, with the larger models that follow.
 */
static double
worth_of_cascade(
    const struct cascade_input *in, const struct confidence_expected *expected)
{
	double load = load_factor(in), worth = 0;
	double first_us = (double)(in->work_us[0] + in->backlog_us);

	for (int b = 0; b < CONFIDENCE_BINS; b++) {
		double good = expected->good[b];
		double whole = worth_of_run(in, 0, good, 0);
		double next = 0;

		if (in->may_repeat &&
		    best_next(in, 0, confidence_of_bin(b), good,
			whole + run_cost(in, 0) * load, first_us, &next) != 0)
			whole = next - discarded_cost(in, 0) * load;
		worth += expected->share[b] * whole;
	}
	return worth;
}

/* Returns what beginning with a larger model is worth. */
static double
worth_of_larger(const struct cascade_input *in, uint16_t model,
    const struct confidence_expected *expected, double *good)
{
	*good = 0;
	for (int b = 0; b < CONFIDENCE_BINS; b++)
		*good += expected->share[b] *
			 confidence_good_later(in->stats, in->model_count,
			     model, confidence_of_bin(b), expected->good[b]);
	return worth_of_run(in, model, *good, 0);
}

/*
 * Returns the model that a request starts with: the smallest, unless its
 * answers are discarded so often, or can't be discarded, that a larger one is
 * worth more from the start.
 */
struct cascade_choice
cascade_first_model(const struct cascade_input *in)
{
	struct cascade_choice choice = {0};
	struct confidence_expected expected;
	double smallest, best;

	if (in->model_count < 2)
		return choice;
	confidence_expect(in->stats, 0, in->prompt_tokens, &expected);
	choice.good = expected.mean_good;
	smallest = best = worth_of_cascade(in, &expected);
	for (uint16_t m = 1; m < in->model_count; m++) {
		double good;
		double worth = worth_of_larger(in, m, &expected, &good);

		if (worth <= fmax(best, smallest + first_margin))
			continue;
		best = worth;
		choice.model = m;
		choice.good_later = good;
	}
	choice.gain = best - smallest;
	return choice;
}

/*
 * Returns the model that should answer after one has reported its confidence:
 * the same one if its answer is to be kept.
 */
struct cascade_choice
cascade_next_model(
    const struct cascade_input *in, uint16_t model, int confidence)
{
	struct cascade_choice choice = {.model = model};
	double kept, next;

	if (confidence < 0 || model + 1 >= in->model_count || !in->may_repeat ||
	    in->left_us <= TIME_LEFT_MIN_US)
		return choice;
	choice.good =
	    confidence_good(in->stats, model, in->prompt_tokens, confidence);
	kept = choice.good * answer_value(in) *
	       time_value(in, (double)in->spent_us);
	choice.model =
	    best_next(in, model, confidence, choice.good, kept, 0, &next);
	if (choice.model != model) {
		choice.good_later = confidence_good_later(in->stats,
		    in->model_count, choice.model, confidence, choice.good);
		choice.gain = next - kept;
	}
	return choice;
}
