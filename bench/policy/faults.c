#include <string.h>

#include "policy/state.h"

/* Load reports, configuration, evidence between instances, and faults. */

#define REPORT_US 1e6
#define LOCAL_US 500 /* to the granter and back */
#define OPERATOR_RETURNS_US (60 * INT64_C(1000000))
#define CONFIG_US 1e6 /* until a change is in force everywhere */

enum {
	DATA_CENTRE_OUT = 1,
	DIGESTS_MAX = WORLD_VERSIONS
};

enum step {
	STEP_TURN, /* the version turns bad */
	STEP_ROLL, /* the new version enters its roll-out */
	STEP_WIDEN, /* its stage grows */
	STEP_RELEASE,
	STEP_AVOID, /* the balancer leaves the data centre */
	STEP_OUT, /* the configuration takes it out */
	STEP_RETURN,
	STEP_RESTART /* a third of the servers restarts cold */
};

/* Hands the current configuration to every instance. */
static void
hand_out(struct sim *s)
{
	struct cf_event e;
	uint32_t n;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_CONFIG;
	e.u.config = s->cfg;
	for (n = 0; n < WORLD_INSTANCES; n++)
		sim_step(s, n, &e);
}

/* Makes a copy of the configuration that may be changed. */
static void
new_revision(struct sim *s)
{
	struct cfg *next = world_cfg_new(s->options->user);

	next->revision = s->cfg->revision + 1;
	memcpy(next->versions, s->cfg->versions,
	    WORLD_VERSIONS * sizeof(*next->versions));
	memcpy(next->data_centres, s->cfg->data_centres,
	    WORLD_DATA_CENTRES * sizeof(*next->data_centres));
	if (s->cfg_before != NULL)
		world_cfg_free(s->cfg_before);
	s->cfg_before = s->cfg;
	s->cfg = next;
}

static void
set_state(struct sim *s, uint16_t version, enum cfg_version_state state,
    uint16_t stage_permille)
{
	new_revision(s);
	s->cfg->versions[version].state = state;
	s->cfg->versions[version].stage_permille = stage_permille;
	hand_out(s);
}

static void
plan(struct sim *s, double part, enum step step)
{
	agenda_add(
	    &s->agenda, (int64_t)(part * (double)s->end_us), AT_SCENARIO, step);
}

/* Hands out the first configuration and plans the scenario's steps. */
void
faults_start(struct sim *s)
{
	const struct scenario *sc = s->options->scenario;
	struct cf_event e;
	uint32_t i;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_INSTANCES;
	e.u.instances = WORLD_INSTANCES / WORLD_DATA_CENTRES;
	for (i = 0; i < WORLD_INSTANCES; i++)
		sim_step(s, (uint16_t)i, &e);
	hand_out(s);
	for (i = 0; i < s->per_centre * WORLD_DATA_CENTRES; i++)
		faults_announce(s, i);
	if (sc->drop_version < WORLD_VERSIONS)
		plan(s, 0.4, STEP_TURN);
	if (sc->rolling_from < 1)
		plan(s, sc->rolling_from, STEP_ROLL);
	if (sc->roll_outs > 0) {
		plan(s, 0.35, STEP_WIDEN);
		plan(s, 0.6, STEP_RELEASE);
	}
	if (sc->data_centre_out) {
		plan(s, 0.3, STEP_OUT);
		plan(s, 0.3, STEP_AVOID);
		plan(s, 0.6, STEP_RETURN);
	}
	if (sc->cold_restart)
		plan(s, 0.5, STEP_RESTART);
}

