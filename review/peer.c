/*
 * Stand-in for the scripts of this folder: a backend server that announces
 * itself, and a caller or operator that sends one request as it is given.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	HEAD_MAX_BYTES = 64 * 1024,
	CHUNK_BYTES = 64 * 1024,
	TEXT_BYTES = 512,
	ANNOUNCE_MS = 1200,
	CALL_WAIT_MS = 30000,
	RECEIVE_BUFFER_BYTES = 64 * 1024,
	SEGMENT_BYTES = 1400 /* as on an Ethernet link, not loopback's 64 KB */
};

struct server {
	const char *id;
	const char *service;
	const char *controls; /* IP:PORT separated by commas */
	const char *record;
	char address[TEXT_BYTES];
	long body_bytes;
	long work_ms;
	long stream_events;
	long gap_ms;
	long garbage_at; /* this answer is garbage, counted from 1; 0: none */
	long answers;
	int64_t born_ms;
};

struct job {
	struct server *server;
	int fd;
};

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static const char *record_path;

static int64_t
clock_ms(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms(long ms)
{
	struct timespec span = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&span, NULL);
}

/* Appends a line with the time of day to the record. */
static void
record(const char *format, ...)
{
	va_list args;
	FILE *file;

	pthread_mutex_lock(&record_lock);
	file = fopen(record_path, "ae");
	if (file != NULL) {
		fprintf(file, "%lld ",
		    (long long)clock_ms(CLOCK_REALTIME) % 1000000);
		va_start(args, format);
		vfprintf(file, format, args);
		va_end(args);
		fputc('\n', file);
		fclose(file);
	}
	pthread_mutex_unlock(&record_lock);
}

/* Parses "IP:PORT". */
static struct sockaddr_in
parse_address(const char *text)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	char host[64];
	const char *colon = strchr(text, ':');
	size_t len = colon != NULL ? (size_t)(colon - text) : 0;

	if (len == 0 || len >= sizeof(host)) {
		fprintf(stderr, "peer: not an address: %s\n", text);
		exit(2);
	}
	memcpy(host, text, len);
	host[len] = '\0';
	inet_pton(AF_INET, host, &address.sin_addr);
	address.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return address;
}

static int
connect_to(const char *text)
{
	struct sockaddr_in address = parse_address(text);
	int size = RECEIVE_BUFFER_BYTES, segment = SEGMENT_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool
send_all(int fd, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Waits for input; returns what recv() returns, and -1 after the time. */
static ssize_t
receive(int fd, char *out, size_t size, int64_t until_ms)
{
	struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
	int64_t left_ms = until_ms - clock_ms(CLOCK_MONOTONIC);

	if (left_ms <= 0 || poll(&poll_fd, 1, (int)left_ms) <= 0) {
		errno = ETIMEDOUT;
		return -1;
	}
	return recv(fd, out, size, 0);
}

/* Copies the value of a header field; an empty text if there is none. */
static void
field_of(const char *head, const char *name, char out[TEXT_BYTES])
{
	size_t len = strlen(name);

	out[0] = '\0';
	for (const char *line = strstr(head, "\r\n"); line != NULL;
	     line = strstr(line + 2, "\r\n")) {
		const char *value = line + 2 + len;

		if (strncasecmp(line + 2, name, len) != 0 || *value != ':')
			continue;
		value += 1 + strspn(value + 1, " ");
		snprintf(
		    out, TEXT_BYTES, "%.*s", (int)strcspn(value, "\r"), value);
		return;
	}
}

/*
 * Reads a head into out, which is ended by a NUL.  Returns the bytes of the
 * body that came with it, moved behind the head, or -1.
 */
static ssize_t
read_head(int fd, char out[HEAD_MAX_BYTES], size_t *head_len, int64_t until_ms)
{
	size_t len = 0;
	const char *end;

	out[0] = '\0';
	while ((end = strstr(out, "\r\n\r\n")) == NULL) {
		ssize_t n =
		    receive(fd, out + len, HEAD_MAX_BYTES - 1 - len, until_ms);

		if (n <= 0)
			return -1;
		len += (size_t)n;
		out[len] = '\0';
	}
	*head_len = (size_t)(end + 4 - out);
	return (ssize_t)(len - *head_len);
}

static bool
discard_body(int fd, long len)
{
	char bytes[CHUNK_BYTES];

	while (len > 0) {
		ssize_t n = receive(fd, bytes,
		    len < CHUNK_BYTES ? (size_t)len : sizeof(bytes),
		    clock_ms(CLOCK_MONOTONIC) + CALL_WAIT_MS);

		if (n <= 0)
			return false;
		len -= n;
	}
	return true;
}

static bool
answer_stream(const struct server *s, int fd, const char *id)
{
	char text[TEXT_BYTES * 2], event[TEXT_BYTES];
	int len;

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Celeryford-Request-Id: %s\r\nCeleryford-Response-Signature: %s\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, s->id);
	if (!send_all(fd, text, strlen(text)))
		return false;
	for (long i = 1; i <= s->stream_events; i++) {
		sleep_ms(s->gap_ms);
		len = snprintf(event, sizeof(event),
		    "id: %ld\ndata: piece %ld of %s\n\n", i, i, id);
		snprintf(text, sizeof(text), "%x\r\n%s\r\n", len, event);
		if (!send_all(fd, text, strlen(text)))
			return false;
	}
	return send_all(fd, "0\r\n\r\n", 5);
}

/*
 * Begins a stream and sends bytes that are no event, without an end, in chunks
 * of one byte.
 */
static bool
answer_garbage(const struct server *s, int fd, const char *id)
{
	static const char chunk[] = "1\r\nx\r\n";
	char text[TEXT_BYTES * 2], bytes[6 * 2730];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "Celeryford-Request-Id: %s\r\nCeleryford-Response-Signature: %s\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    id, s->id);
	record("server %s sends bytes that are no answer, id=%s", s->id, id);
	if (!send_all(fd, text, strlen(text)))
		return false;
	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = chunk[i % (sizeof(chunk) - 1)];
	while (send_all(fd, bytes, sizeof(bytes)))
		;
	return false;
}

static bool
answer_plain(const struct server *s, int fd, const char *id)
{
	char text[TEXT_BYTES * 2], *body;
	bool sent;

	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	    "Celeryford-Request-Id: %s\r\nCeleryford-Response-Signature: %s\r\n"
	    "Content-Length: %ld\r\n\r\n",
	    id, s->id, s->body_bytes);
	body = malloc((size_t)s->body_bytes + 1);
	if (body == NULL)
		return false;
	memset(body, 'b', (size_t)s->body_bytes);
	sent = send_all(fd, text, strlen(text)) &&
	       send_all(fd, body, (size_t)s->body_bytes);
	free(body);
	return sent;
}

