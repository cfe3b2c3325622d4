#ifndef CF_ALLOC_H
#define CF_ALLOC_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The caller's allocator.  resize() behaves as realloc(3) and never returns
 * NULL for a size above zero: an allocator that has no memory ends the process.
 */
struct alloc {
	void *(*resize)(void *ctx, void *block, size_t size);
	void (*release)(void *ctx, void *block);
	void *ctx;
};

const struct alloc *alloc_default(void);
void *alloc_get(const struct alloc *alloc, size_t size);
void *alloc_zero(const struct alloc *alloc, size_t count, size_t size);
void *alloc_resize(const struct alloc *alloc, void *block, size_t size);
char *alloc_strdup(const struct alloc *alloc, const char *text);
void alloc_free(const struct alloc *alloc, void *block);

#ifdef __cplusplus
}
#endif

#endif
