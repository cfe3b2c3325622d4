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
 * HTTP/1.1 client for backend servers on the event loop. libhttp-parser does
 * the framing. The client never retries, and reports exactly whether a byte of
 * a request was sent.
 *
 * What a server may send is bounded: the header fields of an answer, the
 * interim answers and answers to other calls before the awaited one, and the
 * framing around a body (chunk headers, extensions, trailers). A call that
 * exceeds a bound ends with ERR_TOO_LARGE. The handler limits the length of the
 * body.
 *
 * A connection carries one call at a time and is kept for the next one after a
 * complete answer. It is closed if the server sends anything while no call is
 * open, more bytes after an answer, or an answer to another call.
 * upstream_cancel() closes the connection, which servers take as the signal to
 * stop working on the request.
 */
struct upstream_client;
struct upstream_call;

enum {
	/* Returned by head() to skip an answer that belongs to another call */
	UPSTREAM_SKIP_ANSWER = 1
};

/* What marked the end of an answer. */
enum upstream_end {
	UPSTREAM_END_NONE, /* it is not complete */
	UPSTREAM_END_LENGTH, /* its length, which may be 0 */
	UPSTREAM_END_LAST_CHUNK,
	/*
	 * The end of the connection.  A server that crashes ends it as well, so
	 * that the answer may be a part of one.
	 */
	UPSTREAM_END_CONNECTION
};

/* What a probe of an address has found. */
enum upstream_probe_result {
	/*
	 * A process accepts connections there and has gone on for a moment
	 * after that.  A call may use the connection.
	 */
	UPSTREAM_PROBE_ACCEPTED,
	/*
	 * Each connection was accepted and closed at once.  A server with too
	 * many of them does so, and so does one that ends, or a proxy without
	 * a server.
	 */
	UPSTREAM_PROBE_CLOSED,
	UPSTREAM_PROBE_REFUSED, /* the address refused the connection */
	UPSTREAM_PROBE_FAILED /* it timed out, or failed in another way */
};

struct upstream_result {
	int error; /* 0: the answer is complete, as far as its end shows */
	unsigned int status; /* 0: no answer arrived */
	bool sent; /* a byte of the request was sent */
	bool unreachable; /* no connection was established */
	bool refused; /* the address refused the connection */
	bool closed; /* the server closed the connection */
	bool reused; /* the call started on an idle connection */
	enum upstream_end end;
};

struct upstream_handler {
	/*
	 * Gets the status and header fields of an answer. Returns 0 to go on,
	 * UPSTREAM_SKIP_ANSWER to skip the answer, or a negative ERR_* to end
	 * the call.
	 */
	int (*head)(void *ctx, struct upstream_call *call, unsigned int status,
	    const struct header_fields *headers);
	int (*data)(void *ctx, struct upstream_call *call, const void *data,
	    size_t len);
	/* The call has ended; its pointer is no longer valid. */
	void (*done)(void *ctx, const struct upstream_result *result);
};

struct upstream_options {
	const struct alloc *alloc;
	struct loop *loop;
	uint32_t connect_timeout_ms;
	/* Upper bound; a server's Keep-Alive timeout may be shorter. */
	uint32_t idle_timeout_ms;
	/*
	 * A probe has ended.  dials_before: upstream_dial_count() when it
	 * began.  May be NULL.
	 */
	void (*probed)(void *ctx, const struct sockaddr_in *address,
	    enum upstream_probe_result result, uint64_t dials_before);
	void *ctx;
	struct in_addr source; /* local address to connect from; 0: any */
	/* A connection was established, for a call or a probe.  May be NULL. */
	void (*connected)(void *ctx, const struct sockaddr_in *address);
};

struct upstream_request {
	struct sockaddr_in address;
	const struct buf *head; /* request line and header fields; copied */
	const void *body; /* copied */
	size_t len;
	bool is_head; /* a HEAD request: the answer has no body */
	bool fresh; /* use a new connection, and for nothing else */
	/*
	 * Identity by which the answer is recognized.  No connection carries
	 * the same one twice, as an answer to the first sending would be taken
	 * for one to the second.  0: none
	 */
	uint64_t identity;
	const struct upstream_handler *handler;
	void *ctx;
};

const char *upstream_end_name(enum upstream_end end);
struct upstream_client *upstream_new(const struct upstream_options *options);
void upstream_free(struct upstream_client *client);
struct upstream_call *upstream_start(
    struct upstream_client *client, const struct upstream_request *request);
void upstream_cancel(struct upstream_call *call);
void upstream_set_paused(struct upstream_call *call, bool pause);
bool upstream_was_sent(const struct upstream_call *call);
int64_t upstream_server_time_us(const struct upstream_call *call);
void upstream_probe(
    struct upstream_client *client, const struct sockaddr_in *address);
void upstream_close_idle(
    struct upstream_client *client, const struct sockaddr_in *address);
uint64_t upstream_dial_count(const struct upstream_client *client);

#ifdef __cplusplus
}
#endif

#endif
