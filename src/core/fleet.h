#ifndef CF_FLEET_H
#define CF_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "celeryford.h"
#include "core/cache.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * State of the backend servers of one data centre as seen by one entry
 * instance: their announcements, the attempts that this instance runs on them,
 * the warm-up credits that it holds, and estimates of their time to the first
 * token.
 *
 * Load reports arrive late.  A report is therefore split in two: this
 * instance's own part at the time of the report, looked up in a short history
 * and replaced by what the instance runs now, and the part of other instances,
 * which decays towards the fleet's mean as the report ages.
 */
enum {
	FLEET_HISTORY_MAX = 64, /* changes of in_flight kept for late reports */
	FLEET_LISTS = 128 /* versions, then services */
};

struct fleet_in_flight_change {
	int64_t at_us;
	uint16_t in_flight; /* value since at_us */
};

struct fleet_server {
	struct cf_announce announcement; /* the last one accepted */
	bool reachable; /* announced, not timed out or gone */
	bool slow; /* latency has jumped; limited to one attempt at a time */
	uint16_t in_flight; /* attempts that this instance runs there */
	uint16_t suspects; /* of in_flight, those with a crash mark */
	uint16_t cancels_unconfirmed; /* cancelled, may still run there */
	int64_t last_cancel_us; /* time of the last such cancellation */
	uint16_t others_load; /* load of other instances, as reported */
	int64_t last_heard_us;
	int64_t gone_us;
	uint64_t listed_versions; /* mask of lists that contain it */
	uint64_t listed_services;
	int64_t first_token_baseline_us; /* slow moving average */
	int64_t first_token_recent_us; /* fast moving average */
	int64_t expectation_error_us; /* mean observed minus expected latency */
	int64_t service_us; /* moving average of the duration of an attempt */
	uint32_t first_token_samples;
	uint16_t credits;
	bool credits_used; /* an attempt has started since the last grant */
	uint64_t credits_incarnation;
	int64_t credits_until_us;
	int64_t credit_asked_us;
	uint16_t credit_asks_pending; /* asks not answered yet */
	uint16_t credit_asks_stale; /* from an earlier cold phase */
	struct fleet_in_flight_change history[FLEET_HISTORY_MAX];
	uint8_t history_next;
};

struct fleet_options {
	const struct alloc *alloc;
	uint16_t max_servers;
	bool unsafe_credit; /* tests only: cold servers need no credit */
	bool unsafe_leaving; /* tests only: leaving servers are used */
};

/* Requirements of a request on its server. */
struct fleet_need {
	uint16_t version; /* CFG_NONE: service applies instead */
	uint16_t service;
	bool suspect; /* has a crash mark; not beside another suspect */
	uint64_t reserved; /* no server of any of these versions */
	const uint16_t *avoid; /* servers already tried */
	uint8_t avoid_count;
	const uint64_t *prefixes;
	uint8_t prefix_count;
	uint32_t prompt_tokens;
};

struct fleet_choice {
	uint16_t server; /* CF_NO_SERVER: none has room */
	uint16_t candidates; /* servers that run the target, with room or not */
	uint16_t cold; /* cold server without credit; CF_NO_SERVER: none */
	int64_t expected_us; /* expected time to the first token on server */
};

struct fleet;

struct fleet *fleet_new(const struct fleet_options *options);
void fleet_free(struct fleet *fleet);
bool fleet_apply_announcement(struct fleet *fleet,
    const struct cf_announce *announcement, int64_t now_us);
void fleet_mark_gone(struct fleet *fleet, uint16_t server, int64_t now_us);
void fleet_expire_silent(struct fleet *fleet, int64_t now_us);
void fleet_set_credits(struct fleet *fleet, uint16_t server,
    uint64_t incarnation, uint16_t credits, int64_t until_us);
struct fleet_server *fleet_server(struct fleet *fleet, uint16_t server);
uint16_t fleet_server_end(const struct fleet *fleet);
struct cache *fleet_cache(struct fleet *fleet);
uint64_t fleet_versions(const struct fleet *fleet);
uint16_t fleet_count_servers(
    const struct fleet *fleet, const struct fleet_need *need);
uint32_t fleet_count_slots(
    const struct fleet *fleet, const struct fleet_need *need);

bool fleet_has_room(const struct fleet *fleet, uint16_t server, int64_t now_us);
bool fleet_can_serve(const struct fleet *fleet, uint16_t server,
    const struct fleet_need *need, int64_t now_us);
int64_t fleet_expected_us(const struct fleet *fleet, uint16_t server,
    const struct fleet_need *need, int64_t now_us);
void fleet_pick_server(struct fleet *fleet, struct rng *rng,
    const struct fleet_need *need, int64_t now_us, struct fleet_choice *choice);

void fleet_attempt_started(
    struct fleet *fleet, uint16_t server, bool suspect, int64_t now_us);
void fleet_attempt_cancelled(
    struct fleet *fleet, uint16_t server, int64_t now_us);
void fleet_attempt_ended(
    struct fleet *fleet, uint16_t server, bool suspect, int64_t now_us);
void fleet_record_first_token(
    struct fleet *fleet, uint16_t server, int64_t took_us, int64_t expected_us);
void fleet_record_service_time(
    struct fleet *fleet, uint16_t server, int64_t took_us);

#ifdef __cplusplus
}
#endif

#endif
