#ifndef CF_CLAIM_STORE_H
#define CF_CLAIM_STORE_H

#include "state/claim.h"
#include "state/claim_table.h"
#include "state/claim_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Internal to the replica: claim_{image,learn,store}.c. */

/* A reply to send once the records up to sequence are durable. */
struct claim_pending_reply {
	uint64_t sequence;
	uint32_t to;
	uint64_t op;
	int error;
	struct claim_ballot ballot;
	struct claim_entry entry;
};

struct claim_learn_peer {
	uint32_t instance;
	uint64_t cursor;
	bool done;
};

struct claim_store {
	struct claim_store_options options;
	struct claim_replicas set;
	struct claim_table table;
	struct claim_meta meta;
	uint64_t appended; /* sequence of the last record */
	uint64_t persisted; /* sequence up to which records are durable */
	bool failed; /* a sync failed; no votes any more */
	struct claim_pending_reply *pending; /* by sequence */
	size_t pending_count;
	size_t pending_size;
	struct buf record;
	int64_t started_us; /* first event; a marker counts as no older */
	int64_t wall_s;
	int64_t learn_start_wall_s; /* start of learning; 0: unknown */
	int64_t learn_due_us;
	uint64_t covered_sequence; /* record that ends learning; 0: none */
	enum claim_coverage pending_coverage; /* in force once it is durable */
	struct claim_learn_peer peers[CLAIM_REPLICAS_MAX];
};

void claim_store_persist(
    struct claim_store *store, const struct claim_entry *entry);
void claim_store_persist_meta(
    struct claim_store *store, const struct claim_meta *meta);
void claim_store_send(
    struct claim_store *store, uint32_t to, const struct claim_msg *msg);

/* claim_learn.c */
void claim_learn_receive(struct claim_store *store, int64_t now_us,
    uint32_t from, const struct claim_msg *msg);
void claim_learn_tick(struct claim_store *store, int64_t now_us);
void claim_learn_restart(struct claim_store *store);

#ifdef __cplusplus
}
#endif

#endif
