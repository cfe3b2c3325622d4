#include "state/registry.h"

#include <string.h>
#include <xxhash.h>

enum {
	GONE_KEPT_US = 60000000, /* longer than any announcement is under way */
	SILENT_US = 30000000, /* unheard: not used, and told to nobody */
	REFRESH_US = 2000000 /* what only repeats itself is spread this often */
};

/*
 * A silent server, and one that left while it went on announcing itself, are
 * remembered longer than data centres lose each other.
 */
static const int64_t silent_kept_us = 7200000000;

struct row {
	struct registry_server
	    server; /* first: see registry_only_refreshed() */
	uint64_t change;
	uint64_t whole; /* the last change that was more than a repetition */
	int64_t shared_us; /* when it last got a change number */
	bool used;
	bool left; /* in this life, by what its answers said */
	bool silent; /* counts as not known until it is heard again */
};

struct server_registry {
	struct registry_options options;
	struct row *rows;
	size_t count;
	uint64_t change;
};

/* Creates an empty registry. */
struct server_registry *
registry_new(const struct registry_options *options)
{
	struct server_registry *server_registry =
	    alloc_zero(options->alloc, 1, sizeof(*server_registry));

	server_registry->options = *options;
	return server_registry;
}

/* Releases a registry. */
void
registry_free(struct server_registry *server_registry)
{
	if (server_registry == NULL)
		return;
	alloc_free(server_registry->options.alloc, server_registry->rows);
	alloc_free(server_registry->options.alloc, server_registry);
}

static struct row *
find_row(const struct server_registry *server_registry, const char *id)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		if (server_registry->rows[i].used &&
		    strcmp(server_registry->rows[i].server.id, id) == 0)
			return &server_registry->rows[i];
	}
	return NULL;
}

static struct row *
make_row(struct server_registry *server_registry)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		if (!server_registry->rows[i].used)
			return &server_registry->rows[i];
	}
	if (server_registry->count == REGISTRY_SERVERS_MAX)
		return NULL;
	/* Grown by doubling; rows are found by id, never by address. */
	if ((server_registry->count & (server_registry->count - 1)) == 0)
		server_registry->rows = alloc_resize(
		    server_registry->options.alloc, server_registry->rows,
		    (server_registry->count > 0 ? server_registry->count * 2
						: 1) *
			sizeof(*server_registry->rows));
	memset(&server_registry->rows[server_registry->count], 0,
	    sizeof(*server_registry->rows));
	return &server_registry->rows[server_registry->count++];
}

static void
share(struct server_registry *server_registry, struct row *row,
    enum registry_verdict verdict, int64_t now_us)
{
	row->change = ++server_registry->change;
	if (verdict == REGISTRY_CHANGED)
		row->whole = row->change;
	row->shared_us = now_us;
	if (server_registry->options.changed != NULL)
		server_registry->options.changed(
		    server_registry->options.ctx, &row->server, verdict);
}

/* A later life at an address ends what was there. */
static bool
settle_address(struct server_registry *server_registry,
    const struct registry_server *server, int64_t now_us)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		struct row *row = &server_registry->rows[i];

		if (!row->used || row->server.state == REGISTRY_GONE ||
		    row->server.ip != server->ip ||
		    row->server.port != server->port ||
		    strcmp(row->server.id, server->id) == 0)
			continue;
		if (row->server.born_ms > server->born_ms)
			return false;
		row->server.state = REGISTRY_GONE;
		row->server.heard_us = now_us;
		share(server_registry, row, REGISTRY_CHANGED, now_us);
	}
	return true;
}

static bool
is_same(const struct registry_server *a, const struct registry_server *b)
{
	if (a->born_ms != b->born_ms || a->state != b->state ||
	    a->ip != b->ip || a->port != b->port || a->slots != b->slots ||
	    a->model_count != b->model_count ||
	    (a->cold_ms > 0) != (b->cold_ms > 0) ||
	    strcmp(a->service, b->service) != 0 ||
	    strcmp(a->version, b->version) != 0 ||
	    strcmp(a->data_centre, b->data_centre) != 0)
		return false;
	for (uint8_t i = 0; i < a->model_count; i++) {
		if (a->models[i].version != b->models[i].version ||
		    strcmp(a->models[i].name, b->models[i].name) != 0)
			return false;
	}
	return true;
}

/* Within one life, what is gone stays gone and what leaves keeps leaving. */
static bool
is_newer(
    const struct registry_server *server, const struct registry_server *known)
{
	if (server->born_ms != known->born_ms)
		return server->born_ms > known->born_ms;
	if (server->state != known->state)
		return server->state > known->state;
	return server->seq > known->seq;
}

