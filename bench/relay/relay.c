#include "relay.h"

#include <errno.h>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"

enum {
	RELAY_BACKLOG = 1024,
	RELAY_ACCEPTS = 64, /* connections taken in one turn */
	RELAY_PIECE_BYTES = 64 << 10,
	RELAY_KEPT_BYTES = 1 << 20, /* of one way before it stops reading */
	RELAY_IDLE_US = 1000000,
	RELAY_ROUTES_MAX = 64
};

/* Bytes not sent yet; none at all stand for the end of the stream. */
struct piece {
	struct piece *next;
	int64_t due_us;
	size_t len, at;
	uint8_t data[];
};

/* One way of a connection. */
struct flow {
	struct piece *first, *last;
	size_t kept; /* bytes in the pieces */
	bool ended; /* no more is to be read */
	bool closed; /* the end has been passed on */
	bool blocked; /* the receiver takes no more for now */
};

struct pair {
	struct pair *next, *prev;
	struct relay *relay;
	int fds[RELAY_WAYS]; /* fds[way] is read for that way */
	struct flow flows[RELAY_WAYS];
};

/* One address that is relayed to another. */
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
	bool held[RELAY_WAYS];
	int64_t delay_us;
	struct relay_counts counts;
	uint8_t scratch[RELAY_PIECE_BYTES];
};

static void on_ready(void *ctx, int fd, apr_int16_t events);

static enum relay_way
other(enum relay_way way)
{
	return way == RELAY_UP ? RELAY_DOWN : RELAY_UP;
}

