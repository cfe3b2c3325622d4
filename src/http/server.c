#include "http/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/err.h"

enum {
	HS_CONNECTION_BYTES = 12 * 1024, /* libmicrohttpd's pool a connection */
	HS_IDLE_TIMEOUT_S = 120,
	HS_HANGUP_US = 20000, /* shorter exchanges need no watch */
	HS_TICK_US = 1000000, /* idle connections are closed this often */
	HS_STREAM_BLOCK_BYTES = 4096,
	HS_DRAINED_BYTES = 16 * 1024 /* the handler may write on below this */
};

struct hs {
	struct hs_options options;
	struct MHD_Daemon *daemon;
	struct loop_watch *watch;
	struct loop_timer *again; /* a run is due at once */
	struct loop_timer *tick;
	uint32_t open;
};

struct hs_exchange {
	struct hs *hs;
	struct MHD_Connection *connection;
	char *method;
	char *target; /* path and query as sent */
	char *path;
	struct buf body;
	struct buf out; /* stream bytes not yet taken */
	struct MHD_Response *response;
	unsigned int status;
	struct loop_watch *hangup;
	struct loop_timer *timer;
	void *data;
	int refusal;
	size_t header_bytes;
	bool handed; /* request() has been called */
	bool owned; /* the handler may still use it */
	bool suspended;
	bool queued; /* the response is with libmicrohttpd */
	bool streaming;
	bool ended;
	bool whole;
	bool gone;
	bool full; /* drained() is owed */
};

static void run_again(void *ctx);

static void
run_now(struct hs *hs)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(hs->daemon);
	if (MHD_get_timeout(hs->daemon, &timeout_ms) == MHD_YES &&
	    timeout_ms == 0 && hs->again == NULL) {
		hs->again = loop_after(hs->options.loop, 0, run_again, hs);
	}
}

static void
run_again(void *ctx)
{
	struct hs *hs = ctx;

	hs->again = NULL;
	run_now(hs);
}

static void
run_ready(void *ctx, int events)
{
	(void)events;
	run_now((struct hs *)ctx);
}

static void
run_tick(void *ctx)
{
	struct hs *hs = ctx;

	run_now(hs);
	hs->tick = loop_after(hs->options.loop, HS_TICK_US, run_tick, hs);
}

/*
 * Lets libmicrohttpd go on with a connection.  Without a thread of its own it
 * has nothing that wakes it for that, so a run is due at once.
 */
static void
resume(struct hs_exchange *x)
{
	struct hs *hs = x->hs;

	if (!x->suspended)
		return;
	x->suspended = false;
	MHD_resume_connection(x->connection);
	if (hs->again == NULL)
		hs->again = loop_after(hs->options.loop, 0, run_again, hs);
}

/* The socket became readable while the handler works: closed, or pipelined. */
static void
check_hangup(void *ctx, int events)
{
	struct hs_exchange *x = ctx;
	const union MHD_ConnectionInfo *info;
	char byte;
	ssize_t n;

	(void)events;
	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0) {
		loop_rewatch(x->hangup, 0);
		return;
	}
	if (n < 0)
		return;
	loop_unwatch(x->hangup);
	x->hangup = NULL;
	x->gone = true;
	if (x->owned) {
		x->owned = false;
		x->hs->options.handler->gone(x->hs->options.ctx, x);
	}
	resume(x);
}

/* A request that takes its time is watched for its caller's going away. */
static void
watch_hangup(void *ctx)
{
	struct hs_exchange *x = ctx;
	const union MHD_ConnectionInfo *info;

	x->timer = NULL;
	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	x->hangup = loop_watch(
	    x->hs->options.loop, info->connect_fd, LOOP_READ, check_hangup, x);
}

/*
 * The request did not arrive in time.  libmicrohttpd takes no response in the
 * middle of an upload, so the answer is written to the socket as it is.
 */
static void
request_late(void *ctx)
{
	static const char answer[] =
	    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
	    "Content-Type: application/json\r\nRetry-After: 1\r\n"
	    "Content-Length: 108\r\n\r\n"
	    "{\"error\":{\"kind\":\"slow_sender\",\"message\":\"the request came "
	    "too slowly\",\"run_state\":\"not_run\",\"param\":null}}\n";
	struct hs_exchange *x = ctx;
	const union MHD_ConnectionInfo *info;

	x->timer = NULL;
	x->gone = true;
	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (send(info->connect_fd, answer, sizeof(answer) - 1,
		MSG_NOSIGNAL | MSG_DONTWAIT) >= 0)
		shutdown(info->connect_fd, SHUT_RDWR);
}

static enum MHD_Result
count_header(
    void *ctx, enum MHD_ValueKind kind, const char *key, const char *value)
{
	struct hs_exchange *x = ctx;

	(void)kind;
	x->header_bytes += strlen(key) + (value != NULL ? strlen(value) : 0);
	return MHD_YES;
}

