#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "raw_http.h"

/*
 * cf-fake-closing: a backend server whose answers have neither a length nor
 * chunks and end with their connection, for process tests.  It serves one
 * request at a time.  The path of the request selects the answer:
 *
 *	/events/...	events 1 to 3 of a stream; after Last-Event-Id the rest
 *	/bytes/...	a plain body
 *	/chunked/...	event 1 in a chunk, then the connection ends; after
 *			Last-Event-Id the status in the path (/chunked/404/)
 *			with a text, in full, or an answer of the kinds table
 *	/inside/...	event 1 and a part of event 2 in chunks with the last
 *			one; after Last-Event-Id the rest
 *	/repeat/...	503, not run, to the first request with an id; one with
 *			the same id on the same connection gets that refusal
 *			once more, and then the answer
 *
 * With "/status/NNN/" in the path, the first two kinds remove the file CRASH if
 * it exists, and answer with that status and a body of 2 bytes; the connection
 * stays open.
 *
 * While the file CRASH exists, the first two kinds remove it, and the process
 * ends at the point that the path selects, which closes all connections and the
 * listener:
 *
 *	.../at-head/	before the first byte of the body
 *	.../between/	after event 1
 *	.../within/	within event 2, or the plain body
 *
 * With "/slowly" in the path, the connections close LISTENER_DELAY_MS before
 *the listener.  Prints "got ID TARGET" for each request that runs.
 */
enum {
	CONNS_MAX = 256,
	REQUEST_MAX_BYTES = 16384,
	IDS_MAX = 4096,
	ID_BYTES = 64,
	PAUSE_MS = 10, /* between two parts of an answer */
	LISTENER_DELAY_MS = 1,
	NS_PER_MS = 1000000,
	EXIT_CRASHED = 3
};

struct conn {
	int fd; /* -1: unused */
	size_t len;
	char request[REQUEST_MAX_BYTES];
	char refused_id[ID_BYTES]; /* last request refused here */
};

struct request {
	char target[256];
	char id[ID_BYTES];
	bool resumes;
};

#define EVENT_1 "id: 1\ndata: 1\n\n"
#define EVENT_2 "id: 2\ndata: 2\n\n"
#define EVENT_3 "id: 3\ndata: 3\n\n"

static struct conn conns[CONNS_MAX];
static char seen_ids[IDS_MAX][ID_BYTES]; /* of /repeat/, a ring */
static unsigned int seen_count;
static const char *crash_file;

static void
pause_ms(int ms)
{
	const struct timespec wait = {0, (long)ms * NS_PER_MS};

	nanosleep(&wait, NULL);
}

static void
send_text(int fd, const char *text)
{
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		perror("cf-fake-closing: send");
}

static void
send_head(int fd, const struct request *r, const char *status, const char *more)
{
	char head[1024];

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\nCeleryford-Request-Id: %s\r\n"
	    "Celeryford-Response-Signature: x\r\n%s\r\n",
	    status, r->id, more);
	send_text(fd, head);
}

static void
close_conn(struct conn *c)
{
	close(c->fd);
	c->fd = -1;
}

/* Ends the process; all connections and the listener close regularly. */
static void
crash(const struct request *r)
{
	printf("crashed %s %s\n", r->id, r->target);
	fflush(stdout);
	if (strstr(r->target, "/slowly") != NULL) {
		for (int i = 0; i < CONNS_MAX; i++) {
			if (conns[i].fd >= 0)
				close(conns[i].fd);
		}
		pause_ms(LISTENER_DELAY_MS);
	}
	_exit(EXIT_CRASHED);
}

static void
send_events(int fd, const struct request *r, bool crashes)
{
	send_head(fd, r, "200 OK", "Content-Type: text/event-stream\r\n");
	pause_ms(PAUSE_MS);
	if (crashes && strstr(r->target, "/at-head") != NULL)
		crash(r);
	if (!r->resumes)
		send_text(fd, EVENT_1);
	pause_ms(PAUSE_MS);
	if (crashes && strstr(r->target, "/within") != NULL)
		send_text(fd, "id: 2\nda");
	if (crashes)
		crash(r);
	send_text(fd, EVENT_2 EVENT_3);
}

