#include "policy/sim.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "policy/state.h"

/* Appends a zeroed element; earlier pointers into the array become invalid. */
void *
sim_array_add(struct sim_array *sim_array)
{
	if (sim_array->count == sim_array->capacity) {
		sim_array->capacity =
		    sim_array->capacity == 0 ? 4096 : 2 * sim_array->capacity;
		sim_array->items = realloc(
		    sim_array->items, sim_array->capacity * sim_array->size);
		if (sim_array->items == NULL)
			abort();
	}
	return memset(
	    (char *)sim_array->items + sim_array->count++ * sim_array->size, 0,
	    sim_array->size);
}

/* Schedules an event after a delay. */
void
sim_schedule(struct sim *s, double delay_us, enum sim_event event, uint32_t arg)
{
	event_queue_add(
	    &s->event_queue, s->now_us + (int64_t)delay_us, event, arg);
}

static double
cpu_time_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
execute_action(struct sim *s, uint16_t instance, const struct cf_action *a)
{
	switch (a->kind) {
	case CF_ACT_DISPATCH:
		traffic_start_attempt(s, instance, a);
		break;
	case CF_ACT_ANSWER:
		traffic_record_answer(s, a);
		break;
	case CF_ACT_REFUSE:
		traffic_record_refusal(s, a);
		break;
	case CF_ACT_CANCEL:
		traffic_cancel_attempt(s, a);
		break;
	case CF_ACT_STOP_VERSION:
		s->stopped[a->version] = true;
		break;
	case CF_ACT_CREDIT_ASK:
		faults_lease_credits(s, instance, a);
		break;
	case CF_ACT_CREDIT_GIVE:
		granter_return_credits(
		    s->granters[instance % WORLD_DATA_CENTRES],
		    instance / WORLD_DATA_CENTRES, a->server, a->count,
		    s->now_us);
		break;
	case CF_ACT_CRASH_MARK:
		faults_spread_crash_mark(s, instance, a);
		break;
	case CF_ACT_WAKE:
		event_queue_add(
		    &s->event_queue, a->at_us, SIM_EV_WAKE, instance);
		break;
	default:
		break;
	}
}

/* Passes one event to an instance's policy and executes its actions. */
void
sim_step(struct sim *s, uint16_t instance, const struct cf_event *event)
{
	struct cf_actions actions;
	double from;
	size_t i;

	actions.count = 0;
	from = cpu_time_s();
	s->policies[instance]->vtable->step(
	    s->policies[instance], s->now_us, event, &actions);
	s->result->decide_s += cpu_time_s() - from;
	s->result->decisions++;
	for (i = 0; i < actions.count; i++)
		execute_action(s, instance, &actions.items[i]);
}

static const struct world_request *
find_world_request(void *ctx, uint32_t id)
{
	return &request_at(ctx, id)->world;
}

static void
start_policies(struct sim *s)
{
	struct policy_options options;
	uint32_t i;

	memset(&options, 0, sizeof(options));
	options.servers = s->servers_per_centre;
	options.world = &s->world;
	options.request = find_world_request;
	options.ctx = s;
	options.oracle_price = s->prices;
	for (i = 0; i < WORLD_INSTANCES; i++) {
		options.seed = s->options->seed * 1000 + i;
		options.instance = i;
		options.data_centre = i % WORLD_DATA_CENTRES;
		s->policies[i] =
		    s->options->policy->make(s->options->policy, &options);
	}
}

static void
start_granters(struct sim *s)
{
	struct granter_options options;
	uint32_t i;

	memset(&options, 0, sizeof(options));
	options.max_servers = s->servers_per_centre;
	options.max_instances = WORLD_INSTANCES / WORLD_DATA_CENTRES;
	options.now_us = -GRANTER_LEASE_US;
	for (i = 0; i < WORLD_DATA_CENTRES; i++)
		s->granters[i] = granter_new(&options);
}

