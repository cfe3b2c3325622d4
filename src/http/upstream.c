#include "http/upstream.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/undelivered.h"

enum {
	UPSTREAM_READ_BYTES = 16 * 1024,
	/*
	 * A connection whose sent data stays unacknowledged for this long
	 * fails.
	 */
	UPSTREAM_USER_TIMEOUT_MS = 3000,
	/*
	 * A connection is no longer reused this long before the timeout that
	 * its server gives in Keep-Alive.
	 */
	UPSTREAM_KEEP_ALIVE_MARGIN_MS = 700,
	UPSTREAM_IDLE_CHECK_US = 500000,
	/* Identities of calls that one connection carries in turn. */
	UPSTREAM_IDENTITIES_MAX = 1024,
	/* Dials of one probe, while the server closes its connections. */
	UPSTREAM_PROBE_DIALS_MAX = 5,
	/* Between two of these. */
	UPSTREAM_PROBE_REDIAL_US = 2000,
	/*
	 * A process that ends closes its connections one by one, and its
	 * listener perhaps last.  On a busy machine that takes milliseconds, in
	 * which connections are still accepted.
	 */
	UPSTREAM_PROBE_SETTLE_US = 20000,
	/* 1xx answers before the final one. */
	UPSTREAM_INTERIM_HEADS_MAX = 16,
	/* Answers to earlier calls that one call skips. */
	UPSTREAM_SKIPPED_ANSWERS_MAX = 4,
	/*
	 * Limit of the bytes of a call that aren't body: a fixed part, and a
	 * part for each body byte, which allows for short chunks.
	 */
	UPSTREAM_FRAMING_BASE_BYTES = 256 * 1024,
	UPSTREAM_FRAMING_PER_BODY_BYTE = 8,
	UPSTREAM_BUCKETS = 256 /* a power of 2; see upstream_client */
};

/* One connection, which carries a call or is idle. */
struct conn {
	struct upstream_client *client;
	int fd;
	struct sockaddr_in address;
	struct loop_watch *watch;
	struct upstream_call *call; /* NULL: idle, or a probe */
	http_parser parser;
	struct header_fields headers;
	struct buf out;
	struct buf identities; /* of the calls carried so far, uint64_t each */
	int64_t idle_until_us;
	int64_t dialled_us;
	int64_t round_trip_us; /* duration of the TCP handshake */
	struct probe *probe; /* NULL: none, or a call has used the connection */
	bool connecting;
	bool used; /* has carried a call */
	bool head_reported;
	bool skipping_answer; /* the answer belongs to another call */
	bool complete;
	bool eof; /* the server has closed its side */
	/* A send failed: the end of the input may be that of a reset */
	bool broken;
	bool closing; /* not reusable for another call */
	/* The same, as its call asked for, or an answer to another one came */
	bool single_use;
	/*
	 * The connection is in use further up the stack: conn_free() only sets
	 * free_pending.
	 */
	bool in_callback;
	bool free_pending;
	struct conn *prev;
	struct conn *next;
};

/*
 * A probe of an address.  A process that is shutting down may still accept
 * connections, so a connection that is closed is not conclusive, and the
 * address is dialled again.
 */
struct probe {
	struct upstream_client *client;
	struct sockaddr_in address;
	struct conn *conn; /* NULL: waits to dial again */
	/* Connect timeout, end of the settling time, or next dial */
	struct loop_timer *timer;
	uint64_t dials_before; /* dialled by the client when it began */
	uint8_t dials;
	bool accepted; /* this was reported; the connection is idle */
	struct probe *prev;
	struct probe *next;
};

struct upstream_call {
	struct conn *conn;
	const struct upstream_handler *handler;
	void *ctx;
	struct loop_timer *connect_timer;
	unsigned int status;
	int refusal;
	bool refused;
	uint32_t interim_heads; /* 1xx answers received */
	uint32_t skipped_answers;
	uint64_t received_bytes; /* all bytes of answers */
	uint64_t body_bytes; /* body bytes of the call's own answer */
	int64_t sent_us; /* when the first byte of the request was sent */
	bool is_head;
	bool sent;
	bool reused;
};

