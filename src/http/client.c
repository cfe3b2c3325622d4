#include "http/client.h"

#include <curl/curl.h>
#include <string.h>
#include <unistd.h>

#include "http/undelivered.h"

enum {
	HTTP_CLIENT_SPARE_HANDLES_MAX = 256,
	HTTP_CLIENT_UNDELIVERED_MAX = 64,
	HTTP_STATUS_FINAL_FIRST = 200,
	HTTP_STATUS_NO_CONTENT = 204,
	HTTP_STATUS_SUCCESS_LAST = 299,
	HTTP_STATUS_LAST = 599
};

enum call_state {
	CALL_NEW,
	CALL_RUNNING,
	CALL_CANCELLED
};

struct http_client_call {
	struct http_client *client;
	CURL *easy;
	struct curl_slist *headers;
	const struct http_client_handler *handler;
	void *ctx;
	enum call_state state;
	int refusal; /* the handler's error that ended the call, or 0 */
	size_t body_bytes; /* of the request */
	bool headers_reported;
	bool pending; /* in client->pending */
	bool in_multi; /* added to the multi handle */
	struct http_client_call *prev;
	struct http_client_call *next;
	struct http_client_call *next_pending;
};

struct http_client {
	struct http_client_options options;
	CURLM *multi;
	struct loop_timer *timer;
	struct loop_timer *flush_timer;
	struct http_client_call *calls;
	/* Calls to be added or removed once no libcurl callback is running. */
	struct http_client_call *pending;
	CURL *spare[HTTP_CLIENT_SPARE_HANDLES_MAX];
	size_t spare_count;
	/*
	 * Nesting depth of libcurl calls; above 0 the multi interface must not
	 * be used.
	 */
	int libcurl_depth;
	/*
	 * Local ports of connections that were closed, since the calls that are
	 * done were last looked for, whose server lacked a part of what was
	 * sent; the oldest ones are overwritten.
	 */
	uint16_t undelivered_ports[HTTP_CLIENT_UNDELIVERED_MAX];
	uint32_t undelivered_count;
};

static void flush_pending(struct http_client *client);
static void finish_done_calls(struct http_client *client);

static void
run_socket_action(struct http_client *client, curl_socket_t fd, int mask)
{
	int running;

	client->libcurl_depth++;
	curl_multi_socket_action(client->multi, fd, mask, &running);
	client->libcurl_depth--;
	finish_done_calls(client);
	flush_pending(client);
}

static void
on_timer(void *ctx)
{
	struct http_client *client = ctx;

	client->timer = NULL;
	run_socket_action(client, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct http_client *client = ctx;

	(void)multi;
	loop_cancel(client->timer);
	client->timer = NULL;
	if (timeout_ms >= 0)
		client->timer = loop_after(
		    client->options.loop, timeout_ms * 1000, on_timer, client);
	return 0;
}

struct socket_watch {
	struct http_client *client;
	struct loop_watch *watch;
	curl_socket_t fd;
};

static void
on_socket(void *ctx, int events)
{
	struct socket_watch *watch = ctx;
	int mask = 0;

	if (events & LOOP_READ)
		mask |= CURL_CSELECT_IN;
	if (events & LOOP_WRITE)
		mask |= CURL_CSELECT_OUT;
	run_socket_action(watch->client, watch->fd, mask);
}

static int
set_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *data)
{
	struct http_client *client = ctx;
	struct socket_watch *watch = data;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			loop_unwatch(watch->watch);
			alloc_free(client->options.alloc, watch);
			curl_multi_assign(client->multi, fd, NULL);
		}
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= LOOP_READ;
	if (what & CURL_POLL_OUT)
		events |= LOOP_WRITE;
	if (watch != NULL) {
		loop_rewatch(watch->watch, events);
		return 0;
	}
	watch = alloc_zero(client->options.alloc, 1, sizeof(*watch));
	watch->client = client;
	watch->fd = fd;
	watch->watch =
	    loop_watch(client->options.loop, fd, events, on_socket, watch);
	curl_multi_assign(client->multi, fd, watch);
	return 0;
}

/* Creates a client. Calls make progress only while the loop runs. */
struct http_client *
http_client_new(const struct http_client_options *options)
{
	struct http_client *client =
	    alloc_zero(options->alloc, 1, sizeof(*client));

	client->options = *options;
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
	    (long)options->idle_connections_max);
	return client;
}

