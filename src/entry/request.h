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
 * A caller's HTTP request, checked and turned into what the decisions read.
 * Everything wrong with it is one error kind and the parameter it is about.
 */
enum {
	REQUEST_KEY_BYTES = 128, /* Idempotency-Key, longest */
	REQUEST_SESSION_BYTES = 128, /* Celeryford-Session, longest */
	REQUEST_DEADLINE_MAX_MS = 600000
};

struct request_parse {
	struct cf_request out;
	json_t *json; /* chat: the body, to be released by the caller */
	char session[REQUEST_SESSION_BYTES + 1]; /* without its birth */
	const char *key; /* Idempotency-Key, or NULL; lives with x */
	const char *param; /* what an error is about */
};

int request_parse_chat(const struct hs_exchange *x, const struct cfg *cfg,
    int64_t now_us, struct request_parse *parse);
int request_parse_service(const struct hs_exchange *x, const struct cfg *cfg,
    int64_t now_us, struct request_parse *parse);
int request_workspace(const struct hs_exchange *x, const struct cfg *cfg);

#ifdef __cplusplus
}
#endif

#endif
