#include "entry/sse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "http/event_stream.h"

/* Prepares for a new stream. */
void
sse_init(struct sse *sse, const struct alloc *alloc)
{
	memset(sse, 0, sizeof(*sse));
	buf_init(&sse->partial, alloc);
	buf_init(&sse->terminator, alloc);
}

/* Releases the buffers. */
void
sse_free(struct sse *sse)
{
	buf_free(&sse->partial);
	buf_free(&sse->terminator);
}

static bool
starts_with(const char *text, size_t len, const char *start)
{
	size_t n = strlen(start);

	return len >= n && memcmp(text, start, n) == 0;
}

/* Reads the server's own token count if the event contains one. */
static void
read_usage(struct sse *sse, const char *event, size_t len)
{
	static const char key[] = "\"completion_tokens\"";
	const char *at = memmem(event, len, key, sizeof(key) - 1);

	if (at == NULL)
		return;
	at += sizeof(key) - 1;
	at += strspn(at, " :");
	sse->reported_tokens = (uint32_t)strtoul(at, NULL, 10);
}

/* Appends an event to out, or withholds it if it is the terminator. */
static void
process_event(struct sse *sse, const char *event, size_t len, struct buf *out)
{
	if (starts_with(event, len, "data: [DONE]") ||
	    starts_with(event, len, "data:[DONE]")) {
		sse->terminated = true;
		buf_add(&sse->terminator, event, len);
		return;
	}
	if (starts_with(event, len, "data:"))
		sse->content_events++;
	read_usage(sse, event, len);
	buf_add(out, event, len);
}

/*
 * Parses bytes of the stream and appends the events that they complete to out,
 * the terminator excepted.  Returns 0, or ERR_UPSTREAM for bytes after the
 * terminator or an event that is too long.
 */
int
sse_feed(struct sse *sse, const char *data, size_t len, struct buf *out)
{
	size_t n;

	if (sse->terminated)
		return len > 0 ? ERR_UPSTREAM : 0;
	buf_add(&sse->partial, data, len);
	while (!sse->terminated && (n = event_stream_next(&sse->partial,
					&sse->scanned_bytes)) > 0) {
		process_event(sse, (char *)sse->partial.data, n, out);
		buf_consume(&sse->partial, n);
	}
	if (sse->partial.len > EVENT_STREAM_EVENT_MAX_BYTES ||
	    (sse->terminated && sse->partial.len > 0))
		return ERR_UPSTREAM;
	return 0;
}

/* Returns the server's token count, or else the number of data events. */
uint32_t
sse_output_tokens(const struct sse *sse)
{
	return sse->reported_tokens > 0 ? sse->reported_tokens
					: sse->content_events;
}