static void
free_call(struct http_client_call *call)
{
	struct http_client *client = call->client;

	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		client->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	curl_slist_free_all(call->headers);
	if (client->spare_count < HTTP_CLIENT_SPARE_HANDLES_MAX) {
		curl_easy_reset(call->easy);
		client->spare[client->spare_count++] = call->easy;
	} else {
		curl_easy_cleanup(call->easy);
	}
	alloc_free(client->options.alloc, call);
}

/* Frees the client. Open calls end without reporting done(). */
void
http_client_free(struct http_client *client)
{
	if (client == NULL)
		return;
	while (client->calls != NULL) {
		struct http_client_call *call = client->calls;

		if (call->in_multi)
			curl_multi_remove_handle(client->multi, call->easy);
		free_call(call);
	}
	while (client->spare_count > 0)
		curl_easy_cleanup(client->spare[--client->spare_count]);
	curl_multi_cleanup(client->multi);
	loop_cancel(client->timer);
	loop_cancel(client->flush_timer);
	alloc_free(client->options.alloc, client);
}

static int
report_headers(struct http_client_call *call)
{
	long status = 0;

	if (call->headers_reported)
		return 0;
	call->headers_reported = true;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	/* RFC 9110, section 15: what HTTP does not have counts as a 5xx. */
	if (status < HTTP_STATUS_FINAL_FIRST || status > HTTP_STATUS_LAST)
		return ERR_UPSTREAM;
	return call->handler->headers(call->ctx, call, status);
}

/* Closes a connection for libcurl. */
static int
close_socket(void *ctx, curl_socket_t fd)
{
	struct http_client *client = ctx;

	if (http_has_undelivered(fd)) {
		client->undelivered_ports[client->undelivered_count++ %
					  HTTP_CLIENT_UNDELIVERED_MAX] =
		    http_local_port(fd);
	}
	return close(fd);
}

/* Tells whether the connection of a call was closed with a part undelivered. */
static bool
was_undelivered(struct http_client_call *call)
{
	const struct http_client *client = call->client;
	long port = 0;

	curl_easy_getinfo(call->easy, CURLINFO_LOCAL_PORT, &port);
	for (uint32_t i = 0;
	     i < client->undelivered_count && i < HTTP_CLIENT_UNDELIVERED_MAX;
	     i++) {
		if (client->undelivered_ports[i] == port)
			return true;
	}
	return false;
}

/*
 * Tells whether the answer is a success that ended with its connection before
 * the server had the whole request, so that it can't be whole.
 */
static bool
ended_during_request(struct http_client_call *call)
{
	curl_off_t sent = 0;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return call->body_bytes > 0 && status <= HTTP_STATUS_SUCCESS_LAST &&
	       status != HTTP_STATUS_NO_CONTENT &&
	       http_client_header(call, "Content-Length") == NULL &&
	       http_client_header(call, "Transfer-Encoding") == NULL &&
	       (was_undelivered(call) || (size_t)sent < call->body_bytes);
}

/* Body callback of libcurl. Any return value other than size ends the call. */
static size_t
on_data(char *data, size_t one, size_t size, void *ctx)
{
	struct http_client_call *call = ctx;
	int error;

	(void)one;
	if (call->state == CALL_CANCELLED)
		return 0;
	error = report_headers(call);
	if (error == 0)
		error = call->handler->data(call->ctx, call, data, size);
	call->refusal = error;
	return error == 0 ? size : 0;
}

static int
map_curl_error(CURLcode code, const struct http_client_call *call)
{
	if (call->refusal != 0)
		return call->refusal;
	switch (code) {
	case CURLE_OK:
		return 0;
	case CURLE_OPERATION_TIMEDOUT:
		return ERR_TIMEOUT;
	case CURLE_PARTIAL_FILE:
		return ERR_UPSTREAM_CUT;
	default:
		return ERR_UPSTREAM;
	}
}

