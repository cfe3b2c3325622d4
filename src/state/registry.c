#include "state/registry.h"

#include <string.h>
#include <xxhash.h>

#include "base/slot_index.h"

enum {
	/* Longer than any announcement is in flight. */
	GONE_RETENTION_US = 60000000,
	/* Servers that are silent for longer are not used or forwarded. */
	SILENCE_TIMEOUT_US = 30000000,
	/* Minimum interval of forwarding unchanged announcements. */
	REFRESH_INTERVAL_US = 2000000
};

/*
 * Silent servers, and servers that left while they went on announcing
 * themselves, are remembered for longer than data centres lose contact with
 * each other.
 */
static const int64_t silent_retention_us = 7200000000;

struct row {
	/* Has to be first: registry_only_refreshed() casts it to its row. */
	struct registry_server server;
	uint64_t change;
	uint64_t last_full_change; /* last change other than a refresh */
	int64_t published_us; /* when it last got a change number */
	bool used;
	bool left; /* its responses said that it leaves in this life */
	bool silent; /* counts as unknown until it is heard again */
	/* Neighbours in the order of changes, or SLOT_INDEX_NONE */
	uint16_t older;
	uint16_t newer;
	bool is_live; /* counts in the number of live servers */
};

struct server_registry {
	struct registry_options options;
	struct row *rows;
	size_t count;
	uint64_t change;
	/* The rows in use by id, life and address */
	struct slot_index ids;
	struct slot_index lives;
	struct slot_index addresses;
	/* Rows that were published, in the order of their last changes */
	uint16_t oldest;
	uint16_t newest;
	size_t live_count;
	size_t unused_count;
};

/* Creates an empty registry. */
struct server_registry *
registry_new(const struct registry_options *options)
{
	struct server_registry *server_registry =
	    alloc_zero(options->alloc, 1, sizeof(*server_registry));

	server_registry->options = *options;
	slot_index_init(&server_registry->ids, options->alloc);
	slot_index_init(&server_registry->lives, options->alloc);
	slot_index_init(&server_registry->addresses, options->alloc);
	server_registry->oldest = server_registry->newest = SLOT_INDEX_NONE;
	return server_registry;
}

void
registry_free(struct server_registry *server_registry)
{
	if (server_registry == NULL)
		return;
	slot_index_release(&server_registry->ids);
	slot_index_release(&server_registry->lives);
	slot_index_release(&server_registry->addresses);
	alloc_free(server_registry->options.alloc, server_registry->rows);
	alloc_free(server_registry->options.alloc, server_registry);
}

