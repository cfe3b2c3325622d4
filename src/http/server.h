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
 * handler from request() until the handler calls hs_answer() or
 * hs_stream_end(), or until gone() reports that the caller disconnected first.
 * After any of these three the handler must not use it.
 */
struct hs;
struct hs_exchange;

struct hs_header {
	const char *name;
	const char *value;
};

struct hs_handler {
	void (*request)(void *ctx, struct hs_exchange *x);
	void (*gone)(void *ctx, struct hs_exchange *x);
	void (*drained)(void *ctx, struct hs_exchange *x);
	/*
	 * The server refuses a request itself; the handler answers it. error is
	 * an ERR_* of base/err.h.
	 */
	void (*refused)(void *ctx, struct hs_exchange *x, int error);
};

struct hs_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* IPv4 or IPv6 address */
	uint16_t port;
	uint32_t body_max_bytes;
	uint32_t header_max_bytes;
	uint32_t body_timeout_ms; /* from the end of the header to the end of
				     the body */
	uint32_t connections_max;
	const struct hs_handler *handler;
	void *ctx;
};

struct hs *hs_new(const struct hs_options *options);
void hs_free(struct hs *server);
void hs_stop_accepting(struct hs *server);
uint16_t hs_port(const struct hs *server);
uint32_t hs_open(const struct hs *server);

const char *hs_method(const struct hs_exchange *x);
const char *hs_target(const struct hs_exchange *x);
const char *hs_path(const struct hs_exchange *x);
const char *hs_header(const struct hs_exchange *x, const char *name);
const char *hs_query(const struct hs_exchange *x, const char *name);
const struct buf *hs_body(const struct hs_exchange *x);
void hs_set_data(struct hs_exchange *x, void *data);
void *hs_data(const struct hs_exchange *x);

void hs_answer(struct hs_exchange *x, unsigned int status,
    const struct hs_header *headers, size_t count, const void *body,
    size_t len);
void hs_stream_begin(struct hs_exchange *x, unsigned int status,
    const struct hs_header *headers, size_t count);
void hs_stream_write(struct hs_exchange *x, const void *data, size_t len);
size_t hs_stream_pending(const struct hs_exchange *x);
void hs_stream_end(struct hs_exchange *x, bool whole);

#ifdef __cplusplus
}
#endif

#endif
