#include "state/cfgsync_feed.h"

#include <string.h>

/*
 * The instance's side of configuration distribution; as the relay of its data
 * centre an instance feeds the others from what it has itself.
 */

enum {
	UPSTREAM_MAX = 64,
	ROUNDS_KEPT = 8, /* questions whose time is remembered */
	RELAY_DELAY_US = 10000, /* confirmations are gathered this long */
	US_PER_MS = 1000
};

struct transfer {
	uint32_t from;
	uint64_t revision; /* 0: none under way */
	uint64_t total;
	struct buf data;
	int64_t due_us; /* then the next part is asked for again */
};

struct cfgsync_node {
	struct cfgsync_options options;
	struct cy_feed feed; /* the newest document, and whom it goes to */
	uint64_t in_force;
	uint64_t persisted;
	uint32_t upstream[UPSTREAM_MAX];
	uint32_t upstream_count;
	bool relay;
	uint64_t round;
	int64_t asked_us[ROUNDS_KEPT];
	int64_t due_us;
	int64_t lease_until_us;
	bool isolated;
	uint32_t next_fed; /* confirmations are passed on in turn */
	struct transfer transfer;
};

/* Creates a node without a revision; it is isolated until its first lease. */
struct cfgsync_node *
cfgsync_node_new(const struct cfgsync_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct cfgsync_node *node = alloc_zero(alloc, 1, sizeof(*node));

	node->options = *options;
	node->options.alloc = alloc;
	node->isolated = true;
	cy_feed_init(&node->feed, &node->options);
	buf_init(&node->transfer.data, alloc);
	return node;
}

/* Releases a node. */
void
cfgsync_node_free(struct cfgsync_node *node)
{
	if (node == NULL)
		return;
	cy_feed_free(&node->feed);
	buf_free(&node->transfer.data);
	alloc_free(node->options.alloc, node);
}

/* Takes the durable copy in; ERR_STALE if a newer one is there already. */
int
cfgsync_node_restore(struct cfgsync_node *node, uint64_t revision,
    const uint8_t *document, size_t len)
{
	if (revision <= node->feed.revision)
		return ERR_STALE;
	cy_feed_set(&node->feed, revision, document, len);
	node->persisted = revision;
	return 0;
}

/* Sets whom to ask; the question goes out at once. */
void
cfgsync_node_set_upstream(
    struct cfgsync_node *node, const uint32_t *instances, uint32_t count)
{
	node->upstream_count = count < UPSTREAM_MAX ? count : UPSTREAM_MAX;
	memcpy(node->upstream, instances,
	    node->upstream_count * sizeof(*instances));
	node->due_us = 0;
}

/* Makes the node the relay of its data centre, or no longer. */
void
cfgsync_node_set_relay(struct cfgsync_node *node, bool relay)
{
	node->relay = relay;
	if (!relay)
		node->feed.fed_count = 0;
}

/* The newest revision that a restart of this instance would not lose. */
static uint64_t
confirmed(const struct cfgsync_node *node)
{
	if (!node->options.disk || node->persisted >= node->in_force)
		return node->in_force;
	return node->persisted;
}

static void
add_confirm(struct cfgsync_msg *msg, const struct cy_fed *fed)
{
	struct cy_confirm *c = &msg->confirms[msg->confirm_count++];

	c->instance = fed->instance;
	c->incarnation = fed->incarnation;
	c->revision = fed->confirmed;
}

/* Own confirmation first, then news of those fed, then others in turn. */
static void
add_confirms(struct cfgsync_node *node, struct cfgsync_msg *msg)
{
	struct cy_feed *feed = &node->feed;
	struct cy_fed self = {.instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .confirmed = confirmed(node)};

	add_confirm(msg, &self);
	for (uint32_t i = 0; node->relay && i < feed->fed_count &&
			     msg->confirm_count < CY_CONFIRMS_MAX;
	     i++) {
		if (!feed->fed[i].dirty)
			continue;
		feed->fed[i].dirty = false;
		add_confirm(msg, &feed->fed[i]);
	}
	for (uint32_t i = 0; node->relay && i < feed->fed_count &&
			     msg->confirm_count < CY_CONFIRMS_MAX;
	     i++)
		add_confirm(
		    msg, &feed->fed[node->next_fed++ % feed->fed_count]);
}

