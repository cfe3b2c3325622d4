#include "http/server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "base/log.h"
#include "http/listener.h"

enum {
	/* Size of libmicrohttpd's memory pool for each connection. */
	HTTP_SERVER_CONNECTION_BYTES = 12 * 1024,
	HTTP_SERVER_IDLE_TIMEOUT_S = 120,
	/*
	 * Exchanges that are answered within this time aren't watched for a
	 * disconnect.
	 */
	HTTP_SERVER_HANGUP_DELAY_US = 20000,
	/*
	 * Interval at which libmicrohttpd runs without socket events, to close
	 * idle connections.
	 */
	HTTP_SERVER_IDLE_CHECK_US = 1000000,
	/* Bodies up to this size are taken however much the others hold. */
	HTTP_SERVER_BODY_EXEMPT_BYTES = 16 * 1024,
	/*
	 * At the limit of connections, some of those without a request are
	 * closed; those that have had one are spared for a while.
	 */
	HTTP_SERVER_IDLE_SPARED_US = 4000000,
	HTTP_SERVER_IDLE_CLOSED_DIVISOR = 8,
	/* Pause after a connection could not be accepted. */
	HTTP_SERVER_ACCEPT_RETRY_US = 50000,
	HTTP_SERVER_STREAM_BLOCK_BYTES = 4096,
	/* Answers up to this size are not counted. */
	HTTP_SERVER_ANSWER_EXEMPT_BYTES = 64 * 1024,
	HTTP_SERVER_ANSWER_BLOCK_BYTES = 32 * 1024,
	/* A caller that took a part so lately is reading its answer. */
	HTTP_SERVER_READING_SPARED_US = 1000000,
	/*
	 * drained() is called when the unsent bytes of a stream fall below
	 * this.
	 */
	HTTP_SERVER_LOW_WATER_BYTES = 16 * 1024
};

/* A connection, in a list by the time of its last progress. */
struct connection {
	struct MHD_Connection *connection;
	int64_t progress_us;
	bool busy; /* its request is complete and not answered yet */
	bool served; /* has had a request that was answered */
	bool closing;
	size_t answer_bytes; /* of a large answer that is not all sent */
	struct connection *prev;
	struct connection *next;
};

struct http_server {
	struct http_server_options options;
	struct connection *oldest;
	struct connection *newest;
	size_t bodies_bytes; /* of all requests */
	size_t answers_bytes; /* of all answer_bytes */
	struct MHD_Daemon *daemon; /* has no listening socket */
	struct loop_watch *watch;
	int listener; /* -1: closed */
	struct loop_watch *listener_watch;
	/* Set while accepting pauses after an error. */
	struct loop_timer *accept_timer;
	bool accept_failing; /* the latest accept4() has failed */
	/* Runs libmicrohttpd in the next loop turn. */
	struct loop_timer *rerun_timer;
	struct loop_timer *idle_timer;
	uint32_t open_exchanges;
};

struct http_server_exchange {
	struct http_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *target; /* path and query, as sent */
	char *path;
	struct buf body;
	struct buf out; /* stream bytes not yet read by libmicrohttpd */
	struct MHD_Response *response;
	unsigned int status;
	struct loop_watch *hangup;
	struct loop_timer *timer;
	void *data;
	int refusal;
	size_t header_bytes;
	size_t counted_bytes; /* of the body, in bodies_bytes */
	bool dispatched; /* request() or refused() has been called */
	/* The handler may still use the exchange. */
	bool handler_owns;
	bool suspended;
	bool response_queued; /* passed to libmicrohttpd */
	bool streaming;
	bool ended;
	bool whole;
	bool gone;
	bool drained_due; /* drained() is to be called at the low water mark */
};

static void on_rerun(void *ctx);

static bool
has_room(const struct http_server *server)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
	    server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info->num_connections < server->options.connections_max;
}

static void
unlink_connection(struct http_server *server, struct connection *c)
{
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		server->oldest = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	else
		server->newest = c->prev;
	c->prev = c->next = NULL;
}

static void
link_newest(struct http_server *server, struct connection *c)
{
	c->progress_us = loop_now_us(server->options.loop);
	c->prev = server->newest;
	if (server->newest != NULL)
		server->newest->next = c;
	else
		server->oldest = c;
	server->newest = c;
}

static void
release_answer(struct http_server *server, struct connection *c)
{
	server->answers_bytes -= c->answer_bytes;
	c->answer_bytes = 0;
}

