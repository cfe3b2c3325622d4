#ifndef CF_LOOP_H
#define CF_LOOP_H

#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The daemon's event loop, based on apr_pollset.  It watches file descriptors,
 * including those of libraries (libmicrohttpd's epoll descriptor, libcurl's
 * sockets) and of connections to peers, and runs one-shot timers.  All
 * callbacks run on the thread that calls loop_run().
 */
enum {
	LOOP_READ = 1,
	LOOP_WRITE = 2
};

struct loop;
struct loop_watch;
struct loop_timer;

/* events is a mask of LOOP_READ and LOOP_WRITE. */
typedef void (*loop_ready_fn)(void *ctx, int events);
typedef void (*loop_timer_fn)(void *ctx);

struct loop *loop_new(const struct alloc *alloc);
void loop_free(struct loop *loop);
int loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
void loop_resume(struct loop *loop);
int64_t loop_now_us(const struct loop *loop);
int64_t loop_oversleep_us(const struct loop *loop);

struct loop_watch *loop_watch(
    struct loop *loop, int fd, int events, loop_ready_fn ready, void *ctx);
void loop_rewatch(struct loop_watch *watch, int events);
void loop_unwatch(struct loop_watch *watch);

struct loop_timer *loop_after(
    struct loop *loop, int64_t delay_us, loop_timer_fn expired, void *ctx);
void loop_cancel(struct loop_timer *timer);

#ifdef __cplusplus
}
#endif

#endif
