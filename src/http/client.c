#include "http/client.h"

#include <curl/curl.h>
#include <string.h>

enum {
	HC_SPARE_HANDLES = 256
};

enum call_state {
	CALL_NEW,
	CALL_RUNNING,
	CALL_CANCELLED
};

struct hc_call {
	struct hc *hc;
	CURL *easy;
	struct curl_slist *headers;
	const struct hc_handler *handler;
	void *ctx;
	enum call_state state;
	int refusal; /* what the handler returned to end the call */
	bool headers_told;
	bool pending; /* on hc->pending */
	bool added; /* libcurl knows it */
	struct hc_call *prev;
	struct hc_call *next;
	struct hc_call *next_pending;
};

struct hc {
	struct hc_options options;
	CURLM *multi;
	struct loop_timer *timer;
	struct loop_timer *flush;
	struct hc_call *calls;
	struct hc_call *pending; /* to be started or ended outside libcurl */
	CURL *spare[HC_SPARE_HANDLES];
	size_t spares;
	int depth; /* inside libcurl: its multi interface must not be used */
};

static void flush_pending(struct hc *hc);
static void reap(struct hc *hc);

static void
act(struct hc *hc, curl_socket_t fd, int mask)
{
	int running;

	hc->depth++;
	curl_multi_socket_action(hc->multi, fd, mask, &running);
	hc->depth--;
	reap(hc);
	flush_pending(hc);
}

static void
on_timer(void *ctx)
{
	struct hc *hc = ctx;

	hc->timer = NULL;
	act(hc, CURL_SOCKET_TIMEOUT, 0);
}

static int
set_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct hc *hc = ctx;

	(void)multi;
	loop_cancel(hc->timer);
	hc->timer = NULL;
	if (timeout_ms >= 0)
		hc->timer = loop_after(
		    hc->options.loop, timeout_ms * 1000, on_timer, hc);
	return 0;
}

struct socket_watch {
	struct hc *hc;
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
	act(watch->hc, watch->fd, mask);
}

static int
set_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *data)
{
	struct hc *hc = ctx;
	struct socket_watch *watch = data;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			loop_unwatch(watch->watch);
			alloc_free(hc->options.alloc, watch);
			curl_multi_assign(hc->multi, fd, NULL);
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
	watch = alloc_zero(hc->options.alloc, 1, sizeof(*watch));
	watch->hc = hc;
	watch->fd = fd;
	watch->watch =
	    loop_watch(hc->options.loop, fd, events, on_socket, watch);
	curl_multi_assign(hc->multi, fd, watch);
	return 0;
}

