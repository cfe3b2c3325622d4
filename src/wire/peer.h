#ifndef CF_PEER_H
#define CF_PEER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/loop.h"
#include "wire/secure.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Messages between instances over TCP links, in frames of bounded length that
 * wire/secure.h encrypts and authenticates.  A link is dialled when there is
 * something to send and carries messages in one direction only; the other end
 * dials a link of its own, and sends nothing but PEER_PONG on this one.  A link
 * without any reply for PEER_DEAD_AFTER_US after a frame was sent is closed,
 * and dialled again with the next message.  An idle link is closed, so that
 * instances without traffic between them hold no connection.
 *
 * Delivery is best effort, and in order within a link.  Messages lost on a
 * broken or full link are sent again by the state machines that use it.
 */
enum peer_channel {
	PEER_RLOG = 1, /* replicated log */
	PEER_CLAIM = 2, /* claims */
	PEER_BILL = 3, /* bills */
	PEER_MEMBERSHIP = 4, /* membership and the data gossiped with it */
	PEER_CONFIG = 5, /* configuration distribution */
	PEER_CREDIT = 6, /* warm-up credits */
	PEER_OPERATOR = 7, /* operators' requests to a replica */
	PEER_OPERATOR_REPLY = 8,
	PEER_PING = 9, /* answered by PEER_PONG on the same link */
	PEER_PONG = 10,
	PEER_FEED = 11, /* announcements within a data centre */
	PEER_BILL_EXPORT = 12, /* export of bills between replicas */
	PEER_CLUSTER_HELLO = 13, /* Hello to instances that serve control */
	/* Replies to PEER_CLUSTER_HELLO: servers, instances. */
	PEER_CLUSTER_NEWS = 14,
	PEER_CLUSTER_LOADS = 15, /* load in progress at entry instances */
	/*
	 * A message that exceeds a frame: first its channel in one byte, then
	 * its content.  The last part has a channel of its own.
	 */
	PEER_PART = 16,
	PEER_LAST_PART = 17,
	PEER_CHANNEL_END = 18 /* one above the highest channel */
};

enum {
	PEER_FRAME_MAX_BYTES = 1024 * 1024,
	/* Larger than the largest entry of the replicated log. */
	PEER_MESSAGE_MAX_BYTES = 5 * 1024 * 1024,
	/* Per link; a message is dropped if more is queued before it. */
	PEER_QUEUE_MAX_BYTES = 4 * 1024 * 1024
};

/* message() gets data that is valid during the call only. */
struct peer_handler {
	void (*message)(void *ctx, const struct secure_peer *from,
	    enum peer_channel channel, const uint8_t *data, uint32_t len);
};

struct peer_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* IP address to listen on */
	uint16_t port;
	struct secure_keys keys;
	struct secure_peer self;
	const struct peer_handler *handler;
	void *ctx;
};

struct peer_stats {
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent_frames;
	uint64_t received_frames;
	uint64_t dropped_frames; /* not queued: no link, or its queue full */
	uint64_t refused_links; /* failed authentication or format */
};

/* All links of this instance and its listening socket. */
struct peer_hub;

struct peer_hub *peer_hub_new(const struct peer_options *options);
void peer_hub_free(struct peer_hub *hub);
int peer_hub_add(struct peer_hub *hub, const char *instance, const char *host,
    uint16_t port);
int peer_send(struct peer_hub *hub, const char *instance,
    enum peer_channel channel, const void *data, uint32_t len);
void peer_set_keys(struct peer_hub *hub, const struct secure_keys *keys);
const struct peer_stats *peer_stats(const struct peer_hub *hub);

#ifdef __cplusplus
}
#endif

#endif
