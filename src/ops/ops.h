#ifndef CF_OPS_H
#define CF_OPS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The ops child: the HTTP server for the platform's health checks and metrics
 * scrapes and for operators' requests.  The daemon supplies the content through
 * struct ops_ports.
 */
struct ops;

/* Functions that the daemon supplies; each gets the ctx of ops_options. */
struct ops_ports {
	/* Returns whether the instance is ready; if not, why says so. */
	bool (*is_ready)(void *ctx, struct buf *why);
	/* Updates the gauges; called just before metrics are printed. */
	void (*update_gauges)(void *ctx);
	/*
	 * Handles a request for any other path.  The exchange is answered
	 * with http_server_answer(), immediately or later.
	 */
	void (*handle_request)(void *ctx, struct http_server_exchange *x);
	/* The client disconnected before it was answered. */
	void (*client_gone)(void *ctx, struct http_server_exchange *x);
};

struct ops_options {
	const struct alloc *alloc;
	struct loop *loop;
	struct metrics *metrics;
	const char *host;
	uint16_t port;
	size_t bodies_max_bytes; /* of all requests together */
	const struct ops_ports *ports;
	void *ctx;
};

struct ops *ops_new(const struct ops_options *options);
void ops_free(struct ops *ops);

#ifdef __cplusplus
}
#endif

#endif
