#include "relay.h"

#include <errno.h>
#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"

enum {
	RELAY_BACKLOG = 1024,
	RELAY_ACCEPTS_PER_EVENT = 64, /* then other sockets are served */
	RELAY_READ_BYTES = 64 << 10,
	RELAY_BUFFER_MAX_BYTES = 1 << 20, /* then a flow stops reading */
	RELAY_TICK_MAX_US = 1000000, /* longest wait between two flushes */
	RELAY_ROUTES_MAX = 64,
	IP_SOURCE_OFFSET = 12 /* of the source address in an IPv4 header */
};

/* Bytes not sent yet; a chunk of length 0 marks the end of the stream. */
struct chunk {
	struct chunk *next;
	int64_t due_us; /* not sent earlier */
	size_t len, offset; /* the first offset bytes have been sent */
	uint8_t data[];
};

/* One direction of a connection. */
struct flow {
	struct chunk *first, *last;
	size_t buffered_bytes; /* in the chunks */
	bool read_ended; /* the sender has closed its side */
	bool write_closed; /* the receiver's socket has been shut down */
	bool blocked; /* the receiver's socket accepts no more for now */
};

/* A relayed connection: the accepted socket and the one to the target. */
struct pair {
	struct pair *next, *prev;
	struct relay *relay;
	int fds[RELAY_DIRECTIONS]; /* fds[direction] is read for that flow */
	struct flow flows[RELAY_DIRECTIONS];
};

/* A listening address and the target of its connections. */
struct route {
	struct relay *relay;
	struct sockaddr_in to;
	int listen_fd;
};

struct relay {
	struct tool_loop *loop;
	struct route routes[RELAY_ROUTES_MAX];
	int route_count;
	struct pair *pairs;
	bool cut;
	bool held[RELAY_DIRECTIONS];
	int64_t delay_us;
	struct relay_counts counts;
	uint8_t read_buffer[RELAY_READ_BYTES];
};

static void on_ready(void *ctx, int fd, apr_int16_t events);

static enum relay_direction
opposite(enum relay_direction direction)
{
	return direction == RELAY_UP ? RELAY_DOWN : RELAY_UP;
}

/* Closes both sockets, by a reset if reset is set, and frees the pair. */
static void
pair_close(struct pair *pair, bool reset)
{
	const struct linger linger = {1, 0};
	struct relay *relay = pair->relay;
	struct chunk *chunk;
	int direction;

	for (direction = 0; direction < RELAY_DIRECTIONS; direction++) {
		tool_loop_watch(
		    relay->loop, pair->fds[direction], 0, on_ready, pair);
		if (reset)
			setsockopt(pair->fds[direction], SOL_SOCKET, SO_LINGER,
			    &linger, sizeof(linger));
		close(pair->fds[direction]);
		while ((chunk = pair->flows[direction].first) != NULL) {
			pair->flows[direction].first = chunk->next;
			alloc_free(alloc_default(), chunk);
		}
	}
	if (pair->prev != NULL)
		pair->prev->next = pair->next;
	else
		relay->pairs = pair->next;
	if (pair->next != NULL)
		pair->next->prev = pair->prev;
	relay->counts.open--;
	alloc_free(alloc_default(), pair);
}

/* Sets the poll events of both sockets by the state of the flows. */
static void
pair_watch(struct pair *pair)
{
	struct relay *relay = pair->relay;
	const struct flow *in, *out;
	apr_int16_t events;
	int direction;

	for (direction = 0; direction < RELAY_DIRECTIONS; direction++) {
		in = &pair->flows[direction];
		out = &pair->flows[opposite(direction)];
		events = 0;
		if (!in->read_ended && !relay->held[direction] &&
		    in->buffered_bytes < RELAY_BUFFER_MAX_BYTES)
			events |= APR_POLLIN;
		if (out->blocked && !relay->held[opposite(direction)])
			events |= APR_POLLOUT;
		/* Waits for a reset only, unless a direction is held. */
		if (events == 0 && !relay->held[direction] &&
		    !relay->held[opposite(direction)] &&
		    !(in->read_ended && out->write_closed))
			events = APR_POLLPRI;
		tool_loop_watch(
		    relay->loop, pair->fds[direction], events, on_ready, pair);
	}
}

