#include "base/loop.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"

enum {
	LOOP_EVENTS_MAX = 4096, /* per iteration; not a limit on descriptors */
	LOOP_INITIAL_TIMERS = 64,
	LOOP_WATCH_RETRY_US = 10000 /* after the kernel has refused a watch */
};

struct loop_watch {
	struct loop *loop;
	apr_socket_t *socket; /* APR wrapper of fd; does not own it */
	apr_pollfd_t pollfd;
	loop_ready_fn ready;
	void *ctx;
	int requested; /* mask of LOOP_READ and LOOP_WRITE */
	bool added; /* is in the pollset */
	bool refused; /* the kernel has refused to add it so far */
	bool changed; /* is on loop->changed */
	struct loop_watch *next_changed;
	bool closed; /* a pending event may still point here */
	struct loop_watch *next; /* on loop->closed or loop->spare */
};

struct loop_timer {
	struct loop *loop;
	int64_t due_us; /* monotonic */
	uint64_t sequence; /* in order of creation, from 1 */
	size_t slot; /* index in the heap */
	loop_timer_fn expired;
	void *ctx;
};

struct loop {
	const struct alloc *alloc;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct loop_watch *spare; /* closed watches for reuse */
	struct loop_watch *closed; /* closed in this iteration */
	struct loop_watch *changed; /* not yet applied to the pollset */
	struct loop_timer **heap; /* binary heap, earliest due_us first */
	size_t timer_count;
	size_t heap_size; /* allocated elements of heap */
	uint64_t timers_created; /* sequence of the newest timer */
	int64_t now_us;
	int64_t oversleep_us;
	bool stop;
};

/* Creates a loop.  Returns NULL if no pollset can be created. */
struct loop *
loop_new(const struct alloc *alloc)
{
	struct loop *loop;

	loop = alloc_zero(alloc, 1, sizeof(*loop));
	loop->alloc = alloc;
	apr_pool_create(&loop->pool, NULL);
	if (apr_pollset_create(&loop->pollset, LOOP_EVENTS_MAX, loop->pool,
		0) != APR_SUCCESS) {
		apr_pool_destroy(loop->pool);
		alloc_free(alloc, loop);
		return NULL;
	}
	loop->heap_size = LOOP_INITIAL_TIMERS;
	loop->heap =
	    alloc_zero(alloc, loop->heap_size, sizeof(struct loop_timer *));
	loop->now_us = clock_monotonic_us();
	return loop;
}

static void
free_watches(struct loop *loop, struct loop_watch *list)
{
	struct loop_watch *next;

	for (; list != NULL; list = next) {
		next = list->next;
		alloc_free(loop->alloc, list);
	}
}

/* Frees the loop with its pending timers and its closed watches. */
void
loop_free(struct loop *loop)
{
	if (loop == NULL)
		return;
	for (size_t i = 0; i < loop->timer_count; i++)
		alloc_free(loop->alloc, loop->heap[i]);
	free_watches(loop, loop->spare);
	free_watches(loop, loop->closed);
	alloc_free(loop->alloc, loop->heap);
	apr_pool_destroy(loop->pool);
	alloc_free(loop->alloc, loop);
}

/*
 * Returns the monotonic time in microseconds at which the current iteration
 * began.
 */
int64_t
loop_now_us(const struct loop *loop)
{
	return loop->now_us;
}

/*
 * Returns by how many microseconds the last wait for events exceeded its
 * timeout; 0 if it had none.  A large value means that the process was frozen.
 */
int64_t
loop_oversleep_us(const struct loop *loop)
{
	return loop->oversleep_us;
}

static apr_int16_t
to_apr_events(int events)
{
	apr_int16_t bits = 0;

	if (events & LOOP_READ)
		bits |= APR_POLLIN;
	if (events & LOOP_WRITE)
		bits |= APR_POLLOUT;
	return bits;
}

/*
 * Calls ready() whenever the descriptor is ready for one of events, a mask of
 * LOOP_READ and LOOP_WRITE.  The caller keeps ownership of the descriptor and
 * must call loop_unwatch() before closing it.
 */
struct loop_watch *
loop_watch(
    struct loop *loop, int fd, int events, loop_ready_fn ready, void *ctx)
{
	struct loop_watch *watch;
	apr_socket_t *socket = NULL;
	apr_os_sock_t os_fd = fd;

