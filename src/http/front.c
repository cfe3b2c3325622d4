#include "http/front.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"
#include "http/listener.h"

enum {
	FRONT_READ_BYTES = 16 * 1024, /* read from a socket per call */
	/*
	 * While the handler works on a request, reading stops once this much
	 * input is buffered.
	 */
	FRONT_READ_AHEAD_MAX_BYTES = 64 * 1024,
	/* Memory that an idle connection keeps in each of its buffers. */
	FRONT_KEPT_BYTES = 4 * 1024,
	/* Body bytes that are written without being queued first. */
	FRONT_DIRECT_MIN_BYTES = 64 * 1024,
	FRONT_TIMEOUT_CHECK_US = 250000, /* interval between timeout checks */
	/*
	 * Input is discarded for this long after the caller has received the
	 * last answer, so that a refused caller can finish sending.
	 */
	FRONT_LINGER_US = 1000000,
	/*
	 * A caller that leaves sent data unacknowledged for this long counts as
	 * disconnected.
	 */
	FRONT_USER_TIMEOUT_MS = 5000,
	/*
	 * A caller that takes nothing of a queued answer for this long is
	 * disconnected, before a server whose stream waits for it gives up.
	 */
	FRONT_UNREAD_US = 5000000,
	/* drained() is called when no more than this is queued. */
	FRONT_LOW_WATER_BYTES = 16 * 1024,
	/* Time for handshakes that have begun to complete */
	FRONT_HANDSHAKES_US = 50000,
	TCP_FLAGS_OFFSET = 13, /* of the flags in a TCP header, in bytes */
	TCP_FLAG_SYN = 0x02,
	TCP_FLAG_ACK = 0x10,
	STATUS_UNAVAILABLE = 503
};

/* For lack of room, as most requests under way end within a second. */
static const char retry_after_line[] = "Retry-After: 1\r\n";

enum conn_state {
	CONN_READING, /* waiting for a request or reading one */
	CONN_BUSY, /* the handler has the request */
	/*
	 * The connection is closing: queued output is still sent, for as long
	 * as the caller takes some of it, then the socket is shut down for
	 * writing. Input is discarded.
	 */
	CONN_LINGERING,
	/*
	 * The connection is reset once its output has arrived, as only that
	 * tells the caller that the answer is not complete.
	 */
	CONN_RESETTING
};

struct front_exchange {
	struct front_server *server;
	int fd;
	struct loop_watch *watch;
	enum conn_state state;
	http_parser parser;
	struct buf in; /* bytes not parsed yet */
	struct buf out; /* bytes not yet written to the socket */
	struct buf target;
	struct header_fields headers;
	struct buf body;
	/*
	 * When the state was entered, or the first byte of the request arrived.
	 */
	int64_t state_since_us;
	size_t undelivered_bytes; /* of a closing connection, when checked */
	uint64_t sent_bytes; /* written to the socket */
	uint64_t taken_bytes; /* of these, acknowledged when checked */
	int64_t taken_us; /* when that grew, or nothing was queued */
	size_t reserved_bytes; /* for the copy of a body that arrives */
	/* When the caller last sent or took a byte, or the state was entered */
	int64_t progress_us;
	int64_t arrived_us;
	void *data;
	int refusal; /* ERR_* with which the request is refused; 0: none */
	bool request_started; /* a byte of the request has arrived */
	bool headers_done;
	bool request_complete;
	bool keep_alive; /* the connection may serve another request */
	bool chunked;
	bool ends_with_connection; /* an answer without a length or chunks */
	bool is_head;
	bool continue_due; /* the caller waits for "100 Continue" */
	bool input_ended;
	/*
	 * The connection is in use further up the stack: conn_free() only sets
	 * free_pending.
	 */
	bool in_callback;
	bool free_pending;
	struct front_exchange *prev;
	struct front_exchange *next;
};

struct front_server {
	struct front_options options;
	int listener;
	struct loop_watch *watch;
	struct loop_timer *timeout_timer;
	struct loop_timer *close_timer; /* until the listener is closed */
	struct front_exchange *conns;
	uint32_t count;
	uint32_t open_exchanges;
	uint64_t unread_closed; /* callers that took nothing */
	struct memory_shedder shedder;
	bool draining;
	bool accepts; /* false: it waits until a connection ends */
};