/* Called by libmicrohttpd when a connection begins or ends. */
static void
on_connection(void *ctx, struct MHD_Connection *connection, void **data,
    enum MHD_ConnectionNotificationCode code)
{
	struct http_server *server = ctx;
	struct connection *c = *data;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = alloc_zero(server->options.alloc, 1, sizeof(*c));
		c->connection = connection;
		link_newest(server, c);
		*data = c;
	} else if (c != NULL) {
		release_answer(server, c);
		unlink_connection(server, c);
		alloc_free(server->options.alloc, c);
		*data = NULL;
	}
}

static struct connection *
connection_of(const struct http_server_exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

/* Records that a request on a connection makes progress. */
static void
record_progress(const struct http_server_exchange *x, bool busy)
{
	struct connection *c = connection_of(x);

	if (c == NULL)
		return;
	c->served |= c->busy && !busy;
	c->busy = busy;
	unlink_connection(x->server, c);
	link_newest(x->server, c);
}

/*
 * Returns the connection that has waited longest for a request or the rest of
 * one, of those from c on that may be closed.  NULL: none.
 */
static struct connection *
next_closable(const struct http_server *server, struct connection *c)
{
	int64_t before_us =
	    loop_now_us(server->options.loop) - HTTP_SERVER_IDLE_SPARED_US;

	while (c != NULL && (c->busy || c->closing ||
				(c->served && c->progress_us > before_us)))
		c = c->next;
	return c;
}

/* libmicrohttpd notices that the socket is shut down, and closes it. */
static void
shut_down(struct connection *c)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	c->closing = true;
	(void)shutdown(info->connect_fd, SHUT_RDWR);
}

/*
 * Counts a large answer, and closes connections with others until they all are
 * within the limit: first those whose callers have taken nothing for longest.
 * Callers that are reading are spared up to twice the limit.
 */
static void
hold_answer(struct http_server_exchange *x, size_t len)
{
	struct http_server *server = x->server;
	struct connection *own = connection_of(x), *c;
	size_t most = server->options.answers_max_bytes;
	int64_t spared_us =
	    loop_now_us(server->options.loop) - HTTP_SERVER_READING_SPARED_US;

	if (own == NULL)
		return;
	own->answer_bytes = len;
	server->answers_bytes += len;
	for (c = server->oldest; c != NULL && server->answers_bytes > most;
	     c = c->next) {
		if (c == own || c->answer_bytes == 0 ||
		    (c->progress_us > spared_us &&
			server->answers_bytes <= 2 * most))
			continue;
		log_event(LOG_LEVEL_WARN, "unread_answer_closed", "bytes=%zu",
		    c->answer_bytes);
		release_answer(server, c);
		shut_down(c);
	}
}

/* Closes some connections that wait for a request, to make room. */
static void
close_waiting(struct http_server *server)
{
	uint32_t left =
	    server->options.connections_max / HTTP_SERVER_IDLE_CLOSED_DIVISOR +
	    1;
	struct connection *c = next_closable(server, server->oldest);

	for (; c != NULL && left > 0; left--) {
		shut_down(c);
		c = next_closable(server, c->next);
	}
}

/* Watches the listening socket unless no connection can be accepted now. */
static void
watch_listener(struct http_server *server)
{
	if (server->listener_watch != NULL)
		loop_rewatch(server->listener_watch,
		    server->accept_timer == NULL &&
			    (has_room(server) ||
				next_closable(server, server->oldest) != NULL)
			? LOOP_READ
			: 0);
}

static void
run_daemon(struct http_server *server)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES &&
	    timeout_ms == 0 && server->rerun_timer == NULL) {
		server->rerun_timer =
		    loop_after(server->options.loop, 0, on_rerun, server);
	}
	watch_listener(server);
}

static void
on_rerun(void *ctx)
{
	struct http_server *server = ctx;

	server->rerun_timer = NULL;
	run_daemon(server);
}

static void
on_epoll_ready(void *ctx, int events)
{
	(void)events;
	run_daemon((struct http_server *)ctx);
}

static void
on_idle_check(void *ctx)
{
	struct http_server *server = ctx;

	run_daemon(server);
	server->idle_timer = loop_after(server->options.loop,
	    HTTP_SERVER_IDLE_CHECK_US, on_idle_check, server);
}