/* Serves one request; returns whether the connection goes on. */
static bool
serve_request(struct server *s, int fd, char head[HEAD_MAX_BYTES])
{
	char id[TEXT_BYTES], target[TEXT_BYTES], text[TEXT_BYTES];
	char model[TEXT_BYTES];
	size_t head_len;
	ssize_t extra = read_head(
	    fd, head, &head_len, clock_ms(CLOCK_MONOTONIC) + CALL_WAIT_MS);
	long nth;
	bool sent;

	if (extra < 0)
		return false;
	head[head_len] = '\0';
	field_of(head, "Content-Length", text);
	if (!discard_body(fd, strtol(text, NULL, 10) - extra))
		return false;
	field_of(head, "Celeryford-Request-Id", id);
	field_of(head, "Celeryford-Target-Instance", target);
	field_of(head, "Celeryford-Model", model);
	if (target[0] != '\0' && strcmp(target, s->id) != 0) {
		snprintf(text, sizeof(text),
		    "HTTP/1.1 421 Misdirected Request\r\n"
		    "Celeryford-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
		return send_all(fd, text, strlen(text));
	}
	record("server %s runs id=%s %.*s model=%s", s->id, id,
	    (int)strcspn(head, "\r"), head, model);
	sleep_ms(s->work_ms);
	pthread_mutex_lock(&record_lock);
	nth = ++s->answers;
	pthread_mutex_unlock(&record_lock);
	if (nth == s->garbage_at)
		sent = answer_garbage(s, fd, id);
	else
		sent = s->stream_events > 0 ? answer_stream(s, fd, id)
					    : answer_plain(s, fd, id);
	record("server %s ends id=%s whole=%d", s->id, id, sent);
	return sent;
}

static void *
serve_connection(void *ctx)
{
	struct job job = *(struct job *)ctx;
	char *head = malloc(HEAD_MAX_BYTES);

	free(ctx);
	while (head != NULL && serve_request(job.server, job.fd, head))
		;
	free(head);
	close(job.fd);
	return NULL;
}

/* Sends one announcement; returns whether it was acknowledged. */
static bool
announce_at(const struct server *s, const char *control, long seq)
{
	char body[TEXT_BYTES * 2], text[TEXT_BYTES * 4], head[HEAD_MAX_BYTES];
	size_t head_len;
	bool acknowledged;
	int fd = connect_to(control);

	if (fd < 0)
		return false;
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"suape\","
	    "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"seq\":%ld,\"born\":%lld}",
	    s->service, s->address, seq, (long long)s->born_ms);
	snprintf(text, sizeof(text),
	    "PUT /api/instances/%s HTTP/1.1\r\nHost: %s\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n"
	    "Connection: close\r\n\r\n%s",
	    s->id, control, strlen(body), body);
	acknowledged = send_all(fd, text, strlen(text)) &&
		       read_head(fd, head, &head_len,
			   clock_ms(CLOCK_MONOTONIC) + 1000) >= 0 &&
		       strncmp(head, "HTTP/1.1 2", 10) == 0;
	close(fd);
	return acknowledged;
}

/* Announces to the control instances in turn until one acknowledges it. */
static void
announce_once(const struct server *s, long seq)
{
	char list[TEXT_BYTES], *rest = list, *control;

	snprintf(list, sizeof(list), "%s", s->controls);
	while ((control = strsep(&rest, ",")) != NULL &&
	       !announce_at(s, control, seq))
		;
}

