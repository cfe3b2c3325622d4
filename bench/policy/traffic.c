#include <math.h>
#include <string.h>

#include "policy/state.h"

/*
 * Arrival of requests at a rate that varies over the day, the run of an attempt
 * on its server, and the rating service.
 */

#define RATED_SHARE 0.5 /* share of answers that get a rating */
#define RATING_LAG_MIN_S 2.0
#define RATING_LAG_MAX_S 30.0
#define FIRST_TOKEN_DEADLINE_MS 1500.0
#define WHOLE_ANSWER_DEADLINE_MS 12000.0
#define CRASH_AFTER_US 500000.0
#define CRASH_DOWNTIME_US (5 * 1000000)
#define RESEND_DELAY_US 2000000.0
#define FAILURE_NOTICE_US 2000.0

enum {
	SCORE_LOW_PERMILLE = 200,
	SCORE_HIGH_PERMILLE = 900,
	SCORE_NONE = 0xffff,
	DATA_CENTRE_OUT = 1
};

/* Returns the arrival rate now: a cosine from half of the peak to the peak. */
static double
arrival_rate_per_s(const struct sim *s)
{
	const struct scenario *sc = s->options->scenario;
	double part = (double)s->now_us / (double)s->end_us;
	double level = 0.75 - 0.25 * cos(2 * M_PI * part);

	if (sc->night)
		level = 0.5;
	if (sc->flat)
		level = 1;
	return sc->load * level * s->options->user->peak_per_s;
}

/* Picks an entry instance at random, as the load balancer does. */
static uint16_t
pick_instance(struct sim *s)
{
	uint32_t i;

	do {
		i = (uint16_t)rng_below(&s->rng, WORLD_INSTANCES);
	} while (
	    s->balancer_avoids && i % WORLD_DATA_CENTRES == DATA_CENTRE_OUT);
	return i;
}

static void
send_request(struct sim *s, uint32_t id)
{
	struct request *q = request_at(s, id);
	struct cf_event e;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_REQUEST;
	e.u.request.id = id;
	e.u.request.kind = CF_CHAT;
	e.u.request.workspace = q->world.workspace;
	e.u.request.model = CFG_NONE;
	e.u.request.version = CFG_NONE;
	e.u.request.service = CFG_NONE;
	e.u.request.task_class = q->world.task_class;
	e.u.request.streaming = q->world.streaming;
	e.u.request.fingerprint = q->query_of_death ? 1 : id + 2;
	e.u.request.prompt_tokens = q->world.prompt_tokens;
	e.u.request.output_tokens_max = q->world.output_tokens;
	e.u.request.deadline_us =
	    s->now_us +
	    (int64_t)(1000 * (q->world.streaming ? FIRST_TOKEN_DEADLINE_MS
						 : WHOLE_ANSWER_DEADLINE_MS));
	s->result->offered++;
	sim_step(s, q->instance, &e);
}

static uint32_t
new_request(struct sim *s, bool query_of_death)
{
	struct request *q = sim_array_add(&s->requests);

	world_draw_request(&s->world, &s->rng, &q->world);
	q->arrived_us = s->now_us;
	q->instance = pick_instance(s);
	q->first_version = CFG_NONE;
	q->query_of_death = query_of_death;
	return (uint32_t)s->requests.count - 1;
}

/*
 * Sends one request, sometimes with a query of death before it, and schedules
 * the next arrival by a Poisson process of the current rate.
 */
void
traffic_request_arrived(struct sim *s)
{
	uint32_t id;

	sim_schedule(s,
	    -log(1 - rng_unit(&s->rng)) / arrival_rate_per_s(s) * 1e6,
	    SIM_EV_ARRIVAL, 0);
	if (s->options->scenario->crash_per_s > 0 &&
	    rng_unit(&s->rng) * arrival_rate_per_s(s) <
		s->options->scenario->crash_per_s)
		send_request(s, new_request(s, true));
	id = new_request(s, false);
	send_request(s, id);
}

/* Sends a query of death again, as its caller does after a refusal. */
void
traffic_resend_request(struct sim *s, uint32_t request)
{
	struct world_request world = request_at(s, request)->world;
	uint32_t id = new_request(s, true);

	request_at(s, id)->world = world;
	send_request(s, id);
}

