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
 * I/O.  Both ends send a Hello, derive fresh session keys (crypto_kx) mixed
 * with the newest cluster key that both hold, send a stream header each, and
 * exchange frames through crypto_secretstream.  A peer without the cluster key
 * can't make a frame that decrypts.  Decryption also fails, and ends the
 * connection, after a frame was replayed, reordered, altered or lost.
 *
 * Keys rotate without a restart, in three steps, each completed on every
 * instance before the next: add the new key after the old one, move it to the
 * front, remove the old one.
 */
enum {
	SECURE_KEY_BYTES = 32,
	SECURE_KEYS_MAX = 4,
	SECURE_NAME_BYTES = 64,
	SECURE_FORMAT_MIN = 1, /* oldest supported frame format */
	SECURE_FORMAT_MAX = 1
};

struct secure_keys {
	uint8_t count;
	uint8_t keys[SECURE_KEYS_MAX][SECURE_KEY_BYTES]; /* newest first */
};

/* The identity of an instance, own or remote. */
struct secure_peer {
	char instance[SECURE_NAME_BYTES];
	char data_centre[SECURE_NAME_BYTES];
	uint64_t incarnation; /* tells the lives of the process apart */
};

struct secure_session;

int secure_keys_parse(const char *text, struct secure_keys *keys);
struct secure_session *secure_new(const struct alloc *alloc,
    const struct secure_keys *keys, const struct secure_peer *self,
    int is_dialer);
void secure_free(struct secure_session *session);
void secure_write_hello(struct secure_session *session, struct buf *out);
int secure_receive_hello(struct secure_session *session, const uint8_t *data,
    uint32_t len, struct buf *out);
int secure_receive_header(
    struct secure_session *session, const uint8_t *data, uint32_t len);
void secure_encrypt(struct secure_session *session, const void *data,
    uint32_t len, struct buf *out);
int secure_decrypt(struct secure_session *session, const uint8_t *data,
    uint32_t len, struct buf *out);
const struct secure_peer *secure_remote_peer(
    const struct secure_session *session);

#ifdef __cplusplus
}
#endif

#endif
