#include "state/claim_store.h"

#include <string.h>

/* Journal replay and snapshots of a claim replica. */

enum {
	RECORD_HEAD_BYTES = 4 /* length before each record of a snapshot */
};

/* Replays one journal record.  Returns 0 or ERR_MALFORMED. */
int
claim_store_replay(struct claim_store *store, const uint8_t *record, size_t len)
{
	struct claim_entry entry;
	struct claim_slot *slot;
	int kind;

	kind = claim_record_decode(&entry, &store->meta, record, len);
	if (kind < 0)
		return kind;
	if (kind == 1) {
		claim_table_expire(&store->table, store->meta.floor);
		return 0;
	}
	slot = claim_table_find(&store->table, &entry.key);
	if (slot == NULL)
		slot = claim_table_add(&store->table, &entry.key);
	slot->entry = entry;
	return 0;
}

static void
set_record_length(struct buf *out, size_t start)
{
	uint32_t len;

	len = (uint32_t)(out->len - start - RECORD_HEAD_BYTES);
	memcpy(out->data + start, &len, sizeof(len));
}

/* Appends a snapshot to out: each record with its length before it. */
void
claim_store_snapshot(const struct claim_store *store, struct buf *out)
{
	uint32_t i, zero;
	size_t start;

	zero = 0;
	start = out->len;
	buf_add(out, &zero, RECORD_HEAD_BYTES);
	claim_meta_encode(&store->meta, out);
	set_record_length(out, start);
	for (i = 0; i < store->table.count; i++) {
		start = out->len;
		buf_add(out, &zero, RECORD_HEAD_BYTES);
		claim_entry_encode(&store->table.slots[i].entry, out);
		set_record_length(out, start);
	}
}

/* Reads a snapshot into an empty store.  Returns 0 or ERR_MALFORMED. */
int
claim_store_restore_snapshot(
    struct claim_store *store, const uint8_t *image, size_t len)
{
	uint32_t record;
	int error;

	while (len > 0) {
		if (len < RECORD_HEAD_BYTES)
			return ERR_MALFORMED;
		memcpy(&record, image, sizeof(record));
		image += RECORD_HEAD_BYTES;
		len -= RECORD_HEAD_BYTES;
		if (record > len)
			return ERR_MALFORMED;
		error = claim_store_replay(store, image, record);
		if (error != 0)
			return error;
		image += record;
		len -= record;
	}
	return 0;
}
