#ifndef CF_GATEWAY_EXCHANGE_H
#define CF_GATEWAY_EXCHANGE_H

#include "base/log.h"
#include "gateway/entry.h"
#include "gateway/forwarders.h"
#include "route/cascade.h"
#include "route/retry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One caller's request and the attempts to get it answered, shared by the
 * files that process it:
 *
 *	exchange.c		admission, deadline, log lines, end
 *	exchange_send.c		placement and sending to a backend server
 *	exchange_answer.c	the server's answer: passed on or retried
 *	exchange_end.c		answers that end with their connection
 *	exchange_forward.c	forwarding through another instance
 *
 * route/pool.c chooses the server, and route/retry.c decides what follows an
 * attempt.  These files carry out both and uphold two guarantees: a request
 * that must not run twice is not sent again once it may have run, and no
 * request that may have run is reported as not run.
 */
enum {
	GW_TRIED_SERVERS_MAX = 8,
	/*
	 * Instances to which one request may be forwarded in turn, those that
	 * decline it included
	 */
	GW_FORWARD_TRIES_MAX = GW_FORWARDERS_MAX,
	/* Shared parts of a prompt as text: 16 digits and a comma each */
	GW_PARTS_TEXT_BYTES = GW_PROMPT_PARTS_MAX * 17 + 1,
	/* How long a request waits for orders and servers after a start. */
	GW_STARTUP_WAIT_US = 700000,
	/* Values of Retry-After: */
	GW_RETRY_MIN_MS = 50,
	GW_RETRY_FULL_MS = 300, /* no server has room */
	GW_RETRY_UNKNOWN_MS = 1500, /* no document or no server is known */
	US_PER_MS = 1000
};

/* The attempt under way, or the last one. */
struct gw_attempt {
	struct upstream_call *call; /* NULL: none under way */
	uint16_t server; /* index in the pool; not set if it is forwarded */
	uint32_t forwarded_to; /* instance; 0: it goes to a server itself */
	bool declined; /* by the instance that it was forwarded to */
	uint8_t runs_max; /* how often it may run with this attempt */
	enum pool_role role; /* of the server when the request was sent */
	uint64_t born_ms; /* start of the server's life it was sent to */
	int64_t sent_us;
	bool header_received;
	bool not_run; /* the server reports that it did not run the request */
	bool defective; /* the answer failed validation */
	enum upstream_end end; /* what marked the end of its answer */
	/* Sign of its server, if the connection marked the end; else NULL */
	const char *end_sign;
	bool is_event_stream; /* the answer is a stream of events */
	/* of the incomplete event in answer_body; see event_stream.h */
	size_t scanned_bytes;
	bool continues; /* the caller has events of an earlier attempt */
	uint32_t events; /* of a stream, received in this attempt */
	uint32_t new_events; /* of these, those that the caller hadn't got */
	bool server_leaving; /* its answer says that the server shuts down */
	uint32_t pause_ms; /* the server refused and asked for this pause */
	bool escalated; /* cancelled in favour of a larger model */
	bool mismatch_logged; /* an answer to another request was logged */
	int64_t progress_us; /* when it was sent, or last received a byte */
	double expected_ms; /* estimated time to the first byte */
	double pending_ms; /* estimated work; 0 once the first byte came */
	uint32_t tokens; /* memory that it takes at the server */
	double backlog_ms; /* of the server when the request was sent */
	uint32_t unread_tokens; /* prompt tokens that the server has to read */
	double nominal_ms; /* pool_nominal_ms() when it was sent */
	double predicted_ms; /* time to the first byte that was predicted */
	uint32_t server_load; /* requests there when this one was sent */
	bool server_cold; /* the server was cold when the request was sent */
	uint8_t gap_count; /* timed gaps between events */
	int64_t gap_sum_us; /* total length of these */
	double reading_max_ms; /* highest prompt backlog during these */
	unsigned int status;
};

/* An answer that ended with its connection and may be a part of one. */
struct gw_end_check {
	bool awaited; /* a sign of its server is awaited */
	struct upstream_result result; /* of the attempt */
	struct sockaddr_in address; /* of its server */
	int64_t ended_us;
	uint64_t dials; /* connections dialled by then */
};

