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
 * open, or more bytes after an answer. hu_cancel() closes the connection, which
 * servers take as the signal to stop working on the request.
 */
struct hu;
struct hu_call;

enum {
	HU_NOT_OURS = 1 /* returned by head(): the answer belongs to another
			   call, skip it */
};

struct hu_result {
	int error; /* 0: the answer is complete */
	unsigned int status; /* 0: no answer arrived */
	bool sent; /* a byte of the request was sent */
	bool unreachable; /* no connection was established */
	bool refused; /* the address refused the connection */
	bool closed; /* the server closed the connection */
	bool reused; /* the call started on an idle connection */
};

struct hu_handler {
	/*
	 * Gets the status and header fields of an answer. Returns 0 to go on,
	 * HU_NOT_OURS to skip the answer, or a negative ERR_* to end the call.
	 */
	int (*head)(void *ctx, struct hu_call *call, unsigned int status,
	    const struct hh *headers);
	int (*data)(
	    void *ctx, struct hu_call *call, const void *data, size_t len);
	/* The call has ended; its pointer is no longer valid. */
	void (*done)(void *ctx, const struct hu_result *result);
};

struct hu_options {
	const struct alloc *alloc;
	struct loop *loop;
	uint32_t connect_timeout_ms;
	uint32_t idle_timeout_ms; /* upper bound; a server's Keep-Alive timeout
				     may be shorter */
	/*
	 * A probe could not connect. refused: the address refused the
	 * connection; otherwise it timed out or failed in another way. May be
	 * NULL.
	 */
	void (*probed)(
	    void *ctx, const struct sockaddr_in *address, bool refused);
	void *ctx;
};

struct hu_request {
	struct sockaddr_in address;
	const struct buf *head; /* request line and header fields; copied */
	const void *body; /* copied */
	size_t len;
	bool is_head; /* a HEAD request: the answer has no body */
	bool fresh; /* don't reuse an idle connection */
	const struct hu_handler *handler;
	void *ctx;
};

struct hu *hu_new(const struct hu_options *options);
void hu_free(struct hu *client);
struct hu_call *hu_start(struct hu *client, const struct hu_request *request);
void hu_cancel(struct hu_call *call);
void hu_pause(struct hu_call *call, bool pause);
bool hu_was_sent(const struct hu_call *call);
int64_t hu_taken_us(const struct hu_call *call);
void hu_probe(struct hu *client, const struct sockaddr_in *address);
void hu_forget(struct hu *client, const struct sockaddr_in *address);
uint64_t hu_dialled(const struct hu *client);

#ifdef __cplusplus
}
#endif

#endif