/* Closes a pair whose flows have both ended, else updates its poll events. */
static void
pair_close_if_ended(struct pair *pair)
{
	if (pair->flows[RELAY_UP].write_closed &&
	    pair->flows[RELAY_DOWN].write_closed)
		pair_close(pair, false);
	else
		pair_watch(pair);
}

/* Appends a chunk to a flow; length 0 marks the end of the stream. */
static void
flow_buffer(struct flow *flow, const uint8_t *data, size_t len, int64_t due_us)
{
	struct chunk *chunk = alloc_get(alloc_default(), sizeof(*chunk) + len);

	chunk->next = NULL;
	chunk->due_us = due_us;
	chunk->len = len;
	chunk->offset = 0;
	memcpy(chunk->data, data, len);
	if (flow->last != NULL)
		flow->last->next = chunk;
	else
		flow->first = chunk;
	flow->last = chunk;
	flow->buffered_bytes += len;
}

static void
flow_drop_first(struct flow *flow)
{
	struct chunk *chunk = flow->first;

	flow->first = chunk->next;
	if (flow->first == NULL)
		flow->last = NULL;
	flow->buffered_bytes -= chunk->len;
	alloc_free(alloc_default(), chunk);
}

/* Returns the number of bytes sent, or -1 if the connection failed. */
static ssize_t
flow_send(struct flow *flow, int fd, const uint8_t *data, size_t len)
{
	ssize_t sent = send(fd, data, len, MSG_NOSIGNAL);

	if (sent >= 0) {
		flow->blocked = (size_t)sent < len;
		return sent;
	}
	if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN)
		return -1;
	flow->blocked = true;
	return 0;
}

/* Sends the chunks that are due; returns false if the connection failed. */
static bool
flow_flush(struct pair *pair, enum relay_direction direction, int64_t now_us)
{
	struct flow *flow = &pair->flows[direction];
	int to = pair->fds[opposite(direction)];
	struct chunk *chunk;
	ssize_t sent;

	if (pair->relay->held[direction])
		return true;
	flow->blocked = false;
	while ((chunk = flow->first) != NULL && chunk->due_us <= now_us) {
		if (chunk->len == 0) {
			shutdown(to, SHUT_WR);
			flow->write_closed = true;
			flow_drop_first(flow);
			continue;
		}
		sent = flow_send(flow, to, chunk->data + chunk->offset,
		    chunk->len - chunk->offset);
		if (sent < 0)
			return false;
		chunk->offset += (size_t)sent;
		if (chunk->offset < chunk->len)
			return true;
		flow_drop_first(flow);
	}
	return true;
}

/*
 * Forwards the bytes just read, or buffers those that are delayed or that the
 * receiver does not accept yet.  Returns false if the connection failed.
 */
static bool
flow_forward(struct pair *pair, enum relay_direction direction, size_t len)
{
	struct relay *relay = pair->relay;
	struct flow *flow = &pair->flows[direction];
	ssize_t sent = 0;

	relay->counts.bytes[direction] += len;
	if (len == 0)
		flow->read_ended = true;
	if (flow->first != NULL || relay->delay_us > 0) {
		flow_buffer(flow, relay->read_buffer, len,
		    relay->delay_us > 0 ? tool_loop_now_us() + relay->delay_us
					: 0);
		return true;
	}
	if (len == 0) {
		shutdown(pair->fds[opposite(direction)], SHUT_WR);
		flow->write_closed = true;
		return true;
	}
	sent = flow_send(
	    flow, pair->fds[opposite(direction)], relay->read_buffer, len);
	if (sent < 0)
		return false;
	if ((size_t)sent < len)
		flow_buffer(
		    flow, relay->read_buffer + sent, len - (size_t)sent, 0);
	return true;
}

/* Reads once and forwards the bytes; returns false if the connection failed. */
static bool
flow_read(struct pair *pair, enum relay_direction direction)
{
	struct relay *relay = pair->relay;
	ssize_t got = recv(pair->fds[direction], relay->read_buffer,
	    sizeof(relay->read_buffer), 0);

	if (got < 0)
		return errno == EAGAIN || errno == EWOULDBLOCK ||
		       errno == EINTR;
	return flow_forward(pair, direction, (size_t)got);
}

