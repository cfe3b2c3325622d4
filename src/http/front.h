#ifndef CF_HTTP_FRONT_H
#define CF_HTTP_FRONT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/loop.h"
#include "http/headers.h"
#include "http/memory_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * HTTP/1.1 server on the event loop, for requests that are forwarded unchanged.
 * libhttp-parser does the framing.
 *
 * The handler gets each request once its body is complete, and answers it at
 * once or later. An exchange belongs to the handler from request() until the
 * handler calls front_answer() or front_end_answer(), or until gone() reports
 * that the caller disconnected first. The connection is read while the handler
 * works, so that a disconnect is noticed at once. Pipelined requests are
 * dispatched one after another.
 */
struct front_server;
struct front_exchange;

struct front_callbacks {
	void (*request)(void *ctx, struct front_exchange *x);
	void (*gone)(void *ctx, struct front_exchange *x);
	/*
	 * The server refused a request itself; error is an ERR_* of base/err.h.
	 */
	void (*refused)(void *ctx, int error);
};

struct front_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	/* Limits the time from the first byte to the end of the header. */
	uint32_t header_timeout_ms;
	/*
	 * Limits the time between two requests, and the time from the first
	 * byte of a request with a complete header to its last byte.
	 */
	uint32_t idle_timeout_ms;
};

struct front_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* IPv4 address in dotted-decimal notation */
	uint16_t port;
	/*
	 * Limits the open connections.  When it is reached, the connection
	 * without a request that has waited longest is closed for a new one.
	 */
	uint32_t connections_max;
	/*
	 * Each request under way counts as another connection, since it needs
	 * one to a server.
	 */
	bool counts_requests;
	struct front_limits limits;
	/*
	 * Refuses requests with ERR_MEMORY and closes connections when it is
	 * short; alloc should count toward it.  NULL: none.
	 */
	struct memory_budget *memory;
	const struct front_callbacks *handler;
	/*
	 * Called when nearly all bytes queued so far for an unfinished answer
	 * have been written to the socket; may be NULL.
	 */
	void (*drained)(void *ctx, struct front_exchange *x);
	void *ctx;
};

struct front_header {
	const char *name;
	const char *value;
};

struct front_server *front_new(const struct front_options *options);
void front_free(struct front_server *server);
void front_set_limits(
    struct front_server *server, const struct front_limits *limits);
void front_set_draining(struct front_server *server, bool drain);
int front_stop_listening(struct front_server *server);
bool front_is_listening(const struct front_server *server);
void front_close_idle(struct front_server *server, int64_t idle_us);
uint32_t front_open_exchanges(const struct front_server *server);
uint32_t front_unsent_answers(const struct front_server *server);
uint32_t front_connection_count(const struct front_server *server);
uint64_t front_unread_closed(const struct front_server *server);
uint16_t front_port(const struct front_server *server);

const char *front_method(const struct front_exchange *x);
const char *front_target(const struct front_exchange *x);
const struct header_fields *front_headers(const struct front_exchange *x);
const struct buf *front_body(const struct front_exchange *x);
int64_t front_arrived_us(const struct front_exchange *x);
void front_set_data(struct front_exchange *x, void *data);
void *front_data(const struct front_exchange *x);

void front_answer(struct front_exchange *x, unsigned int status,
    const struct front_header *headers, size_t count, const void *body,
    size_t len);
void front_begin_answer(struct front_exchange *x, unsigned int status,
    const struct buf *header_lines, bool chunked, size_t content_length);
void front_write_body(struct front_exchange *x, const void *data, size_t len);
size_t front_pending_bytes(const struct front_exchange *x);
void front_end_answer(struct front_exchange *x, bool whole);

#ifdef __cplusplus
}
#endif

#endif
