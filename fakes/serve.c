#include "serve.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flags.h"

enum {
	SERVE_BODY_MAX_BYTES = 4 << 20
};

struct serve {
	serve_handler_fn handler;
	void *ctx;
};

/*
 * Queues a JSON response, with one additional header field unless its value is
 * NULL or empty.  Returns MHD_NO if the response can't be queued.
 */
enum MHD_Result
serve_json(struct MHD_Connection *connection, unsigned status, const char *body,
    const char *header, const char *value)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	response = MHD_create_response_from_buffer(
	    strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", "application/json");
	if (value != NULL && value[0] != '\0')
		MHD_add_response_header(response, header, value);
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

/* Returns a numeric query parameter, or -1 if the request has none. */
int64_t
serve_query_number(struct MHD_Connection *connection, const char *name)
{
	const char *text = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, name);

	return text == NULL ? -1 : strtoll(text, NULL, 10);
}

/*
 * Prints the address that a program listens on as a line "WHAT IP:PORT"; port
 * is the bound port, which the system chooses if listen has port 0.  If address
 * is not NULL, it is set to the text "IP:PORT", to be released with free(3).
 */
void
serve_print_address(
    const char *what, const char *listen, uint16_t port, char **address)
{
	int host = (int)strcspn(listen, ":");
	char *text;

	if (asprintf(&text, "%.*s:%u", host, listen, port) < 0)
		abort();
	printf("%s %s\n", what, text);
	fflush(stdout);
	if (address != NULL)
		*address = text;
	else
		free(text);
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **request_ctx)
{
	struct serve *serve = ctx;
	struct serve_request *request = *request_ctx;

	if (request == NULL) {
		request = alloc_zero(alloc_default(), 1, sizeof(*request));
		request->connection = connection;
		request->method = method;
		request->path = url;
		buf_init(&request->body, alloc_default());
		*request_ctx = request;
		return MHD_YES;
	}
	if (*size > 0) {
		if (request->body.len + *size > SERVE_BODY_MAX_BYTES)
			return MHD_NO;
		buf_add(&request->body, data, *size);
		*size = 0;
		return MHD_YES;
	}
	return serve->handler(serve->ctx, request);
}

static void
on_request_completed(void *ctx, struct MHD_Connection *connection,
    void **request_ctx, enum MHD_RequestTerminationCode code)
{
	struct serve_request *request = *request_ctx;

	if (request == NULL)
		return;
	buf_free(&request->body);
	alloc_free(alloc_default(), request);
	*request_ctx = NULL;
}

/*
 * Listens on IP:PORT, prints the address and serves requests on the loop until
 * the process ends.  Prints an error and returns NULL if the address can't be
 * used.  A process can have one such server.
 */
struct MHD_Daemon *
serve_start(struct tool_loop *loop, const char *listen,
    serve_handler_fn handler, void *ctx)
{
	static struct serve serve;
	struct sockaddr_in address;
	struct MHD_Daemon *daemon = NULL;
	const union MHD_DaemonInfo *info;

	serve.handler = handler;
	serve.ctx = ctx;
	if (flags_parse_address(listen, &address))
		daemon = MHD_start_daemon(MHD_USE_EPOLL, 0, NULL, NULL,
		    on_request, &serve, MHD_OPTION_SOCK_ADDR, &address,
		    MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
		    MHD_OPTION_END);
	if (daemon == NULL)
		fprintf(stderr, "can't listen on %s\n", listen);
	if (daemon == NULL)
		return NULL;
	tool_loop_attach_daemon(loop, daemon);
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	serve_print_address("serves", listen, info->port, NULL);
	return daemon;
}