static void
on_accept_timer(void *ctx)
{
	struct http_server *server = ctx;

	server->accept_timer = NULL;
	watch_listener(server);
}

/* Pauses accepting after an error, such as a lack of descriptors. */
static void
pause_accepting(struct http_server *server, int error)
{
	if (!server->accept_failing)
		log_event(LOG_LEVEL_WARN, "accept_failed", "errno=%d", error);
	server->accept_failing = true;
	if (server->accept_timer == NULL)
		server->accept_timer = loop_after(server->options.loop,
		    HTTP_SERVER_ACCEPT_RETRY_US, on_accept_timer, server);
}

/* Passes the connections that wait to libmicrohttpd, up to the limit. */
static void
accept_connections(struct http_server *server)
{
	while (has_room(server)) {
		struct sockaddr_storage address;
		socklen_t len = sizeof(address);
		int fd = accept4(server->listener, (struct sockaddr *)&address,
		    &len, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0) {
			if (errno != EAGAIN)
				pause_accepting(server, errno);
			break;
		}
		server->accept_failing = false;
		/* Closes the descriptor if it fails. */
		(void)MHD_add_connection(
		    server->daemon, fd, (struct sockaddr *)&address, len);
	}
}

static void
on_listener_ready(void *ctx, int events)
{
	struct http_server *server = ctx;

	(void)events;
	if (!has_room(server)) {
		close_waiting(server);
		run_daemon(server);
	}
	accept_connections(server);
	run_daemon(server);
}

/*
 * Resumes a suspended connection. In external epoll mode libmicrohttpd has no
 * thread that would notice, so a run is scheduled for the next loop turn.
 */
static void
resume_connection(struct http_server_exchange *x)
{
	struct http_server *server = x->server;

	if (!x->suspended)
		return;
	x->suspended = false;
	MHD_resume_connection(x->connection);
	if (server->rerun_timer == NULL)
		server->rerun_timer =
		    loop_after(server->options.loop, 0, on_rerun, server);
}

/*
 * The socket became readable while the handler works: either the caller
 * disconnected, or it sent a pipelined request.
 */
static void
check_hangup(void *ctx, int events)
{
	struct http_server_exchange *x = ctx;
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
	if (x->handler_owns) {
		x->handler_owns = false;
		x->server->options.handler->gone(x->server->options.ctx, x);
	}
	resume_connection(x);
}

/*
 * Starts to watch the socket of a request that takes longer than
 * HTTP_SERVER_HANGUP_DELAY_US, to notice when its caller disconnects.
 */
static void
watch_hangup(void *ctx)
{
	struct http_server_exchange *x = ctx;
	const union MHD_ConnectionInfo *info;

	x->timer = NULL;
	info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	x->hangup = loop_watch(x->server->options.loop, info->connect_fd,
	    LOOP_READ, check_hangup, x);
}

/*
 * The request did not arrive in time. libmicrohttpd accepts no response during
 * an upload, so the answer is written to the socket directly.
 */
static void
on_body_timeout(void *ctx)
{
	static const char answer[] =
	    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
	    "Content-Type: application/json\r\nRetry-After: 1\r\n"
	    "Content-Length: 108\r\n\r\n"
	    "{\"error\":{\"kind\":\"slow_sender\",\"message\":\"the request came "
	    "too slowly\",\"run_state\":\"not_run\",\"param\":null}}\n";
	struct http_server_exchange *x = ctx;
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
	struct http_server_exchange *x = ctx;

	(void)kind;
	x->header_bytes += strlen(key) + (value != NULL ? strlen(value) : 0);
	return MHD_YES;
}

/*
 * Called by libmicrohttpd when the request line is complete; creates the
 * exchange.
 */
static void *
exchange_new(void *ctx, const char *target, struct MHD_Connection *connection)
{
	struct http_server *server = ctx;
	const struct alloc *alloc = server->options.alloc;
	struct http_server_exchange *x = alloc_zero(alloc, 1, sizeof(*x));

	x->server = server;
	x->connection = connection;
	x->target = alloc_strdup(alloc, target);
	buf_init(&x->body, alloc);
	buf_init(&x->out, alloc);
	server->open_exchanges++;
	record_progress(x, false);
	return x;
}

/* Returns whether all bodies together leave room for len more bytes of one. */
static bool
body_has_room(const struct http_server_exchange *x, size_t len)
{
	const struct http_server *server = x->server;

	return server->options.bodies_max_bytes == 0 ||
	       x->body.len + len <= HTTP_SERVER_BODY_EXEMPT_BYTES ||
	       server->bodies_bytes + len <= server->options.bodies_max_bytes;
}

