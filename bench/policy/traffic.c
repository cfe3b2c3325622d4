#include <math.h>
#include <string.h>

#include "policy/state.h"

/*
 * Arrivals by the hour, the course of an attempt on its server, and the rating
 * service.
 */

#define RATED 0.5 /* share of answers that the rating service judges */
#define RATING_LAG_LOW_S 2.0
#define RATING_LAG_HIGH_S 30.0
#define FIRST_TOKEN_DUE_MS 1500.0
#define WHOLE_DUE_MS 12000.0
#define CRASH_AFTER_US 500000.0
#define CRASH_DOWN_US (5 * 1000000)
#define RESEND_US 2000000.0
#define FAILURE_SEEN_US 2000.0

enum {
	SCORE_LOW = 200,
	SCORE_HIGH = 900,
	SCORE_NONE = 0xffff,
	DATA_CENTRE_OUT = 1
};

static double
rate_per_s(const struct sim *s)
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

/* The balancer's choice of an entry instance. */
static uint16_t
balance(struct sim *s)
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
	e.u.request.fingerprint = q->crasher ? 1 : id + 2;
	e.u.request.prompt_tokens = q->world.prompt_tokens;
	e.u.request.output_tokens_max = q->world.output_tokens;
	e.u.request.deadline_us =
	    s->now_us +
	    (int64_t)(1000 *
		      (q->world.streaming ? FIRST_TOKEN_DUE_MS : WHOLE_DUE_MS));
	s->result->offered++;
	sim_step(s, q->instance, &e);
}

static uint32_t
new_request(struct sim *s, bool crasher)
{
	struct request *q = row_add(&s->requests);

	world_draw(&s->world, &s->rng, &q->world);
	q->arrived_us = s->now_us;
	q->instance = balance(s);
	q->first_version = CFG_NONE;
	q->crasher = crasher;
	return (uint32_t)s->requests.count - 1;
}

/* One request arrives; the next one follows at the hour's rate. */
void
traffic_arrive(struct sim *s)
{
	uint32_t id;

	sim_later(s, -log(1 - rng_unit(&s->rng)) / rate_per_s(s) * 1e6,
	    AT_ARRIVAL, 0);
	if (s->options->scenario->crash_per_s > 0 &&
	    rng_unit(&s->rng) * rate_per_s(s) <
		s->options->scenario->crash_per_s)
		send_request(s, new_request(s, true));
	id = new_request(s, false);
	send_request(s, id);
}

/* The caller of a crashing request sends it again. */
void
traffic_resend(struct sim *s, uint32_t request)
{
	struct world_request world = request_at(s, request)->world;
	uint32_t id = new_request(s, true);

	request_at(s, id)->world = world;
	send_request(s, id);
}

/* Starts an attempt on its way to a server of the instance's data centre. */
void
traffic_dispatch(struct sim *s, uint16_t instance, const struct cf_action *a)
{
	struct attempt *t = row_add(&s->attempts);
	struct request *q = request_at(s, a->request);
	uint16_t centre = instance % WORLD_DATA_CENTRES;

	t->request = a->request;
	t->server = centre * s->per_centre + a->server;
	t->version = a->version;
	t->number = a->attempt;
	t->pass = world_pass(&s->world, &q->world, a->version);
	if (q->first_version == CFG_NONE)
		q->first_version = a->version;
	q->attempts[a->attempt % CF_ATTEMPTS_MAX] =
	    (uint32_t)s->attempts.count - 1;
	s->result->attempts++;
	if (s->turned_us > 0 &&
	    a->version == s->options->scenario->drop_version)
		s->result->exposure++;
	sim_later(s, s->options->user->network_us / 2, AT_REACHED,
	    (uint32_t)s->attempts.count - 1);
}

static void
start_next(struct sim *s, uint16_t server)
{
	const struct request *q;
	struct attempt *t;
	uint32_t i;

	while ((i = server_start(&s->servers[server])) != SERVER_NONE) {
		t = attempt_at(s, i);
		q = request_at(s, t->request);
		if (t->over) {
			server_end(&s->servers[server], i);
			continue;
		}
		sim_later(s,
		    world_prefill_us(&q->world) +
			s->options->user->network_us / 2,
		    AT_FIRST_TOKEN, i);
		sim_later(s,
		    q->crasher ? CRASH_AFTER_US
			       : world_service_us(&q->world, t->version),
		    AT_ENDED, i);
	}
}