static void
ask(struct cfgsync_node *node, int64_t now_us)
{
	struct cfgsync_msg msg = {.kind = CFGSYNC_MSG_HAVE,
	    .round = ++node->round,
	    .instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .revision = node->feed.revision};

	node->asked_us[node->round % ROUNDS_KEPT] = now_us;
	node->due_us = now_us + cy_period_us(&node->options);
	/* A lease that runs out, or is over, is asked for more often. */
	if (node->lease_until_us - now_us < cy_lease_us(&node->options) / 2 &&
	    node->options.fast_renewal)
		node->due_us = now_us + cy_period_us(&node->options) / 8;
	add_confirms(node, &msg);
	for (uint32_t i = 0; i < node->upstream_count; i++)
		cy_emit_send(&node->options, node->upstream[i], &msg);
}

static void
tell(struct cfgsync_node *node, enum cy_action_kind kind)
{
	struct cfgsync_action action = {.kind = kind,
	    .revision = node->feed.revision,
	    .document = &node->feed.document};

	node->options.emit(node->options.ctx, &action);
}

/* A newer document is here: put it in force, keep it, pass it on. */
static void
take_document(struct cfgsync_node *node, int64_t now_us)
{
	node->transfer.revision = 0;
	tell(node, CFGSYNC_IN_FORCE);
	if (node->options.disk)
		tell(node, CFGSYNC_PERSIST);
	if (node->relay)
		cy_feed_push(&node->feed, now_us);
}

static void
take_delta(
    struct cfgsync_node *node, int64_t now_us, const struct cfgsync_msg *msg)
{
	struct cy_feed *feed = &node->feed;
	struct buf next;
	int error = 0;

	if (msg->base != feed->revision && !node->options.unsafe_any_revision)
		return;
	buf_init(&next, node->options.alloc);
	if (node->options.apply != NULL)
		error = node->options.apply(node->options.ctx, &feed->document,
		    msg->data, msg->len, &next);
	else
		buf_add(&next, msg->data, msg->len);
	if (error == 0) {
		cy_feed_add_delta(
		    feed, msg->base, msg->revision, msg->data, msg->len);
		cy_feed_set(feed, msg->revision, next.data, next.len);
		take_document(node, now_us);
	}
	buf_free(&next);
}

static void
want(struct cfgsync_node *node, int64_t now_us)
{
	struct transfer *t = &node->transfer;
	struct cfgsync_msg msg = {.kind = CFGSYNC_MSG_WANT,
	    .instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .revision = t->revision,
	    .offset = t->data.len};

	t->due_us = now_us + cy_period_us(&node->options);
	cy_emit_send(&node->options, t->from, &msg);
}

/* Starts a transfer, unless one of a revision as new is under way. */
static bool
begin_transfer(
    struct cfgsync_node *node, uint32_t from, const struct cfgsync_msg *msg)
{
	struct transfer *t = &node->transfer;

	if (t->revision == msg->revision && t->from == from)
		return true;
	if (t->revision >= msg->revision && t->revision != 0 && t->from != from)
		return false;
	if (msg->offset != 0)
		return false;
	t->from = from;
	t->revision = msg->revision;
	buf_clear(&t->data);
	return true;
}

static void
take_chunk(struct cfgsync_node *node, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	struct transfer *t = &node->transfer;

	if ((msg->revision <= node->feed.revision &&
		!node->options.unsafe_any_revision) ||
	    !begin_transfer(node, from, msg) || msg->offset != t->data.len)
		return;
	t->total = msg->total;
	buf_add(&t->data, msg->data, msg->len);
	if (t->data.len < t->total) {
		want(node, now_us);
		return;
	}
	cy_feed_set(&node->feed, t->revision, t->data.data, t->data.len);
	take_document(node, now_us);
}

static void
set_isolated(struct cfgsync_node *node, bool isolated)
{
	if (node->isolated == isolated)
		return;
	node->isolated = isolated;
	tell(node, isolated ? CFGSYNC_ISOLATED : CFGSYNC_REJOINED);
}

/*
 * Takes a lease.  It counts from the question, so that the way of the answer
 * and a pause of this process only shorten it.
 */
static void
take_lease(
    struct cfgsync_node *node, int64_t now_us, const struct cfgsync_msg *msg)
{
	int64_t from_us = node->asked_us[msg->round % ROUNDS_KEPT];
	int64_t lease_us = (int64_t)msg->lease_ms * US_PER_MS;

	if (msg->round + ROUNDS_KEPT <= node->round ||
	    msg->round > node->round || msg->lease_ms == 0 ||
	    node->feed.revision < msg->revision)
		return;
	if (node->options.unsafe_lease_from_answer)
		from_us = now_us;
	if (lease_us > cy_lease_us(&node->options))
		lease_us = cy_lease_us(&node->options);
	if (from_us + lease_us > node->lease_until_us)
		node->lease_until_us = from_us + lease_us;
	if (now_us < node->lease_until_us)
		set_isolated(node, false);
}

