#ifndef CF_BILL_WIRE_H
#define CF_BILL_WIRE_H

#include "state/bill.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Journal records of a bill replica. */

enum bill_record_kind {
	BILL_RECORD_BILL = 1, /* the bill as it now is */
	BILL_RECORD_SEAL, /* a seal that is agreed, but not applied yet */
	BILL_RECORD_SEAL_STATE /* the sealed state */
};

/* The sealed state: what all applied seals add up to. */
struct bill_seal_state {
	uint64_t seals; /* number of the last seal applied */
	uint64_t exported; /* lines of the export */
	const struct bill_id *upto; /* last sealed bill of each owner */
	uint32_t count;
};

void bill_record_encode_seal(const struct bill_seal *seal, struct buf *out);
void bill_record_encode_seal_state(
    const struct bill_seal_state *sealed_state, struct buf *out);

/*
 * A decoded record of any kind.  sealed_state.upto points into ids, which grows
 * as needed.
 */
struct bill_journal_record {
	enum bill_record_kind kind;
	struct bill_entry bill;
	struct bill_seal seal;
	struct bill_seal_state sealed_state;
	struct buf ids;
};

int bill_record_decode(
    struct bill_journal_record *record, const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
