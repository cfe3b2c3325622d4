#include "state/cfgsync_feed.h"

#include <string.h>
#include <xxhash.h>

/*
 * The instance's side of configuration distribution.  The relay of a data
 * centre sends its own revision on to the other instances.
 */

enum {
	UPSTREAM_MAX = 64,
	ROUNDS_KEPT = 8, /* latest HAVEs whose send time is kept */
	RELAY_DELAY_US = 10000, /* collects confirmations before forwarding */
	US_PER_MS = 1000
};

struct transfer {
	uint32_t from;
	uint64_t revision; /* 0: no transfer is active */
	uint64_t total;
	struct buf data;
	int64_t due_us; /* when the next part is requested again */
};

struct cfgsync_node {
	struct cfgsync_options options;
	struct cfgsync_feed feed; /* newest document and its receivers */
	uint64_t in_force;
	uint64_t persisted;
	uint32_t upstream[UPSTREAM_MAX];
	uint32_t upstream_count;
	bool relay;
	uint64_t round;
	int64_t sent_us[ROUNDS_KEPT];
	int64_t due_us;
	int64_t lease_until_us;
	bool isolated;
	uint32_t next_subscriber; /* round-robin index for repeats */
	struct transfer transfer;
};

/*
 * Returns the first round of an incarnation.  Incarnations must not share
 * rounds: an answer to an earlier one would extend the lease from the time at
 * which this one sent a report of the same round.
 */
static uint64_t
first_round(uint64_t incarnation)
{
	return XXH64(&incarnation, sizeof(incarnation), 0) >> 2;
}

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
	node->round = first_round(options->incarnation);
	cfgsync_feed_init(&node->feed, &node->options);
	buf_init(&node->transfer.data, alloc);
	return node;
}

void
cfgsync_node_free(struct cfgsync_node *node)
{
	if (node == NULL)
		return;
	cfgsync_feed_free(&node->feed);
	buf_free(&node->transfer.data);
	alloc_free(node->options.alloc, node);
}

/* Loads the durable copy.  0, or ERR_STALE if it is not newer. */
int
cfgsync_node_restore(struct cfgsync_node *node, uint64_t revision,
    const uint8_t *document, size_t len)
{
	if (revision <= node->feed.revision)
		return ERR_STALE;
	cfgsync_feed_set_document(&node->feed, revision, document, len);
	node->persisted = revision;
	return 0;
}

/* Sets the receivers of HAVE; the next tick sends one. */
void
cfgsync_node_set_upstream(
    struct cfgsync_node *node, const uint32_t *instances, uint32_t count)
{
	node->upstream_count = count < UPSTREAM_MAX ? count : UPSTREAM_MAX;
	memcpy(node->upstream, instances,
	    node->upstream_count * sizeof(*instances));
	node->due_us = 0;
}

/* Sets whether the node is the relay of its data centre. */
void
cfgsync_node_set_relay(struct cfgsync_node *node, bool relay)
{
	node->relay = relay;
	if (!relay)
		node->feed.subscriber_count = 0;
}

/* Returns the newest revision that a restart would not lose. */
static uint64_t
confirmed_revision(const struct cfgsync_node *node)
{
	if (!node->options.disk || node->persisted >= node->in_force)
		return node->in_force;
	return node->persisted;
}

static void
add_confirm(
    struct cfgsync_msg *msg, const struct cfgsync_subscriber *subscriber)
{
	struct cfgsync_confirm *c = &msg->confirms[msg->confirm_count++];

	c->instance = subscriber->instance;
	c->incarnation = subscriber->incarnation;
	c->revision = subscriber->confirmed;
}

/*
 * Adds the node's own confirmation, then new ones of its instances, then
 * repeats others in turn as far as there is room.
 */
static void
add_confirms(struct cfgsync_node *node, struct cfgsync_msg *msg)
{
	struct cfgsync_feed *feed = &node->feed;
	struct cfgsync_subscriber self = {.instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .confirmed = confirmed_revision(node)};

	add_confirm(msg, &self);
	for (uint32_t i = 0; node->relay && i < feed->subscriber_count &&
			     msg->confirm_count < CFGSYNC_CONFIRMS_MAX;
	     i++) {
		if (!feed->subscribers[i].forward_due)
			continue;
		feed->subscribers[i].forward_due = false;
		add_confirm(msg, &feed->subscribers[i]);
	}
	for (uint32_t i = 0; node->relay && i < feed->subscriber_count &&
			     msg->confirm_count < CFGSYNC_CONFIRMS_MAX;
	     i++)
		add_confirm(msg, &feed->subscribers[node->next_subscriber++ %
						    feed->subscriber_count]);
}