struct upstream_client {
	struct upstream_options options;
	struct conn *conns[UPSTREAM_BUCKETS]; /* by a hash of the address */
	struct probe *probes;
	struct loop_timer *idle_timer;
	uint64_t dialled;
};

static void
probe_free(struct probe *p)
{
	loop_cancel(p->timer);
	if (p->conn != NULL)
		p->conn->probe = NULL;
	if (p->prev != NULL)
		p->prev->next = p->next;
	else
		p->client->probes = p->next;
	if (p->next != NULL)
		p->next->prev = p->prev;
	alloc_free(p->client->options.alloc, p);
}

/* Returns the connections to an address, among others. */
static struct conn **
conns_to(struct upstream_client *client, const struct sockaddr_in *address)
{
	uint64_t key =
	    (uint64_t)address->sin_addr.s_addr << 16 | address->sin_port;

	return &client->conns[key * UINT64_C(0x9e3779b97f4a7c15) >> 32 &
			      (UPSTREAM_BUCKETS - 1)];
}

static void
conn_free(struct conn *c)
{
	struct upstream_client *client = c->client;

	if (c->in_callback) {
		c->free_pending = true;
		return;
	}
	if (c->probe != NULL)
		probe_free(c->probe);
	loop_unwatch(c->watch);
	close(c->fd);
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		*conns_to(client, &c->address) = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	headers_free(&c->headers);
	buf_free(&c->out);
	buf_free(&c->identities);
	alloc_free(client->options.alloc, c);
}

/* Returns a name of what marked the end of an answer, for logs. */
const char *
upstream_end_name(enum upstream_end end)
{
	static const char *const names[] = {
	    "none", "length", "last_chunk", "connection"};

	return names[end];
}

/* Returns what marked the end of a complete answer. */
static enum upstream_end
end_of_answer(const struct conn *c)
{
	if (c->eof)
		return UPSTREAM_END_CONNECTION;
	return (c->parser.flags & F_CHUNKED) != 0 ? UPSTREAM_END_LAST_CHUNK
						  : UPSTREAM_END_LENGTH;
}

/* Detaches the call from its connection, frees it and reports done(). */
static void
finish_call(struct conn *c, int error, bool closed)
{
	struct upstream_call *call = c->call;
	struct upstream_result result = {.error = error,
	    .status = call->status,
	    .sent = call->sent,
	    .unreachable = c->connecting,
	    .refused = call->refused,
	    .closed = closed,
	    .reused = call->reused,
	    .end = error == 0 ? end_of_answer(c) : UPSTREAM_END_NONE};
	const struct upstream_handler *handler = call->handler;
	void *ctx = call->ctx;

	loop_cancel(call->connect_timer);
	c->call = NULL;
	alloc_free(c->client->options.alloc, call);
	handler->done(ctx, &result);
}

/* Closes the connection. If it carries a call, the call ends with error. */
static void
fail_connection(struct conn *c, int error, bool closed)
{
	bool in_callback = c->in_callback;

	c->in_callback = true;
	c->idle_until_us = 0; /* exclude it from reuse */
	if (c->call != NULL)
		finish_call(c, error, closed);
	c->in_callback = in_callback;
	conn_free(c);
}

static int
on_name(http_parser *parser, const char *data, size_t len)
{
	struct conn *c = parser->data;

	headers_parse_name(&c->headers, data, len);
	return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t len)
{
	struct conn *c = parser->data;

	headers_parse_value(&c->headers, data, len);
	return 0;
}

static int
on_begin(http_parser *parser)
{
	struct conn *c = parser->data;

	headers_clear(&c->headers);
	c->skipping_answer = c->head_reported = false;
	return 0;
}

static void
update_idle_deadline(struct conn *c)
{
	const char *keep = headers_get(&c->headers, "Keep-Alive");
	const char *timeout = keep != NULL ? strstr(keep, "timeout=") : NULL;
	int64_t now_us = loop_now_us(c->client->options.loop);
	int64_t idle_ms = c->client->options.idle_timeout_ms;

	if (timeout != NULL) {
		long seconds = strtol(timeout + strlen("timeout="), NULL, 10);
		int64_t given_ms =
		    seconds * 1000 - UPSTREAM_KEEP_ALIVE_MARGIN_MS;

		if (seconds >= 0 && given_ms < idle_ms)
			idle_ms = given_ms;
	}
	c->idle_until_us = now_us + idle_ms * 1000;
}