static uint64_t
id_key(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

static uint64_t
address_key(const struct registry_server *server)
{
	return (uint64_t)server->ip << 16 | server->port;
}

static struct row *
find_row(const struct server_registry *server_registry, const char *id)
{
	uint16_t i = slot_index_first(&server_registry->ids, id_key(id));

	while (i != SLOT_INDEX_NONE &&
	       strcmp(server_registry->rows[i].server.id, id) != 0)
		i = slot_index_next(&server_registry->ids, i);
	return i != SLOT_INDEX_NONE ? &server_registry->rows[i] : NULL;
}

static uint16_t
index_of(const struct server_registry *server_registry, const struct row *row)
{
	return (uint16_t)(row - server_registry->rows);
}

/* Enters a row in use, or what has changed of it, into the indices. */
static void
index_row(struct server_registry *server_registry, const struct row *row)
{
	const struct registry_server *server = &row->server;
	uint16_t i = index_of(server_registry, row);

	slot_index_put(&server_registry->ids, id_key(server->id), i);
	slot_index_put(&server_registry->lives,
	    registry_life_hash(server->id, server->born_ms), i);
	slot_index_put(&server_registry->addresses, address_key(server), i);
}

/* Counts a row among the live servers, or not. */
static void
count_live(struct server_registry *server_registry, struct row *row)
{
	bool is_live =
	    row->used && !row->silent && row->server.state != REGISTRY_GONE;

	server_registry->live_count += is_live;
	server_registry->live_count -= row->is_live;
	row->is_live = is_live;
}

/* Takes a row out of the order of changes, if it is there. */
static void
unlink_change(struct server_registry *server_registry, struct row *row)
{
	uint16_t i = index_of(server_registry, row);

	if (row->older != SLOT_INDEX_NONE)
		server_registry->rows[row->older].newer = row->newer;
	else if (server_registry->oldest == i)
		server_registry->oldest = row->newer;
	if (row->newer != SLOT_INDEX_NONE)
		server_registry->rows[row->newer].older = row->older;
	else if (server_registry->newest == i)
		server_registry->newest = row->older;
	row->older = row->newer = SLOT_INDEX_NONE;
}

/* Makes a row the one that changed last. */
static void
link_change(struct server_registry *server_registry, struct row *row)
{
	uint16_t i = index_of(server_registry, row);

	unlink_change(server_registry, row);
	row->older = server_registry->newest;
	if (row->older != SLOT_INDEX_NONE)
		server_registry->rows[row->older].newer = i;
	else
		server_registry->oldest = i;
	server_registry->newest = i;
}

/* Forgets a row, which another server may then take. */
static void
remove_row(struct server_registry *server_registry, struct row *row)
{
	uint16_t i = index_of(server_registry, row);

	row->used = false;
	server_registry->unused_count++;
	count_live(server_registry, row);
	unlink_change(server_registry, row);
	slot_index_remove(&server_registry->ids, i);
	slot_index_remove(&server_registry->lives, i);
	slot_index_remove(&server_registry->addresses, i);
}

static struct row *
allocate_row(struct server_registry *server_registry)
{
	struct row *row;

	for (size_t i = 0;
	     i < server_registry->count && server_registry->unused_count > 0;
	     i++) {
		if (server_registry->rows[i].used)
			continue;
		server_registry->unused_count--;
		return &server_registry->rows[i];
	}
	if (server_registry->count == REGISTRY_SERVERS_MAX)
		return NULL;
	/*
	 * The table grows by doubling, which moves it; so rows are always
	 * looked up by id and no pointer to one is kept.
	 */
	if ((server_registry->count & (server_registry->count - 1)) == 0)
		server_registry->rows = alloc_resize(
		    server_registry->options.alloc, server_registry->rows,
		    (server_registry->count > 0 ? server_registry->count * 2
						: 1) *
			sizeof(*server_registry->rows));
	row = &server_registry->rows[server_registry->count++];
	memset(row, 0, sizeof(*row));
	row->older = row->newer = SLOT_INDEX_NONE;
	return row;
}

static void
publish_change(struct server_registry *server_registry, struct row *row,
    enum registry_verdict verdict, int64_t now_us)
{
	row->change = ++server_registry->change;
	if (verdict == REGISTRY_CHANGED)
		row->last_full_change = row->change;
	row->published_us = now_us;
	link_change(server_registry, row);
	count_live(server_registry, row);
	if (server_registry->options.changed != NULL)
		server_registry->options.changed(
		    server_registry->options.ctx, &row->server, verdict);
}

/*
 * Marks servers of earlier lives at the same address as gone.  Returns false if
 * the announcement itself is of an earlier life there.
 */
static bool
end_older_life_at_address(struct server_registry *server_registry,
    const struct registry_server *server, int64_t now_us)
{
	const struct slot_index *addresses = &server_registry->addresses;
	uint16_t i = slot_index_first(addresses, address_key(server)), next;

	for (; i != SLOT_INDEX_NONE; i = next) {
		struct row *row = &server_registry->rows[i];

		next = slot_index_next(addresses, i);
		if (row->server.state == REGISTRY_GONE ||
		    row->server.ip != server->ip ||
		    row->server.port != server->port ||
		    strcmp(row->server.id, server->id) == 0)
			continue;
		if (row->server.born_ms > server->born_ms)
			return false;
		row->server.state = REGISTRY_GONE;
		row->server.heard_us = now_us;
		publish_change(server_registry, row, REGISTRY_CHANGED, now_us);
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

/*
 * Tells whether an announcement is newer than the known one.  Within one life,
 * a server that has gone or is draining never becomes ready again.
 */
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

/*
 * Tells whether an announcement may be a server's own: one that claims to have
 * started well after now would supersede all real lives for good.  wall_ms:
 * time of day.
 */
bool
registry_is_plausible(const struct registry_server *server, int64_t wall_ms)
{
	return wall_ms <= 0 ||
	       server->born_ms <=
		   (uint64_t)wall_ms + REGISTRY_BORN_AHEAD_MAX_MS;
}

/* Applies an announcement from the server itself or from another instance. */
enum registry_verdict
registry_update(struct server_registry *server_registry,
    const struct registry_server *server, int64_t now_us)
{
	struct row *row = find_row(server_registry, server->id);
	uint64_t address;
	bool same, reborn, moved;

	if (row != NULL && !is_newer(server, &row->server))
		return REGISTRY_STALE;
	if (server->state != REGISTRY_GONE &&
	    now_us - server->heard_us > SILENCE_TIMEOUT_US)
		return REGISTRY_STALE;
	if (row == NULL && server->state == REGISTRY_GONE && server->ip == 0)
		return REGISTRY_STALE;
	if (server->state != REGISTRY_GONE &&
	    !end_older_life_at_address(server_registry, server, now_us))
		return REGISTRY_STALE;
	if (row == NULL)
		row = allocate_row(server_registry);
	if (row == NULL)
		return REGISTRY_STALE;
	reborn = row->server.born_ms != server->born_ms;
	address = address_key(&row->server);
	same = row->used && !row->silent && is_same(server, &row->server);
	/* A final announcement may contain nothing but the server's id. */
	if (row->used && server->state == REGISTRY_GONE && server->ip == 0) {
		row->server.state = REGISTRY_GONE;
		row->server.heard_us = server->heard_us;
		if (server->seq > row->server.seq)
			row->server.seq = server->seq;
	} else {
		row->server = *server;
	}
	row->left = row->used && row->left && !reborn;
	moved = !row->used || reborn || address_key(&row->server) != address;
	row->used = true;
	row->silent = false;
	if (moved)
		index_row(server_registry, row);
	if (!same) {
		publish_change(server_registry, row, REGISTRY_CHANGED, now_us);
		return REGISTRY_CHANGED;
	}
	if (now_us - row->published_us >= REFRESH_INTERVAL_US) {
		publish_change(
		    server_registry, row, REGISTRY_REFRESHED, now_us);
		return REGISTRY_REFRESHED;
	}
	return REGISTRY_STALE;
}

/*
 * Tells whether a server, as passed by registry_visit_changes(), has only
 * repeated itself since a change.
 */
bool
registry_only_refreshed(const struct registry_server *server, uint64_t change)
{
	const struct row *row = (const struct row *)(const void *)server;

	return row->last_full_change <= change;
}

/*
 * Applies a refresh: the server has repeated its announcement.  A refresh of an
 * unknown server, or of another life, is ignored.
 */
enum registry_verdict
registry_refresh(struct server_registry *server_registry, const char *id,
    uint64_t born_ms, uint64_t seq, int64_t heard_us, int64_t now_us)
{
	const struct row *row = find_row(server_registry, id);
	struct registry_server server;

	if (row == NULL || row->server.born_ms != born_ms ||
	    row->server.state == REGISTRY_GONE)
		return REGISTRY_STALE;
	server = row->server;
	server.seq = seq;
	/*
	 * cold_ms is relative to heard_us, so it shrinks by the time that has
	 * passed.
	 */
	if (server.cold_ms > 0) {
		int64_t passed_ms = (heard_us - server.heard_us) / 1000;

		server.cold_ms = passed_ms >= (int64_t)server.cold_ms
				     ? 0
				     : server.cold_ms - (uint32_t)passed_ms;
	}
	server.heard_us = heard_us;
	return registry_update(server_registry, &server, now_us);
}

/*
 * Returns the hash that identifies one life of a server in messages between
 * instances.
 */
uint64_t
registry_life_hash(const char *id, uint64_t born_ms)
{
	return XXH64(id, strlen(id), born_ms);
}

/*
 * Marks the server of a life as draining because its responses say so.  Later
 * announcements of that life don't make it ready again.  Returns whether it was
 * ready until now.
 */
bool
registry_mark_leaving(
    struct server_registry *server_registry, uint64_t life, int64_t now_us)
{
	uint16_t i = slot_index_first(&server_registry->lives, life);
	struct row *row;

	if (i == SLOT_INDEX_NONE ||
	    server_registry->rows[i].server.state != REGISTRY_READY)
		return false;
	row = &server_registry->rows[i];
	row->server.state = REGISTRY_DRAINING;
	row->left = true;
	if (!row->silent)
		publish_change(server_registry, row, REGISTRY_CHANGED, now_us);
	return true;
}

/*
 * Stops using a server that hasn't been heard from for SILENCE_TIMEOUT_US.
 * Other instances aren't told, since they may still hear it; only a draining
 * server is published as gone.
 */
static void
mark_silent(
    struct server_registry *server_registry, struct row *row, int64_t now_us)
{
	struct registry_server gone = row->server;

	if (row->server.state == REGISTRY_DRAINING) {
		row->server.state = REGISTRY_GONE;
		row->server.heard_us = now_us;
		publish_change(server_registry, row, REGISTRY_CHANGED, now_us);
		return;
	}
	row->silent = true;
	count_live(server_registry, row);
	gone.state = REGISTRY_GONE;
	if (server_registry->options.changed != NULL)
		server_registry->options.changed(
		    server_registry->options.ctx, &gone, REGISTRY_CHANGED);
}

/*
 * Marks servers as silent and removes those that have been gone or silent for
 * long.
 */
void
registry_tick(struct server_registry *server_registry, int64_t now_us)
{
	for (size_t i = 0; i < server_registry->count; i++) {
		struct row *row = &server_registry->rows[i];
		int64_t age_us = now_us - row->server.heard_us;
		bool expired = false;

		if (!row->used)
			continue;
		if (row->server.state == REGISTRY_GONE)
			expired = age_us >= (row->left ? silent_retention_us
						       : GONE_RETENTION_US);
		else if (row->silent)
			expired = age_us >= silent_retention_us;
		else if (age_us > SILENCE_TIMEOUT_US)
			mark_silent(server_registry, row, now_us);
		if (expired)
			remove_row(server_registry, row);
	}
}

/* Returns the number of the last change. */
uint64_t
registry_last_change(const struct server_registry *server_registry)
{
	return server_registry->change;
}

/*
 * Calls visit for each server with a change number above the given one, in the
 * order of the changes.
 */
void
registry_visit_changes(const struct server_registry *server_registry,
    uint64_t change, registry_visit_fn visit, void *ctx)
{
	const struct row *rows = server_registry->rows;
	uint16_t i = server_registry->newest, first = SLOT_INDEX_NONE;

	for (; i != SLOT_INDEX_NONE && rows[i].change > change;
	     i = rows[i].older)
		first = i;
	for (i = first; i != SLOT_INDEX_NONE; i = rows[i].newer) {
		if (!rows[i].silent)
			visit(ctx, &rows[i].server);
	}
}

/* Returns the last announcement of a server, or NULL. */
const struct registry_server *
registry_find(const struct server_registry *server_registry, const char *id)
{
	const struct row *row = find_row(server_registry, id);

	return row != NULL && !row->silent ? &row->server : NULL;
}

/* Returns the number of servers that are known and not gone. */
size_t
registry_live_count(const struct server_registry *server_registry)
{
	return server_registry->live_count;
}
