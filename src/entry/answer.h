#ifndef CF_ANSWER_H
#define CF_ANSWER_H

#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"
#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Error answers, made from the one table of error kinds. */
struct answer_error {
	int error;
	enum err_run_state run_state;
	uint32_t retry_after_ms; /* 0: the caller is not asked to come back */
	const char *request; /* request id, or NULL */
	const char *param; /* what the error is about, or NULL */
};

void answer_error(struct hs_exchange *x, const struct answer_error *answer);
void answer_error_body(const struct answer_error *answer, struct buf *out);
void answer_json(
    struct hs_exchange *x, unsigned int status, const char *json, size_t len);

#ifdef __cplusplus
}
#endif

#endif
