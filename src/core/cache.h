#ifndef CF_CACHE_H
#define CF_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What is believed of the backend servers' prompt caches: which servers hold
 * which prefix.  Bounded memory, the oldest belief of a bucket goes first.
 */
enum {
	CACHE_WAYS = 8 /* servers remembered for one prefix, at the most */
};

struct cache;

struct cache *cache_new(const struct alloc *alloc, uint16_t max_servers);
void cache_free(struct cache *cache);
void cache_event(struct cache *cache, uint16_t server, uint64_t sequence,
    uint64_t prefix, bool stored);
void cache_believe(struct cache *cache, uint16_t server, uint64_t prefix);
void cache_forget_server(struct cache *cache, uint16_t server);
uint8_t cache_holders(
    const struct cache *cache, uint64_t prefix, uint16_t servers[CACHE_WAYS]);

#ifdef __cplusplus
}
#endif

#endif
