#ifndef CF_ROUTE_POOL_H
#define CF_ROUTE_POOL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "route/admission.h"
#include "route/loads.h"
#include "route/pace.h"
#include "route/rate_share.h"
#include "route/reach.h"
#include "route/server_limit.h"
#include "route/table.h"
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
 * A brittle server ends when it refuses too many requests in a second.  All
 * instances together keep no more requests there than it has slots, each its
 * part, so that none is refused whatever room there is to wait.  What has no
 * slot waits at the instances.
 *
 * The requests that all instances together send to a cold server, or to one
 * that names a limit, are bounded; see rate_share.h.  Every request that is
 * sent to a server passes this bound, whatever it is chosen for.
 */
enum pool_role {
	/* The old version, which gets everything not assigned to a new one */
	POOL_ROLE_BASE,
	POOL_ROLE_TARGET, /* new version of a roll-out under way */
	POOL_ROLE_EXCLUDED, /* receives no requests */
	POOL_ROLES
};

enum pool_pick_result {
	POOL_PICKED,
	POOL_NO_SERVER, /* no known server may run the request */
	/* Every server that may run it is full, cold or unreachable */
	POOL_NO_CAPACITY,
};

/* What rules a server out for a request; names are in pool_fit_name(). */
enum pool_fit {
	POOL_FITS,
	POOL_NOT_READY,
	POOL_DATA_CENTRE_OUT, /* taken out of use by operators */
	POOL_VERSION_EXCLUDED,
	POOL_OTHER_VERSION, /* not the version of which servers are listed */
	POOL_OUTSIDE_TRIAL, /* not among the servers that try a version */
	POOL_PAUSED, /* at its own request */
	POOL_UNREACHABLE, /* the last connections to it failed */
	POOL_HAS_REFUSED, /* as full, a moment ago */
	POOL_DATA_CENTRE_DOWN, /* no server there can be reached */
	POOL_EJECTED, /* fails more often than the others */
	POOL_SILENT, /* has not announced itself for too long */
	POOL_TRIED, /* by the same request before */
	POOL_OUT_OF_CONNECTIONS,
	POOL_BRITTLE_SHARE_USED,
	POOL_RAMPS_UP, /* gets few requests after a pause */
	POOL_BEYOND_TAKES_WELL,
	POOL_FULL,
	POOL_OUT_OF_MEMORY,
	POOL_NOT_ITS_TURN, /* it is another instance's turn to send there */
	POOL_RATE_USED, /* this instance's share of its rate */
	POOL_FITS_COUNT
};

struct pool_group;

/* What a server adds to the sums of its service; see pool_sums.h. */
struct pool_part {
	enum pool_role role;
	bool is_timed;
	uint64_t latency;
	bool has_outcomes;
	double failure_share;
	bool leaving;
	bool limited;
	bool is_ready;
	uint64_t paused_until; /* 0: was not paused */
	uint64_t brittle_until; /* 0: is not brittle */
};

struct pool_server {
	struct registry_server announced; /* its last announcement */
	uint64_t life; /* registry_life_hash() of that */
	struct sockaddr_in address;
	bool used;
	enum pool_role role;
	bool out; /* its data centre was taken out of use by operators */
	uint16_t in_flight; /* requests of this instance at the server */
	uint32_t held; /* ended requests that still refer to it: pool_hold() */
	uint32_t dials; /* unused: the HTTP client counts its own connections */
	bool has_load;
	uint16_t running; /* as reported by the server's last answer */
	uint16_t waiting;
	int64_t load_reported_us; /* time of that report */
	/* Own requests sent less own requests ended since the report */
	int32_t sent_since_report;
	int64_t cold_until_us;
	/*
	 * Taken for cold because its data centre is in use again, until an
	 * announcement later than presumed_cold_seq or an answer says more
	 */
	bool is_presumed_cold;
	uint64_t presumed_cold_seq;
	struct server_limit limit; /* that its answers name */
	/*
	 * That the server is brittle: the refusals a second that it bears and
	 * one more, as if that were its limit
	 */
	struct server_limit brittle;
	bool has_answered; /* this life, to this instance */
	struct pool_group *group; /* servers of its service */
	uint64_t id_hash;
	struct pool_part part;
	uint32_t load_hash; /* loads_server_hash() of its id */
	bool is_ranked; /* counts in the ranks of its service */
	uint32_t rank; /* ready servers of its service with lower lives */
	/* Counts among the servers of its service that may run requests */
	bool is_counted;
	enum pool_role counted_role;
	int64_t refused_us; /* last refusal of a request of this instance */
	/* Limits what it gets while it is cold or names a limit */
	struct rate_bucket bucket;
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
	struct pace pace; /* how long it takes, compared with its service */
	uint16_t pace_service; /* index of what is known of its service */
	uint64_t own_tokens; /* prompts and expected answers of own requests */
	struct admission_turn turn;
};

