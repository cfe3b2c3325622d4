#include "policy/sim.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "policy/state.h"

/* Appends a zero element; earlier pointers into the rows become invalid. */
void *
row_add(struct rows *rows)
{
	if (rows->count == rows->room) {
		rows->room = rows->room == 0 ? 4096 : 2 * rows->room;
		rows->items = realloc(rows->items, rows->room * rows->size);
		if (rows->items == NULL)
			abort();
	}
	return memset(
	    (char *)rows->items + rows->count++ * rows->size, 0, rows->size);
}

void
sim_later(struct sim *s, double us, enum sim_event event, uint32_t a)
{
	agenda_add(&s->agenda, s->now_us + (int64_t)us, event, a);
}

static double
processor_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
carry_out(struct sim *s, uint16_t instance, const struct cf_action *a)
{
	switch (a->kind) {
	case CF_ACT_DISPATCH:
		traffic_dispatch(s, instance, a);
		break;
	case CF_ACT_ANSWER:
		traffic_answer(s, a);
		break;
	case CF_ACT_REFUSE:
		traffic_refuse(s, a);
		break;
	case CF_ACT_CANCEL:
		traffic_cancel(s, a);
		break;
	case CF_ACT_STOP_VERSION:
		s->stopped[a->version] = true;
		break;
	case CF_ACT_CREDIT_ASK:
		faults_credit_ask(s, instance, a);
		break;
	case CF_ACT_CREDIT_GIVE:
		granter_return_credits(
		    s->granters[instance % WORLD_DATA_CENTRES],
		    instance / WORLD_DATA_CENTRES, a->server, a->count,
		    s->now_us);
		break;
	case CF_ACT_CRASH_MARK:
		faults_mark(s, instance, a);
		break;
	case CF_ACT_WAKE:
		agenda_add(&s->agenda, a->at_us, AT_WAKE, instance);
		break;
	default:
		break;
	}
}

/* Hands one event to an instance's policy and carries its actions out. */
void
sim_step(struct sim *s, uint16_t instance, const struct cf_event *event)
{
	struct cf_actions actions;
	double from;
	size_t i;

	actions.count = 0;
	from = processor_s();
	s->policies[instance]->vtable->step(
	    s->policies[instance], s->now_us, event, &actions);
	s->result->decide_s += processor_s() - from;
	s->result->decisions++;
	for (i = 0; i < actions.count; i++)
		carry_out(s, instance, &actions.items[i]);
}

static const struct world_request *
look_up(void *ctx, uint32_t id)
{
	return &request_at(ctx, id)->world;
}

static void
start_policies(struct sim *s)
{
	struct policy_options options;
	uint32_t i;

	memset(&options, 0, sizeof(options));
	options.servers = s->per_centre;
	options.world = &s->world;
	options.request = look_up;
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
	options.max_servers = s->per_centre;
	options.max_instances = WORLD_INSTANCES / WORLD_DATA_CENTRES;
	options.now_us = -GRANTER_LEASE_US;
	for (i = 0; i < WORLD_DATA_CENTRES; i++)
		s->granters[i] = granter_new(&options);
}

static void
start(struct sim *s)
{
	uint32_t i;

	rng_init(&s->rng, s->options->seed);
	s->world.user = s->options->user;
	s->per_centre = s->options->user->model_servers;
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
	for (i = 0; i < s->per_centre * WORLD_DATA_CENTRES; i++)
		server_init(&s->servers[i]);
	start_policies(s);
	faults_start(s);
	sim_later(s, 0, AT_ARRIVAL, 0);
	sim_later(s, 1e6, AT_SECOND, 0);
}

static void
on_event(struct sim *s, const struct agenda_item *e)
{
	struct cf_event wake;

	switch ((enum sim_event)e->kind) {
	case AT_ARRIVAL:
		traffic_arrive(s);
		break;
	case AT_REACHED:
		traffic_reached(s, e->a);
		break;
	case AT_FIRST_TOKEN:
		traffic_first_token(s, e->a);
		break;
	case AT_ENDED:
		traffic_ended(s, e->a);
		break;
	case AT_DONE:
		traffic_done(s, e->a);
		break;
	case AT_FAILED:
		traffic_failed(s, e->a);
		break;
	case AT_ANNOUNCE:
		faults_announce(s, (uint16_t)e->a);
		break;
	case AT_REPORT:
		faults_report(s, e->a);
		break;
	case AT_RATING:
		traffic_rating(s, e->a);
		break;
	case AT_SECOND:
		faults_second(s);
		break;
	case AT_SCENARIO:
		faults_step(s, e->a);
		break;
	case AT_CRASHER:
		traffic_resend(s, e->a);
		break;
	case AT_CREDIT:
		faults_credit(s, e->a);
		break;
	case AT_WAKE:
		memset(&wake, 0, sizeof(wake));
		wake.kind = CF_EV_WAKE;
		sim_step(s, (uint16_t)e->a, &wake);
		break;
	}
}

static void
finish(struct sim *s)
{
	static const double parts[3] = {0.5, 0.95, 0.99};
	uint32_t i;

	s->result->slot_s = (double)s->per_centre * WORLD_DATA_CENTRES *
			    SERVER_SLOTS * s->options->seconds;
	for (i = 0; i < s->per_centre * WORLD_DATA_CENTRES; i++)
		s->result->cold_overloads += s->servers[i].overloads;
	for (i = 0; i < 3; i++) {
		s->result->first_token_ms[i] =
		    tally_percentile(&s->first_token, parts[i]);
		s->result->whole_ms[i] = tally_percentile(&s->whole, parts[i]);
	}
	for (i = 0; i < WORLD_INSTANCES; i++)
		s->policies[i]->vtable->release(s->policies[i]);
	world_cfg_free(s->cfg);
	if (s->cfg_before != NULL)
		world_cfg_free(s->cfg_before);
	tally_free(&s->first_token);
	tally_free(&s->whole);
	agenda_free(&s->agenda);
	free(s->requests.items);
	free(s->attempts.items);
	free(s->ratings.items);
	free(s->reports.items);
	free(s->credits.items);
	for (i = 0; i < WORLD_DATA_CENTRES; i++)
		granter_free(s->granters[i]);
}

/* Runs one scenario under one policy to its end. */
void
sim_run(const struct sim_options *options, struct sim_result *result)
{
	struct sim *s = calloc(1, sizeof(*s));
	struct agenda_item e;

	if (s == NULL)
		abort();
	memset(result, 0, sizeof(*result));
	result->stopped_after_s = -1;
	s->options = options;
	s->result = result;
	start(s);
	while (s->agenda.count > 0) {
		e = agenda_take(&s->agenda);
		if (e.at_us > s->end_us)
			break;
		s->now_us = e.at_us;
		on_event(s, &e);
	}
	finish(s);
	free(s);
}
