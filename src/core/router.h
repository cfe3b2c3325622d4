#ifndef CF_ROUTER_H
#define CF_ROUTER_H

#include "celeryford.h"

#include "base/rng.h"
#include "core/fleet.h"
#include "core/heap.h"
#include "core/limit.h"
#include "core/map.h"
#include "core/marks.h"
#include "core/neighbour.h"
#include "core/quality.h"
#include "core/queue.h"
#include "core/rollout.h"
#include "core/session.h"

/*
 * What the router's own files share.  router.c takes events in, request.c
 * holds the table and the life of requests, place.c chooses versions and
 * servers, attempt.c dispatches and takes in the reports, upkeep.c does what
 * time brings (timers, warm-up credits, crash marks, the queue).
 */

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_RUNNING,
	ATTEMPT_DONE, /* a whole answer */
	ATTEMPT_FAILED,
	ATTEMPT_CANCELLED
};

struct attempt {
	enum attempt_state state;
	uint16_t server; /* CF_NO_SERVER: forwarded */
	uint16_t version;
	uint16_t data_centre;
	uint64_t incarnation;
	int64_t started_us;
	int64_t expected_us; /* to the first token, when it started */
	int64_t first_token_us; /* 0: none yet */
	int64_t ended_us;
	enum err_run_state run_state;
	bool suspect;
	bool crash_counted;
};

/*
 * A request is NEW while its event is being handled; request_move() knows the
 * moves between the states.
 */
enum request_state {
	REQUEST_FREE,
	REQUEST_NEW,
	REQUEST_CLAIMING, /* CF_ACT_CLAIM is out */
	REQUEST_QUEUED, /* no attempt runs; waits for room */
	REQUEST_RUNNING /* at least one attempt runs */
};

enum {
	REQUEST_NO_ATTEMPT = 0xff
};

struct request {
	struct cf_request asked;
	enum request_state state;
	bool caller_gone;
	bool pinned; /* by session or caller: this version only */
	bool bind; /* the next dispatch binds the session */
	uint8_t attempt_count;
	uint8_t kept; /* attempt with an answer that may do */
	uint8_t step; /* position in the chain */
	uint16_t lane; /* counted in waiting[]; CFG_NONE: not */
	uint64_t wants; /* versions, or the service, counted in wanted[] */
	enum cf_reason why; /* of the next dispatch */
	uint64_t elsewhere; /* versions other data centres may run */
	struct qual_chain chain;
	struct attempt attempts[CF_ATTEMPTS_MAX];
	uint32_t next_free;
};

struct cf_router {
	struct cf_router_options options;
	const struct alloc *alloc;
	const struct cfg *cfg;
	struct fl *fl;
	struct qual *qual;
	struct ro *ro;
	struct queue *queue;
	struct limit *limit;
	struct marks *marks;
	struct session *session;
	struct heap *timers; /* one for each request slot */
	struct nb nb;
	struct rng rng;

	struct map *by_id;
	struct request *requests;
	uint32_t free_head;

	uint16_t instances;
	bool isolated;
	bool open; /* the own data centre takes work */
	int64_t returned_us; /* own data centre came back; 0: never */
	uint64_t stopped; /* versions reported as stopped */
	uint64_t rolling; /* versions in roll-out */
	uint64_t usable; /* versions present and not withdrawn */
	uint64_t when_isolated; /* versions served while isolated */
	uint64_t *model_versions; /* mask of versions of each model */
	uint32_t running[FL_LISTS]; /* attempts by version or service */
	uint32_t waiting[FL_LISTS]; /* queued requests by first choice */
	uint32_t wanted[FL_LISTS]; /* queued requests by any choice */
	uint64_t wanted_versions; /* mask of those above zero */
	uint64_t wanted_services;
	int64_t service_us[FL_LISTS]; /* average time of an attempt */
	int64_t first_us[FL_LISTS]; /* average time to the first token */

