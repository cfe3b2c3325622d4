#ifndef BENCH_HEAP_H
#define BENCH_HEAP_H

#include <stddef.h>
#include <stdint.h>

/* Events of a run, earliest first; equal times come in order of insertion. */
struct heap_item {
	int64_t at_us;
	uint64_t order;
	uint32_t kind;
	uint32_t a;
};

struct heap {
	struct heap_item *items;
	size_t count;
	size_t room;
	uint64_t order;
};

void heap_add(struct heap *heap, int64_t at_us, uint32_t kind, uint32_t a);
struct heap_item heap_take(struct heap *heap);
void heap_free(struct heap *heap);

#endif
