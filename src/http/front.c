#include "http/front.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/err.h"

enum {
	HF_READ_BYTES = 16 * 1024, /* taken from a socket at once */
	HF_AHEAD_MAX_BYTES = 64 * 1024, /* read beyond the current request */
	HF_BACKLOG = 511,
	HF_SWEEP_US = 250000, /* timeouts are looked at this often */
	HF_LINGER_US = 1000000, /* a refused sender may finish its bytes */
	HF_USER_TIMEOUT_MS = 5000 /* unacknowledged bytes: the caller is gone */
};

enum conn_state {
	CONN_READING, /* waits for a request, or reads one */
	CONN_BUSY, /* the handler has the request */
	CONN_LINGERING /* answered and closed for writing; input is discarded */
};

struct hf_exchange {
	struct hf *hf;
	int fd;
	struct loop_watch *watch;
	enum conn_state state;
	http_parser parser;
	struct buf in; /* bytes not parsed yet */
	struct buf out; /* bytes the socket has not taken */
	struct buf target;
	struct hh headers;
	struct buf body;
	int64_t since_us; /* state or request began */
	int64_t arrived_us;
	void *data;
	int refusal; /* ERR_* that ends the request while it is read */
	bool started; /* a byte of a request has come */
	bool headers_done;
	bool complete; /* the request is whole */
	bool keep; /* the connection may serve another request */
	bool chunked;
	bool is_head;
	bool continue_due; /* the sender waits for "100 Continue" */
	bool eof;
	bool parsing; /* inside the parser: the connection must not be freed */
	bool dead;
	struct hf_exchange *prev;
	struct hf_exchange *next;
};

struct hf {
	struct hf_options options;
	int listener;
	struct loop_watch *watch;
	struct loop_timer *sweep;
	struct hf_exchange *conns;
	uint32_t count;
	uint32_t busy;
	bool draining;
};

static void on_conn(void *ctx, int events);
static void parse_more(struct hf_exchange *x);
static void flush(struct hf_exchange *x);

static void
conn_free(struct hf_exchange *x)
{
	struct hf *hf = x->hf;

	if (x->parsing) {
		x->dead = true;
		return;
	}
	loop_unwatch(x->watch);
	close(x->fd);
	if (x->prev != NULL)
		x->prev->next = x->next;
	else
		hf->conns = x->next;
	if (x->next != NULL)
		x->next->prev = x->prev;
	hf->count--;
	if (x->state == CONN_BUSY)
		hf->busy--;
	buf_free(&x->in);
	buf_free(&x->out);
	buf_free(&x->target);
	hh_free(&x->headers);
	buf_free(&x->body);
	alloc_free(hf->options.alloc, x);
}

/* The caller has left: whoever works on the request is told. */
static void
conn_lost(struct hf_exchange *x)
{
	struct hf *hf = x->hf;

	if (x->state == CONN_BUSY && !x->dead)
		hf->options.handler->gone(hf->options.ctx, x);
	conn_free(x);
}

static void
watch_conn(struct hf_exchange *x)
{
	int events = 0;

	if (!x->eof &&
	    (x->state != CONN_BUSY || x->in.len < HF_AHEAD_MAX_BYTES))
		events |= LOOP_READ;
	if (x->out.len > 0)
		events |= LOOP_WRITE;
	loop_rewatch(x->watch, events);
}

static void
linger(struct hf_exchange *x)
{
	x->state = CONN_LINGERING;
	x->since_us = loop_now_us(x->hf->options.loop);
	buf_clear(&x->in);
	if (x->out.len == 0)
		shutdown(x->fd, SHUT_WR);
	watch_conn(x);
}

static int
on_url(http_parser *parser, const char *data, size_t len)
{
	struct hf_exchange *x = parser->data;

	buf_add(&x->target, data, len);
	return 0;
}

static int
on_name(http_parser *parser, const char *data, size_t len)
{
	struct hf_exchange *x = parser->data;

	hh_parse_name(&x->headers, data, len);
	return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t len)
{
	struct hf_exchange *x = parser->data;

	hh_parse_value(&x->headers, data, len);
	return 0;
}

static size_t
header_bytes(const struct hf_exchange *x)
{
	return x->target.len + x->headers.text.len + 2 * x->headers.count;
}

