#include "state/cfgsync_feed.h"

/* The replica's side of configuration distribution. */

struct cfgsync_source {
	struct cfgsync_options options;
	struct cy_feed feed;
	int64_t fresh_until_us;
	int64_t heard_us; /* latest time that a message came */
	struct cy_fed expected[CY_NODES_MAX];
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
	cy_feed_init(&source->feed, &source->options);
	return source;
}

/* Releases a source. */
void
cfgsync_source_free(struct cfgsync_source *source)
{
	if (source == NULL)
		return;
	cy_feed_free(&source->feed);
	alloc_free(source->options.alloc, source);
}

/*
 * The replicated log has accepted a revision: it is told to every relay that
 * asked lately.  An older revision than the newest known changes nothing.
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
		cy_feed_add_delta(
		    &source->feed, base, revision, delta, delta_len);
	cy_feed_set(&source->feed, revision, document, document_len);
	cy_feed_push(&source->feed, source->heard_us);
}

/* The replica is up to date until then. */
void
cfgsync_source_set_fresh_until(struct cfgsync_source *source, int64_t until_us)
{
	if (until_us > source->fresh_until_us)
		source->fresh_until_us = until_us;
}

static struct cy_fed *
find_expected(struct cfgsync_source *source, uint32_t instance)
{
	for (uint32_t i = 0; i < source->expected_count; i++) {
		if (source->expected[i].instance == instance)
			return &source->expected[i];
	}
	return NULL;
}

/* Expects an instance to confirm; a newer life begins unconfirmed. */
void
cfgsync_source_expect(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation)
{
	struct cy_fed *fed = find_expected(source, instance);

	if (fed == NULL) {
		if (source->expected_count == CY_NODES_MAX)
			return;
		fed = &source->expected[source->expected_count++];
		*fed = (struct cy_fed){
		    .instance = instance, .incarnation = incarnation};
	} else if (incarnation > fed->incarnation) {
		fed->incarnation = incarnation;
		fed->confirmed = 0;
	}
}

/* A life of an instance has ended: it is expected no more. */
void
cy_source_ended(
    struct cfgsync_source *source, uint32_t instance, uint64_t incarnation)
{
	struct cy_fed *fed = find_expected(source, instance);

	if (fed != NULL && fed->incarnation <= incarnation)
		*fed = source->expected[--source->expected_count];
	cy_feed_remove(&source->feed, instance);
}

static void
take_confirm(struct cfgsync_source *source, const struct cy_confirm *confirm)
{
	struct cy_fed *fed;

	cfgsync_source_expect(source, confirm->instance, confirm->incarnation);
	fed = find_expected(source, confirm->instance);
	if (fed == NULL || fed->incarnation != confirm->incarnation)
		return;
	if (confirm->revision > fed->confirmed)
		fed->confirmed = confirm->revision;
}

static void
answer_have(struct cfgsync_source *source, int64_t now_us, uint32_t from,
    const struct cfgsync_msg *msg)
{
	int64_t left_us = source->fresh_until_us - now_us;
	int64_t longest_us = cy_lease_us(&source->options);
	struct cfgsync_msg alive = {.kind = CY_MSG_ALIVE,
	    .round = msg->round,
	    .instance = source->options.instance,
	    .incarnation = source->options.incarnation,
	    .revision = source->feed.revision};
	struct cy_fed *fed = cy_feed_get(&source->feed, from);

	/*
	 * Up to date now is known to be up to date for a whole lease: whoever
	 * hears of it may go on that long without hearing more.
	 */
	if (left_us > 0 && source->feed.revision > 0)
		alive.lease_ms = (uint32_t)(longest_us / 1000);
	if (fed != NULL) {
		fed->heard_us = now_us;
		fed->incarnation = msg->incarnation;
		fed->revision = msg->revision;
	}
	for (uint32_t i = 0; i < msg->confirm_count; i++)
		take_confirm(source, &msg->confirms[i]);
	cy_feed_send(&source->feed, from, msg->revision);
	cy_emit_send(&source->options, from, &alive);
}

/* Takes a relay's or an instance's message. */
void
cfgsync_source_receive(struct cfgsync_source *source, int64_t now_us,
    uint32_t from, const struct cfgsync_msg *msg)
{
	source->heard_us = now_us;
	if (msg->kind == CFGSYNC_MSG_HAVE)
		answer_have(source, now_us, from, msg);
	else if (msg->kind == CFGSYNC_MSG_WANT)
		cy_feed_chunk(&source->feed, from, msg->revision, msg->offset);
}

/* Lists the expected instances that have not confirmed; returns how many. */
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

/* Returns the newest revision accepted here. */
uint64_t
cy_source_revision(const struct cfgsync_source *source)
{
	return source->feed.revision;
}
