#ifndef CF_BUF_H
#define CF_BUF_H

#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A growable byte buffer.  Once allocated, data is always followed by a NUL
 * byte that len does not count, so that text can be passed to C library
 * functions directly.
 */
struct buf {
	const struct alloc *alloc;
	uint8_t *data;
	size_t len;
	size_t size; /* allocated bytes from data on, including the NUL */
	size_t consumed; /* allocated bytes before data */
};

void buf_init(struct buf *buf, const struct alloc *alloc);
void buf_free(struct buf *buf);
void buf_clear(struct buf *buf);
void buf_reserve(struct buf *buf, size_t extra);
void buf_add(struct buf *buf, const void *data, size_t len);
void buf_adds(struct buf *buf, const char *text);
void buf_addf(struct buf *buf, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void buf_addv(struct buf *buf, const char *format, va_list args);
void buf_consume(struct buf *buf, size_t len);
const char *buf_text(const struct buf *buf);

#ifdef __cplusplus
}
#endif

#endif
