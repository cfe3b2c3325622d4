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
 * A dialect turns bytes that outsiders speak into the gateway's own types and
 * back.  It decides nothing, keeps nothing and waits for nothing: what a
 * message means is all it knows.  Each platform that the gateway runs on has
 * one; platform/ holds them.
 */
enum {
	DL_ID_BYTES = 64,
	DL_KEY_BYTES = 128,
	DL_PARTS_MAX = 16
};

enum dl_call_kind {
	DL_UNKNOWN_CALL,
	DL_PUT_DOCUMENT,
	DL_GET_DOCUMENT,
	DL_ANNOUNCE, /* a backend server says how it is */
	DL_LEAVE, /* a backend server is about to end */
	DL_START_ROLLOUT,
	DL_GET_ROLLOUT,
	DL_TAKE_OUT, /* a data centre, out of use */
	DL_TAKE_BACK
};

/* A call of an operator or a backend server; fields by its kind. */
struct dl_call {
	enum dl_call_kind kind;
	struct rg_server server;
	struct ord_rollout rollout; /* DL_GET_ROLLOUT: only its service */
	char data_centre[ORD_NAME_BYTES];
};

/* One part of a prompt that other requests may share. */
struct dl_part {
	uint64_t id;
	uint32_t tokens;
};

/* What the header of a caller's request says. */
struct dl_request {
	char id[DL_ID_BYTES]; /* of this sending; "" if there is none */
	char key[DL_KEY_BYTES]; /* API key; "" if there is none */
	bool has_deadline;
	uint32_t deadline_ms; /* the caller waits this long */
	uint32_t prompt_tokens;
	uint32_t output_tokens_max;
	uint32_t output_tokens_guess; /* the caller's estimate; 0: none */
	struct dl_part parts[DL_PARTS_MAX]; /* of the prompt, in order */
	uint8_t part_count;
	uint64_t session; /* hash of the session's name; 0: none */
	bool any_model; /* the gateway chooses the model */
	bool resumes; /* goes on after this event: */
	uint64_t last_event;
};

/* What the gateway adds to a request on its way to a backend server. */
struct dl_send {
	uint32_t deadline_ms; /* what is left */
	const char *server; /* only this one may run it */
	const char *workspace; /* NULL: none */
	const char *model; /* NULL: as the caller named it */
	bool resumes;
	uint64_t last_event;
	int priority; /* urgency, 0 to 9, 0 first; -1: not said */
};

/* What the header of a backend server's answer says. */
struct dl_answer {
	const char *id; /* of the request that it answers; NULL: not said */
	bool has_proof; /* that a backend server made it */
	bool not_run; /* the request has not run there */
	bool encoded; /* the body is not the server's own bytes */
	bool has_load;
	uint16_t running;
	uint16_t waiting;
	uint16_t slots;
	int confidence; /* 0 to 100, the model's own; -1: not said */
	bool has_cold;
	uint32_t cold_ms;
	bool leaving; /* the server is about to end */
	bool has_pause; /* with a refusal: the server wants nothing for */
	uint32_t pause_ms;
	bool pause_unreadable; /* it names a time that can't be read */
};

struct dl_dialect;

struct dl_ops {
	const char *name;
	/* Reads a document and its number; ERR_MALFORMED, ERR_INVALID. */
	int (*read_document)(const struct dl_dialect *dialect, const char *text,
	    size_t len, struct rt_table **table, uint64_t *number,
	    struct buf *why);
	/* Reads a call; ERR_MALFORMED with the place in why. */
	int (*read_call)(const struct dl_dialect *dialect, const char *method,
	    const char *target, const struct buf *body, struct dl_call *call,
	    struct buf *why);
	void (*write_rollout)(const struct dl_dialect *dialect,
	    const struct ord_rollout *rollout, struct buf *out);
	/* address: where a server's later announcements go; NULL: anywhere. */
	void (*write_announced)(const struct dl_dialect *dialect,
	    const char *address, struct buf *out);
	void (*write_error)(const struct dl_dialect *dialect, int error,
	    const char *why, struct buf *out);
	bool (*is_ready_probe)(const struct dl_dialect *dialect,
	    const char *method, const char *target);
	/* ERR_MALFORMED for a header that contradicts itself. */
	int (*read_request)(const struct dl_dialect *dialect,
	    const struct hh *headers, struct dl_request *request);
	/* Appends the header lines that a backend server gets. */
	void (*write_request)(const struct dl_dialect *dialect,
	    const struct hh *headers, const struct dl_send *send,
	    struct buf *lines);
	void (*read_answer)(const struct dl_dialect *dialect,
	    const struct hh *headers, struct dl_answer *answer);
	/* Appends the header lines of an answer that the caller gets. */
	void (*write_answer)(const struct dl_dialect *dialect,
	    const struct hh *headers, struct buf *lines);
};

struct dl_dialect {
	const struct dl_ops *ops;
};

#ifdef __cplusplus
}
#endif

#endif
