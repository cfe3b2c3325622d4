#include "state/cfgsync_store.h"

#include <string.h>

enum {
	LEASE_MS = 10000
};

/* The replica's end: serves relays, and knows who has confirmed what. */
struct cy_source {
	struct cy_options options;
	struct cy_store store;
	int64_t fresh_until_us;
	struct cy_confirm expected[CY_NODES_MAX];
	uint32_t expected_count;
	uint32_t relays[CY_NODES_MAX]; /* who sent a HAVE; pushed to */
	uint32_t relay_count;
};

struct cy_source *
cy_source_new(const struct cy_options *options)
{
	const struct alloc *alloc;
	struct cy_source *source;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	source = alloc_zero(alloc, 1, sizeof(*source));
	source->options = *options;
	source->options.alloc = alloc;
	if (options->lease_ms == 0)
		source->options.lease_ms = LEASE_MS;
	cy_store_init(&source->store, alloc);
	return source;
}

void
cy_source_free(struct cy_source *source)
{
	if (source == NULL)
		return;
	cy_store_free(&source->store);
	alloc_free(source->options.alloc, source);
}

static void
source_send(void *ctx, uint32_t to, struct cy_msg *msg)
{
	struct cy_action action = {0};
	struct cy_source *source;

	source = ctx;
	msg->instance = source->options.instance;
	msg->incarnation = source->options.incarnation;
	action.kind = CY_SEND;
	action.to = to;
	action.msg = msg;
	source->options.emit(source->options.ctx, &action);
}

/*
 * Takes a revision that the log accepted and pushes it to the relays.  An
 * older one than the last changes nothing.
 */
void
cy_source_accepted(struct cy_source *source, uint64_t revision,
    const uint8_t *document, size_t document_len, const uint8_t *delta,
    size_t delta_len)
{
	uint64_t base;
	uint32_t i;

	base = source->store.revision;
	if (revision <= base && !source->options.unsafe_any_revision)
		return;
	cy_store_set(&source->store, revision, document, document_len);
	if (delta == NULL)
		return;
	cy_store_add_delta(&source->store, base, revision, delta, delta_len);
	for (i = 0; i < source->relay_count; i++)
		cy_store_serve(&source->store, source->relays[i], base,
		    source_send, source);
}

/* The replica is up to date until then; leases given out end by then. */
void
cy_source_fresh(struct cy_source *source, int64_t until_us)
{
	if (until_us > source->fresh_until_us)
		source->fresh_until_us = until_us;
}

static struct cy_confirm *
find_expected(struct cy_source *source, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < source->expected_count; i++)
		if (source->expected[i].instance == instance)
			return &source->expected[i];
	return NULL;
}

/* A life of an instance is up: it is expected to confirm. */
void
cy_source_expect(
    struct cy_source *source, uint32_t instance, uint64_t incarnation)
{
	struct cy_confirm *confirm;

	confirm = find_expected(source, instance);
	if (confirm == NULL) {
		if (source->expected_count == CY_NODES_MAX)
			return;
		confirm = &source->expected[source->expected_count++];
		memset(confirm, 0, sizeof(*confirm));
		confirm->instance = instance;
	}
	if (confirm->incarnation >= incarnation)
		return;
	confirm->incarnation = incarnation;
	confirm->revision = 0;
}

/* A life of an instance has ended: nothing is expected of it any more. */
void
cy_source_ended(
    struct cy_source *source, uint32_t instance, uint64_t incarnation)
{
	struct cy_confirm *confirm;

	confirm = find_expected(source, instance);
	if (confirm != NULL && confirm->incarnation <= incarnation)
		*confirm = source->expected[--source->expected_count];
}

static void
confirm_one(struct cy_source *source, const struct cy_confirm *arrived)
{
	struct cy_confirm *confirm;

	cy_source_expect(source, arrived->instance, arrived->incarnation);
	confirm = find_expected(source, arrived->instance);
	if (confirm != NULL && confirm->incarnation == arrived->incarnation &&
	    arrived->revision > confirm->revision)
		confirm->revision = arrived->revision;
}

static void
know_relay(struct cy_source *source, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < source->relay_count; i++)
		if (source->relays[i] == instance)
			return;
	if (source->relay_count < CY_NODES_MAX)
		source->relays[source->relay_count++] = instance;
}

static void
answer(struct cy_source *source, int64_t now_us, uint32_t from,
    const struct cy_msg *have)
{
	struct cy_msg msg = {0};
	int64_t left_ms;

	left_ms = (source->fresh_until_us - now_us) / 1000;
	if (left_ms > source->options.lease_ms)
		left_ms = source->options.lease_ms;
	msg.kind = CY_MSG_ALIVE;
	msg.round = have->round;
	msg.revision = source->store.revision;
	if (left_ms > 0 && have->revision <= source->store.revision)
		msg.lease_ms = (uint32_t)left_ms;
	source_send(source, from, &msg);
}

/* Takes a relay's message. */
void
cy_source_message(struct cy_source *source, int64_t now_us, uint32_t from,
    const struct cy_msg *msg)
{
	struct cy_confirm own;
	uint32_t i;

	if (msg->kind == CY_MSG_WANT) {
		cy_store_chunk(&source->store, from, msg->revision, msg->offset,
		    source_send, source);
		return;
	}
	if (msg->kind != CY_MSG_HAVE)
		return;
	own.instance = msg->instance;
	own.incarnation = msg->incarnation;
	own.revision = msg->base;
	confirm_one(source, &own);
	for (i = 0; i < msg->confirm_count; i++)
		confirm_one(source, &msg->confirms[i]);
	know_relay(source, from);
	answer(source, now_us, from, msg);
	cy_store_serve(
	    &source->store, from, msg->revision, source_send, source);
}

/* Lists who has not confirmed a revision; returns how many there are. */
size_t
cy_source_unconfirmed(const struct cy_source *source, uint64_t revision,
    uint32_t *instances, size_t max)
{
	size_t count;
	uint32_t i;

	count = 0;
	for (i = 0; i < source->expected_count; i++) {
		if (source->expected[i].revision >= revision)
			continue;
		if (count < max)
			instances[count] = source->expected[i].instance;
		count++;
	}
	return count;
}

uint64_t
cy_source_revision(const struct cy_source *source)
{
	return source->store.revision;
}