/* An attempt reached its server, which queues or refuses it. */
void
traffic_reached(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);

	if (t->over)
		return;
	if (server_add(&s->servers[t->server], i, s->now_us))
		start_next(s, t->server);
	else
		sim_later(s, FAILURE_SEEN_US, AT_FAILED, i);
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

	if (t->over)
		return;
	t->first_token_us = s->now_us;
	sim_step(s, request_at(s, t->request)->instance, &e);
}

/* The server has produced the whole answer, or crashed under the request. */
void
traffic_ended(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	struct request *q = request_at(s, t->request);
	double us;

	if (t->over)
		return;
	if (q->crasher) {
		s->result->crashes++;
		faults_crash(s, t->server, CRASH_DOWN_US);
		return;
	}
	us = world_service_us(&q->world, t->version);
	q->slot_s += us / 1e6;
	q->cost += world_cost_micro[t->version] *
		   (double)q->world.output_tokens / 1000;
	server_end(&s->servers[t->server], i);
	start_next(s, t->server);
	sim_later(s, s->options->user->network_us / 2, AT_DONE, i);
}

/* The end of an answer arrived; a quick score may come with it. */
void
traffic_done(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	const struct request *q = request_at(s, t->request);
	struct cf_event e = attempt_event(t, CF_EV_DONE);
	double low;

	if (t->over)
		return;
	t->over = true;
	t->passed = rng_unit(&s->rng) < t->pass;
	low = t->passed ? WORLD_LOW_IF_PASSED : WORLD_LOW_IF_FAILED;
	if (rng_unit(&s->rng) < WORLD_SCORED)
		e.u.attempt.score_permille =
		    rng_unit(&s->rng) < low ? SCORE_LOW : SCORE_HIGH;
	e.u.attempt.output_tokens = q->world.output_tokens;
	sim_step(s, q->instance, &e);
}

/* The instance learns that an attempt ended without an answer. */
void
traffic_failed(struct sim *s, uint32_t i)
{
	struct attempt *t = attempt_at(s, i);
	struct cf_event e = attempt_event(t, CF_EV_FAILED);

	e.u.attempt.error = ERR_UPSTREAM;
	e.u.attempt.run_state = ERR_MAY_HAVE_RUN;
	e.u.attempt.server_crashed = true;
	t->over = true;
	sim_step(s, request_at(s, t->request)->instance, &e);
}

static void
rate_later(struct sim *s, const struct request *q, const struct attempt *t,
    enum cf_place place)
{
	struct rating *r = row_add(&s->ratings);

	r->rating.workspace = q->world.workspace;
	r->rating.version = t->version;
	r->rating.task_class = q->world.task_class;
	r->rating.place = place;
	r->rating.passed = t->passed;
	sim_later(s,
	    1e6 * (RATING_LAG_LOW_S + (RATING_LAG_HIGH_S - RATING_LAG_LOW_S) *
					  rng_unit(&s->rng)),
	    AT_RATING, (uint32_t)s->ratings.count - 1);
}

/* The caller has the answer of one attempt. */
void
traffic_answer(struct sim *s, const struct cf_action *a)
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
		tally_add(&s->first_token, first_ms);
		in_time = first_ms <= FIRST_TOKEN_DUE_MS;
	} else {
		tally_add(&s->whole, whole_ms);
		in_time = whole_ms <= WHOLE_DUE_MS;
	}
	if (in_time) {
		r->in_time++;
		r->useful_slot_s += q->slot_s;
	}
	if (rng_unit(&s->rng) < RATED)
		rate_later(s, q, t, a->place);
}

void
traffic_refuse(struct sim *s, const struct cf_action *a)
{
	s->result->refused++;
	if (request_at(s, a->request)->crasher && a->error != ERR_CRASHES)
		sim_later(s, RESEND_US, AT_CRASHER, a->request);
}

void
traffic_cancel(struct sim *s, const struct cf_action *a)
{
	uint32_t i =
	    request_at(s, a->request)->attempts[a->attempt % CF_ATTEMPTS_MAX];
	struct attempt *t = attempt_at(s, i);

	if (t->over)
		return;
	t->over = true;
	server_end(&s->servers[t->server], i);
	start_next(s, t->server);
}

/* A rating reaches every instance. */
void
traffic_rating(struct sim *s, uint32_t i)
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
