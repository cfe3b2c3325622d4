#ifndef CF_ROUTER_H
#define CF_ROUTER_H

#include "celeryford.h"

#include "base/rng.h"
#include "core/fleet.h"
#include "core/heap.h"
#include "core/limit.h"
#include "core/map.h"
#include "core/crash_marks.h"
#include "core/neighbour.h"
#include "core/quality.h"
#include "core/queue.h"
#include "core/rollout.h"
#include "core/session.h"

/*
 * Internal header of the router.  router.c handles events, request.c keeps
 * the request table and the state of each request, place.c chooses versions
 * and servers, attempt.c dispatches attempts and handles their reports, and
 * upkeep.c does the periodic and deferred work: timers, warm-up credits, crash
 * marks and the queue.
 */

enum router_attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_RUNNING,
	ATTEMPT_DONE, /* ended with a complete answer */
	ATTEMPT_FAILED,
	ATTEMPT_CANCELLED
};

struct router_attempt {
	enum router_attempt_state state;
	uint16_t server; /* CF_NO_SERVER: forwarded to another data centre */
	uint16_t version;
	uint16_t data_centre;
	uint64_t incarnation;
	int64_t started_us;
	int64_t expected_us; /* estimated time from start to first token */
	int64_t first_token_us; /* time of the first token; 0: none yet */
	int64_t ended_us;
	enum err_run_state run_state;
	bool suspect; /* its request had a crash mark at the start */
	bool crash_counted; /* a crash of its server has been counted */
};

/*
 * A request is NEW only while its CF_EV_REQUEST is being handled.
 * router_request_set_state() enforces the permitted transitions.
 */
enum router_request_state {
	REQUEST_FREE,
	REQUEST_NEW,
	REQUEST_CLAIMING, /* waiting for the result of CF_ACT_CLAIM */
	REQUEST_QUEUED, /* no attempt runs; waiting for room */
	REQUEST_RUNNING /* at least one attempt runs */
};

enum {
	REQUEST_NO_ATTEMPT = 0xff
};

struct router_request {
	struct cf_request params; /* as received, with defaults filled in */
	enum router_request_state state;
	bool caller_gone;
	bool pinned; /* session or caller fixes the version */
	bool bind_on_dispatch; /* the next dispatch binds the session */
	uint8_t attempt_count;
	uint8_t fallback_attempt; /* answer used if no better one follows */
	uint8_t chain_step; /* index in chain.versions */
	uint16_t waiting_target; /* counted in waiting_first[]; CFG_NONE: not */
	uint64_t target_mask; /* targets counted in waiting_any[] */
	enum cf_reason dispatch_reason; /* of the next dispatch */
	uint64_t versions_anywhere; /* allowed here or in another data centre */
	struct qual_chain chain;
	struct router_attempt attempts[CF_ATTEMPTS_MAX];
	uint32_t next_free; /* slot; max_requests ends the free list */
};

/*
 * A target is what an attempt runs: a model version or a plain service.  The
 * arrays of FLEET_LISTS entries are indexed by place_target().
 */
struct cf_router {
	struct cf_router_options options;
	const struct alloc *alloc;
	const struct cfg *cfg;
	struct fleet *fleet;
	struct qual *qual;
	struct rollout *rollout;
	struct queue *queue;
	struct limit *limit;
	struct crash_marks *marks;
	struct session_table *sessions;
	struct heap *timers; /* one timer for each request slot */
	struct neighbours neighbours;
	struct rng rng;

	struct map *by_id; /* caller's request id to slot */
	struct router_request *requests;
	uint32_t free_head; /* first free slot; max_requests: none */

	uint16_t instances; /* entry instances alive in this data centre */
	bool isolated;
	bool accepts_work; /* the own data centre is present and not out */
	int64_t returned_us; /* own data centre last came back; 0: never */
	uint64_t stopped; /* mask of versions reported as stopped */
	uint64_t rolling; /* mask of versions in roll-out */
	uint64_t usable; /* mask of versions present and not withdrawn */
	uint64_t served_isolated; /* mask of versions served while isolated */
	uint64_t *model_versions; /* mask of versions of each model */
	uint32_t running[FLEET_LISTS]; /* attempts running, by target */
	uint32_t waiting_first[FLEET_LISTS]; /* queued, by preferred target */
	uint32_t waiting_any[FLEET_LISTS]; /* queued, by every usable target */
	uint64_t versions_waited_for; /* mask of waiting_any[] above 0 */
	uint64_t services_waited_for; /* mask of waiting_any[] above 0 */
	int64_t mean_service_us[FLEET_LISTS]; /* duration of an attempt */
	int64_t mean_first_token_us[FLEET_LISTS]; /* time to first token */

