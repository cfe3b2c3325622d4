#include <arpa/inet.h>
#include <netinet/in.h>
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
 * cf-fake-faulty: a backend server that sends some answers twice and does not
 * finish others, for process tests.  Each connection is served by a process of
 * its own.  The path of the request selects the answer:
 *
 *	/copy/...	200 with the path as the body; the answer before it on
 *			the same connection is sent once more first
 *	/drip/...	event 1 of a stream, then one byte of event 2 every
 *			DRIP_MS
 *	/open/...	events 1 to 3 of a stream with neither a length nor
 *			chunks, then the connection ends
 *	/open-cut/...	the same, but it ends within event 2; after
 *			Last-Event-Id the rest
 *
 * Prints "got TARGET" for each request.
 */
enum {
	REQUEST_MAX_BYTES = 16384,
	ANSWER_MAX_BYTES = 1024,
	BACKLOG = 64,
	DRIP_MS = 200,
	NS_PER_MS = 1000000
};

static bool
send_text(int fd, const char *text)
{
	size_t len = strlen(text);

	return send(fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;
}

/* Sends a byte at a time until the client closes the connection. */
static void
drip(int fd)
{
	const struct timespec wait = {0, (long)DRIP_MS * NS_PER_MS};

	while (send_text(fd, "x"))
		nanosleep(&wait, NULL);
}

/* Sends a stream that the end of the connection delimits. */
static void
send_open_stream(int fd, const char *fields, bool resumes, bool cut)
{
	char answer[ANSWER_MAX_BYTES];

	snprintf(answer, sizeof(answer),
	    "HTTP/1.1 200 OK\r\nCeleryford-Response-Signature: x\r\n"
	    "Content-Type: text/event-stream\r\n%s\r\n%s%s",
	    fields, resumes ? "" : "id: 1\ndata: 1\n\n",
	    cut && !resumes ? "id: 2\nda"
			    : "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
	(void)send_text(fd, answer);
	shutdown(fd, SHUT_RDWR);
}

static void
answer(int fd, const char *request, char *last)
{
	char target[128], id[128], field[192] = "";

	raw_http_copy_field(request, " ", target, sizeof(target));
	target[strcspn(target, " ")] = '\0';
	raw_http_copy_field(request, "Celeryford-Request-Id: ", id, sizeof(id));
	if (id[0] != '\0')
		snprintf(
		    field, sizeof(field), "Celeryford-Request-Id: %s\r\n", id);
	printf("got %s\n", target);
	fflush(stdout);
	if (strstr(target, "/drip/") != NULL) {
		snprintf(last, ANSWER_MAX_BYTES,
		    "HTTP/1.1 200 OK\r\nCeleryford-Response-Signature: x\r\n"
		    "Content-Type: text/event-stream\r\n%s\r\n"
		    "id: 1\ndata: 1\n\nid: 2\ndata: ",
		    field);
		if (send_text(fd, last))
			drip(fd);
		return;
	}
	if (strstr(target, "/open") != NULL) {
		send_open_stream(fd, field,
		    strstr(request, "Last-Event-Id: ") != NULL,
		    strstr(target, "/open-cut/") != NULL);
		return;
	}
	(void)send_text(fd, last);
	if (id[0] == '\0') {
		(void)send_text(fd, "HTTP/1.1 400 Bad Request\r\n"
				    "Celeryford-Not-Executed: 1\r\n"
				    "Content-Length: 0\r\n\r\n");
		return;
	}
	snprintf(last, ANSWER_MAX_BYTES,
	    "HTTP/1.1 200 OK\r\nCeleryford-Response-Signature: x\r\n"
	    "Content-Length: %zu\r\n%s\r\n%s",
	    strlen(target), field, target);
	(void)send_text(fd, last);
}

/* Serves a connection, whose requests have no bodies, until it ends. */
static void
serve(int fd)
{
	static char request[REQUEST_MAX_BYTES];
	char last[ANSWER_MAX_BYTES] = "";
	size_t len = 0;
	ssize_t n;

	while (
	    (n = recv(fd, request + len, sizeof(request) - 1 - len, 0)) > 0) {
		len += (size_t)n;
		request[len] = '\0';
		if (strstr(request, "\r\n\r\n") == NULL)
			continue;
		answer(fd, request, last);
		len = 0;
	}
}

int
main(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	signal(SIGCHLD, SIG_IGN);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(listener, BACKLOG) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &len) != 0) {
		perror("cf-fake-faulty");
		return 1;
	}
	printf("serves 127.0.0.1:%u\n", ntohs(address.sin_port));
	fflush(stdout);
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd >= 0 && fork() == 0) {
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			serve(fd);
			_exit(0);
		}
		close(fd);
	}
}