/*
 * Tells whether a head is one that HTTP has: of a status from 100 to 599, and
 * without a body if it is interim.  After any other, nothing that makes sense
 * will follow; it counts as the failure of the server that RFC 9110, section
 * 15, takes it for, and doesn't reach the caller.
 */
static bool
is_head_valid(const http_parser *parser, const struct header_fields *headers)
{
	if (parser->status_code < 100 || parser->status_code > 599)
		return false;
	return parser->status_code >= 200 ||
	       (headers_get(headers, "Content-Length") == NULL &&
		   headers_get(headers, "Transfer-Encoding") == NULL);
}

static int
on_headers(http_parser *parser)
{
	struct conn *c = parser->data;
	struct upstream_call *call = c->call;
	int verdict;

	headers_close(&c->headers);
	if (call == NULL)
		return -1;
	if (!is_head_valid(parser, &c->headers)) {
		call->refusal = ERR_UPSTREAM;
		return -1;
	}
	if (parser->status_code < 200) {
		if (++call->interim_heads > UPSTREAM_INTERIM_HEADS_MAX)
			call->refusal = ERR_TOO_LARGE;
		return call->refusal;
	}
	verdict = call->handler->head(
	    call->ctx, call, parser->status_code, &c->headers);
	if (c->call != call) /* the handler cancelled the call */
		return -1;
	if (verdict < 0) {
		call->refusal = verdict;
		return -1;
	}
	update_idle_deadline(c);
	c->skipping_answer = verdict == UPSTREAM_SKIP_ANSWER;
	c->single_use |= c->skipping_answer;
	if (c->skipping_answer &&
	    ++call->skipped_answers > UPSTREAM_SKIPPED_ANSWERS_MAX) {
		call->refusal = ERR_TOO_LARGE;
		return -1;
	}
	if (!c->skipping_answer) {
		call->status = parser->status_code;
		c->head_reported = true;
	}
	return call->is_head ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t len)
{
	struct conn *c = parser->data;
	struct upstream_call *call = c->call;
	int verdict;

	if (call == NULL)
		return -1;
	if (c->skipping_answer)
		return 0;
	call->body_bytes += len;
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

	if (!c->head_reported)
		return 0; /* an interim or skipped answer */
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

/*
 * Reports a complete answer. The connection is kept if no further bytes arrived
 * (clean), the server lets it open and the whole request was sent.
 */
static void
complete_call(struct conn *c, bool clean)
{
	bool keep = clean && !c->closing && !c->broken && !c->single_use &&
		    c->out.len == 0;

	if (!keep) {
		fail_connection(c, 0, false);
		return;
	}
	c->used = true;
	c->complete = false;
	loop_rewatch(c->watch, LOOP_READ);
	finish_call(c, 0, false);
}

/*
 * Returns whether the server has sent more framing than is allowed for the body
 * parsed so far. received_bytes includes the body itself, hence the + 1, and
 * the bytes just read, which aren't parsed yet, hence UPSTREAM_READ_BYTES.
 */
static bool
exceeds_framing_limit(const struct upstream_call *call)
{
	return call->received_bytes >
	       UPSTREAM_FRAMING_BASE_BYTES + UPSTREAM_READ_BYTES +
		   call->body_bytes * (UPSTREAM_FRAMING_PER_BODY_BYTE + 1);
}

/*
 * Tells whether the connection ends before the server has the request, so that
 * its end is not that of a whole answer: after a reset, which the system
 * reports once, here to the send; or when it is a success, which the server
 * can't have meant before.
 */
static bool
ends_during_request(const struct conn *c)
{
	return c->broken ||
	       (c->call->status < 300 &&
		   (c->out.len > 0 || http_has_undelivered(c->fd)));
}

static void
parse_input(struct conn *c, const char *data, size_t len)
{
	size_t taken;
	bool eof = len == 0;

	if (c->call != NULL) {
		c->call->received_bytes += len;
		if (exceeds_framing_limit(c->call)) {
			fail_connection(c, ERR_TOO_LARGE, false);
			return;
		}
	}
	if (eof && c->call != NULL && ends_during_request(c)) {
		fail_connection(c,
		    c->call->status != 0 ? ERR_UPSTREAM_CUT : ERR_UPSTREAM,
		    true);
		return;
	}
	c->eof = eof;
	taken = http_parser_execute(&c->parser, &parser_settings, data, len);
	if (c->free_pending)
		return;
	if (c->call == NULL) {
		conn_free(c);
	} else if (c->complete) {
		complete_call(c, taken == len && !eof);
	} else if (c->call->refusal != 0) {
		fail_connection(c, c->call->refusal, false);
	} else if (eof) {
		fail_connection(c,
		    c->call->status != 0 ? ERR_UPSTREAM_CUT : ERR_UPSTREAM,
		    true);
	} else if (HTTP_PARSER_ERRNO(&c->parser) == HPE_HEADER_OVERFLOW) {
		fail_connection(c, ERR_TOO_LARGE, false);
	} else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK ||
		   c->parser.upgrade) {
		fail_connection(c, ERR_UPSTREAM_CUT, false);
	}
}

