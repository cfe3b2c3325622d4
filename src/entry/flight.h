#ifndef CF_FLIGHT_H
#define CF_FLIGHT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryford.h"
#include "entry/attempt.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "entry/servers.h"
#include "http/client.h"
#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Private to src/entry: the entry child's state, and its open requests. */
enum {
	FLIGHT_ID_BYTES = 96,
	FLIGHTS_MAX = 16384, /* open requests of one instance */
	EXPLAIN_LINES = 4096,
	EXPLAIN_LINE_BYTES = 512
};

struct flight_attempt {
	struct attempt *attempt;
	struct buf body; /* as sent, with the version's name in it */
	uint16_t version;
	uint16_t server;
	bool forwarded;
};

/* One request, from its arrival to the end of its answer. */
struct flight {
	struct entry *entry;
	uint32_t id;
	struct hs_exchange *x; /* NULL once the caller has gone */
	char name[FLIGHT_ID_BYTES]; /* request id, as callers see it */
	char key[FLIGHT_ID_BYTES + 64]; /* claimed; "" if none */
	uint64_t sequence;
	struct cf_request request;
	char session[REQUEST_SESSION_BYTES + 32]; /* as the answer names it */
	json_t *json; /* chat: the body */
	struct buf body; /* as the caller sent it, where it is passed on */
	char *method;
	char *target;
	struct flight_attempt attempts[CF_ATTEMPTS_MAX];
	uint8_t attempt_count;
	uint32_t output_tokens;
	uint64_t cost_nano;
	int64_t arrived_us;
	enum cf_place place; /* of the answer, for its rating */
	int winner; /* attempt answered with, or -1 */
	int streaming_from; /* attempt whose tokens pass on, or -1 */
	uint8_t waiting; /* what must be durable before the answer ends */
	bool routed; /* the router knows the request */
	bool claimed;
	bool intended;
	bool marking; /* start is waiting for the attempt marker */
	struct cf_action start;
};

struct entry {
	struct entry_options options;
	struct cf_router *router;
	struct cf_actions *actions;
	struct hs *server;
	struct hc *client;
	struct servers *servers;
	const struct cfg *cfg;
	uint16_t data_centre; /* CFG_NONE until the configuration names it */
	struct flight **flights;
	uint32_t *free_ids;
	uint32_t free_count;
	uint64_t sequence;
	struct loop_timer *wake;
	struct loop_timer *tick;
	int64_t wake_us;
	bool stepping;
	bool draining;
	struct cf_event *queue; /* events that arose inside a step */
	size_t queued;
	size_t queue_size;
	char (*explain)[EXPLAIN_LINE_BYTES];
	uint32_t explain_next;
	struct metrics_series *requests;
	struct metrics_series *answers;
	struct metrics_series *dispatches;
	struct metrics_series *first_token;
	struct metrics_series *whole;
	struct metrics_series *tokens;
};

struct flight *flight_new(struct entry *entry, struct hs_exchange *x);
void flight_free(struct flight *flight);
struct flight *flight_find(struct entry *entry, uint32_t id);
void flight_dispatch(struct flight *flight, const struct cf_action *action);
void flight_forward(struct flight *flight, const struct cf_action *action);
void flight_cancel(struct flight *flight, uint8_t attempt);
void flight_answer(struct flight *flight, const struct cf_action *action);
void flight_refuse(struct flight *flight, const struct cf_action *action);
void flight_marked(struct flight *flight, int error);
void flight_durable(struct flight *flight);

const char *entry_version_name(const struct entry *entry, uint16_t version);
void entry_note(struct entry *entry, const struct flight *flight,
    const struct cf_action *action, const char *what, const char *choice);
void entry_count_error(struct entry *entry, int error);

#ifdef __cplusplus
}
#endif

#endif
