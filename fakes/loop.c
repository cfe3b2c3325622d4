#include "loop.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_time.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"

enum {
	LOOP_EVENTS = 512, /* descriptors answered by one poll */
	LOOP_WAIT_MAX_US = 1000000
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	CURLM *multi;
	struct MHD_Daemon *daemon;
	apr_pollfd_t **slots; /* by descriptor, kept for its next use */
	int slot_count;
	int64_t curl_due_us; /* 0: no timer */
	unsigned transfers;
};

/* What CURLOPT_PRIVATE points to while a transfer runs. */
struct transfer {
	loop_done_fn done;
	void *ctx;
	struct curl_slist *headers;
	char *body;
};

/* Returns the monotonic clock in microseconds. */
int64_t
loop_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns the wall clock in microseconds since 1970. */
int64_t
loop_wall_us(void)
{
	return (int64_t)apr_time_now();
}

/* Returns the kept poll entry of a descriptor, made at its first use. */
static apr_pollfd_t *
loop_slot(struct loop *loop, int fd)
{
	apr_pollfd_t *slot;
	apr_os_file_t os_file = fd;
	int count = loop->slot_count;

	if (fd >= count) {
		while (fd >= count)
			count = count == 0 ? 64 : count * 2;
		loop->slots = alloc_resize(
		    alloc_default(), loop->slots, count * sizeof(*loop->slots));
		memset(loop->slots + loop->slot_count, 0,
		    (count - loop->slot_count) * sizeof(*loop->slots));
		loop->slot_count = count;
	}
	if (loop->slots[fd] != NULL)
		return loop->slots[fd];
	slot = alloc_zero(alloc_default(), 1, sizeof(*slot));
	slot->p = loop->pool;
	slot->desc_type = APR_POLL_FILE;
	apr_os_file_put(&slot->desc.f, &os_file, 0, loop->pool);
	loop->slots[fd] = slot;
	return slot;
}

/* Watches a descriptor for these events; 0 stops watching it. */
static void
loop_watch(struct loop *loop, int fd, apr_int16_t events)
{
	apr_pollfd_t *slot = loop_slot(loop, fd);

	if (slot->reqevents == events)
		return;
	if (slot->reqevents != 0)
		apr_pollset_remove(loop->pollset, slot);
	slot->reqevents = events;
	if (events != 0)
		apr_pollset_add(loop->pollset, slot);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *unused)
{
	apr_int16_t events = 0;

	if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
		events |= APR_POLLIN;
	if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
		events |= APR_POLLOUT;
	loop_watch(ctx, fd, events);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct loop *loop = ctx;

	loop->curl_due_us =
	    timeout_ms < 0 ? 0 : loop_now_us() + timeout_ms * 1000;
	return 0;
}

/* Makes a loop; APR and libcurl are initialised on the way. */
struct loop *
loop_new(void)
{
	struct loop *loop = alloc_zero(alloc_default(), 1, sizeof(*loop));

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&loop->pool, NULL);
	if (apr_pollset_create_ex(&loop->pollset, LOOP_EVENTS, loop->pool,
		APR_POLLSET_NOCOPY, APR_POLLSET_EPOLL) != APR_SUCCESS)
		abort();
	loop->multi = curl_multi_init();
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	return loop;
}

/* Frees a loop; every transfer must have ended. */
void
loop_free(struct loop *loop)
{
	int i;

	curl_multi_cleanup(loop->multi);
	apr_pollset_destroy(loop->pollset);
	for (i = 0; i < loop->slot_count; i++)
		alloc_free(alloc_default(), loop->slots[i]);
	alloc_free(alloc_default(), loop->slots);
	apr_pool_destroy(loop->pool);
	alloc_free(alloc_default(), loop);
}

/* Serves a daemon that was started with MHD_USE_EPOLL and no thread. */
void
loop_serve(struct loop *loop, struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info;

	loop->daemon = daemon;
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
	loop_watch(loop, info->epoll_fd, APR_POLLIN);
}

