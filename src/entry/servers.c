#include "entry/servers.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "config/compile.h"

struct servers {
	const struct alloc *alloc;
	struct server *items;
	uint16_t count; /* places used, servers that went included */
	uint16_t max;
};

/* Creates an empty table for up to max servers. */
struct servers *
servers_new(const struct alloc *alloc, uint16_t max)
{
	struct servers *servers = alloc_zero(alloc, 1, sizeof(*servers));

	servers->alloc = alloc;
	servers->max = max;
	servers->items = alloc_zero(alloc, max, sizeof(*servers->items));
	return servers;
}

/* Releases the table. */
void
servers_free(struct servers *servers)
{
	if (servers == NULL)
		return;
	alloc_free(servers->alloc, servers->items);
	alloc_free(servers->alloc, servers);
}

static bool
take_text(const json_t *root, const char *key, char *out, size_t size)
{
	const char *text = json_string_value(json_object_get(root, key));

	if (text == NULL || text[0] == '\0' || strlen(text) >= size)
		return false;
	snprintf(out, size, "%s", text);
	return true;
}

static bool
take_names(const json_t *root, const char *key,
    char out[SERVERS_VERSIONS_MAX][CFG_NAME_BYTES], uint8_t *count)
{
	const json_t *list = json_object_get(root, key);
	size_t i;
	json_t *item;

	*count = 0;
	if (list == NULL)
		return true;
	if (!json_is_array(list) ||
	    json_array_size(list) > SERVERS_VERSIONS_MAX)
		return false;
	json_array_foreach(list, i, item)
	{
		const char *text = json_string_value(item);

		if (text == NULL || strlen(text) >= CFG_NAME_BYTES)
			return false;
		snprintf(out[(*count)++], CFG_NAME_BYTES, "%s", text);
	}
	return true;
}

static bool
take_number(const json_t *root, const char *key, uint64_t max, uint64_t *out)
{
	const json_t *value = json_object_get(root, key);

	*out = 0;
	if (value == NULL)
		return true;
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return true;
}

static bool
take_u16(const json_t *root, const char *key, uint16_t *out)
{
	uint64_t value;
	bool fits = take_number(root, key, UINT16_MAX, &value);

	*out = (uint16_t)value;
	return fits;
}

static bool
take_cache(const json_t *root, struct server_news *news)
{
	const json_t *list = json_object_get(root, "cache");
	size_t i;
	json_t *item;

	if (list == NULL)
		return true;
	if (!json_is_array(list))
		return false;
	json_array_foreach(list, i, item)
	{
		struct server_cache_event *event;
		const char *prefix =
		    json_string_value(json_object_get(item, "prefix"));

		if (news->cache_count == SERVERS_CACHE_MAX)
			break;
		event = &news->cache[news->cache_count++];
		if (prefix == NULL ||
		    !take_number(item, "seq", INT64_MAX, &event->sequence))
			return false;
		event->prefix = strtoull(prefix, NULL, 16);
		event->stored = json_is_true(json_object_get(item, "stored"));
	}
	return true;
}

static const char *
parse_object(const json_t *root, struct server_news *news)
{
	struct server *s = &news->server;
	struct cf_announce *a = &s->last;
	char warmth[CFG_NAME_BYTES];
	uint64_t token_us;

	if (!take_text(root, "server", s->name, sizeof(s->name)))
		return "server";
	if (!take_text(root, "address", s->address, sizeof(s->address)))
		return "address";
	if (!take_text(root, "data_centre", news->data_centre,
		sizeof(news->data_centre)))
		return "data_centre";
	if (!take_names(root, "versions", s->versions, &s->version_count))
		return "versions";
	if (!take_names(root, "services", s->services, &s->service_count))
		return "services";
	if (!take_number(root, "incarnation", INT64_MAX, &a->incarnation))
		return "incarnation";
	if (!take_text(root, "warmth", warmth, sizeof(warmth)) ||
	    (strcmp(warmth, "cold") != 0 && strcmp(warmth, "warm") != 0))
		return "warmth";
	a->warmth = warmth[0] == 'w' ? CF_WARM : CF_COLD;
	if (!take_u16(root, "slots", &a->slots) || a->slots == 0)
		return "slots";
	if (!take_u16(root, "cold_slots", &a->cold_slots))
		return "cold_slots";
	if (!take_u16(root, "running", &a->running) ||
	    !take_u16(root, "queued", &a->queued))
		return "running";
	if (!take_number(root, "token_us", UINT32_MAX, &token_us))
		return "token_us";
	a->token_us = (uint32_t)token_us;
	a->leaving = json_is_true(json_object_get(root, "leaving"));
	return take_cache(root, news) ? NULL : "cache";
}

