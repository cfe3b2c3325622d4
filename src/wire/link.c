#include "wire/link.h"

#include <apr_general.h>
#include <apr_portable.h>
#include <string.h>

#include "base/err.h"
#include "wire/peer.h"

enum {
	LINK_LENGTH_BYTES = 4,
	LINK_READ_BYTES = 16 * 1024,
	LINK_HELLO_MAX_BYTES = 1024, /* before the other end is known */
	LINK_HANDSHAKE_US = 1000000
};

enum link_state {
	LINK_CONNECTING,
	LINK_HELLO,
	LINK_HEADER,
	LINK_READY
};

struct link {
	struct link_options options;
	apr_pool_t *pool;
	apr_socket_t *socket;
	struct loop_watch *watch;
	struct loop_timer *handshake;
	struct secure *secure;
	enum link_state state;
	struct buf in;
	struct buf out; /* bytes for the socket */
	struct buf waiting; /* plain frames sent before the link was ready */
	struct buf plain;
	int64_t used_us;
	int64_t asked_us; /* oldest frame sent since a byte came; 0: none */
	uint64_t sent_bytes;
	uint64_t received_bytes;
	int error; /* set: the link closes at the end of this turn */
	bool busy;
};

static void
put_length(struct buf *out, uint32_t len)
{
	uint8_t bytes[LINK_LENGTH_BYTES] = {(uint8_t)(len >> 24),
	    (uint8_t)(len >> 16), (uint8_t)(len >> 8), (uint8_t)len};

	buf_add(out, bytes, sizeof(bytes));
}

