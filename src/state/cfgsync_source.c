#include "state/cfgsync_feed.h"

/* The replica's side of configuration distribution. */

struct cfgsync_source {
	struct cfgsync_options options;
	struct cfgsync_feed feed;
	int64_t fresh_until_us;
	int64_t last_message_us; /* when the last message arrived */
	struct cfgsync_subscriber expected[CFGSYNC_NODES_MAX];
	uint32_t expected_count;
};

/* Creates a source that knows no revision yet. */
struct cfgsync_source *
cfgsync_source_new(const struct cfgsync_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct cfgsync_source *source = alloc_zero(alloc, 1, sizeof(*source));

	source->options = *options;
	source->options.alloc = alloc;
	cfgsync_feed_init(&source->feed, &source->options);
	return source;
}

void
cfgsync_source_free(struct cfgsync_source *source)
{
	if (source == NULL)
		return;
	cfgsync_feed_free(&source->feed);
	alloc_free(source->options.alloc, source);
}

/*
 * Stores a revision accepted by the replicated log and sends it to every relay
 * heard from lately.  A revision that is not newer is ignored.
 */
void
cfgsync_source_accept(struct cfgsync_source *source, uint64_t revision,
    const uint8_t *document, size_t document_len, const uint8_t *delta,
    size_t delta_len)
{
	uint64_t base = source->feed.revision;

	if (revision <= base)
		return;
	if (delta != NULL && base > 0)
		cfgsync_feed_add_delta(
		    &source->feed, base, revision, delta, delta_len);
	cfgsync_feed_set_document(
	    &source->feed, revision, document, document_len);
	cfgsync_feed_push_all(&source->feed, source->last_message_us);
}

/* Extends the time until which the replica is known to be up to date. */
void
cfgsync_source_set_fresh_until(struct cfgsync_source *source, int64_t until_us)
{
	if (until_us > source->fresh_until_us)
		source->fresh_until_us = until_us;
}

static struct cfgsync_subscriber *
find_expected(struct cfgsync_source *source, uint32_t instance)
{
	for (uint32_t i = 0; i < source->expected_count; i++) {
		if (source->expected[i].instance == instance)
			return &source->expected[i];
	}
	return NULL;
}

/* Adds an instance that must confirm; a new incarnation starts unconfirmed. */
void
cfgsync_source_expect(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation)
{
	struct cfgsync_subscriber *subscriber = find_expected(source, instance);

	if (subscriber == NULL) {
		if (source->expected_count == CFGSYNC_NODES_MAX)
			return;
		subscriber = &source->expected[source->expected_count++];
		*subscriber = (struct cfgsync_subscriber){
		    .instance = instance, .incarnation = incarnation};
	} else if (incarnation > subscriber->incarnation) {
		subscriber->incarnation = incarnation;
		subscriber->confirmed = 0;
	}
}

/* Removes an instance whose incarnation has ended. */
void
cfgsync_source_remove_instance(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation)
{
	struct cfgsync_subscriber *subscriber = find_expected(source, instance);

	if (subscriber != NULL && subscriber->incarnation <= incarnation)
		*subscriber = source->expected[--source->expected_count];
	cfgsync_feed_remove(&source->feed, instance);
}

static void
record_confirm(
    struct cfgsync_source *source, const struct cfgsync_confirm *confirm)
{
	struct cfgsync_subscriber *subscriber;

	cfgsync_source_expect(source, confirm->instance, confirm->incarnation);
	subscriber = find_expected(source, confirm->instance);
	if (subscriber == NULL ||
	    subscriber->incarnation != confirm->incarnation)
		return;
	if (confirm->revision > subscriber->confirmed)
		subscriber->confirmed = confirm->revision;
}

static void
answer_have(struct cfgsync_source *source, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	int64_t left_us = source->fresh_until_us - now_us;
	int64_t longest_us = cfgsync_lease_us(&source->options);
	struct cfgsync_msg alive = {.kind = CFGSYNC_MSG_ALIVE,
	    .round = msg->round,
	    .instance = source->options.instance,
	    .incarnation = source->options.incarnation,
	    .revision = source->feed.revision};
	struct cfgsync_subscriber *subscriber =
	    cfgsync_feed_find_or_add(&source->feed, from);

	/*
	 * A replica that is up to date now grants a whole lease: the receiver
	 * may work that long without another answer.
	 */
	if (left_us > 0 && source->feed.revision > 0)
		alive.lease_ms = (uint32_t)(longest_us / 1000);
	if (subscriber != NULL) {
		subscriber->heard_us = now_us;
		subscriber->incarnation = msg->incarnation;
		subscriber->revision = msg->revision;
	}
	for (uint32_t i = 0; i < msg->confirm_count; i++)
		record_confirm(source, &msg->confirms[i]);
	cfgsync_feed_send_updates(&source->feed, from, msg->revision);
	cfgsync_emit_send(&source->options, from, &alive);
}

/* Handles a message of a relay or an instance. */
void
cfgsync_source_receive(struct cfgsync_source *source, int64_t now_us,
    uint32_t from, const struct cfgsync_msg *msg)
{
	source->last_message_us = now_us;
	if (msg->kind == CFGSYNC_MSG_HAVE)
		answer_have(source, now_us, from, msg);
	else if (msg->kind == CFGSYNC_MSG_WANT)
		cfgsync_feed_send_chunk(
		    &source->feed, from, msg->revision, msg->offset);
}

/*
 * Lists up to max expected instances that have not confirmed a revision.
 * Returns the number of all of them.
 */
size_t
cfgsync_source_list_unconfirmed(const struct cfgsync_source *source,
    uint64_t revision, uint32_t *instances, size_t max)
{
	size_t count = 0;

	for (uint32_t i = 0; i < source->expected_count; i++) {
		if (source->expected[i].confirmed >= revision)
			continue;
		if (count < max)
			instances[count] = source->expected[i].instance;
		count++;
	}
	return count;
}

/* Returns the newest accepted revision. */
uint64_t
cfgsync_source_revision(const struct cfgsync_source *source)
{
	return source->feed.revision;
}
