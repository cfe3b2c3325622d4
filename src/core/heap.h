#ifndef CF_HEAP_H
#define CF_HEAP_H

#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A binary min-heap of due times, at most one for each table slot.  Nothing is
 * allocated after heap_new().
 */
struct heap;

struct heap *heap_new(const struct alloc *alloc, uint32_t slots);
void heap_free(struct heap *heap);
void heap_set(struct heap *heap, uint32_t slot, int64_t due_us);
void heap_cancel(struct heap *heap, uint32_t slot);
int64_t heap_next_us(const struct heap *heap);
int64_t heap_pop(struct heap *heap, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
