#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_http.h"

/*
 * cf-fake-raw: a backend server whose answers never end, for process tests.  It
 * repeats some bytes until the client closes the connection.  The path selects
 * what is repeated:
 *
 *	/head/		header fields
 *	/line/		a single header field of unlimited length
 *	/interim/	heads of interim answers
 *	/other/		complete answers to another request
 *	/body/		a body without Content-Length
 *	/chunks/	chunks, one byte each
 *	/extension/	a chunk extension
 *	/trailer/	trailer fields
 *	/event/		a single event of a stream
 *	/event-bytes/	the same in chunks, one byte each
 *	/events/	events of a stream
 *
 * Prints "sent BYTES PATH" when the client has closed the connection.
 */
enum {
	CONNS_MAX = 512,
	REQUEST_MAX_BYTES = 16384,
	HEAD_MAX_BYTES = 1024
};

struct conn {
	int fd; /* -1: unused */
	char request[REQUEST_MAX_BYTES];
	size_t len;
	bool answering;
	char head[HEAD_MAX_BYTES]; /* sent once at the start */
	const char *repeated; /* sent after head, repeatedly */
	const char *unsent; /* rest of head or repeated to be sent */
	bool repeating; /* head has been sent */
	uint64_t sent_bytes;
	char path[64];
};

#define OK "HTTP/1.1 200 OK\r\n"
#define STREAM "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

struct answer_kind {
	const char *path;
	const char *fields; /* NULL: header fields are repeated */
	const char *repeated; /* NULL: complete messages are repeated */
};

static const struct answer_kind kinds[] = {
    {"/head/", NULL, "X-More: 0123456789abcdef\r\n"},
    {"/line/", NULL, "X-Long-0123456789abcdef-0123456789abcdef"},
    {"/interim/", NULL, NULL},
    {"/other/", NULL, NULL},
    {"/body/", "\r\n", "0123456789abcdef0123456789abcdef"},
    {"/chunks/", CHUNKED "\r\n", "1\r\nx\r\n"},
    {"/extension/", CHUNKED "\r\n1;x=", "0123456789abcdef"},
    {"/trailer/", CHUNKED "\r\n1\r\nx\r\n0\r\n",
	"X-More: 0123456789abcdef\r\n"},
    {"/event/", STREAM "\r\nid: 1\ndata: ", "0123456789abcdef"},
    {"/event-bytes/", STREAM CHUNKED "\r\nc\r\nid: 1\ndata: \r\n",
	"1\r\nx\r\n"},
    {"/events/", STREAM "\r\n", "id: 1\ndata: x\n\n"},
};

static const char interim[] = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
static const char other[] = OK "Celeryford-Request-Id: another\r\n"
			       "Celeryford-Response-Signature: x\r\n"
			       "Content-Length: 2\r\n\r\nok";

static struct conn conns[CONNS_MAX];

static void
close_conn(struct conn *c)
{
	if (c->answering) {
		printf("sent %llu %s\n", (unsigned long long)c->sent_bytes,
		    c->path);
		fflush(stdout);
	}
	close(c->fd);
	c->fd = -1;
}

/* Selects the answer by the path of the request. */
static void
begin_answer(struct conn *c)
{
	char id[128];
	const char *target = strchr(c->request, ' ');
	const struct answer_kind *kind = &kinds[0];

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (target != NULL && strstr(target, kinds[i].path) != NULL &&
		    strstr(target, kinds[i].path) < strstr(target, "\r\n"))
			kind = &kinds[i];
	}
	snprintf(c->path, sizeof(c->path), "%s", kind->path);
	raw_http_copy_field(
	    c->request, "Celeryford-Request-Id: ", id, sizeof(id));
	snprintf(c->head, sizeof(c->head),
	    OK "Celeryford-Request-Id: %s\r\n"
	       "Celeryford-Response-Signature: x\r\n%s",
	    id, kind->fields != NULL ? kind->fields : "");
	c->repeated = kind->repeated;
	if (kind->repeated == NULL) {
		c->repeated =
		    strcmp(kind->path, "/other/") == 0 ? other : interim;
		c->head[0] = '\0';
	}
	c->unsent = c->head;
	c->answering = true;
}

