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
	uint16_t count; /* slots in use, including servers that are gone */
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
parse_text(const json_t *root, const char *key, char *out, size_t size)
{
	const char *text = json_string_value(json_object_get(root, key));

	if (text == NULL || text[0] == '\0' || strlen(text) >= size)
		return false;
	snprintf(out, size, "%s", text);
	return true;
}

static bool
parse_names(const json_t *root, const char *key,
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
parse_number(const json_t *root, const char *key, uint64_t max, uint64_t *out)
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
parse_u16(const json_t *root, const char *key, uint16_t *out)
{
	uint64_t value;
	bool fits = parse_number(root, key, UINT16_MAX, &value);

	*out = (uint16_t)value;
	return fits;
}

static bool
parse_cache(const json_t *root, struct server_announcement *announcement)
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

		if (announcement->cache_count == SERVERS_CACHE_MAX)
			break;
		event = &announcement->cache[announcement->cache_count++];
		if (prefix == NULL ||
		    !parse_number(item, "seq", INT64_MAX, &event->sequence))
			return false;
		event->prefix = strtoull(prefix, NULL, 16);
		event->stored = json_is_true(json_object_get(item, "stored"));
	}
	return true;
}

static const char *
parse_object(const json_t *root, struct server_announcement *announcement)
{
	struct server *s = &announcement->server;
	struct cf_announce *a = &s->last;
	char warmth[CFG_NAME_BYTES];
	uint64_t token_us;

	if (!parse_text(root, "server", s->name, sizeof(s->name)))
		return "server";
	if (!parse_text(root, "address", s->address, sizeof(s->address)))
		return "address";
	if (!parse_text(root, "data_centre", announcement->data_centre,
		sizeof(announcement->data_centre)))
		return "data_centre";
	if (!parse_names(root, "versions", s->versions, &s->version_count))
		return "versions";
	if (!parse_names(root, "services", s->services, &s->service_count))
		return "services";
	if (!parse_number(root, "incarnation", INT64_MAX, &a->incarnation))
		return "incarnation";
	if (!parse_text(root, "warmth", warmth, sizeof(warmth)) ||
	    (strcmp(warmth, "cold") != 0 && strcmp(warmth, "warm") != 0))
		return "warmth";
	a->warmth = warmth[0] == 'w' ? CF_WARM : CF_COLD;
	if (!parse_u16(root, "slots", &a->slots) || a->slots == 0)
		return "slots";
	if (!parse_u16(root, "cold_slots", &a->cold_slots))
		return "cold_slots";
	if (!parse_u16(root, "running", &a->running) ||
	    !parse_u16(root, "queued", &a->queued))
		return "running";
	if (!parse_number(root, "token_us", UINT32_MAX, &token_us))
		return "token_us";
	a->token_us = (uint32_t)token_us;
	a->leaving = json_is_true(json_object_get(root, "leaving"));
	return parse_cache(root, announcement) ? NULL : "cache";
}

/*
 * Reads an announcement.  Returns 0, or ERR_MALFORMED with param naming the
 * key that is missing or out of range.
 */
int
servers_parse(const char *json, size_t len,
    struct server_announcement *announcement, const char **param)
{
	json_t *root = json_loadb(json, len, JSON_REJECT_DUPLICATES, NULL);

	memset(announcement, 0, sizeof(*announcement));
	*param = root != NULL && json_is_object(root)
		     ? parse_object(root, announcement)
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

/* Returns the slot of the named server, else a free slot, else -1. */
static int
find_or_choose_slot(const struct servers *servers, const char *name)
{
	int free_slot = servers->count < servers->max ? servers->count : -1;

	for (uint16_t i = 0; i < servers->count; i++) {
		if (strcmp(servers->items[i].name, name) == 0)
			return i;
		if (!servers->items[i].present)
			free_slot = i;
	}
	return free_slot;
}

/*
 * Records an announcement.  Returns the server's index, ERR_STALE if it comes
 * from an earlier incarnation or may have been in transit when the server was
 * marked unreachable, or ERR_NO_CAPACITY if the table is full.
 */
int
servers_update(struct servers *servers,
    const struct server_announcement *announcement, const struct cfg *cfg,
    int64_t now_us)
{
	int i = find_or_choose_slot(servers, announcement->server.name);
	struct server *server;

	if (i < 0)
		return ERR_NO_CAPACITY;
	server = &servers->items[i];
	if (server->present &&
	    announcement->server.last.incarnation < server->last.incarnation)
		return ERR_STALE;
	if (!server->present && server->unreachable_since_us != 0 &&
	    strcmp(server->name, announcement->server.name) == 0 &&
	    announcement->server.last.incarnation == server->last.incarnation &&
	    now_us - server->unreachable_since_us < SERVERS_IN_TRANSIT_MAX_US)
		return ERR_STALE;
	*server = announcement->server;
	server->present = true;
	server->last_announced_us = now_us;
	server->last.server = (uint16_t)i;
	server->last.reported_us = now_us;
	set_masks(server, cfg);
	if (i == servers->count)
		servers->count++;
	return i;
}

/*
 * Marks one server gone that hasn't announced itself for longer than
 * SERVERS_SILENCE_MAX_US.  Returns its index, or -1 if there is none.
 */
int
servers_expire(struct servers *servers, int64_t now_us)
{
	for (uint16_t i = 0; i < servers->count; i++) {
		struct server *server = &servers->items[i];

		if (server->present && now_us - server->last_announced_us >
					   SERVERS_SILENCE_MAX_US) {
			server->present = false;
			return i;
		}
	}
	return -1;
}

/* Returns the server at an index; its name stays valid once it is gone. */
const struct server *
servers_at(const struct servers *servers, uint16_t index)
{
	return &servers->items[index];
}

/*
 * Marks an unreachable server gone.  Announcements of the same incarnation that
 * arrive within SERVERS_IN_TRANSIT_MAX_US may have been sent before and don't
 * bring it back.  Returns false if it was gone already.
 */
bool
servers_mark_gone(struct servers *servers, uint16_t index, int64_t now_us)
{
	struct server *server = &servers->items[index];

	if (!server->present)
		return false;
	server->present = false;
	server->unreachable_since_us = now_us;
	return true;
}

/* Recomputes the version and service masks for a new configuration. */
void
servers_update_masks(struct servers *servers, const struct cfg *cfg)
{
	for (uint16_t i = 0; i < servers->count; i++)
		set_masks(&servers->items[i], cfg);
}

/* Returns the number of slots in use, the bound of servers_at(). */
uint16_t
servers_count(const struct servers *servers)
{
	return servers->count;
}
