#include <string.h>

#include "policy/state.h"

/*
 * Load reports, configuration changes, evidence exchanged between instances,
 * and the faults of a scenario.
 */

#define REPORT_INTERVAL_US 1e6
#define GRANTER_ROUND_TRIP_US 500 /* instance to granter and back */
#define OPERATOR_RETURN_DELAY_US (60 * INT64_C(1000000))
#define CONFIG_INTERVAL_US 1e6 /* until a change applies on every instance */

enum {
	DATA_CENTRE_OUT = 1,
	DIGESTS_MAX = WORLD_VERSIONS
};

enum step {
	STEP_DEGRADE_VERSION, /* the pass probability of drop_version falls */
	STEP_START_ROLLOUT, /* of the new version */
	STEP_WIDEN_STAGE, /* of the roll-out of the new version */
	STEP_RELEASE,
	STEP_BALANCER_AVOIDS, /* new requests avoid the data centre */
	STEP_TAKE_CENTRE_OUT, /* by a configuration change */
	STEP_BRING_CENTRE_BACK,
	STEP_RESTART_COLD /* every third server */
};

/* Delivers the current configuration to every instance. */
static void
deliver_config(struct sim *s)
{
	struct cf_event e;
	uint32_t n;

	memset(&e, 0, sizeof(e));
	e.kind = CF_EV_CONFIG;
	e.u.config = s->cfg;
	for (n = 0; n < WORLD_INSTANCES; n++)
		sim_step(s, n, &e);
}

/*
 * Replaces the configuration by a copy with the next revision, which the caller
 * may change.  The revision before it stays valid until the next call.
 */
static void
begin_config_revision(struct sim *s)
{
	struct cfg *next = world_cfg_new(s->options->user);

	next->revision = s->cfg->revision + 1;
	memcpy(next->versions, s->cfg->versions,
	    WORLD_VERSIONS * sizeof(*next->versions));
	memcpy(next->data_centres, s->cfg->data_centres,
	    WORLD_DATA_CENTRES * sizeof(*next->data_centres));
	if (s->previous_cfg != NULL)
		world_cfg_free(s->previous_cfg);
	s->previous_cfg = s->cfg;
	s->cfg = next;
}

static void
set_version_state(struct sim *s, uint16_t version, enum cfg_version_state state,
    uint16_t stage_permille)
{
	begin_config_revision(s);
	s->cfg->versions[version].state = state;
	s->cfg->versions[version].stage_permille = stage_permille;
	deliver_config(s);
}

/* Schedules a step at a part of the run, 0 to 1. */
static void
schedule_step(struct sim *s, double part, enum step step)
{
	event_queue_add(&s->event_queue, (int64_t)(part * (double)s->end_us),
	    SIM_EV_SCENARIO_STEP, step);
}

/* Delivers the first configuration and schedules the scenario's steps. */
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
	deliver_config(s);
	for (i = 0; i < s->servers_per_centre * WORLD_DATA_CENTRES; i++)
		faults_measure_load(s, i);
	if (sc->drop_version < WORLD_VERSIONS)
		schedule_step(s, 0.4, STEP_DEGRADE_VERSION);
	if (sc->rolling_from < 1)
		schedule_step(s, sc->rolling_from, STEP_START_ROLLOUT);
	if (sc->roll_outs > 0) {
		schedule_step(s, 0.35, STEP_WIDEN_STAGE);
		schedule_step(s, 0.6, STEP_RELEASE);
	}
	if (sc->data_centre_out) {
		schedule_step(s, 0.3, STEP_TAKE_CENTRE_OUT);
		schedule_step(s, 0.3, STEP_BALANCER_AVOIDS);
		schedule_step(s, 0.6, STEP_BRING_CENTRE_BACK);
	}
	if (sc->cold_restart)
		schedule_step(s, 0.5, STEP_RESTART_COLD);
}

