#include "core/router.h"

#define UPKEEP_SWEEP_INTERVAL_US INT64_C(100000)

/* Shortest time between two credit asks for one server. */
#define UPKEEP_ASK_INTERVAL_US INT64_C(200000)

/* Credits are renewed this long before their lease ends. */
#define UPKEEP_RENEW_BEFORE_US INT64_C(2000000)

/* An attempt that failed this long before a crash counts as caught in it. */
#define UPKEEP_CRASH_WINDOW_US INT64_C(2000000)

enum {
	UPKEEP_FINGERPRINTS_MAX = 256 /* told apart in one crash */
};

/*
 * Whether an attempt may have been running on a server when that crashed: it
 * still runs, or it failed less than UPKEEP_CRASH_WINDOW_US ago and may have
 * run.  An attempt is counted for one crash only.
 */
static bool
upkeep_ran_at_crash(const struct cf_router *r, const struct router_attempt *t,
    uint16_t server, uint64_t incarnation)
{
	if (t->server != server || t->incarnation != incarnation ||
	    t->crash_counted)
		return false;
	return t->state == ATTEMPT_RUNNING ||
	       (t->state == ATTEMPT_FAILED && t->run_state != ERR_NOT_RUN &&
		   r->now_us - t->ended_us < UPKEEP_CRASH_WINDOW_US);
}

static bool
upkeep_fingerprint_seen(
    const uint64_t *seen, uint32_t count, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (seen[i] == fingerprint)
			return true;
	return false;
}

/*
 * Adds a crash mark to every request that was running on a server when it
 * crashed.  Requests with the same fingerprint are marked once for each crash,
 * and a crash that is reported again adds no mark.
 */
void
upkeep_record_crash(struct cf_router *r, uint16_t server)
{
	struct fleet_server *s = fleet_server(r->fleet, server);
	uint64_t seen[UPKEEP_FINGERPRINTS_MAX];
	uint32_t count = 0;
	struct router_request *q;
	uint32_t i;
	uint8_t k;

	if (s == NULL)
		return;
	for (i = 0; i < r->options.max_requests; i++) {
		q = &r->requests[i];
		if (q->state == REQUEST_FREE || q->params.fingerprint == 0)
			continue;
		for (k = 0; k < q->attempt_count; k++) {
			if (!upkeep_ran_at_crash(r, &q->attempts[k], server,
				s->announcement.incarnation))
				continue;
			q->attempts[k].crash_counted = true;
			if (upkeep_fingerprint_seen(
				seen, count, q->params.fingerprint))
				continue;
			if (count < UPKEEP_FINGERPRINTS_MAX)
				seen[count++] = q->params.fingerprint;
			crash_marks_add(
			    r->marks, q->params.fingerprint, r->now_us);
		}
	}
}

/* Emits new crash marks for the other instances while there is room. */
static void
upkeep_send_crash_marks(struct cf_router *r)
{
	struct cf_action *a;
	uint64_t fingerprint;
	uint8_t crashes;

	while (router_has_room(r) &&
	       crash_marks_next_unsent(r->marks, &fingerprint, &crashes)) {
		a = router_add_action(r, CF_ACT_CRASH_MARK);
		a->key = fingerprint;
		a->count = crashes;
	}
}

static void
upkeep_add_credit_action(struct cf_router *r, uint16_t server,
    enum cf_action_kind kind, uint16_t count)
{
	struct cf_action *a = router_add_action(r, kind);

	a->server = server;
	a->key = fleet_server(r->fleet, server)->announcement.incarnation;
	a->count = count;
}

static void
upkeep_send_credit_ask(struct cf_router *r, uint16_t server, uint16_t wanted)
{
	struct fleet_server *s = fleet_server(r->fleet, server);

	s->credit_asked_us = r->now_us;
	s->credit_asks_pending++;
	upkeep_add_credit_action(r, server, CF_ACT_CREDIT_ASK, wanted);
}

/*
 * Asks the granter for enough warm-up credits of a cold server to start one
 * more attempt there, at most cold_slots, and at most once in
 * UPKEEP_ASK_INTERVAL_US.
 */
void
upkeep_ask_credit(struct cf_router *r, uint16_t server)
{
	struct fleet_server *s = fleet_server(r->fleet, server);
	uint16_t wanted = s->in_flight + 1;

	if (s->credit_asked_us != 0 &&
	    r->now_us - s->credit_asked_us < UPKEEP_ASK_INTERVAL_US)
		return;
	if (wanted > s->announcement.cold_slots)
		wanted = s->announcement.cold_slots;
	if (wanted == 0 || !router_has_room(r))
		return;
	upkeep_send_credit_ask(r, server, wanted);
}

/*
 * Whether the lease of a server's credits is about to end, so that they must be
 * renewed or returned.  Drops credits that have expired or belong to an earlier
 * incarnation.
 */
static bool
upkeep_credits_due(struct cf_router *r, struct fleet_server *s)
{
	if (s->credits_until_us <= r->now_us ||
	    s->credits_incarnation != s->announcement.incarnation)
		s->credits = 0;
	return s->credits > 0 &&
	       s->credits_until_us - r->now_us <= UPKEEP_RENEW_BEFORE_US &&
	       r->now_us - s->credit_asked_us >= UPKEEP_ASK_INTERVAL_US;
}

