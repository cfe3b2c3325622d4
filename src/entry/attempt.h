#ifndef CF_ATTEMPT_H
#define CF_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/loop.h"
#include "http/client.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One attempt of a request on a backend server, or on an instance of another
 * data centre that it is forwarded to: starts the call, checks that the answer
 * belongs to it and is whole, and watches its progress.  A server that makes
 * none is probed on a new connection, which tells a silent connection from a
 * dead server.
 */
struct attempt;

struct attempt_end {
	int error; /* 0: the answer is whole */
	enum err_run_state run_state;
	long status; /* HTTP status of a whole answer */
	bool server_crashed; /* the server can't be reached any more */
	bool defective; /* a whole answer without usable content */
	uint32_t output_tokens;
	uint32_t retry_after_ms; /* forwarded: what the other end said */
	int refusal; /* forwarded: error that the other end gave */
};

struct attempt_handler {
	/* Whole events of a stream, the terminator excepted. */
	void (*stream)(
	    void *ctx, struct attempt *attempt, const void *data, size_t len);
	void (*first_byte)(void *ctx, struct attempt *attempt);
	/* The attempt is over; it stays until attempt_free(). */
	void (*end)(
	    void *ctx, struct attempt *attempt, const struct attempt_end *end);
};

struct attempt_options {
	const struct alloc *alloc;
	struct loop *loop;
	struct hc *client;
	const char *address; /* "IP:PORT" */
	const char *method;
	const char *path;
	const char *const *headers; /* ends with NULL */
	const char *correlation; /* "REQUEST/ATTEMPT", echoed by the server */
	const void *body; /* lives as long as the attempt */
	size_t len;
	bool streaming;
	bool chat; /* the answer is checked as a chat completion */
	bool fresh; /* must not be re-sent by the HTTP library */
	uint32_t progress_ms;
	uint32_t timeout_ms;
	uint8_t number;
	const struct attempt_handler *handler;
	void *ctx;
};

struct attempt *attempt_start(const struct attempt_options *options);
void attempt_free(struct attempt *attempt);
void attempt_pause(struct attempt *attempt, bool pause);
uint8_t attempt_number(const struct attempt *attempt);
const struct buf *attempt_body(const struct attempt *attempt);
const struct buf *attempt_terminator(const struct attempt *attempt);
const char *attempt_content_type(const struct attempt *attempt);
unsigned int attempt_status(const struct attempt *attempt);
const char *attempt_version(const struct attempt *attempt);
bool attempt_was_sent(const struct attempt *attempt);

#ifdef __cplusplus
}
#endif

#endif
