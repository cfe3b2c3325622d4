#ifndef CF_BILL_STORE_H
#define CF_BILL_STORE_H

#include "state/bill.h"
#include "state/bill_table.h"
#include "state/bill_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Internal to the replica: bill_{seal,store}.c. */

/* An acknowledgement to send once a journal record is durable. */
struct bill_pending_ack {
	uint64_t record; /* sequence of the record */
	uint32_t to;
	uint64_t op;
	struct bill_id id;
};

struct bill_peer {
	uint32_t instance;
	uint64_t life; /* of the peer's store, from its last batch */
	uint64_t cursor; /* arrival of that life up to which all is durable */
	uint64_t batch_last; /* next cursor, when batch_record is durable */
	uint64_t batch_record;
	uint64_t pulled; /* own arrival up to which the peer has all durably */
	uint64_t seals; /* number of the last seal that it archived */
};

struct bill_store {
	struct bill_store_options options;
	struct bill_table table;
	struct bill_peer peers[BILL_REPLICAS_MAX];
	uint32_t peer_count;
	uint64_t appended; /* sequence of the last journal record */
	uint64_t persisted; /* sequence up to which records are durable */
	bool failed; /* a sync failed; no messages any more */
	struct bill_pending_ack *acks;
	size_t ack_count;
	size_t ack_size;
	struct buf record;
	int64_t pull_due_us;
	uint64_t late; /* copies that arrived for sealed or closed bills */
	/* Seals. */
	struct buf upto; /* struct bill_id by owner: archived up to */
	struct buf agreed; /* the same, including the waiting seals */
	struct buf waiting; /* struct bill_seal in order; bills are missing */
	uint64_t seals; /* number of the last archived seal */
	uint64_t exported; /* lines of the export */
	uint64_t dropped; /* last seal whose bills have left memory */
	uint32_t sealed; /* number of archived bills in memory */
	bool behind; /* a peer has dropped bills that are missing here */
};

uint64_t bill_store_persist(struct bill_store *store, struct buf *record);
bool bill_store_merge_bill(
    struct bill_store *store, const struct bill_entry *bill);

/* bill_seal.c */
uint64_t bill_seal_get_upto(const struct buf *list, uint64_t owner);
void bill_seal_set_upto(struct buf *list, uint64_t owner, uint64_t sequence);
void bill_seal_apply_waiting(struct bill_store *store);
void bill_seal_drop_archived(struct bill_store *store);
void bill_seal_replay_state(
    struct bill_store *store, const struct bill_seal_state *sealed_state);
void bill_seal_replay_waiting(
    struct bill_store *store, const struct bill_seal *seal);

#ifdef __cplusplus
}
#endif

#endif
