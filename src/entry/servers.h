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
 * The backend servers of this data centre by name: what their announcements
 * say, and the index by which the decisions know each.
 */
enum {
	SERVERS_SILENT_US = 3000000, /* unannounced for this long: gone */
	SERVERS_LATE_US = 800000, /* an announcement may be under way so long */
	SERVERS_NAME_BYTES = 64,
	SERVERS_ADDRESS_BYTES = 64,
	SERVERS_VERSIONS_MAX = 32,
	SERVERS_CACHE_MAX = 64 /* cache events of one announcement */
};

struct server_cache_event {
	uint64_t sequence;
	uint64_t prefix;
	bool stored;
};

struct server {
	char name[SERVERS_NAME_BYTES];
	char address[SERVERS_ADDRESS_BYTES]; /* "IP:PORT" */
	char versions[SERVERS_VERSIONS_MAX][CFG_NAME_BYTES];
	uint8_t version_count;
	char services[SERVERS_VERSIONS_MAX][CFG_NAME_BYTES];
	uint8_t service_count;
	struct cf_announce last;
	int64_t heard_us;
	int64_t gone_us; /* when it was last found unreachable */
	bool present;
};

/* One announcement as read from JSON. */
struct server_news {
	struct server server;
	char data_centre[CFG_NAME_BYTES];
	struct server_cache_event cache[SERVERS_CACHE_MAX];
	uint8_t cache_count;
};

struct servers;

struct servers *servers_new(const struct alloc *alloc, uint16_t max);
void servers_free(struct servers *servers);
int servers_parse(
    const char *json, size_t len, struct server_news *news, const char **param);
int servers_take(struct servers *servers, const struct server_news *news,
    const struct cfg *cfg, int64_t now_us);
int servers_expire(struct servers *servers, int64_t now_us);
const struct server *servers_at(const struct servers *servers, uint16_t index);
bool servers_mark_gone(struct servers *servers, uint16_t index, int64_t now_us);
void servers_remask(struct servers *servers, const struct cfg *cfg);
uint16_t servers_count(const struct servers *servers);

#ifdef __cplusplus
}
#endif

#endif
