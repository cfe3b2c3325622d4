#include "state/claim_store.h"

#include <string.h>

/* Journal replay and snapshots of a claim replica. */

enum {
	RECORD_HEAD_BYTES = 4 /* length before each record of an image */
};

/* Replays one journal record; 0 or ERR_MALFORMED. */
int
cl_store_restore(struct cl_store *store, const uint8_t *record, size_t len)
{
	struct cl_entry entry;
	struct cl_slot *slot;
	int kind;

	kind = cl_record_decode(&entry, &store->meta, record, len);
	if (kind < 0)
		return kind;
	if (kind == 1) {
		cl_table_expire(&store->table, store->meta.floor);
		return 0;
	}
	slot = cl_table_find(&store->table, &entry.key);
	if (slot == NULL)
		slot = cl_table_add(&store->table, &entry.key);
	slot->entry = entry;
	return 0;
}

static void
image_end_record(struct buf *out, size_t start)
{
	uint32_t len;

	len = (uint32_t)(out->len - start - RECORD_HEAD_BYTES);
	memcpy(out->data + start, &len, sizeof(len));
}

/* Appends a snapshot: rows of a record's length and the record. */
void
cl_store_image(const struct cl_store *store, struct buf *out)
{
	uint32_t i, zero;
	size_t start;

	zero = 0;
	start = out->len;
	buf_add(out, &zero, RECORD_HEAD_BYTES);
	cl_meta_encode(&store->meta, out);
	image_end_record(out, start);
	for (i = 0; i < store->table.count; i++) {
		start = out->len;
		buf_add(out, &zero, RECORD_HEAD_BYTES);
		cl_entry_encode(&store->table.slots[i].entry, out);
		image_end_record(out, start);
	}
}

/* Reads a snapshot into an empty store; 0 or ERR_MALFORMED. */
int
cl_store_restore_image(struct cl_store *store, const uint8_t *image, size_t len)
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
		error = cl_store_restore(store, image, record);
		if (error != 0)
			return error;
		image += record;
		len -= record;
	}
	return 0;
}