/* Handles the poll events of one socket of a pair. */
static void
on_ready(void *ctx, int fd, apr_int16_t events)
{
	struct pair *pair = ctx;
	enum relay_direction direction =
	    fd == pair->fds[RELAY_UP] ? RELAY_UP : RELAY_DOWN;
	bool alive = true;

	if (pair->flows[opposite(direction)].blocked)
		alive =
		    flow_flush(pair, opposite(direction), tool_loop_now_us());
	if (alive && !pair->flows[direction].read_ended &&
	    !pair->relay->held[direction] &&
	    (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) != 0)
		alive = flow_read(pair, direction);
	else if ((events & APR_POLLERR) != 0)
		alive = false;
	if (alive)
		pair_close_if_ended(pair);
	else
		pair_close(pair, true);
}

static int
connect_to(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 &&
	    connect(fd, (const void *)address, sizeof(*address)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Connects an accepted socket to the target of its route; resets it if the
 * relay is cut or the connect fails.
 */
static void
pair_open(const struct route *route, int fd)
{
	struct relay *relay = route->relay;
	const struct linger linger = {1, 0};
	const int on = 1;
	struct pair *pair;
	int to = relay->cut ? -1 : connect_to(&route->to);

	if (to < 0) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		close(fd);
		relay->counts.resets++;
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	pair = alloc_zero(alloc_default(), 1, sizeof(*pair));
	pair->relay = relay;
	pair->fds[RELAY_UP] = fd;
	pair->fds[RELAY_DOWN] = to;
	pair->next = relay->pairs;
	if (pair->next != NULL)
		pair->next->prev = pair;
	relay->pairs = pair;
	relay->counts.connections++;
	relay->counts.open++;
	pair_watch(pair);
}

static void
on_accept(void *ctx, int listen_fd, apr_int16_t events)
{
	struct route *route = ctx;
	int fd, i;

	for (i = 0; i < RELAY_ACCEPTS_PER_EVENT; i++) {
		fd = accept4(
		    listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		pair_open(route, fd);
	}
}

/* Creates a relay without routes. */
struct relay *
relay_new(struct tool_loop *loop)
{
	struct relay *relay = alloc_zero(alloc_default(), 1, sizeof(*relay));

	relay->loop = loop;
	return relay;
}

static int
listen_on_address(const struct sockaddr_in *address)
{
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (const void *)address, sizeof(*address)) != 0 ||
	    listen(fd, RELAY_BACKLOG) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Adds a route from one address to another.  Returns the port that it listens
 * on, or -1 if it can't listen or there are RELAY_ROUTES_MAX routes already.
 */
int
relay_add_route(struct relay *relay, const struct sockaddr_in *listen_on,
    const struct sockaddr_in *to)
{
	struct route *route = &relay->routes[relay->route_count];
	struct sockaddr_in bound = {0};
	socklen_t len = sizeof(bound);
	int fd;

	if (relay->route_count == RELAY_ROUTES_MAX)
		return -1;
	fd = listen_on_address(listen_on);
	if (fd < 0)
		return -1;
	route->relay = relay;
	route->to = *to;
	route->listen_fd = fd;
	relay->route_count++;
	tool_loop_watch(relay->loop, fd, APR_POLLIN, on_accept, route);
	getsockname(fd, (void *)&bound, &len);
	return ntohs(bound.sin_port);
}

/* Closes all sockets and frees the relay. */
void
relay_free(struct relay *relay)
{
	int i, fd;

	while (relay->pairs != NULL)
		pair_close(relay->pairs, false);
	for (i = 0; i < relay->route_count; i++) {
		fd = relay->routes[i].listen_fd;
		tool_loop_watch(
		    relay->loop, fd, 0, on_accept, &relay->routes[i]);
		close(fd);
	}
	alloc_free(alloc_default(), relay);
}

/*
 * Flushes a flow whose first chunk is due, and lowers *due_us to the time of
 * the next one.  Returns false if the connection failed.
 */
static bool
flow_flush_due(struct pair *pair, enum relay_direction direction,
    int64_t now_us, int64_t *due_us)
{
	struct flow *flow = &pair->flows[direction];

	if (flow->first == NULL || flow->blocked ||
	    pair->relay->held[direction])
		return true;
	if (flow->first->due_us <= now_us &&
	    !flow_flush(pair, direction, now_us))
		return false;
	if (flow->first != NULL && !flow->blocked &&
	    flow->first->due_us < *due_us)
		*due_us = flow->first->due_us;
	return true;
}

/* Sends delayed bytes that are due; returns the time of the next call. */
int64_t
relay_flush_due(struct relay *relay, int64_t now_us)
{
	int64_t due_us = now_us + RELAY_TICK_MAX_US;
	struct pair *pair, *next;

	if (relay->delay_us == 0)
		return due_us;
	for (pair = relay->pairs; pair != NULL; pair = next) {
		next = pair->next;
		if (flow_flush_due(pair, RELAY_UP, now_us, &due_us) &&
		    flow_flush_due(pair, RELAY_DOWN, now_us, &due_us))
			pair_close_if_ended(pair);
		else
			pair_close(pair, true);
	}
	return due_us;
}

/* Resets all connections, and new ones until relay_mend(). */
void
relay_cut(struct relay *relay)
{
	relay->cut = true;
	while (relay->pairs != NULL) {
		relay->counts.resets++;
		pair_close(relay->pairs, true);
	}
}

/* Stops forwarding in one direction, on open and new connections. */
void
relay_hold(struct relay *relay, enum relay_direction direction)
{
	struct pair *pair;

	relay->held[direction] = true;
	for (pair = relay->pairs; pair != NULL; pair = pair->next)
		pair_watch(pair);
}

/*
 * Makes the kernel drop the packets that arrive at a socket from an address.
 * Returns whether that succeeded.
 */
static bool
drop_packets(int fd, const struct in_addr *from)
{
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_W | BPF_ABS, SKF_NET_OFF + IP_SOURCE_OFFSET),
	    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(from->s_addr), 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX)};
	struct sock_fprog program = {sizeof(code) / sizeof(code[0]), code};

	return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		   sizeof(program)) == 0;
}

