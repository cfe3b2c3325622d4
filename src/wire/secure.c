#include "wire/secure.h"

#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "wire/envelope.pb-c.h"

struct secure_session {
	const struct alloc *alloc;
	struct secure_keys keys;
	struct secure_peer self;
	struct secure_peer peer;
	bool is_dialer;
	uint8_t public_key[crypto_kx_PUBLICKEYBYTES];
	uint8_t secret_key[crypto_kx_SECRETKEYBYTES];
	uint8_t receive_key[SECURE_KEY_BYTES];
	/* Digest of the own Hello, mixed into the session keys. */
	uint8_t own_hello_digest[crypto_generichash_BYTES];
	crypto_secretstream_xchacha20poly1305_state sending;
	crypto_secretstream_xchacha20poly1305_state receiving;
};

/*
 * Parses a cluster key file: one key of 64 hexadecimal digits a line, newest
 * first; blank lines and lines starting with # are skipped.  Returns 0, or
 * ERR_SETTING if a line is invalid, there are more than SECURE_KEYS_MAX keys,
 * or there is none.
 */
int
secure_keys_parse(const char *text, struct secure_keys *keys)
{
	memset(keys, 0, sizeof(*keys));
	while (*text != '\0') {
		size_t len = strcspn(text, "\r\n");
		size_t used = 0;

		if (len > 0 && text[0] != '#') {
			if (keys->count == SECURE_KEYS_MAX ||
			    sodium_hex2bin(keys->keys[keys->count],
				SECURE_KEY_BYTES, text, len, NULL, &used,
				NULL) != 0 ||
			    used != SECURE_KEY_BYTES)
				return ERR_SETTING;
			keys->count++;
		}
		text += len;
		text += strspn(text, "\r\n");
	}
	return keys->count > 0 ? 0 : ERR_SETTING;
}

/* Creates one end of a connection, with a new ephemeral key pair. */
struct secure_session *
secure_new(const struct alloc *alloc, const struct secure_keys *keys,
    const struct secure_peer *self, int is_dialer)
{
	struct secure_session *session = alloc_zero(alloc, 1, sizeof(*session));

	session->alloc = alloc;
	session->keys = *keys;
	session->self = *self;
	session->is_dialer = is_dialer != 0;
	crypto_kx_keypair(session->public_key, session->secret_key);
	return session;
}

/* Wipes the keys from memory and frees the session.  NULL is allowed. */
void
secure_free(struct secure_session *session)
{
	const struct alloc *alloc;

	if (session == NULL)
		return;
	alloc = session->alloc;
	sodium_memzero(session, sizeof(*session));
	alloc_free(alloc, session);
}

/* Returns an identifier of a key that reveals nothing about the key. */
static uint64_t
key_id(const uint8_t key[SECURE_KEY_BYTES])
{
	static const char label[] = "celeryford key id";
	uint8_t digest[crypto_generichash_BYTES];
	uint64_t id;

	crypto_generichash(digest, sizeof(digest), (const uint8_t *)label,
	    sizeof(label), key, SECURE_KEY_BYTES);
	memcpy(&id, digest, sizeof(id));
	return id;
}

/* Appends the Hello, the first frame that this end sends. */
void
secure_write_hello(struct secure_session *session, struct buf *out)
{
	Wire__Hello hello = WIRE__HELLO__INIT;
	uint64_t ids[SECURE_KEYS_MAX];
	size_t len;

	for (uint8_t i = 0; i < session->keys.count; i++)
		ids[i] = key_id(session->keys.keys[i]);
	hello.format_min = SECURE_FORMAT_MIN;
	hello.format_max = SECURE_FORMAT_MAX;
	hello.instance = session->self.instance;
	hello.data_centre = session->self.data_centre;
	hello.incarnation = session->self.incarnation;
	hello.public_key.data = session->public_key;
	hello.public_key.len = sizeof(session->public_key);
	hello.key_ids = ids;
	hello.n_key_ids = session->keys.count;
	len = wire__hello__get_packed_size(&hello);
	buf_reserve(out, len);
	wire__hello__pack(&hello, out->data + out->len);
	crypto_generichash(session->own_hello_digest,
	    sizeof(session->own_hello_digest), out->data + out->len, len, NULL,
	    0);
	out->len += len;
}

/*
 * Returns the cluster key that both ends hold and that the dialer lists first
 * (its newest), or NULL.  The dialer's order decides, so that both ends choose
 * the same key.
 */
static const uint8_t *
choose_cluster_key(
    const struct secure_session *session, const Wire__Hello *hello)
{
	const uint8_t *chosen = NULL;
	size_t best = SIZE_MAX;

	for (uint8_t i = 0; i < session->keys.count; i++) {
		for (size_t j = 0; j < hello->n_key_ids; j++) {
			size_t rank = session->is_dialer ? i : j;

			if (hello->key_ids[j] ==
				key_id(session->keys.keys[i]) &&
			    rank < best) {
				best = rank;
				chosen = session->keys.keys[i];
			}
		}
	}
	return chosen;
}

/* Binds a session key to the cluster key and to the digests of both Hellos. */
static void
bind_session_key(uint8_t session_key[SECURE_KEY_BYTES],
    const uint8_t *cluster_key, const uint8_t *dialer_digest,
    const uint8_t *listener_digest)
{
	crypto_generichash_state state;

	crypto_generichash_init(
	    &state, cluster_key, SECURE_KEY_BYTES, SECURE_KEY_BYTES);
	crypto_generichash_update(&state, session_key, SECURE_KEY_BYTES);
	crypto_generichash_update(
	    &state, dialer_digest, crypto_generichash_BYTES);
	crypto_generichash_update(
	    &state, listener_digest, crypto_generichash_BYTES);
	crypto_generichash_final(&state, session_key, SECURE_KEY_BYTES);
}

