#ifndef CF_SORTED_KEYS_H
#define CF_SORTED_KEYS_H

#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A multiset of keys that tells in logarithmic time how many keys are below
 * one. To change it moves memory, but looks at no more than the logarithm of
 * the keys.
 */
struct sorted_keys {
	const struct alloc *alloc;
	uint64_t *keys; /* ascending */
	uint32_t count;
	uint32_t size;
};

void sorted_keys_init(struct sorted_keys *set, const struct alloc *alloc);
void sorted_keys_release(struct sorted_keys *set);
void sorted_keys_add(struct sorted_keys *set, uint64_t key);
void sorted_keys_remove(struct sorted_keys *set, uint64_t key);
uint32_t sorted_keys_below(const struct sorted_keys *set, uint64_t key);
uint32_t sorted_keys_above(const struct sorted_keys *set, uint64_t key);
uint64_t sorted_keys_of_double(double value);

#ifdef __cplusplus
}
#endif

#endif
