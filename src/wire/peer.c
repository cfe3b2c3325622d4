#include "wire/peer.h"

#include <apr_general.h>
#include <apr_network_io.h>
#include <apr_portable.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "wire/envelope.pb-c.h"
#include "wire/link.h"

enum {
	PEER_IDLE_US = 60000000,
	PEER_TICK_US = 250000,
	PEER_PING_US = 500000, /* unheard for this long: ask */
	PEER_SILENT_US = 1250000, /* unheard for this long: dead */
	PEER_REDIAL_FIRST_US = 100000,
	PEER_REDIAL_MAX_US = 500000,
	PEER_BACKLOG = 128,
	PEER_OVERHEAD_BYTES = 64 /* envelope and encryption of a frame */
};

struct peer {
	char instance[SECURE_NAME_BYTES];
	char host[SECURE_NAME_BYTES];
	uint16_t port;
	struct link *link;
	int64_t dial_after_us; /* an instance that refuses is left alone */
	int64_t backoff_us;
	struct peer *next;
};

struct incoming {
	struct link *link;
	struct incoming *next;
};

struct peer_hub {
	struct peer_options options;
	apr_pool_t *pool;
	apr_socket_t *listener;
	struct loop_watch *watch;
	struct loop_timer *tick;
	struct peer *peers;
	struct incoming *incoming;
	struct peer_stats stats;
	struct buf frame;
};

static void on_frame(
    void *ctx, struct link *link, const uint8_t *data, uint32_t len);
static void on_closed(void *ctx, struct link *link, int error);

static const struct link_handler hub_link_handler = {on_frame, on_closed};

static struct link_options
link_options_of(struct peer_hub *hub)
{
	struct link_options options = {.alloc = hub->options.alloc,
	    .loop = hub->options.loop,
	    .keys = &hub->options.keys,
	    .self = &hub->options.self,
	    .handler = &hub_link_handler,
	    .ctx = hub};

	return options;
}

static void
count_bytes(struct peer_hub *hub, struct link *link)
{
	uint64_t sent, received;

	link_take_bytes(link, &sent, &received);
	hub->stats.sent_bytes += sent;
	hub->stats.received_bytes += received;
}

/* Packs a message and puts it on a link. */
static void
send_on(struct peer_hub *hub, struct link *link, enum peer_channel channel,
    const void *data, uint32_t len)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;

	envelope.channel = channel;
	envelope.body.data = (uint8_t *)data;
	envelope.body.len = len;
	buf_clear(&hub->frame);
	buf_reserve(&hub->frame, wire__envelope__get_packed_size(&envelope));
	hub->frame.len = wire__envelope__pack(&envelope, hub->frame.data);
	link_send(link, hub->frame.data, (uint32_t)hub->frame.len);
	hub->stats.sent_frames++;
}

static void
drop_link(struct peer *peer)
{
	link_free(peer->link);
	peer->link = NULL;
}

static struct peer *
find_peer(const struct peer_hub *hub, const char *instance)
{
	struct peer *p;

	for (p = hub->peers; p != NULL; p = p->next) {
		if (strcmp(p->instance, instance) == 0)
			break;
	}
	return p;
}

static bool
is_incoming(const struct peer_hub *hub, const struct link *link)
{
	for (struct incoming *in = hub->incoming; in != NULL; in = in->next) {
		if (in->link == link)
			return true;
	}
	return false;
}

/*
 * An instance that is heard from is up: it is dialled without delay, and a
 * link to an earlier life of it, which may not know that it ended, is dropped.
 */
static void
note_alive(struct peer_hub *hub, const struct secure_peer *from)
{
	struct peer *peer = find_peer(hub, from->instance);

	if (peer == NULL)
		return;
	peer->dial_after_us = 0;
	if (peer->link != NULL && link_ready(peer->link) &&
	    link_peer(peer->link)->incarnation != from->incarnation)
		drop_link(peer);
}

