#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "daemon/node.h"
#include "wire/feed.pb-c.h"

/*
 * Distribution of announcements within a data centre.  A backend server
 * announces itself to any one instance.  That instance is the root of a binary
 * tree over the instances alive: it sends the announcement to two others, each
 * of those to two more, and so on.  So every instance learns of every server,
 * and none sends more than two copies, however many instances there are.
 */

enum {
	FEED_FLUSH_US = 1000000, /* loads are batched this long */
	FEED_URGENT_US = 20000, /* delay of changes in where work may go */
	FEED_FULL_US = 10000000, /* names, address and slots are resent */
	FEED_SERVERS_MAX = 256,
	FEED_CHILDREN = 2
};

/* The last announcement of one backend server. */
struct feed_entry {
	uint32_t hash; /* of the server's name */
	struct server_announcement news;
	uint64_t full_fields_hash; /* of the address, versions and services */
	int64_t full_us; /* when a full record was last sent */
	bool waiting; /* to be sent with the next batch */
};

struct feed {
	struct node *node;
	struct feed_entry *entries;
	uint32_t count;
	struct loop_timer *flush;
	int64_t flush_us; /* when the timer expires */
};

/* Creates a feed without servers. */
struct feed *
feed_new(struct node *node)
{
	struct feed *feed = alloc_zero(node->alloc, 1, sizeof(*feed));

	feed->node = node;
	feed->entries =
	    alloc_zero(node->alloc, FEED_SERVERS_MAX, sizeof(*feed->entries));
	return feed;
}

/* Releases a feed; announcements that wait aren't sent. */
void
feed_free(struct feed *feed)
{
	if (feed == NULL)
		return;
	loop_cancel(feed->flush);
	alloc_free(feed->node->alloc, feed->entries);
	alloc_free(feed->node->alloc, feed);
}

static uint64_t
hash_full_fields(const struct server *server)
{
	uint64_t hash = XXH64(server->address, strlen(server->address), 0);

	hash = XXH64(server->versions,
	    sizeof(server->versions[0]) * server->version_count, hash);
	return XXH64(server->services,
	    sizeof(server->services[0]) * server->service_count, hash);
}

/* Returns the entry of a server, a new one if needed; NULL if all are used. */
static struct feed_entry *
find_or_add_entry(struct feed *feed, uint32_t hash)
{
	for (uint32_t i = 0; i < feed->count; i++) {
		if (feed->entries[i].hash == hash)
			return &feed->entries[i];
	}
	if (feed->count == FEED_SERVERS_MAX)
		return NULL;
	feed->entries[feed->count].hash = hash;
	return &feed->entries[feed->count++];
}

/* A server's message with the storage that it points to. */
struct packed_server {
	Feedpb__Server pb;
	Feedpb__CacheEvent cache[SERVERS_CACHE_MAX];
	Feedpb__CacheEvent *cache_list[SERVERS_CACHE_MAX];
	char *versions[SERVERS_VERSIONS_MAX];
	char *services[SERVERS_VERSIONS_MAX];
};

/* Fills in what every record holds: load, state and cache events. */
static void
pack_load_fields(struct packed_server *p, const struct feed_entry *e)
{
	const struct cf_announce *a = &e->news.server.last;

	feedpb__server__init(&p->pb);
	p->pb.hash = e->hash;
	p->pb.incarnation = a->incarnation;
	p->pb.running = a->running;
	p->pb.queued = a->queued;
	p->pb.token_us = a->token_us;
	p->pb.warm = a->warmth == CF_WARM;
	p->pb.leaving = a->leaving;
	for (uint8_t i = 0; i < e->news.cache_count; i++) {
		feedpb__cache_event__init(&p->cache[i]);
		p->cache[i].sequence = e->news.cache[i].sequence;
		p->cache[i].prefix = e->news.cache[i].prefix;
		p->cache[i].stored = e->news.cache[i].stored;
		p->cache_list[i] = &p->cache[i];
	}
	p->pb.n_cache = e->news.cache_count;
	p->pb.cache = p->cache_list;
}