/* The request line is complete: an exchange begins. */
static void *
exchange_new(void *ctx, const char *target, struct MHD_Connection *connection)
{
	struct hs *hs = ctx;
	const struct alloc *alloc = hs->options.alloc;
	struct hs_exchange *x = alloc_zero(alloc, 1, sizeof(*x));

	x->hs = hs;
	x->connection = connection;
	x->target = alloc_strdup(alloc, target);
	buf_init(&x->body, alloc);
	buf_init(&x->out, alloc);
	hs->open++;
	return x;
}

/* The headers are complete. */
static void
exchange_begin(struct hs_exchange *x, const char *method, const char *path)
{
	struct hs *hs = x->hs;
	struct MHD_Connection *connection = x->connection;
	const char *length;

	x->method = alloc_strdup(hs->options.alloc, method);
	x->path = alloc_strdup(hs->options.alloc, path);
	MHD_get_connection_values(connection, MHD_HEADER_KIND, count_header, x);
	if (x->header_bytes > hs->options.header_max_bytes)
		x->refusal = ERR_HEADER;
	length = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, "Content-Length");
	if (length != NULL &&
	    strtoull(length, NULL, 10) > hs->options.body_max_bytes)
		x->refusal = ERR_TOO_LARGE;
	x->timer = loop_after(hs->options.loop,
	    (int64_t)hs->options.body_timeout_ms * 1000, request_late, x);
}

static enum MHD_Result
queue_response(struct hs_exchange *x)
{
	enum MHD_Result result;

	x->queued = true;
	result = MHD_queue_response(x->connection, x->status, x->response);
	MHD_destroy_response(x->response);
	x->response = NULL;
	return result;
}

/* Hands the request to the handler; suspends unless it answered at once. */
static enum MHD_Result
hand_over(struct hs_exchange *x)
{
	const struct hs_options *options = &x->hs->options;

	x->handed = true;
	x->owned = true;
	loop_cancel(x->timer);
	x->timer = NULL;
	if (x->refusal != 0)
		options->handler->refused(options->ctx, x, x->refusal);
	else
		options->handler->request(options->ctx, x);
	if (x->response != NULL)
		return queue_response(x);
	x->timer = loop_after(options->loop, HS_HANGUP_US, watch_hangup, x);
	x->suspended = true;
	MHD_suspend_connection(x->connection);
	return MHD_YES;
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_size, void **data)
{
	struct hs *hs = ctx;
	struct hs_exchange *x = *data;

	(void)connection;
	(void)version;
	if (x->method == NULL) {
		exchange_begin(x, method, url);
		return x->refusal != 0 ? hand_over(x) : MHD_YES;
	}
	if (x->gone)
		return MHD_NO;
	if (*upload_size > 0) {
		if (x->body.len + *upload_size > hs->options.body_max_bytes)
			x->refusal = ERR_TOO_LARGE;
		else
			buf_add(&x->body, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!x->handed)
		return hand_over(x);
	if (x->response != NULL)
		return queue_response(x);
	return x->queued ? MHD_YES : MHD_NO;
}

/* The connection has done with a request, whole or not. */
static void
on_completed(void *ctx, struct MHD_Connection *connection, void **data,
    enum MHD_RequestTerminationCode code)
{
	struct hs *hs = ctx;
	struct hs_exchange *x = *data;
	const struct alloc *alloc = hs->options.alloc;

	(void)connection;
	(void)code;
	if (x == NULL)
		return;
	*data = NULL;
	if (x->owned) {
		x->owned = false;
		hs->options.handler->gone(hs->options.ctx, x);
	}
	loop_cancel(x->timer);
	loop_unwatch(x->hangup);
	if (x->response != NULL)
		MHD_destroy_response(x->response);
	buf_free(&x->body);
	buf_free(&x->out);
	alloc_free(alloc, x->target);
	alloc_free(alloc, x->method);
	alloc_free(alloc, x->path);
	alloc_free(alloc, x);
	hs->open--;
}

static bool
listen_address(const struct hs_options *options, struct sockaddr_storage *out)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, options->host, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(options->port);
		return true;
	}
	if (inet_pton(AF_INET6, options->host, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(options->port);
		return true;
	}
	return false;
}

static struct MHD_Daemon *
start_daemon(struct hs *hs)
{
	const struct MHD_OptionItem items[] = {
	    {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL},
	    {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)exchange_new, hs},
	    {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, hs},
	    {MHD_OPTION_CONNECTION_MEMORY_LIMIT, HS_CONNECTION_BYTES, NULL},
	    {MHD_OPTION_CONNECTION_LIMIT, hs->options.connections_max, NULL},
	    {MHD_OPTION_CONNECTION_TIMEOUT, HS_IDLE_TIMEOUT_S, NULL},
	    {MHD_OPTION_END, 0, NULL}};
	struct sockaddr_storage address;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;

	if (!listen_address(&hs->options, &address))
		return NULL;
	if (address.ss_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(flags, 0, NULL, NULL, on_access, hs,
	    MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address, MHD_OPTION_ARRAY,
	    items, MHD_OPTION_END);
}

