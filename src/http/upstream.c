#include "http/upstream.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	HU_READ_BYTES = 16 * 1024,
	HU_USER_TIMEOUT_MS = 3000, /* unacknowledged bytes end a connection */
	HU_KEEP_MARGIN_MS = 700, /* left unused before a server's own timeout */
	HU_SWEEP_US = 500000,
	HU_PROBES_MAX = 5, /* dials of an address, while it closes them */
	HU_INTERIM_MAX = 16, /* heads before that of the answer */
	HU_OTHERS_MAX = 4, /* whole answers to earlier calls */
	HU_FRAMING_BYTES = 256 * 1024, /* beside the body, and */
	HU_FRAMING_A_BYTE = 8 /* for each byte of it, as in short chunks */
};

/* One connection; with a call, or idle. */
struct conn {
	struct hu *hu;
	int fd;
	struct sockaddr_in address;
	struct loop_watch *watch;
	struct hu_call *call; /* NULL: idle */
	http_parser parser;
	struct hh headers;
	struct buf out;
	int64_t idle_until_us;
	int64_t dialled_us;
	int64_t round_trip_us; /* as long as connecting took */
	bool connecting;
	uint8_t probe; /* of hu_probe(), which dial; nobody has used it yet */
	bool used; /* has served a call */
	bool head_told;
	bool skipping; /* the answer belongs to another call */
	bool complete;
	bool closing; /* the server won't take another call here */
	bool inside; /* in a callback: the connection must not be freed */
	bool dead;
	struct conn *prev;
	struct conn *next;
};

struct hu_call {
	struct conn *conn;
	const struct hu_handler *handler;
	void *ctx;
	struct loop_timer *connect;
	unsigned int status;
	int refusal;
	bool refused;
	uint32_t heads; /* interim ones */
	uint32_t others; /* answers to other calls */
	uint64_t received; /* bytes, and of these */
	uint64_t body; /* bytes of the body */
	int64_t sent_us; /* when its first byte left */
	bool is_head;
	bool sent;
	bool reused;
};

struct hu {
	struct hu_options options;
	struct conn *conns;
	struct loop_timer *sweep;
	uint64_t dialled;
};

static void
conn_free(struct conn *c)
{
	struct hu *hu = c->hu;

	if (c->inside) {
		c->dead = true;
		return;
	}
	loop_unwatch(c->watch);
	close(c->fd);
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		hu->conns = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	hh_free(&c->headers);
	buf_free(&c->out);
	alloc_free(hu->options.alloc, c);
}

/* Takes the call off its connection and reports it. */
static void
finish(struct conn *c, int error, bool closed)
{
	struct hu_call *call = c->call;
	struct hu_result result = {.error = error,
	    .status = call->status,
	    .sent = call->sent,
	    .unreachable = c->connecting,
	    .refused = call->refused,
	    .closed = closed,
	    .reused = call->reused};
	const struct hu_handler *handler = call->handler;
	void *ctx = call->ctx;

	loop_cancel(call->connect);
	c->call = NULL;
	alloc_free(c->hu->options.alloc, call);
	handler->done(ctx, &result);
}

/* Ends the connection; a call on it fails. */
static void
conn_failed(struct conn *c, int error, bool closed)
{
	bool inside = c->inside;

	c->inside = true;
	c->idle_until_us = 0; /* not to be used again */
	if (c->call != NULL)
		finish(c, error, closed);
	c->inside = inside;
	conn_free(c);
}

static int
on_name(http_parser *parser, const char *data, size_t len)
{
	struct conn *c = parser->data;

	hh_parse_name(&c->headers, data, len);
	return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t len)
{
	struct conn *c = parser->data;

	hh_parse_value(&c->headers, data, len);
	return 0;
}

static int
on_begin(http_parser *parser)
{
	struct conn *c = parser->data;

	hh_clear(&c->headers);
	c->skipping = c->head_told = false;
	return 0;
}

static void
note_keep_alive(struct conn *c)
{
	const char *keep = hh_get(&c->headers, "Keep-Alive");
	const char *timeout = keep != NULL ? strstr(keep, "timeout=") : NULL;
	int64_t now_us = loop_now_us(c->hu->options.loop);
	int64_t idle_ms = c->hu->options.idle_timeout_ms;

	if (timeout != NULL) {
		long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
		int64_t given_ms = seconds * 1000 - HU_KEEP_MARGIN_MS;

		if (seconds >= 0 && given_ms < idle_ms)
			idle_ms = given_ms;
	}
	c->idle_until_us = now_us + idle_ms * 1000;
}

