#ifndef CF_TOOL_LOOP_H
#define CF_TOOL_LOOP_H

#include <apr_poll.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <stdint.h>

/*
 * The event loop of the stand-ins and bench programs: one apr_pollset for
 * sockets, at most one libmicrohttpd daemon, one libcurl multi handle and a
 * timer with microsecond resolution.
 *
 *	loop = tl_new();
 *	tl_serve(loop, daemon);
 *	while (!done)
 *		tl_turn(loop, next_timer_us);
 */
struct tool_loop;

/* Called once when a transfer ends; the easy handle is freed afterwards. */
typedef void (*tl_done_fn)(void *ctx, CURL *easy, CURLcode code);

/* Called when a watched descriptor is ready; events is a mask of APR_POLL*. */
typedef void (*tl_ready_fn)(void *ctx, int fd, apr_int16_t events);

struct tool_loop *tl_new(void);
void tl_free(struct tool_loop *loop);
void tl_serve(struct tool_loop *loop, struct MHD_Daemon *daemon);
void tl_kick(struct tool_loop *loop);
void tl_watch(struct tool_loop *loop, int fd, apr_int16_t events,
    tl_ready_fn ready, void *ctx);
void tl_start(struct tool_loop *loop, CURL *easy, tl_done_fn done, void *ctx);
void tl_post(struct tool_loop *loop, const char *url, const char *body,
    long timeout_ms, tl_done_fn done, void *ctx);
void tl_turn(struct tool_loop *loop, int64_t until_us);
unsigned tl_transfers(const struct tool_loop *loop);
int64_t tl_now_us(void);
int64_t tl_wall_us(void);

#endif
