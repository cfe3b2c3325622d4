#ifndef CF_ALLOC_H
#define CF_ALLOC_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * An allocator supplied by the caller.  resize() behaves like realloc(3) but
 * never returns NULL for a non-zero size: an allocator that runs out of memory
 * must end the process.  ctx is passed to both functions.
 */
struct alloc {
	void *(*resize)(void *ctx, void *block, size_t size);
	void (*release)(void *ctx, void *block);
	void *ctx;
};

const struct alloc *alloc_default(void);
void alloc_return_early(void);
void *alloc_get(const struct alloc *alloc, size_t size);
void *alloc_zero(const struct alloc *alloc, size_t count, size_t size);
void *alloc_resize(const struct alloc *alloc, void *block, size_t size);
char *alloc_strdup(const struct alloc *alloc, const char *text);
void alloc_free(const struct alloc *alloc, void *block);

#ifdef __cplusplus
}
#endif

#endif
