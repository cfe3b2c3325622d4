#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/*
 * Stand-ins for the scripts of this review, each a process of its own:
 *
 *	serve ID IP:PORT	a backend server.  Answers 200 with "ok", the
 *		request's id and a signature; 421 to a request that names
 *		another server.  After SIGUSR1 its answers say that it leaves.
 *		Prints "ran MS REQUEST-ID TENANT TARGET" for each request.
 *		A target below /own/ has content that names the tenant; one
 *		below /unchanged/ gets 304 and one below /empty/ 204, without
 *		a body.  With a third argument it sends its last answer with
 *		content on that channel once more after a 304 or 204.
 *	beat ID IP:PORT SERVICE CONTROL,...	announces that server every
 *		1.2 s, at the next control instance whenever one fails, and
 *		prints "born MS" first.
 *	leave ID BORN CONTROL [PID]	sends the server's farewell and prints
 *		"acknowledged MS STATUS"; with PID, it sends SIGKILL to that
 *		process as soon as the farewell is acknowledged.
 *	call IP:PORT METHOD TARGET [FIELD...]	sends one request with the
 *		header fields and prints "MS STATUS TARGET"; 000: no answer.
 *	pair IP:PORT KEY TARGET ID TARGET ID	a client that sends two
 *		requests on one channel, with a pause between them.  Prints
 *		"answer ID STATUS OF CONTENT" for each, OF being the id in the
 *		answer, and between them "unasked COUNT LINE" for the bytes
 *		that came while no request waited.
 *	order METHOD TARGET FILE CONTROL,...	an operator's call, sent again
 *		until it is acknowledged; prints "acknowledged MS STATUS".
 *	load IP:PORT TARGET KEY CONNECTIONS SECONDS	as many clients, each of
 *		which sends its next request when the last one is answered;
 *		prints "sent COUNT answered COUNT ok COUNT".
 *
 * MS is the time since the machine was started, in milliseconds.
 */
enum {
	CONNECTIONS_MAX = 256,
	CALLER_MAX_BYTES = 8 * 1024,
	REQUEST_MAX_BYTES = 64 * 1024,
	BEAT_MS = 1200,
	CALL_TIMEOUT_MS = 1000, /* of calls to control instances */
	CLIENT_TIMEOUT_MS = 4000,
	ORDER_TRIES_MAX = 100,
	ORDER_PAUSE_MS = 100,
	PAIR_PAUSE_MS = 300, /* of a client between two requests */
	CONTENT_BYTES = 400,
	SHOWN_BYTES = 13, /* of an answer's content */
	REDIRECTS_MAX = 2,
	BACKLOG = 64,
	TEXT_BYTES = 512,
	MS_PER_S = 1000,
	NS_PER_MS = 1000000
};

struct client {
	int fd; /* -1: free */
	size_t len;
	char in[REQUEST_MAX_BYTES];
	char last[4 * TEXT_BYTES]; /* the last answer with content; "": none */
};

static volatile sig_atomic_t is_leaving;
static bool sends_extra;

static int64_t
now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

static void
sleep_ms(int64_t ms)
{
	struct timespec time = {ms / MS_PER_S, ms % MS_PER_S * NS_PER_MS};

	nanosleep(&time, NULL);
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');

	memset(out, 0, sizeof(*out));
	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

/* Copies the value of a header field, "" if there is none. */
static void
get_field(const char *head, const char *name, char out[TEXT_BYTES])
{
	size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	out[0] = '\0';
	while (line != NULL && strncmp(line, "\r\n\r\n", 4) != 0) {
		line += 2;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			const char *value = line + len + 1;

			value += strspn(value, " ");
			snprintf(out, TEXT_BYTES, "%.*s",
			    (int)strcspn(value, "\r\n"), value);
			return;
		}
		line = strstr(line, "\r\n");
	}
}

static void
on_leave(int signal_number)
{
	(void)signal_number;
	is_leaving = 1;
}