/* Creates a client; calls run only while the loop runs. */
struct hc *
hc_new(const struct hc_options *options)
{
	struct hc *hc = alloc_zero(options->alloc, 1, sizeof(*hc));

	hc->options = *options;
	hc->multi = curl_multi_init();
	curl_multi_setopt(hc->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(hc->multi, CURLMOPT_SOCKETDATA, hc);
	curl_multi_setopt(hc->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(hc->multi, CURLMOPT_TIMERDATA, hc);
	curl_multi_setopt(
	    hc->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	curl_multi_setopt(hc->multi, CURLMOPT_MAXCONNECTS,
	    (long)options->idle_connections_max);
	return hc;
}

static void
release(struct hc_call *call)
{
	struct hc *hc = call->hc;

	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		hc->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	curl_slist_free_all(call->headers);
	if (hc->spares < HC_SPARE_HANDLES) {
		curl_easy_reset(call->easy);
		hc->spare[hc->spares++] = call->easy;
	} else {
		curl_easy_cleanup(call->easy);
	}
	alloc_free(hc->options.alloc, call);
}

/* Ends the client; calls still open end without a report. */
void
hc_free(struct hc *hc)
{
	if (hc == NULL)
		return;
	while (hc->calls != NULL) {
		struct hc_call *call = hc->calls;

		if (call->added)
			curl_multi_remove_handle(hc->multi, call->easy);
		release(call);
	}
	while (hc->spares > 0)
		curl_easy_cleanup(hc->spare[--hc->spares]);
	curl_multi_cleanup(hc->multi);
	loop_cancel(hc->timer);
	loop_cancel(hc->flush);
	alloc_free(hc->options.alloc, hc);
}

static int
tell_headers(struct hc_call *call)
{
	long status = 0;

	if (call->headers_told)
		return 0;
	call->headers_told = true;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return call->handler->headers(call->ctx, call, status);
}

/* libcurl's body callback; any other return than size ends the call. */
static size_t
on_data(char *data, size_t one, size_t size, void *ctx)
{
	struct hc_call *call = ctx;
	int error;

	(void)one;
	if (call->state == CALL_CANCELLED)
		return 0;
	error = tell_headers(call);
	if (error == 0)
		error = call->handler->data(call->ctx, call, data, size);
	call->refusal = error;
	return error == 0 ? size : 0;
}

static int
error_of(CURLcode code, const struct hc_call *call)
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

/* Returns whether any byte of the request has left this host. */
bool
hc_was_sent(struct hc_call *call)
{
	long bytes = 0;

	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

static void
finish(struct hc_call *call, CURLcode code)
{
	struct hc_result result = {0};
	const struct hc_handler *handler = call->handler;
	void *ctx = call->ctx;
	int headers_error = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &result.status);
	if (code == CURLE_OK)
		headers_error = tell_headers(call);
	if (headers_error != 0)
		call->refusal = headers_error;
	result.error = error_of(code, call);
	result.run_state = hc_was_sent(call) ? ERR_MAY_HAVE_RUN : ERR_NOT_RUN;
	result.unreachable =
	    result.run_state == ERR_NOT_RUN && code != CURLE_OK;
	curl_multi_remove_handle(call->hc->multi, call->easy);
	release(call);
	handler->done(ctx, &result);
}

static void
reap(struct hc *hc)
{
	CURLMsg *message;
	int left;

	if (hc->depth > 0)
		return;
	while ((message = curl_multi_info_read(hc->multi, &left)) != NULL) {
		struct hc_call *call = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		if (call->state != CALL_CANCELLED)
			finish(call, message->data.result);
	}
}

static void
flush_later(void *ctx)
{
	struct hc *hc = ctx;

	hc->flush = NULL;
	flush_pending(hc);
}

static void
make_pending(struct hc_call *call)
{
	struct hc *hc = call->hc;

	if (!call->pending) {
		call->pending = true;
		call->next_pending = hc->pending;
		hc->pending = call;
	}
	if (hc->depth == 0 && hc->flush == NULL)
		hc->flush = loop_after(hc->options.loop, 0, flush_later, hc);
}

/* Starts and ends the calls that could not be from inside libcurl. */
static void
flush_pending(struct hc *hc)
{
	if (hc->depth > 0)
		return;
	while (hc->pending != NULL) {
		struct hc_call *call = hc->pending;

		hc->pending = call->next_pending;
		call->pending = false;
		if (call->state == CALL_NEW) {
			call->state = CALL_RUNNING;
			call->added = true;
			curl_multi_add_handle(hc->multi, call->easy);
		} else if (call->state == CALL_CANCELLED) {
			if (call->added)
				curl_multi_remove_handle(hc->multi, call->easy);
			release(call);
		}
	}
}

static void
set_method(CURL *easy, const struct hc_request *request)
{
	if (strcmp(request->method, "GET") == 0)
		return;
	if (strcmp(request->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->body == NULL && request->len == 0)
		return;
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	curl_easy_setopt(
	    easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->len);
}

static void
set_options(struct hc_call *call, const struct hc_request *request)
{
	CURL *easy = call->easy;

	set_method(easy, request);
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 8192L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)call->hc->options.connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	if (request->fresh) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

/* Starts a call; its handler hears of it only after this returns. */
struct hc_call *
hc_start(struct hc *hc, const struct hc_request *request)
{
	struct hc_call *call = alloc_zero(hc->options.alloc, 1, sizeof(*call));

	call->hc = hc;
	call->easy =
	    hc->spares > 0 ? hc->spare[--hc->spares] : curl_easy_init();
	call->handler = request->handler;
	call->ctx = request->ctx;
	for (const char *const *h = request->headers; h && *h; h++)
		call->headers = curl_slist_append(call->headers, *h);
	call->headers = curl_slist_append(call->headers, "Expect:");
	set_options(call, request);
	call->next = hc->calls;
	if (hc->calls != NULL)
		hc->calls->prev = call;
	hc->calls = call;
	make_pending(call);
	return call;
}

/* Ends a call without a report and closes its connection. */
void
hc_cancel(struct hc_call *call)
{
	call->state = CALL_CANCELLED;
	make_pending(call);
}

/* Stops or resumes reading, so that a slow caller slows the server down. */
void
hc_pause(struct hc_call *call, bool pause)
{
	struct hc *hc = call->hc;

	hc->depth++;
	curl_easy_pause(call->easy, pause ? CURLPAUSE_RECV : CURLPAUSE_CONT);
	hc->depth--;
	if (hc->pending != NULL && hc->flush == NULL && hc->depth == 0)
		hc->flush = loop_after(hc->options.loop, 0, flush_later, hc);
}

/* Returns a header of the answer, or NULL. */
const char *
hc_header(struct hc_call *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}
