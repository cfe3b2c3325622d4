#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "flags.h"

/*
 * cf-fake-crowd: many callers at once that send a part of a request and hold
 * their connections open, for process tests.  --kind is what each one sends:
 *
 *	chunks		a body in chunks of --chunk-bytes that stops after
 *			--bytes, without its last chunk
 *	length		a body that announces --announced and stops after
 *			--bytes
 *	head		a head of --bytes without its end
 *	idle		nothing
 *	unread		a whole request with the body --body; reads nothing
 *	follow		a whole request without a body, then --bytes more
 *
 * Prints "holds SENT CLOSED" once no caller has made progress for a second: the
 * number of callers that have sent everything, and of those whose connections
 * the other side has closed.  Ends at SIGTERM or after --seconds.
 */
enum {
	CALLERS_MAX = 4000,
	BLOCK_BYTES = 64 * 1024,
	HEAD_BYTES = 1024,
	UNREAD_WINDOW_BYTES = 4096,
	QUIET_MS = 1000,
	POLL_MS = 100,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000
};

struct options {
	const char *at;
	const char *kind;
	const char *method;
	const char *path;
	const char *key;
	const char *body;
	int64_t callers;
	int64_t bytes;
	int64_t announced;
	int64_t chunk_bytes;
	int64_t seconds;
};

#define NUMBER(name, field, value, help)                                   \
	{                                                                  \
		name, FLAG_NUMBER, offsetof(struct options, field), value, \
		    NULL, help                                             \
	}
#define WORD(name, field, value, help)                                      \
	{                                                                   \
		name, FLAG_TEXT, offsetof(struct options, field), 0, value, \
		    help                                                    \
	}

static const struct flag flags[] = {
    WORD("at", at, "127.0.0.1:80", "IP:PORT to connect to"),
    WORD("kind", kind, "idle", "what each caller sends"),
    WORD("method", method, "POST", "of the request"),
    WORD("path", path, "/", "of the request"),
    WORD("key", key, "k1", "of the workspace"),
    WORD("body", body, "", "of the request of --kind unread"),
    NUMBER("callers", callers, 1, "connections"),
    NUMBER("bytes", bytes, 0, "sent by each caller after the head"),
    NUMBER("announced", announced, 0, "Content-Length of --kind length"),
    NUMBER("chunk-bytes", chunk_bytes, 1, "of --kind chunks"),
    NUMBER("seconds", seconds, 60, "until the connections are closed"),
};

struct caller {
	char head[HEAD_BYTES];
	size_t head_len;
	size_t head_sent;
	int64_t wire_sent; /* bytes after the head */
};

static struct caller callers[CALLERS_MAX];
static struct pollfd sockets[CALLERS_MAX];
static char block[BLOCK_BYTES]; /* repeated after the head */
static size_t block_len;
static int64_t wire_total; /* bytes after the head */
static volatile sig_atomic_t stopping;

static void
on_signal(int number)
{
	(void)number;
	stopping = 1;
}

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Fills the block with whole chunks, or with plain bytes. */
static void
fill_block(const struct options *options)
{
	char frame[BLOCK_BYTES];
	size_t size = (size_t)options->chunk_bytes;
	int n;

	block_len = sizeof(block);
	wire_total = options->bytes;
	memset(block, 'x', sizeof(block));
	if (strcmp(options->kind, "chunks") != 0)
		return;
	n = snprintf(frame, sizeof(frame), "%zx\r\n", size);
	memset(frame + n, 'x', size);
	size += (size_t)n + 2;
	frame[size - 2] = '\r';
	frame[size - 1] = '\n';
	for (block_len = 0; block_len + size <= sizeof(block);
	     block_len += size)
		memcpy(block + block_len, frame, size);
	wire_total = options->bytes / options->chunk_bytes * (int64_t)size;
}

static void
write_head(struct caller *c, const struct options *options, int number)
{
	const char *kind = options->kind;
	char body[64] = "";

	if (strcmp(kind, "idle") == 0)
		return;
	if (strcmp(kind, "chunks") == 0)
		snprintf(body, sizeof(body), "Transfer-Encoding: chunked\r\n");
	else if (strcmp(kind, "length") == 0)
		snprintf(body, sizeof(body), "Content-Length: %lld\r\n",
		    (long long)options->announced);
	else if (options->body[0] != '\0')
		snprintf(body, sizeof(body), "Content-Length: %zu\r\n",
		    strlen(options->body));
	c->head_len = (size_t)snprintf(c->head, sizeof(c->head),
	    "%s %s HTTP/1.1\r\nHost: h.example\r\n"
	    "Authorization: Bearer %s\r\nCeleryford-Request-Id: crowd-%d-%d\r\n"
	    "%s%s%s",
	    options->method, options->path, options->key, (int)getpid(), number,
	    body, strcmp(kind, "head") == 0 ? "X-Filler: " : "\r\n",
	    strcmp(kind, "unread") == 0 ? options->body : "");
	if (c->head_len >= sizeof(c->head)) {
		fprintf(stderr, "--path, --key and --body are too long\n");
		exit(2);
	}
}

