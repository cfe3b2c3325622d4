#ifndef CF_GATEWAY_WAITING_H
#define CF_GATEWAY_WAITING_H

#include "base/metrics.h"
#include "core/queue.h"
#include "route/admission.h"
#include "route/answer_time.h"
#include "route/shares.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The requests of one service that wait at this instance, and those that wait
 * for the orders after a start.  core/queue.c orders them by level and, within
 * a level, by the shares of workspaces; route/admission.c decides the level and
 * how long a request may wait.
 */
struct gw_entry;
struct gw_exchange;

enum {
	GW_WAITING_NONE = UINT32_MAX /* slot of a request that does not wait */
};

/* Requests of one workspace at one level */
struct gw_waiting_flow {
	uint64_t workspace; /* hash of its name */
	uint16_t level;
};

/* Shares of the workspaces whose requests have one priority */
struct gw_waiting_shares {
	uint8_t priority;
	uint32_t group; /* key of its rows in reports */
	struct shares shares;
	struct gw_waiting_shares *next;
};

struct gw_waiting {
	struct queue *queue; /* NULL: nothing has waited yet */
	struct gw_exchange **slots;
	uint32_t slot_count;
	struct gw_waiting_flow *flows;
	uint16_t flow_count;
	struct admission_rate arriving; /* requests of the service */
	struct admission_drain drain;
	double wait_ratio; /* of waits to what was expected */
	/* Waiting requests by level */
	uint32_t level_counts[ADMISSION_LEVELS];
	/* How long requests take a slot of a server, and their tokens */
	struct answer_time service_time;
	double mean_tokens;
	struct admission_returns returns;
	/* Requests without special needs that found no server in the last retry
	 */
	struct admission_blocked blocked;
	/* The same of those beyond their share, which find fewer servers */
	struct admission_blocked blocked_over;
	struct gw_waiting_shares *shares; /* over all instances, by priority */
};

void gw_waiting_add(struct gw_waiting *waiting, struct gw_exchange *ex);
void gw_waiting_remove(struct gw_exchange *ex);
void gw_waiting_record_arrival(struct gw_exchange *ex);
void gw_waiting_check_share(struct gw_exchange *ex);
struct gw_waiting_shares *gw_waiting_shares_of(const struct gw_exchange *ex);
size_t gw_waiting_report_shares(const struct gw_waiting *waiting,
    struct share_row *out, size_t max, int64_t now_us);
void gw_waiting_set_shares(struct gw_waiting *waiting,
    const struct share_row *rows, size_t count, int64_t now_us);
void gw_waiting_record_wait(struct gw_exchange *ex);
void gw_waiting_record_send(struct gw_exchange *ex);
uint16_t gw_waiting_level(const struct gw_exchange *ex);
uint32_t gw_waiting_ahead(struct gw_exchange *ex);
bool gw_waiting_lets_pass(const struct gw_exchange *ex);
struct admission_wait gw_waiting_describe(struct gw_exchange *ex);
void gw_waiting_retry(struct gw_waiting *waiting);
uint32_t gw_waiting_count(const struct gw_waiting *waiting);
void gw_waiting_copy(const struct gw_waiting *waiting, struct gw_waiting *copy);
void gw_waiting_free_copy(struct gw_waiting *copy);
void gw_waiting_free(struct gw_waiting *waiting);

#ifdef __cplusplus
}
#endif

#endif