/*
 * Renews the warm-up credits that are in use and returns the others to the
 * granter.  While an ask is pending nothing is returned, since its answer could
 * cross the return; such credits expire with their lease.
 */
static void
upkeep_renew_credits(struct cf_router *r)
{
	struct fleet_server *s;
	uint16_t i;

	for (i = 0; i < fleet_server_end(r->fleet) && router_has_room(r); i++) {
		s = fleet_server(r->fleet, i);
		if (s->credits == 0 || !upkeep_credits_due(r, s))
			continue;
		if (s->in_flight > 0 || s->credits_used) {
			upkeep_send_credit_ask(r, i, s->credits);
		} else if (s->credit_asks_pending == 0) {
			upkeep_add_credit_action(
			    r, i, CF_ACT_CREDIT_GIVE, s->credits);
			s->credits = 0;
		}
	}
}

/*
 * Dispatches or forwards a queued request if there is room for it, and refuses
 * it if it may no longer run.  server limits the choice to one server;
 * CF_NO_SERVER allows any.
 */
static void
upkeep_dispatch_request(
    struct cf_router *r, struct router_request *q, uint16_t server)
{
	if (router_request_over_crash_limit(r, q->params.fingerprint)) {
		router_request_refuse(r, q, ERR_CRASHES, CF_WHY_CRASHES, 0);
		return;
	}
	if (!place_choose_chain(r, q)) {
		router_request_refuse(
		    r, q, ERR_FORBIDDEN, CF_WHY_NOT_ALLOWED, 0);
		return;
	}
	if (server != CF_NO_SERVER)
		place_on_server(r, q, server);
	else if (place_local(r, q, PLACE_IN_TURN) != PLACE_DISPATCHED)
		place_forward(r, q);
}

/* Whether a server runs one of the targets that a queued request has chosen. */
static bool
upkeep_could_run(
    const struct cf_router *r, const struct router_request *q, uint16_t server)
{
	const struct fleet_server *s = fleet_server(r->fleet, server);

	return (q->target_mask &
		   (q->params.kind == CF_SERVICE ? s->listed_services
						 : s->listed_versions)) != 0;
}

/*
 * Dispatches queued requests in fair order, on the given server while it has
 * room, or on any server if it is CF_NO_SERVER.
 */
static void
upkeep_dispatch_waiting(struct cf_router *r, uint16_t server)
{
	int64_t slot;

	queue_scan_start(r->queue);
	while ((slot = queue_scan_next(r->queue)) != QUEUE_NONE) {
		if (!router_has_room(r))
			return;
		if (server != CF_NO_SERVER &&
		    !fleet_has_room(r->fleet, server, r->now_us))
			return;
		if (server != CF_NO_SERVER &&
		    !upkeep_could_run(r, &r->requests[slot], server))
			continue;
		upkeep_dispatch_request(r, &r->requests[slot], server);
	}
}

/* Dispatches queued requests to one server while it has room. */
void
upkeep_fill_server(struct cf_router *r, uint16_t server)
{
	const struct fleet_server *s = fleet_server(r->fleet, server);

	if (s != NULL &&
	    ((s->listed_versions & r->versions_waited_for) != 0 ||
		(s->listed_services & r->services_waited_for) != 0) &&
	    fleet_has_room(r->fleet, server, r->now_us))
		upkeep_dispatch_waiting(r, server);
}

/* Dispatches or forwards queued requests to wherever there is room. */
void
upkeep_fill_servers(struct cf_router *r)
{
	if (queue_count(r->queue) > 0)
		upkeep_dispatch_waiting(r, CF_NO_SERVER);
}

/*
 * Handles expired timers: refuses queued requests whose first token would be
 * late, and hedges attempts whose first token is late.
 */
static void
upkeep_run_timers(struct cf_router *r)
{
	struct router_request *q;
	int64_t slot;

	while (heap_next_us(r->timers) <= r->now_us && router_has_room(r)) {
		slot = heap_pop(r->timers, r->now_us);
		q = &r->requests[slot];
		if (q->state == REQUEST_QUEUED)
			router_request_refuse(
			    r, q, ERR_NO_CAPACITY, CF_WHY_LIMIT, 0);
		else if (q->state == REQUEST_RUNNING)
			router_attempt_hedge(r, q);
	}
}

/*
 * Ends a step: handles expired timers and the periodic sweep, sends new crash
 * marks, and asks for the next wake if it is earlier than the one already asked
 * for.
 */
void
upkeep_finish_step(struct cf_router *r)
{
	int64_t next_us;
	struct cf_action *a;

	upkeep_run_timers(r);
	if (r->now_us >= r->next_sweep_us) {
		r->next_sweep_us = r->now_us + UPKEEP_SWEEP_INTERVAL_US;
		fleet_expire_silent(r->fleet, r->now_us);
		upkeep_renew_credits(r);
		upkeep_fill_servers(r);
	}
	upkeep_send_crash_marks(r);
	next_us = heap_next_us(r->timers);
	if (r->next_sweep_us < next_us && fleet_server_end(r->fleet) > 0)
		next_us = r->next_sweep_us;
	if (r->work_left || next_us < r->now_us)
		next_us = r->now_us;
	if (next_us >= r->wake_us && r->wake_us > r->now_us)
		return;
	if (next_us == INT64_MAX)
		return;
	r->wake_us = next_us;
	a = router_add_action(r, CF_ACT_WAKE);
	a->at_us = next_us;
}
