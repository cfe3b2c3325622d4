#include "core/router.h"

#define UPKEEP_SWEEP_US INT64_C(100000)
#define UPKEEP_ASK_US INT64_C(200000) /* between asks for one server */
#define UPKEEP_RENEW_US INT64_C(2000000) /* before the end of a lease */
#define UPKEEP_CRASH_US INT64_C(2000000) /* failures just before count too */

enum {
	UPKEEP_BATCH_MAX = 256 /* fingerprints told apart in one crash */
};

/* Whether an attempt may have been under way when its server crashed. */
static bool
upkeep_was_aboard(const struct cf_router *r, const struct attempt *t,
    uint16_t server, uint64_t incarnation)
{
	if (t->server != server || t->incarnation != incarnation ||
	    t->crash_counted)
		return false;
	return t->state == ATTEMPT_RUNNING ||
	       (t->state == ATTEMPT_FAILED && t->run_state != ERR_NOT_RUN &&
		   r->now_us - t->ended_us < UPKEEP_CRASH_US);
}

static bool
upkeep_seen(const uint64_t *seen, uint32_t count, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (seen[i] == fingerprint)
			return true;
	return false;
}

/*
 * Marks every request that ran on a server when it crashed.  Copies of one
 * request count once for each crash, however often the crash is reported.
 */
void
upkeep_crash(struct cf_router *r, uint16_t server)
{
	struct fl_server *s = fl_server(r->fl, server);
	uint64_t seen[UPKEEP_BATCH_MAX];
	uint32_t count = 0;
	struct request *q;
	uint32_t i;
	uint8_t k;

	if (s == NULL)
		return;
	for (i = 0; i < r->options.max_requests; i++) {
		q = &r->requests[i];
		if (q->state == REQUEST_FREE || q->asked.fingerprint == 0)
			continue;
		for (k = 0; k < q->attempt_count; k++) {
			if (!upkeep_was_aboard(r, &q->attempts[k], server,
				s->said.incarnation))
				continue;
			q->attempts[k].crash_counted = true;
			if (upkeep_seen(seen, count, q->asked.fingerprint))
				continue;
			if (count < UPKEEP_BATCH_MAX)
				seen[count++] = q->asked.fingerprint;
			marks_add(r->marks, q->asked.fingerprint, r->now_us);
		}
	}
}

static void
upkeep_tell_marks(struct cf_router *r)
{
	struct cf_action *a;
	uint64_t fingerprint;
	uint8_t crashes;

	while (router_room(r) &&
	       marks_next_news(r->marks, &fingerprint, &crashes)) {
		a = router_act(r, CF_ACT_CRASH_MARK);
		a->key = fingerprint;
		a->count = crashes;
	}
}

static void
upkeep_credit_act(struct cf_router *r, uint16_t server,
    enum cf_action_kind kind, uint16_t count)
{
	struct cf_action *a = router_act(r, kind);

	a->server = server;
	a->key = fl_server(r->fl, server)->said.incarnation;
	a->count = count;
}

static void
upkeep_send_ask(struct cf_router *r, uint16_t server, uint16_t wanted)
{
	struct fl_server *s = fl_server(r->fl, server);

	s->asked_us = r->now_us;
	s->asks_open++;
	upkeep_credit_act(r, server, CF_ACT_CREDIT_ASK, wanted);
}

/* Asks for one credit more than a cold server's attempts need now. */
void
upkeep_ask(struct cf_router *r, uint16_t server)
{
	struct fl_server *s = fl_server(r->fl, server);
	uint16_t wanted = s->in_flight + 1;

	if (s->asked_us != 0 && r->now_us - s->asked_us < UPKEEP_ASK_US)
		return;
	if (wanted > s->said.cold_slots)
		wanted = s->said.cold_slots;
	if (wanted == 0 || !router_room(r))
		return;
	upkeep_send_ask(r, server, wanted);
}

/* Whether a server's credits are to be renewed or given back now. */
static bool
upkeep_credits_due(struct cf_router *r, struct fl_server *s)
{
	if (s->credits_until_us <= r->now_us ||
	    s->credits_incarnation != s->said.incarnation)
		s->credits = 0;
	return s->credits > 0 &&
	       s->credits_until_us - r->now_us <= UPKEEP_RENEW_US &&
	       r->now_us - s->asked_us >= UPKEEP_ASK_US;
}

/*
 * Renews the credits that are in use and gives the others back.  While an ask
 * is out nothing is given back, since its answer would cross the return; such
 * credits end with their lease.
 */