struct pool_query {
	const char *service;
	/* Requests that may wait at a server, on top of its slots */
	uint32_t queue_slots;
	double service_ms; /* that requests take a slot; 0: not known */
	/* Requests wait at this instance, which sends them in its turns */
	bool takes_turns;
	bool goes_first; /* takes no turns: the caller has part of the answer */
	/* Goes only to servers that will not be full soon */
	bool only_spare;
	/* Memory of a server, and what the request takes of it */
	uint32_t memory_tokens; /* 0: no limit is known */
	uint32_t tokens;
	double mean_tokens; /* that a request of the service takes */
	bool ignores_memory; /* has waited for memory long enough */
	enum pool_role role;
	/*
	 * Share of a new version's servers that form its trial group, which is
	 * tried first
	 */
	uint32_t trial_permille;
	/* Use the other version if this one has no server */
	bool allow_other_role;
	uint64_t affinity; /* hash of the shared prompt prefix; 0: none */
	double work_ms; /* of reading the whole prompt */
	double prefix_work_ms; /* prompt work that a cached prefix saves */
	/* Choose by expected time to the first event instead of by load */
	bool by_prompt_work;
	/*
	 * Hash of a suspect request, which every instance should send to the
	 * same server; 0: choose by load or prompt work
	 */
	uint64_t suspect_hash;
	uint16_t avoid[8]; /* servers already tried for this request */
	uint8_t avoid_count;
};

struct pool_options {
	const struct alloc *alloc;
	uint64_t seed;
	const char *data_centre;
	/* Share of a cold server's capacity that is used */
	uint32_t cold_permille;
	uint32_t cold_slack; /* requests a second on top of that share */
	/* Silence after which a server is used only as a last resort */
	int64_t silent_us;
};

struct server_pool;

struct server_pool *pool_new(const struct pool_options *options);
void pool_free(struct server_pool *pool);
uint16_t pool_update_server(struct server_pool *pool,
    const struct registry_server *server, int64_t now_us);
void pool_configure(struct server_pool *pool, const struct route_table *table,
    const struct ord *orders, int64_t now_us);
void pool_set_members(
    struct server_pool *pool, const struct rate_members *members);
enum pool_pick_result pool_pick_server(struct server_pool *pool,
    const struct pool_query *query, int64_t now_us, uint16_t *server);
uint16_t pool_index_of(const struct server_pool *pool, const char *id);
const struct pool_server *pool_server_at(
    const struct server_pool *pool, uint16_t server);
uint16_t pool_server_count(const struct server_pool *pool);
uint64_t pool_visits(const struct server_pool *pool);
bool pool_has_role(
    const struct server_pool *pool, const char *service, enum pool_role role);
uint32_t pool_ready_count(const struct server_pool *pool, const char *service);
uint8_t pool_draw_for_probe(struct server_pool *pool, const char *service,
    const struct reach *reach, uint8_t most, uint16_t *servers);
void pool_record_connected(struct server_pool *pool, uint16_t server);
uint16_t pool_find_address(
    const struct server_pool *pool, const struct sockaddr_in *address);

/* Servers of a service that receive nothing, or less, at their own request. */
struct pool_withdrawn {
	uint32_t leaving;
	uint32_t paused;
	uint32_t limited;
	uint32_t brittle;
};

struct pool_withdrawn pool_withdrawn(
    const struct server_pool *pool, const char *service, int64_t now_us);

/* Events of a request that pool_pick_server() placed. */
void pool_record_send(
    struct server_pool *pool, uint16_t server, double work_ms, int64_t now_us);
void pool_record_work_start(
    struct server_pool *pool, uint16_t server, double work_ms);
bool pool_lacked_memory(const struct server_pool *pool);
void pool_record_end(struct server_pool *pool, uint16_t server);
void pool_hold(struct server_pool *pool, uint16_t server);
void pool_release(struct server_pool *pool, uint16_t server);
void pool_record_admission(
    struct server_pool *pool, uint16_t server, uint32_t tokens);
void pool_record_departure(
    struct server_pool *pool, uint16_t server, uint32_t tokens);