/*
 * Derives the keys for both directions.  Returns 0, or ERR_AUTH if no cluster
 * key is shared or the remote public key is invalid.
 */
static int
derive_session_keys(struct secure_session *session, const Wire__Hello *hello,
    const uint8_t *peer_digest, uint8_t send_key[SECURE_KEY_BYTES])
{
	const uint8_t *cluster_key = choose_cluster_key(session, hello);
	const uint8_t *dialer = session->own_hello_digest;
	const uint8_t *listener = peer_digest;
	int failed;

	if (cluster_key == NULL ||
	    hello->public_key.len != crypto_kx_PUBLICKEYBYTES)
		return ERR_AUTH;
	if (session->is_dialer) {
		failed = crypto_kx_client_session_keys(session->receive_key,
		    send_key, session->public_key, session->secret_key,
		    hello->public_key.data);
	} else {
		dialer = peer_digest;
		listener = session->own_hello_digest;
		failed = crypto_kx_server_session_keys(session->receive_key,
		    send_key, session->public_key, session->secret_key,
		    hello->public_key.data);
	}
	if (failed)
		return ERR_AUTH;
	bind_session_key(session->receive_key, cluster_key, dialer, listener);
	bind_session_key(send_key, cluster_key, dialer, listener);
	return 0;
}

/*
 * Validates the remote Hello and stores the identity in it.  Returns 0,
 * ERR_VERSION, or ERR_AUTH for a name that is too long.
 */
static int
accept_hello(struct secure_session *session, const Wire__Hello *hello)
{
	if (hello->format_min > SECURE_FORMAT_MAX ||
	    hello->format_max < SECURE_FORMAT_MIN)
		return ERR_VERSION;
	if (strlen(hello->instance) >= SECURE_NAME_BYTES ||
	    strlen(hello->data_centre) >= SECURE_NAME_BYTES)
		return ERR_AUTH;
	snprintf(
	    session->peer.instance, SECURE_NAME_BYTES, "%s", hello->instance);
	snprintf(session->peer.data_centre, SECURE_NAME_BYTES, "%s",
	    hello->data_centre);
	session->peer.incarnation = hello->incarnation;
	return 0;
}

/*
 * Processes the remote Hello and appends the stream header to send.  Returns 0,
 * ERR_VERSION if no frame format is shared, or ERR_AUTH if no cluster key is or
 * the Hello is invalid.
 */
int
secure_receive_hello(struct secure_session *session, const uint8_t *data,
    uint32_t len, struct buf *out)
{
	uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];
	uint8_t digest[crypto_generichash_BYTES];
	uint8_t send_key[SECURE_KEY_BYTES];
	Wire__Hello *hello = wire__hello__unpack(NULL, len, data);
	int error;

	if (hello == NULL)
		return ERR_AUTH;
	crypto_generichash(digest, sizeof(digest), data, len, NULL, 0);
	error = accept_hello(session, hello);
	if (error == 0)
		error = derive_session_keys(session, hello, digest, send_key);
	wire__hello__free_unpacked(hello, NULL);
	if (error != 0)
		return error;
	crypto_secretstream_xchacha20poly1305_init_push(
	    &session->sending, header, send_key);
	sodium_memzero(send_key, sizeof(send_key));
	buf_add(out, header, sizeof(header));
	return 0;
}

/* Processes the remote stream header.  Returns 0 or ERR_AUTH. */
int
secure_receive_header(
    struct secure_session *session, const uint8_t *data, uint32_t len)
{
	if (len != crypto_secretstream_xchacha20poly1305_HEADERBYTES ||
	    crypto_secretstream_xchacha20poly1305_init_pull(
		&session->receiving, data, session->receive_key) != 0)
		return ERR_AUTH;
	return 0;
}

/* Encrypts a frame and appends the result. */
void
secure_encrypt(struct secure_session *session, const void *data, uint32_t len,
    struct buf *out)
{
	unsigned long long encrypted_bytes = 0;

	buf_reserve(out, len + crypto_secretstream_xchacha20poly1305_ABYTES);
	crypto_secretstream_xchacha20poly1305_push(&session->sending,
	    out->data + out->len, &encrypted_bytes, data, len, NULL, 0, 0);
	out->len += encrypted_bytes;
}

/* Decrypts a frame and appends the plaintext.  Returns 0 or ERR_AUTH. */
int
secure_decrypt(struct secure_session *session, const uint8_t *data,
    uint32_t len, struct buf *out)
{
	unsigned long long plain_bytes = 0;
	uint8_t tag;

	if (len < crypto_secretstream_xchacha20poly1305_ABYTES)
		return ERR_AUTH;
	buf_reserve(out, len);
	if (crypto_secretstream_xchacha20poly1305_pull(&session->receiving,
		out->data + out->len, &plain_bytes, &tag, data, len, NULL,
		0) != 0)
		return ERR_AUTH;
	out->len += plain_bytes;
	return 0;
}

/*
 * Returns the identity that the remote Hello claims.  It is authenticated only
 * once a frame has been decrypted.
 */
const struct secure_peer *
secure_remote_peer(const struct secure_session *session)
{
	return &session->peer;
}
