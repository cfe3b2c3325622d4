#include "wire/link.h"

#include <apr_general.h>
#include <apr_portable.h>
#include <string.h>

#include "base/err.h"
#include "wire/peer.h"

enum {
	LINK_LENGTH_PREFIX_BYTES = 4,
	LINK_READ_SIZE_BYTES = 16 * 1024,
	LINK_HELLO_MAX_BYTES = 1024, /* limit for an unauthenticated peer */
	LINK_HANDSHAKE_TIMEOUT_US = 1000000
};

enum link_state {
	LINK_CONNECTING,
	LINK_AWAIT_HELLO, /* own Hello is queued */
	LINK_AWAIT_HEADER, /* own stream header is queued */
	LINK_READY
};

struct link {
	struct link_options options;
	apr_pool_t *pool;
	apr_socket_t *socket;
	struct loop_watch *watch;
	struct loop_timer *handshake_timer;
	struct secure_session *session;
	enum link_state state;
	struct buf in; /* received bytes that no frame was parsed from yet */
	struct buf out; /* bytes to write to the socket */
	struct buf pending_frames; /* plaintext queued during the handshake */
	struct buf plain; /* the frame decrypted last */
	int64_t last_io_us; /* when a byte was last sent or received */
	/* When the first frame after the last received byte was sent, or 0. */
	int64_t unanswered_since_us;
	uint64_t sent_bytes; /* since link_drain_byte_counts() */
	uint64_t received_bytes; /* likewise */
	int error; /* if not 0, on_socket_event() closes the link at its end */
	bool in_socket_event; /* on_socket_event() will flush the output */
};

/* Appends the length prefix of a frame, in network byte order. */
static void
append_length(struct buf *out, uint32_t len)
{
	uint8_t bytes[LINK_LENGTH_PREFIX_BYTES] = {(uint8_t)(len >> 24),
	    (uint8_t)(len >> 16), (uint8_t)(len >> 8), (uint8_t)len};

	buf_add(out, bytes, sizeof(bytes));
}