static int
on_headers(http_parser *parser)
{
	struct conn *c = parser->data;
	struct hu_call *call = c->call;
	int verdict;

	hh_finish(&c->headers);
	if (call == NULL)
		return -1;
	if (parser->status_code < 200) {
		if (++call->heads > HU_INTERIM_MAX)
			call->refusal = ERR_TOO_LARGE;
		return call->refusal;
	}
	verdict = call->handler->head(
	    call->ctx, call, parser->status_code, &c->headers);
	if (c->call != call) /* cancelled from there */
		return -1;
	if (verdict < 0) {
		call->refusal = verdict;
		return -1;
	}
	note_keep_alive(c);
	c->skipping = verdict == HU_NOT_OURS;
	if (c->skipping && ++call->others > HU_OTHERS_MAX) {
		call->refusal = ERR_TOO_LARGE;
		return -1;
	}
	if (!c->skipping) {
		call->status = parser->status_code;
		c->head_told = true;
	}
	return call->is_head ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t len)
{
	struct conn *c = parser->data;
	struct hu_call *call = c->call;
	int verdict;

	if (call == NULL)
		return -1;
	if (c->skipping)
		return 0;
	call->body += len;
	verdict = call->handler->data(call->ctx, call, data, len);
	if (c->call != call)
		return -1;
	if (verdict < 0)
		call->refusal = verdict;
	return verdict < 0 ? -1 : 0;
}

static int
on_complete(http_parser *parser)
{
	struct conn *c = parser->data;

	if (!c->head_told)
		return 0; /* an interim answer, or one of another call */
	c->complete = true;
	c->closing = http_should_keep_alive(parser) == 0;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* The answer is whole: report it, and keep the connection if it is clean. */
static void
call_complete(struct conn *c, bool clean)
{
	bool keep = clean && !c->closing && c->out.len == 0;

	if (!keep) {
		conn_failed(c, 0, false);
		return;
	}
	c->used = true;
	c->complete = false;
	loop_rewatch(c->watch, LOOP_READ);
	finish(c, 0, false);
}

/* Whether a server sends far more than it says, as far as was parsed. */
static bool
is_framing_unending(const struct hu_call *call)
{
	return call->received > HU_FRAMING_BYTES + HU_READ_BYTES +
				    call->body * (HU_FRAMING_A_BYTE + 1);
}

static void
parse(struct conn *c, const char *data, size_t len)
{
	size_t taken;
	bool eof = len == 0;

	if (c->call != NULL) {
		c->call->received += len;
		if (is_framing_unending(c->call)) {
			conn_failed(c, ERR_TOO_LARGE, false);
			return;
		}
	}
	taken = http_parser_execute(&c->parser, &parser_settings, data, len);
	if (c->dead)
		return;
	if (c->call == NULL) {
		conn_free(c);
	} else if (c->complete) {
		call_complete(c, taken == len && !eof);
	} else if (c->call->refusal != 0) {
		conn_failed(c, c->call->refusal, false);
	} else if (eof) {
		conn_failed(c,
		    c->call->status != 0 ? ERR_UPSTREAM_CUT : ERR_UPSTREAM,
		    true);
	} else if (HTTP_PARSER_ERRNO(&c->parser) == HPE_HEADER_OVERFLOW) {
		conn_failed(c, ERR_TOO_LARGE, false);
	} else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK ||
		   c->parser.upgrade) {
		conn_failed(c, ERR_UPSTREAM_CUT, false);
	}
}

static struct conn *dial(struct hu *hu, const struct sockaddr_in *address);

static void
dial_probe(struct hu *hu, const struct sockaddr_in *address, uint8_t number)
{
	struct conn *c = dial(hu, address);

	if (c == NULL)
		return;
	c->probe = number;
	c->idle_until_us = loop_now_us(hu->options.loop) +
			   (int64_t)hu->options.connect_timeout_ms * 1000;
}

/* A probe found no server; refused: nothing listens at the address. */
static void
probe_failed(const struct conn *c, bool refused)
{
	struct hu *hu = c->hu;

	if (c->probe != 0 && hu->options.probed != NULL)
		hu->options.probed(hu->options.ctx, &c->address, refused);
}

/*
 * The connection of a probe was closed before a call used it.  A process that
 * is ending still takes some, so that tells nothing yet: the next one does.
 */