/* Answers a request with content that belongs to its tenant. */
static void
answer_with_content(
    struct client *client, const char *request, const char *tenant)
{
	snprintf(client->last, sizeof(client->last),
	    "HTTP/1.1 200 OK\r\nCeleryford-Request-Id: %s\r\n"
	    "Celeryford-Response-Signature: stand\r\n"
	    "Content-Length: %d\r\n\r\ncontent-of-%-*s",
	    request, CONTENT_BYTES, CONTENT_BYTES - 11, tenant);
	(void)send(
	    client->fd, client->last, strlen(client->last), MSG_NOSIGNAL);
}

/*
 * Answers a request that gets no body: with 304, which names the length of what
 * is unchanged, or with 204.  A faulty server sends its last answer on this
 * channel once more; the 204 names its length then.
 */
static void
answer_without_body(
    const struct client *client, const char *request, bool is_unchanged)
{
	const char *extra = sends_extra ? client->last : "";
	char text[8 * TEXT_BYTES], length[TEXT_BYTES];

	length[0] = '\0';
	if (is_unchanged || extra[0] != '\0')
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
		    is_unchanged ? (size_t)CONTENT_BYTES : strlen(extra));
	snprintf(text, sizeof(text),
	    "HTTP/1.1 %s\r\nCeleryford-Request-Id: %s\r\n"
	    "Celeryford-Response-Signature: stand\r\n%s\r\n%s",
	    is_unchanged ? "304 Not Modified" : "204 No Content", request,
	    length, extra);
	(void)send(client->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Answers the request whose head begins the buffer. */
static void
answer(struct client *client, const char *id)
{
	char request[TEXT_BYTES], target_server[TEXT_BYTES], tenant[TEXT_BYTES];
	char text[4 * TEXT_BYTES];
	const char *target = strchr(client->in, ' ');
	bool is_probe, is_mine;

	get_field(client->in, "Celeryford-Request-Id", request);
	get_field(client->in, "Celeryford-Target-Instance", target_server);
	get_field(client->in, "Celeryford-Tenant", tenant);
	target = target != NULL ? target + 1 : "";
	is_probe = strncmp(target, "/health ", 8) == 0;
	is_mine = target_server[0] == '\0' || strcmp(target_server, id) == 0;
	if (!is_probe && is_mine) {
		printf("ran %lld %s %s %.*s\n", (long long)now_ms(),
		    request[0] != '\0' ? request : "-",
		    tenant[0] != '\0' ? tenant : "-", (int)strcspn(target, " "),
		    target);
		fflush(stdout);
		if (strncmp(target, "/unchanged/", 11) == 0 ||
		    strncmp(target, "/empty/", 7) == 0) {
			answer_without_body(client, request, target[1] == 'u');
			return;
		}
		if (strncmp(target, "/own/", 5) == 0) {
			answer_with_content(client, request, tenant);
			return;
		}
	}
	snprintf(text, sizeof(text),
	    "HTTP/1.1 %s\r\nCeleryford-Request-Id: %s\r\n"
	    "Celeryford-Instance-Id: %s\r\n%s%sContent-Length: 2\r\n\r\nok",
	    !is_mine		     ? "421 Misdirected Request"
	    : is_probe && is_leaving ? "503 Service Unavailable"
				     : "200 OK",
	    request, id,
	    is_mine && !is_probe ? "Celeryford-Response-Signature: stand\r\n"
				 : "Celeryford-Not-Executed: 1\r\n",
	    is_leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "");
	(void)send(client->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Answers all whole requests in the buffer.  Returns false to close. */
static bool
answer_requests(struct client *client, const char *id)
{
	char *end;

	client->in[client->len] = '\0';
	while ((end = strstr(client->in, "\r\n\r\n")) != NULL) {
		char length[TEXT_BYTES];
		size_t size;

		get_field(client->in, "Content-Length", length);
		size =
		    (size_t)(end + 4 - client->in) + strtoul(length, NULL, 10);
		if (size > client->len)
			return size < sizeof(client->in);
		answer(client, id);
		client->len -= size;
		memmove(client->in, client->in + size, client->len + 1);
		if (is_leaving)
			return false;
	}
	return client->len + 1 < sizeof(client->in);
}

static void
accept_client(int listener, struct client *clients)
{
	int fd = accept(listener, NULL, NULL);

	for (int i = 0; fd >= 0 && i < CONNECTIONS_MAX; i++) {
		if (clients[i].fd >= 0)
			continue;
		clients[i].fd = fd;
		clients[i].len = 0;
		clients[i].last[0] = '\0';
		return;
	}
	if (fd >= 0)
		close(fd);
}

static void
read_client(struct client *client, const char *id)
{
	ssize_t n = recv(client->fd, client->in + client->len,
	    sizeof(client->in) - client->len - 1, 0);

	if (n > 0) {
		client->len += (size_t)n;
		if (answer_requests(client, id))
			return;
	} else if (n < 0 && errno == EINTR) {
		return;
	}
	close(client->fd);
	client->fd = -1;
}

static int
serve(const char *id, const char *address)
{
	static struct client clients[CONNECTIONS_MAX];
	static struct pollfd fds[CONNECTIONS_MAX + 1];
	struct sockaddr_in own;
	int listener = socket(AF_INET, SOCK_STREAM, 0), one = 1;

	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!parse_address(address, &own) ||
	    bind(listener, (struct sockaddr *)&own, sizeof(own)) != 0 ||
	    listen(listener, BACKLOG) != 0)
		return 2;
	signal(SIGUSR1, on_leave);
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		clients[i].fd = -1;
	printf("serves %s\n", address);
	fflush(stdout);
	for (;;) {
		fds[CONNECTIONS_MAX] = (struct pollfd){listener, POLLIN, 0};
		for (int i = 0; i < CONNECTIONS_MAX; i++)
			fds[i] = (struct pollfd){clients[i].fd, POLLIN, 0};
		if (poll(fds, CONNECTIONS_MAX + 1, -1) < 0)
			continue;
		for (int i = 0; i < CONNECTIONS_MAX; i++) {
			if (fds[i].fd >= 0 && fds[i].revents != 0)
				read_client(&clients[i], id);
		}
		if (fds[CONNECTIONS_MAX].revents != 0)
			accept_client(listener, clients);
	}
}

/*
 * Sends a request on a connection of its own and reads the head of the answer.
 * Returns its status, or 0 without one.
 */
static int
exchange(const char *address, const char *request, int timeout_ms,
    char location[TEXT_BYTES])
{
	static char in[REQUEST_MAX_BYTES];
	struct timeval limit = {
	    timeout_ms / MS_PER_S, timeout_ms % MS_PER_S * MS_PER_S};
	struct sockaddr_in to;
	size_t len = 0, sent = 0, size = strlen(request);
	int fd = socket(AF_INET, SOCK_STREAM, 0), status = 0;
	ssize_t n = 0;

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (!parse_address(address, &to) ||
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0)
		size = 0;
	while (sent < size &&
	       (n = send(fd, request + sent, size - sent, MSG_NOSIGNAL)) > 0)
		sent += (size_t)n;
	in[0] = '\0';
	while (size > 0 && sent == size && strstr(in, "\r\n\r\n") == NULL &&
	       len + 1 < sizeof(in) &&
	       (n = recv(fd, in + len, sizeof(in) - len - 1, 0)) > 0) {
		len += (size_t)n;
		in[len] = '\0';
	}
	close(fd);
	if (strstr(in, "\r\n\r\n") != NULL && strncmp(in, "HTTP/1.", 7) == 0)
		status = (int)strtol(in + strcspn(in, " "), NULL, 10);
	if (location != NULL)
		get_field(in, "Location", location);
	return status;
}

/* Formats a call with a JSON body. */
static char *
make_call(const char *method, const char *target, const char *body)
{
	size_t size = strlen(body) + 2 * TEXT_BYTES;
	char *text = malloc(size);

	if (text == NULL)
		abort();
	snprintf(text, size,
	    "%s %s HTTP/1.1\r\nHost: control\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
	    method, target, strlen(body), body);
	return text;
}

/* Sends a call to a control instance and follows its redirects. */
static int
call_control(const char *address, const char *method, const char *target,
    const char *body)
{
	char *request = make_call(method, target, body);
	char location[TEXT_BYTES], at[TEXT_BYTES];
	int status = 0;

	snprintf(at, sizeof(at), "%s", address);
	for (int i = 0; i <= REDIRECTS_MAX; i++) {
		status = exchange(at, request, CALL_TIMEOUT_MS, location);
		if (status != 307 || strncmp(location, "http://", 7) != 0)
			break;
		snprintf(at, sizeof(at), "%.*s",
		    (int)strcspn(location + 7, "/"), location + 7);
	}
	free(request);
	return status;
}

/* Copies the item of a list that is separated by commas; counts from 0. */
static bool
list_item(const char *list, int i, char out[TEXT_BYTES])
{
	while (i-- > 0) {
		list += strcspn(list, ",");
		if (*list++ == '\0')
			return false;
	}
	snprintf(out, TEXT_BYTES, "%.*s", (int)strcspn(list, ","), list);
	return out[0] != '\0';
}

static void
beat(const char *id, const char *address, const char *service,
    const char *controls)
{
	struct timespec now;
	char body[2 * TEXT_BYTES], target[TEXT_BYTES], at[TEXT_BYTES];
	long long born;
	int next = 0;

	clock_gettime(CLOCK_REALTIME, &now);
	born = (long long)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
	printf("born %lld\n", born);
	fflush(stdout);
	snprintf(target, sizeof(target), "/api/instances/%s", id);
	for (int seq = 1;; seq++) {
		snprintf(body, sizeof(body),
		    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"a\","
		    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		    "\"cold_left_ms\":0,\"seq\":%d,\"born\":%lld}",
		    service, address, seq, born);
		if (!list_item(controls, next, at)) {
			next = 0;
			(void)list_item(controls, next, at);
		}
		if (call_control(at, "PUT", target, body) / 100 != 2) {
			next++;
			sleep_ms(ORDER_PAUSE_MS);
			continue;
		}
		sleep_ms(BEAT_MS);
	}
}

static int
leave(const char *id, const char *born, const char *control, const char *pid)
{
	char body[TEXT_BYTES], target[TEXT_BYTES];
	int status;

	snprintf(target, sizeof(target), "/api/instances/%s", id);
	snprintf(body, sizeof(body), "{\"seq\":1000000,\"born\":%s}", born);
	status = call_control(control, "DELETE", target, body);
	if (status / 100 == 2 && pid != NULL)
		kill((pid_t)strtol(pid, NULL, 10), SIGKILL);
	printf("acknowledged %lld %d\n", (long long)now_ms(), status);
	return status / 100 == 2 ? 0 : 1;
}

static int
call(int argc, char **argv)
{
	char request[8 * TEXT_BYTES];
	size_t len = 0;
	int64_t sent_ms = now_ms();
	int status;

	len += (size_t)snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: h.example\r\n", argv[1], argv[2]);
	for (int i = 3; i < argc && len < sizeof(request); i++)
		len += (size_t)snprintf(
		    request + len, sizeof(request) - len, "%s\r\n", argv[i]);
	if (len + 3 > sizeof(request))
		return 2;
	memcpy(request + len, "\r\n", 3);
	status = exchange(argv[0], request, CLIENT_TIMEOUT_MS, NULL);
	printf("%lld %03d %s\n", (long long)sent_ms, status, argv[2]);
	return 0;
}

/* What a client has read of a channel, and not yet taken as an answer. */
struct channel {
	int fd;
	size_t len;
	char in[REQUEST_MAX_BYTES];
};

/* Reads for so long at most.  Returns false if nothing comes. */
static bool
read_more(struct channel *channel, int timeout_ms)
{
	struct pollfd ready = {channel->fd, POLLIN, 0};
	ssize_t n;

	if (poll(&ready, 1, timeout_ms) <= 0)
		return false;
	n = recv(channel->fd, channel->in + channel->len,
	    sizeof(channel->in) - channel->len - 1, 0);
	if (n <= 0)
		return false;
	channel->len += (size_t)n;
	channel->in[channel->len] = '\0';
	return true;
}

/*
 * Reads the next answer of a channel.  One with 204 or 304 ends with its head,
 * whatever that says (RFC 9112, 6.3); another one has a length here.
 */
static void
read_answer(struct channel *channel, const char *id)
{
	char length[TEXT_BYTES], of[TEXT_BYTES];
	size_t size = 0, body;
	const char *end;
	int status;

	while ((end = strstr(channel->in, "\r\n\r\n")) == NULL) {
		if (!read_more(channel, CLIENT_TIMEOUT_MS)) {
			printf("answer %s 000 -\n", id);
			return;
		}
	}
	status = (int)strtol(channel->in + strcspn(channel->in, " "), NULL, 10);
	get_field(channel->in, "Content-Length", length);
	get_field(channel->in, "Celeryford-Request-Id", of);
	size = (size_t)(end + 4 - channel->in);
	if (status != 204 && status != 304)
		size += strtoul(length, NULL, 10);
	while (channel->len < size && size < sizeof(channel->in) &&
	       read_more(channel, CLIENT_TIMEOUT_MS))
		;
	size = size < channel->len ? size : channel->len;
	end = strstr(channel->in, "\r\n\r\n") + 4;
	body = size - (size_t)(end - channel->in);
	printf("answer %s %03d %s %.*s\n", id, status, of[0] != '\0' ? of : "-",
	    (int)(body < SHOWN_BYTES ? body : SHOWN_BYTES), end);
	channel->len -= size;
	memmove(channel->in, channel->in + size, channel->len + 1);
}

static void
send_conditional(const struct channel *channel, const char *target,
    const char *id, const char *key)
{
	char text[4 * TEXT_BYTES];

	snprintf(text, sizeof(text),
	    "GET %s HTTP/1.1\r\nHost: h.example\r\n"
	    "Celeryford-Request-Id: %s\r\nCeleryford-Deadline-Ms: 600\r\n"
	    "If-None-Match: \"v1\"\r\nAuthorization: Bearer %s\r\n\r\n",
	    target, id, key);
	(void)send(channel->fd, text, strlen(text), MSG_NOSIGNAL);
}

static int
pair(char **argv)
{
	static struct channel channel;
	struct sockaddr_in to;

	channel.fd = socket(AF_INET, SOCK_STREAM, 0);
	if (!parse_address(argv[0], &to) ||
	    connect(channel.fd, (struct sockaddr *)&to, sizeof(to)) != 0)
		return 2;
	send_conditional(&channel, argv[2], argv[3], argv[1]);
	read_answer(&channel, argv[3]);
	while (read_more(&channel, PAIR_PAUSE_MS))
		;
	printf("unasked %zu %.*s\n", channel.len,
	    (int)strcspn(channel.in, "\r\n"), channel.in);
	send_conditional(&channel, argv[4], argv[5], argv[1]);
	read_answer(&channel, argv[5]);
	return 0;
}

static int
order(const char *method, const char *target, const char *path,
    const char *controls)
{
	static char body[REQUEST_MAX_BYTES];
	char at[TEXT_BYTES];
	FILE *file = fopen(path, "re");
	int status = 0, next = 0;

	if (file == NULL)
		return 2;
	body[fread(body, 1, sizeof(body) - 1, file)] = '\0';
	fclose(file);
	for (int i = 0; i < ORDER_TRIES_MAX && status / 100 != 2; i++) {
		if (i > 0)
			sleep_ms(ORDER_PAUSE_MS);
		if (!list_item(controls, next, at)) {
			next = 0;
			(void)list_item(controls, next, at);
		}
		next++;
		status = call_control(at, method, target, body);
	}
	printf("acknowledged %lld %d\n", (long long)now_ms(), status);
	return status / 100 == 2 ? 0 : 1;
}

/* One client of the load: fd, its answer so far, and when it dials again. */
struct caller {
	int fd; /* -1: none */
	size_t len;
	int64_t dial_ms;
	char in[CALLER_MAX_BYTES];
};

struct load {
	struct sockaddr_in to;
	const char *target;
	const char *key;
	long long sent, answered, ok;
};

static void
send_next(struct load *load, struct caller *caller)
{
	char text[2 * TEXT_BYTES];

	snprintf(text, sizeof(text),
	    "GET %s HTTP/1.1\r\nHost: h.example\r\n"
	    "Celeryford-Request-Id: load%012lld\r\n"
	    "Celeryford-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n\r\n",
	    load->target, load->sent++, load->key);
	caller->len = 0;
	(void)send(caller->fd, text, strlen(text), MSG_NOSIGNAL);
}

static void
dial_caller(struct load *load, struct caller *caller)
{
	caller->dial_ms = now_ms() + ORDER_PAUSE_MS;
	caller->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(caller->fd, (struct sockaddr *)&load->to,
		sizeof(load->to)) == 0) {
		send_next(load, caller);
		return;
	}
	close(caller->fd);
	caller->fd = -1;
}

/* Reads of an answer, and sends the next request after a whole one. */
static void
read_caller(struct load *load, struct caller *caller)
{
	char length[TEXT_BYTES], how[TEXT_BYTES];
	const char *end;
	ssize_t n = recv(caller->fd, caller->in + caller->len,
	    sizeof(caller->in) - caller->len - 1, 0);

	if (n <= 0) {
		close(caller->fd);
		caller->fd = -1;
		return;
	}
	caller->len += (size_t)n;
	caller->in[caller->len] = '\0';
	end = strstr(caller->in, "\r\n\r\n");
	if (end == NULL)
		return;
	get_field(caller->in, "Content-Length", length);
	get_field(caller->in, "Connection", how);
	if (caller->len <
	    (size_t)(end + 4 - caller->in) + strtoul(length, NULL, 10))
		return;
	load->answered++;
	load->ok += strncmp(caller->in, "HTTP/1.1 200", 12) == 0;
	if (strcasecmp(how, "close") != 0) {
		send_next(load, caller);
		return;
	}
	close(caller->fd);
	caller->fd = -1;
}

static int
run_load(char **argv)
{
	static struct caller callers[CONNECTIONS_MAX];
	static struct pollfd fds[CONNECTIONS_MAX];
	struct load load = {.target = argv[1], .key = argv[2]};
	long count = strtol(argv[3], NULL, 10);
	int64_t end_ms = now_ms() + strtol(argv[4], NULL, 10) * MS_PER_S;

	if (!parse_address(argv[0], &load.to) || count < 1 ||
	    count > CONNECTIONS_MAX)
		return 2;
	for (long i = 0; i < count; i++)
		callers[i].fd = -1;
	while (now_ms() < end_ms) {
		for (long i = 0; i < count; i++) {
			if (callers[i].fd < 0 && now_ms() >= callers[i].dial_ms)
				dial_caller(&load, &callers[i]);
			fds[i] = (struct pollfd){callers[i].fd, POLLIN, 0};
		}
		if (poll(fds, (nfds_t)count, ORDER_PAUSE_MS) <= 0)
			continue;
		for (long i = 0; i < count; i++) {
			if (fds[i].fd >= 0 && fds[i].revents != 0)
				read_caller(&load, &callers[i]);
		}
	}
	printf("sent %lld answered %lld ok %lld\n", load.sent, load.answered,
	    load.ok);
	return 0;
}

int
main(int argc, char **argv)
{
	if ((argc == 4 || argc == 5) && strcmp(argv[1], "serve") == 0) {
		sends_extra = argc == 5;
		return serve(argv[2], argv[3]);
	}
	if (argc == 8 && strcmp(argv[1], "pair") == 0)
		return pair(argv + 2);
	if (argc == 6 && strcmp(argv[1], "beat") == 0)
		beat(argv[2], argv[3], argv[4], argv[5]);
	if ((argc == 5 || argc == 6) && strcmp(argv[1], "leave") == 0)
		return leave(
		    argv[2], argv[3], argv[4], argc == 6 ? argv[5] : NULL);
	if (argc >= 5 && strcmp(argv[1], "call") == 0)
		return call(argc - 2, argv + 2);
	if (argc == 7 && strcmp(argv[1], "load") == 0)
		return run_load(argv + 2);
	if (argc == 6 && strcmp(argv[1], "order") == 0)
		return order(argv[2], argv[3], argv[4], argv[5]);
	fprintf(stderr, "stand-2: unknown arguments; see stand-2.c\n");
	return 2;
}