static void
send_bytes(int fd, const struct request *r, bool crashes)
{
	send_head(
	    fd, r, "200 OK", "Content-Type: application/octet-stream\r\n");
	pause_ms(PAUSE_MS);
	if (crashes && strstr(r->target, "/at-head") != NULL)
		crash(r);
	send_text(fd, "01234");
	pause_ms(PAUSE_MS);
	if (crashes)
		crash(r);
	send_text(fd, "56789");
}

/* What may follow after Last-Event-Id: 1 in place of events 2 and 3. */
static const struct {
	const char *path;
	const char *type; /* NULL: none is named */
	const char *body;
} kinds[] = {
    {"/chunked/again/", "text/event-stream", EVENT_1 EVENT_2 EVENT_3},
    {"/chunked/plain/", "application/octet-stream", EVENT_2 EVENT_3},
    {"/chunked/untyped/", NULL, EVENT_2 EVENT_3},
    {"/chunked/unnumbered/", "text/event-stream", "data: 2\n\n"},
    {"/chunked/back/", "text/event-stream", EVENT_2 EVENT_1 EVENT_3},
    {"/chunked/gap/", "text/event-stream", EVENT_3},
};

static void
send_rest(int fd, const struct request *r)
{
	char status[16] = "200 OK";
	const char *type = "text/plain", *body = "error";
	char fields[128];

	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strstr(r->target, kinds[i].path) != NULL) {
			type = kinds[i].type;
			body = kinds[i].body;
		}
	}
	if (strcmp(body, "error") == 0)
		snprintf(status, sizeof(status), "%.3s Error",
		    strstr(r->target, "/chunked/") + strlen("/chunked/"));
	snprintf(fields, sizeof(fields), "%s%s%sContent-Length: %zu\r\n",
	    type != NULL ? "Content-Type: " : "", type != NULL ? type : "",
	    type != NULL ? "\r\n" : "", strlen(body));
	send_head(fd, r, status, fields);
	send_text(fd, body);
}

#define CHUNKED_STREAM \
	"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

static void
send_chunked(int fd, const struct request *r)
{
	if (r->resumes) {
		send_rest(fd, r);
		return;
	}
	send_head(fd, r, "200 OK", CHUNKED_STREAM);
	send_text(fd, "f\r\n" EVENT_1 "\r\n");
}

static void
send_inside(int fd, const struct request *r)
{
	send_head(fd, r, "200 OK", CHUNKED_STREAM);
	send_text(fd, r->resumes ? "1e\r\n" EVENT_2 EVENT_3 "\r\n0\r\n\r\n"
				 : "17\r\n" EVENT_1 "id: 2\nda\r\n0\r\n\r\n");
}

/* Returns whether a request with this id came before, and remembers it. */
static bool
is_known(const char *id)
{
	for (unsigned int i = 0; i < seen_count && i < IDS_MAX; i++) {
		if (strcmp(seen_ids[i], id) == 0)
			return true;
	}
	memcpy(seen_ids[seen_count++ % IDS_MAX], id, ID_BYTES);
	return false;
}

static void
send_status(int fd, const struct request *r)
{
	char status[16];

	snprintf(status, sizeof(status), "%.3s X",
	    strstr(r->target, "/status/") + strlen("/status/"));
	send_head(fd, r, status, "Content-Length: 2\r\n");
	send_text(fd, "ok");
}

#define REFUSAL_FIELDS "Celeryford-Not-Executed: 1\r\nContent-Length: 0\r\n"

static void
send_repeated(struct conn *c, const struct request *r)
{
	if (!is_known(r->id)) {
		memcpy(c->refused_id, r->id, ID_BYTES);
		send_head(c->fd, r, "503 Service Unavailable", REFUSAL_FIELDS);
		return;
	}
	if (strcmp(c->refused_id, r->id) == 0)
		send_head(c->fd, r, "503 Service Unavailable", REFUSAL_FIELDS);
	printf("got %s %s\n", r->id, r->target);
	pause_ms(PAUSE_MS);
	send_head(c->fd, r, "200 OK", "Content-Length: 2\r\n");
	send_text(c->fd, "ok");
}