static void *
announce(void *ctx)
{
	long seq = 0;

	for (;;) {
		announce_once(ctx, ++seq);
		sleep_ms(ANNOUNCE_MS);
	}
	return NULL;
}

static long
option(int argc, char **argv, const char *name, long absent)
{
	size_t len = strlen(name);

	for (int i = 0; i < argc; i++) {
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return strtol(argv[i] + len + 1, NULL, 10);
	}
	return absent;
}

/* peer server IP:PORT ID SERVICE CONTROLS RECORD [NAME=VALUE...] */
static int
run_server(int argc, char **argv)
{
	struct server s = {.id = argv[1],
	    .service = argv[2],
	    .controls = argv[3],
	    .record = argv[4],
	    .body_bytes = option(argc, argv, "body", 800),
	    .work_ms = option(argc, argv, "work", 15),
	    .stream_events = option(argc, argv, "events", 0),
	    .gap_ms = option(argc, argv, "gap", 10),
	    .garbage_at = option(argc, argv, "garbage", 0),
	    .born_ms = clock_ms(CLOCK_REALTIME)};
	struct sockaddr_in address = parse_address(argv[0]);
	int one = 1, listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	pthread_t thread;

	record_path = s.record;
	snprintf(s.address, sizeof(s.address), "%s", argv[0]);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(listener, 128) != 0) {
		perror("peer: listen");
		return 2;
	}
	pthread_create(&thread, NULL, announce, &s);
	for (;;) {
		struct job *job;
		int fd = accept(listener, NULL, NULL);

		job = fd >= 0 ? malloc(sizeof(*job)) : NULL;
		if (job == NULL)
			continue;
		*job = (struct job){&s, fd};
		if (pthread_create(&thread, NULL, serve_connection, job) == 0)
			pthread_detach(thread);
	}
}

/* Reads the body of an answer at a rate; returns the bytes received. */
static long
read_body(int fd, long have, long expected, long rate, const char *name)
{
	char *bytes = malloc(CHUNK_BYTES);
	int64_t begin_ms = clock_ms(CLOCK_MONOTONIC);
	long got = have;

	while (bytes != NULL && (expected < 0 || got < expected)) {
		ssize_t n = receive(fd, bytes, rate > 0 ? 8192 : CHUNK_BYTES,
		    clock_ms(CLOCK_MONOTONIC) + CALL_WAIT_MS);

		if (n <= 0) {
			record("client %s connection %s", name,
			    n == 0 ? "closed" : strerror(errno));
			break;
		}
		got += n;
		while (
		    rate > 0 &&
		    (clock_ms(CLOCK_MONOTONIC) - begin_ms) * rate / 1000 < got)
			sleep_ms(2);
	}
	free(bytes);
	return got;
}

/*
 * peer call IP:PORT NAME RECORD [rate=BYTES] [wait=MS]: sends the standard
 * input and prints the status, the length of the answer's body and how much of
 * it came.
 */
static int
run_call(int argc, char **argv)
{
	static char request[CHUNK_BYTES * 64];
	char *head = malloc(HEAD_MAX_BYTES), text[TEXT_BYTES], id[TEXT_BYTES];
	size_t len = fread(request, 1, sizeof(request), stdin), head_len = 0;
	int fd = connect_to(argv[0]);
	ssize_t extra;
	long expected, got;

	record_path = argv[2];
	if (head == NULL || fd < 0 || !send_all(fd, request, len)) {
		printf("status=0\n");
		free(head);
		return 0;
	}
	record("client %s sent %.*s (%zu bytes)", argv[1],
	    (int)strcspn(request, "\r"), request, len);
	extra = read_head(fd, head, &head_len,
	    clock_ms(CLOCK_MONOTONIC) +
		option(argc, argv, "wait", CALL_WAIT_MS));
	if (extra < 0) {
		record("client %s got no answer", argv[1]);
		printf("status=0\n");
		free(head);
		return 0;
	}
	if (option(argc, argv, "show", 0) != 0)
		fwrite(head + head_len, 1, (size_t)extra, stdout);
	head[head_len] = '\0';
	field_of(head, "Content-Length", text);
	field_of(head, "Celeryford-Request-Id", id);
	expected = text[0] != '\0' ? strtol(text, NULL, 10) : -1;
	got = read_body(
	    fd, (long)extra, expected, option(argc, argv, "rate", 0), argv[1]);
	record("client %s got %.12s id=%s length=%ld received=%ld", argv[1],
	    head, id, expected, got);
	printf("status=%.3s id=%s length=%ld received=%ld\n", head + 9, id,
	    expected, got);
	free(head);
	close(fd);
	return 0;
}

int
main(int argc, char **argv)
{
	if (argc >= 7 && strcmp(argv[1], "server") == 0)
		return run_server(argc - 2, argv + 2);
	if (argc >= 5 && strcmp(argv[1], "call") == 0)
		return run_call(argc - 2, argv + 2);
	fprintf(stderr, "peer server IP:PORT ID SERVICE CONTROLS RECORD "
			"[NAME=VALUE...]\npeer call IP:PORT NAME RECORD "
			"[rate=BYTES] [wait=MS]\n");
	return 2;
}