/* Starts a transfer; done (may be NULL) is called when it ends. */
void
loop_start(struct loop *loop, CURL *easy, loop_done_fn done, void *ctx)
{
	struct transfer *transfer =
	    alloc_zero(alloc_default(), 1, sizeof(*transfer));

	transfer->done = done;
	transfer->ctx = ctx;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_multi_add_handle(loop->multi, easy);
	loop->transfers++;
}

static size_t
drop_body(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

/* Posts a JSON body and drops the answer; done (may be NULL) sees the end. */
void
loop_post(struct loop *loop, const char *url, const char *body, long timeout_ms,
    loop_done_fn done, void *ctx)
{
	CURL *easy = curl_easy_init();
	struct transfer *transfer;
	struct curl_slist *headers;

	headers = curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop_body);
	loop_start(loop, easy, done, ctx);
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	transfer->headers = headers;
}

/* Reports the transfers that have ended and frees them. */
static void
loop_reap(struct loop *loop)
{
	struct transfer *transfer;
	CURLMsg *message;
	CURLcode code;
	CURL *easy;
	int left;

	while ((message = curl_multi_info_read(loop->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		easy = message->easy_handle;
		code = message->data.result;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
		curl_multi_remove_handle(loop->multi, easy);
		loop->transfers--;
		if (transfer->done != NULL)
			transfer->done(transfer->ctx, easy, code);
		curl_easy_cleanup(easy);
		curl_slist_free_all(transfer->headers);
		alloc_free(alloc_default(), transfer);
	}
}

/* Returns how long the poll may last, in microseconds. */
static apr_interval_time_t
loop_wait(struct loop *loop, int64_t until_us)
{
	int64_t now_us = loop_now_us();
	int64_t wait_us = until_us - now_us;
	MHD_UNSIGNED_LONG_LONG http_ms;

	if (loop->curl_due_us != 0 && loop->curl_due_us - now_us < wait_us)
		wait_us = loop->curl_due_us - now_us;
	if (loop->daemon != NULL &&
	    MHD_get_timeout(loop->daemon, &http_ms) == MHD_YES &&
	    (int64_t)http_ms * 1000 < wait_us)
		wait_us = (int64_t)http_ms * 1000;
	if (wait_us > LOOP_WAIT_MAX_US)
		wait_us = LOOP_WAIT_MAX_US;
	/* The poll counts whole milliseconds: round up, never spin. */
	return wait_us <= 0 ? 0 : (wait_us + 999) / 1000 * 1000;
}

/* Tells libcurl which of its sockets are ready. */
static void
loop_socket(struct loop *loop, const apr_pollfd_t *ready)
{
	apr_os_file_t fd;
	int mask = 0, running;

	apr_os_file_get(&fd, ready->desc.f);
	if (loop->slots[fd]->reqevents == 0)
		return;
	if (ready->rtnevents & APR_POLLIN)
		mask |= CURL_CSELECT_IN;
	if (ready->rtnevents & APR_POLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (ready->rtnevents & (APR_POLLERR | APR_POLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(loop->multi, fd, mask, &running);
}

/* Polls once, at most until then, and serves what is ready. */
void
loop_turn(struct loop *loop, int64_t until_us)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t count = 0, i;
	int running, epoll_fd = -1;
	apr_os_file_t fd;

	if (loop->daemon != NULL)
		epoll_fd =
		    MHD_get_daemon_info(loop->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			->epoll_fd;
	apr_pollset_poll(
	    loop->pollset, loop_wait(loop, until_us), &count, &ready);
	for (i = 0; i < count; i++) {
		apr_os_file_get(&fd, ready[i].desc.f);
		if (fd != epoll_fd)
			loop_socket(loop, &ready[i]);
	}
	if (loop->daemon != NULL)
		MHD_run(loop->daemon);
	if (loop->curl_due_us != 0 && loop->curl_due_us <= loop_now_us()) {
		loop->curl_due_us = 0;
		curl_multi_socket_action(
		    loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	loop_reap(loop);
}

/* Returns how many transfers are running. */
unsigned
loop_transfers(const struct loop *loop)
{
	return loop->transfers;
}
