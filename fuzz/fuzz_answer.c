#include <apr_general.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/upstream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * A server's answer, read by the client of the gateway through a connection on
 * loopback.  The first byte of the input selects how the connection goes on
 * after the rest was sent, and whether the request is larger than what the
 * server's system takes; the server reads none of it.  No input may crash,
 * report a status that HTTP doesn't have, or yield a whole answer that a reset
 * ended, or a success without a length that ended during the request.
 */
enum {
	END_OPEN,
	END_CLOSE,
	END_RESET,
	ENDS,
	WITH_UPLOAD = 4,
	UPLOAD_BYTES = 8 * 1024 * 1024,
	RECEIVE_BYTES = 4096,
	TURNS_MAX = 20,
	TURN_US = 500
};

struct world {
	struct loop *loop;
	struct upstream_client *client;
	struct sockaddr_in address;
	int listener;
	char *upload;
};

struct seen {
	struct upstream_result result;
	unsigned int status;
	size_t body_bytes;
	bool done;
};

static int
on_head(void *ctx, struct upstream_call *call, unsigned int status,
    const struct header_fields *headers)
{
	struct seen *seen = ctx;

	(void)call;
	(void)headers;
	if (status < 200 || status > 599 || seen->done)
		__builtin_trap();
	seen->status = status;
	return 0;
}

static int
on_data(void *ctx, struct upstream_call *call, const void *data, size_t len)
{
	struct seen *seen = ctx;

	(void)call;
	(void)data;
	if (seen->status == 0)
		__builtin_trap();
	seen->body_bytes += len;
	return 0;
}

static void
on_done(void *ctx, const struct upstream_result *result)
{
	struct seen *seen = ctx;

	if (seen->done)
		__builtin_trap();
	seen->done = true;
	seen->result = *result;
}

static const struct upstream_handler handler = {on_head, on_data, on_done};

static void
stop(void *ctx)
{
	loop_stop(ctx);
}

/* Runs the loop for a moment. */
static void
turn(const struct world *w)
{
	loop_after(w->loop, TURN_US, stop, w->loop);
	loop_run(w->loop);
	loop_resume(w->loop);
}

static struct world *
world(void)
{
	static struct world w;
	const int receive = RECEIVE_BYTES;
	struct upstream_options options = {
	    .alloc = alloc_default(), .connect_timeout_ms = 2000};
	socklen_t len = sizeof(w.address);

	if (w.loop != NULL)
		return &w;
	apr_initialize();
	w.loop = loop_new(alloc_default());
	options.loop = w.loop;
	w.client = upstream_new(&options);
	w.upload = calloc(1, UPLOAD_BYTES);
	w.listener = socket(AF_INET, SOCK_STREAM, 0);
	w.address.sin_family = AF_INET;
	w.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(
	    w.listener, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive));
	if (bind(w.listener, (struct sockaddr *)&w.address, len) != 0 ||
	    listen(w.listener, 8) != 0 ||
	    getsockname(w.listener, (struct sockaddr *)&w.address, &len) != 0)
		abort();
	return &w;
}

static struct upstream_call *
start_call(const struct world *w, struct seen *seen, bool upload)
{
	struct upstream_request request = {.address = w->address,
	    .body = w->upload,
	    .len = upload ? UPLOAD_BYTES : 0,
	    .fresh = true,
	    .handler = &handler,
	    .ctx = seen};
	struct upstream_call *call;
	struct buf head;

	buf_init(&head, alloc_default());
	buf_addf(&head, "POST / HTTP/1.1\r\nContent-Length: %zu\r\n\r\n",
	    request.len);
	request.head = &head;
	call = upstream_start(w->client, &request);
	buf_free(&head);
	return call;
}

static void
check(const struct seen *seen, int end, bool upload)
{
	const struct upstream_result *r = &seen->result;
	bool by_end = r->end == UPSTREAM_END_CONNECTION;

	if (r->error != 0)
		return;
	if (seen->status == 0 || r->status != seen->status)
		__builtin_trap();
	if (by_end && (end != END_CLOSE || (upload && r->status < 300)))
		__builtin_trap();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct linger abort_now = {1, 0};
	const struct world *w = world();
	struct seen seen = {.done = false};
	struct upstream_call *call;
	bool upload;
	int end, fd;

	if (size == 0)
		return 0;
	end = data[0] % WITH_UPLOAD % ENDS;
	upload = (data[0] & WITH_UPLOAD) != 0;
	call = start_call(w, &seen, upload);
	fd = accept(w->listener, NULL, NULL);
	if (call == NULL || fd < 0)
		abort();
	(void)send(fd, data + 1, size - 1, MSG_NOSIGNAL);
	if (end == END_RESET)
		setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &abort_now, sizeof(abort_now));
	else if (end == END_CLOSE)
		(void)shutdown(fd, SHUT_WR);
	if (end == END_RESET)
		close(fd);
	for (int i = 0; i < TURNS_MAX && !seen.done; i++)
		turn(w);
	if (seen.done)
		check(&seen, end, upload);
	else if (end != END_OPEN)
		__builtin_trap(); /* the end of the connection is missed */
	else
		upstream_cancel(call);
	if (end != END_RESET)
		close(fd);
	return 0;
}
