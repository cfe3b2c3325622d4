#ifndef CF_BILL_STORE_H
#define CF_BILL_STORE_H

#include "state/bill.h"
#include "state/bill_table.h"
#include "state/bill_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the bill replica only. */

struct bl_pending_ack {
	uint64_t record; /* goes out once this one is durable */
	uint32_t to;
	uint64_t op;
	struct bl_id id;
};

struct bl_peer {
	uint32_t instance;
	uint64_t life; /* of the peer's store, as last heard */
	uint64_t cursor; /* arrivals of that life pulled and durable here */
	uint64_t batch_last; /* cursor once batch_record is durable */
	uint64_t batch_record;
	uint64_t pulled; /* own arrivals that the peer has durably */
	uint64_t seals; /* number of its last archived seal */
};

struct bl_store {
	struct bl_store_options options;
	struct bl_table table;
	struct bl_peer peers[BL_REPLICAS_MAX];
	uint32_t peer_count;
	uint64_t appended;
	uint64_t persisted;
	bool failed;
	struct bl_pending_ack *acks;
	size_t ack_count;
	size_t ack_size;
	struct buf record;
	int64_t pull_due_us;
	uint64_t late;
	/* Seals. */
	struct buf upto; /* struct bl_id by owner: sealed and archived */
	struct buf agreed; /* the same, with the seals that wait */
	struct buf waiting; /* struct bl_seal in order */
	uint64_t seals; /* number of the last seal archived */
	uint64_t exported;
	uint64_t dropped; /* bills up to this seal are not in memory */
	uint32_t sealed; /* archived bills that are */
	bool behind; /* a peer has dropped what is missing here */
};

uint64_t bl_store_persist(struct bl_store *store, struct buf *record);
bool bl_store_take(struct bl_store *store, const struct bl_bill *bill);

/* bill_seal.c */
uint64_t bl_seal_upto(const struct buf *list, uint64_t owner);
void bl_seal_set_upto(struct buf *list, uint64_t owner, uint64_t sequence);
void bl_seal_apply(struct bl_store *store);
void bl_seal_drop(struct bl_store *store);
void bl_seal_restore_tail(struct bl_store *store, const struct bl_tail *tail);
void bl_seal_restore_waiting(
    struct bl_store *store, const struct bl_seal *seal);

#ifdef __cplusplus
}
#endif

#endif