/* Measures a server's load; the report arrives after the scenario's lag. */
void
faults_measure_load(struct sim *s, uint16_t server)
{
	const struct server_fake *f = &s->servers[server];
	struct report *r;
	struct cf_announce *a;

	sim_schedule(s, REPORT_INTERVAL_US, SIM_EV_MEASURE_LOAD, server);
	if (s->now_us < f->down_until_us)
		return;
	r = sim_array_add(&s->reports);
	r->data_centre = server / s->servers_per_centre;
	a = &r->announce;
	a->server = server % s->servers_per_centre;
	a->incarnation = f->incarnation;
	a->versions = (1 << WORLD_VERSIONS) - 1;
	a->warmth = s->now_us < f->cold_until_us ? CF_COLD : CF_WARM;
	a->slots = SERVER_SLOTS;
	a->cold_slots = SERVER_COLD_SLOTS;
	a->running = f->running;
	a->queued = (uint16_t)f->queued;
	a->reported_us = s->now_us;
	sim_schedule(s,
	    s->now_us == 0 ? 0 : s->options->scenario->report_lag_s * 1e6,
	    SIM_EV_REPORT, (uint32_t)s->reports.count - 1);
}

/* Delivers report i to the granter and the instances of its data centre. */
void
faults_deliver_report(struct sim *s, uint32_t i)
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

/*
 * Crashes a server, which is down for down_us and then starts cold.  Its
 * running and queued attempts fail.
 */
void
faults_crash_server(struct sim *s, uint16_t server, int64_t down_us)
{
	static uint32_t lost[SERVER_QUEUE_MAX + SERVER_SLOTS];
	uint32_t n, i;

	n = server_restart_cold(&s->servers[server], s->now_us, down_us, lost,
	    sizeof(lost) / sizeof(lost[0]));
	for (i = 0; i < n; i++) {
		if (attempt_at(s, lost[i])->finished)
			continue;
		attempt_at(s, lost[i])->finished = true;
		sim_schedule(s, s->options->user->network_us / 2, SIM_EV_FAILED,
		    lost[i]);
	}
}

/* Returns the roll-out state of an instance's policy, or NULL. */
static struct rollout *
rollout_of(struct sim *s, uint32_t instance)
{
	struct policy *p = s->policies[instance];

	return p->vtable->get_rollout != NULL ? p->vtable->get_rollout(p)
					      : NULL;
}

static void
send_digest_to_others(
    struct sim *s, uint32_t from, const struct cf_digest *digest)
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

/* Sends the digests of each instance to all others. */
static void
exchange_digests(struct sim *s)
{
	struct cf_digest digests[DIGESTS_MAX];
	struct policy *p;
	uint32_t a;
	size_t n, i;

	for (a = 0; a < WORLD_INSTANCES; a++) {
		p = s->policies[a];
		n = p->vtable->digests(p, digests, DIGESTS_MAX);
		for (i = 0; i < n; i++)
			send_digest_to_others(s, a, &digests[i]);
	}
}

/*
 * Withdraws a version that an instance's sequential test has stopped.  If the
 * version isn't the degraded one, this is a false stop, and an operator returns
 * the version later.
 */
void
faults_withdraw_version(struct sim *s, uint16_t version)
{
	const struct scenario *sc = s->options->scenario;

	if (s->cfg->versions[version].state == CFG_WITHDRAWN)
		return;
	if (version == sc->drop_version && s->degraded_at_us > 0) {
		s->result->stopped_after_s =
		    (double)(s->now_us - s->degraded_at_us) / 1e6;
	} else {
		s->result->false_stops++;
		s->version_returns_at_us[version] =
		    s->now_us + OPERATOR_RETURN_DELAY_US;
	}
	set_version_state(s, version, CFG_WITHDRAWN, 0);
}