static uint32_t
decode_length(const uint8_t *bytes)
{
	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

/* Reports link->error to the handler and frees the link. */
static void
close_link(struct link *link)
{
	link->options.handler->closed(link->options.ctx, link, link->error);
	link_free(link);
}

static void
on_handshake_timeout(void *ctx)
{
	struct link *link = ctx;

	link->handshake_timer = NULL;
	link->error = ERR_TIMEOUT;
	close_link(link);
}

/*
 * Writes queued bytes until the socket would block, and watches for writability
 * only while bytes are left.  Sets link->error on failure.
 */
static void
flush_output(struct link *link)
{
	while (link->out.len > 0 && link->error == 0) {
		apr_size_t n = link->out.len;
		apr_status_t status = apr_socket_send(
		    link->socket, (const char *)link->out.data, &n);

		if (n > 0) {
			buf_consume(&link->out, n);
			link->sent_bytes += n;
			link->last_io_us = loop_now_us(link->options.loop);
		}
		if (APR_STATUS_IS_EAGAIN(status) || APR_STATUS_IS_EINTR(status))
			break;
		if (status != APR_SUCCESS)
			link->error = ERR_IO;
	}
	loop_rewatch(link->watch,
	    link->out.len > 0 ? LOOP_READ | LOOP_WRITE : LOOP_READ);
}

static void
send_hello(struct link *link)
{
	struct buf hello;

	buf_init(&hello, link->options.alloc);
	secure_write_hello(link->session, &hello);
	append_length(&link->out, (uint32_t)hello.len);
	buf_add(&link->out, hello.data, hello.len);
	buf_free(&hello);
	link->state = LINK_AWAIT_HELLO;
}

/*
 * Appends an encrypted frame to the output.  The length prefix is filled in
 * once the encrypted size is known.
 */
static void
queue_encrypted(struct link *link, const void *data, uint32_t len)
{
	size_t at = link->out.len;
	uint32_t encrypted_bytes;

	append_length(&link->out, 0);
	secure_encrypt(link->session, data, len, &link->out);
	encrypted_bytes =
	    (uint32_t)(link->out.len - at - LINK_LENGTH_PREFIX_BYTES);
	for (int i = 0; i < LINK_LENGTH_PREFIX_BYTES; i++)
		link->out.data[at + (size_t)i] =
		    (uint8_t)(encrypted_bytes >> (24 - 8 * i));
}

/* Marks the link ready and encrypts the frames queued during the handshake. */
static void
finish_handshake(struct link *link)
{
	size_t at = 0;

	link->state = LINK_READY;
	loop_cancel(link->handshake_timer);
	link->handshake_timer = NULL;
	while (at < link->pending_frames.len) {
		uint32_t len = decode_length(link->pending_frames.data + at);

		queue_encrypted(link,
		    link->pending_frames.data + at + LINK_LENGTH_PREFIX_BYTES,
		    len);
		at += LINK_LENGTH_PREFIX_BYTES + len;
	}
	buf_free(&link->pending_frames);
}

/* Handles one received frame.  Returns 0, or an error that ends the link. */
static int
handle_frame(struct link *link, const uint8_t *data, uint32_t len)
{
	int error;

	if (link->state == LINK_AWAIT_HELLO) {
		struct buf header;

		buf_init(&header, link->options.alloc);
		error = secure_receive_hello(link->session, data, len, &header);
		if (error == 0) {
			append_length(&link->out, (uint32_t)header.len);
			buf_add(&link->out, header.data, header.len);
			link->state = LINK_AWAIT_HEADER;
		}
		buf_free(&header);
		return error;
	}
	if (link->state == LINK_AWAIT_HEADER) {
		error = secure_receive_header(link->session, data, len);
		if (error == 0)
			finish_handshake(link);
		return error;
	}
	buf_clear(&link->plain);
	error = secure_decrypt(link->session, data, len, &link->plain);
	if (error == 0)
		link->options.handler->frame(link->options.ctx, link,
		    link->plain.data, (uint32_t)link->plain.len);
	return error;
}

/*
 * Handles every complete frame in the input.  Sets link->error, to
 * ERR_TOO_LARGE for a frame above the limit.
 */
static void
handle_frames(struct link *link)
{
	size_t at = 0;

	while (
	    link->error == 0 && link->in.len - at >= LINK_LENGTH_PREFIX_BYTES) {
		uint32_t len = decode_length(link->in.data + at);
		uint32_t max = link->state == LINK_READY ? PEER_FRAME_MAX_BYTES
							 : LINK_HELLO_MAX_BYTES;

		if (len > max) {
			link->error = ERR_TOO_LARGE;
			break;
		}
		if (link->in.len - at < LINK_LENGTH_PREFIX_BYTES + len)
			break;
		link->error = handle_frame(
		    link, link->in.data + at + LINK_LENGTH_PREFIX_BYTES, len);
		at += LINK_LENGTH_PREFIX_BYTES + len;
	}
	buf_consume(&link->in, at);
}

/* Reads once from the socket; ERR_IO in link->error on failure or end. */
static void
read_socket(struct link *link)
{
	apr_size_t n = LINK_READ_SIZE_BYTES;
	apr_status_t status;

	buf_reserve(&link->in, n);
	status = apr_socket_recv(
	    link->socket, (char *)link->in.data + link->in.len, &n);
	if (APR_STATUS_IS_EAGAIN(status) || APR_STATUS_IS_EINTR(status))
		return;
	if (status != APR_SUCCESS || n == 0) {
		link->error = ERR_IO;
		return;
	}
	link->in.len += n;
	link->received_bytes += n;
	link->unanswered_since_us = 0;
	link->last_io_us = loop_now_us(link->options.loop);
	handle_frames(link);
}

static void
on_socket_event(void *ctx, int events)
{
	struct link *link = ctx;

	link->in_socket_event = true;
	if (link->state == LINK_CONNECTING) {
		if ((events & LOOP_WRITE) == 0) {
			link->in_socket_event = false;
			return;
		}
		send_hello(link);
	}
	if (events & LOOP_READ)
		read_socket(link);
	if (link->error == 0)
		flush_output(link);
	link->in_socket_event = false;
	if (link->error != 0)
		close_link(link);
}

static struct link *
link_new(const struct link_options *options, apr_pool_t *pool,
    apr_socket_t *socket, int is_dialer)
{
	struct link *link = alloc_zero(options->alloc, 1, sizeof(*link));
	apr_os_sock_t fd;

	link->options = *options;
	link->pool = pool;
	link->socket = socket;
	link->session =
	    secure_new(options->alloc, options->keys, options->self, is_dialer);
	buf_init(&link->in, options->alloc);
	buf_init(&link->out, options->alloc);
	buf_init(&link->pending_frames, options->alloc);
	buf_init(&link->plain, options->alloc);
	link->last_io_us = loop_now_us(options->loop);
	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
	apr_os_sock_get(&fd, socket);
	link->watch = loop_watch(
	    options->loop, fd, LOOP_READ | LOOP_WRITE, on_socket_event, link);
	link->handshake_timer = loop_after(options->loop,
	    LINK_HANDSHAKE_TIMEOUT_US, on_handshake_timeout, link);
	return link;
}

/*
 * Starts to connect to another instance; a later failure is reported by
 * closed().  Returns NULL if the address is invalid or connecting fails at
 * once.
 */
struct link *
link_dial(const struct link_options *options, const char *host, uint16_t port)
{
	apr_pool_t *pool;
	apr_sockaddr_t *address;
	apr_socket_t *socket;
	apr_status_t status;

	apr_pool_create(&pool, NULL);
	if (apr_sockaddr_info_get(&address, host, APR_UNSPEC, port, 0, pool) !=
		APR_SUCCESS ||
	    apr_socket_create(&socket, address->family, SOCK_STREAM,
		APR_PROTO_TCP, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return NULL;
	}
	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	status = apr_socket_connect(socket, address);
	if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status)) {
		apr_pool_destroy(pool);
		return NULL;
	}
	return link_new(options, pool, socket, 1);
}

