#include "state/journal_format.h"

#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "state/journal.h"

enum {
	HEADER_VERSION_OFFSET = 8,
	HEADER_TYPE_OFFSET = 12,
	HEADER_SEQ_OFFSET = 16,
	HEADER_HASH_OFFSET = 24,
	RECORD_KIND_OFFSET = 4,
	RECORD_FLAGS_OFFSET = 6,
	RECORD_SEQ_OFFSET = 8,
	RECORD_DURABLE_OFFSET = 16,
	RECORD_HASH_OFFSET = 24
};

static const uint8_t magic[8] = {'C', 'F', 'J', 'O', 'U', 'R', 'N', 'L'};

static void
put32(uint8_t *at, uint32_t value)
{
	int i;

	for (i = 0; i < 4; i++)
		at[i] = (uint8_t)(value >> (8 * i));
}

static uint32_t
get32(const uint8_t *at)
{
	return (uint32_t)at[0] | (uint32_t)at[1] << 8 | (uint32_t)at[2] << 16 |
	       (uint32_t)at[3] << 24;
}

/* Stores a 64-bit number in little-endian order. */
void
jformat_put64(uint8_t *at, uint64_t value)
{
	put32(at, (uint32_t)value);
	put32(at + 4, (uint32_t)(value >> 32));
}

/* Reads a 64-bit number in little-endian order. */
uint64_t
jformat_get64(const uint8_t *at)
{
	return get32(at) | (uint64_t)get32(at + 4) << 32;
}

/* Appends a file header. */
void
jformat_encode_header(struct buf *out, enum jformat_type type, uint64_t seq)
{
	uint8_t head[JFORMAT_HEADER_BYTES];

	memcpy(head, magic, sizeof(magic));
	put32(head + HEADER_VERSION_OFFSET, JNL_FORMAT_VERSION);
	put32(head + HEADER_TYPE_OFFSET, (uint32_t)type);
	jformat_put64(head + HEADER_SEQ_OFFSET, seq);
	jformat_put64(
	    head + HEADER_HASH_OFFSET, XXH3_64bits(head, HEADER_HASH_OFFSET));
	buf_add(out, head, sizeof(head));
}

/*
 * Reads a file header.  Returns 0, ERR_CORRUPT, or ERR_VERSION for an intact
 * header of a format version that this release does not support.
 */
int
jformat_decode_header(
    const uint8_t *data, size_t len, enum jformat_type type, uint64_t *seq)
{
	if (len < JFORMAT_HEADER_BYTES ||
	    memcmp(data, magic, sizeof(magic)) != 0 ||
	    jformat_get64(data + HEADER_HASH_OFFSET) !=
		XXH3_64bits(data, HEADER_HASH_OFFSET) ||
	    get32(data + HEADER_TYPE_OFFSET) != (uint32_t)type)
		return ERR_CORRUPT;
	if (get32(data + HEADER_VERSION_OFFSET) != JNL_FORMAT_VERSION)
		return ERR_VERSION;
	*seq = jformat_get64(data + HEADER_SEQ_OFFSET);
	return 0;
}

/* Appends a record with its checksum. */
void
jformat_encode_record(struct buf *out, const struct jformat_record *record)
{
	uint8_t head[JFORMAT_RECORD_HEADER_BYTES] = {0};
	uint64_t hash;

	put32(head, record->len);
	head[RECORD_KIND_OFFSET] = (uint8_t)record->kind;
	head[RECORD_KIND_OFFSET + 1] = (uint8_t)(record->kind >> 8);
	jformat_put64(head + RECORD_SEQ_OFFSET, record->seq);
	jformat_put64(head + RECORD_DURABLE_OFFSET, record->synced_seq);
	hash = XXH3_64bits_withSeed(record->data != NULL ? record->data : head,
	    record->len, XXH3_64bits(head, RECORD_HASH_OFFSET));
	jformat_put64(head + RECORD_HASH_OFFSET, hash);
	buf_add(out, head, sizeof(head));
	buf_add(out, record->data, record->len);
}

/*
 * Reads the record at the start of data.  Returns its size in bytes, or 0 if
 * there is no complete record with a matching checksum.  record->data points
 * into data.
 */
size_t
jformat_decode_record(
    const uint8_t *data, size_t len, struct jformat_record *record)
{
	uint32_t size;

	if (len < JFORMAT_RECORD_HEADER_BYTES)
		return 0;
	size = get32(data);
	if (size > JNL_RECORD_MAX_BYTES ||
	    size > len - JFORMAT_RECORD_HEADER_BYTES ||
	    data[RECORD_FLAGS_OFFSET] != 0 ||
	    data[RECORD_FLAGS_OFFSET + 1] != 0)
		return 0;
	if (jformat_get64(data + RECORD_HASH_OFFSET) !=
	    XXH3_64bits_withSeed(data + JFORMAT_RECORD_HEADER_BYTES, size,
		XXH3_64bits(data, RECORD_HASH_OFFSET)))
		return 0;
	record->len = size;
	record->kind = (uint16_t)(data[RECORD_KIND_OFFSET] |
				  data[RECORD_KIND_OFFSET + 1] << 8);
	record->seq = jformat_get64(data + RECORD_SEQ_OFFSET);
	record->synced_seq = jformat_get64(data + RECORD_DURABLE_OFFSET);
	record->data = data + JFORMAT_RECORD_HEADER_BYTES;
	return JFORMAT_RECORD_HEADER_BYTES + (size_t)size;
}

/*
 * Returns whether the bytes after an unreadable record prove that the record
 * with number seq had been durable: any complete record among them carries a
 * durable number of seq or higher.  Every byte offset is tried.
 */
bool
jformat_was_durable(const uint8_t *data, size_t len, uint64_t seq)
{
	struct jformat_record record;
	size_t at;

	for (at = 0; at + JFORMAT_RECORD_HEADER_BYTES <= len; at++) {
		if (jformat_get64(data + at + RECORD_DURABLE_OFFSET) < seq)
			continue;
		if (jformat_decode_record(data + at, len - at, &record) > 0)
			return true;
	}
	return false;
}
