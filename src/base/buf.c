#include "base/buf.h"

#include <assert.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	BUF_INITIAL_BYTES = 64,
	BUF_KEPT_MAX_BYTES = 64 * 1024, /* of an empty buffer */
	/* Larger buffers grow by a quarter instead of doubling. */
	BUF_DOUBLING_MAX_BYTES = 256 * 1024
};

/*
 * Initializes an empty buffer; memory is allocated on first use.  alloc may be
 * NULL for the default allocator.
 */
void
buf_init(struct buf *buf, const struct alloc *alloc)
{
	memset(buf, 0, sizeof(*buf));
	buf->alloc = alloc != NULL ? alloc : alloc_default();
}

/* Moves the content to the start of the allocated memory. */
static void
move_to_start(struct buf *buf)
{
	uint8_t *start;

	if (buf->consumed == 0)
		return;
	start = buf->data - buf->consumed;
	memmove(start, buf->data, buf->len + 1);
	buf->data = start;
	buf->size += buf->consumed;
	buf->consumed = 0;
}

/* Frees the memory and leaves an empty buffer that can be used again. */
void
buf_free(struct buf *buf)
{
	if (buf->alloc == NULL)
		return;
	if (buf->data != NULL)
		alloc_free(buf->alloc, buf->data - buf->consumed);
	buf_init(buf, buf->alloc);
}

/*
 * Empties the buffer.  Its memory is kept for the next use, unless it is more
 * than BUF_KEPT_MAX_BYTES.
 */
void
buf_clear(struct buf *buf)
{
	if (buf->data == NULL)
		return;
	if (buf->size + buf->consumed > BUF_KEPT_MAX_BYTES) {
		buf_free(buf);
		return;
	}
	buf->len = 0;
	buf->data[0] = '\0';
	move_to_start(buf);
}

/*
 * Ensures room for extra more bytes and the terminating NUL.  Aborts if the
 * size overflows.
 */
void
buf_reserve(struct buf *buf, size_t extra)
{
	size_t need, size;
	bool may_reuse;

	need = buf->len + extra + 1;
	if (need < extra)
		abort();
	if (need <= buf->size)
		return;
	/*
	 * The content is moved only where as much was consumed; otherwise the
	 * buffer grows.  So the work for each byte is bounded.
	 */
	may_reuse = buf->consumed >= buf->len;
	move_to_start(buf);
	if (may_reuse && need <= buf->size)
		return;
	size = buf->size > 0 ? buf->size : BUF_INITIAL_BYTES;
	while (size < need || size == buf->size)
		size += size < BUF_DOUBLING_MAX_BYTES ? size : size / 4;
	buf->data = alloc_resize(buf->alloc, buf->data, size);
	buf->size = size;
	buf->data[buf->len] = '\0';
}

/* Appends len bytes. */
void
buf_add(struct buf *buf, const void *data, size_t len)
{
	buf_reserve(buf, len);
	if (len > 0)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
}

/* Appends a string without its NUL. */
void
buf_adds(struct buf *buf, const char *text)
{
	buf_add(buf, text, strlen(text));
}

/*
 * Appends text formatted as by vprintf(3).  Appends nothing if formatting
 * fails.
 */
void
buf_addv(struct buf *buf, const char *format, va_list args)
{
	char *text;
	int n;

	n = vasprintf(&text, format, args);
	if (n < 0)
		return;
	buf_add(buf, text, (size_t)n);
	free(text);
}

/* Appends text formatted as by printf(3); see buf_addv(). */
void
buf_addf(struct buf *buf, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	buf_addv(buf, format, args);
	va_end(args);
}

/*
 * Removes the first len bytes, which moves data.  len must not exceed the
 * buffer's length.  A buffer that is empty then is as after buf_clear().
 */
void
buf_consume(struct buf *buf, size_t len)
{
	assert(len <= buf->len);
	if (len == 0)
		return;
	buf->data += len;
	buf->len -= len;
	buf->size -= len;
	buf->consumed += len;
	if (buf->len == 0)
		buf_clear(buf);
}

/* Returns the content as a NUL-terminated string; never NULL. */
const char *
buf_text(const struct buf *buf)
{
	return buf->data != NULL ? (const char *)buf->data : "";
}
