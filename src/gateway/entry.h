#ifndef CF_GATEWAY_ENTRY_H
#define CF_GATEWAY_ENTRY_H

#include "gateway/gateway.h"
#include "http/front.h"
#include "http/upstream.h"
#include "route/budget.h"
#include "route/pace.h"
#include "route/pool.h"
#include "route/sessions.h"
#include "route/suspects.h"
#include "route/evidence.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The entry of an instance: callers' requests and what they are routed by. */
struct gx;

enum {
	GE_CRASHES_REFUSED = 3, /* a request that crashed so many servers */
	GE_CRASHES_ALONE = 2 /* may run at one server at a time only */
};

/* A table of routes in use; requests keep the one they began with. */
struct ge_table {
	struct rt_table *routes;
	uint64_t number; /* of its document */
	uint32_t users;
};

/* What one service has at this instance. */
struct ge_service {
	char name[RG_NAME_BYTES];
	struct bu budget;
	struct metrics_series *requests;
	struct metrics_series *repeats;
	struct metrics_series *repeats_refused;
	struct metrics_series *budget_left; /* whole repeats, a gauge */
	struct pc paces[RT_MODELS_MAX]; /* by place in a route's list */
	double gap_us[RT_MODELS_MAX]; /* between events, of the old version */
	char trial[RG_NAME_BYTES]; /* target of the roll-out counted here */
	uint32_t trial_sent; /* requests to it, of so many */
	uint32_t trial_total;
	struct ge_service *next;
};

struct ge {
	struct gw *gw;
	struct hf *front;
	struct hf *ready;
	struct hu *client;
	struct pl *pool;
	struct se *sessions;
	struct ev *outcomes; /* of the roll-outs under way, at this instance */
	struct su *suspects; /* requests that may crash servers, or do */
	struct rng rng;
	struct ge_table *table; /* NULL: no document is known */
	struct ge_service *services;
	uint32_t instances; /* entry instances that share the slack; 0: none
			       was told of */
	struct gx *open; /* every request under way */
	struct gx *waiting; /* those without a server, most urgent first */
	uint64_t rollout; /* number of the one that sessions are held from */
	struct loop_timer *retry; /* looks at those that wait */
	struct loop_timer *compile;
	int64_t started_us;
	double log_lines; /* that may be written now */
	int64_t log_us; /* when that was reckoned */
	bool draining; /* unready; connections end with their answers */
	bool closed; /* new requests are refused */
	struct metrics_series *requests;
	struct metrics_series *answers;
	struct metrics_series *refusals;
	struct metrics_series *failures;
	struct metrics_series *repeats;
	struct metrics_series *leaving_heard;
	struct metrics_series *pauses;
	struct metrics_series *pauses_unreadable;
	struct metrics_series *unending;
	size_t buffered; /* bytes of answers that are not whole yet */
	struct metrics_series *crash_refusals;
	struct metrics_series *crash_marks;
	struct metrics_series *queue_us;
	struct metrics_series *first_us;
	struct metrics_series *whole_us;
	struct metrics_series *pass_us;
};

/* For links.c and follow.c */
void ge_orders_changed(struct ge *ge);
void ge_server_changed(struct ge *ge, const struct rg_server *server);
void ge_instances(struct ge *ge, uint32_t entry_instances, uint32_t told_by);
void ge_note(struct ge *ge, const struct nt_note *note);
const struct ev *ge_outcomes(const struct ge *ge);
bool ge_has_outcomes(const struct ge *ge);
void ge_drain(struct ge *ge);
void ge_refuse_new(struct ge *ge);
uint32_t ge_open_requests(const struct ge *ge);

/* For exchange.c */
uint32_t ge_trial_permille(const struct ge *ge, bool load_trial);
struct ge_service *ge_service_of(struct ge *ge, const char *name);
void ge_wait(struct ge *ge, struct gx *gx);
void ge_wake_waiting(struct ge *ge);
bool ge_may_log(struct ge *ge);
void ge_server_leaves(struct ge *ge, const struct rg_server *server);
void ge_server_refuses(struct ge *ge, const struct rg_server *server);
void ge_probe(struct ge *ge, uint16_t server);
struct su_life ge_life_of(const struct rg_server *server);
void ge_table_release(struct ge_table *table);

/* exchange.c */
void gx_start(struct ge *ge, struct hf_exchange *x);
void gx_gone(struct gx *gx);
void gx_drained(struct gx *gx);
void gx_try(struct gx *gx);
void gx_drop(struct gx *gx);
void gx_set_waiting(struct gx *gx, bool waiting);
void gx_touch_session(const struct gx *gx);
struct gx *gx_next_open(const struct gx *gx);
uint64_t gx_rank(const struct gx *gx);
struct gx **gx_next_waiting(struct gx *gx);

#ifdef __cplusplus
}
#endif

#endif
