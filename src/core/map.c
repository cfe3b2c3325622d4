#include "core/map.h"

struct map_cell {
	uint64_t key;
	uint32_t slot;
	bool used;
};

struct map {
	const struct alloc *alloc;
	struct map_cell *cells;
	uint32_t mask;
	uint32_t count;
	uint32_t capacity;
};

/*
 * Returns an empty map for up to capacity keys, at a load factor of at most
 * 1/2.
 */
struct map *
map_new(const struct alloc *alloc, uint32_t capacity)
{
	struct map *map = alloc_zero(alloc, 1, sizeof(*map));
	uint32_t cells = 2;

	while (cells < 2 * (uint64_t)capacity)
		cells *= 2;
	map->alloc = alloc;
	map->cells = alloc_zero(alloc, cells, sizeof(*map->cells));
	map->mask = cells - 1;
	map->capacity = capacity;
	return map;
}

void
map_free(struct map *map)
{
	if (map == NULL)
		return;
	alloc_free(map->alloc, map->cells);
	alloc_free(map->alloc, map);
}

static uint32_t
map_home(const struct map *map, uint64_t key)
{
	key ^= key >> 32;
	key *= UINT64_C(0x9e3779b97f4a7c15);
	return (uint32_t)(key >> 32) & map->mask;
}

/* Returns the cell of a key, or the empty cell where it would be inserted. */
static uint32_t
map_find(const struct map *map, uint64_t key)
{
	uint32_t i = map_home(map, key);

	while (map->cells[i].used && map->cells[i].key != key)
		i = (i + 1) & map->mask;
	return i;
}

/* Sets or replaces the slot of a key.  Returns false if the map is full. */
bool
map_put(struct map *map, uint64_t key, uint32_t slot)
{
	uint32_t i = map_find(map, key);

	if (!map->cells[i].used) {
		if (map->count == map->capacity)
			return false;
		map->count++;
	}
	map->cells[i].used = true;
	map->cells[i].key = key;
	map->cells[i].slot = slot;
	return true;
}

/* Returns the slot of a key, or MAP_NONE. */
int64_t
map_get(const struct map *map, uint64_t key)
{
	uint32_t i = map_find(map, key);

	return map->cells[i].used ? (int64_t)map->cells[i].slot : MAP_NONE;
}

/*
 * Removes a key.  Later cells of the same probe sequence are moved back, so
 * that no tombstone is needed.
 */
void
map_remove(struct map *map, uint64_t key)
{
	uint32_t hole = map_find(map, key);
	uint32_t i = hole;
	uint32_t home;

	if (!map->cells[hole].used)
		return;
	map->count--;
	for (;;) {
		i = (i + 1) & map->mask;
		if (!map->cells[i].used)
			break;
		home = map_home(map, map->cells[i].key);
		if (((i - home) & map->mask) < ((i - hole) & map->mask))
			continue;
		map->cells[hole] = map->cells[i];
		hole = i;
	}
	map->cells[hole].used = false;
}

uint32_t
map_count(const struct map *map)
{
	return map->count;
}
