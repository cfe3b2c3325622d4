#ifndef CF_ENTRY_REQUEST_H
#define CF_ENTRY_REQUEST_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "celeryford.h"
#include "entry/answer_room.h"
#include "entry/attempt.h"
#include "entry/entry.h"
#include "entry/request.h"
#include "entry/servers.h"
#include "http/client.h"
#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Private to src/entry: the state of the entry child and its open requests. */
enum {
	REQUEST_ID_BYTES = 96,
	OPEN_REQUESTS_MAX = 16384, /* at one instance */
	DECISION_LINES_MAX = 4096, /* kept for celeryfordctl explain */
	DECISION_LINE_BYTES = 512
};

/* One attempt as the request sees it. */
struct entry_request_attempt {
	struct attempt *attempt;
	struct buf body; /* as sent: names the chosen version */
	uint16_t version;
	uint16_t server;
	bool forwarded; /* to an instance of another data centre */
};

/* One request, from its arrival to the end of its answer. */
struct entry_request {
	struct entry *entry;
	uint32_t index; /* in requests_by_index; identifies it to the router */
	/* NULL once it was answered or the caller disconnected. */
	struct http_server_exchange *x;
	char request_id[REQUEST_ID_BYTES]; /* as callers see it */
	char key[REQUEST_ID_BYTES + 64]; /* idempotency key, or "" */
	uint64_t sequence; /* second part of an id assigned here */
	struct cf_request request;
	char session[REQUEST_SESSION_BYTES + 32]; /* "ID@REVISION", or "" */
	json_t *json; /* parsed body of a chat request, else NULL */
	/* Copy of the caller's body if it may be sent after x is gone. */
	struct buf body;
	char *method;
	char *target;
	struct entry_request_attempt attempts[CF_ATTEMPTS_MAX];
	uint8_t attempt_count;
	uint32_t output_tokens;
	uint64_t cost_nano; /* billionths; all attempts that ran */
	int64_t arrived_us;
	enum cf_place place; /* of the answer in its chain, for ratings */
	int winner; /* attempt whose answer is returned, or -1 */
	int streaming_attempt; /* attempt streamed to the caller, or -1 */
	uint8_t pending_writes; /* to become durable before the answer ends */
	bool in_router; /* the router is deciding on the request */
	bool claimed; /* the claim of key was granted */
	bool bill_intent_written;
	bool awaiting_marker; /* deferred_dispatch awaits a durable marker */
	struct cf_action deferred_dispatch;
};

struct entry {
	struct entry_options options;
	struct cf_router *router;
	struct cf_actions *actions;
	struct http_server *server;
	struct http_client *client;
	struct servers *servers;
	struct answer_room answer_room;
	const struct cfg *cfg;
	uint16_t data_centre; /* CFG_NONE until the configuration names it */
	struct entry_request **requests_by_index;
	uint32_t *free_indexes;
	uint32_t free_index_count;
	uint64_t sequence; /* of the latest request */
	struct loop_timer *wake_timer;
	struct loop_timer *tick_timer;
	int64_t wake_us; /* when wake_timer expires */
	bool in_router_step; /* events are deferred */
	bool draining;
	struct cf_event *deferred_events; /* raised during a router step */
	size_t deferred_count;
	size_t deferred_capacity;
	char (*decision_lines)[DECISION_LINE_BYTES]; /* ring buffer */
	uint32_t next_decision_line;
	struct metrics_series *requests_total;
	struct metrics_series *answers_total;
	struct metrics_series *dispatches_total;
	struct metrics_series *first_token_duration;
	struct metrics_series *answer_duration;
	struct metrics_series *output_tokens_total;
};

struct entry_request *entry_request_new(
    struct entry *entry, struct http_server_exchange *x);
void entry_request_free(struct entry_request *req);
struct entry_request *entry_request_find(struct entry *entry, uint32_t id);
void entry_request_dispatch(
    struct entry_request *req, const struct cf_action *action);
void entry_request_forward(
    struct entry_request *req, const struct cf_action *action);
void entry_request_cancel(struct entry_request *req, uint8_t attempt);
void entry_request_answer(
    struct entry_request *req, const struct cf_action *action);
void entry_request_abandon(struct entry_request *req);
void entry_request_refuse(
    struct entry_request *req, const struct cf_action *action);
void entry_request_marker_done(struct entry_request *req, int error);
void entry_request_write_done(struct entry_request *req);

const char *entry_version_name(const struct entry *entry, uint16_t version);
void entry_log_decision(struct entry *entry, const struct entry_request *req,
    const struct cf_action *action, const char *what, const char *choice);
void entry_count_error(struct entry *entry, int error);

#ifdef __cplusplus
}
#endif

#endif
