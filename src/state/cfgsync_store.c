#include "state/cfgsync_store.h"

#include <string.h>

/* Prepares an empty store at revision 0. */
void
cy_store_init(struct cy_store *store, const struct alloc *alloc)
{
	uint32_t i;

	memset(store, 0, sizeof(*store));
	store->alloc = alloc;
	buf_init(&store->document, alloc);
	for (i = 0; i < CY_DELTAS_MAX; i++)
		buf_init(&store->deltas[i].bytes, alloc);
}

void
cy_store_free(struct cy_store *store)
{
	uint32_t i;

	buf_free(&store->document);
	for (i = 0; i < CY_DELTAS_MAX; i++)
		buf_free(&store->deltas[i].bytes);
}

/* Takes a whole document. */
void
cy_store_set(struct cy_store *store, uint64_t revision, const uint8_t *document,
    size_t len)
{
	buf_clear(&store->document);
	buf_add(&store->document, document, len);
	store->revision = revision;
}

/* Keeps a delta for those who are behind; the oldest makes room. */
void
cy_store_add_delta(struct cy_store *store, uint64_t base, uint64_t revision,
    const uint8_t *data, size_t len)
{
	struct cy_delta *delta;

	delta = &store->deltas[store->delta_count++ % CY_DELTAS_MAX];
	delta->base = base;
	delta->revision = revision;
	buf_clear(&delta->bytes);
	buf_add(&delta->bytes, data, len);
}

static const struct cy_delta *
delta_from(const struct cy_store *store, uint64_t base)
{
	uint32_t i;

	for (i = 0; i < CY_DELTAS_MAX && i < store->delta_count; i++)
		if (store->deltas[i].base == base)
			return &store->deltas[i];
	return NULL;
}

/* Whether deltas lead from a revision to the newest. */
static bool
reaches(const struct cy_store *store, uint64_t have)
{
	const struct cy_delta *delta;

	while (have != store->revision) {
		delta = delta_from(store, have);
		if (delta == NULL || delta->revision <= have)
			return false;
		have = delta->revision;
	}
	return true;
}

/* Sends a part of the document; of the newest one if that revision is past. */
void
cy_store_chunk(const struct cy_store *store, uint32_t to, uint64_t revision,
    uint64_t offset, cy_send_fn *send, void *ctx)
{
	struct cy_msg msg = {0};

	if (revision != store->revision || offset > store->document.len)
		offset = 0;
	msg.kind = CY_MSG_CHUNK;
	msg.revision = store->revision;
	msg.offset = offset;
	msg.total = store->document.len;
	msg.data = store->document.data + offset;
	msg.len = store->document.len - offset;
	if (msg.len > CY_CHUNK_BYTES)
		msg.len = CY_CHUNK_BYTES;
	send(ctx, to, &msg);
}

/* Sends the deltas after a revision, or begins with the whole document. */
void
cy_store_serve(const struct cy_store *store, uint32_t to, uint64_t have,
    cy_send_fn *send, void *ctx)
{
	const struct cy_delta *delta;
	struct cy_msg msg;

	if (have >= store->revision)
		return;
	if (!reaches(store, have)) {
		cy_store_chunk(store, to, store->revision, 0, send, ctx);
		return;
	}
	while (have != store->revision) {
		delta = delta_from(store, have);
		memset(&msg, 0, sizeof(msg));
		msg.kind = CY_MSG_DELTA;
		msg.base = delta->base;
		msg.revision = delta->revision;
		msg.data = delta->bytes.data;
		msg.len = delta->bytes.len;
		send(ctx, to, &msg);
		have = delta->revision;
	}
}