struct gw_exchange {
	struct gw_entry *entry;
	struct front_exchange *caller; /* NULL: the caller has disconnected */
	struct gw_entry_table *table;
	const struct route_entry *route;
	/* NULL: the route needs none */
	const struct route_workspace *workspace;
	struct gw_entry_service *service_state;
	const struct route_service *service_config;
	struct gw_request_header request;
	/* To what crashes of servers are attributed */
	struct suspects_request causes;
	bool is_crash_trial; /* tries whether a refused part still crashes */
	uint8_t priority;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t first_byte_us; /* 0: no byte has been received yet */
	struct loop_timer *timer;
	struct gw_attempt attempt;
	struct gw_end_check end_check;
	uint16_t model_index; /* in the route's list */
	/* What is known of the route's models; NULL: the caller names one */
	struct gw_entry_models *models;
	struct confidence_course confidence; /* what it has taught */
	uint16_t tried_servers[GW_TRIED_SERVERS_MAX];
	uint8_t tried_count;
	uint8_t send_count; /* attempts, including those that did not run */
	uint8_t run_count; /* attempts that ran or may have run */
	bool may_have_run;
	bool may_have_arrived; /* a server has received it, or may have */
	bool is_counted; /* in the retry budget, here or where it came from */
	/* Its next attempt was taken from the budget where it came from */
	bool is_retry_paid;
	/* Instance that has forwarded it; 0: it came from the caller */
	uint32_t forwarded_by;
	/* Instances that it was forwarded to */
	uint32_t forward_tries[GW_FORWARD_TRIES_MAX];
	uint8_t forward_count;
	bool answer_begun; /* the caller has received part of an answer */
	struct gw_waiting *waiting; /* queue that it is in; NULL: none */
	uint32_t waiting_slot; /* in that */
	uint16_t waiting_flow;
	int64_t queued_us; /* when its wait began */
	int64_t expected_wait_us; /* as of then; 0: not known */
	/* It is refused then unless it is sent before; 0: not decided */
	int64_t wait_until_us;
	bool was_queued; /* is or has been in the waiting queue */
	bool in_turn; /* the waiting queue has reached it */
	/* Servers had slots for it, but not the memory, when it was tried last
	 */
	bool lacks_memory;
	bool awaits_limit; /* all servers that it may use name limits */
	/* Counted to its workspace's demand; beyond that one's share */
	bool is_share_known;
	bool is_over_share;
	bool refused_full; /* its last server refused it as it was full */
	struct buf answer_head; /* header lines for the caller */
	struct buf answer_body; /* a plain body, or an incomplete event */
	size_t buffered_bytes; /* its part of the entry's buffered_bytes */
	bool is_paused; /* reading stopped: the caller reads too slowly */
	bool has_last_event;
	uint64_t last_event_id; /* of the last event that was forwarded */
	bool stream_is_typed; /* its first answer has a content type */
	int64_t event_us; /* when the caller got the last event; 0: none */
	int64_t longest_gap_us; /* between two of them */
	bool ids_consecutive; /* so far, of the forwarded events */
	bool has_unnumbered; /* an event without an id was forwarded */
	bool defers_log; /* log lines are written only if it fails */
	struct buf deferred_log;
	struct gw_exchange *prev;
	struct gw_exchange *next;
};

/* By what a request that arrives is admitted, besides its header fields. */
struct gw_arrival {
	const char *host; /* NULL: none is given */
	const char *target;
	const struct buf *body;
};

/* What is to be done with a request now. */
enum gw_place {
	GW_PLACE_SEND, /* to a server */
	GW_PLACE_FORWARD, /* through another instance */
	GW_PLACE_DECLINE, /* back to the instance that has forwarded it */
	GW_PLACE_AWAIT_ORDERS, /* it waits as the orders aren't known yet */
	GW_PLACE_AWAIT_SERVERS, /* the same for the servers */
	GW_PLACE_WAIT, /* it waits for room */
	GW_PLACE_REFUSE,
	GW_PLACE_REFUSE_FULL, /* no server has room in time */
	GW_PLACE_REFUSE_LIMITED, /* limits of all servers leave it no room */
	GW_PLACE_REFUSE_PAUSED, /* all servers ask for longer pauses */
	GW_PLACE_REFUSE_CRASHES,
	GW_PLACE_REFUSE_BUDGET /* the retry budget is used up */
};

/* A decision on a request, and what it rests on. */
struct gw_placement {
	enum gw_place place;
	int error; /* of a refusal */
	int64_t retry_ms; /* of a refusal, before it is bounded */
	/* Servers were looked for; query.service is NULL otherwise */
	struct pool_query query;
	uint16_t server; /* ROUTE_NONE: none was picked */
	struct suspects_summary record; /* crashes of servers */
	bool is_trial; /* of a request that is refused for crashes otherwise */
	struct admission_wait wait; /* for room; now_us is 0 if not looked at */
	int64_t until_us; /* end of a wait; 0: not decided */
	struct pool_opening opening;
	/* When servers that pause or name limits take the request */
	int64_t opens_ms;
	uint32_t ahead; /* while all servers name limits */
};

