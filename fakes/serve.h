#ifndef CF_SERVE_H
#define CF_SERVE_H

#include <microhttpd.h>
#include <stdint.h>

#include "base/buf.h"
#include "tool_loop.h"

/*
 * A small HTTP server for stand-ins that answer each request without delay:
 * the handler is called once with the complete request, and queues the response
 * with serve_json().
 */
struct serve_request {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	struct buf body;
};

typedef enum MHD_Result (*serve_handler_fn)(
    void *ctx, const struct serve_request *request);

void serve_print_address(
    const char *what, const char *listen, uint16_t port, char **address);
struct MHD_Daemon *serve_start(struct tool_loop *loop, const char *listen,
    serve_handler_fn handler, void *ctx);
enum MHD_Result serve_json(struct MHD_Connection *connection, unsigned status,
    const char *body, const char *header, const char *value);
int64_t serve_query_number(struct MHD_Connection *connection, const char *name);

#endif
