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
	FL_HISTORY = 64, /* changes of in_flight remembered for late reports */
	FL_LISTS = 128 /* one for each version, then one for each service */
};

struct fl_change {
	int64_t at_us;
	uint16_t in_flight; /* from then on */
};

struct fl_server {
	struct cf_announce said; /* its last announcement */
	bool known; /* announced and neither silent nor gone */
	bool slow; /* its latency jumped: treated as cold */
	uint16_t in_flight; /* attempts of this instance */
	uint16_t suspects; /* of them, requests with a crash mark */
	uint16_t lingering; /* cancelled ones that may still run there */
	int64_t lingering_us; /* the last of those cancels */
	uint16_t others; /* load of other instances when last reported */
	int64_t heard_us;
	int64_t gone_us;
	uint64_t listed_versions; /* lists the server stands in */
	uint64_t listed_services;
	int64_t first_token_us; /* slow average of its latency */
	int64_t recent_us; /* fast average of the same */
	int64_t error_us; /* average of observed less expected latency */
	int64_t service_us; /* average time of a whole attempt */
	uint32_t samples;
	uint16_t credits;
	bool credits_used; /* since they were given */
	uint64_t credits_incarnation;
	int64_t credits_until_us;
	int64_t asked_us;
	uint16_t asks_open; /* asks whose answer is not in yet */
	uint16_t asks_void; /* of them, made before it was last warm */
	struct fl_change history[FL_HISTORY];
	uint8_t history_next;
};

struct fl_options {
	const struct alloc *alloc;
	uint16_t max_servers;
	bool unsafe_credit; /* tests only */
	bool unsafe_leaving; /* tests only */
};

/* What a request needs of its server. */
struct fl_need {
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

struct fl_choice {
	uint16_t server; /* CF_NO_SERVER: none has room */
	uint16_t candidates; /* servers that run it */
	uint16_t cold; /* a cold one without credit; CF_NO_SERVER */
	int64_t expected_us; /* time to the first token */
};

struct fl;

struct fl *fl_new(const struct fl_options *options);
void fl_free(struct fl *fl);
bool fl_announce(struct fl *fl, const struct cf_announce *said, int64_t now_us);
void fl_gone(struct fl *fl, uint16_t server, int64_t now_us);
void fl_silence(struct fl *fl, int64_t now_us);
void fl_credit(struct fl *fl, uint16_t server, uint64_t incarnation,
    uint16_t credits, int64_t until_us);
struct fl_server *fl_server(struct fl *fl, uint16_t server);
uint16_t fl_end(const struct fl *fl);
struct cache *fl_cache(struct fl *fl);
uint64_t fl_versions(const struct fl *fl);
uint16_t fl_count(const struct fl *fl, const struct fl_need *need);
uint32_t fl_slots(const struct fl *fl, const struct fl_need *need);

bool fl_open(const struct fl *fl, uint16_t server, int64_t now_us);
bool fl_can_take(const struct fl *fl, uint16_t server,
    const struct fl_need *need, int64_t now_us);
int64_t fl_expect(const struct fl *fl, uint16_t server,
    const struct fl_need *need, int64_t now_us);
void fl_pick(struct fl *fl, struct rng *rng, const struct fl_need *need,
    int64_t now_us, struct fl_choice *choice);

void fl_started(struct fl *fl, uint16_t server, bool suspect, int64_t now_us);
void fl_cancelled(struct fl *fl, uint16_t server, int64_t now_us);
void fl_ended(struct fl *fl, uint16_t server, bool suspect, int64_t now_us);
void fl_first_token(
    struct fl *fl, uint16_t server, int64_t took_us, int64_t expected_us);
void fl_served(struct fl *fl, uint16_t server, int64_t took_us);

#ifdef __cplusplus
}
#endif

#endif
