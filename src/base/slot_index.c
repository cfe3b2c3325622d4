#include "base/slot_index.h"

#include <string.h>

enum {
	SLOTS_MIN = 32
};

struct slot_index_entry {
	uint64_t key;
	uint16_t next; /* slot in the same bucket */
	bool used;
};

/* Makes an empty index, which allocates nothing yet. */
void
slot_index_init(struct slot_index *index, const struct alloc *alloc)
{
	*index = (struct slot_index){.alloc = alloc};
}

void
slot_index_release(struct slot_index *index)
{
	alloc_free(index->alloc, index->entries);
	alloc_free(index->alloc, index->heads);
	slot_index_init(index, index->alloc);
}

/* Returns the bucket of a key, whose bits may be distributed unevenly. */
static uint16_t *
bucket_of(const struct slot_index *index, uint64_t key)
{
	key ^= key >> 32;
	key *= UINT64_C(0x9e3779b97f4a7c15);
	return &index->heads[(uint32_t)(key >> 32) & (index->bucket_count - 1)];
}

static void
link_slot(struct slot_index *index, uint16_t slot)
{
	uint16_t *head = bucket_of(index, index->entries[slot].key);

	index->entries[slot].next = *head;
	*head = slot;
}

/* Makes room for a slot, with as many buckets as slots. */
static void
grow(struct slot_index *index, uint16_t slot)
{
	uint32_t size = index->size > 0 ? index->size : SLOTS_MIN;

	while (size <= slot)
		size *= 2;
	index->entries = alloc_resize(
	    index->alloc, index->entries, size * sizeof(*index->entries));
	memset(&index->entries[index->size], 0,
	    (size - index->size) * sizeof(*index->entries));
	index->heads = alloc_resize(
	    index->alloc, index->heads, size * sizeof(*index->heads));
	for (uint32_t i = 0; i < size; i++)
		index->heads[i] = SLOT_INDEX_NONE;
	index->size = index->bucket_count = size;
	for (uint32_t i = 0; i < size; i++) {
		if (index->entries[i].used)
			link_slot(index, (uint16_t)i);
	}
}

/* Sets the key of a slot, in place of the one that it has. */
void
slot_index_put(struct slot_index *index, uint64_t key, uint16_t slot)
{
	slot_index_remove(index, slot);
	if (slot >= index->size)
		grow(index, slot);
	index->entries[slot].key = key;
	index->entries[slot].used = true;
	link_slot(index, slot);
}

/* Removes a slot's key if it has one. */
void
slot_index_remove(struct slot_index *index, uint16_t slot)
{
	uint16_t *at;

	if (slot >= index->size || !index->entries[slot].used)
		return;
	at = bucket_of(index, index->entries[slot].key);
	while (*at != slot)
		at = &index->entries[*at].next;
	*at = index->entries[slot].next;
	index->entries[slot].used = false;
}

/* Returns the first slot with a key from a slot on, or SLOT_INDEX_NONE. */
static uint16_t
find_from(const struct slot_index *index, uint64_t key, uint16_t slot)
{
	while (slot != SLOT_INDEX_NONE && index->entries[slot].key != key)
		slot = index->entries[slot].next;
	return slot;
}

/* Returns a slot with a key, or SLOT_INDEX_NONE. */
uint16_t
slot_index_first(const struct slot_index *index, uint64_t key)
{
	return index->bucket_count > 0
		   ? find_from(index, key, *bucket_of(index, key))
		   : (uint16_t)SLOT_INDEX_NONE;
}

/* Returns another slot with the same key, or SLOT_INDEX_NONE. */
uint16_t
slot_index_next(const struct slot_index *index, uint16_t slot)
{
	return find_from(
	    index, index->entries[slot].key, index->entries[slot].next);
}