uint64_t gw_exchange_identity(const struct gw_exchange *ex);
int64_t gw_exchange_now_us(const struct gw_exchange *ex);
void gw_exchange_free(struct gw_exchange *ex);
void gw_exchange_log(struct gw_exchange *ex, enum log_level level,
    const char *event, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
const char *gw_exchange_format_parts(
    const struct gw_exchange *ex, char out[GW_PARTS_TEXT_BYTES]);
void gw_exchange_log_end(
    struct gw_exchange *ex, const char *outcome, unsigned int status);
void gw_exchange_answer_error(
    struct gw_exchange *ex, int error, int64_t retry_ms);
void gw_exchange_truncate(struct gw_exchange *ex);
void gw_exchange_set_timer(struct gw_exchange *ex);
void gw_exchange_clear_pending(struct gw_exchange *ex);
void gw_exchange_leave_server(struct gw_exchange *ex);
struct gw_exchange *gw_exchange_new(
    struct gw_entry *entry, struct front_exchange *x);
bool gw_exchange_prepare(struct gw_exchange *ex,
    const struct gw_arrival *arrival, struct gw_placement *placement);
int64_t gw_exchange_retry_after_ms(
    const struct gw_exchange *ex, int64_t retry_ms);
void gw_exchange_admit(struct gw_exchange *ex);
void gw_exchange_count_request(struct gw_exchange *ex);

/* exchange_send.c */
int64_t gw_exchange_first_us(const struct gw_exchange *ex);
const char *gw_exchange_model(const struct gw_exchange *ex);
uint32_t gw_exchange_tokens(const struct gw_exchange *ex);
void gw_exchange_decide(struct gw_exchange *ex, struct gw_placement *placement);
void gw_exchange_place(struct gw_exchange *ex);
void gw_exchange_refuse(struct gw_exchange *ex, int error, int64_t retry_ms);
void gw_exchange_log_no_budget(struct gw_exchange *ex);
void gw_exchange_abandon_attempt(struct gw_exchange *ex);
int64_t gw_exchange_progress_limit_us(const struct gw_exchange *ex);
bool gw_exchange_is_load_trial(
    const struct gw_exchange *ex, const struct ord_rollout *rollout);
void gw_exchange_suspect_crash(struct gw_exchange *ex, bool closed);
void gw_exchange_cancel_attempt(struct gw_exchange *ex);
void gw_exchange_wait(struct gw_exchange *ex);
bool gw_exchange_may_keep_waiting(const struct gw_exchange *ex);
bool gw_exchange_estimate(struct gw_exchange *ex, uint16_t model,
    int64_t *work_us, int64_t *backlog_us);

/* exchange_model.c */
bool gw_exchange_decide_model(
    struct gw_exchange *ex, struct cascade_choice *choice);
void gw_exchange_choose_model(struct gw_exchange *ex);
bool gw_exchange_should_escalate(struct gw_exchange *ex, int confidence);

/* exchange_answer.c */
uint32_t gw_exchange_output_tokens(const struct gw_exchange *ex);
extern const struct upstream_handler gw_exchange_call_handler;
int gw_exchange_take_data(struct gw_exchange *ex, const void *data, size_t len);
int gw_exchange_begin_body(
    struct gw_exchange *ex, const struct header_fields *headers);
bool gw_exchange_may_resume(const struct gw_exchange *ex);
bool gw_exchange_stops_within_event(const struct gw_exchange *ex);
void gw_exchange_follow_up(struct gw_exchange *ex, enum retry_end end,
    const struct upstream_result *result);
void gw_exchange_complete(struct gw_exchange *ex);
void gw_exchange_conclude(struct gw_exchange *ex, enum retry_end end,
    const struct upstream_result *result);
struct suspects_life gw_exchange_life(const struct gw_exchange *ex);
void gw_exchange_log_mismatch(struct gw_exchange *ex, const char *from);

/* exchange_end.c */
void gw_exchange_await_sign(
    struct gw_exchange *ex, const struct upstream_result *result);

/* exchange_forward.c */
bool gw_exchange_must_forward(const struct gw_exchange *ex);
void gw_exchange_forward(struct gw_exchange *ex);
bool gw_exchange_is_too_late(const struct gw_exchange *ex);
bool gw_exchange_must_decline(const struct gw_exchange *ex);
void gw_exchange_decline(struct gw_exchange *ex);

#ifdef __cplusplus
}
#endif

#endif