/* Starts listening.  NULL if the address is not an IP number or is taken. */
struct hs *
hs_new(const struct hs_options *options)
{
	struct hs *hs = alloc_zero(options->alloc, 1, sizeof(*hs));
	const union MHD_DaemonInfo *info;

	hs->options = *options;
	hs->daemon = start_daemon(hs);
	if (hs->daemon == NULL) {
		alloc_free(options->alloc, hs);
		return NULL;
	}
	info = MHD_get_daemon_info(hs->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	hs->watch =
	    loop_watch(options->loop, info->epoll_fd, LOOP_READ, run_ready, hs);
	hs->tick = loop_after(options->loop, HS_TICK_US, run_tick, hs);
	return hs;
}

/* Ends the server; exchanges still open end as if their callers had gone. */
void
hs_free(struct hs *hs)
{
	if (hs == NULL)
		return;
	loop_unwatch(hs->watch);
	loop_cancel(hs->again);
	loop_cancel(hs->tick);
	MHD_stop_daemon(hs->daemon);
	alloc_free(hs->options.alloc, hs);
}

/* Closes the listening socket; open connections go on. */
void
hs_stop_accepting(struct hs *hs)
{
	MHD_socket fd = MHD_quiesce_daemon(hs->daemon);

	if (fd != MHD_INVALID_SOCKET)
		shutdown(fd, SHUT_RDWR);
}

/* Returns the port that the server listens on. */
uint16_t
hs_port(const struct hs *hs)
{
	const union MHD_DaemonInfo *info;

	info = MHD_get_daemon_info(hs->daemon, MHD_DAEMON_INFO_BIND_PORT);
	return info != NULL ? info->port : 0;
}

/* Returns how many exchanges are open. */
uint32_t
hs_open(const struct hs *hs)
{
	return hs->open;
}

const char *
hs_method(const struct hs_exchange *x)
{
	return x->method;
}

/* Returns path and query as the caller sent them. */
const char *
hs_target(const struct hs_exchange *x)
{
	return x->target;
}

/* Returns the path, decoded and without its query. */
const char *
hs_path(const struct hs_exchange *x)
{
	return x->path;
}

/* Returns a header's value, or NULL. */
const char *
hs_header(const struct hs_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(
	    x->connection, MHD_HEADER_KIND, name);
}

/* Returns a value of the query, or NULL. */
const char *
hs_query(const struct hs_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(
	    x->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the whole body, which lives as long as the exchange. */
const struct buf *
hs_body(const struct hs_exchange *x)
{
	return &x->body;
}

/* Keeps a pointer of the handler's with the exchange. */
void
hs_set_data(struct hs_exchange *x, void *data)
{
	x->data = data;
}

void *
hs_data(const struct hs_exchange *x)
{
	return x->data;
}

static void
set_response(struct hs_exchange *x, unsigned int status,
    const struct hs_header *headers, size_t count)
{
	for (size_t i = 0; i < count; i++)
		MHD_add_response_header(
		    x->response, headers[i].name, headers[i].value);
	x->status = status;
	resume(x);
}

/* Answers with one body, which is copied, and ends the exchange. */
void
hs_answer(struct hs_exchange *x, unsigned int status,
    const struct hs_header *headers, size_t count, const void *body, size_t len)
{
	x->owned = false;
	x->response = MHD_create_response_from_buffer(
	    len, (void *)body, MHD_RESPMEM_MUST_COPY);
	set_response(x, status, headers, count);
}

static ssize_t
read_stream(void *ctx, uint64_t position, char *out, size_t max)
{
	struct hs_exchange *x = ctx;
	size_t n = x->out.len < max ? x->out.len : max;

	(void)position;
	if (x->gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > 0) {
		memcpy(out, x->out.data, n);
		buf_consume(&x->out, n);
		if (x->full && x->owned && x->out.len < HS_DRAINED_BYTES) {
			x->full = false;
			x->hs->options.handler->drained(x->hs->options.ctx, x);
		}
		return (ssize_t)n;
	}
	if (x->ended)
		return x->whole ? MHD_CONTENT_READER_END_OF_STREAM
				: MHD_CONTENT_READER_END_WITH_ERROR;
	x->suspended = true;
	MHD_suspend_connection(x->connection);
	return 0;
}

/* Starts a streamed answer; the status can't be changed after this. */
void
hs_stream_begin(struct hs_exchange *x, unsigned int status,
    const struct hs_header *headers, size_t count)
{
	x->streaming = true;
	x->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, HS_STREAM_BLOCK_BYTES, read_stream, x, NULL);
	set_response(x, status, headers, count);
}

/* Appends bytes to the stream; drained() follows if the caller is slow. */
void
hs_stream_write(struct hs_exchange *x, const void *data, size_t len)
{
	buf_add(&x->out, data, len);
	if (x->out.len >= HS_DRAINED_BYTES)
		x->full = true;
	resume(x);
}

/* Returns how many bytes the caller has not taken yet. */
size_t
hs_stream_pending(const struct hs_exchange *x)
{
	return x->out.len;
}

/*
 * Ends the stream once all was sent.  With whole == false the connection is
 * closed without the last chunk, so that the caller sees a cut answer.
 */
void
hs_stream_end(struct hs_exchange *x, bool whole)
{
	x->owned = false;
	x->ended = true;
	x->whole = whole;
	resume(x);
}