/* Adds what only a full record holds: slots, names and the address. */
static void
pack_full_fields(struct packed_server *p, struct feed_entry *e)
{
	struct server *s = &e->news.server;

	p->pb.slots = s->last.slots;
	p->pb.cold_slots = s->last.cold_slots;
	p->pb.name = s->name;
	p->pb.address = s->address;
	for (uint8_t i = 0; i < s->version_count; i++)
		p->versions[i] = s->versions[i];
	for (uint8_t i = 0; i < s->service_count; i++)
		p->services[i] = s->services[i];
	p->pb.n_versions = s->version_count;
	p->pb.versions = p->versions;
	p->pb.n_services = s->service_count;
	p->pb.services = p->services;
}

/*
 * Appends one server to an encoded batch.  A protobuf message may be encoded in
 * pieces that are concatenated, so each server is packed as a batch of its own.
 */
static void
append_server(struct feed *feed, struct feed_entry *e, struct buf *out)
{
	static struct packed_server packed;
	Feedpb__Server *list[1] = {&packed.pb};
	Feedpb__Batch batch = FEEDPB__BATCH__INIT;
	int64_t now_us = loop_now_us(feed->node->loop);

	pack_load_fields(&packed, e);
	if (now_us - e->full_us > FEED_FULL_US) {
		pack_full_fields(&packed, e);
		e->full_us = now_us;
	}
	batch.n_servers = 1;
	batch.servers = list;
	buf_reserve(out, feedpb__batch__get_packed_size(&batch));
	out->len += feedpb__batch__pack(&batch, out->data + out->len);
}

/* Sends bytes to this instance's children in the tree with the given root. */
static void
send_to_children(struct feed *feed, uint32_t root, const struct buf *bytes)
{
	uint32_t alive[NODE_MEMBERS_MAX];
	uint32_t count = node_list_alive(feed->node, alive, NODE_MEMBERS_MAX);
	uint32_t self = directory_self(feed->node->directory)->number;
	uint32_t root_at = 0, self_at = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (alive[i] == root)
			root_at = i;
		if (alive[i] == self)
			self_at = i;
	}
	if (count == 0)
		return;
	self_at = (self_at + count - root_at) % count;
	for (uint32_t c = 1; c <= FEED_CHILDREN; c++) {
		uint32_t child = FEED_CHILDREN * self_at + c;

		if (child < count)
			node_send(feed->node, alive[(child + root_at) % count],
			    PEER_FEED, bytes);
	}
}

/* Sends the waiting announcements as one batch. */
static void
send_batch(void *ctx)
{
	struct feed *feed = ctx;
	uint32_t self = directory_self(feed->node->directory)->number;
	Feedpb__Batch head = FEEDPB__BATCH__INIT;
	struct buf bytes;

	feed->flush = NULL;
	head.root = self;
	buf_init(&bytes, feed->node->alloc);
	buf_reserve(&bytes, feedpb__batch__get_packed_size(&head));
	bytes.len = feedpb__batch__pack(&head, bytes.data);
	for (uint32_t i = 0; i < feed->count; i++) {
		if (!feed->entries[i].waiting)
			continue;
		feed->entries[i].waiting = false;
		append_server(feed, &feed->entries[i], &bytes);
		feed->entries[i].news.cache_count = 0;
	}
	send_to_children(feed, self, &bytes);
	buf_free(&bytes);
}

/*
 * Puts cache events that weren't sent yet before those of a newer announcement.
 * The newest of the unsent ones are dropped if there is no room for all.
 */
static void
prepend_unsent_cache_events(
    struct server_announcement *old, struct server_announcement *merged)
{
	uint8_t kept = old->cache_count;
	uint8_t added = merged->cache_count;

	if (kept + added > SERVERS_CACHE_MAX)
		kept = (uint8_t)(SERVERS_CACHE_MAX - added);
	memmove(&merged->cache[kept], merged->cache,
	    added * sizeof(merged->cache[0]));
	memcpy(merged->cache, old->cache, kept * sizeof(merged->cache[0]));
	merged->cache_count = (uint8_t)(kept + added);
}

/* Returns whether an announcement changes where work may go, not just load. */
static bool
is_urgent(const struct server *was, const struct server *is)
{
	return was->last.incarnation != is->last.incarnation ||
	       was->last.warmth != is->last.warmth ||
	       was->last.leaving != is->last.leaving ||
	       was->last.slots != is->last.slots ||
	       was->last.cold_slots != is->last.cold_slots;
}

