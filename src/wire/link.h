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
 * One TCP connection between two instances: handshake, frames in, frames out.
 * After closed() the link is gone.
 */
struct link;

struct link_handler {
	void (*frame)(
	    void *ctx, struct link *link, const uint8_t *data, uint32_t len);
	void (*closed)(void *ctx, struct link *link, int error);
};

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
bool link_ready(const struct link *link);
int64_t link_idle_us(const struct link *link);
int64_t link_unheard_us(const struct link *link);
const struct secure_peer *link_peer(const struct link *link);
void link_take_bytes(struct link *link, uint64_t *sent, uint64_t *received);

#ifdef __cplusplus
}
#endif

#endif
