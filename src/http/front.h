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
 * An HTTP/1.1 server on the daemon's loop, framed by libhttp-parser, for
 * callers whose bytes are passed on as they came.
 *
 * A handler gets each request once its body is whole and answers at once or
 * later.  An exchange belongs to the handler from request() until it calls
 * hf_answer() or hf_end(), or until gone() says that the caller left first.
 * The connection is read all the while, so that a caller that leaves is noticed
 * at once; requests that follow on the same connection wait their turn.
 */
struct hf;
struct hf_exchange;

struct hf_handler {
	void (*request)(void *ctx, struct hf_exchange *x);
	void (*gone)(void *ctx, struct hf_exchange *x);
	/* A request that the server itself refused: an error of base/err.h. */
	void (*refused)(void *ctx, int error);
};

struct hf_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms; /* for the header fields to arrive */
	uint32_t idle_timeout_ms; /* between two requests */
};

struct hf_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* an IP number */
	uint16_t port;
	uint32_t connections_max;
	struct hf_limits limits;
	const struct hf_handler *handler;
	/* The caller has taken all of an answer under way so far; or NULL. */
	void (*drained)(void *ctx, struct hf_exchange *x);
	void *ctx;
};

struct hf_header {
	const char *name;
	const char *value;
};

struct hf *hf_new(const struct hf_options *options);
void hf_free(struct hf *hf);
void hf_set_limits(struct hf *hf, const struct hf_limits *limits);
void hf_drain(struct hf *hf, bool drain);
void hf_close_idle(struct hf *hf);
uint32_t hf_open_exchanges(const struct hf *hf);
uint32_t hf_connections(const struct hf *hf);
uint16_t hf_port(const struct hf *hf);

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
