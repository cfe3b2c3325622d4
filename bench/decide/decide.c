#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/rng.h"
#include "celeryford.h"

/*
 * Measures the routing decisions a second of one core.  Requests of random
 * workspaces are dispatched, get their first token and are answered, with load
 * reports in between.  An arrival rate above the capacity of the servers' slots
 * shows the cost of a full queue.  The same seed gives the same events.
 */
enum {
	DECIDE_VERSIONS = 26,
	DECIDE_SERVERS = 146,
	DECIDE_WORKSPACES = 10,
	DECIDE_REQUESTS_MAX = 4096
};

struct decide_options {
	uint64_t seed;
	uint32_t requests;
	uint32_t hold_us; /* virtual duration of an attempt */
	uint32_t step_us; /* virtual time between two arrivals */
	uint32_t sessions_permille; /* of the requests */
	uint32_t prefixes; /* of a prompt */
	uint32_t slots; /* of each server */
};

/* A dispatched attempt that has not ended. */
struct decide_attempt {
	uint32_t id; /* of the request */
	uint8_t attempt;
	int64_t started_us;
};

struct decide {
	struct decide_options options;
	struct cf_router *router;
	struct cf_actions actions;
	struct rng rng;
	struct cfg cfg;
	struct cfg_data_centre data_centre;
	struct cfg_version versions[DECIDE_VERSIONS];
	struct cfg_model models[DECIDE_VERSIONS];
	struct cfg_workspace workspaces[DECIDE_WORKSPACES];
	struct decide_attempt *attempts; /* ring in order of dispatch */
	uint32_t attempt_count;
	uint32_t first_attempt;
	uint64_t dispatches;
	uint64_t refusals;
	uint64_t allocations; /* of the router while requests run */
	int64_t now_us; /* virtual */
};

static void *
decide_resize(void *ctx, void *block, size_t size)
{
	struct decide *d = ctx;

	d->allocations++;
	return realloc(block, size);
}

static void
decide_release(void *ctx, void *block)
{
	(void)ctx;
	free(block);
}

static void
decide_configure(struct decide *d)
{
	uint32_t i;

	d->data_centre.present = true;
	for (i = 0; i < DECIDE_VERSIONS; i++) {
		d->models[i].present = true;
		d->versions[i].present = true;
		d->versions[i].model = (uint16_t)(i / 2);
		d->versions[i].cost_micro = i + 1;
		d->versions[i].prior_permille = (uint16_t)(800 + 7 * i);
		d->versions[i].unrated_max = 1000;
	}
	d->versions[DECIDE_VERSIONS - 1].state = CFG_ROLLING;
	d->versions[DECIDE_VERSIONS - 1].stage_permille = 50;
	for (i = 0; i < DECIDE_WORKSPACES; i++) {
		d->workspaces[i].present = true;
		d->workspaces[i].versions =
		    (UINT64_C(1) << DECIDE_VERSIONS) - 1;
		d->workspaces[i].data_centres = 1;
		d->workspaces[i].weight = (uint16_t)(i + 1);
		d->workspaces[i].target_permille = (uint16_t)(800 + 15 * i);
		d->workspaces[i].deadline_ms = 1500;
		d->workspaces[i].retry_permille = 100;
	}
	d->cfg.revision = 1;
	d->cfg.data_centre_count = 1;
	d->cfg.data_centres = &d->data_centre;
	d->cfg.version_count = DECIDE_VERSIONS;
	d->cfg.versions = d->versions;
	d->cfg.model_count = DECIDE_VERSIONS / 2;
	d->cfg.models = d->models;
	d->cfg.workspace_count = DECIDE_WORKSPACES;
	d->cfg.workspaces = d->workspaces;
}

/* Passes an event to the router and records dispatches and refusals. */
static void
decide_step(struct decide *d, const struct cf_event *event)
{
	struct decide_attempt *o;
	size_t i;

	cf_router_step(d->router, d->now_us, event, &d->actions);
	for (i = 0; i < d->actions.count; i++) {
		if (d->actions.items[i].kind == CF_ACT_REFUSE)
			d->refusals++;
		if (d->actions.items[i].kind != CF_ACT_DISPATCH)
			continue;
		d->dispatches++;
		o = &d->attempts[(d->first_attempt + d->attempt_count++) %
				 DECIDE_REQUESTS_MAX];
		o->id = d->actions.items[i].request;
		o->attempt = d->actions.items[i].attempt;
		o->started_us = d->now_us;
	}
}

/* Reports a warm server's versions and load to the router. */
static void
decide_announce(struct decide *d, uint16_t server)
{
	struct cf_event ev = {.kind = CF_EV_ANNOUNCE};
	struct cf_announce *a = &ev.u.announce;
	uint32_t first = server * 3u % DECIDE_VERSIONS;
	uint32_t i;

	a->server = server;
	a->incarnation = 1;
	for (i = 0; i < 4; i++)
		a->versions |= UINT64_C(1) << (first + i) % DECIDE_VERSIONS;
	a->warmth = CF_WARM;
	a->slots = (uint16_t)d->options.slots;
	a->cold_slots = 1;
	a->running = cf_router_in_flight(d->router, server);
	a->reported_us = d->now_us;
	a->token_us = 20000;
	decide_step(d, &ev);
}