/* Counts new holds and notes the versions that an instance has stopped. */
static void
record_held_versions(struct sim *s)
{
	bool held;
	uint32_t v, n;

	for (v = 0; v < WORLD_VERSIONS; v++) {
		held = false;
		for (n = 0; n < WORLD_INSTANCES; n++) {
			if (rollout_of(s, n) == NULL)
				break;
			held |= rollout_verdict(rollout_of(s, n), v) ==
				ROLLOUT_HELD;
			s->stopped[v] |=
			    rollout_is_stopped(rollout_of(s, n), v);
		}
		if (held && !s->held[v])
			s->result->holds++;
		s->held[v] = held;
	}
}

/*
 * Runs once a second: exchanges digests, returns versions that were withdrawn
 * by a false stop, and withdraws stopped ones.
 */
void
faults_run_second(struct sim *s)
{
	uint32_t v;

	sim_schedule(s, CONFIG_INTERVAL_US, SIM_EV_SECOND, 0);
	if (s->options->digests)
		exchange_digests(s);
	for (v = 0; v < WORLD_VERSIONS; v++)
		if (s->version_returns_at_us[v] > 0 &&
		    s->now_us >= s->version_returns_at_us[v]) {
			s->version_returns_at_us[v] = 0;
			set_version_state(s, v,
			    v == WORLD_NEW ? CFG_ROLLING : CFG_RELEASED, 100);
		}
	for (v = 0; v < WORLD_VERSIONS; v++)
		if (s->stopped[v]) {
			s->stopped[v] = false;
			faults_withdraw_version(s, v);
		}
	record_held_versions(s);
	for (v = 0; v < WORLD_VERSIONS; v++)
		if (s->cfg->versions[v].state == CFG_WITHDRAWN)
			s->stopped[v] = false;
}

static void
restart_every_third_server(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->servers_per_centre * WORLD_DATA_CENTRES; i += 3)
		faults_crash_server(s, i, 0);
}

static void
set_data_centre_out(struct sim *s, bool out)
{
	begin_config_revision(s);
	s->cfg->data_centres[DATA_CENTRE_OUT].out = out;
	deliver_config(s);
}

/* Executes one step of the scenario. */
void
faults_run_step(struct sim *s, uint32_t step)
{
	const struct scenario *sc = s->options->scenario;

	switch ((enum step)step) {
	case STEP_DEGRADE_VERSION:
		s->degraded_at_us = s->now_us;
		s->world.drop[sc->drop_version] = sc->drop;
		break;
	case STEP_START_ROLLOUT:
		set_version_state(s, WORLD_NEW, CFG_ROLLING, 50);
		break;
	case STEP_WIDEN_STAGE:
		set_version_state(s, WORLD_NEW, CFG_ROLLING, 200);
		break;
	case STEP_RELEASE:
		set_version_state(s, WORLD_NEW, CFG_RELEASED, 0);
		break;
	case STEP_BALANCER_AVOIDS:
		s->balancer_avoids = true;
		break;
	case STEP_TAKE_CENTRE_OUT:
		set_data_centre_out(s, true);
		break;
	case STEP_BRING_CENTRE_BACK:
		set_data_centre_out(s, false);
		s->balancer_avoids = false;
		break;
	case STEP_RESTART_COLD:
		restart_every_third_server(s);
		break;
	}
}

/*
 * Leases warm-up credits from the data centre's granter.  The answer arrives
 * after GRANTER_ROUND_TRIP_US; without a lease it has no credits.
 */
void
faults_lease_credits(
    struct sim *s, uint16_t instance, const struct cf_action *a)
{
	struct granter_lease lease = {0, 0, 0};
	struct credit *c = sim_array_add(&s->credits);

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
	sim_schedule(s, GRANTER_ROUND_TRIP_US, SIM_EV_CREDIT,
	    (uint32_t)s->credits.count - 1);
}

/* Delivers the granter's answer i to the instance that asked. */
void
faults_deliver_credit(struct sim *s, uint32_t i)
{
	struct credit c = ((struct credit *)s->credits.items)[i];

	sim_step(s, c.instance, &c.event);
}

/* Sends the crash mark of a suspect request to all other instances. */
void
faults_spread_crash_mark(
    struct sim *s, uint16_t instance, const struct cf_action *a)
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
