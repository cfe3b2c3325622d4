#ifndef CF_GATEWAY_FORWARD_H
#define CF_GATEWAY_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "http/headers.h"
#include "wire/secure.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The header field with which an instance that has lost its path to the servers
 * forwards a caller's request to another one, which treats it as a request of
 * its own caller.  The field says what has been done for the request so far,
 * and its code proves that the sender has the cluster key.  A request is
 * forwarded once at most.
 *
 * Bodies and API keys are not encrypted on the way, as they are not on the way
 * to backend servers either.
 */
#define GW_FORWARD_FIELD "Celeryford-Forward"
/*
 * In an answer: the instance can't take forwarded requests, and has not sent
 * this one to a server.
 */
#define GW_FORWARD_DECLINED_FIELD "Celeryford-Forward-Declined"

enum {
	GW_FORWARD_FIELD_BYTES = 256 /* most that the field adds to a header */
};

struct gw_forward {
	uint32_t from; /* instance that forwards the request */
	uint32_t to; /* instance that it is forwarded to */
	uint64_t document; /* number of the sender's document */
	uint32_t sends; /* attempts so far */
	uint32_t runs; /* those that ran or may have run */
	bool may_have_run;
	bool may_have_arrived; /* at a server */
	bool is_counted; /* in the sender's retry budget */
};

void gw_forward_write(const struct gw_forward *forward, const char *target,
    const struct secure_keys *keys, struct buf *lines);
int gw_forward_read(const struct header_fields *headers, const char *target,
    uint32_t self, const struct secure_keys *keys, struct gw_forward *forward);

#ifdef __cplusplus
}
#endif

#endif