static void on_conn(void *ctx, int events);
static void parse_input(struct front_exchange *x);
static void write_output(struct front_exchange *x);

/* Empties a buffer, which keeps little memory for the next use. */
static void
empty(struct buf *buf)
{
	if (buf->size + buf->consumed > FRONT_KEPT_BYTES)
		buf_free(buf);
	else
		buf_clear(buf);
}

/* Ends the reservation for the copy of a body. */
static void
release_reserve(struct front_exchange *x)
{
	if (x->server->options.memory != NULL)
		x->server->options.memory->reserved_bytes -= x->reserved_bytes;
	x->reserved_bytes = 0;
}

/* Frees the body of a request. */
static void
release_body(struct front_exchange *x)
{
	release_reserve(x);
	empty(&x->body);
}

/* Accepts again after a pause, since connections have ended. */
static void
resume_accepting(struct front_server *server)
{
	if (server->accepts || server->watch == NULL)
		return;
	server->accepts = true;
	loop_rewatch(server->watch, LOOP_READ);
}

static void
conn_free(struct front_exchange *x)
{
	struct front_server *server = x->server;

	if (x->in_callback) {
		x->free_pending = true;
		return;
	}
	loop_unwatch(x->watch);
	close(x->fd);
	if (x->prev != NULL)
		x->prev->next = x->next;
	else
		server->conns = x->next;
	if (x->next != NULL)
		x->next->prev = x->prev;
	server->count--;
	if (x->state == CONN_BUSY)
		server->open_exchanges--;
	release_body(x);
	resume_accepting(server);
	buf_free(&x->in);
	buf_free(&x->out);
	buf_free(&x->target);
	headers_free(&x->headers);
	buf_free(&x->body);
	alloc_free(server->options.alloc, x);
}

/* Returns the number of bytes that the caller has not acknowledged yet. */
static size_t
undelivered_bytes(const struct front_exchange *x)
{
	int unacknowledged = 0;

	if (ioctl(x->fd, SIOCOUTQ, &unacknowledged) != 0)
		unacknowledged = 0;
	return x->out.len + (size_t)unacknowledged;
}