static int
on_headers(http_parser *parser)
{
	struct hf_exchange *x = parser->data;
	const struct hf_limits *limits = &x->hf->options.limits;

	hh_finish(&x->headers);
	x->headers_done = true;
	if (!hh_is_sound(&x->headers) || hh_count(&x->headers, "Host") > 1)
		x->refusal = ERR_MALFORMED;
	else if (header_bytes(x) > limits->header_max_bytes)
		x->refusal = ERR_HEADER;
	else if (parser->content_length != UINT64_MAX &&
		 parser->content_length > limits->body_max_bytes)
		x->refusal = ERR_TOO_LARGE;
	x->keep = http_should_keep_alive(parser) != 0;
	x->is_head = parser->method == HTTP_HEAD;
	x->continue_due =
	    hh_list_has(hh_get(&x->headers, "Expect"), "100-continue");
	return x->refusal != 0 ? -1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t len)
{
	struct hf_exchange *x = parser->data;

	if (x->body.len + len > x->hf->options.limits.body_max_bytes) {
		x->refusal = ERR_TOO_LARGE;
		return -1;
	}
	buf_add(&x->body, data, len);
	return 0;
}

static int
on_complete(http_parser *parser)
{
	struct hf_exchange *x = parser->data;

	x->complete = true;
	http_parser_pause(parser, 1); /* what follows is the next request */
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
expect_request(struct hf_exchange *x)
{
	x->state = CONN_READING;
	x->since_us = loop_now_us(x->hf->options.loop);
	x->started = x->complete = x->keep = x->chunked = false;
	x->continue_due = x->headers_done = false;
	x->refusal = 0;
	x->data = NULL;
	buf_clear(&x->target);
	buf_clear(&x->body);
	hh_clear(&x->headers);
	http_parser_init(&x->parser, HTTP_REQUEST);
	x->parser.data = x;
}

/* Answers a request that can't be read, and ends the connection. */
static void
refuse(struct hf_exchange *x, int error)
{
	const struct err_answer *row = err_answer(error);
	struct hf *hf = x->hf;

	hf->options.handler->refused(hf->options.ctx, error);
	buf_addf(&x->out,
	    "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s\n",
	    row->http_status, row->name, strlen(row->text) + 1, row->text);
	linger(x);
	flush(x);
}

static void
hand_over(struct hf_exchange *x)
{
	struct hf *hf = x->hf;

	x->state = CONN_BUSY;
	x->arrived_us = loop_now_us(hf->options.loop);
	hf->busy++;
	watch_conn(x);
	hf->options.handler->request(hf->options.ctx, x);
}

/* Parses what has been read; at most one request is handed over. */
static void
parse_more(struct hf_exchange *x)
{
	size_t taken;
	enum http_errno problem;

	if (x->state != CONN_READING || x->in.len == 0)
		return;
	if (!x->started) {
		x->started = true;
		x->since_us = loop_now_us(x->hf->options.loop);
	}
	taken = http_parser_execute(
	    &x->parser, &parser_settings, (const char *)x->in.data, x->in.len);
	problem = HTTP_PARSER_ERRNO(&x->parser);
	if (x->complete) {
		buf_consume(&x->in, taken);
		hand_over(x);
		return;
	}
	buf_clear(&x->in);
	if (x->refusal == 0 &&
	    (problem == HPE_HEADER_OVERFLOW ||
		(!x->headers_done &&
		    header_bytes(x) > x->hf->options.limits.header_max_bytes)))
		x->refusal = ERR_HEADER;
	if (x->refusal != 0)
		refuse(x, x->refusal);
	else if (problem != HPE_OK || x->parser.upgrade)
		refuse(x, ERR_MALFORMED);
	else if (x->continue_due) {
		x->continue_due = false;
		buf_adds(&x->out, "HTTP/1.1 100 Continue\r\n\r\n");
		flush(x);
	}
}

static void
read_some(struct hf_exchange *x)
{
	uint8_t bytes[HF_READ_BYTES];
	ssize_t n = recv(x->fd, bytes, sizeof(bytes), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		x->eof = true;
		conn_lost(x);
		return;
	}
	if (x->state == CONN_LINGERING)
		return;
	buf_add(&x->in, bytes, (size_t)n);
	if (x->state == CONN_BUSY) {
		watch_conn(x);
		return;
	}
	parse_more(x);
}

/* Writes what the socket takes; ends the connection where it is due. */
static void
flush(struct hf_exchange *x)
{
	while (x->out.len > 0) {
		ssize_t n = send(x->fd, x->out.data, x->out.len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/* Reading will say that the caller is gone. */
			buf_clear(&x->out);
			break;
		}
		buf_consume(&x->out, (size_t)n);
	}
	if (x->out.len == 0 && x->state == CONN_LINGERING)
		shutdown(x->fd, SHUT_WR);
	watch_conn(x);
}

static void
on_conn(void *ctx, int events)
{
	struct hf_exchange *x = ctx;

	x->parsing = true;
	if ((events & LOOP_WRITE) && x->out.len > 0) {
		flush(x);
		if (x->out.len == 0 && x->state == CONN_BUSY && !x->dead &&
		    x->hf->options.drained != NULL)
			x->hf->options.drained(x->hf->options.ctx, x);
	}
	if ((events & LOOP_READ) && !x->dead)
		read_some(x);
	x->parsing = false;
	if (x->dead)
		conn_free(x);
}

static void
accept_one(struct hf *hf, int fd)
{
	struct hf_exchange *x;
	int one = 1;
	unsigned int timeout_ms = HF_USER_TIMEOUT_MS;

	if (hf->count >= hf->options.connections_max) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	x = alloc_zero(hf->options.alloc, 1, sizeof(*x));
	x->hf = hf;
	x->fd = fd;
	buf_init(&x->in, hf->options.alloc);
	buf_init(&x->out, hf->options.alloc);
	buf_init(&x->target, hf->options.alloc);
	buf_init(&x->body, hf->options.alloc);
	hh_init(&x->headers, hf->options.alloc);
	expect_request(x);
	x->next = hf->conns;
	if (hf->conns != NULL)
		hf->conns->prev = x;
	hf->conns = x;
	hf->count++;
	x->watch = loop_watch(hf->options.loop, fd, LOOP_READ, on_conn, x);
}

static void
on_accept(void *ctx, int events)
{
	struct hf *hf = ctx;
	int fd;

	(void)events;
	while ((fd = accept4(hf->listener, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		accept_one(hf, fd);
}

static void
check_timeout(struct hf_exchange *x, int64_t now_us)
{
	const struct hf_limits *limits = &x->hf->options.limits;
	int64_t waited_ms = (now_us - x->since_us) / 1000;

	if (x->state == CONN_LINGERING) {
		if (now_us - x->since_us > HF_LINGER_US)
			conn_free(x);
	} else if (x->state == CONN_READING && x->started) {
		/* A body may take as long as a connection may be idle. */
		if (waited_ms > (x->headers_done ? limits->idle_timeout_ms
						 : limits->header_timeout_ms))
			refuse(x, ERR_SLOW_SENDER);
	} else if (x->state == CONN_READING &&
		   waited_ms > limits->idle_timeout_ms) {
		conn_free(x);
	}
}

static void
on_sweep(void *ctx)
{
	struct hf *hf = ctx;
	struct hf_exchange *next;
	int64_t now_us = loop_now_us(hf->options.loop);

	for (struct hf_exchange *x = hf->conns; x != NULL; x = next) {
		next = x->next;
		check_timeout(x, now_us);
	}
	hf->sweep = loop_after(hf->options.loop, HF_SWEEP_US, on_sweep, hf);
}

static int
open_listener(const struct hf_options *options)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(options->port)};
	int one = 1;
	int fd;

	if (inet_pton(AF_INET, options->host, &address.sin_addr) != 1)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, HF_BACKLOG) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Starts a server; NULL if the address is taken or no IP number. */
struct hf *
hf_new(const struct hf_options *options)
{
	struct hf *hf;
	int fd = open_listener(options);

	if (fd < 0)
		return NULL;
	hf = alloc_zero(options->alloc, 1, sizeof(*hf));
	hf->options = *options;
	hf->listener = fd;
	hf->watch = loop_watch(options->loop, fd, LOOP_READ, on_accept, hf);
	hf->sweep = loop_after(options->loop, HF_SWEEP_US, on_sweep, hf);
	return hf;
}

/* Closes every connection without a word to the handler. */
void
hf_free(struct hf *hf)
{
	if (hf == NULL)
		return;
	while (hf->conns != NULL)
		conn_free(hf->conns);
	loop_unwatch(hf->watch);
	loop_cancel(hf->sweep);
	close(hf->listener);
	alloc_free(hf->options.alloc, hf);
}

/* Uses other limits from now on. */
void
hf_set_limits(struct hf *hf, const struct hf_limits *limits)
{
	hf->options.limits = *limits;
}

/* Has every answer announce that its connection closes, or no longer. */
void
hf_drain(struct hf *hf, bool drain)
{
	hf->draining = drain;
}

/*
 * Closes the connections that wait for a request.  They are closed for writing
 * first: a request that crosses this is read and dropped unanswered, and its
 * caller sees that the connection ended before.
 */
void
hf_close_idle(struct hf *hf)
{
	struct hf_exchange *next;

	for (struct hf_exchange *x = hf->conns; x != NULL; x = next) {
		next = x->next;
		if (x->state == CONN_READING && !x->started)
			linger(x);
	}
}

/* Returns how many requests the handler has. */
uint32_t
hf_open_exchanges(const struct hf *hf)
{
	return hf->busy;
}

/* Returns how many connections are open. */
uint32_t
hf_connections(const struct hf *hf)
{
	return hf->count;
}

/* Returns the port listened on, for servers made with port 0. */
uint16_t
hf_port(const struct hf *hf)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	getsockname(hf->listener, (struct sockaddr *)&address, &len);
	return ntohs(address.sin_port);
}

const char *
hf_method(const struct hf_exchange *x)
{
	return http_method_str((enum http_method)x->parser.method);
}

/* Returns path and query as the caller sent them. */
const char *
hf_target(const struct hf_exchange *x)
{
	return buf_text(&x->target);
}

const struct hh *
hf_headers(const struct hf_exchange *x)
{
	return &x->headers;
}

const struct buf *
hf_body(const struct hf_exchange *x)
{
	return &x->body;
}

/* Returns the time at which the last byte of the request was read. */
int64_t
hf_arrived_us(const struct hf_exchange *x)
{
	return x->arrived_us;
}

void
hf_set_data(struct hf_exchange *x, void *data)
{
	x->data = data;
}

void *
hf_data(const struct hf_exchange *x)
{
	return x->data;
}

/* Takes the next request, which may have been read already. */
static void
finish(struct hf_exchange *x)
{
	x->hf->busy--;
	if (!x->keep) {
		linger(x);
		flush(x);
		return;
	}
	expect_request(x);
	flush(x);
	if (x->in.len > 0 && !x->parsing) {
		x->parsing = true;
		parse_more(x);
		x->parsing = false;
		if (x->dead)
			conn_free(x);
	} else if (x->in.len > 0) {
		parse_more(x);
	}
}

static void
add_status(struct hf_exchange *x, unsigned int status)
{
	const char *text = http_status_str((enum http_status)status);

	buf_addf(&x->out, "HTTP/1.1 %u %s\r\n", status,
	    text != NULL ? text : "Unknown");
	if (!x->keep || x->hf->draining) {
		x->keep = false;
		buf_adds(&x->out, "Connection: close\r\n");
	}
}

/* Answers with one body, which is copied, and ends the exchange. */
void
hf_answer(struct hf_exchange *x, unsigned int status,
    const struct hf_header *headers, size_t count, const void *body, size_t len)
{
	add_status(x, status);
	for (size_t i = 0; i < count; i++)
		buf_addf(
		    &x->out, "%s: %s\r\n", headers[i].name, headers[i].value);
	buf_addf(&x->out, "Content-Length: %zu\r\n\r\n", len);
	if (!x->is_head)
		buf_add(&x->out, body, len);
	finish(x);
}

/*
 * Starts an answer whose header lines, each ended by CR LF, are given; its
 * body follows in hf_write(), in chunks or with a length known before.
 */
void
hf_begin(struct hf_exchange *x, unsigned int status,
    const struct buf *header_lines, bool chunked, size_t content_length)
{
	/* Chunks were not known before HTTP/1.1: there the close ends it. */
	bool old = x->parser.http_major == 1 && x->parser.http_minor == 0;

	if (chunked && old)
		x->keep = false;
	x->chunked = chunked && !old;
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

/* Passes a part of the body on at once. */
void
hf_write(struct hf_exchange *x, const void *data, size_t len)
{
	if (len > 0 && !x->is_head) {
		if (x->chunked)
			buf_addf(&x->out, "%zx\r\n", len);
		buf_add(&x->out, data, len);
		if (x->chunked)
			buf_add(&x->out, "\r\n", 2);
	}
	flush(x);
}

/* Returns how many bytes the caller has not taken yet. */
size_t
hf_pending(const struct hf_exchange *x)
{
	return x->out.len;
}

/*
 * Ends an answer.  One that is not whole is cut off without its end, so that
 * the caller can't take it for a complete one.
 */
void
hf_end(struct hf_exchange *x, bool whole)
{
	if (whole) {
		if (x->chunked && !x->is_head)
			buf_adds(&x->out, "0\r\n\r\n");
		finish(x);
		return;
	}
	x->hf->busy--;
	x->keep = false;
	linger(x);
	flush(x);
}
