#include "tool_loop.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_time.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"

enum {
	TOOL_LOOP_EVENTS_MAX =
	    512, /* ready descriptors that one poll returns */
	TOOL_LOOP_RESUME_RUNS =
	    2 /* daemon runs that a resumed connection needs */
};

/*
 * A watched descriptor.  The slot is kept when the descriptor is closed and is
 * reused for the next descriptor with the same number.
 */
struct slot {
	apr_pollfd_t poll;
	tool_loop_ready_fn ready;
	void *ctx;
};

struct tool_loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	CURLM *multi;
	struct MHD_Daemon *daemon;
	int daemon_runs; /* MHD_run() calls due without an event */
	struct slot **slots; /* indexed by descriptor */
	int slot_count;
	int timer_fd;
	int64_t timer_us; /* expiry set at the timer; 0: none */
	int64_t curl_due_us; /* libcurl's timeout; 0: none */
	unsigned transfers;
};

/* State of a running transfer, set as its CURLOPT_PRIVATE. */
struct transfer {
	tool_loop_done_fn done;
	void *ctx;
	struct curl_slist *headers;
	char *body;
};

/* Returns the monotonic clock in microseconds. */
int64_t
tool_loop_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns the wall clock in microseconds since 1970. */
int64_t
tool_loop_wall_clock_us(void)
{
	return (int64_t)apr_time_now();
}

/* Grows the slot table until it holds a descriptor. */
static void
tool_loop_grow_slots(struct tool_loop *loop, int fd)
{
	const size_t slot_bytes = sizeof(void *);
	int count = loop->slot_count;

	while (fd >= count)
		count = count == 0 ? 64 : count * 2;
	loop->slots =
	    alloc_resize(alloc_default(), loop->slots, count * slot_bytes);
	memset(loop->slots + loop->slot_count, 0,
	    (count - loop->slot_count) * slot_bytes);
	loop->slot_count = count;
}

/* Returns the slot of a descriptor; creates it on first use. */
static struct slot *
tool_loop_get_slot(struct tool_loop *loop, int fd)
{
	struct slot *slot;
	apr_os_file_t os_file = fd;

	if (fd >= loop->slot_count)
		tool_loop_grow_slots(loop, fd);
	if (loop->slots[fd] != NULL)
		return loop->slots[fd];
	slot = alloc_zero(alloc_default(), 1, sizeof(*slot));
	slot->poll.p = loop->pool;
	slot->poll.desc_type = APR_POLL_FILE;
	apr_os_file_put(&slot->poll.desc.f, &os_file, 0, loop->pool);
	slot->poll.client_data = slot;
	loop->slots[fd] = slot;
	return slot;
}

/*
 * Watches a descriptor for events, a mask of APR_POLLIN and APR_POLLOUT.
 * Events 0 stops watching it; the caller must do so before closing it.
 */
void
tool_loop_watch(struct tool_loop *loop, int fd, apr_int16_t events,
    tool_loop_ready_fn ready, void *ctx)
{
	struct slot *slot = tool_loop_get_slot(loop, fd);

	slot->ready = ready;
	slot->ctx = ctx;
	if (slot->poll.reqevents == events)
		return;
	if (slot->poll.reqevents != 0)
		apr_pollset_remove(loop->pollset, &slot->poll);
	slot->poll.reqevents = events;
	if (events != 0)
		apr_pollset_add(loop->pollset, &slot->poll);
}

/* Passes the events of one of libcurl's sockets to libcurl. */
static void
on_curl_ready(void *ctx, int fd, apr_int16_t events)
{
	struct tool_loop *loop = ctx;
	int mask = 0, running;

	if (events & APR_POLLIN)
		mask |= CURL_CSELECT_IN;
	if (events & APR_POLLOUT)
		mask |= CURL_CSELECT_OUT;
	if (events & (APR_POLLERR | APR_POLLHUP))
		mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(loop->multi, fd, mask, &running);
}

static void
on_daemon_ready(void *ctx, int fd, apr_int16_t events)
{
	struct tool_loop *loop = ctx;

	if (loop->daemon_runs == 0)
		loop->daemon_runs = 1;
}

static void
on_timer_ready(void *ctx, int fd, apr_int16_t events)
{
	struct tool_loop *loop = ctx;
	uint64_t count;

	loop->timer_us = 0;
	if (read(fd, &count, sizeof(count)) < 0)
		return;
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *unused)
{
	apr_int16_t events = 0;

	if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
		events |= APR_POLLIN;
	if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
		events |= APR_POLLOUT;
	tool_loop_watch(ctx, fd, events, on_curl_ready, ctx);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct tool_loop *loop = ctx;

	loop->curl_due_us =
	    timeout_ms < 0 ? 0 : tool_loop_now_us() + timeout_ms * 1000;
	return 0;
}

/* Initialises APR and libcurl, and creates a loop. */
struct tool_loop *
tool_loop_new(void)
{
	struct tool_loop *loop = alloc_zero(alloc_default(), 1, sizeof(*loop));

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	apr_pool_create(&loop->pool, NULL);
	if (apr_pollset_create_ex(&loop->pollset, TOOL_LOOP_EVENTS_MAX,
		loop->pool, APR_POLLSET_NOCOPY,
		APR_POLLSET_EPOLL) != APR_SUCCESS)
		abort();
	loop->timer_fd =
	    timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (loop->timer_fd < 0)
		abort();
	tool_loop_watch(loop, loop->timer_fd, APR_POLLIN, on_timer_ready, loop);
	loop->multi = curl_multi_init();
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	return loop;
}

