#include "entry/sse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"

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

/* Returns the length of the first event and its blank line, or 0. */
static size_t
event_len(const char *text, size_t len)
{
	const char *lf = memmem(text, len, "\n\n", 2);
	const char *crlf = memmem(text, len, "\r\n\r\n", 4);

	if (lf != NULL && (crlf == NULL || lf < crlf))
		return (size_t)(lf - text) + 2;
	return crlf != NULL ? (size_t)(crlf - text) + 4 : 0;
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
	size_t at = 0, n;

	if (sse->terminated)
		return len > 0 ? ERR_UPSTREAM : 0;
	buf_add(&sse->partial, data, len);
	while (
	    !sse->terminated && (n = event_len((char *)sse->partial.data + at,
				     sse->partial.len - at)) > 0) {
		process_event(sse, (char *)sse->partial.data + at, n, out);
		at += n;
	}
	buf_consume(&sse->partial, at);
	if (sse->partial.len > SSE_EVENT_MAX_BYTES ||
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
