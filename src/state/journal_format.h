#ifndef CF_JOURNAL_FORMAT_H
#define CF_JOURNAL_FORMAT_H

/*
 * The on-disk format of a data folder's files.
 *
 * A file starts with a header: magic, format version, type and a sequence
 * number (segment: of its first record; snapshot: of the last record that it
 * covers).  Records follow: a header with length, kind, sequence number, the
 * sequence number that was durable when the record was made, and a checksum
 * over header and payload; then the payload.  All numbers are little-endian.
 *
 * The durable number distinguishes a torn tail from damage: if a later record
 * names an unreadable one as durable, that one had been synced.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JFORMAT_HEADER_BYTES = 32,
	JFORMAT_RECORD_HEADER_BYTES = 32,
	JFORMAT_KIND_MARK = 0, /* only carries the durable number */
	JFORMAT_KIND_END = 0xffff /* last record of a snapshot */
};

enum jformat_type {
	JFORMAT_SEGMENT = 1,
	JFORMAT_SNAPSHOT = 2
};

struct jformat_record {
	uint16_t kind;
	uint64_t seq;
	uint64_t synced_seq; /* highest durable number when it was made */
	const uint8_t *data;
	uint32_t len;
};

void jformat_encode_header(
    struct buf *out, enum jformat_type type, uint64_t seq);
int jformat_decode_header(
    const uint8_t *data, size_t len, enum jformat_type type, uint64_t *seq);
void jformat_encode_record(
    struct buf *out, const struct jformat_record *record);
size_t jformat_decode_record(
    const uint8_t *data, size_t len, struct jformat_record *record);
bool jformat_was_durable(const uint8_t *data, size_t len, uint64_t seq);
void jformat_put64(uint8_t *at, uint64_t value);
uint64_t jformat_get64(const uint8_t *at);

#ifdef __cplusplus
}
#endif

#endif