	int64_t now_us;
	int64_t sweep_us;
	int64_t wake_us; /* armed; INT64_MAX: none */
	bool more; /* work was left over for want of room */
	struct cf_actions *actions;
};

/* router.c */
struct cf_action *router_act(struct cf_router *r, enum cf_action_kind kind);
bool router_room(struct cf_router *r);
bool router_unsafe(const struct cf_router *r, enum cf_unsafe rule);
void router_watch_version(struct cf_router *r, uint16_t version);

/* request.c */
uint32_t request_slot(const struct cf_router *r, const struct request *q);
struct request *request_get(struct cf_router *r, uint32_t id);
void request_move(struct request *q, enum request_state to);
void request_end(struct cf_router *r, struct request *q);
enum err_run_state request_run_state(
    const struct cf_router *r, const struct request *q);
bool request_convicted(const struct cf_router *r, uint64_t fingerprint);
uint8_t request_running(const struct request *q);
void request_refuse(struct cf_router *r, struct request *q, int error,
    enum cf_reason reason, uint32_t after_ms);
void request_answer(struct cf_router *r, struct request *q, uint8_t attempt);
void request_go(struct cf_router *r, struct request *q, enum cf_reason why);
void request_unqueue(struct cf_router *r, struct request *q);
void request_arrived(struct cf_router *r, const struct cf_request *asked);
void request_claimed(struct cf_router *r, uint32_t id, int error);
void request_caller_gone(struct cf_router *r, uint32_t id);

/* place.c */
/* Whose turn a request has. */
enum place_turn {
	PLACE_NEW, /* it goes behind the ones in the queue */
	PLACE_IN_TURN, /* it comes from the queue, or has run before */
	PLACE_SPARE /* only on servers that nobody waits for */
};

enum place_result {
	PLACE_DONE,
	PLACE_FULL, /* servers run it, none has room */
	PLACE_NO_SERVER,
	PLACE_NOT_ALLOWED
};

uint16_t place_lane(const struct request *q, uint16_t version);
bool place_allowed(
    const struct cf_router *r, const struct request *q, uint16_t version);
void place_configure(struct cf_router *r, const struct cfg *cfg);
bool place_choose(struct cf_router *r, struct request *q);
void place_need(const struct cf_router *r, const struct request *q,
    uint16_t version, uint16_t avoid[CF_ATTEMPTS_MAX], struct fl_need *need);
enum place_result place_local(
    struct cf_router *r, struct request *q, enum place_turn turn);
uint64_t place_wants(const struct request *q);
bool place_beyond(struct cf_router *r, struct request *q);
bool place_on(struct cf_router *r, struct request *q, uint16_t server);
bool place_forward(struct cf_router *r, struct request *q);
bool place_reachable(const struct cf_router *r, const struct request *q);
bool place_ramping(struct cf_router *r);
int64_t place_wait_us(const struct cf_router *r, const struct request *q);

/* attempt.c */
bool attempt_dispatch(struct cf_router *r, struct request *q,
    const struct fl_choice *choice, uint16_t version, enum cf_reason why);
bool attempt_forward(
    struct cf_router *r, struct request *q, uint16_t data_centre);
void attempt_cancel(struct cf_router *r, struct request *q, uint8_t number);
void attempt_first_token(struct cf_router *r, const struct cf_attempt *report);
void attempt_done(struct cf_router *r, const struct cf_attempt *report);
void attempt_failed(struct cf_router *r, const struct cf_attempt *report);
void attempt_hedge(struct cf_router *r, struct request *q);

/* upkeep.c */
void upkeep_crash(struct cf_router *r, uint16_t server);
void upkeep_ask(struct cf_router *r, uint16_t server);
void upkeep_drain_server(struct cf_router *r, uint16_t server);
void upkeep_drain(struct cf_router *r);
void upkeep_finish(struct cf_router *r);

#endif
