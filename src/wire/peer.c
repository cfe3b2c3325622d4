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
	PEER_IDLE_TIMEOUT_US = 60000000,
	PEER_TICK_INTERVAL_US = 250000,
	PEER_PING_AFTER_US = 500000, /* unanswered for this long: ping */
	PEER_DEAD_AFTER_US = 1250000, /* unanswered for this long: redial */
	PEER_REDIAL_DELAY_MIN_US = 100000,
	PEER_REDIAL_DELAY_MAX_US = 500000,
	PEER_LISTEN_BACKLOG = 128,
	PEER_FRAME_OVERHEAD_BYTES = 64, /* envelope and encryption */
	PEER_PART_MAX_BYTES = PEER_FRAME_MAX_BYTES - PEER_FRAME_OVERHEAD_BYTES
};

/* An instance to send to; its link is NULL while none is open. */
struct peer {
	char instance[SECURE_NAME_BYTES];
	char host[SECURE_NAME_BYTES];
	uint16_t port;
	struct link *link;
	int64_t redial_at_us; /* no attempt before, after a failed one */
	int64_t redial_delay_us; /* doubles with each failure; 0: none yet */
	struct peer *next;
};

/* A link that another instance dialled. */
struct incoming {
	struct link *link;
	struct buf parts; /* of a message that is not complete */
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
make_link_options(struct peer_hub *hub)
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
add_byte_counts(struct peer_hub *hub, struct link *link)
{
	uint64_t sent, received;

	link_drain_byte_counts(link, &sent, &received);
	hub->stats.sent_bytes += sent;
	hub->stats.received_bytes += received;
}

/* Packs a message into an envelope and queues it on a link. */
static void
send_envelope(struct peer_hub *hub, struct link *link,
    enum peer_channel channel, const void *data, uint32_t len)
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

/* Queues a message on a link, in several frames if it exceeds one. */
static void
send_message(struct peer_hub *hub, struct link *link, enum peer_channel channel,
    const uint8_t *data, uint32_t len)
{
	const uint8_t number = (uint8_t)channel;

	if (len <= PEER_PART_MAX_BYTES) {
		send_envelope(hub, link, channel, data, len);
		return;
	}
	send_envelope(hub, link, PEER_PART, &number, sizeof(number));
	for (; len > PEER_PART_MAX_BYTES; len -= PEER_PART_MAX_BYTES) {
		send_envelope(hub, link, PEER_PART, data, PEER_PART_MAX_BYTES);
		data += PEER_PART_MAX_BYTES;
	}
	send_envelope(hub, link, PEER_LAST_PART, data, len);
}

static struct incoming *
find_incoming(const struct peer_hub *hub, const struct link *link)
{
	struct incoming *in = hub->incoming;

	while (in != NULL && in->link != link)
		in = in->next;
	return in;
}

/*
 * Passes a message on.  The hub's own answers are none, nor is what comes on a
 * channel that a newer release has added.
 */
static void
deliver(struct peer_hub *hub, const struct link *link, uint32_t channel,
    const uint8_t *data, size_t len)
{
	if (channel > 0 && channel < PEER_PART && channel != PEER_PONG)
		hub->options.handler->message(hub->options.ctx, link_peer(link),
		    (enum peer_channel)channel, data, (uint32_t)len);
}

/*
 * Adds a part of a message and delivers it with the last one.  A message above
 * PEER_MESSAGE_MAX_BYTES is dropped.
 */
static void
add_part(struct peer_hub *hub, struct incoming *in, const uint8_t *data,
    size_t len, bool is_last)
{
	struct buf message;

	if (in->parts.len <= 1 + PEER_MESSAGE_MAX_BYTES)
		buf_add(&in->parts, data, len);
	if (!is_last)
		return;
	/* The handler may free the link. */
	message = in->parts;
	buf_init(&in->parts, hub->options.alloc);
	if (message.len > 1 && message.len <= 1 + PEER_MESSAGE_MAX_BYTES)
		deliver(hub, in->link, message.data[0], message.data + 1,
		    message.len - 1);
	else
		hub->stats.dropped_frames++;
	buf_free(&message);
}

static void
free_incoming(struct peer_hub *hub, struct incoming *in)
{
	buf_free(&in->parts);
	alloc_free(hub->options.alloc, in);
}

/*
 * A frame from an instance shows that it is up: clears its redial delay, and
 * closes our link to it if that leads to an earlier incarnation.  Such a link
 * may not have noticed yet that the earlier process ended.
 */
static void
note_peer_alive(struct peer_hub *hub, const struct secure_peer *from)
{
	struct peer *peer = find_peer(hub, from->instance);

	if (peer == NULL)
		return;
	peer->redial_at_us = 0;
	if (peer->link != NULL && link_is_ready(peer->link) &&
	    link_peer(peer->link)->incarnation != from->incarnation)
		drop_link(peer);
}

static void
on_frame(void *ctx, struct link *link, const uint8_t *data, uint32_t len)
{
	struct peer_hub *hub = ctx;
	Wire__Envelope *envelope = wire__envelope__unpack(NULL, len, data);
	struct incoming *in = find_incoming(hub, link);

	if (envelope == NULL)
		return;
	hub->stats.received_frames++;
	if (in != NULL)
		note_peer_alive(hub, link_peer(link));
	if (envelope->channel == PEER_PING)
		send_envelope(hub, link, PEER_PONG, NULL, 0);
	else if (envelope->channel != PEER_PART &&
		 envelope->channel != PEER_LAST_PART)
		deliver(hub, link, envelope->channel, envelope->body.data,
		    envelope->body.len);
	else if (in != NULL)
		add_part(hub, in, envelope->body.data, envelope->body.len,
		    envelope->channel == PEER_LAST_PART);
	wire__envelope__free_unpacked(envelope, NULL);
}

/* Delays the next attempt, doubling up to PEER_REDIAL_DELAY_MAX_US. */
static void
schedule_redial(struct peer_hub *hub, struct peer *peer)
{
	peer->redial_delay_us = peer->redial_delay_us == 0
				    ? PEER_REDIAL_DELAY_MIN_US
				    : peer->redial_delay_us * 2;
	if (peer->redial_delay_us > PEER_REDIAL_DELAY_MAX_US)
		peer->redial_delay_us = PEER_REDIAL_DELAY_MAX_US;
	peer->redial_at_us =
	    loop_now_us(hub->options.loop) + peer->redial_delay_us;
}

static void
on_closed(void *ctx, struct link *link, int error)
{
	struct peer_hub *hub = ctx;

	add_byte_counts(hub, link);
	if (error == ERR_AUTH || error == ERR_VERSION)
		hub->stats.refused_links++;
	for (struct peer *p = hub->peers; p != NULL; p = p->next) {
		if (p->link == link) {
			p->link = NULL;
			schedule_redial(hub, p);
			return;
		}
	}
	for (struct incoming **at = &hub->incoming; *at; at = &(*at)->next) {
		struct incoming *in = *at;

		if (in->link == link) {
			*at = in->next;
			free_incoming(hub, in);
			return;
		}
	}
}

static void
on_accept(void *ctx, int events)
{
	struct peer_hub *hub = ctx;
	struct link_options options = make_link_options(hub);
	struct link *link = link_accept(&options, hub->listener);
	struct incoming *in;

	(void)events;
	if (link == NULL)
		return;
	in = alloc_zero(hub->options.alloc, 1, sizeof(*in));
	in->link = link;
	buf_init(&in->parts, hub->options.alloc);
	in->next = hub->incoming;
	hub->incoming = in;
}

/*
 * Closes a link that is idle or no longer answered, and pings the remote
 * instance if a frame has been unanswered for PEER_PING_AFTER_US.
 */
static void
check_liveness(struct peer_hub *hub, struct peer *peer)
{
	int64_t unanswered_us = link_unanswered_us(peer->link);

	if (link_idle_us(peer->link) > PEER_IDLE_TIMEOUT_US ||
	    unanswered_us > PEER_DEAD_AFTER_US)
		drop_link(peer);
	else if (unanswered_us > PEER_PING_AFTER_US &&
		 link_is_ready(peer->link))
		send_envelope(hub, peer->link, PEER_PING, NULL, 0);
}

static void
on_tick(void *ctx)
{
	struct peer_hub *hub = ctx;

	for (struct peer *p = hub->peers; p != NULL; p = p->next) {
		if (p->link == NULL)
			continue;
		add_byte_counts(hub, p->link);
		if (link_is_ready(p->link))
			p->redial_delay_us = 0;
		check_liveness(hub, p);
	}
	for (struct incoming *in = hub->incoming; in != NULL; in = in->next)
		add_byte_counts(hub, in->link);
	hub->tick =
	    loop_after(hub->options.loop, PEER_TICK_INTERVAL_US, on_tick, hub);
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
	    apr_socket_listen(hub->listener, PEER_LISTEN_BACKLOG) !=
		APR_SUCCESS)
		return ERR_IO;
	apr_os_sock_get(&fd, hub->listener);
	hub->watch =
	    loop_watch(hub->options.loop, fd, LOOP_READ, on_accept, hub);
	return 0;
}

