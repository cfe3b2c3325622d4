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
 * One attempt at a request, on a backend server or on an instance of another
 * data centre.  Starts the call, checks that the answer is complete and belongs
 * to this request, and monitors its progress.  If no data arrives for a while,
 * the server is probed on a new connection, to tell a stalled connection from a
 * failed server.
 */
struct answer_room;
struct attempt;

struct attempt_end {
	int error; /* 0: the answer is complete */
	enum err_run_state run_state;
	long status; /* HTTP status; 0 if none was received */
	bool server_crashed; /* the server is no longer reachable */
	bool defective; /* a complete chat answer without content */
	uint32_t output_tokens;
	uint32_t retry_after_ms; /* from the answer's headers, or 0 */
	int refusal; /* error given by the instance forwarded to */
};

struct attempt_handler {
	/* Complete server-sent events, without the stream's terminator. */
	void (*stream)(
	    void *ctx, struct attempt *attempt, const void *data, size_t len);
	/* The first byte of the body of an answer with status 200. */
	void (*first_byte)(void *ctx, struct attempt *attempt);
	/* The attempt has ended; it stays valid until attempt_free(). */
	void (*end)(
	    void *ctx, struct attempt *attempt, const struct attempt_end *end);
};

struct attempt_options {
	const struct alloc *alloc;
	struct loop *loop;
	struct http_client *client;
	const char *address; /* "IP:PORT" */
	const char *method;
	const char *path;
	const char *const *headers; /* ends with NULL */
	const char *correlation; /* "REQUEST/ATTEMPT", echoed by the server */
	const void *body; /* must outlive the attempt */
	size_t len;
	bool streaming; /* the caller asked for an event stream */
	bool chat; /* check the answer as a chat completion */
	bool fresh; /* new connection: the HTTP library must not re-send it */
	struct answer_room *room; /* of all large plain answers, or NULL */
	uint32_t progress_ms; /* longest time without data before a probe */
	uint32_t timeout_ms; /* of the whole call; 0: none */
	uint8_t number; /* of the attempt within its request */
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
