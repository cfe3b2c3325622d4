#ifndef CF_HTTP_FRONT_H
#define CF_HTTP_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/loop.h"
#include "http/headers.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * HTTP/1.1 server on the event loop, for requests that are forwarded unchanged.
 * libhttp-parser does the framing.
 *
 * The handler gets each request once its body is complete, and answers it at
 * once or later. An exchange belongs to the handler from request() until the
 * handler calls hf_answer() or hf_end(), or until gone() reports that the
 * caller disconnected first. The connection is read while the handler works, so
 * that a disconnect is noticed at once. Pipelined requests are dispatched one
 * after another.
 */
struct hf;
struct hf_exchange;

struct hf_handler {
	void (*request)(void *ctx, struct hf_exchange *x);
	void (*gone)(void *ctx, struct hf_exchange *x);
	/*
	 * The server refused a request itself; error is an ERR_* of base/err.h.
	 */
	void (*refused)(void *ctx, int error);
};

struct hf_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms; /* from the first byte to the end of the
				       header */
	/*
	 * Limits the time between two requests, and the time from the first
	 * byte of a request with a complete header to its last byte.
	 */
	uint32_t idle_timeout_ms;
};

struct hf_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* IPv4 address in dotted-decimal notation */
	uint16_t port;
	uint32_t connections_max;
	struct hf_limits limits;
	const struct hf_handler *handler;
	/*
	 * Called when all bytes queued so far for an unfinished answer have
	 * been written to the socket; may be NULL.
	 */
	void (*drained)(void *ctx, struct hf_exchange *x);
	void *ctx;
};

struct hf_header {
	const char *name;
	const char *value;
};

struct hf *hf_new(const struct hf_options *options);
void hf_free(struct hf *server);
void hf_set_limits(struct hf *server, const struct hf_limits *limits);
void hf_drain(struct hf *server, bool drain);
void hf_close_idle(struct hf *server);
uint32_t hf_open_exchanges(const struct hf *server);
uint32_t hf_connections(const struct hf *server);
uint16_t hf_port(const struct hf *server);

const char *hf_method(const struct hf_exchange *x);
const char *hf_target(const struct hf_exchange *x);
const struct hh *hf_headers(const struct hf_exchange *x);
const struct buf *hf_body(const struct hf_exchange *x);
int64_t hf_arrived_us(const struct hf_exchange *x);
void hf_set_data(struct hf_exchange *x, void *data);
void *hf_data(const struct hf_exchange *x);

void hf_answer(struct hf_exchange *x, unsigned int status,
    const struct hf_header *headers, size_t count, const void *body,
    size_t len);
void hf_begin(struct hf_exchange *x, unsigned int status,
    const struct buf *header_lines, bool chunked, size_t content_length);
void hf_write(struct hf_exchange *x, const void *data, size_t len);
size_t hf_pending(const struct hf_exchange *x);
void hf_end(struct hf_exchange *x, bool whole);

#ifdef __cplusplus
}
#endif

#endif