/* Returns whether a byte of the request was sent. */
bool
http_client_was_sent(struct http_client_call *call)
{
	long bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

static void
finish_call(struct http_client_call *call, CURLcode code)
{
	struct http_client_result result = {0};
	const struct http_client_handler *handler = call->handler;
	void *ctx = call->ctx;
	int headers_error = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &result.status);
	if (code == CURLE_OK)
		headers_error = report_headers(call);
	if (code == CURLE_OK && headers_error == 0 &&
	    ended_during_request(call))
		headers_error = ERR_UPSTREAM_CUT;
	if (headers_error != 0)
		call->refusal = headers_error;
	result.error = map_curl_error(code, call);
	result.run_state =
	    http_client_was_sent(call) ? ERR_MAY_HAVE_RUN : ERR_NOT_RUN;
	result.unreachable =
	    result.run_state == ERR_NOT_RUN && code != CURLE_OK;
	curl_multi_remove_handle(call->client->multi, call->easy);
	free_call(call);
	handler->done(ctx, &result);
}

static void
finish_done_calls(struct http_client *client)
{
	CURLMsg *message;
	int left;

	if (client->libcurl_depth > 0)
		return;
	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		struct http_client_call *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		if (call->state != CALL_CANCELLED)
			finish_call(call, message->data.result);
	}
	client->undelivered_count = 0;
}

static void
on_flush_timer(void *ctx)
{
	struct http_client *client = ctx;

	client->flush_timer = NULL;
	flush_pending(client);
}

static void
queue_pending(struct http_client_call *call)
{
	struct http_client *client = call->client;

	if (!call->pending) {
		call->pending = true;
		call->next_pending = client->pending;
		client->pending = call;
	}
	if (client->libcurl_depth == 0 && client->flush_timer == NULL)
		client->flush_timer =
		    loop_after(client->options.loop, 0, on_flush_timer, client);
}

/*
 * Adds new calls to the multi handle and removes cancelled ones, which isn't
 * allowed in a libcurl callback.
 */
static void
flush_pending(struct http_client *client)
{
	if (client->libcurl_depth > 0)
		return;
	while (client->pending != NULL) {
		struct http_client_call *call = client->pending;

		client->pending = call->next_pending;
		call->pending = false;
		if (call->state == CALL_NEW) {
			call->state = CALL_RUNNING;
			call->in_multi = true;
			curl_multi_add_handle(client->multi, call->easy);
		} else if (call->state == CALL_CANCELLED) {
			if (call->in_multi)
				curl_multi_remove_handle(
				    client->multi, call->easy);
			free_call(call);
		}
	}
}

static void
set_method(
    struct http_client_call *call, const struct http_client_request *request)
{
	CURL *easy = call->easy;

	if (strcmp(request->method, "GET") == 0)
		return;
	if (strcmp(request->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->body == NULL && request->len == 0)
		return;
	call->body_bytes = request->len;
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	curl_easy_setopt(
	    easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->len);
}

static void
set_options(
    struct http_client_call *call, const struct http_client_request *request)
{
	CURL *easy = call->easy;

	set_method(call, request);
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 8192L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)call->client->options.connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call->client);
	if (request->fresh) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

/* Starts a call. The handler is called only after this returns. */
struct http_client_call *
http_client_start(
    struct http_client *client, const struct http_client_request *request)
{
	struct http_client_call *call =
	    alloc_zero(client->options.alloc, 1, sizeof(*call));

	call->client = client;
	call->easy = client->spare_count > 0
			 ? client->spare[--client->spare_count]
			 : curl_easy_init();
	call->handler = request->handler;
	call->ctx = request->ctx;
	for (const char *const *h = request->headers; h && *h; h++)
		call->headers = curl_slist_append(call->headers, *h);
	call->headers = curl_slist_append(call->headers, "Expect:");
	set_options(call, request);
	call->next = client->calls;
	if (client->calls != NULL)
		client->calls->prev = call;
	client->calls = call;
	queue_pending(call);
	return call;
}

/* Cancels a call without reporting done() and closes its connection. */
void
http_client_cancel(struct http_client_call *call)
{
	call->state = CALL_CANCELLED;
	queue_pending(call);
}

/*
 * Stops or resumes reading the answer, so that a slow caller exerts
 * backpressure on the server.
 */
void
http_client_set_paused(struct http_client_call *call, bool pause)
{
	struct http_client *client = call->client;

	client->libcurl_depth++;
	curl_easy_pause(call->easy, pause ? CURLPAUSE_RECV : CURLPAUSE_CONT);
	client->libcurl_depth--;
	if (client->pending != NULL && client->flush_timer == NULL &&
	    client->libcurl_depth == 0)
		client->flush_timer =
		    loop_after(client->options.loop, 0, on_flush_timer, client);
}

/* Returns the value of a header field of the answer, or NULL. */
const char *
http_client_header(struct http_client_call *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}
