#ifndef CF_LINK_H
#define CF_LINK_H

#include <apr_network_io.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/loop.h"
#include "wire/secure.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One TCP connection between two instances.  It runs the handshake of
 * wire/secure.h, then sends and receives encrypted frames, each preceded by
 * its length.
 */
struct link;

/*
 * frame() gets one decrypted frame; data is valid during the call only.
 * closed() reports an error of base/err.h, after which the link is freed and
 * mustn't be used any more.
 */
struct link_handler {
	void (*frame)(
	    void *ctx, struct link *link, const uint8_t *data, uint32_t len);
	void (*closed)(void *ctx, struct link *link, int error);
};

/* keys and self must outlive the link's creation; they are copied then. */
struct link_options {
	const struct alloc *alloc;
	struct loop *loop;
	const struct secure_keys *keys;
	const struct secure_peer *self;
	const struct link_handler *handler;
	void *ctx;
};

struct link *link_dial(
    const struct link_options *options, const char *host, uint16_t port);
struct link *link_accept(
    const struct link_options *options, apr_socket_t *listener);
void link_free(struct link *link);
void link_send(struct link *link, const void *data, uint32_t len);
uint32_t link_queued_bytes(const struct link *link);
bool link_is_ready(const struct link *link);
int64_t link_idle_us(const struct link *link);
int64_t link_unanswered_us(const struct link *link);
const struct secure_peer *link_peer(const struct link *link);
void link_drain_byte_counts(
    struct link *link, uint64_t *sent, uint64_t *received);

#ifdef __cplusplus
}
#endif

#endif