	watch = loop->spare;
	if (watch != NULL) {
		loop->spare = watch->next;
		socket = watch->socket;
	} else {
		watch = alloc_zero(loop->alloc, 1, sizeof(*watch));
	}
	apr_os_sock_put(&socket, &os_fd, loop->pool);
	*watch = (struct loop_watch){
	    .loop = loop, .socket = socket, .ready = ready, .ctx = ctx};
	watch->pollfd.p = loop->pool;
	watch->pollfd.desc_type = APR_POLL_SOCKET;
	watch->pollfd.desc.s = socket;
	watch->pollfd.client_data = watch;
	loop_rewatch(watch, events);
	return watch;
}

/*
 * Applies the requested events of a watch to the pollset.  Returns false if the
 * kernel has refused that for now.
 */
static bool
update_pollset(struct loop_watch *watch)
{
	bool was_refused = watch->refused;
	apr_status_t status;

	if (watch->added) {
		if (to_apr_events(watch->requested) == watch->pollfd.reqevents)
			return true;
		apr_pollset_remove(watch->loop->pollset, &watch->pollfd);
		watch->added = false;
	}
	watch->pollfd.reqevents = to_apr_events(watch->requested);
	watch->refused = false;
	if (watch->requested == 0)
		return true;
	status = apr_pollset_add(watch->loop->pollset, &watch->pollfd);
	watch->added = status == APR_SUCCESS;
	watch->refused = !watch->added;
	if (watch->refused && !was_refused)
		log_event(LOG_LEVEL_ERROR, "watch_refused", "errno=%d", status);
	return watch->added;
}

/*
 * Changes the requested events; with 0 the watch stays but reports nothing.
 * The pollset is updated just before the next wait, so that a change that is
 * reverted before then costs no system call.
 */
void
loop_rewatch(struct loop_watch *watch, int events)
{
	watch->requested = events;
	if (watch->changed)
		return;
	watch->changed = true;
	watch->next_changed = watch->loop->changed;
	watch->loop->changed = watch;
}

/* Applies all changes; those that the kernel refuses stay on the list. */
static void
update_changed_watches(struct loop *loop)
{
	struct loop_watch *watch = loop->changed;
	struct loop_watch *next;

	loop->changed = NULL;
	for (; watch != NULL; watch = next) {
		next = watch->next_changed;
		watch->changed = false;
		if (!watch->closed && !update_pollset(watch))
			loop_rewatch(watch, watch->requested);
	}
}

/*
 * Removes a watch; NULL is allowed.  Its ready() is not called again, not even
 * for events already polled in the current iteration.
 */
void
loop_unwatch(struct loop_watch *watch)
{
	struct loop *loop;

	if (watch == NULL)
		return;
	loop = watch->loop;
	watch->requested = 0;
	update_pollset(watch);
	watch->closed = true;
	watch->next = loop->closed;
	loop->closed = watch;
}

static void
heap_set(struct loop *loop, size_t slot, struct loop_timer *timer)
{
	loop->heap[slot] = timer;
	timer->slot = slot;
}

static void
heap_sift_up(struct loop *loop, size_t slot)
{
	struct loop_timer *timer = loop->heap[slot];

	while (slot > 0) {
		size_t parent = (slot - 1) / 2;

		if (loop->heap[parent]->due_us <= timer->due_us)
			break;
		heap_set(loop, slot, loop->heap[parent]);
		slot = parent;
	}
	heap_set(loop, slot, timer);
}

static void
heap_sift_down(struct loop *loop, size_t slot)
{
	struct loop_timer *timer = loop->heap[slot];

	for (;;) {
		size_t child = 2 * slot + 1;

		if (child >= loop->timer_count)
			break;
		if (child + 1 < loop->timer_count &&
		    loop->heap[child + 1]->due_us < loop->heap[child]->due_us)
			child++;
		if (timer->due_us <= loop->heap[child]->due_us)
			break;
		heap_set(loop, slot, loop->heap[child]);
		slot = child;
	}
	heap_set(loop, slot, timer);
}

static void
heap_remove(struct loop *loop, struct loop_timer *timer)
{
	struct loop_timer *last;
	size_t slot = timer->slot;

	last = loop->heap[--loop->timer_count];
	if (last == timer)
		return;
	heap_set(loop, slot, last);
	heap_sift_up(loop, slot);
	heap_sift_down(loop, last->slot);
}

/*
 * Creates a timer that calls expired() once, delay_us microseconds after the
 * start of the current iteration; a negative delay counts as 0.
 */
struct loop_timer *
loop_after(
    struct loop *loop, int64_t delay_us, loop_timer_fn expired, void *ctx)
{
	struct loop_timer *timer;