/* Schedules the next batch within a delay; keeps an earlier schedule. */
static void
schedule_batch(struct feed *feed, int64_t delay_us)
{
	int64_t at_us = loop_now_us(feed->node->loop) + delay_us;

	if (feed->flush != NULL && feed->flush_us <= at_us)
		return;
	loop_cancel(feed->flush);
	feed->flush_us = at_us;
	feed->flush = loop_after(feed->node->loop, delay_us, send_batch, feed);
}

/* Queues the announcement of a server that announced itself here. */
void
feed_queue_announcement(
    struct feed *feed, const struct server_announcement *news)
{
	struct feed_entry *e =
	    find_or_add_entry(feed, node_hash_name(news->server.name));
	struct server_announcement merged = *news;
	uint64_t full_fields_hash = hash_full_fields(&news->server);
	bool urgent;

	if (e == NULL)
		return;
	if (e->waiting)
		prepend_unsent_cache_events(&e->news, &merged);
	urgent = full_fields_hash != e->full_fields_hash ||
		 is_urgent(&e->news.server, &news->server);
	if (urgent)
		e->full_us = INT64_MIN / 2;
	e->full_fields_hash = full_fields_hash;
	e->news = merged;
	e->waiting = true;
	schedule_batch(feed, urgent ? FEED_URGENT_US : FEED_FLUSH_US);
}

static void
copy_names(char out[SERVERS_VERSIONS_MAX][CFG_NAME_BYTES], uint8_t *count,
    char **names, size_t n)
{
	*count = 0;
	for (size_t i = 0; i < n && i < SERVERS_VERSIONS_MAX; i++)
		snprintf(out[(*count)++], CFG_NAME_BYTES, "%s", names[i]);
}

static void
unpack_load_fields(struct server_announcement *news, const Feedpb__Server *pb)
{
	struct cf_announce *a = &news->server.last;

	a->incarnation = pb->incarnation;
	a->running = (uint16_t)pb->running;
	a->queued = (uint16_t)pb->queued;
	a->token_us = pb->token_us;
	a->warmth = pb->warm ? CF_WARM : CF_COLD;
	a->leaving = pb->leaving;
	news->cache_count = 0;
	for (size_t i = 0; i < pb->n_cache && i < SERVERS_CACHE_MAX; i++) {
		struct server_cache_event *event =
		    &news->cache[news->cache_count++];

		event->sequence = pb->cache[i]->sequence;
		event->prefix = pb->cache[i]->prefix;
		event->stored = pb->cache[i]->stored;
	}
}

/* Applies one server of another instance's batch. */
static void
apply_server(struct feed *feed, const Feedpb__Server *pb)
{
	static struct server_announcement news;
	struct feed_entry *e = find_or_add_entry(feed, pb->hash);

	if (e == NULL)
		return;
	news = e->news;
	if (pb->name[0] != '\0') {
		struct server *s = &news.server;

		s->last.slots = (uint16_t)pb->slots;
		s->last.cold_slots = (uint16_t)pb->cold_slots;
		snprintf(s->name, sizeof(s->name), "%s", pb->name);
		snprintf(s->address, sizeof(s->address), "%s", pb->address);
		copy_names(s->versions, &s->version_count, pb->versions,
		    pb->n_versions);
		copy_names(s->services, &s->service_count, pb->services,
		    pb->n_services);
	} else if (news.server.name[0] == '\0' ||
		   news.server.last.incarnation != pb->incarnation) {
		return; /* names unknown until the next full record */
	}
	unpack_load_fields(&news, pb);
	e->news = news;
	e->full_fields_hash = hash_full_fields(&news.server);
	entry_apply_announcement(feed->node->entry, &news);
}

/* Applies another instance's batch and forwards it down its root's tree. */
void
feed_receive_batch(struct feed *feed, const uint8_t *data, uint32_t len)
{
	Feedpb__Batch *batch = feedpb__batch__unpack(NULL, len, data);
	struct buf bytes;

	if (batch == NULL)
		return;
	for (size_t i = 0; i < batch->n_servers; i++)
		apply_server(feed, batch->servers[i]);
	buf_init(&bytes, feed->node->alloc);
	buf_add(&bytes, data, len);
	send_to_children(feed, batch->root, &bytes);
	buf_free(&bytes);
	feedpb__batch__free_unpacked(batch, NULL);
}