/* Sends an attempt to a server of the instance's data centre. */
void
traffic_start_attempt(
    struct sim *s, uint16_t instance, const struct cf_action *a)
{
	struct attempt *t = sim_array_add(&s->attempts);
	struct request *q = request_at(s, a->request);
	uint16_t centre = instance % WORLD_DATA_CENTRES;

	t->request = a->request;
	t->server = centre * s->servers_per_centre + a->server;
	t->version = a->version;
	t->number = a->attempt;
	t->pass = world_pass_probability(&s->world, &q->world, a->version);
	if (q->first_version == CFG_NONE)
		q->first_version = a->version;
	q->attempts[a->attempt % CF_ATTEMPTS_MAX] =
	    (uint32_t)s->attempts.count - 1;
	s->result->attempts++;
	if (s->degraded_at_us > 0 &&
	    a->version == s->options->scenario->drop_version)
		s->result->exposure++;
	sim_schedule(s, s->options->user->network_us / 2, SIM_EV_REACHED,
	    (uint32_t)s->attempts.count - 1);
}

/*
 * Starts queued attempts while the server has free slots, skips those that are
 * finished, and schedules their events.
 */
static void
start_queued_attempts(struct sim *s, uint16_t server)
{
	const struct request *q;
	struct attempt *t;
	uint32_t i;

	while (
	    (i = server_start_next(&s->servers[server])) != SERVER_NO_ATTEMPT) {
		t = attempt_at(s, i);
		q = request_at(s, t->request);
		if (t->finished) {
			server_free_slot(&s->servers[server], i);
			continue;
		}
		sim_schedule(s,
		    world_prefill_us(&q->world) +
			s->options->user->network_us / 2,
		    SIM_EV_FIRST_TOKEN, i);
		sim_schedule(s,
		    q->query_of_death ? CRASH_AFTER_US
				      : world_service_us(&q->world, t->version),
		    SIM_EV_SERVICE_ENDED, i);
	}
}

/* Queues an attempt on its server, or reports a failure if it is refused. */
void
traffic_attempt_reached(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);

	if (t->finished)
		return;
	if (server_enqueue(&s->servers[t->server], i, s->now_us))
		start_queued_attempts(s, t->server);
	else
		sim_schedule(s, FAILURE_NOTICE_US, SIM_EV_FAILED, i);
}

static struct cf_event
attempt_event(const struct attempt *t, enum cf_event_kind kind)
{
	struct cf_event e;

	memset(&e, 0, sizeof(e));
	e.kind = kind;
	e.u.attempt.request = t->request;
	e.u.attempt.attempt = t->number;
	e.u.attempt.score_permille = SCORE_NONE;
	return e;
}

void
traffic_first_token(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	struct cf_event e = attempt_event(t, CF_EV_FIRST_TOKEN);

	if (t->finished)
		return;
	t->first_token_us = s->now_us;
	sim_step(s, request_at(s, t->request)->instance, &e);
}

/* Ends an attempt on its server, or crashes the server by a query of death. */
void
traffic_service_ended(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	struct request *q = request_at(s, t->request);
	double us;

	if (t->finished)
		return;
	if (q->query_of_death) {
		s->result->crashes++;
		faults_crash_server(s, t->server, CRASH_DOWNTIME_US);
		return;
	}
	us = world_service_us(&q->world, t->version);
	q->slot_s += us / 1e6;
	q->cost += world_cost_micro[t->version] *
		   (double)q->world.output_tokens / 1000;
	server_free_slot(&s->servers[t->server], i);
	start_queued_attempts(s, t->server);
	sim_schedule(s, s->options->user->network_us / 2, SIM_EV_DONE, i);
}

