#include "http/event_stream.h"

#include <stdbool.h>
#include <string.h>

/* Returns whether the line break at position i ends an empty line. */
static bool
ends_empty_line(const uint8_t *data, size_t i)
{
	return data[i - 1] == '\n' ||
	       (i >= 2 && data[i - 1] == '\r' && data[i - 2] == '\n');
}

/*
 * Returns the length of the first event in the buffer, with its empty line, or
 * 0 if none is complete.  The caller removes the event before the next call.
 *
 * scanned_bytes keeps the bytes at the start of the buffer that are known to
 * hold no end of an event, so that each byte is looked at once however small
 * the parts are.  It is 0 for an empty buffer.
 */
size_t
event_stream_next(const struct buf *buf, size_t *scanned_bytes)
{
	size_t i = *scanned_bytes > 0 ? *scanned_bytes : 1;

	while (i < buf->len) {
		const uint8_t *end = memchr(buf->data + i, '\n', buf->len - i);

		if (end == NULL)
			break;
		i = (size_t)(end - buf->data);
		if (ends_empty_line(buf->data, i)) {
			*scanned_bytes = 0;
			return i + 1;
		}
		i++;
	}
	*scanned_bytes = buf->len;
	return 0;
}