static void
upkeep_credits(struct cf_router *r)
{
	struct fl_server *s;
	uint16_t i;

	for (i = 0; i < fl_end(r->fl) && router_room(r); i++) {
		s = fl_server(r->fl, i);
		if (s->credits == 0 || !upkeep_credits_due(r, s))
			continue;
		if (s->in_flight > 0 || s->credits_used) {
			upkeep_send_ask(r, i, s->credits);
		} else if (s->asks_open == 0) {
			upkeep_credit_act(r, i, CF_ACT_CREDIT_GIVE, s->credits);
			s->credits = 0;
		}
	}
}

/*
 * Looks at one waiting request: sends it on its way if it can go, refuses it
 * if it may no longer run.  server is CF_NO_SERVER when any will do.
 */
static void
upkeep_try(struct cf_router *r, struct request *q, uint16_t server)
{
	if (request_convicted(r, q->asked.fingerprint)) {
		request_refuse(r, q, ERR_CRASHES, CF_WHY_CRASHES, 0);
		return;
	}
	if (!place_choose(r, q)) {
		request_refuse(r, q, ERR_FORBIDDEN, CF_WHY_NOT_ALLOWED, 0);
		return;
	}
	if (server != CF_NO_SERVER)
		place_on(r, q, server);
	else if (place_local(r, q, PLACE_IN_TURN) != PLACE_DONE)
		place_forward(r, q);
}

/* Whether a waiting request could run on a server as it chose. */
static bool
upkeep_wanted_by(
    const struct cf_router *r, const struct request *q, uint16_t server)
{
	const struct fl_server *s = fl_server(r->fl, server);

	return (q->wants &
		   (q->asked.kind == CF_SERVICE ? s->listed_services
						: s->listed_versions)) != 0;
}

static void
upkeep_walk(struct cf_router *r, uint16_t server)
{
	int64_t slot;

	queue_turn_start(r->queue);
	while ((slot = queue_turn_next(r->queue)) != QUEUE_NONE) {
		if (!router_room(r))
			return;
		if (server != CF_NO_SERVER &&
		    !fl_open(r->fl, server, r->now_us))
			return;
		if (server != CF_NO_SERVER &&
		    !upkeep_wanted_by(r, &r->requests[slot], server))
			continue;
		upkeep_try(r, &r->requests[slot], server);
	}
}

/* Gives waiting requests the room that one server has. */
void
upkeep_drain_server(struct cf_router *r, uint16_t server)
{
	const struct fl_server *s = fl_server(r->fl, server);

	if (s != NULL &&
	    ((s->listed_versions & r->wanted_versions) != 0 ||
		(s->listed_services & r->wanted_services) != 0) &&
	    fl_open(r->fl, server, r->now_us))
		upkeep_walk(r, server);
}

/* Gives waiting requests whatever room there is, here or elsewhere. */
void
upkeep_drain(struct cf_router *r)
{
	if (queue_count(r->queue) > 0)
		upkeep_walk(r, CF_NO_SERVER);
}

/* Ends a wait whose deadline has come, or hedges a late attempt. */
static void
upkeep_timers(struct cf_router *r)
{
	struct request *q;
	int64_t slot;

	while (heap_next_us(r->timers) <= r->now_us && router_room(r)) {
		slot = heap_pop(r->timers, r->now_us);
		q = &r->requests[slot];
		if (q->state == REQUEST_QUEUED)
			request_refuse(r, q, ERR_NO_CAPACITY, CF_WHY_LIMIT, 0);
		else if (q->state == REQUEST_RUNNING)
			attempt_hedge(r, q);
	}
}

/* Ends a step: what time has brought, what is left over, the next wake. */
void
upkeep_finish(struct cf_router *r)
{
	int64_t next_us;
	struct cf_action *a;

	upkeep_timers(r);
	if (r->now_us >= r->sweep_us) {
		r->sweep_us = r->now_us + UPKEEP_SWEEP_US;
		fl_silence(r->fl, r->now_us);
		upkeep_credits(r);
		upkeep_drain(r);
	}
	upkeep_tell_marks(r);
	next_us = heap_next_us(r->timers);
	if (r->sweep_us < next_us && fl_end(r->fl) > 0)
		next_us = r->sweep_us;
	if (r->more || next_us < r->now_us)
		next_us = r->now_us;
	if (next_us >= r->wake_us && r->wake_us > r->now_us)
		return;
	if (next_us == INT64_MAX)
		return;
	r->wake_us = next_us;
	a = router_act(r, CF_ACT_WAKE);
	a->at_us = next_us;
}
