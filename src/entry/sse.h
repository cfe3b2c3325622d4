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
 * Splits a stream of server-sent events into whole events, so that the last
 * one, "data: [DONE]", can be held back and a cut stream can be told from a
 * whole one.
 */
enum {
	SSE_EVENT_MAX_BYTES = 1024 * 1024
};

struct sse {
	struct buf partial; /* an event whose end has not come */
	struct buf last; /* the terminator, held back */
	uint32_t tokens; /* events that carry content */
	uint32_t reported; /* completion_tokens of a usage event; 0: none */
	bool done; /* the terminator has come */
};

void sse_init(struct sse *sse, const struct alloc *alloc);
void sse_free(struct sse *sse);
int sse_feed(struct sse *sse, const char *data, size_t len, struct buf *out);
uint32_t sse_output_tokens(const struct sse *sse);

#ifdef __cplusplus
}
#endif

#endif