static void
release_body(struct http_server_exchange *x)
{
	x->server->bodies_bytes -= x->counted_bytes;
	x->counted_bytes = 0;
	buf_free(&x->body);
}

/*
 * Takes a part of a body.  The rest of one that is refused is dropped, as
 * libmicrohttpd accepts no response during an upload.
 */
static void
take_body(struct http_server_exchange *x, const char *data, size_t len)
{
	record_progress(x, false);
	if (x->refusal != 0)
		return;
	if (x->body.len + len > x->server->options.body_max_bytes)
		x->refusal = ERR_TOO_LARGE;
	else if (!body_has_room(x, len))
		x->refusal = ERR_MEMORY;
	if (x->refusal != 0) {
		release_body(x);
		return;
	}
	buf_add(&x->body, data, len);
	x->counted_bytes += len;
	x->server->bodies_bytes += len;
}

/*
 * Called when the header is complete: checks its limits and starts the timer
 * for the body.
 */
static void
begin_request(
    struct http_server_exchange *x, const char *method, const char *path)
{
	struct http_server *server = x->server;
	struct MHD_Connection *connection = x->connection;
	const char *length;

	x->method = alloc_strdup(server->options.alloc, method);
	x->path = alloc_strdup(server->options.alloc, path);
	MHD_get_connection_values(connection, MHD_HEADER_KIND, count_header, x);
	if (x->header_bytes > server->options.header_max_bytes)
		x->refusal = ERR_HEADER;
	length = MHD_lookup_connection_value(
	    connection, MHD_HEADER_KIND, "Content-Length");
	if (length != NULL &&
	    strtoull(length, NULL, 10) > server->options.body_max_bytes)
		x->refusal = ERR_TOO_LARGE;
	else if (length != NULL &&
		 !body_has_room(x, (size_t)strtoull(length, NULL, 10)))
		x->refusal = ERR_MEMORY;
	x->timer = loop_after(server->options.loop,
	    (int64_t)server->options.body_timeout_ms * 1000, on_body_timeout,
	    x);
}

static enum MHD_Result
queue_response(struct http_server_exchange *x)
{
	enum MHD_Result result;

	x->response_queued = true;
	result = MHD_queue_response(x->connection, x->status, x->response);
	MHD_destroy_response(x->response);
	x->response = NULL;
	return result;
}

/*
 * Passes the request to the handler. The connection is suspended unless the
 * handler answers at once.
 */
static enum MHD_Result
dispatch_request(struct http_server_exchange *x)
{
	const struct http_server_options *options = &x->server->options;

	x->dispatched = true;
	x->handler_owns = true;
	record_progress(x, true);
	loop_cancel(x->timer);
	x->timer = NULL;
	if (x->refusal != 0)
		options->handler->refused(options->ctx, x, x->refusal);
	else
		options->handler->request(options->ctx, x);
	if (x->response != NULL)
		return queue_response(x);
	x->timer = loop_after(
	    options->loop, HTTP_SERVER_HANGUP_DELAY_US, watch_hangup, x);
	x->suspended = true;
	MHD_suspend_connection(x->connection);
	return MHD_YES;
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_size, void **data)
{
	struct http_server_exchange *x = *data;

	(void)connection;
	(void)version;
	if (x->method == NULL) {
		begin_request(x, method, url);
		return x->refusal != 0 ? dispatch_request(x) : MHD_YES;
	}
	if (x->gone)
		return MHD_NO;
	if (*upload_size > 0) {
		take_body(x, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (!x->dispatched)
		return dispatch_request(x);
	if (x->response != NULL)
		return queue_response(x);
	return x->response_queued ? MHD_YES : MHD_NO;
}

/*
 * Called by libmicrohttpd when a request has ended, completely or not; frees
 * the exchange.
 */
static void
on_completed(void *ctx, struct MHD_Connection *connection, void **data,
    enum MHD_RequestTerminationCode code)
{
	struct http_server *server = ctx;
	struct http_server_exchange *x = *data;
	const struct alloc *alloc = server->options.alloc;

	(void)connection;
	(void)code;
	if (x == NULL)
		return;
	*data = NULL;
	if (connection_of(x) != NULL)
		release_answer(server, connection_of(x));
	record_progress(x, false);
	if (x->handler_owns) {
		x->handler_owns = false;
		server->options.handler->gone(server->options.ctx, x);
	}
	loop_cancel(x->timer);
	loop_unwatch(x->hangup);
	if (x->response != NULL)
		MHD_destroy_response(x->response);
	release_body(x);
	buf_free(&x->out);
	alloc_free(alloc, x->target);
	alloc_free(alloc, x->method);
	alloc_free(alloc, x->path);
	alloc_free(alloc, x);
	server->open_exchanges--;
}

static bool
listen_address(
    const struct http_server_options *options, struct sockaddr_storage *out)
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
start_daemon(struct http_server *server)
{
	const struct MHD_OptionItem items[] = {
	    {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)exchange_new, server},
	    {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, server},
	    {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, server},
	    {MHD_OPTION_CONNECTION_MEMORY_LIMIT, HTTP_SERVER_CONNECTION_BYTES,
		NULL},
	    {MHD_OPTION_CONNECTION_LIMIT, server->options.connections_max,
		NULL},
	    {MHD_OPTION_CONNECTION_TIMEOUT, HTTP_SERVER_IDLE_TIMEOUT_S, NULL},
	    {MHD_OPTION_END, 0, NULL}};

	return MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET,
	    0, NULL, NULL, on_access, server, MHD_OPTION_ARRAY, items,
	    MHD_OPTION_END);
}

