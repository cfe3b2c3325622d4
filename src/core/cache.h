#ifndef CF_CACHE_H
#define CF_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Records which backend servers hold which prefix in their prompt caches, as
 * inferred from their cache events and the requests sent to them; an entry may
 * be out of date.  The memory is bounded: a new entry replaces the oldest one
 * of its bucket.
 */
enum {
	/* Entries of a bucket, and thus the most holders of a prefix */
	CACHE_HOLDERS_MAX = 8
};

struct cache;

struct cache *cache_new(const struct alloc *alloc, uint16_t max_servers);
void cache_free(struct cache *cache);
void cache_apply_event(struct cache *cache, uint16_t server, uint64_t sequence,
    uint64_t prefix, bool stored);
void cache_add_prefix(struct cache *cache, uint16_t server, uint64_t prefix);
void cache_drop_server(struct cache *cache, uint16_t server);
uint8_t cache_holders(const struct cache *cache, uint64_t prefix,
    uint16_t servers[CACHE_HOLDERS_MAX]);

#ifdef __cplusplus
}
#endif

#endif
