#ifndef CF_HTTP_SERVER_H
#define CF_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * HTTP server on the event loop, through libmicrohttpd in external epoll mode.
 * The handler gets each request once its body is complete, and answers it at
 * once or later, with one body or as a stream. An exchange belongs to the
 * handler from request() until the handler calls http_server_answer() or
 * http_server_stream_end(), or until gone() reports that the caller
 * disconnected first. After any of these three the handler must not use it.
 */
struct http_server;
struct http_server_exchange;

struct http_server_header {
	const char *name;
	const char *value;
};

struct http_server_handler {
	void (*request)(void *ctx, struct http_server_exchange *x);
	void (*gone)(void *ctx, struct http_server_exchange *x);
	void (*drained)(void *ctx, struct http_server_exchange *x);
	/*
	 * The server refuses a request itself; the handler answers it. error is
	 * an ERR_* of base/err.h.
	 */
	void (*refused)(void *ctx, struct http_server_exchange *x, int error);
};

struct http_server_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* IPv4 or IPv6 address */
	uint16_t port;
	uint32_t body_max_bytes;
	uint32_t header_max_bytes;
	/* Limits the time from the end of the header to that of the body. */
	uint32_t body_timeout_ms;
	/*
	 * Limits the open connections.  When it is reached, those that have
	 * waited longest for the rest of a request are closed.
	 */
	uint32_t connections_max;
	/*
	 * Limits the bytes of the bodies of all requests together; 0: none.  A
	 * request that exceeds it is refused with ERR_MEMORY, unless its body
	 * is small.
	 */
	size_t bodies_max_bytes;
	/*
	 * Limits the bytes of large plain answers that are not all sent; 0:
	 * none.  Beyond it, connections are closed whose callers have taken
	 * nothing for a second, and beyond twice of it the ones that have for
	 * longest, so that these see a part of their answer.
	 */
	size_t answers_max_bytes;
	const struct http_server_handler *handler;
	void *ctx;
};

struct http_server *http_server_new(const struct http_server_options *options);
void http_server_free(struct http_server *server);
void http_server_stop_accepting(struct http_server *server);
uint16_t http_server_port(const struct http_server *server);
uint32_t http_server_open_exchanges(const struct http_server *server);

const char *http_server_method(const struct http_server_exchange *x);
const char *http_server_target(const struct http_server_exchange *x);
const char *http_server_path(const struct http_server_exchange *x);
const char *http_server_header(
    const struct http_server_exchange *x, const char *name);
const char *http_server_query(
    const struct http_server_exchange *x, const char *name);
const struct buf *http_server_body(const struct http_server_exchange *x);
void http_server_set_data(struct http_server_exchange *x, void *data);
void *http_server_data(const struct http_server_exchange *x);

void http_server_answer(struct http_server_exchange *x, unsigned int status,
    const struct http_server_header *headers, size_t count, const void *body,
    size_t len);
void http_server_stream_begin(struct http_server_exchange *x,
    unsigned int status, const struct http_server_header *headers,
    size_t count);
void http_server_stream_write(
    struct http_server_exchange *x, const void *data, size_t len);
size_t http_server_stream_pending_bytes(const struct http_server_exchange *x);
void http_server_stream_end(struct http_server_exchange *x, bool whole);

#ifdef __cplusplus
}
#endif

#endif
