#include "gateway/exchange.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "route/cascade.h"
#include "route/retry.h"

/*
 * Chooses the model of a request whose caller names none, and learns from the
 * confidence in the answers.  The decisions are in route/cascade.
 */

enum {
	/* One of so many requests begins with the smallest model anyway */
	SMALLEST_EVERY = 16
};

static double
cost_of_model(const struct route_service *service, const char *model)
{
	for (uint16_t i = 0; i < service->model_count; i++) {
		if (strcmp(service->models[i].name, model) == 0)
			return service->models[i].cost;
	}
	return 0;
}

static bool
may_choose(const struct gw_exchange *ex)
{
	return ex->request.any_model && ex->route->model_count > 1;
}

/*
 * Returns whether the retry budget allows a repeat for the sake of a better
 * answer.  Less urgent routes leave part of the budget to the others.
 */
static bool
may_repeat(const struct gw_exchange *ex, int64_t now_us)
{
	struct retry_budget *budget = &ex->service_state->budget;

	return retry_may_rerun(ex->route->kind, ex->route->resumable) &&
	       ex->run_count + 1 < ex->route->attempts_max &&
	       retry_budget_allows(budget, now_us) &&
	       retry_budget_read(budget, now_us).left >=
		   1 + ex->route->priority;
}

/* Collects what both decisions look at, except for the backlog. */
static struct cascade_input
describe(const struct gw_exchange *ex, int64_t now_us)
{
	const struct route_entry *route = ex->route;
	struct cascade_input in = {.model_count = route->model_count,
	    .stats = &ex->models->stats,
	    .prompt_tokens = ex->request.prompt_tokens,
	    .output_tokens = gw_exchange_output_tokens(ex),
	    .priority = route->priority,
	    .quality_permille = ex->entry->gw->settings->quality_permille,
	    .may_repeat = may_repeat(ex, now_us),
	    .spent_us = now_us - ex->arrived_us,
	    .goal_us = (int64_t)route->goal_ms * US_PER_MS,
	    .left_us = ex->deadline_us - now_us};

	for (uint16_t i = route->model_count; i-- > 0;) {
		const struct prefill_rate *rate =
		    &ex->service_state->prefill_rates[i];

		in.costs[i] =
		    cost_of_model(ex->service_config, route->models[i]);
		/* Until it is known, no model counts as faster than a larger.
		 */
		if (rate->us_per_token > 0 || i + 1 == route->model_count)
			in.work_us[i] =
			    (int64_t)(prefill_work_ms(
					  rate, ex->request.prompt_tokens) *
				      US_PER_MS);
		else
			in.work_us[i] = in.work_us[i + 1];
	}
	return in;
}

static bool
may_repeat_first(const struct gw_exchange *ex)
{
	return retry_may_rerun(ex->route->kind, ex->route->resumable) &&
	       ex->route->attempts_max > 1;
}

/*
 * Decides with which model a request starts, and stores it.  Returns false if
 * there is nothing to choose.
 */
bool
gw_exchange_decide_model(struct gw_exchange *ex, struct cascade_choice *choice)
{
	int64_t now_us = gw_exchange_now_us(ex);
	struct cascade_input in;

	ex->confidence = (struct confidence_course){.before = -1};
	if (!may_choose(ex))
		return false;
	ex->models = gw_entry_get_models(ex->entry, ex->route);
	in = describe(ex, now_us);
	in.may_repeat = may_repeat_first(ex);
	in.goal_us = 0;
	*choice = cascade_first_model(&in);
	/* Some requests show whether the smallest model has become better. */
	if (choice->model != 0 && in.may_repeat &&
	    ++ex->models->larger_first % SMALLEST_EVERY == 0)
		choice->model = 0;
	ex->model_index = choice->model;
	return true;
}

/* Chooses the model that a request starts with. */
void
gw_exchange_choose_model(struct gw_exchange *ex)
{
	struct cascade_choice choice;

	if (!gw_exchange_decide_model(ex, &choice))
		return;
	ex->models->first[choice.model]->value++;
	if (choice.model != 0)
		gw_exchange_log(ex, LOG_LEVEL_INFO, "first_model",
		    "model=%s good=%.2f good_later=%.2f gain=%.2f "
		    "may_repeat=%d reliability=%.2f",
		    ex->route->models[choice.model], choice.good,
		    choice.good_later, choice.gain, may_repeat_first(ex),
		    confidence_reliability(&ex->models->stats));
}

/* Whether the route's models have changed since the request arrived. */
static bool
have_models_changed(const struct gw_exchange *ex)
{
	return ex->models->stats.models !=
	       confidence_hash_models(
		   ex->route->models, ex->route->model_count);
}

/* Records the confidence in the answer that begins now. */
static void
learn(struct gw_exchange *ex, int confidence)
{
	struct confidence_stats *stats = &ex->models->stats;

	if (confidence_learn(stats, &ex->confidence, ex->model_index,
		ex->request.prompt_tokens, confidence))
		ex->models->confidence[confidence_bin(confidence)]->value++;
}

/*
 * Returns whether to cancel the answer that begins now in favour of a larger
 * model, which is then the request's model.
 */
bool
gw_exchange_should_escalate(struct gw_exchange *ex, int confidence)
{
	int64_t now_us = gw_exchange_now_us(ex);
	struct cascade_choice choice;
	struct cascade_input in;
	uint16_t largest;

	if (!may_choose(ex) || ex->models == NULL || ex->answer_begun ||
	    ex->caller == NULL || confidence < 0 || have_models_changed(ex))
		return false;
	learn(ex, confidence);
	largest = ex->route->model_count - 1;
	if (ex->model_index >= largest)
		return false;
	in = describe(ex, now_us);
	if (!gw_exchange_estimate(
		ex, largest, &in.work_us[largest], &in.backlog_us))
		return false;
	choice = cascade_next_model(&in, ex->model_index, confidence);
	if (choice.model == ex->model_index) {
		ex->models->kept->value++;
		return false;
	}
	ex->models->escalations->value++;
	gw_exchange_log(ex, LOG_LEVEL_INFO, "escalate",
	    "confidence=%d good=%.2f good_later=%.2f gain=%.2f model=%s "
	    "spent_ms=%" PRId64 " expected_ms=%" PRId64 " reliability=%.2f",
	    confidence, choice.good, choice.good_later, choice.gain,
	    ex->route->models[choice.model], in.spent_us / US_PER_MS,
	    (in.work_us[largest] + in.backlog_us) / US_PER_MS,
	    confidence_reliability(in.stats));
	ex->confidence.before = confidence;
	ex->model_index = choice.model;
	return true;
}