static void
receive_request(struct conn *c)
{
	ssize_t n = recv(
	    c->fd, c->request + c->len, sizeof(c->request) - 1 - c->len, 0);

	if (n <= 0) {
		close_conn(c);
		return;
	}
	c->len += (size_t)n;
	c->request[c->len] = '\0';
	if (!c->answering && strstr(c->request, "\r\n\r\n") != NULL)
		begin_answer(c);
	if (c->len == sizeof(c->request) - 1)
		c->len = 0;
}

/* Sends as much as the socket accepts, at most one block of 16 KiB. */
static void
send_answer(struct conn *c)
{
	char block[16384];
	size_t len = 0;

	if (*c->unsent != '\0' && !c->repeating) {
		len = strlen(c->unsent);
		memcpy(block, c->unsent, len);
	} else {
		size_t one = strlen(c->repeated);

		/* After a partial send, resume within the repeated text. */
		c->repeating = true;
		if (c->unsent < c->repeated || c->unsent >= c->repeated + one)
			c->unsent = c->repeated;
		while (len + one < sizeof(block)) {
			size_t skip =
			    len == 0 ? (size_t)(c->unsent - c->repeated) : 0;

			memcpy(block + len, c->repeated + skip, one - skip);
			len += one - skip;
		}
	}
	ssize_t n = send(c->fd, block, len, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN) {
		close_conn(c);
		return;
	}
	if (n <= 0)
		return;
	c->sent_bytes += (uint64_t)n;
	if (!c->repeating)
		c->unsent += n;
	else
		c->unsent = c->repeated +
			    ((size_t)(c->unsent - c->repeated) + (size_t)n) %
				strlen(c->repeated);
}

static void
accept_conn(int listener)
{
	int fd = accept(listener, NULL, NULL);

	if (fd < 0)
		return;
	for (int i = 0; i < CONNS_MAX; i++) {
		if (conns[i].fd >= 0)
			continue;
		fcntl(fd, F_SETFL, O_NONBLOCK);
		memset(&conns[i], 0, sizeof(conns[i]));
		conns[i].fd = fd;
		return;
	}
	close(fd);
}

static int
poll_conns(int listener)
{
	static struct pollfd polled[CONNS_MAX + 1];

	for (;;) {
		polled[CONNS_MAX] = (struct pollfd){listener, POLLIN, 0};
		for (int i = 0; i < CONNS_MAX; i++)
			polled[i] = (struct pollfd){conns[i].fd,
			    conns[i].answering ? POLLIN | POLLOUT : POLLIN, 0};
		if (poll(polled, CONNS_MAX + 1, -1) < 0)
			return 1;
		if (polled[CONNS_MAX].revents != 0)
			accept_conn(listener);
		for (int i = 0; i < CONNS_MAX; i++) {
			if (polled[i].fd < 0 || polled[i].revents == 0)
				continue;
			if (polled[i].revents & (POLLIN | POLLHUP | POLLERR))
				receive_request(&conns[i]);
			if (conns[i].fd >= 0 && conns[i].answering &&
			    (polled[i].revents & POLLOUT))
				send_answer(&conns[i]);
		}
	}
}

int
main(int argc, char **argv)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	if (argc < 2) {
		fprintf(stderr, "usage: cf-fake-raw PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	for (int i = 0; i < CONNS_MAX; i++)
		conns[i].fd = -1;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)atoi(argv[1]));
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(listener, CONNS_MAX) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &len) != 0) {
		fprintf(stderr, "cf-fake-raw: the address is taken\n");
		return 1;
	}
	printf("serves 127.0.0.1:%u\n", ntohs(address.sin_port));
	fflush(stdout);
	return poll_conns(listener);
}