/* Draws an answer's outcome and quick score and reports it to the instance. */
void
traffic_answer_arrived(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	const struct request *q = request_at(s, t->request);
	struct cf_event e = attempt_event(t, CF_EV_DONE);
	double low;

	if (t->finished)
		return;
	t->finished = true;
	t->passed = rng_unit(&s->rng) < t->pass;
	low = t->passed ? WORLD_LOW_SCORE_IF_PASSED : WORLD_LOW_SCORE_IF_FAILED;
	if (rng_unit(&s->rng) < WORLD_SCORED_SHARE)
		e.u.attempt.score_permille = rng_unit(&s->rng) < low
						 ? SCORE_LOW_PERMILLE
						 : SCORE_HIGH_PERMILLE;
	e.u.attempt.output_tokens = q->world.output_tokens;
	sim_step(s, q->instance, &e);
}

/* Reports to the instance that an attempt ended without an answer. */
void
traffic_attempt_failed(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	struct cf_event e = attempt_event(t, CF_EV_FAILED);

	e.u.attempt.error = ERR_UPSTREAM;
	e.u.attempt.run_state = ERR_MAY_HAVE_RUN;
	e.u.attempt.server_crashed = true;
	t->finished = true;
	sim_step(s, request_at(s, t->request)->instance, &e);
}

static void
schedule_rating(struct sim *s, const struct request *q, const struct attempt *t,
    enum cf_place place)
{
	struct rating *r = sim_array_add(&s->ratings);

	r->rating.workspace = q->world.workspace;
	r->rating.version = t->version;
	r->rating.task_class = q->world.task_class;
	r->rating.place = place;
	r->rating.passed = t->passed;
	sim_schedule(s,
	    1e6 * (RATING_LAG_MIN_S + (RATING_LAG_MAX_S - RATING_LAG_MIN_S) *
					  rng_unit(&s->rng)),
	    SIM_EV_RATING, (uint32_t)s->ratings.count - 1);
}

/* Records the answer that the caller receives, and may schedule its rating. */
void
traffic_record_answer(struct sim *s, const struct cf_action *a)
{
	struct request *q = request_at(s, a->request);
	const struct attempt *t =
	    attempt_at(s, q->attempts[a->attempt % CF_ATTEMPTS_MAX]);
	struct sim_result *r = s->result;
	struct sim_workspace *w = &r->workspaces[q->world.workspace];
	double first_ms, whole_ms;
	bool in_time;

	first_ms = (double)(t->first_token_us - q->arrived_us) / 1000;
	whole_ms = (double)(s->now_us - q->arrived_us) / 1000;
	r->answers++;
	w->answers++;
	w->passed += t->passed;
	w->cost += q->cost;
	if (q->world.streaming) {
		samples_add(&s->first_token, first_ms);
		in_time = first_ms <= FIRST_TOKEN_DEADLINE_MS;
	} else {
		samples_add(&s->whole, whole_ms);
		in_time = whole_ms <= WHOLE_ANSWER_DEADLINE_MS;
	}
	if (in_time) {
		r->in_time++;
		r->useful_slot_s += q->slot_s;
	}
	if (rng_unit(&s->rng) < RATED_SHARE)
		schedule_rating(s, q, t, a->place);
}

/* Records a refusal; the caller of a query of death sends it again later. */
void
traffic_record_refusal(struct sim *s, const struct cf_action *a)
{
	s->result->refused++;
	if (request_at(s, a->request)->query_of_death &&
	    a->error != ERR_CRASHES)
		sim_schedule(s, RESEND_DELAY_US, SIM_EV_RESEND, a->request);
}

/* Cancels an attempt and frees its slot for the next one. */
void
traffic_cancel_attempt(struct sim *s, const struct cf_action *a)
{
	uint32_t i =
	    request_at(s, a->request)->attempts[a->attempt % CF_ATTEMPTS_MAX];
	struct attempt *t = attempt_at(s, i);

	if (t->finished)
		return;
	t->finished = true;
	server_free_slot(&s->servers[t->server], i);
	start_queued_attempts(s, t->server);
}

/* Delivers rating i to every instance. */
void
traffic_deliver_rating(struct sim *s, uint32_t i)
{
	const struct rating *r = (struct rating *)s->ratings.items + i;
	struct cf_event e;
	uint32_t n;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_RATING;
	e.u.rating = r->rating;
	for (n = 0; n < WORLD_INSTANCES; n++)
		sim_step(s, n, &e);
}