double pool_backlog_ms(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
bool pool_is_prefix_home(const struct server_pool *pool, uint16_t server,
    const struct pool_query *query);

/* See pool_pace.c. */
struct pool_estimate {
	double first_event_ms; /* expected time to the first event */
	double error_ms; /* usual difference from the time seen */
	uint32_t takes_well; /* requests that the server takes well at once */
};

/* The time that an answer took, from the sending to its first event. */
struct pool_answer_time {
	double seen_ms;
	double nominal_ms; /* pool_nominal_ms() when it was sent */
	uint32_t requests; /* at the server when it was sent */
	bool is_whole; /* the answer was not streamed */
};

uint32_t pool_free_places(const struct server_pool *pool,
    const struct pool_query *query, int64_t now_us);
double pool_nominal_ms(const struct server_pool *pool,
    const struct pool_query *query, uint16_t server, bool is_home,
    int64_t now_us);
void pool_estimate_server(struct server_pool *pool,
    const struct pool_query *query, uint16_t server, bool is_home,
    int64_t now_us, struct pool_estimate *estimate);
double pool_slowness(struct server_pool *pool, uint16_t server, int64_t now_us);
uint32_t pool_takes_well(
    struct server_pool *pool, uint16_t server, int64_t now_us);
void pool_record_pace(struct server_pool *pool, uint16_t server,
    uint32_t percent, int64_t now_us);
void pool_record_answer_time(struct server_pool *pool, uint16_t server,
    const struct pool_answer_time *answer, int64_t now_us);
double pool_reported_factor(
    const struct server_pool *pool, uint16_t server, bool usual);

/* Exchange of load reports between instances. */
size_t pool_get_own_loads(
    const struct server_pool *pool, struct loads_entry *out, size_t max);
void pool_set_peer_loads(struct server_pool *pool,
    const struct loads_entry *loads, size_t count, int64_t now_us);
void pool_record_load(struct server_pool *pool, uint16_t server,
    uint16_t running, uint16_t waiting, int64_t now_us);
void pool_record_cold(struct server_pool *pool, uint16_t server,
    uint32_t cold_ms, int64_t now_us);
void pool_record_connect_failure(
    struct server_pool *pool, uint16_t server, bool silent, int64_t now_us);
void pool_record_outcome(
    struct server_pool *pool, uint16_t server, bool failed, int64_t now_us);
void pool_record_latency(
    struct server_pool *pool, uint16_t server, double ms, double weight);
bool pool_is_slow(const struct server_pool *pool, uint16_t server);
uint32_t pool_request_count(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
void pool_record_refusal(
    struct server_pool *pool, uint16_t server, int64_t now_us);
void pool_record_pause(struct server_pool *pool, uint16_t server,
    uint32_t pause_ms, int64_t now_us);
bool pool_record_limit(struct server_pool *pool, uint16_t server,
    uint32_t limit_milli_per_s, int64_t sent_us, int64_t now_us);
bool pool_record_no_limit(
    struct server_pool *pool, uint16_t server, int64_t sent_us, int64_t now_us);
uint16_t pool_apply_limit(
    struct server_pool *pool, uint64_t life, uint64_t packed, int64_t now_us);
bool pool_record_brittle(struct server_pool *pool, uint16_t server,
    uint32_t rejections_max, int64_t sent_us, int64_t now_us);
bool pool_record_not_brittle(
    struct server_pool *pool, uint16_t server, int64_t sent_us, int64_t now_us);
uint16_t pool_apply_brittle(
    struct server_pool *pool, uint64_t life, uint64_t packed, int64_t now_us);
bool pool_is_brittle(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
uint32_t pool_slots_share(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
struct rate_share pool_share_of(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
bool pool_is_bounded(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
bool pool_is_limited(
    const struct server_pool *pool, uint16_t server, int64_t now_us);
uint64_t pool_bounded_count(const struct server_pool *pool);

/* When the servers that may run a request take the next ones. */
struct pool_opening {
	int64_t first_us; /* INT64_MAX: not to this instance */
	/*
	 * Rates at which this instance, and all of them together, may go on if
	 * all the servers name limits; 0 otherwise
	 */
	double per_s;
	double all_per_s;
};

/* What is known of a server for a request; see pool_explain.c. */
struct pool_explained {
	uint16_t server;
	enum pool_fit fit;
	bool is_home; /* of the request's prefix */
	uint32_t requests; /* there, as far as this instance knows */
	double backlog_ms;
	double slowness;
	struct pool_estimate estimate;
};

struct pool_explanation {
	uint16_t total; /* servers of the service */
	uint16_t by_fit[POOL_FITS_COUNT]; /* these by what rules them out */
	uint16_t count; /* servers that are listed, those that fit first */
};

struct server_pool *pool_copy(const struct server_pool *pool);
void pool_free_copy(struct server_pool *copy);
void pool_explain(struct server_pool *copy, const struct pool_query *query,
    uint16_t chosen, int64_t now_us, struct pool_explanation *explanation,
    struct pool_explained *listed, uint16_t max);
const char *pool_fit_name(enum pool_fit fit);

struct pool_opening pool_next_opening(
    struct server_pool *pool, const struct pool_query *query, int64_t now_us);
void pool_record_acceptance(
    struct server_pool *pool, uint16_t server, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
