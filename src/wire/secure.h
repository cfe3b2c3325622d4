#ifndef CF_SECURE_H
#define CF_SECURE_H

#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The handshake and encryption of one connection between instances, without
 * I/O.  Both ends send a Hello, agree on fresh session keys (crypto_kx) mixed
 * with the newest cluster key that both hold, and exchange frames through
 * crypto_secretstream.  A peer without the cluster key can't make a frame that
 * decrypts; a frame that is replayed, reordered, altered or left out does not
 * decrypt either, and ends the connection.
 *
 * Keys rotate without a restart: every instance first learns the new key
 * beside the old one, then offers it first, then drops the old one.
 */
enum {
	SECURE_KEY_BYTES = 32,
	SECURE_KEYS_MAX = 4,
	SECURE_NAME_BYTES = 64,
	SECURE_FORMAT_MIN = 1, /* oldest frame format spoken */
	SECURE_FORMAT_MAX = 1
};

struct secure_keys {
	uint8_t count;
	uint8_t keys[SECURE_KEYS_MAX][SECURE_KEY_BYTES]; /* newest first */
};

struct secure_peer {
	char instance[SECURE_NAME_BYTES];
	char data_centre[SECURE_NAME_BYTES];
	uint64_t incarnation;
};

struct secure;

int secure_keys_parse(const char *text, struct secure_keys *keys);
struct secure *secure_new(const struct alloc *alloc,
    const struct secure_keys *keys, const struct secure_peer *self,
    int is_dialer);
void secure_free(struct secure *secure);
void secure_hello(struct secure *secure, struct buf *out);
int secure_receive_hello(
    struct secure *secure, const uint8_t *data, uint32_t len, struct buf *out);
int secure_receive_header(
    struct secure *secure, const uint8_t *data, uint32_t len);
void secure_seal(
    struct secure *secure, const void *data, uint32_t len, struct buf *out);
int secure_open(
    struct secure *secure, const uint8_t *data, uint32_t len, struct buf *out);
const struct secure_peer *secure_peer_of(const struct secure *secure);

#ifdef __cplusplus
}
#endif

#endif