static void
accept_packets(int fd)
{
	const int unused = 0;

	(void)setsockopt(
	    fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

static bool
is_from(const struct pair *pair, const struct in_addr *from)
{
	struct sockaddr_in peer = {0};
	socklen_t len = sizeof(peer);

	return getpeername(pair->fds[RELAY_UP], (void *)&peer, &len) == 0 &&
	       peer.sin_addr.s_addr == from->s_addr;
}

/*
 * Isolates a client address until relay_mend().  Returns 0, or -1 if the system
 * does not allow it.
 */
int
relay_isolate(struct relay *relay, const struct in_addr *from,
    enum relay_isolation isolation)
{
	struct pair *pair, *next;
	int i;

	for (i = 0; i < relay->route_count; i++) {
		if (!drop_packets(relay->routes[i].listen_fd, from))
			return -1;
	}
	for (pair = relay->pairs; pair != NULL; pair = next) {
		next = pair->next;
		if (isolation == RELAY_ISOLATE_NEW || !is_from(pair, from))
			continue;
		if (isolation == RELAY_ISOLATE_RESET) {
			relay->counts.resets++;
			pair_close(pair, true);
		} else if (!drop_packets(pair->fds[RELAY_UP], from))
			return -1;
	}
	return 0;
}

/* Sends all buffered bytes, whether due or not. */
static void
flush_all(struct relay *relay)
{
	struct pair *pair, *next;

	for (pair = relay->pairs; pair != NULL; pair = next) {
		next = pair->next;
		if (flow_flush(pair, RELAY_UP, INT64_MAX) &&
		    flow_flush(pair, RELAY_DOWN, INT64_MAX))
			pair_close_if_ended(pair);
		else
			pair_close(pair, true);
	}
}

/*
 * Ends the cut, the isolation, the holds and the delay, and sends the buffered
 * bytes.
 */
void
relay_mend(struct relay *relay)
{
	struct pair *pair;
	int i;

	for (i = 0; i < relay->route_count; i++)
		accept_packets(relay->routes[i].listen_fd);
	for (pair = relay->pairs; pair != NULL; pair = pair->next)
		accept_packets(pair->fds[RELAY_UP]);
	relay->cut = false;
	relay->delay_us = 0;
	relay->held[RELAY_UP] = false;
	relay->held[RELAY_DOWN] = false;
	flush_all(relay);
}

/* Sets the one-way delay of both directions; 0 sends all buffered bytes. */
void
relay_set_delay(struct relay *relay, int64_t delay_us)
{
	relay->delay_us = delay_us;
	if (delay_us == 0)
		flush_all(relay);
}

const struct relay_counts *
relay_counts(const struct relay *relay)
{
	return &relay->counts;
}