static void
init_run(struct sim *s)
{
	uint32_t i;

	rng_init(&s->rng, s->options->seed);
	s->world.user = s->options->user;
	s->servers_per_centre = s->options->user->model_servers;
	s->end_us = (int64_t)(s->options->seconds * 1e6);
	s->requests.size = sizeof(struct request);
	s->attempts.size = sizeof(struct attempt);
	s->ratings.size = sizeof(struct rating);
	s->reports.size = sizeof(struct report);
	s->credits.size = sizeof(struct credit);
	start_granters(s);
	s->cfg = world_cfg_new(s->options->user);
	if (strstr(s->options->policy->name, "oracle") != NULL)
		oracle_prices(&s->world, s->options->seed,
		    strstr(s->options->policy->name, "blind") != NULL,
		    s->prices);
	for (i = 0; i < s->servers_per_centre * WORLD_DATA_CENTRES; i++)
		server_init(&s->servers[i]);
	start_policies(s);
	faults_start(s);
	sim_schedule(s, 0, SIM_EV_ARRIVAL, 0);
	sim_schedule(s, 1e6, SIM_EV_SECOND, 0);
}

static void
on_event(struct sim *s, const struct scheduled_event *e)
{
	struct cf_event wake;

	switch ((enum sim_event)e->kind) {
	case SIM_EV_ARRIVAL:
		traffic_request_arrived(s);
		break;
	case SIM_EV_REACHED:
		traffic_attempt_reached(s, e->arg);
		break;
	case SIM_EV_FIRST_TOKEN:
		traffic_first_token(s, e->arg);
		break;
	case SIM_EV_SERVICE_ENDED:
		traffic_service_ended(s, e->arg);
		break;
	case SIM_EV_DONE:
		traffic_answer_arrived(s, e->arg);
		break;
	case SIM_EV_FAILED:
		traffic_attempt_failed(s, e->arg);
		break;
	case SIM_EV_MEASURE_LOAD:
		faults_measure_load(s, (uint16_t)e->arg);
		break;
	case SIM_EV_REPORT:
		faults_deliver_report(s, e->arg);
		break;
	case SIM_EV_RATING:
		traffic_deliver_rating(s, e->arg);
		break;
	case SIM_EV_SECOND:
		faults_run_second(s);
		break;
	case SIM_EV_SCENARIO_STEP:
		faults_run_step(s, e->arg);
		break;
	case SIM_EV_RESEND:
		traffic_resend_request(s, e->arg);
		break;
	case SIM_EV_CREDIT:
		faults_deliver_credit(s, e->arg);
		break;
	case SIM_EV_WAKE:
		memset(&wake, 0, sizeof(wake));
		wake.kind = CF_EV_WAKE;
		sim_step(s, (uint16_t)e->arg, &wake);
		break;
	}
}

static void
finish_run(struct sim *s)
{
	static const double parts[3] = {0.5, 0.95, 0.99};
	uint32_t i;

	s->result->slot_s = (double)s->servers_per_centre * WORLD_DATA_CENTRES *
			    SERVER_SLOTS * s->options->seconds;
	for (i = 0; i < s->servers_per_centre * WORLD_DATA_CENTRES; i++)
		s->result->cold_overloads += s->servers[i].overloads;
	for (i = 0; i < 3; i++) {
		s->result->first_token_ms[i] =
		    samples_percentile(&s->first_token, parts[i]);
		s->result->whole_ms[i] =
		    samples_percentile(&s->whole, parts[i]);
	}
	for (i = 0; i < WORLD_INSTANCES; i++)
		s->policies[i]->vtable->release(s->policies[i]);
	world_cfg_free(s->cfg);
	if (s->previous_cfg != NULL)
		world_cfg_free(s->previous_cfg);
	samples_free(&s->first_token);
	samples_free(&s->whole);
	event_queue_free(&s->event_queue);
	free(s->requests.items);
	free(s->attempts.items);
	free(s->ratings.items);
	free(s->reports.items);
	free(s->credits.items);
	for (i = 0; i < WORLD_DATA_CENTRES; i++)
		granter_free(s->granters[i]);
}

/* Runs one scenario under one policy to the end of its virtual time. */
void
sim_run(const struct sim_options *options, struct sim_result *result)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct scheduled_event e;

	if (s == NULL)
		abort();
	memset(result, 0, sizeof(*result));
	result->stopped_after_s = -1;
	s->options = options;
	s->result = result;
	init_run(s);
	while (s->event_queue.count > 0) {
		e = event_queue_pop(&s->event_queue);
		if (e.at_us > s->end_us)
			break;
		s->now_us = e.at_us;
		on_event(s, &e);
	}
	finish_run(s);
	free(s);
}