static struct conn *dial(
    struct upstream_client *client, const struct sockaddr_in *address);
static void dial_probe(struct probe *p);

/* Reports the outcome of a probe and frees it. */
static void
finish_probe(struct probe *p, enum upstream_probe_result result)
{
	struct upstream_client *client = p->client;
	struct sockaddr_in address = p->address;
	uint64_t dials_before = p->dials_before;

	probe_free(p);
	if (client->options.probed != NULL)
		client->options.probed(
		    client->options.ctx, &address, result, dials_before);
}

static void
on_redial(void *ctx)
{
	struct probe *p = ctx;

	p->timer = NULL;
	dial_probe(p);
}

/*
 * Dials again after the server has closed a probe's connection, or none could
 * be opened for want of descriptors.  result: the probe's, if this was the last
 * dial.
 */
static void
redial_probe(struct probe *p, enum upstream_probe_result result)
{
	if (p->conn != NULL)
		p->conn->probe = NULL;
	p->conn = NULL;
	loop_cancel(p->timer);
	p->timer = NULL;
	if (p->dials < UPSTREAM_PROBE_DIALS_MAX)
		p->timer = loop_after(p->client->options.loop,
		    UPSTREAM_PROBE_REDIAL_US, on_redial, p);
	else if (p->accepted)
		probe_free(p);
	else
		finish_probe(p, result);
}

static void
on_probe_timeout(void *ctx)
{
	struct probe *p = ctx;
	struct conn *c = p->conn;

	p->timer = NULL;
	p->conn = NULL;
	c->probe = NULL;
	conn_free(c);
	finish_probe(p, UPSTREAM_PROBE_FAILED);
}

/* Dials the address of a probe, and begins the connect timeout. */
static void
dial_probe(struct probe *p)
{
	p->dials++;
	p->conn = dial(p->client, &p->address);
	if (p->conn == NULL) {
		redial_probe(p, UPSTREAM_PROBE_FAILED);
		return;
	}
	p->conn->probe = p;
	p->timer = loop_after(p->client->options.loop,
	    (int64_t)p->client->options.connect_timeout_ms * 1000,
	    on_probe_timeout, p);
}

/*
 * Reports that the connection of a probe has stayed open.  It is kept for the
 * next call, for the connect timeout.
 */
static void
on_settled(void *ctx)
{
	struct probe *p = ctx;
	struct upstream_client *client = p->client;
	struct sockaddr_in address = p->address;
	uint64_t dials_before = p->dials_before;

	p->timer = NULL;
	p->accepted = true;
	p->conn->idle_until_us =
	    loop_now_us(client->options.loop) +
	    (int64_t)client->options.connect_timeout_ms * 1000;
	if (client->options.probed != NULL)
		client->options.probed(client->options.ctx, &address,
		    UPSTREAM_PROBE_ACCEPTED, dials_before);
}

