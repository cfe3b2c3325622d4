#ifndef CF_SSE_H
#define CF_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Splits a byte stream into complete server-sent events.  The terminator,
 * "data: [DONE]", is withheld, and its absence shows that a stream was cut.
 */
struct sse {
	struct buf partial; /* an incomplete event */
	size_t scanned_bytes; /* of it; see event_stream.h */
	struct buf terminator; /* the withheld terminator */
	uint32_t content_events; /* events with data, the terminator excepted */
	uint32_t reported_tokens; /* from completion_tokens; 0: none */
	bool terminated; /* the terminator has been received */
};

void sse_init(struct sse *sse, const struct alloc *alloc);
void sse_free(struct sse *sse);
int sse_feed(struct sse *sse, const char *data, size_t len, struct buf *out);
uint32_t sse_output_tokens(const struct sse *sse);

#ifdef __cplusplus
}
#endif

#endif
