#include "state/cfgsync_feed.h"

#include <string.h>

enum {
	PERIOD_MS = 1000,
	LEASE_MS = 5000,
	US_PER_MS = 1000,
	CAPACITY_FIRST = 16
};

/* Returns the period of CFGSYNC_MSG_HAVE in microseconds. */
int64_t
cfgsync_period_us(const struct cfgsync_options *options)
{
	return (int64_t)(options->period_ms != 0 ? options->period_ms
						 : PERIOD_MS) *
	       US_PER_MS;
}

/* Returns the longest lease in microseconds. */
int64_t
cfgsync_lease_us(const struct cfgsync_options *options)
{
	return (int64_t)(options->lease_ms != 0 ? options->lease_ms
						: LEASE_MS) *
	       US_PER_MS;
}

void
cfgsync_feed_init(
    struct cfgsync_feed *feed, const struct cfgsync_options *options)
{
	memset(feed, 0, sizeof(*feed));
	feed->options = options;
	buf_init(&feed->document, options->alloc);
	for (uint32_t i = 0; i < CFGSYNC_DELTAS_MAX; i++)
		buf_init(&feed->deltas[i].bytes, options->alloc);
}

/* Releases the document, the deltas and the table of instances. */
void
cfgsync_feed_free(struct cfgsync_feed *feed)
{
	buf_free(&feed->document);
	for (uint32_t i = 0; i < CFGSYNC_DELTAS_MAX; i++)
		buf_free(&feed->deltas[i].bytes);
	alloc_free(feed->options->alloc, feed->subscribers);
}

/* Replaces the document by a newer one. */
void
cfgsync_feed_set_document(struct cfgsync_feed *feed, uint64_t revision,
    const uint8_t *document, size_t len)
{
	feed->revision = revision;
	buf_clear(&feed->document);
	buf_add(&feed->document, document, len);
}

/* Stores a delta for instances that are a few revisions behind. */
void
cfgsync_feed_add_delta(struct cfgsync_feed *feed, uint64_t base,
    uint64_t revision, const uint8_t *delta, size_t len)
{
	struct cfgsync_delta *slot = &feed->deltas[feed->delta_next];

	slot->base = base;
	slot->revision = revision;
	buf_clear(&slot->bytes);
	buf_add(&slot->bytes, delta, len);
	feed->delta_next = (feed->delta_next + 1) % CFGSYNC_DELTAS_MAX;
	if (feed->delta_count < CFGSYNC_DELTAS_MAX)
		feed->delta_count++;
}

/* Returns the entry of an instance, or NULL. */
struct cfgsync_subscriber *
cfgsync_feed_find(struct cfgsync_feed *feed, uint32_t instance)
{
	for (uint32_t i = 0; i < feed->subscriber_count; i++) {
		if (feed->subscribers[i].instance == instance)
			return &feed->subscribers[i];
	}
	return NULL;
}

/* Finds or adds the entry of an instance; NULL if the table is full. */
struct cfgsync_subscriber *
cfgsync_feed_find_or_add(struct cfgsync_feed *feed, uint32_t instance)
{
	struct cfgsync_subscriber *subscriber =
	    cfgsync_feed_find(feed, instance);

	if (subscriber != NULL || feed->subscriber_count == CFGSYNC_NODES_MAX)
		return subscriber;
	if (feed->subscriber_count == feed->subscriber_capacity) {
		feed->subscriber_capacity = feed->subscriber_capacity > 0
						? feed->subscriber_capacity * 2
						: CAPACITY_FIRST;
		feed->subscribers =
		    alloc_resize(feed->options->alloc, feed->subscribers,
			feed->subscriber_capacity * sizeof(*feed->subscribers));
	}
	subscriber = &feed->subscribers[feed->subscriber_count++];
	memset(subscriber, 0, sizeof(*subscriber));
	subscriber->instance = instance;
	return subscriber;
}

void
cfgsync_feed_remove(struct cfgsync_feed *feed, uint32_t instance)
{
	struct cfgsync_subscriber *subscriber =
	    cfgsync_feed_find(feed, instance);

	if (subscriber != NULL)
		*subscriber = feed->subscribers[--feed->subscriber_count];
}

/* Emits a CFGSYNC_SEND action. */
void
cfgsync_emit_send(const struct cfgsync_options *options, uint32_t to,
    const struct cfgsync_msg *msg)
{
	struct cfgsync_action action = {
	    .kind = CFGSYNC_SEND, .to = to, .msg = msg};

	options->emit(options->ctx, &action);
}

/* Sends the part of the whole document that starts at an offset. */
void
cfgsync_feed_send_chunk(
    struct cfgsync_feed *feed, uint32_t to, uint64_t revision, uint64_t offset)
{
	struct cfgsync_msg msg = {.kind = CFGSYNC_MSG_CHUNK,
	    .instance = feed->options->instance,
	    .incarnation = feed->options->incarnation,
	    .revision = feed->revision,
	    .total = feed->document.len};

	/* If the revision was replaced meanwhile, the newest starts at 0. */
	if (revision == feed->revision && offset <= feed->document.len)
		msg.offset = offset;
	msg.data = feed->document.data + msg.offset;
	msg.len = feed->document.len - msg.offset;
	if (msg.len > CFGSYNC_CHUNK_BYTES)
		msg.len = CFGSYNC_CHUNK_BYTES;
	cfgsync_emit_send(feed->options, to, &msg);
}

static const struct cfgsync_delta *
delta_from(const struct cfgsync_feed *feed, uint64_t base)
{
	for (uint32_t i = 0; i < feed->delta_count; i++) {
		if (feed->deltas[i].base == base)
			return &feed->deltas[i];
	}
	return NULL;
}

/* Returns whether the stored deltas lead from a revision to the newest. */
static bool
deltas_reach(const struct cfgsync_feed *feed, uint64_t revision)
{
	const struct cfgsync_delta *delta;

	while (revision < feed->revision) {
		delta = delta_from(feed, revision);
		if (delta == NULL)
			return false;
		revision = delta->revision;
	}
	return revision == feed->revision;
}

/* Sends an instance the deltas from its revision on, or the document. */
void
cfgsync_feed_send_updates(
    struct cfgsync_feed *feed, uint32_t to, uint64_t from_revision)
{
	struct cfgsync_msg msg = {.kind = CFGSYNC_MSG_DELTA,
	    .instance = feed->options->instance,
	    .incarnation = feed->options->incarnation};
	const struct cfgsync_delta *delta;

	if (from_revision >= feed->revision)
		return;
	if (!deltas_reach(feed, from_revision)) {
		cfgsync_feed_send_chunk(feed, to, feed->revision, 0);
		return;
	}
	while (from_revision < feed->revision) {
		delta = delta_from(feed, from_revision);
		msg.base = delta->base;
		msg.revision = delta->revision;
		msg.data = delta->bytes.data;
		msg.len = delta->bytes.len;
		cfgsync_emit_send(feed->options, to, &msg);
		from_revision = delta->revision;
	}
}

/* Sends a new revision unasked to every instance heard from lately. */
void
cfgsync_feed_push_all(struct cfgsync_feed *feed, int64_t now_us)
{
	int64_t silent_us =
	    CFGSYNC_SILENT_PERIODS * cfgsync_period_us(feed->options);

	for (uint32_t i = 0; i < feed->subscriber_count; i++) {
		const struct cfgsync_subscriber *subscriber =
		    &feed->subscribers[i];

		if (subscriber->heard_us != 0 &&
		    now_us - subscriber->heard_us < silent_us)
			cfgsync_feed_send_updates(
			    feed, subscriber->instance, subscriber->revision);
	}
}
