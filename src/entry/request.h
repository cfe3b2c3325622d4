#ifndef CF_REQUEST_H
#define CF_REQUEST_H

#include <jansson.h>
#include <stdint.h>

#include "base/buf.h"
#include "celeryford.h"
#include "http/server.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Validates a caller's HTTP request and converts it to a struct cf_request for
 * the router.  A fault is reported as one error kind and the name of the
 * parameter that caused it.
 */
enum {
	REQUEST_KEY_BYTES = 128, /* longest Idempotency-Key */
	REQUEST_SESSION_BYTES = 128, /* longest Celeryford-Session */
	REQUEST_DEADLINE_MAX_MS = 600000
};

struct request_parse {
	struct cf_request out;
	json_t *json; /* parsed chat body; the caller must json_decref() it */
	char session[REQUEST_SESSION_BYTES + 1]; /* id without @REVISION */
	const char *key; /* Idempotency-Key or NULL; valid as long as x is */
	const char *param; /* header or field at fault, or NULL */
};

int request_parse_chat(const struct http_server_exchange *x,
    const struct cfg *cfg, int64_t now_us, struct request_parse *parse);
int request_parse_service(const struct http_server_exchange *x,
    const struct cfg *cfg, int64_t now_us, struct request_parse *parse);
int request_workspace(
    const struct http_server_exchange *x, const struct cfg *cfg);

#ifdef __cplusplus
}
#endif

#endif