static void
on_frame(void *ctx, struct link *link, const uint8_t *data, uint32_t len)
{
	struct peer_hub *hub = ctx;
	Wire__Envelope *envelope = wire__envelope__unpack(NULL, len, data);

	if (envelope == NULL)
		return;
	hub->stats.received_frames++;
	if (is_incoming(hub, link))
		note_alive(hub, link_peer(link));
	if (envelope->channel == PEER_PING)
		send_on(hub, link, PEER_PONG, NULL, 0);
	/* A channel of a newer release is passed over. */
	else if (envelope->channel > 0 && envelope->channel < PEER_CHANNELS)
		hub->options.handler->message(hub->options.ctx, link_peer(link),
		    (enum peer_channel)envelope->channel, envelope->body.data,
		    (uint32_t)envelope->body.len);
	wire__envelope__free_unpacked(envelope, NULL);
}

static void
back_off(struct peer_hub *hub, struct peer *peer)
{
	peer->backoff_us =
	    peer->backoff_us == 0 ? PEER_REDIAL_FIRST_US : peer->backoff_us * 2;
	if (peer->backoff_us > PEER_REDIAL_MAX_US)
		peer->backoff_us = PEER_REDIAL_MAX_US;
	peer->dial_after_us = loop_now_us(hub->options.loop) + peer->backoff_us;
}

static void
on_closed(void *ctx, struct link *link, int error)
{
	struct peer_hub *hub = ctx;

	count_bytes(hub, link);
	if (error == ERR_AUTH || error == ERR_VERSION)
		hub->stats.refused_links++;
	for (struct peer *p = hub->peers; p != NULL; p = p->next) {
		if (p->link == link) {
			p->link = NULL;
			back_off(hub, p);
			return;
		}
	}
	for (struct incoming **at = &hub->incoming; *at; at = &(*at)->next) {
		struct incoming *in = *at;

		if (in->link == link) {
			*at = in->next;
			alloc_free(hub->options.alloc, in);
			return;
		}
	}
}

static void
on_accept(void *ctx, int events)
{
	struct peer_hub *hub = ctx;
	struct link_options options = link_options_of(hub);
	struct link *link = link_accept(&options, hub->listener);
	struct incoming *in;

	(void)events;
	if (link == NULL)
		return;
	in = alloc_zero(hub->options.alloc, 1, sizeof(*in));
	in->link = link;
	in->next = hub->incoming;
	hub->incoming = in;
}

/* Finds out whether a link still reaches the other end. */
static void
watch_link(struct peer_hub *hub, struct peer *peer)
{
	int64_t unheard_us = link_unheard_us(peer->link);

	if (link_idle_us(peer->link) > PEER_IDLE_US ||
	    unheard_us > PEER_SILENT_US)
		drop_link(peer);
	else if (unheard_us > PEER_PING_US && link_ready(peer->link))
		send_on(hub, peer->link, PEER_PING, NULL, 0);
}

static void
on_tick(void *ctx)
{
	struct peer_hub *hub = ctx;

	for (struct peer *p = hub->peers; p != NULL; p = p->next) {
		if (p->link == NULL)
			continue;
		count_bytes(hub, p->link);
		if (link_ready(p->link))
			p->backoff_us = 0;
		watch_link(hub, p);
	}
	for (struct incoming *in = hub->incoming; in != NULL; in = in->next)
		count_bytes(hub, in->link);
	hub->tick = loop_after(hub->options.loop, PEER_TICK_US, on_tick, hub);
}

