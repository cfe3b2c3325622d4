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
 *	loop = tool_loop_new();
 *	tool_loop_attach_daemon(loop, daemon);
 *	while (!done)
 *		tool_loop_poll_once(loop, next_timer_us);
 */
struct tool_loop;

/* Called once when a transfer ends; the easy handle is freed afterwards. */
typedef void (*tool_loop_done_fn)(void *ctx, CURL *easy, CURLcode code);

/* Called when a watched descriptor is ready; events is a mask of APR_POLL*. */
typedef void (*tool_loop_ready_fn)(void *ctx, int fd, apr_int16_t events);

struct tool_loop *tool_loop_new(void);
void tool_loop_free(struct tool_loop *loop);
void tool_loop_attach_daemon(struct tool_loop *loop, struct MHD_Daemon *daemon);
void tool_loop_resume_daemon(struct tool_loop *loop);
void tool_loop_watch(struct tool_loop *loop, int fd, apr_int16_t events,
    tool_loop_ready_fn ready, void *ctx);
void tool_loop_start_transfer(
    struct tool_loop *loop, CURL *easy, tool_loop_done_fn done, void *ctx);
void tool_loop_post_json(struct tool_loop *loop, const char *url,
    const char *body, long timeout_ms, tool_loop_done_fn done, void *ctx);
void tool_loop_poll_once(struct tool_loop *loop, int64_t until_us);
unsigned tool_loop_running_transfers(const struct tool_loop *loop);
int64_t tool_loop_now_us(void);
int64_t tool_loop_wall_clock_us(void);

#endif