static void
probe_closed(const struct conn *c)
{
	if (c->probe != 0 && c->probe < HU_PROBES_MAX)
		dial_probe(c->hu, &c->address, c->probe + 1);
}

/* The connection of a probe waits for the next call. */
static void
probe_succeeded(struct conn *c)
{
	c->idle_until_us = loop_now_us(c->hu->options.loop) +
			   (int64_t)c->hu->options.connect_timeout_ms * 1000;
	loop_rewatch(c->watch, LOOP_READ);
}

static void
read_some(struct conn *c)
{
	char bytes[HU_READ_BYTES];
	ssize_t n = recv(c->fd, bytes, sizeof(bytes), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (c->call == NULL) {
		/* Closed, or bytes that no call waits for. */
		probe_closed(c);
		conn_free(c);
		return;
	}
	if (n < 0) {
		conn_failed(c,
		    c->call->status != 0 ? ERR_UPSTREAM_CUT : ERR_UPSTREAM,
		    true);
		return;
	}
	parse(c, bytes, (size_t)n);
}

static void
write_some(struct conn *c)
{
	while (c->out.len > 0) {
		ssize_t n = send(c->fd, c->out.data, c->out.len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/* An early answer may still be there to be read. */
			buf_clear(&c->out);
			c->closing = true;
			break;
		}
		buf_consume(&c->out, (size_t)n);
		if (c->call != NULL && !c->call->sent) {
			c->call->sent = true;
			c->call->sent_us = loop_now_us(c->hu->options.loop);
		}
	}
	loop_rewatch(
	    c->watch, c->out.len > 0 ? LOOP_READ | LOOP_WRITE : LOOP_READ);
}

static void
on_conn(void *ctx, int events)
{
	struct conn *c = ctx;

	c->inside = true;
	if (c->connecting && (events & LOOP_WRITE)) {
		int problem = 0;
		socklen_t len = sizeof(problem);

		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &problem, &len);
		if (problem != 0) {
			if (c->call != NULL)
				c->call->refused = problem == ECONNREFUSED;
			else if (problem == ECONNRESET)
				probe_closed(c);
			else
				probe_failed(c, problem == ECONNREFUSED);
			conn_failed(c, ERR_UPSTREAM, false);
		} else {
			c->connecting = false;
			c->round_trip_us =
			    loop_now_us(c->hu->options.loop) - c->dialled_us;
			if (c->call == NULL)
				probe_succeeded(c);
			if (c->call != NULL) {
				loop_cancel(c->call->connect);
				c->call->connect = NULL;
			}
		}
	}
	if (!c->dead && !c->connecting && (events & LOOP_WRITE))
		write_some(c);
	if (!c->dead && !c->connecting && (events & LOOP_READ))
		read_some(c);
	c->inside = false;
	if (c->dead)
		conn_free(c);
}

static struct conn *
dial(struct hu *hu, const struct sockaddr_in *address)
{
	struct conn *c;
	int one = 1;
	unsigned int timeout_ms = HU_USER_TIMEOUT_MS;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	c = alloc_zero(hu->options.alloc, 1, sizeof(*c));
	c->hu = hu;
	c->fd = fd;
	c->address = *address;
	c->connecting = true;
	c->dialled_us = loop_now_us(hu->options.loop);
	hh_init(&c->headers, hu->options.alloc);
	buf_init(&c->out, hu->options.alloc);
	c->next = hu->conns;
	if (hu->conns != NULL)
		hu->conns->prev = c;
	hu->conns = c;
	c->watch = loop_watch(
	    hu->options.loop, fd, LOOP_READ | LOOP_WRITE, on_conn, c);
	hu->dialled++;
	return c;
}

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/* The idle connection that was used last, if the server still keeps it. */
static struct conn *
find_idle(struct hu *hu, const struct sockaddr_in *address)
{
	struct conn *best = NULL;
	int64_t now_us = loop_now_us(hu->options.loop);

	for (struct conn *c = hu->conns; c != NULL; c = c->next) {
		if (c->call == NULL && !c->dead && !c->connecting &&
		    c->idle_until_us > now_us &&
		    same_address(&c->address, address) &&
		    (best == NULL || c->idle_until_us > best->idle_until_us))
			best = c;
	}
	return best;
}

static void
on_connect_late(void *ctx)
{
	struct hu_call *call = ctx;

	call->connect = NULL;
	conn_failed(call->conn, ERR_TIMEOUT, false);
}

