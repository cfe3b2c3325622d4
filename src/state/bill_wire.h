#ifndef CF_BILL_WIRE_H
#define CF_BILL_WIRE_H

#include "state/bill.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Journal records of a bill replica. */

enum bl_record_kind {
	BL_RECORD_BILL = 1, /* the bill as it now is */
	BL_RECORD_SEAL, /* agreed, not applied yet */
	BL_RECORD_TAIL /* what the applied seals have come to */
};

struct bl_tail {
	uint64_t seals; /* number of the last seal applied */
	uint64_t exported; /* lines of the export */
	const struct bl_id *upto; /* by owner */
	uint32_t count;
};

void bl_record_seal(const struct bl_seal *seal, struct buf *out);
void bl_record_tail(const struct bl_tail *tail, struct buf *out);

/* A record of any kind; tail.upto lies in ids, which grows as needed. */
struct bl_record {
	enum bl_record_kind kind;
	struct bl_bill bill;
	struct bl_seal seal;
	struct bl_tail tail;
	struct buf ids;
};

int bl_record_decode(struct bl_record *record, const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