static void
decide_request(struct decide *d, uint32_t id)
{
	struct cf_event ev = {.kind = CF_EV_REQUEST};
	struct cf_request *q = &ev.u.request;
	uint32_t i;

	q->id = id;
	q->workspace = (uint16_t)rng_below(&d->rng, DECIDE_WORKSPACES);
	q->model = CFG_NONE;
	q->version = CFG_NONE;
	q->task_class = (uint16_t)rng_below(&d->rng, 4);
	q->fingerprint = rng_u64(&d->rng);
	q->prompt_tokens = 500 + rng_below(&d->rng, 3000);
	if (rng_below(&d->rng, 1000) < d->options.sessions_permille)
		q->session = 1 + rng_below(&d->rng, 20000);
	for (i = 0; i < d->options.prefixes; i++)
		q->prefixes[q->prefix_count++] =
		    ((uint64_t)i << 32) + rng_below(&d->rng, 2000) + 1;
	decide_step(d, &ev);
}

/* Reports the first token and the end of the oldest attempt. */
static void
decide_finish_oldest(struct decide *d)
{
	struct decide_attempt *o = &d->attempts[d->first_attempt];
	struct cf_event ev = {.kind = CF_EV_FIRST_TOKEN};

	d->first_attempt = (d->first_attempt + 1) % DECIDE_REQUESTS_MAX;
	d->attempt_count--;
	ev.u.attempt.request = o->id;
	ev.u.attempt.attempt = o->attempt;
	ev.u.attempt.score_permille = 0xffff;
	decide_step(d, &ev);
	ev.kind = CF_EV_DONE;
	ev.u.attempt.output_tokens = 300;
	decide_step(d, &ev);
}

static void
decide_run(struct decide *d)
{
	struct cf_event ev = {.kind = CF_EV_CONFIG};
	uint32_t i;

	ev.u.config = &d->cfg;
	decide_step(d, &ev);
	for (i = 0; i < DECIDE_SERVERS; i++)
		decide_announce(d, (uint16_t)i);
	d->allocations = 0;
	for (i = 0; i < d->options.requests; i++) {
		d->now_us += d->options.step_us;
		if (i % 4 == 0)
			decide_announce(d, (uint16_t)(i / 4 % DECIDE_SERVERS));
		decide_request(d, i + 1);
		while (d->attempt_count > 0 &&
		       d->now_us - d->attempts[d->first_attempt].started_us >=
			   d->options.hold_us)
			decide_finish_oldest(d);
	}
}

static int64_t
decide_cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

static const struct argp_option decide_argp_options[] = {
    {"seed", 's', "N", 0, "random seed (1)", 0},
    {"requests", 'n', "N", 0, "requests (1000000)", 0},
    {"hold-us", 'o', "N", 0, "virtual time of an attempt (200000)", 0},
    {"step-us", 't', "N", 0, "virtual time between arrivals (200)", 0},
    {"sessions", 'k', "N", 0, "thousandths with a session (300)", 0},
    {"slots", 'l', "N", 0, "slots of each server (16)", 0},
    {"prefixes", 'p', "N", 0, "prefixes of a prompt, 0 to 8 (4)", 0},
    {0},
};

static error_t
decide_parse_option(int key, char *arg, struct argp_state *state)
{
	struct decide_options *o = state->input;
	uint32_t *value;

	switch (key) {
	case 's':
		o->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'n':
		value = &o->requests;
		break;
	case 'o':
		value = &o->hold_us;
		break;
	case 't':
		value = &o->step_us;
		break;
	case 'k':
		value = &o->sessions_permille;
		break;
	case 'l':
		value = &o->slots;
		break;
	case 'p':
		value = &o->prefixes;
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	*value = (uint32_t)strtoul(arg, NULL, 10);
	if (o->prefixes > CF_PREFIXES_MAX || o->slots > 24)
		argp_error(state, "%s is out of range", arg);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {decide_argp_options,
	    decide_parse_option, NULL,
	    "Measures routing decisions a second on one core.", NULL, NULL,
	    NULL};
	static struct decide d;
	struct alloc alloc = {decide_resize, decide_release, &d};
	struct cf_router_options options = {.alloc = &alloc,
	    .max_servers = DECIDE_SERVERS,
	    .max_requests = DECIDE_REQUESTS_MAX,
	    .max_sessions = 16384};
	int64_t cpu_ns;

	d.options =
	    (struct decide_options){1, 1000000, 200000, 200, 300, 4, 16};
	argp_parse(&argp, argc, argv, 0, NULL, &d.options);
	options.seed = d.options.seed;
	rng_init(&d.rng, d.options.seed + 1);
	d.now_us = 1000000;
	d.attempts = calloc(DECIDE_REQUESTS_MAX, sizeof(*d.attempts));
	decide_configure(&d);
	d.router = cf_router_new(&options);
	cpu_ns = decide_cpu_ns();
	decide_run(&d);
	cpu_ns = decide_cpu_ns() - cpu_ns;
	printf("requests %" PRIu32 " dispatched %" PRIu64 " refused %" PRIu64
	       " allocations %" PRIu64 "\n",
	    d.options.requests, d.dispatches, d.refusals, d.allocations);
	printf("processor time %.3f s, %.0f decisions/s a core, %.0f ns each\n",
	    (double)cpu_ns / 1e9,
	    (double)(d.dispatches + d.refusals) * 1e9 / (double)cpu_ns,
	    (double)cpu_ns / (double)(d.dispatches + d.refusals));
	cf_router_free(d.router);
	free(d.attempts);
	return 0;
}