static int
open_listener(const struct http_server_options *options)
{
	struct sockaddr_storage address;

	if (!listen_address(options, &address))
		return -1;
	return listener_open((struct sockaddr *)&address,
	    address.ss_family == AF_INET6 ? sizeof(struct sockaddr_in6)
					  : sizeof(struct sockaddr_in),
	    true);
}

/*
 * Starts listening. Returns NULL if host is not an IP address or the address is
 * in use.
 *
 * libmicrohttpd's own listening socket is not used: after a lack of descriptors
 * it accepts nothing until one of its connections has ended.
 */
struct http_server *
http_server_new(const struct http_server_options *options)
{
	struct http_server *server =
	    alloc_zero(options->alloc, 1, sizeof(*server));
	const union MHD_DaemonInfo *info;

	server->options = *options;
	server->listener = open_listener(options);
	if (server->listener >= 0)
		server->daemon = start_daemon(server);
	if (server->daemon == NULL) {
		if (server->listener >= 0)
			close(server->listener);
		alloc_free(options->alloc, server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->watch = loop_watch(
	    options->loop, info->epoll_fd, LOOP_READ, on_epoll_ready, server);
	server->listener_watch = loop_watch(options->loop, server->listener,
	    LOOP_READ, on_listener_ready, server);
	server->idle_timer = loop_after(
	    options->loop, HTTP_SERVER_IDLE_CHECK_US, on_idle_check, server);
	return server;
}

static void
close_listener(struct http_server *server)
{
	if (server->listener < 0)
		return;
	loop_unwatch(server->listener_watch);
	loop_cancel(server->accept_timer);
	close(server->listener);
	server->listener_watch = NULL;
	server->accept_timer = NULL;
	server->listener = -1;
}

/* Stops the server. Open exchanges end as if their callers had disconnected. */
void
http_server_free(struct http_server *server)
{
	if (server == NULL)
		return;
	close_listener(server);
	loop_unwatch(server->watch);
	loop_cancel(server->rerun_timer);
	loop_cancel(server->idle_timer);
	MHD_stop_daemon(server->daemon);
	alloc_free(server->options.alloc, server);
}

/*
 * Accepts the connections that are complete and closes the listening socket.
 * Open connections stay.
 */
void
http_server_stop_accepting(struct http_server *server)
{
	if (server->listener < 0)
		return;
	accept_connections(server);
	close_listener(server);
	run_daemon(server);
}

/* Returns the port that the server listens on; 0 once it is closed. */
uint16_t
http_server_port(const struct http_server *server)
{
	/* An IPv6 address is cut; its port is at the same place. */
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	if (server->listener < 0 || getsockname(server->listener,
					(struct sockaddr *)&address, &len) != 0)
		return 0;
	return ntohs(address.sin_port);
}

/* Returns the number of open exchanges. */
uint32_t
http_server_open_exchanges(const struct http_server *server)
{
	return server->open_exchanges;
}

const char *
http_server_method(const struct http_server_exchange *x)
{
	return x->method;
}

/* Returns the request target, path and query, as sent. */
const char *
http_server_target(const struct http_server_exchange *x)
{
	return x->target;
}

/* Returns the path, decoded and without its query. */
const char *
http_server_path(const struct http_server_exchange *x)
{
	return x->path;
}

/* Returns the value of a request header field, or NULL. */
const char *
http_server_header(const struct http_server_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(
	    x->connection, MHD_HEADER_KIND, name);
}

/* Returns the value of a query parameter, or NULL. */
const char *
http_server_query(const struct http_server_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(
	    x->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns the complete body, valid as long as the exchange. */
const struct buf *
http_server_body(const struct http_server_exchange *x)
{
	return &x->body;
}

/* Attaches a pointer of the handler to the exchange. */
void
http_server_set_data(struct http_server_exchange *x, void *data)
{
	x->data = data;
}

void *
http_server_data(const struct http_server_exchange *x)
{
	return x->data;
}

static void
prepare_response(struct http_server_exchange *x, unsigned int status,
    const struct http_server_header *headers, size_t count)
{
	for (size_t i = 0; i < count; i++)
		MHD_add_response_header(
		    x->response, headers[i].name, headers[i].value);
	x->status = status;
	resume_connection(x);
}

/* Reads a large plain answer, as far as the caller takes it. */
static ssize_t
read_answer(void *ctx, uint64_t position, char *out, size_t max)
{
	struct http_server_exchange *x = ctx;
	size_t left = x->out.len - (size_t)position;
	size_t n = left < max ? left : max;

	if (x->gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	record_progress(x, true);
	memcpy(out, x->out.data + position, n);
	return (ssize_t)n;
}

/* Sends an answer whose body, len bytes, is copied, and ends the exchange. */
void
http_server_answer(struct http_server_exchange *x, unsigned int status,
    const struct http_server_header *headers, size_t count, const void *body,
    size_t len)
{
	x->handler_owns = false;
	if (x->server->options.answers_max_bytes > 0 &&
	    len > HTTP_SERVER_ANSWER_EXEMPT_BYTES) {
		hold_answer(x, len);
		buf_add(&x->out, body, len);
		x->response = MHD_create_response_from_callback(
		    len, HTTP_SERVER_ANSWER_BLOCK_BYTES, read_answer, x, NULL);
	} else {
		x->response = MHD_create_response_from_buffer(
		    len, (void *)body, MHD_RESPMEM_MUST_COPY);
	}
	prepare_response(x, status, headers, count);
}

static ssize_t
read_stream(void *ctx, uint64_t position, char *out, size_t max)
{
	struct http_server_exchange *x = ctx;
	size_t n = x->out.len < max ? x->out.len : max;

	(void)position;
	if (x->gone)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > 0) {
		memcpy(out, x->out.data, n);
		buf_consume(&x->out, n);
		if (x->drained_due && x->handler_owns &&
		    x->out.len < HTTP_SERVER_LOW_WATER_BYTES) {
			x->drained_due = false;
			x->server->options.handler->drained(
			    x->server->options.ctx, x);
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

/* Starts a streamed answer. The status can't be changed after this. */
void
http_server_stream_begin(struct http_server_exchange *x, unsigned int status,
    const struct http_server_header *headers, size_t count)
{
	x->streaming = true;
	x->response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
	    HTTP_SERVER_STREAM_BLOCK_BYTES, read_stream, x, NULL);
	prepare_response(x, status, headers, count);
}

/*
 * Appends bytes to the stream. If HTTP_SERVER_LOW_WATER_BYTES or more are then
 * unsent, drained() is called once the rest falls below that.
 */
void
http_server_stream_write(
    struct http_server_exchange *x, const void *data, size_t len)
{
	buf_add(&x->out, data, len);
	if (x->out.len >= HTTP_SERVER_LOW_WATER_BYTES)
		x->drained_due = true;
	resume_connection(x);
}

/* Returns the number of bytes not yet read by libmicrohttpd. */
size_t
http_server_stream_pending_bytes(const struct http_server_exchange *x)
{
	return x->out.len;
}

/*
 * Ends the stream once everything is sent. If whole is false, the connection is
 * closed without the last chunk, so that the caller sees a truncated answer.
 */
void
http_server_stream_end(struct http_server_exchange *x, bool whole)
{
	x->handler_owns = false;
	x->ended = true;
	x->whole = whole;
	resume_connection(x);
}
