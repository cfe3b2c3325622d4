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
 * The backend servers of one data centre, as one entry instance knows them:
 * what they announced, what this instance runs there, the warm-up credits it
 * holds, and an estimate of the time to the first token.
 *
 * Load reports lag.  A report is split into this instance's own part, which is
 * looked up in a short history and replaced by what it runs now, and the part
 * of the others, which fades to the fleet's mean as the report grows old.
 */
enum {
	FLEET_HISTORY_MAX =
	    64, /* changes of in_flight remembered for late reports */
	FLEET_LISTS = 128 /* one for each version, then one for each service */
};

struct fleet_in_flight_change {
	int64_t at_us;
	uint16_t in_flight; /* from then on */
};

struct fleet_server {
	struct cf_announce announcement; /* its last announcement */
	bool reachable; /* announced and neither silent nor gone */
	bool slow; /* its latency jumped: treated as cold */
	uint16_t in_flight; /* attempts of this instance */
	uint16_t suspects; /* of them, requests with a crash mark */
	uint16_t
	    cancels_unconfirmed; /* cancelled ones that may still run there */
	int64_t last_cancel_us; /* the last of those cancels */
	uint16_t others_load; /* load of other instances when last reported */
	int64_t last_heard_us;
	int64_t gone_us;
	uint64_t listed_versions; /* lists the server stands in */
	uint64_t listed_services;
	int64_t first_token_baseline_us; /* slow average of its latency */
	int64_t first_token_recent_us; /* fast average of the same */
	int64_t expectation_error_us; /* average of observed less expected
					 latency */
	int64_t service_us; /* average time of a whole attempt */
	uint32_t first_token_samples;
	uint16_t credits;
	bool credits_used; /* since they were given */
	uint64_t credits_incarnation;
	int64_t credits_until_us;
	int64_t credit_asked_us;
	uint16_t credit_asks_pending; /* asks whose answer is not in yet */
	uint16_t credit_asks_stale; /* of them, made before it was last warm */
	struct fleet_in_flight_change history[FLEET_HISTORY_MAX];
	uint8_t history_next;
};

struct fleet_options {
	const struct alloc *alloc;
	uint16_t max_servers;
	bool unsafe_credit; /* tests only */
	bool unsafe_leaving; /* tests only */
};

/* What a request needs of its server. */
struct fleet_need {
	uint16_t version; /* CFG_NONE: a plain service */
	uint16_t service;
	bool suspect; /* must run beside no other suspect */
	uint64_t reserved; /* no server that runs one of these versions */
	const uint16_t *avoid; /* servers already tried */
	uint8_t avoid_count;
	const uint64_t *prefixes;
	uint8_t prefix_count;
	uint32_t prompt_tokens;
};

struct fleet_choice {
	uint16_t server; /* CF_NO_SERVER: none has room */
	uint16_t candidates; /* servers that run it */
	uint16_t cold; /* a cold one without credit; CF_NO_SERVER */
	int64_t expected_us; /* time to the first token */
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