/* Resets the connection and frees it. */
static void
reset_connection(struct front_exchange *x)
{
	const struct linger abort = {.l_onoff = 1, .l_linger = 0};

	setsockopt(x->fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
	conn_free(x);
}

/*
 * Handles a disconnect: reports gone() if the handler has the request, and
 * frees the connection.
 */
static void
handle_disconnect(struct front_exchange *x)
{
	struct front_server *server = x->server;

	if (x->state == CONN_BUSY && !x->free_pending)
		server->options.handler->gone(server->options.ctx, x);
	conn_free(x);
}

/* Resets a connection whose answer its caller does not take. */
static void
disconnect(struct front_exchange *x)
{
	if (x->state == CONN_BUSY)
		x->server->options.handler->gone(x->server->options.ctx, x);
	reset_connection(x);
}

static void
update_events(struct front_exchange *x)
{
	int events = 0;

	if (!x->input_ended &&
	    (x->state != CONN_BUSY || x->in.len < FRONT_READ_AHEAD_MAX_BYTES))
		events |= LOOP_READ;
	if (x->out.len > 0)
		events |= LOOP_WRITE;
	loop_rewatch(x->watch, events);
}

static void
start_lingering(struct front_exchange *x)
{
	x->state = CONN_LINGERING;
	x->state_since_us = x->progress_us =
	    loop_now_us(x->server->options.loop);
	release_body(x);
	buf_free(&x->in);
	if (x->out.len == 0)
		shutdown(x->fd, SHUT_WR);
	update_events(x);
}

static int
on_url(http_parser *parser, const char *data, size_t len)
{
	struct front_exchange *x = parser->data;

	buf_add(&x->target, data, len);
	return 0;
}

static int
on_name(http_parser *parser, const char *data, size_t len)
{
	struct front_exchange *x = parser->data;

	headers_parse_name(&x->headers, data, len);
	return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t len)
{
	struct front_exchange *x = parser->data;

	headers_parse_value(&x->headers, data, len);
	return 0;
}

static size_t
header_bytes(const struct front_exchange *x)
{
	return x->target.len + x->headers.text.len + 2 * x->headers.count;
}

/*
 * Returns whether there is memory for len more bytes of a body, and for the
 * copy of them that is sent to a server.
 */
static bool
body_has_room(const struct front_exchange *x, size_t len)
{
	const struct memory_budget *memory = x->server->options.memory;

	return memory == NULL ||
	       memory_budget_takes(memory, x->body.len + len, 2 * len);
}

static int
on_headers(http_parser *parser)
{
	struct front_exchange *x = parser->data;
	const struct front_limits *limits = &x->server->options.limits;

	headers_close(&x->headers);
	x->headers_done = true;
	if (!headers_are_forwardable(&x->headers) ||
	    headers_count(&x->headers, "Host") > 1)
		x->refusal = ERR_MALFORMED;
	else if (header_bytes(x) > limits->header_max_bytes)
		x->refusal = ERR_HEADER;
	else if (parser->content_length != UINT64_MAX &&
		 parser->content_length > limits->body_max_bytes)
		x->refusal = ERR_TOO_LARGE;
	else if (!body_has_room(x, parser->content_length != UINT64_MAX
				       ? (size_t)parser->content_length
				       : 0))
		x->refusal = ERR_MEMORY;
	x->keep_alive = http_should_keep_alive(parser) != 0;
	x->is_head = parser->method == HTTP_HEAD;
	x->continue_due = headers_list_contains(
	    headers_get(&x->headers, "Expect"), "100-continue");
	return x->refusal != 0 ? -1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t len)
{
	struct front_exchange *x = parser->data;

	if (x->body.len + len > x->server->options.limits.body_max_bytes)
		x->refusal = ERR_TOO_LARGE;
	else if (!body_has_room(x, len))
		x->refusal = ERR_MEMORY;
	if (x->refusal != 0)
		return -1;
	buf_add(&x->body, data, len);
	if (x->server->options.memory != NULL) {
		x->server->options.memory->reserved_bytes += len;
		x->reserved_bytes += len;
	}
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct front_exchange *x = parser->data;

	x->request_complete = true;
	/* What follows belongs to the next request. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
reset_for_request(struct front_exchange *x)
{
	x->state = CONN_READING;
	x->state_since_us = x->progress_us =
	    loop_now_us(x->server->options.loop);
	x->request_started = x->request_complete = x->keep_alive = x->chunked =
	    x->ends_with_connection = false;
	x->continue_due = x->headers_done = false;
	x->refusal = 0;
	x->data = NULL;
	empty(&x->target);
	release_body(x);
	headers_clear(&x->headers);
	empty(&x->headers.text);
	http_parser_init(&x->parser, HTTP_REQUEST);
	x->parser.data = x;
}

/*
 * Answers a request that is malformed, over a limit or too slow with the ERR_*
 * error, reports it to the handler, and closes the connection.
 */
static void
refuse_request(struct front_exchange *x, int error)
{
	const struct err_answer *row = err_answer(error);
	struct front_server *server = x->server;

	if (error == ERR_MEMORY && server->options.memory != NULL)
		server->options.memory->refused++;
	server->options.handler->refused(server->options.ctx, error);
	buf_addf(&x->out,
	    "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n%s\r\n%s\n",
	    row->http_status, row->name, strlen(row->text) + 1,
	    row->http_status == STATUS_UNAVAILABLE ? retry_after_line : "",
	    row->text);
	start_lingering(x);
	write_output(x);
}

/*
 * Returns whether another connection may be opened, or another request begin.
 */
static bool
has_connection_left(const struct front_server *server)
{
	uint32_t used = server->count;

	if (server->options.counts_requests)
		used += server->open_exchanges;
	return used < server->options.connections_max;
}

/*
 * Closes the connection without a complete request that has made no progress
 * for longest.  Returns false if there is none.
 */
static bool
close_one_waiting(struct front_server *server)
{
	struct front_exchange *oldest = NULL;

	for (struct front_exchange *x = server->conns; x != NULL; x = x->next) {
		if (x->state != CONN_BUSY && !x->in_callback &&
		    (oldest == NULL || x->progress_us < oldest->progress_us))
			oldest = x;
	}
	if (oldest == NULL)
		return false;
	if (oldest->state == CONN_READING)
		conn_free(oldest);
	else
		reset_connection(oldest); /* its answer may be unfinished */
	return true;
}

static void
dispatch_request(struct front_exchange *x)
{
	struct front_server *server = x->server;

	x->state = CONN_BUSY;
	x->arrived_us = x->progress_us = loop_now_us(server->options.loop);
	release_reserve(x);
	server->open_exchanges++;
	if (!has_connection_left(server))
		(void)close_one_waiting(server);
	update_events(x);
	server->options.handler->request(server->options.ctx, x);
}

/*
 * Parses the buffered input. At most one request is dispatched; the input after
 * it stays buffered.
 */
static void
parse_input(struct front_exchange *x)
{
	size_t taken;
	enum http_errno problem;

	if (x->state != CONN_READING || x->in.len == 0)
		return;
	if (!x->request_started) {
		x->request_started = true;
		x->state_since_us = loop_now_us(x->server->options.loop);
	}
	taken = http_parser_execute(
	    &x->parser, &parser_settings, (const char *)x->in.data, x->in.len);
	problem = HTTP_PARSER_ERRNO(&x->parser);
	if (x->request_complete) {
		buf_consume(&x->in, taken);
		if (x->in.len == 0)
			empty(&x->in);
		dispatch_request(x);
		return;
	}
	empty(&x->in);
	if (x->refusal == 0 &&
	    (problem == HPE_HEADER_OVERFLOW ||
		(!x->headers_done &&
		    header_bytes(x) >
			x->server->options.limits.header_max_bytes)))
		x->refusal = ERR_HEADER;
	if (x->refusal != 0)
		refuse_request(x, x->refusal);
	else if (problem != HPE_OK || x->parser.upgrade)
		refuse_request(x, ERR_MALFORMED);
	else if (x->continue_due) {
		x->continue_due = false;
		buf_adds(&x->out, "HTTP/1.1 100 Continue\r\n\r\n");
		write_output(x);
	}
}

static void
read_socket(struct front_exchange *x)
{
	uint8_t bytes[FRONT_READ_BYTES];
	ssize_t n = recv(x->fd, bytes, sizeof(bytes), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n == 0 && x->state == CONN_LINGERING && x->out.len > 0) {
		/* A caller that sends nothing more may still read. */
		x->input_ended = true;
		update_events(x);
		return;
	}
	if (n <= 0) {
		x->input_ended = true;
		handle_disconnect(x);
		return;
	}
	if (x->state == CONN_LINGERING || x->state == CONN_RESETTING)
		return;
	buf_add(&x->in, bytes, (size_t)n);
	x->progress_us = loop_now_us(x->server->options.loop);
	if (x->state == CONN_BUSY) {
		update_events(x);
		return;
	}
	parse_input(x);
}

/*
 * Writes queued output until the socket blocks. A lingering connection is shut
 * down for writing once its output is sent.
 */
static void
write_output(struct front_exchange *x)
{
	while (x->out.len > 0) {
		ssize_t n = send(x->fd, x->out.data, x->out.len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/* The next read reports the disconnect. */
			buf_clear(&x->out);
			break;
		}
		buf_consume(&x->out, (size_t)n);
		x->sent_bytes += (size_t)n;
		x->progress_us = loop_now_us(x->server->options.loop);
	}
	if (x->out.len == 0)
		empty(&x->out);
	if (x->out.len == 0 && x->state == CONN_LINGERING)
		shutdown(x->fd, SHUT_WR);
	update_events(x);
}

static void
on_conn(void *ctx, int events)
{
	struct front_exchange *x = ctx;

	x->in_callback = true;
	if ((events & LOOP_WRITE) && x->out.len > 0) {
		write_output(x);
		if (x->out.len <= FRONT_LOW_WATER_BYTES &&
		    x->state == CONN_BUSY && !x->free_pending &&
		    x->server->options.drained != NULL)
			x->server->options.drained(x->server->options.ctx, x);
	}
	if ((events & LOOP_READ) && !x->free_pending)
		read_socket(x);
	x->in_callback = false;
	if (x->free_pending)
		conn_free(x);
}

static void
add_connection(struct front_server *server, int fd)
{
	struct front_exchange *x;
	int one = 1;
	unsigned int timeout_ms = FRONT_USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	x = alloc_zero(server->options.alloc, 1, sizeof(*x));
	x->server = server;
	x->fd = fd;
	x->taken_us = loop_now_us(server->options.loop);
	buf_init(&x->in, server->options.alloc);
	buf_init(&x->out, server->options.alloc);
	buf_init(&x->target, server->options.alloc);
	buf_init(&x->body, server->options.alloc);
	headers_init(&x->headers, server->options.alloc);
	reset_for_request(x);
	x->next = server->conns;
	if (server->conns != NULL)
		server->conns->prev = x;
	server->conns = x;
	server->count++;
	x->watch = loop_watch(server->options.loop, fd, LOOP_READ, on_conn, x);
}

/* Returns whether a connection waits to be accepted. */
static bool
is_pending(const struct front_server *server)
{
	struct pollfd fd = {.fd = server->listener, .events = POLLIN};

	return poll(&fd, 1, 0) > 0;
}

static void
on_accept(void *ctx, int events)
{
	struct front_server *server = ctx;
	int fd;

	(void)events;
	for (;;) {
		if (!has_connection_left(server)) {
			if (!is_pending(server))
				return;
			if (!close_one_waiting(server))
				break;
		}
		fd = accept4(
		    server->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0 && errno == EAGAIN)
			return;
		if (fd < 0)
			break;
		add_connection(server, fd);
	}
	/* Until a connection ends or the timeouts are checked. */
	server->accepts = false;
	loop_rewatch(server->watch, 0);
}

/*
 * Ends a closing connection once the caller has received everything, or has
 * taken nothing for the idle timeout.
 */
static void
check_closing(struct front_exchange *x, int64_t now_us)
{
	size_t undelivered = undelivered_bytes(x);
	int64_t limit_us = FRONT_LINGER_US;

	if (undelivered != x->undelivered_bytes) {
		x->undelivered_bytes = undelivered;
		x->state_since_us = now_us;
	}
	if (undelivered > 0)
		limit_us =
		    (int64_t)x->server->options.limits.idle_timeout_ms * 1000;
	if (x->state == CONN_RESETTING) {
		if (undelivered == 0 || now_us - x->state_since_us > limit_us)
			reset_connection(x);
	} else if (now_us - x->state_since_us > limit_us) {
		conn_free(x);
	}
}

/*
 * Returns whether the caller has taken nothing of what is queued for too long.
 * What it takes is seen by what it acknowledges, since the socket reports room
 * for more in large steps only.
 */
static bool
takes_nothing(struct front_exchange *x, int64_t now_us)
{
	uint64_t taken = x->sent_bytes - (undelivered_bytes(x) - x->out.len);

	if (taken != x->taken_bytes) {
		x->taken_bytes = taken;
		x->taken_us = x->progress_us = now_us;
	}
	return now_us - x->taken_us > FRONT_UNREAD_US;
}

static void
check_timeout(struct front_exchange *x, int64_t now_us)
{
	const struct front_limits *limits = &x->server->options.limits;
	int64_t waited_ms = (now_us - x->state_since_us) / 1000;

	if (x->out.len == 0)
		x->taken_us = now_us;
	if (x->state == CONN_RESETTING || x->state == CONN_LINGERING) {
		check_closing(x, now_us);
	} else if (x->out.len > 0 && takes_nothing(x, now_us)) {
		x->server->unread_closed++;
		disconnect(x);
	} else if (x->state == CONN_READING && x->request_started) {
		/*
		 * Once the header is complete, the idle timeout limits the
		 * arrival of the rest.
		 */
		if (waited_ms > (x->headers_done ? limits->idle_timeout_ms
						 : limits->header_timeout_ms))
			refuse_request(x, ERR_SLOW_SENDER);
	} else if (x->state == CONN_READING &&
		   waited_ms > limits->idle_timeout_ms) {
		conn_free(x);
	}
}

static void
on_timeout_check(void *ctx)
{
	struct front_server *server = ctx;
	struct front_exchange *next;
	int64_t now_us = loop_now_us(server->options.loop);

	for (struct front_exchange *x = server->conns; x != NULL; x = next) {
		next = x->next;
		check_timeout(x, now_us);
	}
	resume_accepting(server);
	server->timeout_timer = loop_after(server->options.loop,
	    FRONT_TIMEOUT_CHECK_US, on_timeout_check, server);
}

/* Returns the memory that closing a connection frees. */
static size_t
holder_bytes(const struct front_exchange *x)
{
	return x->in.size + x->in.consumed + x->out.size + x->out.consumed +
	       x->body.size + x->target.size + x->headers.text.size;
}

/*
 * Returns whether a connection may be closed to free memory: its caller has to
 * send or to take bytes.
 */
static bool
awaits_caller(const struct front_exchange *x)
{
	if (x->in_callback || x->free_pending)
		return false;
	return x->state != CONN_BUSY || x->out.len > 0 ||
	       x->in.len >= MEMORY_HOLDER_MIN_BYTES;
}

static bool
find_holder(void *ctx, struct memory_holder *out)
{
	struct front_server *server = ctx;

	*out = (struct memory_holder){NULL, 0, 0};
	for (struct front_exchange *x = server->conns; x != NULL; x = x->next) {
		struct memory_holder holder = {
		    x, holder_bytes(x), x->progress_us};

		if (awaits_caller(x) &&
		    memory_budget_closes_before(&holder, out))
			*out = holder;
	}
	return out->holder != NULL;
}

/*
 * Closes a connection to free its memory.  A request that has not arrived whole
 * is refused, as nothing of it was sent on; an answer that the caller does not
 * take is cut by a reset.
 */
static void
close_holder(void *ctx, struct memory_holder *holder)
{
	struct front_exchange *x = holder->holder;

	(void)ctx;
	if (x->state == CONN_READING && x->request_started && x->out.len == 0) {
		refuse_request(x, ERR_MEMORY);
		buf_free(&x->target);
		buf_free(&x->headers.text);
		headers_clear(&x->headers);
		return;
	}
	disconnect(x);
}

static int
open_listener(const struct front_options *options)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(options->port)};

	if (inet_pton(AF_INET, options->host, &address.sin_addr) != 1)
		return -1;
	return listener_open(
	    (struct sockaddr *)&address, sizeof(address), false);
}