static int
dial(const struct sockaddr_in *address, bool reads)
{
	const int window = UNREAD_WINDOW_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!reads)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	if (fd < 0 || connect(fd, (const struct sockaddr *)address,
			  sizeof(*address)) != 0) {
		if (fd >= 0)
			close(fd);
		return -1;
	}
	(void)fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static bool
has_sent(const struct caller *c)
{
	return c->head_sent == c->head_len && c->wire_sent == wire_total;
}

/* Sends what the socket takes.  Returns false if the connection has ended. */
static bool
send_some(struct caller *c, int fd, bool *progressed)
{
	for (;;) {
		const char *from = c->head + c->head_sent;
		size_t len = c->head_len - c->head_sent;
		ssize_t n;

		if (len == 0 && block_len > 0) {
			size_t at = (size_t)(c->wire_sent % (int64_t)block_len);

			from = block + at;
			len = block_len - at;
			if ((int64_t)len > wire_total - c->wire_sent)
				len = (size_t)(wire_total - c->wire_sent);
		}
		if (len == 0)
			return true;
		n = send(fd, from, len, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN || errno == EINTR;
		*progressed = true;
		if (c->head_sent < c->head_len)
			c->head_sent += (size_t)n;
		else
			c->wire_sent += n;
	}
}

/* Reads and drops what has arrived.  Returns false at the end. */
static bool
drop_input(int fd)
{
	char bytes[BLOCK_BYTES];
	ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

static void
serve(int i, bool reads, bool *progressed)
{
	struct pollfd *s = &sockets[i];
	bool open = true;

	if ((s->revents & POLLOUT) != 0)
		open = send_some(&callers[i], s->fd, progressed);
	if (open && (s->revents & (POLLIN | POLLHUP | POLLERR)) != 0 &&
	    (reads || (s->revents & (POLLHUP | POLLERR)) != 0))
		open = drop_input(s->fd);
	if (!open) {
		close(s->fd);
		s->fd = -1;
		*progressed = true;
	} else if (has_sent(&callers[i])) {
		s->events = reads ? POLLIN : 0;
	}
}

static void
report(int count)
{
	int sent = 0, closed = 0;

	for (int i = 0; i < count; i++) {
		sent += has_sent(&callers[i]);
		closed += sockets[i].fd < 0;
	}
	printf("holds %d %d\n", sent, closed);
	fflush(stdout);
}

int
main(int argc, char **argv)
{
	struct options options;
	struct sockaddr_in address;
	const struct sigaction stop = {.sa_handler = on_signal};
	int64_t begun_ms = now_ms(), quiet_ms = begun_ms;
	bool reads, reported = false;
	int count;

	flags_parse(argc, argv, "Callers that hold their connections open.",
	    flags, (int)(sizeof(flags) / sizeof(flags[0])), &options);
	count = (int)options.callers;
	if (!flags_parse_address(options.at, &address) || count > CALLERS_MAX ||
	    options.chunk_bytes < 1 || options.chunk_bytes > BLOCK_BYTES / 2) {
		fprintf(stderr, "a flag is out of range\n");
		return 2;
	}
	sigaction(SIGTERM, &stop, NULL);
	reads = strcmp(options.kind, "unread") != 0;
	fill_block(&options);
	for (int i = 0; i < count && !stopping; i++) {
		write_head(&callers[i], &options, i);
		sockets[i].fd = dial(&address, reads);
		sockets[i].events = (short)(POLLOUT | (reads ? POLLIN : 0));
	}
	while (!stopping && now_ms() - begun_ms < options.seconds * MS_PER_S) {
		bool progressed = false;

		if (poll(sockets, (nfds_t)count, POLL_MS) > 0)
			for (int i = 0; i < count; i++)
				if (sockets[i].fd >= 0 &&
				    sockets[i].revents != 0)
					serve(i, reads, &progressed);
		if (progressed)
			quiet_ms = now_ms();
		if (!reported && now_ms() - quiet_ms >= QUIET_MS) {
			report(count);
			reported = true;
		}
	}
	return 0;
}
