#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "raw_http.h"

/*
 * cf-fake-cutting: a backend server that does not finish an answer, for process
 * tests.  Each connection is served by a process of its own.  While the file
 * FAULT exists, the next request with a fault in its text, that is its path or
 * the beginning of its body, removes it and gets that fault; all others get a
 * whole answer of the kind, or bytes.  What is answered:
 *
 *	/bytes/		the beginning of a body without a length
 *	/events/	event 1 of a stream without a length
 *	/chat/		the beginning of a chat completion
 *	/talk/		an event of a streamed one
 *	/length/	a whole body with a length
 *	/chunks/	a whole chunk of a body, without the last one
 *	/status-NNN/	a whole answer with this status
 *
 * How, if not as a few bytes after the request was read:
 *
 *	/packet/	with as many bytes as clients read at once
 *	/early/		after the head of the request; the rest is never read
 *
 * The fault, what the server does next:
 *
 *	/reset/		resets the connection
 *	/close/		closes it
 *	/half/		closes its side, and waits for the client to close
 *	/open/		leaves it open
 *
 * What comes from the address DROPPED is lost, as if no link led there.
 * Segments and the receive buffer are small, so that an upload that is not read
 * stays with the client.  Prints "got ID" for each request.
 */
enum {
	TEXT_MAX_BYTES = 16384,
	PACKET_BYTES = 16384, /* what the clients read at once */
	SEGMENT_BYTES = 536,
	RECEIVE_BYTES = 8192,
	BACKLOG = 64,
	PAUSE_MS = 50, /* the client reads an answer before its end */
	HALF_MS = 20000,
	NS_PER_MS = 1000000
};

#define EVENT_1 "id: 1\ndata: 1\n\n"
#define DELTA(text) \
	"data: {\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"
#define STREAM "Content-Type: text/event-stream\r\n"

/* A kind of answer: what a fault begins it with, and the rest. */
static const struct kind {
	const char *path;
	const char *fields;
	const char *beginning;
	const char *rest;
} kinds[] = {
    {"/events/", STREAM, EVENT_1, "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"},
    {"/chat/", "", "{\"choices\":[{\"message\":{\"content\":\"",
	"ok\"}}],\"usage\":{\"completion_tokens\":1}}"},
    {"/talk/", STREAM, DELTA("o"), DELTA("k") "data: [DONE]\n\n"},
    {"", "", "01234", "56789"}, /* all others */
};

static const char *fault_file;

struct request {
	char text[TEXT_MAX_BYTES];
	size_t len;
	size_t head_bytes; /* 0: the head has not ended */
	size_t body_bytes;
	size_t body_read;
};

static void
pause_ms(int ms)
{
	const struct timespec wait = {0, (long)ms * NS_PER_MS};

	nanosleep(&wait, NULL);
}

/*
 * Reads a part of a request; of its body only the beginning is kept.  Returns
 * false at the end of the input.
 */
static bool
read_some(int fd, struct request *r)
{
	char dropped[TEXT_MAX_BYTES];
	size_t room = sizeof(r->text) - 1 - r->len;
	ssize_t n = room > 0 ? recv(fd, r->text + r->len, room, 0)
			     : recv(fd, dropped, sizeof(dropped), 0);
	const char *end;
	char field[32];

	if (n <= 0)
		return false;
	if (r->head_bytes > 0)
		r->body_read += (size_t)n;
	if (room == 0)
		return true;
	r->len += (size_t)n;
	r->text[r->len] = '\0';
	end = strstr(r->text, "\r\n\r\n");
	if (r->head_bytes > 0 || end == NULL)
		return true;
	r->head_bytes = (size_t)(end - r->text) + strlen("\r\n\r\n");
	r->body_read = r->len - r->head_bytes;
	raw_http_copy_field(r->text, "Content-Length: ", field, sizeof(field));
	r->body_bytes = (size_t)strtoul(field, NULL, 10);
	return true;
}

static bool
says(const struct request *r, const char *what)
{
	return strstr(r->text, what) != NULL;
}

static void
send_text(int fd, const char *text)
{
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		perror("cf-fake-cutting: send");
}

/*
 * Writes the head of an answer, which echoes what names the request.  Returns
 * its length.
 */
static size_t
write_head(const struct request *r, const char *status, const char *fields,
    char *out, size_t size)
{
	char id[128], number[128];

	raw_http_copy_field(r->text, "Celeryford-Request-Id: ", id, sizeof(id));
	raw_http_copy_field(
	    r->text, "Celeryford-Request: ", number, sizeof(number));
	return (size_t)snprintf(out, size,
	    "HTTP/1.1 %s\r\nCeleryford-Request-Id: %s\r\n"
	    "Celeryford-Request: %s\r\nCeleryford-Response-Signature: x\r\n"
	    "%s\r\n",
	    status, id, number, fields);
}

static const struct kind *
kind_of(const struct request *r)
{
	const struct kind *kind = kinds;

	while (!says(r, kind->path))
		kind++;
	return kind;
}