/*
 * Starts a server. Returns NULL if host is not an IPv4 address or the listening
 * socket can't be opened, for example because the address is in use.
 */
struct front_server *
front_new(const struct front_options *options)
{
	struct front_server *server;
	int fd = open_listener(options);

	if (fd < 0)
		return NULL;
	server = alloc_zero(options->alloc, 1, sizeof(*server));
	server->options = *options;
	server->listener = fd;
	server->accepts = true;
	if (options->memory != NULL) {
		server->shedder = (struct memory_shedder){
		    find_holder, close_holder, server, NULL};
		memory_budget_register(options->memory, &server->shedder);
	}
	server->watch =
	    loop_watch(options->loop, fd, LOOP_READ, on_accept, server);
	server->timeout_timer = loop_after(
	    options->loop, FRONT_TIMEOUT_CHECK_US, on_timeout_check, server);
	return server;
}

/* Closes all connections without calling the handler, and frees the server. */
void
front_free(struct front_server *server)
{
	if (server == NULL)
		return;
	while (server->conns != NULL)
		conn_free(server->conns);
	if (server->options.memory != NULL)
		memory_budget_unregister(
		    server->options.memory, &server->shedder);
	loop_cancel(server->timeout_timer);
	if (server->close_timer != NULL)
		loop_cancel(server->close_timer);
	if (server->watch != NULL) {
		loop_unwatch(server->watch);
		close(server->listener);
	}
	alloc_free(server->options.alloc, server);
}

