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
 * The ops child: health and metrics for the platform, and operators' requests.
 * What it answers with comes through the ports; an operator's request that
 * takes its time is answered later with ops_answer().
 */
struct ops;

struct ops_ports {
	bool (*ready)(void *ctx, struct buf *why);
	/* Refreshes gauges just before they are printed. */
	void (*measure)(void *ctx);
	/* Every other path; the port answers the exchange, now or later. */
	void (*operate)(void *ctx, struct http_server_exchange *x);
	void (*gone)(void *ctx, struct http_server_exchange *x);
};

struct ops_options {
	const struct alloc *alloc;
	struct loop *loop;
	struct metrics *metrics;
	const char *host;
	uint16_t port;
	const struct ops_ports *ports;
	void *ctx;
};

struct ops *ops_new(const struct ops_options *options);
void ops_free(struct ops *ops);

#ifdef __cplusplus
}
#endif

#endif