/* Handles a connection of a probe that was established. */
static void
settle_probe(struct probe *p)
{
	loop_cancel(p->timer);
	p->timer = loop_after(
	    p->client->options.loop, UPSTREAM_PROBE_SETTLE_US, on_settled, p);
	loop_rewatch(p->conn->watch, LOOP_READ);
}

/* Handles a probe that could not connect.  problem: an errno. */
static void
fail_probe(struct probe *p, int problem)
{
	if (problem == ECONNRESET) {
		redial_probe(p, UPSTREAM_PROBE_CLOSED);
		return;
	}
	finish_probe(p, problem == ECONNREFUSED ? UPSTREAM_PROBE_REFUSED
						: UPSTREAM_PROBE_FAILED);
}

/* Tells whether a probe has the connection and has not accepted it yet. */
static bool
is_probing(const struct conn *c)
{
	return c->probe != NULL && !c->probe->accepted;
}

static void
read_socket(struct conn *c)
{
	char bytes[UPSTREAM_READ_BYTES];
	ssize_t n = recv(c->fd, bytes, sizeof(bytes), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (c->call == NULL) {
		/* Closed by the server, or bytes that belong to no call. */
		if (c->probe != NULL)
			redial_probe(c->probe, UPSTREAM_PROBE_CLOSED);
		conn_free(c);
		return;
	}
	if (n < 0) {
		fail_connection(c,
		    c->call->status != 0 ? ERR_UPSTREAM_CUT : ERR_UPSTREAM,
		    true);
		return;
	}
	parse_input(c, bytes, (size_t)n);
}

static void
write_output(struct conn *c)
{
	while (c->out.len > 0) {
		ssize_t n = send(c->fd, c->out.data, c->out.len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			/*
			 * The server may have answered before it closed: read
			 * on.
			 */
			buf_clear(&c->out);
			c->closing = c->broken = true;
			break;
		}
		buf_consume(&c->out, (size_t)n);
		if (c->call != NULL && !c->call->sent) {
			c->call->sent = true;
			c->call->sent_us = loop_now_us(c->client->options.loop);
		}
	}
	if (c->out.len == 0)
		buf_free(&c->out);
	loop_rewatch(
	    c->watch, c->out.len > 0 ? LOOP_READ | LOOP_WRITE : LOOP_READ);
}

static void
on_conn(void *ctx, int events)
{
	struct conn *c = ctx;

	c->in_callback = true;
	if (c->connecting && (events & LOOP_WRITE)) {
		int problem = 0;
		socklen_t len = sizeof(problem);

		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &problem, &len);
		if (problem != 0) {
			if (c->call != NULL)
				c->call->refused = problem == ECONNREFUSED;
			else if (c->probe != NULL)
				fail_probe(c->probe, problem);
			fail_connection(c, ERR_UPSTREAM, false);
		} else {
			c->connecting = false;
			c->round_trip_us =
			    loop_now_us(c->client->options.loop) -
			    c->dialled_us;
			if (c->client->options.connected != NULL)
				c->client->options.connected(
				    c->client->options.ctx, &c->address);
			if (c->probe != NULL)
				settle_probe(c->probe);
			if (c->call != NULL) {
				loop_cancel(c->call->connect_timer);
				c->call->connect_timer = NULL;
			}
		}
	}
	if (!c->free_pending && !c->connecting && (events & LOOP_WRITE))
		write_output(c);
	if (!c->free_pending && !c->connecting && (events & LOOP_READ))
		read_socket(c);
	c->in_callback = false;
	if (c->free_pending)
		conn_free(c);
}

/*
 * Binds a socket to the configured source address, if there is one.  Returns
 * whether the socket can be used.
 */
