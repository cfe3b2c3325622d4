#ifndef CF_ROUTE_POOL_H
#define CF_ROUTE_POOL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "route/loads.h"
#include "route/table.h"
#include "route/warmup.h"
#include "state/orders.h"
#include "state/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The backend servers as one entry instance sees them, and server selection.
 * No I/O.
 *
 * The state of a server combines its announcements, the load that its answers
 * report, and how this instance's own requests fared there.  Its current load
 * is estimated as the last reported load plus the requests sent since.
 *
 * Requests with expensive prompts go to the server where the first event is
 * expected soonest.  The estimate adds the prompt work queued there (this
 * instance's own plus what the other instances report) and the work of the
 * request's own prompt.  A shared prefix counts as cached only at its home, the
 * one server that a hash of the prefix selects at every instance.  Requests
 * with the same prefix therefore meet there as long as that server is not
 * backlogged.  Other requests use the less loaded of two random servers and
 * prefer the own data centre.
 *
 * A server that refuses requests looks idle.  Its recent refusal share is
 * therefore counted as additional load; it decays with time.  A server that
 * asks for a pause gets no requests until the pause ends.  After that it gets a
 * small number of concurrent requests, which grows as it accepts them, so that
 * the waiting requests are not all sent at once.
 *
 * A new version is tried on so few of its servers that each gets a multiple of
 * the mean load, so that faults that only appear under load show in the trial.
 *
 * The requests that all instances together send to a cold server are bounded;
 * see warmup.h.
 */
enum pl_role {
	PL_BASE, /* old version; gets everything not assigned to a new one */
	PL_TARGET, /* new version of a roll-out under way */
	POOL_ROLE_EXCLUDED /* receives no requests */
};

enum pool_pick_result {
	PL_CHOSEN,
	PL_NONE, /* no known server may run the request */
	PL_FULL, /* every server that may run it is full, cold or unreachable */
};

struct pl_server {
	struct rg_server said; /* last announcement */
	struct sockaddr_in address;
	bool used;
	enum pl_role role;
	bool out; /* its data centre was taken out of use by operators */
	uint16_t in_flight; /* requests of this instance at the server */
	uint32_t dials; /* unused: the HTTP client counts its own connections */
	bool has_load;
	uint16_t running; /* as reported by the server's last answer */
	uint16_t waiting;
	int64_t load_reported_us; /* time of that report */
	/* Own requests sent less own requests ended since the report */
	int32_t sent_since_report;
	int64_t cold_until_us;
	struct warmup_bucket warmup; /* limits what it gets while it is cold */
	uint8_t failures; /* consecutive failures to connect */
	int64_t down_until_us;
	double failure_share; /* moving average of failed answers, 0 to 1 */
	uint32_t outcomes;
	double mean_latency_ms; /* moving average of answer times */
	uint32_t latency_samples; /* answers in mean_latency_ms */
	int64_t ejected_until_us;
	/*
	 * Moving average of refused requests, 0 to 1, as of refusal_updated_us
	 */
	double refusal_share;
	int64_t refusal_updated_us;
	/* The server asked for no requests until then */
	int64_t paused_until_us;
	/*
	 * Concurrent requests allowed after a pause, on top of
	 * in_flight_before_pause; 0: no limit
	 */
	uint16_t ramp_limit;
	/*
	 * Own requests that were there when the pause began and have not ended
	 */
	uint16_t in_flight_before_pause;
	/* Prompt work of own requests that has not begun */
	double own_backlog_ms;
	/*
	 * Prompt work of the other instances that has not begun, as of
	 * peer_reported_us
	 */
	double peer_backlog_ms;
	uint32_t peer_in_flight;
	int64_t peer_reported_us;
};

struct pl_query {
	const char *service;
	/* Requests that may wait at a server, on top of its slots */
	uint32_t slots_more;
	enum pl_role role;
	/*
	 * Share of a new version's servers that form its trial group, which is
	 * tried first
	 */
	uint32_t trial_permille;
	bool any_role; /* use the other version where this one has no server */
	uint64_t affinity; /* hash of the shared prompt prefix; 0: none */
	double work_ms; /* of reading the whole prompt */
	double shared_ms; /* prompt work that a cached prefix saves */
	/* Choose by expected time to the first event instead of by load */
	bool by_work;
	/*
	 * Hash of a suspect request, which every instance should send to the
	 * same server; 0: choose by load or prompt work
	 */
	uint64_t alone;
	uint16_t avoid[8]; /* servers already tried for this request */
	uint8_t avoid_count;
};

struct pl_options {
	const struct alloc *alloc;
	uint64_t seed;
	const char *data_centre;
	/* Share of a cold server's capacity that is used */
	uint32_t cold_permille;
	uint32_t cold_slack; /* requests a second on top of that share */
	/* A server not heard from for so long is used only as a last resort */
	int64_t silent_us;
};

struct pl;

struct pl *pl_new(const struct pl_options *options);
void pl_free(struct pl *pool);
uint16_t pl_take(
    struct pl *pool, const struct rg_server *server, int64_t now_us);
void pl_configure(
    struct pl *pool, const struct rt_table *table, const struct ord *orders);
void pl_set_instances(struct pl *pool, uint32_t entry_instances);
enum pool_pick_result pl_pick(struct pl *pool, const struct pl_query *query,
    int64_t now_us, uint16_t *server);
uint16_t pl_place_of(const struct pl *pool, const char *id);
const struct pl_server *pl_at(const struct pl *pool, uint16_t server);
uint16_t pl_count(const struct pl *pool);
bool pool_has_role(
    const struct pl *pool, const char *service, enum pl_role role);

/* Servers of a service that receive nothing at their own request. */
struct pl_spared {
	uint32_t leaving;
	uint32_t paused;
};

struct pl_spared pl_spared(
    const struct pl *pool, const char *service, int64_t now_us);

/* Events of a request that pl_pick() placed. */
void pl_sent(struct pl *pool, uint16_t server, double work_ms, int64_t now_us);
void pl_begun(struct pl *pool, uint16_t server, double work_ms);
void pl_ended(struct pl *pool, uint16_t server);
double pl_backlog_ms(const struct pl *pool, uint16_t server, int64_t now_us);
bool pl_is_home(
    const struct pl *pool, uint16_t server, const struct pl_query *query);

/* Exchange of load reports between instances. */
size_t pl_own_loads(const struct pl *pool, struct ld_load *out, size_t max);
void pl_others_loads(
    struct pl *pool, const struct ld_load *loads, size_t count, int64_t now_us);
void pl_load(struct pl *pool, uint16_t server, uint16_t running,
    uint16_t waiting, int64_t now_us);
void pl_cold(
    struct pl *pool, uint16_t server, uint32_t cold_ms, int64_t now_us);
void pl_unreachable(
    struct pl *pool, uint16_t server, bool silent, int64_t now_us);
void pl_outcome(struct pl *pool, uint16_t server, bool failed, int64_t now_us);
void pl_timed(struct pl *pool, uint16_t server, double ms, double weight);
bool pl_is_slow(const struct pl *pool, uint16_t server);
uint32_t pl_load_of(const struct pl *pool, uint16_t server, int64_t now_us);
void pl_refused(struct pl *pool, uint16_t server, int64_t now_us);
void pl_paused(
    struct pl *pool, uint16_t server, uint32_t pause_ms, int64_t now_us);
int64_t pl_opens_us(
    const struct pl *pool, const struct pl_query *query, int64_t now_us);
void pl_accepted(struct pl *pool, uint16_t server, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
