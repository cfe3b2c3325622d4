#include "core/cache.h"

enum {
	CACHE_BUCKETS = 8192
};

struct cache_entry {
	uint64_t prefix;
	uint32_t generation; /* valid while it is its server's */
	uint16_t server;
	bool used;
};

struct cache_server {
	uint64_t last_sequence; /* of its cache events; 0: none yet */
	uint32_t generation; /* grows when all its entries become invalid */
};

struct cache {
	const struct alloc *alloc;
	struct cache_entry *entries; /* CACHE_HOLDERS_MAX for each bucket */
	uint8_t *oldest; /* for each bucket: entry to replace next */
	struct cache_server *servers;
	uint16_t max_servers;
};

/* Creates an empty record for servers 0 to max_servers - 1. */
struct cache *
cache_new(const struct alloc *alloc, uint16_t max_servers)
{
	struct cache *cache = alloc_zero(alloc, 1, sizeof(*cache));

	cache->alloc = alloc;
	cache->max_servers = max_servers;
	cache->entries = alloc_zero(alloc,
	    (size_t)CACHE_BUCKETS * CACHE_HOLDERS_MAX, sizeof(*cache->entries));
	cache->oldest = alloc_zero(alloc, CACHE_BUCKETS, 1);
	cache->servers =
	    alloc_zero(alloc, max_servers, sizeof(*cache->servers));
	return cache;
}

void
cache_free(struct cache *cache)
{
	if (cache == NULL)
		return;
	alloc_free(cache->alloc, cache->entries);
	alloc_free(cache->alloc, cache->oldest);
	alloc_free(cache->alloc, cache->servers);
	alloc_free(cache->alloc, cache);
}

static uint32_t
prefix_bucket(uint64_t prefix)
{
	return (uint32_t)(prefix * UINT64_C(0x9e3779b97f4a7c15) >> 32) %
	       CACHE_BUCKETS;
}

static bool
entry_is_valid(const struct cache *cache, const struct cache_entry *e)
{
	return e->used && e->generation == cache->servers[e->server].generation;
}

static struct cache_entry *
find_entry(struct cache *cache, uint16_t server, uint64_t prefix)
{
	struct cache_entry *e =
	    &cache->entries[(size_t)prefix_bucket(prefix) * CACHE_HOLDERS_MAX];
	uint32_t i;

	for (i = 0; i < CACHE_HOLDERS_MAX; i++)
		if (e[i].prefix == prefix && e[i].server == server &&
		    entry_is_valid(cache, &e[i]))
			return &e[i];
	return NULL;
}

/* Adds a prefix that a server holds, known from an event or its own traffic. */
void
cache_add_prefix(struct cache *cache, uint16_t server, uint64_t prefix)
{
	uint32_t bucket = prefix_bucket(prefix);
	struct cache_entry *e;

	if (server >= cache->max_servers ||
	    find_entry(cache, server, prefix) != NULL)
		return;
	e = &cache->entries[(size_t)bucket * CACHE_HOLDERS_MAX +
			    cache->oldest[bucket]];
	cache->oldest[bucket] = (cache->oldest[bucket] + 1) % CACHE_HOLDERS_MAX;
	e->prefix = prefix;
	e->server = server;
	e->generation = cache->servers[server].generation;
	e->used = true;
}

/* Drops all entries of a server; its event sequence may start anew. */
void
cache_drop_server(struct cache *cache, uint16_t server)
{
	if (server >= cache->max_servers)
		return;
	cache->servers[server].generation++;
	cache->servers[server].last_sequence = 0;
}

/*
 * Applies a server's cache event: it stored or evicted a prefix.  A gap in the
 * sequence may hide evictions, so it drops all entries of the server.  An event
 * that arrives twice is ignored.
 */
void
cache_apply_event(struct cache *cache, uint16_t server, uint64_t sequence,
    uint64_t prefix, bool stored)
{
	struct cache_server *s;
	struct cache_entry *e;

	if (server >= cache->max_servers)
		return;
	s = &cache->servers[server];
	if (s->last_sequence != 0 && sequence <= s->last_sequence)
		return;
	if (s->last_sequence != 0 && sequence != s->last_sequence + 1)
		cache_drop_server(cache, server);
	s->last_sequence = sequence;
	if (stored) {
		cache_add_prefix(cache, server, prefix);
		return;
	}
	e = find_entry(cache, server, prefix);
	if (e != NULL)
		e->used = false;
}

/* Lists the servers that hold a prefix by this record; returns how many. */
uint8_t
cache_holders(const struct cache *cache, uint64_t prefix,
    uint16_t servers[CACHE_HOLDERS_MAX])
{
	const struct cache_entry *e =
	    &cache->entries[(size_t)prefix_bucket(prefix) * CACHE_HOLDERS_MAX];
	uint8_t count = 0;
	uint32_t i;

	for (i = 0; i < CACHE_HOLDERS_MAX; i++)
		if (e[i].prefix == prefix && entry_is_valid(cache, &e[i]))
			servers[count++] = e[i].server;
	return count;
}