/* Takes an announcement, from the server itself or from another instance. */
enum registry_verdict
registry_update(struct server_registry *server_registry,
    const struct registry_server *server, int64_t now_us)
{
	struct row *row = find_row(server_registry, server->id);
	bool same, reborn;

	if (row != NULL && !is_newer(server, &row->server))
		return RG_STALE;
	if (server->state != REGISTRY_GONE &&
	    now_us - server->heard_us > SILENT_US)
		return RG_STALE;
	if (row == NULL && server->state == REGISTRY_GONE && server->ip == 0)
		return RG_STALE;
	if (server->state != REGISTRY_GONE &&
	    !settle_address(server_registry, server, now_us))
		return RG_STALE;
	if (row == NULL)
		row = make_row(server_registry);
	if (row == NULL)
		return RG_STALE;
	reborn = row->server.born_ms != server->born_ms;
	same = row->used && !row->silent && is_same(server, &row->server);
	/* A farewell may say no more than who leaves. */
	if (row->used && server->state == REGISTRY_GONE && server->ip == 0) {
		row->server.state = REGISTRY_GONE;
		row->server.heard_us = server->heard_us;
		if (server->seq > row->server.seq)
			row->server.seq = server->seq;
	} else {
		row->server = *server;
	}
	row->left = row->used && row->left && !reborn;
	row->used = true;
	row->silent = false;
	if (!same) {
		share(server_registry, row, REGISTRY_CHANGED, now_us);
		return REGISTRY_CHANGED;
	}
	if (now_us - row->shared_us >= REFRESH_US) {
		share(server_registry, row, RG_REFRESHED, now_us);
		return RG_REFRESHED;
	}
	return RG_STALE;
}

/*
 * Tells of a server as registry_visit_changes() visits it whether it has only
 * repeated itself since a change.
 */
bool
registry_only_refreshed(const struct registry_server *server, uint64_t change)
{
	const struct row *row = (const struct row *)(const void *)server;

	return row->whole <= change;
}

/*
 * Takes the news that a server has repeated itself.  Of one that is not known,
 * or of another life, it says nothing.
 */
enum registry_verdict
registry_refresh(struct server_registry *server_registry, const char *id,
    uint64_t born_ms, uint64_t seq, int64_t heard_us, int64_t now_us)
{
	const struct row *row = find_row(server_registry, id);
	struct registry_server server;

	if (row == NULL || row->server.born_ms != born_ms ||
	    row->server.state == REGISTRY_GONE)
		return RG_STALE;
	server = row->server;
	server.seq = seq;
	/* What is left of a cold start is told as of when it was heard. */
	if (server.cold_ms > 0) {
		int64_t passed_ms = (heard_us - server.heard_us) / 1000;

		server.cold_ms = passed_ms >= (int64_t)server.cold_ms
				     ? 0
				     : server.cold_ms - (uint32_t)passed_ms;
	}
	server.heard_us = heard_us;
	return registry_update(server_registry, &server, now_us);
}

/* Names one life of a server in messages between instances. */
uint64_t
registry_life_hash(const char *id, uint64_t born_ms)
{
	return XXH64(id, strlen(id), born_ms);
}

/*
 * The server of a life leaves, as its answers say.  Later announcements of that
 * life don't bring it back.  Returns whether that is news.
 */
bool
registry_mark_leaving(
    struct server_registry *server_registry, uint64_t life, int64_t now_us)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		struct row *row = &server_registry->rows[i];

		if (!row->used || row->server.state != REGISTRY_READY ||
		    registry_life_hash(row->server.id, row->server.born_ms) !=
			life)
			continue;
		row->server.state = REGISTRY_DRAINING;
		row->left = true;
		if (!row->silent)
			share(server_registry, row, REGISTRY_CHANGED, now_us);
		return true;
	}
	return false;
}

/*
 * A server that was not heard of for long is not used here.  That is no news
 * for others, who may hear it; only one that was leaving has gone.
 */
static void
fall_silent(
    struct server_registry *server_registry, struct row *row, int64_t now_us)
{
	struct registry_server gone = row->server;

	if (row->server.state == REGISTRY_DRAINING) {
		row->server.state = REGISTRY_GONE;
		row->server.heard_us = now_us;
		share(server_registry, row, REGISTRY_CHANGED, now_us);
		return;
	}
	row->silent = true;
	gone.state = REGISTRY_GONE;
	if (server_registry->options.changed != NULL)
		server_registry->options.changed(
		    server_registry->options.ctx, &gone, REGISTRY_CHANGED);
}

/* Forgets what has been gone or silent for long. */
void
registry_tick(struct server_registry *server_registry, int64_t now_us)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		struct row *row = &server_registry->rows[i];
		int64_t age_us = now_us - row->server.heard_us;

		if (!row->used)
			continue;
		if (row->server.state == REGISTRY_GONE)
			row->used = age_us <
				    (row->left ? silent_kept_us : GONE_KEPT_US);
		else if (row->silent)
			row->used = age_us < silent_kept_us;
		else if (age_us > SILENT_US)
			fall_silent(server_registry, row, now_us);
	}
}

/* Returns the number of the last change. */
uint64_t
registry_last_change(const struct server_registry *server_registry)
{
	return server_registry->change;
}

/* Calls visit for each server that changed after a change. */
void
registry_visit_changes(const struct server_registry *server_registry,
    uint64_t change, rg_visit_fn visit, void *ctx)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		if (server_registry->rows[i].used &&
		    !server_registry->rows[i].silent &&
		    server_registry->rows[i].change > change)
			visit(ctx, &server_registry->rows[i].server);
	}
}

/* Returns what is known of a server, or NULL. */
const struct registry_server *
registry_find(const struct server_registry *server_registry, const char *id)
{
	const struct row *row = find_row(server_registry, id);

	return row != NULL && !row->silent ? &row->server : NULL;
}

/* Returns how many servers are known and not gone. */
size_t
registry_live_count(const struct server_registry *server_registry)
{
	size_t count = 0;

	for (size_t i = 0; i < server_registry->count; i++)
		count += server_registry->rows[i].used &&
			 !server_registry->rows[i].silent &&
			 server_registry->rows[i].server.state != REGISTRY_GONE;
	return count;
}