/* Replaces the limits, for open connections too. */
void
front_set_limits(struct front_server *server, const struct front_limits *limits)
{
	server->options.limits = *limits;
}

/*
 * Turns draining on or off. While it is on, each answer is sent with
 * "Connection: close" and ends its connection.
 */
void
front_set_draining(struct front_server *server, bool drain)
{
	server->draining = drain;
}

/*
 * Makes the kernel ignore new attempts to connect to a listener.  Handshakes
 * that have begun go on.  Returns whether that is supported.
 */
static bool
ignore_new_handshakes(int fd)
{
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
	    BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_FLAG_SYN | TCP_FLAG_ACK),
	    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAG_SYN, 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX)};
	struct sock_fprog program = {sizeof(code) / sizeof(code[0]), code};

	return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		   sizeof(program)) == 0;
}

/* Accepts the connections that are complete and closes the listener. */
static void
close_listener(void *ctx)
{
	struct front_server *server = ctx;

	server->close_timer = NULL;
	on_accept(server, LOOP_READ);
	loop_unwatch(server->watch);
	server->watch = NULL;
	close(server->listener);
	server->listener = -1;
}

/*
 * Accepts the connections that have been begun already and refuses any later
 * one.  The listener is closed a little later, since closing it resets
 * connections that wait to be accepted: a caller that connects in between is
 * refused when it tries again.  Connections are served as before.
 *
 * Returns 0, or ERR_IO if the kernel could not be told to ignore new attempts:
 * the listener is closed at once then, which may reset a connection.
 */