/* Notes what an instance below says, and whether that is news for above. */
static void
note_confirm(struct cfgsync_node *node, int64_t now_us, struct cy_fed *fed,
    const struct cfgsync_msg *msg)
{
	const struct cy_confirm *c = &msg->confirms[0];

	fed->heard_us = now_us;
	fed->revision = msg->revision;
	if (msg->confirm_count == 0)
		return;
	/* Messages overtake each other; a confirmation never goes back. */
	if (fed->incarnation > c->incarnation ||
	    (fed->incarnation == c->incarnation &&
		fed->confirmed >= c->revision))
		return;
	fed->incarnation = c->incarnation;
	fed->confirmed = c->revision;
	fed->dirty = true;
	if (node->due_us > now_us + RELAY_DELAY_US)
		node->due_us = now_us + RELAY_DELAY_US;
}

/* Answers an instance of the data centre, as its relay. */
static void
feed_one(struct cfgsync_node *node, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	int64_t left_us = node->lease_until_us - now_us;
	struct cy_fed *fed = cy_feed_get(&node->feed, from);
	struct cfgsync_msg alive = {.kind = CY_MSG_ALIVE,
	    .round = msg->round,
	    .instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .revision = node->feed.revision};

	if (fed != NULL)
		note_confirm(node, now_us, fed, msg);
	if (left_us > 0)
		alive.lease_ms = (uint32_t)(left_us / US_PER_MS);
	cy_feed_send(&node->feed, from, msg->revision);
	cy_emit_send(&node->options, from, &alive);
	/* Cut off from the replicas, it may be one below that knows more. */
	if (msg->revision > node->feed.revision &&
	    node->transfer.revision < msg->revision &&
	    !node->options.unsafe_skip_fetch) {
		node->transfer.from = from;
		node->transfer.revision = msg->revision;
		buf_clear(&node->transfer.data);
		want(node, now_us);
	}
}

/* Takes a message from above, or as the relay from below. */
void
cfgsync_node_receive(struct cfgsync_node *node, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	switch (msg->kind) {
	case CFGSYNC_MSG_HAVE:
		if (node->relay)
			feed_one(node, now_us, from, msg);
		break;
	case CFGSYNC_MSG_WANT:
		cy_feed_chunk(&node->feed, from, msg->revision, msg->offset);
		break;
	case CY_MSG_ALIVE:
		take_lease(node, now_us, msg);
		break;
	case CY_MSG_DELTA:
		take_delta(node, now_us, msg);
		break;
	case CY_MSG_CHUNK:
		take_chunk(node, now_us, from, msg);
		break;
	}
}

/* A revision is in force here; its confirmation goes out at once. */
void
cfgsync_node_set_in_force(
    struct cfgsync_node *node, int64_t now_us, uint64_t revision)
{
	if (revision <= node->in_force)
		return;
	node->in_force = revision;
	ask(node, now_us);
}

/* The durable copy of a revision is synced. */
void
cfgsync_node_set_persisted(
    struct cfgsync_node *node, int64_t now_us, uint64_t revision)
{
	if (revision <= node->persisted)
		return;
	node->persisted = revision;
	ask(node, now_us);
}

/* Lets time pass. */
void
cfgsync_node_tick(struct cfgsync_node *node, int64_t now_us)
{
	if (now_us >= node->lease_until_us)
		set_isolated(node, true);
	if (now_us >= node->due_us)
		ask(node, now_us);
	if (node->transfer.revision != 0 && now_us >= node->transfer.due_us)
		want(node, now_us);
}

/* Returns when the next tick is due. */
int64_t
cfgsync_node_due_us(const struct cfgsync_node *node)
{
	if (!node->isolated && node->lease_until_us < node->due_us)
		return node->lease_until_us;
	return node->due_us;
}

/* Returns the newest revision here, in force or about to be. */
uint64_t
cfgsync_node_revision(const struct cfgsync_node *node)
{
	return node->feed.revision;
}

/* Returns the document of that revision. */
const struct buf *
cfgsync_node_document(const struct cfgsync_node *node)
{
	return &node->feed.document;
}

/* Returns whether the lease is over, at a time read just before. */
bool
cfgsync_node_isolated(const struct cfgsync_node *node, int64_t now_us)
{
	return now_us >= node->lease_until_us;
}

/* Returns when the lease ends; 0 before the first one. */
int64_t
cfgsync_node_lease_until_us(const struct cfgsync_node *node)
{
	return node->lease_until_us;
}