/* Closes both sockets, by a reset if asked for, and forgets the pair. */
static void
pair_close(struct pair *pair, bool reset)
{
	const struct linger linger = {1, 0};
	struct relay *relay = pair->relay;
	struct piece *piece;
	int way;

	for (way = 0; way < RELAY_WAYS; way++) {
		tool_loop_watch(relay->loop, pair->fds[way], 0, on_ready, pair);
		if (reset)
			setsockopt(pair->fds[way], SOL_SOCKET, SO_LINGER,
			    &linger, sizeof(linger));
		close(pair->fds[way]);
		while ((piece = pair->flows[way].first) != NULL) {
			pair->flows[way].first = piece->next;
			alloc_free(alloc_default(), piece);
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

/* Watches the sockets for what the flows can do now. */
static void
pair_watch(struct pair *pair)
{
	struct relay *relay = pair->relay;
	const struct flow *in, *out;
	apr_int16_t events;
	int way;

	for (way = 0; way < RELAY_WAYS; way++) {
		in = &pair->flows[way];
		out = &pair->flows[other(way)];
		events = 0;
		if (!in->ended && !relay->held[way] &&
		    in->kept < RELAY_KEPT_BYTES)
			events |= APR_POLLIN;
		if (out->blocked && !relay->held[other(way)])
			events |= APR_POLLOUT;
		/* Only a reset is of interest, unless the link is silent. */
		if (events == 0 && !relay->held[way] &&
		    !relay->held[other(way)] && !(in->ended && out->closed))
			events = APR_POLLPRI;
		tool_loop_watch(
		    relay->loop, pair->fds[way], events, on_ready, pair);
	}
}

/* Closes a pair whose ways have both ended, or watches it on. */
static void
pair_settle(struct pair *pair)
{
	if (pair->flows[RELAY_UP].closed && pair->flows[RELAY_DOWN].closed)
		pair_close(pair, false);
	else
		pair_watch(pair);
}

/* Keeps bytes for later; no bytes keep the end of the stream. */
static void
flow_keep(struct flow *flow, const uint8_t *data, size_t len, int64_t due_us)
{
	struct piece *piece = alloc_get(alloc_default(), sizeof(*piece) + len);

	piece->next = NULL;
	piece->due_us = due_us;
	piece->len = len;
	piece->at = 0;
	memcpy(piece->data, data, len);
	if (flow->last != NULL)
		flow->last->next = piece;
	else
		flow->first = piece;
	flow->last = piece;
	flow->kept += len;
}

static void
flow_drop_first(struct flow *flow)
{
	struct piece *piece = flow->first;

	flow->first = piece->next;
	if (flow->first == NULL)
		flow->last = NULL;
	flow->kept -= piece->len;
	alloc_free(alloc_default(), piece);
}

/* Sends bytes; returns how many went, or -1 if the connection failed. */
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

/* Sends the kept pieces that are due; returns whether the pair lives on. */
static bool
flow_flush(struct pair *pair, enum relay_way way, int64_t now_us)
{
	struct flow *flow = &pair->flows[way];
	int to = pair->fds[other(way)];
	struct piece *piece;
	ssize_t sent;

	if (pair->relay->held[way])
		return true;
	flow->blocked = false;
	while ((piece = flow->first) != NULL && piece->due_us <= now_us) {
		if (piece->len == 0) {
			shutdown(to, SHUT_WR);
			flow->closed = true;
			flow_drop_first(flow);
			continue;
		}
		sent = flow_send(
		    flow, to, piece->data + piece->at, piece->len - piece->at);
		if (sent < 0)
			return false;
		piece->at += (size_t)sent;
		if (piece->at < piece->len)
			return true;
		flow_drop_first(flow);
	}
	return true;
}

/* Passes on what was read; returns whether the pair lives on. */
static bool
flow_pass(struct pair *pair, enum relay_way way, size_t len)
{
	struct relay *relay = pair->relay;
	struct flow *flow = &pair->flows[way];
	ssize_t sent = 0;

	relay->counts.bytes[way] += len;
	if (len == 0)
		flow->ended = true;
	if (flow->first != NULL || relay->delay_us > 0) {
		flow_keep(flow, relay->scratch, len,
		    relay->delay_us > 0 ? tool_loop_now_us() + relay->delay_us
					: 0);
		return true;
	}
	if (len == 0) {
		shutdown(pair->fds[other(way)], SHUT_WR);
		flow->closed = true;
		return true;
	}
	sent = flow_send(flow, pair->fds[other(way)], relay->scratch, len);
	if (sent < 0)
		return false;
	if ((size_t)sent < len)
		flow_keep(flow, relay->scratch + sent, len - (size_t)sent, 0);
	return true;
}

/* Reads once and passes it on; returns whether the pair lives on. */
static bool
flow_read(struct pair *pair, enum relay_way way)
{
	struct relay *relay = pair->relay;
	ssize_t got =
	    recv(pair->fds[way], relay->scratch, sizeof(relay->scratch), 0);

	if (got < 0)
		return errno == EAGAIN || errno == EWOULDBLOCK ||
		       errno == EINTR;
	return flow_pass(pair, way, (size_t)got);
}

/* Serves one socket of a pair. */
static void
on_ready(void *ctx, int fd, apr_int16_t events)
{
	struct pair *pair = ctx;
	enum relay_way way = fd == pair->fds[RELAY_UP] ? RELAY_UP : RELAY_DOWN;
	bool alive = true;

	if (pair->flows[other(way)].blocked)
		alive = flow_flush(pair, other(way), tool_loop_now_us());
	if (alive && !pair->flows[way].ended && !pair->relay->held[way] &&
	    (events & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) != 0)
		alive = flow_read(pair, way);
	else if ((events & APR_POLLERR) != 0)
		alive = false;
	if (alive)
		pair_settle(pair);
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

/* Makes a pair of an accepted socket; a cut relay resets it instead. */
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

	for (i = 0; i < RELAY_ACCEPTS; i++) {
		fd = accept4(
		    listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		pair_open(route, fd);
	}
}

/* Makes a relay without addresses yet. */
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
 * Listens on one address and relays to the other.  Returns the port that it
 * listens on, or -1 if it can't listen or has too many addresses.
 */
int
relay_add(struct relay *relay, const struct sockaddr_in *listen_on,
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

/* Closes everything. */
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

/* Flushes one flow if its first piece is due; lowers *due_us to its time. */
static bool
flow_tick(
    struct pair *pair, enum relay_way way, int64_t now_us, int64_t *due_us)
{
	struct flow *flow = &pair->flows[way];

	if (flow->first == NULL || flow->blocked || pair->relay->held[way])
		return true;
	if (flow->first->due_us <= now_us && !flow_flush(pair, way, now_us))
		return false;
	if (flow->first != NULL && !flow->blocked &&
	    flow->first->due_us < *due_us)
		*due_us = flow->first->due_us;
	return true;
}

/* Sends delayed bytes that are due; returns when it wants to be called. */
int64_t
relay_tick(struct relay *relay, int64_t now_us)
{
	int64_t due_us = now_us + RELAY_IDLE_US;
	struct pair *pair, *next;

	if (relay->delay_us == 0)
		return due_us;
	for (pair = relay->pairs; pair != NULL; pair = next) {
		next = pair->next;
		if (flow_tick(pair, RELAY_UP, now_us, &due_us) &&
		    flow_tick(pair, RELAY_DOWN, now_us, &due_us))
			pair_settle(pair);
		else
			pair_close(pair, true);
	}
	return due_us;
}

/* Resets every connection, and every new one until relay_mend(). */
void
relay_cut(struct relay *relay)
{
	relay->cut = true;
	while (relay->pairs != NULL) {
		relay->counts.resets++;
		pair_close(relay->pairs, true);
	}
}

/* Holds the bytes of one way, of open and of new connections. */
void
relay_hold(struct relay *relay, enum relay_way way)
{
	struct pair *pair;

	relay->held[way] = true;
	for (pair = relay->pairs; pair != NULL; pair = pair->next)
		pair_watch(pair);
}

/* Sends all that is kept, whatever its time. */
static void
flush_all(struct relay *relay)
{
	struct pair *pair, *next;

	for (pair = relay->pairs; pair != NULL; pair = next) {
		next = pair->next;
		if (flow_flush(pair, RELAY_UP, INT64_MAX) &&
		    flow_flush(pair, RELAY_DOWN, INT64_MAX))
			pair_settle(pair);
		else
			pair_close(pair, true);
	}
}

/* Ends a cut, holds and the delay; what was held goes on. */
void
relay_mend(struct relay *relay)
{
	relay->cut = false;
	relay->delay_us = 0;
	relay->held[RELAY_UP] = false;
	relay->held[RELAY_DOWN] = false;
	flush_all(relay);
}

/* Delays the bytes of both ways, each by this time. */
void
relay_delay(struct relay *relay, int64_t delay_us)
{
	relay->delay_us = delay_us;
	if (delay_us == 0)
		flush_all(relay);
}

/* Returns the counters. */
const struct relay_counts *
relay_counts(const struct relay *relay)
{
	return &relay->counts;
}
