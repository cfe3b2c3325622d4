#ifndef CF_HTTP_UPSTREAM_H
#define CF_HTTP_UPSTREAM_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/err.h"
#include "base/loop.h"
#include "http/headers.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * An HTTP/1.1 client for backend servers on the daemon's loop, framed by
 * libhttp-parser.  It never sends anything a second time by itself, and it
 * tells exactly whether a byte of a request has left.
 *
 * What a server sends is bounded: the fields of a head, the heads and whole
 * answers before the one that is waited for, and all that frames a body but is
 * no part of it.  Beyond that a call ends with ERR_TOO_LARGE.  How long a body
 * may be is the handler's to decide.
 *
 * A connection carries one call at a time and is kept for the next one after a
 * whole answer.  One on which anything comes while no call waits, or that has
 * more bytes after an answer, is closed.  hu_cancel() closes the connection,
 * which servers take as an order to stop.
 */
struct hu;
struct hu_call;

enum {
	HU_NOT_OURS = 1 /* head(): an answer to another call, wait for ours */
};

struct hu_result {
	int error; /* 0: the answer is whole */
	unsigned int status; /* 0: no answer came */
	bool sent; /* a byte of the request has left this host */
	bool unreachable; /* no connection could be made */
	bool refused; /* nothing listens at the address */
	bool closed; /* the server ended the connection */
	bool reused; /* on a connection that had served before */
};

struct hu_handler {
	/* 0: go on; HU_NOT_OURS; a negative number ends the call. */
	int (*head)(void *ctx, struct hu_call *call, unsigned int status,
	    const struct hh *headers);
	int (*data)(
	    void *ctx, struct hu_call *call, const void *data, size_t len);
	/* The call is over and gone. */
	void (*done)(void *ctx, const struct hu_result *result);
};

struct hu_options {
	const struct alloc *alloc;
	struct loop *loop;
	uint32_t connect_timeout_ms;
	uint32_t idle_timeout_ms; /* where a server does not give its own */
	/* A probe found no server; refused: nothing listens there. */
	void (*probed)(
	    void *ctx, const struct sockaddr_in *address, bool refused);
	void *ctx;
};

struct hu_request {
	struct sockaddr_in address;
	const struct buf *head; /* request line and fields; copied */
	const void *body; /* copied */
	size_t len;
	bool is_head; /* the answer has no body */
	bool fresh; /* on a connection of its own */
	const struct hu_handler *handler;
	void *ctx;
};

struct hu *hu_new(const struct hu_options *options);
void hu_free(struct hu *hu);
struct hu_call *hu_start(struct hu *hu, const struct hu_request *request);
void hu_cancel(struct hu_call *call);
void hu_pause(struct hu_call *call, bool pause);
bool hu_was_sent(const struct hu_call *call);
int64_t hu_taken_us(const struct hu_call *call);
void hu_probe(struct hu *hu, const struct sockaddr_in *address);
void hu_forget(struct hu *hu, const struct sockaddr_in *address);
uint64_t hu_dialled(const struct hu *hu);

#ifdef __cplusplus
}
#endif

#endif
