#include "wire/secure.h"

#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "wire/envelope.pb-c.h"

struct secure {
	const struct alloc *alloc;
	struct secure_keys keys;
	struct secure_peer self;
	struct secure_peer peer;
	bool is_dialer;
	uint8_t public_key[crypto_kx_PUBLICKEYBYTES];
	uint8_t secret_key[crypto_kx_SECRETKEYBYTES];
	uint8_t receive_key[SECURE_KEY_BYTES];
	uint8_t own_hello[crypto_generichash_BYTES]; /* digest, for binding */
	crypto_secretstream_xchacha20poly1305_state sending;
	crypto_secretstream_xchacha20poly1305_state receiving;
};

/*
 * Reads a cluster key file: one key of 64 hexadecimal digits a line, newest
 * first; blank lines and lines starting with # are passed over.  Returns 0, or
 * ERR_SETTING.
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

/* Starts one end of a connection with a fresh key pair. */
struct secure *
secure_new(const struct alloc *alloc, const struct secure_keys *keys,
    const struct secure_peer *self, int is_dialer)
{
	struct secure *secure = alloc_zero(alloc, 1, sizeof(*secure));

	secure->alloc = alloc;
	secure->keys = *keys;
	secure->self = *self;
	secure->is_dialer = is_dialer != 0;
	crypto_kx_keypair(secure->public_key, secure->secret_key);
	return secure;
}

/* Wipes and releases the keys of a connection. */
void
secure_free(struct secure *secure)
{
	const struct alloc *alloc;

	if (secure == NULL)
		return;
	alloc = secure->alloc;
	sodium_memzero(secure, sizeof(*secure));
	alloc_free(alloc, secure);
}

/* Names a key without giving anything of it away. */
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

/* Appends the Hello that this end sends first. */
void
secure_hello(struct secure *secure, struct buf *out)
{
	Wire__Hello hello = WIRE__HELLO__INIT;
	uint64_t ids[SECURE_KEYS_MAX];
	size_t len;

	for (uint8_t i = 0; i < secure->keys.count; i++)
		ids[i] = key_id(secure->keys.keys[i]);
	hello.format_min = SECURE_FORMAT_MIN;
	hello.format_max = SECURE_FORMAT_MAX;
	hello.instance = secure->self.instance;
	hello.data_centre = secure->self.data_centre;
	hello.incarnation = secure->self.incarnation;
	hello.public_key.data = secure->public_key;
	hello.public_key.len = sizeof(secure->public_key);
	hello.key_ids = ids;
	hello.n_key_ids = secure->keys.count;
	len = wire__hello__get_packed_size(&hello);
	buf_reserve(out, len);
	wire__hello__pack(&hello, out->data + out->len);
	crypto_generichash(secure->own_hello, sizeof(secure->own_hello),
	    out->data + out->len, len, NULL, 0);
	out->len += len;
}

/* Returns the newest key of the dialer's that the other end has too. */
static const uint8_t *
choose_key(const struct secure *secure, const Wire__Hello *hello)
{
	const uint8_t *chosen = NULL;
	size_t best = SIZE_MAX;

	for (uint8_t i = 0; i < secure->keys.count; i++) {
		for (size_t j = 0; j < hello->n_key_ids; j++) {
			size_t rank = secure->is_dialer ? i : j;

			if (hello->key_ids[j] == key_id(secure->keys.keys[i]) &&
			    rank < best) {
				best = rank;
				chosen = secure->keys.keys[i];
			}
		}
	}
	return chosen;
}

/* Binds a session key to the cluster key and to both Hellos. */
static void
mix_key(uint8_t session[SECURE_KEY_BYTES], const uint8_t *cluster,
    const uint8_t *dialer_hello, const uint8_t *listener_hello)
{
	crypto_generichash_state state;

	crypto_generichash_init(
	    &state, cluster, SECURE_KEY_BYTES, SECURE_KEY_BYTES);
	crypto_generichash_update(&state, session, SECURE_KEY_BYTES);
	crypto_generichash_update(
	    &state, dialer_hello, crypto_generichash_BYTES);
	crypto_generichash_update(
	    &state, listener_hello, crypto_generichash_BYTES);
	crypto_generichash_final(&state, session, SECURE_KEY_BYTES);
}

