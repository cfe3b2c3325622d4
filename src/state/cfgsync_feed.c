#include "state/cfgsync_feed.h"

#include <string.h>

enum {
	PERIOD_MS = 1000,
	LEASE_MS = 5000,
	US_PER_MS = 1000,
	FED_FIRST = 16
};

/* Returns the time between two HAVEs. */
int64_t
cy_period_us(const struct cfgsync_options *options)
{
	return (int64_t)(options->period_ms != 0 ? options->period_ms
						 : PERIOD_MS) *
	       US_PER_MS;
}

/* Returns the longest lease. */
int64_t
cy_lease_us(const struct cfgsync_options *options)
{
	return (int64_t)(options->lease_ms != 0 ? options->lease_ms
						: LEASE_MS) *
	       US_PER_MS;
}

/* Prepares an empty feed. */
void
cy_feed_init(struct cy_feed *feed, const struct cfgsync_options *options)
{
	memset(feed, 0, sizeof(*feed));
	feed->options = options;
	buf_init(&feed->document, options->alloc);
	for (uint32_t i = 0; i < CY_DELTAS_MAX; i++)
		buf_init(&feed->deltas[i].bytes, options->alloc);
}

/* Releases document, deltas and the table of those fed. */
void
cy_feed_free(struct cy_feed *feed)
{
	buf_free(&feed->document);
	for (uint32_t i = 0; i < CY_DELTAS_MAX; i++)
		buf_free(&feed->deltas[i].bytes);
	alloc_free(feed->options->alloc, feed->fed);
}

/* Takes a newer document. */
void
cy_feed_set(struct cy_feed *feed, uint64_t revision, const uint8_t *document,
    size_t len)
{
	feed->revision = revision;
	buf_clear(&feed->document);
	buf_add(&feed->document, document, len);
}

/* Keeps a delta for instances that are a little behind. */
void
cy_feed_add_delta(struct cy_feed *feed, uint64_t base, uint64_t revision,
    const uint8_t *delta, size_t len)
{
	struct cy_delta *slot = &feed->deltas[feed->delta_next];

	slot->base = base;
	slot->revision = revision;
	buf_clear(&slot->bytes);
	buf_add(&slot->bytes, delta, len);
	feed->delta_next = (feed->delta_next + 1) % CY_DELTAS_MAX;
	if (feed->delta_count < CY_DELTAS_MAX)
		feed->delta_count++;
}

/* Returns what is known of an instance, or NULL. */
struct cy_fed *
cy_feed_find(struct cy_feed *feed, uint32_t instance)
{
	for (uint32_t i = 0; i < feed->fed_count; i++) {
		if (feed->fed[i].instance == instance)
			return &feed->fed[i];
	}
	return NULL;
}

/* The same, made on first use; NULL when the table is full. */
struct cy_fed *
cy_feed_get(struct cy_feed *feed, uint32_t instance)
{
	struct cy_fed *fed = cy_feed_find(feed, instance);

	if (fed != NULL || feed->fed_count == CY_NODES_MAX)
		return fed;
	if (feed->fed_count == feed->fed_size) {
		feed->fed_size =
		    feed->fed_size > 0 ? feed->fed_size * 2 : FED_FIRST;
		feed->fed = alloc_resize(feed->options->alloc, feed->fed,
		    feed->fed_size * sizeof(*feed->fed));
	}
	fed = &feed->fed[feed->fed_count++];
	memset(fed, 0, sizeof(*fed));
	fed->instance = instance;
	return fed;
}

/* Forgets an instance. */
void
cy_feed_remove(struct cy_feed *feed, uint32_t instance)
{
	struct cy_fed *fed = cy_feed_find(feed, instance);

	if (fed != NULL)
		*fed = feed->fed[--feed->fed_count];
}

/* Hands a message to the caller. */
void
cy_emit_send(const struct cfgsync_options *options, uint32_t to,
    const struct cfgsync_msg *msg)
{
	struct cfgsync_action action = {
	    .kind = CFGSYNC_SEND, .to = to, .msg = msg};

	options->emit(options->ctx, &action);
}

/* Sends a part of the whole document, from an offset on. */
void
cy_feed_chunk(
    struct cy_feed *feed, uint32_t to, uint64_t revision, uint64_t offset)
{
	struct cfgsync_msg msg = {.kind = CY_MSG_CHUNK,
	    .instance = feed->options->instance,
	    .incarnation = feed->options->incarnation,
	    .revision = feed->revision,
	    .total = feed->document.len};

	/* A revision that is gone meanwhile is begun anew with the newest. */
	if (revision == feed->revision && offset <= feed->document.len)
		msg.offset = offset;
	msg.data = feed->document.data + msg.offset;
	msg.len = feed->document.len - msg.offset;
	if (msg.len > CY_CHUNK_BYTES)
		msg.len = CY_CHUNK_BYTES;
	cy_emit_send(feed->options, to, &msg);
}

static const struct cy_delta *
delta_from(const struct cy_feed *feed, uint64_t base)
{
	for (uint32_t i = 0; i < feed->delta_count; i++) {
		if (feed->deltas[i].base == base)
			return &feed->deltas[i];
	}
	return NULL;
}

/* Whether the deltas kept lead from a revision to the newest one. */
static bool
deltas_reach(const struct cy_feed *feed, uint64_t revision)
{
	const struct cy_delta *delta;

	while (revision < feed->revision) {
		delta = delta_from(feed, revision);
		if (delta == NULL)
			return false;
		revision = delta->revision;
	}
	return revision == feed->revision;
}

/* Brings an instance that has a revision up to date: deltas, or the whole. */
void
cy_feed_send(struct cy_feed *feed, uint32_t to, uint64_t from_revision)
{
	struct cfgsync_msg msg = {.kind = CY_MSG_DELTA,
	    .instance = feed->options->instance,
	    .incarnation = feed->options->incarnation};
	const struct cy_delta *delta;

	if (from_revision >= feed->revision)
		return;
	if (!deltas_reach(feed, from_revision)) {
		cy_feed_chunk(feed, to, feed->revision, 0);
		return;
	}
	while (from_revision < feed->revision) {
		delta = delta_from(feed, from_revision);
		msg.base = delta->base;
		msg.revision = delta->revision;
		msg.data = delta->bytes.data;
		msg.len = delta->bytes.len;
		cy_emit_send(feed->options, to, &msg);
		from_revision = delta->revision;
	}
}

/* Tells a new revision to everybody heard of lately, without being asked. */
void
cy_feed_push(struct cy_feed *feed, int64_t now_us)
{
	int64_t silent_us = CY_FED_SILENT_PERIODS * cy_period_us(feed->options);

	for (uint32_t i = 0; i < feed->fed_count; i++) {
		const struct cy_fed *fed = &feed->fed[i];

		if (fed->heard_us != 0 && now_us - fed->heard_us < silent_us)
			cy_feed_send(feed, fed->instance, fed->revision);
	}
}
