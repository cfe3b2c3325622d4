#ifndef CF_HTTP_CLIENT_H
#define CF_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/err.h"
#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * HTTP client on the event loop, through libcurl's multi socket interface. A
 * connection carries one call at a time. A call that is cancelled, or ended by
 * its handler, closes its connection, so that a late answer can't reach another
 * call.
 */
struct http_client;
struct http_client_call;

struct http_client_result {
	int error; /* 0: the answer is complete */
	/* Says whether a byte of the request was sent. */
	enum err_run_state run_state;
	long status; /* HTTP status; 0: no answer arrived */
	bool unreachable; /* the call failed before a byte was sent */
};

struct http_client_handler {
	/*
	 * The answer's header is complete. Returns 0 to go on, or a negative
	 * ERR_* to end the call.
	 */
	int (*headers)(void *ctx, struct http_client_call *call, long status);
	/*
	 * Gets a part of the body. Returns 0 to go on, or a negative ERR_* to
	 * end the call.
	 */
	int (*data)(void *ctx, struct http_client_call *call, const char *data,
	    size_t len);
	/* The call has ended; its pointer is no longer valid. */
	void (*done)(void *ctx, const struct http_client_result *result);
};

struct http_client_options {
	const struct alloc *alloc;
	struct loop *loop;
	uint32_t connect_timeout_ms;
	uint32_t idle_connections_max;
};

struct http_client_request {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value" each, NULL-terminated */
	const void *body; /* not copied: must outlive the call */
	size_t len;
	uint32_t timeout_ms; /* until the answer is complete; 0: no limit */
	/*
	 * Use a new connection and don't keep it: on a stale one libcurl would
	 * send the request a second time.
	 */
	bool fresh;
	const struct http_client_handler *handler;
	void *ctx;
};

struct http_client *http_client_new(const struct http_client_options *options);
void http_client_free(struct http_client *client);
struct http_client_call *http_client_start(
    struct http_client *client, const struct http_client_request *request);
void http_client_cancel(struct http_client_call *call);
void http_client_set_paused(struct http_client_call *call, bool pause);
const char *http_client_header(struct http_client_call *call, const char *name);
bool http_client_was_sent(struct http_client_call *call);

#ifdef __cplusplus
}
#endif

#endif