	timer = alloc_zero(loop->alloc, 1, sizeof(*timer));
	timer->loop = loop;
	timer->due_us = loop->now_us + (delay_us > 0 ? delay_us : 0);
	timer->sequence = ++loop->timers_created;
	timer->expired = expired;
	timer->ctx = ctx;
	if (loop->timer_count == loop->heap_size) {
		loop->heap_size *= 2;
		loop->heap = alloc_resize(loop->alloc, loop->heap,
		    loop->heap_size * sizeof(struct loop_timer *));
	}
	loop->timer_count++;
	heap_set(loop, loop->timer_count - 1, timer);
	heap_sift_up(loop, loop->timer_count - 1);
	return timer;
}

/*
 * Cancels a pending timer; NULL is allowed.  A timer that has expired is
 * already freed and must not be cancelled.
 */
void
loop_cancel(struct loop_timer *timer)
{
	if (timer == NULL)
		return;
	heap_remove(timer->loop, timer);
	alloc_free(timer->loop->alloc, timer);
}

/*
 * Runs the timers that are due.  Timers created by these callbacks wait for the
 * next iteration, so that a timer that is always due again can't starve
 * descriptors.
 */
static void
run_timers(struct loop *loop)
{
	uint64_t last_sequence = loop->timers_created;

	while (loop->timer_count > 0 && loop->heap[0]->due_us <= loop->now_us &&
	       loop->heap[0]->sequence <= last_sequence) {
		struct loop_timer timer = *loop->heap[0];

		loop_cancel(loop->heap[0]);
		timer.expired(timer.ctx);
	}
}

static void
dispatch_ready(const apr_pollfd_t *ready)
{
	struct loop_watch *watch = ready->client_data;
	int events = 0;

	if (watch->closed)
		return;
	if (ready->rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR))
		events |= LOOP_READ;
	if (ready->rtnevents & (APR_POLLOUT | APR_POLLERR))
		events |= LOOP_WRITE;
	watch->ready(watch->ctx, events);
}

static void
recycle_closed_watches(struct loop *loop)
{
	/* A closed watch must not stay on the list of changed watches. */
	update_changed_watches(loop);
	while (loop->closed != NULL) {
		struct loop_watch *watch = loop->closed;

		loop->closed = watch->next;
		watch->next = loop->spare;
		loop->spare = watch;
	}
}

/*
 * Returns the time until the next timer is due or refused watches are tried
 * again, or -1 without either.
 */
static int64_t
poll_timeout_us(const struct loop *loop)
{
	int64_t wait_us = -1;

	if (loop->timer_count > 0) {
		wait_us = loop->heap[0]->due_us - clock_monotonic_us();
		if (wait_us < 0)
			wait_us = 0;
	}
	if (loop->changed != NULL &&
	    (wait_us < 0 || wait_us > LOOP_WATCH_RETRY_US))
		wait_us = LOOP_WATCH_RETRY_US;
	return wait_us;
}

/* Runs the loop until loop_stop().  Returns 0, or ERR_IO if polling fails. */
int
loop_run(struct loop *loop)
{
	while (!loop->stop) {
		const apr_pollfd_t *ready = NULL;
		apr_int32_t count = 0;
		int64_t wait_us;
		int64_t before_us;
		apr_status_t status;

		update_changed_watches(loop);
		wait_us = poll_timeout_us(loop);
		before_us = clock_monotonic_us();

		/*
		 * APR polls in whole milliseconds.  The timeout is rounded up
		 * because 0.3 ms rounded down to 0 would busy-wait.
		 */
		if (wait_us > 0)
			wait_us = (wait_us + 999) / 1000 * 1000;
		status =
		    apr_pollset_poll(loop->pollset, wait_us, &count, &ready);
		loop->now_us = clock_monotonic_us();
		loop->oversleep_us =
		    wait_us < 0 ? 0 : loop->now_us - before_us - wait_us;
		if (status != APR_SUCCESS && !APR_STATUS_IS_TIMEUP(status) &&
		    !APR_STATUS_IS_EINTR(status))
			return ERR_IO;
		run_timers(loop);
		for (apr_int32_t i = 0; status == APR_SUCCESS && i < count; i++)
			dispatch_ready(&ready[i]);
		recycle_closed_watches(loop);
	}
	return 0;
}

/* Makes loop_run() return after the current iteration. */
void
loop_stop(struct loop *loop)
{
	loop->stop = true;
}

/*
 * Clears a previous loop_stop(), so that loop_run() can be called again with
 * the existing watches and timers.
 */
void
loop_resume(struct loop *loop)
{
	loop->stop = false;
}
