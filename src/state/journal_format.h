#ifndef CF_JOURNAL_FORMAT_H
#define CF_JOURNAL_FORMAT_H

/*
 * The bytes of a data folder's files.
 *
 * A file starts with a header: magic, format version, type and a sequence
 * number (segment: of its first record; snapshot: of the last record that it
 * covers).  Records follow: a header with length, kind, sequence number, the
 * sequence number that was durable when the record was made, and a checksum
 * over all of it; then the bytes.  All numbers are little endian.
 *
 * The durable number tells a torn tail from damage: if a record that cannot be
 * read is named as durable by a later one, it had been synced.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JF_HEADER_BYTES = 32,
	JF_RECORD_BYTES = 32,
	JF_KIND_MARK = 0, /* no record: says what is durable */
	JF_KIND_END = 0xffff /* closes a snapshot */
};

enum jf_type {
	JF_SEGMENT = 1,
	JF_SNAPSHOT = 2
};

struct jf_record {
	uint16_t kind;
	uint64_t seq;
	uint64_t durable;
	const uint8_t *data;
	uint32_t len;
};

void jf_header_put(struct buf *out, enum jf_type type, uint64_t seq);
int jf_header_get(
    const uint8_t *data, size_t len, enum jf_type type, uint64_t *seq);
void jf_record_put(struct buf *out, const struct jf_record *record);
size_t jf_record_get(const uint8_t *data, size_t len, struct jf_record *record);
bool jf_was_durable(const uint8_t *data, size_t len, uint64_t seq);
void jf_put64(uint8_t *at, uint64_t value);
uint64_t jf_get64(const uint8_t *at);

#ifdef __cplusplus
}
#endif

#endif
