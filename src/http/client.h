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
 * An HTTP client on the daemon's loop, through libcurl's multi socket
 * interface.  A connection carries one call at a time; a call that is
 * cancelled or refused by its handler closes its connection, so that no late
 * answer can reach another call.
 */
struct hc;
struct hc_call;

struct hc_result {
	int error; /* 0: the answer is whole */
	enum err_run_state run_state; /* whether the request left this host */
	long status; /* HTTP status, 0 if none came */
	bool unreachable; /* no connection could be made */
};

struct hc_handler {
	/* The answer's headers are complete; a negative number ends the call.
	 */
	int (*headers)(void *ctx, struct hc_call *call, long status);
	/* A part of the body; a negative number ends the call. */
	int (*data)(
	    void *ctx, struct hc_call *call, const char *data, size_t len);
	/* The call is over and gone. */
	void (*done)(void *ctx, const struct hc_result *result);
};

struct hc_options {
	const struct alloc *alloc;
	struct loop *loop;
	uint32_t connect_timeout_ms;
	uint32_t idle_connections_max;
};

struct hc_request {
	const char *method;
	const char *url;
	const char *const *headers; /* "Name: value", ends with NULL */
	const void *body; /* must live as long as the call */
	size_t len;
	uint32_t timeout_ms; /* for the whole answer; 0: none */
	bool fresh; /* own connection: libcurl would re-send on a stale one */
	const struct hc_handler *handler;
	void *ctx;
};

struct hc *hc_new(const struct hc_options *options);
void hc_free(struct hc *hc);
struct hc_call *hc_start(struct hc *hc, const struct hc_request *request);
void hc_cancel(struct hc_call *call);
void hc_pause(struct hc_call *call, bool pause);
const char *hc_header(struct hc_call *call, const char *name);
bool hc_was_sent(struct hc_call *call);

#ifdef __cplusplus
}
#endif

#endif
