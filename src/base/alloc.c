#include "base/alloc.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	ALLOC_RETURNED_MIN_BYTES = 128 * 1024
};

static void *
libc_resize(void *ctx, void *block, size_t size)
{
	void *p;

	(void)ctx;
	p = realloc(block, size);
	if (p == NULL && size > 0) {
		fputs("celeryford: out of memory\n", stderr);
		abort();
	}
	return p;
}

static void
libc_release(void *ctx, void *block)
{
	(void)ctx;
	free(block);
}

/* Returns the C library's allocator, which aborts when memory runs out. */
const struct alloc *
alloc_default(void)
{
	static const struct alloc libc = {libc_resize, libc_release, NULL};

	return &libc;
}

/*
 * Makes the C library give blocks of ALLOC_RETURNED_MIN_BYTES or more back to
 * the system as soon as they are freed.  Otherwise this threshold grows with
 * the blocks that are freed.  To be called before the first allocation.
 */
void
alloc_return_early(void)
{
	(void)mallopt(M_MMAP_THRESHOLD, ALLOC_RETURNED_MIN_BYTES);
	(void)mallopt(M_TRIM_THRESHOLD, ALLOC_RETURNED_MIN_BYTES);
}

/* Allocates size uninitialized bytes. */
void *
alloc_get(const struct alloc *alloc, size_t size)
{
	return alloc->resize(alloc->ctx, NULL, size);
}

/*
 * Allocates a zero-filled array of count elements of size bytes each.  Aborts
 * if count * size overflows.
 */
void *
alloc_zero(const struct alloc *alloc, size_t count, size_t size)
{
	void *p;

	if (size != 0 && count > (size_t)-1 / size)
		abort();
	p = alloc_get(alloc, count * size);
	memset(p, 0, count * size);
	return p;
}

/* Resizes a block to size bytes and returns its possibly new address. */
void *
alloc_resize(const struct alloc *alloc, void *block, size_t size)
{
	return alloc->resize(alloc->ctx, block, size);
}

/* Returns a copy of a string, or NULL for NULL. */
char *
alloc_strdup(const struct alloc *alloc, const char *text)
{
	size_t n;
	char *p;

	if (text == NULL)
		return NULL;
	n = strlen(text) + 1;
	p = alloc_get(alloc, n);
	memcpy(p, text, n);
	return p;
}

/* Frees a block; NULL is allowed. */
void
alloc_free(const struct alloc *alloc, void *block)
{
	if (block != NULL)
		alloc->release(alloc->ctx, block);
}
