#include "base/buf.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	BUF_FIRST_SIZE_BYTES = 64
};

/* Prepares an empty buffer; nothing is allocated until the first byte. */
void
buf_init(struct buf *buf, const struct alloc *alloc)
{
	memset(buf, 0, sizeof(*buf));
	buf->alloc = alloc != NULL ? alloc : alloc_default();
}

/* Releases the memory; the buffer is empty and usable afterwards. */
void
buf_free(struct buf *buf)
{
	if (buf->alloc == NULL)
		return;
	alloc_free(buf->alloc, buf->data);
	buf_init(buf, buf->alloc);
}

/* Empties the buffer and keeps its memory. */
void
buf_clear(struct buf *buf)
{
	buf->len = 0;
	if (buf->data != NULL)
		buf->data[0] = '\0';
}

/* Makes room for extra more bytes and the terminating NUL. */
void
buf_reserve(struct buf *buf, size_t extra)
{
	size_t need, size;

	need = buf->len + extra + 1;
	if (need < extra)
		abort();
	if (need <= buf->size)
		return;
	size = buf->size > 0 ? buf->size : BUF_FIRST_SIZE_BYTES;
	while (size < need)
		size *= 2;
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

/* Appends formatted text, as vprintf(3). */
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

/* Appends formatted text, as printf(3). */
void
buf_addf(struct buf *buf, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	buf_addv(buf, format, args);
	va_end(args);
}

/* Drops the first len bytes and moves the rest to the front. */
void
buf_consume(struct buf *buf, size_t len)
{
	assert(len <= buf->len);
	if (len == 0)
		return;
	buf->len -= len;
	memmove(buf->data, buf->data + len, buf->len);
	buf->data[buf->len] = '\0';
}

/* Returns the content as a string; never NULL. */
const char *
buf_text(const struct buf *buf)
{
	return buf->data != NULL ? (const char *)buf->data : "";
}