	int64_t now_us;
	int64_t next_sweep_us;
	int64_t wake_us; /* requested by CF_ACT_WAKE; INT64_MAX: none */
	bool work_left; /* the action list was full; wake again at once */
	struct cf_actions *actions; /* of the current step */
};

/* router.c */
struct cf_action *router_add_action(
    struct cf_router *r, enum cf_action_kind kind);
bool router_has_room(struct cf_router *r);
bool router_rule_disabled(const struct cf_router *r, enum cf_unsafe rule);
void router_report_stopped(struct cf_router *r, uint16_t version);

/* request.c */
uint32_t router_request_slot(
    const struct cf_router *r, const struct router_request *q);
struct router_request *router_request_find(struct cf_router *r, uint32_t id);
void router_request_set_state(
    struct router_request *q, enum router_request_state to);
void router_request_close(struct cf_router *r, struct router_request *q);
enum err_run_state router_request_run_state(
    const struct cf_router *r, const struct router_request *q);
bool router_request_over_crash_limit(
    const struct cf_router *r, uint64_t fingerprint);
uint8_t router_request_running_attempts(const struct router_request *q);
void router_request_refuse(struct cf_router *r, struct router_request *q,
    int error, enum cf_reason reason, uint32_t after_ms);
void router_request_answer(
    struct cf_router *r, struct router_request *q, uint8_t attempt);
void router_request_route(
    struct cf_router *r, struct router_request *q, enum cf_reason why);
void router_request_dequeue(struct cf_router *r, struct router_request *q);
void router_request_arrived(
    struct cf_router *r, const struct cf_request *params);
void router_request_claimed(struct cf_router *r, uint32_t id, int error);
void router_request_caller_gone(struct cf_router *r, uint32_t id);

/* place.c */
/* Precedence of a request over the queued ones. */
enum place_turn {
	PLACE_NEW, /* new: may not overtake queued requests */
	PLACE_IN_TURN, /* taken from the queue, or has run before */
	PLACE_SPARE /* only servers that no queued request could use */
};

enum place_result {
	PLACE_DISPATCHED,
	PLACE_FULL, /* servers run the target but none has room */
	PLACE_NO_SERVER, /* no server runs the target */
	PLACE_NOT_ALLOWED
};

uint16_t place_target(const struct router_request *q, uint16_t version);
bool place_allowed(const struct cf_router *r, const struct router_request *q,
    uint16_t version);
void place_configure(struct cf_router *r, const struct cfg *cfg);
bool place_choose_chain(struct cf_router *r, struct router_request *q);
void place_fill_need(const struct cf_router *r, const struct router_request *q,
    uint16_t version, uint16_t avoid[CF_ATTEMPTS_MAX], struct fleet_need *need);
enum place_result place_local(
    struct cf_router *r, struct router_request *q, enum place_turn turn);
uint64_t place_target_mask(const struct router_request *q);
bool place_outside_chain(struct cf_router *r, struct router_request *q);
bool place_on_server(
    struct cf_router *r, struct router_request *q, uint16_t server);
bool place_forward(struct cf_router *r, struct router_request *q);
bool place_reachable(const struct cf_router *r, const struct router_request *q);
bool place_ramp_diverts(struct cf_router *r);
int64_t place_wait_us(
    const struct cf_router *r, const struct router_request *q);

/* attempt.c */
bool router_attempt_dispatch(struct cf_router *r, struct router_request *q,
    const struct fleet_choice *choice, uint16_t version, enum cf_reason why);
bool router_attempt_forward(
    struct cf_router *r, struct router_request *q, uint16_t data_centre);
void router_attempt_cancel(
    struct cf_router *r, struct router_request *q, uint8_t number);
void router_attempt_on_first_token(
    struct cf_router *r, const struct cf_attempt *report);
void router_attempt_on_done(
    struct cf_router *r, const struct cf_attempt *report);
void router_attempt_on_failed(
    struct cf_router *r, const struct cf_attempt *report);
void router_attempt_hedge(struct cf_router *r, struct router_request *q);

/* upkeep.c */
void upkeep_record_crash(struct cf_router *r, uint16_t server);
void upkeep_ask_credit(struct cf_router *r, uint16_t server);
void upkeep_fill_server(struct cf_router *r, uint16_t server);
void upkeep_fill_servers(struct cf_router *r);
void upkeep_finish_step(struct cf_router *r);

#endif