static uint32_t
get_length(const uint8_t *bytes)
{
	return (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
	       (uint32_t)bytes[2] << 8 | bytes[3];
}

static void
close_link(struct link *link)
{
	link->options.handler->closed(link->options.ctx, link, link->error);
	link_free(link);
}

static void
handshake_late(void *ctx)
{
	struct link *link = ctx;

	link->handshake = NULL;
	link->error = ERR_TIMEOUT;
	close_link(link);
}

static void
flush(struct link *link)
{
	while (link->out.len > 0 && link->error == 0) {
		apr_size_t n = link->out.len;
		apr_status_t status = apr_socket_send(
		    link->socket, (const char *)link->out.data, &n);

		if (n > 0) {
			buf_consume(&link->out, n);
			link->sent_bytes += n;
			link->used_us = loop_now_us(link->options.loop);
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
	secure_hello(link->secure, &hello);
	put_length(&link->out, (uint32_t)hello.len);
	buf_add(&link->out, hello.data, hello.len);
	buf_free(&hello);
	link->state = LINK_HELLO;
}

static void
seal(struct link *link, const void *data, uint32_t len)
{
	size_t at = link->out.len;
	uint32_t sealed;

	put_length(&link->out, 0);
	secure_seal(link->secure, data, len, &link->out);
	sealed = (uint32_t)(link->out.len - at - LINK_LENGTH_BYTES);
	for (int i = 0; i < LINK_LENGTH_BYTES; i++)
		link->out.data[at + (size_t)i] =
		    (uint8_t)(sealed >> (24 - 8 * i));
}

static void
become_ready(struct link *link)
{
	size_t at = 0;

	link->state = LINK_READY;
	loop_cancel(link->handshake);
	link->handshake = NULL;
	while (at < link->waiting.len) {
		uint32_t len = get_length(link->waiting.data + at);

		seal(link, link->waiting.data + at + LINK_LENGTH_BYTES, len);
		at += LINK_LENGTH_BYTES + len;
	}
	buf_free(&link->waiting);
}

static int
take_frame(struct link *link, const uint8_t *data, uint32_t len)
{
	int error;

	if (link->state == LINK_HELLO) {
		struct buf header;

		buf_init(&header, link->options.alloc);
		error = secure_receive_hello(link->secure, data, len, &header);
		if (error == 0) {
			put_length(&link->out, (uint32_t)header.len);
			buf_add(&link->out, header.data, header.len);
			link->state = LINK_HEADER;
		}
		buf_free(&header);
		return error;
	}
	if (link->state == LINK_HEADER) {
		error = secure_receive_header(link->secure, data, len);
		if (error == 0)
			become_ready(link);
		return error;
	}
	buf_clear(&link->plain);
	error = secure_open(link->secure, data, len, &link->plain);
	if (error == 0)
		link->options.handler->frame(link->options.ctx, link,
		    link->plain.data, (uint32_t)link->plain.len);
	return error;
}

static void
take_frames(struct link *link)
{
	size_t at = 0;

	while (link->error == 0 && link->in.len - at >= LINK_LENGTH_BYTES) {
		uint32_t len = get_length(link->in.data + at);
		uint32_t max = link->state == LINK_READY ? PEER_FRAME_MAX_BYTES
							 : LINK_HELLO_MAX_BYTES;

		if (len > max) {
			link->error = ERR_TOO_LARGE;
			break;
		}
		if (link->in.len - at < LINK_LENGTH_BYTES + len)
			break;
		link->error = take_frame(
		    link, link->in.data + at + LINK_LENGTH_BYTES, len);
		at += LINK_LENGTH_BYTES + len;
	}
	buf_consume(&link->in, at);
}

static void
read_some(struct link *link)
{
	apr_size_t n = LINK_READ_BYTES;
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
	link->asked_us = 0;
	link->used_us = loop_now_us(link->options.loop);
	take_frames(link);
}

static void
on_ready(void *ctx, int events)
{
	struct link *link = ctx;

	link->busy = true;
	if (link->state == LINK_CONNECTING) {
		if ((events & LOOP_WRITE) == 0) {
			link->busy = false;
			return;
		}
		send_hello(link);
	}
	if (events & LOOP_READ)
		read_some(link);
	if (link->error == 0)
		flush(link);
	link->busy = false;
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
	link->secure =
	    secure_new(options->alloc, options->keys, options->self, is_dialer);
	buf_init(&link->in, options->alloc);
	buf_init(&link->out, options->alloc);
	buf_init(&link->waiting, options->alloc);
	buf_init(&link->plain, options->alloc);
	link->used_us = loop_now_us(options->loop);
	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
	apr_os_sock_get(&fd, socket);
	link->watch = loop_watch(
	    options->loop, fd, LOOP_READ | LOOP_WRITE, on_ready, link);
	link->handshake =
	    loop_after(options->loop, LINK_HANDSHAKE_US, handshake_late, link);
	return link;
}

/* Dials another instance; NULL if the address can't be used at all. */
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

/* Accepts a connection; NULL if there is none after all. */
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

/* Closes a link without a report. */
void
link_free(struct link *link)
{
	if (link == NULL)
		return;
	loop_unwatch(link->watch);
	loop_cancel(link->handshake);
	apr_socket_close(link->socket);
	apr_pool_destroy(link->pool);
	secure_free(link->secure);
	buf_free(&link->in);
	buf_free(&link->out);
	buf_free(&link->waiting);
	buf_free(&link->plain);
	alloc_free(link->options.alloc, link);
}

/* Sends one frame, after the handshake if that is still under way. */
void
link_send(struct link *link, const void *data, uint32_t len)
{
	if (link->asked_us == 0)
		link->asked_us = loop_now_us(link->options.loop);
	if (link->state != LINK_READY) {
		put_length(&link->waiting, len);
		buf_add(&link->waiting, data, len);
		return;
	}
	seal(link, data, len);
	if (!link->busy)
		loop_rewatch(link->watch, LOOP_READ | LOOP_WRITE);
}

/* Returns how many bytes wait for the socket. */
uint32_t
link_queued_bytes(const struct link *link)
{
	return (uint32_t)(link->out.len + link->waiting.len);
}

/* Returns whether the handshake is over. */
bool
link_ready(const struct link *link)
{
	return link->state == LINK_READY;
}

/* Returns the time since a byte last went either way. */
int64_t
link_idle_us(const struct link *link)
{
	return loop_now_us(link->options.loop) - link->used_us;
}

/*
 * Returns how long the other end has been silent since something was sent to
 * it.  A connection can go silent for good without an error.
 */
int64_t
link_unheard_us(const struct link *link)
{
	return link->asked_us == 0
		   ? 0
		   : loop_now_us(link->options.loop) - link->asked_us;
}

/* Returns who the other end is; known once the link is ready. */
const struct secure_peer *
link_peer(const struct link *link)
{
	return secure_peer_of(link->secure);
}

/* Returns the bytes since the last call, and starts counting anew. */
void
link_take_bytes(struct link *link, uint64_t *sent, uint64_t *received)
{
	*sent = link->sent_bytes;
	*received = link->received_bytes;
	link->sent_bytes = 0;
	link->received_bytes = 0;
}