/*
 * Reads an announcement.  Returns 0, or ERR_MALFORMED with param naming the
 * key that is missing or out of range.
 */
int
servers_parse(
    const char *json, size_t len, struct server_news *news, const char **param)
{
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, NULL);

	memset(news, 0, sizeof(*news));
	*param = root != NULL && json_is_object(root) ? parse_object(root, news)
						      : "body";
	json_decref(root);
	return *param == NULL ? 0 : ERR_MALFORMED;
}

static void
set_masks(struct server *server, const struct cfg *cfg)
{
	server->last.versions = 0;
	server->last.services = 0;
	for (uint8_t i = 0; i < server->version_count; i++) {
		int v = cfg_find_version(cfg, server->versions[i]);

		if (v >= 0)
			server->last.versions |= (uint64_t)1 << v;
	}
	for (uint8_t i = 0; i < server->service_count; i++) {
		int v = cfg_find_service(cfg, server->services[i]);

		if (v >= 0)
			server->last.services |= (uint64_t)1 << v;
	}
}

/* Returns the place of a name, or a place for a new one, or -1. */
static int
place_of(const struct servers *servers, const char *name)
{
	int spare = servers->count < servers->max ? servers->count : -1;

	for (uint16_t i = 0; i < servers->count; i++) {
		if (strcmp(servers->items[i].name, name) == 0)
			return i;
		if (!servers->items[i].present)
			spare = i;
	}
	return spare;
}

/*
 * Takes an announcement in.  Returns the server's index, ERR_STALE for one of
 * an earlier incarnation, or ERR_NO_CAPACITY if the table is full.
 */
int
servers_take(struct servers *servers, const struct server_news *news,
    const struct cfg *cfg, int64_t now_us)
{
	int i = place_of(servers, news->server.name);
	struct server *server;

	if (i < 0)
		return ERR_NO_CAPACITY;
	server = &servers->items[i];
	if (server->present &&
	    news->server.last.incarnation < server->last.incarnation)
		return ERR_STALE;
	if (!server->present && server->gone_us != 0 &&
	    strcmp(server->name, news->server.name) == 0 &&
	    news->server.last.incarnation == server->last.incarnation &&
	    now_us - server->gone_us < SERVERS_LATE_US)
		return ERR_STALE;
	*server = news->server;
	server->present = true;
	server->heard_us = now_us;
	server->last.server = (uint16_t)i;
	server->last.reported_us = now_us;
	set_masks(server, cfg);
	if (i == servers->count)
		servers->count++;
	return i;
}

/* Returns a server that has been silent too long, now marked, or -1. */
int
servers_expire(struct servers *servers, int64_t now_us)
{
	for (uint16_t i = 0; i < servers->count; i++) {
		struct server *server = &servers->items[i];

		if (server->present &&
		    now_us - server->heard_us > SERVERS_SILENT_US) {
			server->present = false;
			return i;
		}
	}
	return -1;
}

/* Returns the server of an index; its name stays after it has gone. */
const struct server *
servers_at(const struct servers *servers, uint16_t index)
{
	return &servers->items[index];
}

/*
 * Takes a server that can't be reached for gone.  What it announced before may
 * still arrive for a moment and does not bring it back.  Returns false if it
 * was gone already.
 */
bool
servers_mark_gone(struct servers *servers, uint16_t index, int64_t now_us)
{
	struct server *server = &servers->items[index];

	if (!server->present)
		return false;
	server->present = false;
	server->gone_us = now_us;
	return true;
}

/* Works the version masks out anew after a configuration change. */
void
servers_remask(struct servers *servers, const struct cfg *cfg)
{
	for (uint16_t i = 0; i < servers->count; i++)
		set_masks(&servers->items[i], cfg);
}

/* Returns the number of places in use, for loops over servers_at(). */
uint16_t
servers_count(const struct servers *servers)
{
	return servers->count;
}
