#include <stdlib.h>
#include <string.h>

#include "celeryford.h"
#include "slopes.h"

/*
 * The decisions of an entry instance.  Requests are spread over the workspaces;
 * each is dispatched, and gets its first token and its end 200 ms later.  Every
 * server announces itself twice a second.
 */
enum {
	FIRST_TOKEN_DELAY_US = 200000,
	ANNOUNCE_INTERVAL_US = 500000,
	RUN_S = 20,
	RUN_US = RUN_S * 1000000,
	OPEN_MAX = 16384,
	PREFIXES = 4,
	SLOTS = 16
};

struct entry_size {
	uint32_t servers;
	uint32_t versions;
	uint32_t workspaces;
	uint32_t sessions;
	uint32_t rate; /* requests a second */
};

struct entry_open {
	uint32_t id;
	uint8_t attempt;
	int64_t started_us;
};

struct entry_world {
	struct entry_size size;
	struct meter meter;
	struct rng rng;
	struct cf_router *router;
	struct cf_actions actions;
	struct cfg cfg;
	struct cfg_data_centre centre;
	struct cfg_version versions[CFG_VERSIONS_MAX];
	struct cfg_model models[CFG_VERSIONS_MAX];
	struct cfg_workspace *workspaces;
	struct entry_open open[OPEN_MAX];
	uint32_t open_first;
	uint32_t open_count;
	uint64_t dispatched;
	int64_t now_us;
};

/* Builds a configuration of the given size with two versions a model. */
static void
build_config(struct entry_world *w)
{
	struct cfg *c = &w->cfg;

	w->workspaces = calloc(w->size.workspaces, sizeof(*w->workspaces));
	if (w->workspaces == NULL)
		abort();
	w->centre.present = true;
	for (uint32_t i = 0; i < w->size.versions; i++) {
		w->models[i].present = true;
		w->versions[i] = (struct cfg_version){.present = true,
		    .model = (uint16_t)(i / 2),
		    .cost_micro = i + 1,
		    .prior_permille = (uint16_t)(800 + 3 * i),
		    .unrated_max = 1000};
	}
	for (uint32_t i = 0; i < w->size.workspaces; i++)
		w->workspaces[i] = (struct cfg_workspace){.present = true,
		    .versions = w->size.versions == 64
				    ? UINT64_MAX
				    : (UINT64_C(1) << w->size.versions) - 1,
		    .data_centres = 1,
		    .weight = (uint16_t)(i % 10 + 1),
		    .target_permille = (uint16_t)(800 + i % 10 * 15),
		    .deadline_ms = 1500,
		    .retry_permille = 100};
	*c = (struct cfg){.revision = 1,
	    .data_centre_count = 1,
	    .data_centres = &w->centre,
	    .model_count = (uint16_t)(w->size.versions / 2),
	    .models = w->models,
	    .version_count = (uint16_t)w->size.versions,
	    .versions = w->versions,
	    .workspace_count = (uint16_t)w->size.workspaces,
	    .workspaces = w->workspaces};
}

/* Steps the router and queues the attempts that it dispatches. */
static void
step_router(struct entry_world *w, const struct cf_event *event)
{
	cf_router_step(w->router, w->now_us, event, &w->actions);
	for (size_t i = 0; i < w->actions.count; i++) {
		const struct cf_action *a = &w->actions.items[i];

		if (a->kind != CF_ACT_DISPATCH || w->open_count == OPEN_MAX)
			continue;
		w->dispatched++;
		w->open[(w->open_first + w->open_count++) % OPEN_MAX] =
		    (struct entry_open){a->request, a->attempt, w->now_us};
	}
}

/* Announces a warm server with four of the versions. */
static void
announce_server(struct entry_world *w, uint16_t server)
{
	struct cf_event ev = {.kind = CF_EV_ANNOUNCE};
	struct cf_announce *a = &ev.u.announce;

	*a = (struct cf_announce){.server = server,
	    .incarnation = 1,
	    .warmth = CF_WARM,
	    .slots = SLOTS,
	    .cold_slots = 1,
	    .running = cf_router_in_flight(w->router, server),
	    .reported_us = w->now_us,
	    .token_us = 20000};
	for (uint32_t i = 0; i < 4; i++)
		a->versions |= UINT64_C(1)
			       << (server * 3u + i) % w->size.versions;
	step_router(w, &ev);
}

/* Sends a random request to the router; 30% of them have a session. */
static void
send_request(struct entry_world *w, uint32_t id)
{
	struct cf_event ev = {.kind = CF_EV_REQUEST};
	struct cf_request *q = &ev.u.request;

	q->id = id;
	q->workspace = (uint16_t)rng_below(&w->rng, w->size.workspaces);
	q->model = CFG_NONE;
	q->version = CFG_NONE;
	q->task_class = (uint16_t)rng_below(&w->rng, 4);
	q->fingerprint = rng_u64(&w->rng);
	q->prompt_tokens = 500 + rng_below(&w->rng, 3000);
	if (rng_below(&w->rng, 1000) < 300)
		q->session = 1 + rng_below(&w->rng, w->size.sessions);
	for (uint32_t i = 0; i < PREFIXES; i++)
		q->prefixes[q->prefix_count++] =
		    ((uint64_t)i << 32) + rng_below(&w->rng, 2000) + 1;
	step_router(w, &ev);
}