/* A server measures its load; the report arrives after the lag. */
void
faults_announce(struct sim *s, uint16_t server)
{
	const struct server_fake *f = &s->servers[server];
	struct report *r;
	struct cf_announce *a;

	sim_later(s, REPORT_US, AT_ANNOUNCE, server);
	if (s->now_us < f->down_until_us)
		return;
	r = row_add(&s->reports);
	r->data_centre = server / s->per_centre;
	a = &r->announce;
	a->server = server % s->per_centre;
	a->incarnation = f->incarnation;
	a->versions = (1 << WORLD_VERSIONS) - 1;
	a->warmth = s->now_us < f->cold_until_us ? CF_COLD : CF_WARM;
	a->slots = SERVER_SLOTS;
	a->cold_slots = SERVER_COLD_SLOTS;
	a->running = f->running;
	a->queued = (uint16_t)f->queued;
	a->reported_us = s->now_us;
	sim_later(s,
	    s->now_us == 0 ? 0 : s->options->scenario->report_lag_s * 1e6,
	    AT_REPORT, (uint32_t)s->reports.count - 1);
}

void
faults_report(struct sim *s, uint32_t i)
{
	const struct report *r = (struct report *)s->reports.items + i;
	struct cf_event e;
	uint32_t n;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_ANNOUNCE;
	e.u.announce = r->announce;
	granter_update_server(
	    s->granters[r->data_centre], &r->announce, s->now_us);
	for (n = r->data_centre; n < WORLD_INSTANCES; n += WORLD_DATA_CENTRES)
		sim_step(s, n, &e);
}

/* Restarts a server cold; what it ran fails. */
void
faults_crash(struct sim *s, uint16_t server, int64_t down_us)
{
	static uint32_t lost[SERVER_QUEUE + SERVER_SLOTS];
	uint32_t n, i;

	n = server_restart(&s->servers[server], s->now_us, down_us, lost,
	    sizeof(lost) / sizeof(lost[0]));
	for (i = 0; i < n; i++) {
		if (attempt_at(s, lost[i])->over)
			continue;
		attempt_at(s, lost[i])->over = true;
		sim_later(
		    s, s->options->user->network_us / 2, AT_FAILED, lost[i]);
	}
}

static struct rollout *
watch_of(struct sim *s, uint32_t instance)
{
	struct policy *p = s->policies[instance];

	return p->vtable->watch != NULL ? p->vtable->watch(p) : NULL;
}

static void
spread(struct sim *s, uint32_t from, const struct cf_digest *digest)
{
	struct cf_event e;
	uint16_t n;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_DIGEST;
	e.u.digest = *digest;
	for (n = 0; n < (uint16_t)WORLD_INSTANCES; n++)
		if (n != from)
			sim_step(s, n, &e);
}

/* Spreads each instance's quick evidence to the others. */
static void
exchange(struct sim *s)
{
	struct cf_digest digests[DIGESTS_MAX];
	struct policy *p;
	uint32_t a;
	size_t n, i;

	for (a = 0; a < WORLD_INSTANCES; a++) {
		p = s->policies[a];
		n = p->vtable->digests(p, digests, DIGESTS_MAX);
		for (i = 0; i < n; i++)
			spread(s, a, &digests[i]);
	}
}

/* Withdraws a version that an instance's sequential test has stopped. */
void
faults_stop(struct sim *s, uint16_t version)
{
	const struct scenario *sc = s->options->scenario;

	if (s->cfg->versions[version].state == CFG_WITHDRAWN)
		return;
	if (version == sc->drop_version && s->turned_us > 0) {
		s->result->stopped_after_s =
		    (double)(s->now_us - s->turned_us) / 1e6;
	} else {
		s->result->false_stops++;
		s->returns_us[version] = s->now_us + OPERATOR_RETURNS_US;
	}
	set_state(s, version, CFG_WITHDRAWN, 0);
}

static void
look_at_versions(struct sim *s)
{
	bool held;
	uint32_t v, n;

	for (v = 0; v < WORLD_VERSIONS; v++) {
		held = false;
		for (n = 0; n < WORLD_INSTANCES; n++) {
			if (watch_of(s, n) == NULL)
				break;
			held |=
			    rollout_verdict(watch_of(s, n), v) == ROLLOUT_HELD;
			s->stopped[v] |= rollout_is_stopped(watch_of(s, n), v);
		}
		if (held && !s->held[v])
			s->result->holds++;
		s->held[v] = held;
	}
}