static int
derive(struct secure *secure, const Wire__Hello *hello,
    const uint8_t *peer_digest, uint8_t send_key[SECURE_KEY_BYTES])
{
	const uint8_t *cluster = choose_key(secure, hello);
	const uint8_t *dialer = secure->own_hello;
	const uint8_t *listener = peer_digest;
	int failed;

	if (cluster == NULL ||
	    hello->public_key.len != crypto_kx_PUBLICKEYBYTES)
		return ERR_AUTH;
	if (secure->is_dialer) {
		failed = crypto_kx_client_session_keys(secure->receive_key,
		    send_key, secure->public_key, secure->secret_key,
		    hello->public_key.data);
	} else {
		dialer = peer_digest;
		listener = secure->own_hello;
		failed = crypto_kx_server_session_keys(secure->receive_key,
		    send_key, secure->public_key, secure->secret_key,
		    hello->public_key.data);
	}
	if (failed)
		return ERR_AUTH;
	mix_key(secure->receive_key, cluster, dialer, listener);
	mix_key(send_key, cluster, dialer, listener);
	return 0;
}

static int
check_hello(struct secure *secure, const Wire__Hello *hello)
{
	if (hello->format_min > SECURE_FORMAT_MAX ||
	    hello->format_max < SECURE_FORMAT_MIN)
		return ERR_VERSION;
	if (strlen(hello->instance) >= SECURE_NAME_BYTES ||
	    strlen(hello->data_centre) >= SECURE_NAME_BYTES)
		return ERR_AUTH;
	snprintf(
	    secure->peer.instance, SECURE_NAME_BYTES, "%s", hello->instance);
	snprintf(secure->peer.data_centre, SECURE_NAME_BYTES, "%s",
	    hello->data_centre);
	secure->peer.incarnation = hello->incarnation;
	return 0;
}

/*
 * Takes the other end's Hello and appends the stream header to send.  Returns
 * 0, ERR_VERSION if no frame format is shared, or ERR_AUTH if no key is.
 */
int
secure_receive_hello(
    struct secure *secure, const uint8_t *data, uint32_t len, struct buf *out)
{
	uint8_t header[crypto_secretstream_xchacha20poly1305_HEADERBYTES];
	uint8_t digest[crypto_generichash_BYTES];
	uint8_t send_key[SECURE_KEY_BYTES];
	Wire__Hello *hello = wire__hello__unpack(NULL, len, data);
	int error;

	if (hello == NULL)
		return ERR_AUTH;
	crypto_generichash(digest, sizeof(digest), data, len, NULL, 0);
	error = check_hello(secure, hello);
	if (error == 0)
		error = derive(secure, hello, digest, send_key);
	wire__hello__free_unpacked(hello, NULL);
	if (error != 0)
		return error;
	crypto_secretstream_xchacha20poly1305_init_push(
	    &secure->sending, header, send_key);
	sodium_memzero(send_key, sizeof(send_key));
	buf_add(out, header, sizeof(header));
	return 0;
}

/* Takes the other end's stream header.  Returns 0 or ERR_AUTH. */
int
secure_receive_header(struct secure *secure, const uint8_t *data, uint32_t len)
{
	if (len != crypto_secretstream_xchacha20poly1305_HEADERBYTES ||
	    crypto_secretstream_xchacha20poly1305_init_pull(
		&secure->receiving, data, secure->receive_key) != 0)
		return ERR_AUTH;
	return 0;
}

/* Appends the encrypted form of a frame. */
void
secure_seal(
    struct secure *secure, const void *data, uint32_t len, struct buf *out)
{
	unsigned long long sealed = 0;

	buf_reserve(out, len + crypto_secretstream_xchacha20poly1305_ABYTES);
	crypto_secretstream_xchacha20poly1305_push(&secure->sending,
	    out->data + out->len, &sealed, data, len, NULL, 0, 0);
	out->len += sealed;
}

/* Appends the plain form of a frame.  Returns 0 or ERR_AUTH. */
int
secure_open(
    struct secure *secure, const uint8_t *data, uint32_t len, struct buf *out)
{
	unsigned long long opened = 0;
	uint8_t tag;

	if (len < crypto_secretstream_xchacha20poly1305_ABYTES)
		return ERR_AUTH;
	buf_reserve(out, len);
	if (crypto_secretstream_xchacha20poly1305_pull(&secure->receiving,
		out->data + out->len, &opened, &tag, data, len, NULL, 0) != 0)
		return ERR_AUTH;
	out->len += opened;
	return 0;
}

/* Returns who the other end says it is; trusted once a frame has opened. */
const struct secure_peer *
secure_peer_of(const struct secure *secure)
{
	return &secure->peer;
}
