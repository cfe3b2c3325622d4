#ifndef CF_DIALECT_H
#define CF_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "http/headers.h"
#include "route/table.h"
#include "state/orders.h"
#include "state/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A dialect translates between the wire format of a platform, which callers,
 * backend servers and operators use, and the gateway's own types.  It only
 * parses and formats messages: it makes no decisions, keeps no state and does
 * not block.  Each platform that the gateway runs on has a dialect in
 * platform/.
 */
enum {
	GW_REQUEST_ID_BYTES = 64,
	GW_API_KEY_BYTES = 128,
	GW_PROMPT_PARTS_MAX = 16
};

enum gw_control_call_kind {
	GW_CALL_UNKNOWN,
	GW_CALL_PUT_DOCUMENT,
	GW_CALL_GET_DOCUMENT,
	GW_CALL_ANNOUNCE, /* a backend server announces its state */
	GW_CALL_LEAVE, /* a backend server announces its shutdown */
	GW_CALL_START_ROLLOUT,
	GW_CALL_GET_ROLLOUT,
	GW_CALL_DISABLE_DATA_CENTRE, /* takes a data centre out of service */
	GW_CALL_ENABLE_DATA_CENTRE
};

/*
 * A call of an operator or a backend server to the control interface.  Which
 * fields are set depends on its kind.
 */
struct gw_control_call {
	enum gw_control_call_kind kind;
	struct registry_server server;
	/* GW_CALL_GET_ROLLOUT sets only its service */
	struct ord_rollout rollout;
	char data_centre[ORD_NAME_BYTES];
};

/* One part of a prompt, which other requests may have in common. */
struct gw_prompt_part {
	uint64_t id;
	uint32_t tokens;
};

/* The contents of the header of a caller's request. */
struct gw_request_header {
	/* Identifies this transmission; "" if the caller gave no id */
	char id[GW_REQUEST_ID_BYTES];
	char key[GW_API_KEY_BYTES]; /* API key; "" if there is none */
	bool has_deadline;
	uint32_t deadline_ms; /* how long the caller waits */
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	uint32_t output_tokens_guess; /* the caller's estimate; 0: none */
	/* Parts of the prompt, from its beginning */
	struct gw_prompt_part parts[GW_PROMPT_PARTS_MAX];
	uint8_t part_count;
	uint64_t session; /* hash of the session's name; 0: none */
	bool any_model; /* the gateway chooses the model */
	bool resumes; /* resumes a stream after last_event */
	uint64_t last_event;
};

/*
 * What the gateway adds to the header of a request that it forwards to a
 * backend server.
 */
struct gw_forward_header {
	uint32_t deadline_ms; /* remaining time */
	const char *server; /* id of the only server that may run it */
	const char *workspace; /* NULL: none */
	const char *model; /* NULL: the one that the caller named */
	bool resumes;
	uint64_t last_event;
	int priority; /* urgency from 0, most urgent, to 9; -1: not sent */
};

/* The contents of the header of a backend server's answer. */
struct gw_answer_header {
	const char *id; /* of the request that it answers; NULL: not given */
	bool has_proof; /* has the signature field of a backend server */
	bool not_run; /* the server did not run the request */
	bool encoded; /* a content encoding was applied to the body */
	bool has_load;
	uint16_t running;
	uint16_t waiting;
	uint16_t slots;
	/*
	 * How long work takes at the server now, in percent of the usual time;
	 * only with has_load
	 */
	bool has_pace;
	uint32_t pace_percent;
	/* It states a pace that can't be parsed or is out of range */
	bool pace_unreadable;
	/* The model's confidence in its answer, 0 to 100; -1: not given */
	int confidence;
	bool has_cold;
	uint32_t cold_ms;
	bool leaving; /* the server is shutting down */
	bool has_pause; /* a refusal asks for a pause of pause_ms */
	uint32_t pause_ms;
	/* A refusal asks for a pause that can't be parsed */
	bool pause_unreadable;
	bool has_limit; /* the server limits its requests from all instances */
	/* that limit, in thousandths of a request a second */
	uint32_t limit_milli_per_s;
	/* It names a limit that can't be parsed */
	bool limit_unreadable;
	/* The server ends if it refuses too many requests in a second */
	bool is_brittle;
	uint32_t rejections_max; /* most that it bears */
	/* It says so with a number that can't be parsed */
	bool brittle_unreadable;
};

struct gw_dialect;

struct gw_dialect_ops {
	const char *name;
	/*
	 * Parses a document and its number.  One that comes from an operator
	 * is checked in full; one that the log holds may have been
	 * acknowledged by an older build that checked less.  Returns 0, or
	 * ERR_MALFORMED or ERR_INVALID with the reason in why.
	 */
	int (*read_document)(const struct gw_dialect *dialect, const char *text,
	    size_t len, bool from_operator, struct route_table **table,
	    uint64_t *number, struct buf *why);
	/*
	 * Parses a call.  Returns 0, or ERR_MALFORMED with the position in why.
	 */
	int (*read_call)(const struct gw_dialect *dialect, const char *method,
	    const char *target, const struct buf *body,
	    struct gw_control_call *call, struct buf *why);
	/* Formats the state of a roll-out. */
	void (*write_rollout)(const struct gw_dialect *dialect,
	    const struct ord_rollout *rollout, struct buf *out);
	/*
	 * Formats the answer to an announcement.  address: where the server
	 * sends its next ones; NULL: to any instance.
	 */
	void (*write_announced)(const struct gw_dialect *dialect,
	    const char *address, struct buf *out);
	/* Formats the body of an error.  why: details; may be NULL. */
	void (*write_error)(const struct gw_dialect *dialect, int error,
	    const char *why, struct buf *out);
	/* Returns whether a request asks if the instance is ready. */
	bool (*is_ready_probe)(const struct gw_dialect *dialect,
	    const char *method, const char *target);
	/*
	 * Parses the header of a caller's request.  Returns 0, or ERR_MALFORMED
	 * if it is inconsistent.
	 */
	int (*read_request)(const struct gw_dialect *dialect,
	    const struct header_fields *headers,
	    struct gw_request_header *request);
	/* Appends the header lines of a request to a backend server. */
	void (*write_request)(const struct gw_dialect *dialect,
	    const struct header_fields *headers,
	    const struct gw_forward_header *send, struct buf *lines);
	/*
	 * Appends the header lines of a caller's request that goes to another
	 * instance.  Only deadline and last event of send are used.
	 */
	void (*write_forwarded)(const struct gw_dialect *dialect,
	    const struct header_fields *headers,
	    const struct gw_forward_header *send, struct buf *lines);
	/* Parses the header of a backend server's answer. */
	void (*read_answer)(const struct gw_dialect *dialect,
	    const struct header_fields *headers,
	    struct gw_answer_header *answer);
	/* Appends the header lines of the answer to the caller. */
	void (*write_answer)(const struct gw_dialect *dialect,
	    const struct header_fields *headers, struct buf *lines);
};

struct gw_dialect {
	const struct gw_dialect_ops *ops;
};

#ifdef __cplusplus
}
#endif

#endif