static void
send_whole(int fd, const struct request *r, const char *status)
{
	const struct kind *kind = kind_of(r);
	char answer[2048], fields[128];
	size_t len;

	snprintf(fields, sizeof(fields), "%sContent-Length: %zu\r\n",
	    kind->fields, strlen(kind->beginning) + strlen(kind->rest));
	len = write_head(r, status, fields, answer, sizeof(answer));
	snprintf(answer + len, sizeof(answer) - len, "%s%s", kind->beginning,
	    kind->rest);
	send_text(fd, answer);
}

/* Sends an answer that is not whole, or one that the text names. */
static void
send_fault(int fd, const struct request *r)
{
	static char answer[PACKET_BYTES + 1];
	const char *status = strstr(r->text, "/status-");
	const struct kind *kind = kind_of(r);
	const char *body = kind->beginning, *fields = kind->fields;
	char line[16] = "200 OK";
	size_t len;

	if (status != NULL)
		snprintf(
		    line, sizeof(line), "%.3s X", status + strlen("/status-"));
	if (status != NULL || says(r, "/length/")) {
		send_whole(fd, r, line);
		return;
	}
	if (says(r, "/chunks/")) {
		body = "5\r\n01234\r\n";
		fields = "Transfer-Encoding: chunked\r\n";
	}
	len = write_head(r, "200 OK", fields, answer, sizeof(answer));
	memcpy(answer + len, body, strlen(body) + 1);
	len += strlen(body);
	if (says(r, "/packet/")) {
		/* After an event, a comment. */
		memset(answer + len, says(r, "/events/") ? ':' : 'x',
		    PACKET_BYTES - len);
		if (says(r, "/events/"))
			memcpy(answer + PACKET_BYTES - 2, "\n\n", 2);
		answer[PACKET_BYTES] = '\0';
	}
	send_text(fd, answer);
}

static void
wait_for_client(int fd)
{
	/* What is unread must not be read: only the end is awaited. */
	struct pollfd p = {fd, POLLRDHUP, 0};

	(void)poll(&p, 1, HALF_MS);
}

/* Ends a faulty answer.  Returns whether the connection goes on. */
static bool
end_fault(int fd, const struct request *r)
{
	const struct linger abort = {1, 0};

	if (says(r, "/open/"))
		return true;
	pause_ms(PAUSE_MS);
	if (says(r, "/reset/"))
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
	if (says(r, "/half/")) {
		shutdown(fd, SHUT_WR);
		wait_for_client(fd);
	}
	close(fd);
	return false;
}

static bool
has_fault(const struct request *r)
{
	return (says(r, "/reset/") || says(r, "/close/") || says(r, "/half/") ||
		   says(r, "/open/")) &&
	       unlink(fault_file) == 0;
}

static void
print_request(const struct request *r)
{
	char id[128];

	raw_http_copy_field(r->text, "Celeryford-Request-Id: ", id, sizeof(id));
	printf("got %s\n", id);
	fflush(stdout);
}

/* Serves a connection until it ends. */
static void
serve(int fd)
{
	static struct request r;

	while (read_some(fd, &r)) {
		if (r.head_bytes > 0 && says(&r, "/early/") && has_fault(&r)) {
			print_request(&r);
			send_fault(fd, &r);
			if (!end_fault(fd, &r))
				return;
			wait_for_client(fd);
			return;
		}
		if (r.head_bytes == 0 || r.body_read < r.body_bytes)
			continue;
		print_request(&r);
		if (has_fault(&r)) {
			send_fault(fd, &r);
			if (!end_fault(fd, &r))
				return;
		} else {
			send_whole(fd, &r, "200 OK");
		}
		memset(&r, 0, sizeof(r));
	}
}

/* Has the listener drop what comes from an address. */
static void
drop_from(int listener, struct in_addr from)
{
	struct sock_filter code[] = {
	    /* The source address of the IP header */
	    BPF_STMT(BPF_LD | BPF_W | BPF_ABS, (uint32_t)SKF_NET_OFF + 12),
	    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ntohl(from.s_addr), 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	const struct sock_fprog program = {
	    sizeof(code) / sizeof(code[0]), code};

	if (setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)) != 0) {
		perror("cf-fake-cutting: SO_ATTACH_FILTER");
		exit(1);
	}
}

/* Returns a listener on loopback, or ends the process. */
static int
listen_on_loopback(const char *dropped)
{
	const int one = 1, segment = SEGMENT_BYTES, receive = RECEIVE_BYTES;
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	struct in_addr from;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive));
	if (dropped != NULL && inet_pton(AF_INET, dropped, &from) == 1)
		drop_from(fd, from);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0) {
		perror("cf-fake-cutting");
		exit(1);
	}
	printf("serves 127.0.0.1:%u\n", ntohs(address.sin_port));
	fflush(stdout);
	return fd;
}

int
main(int argc, char **argv)
{
	int listener;

	if (argc < 2) {
		fprintf(stderr, "usage: cf-fake-cutting FAULT [DROPPED]\n");
		return 2;
	}
	fault_file = argv[1];
	signal(SIGCHLD, SIG_IGN);
	listener = listen_on_loopback(argc > 2 ? argv[2] : NULL);
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			continue;
		if (fork() == 0) {
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			close(listener);
			serve(fd);
			_exit(0);
		}
		close(fd);
	}
}