/* Reports the first token and the end of the oldest open attempt. */
static void
finish_oldest_request(struct entry_world *w)
{
	struct entry_open *o = &w->open[w->open_first];
	struct cf_event ev = {.kind = CF_EV_FIRST_TOKEN};

	w->open_first = (w->open_first + 1) % OPEN_MAX;
	w->open_count--;
	ev.u.attempt.request = o->id;
	ev.u.attempt.attempt = o->attempt;
	ev.u.attempt.score_permille = 0xffff;
	step_router(w, &ev);
	ev.kind = CF_EV_DONE;
	ev.u.attempt.output_tokens = 300;
	step_router(w, &ev);
}

/*
 * Runs until a virtual time; returns the processor time of the announcements in
 * nanoseconds.
 */
static int64_t
run_until(struct entry_world *w, int64_t until_us)
{
	int64_t step_us = 1000000 / w->size.rate, next_us = w->now_us;
	int64_t used_ns = 0, start_ns;
	uint32_t id = 0;

	while (next_us < until_us) {
		w->now_us = next_us;
		while (w->open_count > 0 &&
		       w->now_us - w->open[w->open_first].started_us >=
			   FIRST_TOKEN_DELAY_US)
			finish_oldest_request(w);
		send_request(w, ++id);
		next_us += step_us;
		if (next_us / ANNOUNCE_INTERVAL_US ==
		    w->now_us / ANNOUNCE_INTERVAL_US)
			continue;
		start_ns = cpu_ns();
		for (uint32_t i = 0; i < w->size.servers; i++)
			announce_server(w, (uint16_t)i);
		used_ns += cpu_ns() - start_ns;
	}
	return used_ns;
}

/* Measures one point over RUN_S seconds of virtual time. */
static void
measure(struct sweep *sweep, double x, struct entry_size size)
{
	static struct entry_world w;
	struct cf_event ev = {.kind = CF_EV_CONFIG};
	struct cf_router_options o = {.alloc = &w.meter.alloc,
	    .seed = 1,
	    .max_servers = (uint16_t)size.servers,
	    .max_requests = OPEN_MAX,
	    .max_sessions = size.sessions};
	struct point *p = sweep_add_point(sweep, x);
	int64_t used_ns, announces_ns;

	memset(&w, 0, sizeof(w));
	w.size = size;
	w.now_us = 1000000;
	meter_init(&w.meter);
	rng_init(&w.rng, 2);
	build_config(&w);
	w.router = cf_router_new(&o);
	ev.u.config = &w.cfg;
	step_router(&w, &ev);
	for (uint32_t i = 0; i < size.servers; i++)
		announce_server(&w, (uint16_t)i);
	used_ns = cpu_ns();
	announces_ns = run_until(&w, w.now_us + RUN_US);
	used_ns = cpu_ns() - used_ns;
	p->value[0] = (double)w.meter.live;
	p->value[1] = (double)used_ns / 1000 / RUN_S;
	p->value[2] = (double)(used_ns - announces_ns) / 1000 /
		      ((double)size.rate * RUN_S);
	p->value[3] = (double)announces_ns / 1000 /
		      ((double)size.servers * RUN_US / ANNOUNCE_INTERVAL_US);
	p->value[4] = (double)w.dispatched / ((double)size.rate * RUN_S);
	cf_router_free(w.router);
	free(w.workspaces);
}

/* Measures decisions by each field of the size in turn. */
void
slopes_entry(void)
{
	static const char names[] = "state_bytes,cpu_us_s,cpu_us_a_request,"
				    "cpu_us_an_announcement,dispatched_share";
	static const struct entry_size full = {146, 26, 30, 65536, 40};
	static const uint32_t servers[] = {36, 73, 146, 200, 256};
	static const uint32_t versions[] = {8, 16, 26, 40, 64};
	static const uint32_t workspaces[] = {10, 30, 100, 300, 1000};
	static const uint32_t sessions[] = {8192, 16384, 32768, 65536};
	static const uint32_t rates[] = {8, 40, 160, 640, 3200};
	struct entry_size size;
	struct sweep *s = sweep_begin("entry", "servers", names);

	for (uint32_t i = 0; i < 5; i++) {
		size = full;
		size.servers = servers[i];
		measure(s, servers[i], size);
	}
	s = sweep_begin("entry", "versions", names);
	for (uint32_t i = 0; i < 5; i++) {
		size = full;
		size.versions = versions[i];
		measure(s, versions[i], size);
	}
	s = sweep_begin("entry", "workspaces", names);
	for (uint32_t i = 0; i < 5; i++) {
		size = full;
		size.workspaces = workspaces[i];
		measure(s, workspaces[i], size);
	}
	s = sweep_begin("entry", "sessions", names);
	for (uint32_t i = 0; i < 4; i++) {
		size = full;
		size.sessions = sessions[i];
		measure(s, sessions[i], size);
	}
	s = sweep_begin("entry", "requests/s", names);
	for (uint32_t i = 0; i < 5; i++) {
		size = full;
		size.rate = rates[i];
		measure(s, rates[i], size);
	}
}
