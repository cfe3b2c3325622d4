#ifndef CF_GATEWAY_ENTRY_H
#define CF_GATEWAY_ENTRY_H

#include "gateway/crash_log.h"
#include "gateway/document.h"
#include "gateway/gateway.h"
#include "gateway/waiting.h"
#include "http/front.h"
#include "http/upstream.h"
#include "route/answer_time.h"
#include "route/confidence.h"
#include "route/budget.h"
#include "route/prefill.h"
#include "route/pool.h"
#include "route/reach.h"
#include "route/sessions.h"
#include "route/suspects.h"
#include "route/evidence.h"
#include "wire/secure.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The entry of an instance: accepts callers' requests and holds the state by
 * which they are routed.
 */
struct gw_exchange;

/* A compiled route table; a request keeps the one it was admitted with. */
struct gw_entry_table {
	struct route_table *routes;
	uint64_t number; /* of the document it was compiled from */
	uint32_t users; /* reference count */
};

enum {
	GW_REFUSED_MAX = REACH_FAILURES_MIN
};

/* A life of a server that has refused a connection. */
struct gw_refused_server {
	uint64_t life;
	uint16_t server; /* index in the pool */
};

/* State of one service at this instance. */
struct gw_entry_service {
	char name[REGISTRY_NAME_BYTES];
	struct retry_budget budget; /* for retries */
	struct answer_time answer_time;
	struct metrics_series *requests;
	struct metrics_series *repeats;
	struct metrics_series *repeats_refused;
	struct metrics_series *budget_left; /* gauge, in whole retries */
	/* Time to read prompts, by index in a route's model list */
	struct prefill_rate prefill_rates[ROUTE_MODELS_MAX];
	/*
	 * Mean time between two events of a stream of the old version, by index
	 * in a route's model list
	 */
	double usual_gap_us[ROUTE_MODELS_MAX];
	/* New version of the roll-out that the next two fields count for */
	char trial_version[REGISTRY_NAME_BYTES];
	uint32_t trial_sent; /* requests sent to the new version */
	uint32_t trial_total; /* requests sent to any version */
	/*
	 * When the last caller was told to come back that was refused because
	 * of the limits of the service's servers
	 */
	int64_t told_return_us;
	struct gw_waiting waiting; /* requests that no server has room for */
	struct reach reach; /* whether its servers can be reached */
	/* Servers that refused connections while no other one was reached */
	struct gw_refused_server refused[GW_REFUSED_MAX];
	uint8_t refused_count;
	struct gw_entry_service *next;
};

/* What one route's models have been worth, at this instance. */
struct gw_entry_models {
	char route[REGISTRY_NAME_BYTES];
	struct confidence_stats stats;
	/* Requests that began with each model */
	struct metrics_series *first[ROUTE_MODELS_MAX];
	struct metrics_series *escalations;
	struct metrics_series *kept; /* answers of a smaller model */
	/* First answers by their confidence */
	struct metrics_series *confidence[CONFIDENCE_BINS];
	uint32_t larger_first; /* requests that began with a larger model */
	struct gw_entry_models *next;
};

struct gw_entry {
	struct gw *gw;
	struct front_server *front; /* callers' connections */
	struct front_server *ready_front; /* readiness probes */
	/* Requests that other instances forward; NULL: none */
	struct front_server *forward_front;
	struct secure_keys keys; /* of forwarded requests */
	struct upstream_client *client; /* connections to backend servers */
	struct server_pool *pool;
	struct session_roles *sessions;
	/* Outcomes of the roll-outs under way, at this instance */
	struct evidence_table *outcomes;
	/* Requests that crashed servers or may have done so */
	struct suspect_table *suspects;
	struct rng rng;
	struct gw_entry_table *table; /* NULL: no document is known */
	struct gw_document_reader *documents;
	bool is_compiling; /* a document is being read */
	uint64_t compiled_number; /* of the last document that was read */
	struct gw_entry_service *services;
	struct gw_entry_models *models; /* by route */
	/* Entry instances, which share the retry slack and bounds of servers */
	struct rate_members members;
	struct gw_exchange *exchanges; /* all requests under way */
	struct gw_waiting unrouted; /* requests that wait for the orders */
	bool is_retrying; /* gw_entry_retry_waiting() is under way */
	uint64_t rollout_number; /* roll-out that sessions are held for */
	struct loop_timer *waiting_timer; /* retries the waiting queue */
	struct loop_timer *compile_timer;
	struct crash_log crash_log;
	struct loop_timer *crash_log_timer; /* writes its lines */
	struct loop_timer *held_crashes_timer; /* reports held crashes */
	/* withdraws requests with a part that crashes servers */
	struct loop_timer *withdraw_timer;
	struct loop_timer *path_timer; /* next check of the path to servers */
	int64_t started_us;
	double log_tokens; /* log lines that may be written now */
	int64_t log_refilled_us; /* when log_tokens was last updated */
	bool draining; /* not ready; connections close after their answers */
	int64_t ends_us; /* when the process ends at the latest, if draining */
	bool refuses_new; /* new requests are refused */
	struct metrics_series *requests;
	struct metrics_series *answers;
	struct metrics_series *refusals;
	struct metrics_series *failures;
	struct metrics_series *repeats;
	struct metrics_series *leaving_notices;
	struct metrics_series *pauses;
	struct metrics_series *pauses_unreadable;
	struct metrics_series *limits_heard;
	struct metrics_series *limits_unreadable;
	struct metrics_series *limit_refusals;
	/* Refused as servers are full: at arrival, and after a wait */
	struct metrics_series *full_refusals;
	struct metrics_series *wait_refusals;
	struct metrics_series *brittle_heard;
	struct metrics_series *brittle_unreadable;
	struct metrics_series *paces_unreadable;
	struct metrics_series *estimate_error_us;
	struct metrics_series *unending_answers;
	size_t buffered_bytes; /* of answers that are not complete yet */
	struct metrics_series *crash_refusals;
	struct metrics_series *crash_marks;
	struct metrics_series *paths_lost;
	struct metrics_series *forwarded;
	struct metrics_series *forwards_taken;
	struct metrics_series *forwards_declined;
	struct metrics_series *queue_us;
	struct metrics_series *wait_error_us;
	struct metrics_series *first_byte_us;
	struct metrics_series *answer_us;
	struct metrics_series *event_pass_us;
	struct metrics_series *end_check_us;
};

