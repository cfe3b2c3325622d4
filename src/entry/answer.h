#ifndef CF_ANSWER_H
#define CF_ANSWER_H

#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An error answer; its status and text come from the table in base/err.h. */
struct answer_error {
	int error;
	enum err_run_state run_state;
	/* Sent only for errors worth retrying; 0: don't ask for a retry */
	uint32_t retry_after_ms;
	const char *request; /* request id, or NULL */
	const char *param; /* header or field at fault, or NULL */
};

void answer_error(
    struct http_server_exchange *x, const struct answer_error *answer);
void answer_error_body(const struct answer_error *answer, struct buf *out);
void answer_json(struct http_server_exchange *x, unsigned int status,
    const char *json, size_t len);

#ifdef __cplusplus
}
#endif

#endif