/*
 * Starts a call; its handler hears of it only after this returns.  NULL: no
 * socket could be made, and nothing was sent.
 */
struct hu_call *
hu_start(struct hu *hu, const struct hu_request *request)
{
	struct conn *c =
	    request->fresh ? NULL : find_idle(hu, &request->address);
	bool reused = c != NULL;
	struct hu_call *call;

	if (c == NULL)
		c = dial(hu, &request->address);
	if (c == NULL)
		return NULL;
	call = alloc_zero(hu->options.alloc, 1, sizeof(*call));
	call->conn = c;
	call->handler = request->handler;
	call->ctx = request->ctx;
	call->is_head = request->is_head;
	call->reused = reused;
	c->call = call;
	c->probe = 0;
	c->complete = c->head_told = c->skipping = false;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	buf_add(&c->out, request->head->data, request->head->len);
	buf_add(&c->out, request->body, request->len);
	if (reused)
		write_some(c);
	else
		call->connect = loop_after(hu->options.loop,
		    (int64_t)hu->options.connect_timeout_ms * 1000,
		    on_connect_late, call);
	return call;
}

/* Ends a call without a report and closes its connection. */
void
hu_cancel(struct hu_call *call)
{
	struct conn *c = call->conn;

	loop_cancel(call->connect);
	c->call = NULL;
	alloc_free(c->hu->options.alloc, call);
	conn_free(c);
}

/* Stops or resumes reading, so that a slow caller slows the server down. */
void
hu_pause(struct hu_call *call, bool pause)
{
	struct conn *c = call->conn;

	loop_rewatch(c->watch,
	    (pause ? 0 : LOOP_READ) | (c->out.len > 0 ? LOOP_WRITE : 0));
}

/* Returns whether a byte of the request has left this host. */
bool
hu_was_sent(const struct hu_call *call)
{
	return call->sent;
}

/*
 * Returns how long the server has had a request that was sent, without the way
 * there and back.
 */
int64_t
hu_taken_us(const struct hu_call *call)
{
	int64_t us = loop_now_us(call->conn->hu->options.loop) - call->sent_us -
		     call->conn->round_trip_us;

	return call->sent && us > 0 ? us : 0;
}

/*
 * Dials an address to see whether a server is there; options.probed() hears if
 * not.  One probe of an address is under way at a time.
 */
void
hu_probe(struct hu *hu, const struct sockaddr_in *address)
{
	for (struct conn *c = hu->conns; c != NULL; c = c->next) {
		if (c->probe != 0 && c->connecting &&
		    same_address(&c->address, address))
			return;
	}
	dial_probe(hu, address, 1);
}

/* Closes the idle connections to an address whose server is gone. */
void
hu_forget(struct hu *hu, const struct sockaddr_in *address)
{
	struct conn *next;

	for (struct conn *c = hu->conns; c != NULL; c = next) {
		next = c->next;
		if (c->call == NULL && (c->probe == 0 || !c->connecting) &&
		    same_address(&c->address, address))
			conn_free(c);
	}
}

/* Returns how many connections were dialled. */
uint64_t
hu_dialled(const struct hu *hu)
{
	return hu->dialled;
}

static void
on_sweep(void *ctx)
{
	struct hu *hu = ctx;
	struct conn *next;
	int64_t now_us = loop_now_us(hu->options.loop);

	for (struct conn *c = hu->conns; c != NULL; c = next) {
		next = c->next;
		if (c->call == NULL && c->idle_until_us <= now_us) {
			if (c->connecting)
				probe_failed(c, false);
			conn_free(c);
		}
	}
	hu->sweep = loop_after(hu->options.loop, HU_SWEEP_US, on_sweep, hu);
}

/* Creates a client; calls run only while the loop runs. */
struct hu *
hu_new(const struct hu_options *options)
{
	struct hu *hu = alloc_zero(options->alloc, 1, sizeof(*hu));

	hu->options = *options;
	hu->sweep = loop_after(options->loop, HU_SWEEP_US, on_sweep, hu);
	return hu;
}

/* Ends the client; calls still open end without a report. */
void
hu_free(struct hu *hu)
{
	if (hu == NULL)
		return;
	while (hu->conns != NULL) {
		struct conn *c = hu->conns;

		if (c->call != NULL) {
			loop_cancel(c->call->connect);
			alloc_free(hu->options.alloc, c->call);
		}
		conn_free(c);
	}
	loop_cancel(hu->sweep);
	alloc_free(hu->options.alloc, hu);
}