/* For links.c, follow.c and main.c */
void gw_entry_orders_changed(struct gw_entry *entry);
void gw_entry_server_changed(struct gw_entry *entry,
    const struct registry_server *server, enum registry_verdict verdict);
void gw_entry_set_members(struct gw_entry *entry,
    const struct rate_members *members, uint32_t told_by);
void gw_entry_apply_note(struct gw_entry *entry, const struct gw_note *note);
const struct evidence_table *gw_entry_outcomes(const struct gw_entry *entry);
bool gw_entry_has_rollout(const struct gw_entry *entry);
void gw_entry_drain(struct gw_entry *entry, int64_t ends_us);
void gw_entry_end_requests(struct gw_entry *entry);
uint32_t gw_entry_unsent_answers(const struct gw_entry *entry);
bool gw_entry_takes_forwarded(const struct gw_entry *entry);
void gw_entry_refuse_new(struct gw_entry *entry);
uint32_t gw_entry_open_requests(const struct gw_entry *entry);
void gw_entry_stop_listening(struct gw_entry *entry);
bool gw_entry_is_listening(const struct gw_entry *entry);
uint32_t gw_entry_connections(const struct gw_entry *entry);

/* For exchange.c */
uint32_t gw_entry_trial_permille(const struct gw_entry *entry, bool load_trial);
struct gw_entry_service *gw_entry_get_service(
    struct gw_entry *entry, const char *name);
struct gw_entry_models *gw_entry_get_models(
    struct gw_entry *entry, const struct route_entry *route);
void gw_entry_enqueue(struct gw_entry *entry, struct gw_exchange *ex);
void gw_entry_retry_waiting(struct gw_entry *entry);
bool gw_entry_may_log(struct gw_entry *entry);
void gw_entry_server_leaving(
    struct gw_entry *entry, const struct registry_server *server);
void gw_entry_tell_limit(struct gw_entry *entry, uint16_t server);
void gw_entry_tell_brittle(struct gw_entry *entry, uint16_t server);
void gw_entry_server_ended(
    struct gw_entry *entry, const struct registry_server *server);
void gw_entry_report_held_crashes(struct gw_entry *entry);
void gw_entry_probe_server(struct gw_entry *entry, uint16_t server);
struct suspects_life gw_entry_life_of(const struct registry_server *server);
void gw_entry_table_release(struct gw_entry_table *table);

/* exchange.c */
void gw_exchange_start(struct gw_entry *entry, struct front_exchange *x);
void gw_exchange_caller_left(struct gw_exchange *ex);
void gw_exchange_probed(struct gw_entry *entry,
    const struct sockaddr_in *address, enum upstream_probe_result result,
    uint64_t dials_before);
void gw_exchange_resume_reading(struct gw_exchange *ex);
void gw_exchange_retry_waiting(struct gw_exchange *ex);
void gw_exchange_withdraw_suspect(struct gw_exchange *ex);
bool gw_exchange_is_silent(
    const struct gw_exchange *ex, const struct gw_entry_service *service);
bool gw_exchange_may_move(struct gw_exchange *ex);
void gw_exchange_move(struct gw_exchange *ex);
void gw_exchange_start_forwarded(
    struct gw_entry *entry, struct front_exchange *x);
void gw_exchange_discard(struct gw_exchange *ex);
void gw_exchange_touch_session(const struct gw_exchange *ex);
struct gw_exchange *gw_exchange_next(const struct gw_exchange *ex);
void gw_exchange_end(struct gw_exchange *ex);
bool gw_exchange_has_caller(const struct gw_exchange *ex);

#ifdef __cplusplus
}
#endif

#endif
