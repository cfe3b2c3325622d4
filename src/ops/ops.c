#include "ops/ops.h"

#include <string.h>

#include "base/err.h"

enum {
	OPS_BODY_MAX_BYTES = 4 * 1024 * 1024,
	OPS_HEADER_MAX_BYTES = 8 * 1024,
	OPS_BODY_TIMEOUT_MS = 10000,
	OPS_CONNECTIONS_MAX = 64,
	HTTP_OK = 200,
	HTTP_UNAVAILABLE = 503
};

struct ops {
	struct ops_options options;
	struct http_server *server;
};

static void
answer_text(struct http_server_exchange *x, unsigned int status,
    const char *text, size_t len)
{
	const struct http_server_header header = {
	    "Content-Type", "text/plain; version=0.0.4"};

	http_server_answer(x, status, &header, 1, text, len);
}

static void
answer_metrics(struct ops *ops, struct http_server_exchange *x)
{
	struct buf text;

	buf_init(&text, ops->options.alloc);
	ops->options.ports->update_gauges(ops->options.ctx);
	metrics_print(ops->options.metrics, &text);
	answer_text(x, HTTP_OK, buf_text(&text), text.len);
	buf_free(&text);
}

static void
answer_ready(struct ops *ops, struct http_server_exchange *x)
{
	struct buf why;
	bool ready;

	buf_init(&why, ops->options.alloc);
	ready = ops->options.ports->is_ready(ops->options.ctx, &why);
	answer_text(x, ready ? HTTP_OK : HTTP_UNAVAILABLE,
	    ready ? "ready\n" : buf_text(&why), ready ? 6 : why.len);
	buf_free(&why);
}

static void
on_request(void *ctx, struct http_server_exchange *x)
{
	struct ops *ops = ctx;
	const char *path = http_server_path(x);

	if (strcmp(path, "/metrics") == 0)
		answer_metrics(ops, x);
	else if (strcmp(path, "/healthz") == 0)
		answer_text(x, HTTP_OK, "alive\n", 6);
	else if (strcmp(path, "/readyz") == 0)
		answer_ready(ops, x);
	else
		ops->options.ports->handle_request(ops->options.ctx, x);
}

static void
on_client_gone(void *ctx, struct http_server_exchange *x)
{
	struct ops *ops = ctx;

	ops->options.ports->client_gone(ops->options.ctx, x);
}

/* Ignored: responses are sent whole, not streamed. */
static void
on_drained(void *ctx, struct http_server_exchange *x)
{
	(void)ctx;
	(void)x;
}

/* Answers a request that the HTTP server rejected. */
static void
on_refused(void *ctx, struct http_server_exchange *x, int error)
{
	const struct err_answer *row = err_answer(error);

	(void)ctx;
	answer_text(x, row->http_status, row->text, strlen(row->text));
}

static const struct http_server_handler ops_handler = {
    on_request, on_client_gone, on_drained, on_refused};

/* Starts the server.  Returns NULL if it can't listen on the address. */
struct ops *
ops_new(const struct ops_options *options)
{
	struct ops *ops = alloc_zero(options->alloc, 1, sizeof(*ops));
	struct http_server_options server = {.alloc = options->alloc,
	    .loop = options->loop,
	    .host = options->host,
	    .port = options->port,
	    .body_max_bytes = OPS_BODY_MAX_BYTES,
	    .header_max_bytes = OPS_HEADER_MAX_BYTES,
	    .body_timeout_ms = OPS_BODY_TIMEOUT_MS,
	    .connections_max = OPS_CONNECTIONS_MAX,
	    .bodies_max_bytes = options->bodies_max_bytes,
	    .handler = &ops_handler,
	    .ctx = ops};

	ops->options = *options;
	ops->server = http_server_new(&server);
	if (ops->server == NULL) {
		alloc_free(options->alloc, ops);
		return NULL;
	}
	return ops;
}

/* Stops the server and frees it; NULL is allowed. */
void
ops_free(struct ops *ops)
{
	if (ops == NULL)
		return;
	http_server_free(ops->server);
	alloc_free(ops->options.alloc, ops);
}
