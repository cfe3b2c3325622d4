#include "base/sorted_keys.h"

#include <string.h>

enum {
	SIZE_MIN = 16
};

/* Makes an empty set, which allocates nothing yet. */
void
sorted_keys_init(struct sorted_keys *set, const struct alloc *alloc)
{
	*set = (struct sorted_keys){.alloc = alloc};
}

void
sorted_keys_release(struct sorted_keys *set)
{
	alloc_free(set->alloc, set->keys);
	sorted_keys_init(set, set->alloc);
}

/* Returns the number of keys below a key. */
uint32_t
sorted_keys_below(const struct sorted_keys *set, uint64_t key)
{
	uint32_t low = 0, high = set->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (set->keys[middle] < key)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Returns the number of keys above a key. */
uint32_t
sorted_keys_above(const struct sorted_keys *set, uint64_t key)
{
	return key == UINT64_MAX ? 0
				 : set->count - sorted_keys_below(set, key + 1);
}

void
sorted_keys_add(struct sorted_keys *set, uint64_t key)
{
	uint32_t at = sorted_keys_below(set, key);

	if (set->count == set->size) {
		set->size = set->size > 0 ? set->size * 2 : SIZE_MIN;
		set->keys = alloc_resize(
		    set->alloc, set->keys, set->size * sizeof(*set->keys));
	}
	memmove(&set->keys[at + 1], &set->keys[at],
	    (set->count - at) * sizeof(*set->keys));
	set->keys[at] = key;
	set->count++;
}

/* Removes one instance of a key, if there is any. */
void
sorted_keys_remove(struct sorted_keys *set, uint64_t key)
{
	uint32_t at = sorted_keys_below(set, key);

	if (at == set->count || set->keys[at] != key)
		return;
	set->count--;
	memmove(&set->keys[at], &set->keys[at + 1],
	    (set->count - at) * sizeof(*set->keys));
}

/* Returns a key that orders numbers of 0 and more by their value. */
uint64_t
sorted_keys_of_double(double value)
{
	uint64_t key = 0;

	if (value > 0)
		memcpy(&key, &value, sizeof(key));
	return key;
}
