#ifndef CF_MAP_H
#define CF_MAP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	MAP_NONE = -1
};

/*
 * A hash map from 64-bit keys to table slots, with linear probing.  Its
 * capacity is fixed at creation, so that nothing is allocated afterwards.
 */
struct map;

struct map *map_new(const struct alloc *alloc, uint32_t capacity);
void map_free(struct map *map);
bool map_put(struct map *map, uint64_t key, uint32_t slot);
int64_t map_get(const struct map *map, uint64_t key);
void map_remove(struct map *map, uint64_t key);
uint32_t map_count(const struct map *map);

#ifdef __cplusplus
}
#endif

#endif