/* Each second: evidence, stops, and operators who return a good version. */
void
faults_second(struct sim *s)
{
	uint32_t v;

	sim_later(s, CONFIG_US, AT_SECOND, 0);
	if (s->options->digests)
		exchange(s);
	for (v = 0; v < WORLD_VERSIONS; v++)
		if (s->returns_us[v] > 0 && s->now_us >= s->returns_us[v]) {
			s->returns_us[v] = 0;
			set_state(s, v,
			    v == WORLD_NEW ? CFG_ROLLING : CFG_RELEASED, 100);
		}
	for (v = 0; v < WORLD_VERSIONS; v++)
		if (s->stopped[v]) {
			s->stopped[v] = false;
			faults_stop(s, v);
		}
	look_at_versions(s);
	for (v = 0; v < WORLD_VERSIONS; v++)
		if (s->cfg->versions[v].state == CFG_WITHDRAWN)
			s->stopped[v] = false;
}

static void
restart_third(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->per_centre * WORLD_DATA_CENTRES; i += 3)
		faults_crash(s, i, 0);
}

static void
take_out(struct sim *s, bool out)
{
	new_revision(s);
	s->cfg->data_centres[DATA_CENTRE_OUT].out = out;
	hand_out(s);
}

/* Carries out one step of the scenario. */
void
faults_step(struct sim *s, uint32_t step)
{
	const struct scenario *sc = s->options->scenario;

	switch ((enum step)step) {
	case STEP_TURN:
		s->turned_us = s->now_us;
		s->world.drop[sc->drop_version] = sc->drop;
		break;
	case STEP_ROLL:
		set_state(s, WORLD_NEW, CFG_ROLLING, 50);
		break;
	case STEP_WIDEN:
		set_state(s, WORLD_NEW, CFG_ROLLING, 200);
		break;
	case STEP_RELEASE:
		set_state(s, WORLD_NEW, CFG_RELEASED, 0);
		break;
	case STEP_AVOID:
		s->balancer_avoids = true;
		break;
	case STEP_OUT:
		take_out(s, true);
		break;
	case STEP_RETURN:
		take_out(s, false);
		s->balancer_avoids = false;
		break;
	case STEP_RESTART:
		restart_third(s);
		break;
	}
}

/* The granter of the data centre answers an ask for warm-up credits. */
void
faults_credit_ask(struct sim *s, uint16_t instance, const struct cf_action *a)
{
	struct granter_lease lease = {0, 0, 0};
	struct credit *c = row_add(&s->credits);

	if (!granter_lease_credits(s->granters[instance % WORLD_DATA_CENTRES],
		instance / WORLD_DATA_CENTRES, a->server, a->key, a->count,
		s->now_us, &lease))
		lease.incarnation = a->key;
	c->instance = instance;
	c->event.kind = CF_EV_CREDIT;
	c->event.u.credit.server = a->server;
	c->event.u.credit.incarnation = lease.incarnation;
	c->event.u.credit.credits = lease.credits;
	c->event.u.credit.until_us = lease.until_us;
	sim_later(s, LOCAL_US, AT_CREDIT, (uint32_t)s->credits.count - 1);
}

void
faults_credit(struct sim *s, uint32_t i)
{
	struct credit c = ((struct credit *)s->credits.items)[i];

	sim_step(s, c.instance, &c.event);
}

/* Tells the data centre's other instances of a request under a crash. */
void
faults_mark(struct sim *s, uint16_t instance, const struct cf_action *a)
{
	struct cf_event e;
	uint32_t n;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_CRASH_MARK;
	e.u.crash_mark.fingerprint = a->key;
	e.u.crash_mark.crashes = (uint8_t)a->count;
	for (n = 0; n < WORLD_INSTANCES; n++)
		if (n != instance)
			sim_step(s, (uint16_t)n, &e);
}
