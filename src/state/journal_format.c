#include "state/journal_format.h"

#include <string.h>
#include <xxhash.h>

#include "base/err.h"
#include "state/journal.h"

enum {
	AT_VERSION = 8,
	AT_TYPE = 12,
	AT_FIRST = 16,
	AT_HEADER_HASH = 24,
	AT_KIND = 4,
	AT_FLAGS = 6,
	AT_SEQ = 8,
	AT_DURABLE = 16,
	AT_HASH = 24
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

/* Stores a number in little endian order. */
void
jf_put64(uint8_t *at, uint64_t value)
{
	put32(at, (uint32_t)value);
	put32(at + 4, (uint32_t)(value >> 32));
}

/* Reads a number in little endian order. */
uint64_t
jf_get64(const uint8_t *at)
{
	return get32(at) | (uint64_t)get32(at + 4) << 32;
}

/* Appends a file header. */
void
jf_header_put(struct buf *out, enum jf_type type, uint64_t seq)
{
	uint8_t head[JF_HEADER_BYTES];

	memcpy(head, magic, sizeof(magic));
	put32(head + AT_VERSION, JNL_FORMAT_VERSION);
	put32(head + AT_TYPE, (uint32_t)type);
	jf_put64(head + AT_FIRST, seq);
	jf_put64(head + AT_HEADER_HASH, XXH3_64bits(head, AT_HEADER_HASH));
	buf_add(out, head, sizeof(head));
}

/*
 * Reads a file header.  Returns 0, ERR_CORRUPT, or ERR_VERSION for a whole
 * header of a format that this release does not know.
 */
int
jf_header_get(const uint8_t *data, size_t len, enum jf_type type, uint64_t *seq)
{
	if (len < JF_HEADER_BYTES || memcmp(data, magic, sizeof(magic)) != 0 ||
	    jf_get64(data + AT_HEADER_HASH) !=
		XXH3_64bits(data, AT_HEADER_HASH) ||
	    get32(data + AT_TYPE) != (uint32_t)type)
		return ERR_CORRUPT;
	if (get32(data + AT_VERSION) != JNL_FORMAT_VERSION)
		return ERR_VERSION;
	*seq = jf_get64(data + AT_FIRST);
	return 0;
}

/* Appends a record with its checksum. */
void
jf_record_put(struct buf *out, const struct jf_record *record)
{
	uint8_t head[JF_RECORD_BYTES] = {0};
	uint64_t hash;

	put32(head, record->len);
	head[AT_KIND] = (uint8_t)record->kind;
	head[AT_KIND + 1] = (uint8_t)(record->kind >> 8);
	jf_put64(head + AT_SEQ, record->seq);
	jf_put64(head + AT_DURABLE, record->durable);
	hash = XXH3_64bits_withSeed(record->data != NULL ? record->data : head,
	    record->len, XXH3_64bits(head, AT_HASH));
	jf_put64(head + AT_HASH, hash);
	buf_add(out, head, sizeof(head));
	buf_add(out, record->data, record->len);
}

/*
 * Reads the record at data.  Returns its size in bytes, or 0 if no whole
 * record with a matching checksum stands there.  record->data points into
 * data.
 */
size_t
jf_record_get(const uint8_t *data, size_t len, struct jf_record *record)
{
	uint32_t size;

	if (len < JF_RECORD_BYTES)
		return 0;
	size = get32(data);
	if (size > JNL_RECORD_MAX_BYTES || size > len - JF_RECORD_BYTES ||
	    data[AT_FLAGS] != 0 || data[AT_FLAGS + 1] != 0)
		return 0;
	if (jf_get64(data + AT_HASH) !=
	    XXH3_64bits_withSeed(
		data + JF_RECORD_BYTES, size, XXH3_64bits(data, AT_HASH)))
		return 0;
	record->len = size;
	record->kind = (uint16_t)(data[AT_KIND] | data[AT_KIND + 1] << 8);
	record->seq = jf_get64(data + AT_SEQ);
	record->durable = jf_get64(data + AT_DURABLE);
	record->data = data + JF_RECORD_BYTES;
	return JF_RECORD_BYTES + (size_t)size;
}

/*
 * Tells whether the bytes after an unreadable record prove that the record
 * number seq had been durable: whether any whole record in them says so.
 */
bool
jf_was_durable(const uint8_t *data, size_t len, uint64_t seq)
{
	struct jf_record record;
	size_t at;

	for (at = 0; at + JF_RECORD_BYTES <= len; at++) {
		if (jf_get64(data + at + AT_DURABLE) < seq)
			continue;
		if (jf_record_get(data + at, len - at, &record) > 0)
			return true;
	}
	return false;
}