/* Accepts a connection.  Returns NULL if none is pending. */
struct link *
link_accept(const struct link_options *options, apr_socket_t *listener)
{
	apr_pool_t *pool;
	apr_socket_t *socket;
	struct link *link;

	apr_pool_create(&pool, NULL);
	if (apr_socket_accept(&socket, listener, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return NULL;
	}
	link = link_new(options, pool, socket, 0);
	send_hello(link);
	return link;
}

/* Closes and frees a link without calling closed().  NULL is allowed. */
void
link_free(struct link *link)
{
	if (link == NULL)
		return;
	loop_unwatch(link->watch);
	loop_cancel(link->handshake_timer);
	apr_socket_close(link->socket);
	apr_pool_destroy(link->pool);
	secure_free(link->session);
	buf_free(&link->in);
	buf_free(&link->out);
	buf_free(&link->pending_frames);
	buf_free(&link->plain);
	alloc_free(link->options.alloc, link);
}

/* Queues one frame; it is sent once the handshake is complete. */
void
link_send(struct link *link, const void *data, uint32_t len)
{
	if (link->unanswered_since_us == 0)
		link->unanswered_since_us = loop_now_us(link->options.loop);
	if (link->state != LINK_READY) {
		append_length(&link->pending_frames, len);
		buf_add(&link->pending_frames, data, len);
		return;
	}
	queue_encrypted(link, data, len);
	if (!link->in_socket_event)
		loop_rewatch(link->watch, LOOP_READ | LOOP_WRITE);
}

/* Returns the bytes queued for sending, including frames not yet encrypted. */
uint32_t
link_queued_bytes(const struct link *link)
{
	return (uint32_t)(link->out.len + link->pending_frames.len);
}

/* Returns whether the handshake is complete. */
bool
link_is_ready(const struct link *link)
{
	return link->state == LINK_READY;
}

/* Returns the microseconds since a byte was last sent or received. */
int64_t
link_idle_us(const struct link *link)
{
	return loop_now_us(link->options.loop) - link->last_io_us;
}

/*
 * Returns for how many microseconds a sent frame has been without any byte in
 * return, or 0 if none is outstanding.  The caller needs this to detect a dead
 * connection, which may stay silent forever without a socket error.
 */
int64_t
link_unanswered_us(const struct link *link)
{
	return link->unanswered_since_us == 0
		   ? 0
		   : loop_now_us(link->options.loop) -
			 link->unanswered_since_us;
}

/* Returns the identity of the remote instance; valid once the link is ready. */
const struct secure_peer *
link_peer(const struct link *link)
{
	return secure_remote_peer(link->session);
}

/* Returns the bytes sent and received since the last call. */
void
link_drain_byte_counts(struct link *link, uint64_t *sent, uint64_t *received)
{
	*sent = link->sent_bytes;
	*received = link->received_bytes;
	link->sent_bytes = 0;
	link->received_bytes = 0;
}