static void
send_have(struct cfgsync_node *node, int64_t now_us)
{
	struct cfgsync_msg msg = {.kind = CFGSYNC_MSG_HAVE,
	    .round = ++node->round,
	    .instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .revision = node->feed.revision};

	node->sent_us[node->round % ROUNDS_KEPT] = now_us;
	node->due_us = now_us + cfgsync_period_us(&node->options);
	/* A short or expired lease is renewed more often. */
	if (node->lease_until_us - now_us <
		cfgsync_lease_us(&node->options) / 2 &&
	    node->options.fast_renewal)
		node->due_us = now_us + cfgsync_period_us(&node->options) / 8;
	add_confirms(node, &msg);
	for (uint32_t i = 0; i < node->upstream_count; i++)
		cfgsync_emit_send(&node->options, node->upstream[i], &msg);
}

static void
emit_action(struct cfgsync_node *node, enum cfgsync_action_kind kind)
{
	struct cfgsync_action action = {.kind = kind,
	    .revision = node->feed.revision,
	    .document = &node->feed.document};

	node->options.emit(node->options.ctx, &action);
}

/* Emits the actions for a newer document and, as the relay, sends it on. */
static void
announce_document(struct cfgsync_node *node, int64_t now_us)
{
	node->transfer.revision = 0;
	emit_action(node, CFGSYNC_IN_FORCE);
	if (node->options.disk)
		emit_action(node, CFGSYNC_PERSIST);
	if (node->relay)
		cfgsync_feed_push_all(&node->feed, now_us);
}

static void
apply_delta(
    struct cfgsync_node *node, int64_t now_us, const struct cfgsync_msg *msg)
{
	struct cfgsync_feed *feed = &node->feed;
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
		cfgsync_feed_add_delta(
		    feed, msg->base, msg->revision, msg->data, msg->len);
		cfgsync_feed_set_document(
		    feed, msg->revision, next.data, next.len);
		announce_document(node, now_us);
	}
	buf_free(&next);
}

static void
request_chunk(struct cfgsync_node *node, int64_t now_us)
{
	struct transfer *t = &node->transfer;
	struct cfgsync_msg msg = {.kind = CFGSYNC_MSG_WANT,
	    .instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .revision = t->revision,
	    .offset = t->data.len};

	t->due_us = now_us + cfgsync_period_us(&node->options);
	cfgsync_emit_send(&node->options, t->from, &msg);
}

/*
 * Starts or continues a transfer.  Returns false if one of the same or a newer
 * revision from another instance is active, or if the first part is missing.
 */
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
add_chunk(struct cfgsync_node *node, int64_t now_us, uint32_t from,
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
		request_chunk(node, now_us);
		return;
	}
	cfgsync_feed_set_document(
	    &node->feed, t->revision, t->data.data, t->data.len);
	announce_document(node, now_us);
}

static void
set_isolated(struct cfgsync_node *node, bool isolated)
{
	if (node->isolated == isolated)
		return;
	node->isolated = isolated;
	emit_action(node, isolated ? CFGSYNC_ISOLATED : CFGSYNC_REJOINED);
}

/*
 * Extends the lease.  It starts when the HAVE was sent, so that network delay
 * and a pause of this process can only shorten it.
 */
static void
extend_lease(
    struct cfgsync_node *node, int64_t now_us, const struct cfgsync_msg *msg)
{
	int64_t from_us = node->sent_us[msg->round % ROUNDS_KEPT];
	int64_t lease_us = (int64_t)msg->lease_ms * US_PER_MS;

	if (msg->round + ROUNDS_KEPT <= node->round ||
	    msg->round > node->round || msg->lease_ms == 0 ||
	    node->feed.revision < msg->revision)
		return;
	if (node->options.unsafe_lease_from_answer)
		from_us = now_us;
	if (lease_us > cfgsync_lease_us(&node->options))
		lease_us = cfgsync_lease_us(&node->options);
	if (from_us + lease_us > node->lease_until_us)
		node->lease_until_us = from_us + lease_us;
	if (now_us < node->lease_until_us)
		set_isolated(node, false);
}

/* Records an instance's report and schedules forwarding of a new one. */
static void
record_confirm(struct cfgsync_node *node, int64_t now_us,
    struct cfgsync_subscriber *subscriber, const struct cfgsync_msg *msg)
{
	const struct cfgsync_confirm *c = &msg->confirms[0];

