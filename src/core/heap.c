#include "core/heap.h"

enum {
	HEAP_ABSENT = UINT32_MAX
};

struct heap_item {
	int64_t due_us;
	uint32_t slot;
};

struct heap {
	const struct alloc *alloc;
	struct heap_item *items;
	uint32_t *positions; /* position of each slot */
	uint32_t count;
};

/* Returns an empty heap for slots 0 to slots - 1. */
struct heap *
heap_new(const struct alloc *alloc, uint32_t slots)
{
	struct heap *heap = alloc_zero(alloc, 1, sizeof(*heap));
	uint32_t i;

	heap->alloc = alloc;
	heap->items = alloc_zero(alloc, slots, sizeof(*heap->items));
	heap->positions = alloc_zero(alloc, slots, sizeof(*heap->positions));
	for (i = 0; i < slots; i++)
		heap->positions[i] = HEAP_ABSENT;
	return heap;
}

void
heap_free(struct heap *heap)
{
	if (heap == NULL)
		return;
	alloc_free(heap->alloc, heap->items);
	alloc_free(heap->alloc, heap->positions);
	alloc_free(heap->alloc, heap);
}

static void
heap_place(struct heap *heap, uint32_t at, struct heap_item item)
{
	heap->items[at] = item;
	heap->positions[item.slot] = at;
}

static void
heap_sift_up(struct heap *heap, uint32_t at, struct heap_item item)
{
	uint32_t parent;

	while (at > 0) {
		parent = (at - 1) / 2;
		if (heap->items[parent].due_us <= item.due_us)
			break;
		heap_place(heap, at, heap->items[parent]);
		at = parent;
	}
	heap_place(heap, at, item);
}

static void
heap_sift_down(struct heap *heap, uint32_t at, struct heap_item item)
{
	uint32_t child;

	while ((child = 2 * at + 1) < heap->count) {
		if (child + 1 < heap->count &&
		    heap->items[child + 1].due_us < heap->items[child].due_us)
			child++;
		if (heap->items[child].due_us >= item.due_us)
			break;
		heap_place(heap, at, heap->items[child]);
		at = child;
	}
	heap_place(heap, at, item);
}

/* Sets or replaces the due time of a slot. */
void
heap_set(struct heap *heap, uint32_t slot, int64_t due_us)
{
	heap_cancel(heap, slot);
	heap_sift_up(heap, heap->count++, (struct heap_item){due_us, slot});
}

/* Removes a slot's due time, if it has one. */
void
heap_cancel(struct heap *heap, uint32_t slot)
{
	uint32_t at = heap->positions[slot];
	struct heap_item last;

	if (at == HEAP_ABSENT)
		return;
	heap->positions[slot] = HEAP_ABSENT;
	last = heap->items[--heap->count];
	if (at == heap->count)
		return;
	if (at > 0 && heap->items[(at - 1) / 2].due_us > last.due_us)
		heap_sift_up(heap, at, last);
	else
		heap_sift_down(heap, at, last);
}

/* Returns the earliest due time, or INT64_MAX if there is none. */
int64_t
heap_next_us(const struct heap *heap)
{
	return heap->count == 0 ? INT64_MAX : heap->items[0].due_us;
}

/*
 * Removes and returns the slot with the earliest due time if that is not after
 * now_us; returns -1 otherwise.
 */
int64_t
heap_pop(struct heap *heap, int64_t now_us)
{
	uint32_t slot;

	if (heap->count == 0 || heap->items[0].due_us > now_us)
		return -1;
	slot = heap->items[0].slot;
	heap_cancel(heap, slot);
	return slot;
}