static int
start_listening(struct peer_hub *hub)
{
	apr_sockaddr_t *address;
	apr_os_sock_t fd;

	if (apr_sockaddr_info_get(&address, hub->options.host, APR_UNSPEC,
		hub->options.port, 0, hub->pool) != APR_SUCCESS ||
	    apr_socket_create(&hub->listener, address->family, SOCK_STREAM,
		APR_PROTO_TCP, hub->pool) != APR_SUCCESS)
		return ERR_IO;
	apr_socket_opt_set(hub->listener, APR_SO_REUSEADDR, 1);
	apr_socket_opt_set(hub->listener, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(hub->listener, 0);
	if (apr_socket_bind(hub->listener, address) != APR_SUCCESS ||
	    apr_socket_listen(hub->listener, PEER_BACKLOG) != APR_SUCCESS)
		return ERR_IO;
	apr_os_sock_get(&fd, hub->listener);
	hub->watch =
	    loop_watch(hub->options.loop, fd, LOOP_READ, on_accept, hub);
	return 0;
}

/* Starts listening for peers; NULL if the address is taken or no IP number. */
struct peer_hub *
peer_hub_new(const struct peer_options *options)
{
	struct peer_hub *hub = alloc_zero(options->alloc, 1, sizeof(*hub));

	hub->options = *options;
	buf_init(&hub->frame, options->alloc);
	apr_pool_create(&hub->pool, NULL);
	if (start_listening(hub) != 0) {
		apr_pool_destroy(hub->pool);
		alloc_free(options->alloc, hub);
		return NULL;
	}
	hub->tick = loop_after(options->loop, PEER_TICK_US, on_tick, hub);
	return hub;
}

/* Closes every link and forgets every peer. */
void
peer_hub_free(struct peer_hub *hub)
{
	if (hub == NULL)
		return;
	while (hub->peers != NULL) {
		struct peer *peer = hub->peers;

		hub->peers = peer->next;
		link_free(peer->link);
		alloc_free(hub->options.alloc, peer);
	}
	while (hub->incoming != NULL) {
		struct incoming *in = hub->incoming;

		hub->incoming = in->next;
		link_free(in->link);
		alloc_free(hub->options.alloc, in);
	}
	loop_unwatch(hub->watch);
	loop_cancel(hub->tick);
	apr_socket_close(hub->listener);
	apr_pool_destroy(hub->pool);
	buf_free(&hub->frame);
	alloc_free(hub->options.alloc, hub);
}

/* Adds an instance that may be sent to.  Returns 0, or ERR_SETTING. */
int
peer_add(
    struct peer_hub *hub, const char *instance, const char *host, uint16_t port)
{
	struct peer *peer;

	if (strlen(instance) >= SECURE_NAME_BYTES ||
	    strlen(host) >= SECURE_NAME_BYTES ||
	    find_peer(hub, instance) != NULL)
		return ERR_SETTING;
	peer = alloc_zero(hub->options.alloc, 1, sizeof(*peer));
	snprintf(peer->instance, sizeof(peer->instance), "%s", instance);
	snprintf(peer->host, sizeof(peer->host), "%s", host);
	peer->port = port;
	peer->next = hub->peers;
	hub->peers = peer;
	return 0;
}

static bool
dial(struct peer_hub *hub, struct peer *peer)
{
	struct link_options options = link_options_of(hub);

	if (peer->link != NULL)
		return true;
	if (loop_now_us(hub->options.loop) < peer->dial_after_us)
		return false;
	peer->link = link_dial(&options, peer->host, peer->port);
	if (peer->link == NULL)
		back_off(hub, peer);
	return peer->link != NULL;
}

/*
 * Sends one message if the link has room.  Returns 0 once it is queued,
 * ERR_NOT_FOUND for an unknown instance, ERR_TOO_LARGE, or ERR_IO when the
 * message was dropped.
 */
int
peer_send(struct peer_hub *hub, const char *instance, enum peer_channel channel,
    const void *data, uint32_t len)
{
	struct peer *peer = find_peer(hub, instance);

	if (peer == NULL)
		return ERR_NOT_FOUND;
	if (len > PEER_FRAME_MAX_BYTES - PEER_OVERHEAD_BYTES)
		return ERR_TOO_LARGE;
	if (!dial(hub, peer) ||
	    link_queued_bytes(peer->link) > PEER_QUEUE_MAX_BYTES) {
		hub->stats.dropped_frames++;
		return ERR_IO;
	}
	send_on(hub, peer->link, channel, data, len);
	return 0;
}

/* Uses new cluster keys for the links that are made from now on. */
void
peer_set_keys(struct peer_hub *hub, const struct secure_keys *keys)
{
	hub->options.keys = *keys;
}

/* Returns the counters of all links together. */
const struct peer_stats *
peer_stats(const struct peer_hub *hub)
{
	return &hub->stats;
}