int
front_stop_listening(struct front_server *server)
{
	if (server->watch == NULL || server->close_timer != NULL)
		return 0;
	if (!ignore_new_handshakes(server->listener)) {
		close_listener(server);
		return ERR_IO;
	}
	server->close_timer = loop_after(
	    server->options.loop, FRONT_HANDSHAKES_US, close_listener, server);
	return 0;
}

/* Tells whether connections are accepted. */
bool
front_is_listening(const struct front_server *server)
{
	return server->watch != NULL;
}

static bool
has_unread_input(const struct front_exchange *x)
{
	char byte;

	return recv(x->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * Closes the connections that have waited for a request for idle_us or longer.
 * They are shut down for writing first: a request that arrives at the same time
 * is read and discarded without an answer, and its caller sees that the
 * connection was closed before any answer. A request that has arrived already
 * is left to be read.
 */
void
front_close_idle(struct front_server *server, int64_t idle_us)
{
	int64_t now_us = loop_now_us(server->options.loop);
	struct front_exchange *next;

	for (struct front_exchange *x = server->conns; x != NULL; x = next) {
		next = x->next;
		if (x->state == CONN_READING && !x->request_started &&
		    now_us - x->state_since_us >= idle_us &&
		    !has_unread_input(x))
			start_lingering(x);
	}
}

/* Returns the number of requests that the handler has not finished. */
uint32_t
front_open_exchanges(const struct front_server *server)
{
	return server->open_exchanges;
}

/* Returns the number of answers that callers have not received whole yet. */
uint32_t
front_unsent_answers(const struct front_server *server)
{
	uint32_t count = 0;

	for (const struct front_exchange *x = server->conns; x != NULL;
	     x = x->next)
		count += x->state == CONN_BUSY || undelivered_bytes(x) > 0;
	return count;
}

/* Returns the number of callers disconnected as they took nothing. */
uint64_t
front_unread_closed(const struct front_server *server)
{
	return server->unread_closed;
}

/* Returns the number of open connections. */
uint32_t
front_connection_count(const struct front_server *server)
{
	return server->count;
}

/*
 * Returns the port that the server listens on; with port 0 in the options, the
 * one that the kernel chose.
 */
uint16_t
front_port(const struct front_server *server)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	getsockname(server->listener, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

const char *
front_method(const struct front_exchange *x)
{
	return http_method_str((enum http_method)x->parser.method);
}

/* Returns the request target, path and query, as sent. */
const char *
front_target(const struct front_exchange *x)
{
	return buf_text(&x->target);
}

const struct header_fields *
front_headers(const struct front_exchange *x)
{
	return &x->headers;
}

const struct buf *
front_body(const struct front_exchange *x)
{
	return &x->body;
}

/*
 * Returns the loop time in microseconds at which the request was complete and
 * dispatched.
 */
int64_t
front_arrived_us(const struct front_exchange *x)
{
	return x->arrived_us;
}

void
front_set_data(struct front_exchange *x, void *data)
{
	x->data = data;
}

void *
front_data(const struct front_exchange *x)
{
	return x->data;
}

/*
 * Ends an exchange: closes the connection, or prepares it for the next request
 * and parses the input that is already buffered.
 */
static void
finish_answer(struct front_exchange *x)
{
	x->server->open_exchanges--;
	if (!x->keep_alive) {
		start_lingering(x);
		write_output(x);
		return;
	}
	reset_for_request(x);
	write_output(x);
	if (x->in.len > 0 && !x->in_callback) {
		x->in_callback = true;
		parse_input(x);
		x->in_callback = false;
		if (x->free_pending)
			conn_free(x);
	} else if (x->in.len > 0) {
		parse_input(x);
	}
}

static void
add_status(struct front_exchange *x, unsigned int status)
{
	const char *text = http_status_str((enum http_status)status);

	buf_addf(&x->out, "HTTP/1.1 %u %s\r\n", status,
	    text != NULL ? text : "Unknown");
	if (!x->keep_alive || x->server->draining) {
		x->keep_alive = false;
		buf_adds(&x->out, "Connection: close\r\n");
	}
}

/* Sends an answer whose body, len bytes, is copied, and ends the exchange. */
void
front_answer(struct front_exchange *x, unsigned int status,
    const struct front_header *headers, size_t count, const void *body,
    size_t len)
{
	add_status(x, status);
	for (size_t i = 0; i < count; i++)
		buf_addf(
		    &x->out, "%s: %s\r\n", headers[i].name, headers[i].value);
	buf_addf(&x->out, "Content-Length: %zu\r\n\r\n", len);
	if (!x->is_head)
		buf_add(&x->out, body, len);
	finish_answer(x);
}

/*
 * Starts an answer with the given header lines, each ended by CR LF. The body
 * follows in calls of front_write_body(): with chunked set, its length is
 * unknown; otherwise it has content_length bytes.
 */
void
front_begin_answer(struct front_exchange *x, unsigned int status,
    const struct buf *header_lines, bool chunked, size_t content_length)
{
	/*
	 * HTTP/1.0 has no chunked coding: closing the connection ends the body.
	 */
	bool old = x->parser.http_major == 1 && x->parser.http_minor == 0;

	if (chunked && old)
		x->keep_alive = false;
	x->chunked = chunked && !old;
	x->ends_with_connection = chunked && old;
	add_status(x, status);
	buf_add(&x->out, header_lines->data, header_lines->len);
	if (x->chunked)
		buf_adds(&x->out, "Transfer-Encoding: chunked\r\n\r\n");
	else if (chunked)
		buf_adds(&x->out, "\r\n");
	else
		buf_addf(
		    &x->out, "Content-Length: %zu\r\n\r\n", content_length);
}

/*
 * Writes bytes that need no place in the queue, which has to be empty.  Returns
 * how many the socket has taken.
 */
static size_t
write_directly(struct front_exchange *x, const char *data, size_t len)
{
	ssize_t n;

	if (x->out.len > 0)
		return 0;
	n = send(x->fd, data, len, MSG_NOSIGNAL);
	if (n <= 0)
		return 0;
	x->sent_bytes += (size_t)n;
	return (size_t)n;
}

/* Sends a part of the body, as a chunk of its own if the answer is chunked. */
void
front_write_body(struct front_exchange *x, const void *data, size_t len)
{
	if (len > 0 && !x->is_head) {
		size_t sent = 0;

		if (x->chunked)
			buf_addf(&x->out, "%zx\r\n", len);
		if (len >= FRONT_DIRECT_MIN_BYTES) {
			write_output(x);
			sent = write_directly(x, data, len);
		}
		buf_add(&x->out, (const char *)data + sent, len - sent);
		if (x->chunked)
			buf_add(&x->out, "\r\n", 2);
	}
	write_output(x);
}

/* Returns the number of bytes not yet written to the socket. */
size_t
front_pending_bytes(const struct front_exchange *x)
{
	return x->out.len;
}

/*
 * Ends an answer. If whole is false, the connection is closed without the last
 * chunk or the rest of the body, or reset if only its end delimits the answer,
 * so that the caller can't take the answer for a complete one.
 */
void
front_end_answer(struct front_exchange *x, bool whole)
{
	if (whole) {
		if (x->chunked && !x->is_head)
			buf_adds(&x->out, "0\r\n\r\n");
		finish_answer(x);
		return;
	}
	x->server->open_exchanges--;
	x->keep_alive = false;
	if (!x->ends_with_connection || x->is_head) {
		start_lingering(x);
		write_output(x);
		return;
	}
	x->state = CONN_RESETTING;
	x->state_since_us = x->progress_us =
	    loop_now_us(x->server->options.loop);
	release_body(x);
	buf_free(&x->in);
	write_output(x);
	if (undelivered_bytes(x) == 0)
		reset_connection(x);
}