static void
answer(struct conn *c)
{
	struct request r = {.target = ""};
	bool crashes = false;
	char last[32];

	raw_http_copy_field(c->request, " ", r.target, sizeof(r.target));
	r.target[strcspn(r.target, " ")] = '\0';
	raw_http_copy_field(
	    c->request, "Celeryford-Request-Id: ", r.id, sizeof(r.id));
	raw_http_copy_field(c->request, "Last-Event-Id: ", last, sizeof(last));
	r.resumes = last[0] != '\0';
	c->len = 0;
	if (strstr(r.target, "/repeat/") != NULL) {
		send_repeated(c, &r);
		return;
	}
	printf("got %s %s\n", r.id, r.target);
	if (strstr(r.target, "/status/") != NULL && unlink(crash_file) == 0) {
		send_status(c->fd, &r);
		return;
	}
	if (strstr(r.target, "/at-head") != NULL ||
	    strstr(r.target, "/between") != NULL ||
	    strstr(r.target, "/within") != NULL)
		crashes = unlink(crash_file) == 0;
	if (strstr(r.target, "/events/") != NULL)
		send_events(c->fd, &r, crashes);
	else if (strstr(r.target, "/chunked/") != NULL)
		send_chunked(c->fd, &r);
	else if (strstr(r.target, "/inside/") != NULL)
		send_inside(c->fd, &r);
	else
		send_bytes(c->fd, &r, crashes);
	if (strstr(r.target, "/inside/") == NULL &&
	    (strstr(r.target, "/chunked/") == NULL || !r.resumes))
		close_conn(c);
}

static void
receive(struct conn *c)
{
	ssize_t n = recv(
	    c->fd, c->request + c->len, sizeof(c->request) - 1 - c->len, 0);

	if (n <= 0) {
		close_conn(c);
		return;
	}
	c->len += (size_t)n;
	c->request[c->len] = '\0';
	if (strstr(c->request, "\r\n\r\n") != NULL)
		answer(c);
}

static void
accept_conn(int listener)
{
	int fd = accept(listener, NULL, NULL);

	for (int i = 0; i < CONNS_MAX && fd >= 0; i++) {
		if (conns[i].fd >= 0)
			continue;
		conns[i].fd = fd;
		conns[i].len = 0;
		conns[i].refused_id[0] = '\0';
		return;
	}
	if (fd >= 0)
		close(fd);
}

static int
serve(int listener)
{
	static struct pollfd polled[CONNS_MAX + 1];

	for (;;) {
		polled[CONNS_MAX] = (struct pollfd){listener, POLLIN, 0};
		for (int i = 0; i < CONNS_MAX; i++)
			polled[i] = (struct pollfd){conns[i].fd, POLLIN, 0};
		if (poll(polled, CONNS_MAX + 1, -1) < 0)
			return 1;
		for (int i = 0; i < CONNS_MAX; i++) {
			if (polled[i].fd >= 0 && polled[i].revents != 0)
				receive(&conns[i]);
		}
		if (polled[CONNS_MAX].revents != 0)
			accept_conn(listener);
	}
}

int
main(int argc, char **argv)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;
	char *colon;

	if (argc < 4 || (colon = strrchr(argv[2], ':')) == NULL) {
		fprintf(
		    stderr, "usage: cf-fake-closing ID IP:PORT CRASH-FILE\n");
		return 2;
	}
	*colon = '\0';
	crash_file = argv[3];
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	for (int i = 0; i < CONNS_MAX; i++)
		conns[i].fd = -1;
	address.sin_port = htons((uint16_t)atoi(colon + 1));
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (inet_pton(AF_INET, argv[2], &address.sin_addr) != 1 ||
	    bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(listener, CONNS_MAX) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &len) != 0) {
		perror("cf-fake-closing");
		return 1;
	}
	printf("serves %s:%u\n", argv[2], ntohs(address.sin_port));
	return serve(listener);
}