/*
 * Starts listening for other instances.  Returns NULL if the address is in use
 * or not a valid IP address.
 */
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
	hub->tick =
	    loop_after(options->loop, PEER_TICK_INTERVAL_US, on_tick, hub);
	return hub;
}

/* Stops listening, closes all links and frees the hub.  NULL is allowed. */
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
		free_incoming(hub, in);
	}
	loop_unwatch(hub->watch);
	loop_cancel(hub->tick);
	apr_socket_close(hub->listener);
	apr_pool_destroy(hub->pool);
	buf_free(&hub->frame);
	alloc_free(hub->options.alloc, hub);
}

/*
 * Adds an instance that peer_send() may address.  Returns 0, or ERR_SETTING if
 * a name is too long or the instance was added before.
 */
int
peer_hub_add(
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

/*
 * Dials an instance unless a link exists.  Returns false if that failed or the
 * redial delay has not passed.
 */
static bool
ensure_link(struct peer_hub *hub, struct peer *peer)
{
	struct link_options options = make_link_options(hub);

	if (peer->link != NULL)
		return true;
	if (loop_now_us(hub->options.loop) < peer->redial_at_us)
		return false;
	peer->link = link_dial(&options, peer->host, peer->port);
	if (peer->link == NULL)
		schedule_redial(hub, peer);
	return peer->link != NULL;
}

/*
 * Queues one message for an instance.  Returns 0 once it is queued,
 * ERR_NOT_FOUND for an unknown instance, ERR_TOO_LARGE, or ERR_IO if there is
 * no link or its queue is full and the message was dropped.
 */
int
peer_send(struct peer_hub *hub, const char *instance, enum peer_channel channel,
    const void *data, uint32_t len)
{
	struct peer *peer = find_peer(hub, instance);

	if (peer == NULL)
		return ERR_NOT_FOUND;
	if (len > PEER_MESSAGE_MAX_BYTES)
		return ERR_TOO_LARGE;
	if (!ensure_link(hub, peer) ||
	    link_queued_bytes(peer->link) > PEER_QUEUE_MAX_BYTES) {
		hub->stats.dropped_frames++;
		return ERR_IO;
	}
	send_message(hub, peer->link, channel, data, len);
	return 0;
}

/* Sets the cluster keys for new links; existing links keep theirs. */
void
peer_set_keys(struct peer_hub *hub, const struct secure_keys *keys)
{
	hub->options.keys = *keys;
}

/* Returns the counters summed over all links. */
const struct peer_stats *
peer_stats(const struct peer_hub *hub)
{
	return &hub->stats;
}
