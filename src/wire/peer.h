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
 * Links between instances: TCP, length-bounded frames, encrypted and
 * authenticated by wire/secure.h.  A link is dialled when there is something
 * to send and carries one direction; what arrives comes over the link that the
 * other end dialled, and is answered by a ping's echo only.  A link that has
 * sent something and heard nothing back for PEER_SILENT_US is taken for dead
 * and dialled anew.  A link that has been idle is closed, so that instances
 * that have nothing to say to each other hold no connection.
 *
 * Delivery is best effort and in order within a link: what a broken or full
 * link loses, the state machines above send again.
 */
enum peer_channel {
	PEER_RLOG = 1, /* replicated log */
	PEER_CLAIM = 2, /* claims */
	PEER_BILL = 3, /* bills */
	PEER_MEMBER = 4, /* membership and what it spreads */
	PEER_CONFIG = 5, /* configuration distribution */
	PEER_CREDIT = 6, /* warm-up credits */
	PEER_OPERATOR = 7, /* operators' requests, to a replica */
	PEER_OPERATOR_REPLY = 8,
	PEER_PING = 9, /* answered by PEER_PONG on the same link */
	PEER_PONG = 10,
	PEER_FEED = 11, /* announcements within a data centre */
	PEER_EXPORT = 12, /* the bills' export between replicas */
	PEER_HELLO = 13, /* greetings to instances that serve control */
	PEER_NEWS = 14, /* their answers: backend servers, instances */
	PEER_LOADS = 15, /* what entry instances have under way */
	PEER_CHANNELS = 16
};

enum {
	PEER_FRAME_MAX_BYTES = 1024 * 1024,
	PEER_QUEUE_MAX_BYTES = 4 * 1024 * 1024 /* a link, then messages drop */
};

struct peer_handler {
	void (*message)(void *ctx, const struct secure_peer *from,
	    enum peer_channel channel, const uint8_t *data, uint32_t len);
};

struct peer_options {
	const struct alloc *alloc;
	struct loop *loop;
	const char *host; /* to listen on, an IP number */
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
	uint64_t dropped_frames;
	uint64_t refused_links;
};

struct peer_hub;

struct peer_hub *peer_hub_new(const struct peer_options *options);
void peer_hub_free(struct peer_hub *hub);
int peer_add(struct peer_hub *hub, const char *instance, const char *host,
    uint16_t port);
int peer_send(struct peer_hub *hub, const char *instance,
    enum peer_channel channel, const void *data, uint32_t len);
void peer_set_keys(struct peer_hub *hub, const struct secure_keys *keys);
const struct peer_stats *peer_stats(const struct peer_hub *hub);

#ifdef __cplusplus
}
#endif

#endif