static bool
bind_source(const struct upstream_client *client, int fd)
{
	struct sockaddr_in source = {
	    .sin_family = AF_INET, .sin_addr = client->options.source};
	int one = 1;

	if (source.sin_addr.s_addr == 0)
		return true;
	/* The port is chosen at connect(), where it may be shared. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	return bind(fd, (const struct sockaddr *)&source, sizeof(source)) == 0;
}

static struct conn *
dial(struct upstream_client *client, const struct sockaddr_in *address)
{
	struct conn *c, **list;
	int one = 1;
	unsigned int timeout_ms = UPSTREAM_USER_TIMEOUT_MS;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	if (!bind_source(client, fd) ||
	    (connect(fd, (const struct sockaddr *)address, sizeof(*address)) !=
		    0 &&
		errno != EINPROGRESS)) {
		close(fd);
		return NULL;
	}
	c = alloc_zero(client->options.alloc, 1, sizeof(*c));
	c->client = client;
	c->fd = fd;
	c->address = *address;
	c->connecting = true;
	c->dialled_us = loop_now_us(client->options.loop);
	headers_init(&c->headers, client->options.alloc);
	buf_init(&c->out, client->options.alloc);
	buf_init(&c->identities, client->options.alloc);
	list = conns_to(client, address);
	c->next = *list;
	if (*list != NULL)
		(*list)->prev = c;
	*list = c;
	c->watch = loop_watch(
	    client->options.loop, fd, LOOP_READ | LOOP_WRITE, on_conn, c);
	client->dialled++;
	return c;
}

static bool
same_address(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/* Tells whether a connection may carry a call with an identity. */
static bool
may_carry(const struct conn *c, uint64_t identity)
{
	size_t count = c->identities.len / sizeof(identity);

	for (size_t i = 0; i < count; i++) {
		uint64_t carried;

		memcpy(&carried, c->identities.data + i * sizeof(carried),
		    sizeof(carried));
		if (carried == identity)
			return false;
	}
	return count < UPSTREAM_IDENTITIES_MAX;
}

/*
 * Returns the idle connection that expires last, normally the one used most
 * recently, of those that may carry a call with an identity.  NULL: there is
 * none.
 */
static struct conn *
find_idle(struct upstream_client *client, const struct sockaddr_in *address,
    uint64_t identity)
{
	struct conn *best = NULL;
	int64_t now_us = loop_now_us(client->options.loop);

	for (struct conn *c = *conns_to(client, address); c != NULL;
	     c = c->next) {
		if (c->call == NULL && !c->free_pending && !c->connecting &&
		    c->idle_until_us > now_us &&
		    same_address(&c->address, address) &&
		    may_carry(c, identity) &&
		    (best == NULL || c->idle_until_us > best->idle_until_us))
			best = c;
	}
	return best;
}

static void
on_connect_timeout(void *ctx)
{
	struct upstream_call *call = ctx;

	call->connect_timer = NULL;
	fail_connection(call->conn, ERR_TIMEOUT, false);
}

/*
 * Starts a call. The handler is called only after this returns. Returns NULL if
 * no connection could be started; nothing was sent then.
 */
struct upstream_call *
upstream_start(
    struct upstream_client *client, const struct upstream_request *request)
{
	struct conn *c = request->fresh ? NULL
					: find_idle(client, &request->address,
					      request->identity);
	bool reused = c != NULL;
	struct upstream_call *call;

	if (c == NULL)
		c = dial(client, &request->address);
	if (c == NULL)
		return NULL;
	call = alloc_zero(client->options.alloc, 1, sizeof(*call));
	call->conn = c;
	call->handler = request->handler;
	call->ctx = request->ctx;
	call->is_head = request->is_head;
	call->reused = reused;
	c->call = call;
	if (c->probe != NULL)
		probe_free(c->probe);
	c->single_use = request->fresh;
	if (request->identity != 0)
		buf_add(&c->identities, &request->identity,
		    sizeof(request->identity));
	c->complete = c->head_reported = c->skipping_answer = false;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	buf_add(&c->out, request->head->data, request->head->len);
	buf_add(&c->out, request->body, request->len);
	if (reused)
		write_output(c);
	else
		call->connect_timer = loop_after(client->options.loop,
		    (int64_t)client->options.connect_timeout_ms * 1000,
		    on_connect_timeout, call);
	return call;
}

/* Cancels a call without reporting done() and closes its connection. */
void
upstream_cancel(struct upstream_call *call)
{
	struct conn *c = call->conn;

	loop_cancel(call->connect_timer);
	c->call = NULL;
	alloc_free(c->client->options.alloc, call);
	conn_free(c);
}

/*
 * Stops or resumes reading the answer, so that a slow caller exerts
 * backpressure on the server.
 */
void
upstream_set_paused(struct upstream_call *call, bool pause)
{
	struct conn *c = call->conn;

	loop_rewatch(c->watch,
	    (pause ? 0 : LOOP_READ) | (c->out.len > 0 ? LOOP_WRITE : 0));
}

/* Returns whether a byte of the request was sent. */
bool
upstream_was_sent(const struct upstream_call *call)
{
	return call->sent;
}

/*
 * Returns for how many microseconds the server has had the request: the time
 * since its first byte was sent, less one network round trip. 0 if nothing was
 * sent.
 */
int64_t
upstream_server_time_us(const struct upstream_call *call)
{
	int64_t us = loop_now_us(call->conn->client->options.loop) -
		     call->sent_us - call->conn->round_trip_us;

	return call->sent && us > 0 ? us : 0;
}

/*
 * Dials an address to check whether a server accepts connections there.  The
 * outcome is reported through options.probed(), never before this returns.
 * While a probe of the address is under way, no other one is started.
 */
void
upstream_probe(
    struct upstream_client *client, const struct sockaddr_in *address)
{
	struct probe *p;

	for (p = client->probes; p != NULL; p = p->next) {
		if (!p->accepted && same_address(&p->address, address))
			return;
	}
	p = alloc_zero(client->options.alloc, 1, sizeof(*p));
	p->client = client;
	p->address = *address;
	p->dials_before = client->dialled;
	p->next = client->probes;
	if (client->probes != NULL)
		client->probes->prev = p;
	client->probes = p;
	dial_probe(p);
}

/*
 * Closes the idle connections to an address, whose server is gone. A probe that
 * is under way goes on.
 */
void
upstream_close_idle(
    struct upstream_client *client, const struct sockaddr_in *address)
{
	struct conn *next;

	for (struct conn *c = *conns_to(client, address); c != NULL; c = next) {
		next = c->next;
		if (c->call == NULL && !is_probing(c) &&
		    same_address(&c->address, address))
			conn_free(c);
	}
}

/* Returns the number of connections dialled so far, probes included. */
uint64_t
upstream_dial_count(const struct upstream_client *client)
{
	return client->dialled;
}

static void
on_idle_check(void *ctx)
{
	struct upstream_client *client = ctx;
	struct conn *next;
	int64_t now_us = loop_now_us(client->options.loop);

	for (uint32_t i = 0; i < UPSTREAM_BUCKETS; i++) {
		for (struct conn *c = client->conns[i]; c != NULL; c = next) {
			next = c->next;
			if (c->call == NULL && !c->connecting &&
			    !is_probing(c) && c->idle_until_us <= now_us)
				conn_free(c);
		}
	}
	client->idle_timer = loop_after(client->options.loop,
	    UPSTREAM_IDLE_CHECK_US, on_idle_check, client);
}

/* Creates a client. Calls make progress only while the loop runs. */
struct upstream_client *
upstream_new(const struct upstream_options *options)
{
	struct upstream_client *client =
	    alloc_zero(options->alloc, 1, sizeof(*client));

	client->options = *options;
	client->idle_timer = loop_after(
	    options->loop, UPSTREAM_IDLE_CHECK_US, on_idle_check, client);
	return client;
}

/* Frees the client. Open calls end without reporting done(). */
void
upstream_free(struct upstream_client *client)
{
	if (client == NULL)
		return;
	for (uint32_t i = 0; i < UPSTREAM_BUCKETS; i++) {
		while (client->conns[i] != NULL) {
			struct conn *c = client->conns[i];

			if (c->call != NULL) {
				loop_cancel(c->call->connect_timer);
				alloc_free(client->options.alloc, c->call);
			}
			conn_free(c);
		}
	}
	while (client->probes != NULL)
		probe_free(client->probes);
	loop_cancel(client->idle_timer);
	alloc_free(client->options.alloc, client);
}
