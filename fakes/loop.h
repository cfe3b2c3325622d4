#ifndef CF_LOOP_H
#define CF_LOOP_H

#include <apr_poll.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <stdint.h>

/*
 * The event loop of the stand-ins and bench programs: one apr_pollset that
 * holds sockets, at most one libmicrohttpd daemon, one libcurl multi handle
 * and a timer of microseconds.
 *
 *	loop = loop_new();
 *	loop_serve(loop, daemon);
 *	while (!done)
 *		loop_turn(loop, next_timer_us);
 */
struct loop;

/* Called once when a transfer ends; the easy handle is freed afterwards. */
typedef void (*loop_done_fn)(void *ctx, CURL *easy, CURLcode code);

/* Called when a watched descriptor is ready; events as in apr_poll.h. */
typedef void (*loop_ready_fn)(void *ctx, int fd, apr_int16_t events);

struct loop *loop_new(void);
void loop_free(struct loop *loop);
void loop_serve(struct loop *loop, struct MHD_Daemon *daemon);
void loop_kick(struct loop *loop);
void loop_watch(struct loop *loop, int fd, apr_int16_t events,
    loop_ready_fn ready, void *ctx);
void loop_start(struct loop *loop, CURL *easy, loop_done_fn done, void *ctx);
void loop_post(struct loop *loop, const char *url, const char *body,
    long timeout_ms, loop_done_fn done, void *ctx);
void loop_turn(struct loop *loop, int64_t until_us);
unsigned loop_transfers(const struct loop *loop);
int64_t loop_now_us(void);
int64_t loop_wall_us(void);

#endif
