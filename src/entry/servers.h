#ifndef CF_SERVERS_H
#define CF_SERVERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "celeryford.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The table of the backend servers of this data centre: the last announcement
 * of each, and the index by which the router refers to it.
 */
enum {
	SERVERS_SILENCE_MAX_US = 3000000, /* without announcement: gone */
	SERVERS_IN_TRANSIT_MAX_US = 800000, /* longest announcement delay */
	SERVERS_NAME_BYTES = 64,
	SERVERS_ADDRESS_BYTES = 64,
	SERVERS_VERSIONS_MAX = 32,
	SERVERS_CACHE_MAX = 64 /* cache events in one announcement */
};

/* A change of a server's prompt prefix cache. */
struct server_cache_event {
	uint64_t sequence;
	uint64_t prefix; /* hash of the prompt prefix */
	bool stored; /* false: evicted */
};

struct server {
	char name[SERVERS_NAME_BYTES];
	char address[SERVERS_ADDRESS_BYTES]; /* "IP:PORT" */
	char versions[SERVERS_VERSIONS_MAX][CFG_NAME_BYTES];
	uint8_t version_count;
	char services[SERVERS_VERSIONS_MAX][CFG_NAME_BYTES];
	uint8_t service_count;
	struct cf_announce last; /* the latest; kept once the server is gone */
	int64_t last_announced_us;
	int64_t unreachable_since_us; /* last marked so; 0: never */
	bool present; /* announcing itself and reachable */
};

/* One announcement, parsed from JSON or received from an instance. */
struct server_announcement {
	struct server server;
	char data_centre[CFG_NAME_BYTES];
	struct server_cache_event cache[SERVERS_CACHE_MAX];
	uint8_t cache_count;
};

struct servers;

struct servers *servers_new(const struct alloc *alloc, uint16_t max);
void servers_free(struct servers *servers);
int servers_parse(const char *json, size_t len,
    struct server_announcement *announcement, const char **param);
int servers_update(struct servers *servers,
    const struct server_announcement *announcement, const struct cfg *cfg,
    int64_t now_us);
int servers_expire(struct servers *servers, int64_t now_us);
const struct server *servers_at(const struct servers *servers, uint16_t index);
bool servers_mark_gone(struct servers *servers, uint16_t index, int64_t now_us);
void servers_update_masks(struct servers *servers, const struct cfg *cfg);
uint16_t servers_count(const struct servers *servers);

#ifdef __cplusplus
}
#endif

#endif