/* Frees a loop that has no running transfers. */
void
tool_loop_free(struct tool_loop *loop)
{
	int i;

	curl_multi_cleanup(loop->multi);
	apr_pollset_destroy(loop->pollset);
	close(loop->timer_fd);
	for (i = 0; i < loop->slot_count; i++)
		alloc_free(alloc_default(), loop->slots[i]);
	alloc_free(alloc_default(), loop->slots);
	apr_pool_destroy(loop->pool);
	alloc_free(alloc_default(), loop);
}

/* Runs a daemon that was started with MHD_USE_EPOLL and without a thread. */
void
tool_loop_attach_daemon(struct tool_loop *loop, struct MHD_Daemon *daemon)
{
	const union MHD_DaemonInfo *info;

	loop->daemon = daemon;
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
	tool_loop_watch(
	    loop, info->epoll_fd, APR_POLLIN, on_daemon_ready, loop);
}

/*
 * Makes the next turns run the daemon without waiting for an event.  Must be
 * called after MHD_resume_connection(), which doesn't always wake the poll.
 */
void
tool_loop_resume_daemon(struct tool_loop *loop)
{
	loop->daemon_runs = TOOL_LOOP_RESUME_RUNS;
}

/*
 * Starts a transfer.  The loop takes ownership of the easy handle; done, if not
 * NULL, is called when the transfer ends.
 */
void
tool_loop_start_transfer(
    struct tool_loop *loop, CURL *easy, tool_loop_done_fn done, void *ctx)
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
discard_body(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

/*
 * Posts a JSON body and discards the response body; done, if not NULL, is
 * called when the transfer ends.
 */
void
tool_loop_post_json(struct tool_loop *loop, const char *url, const char *body,
    long timeout_ms, tool_loop_done_fn done, void *ctx)
{
	CURL *easy = curl_easy_init();
	struct transfer *transfer;
	struct curl_slist *headers;

	headers = curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
	tool_loop_start_transfer(loop, easy, done, ctx);
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	transfer->headers = headers;
}

/* Calls the callbacks of completed transfers and frees them. */
static void
tool_loop_finish_transfers(struct tool_loop *loop)
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

/*
 * Sets the timer to a time of the monotonic clock.  The caller handles times
 * that have passed.
 */
static void
tool_loop_set_timer(struct tool_loop *loop, int64_t due_us)
{
	struct itimerspec spec = {{0, 0}, {0, 0}};

	if (due_us == loop->timer_us)
		return;
	loop->timer_us = due_us;
	spec.it_value.tv_sec = due_us / 1000000;
	spec.it_value.tv_nsec = due_us % 1000000 * 1000;
	timerfd_settime(loop->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

/* Returns when the poll must end: until_us, or an earlier timeout. */
static int64_t
tool_loop_next_wakeup_us(struct tool_loop *loop, int64_t until_us)
{
	MHD_UNSIGNED_LONG_LONG http_ms;
	int64_t http_us;

	if (loop->curl_due_us != 0 && loop->curl_due_us < until_us)
		until_us = loop->curl_due_us;
	if (loop->daemon == NULL ||
	    MHD_get_timeout(loop->daemon, &http_ms) != MHD_YES)
		return until_us;
	if (http_ms == 0 && loop->daemon_runs == 0)
		loop->daemon_runs = 1;
	http_us = tool_loop_now_us() + (int64_t)http_ms * 1000;
	return http_us < until_us ? http_us : until_us;
}

/* Calls the callbacks of the descriptors that a poll found ready. */
static void
tool_loop_dispatch(const apr_pollfd_t *ready, apr_int32_t count)
{
	struct slot *slot;
	apr_int32_t i;
	apr_os_file_t fd;

	for (i = 0; i < count; i++) {
		slot = ready[i].client_data;
		if (slot->poll.reqevents == 0)
			continue;
		apr_os_file_get(&fd, ready[i].desc.f);
		slot->ready(slot->ctx, fd, ready[i].rtnevents);
	}
}

/*
 * Polls once, at most until the time until_us of the monotonic clock, and
 * handles the ready descriptors, the daemon and the completed transfers.
 */
void
tool_loop_poll_once(struct tool_loop *loop, int64_t until_us)
{
	const apr_pollfd_t *ready = NULL;
	int64_t due_us = tool_loop_next_wakeup_us(loop, until_us);
	apr_interval_time_t wait_us = -1;
	apr_int32_t count = 0;
	int running;

	if (loop->daemon_runs > 0 || due_us <= tool_loop_now_us())
		wait_us = 0;
	else
		tool_loop_set_timer(loop, due_us);
	if (apr_pollset_poll(loop->pollset, wait_us, &count, &ready) ==
	    APR_SUCCESS)
		tool_loop_dispatch(ready, count);
	if (loop->daemon_runs > 0) {
		loop->daemon_runs--;
		MHD_run(loop->daemon);
	}
	if (loop->curl_due_us != 0 && loop->curl_due_us <= tool_loop_now_us()) {
		loop->curl_due_us = 0;
		curl_multi_socket_action(
		    loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	tool_loop_finish_transfers(loop);
}

/* Returns the number of running transfers. */
unsigned
tool_loop_running_transfers(const struct tool_loop *loop)
{
	return loop->transfers;
}