	subscriber->heard_us = now_us;
	subscriber->revision = msg->revision;
	if (msg->confirm_count == 0)
		return;
	/* Messages can be reordered; a confirmation never decreases. */
	if (subscriber->incarnation > c->incarnation ||
	    (subscriber->incarnation == c->incarnation &&
		subscriber->confirmed >= c->revision))
		return;
	subscriber->incarnation = c->incarnation;
	subscriber->confirmed = c->revision;
	subscriber->forward_due = true;
	if (node->due_us > now_us + RELAY_DELAY_US)
		node->due_us = now_us + RELAY_DELAY_US;
}

/* Answers the HAVE of an instance, as the relay of its data centre. */
static void
answer_have(struct cfgsync_node *node, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	int64_t left_us = node->lease_until_us - now_us;
	struct cfgsync_subscriber *subscriber =
	    cfgsync_feed_find_or_add(&node->feed, from);
	struct cfgsync_msg alive = {.kind = CFGSYNC_MSG_ALIVE,
	    .round = msg->round,
	    .instance = node->options.instance,
	    .incarnation = node->options.incarnation,
	    .revision = node->feed.revision};

	if (subscriber != NULL)
		record_confirm(node, now_us, subscriber, msg);
	if (left_us > 0)
		alive.lease_ms = (uint32_t)(left_us / US_PER_MS);
	cfgsync_feed_send_updates(&node->feed, from, msg->revision);
	cfgsync_emit_send(&node->options, from, &alive);
	/* While cut off from the replicas, an instance may have a newer one. */
	if (msg->revision > node->feed.revision &&
	    node->transfer.revision < msg->revision &&
	    !node->options.unsafe_skip_fetch) {
		node->transfer.from = from;
		node->transfer.revision = msg->revision;
		buf_clear(&node->transfer.data);
		request_chunk(node, now_us);
	}
}

/* Handles a message from upstream or, as the relay, from an instance. */
void
cfgsync_node_receive(struct cfgsync_node *node, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	switch (msg->kind) {
	case CFGSYNC_MSG_HAVE:
		if (node->relay)
			answer_have(node, now_us, from, msg);
		break;
	case CFGSYNC_MSG_WANT:
		cfgsync_feed_send_chunk(
		    &node->feed, from, msg->revision, msg->offset);
		break;
	case CFGSYNC_MSG_ALIVE:
		extend_lease(node, now_us, msg);
		break;
	case CFGSYNC_MSG_DELTA:
		apply_delta(node, now_us, msg);
		break;
	case CFGSYNC_MSG_CHUNK:
		add_chunk(node, now_us, from, msg);
		break;
	}
}

/* Records that a revision is in force and sends its confirmation at once. */
void
cfgsync_node_set_in_force(
    struct cfgsync_node *node, int64_t now_us, uint64_t revision)
{
	if (revision <= node->in_force)
		return;
	node->in_force = revision;
	send_have(node, now_us);
}

/* Records that the durable copy is synced and sends its confirmation. */
void
cfgsync_node_set_persisted(
    struct cfgsync_node *node, int64_t now_us, uint64_t revision)
{
	if (revision <= node->persisted)
		return;
	node->persisted = revision;
	send_have(node, now_us);
}

/* Runs the timers: end of the lease, next HAVE, repeated request. */
void
cfgsync_node_tick(struct cfgsync_node *node, int64_t now_us)
{
	if (now_us >= node->lease_until_us)
		set_isolated(node, true);
	if (now_us >= node->due_us)
		send_have(node, now_us);
	if (node->transfer.revision != 0 && now_us >= node->transfer.due_us)
		request_chunk(node, now_us);
}

/* Returns the time of the next due tick. */
int64_t
cfgsync_node_due_us(const struct cfgsync_node *node)
{
	if (!node->isolated && node->lease_until_us < node->due_us)
		return node->lease_until_us;
	return node->due_us;
}

/* Returns the newest revision received, in force or about to be. */
uint64_t
cfgsync_node_revision(const struct cfgsync_node *node)
{
	return node->feed.revision;
}

/* Returns the newest revision whose durable copy is synced. */
uint64_t
cfgsync_node_persisted(const struct cfgsync_node *node)
{
	return node->persisted;
}

/* Returns the document of that revision. */
const struct buf *
cfgsync_node_document(const struct cfgsync_node *node)
{
	return &node->feed.document;
}

/* Returns whether the lease is over; now_us must be read just before. */
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
