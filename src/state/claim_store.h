#ifndef CF_CLAIM_STORE_H
#define CF_CLAIM_STORE_H

#include "state/claim.h"
#include "state/claim_table.h"
#include "state/claim_wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the claim replica only. */

/* A reply that waits until the records before it are durable. */
struct cl_pending {
	uint64_t sequence;
	uint32_t to;
	uint64_t op;
	int error;
	struct cl_ballot ballot;
	struct cl_entry entry;
};

struct cl_learn_peer {
	uint32_t instance;
	uint64_t cursor;
	bool done;
};

struct cl_store {
	struct cl_store_options options;
	struct cl_replicas set;
	struct cl_table table;
	struct cl_meta meta;
	uint64_t appended; /* sequence of the last record */
	uint64_t persisted;
	bool failed; /* a sync failed: no vote until a restart */
	struct cl_pending *pending; /* by sequence */
	size_t pending_count;
	size_t pending_size;
	struct buf record;
	int64_t started_us; /* first event; markers seem no older than this */
	int64_t wall_s;
	int64_t learn_wall_s; /* when learning began; 0: not yet known */
	int64_t learn_due_us;
	uint64_t covered_at; /* sequence of the record that ends learning */
	enum cl_coverage covering; /* coverage once that is durable */
	struct cl_learn_peer peers[CL_REPLICAS_MAX];
};

void cl_store_persist(struct cl_store *store, const struct cl_entry *entry);
void cl_store_persist_meta(struct cl_store *store, const struct cl_meta *meta);
void cl_store_send(
    struct cl_store *store, uint32_t to, const struct cl_msg *msg);

/* claim_learn.c */
void cl_learn_message(struct cl_store *store, int64_t now_us, uint32_t from,
    const struct cl_msg *msg);
void cl_learn_tick(struct cl_store *store, int64_t now_us);
void cl_learn_restart(struct cl_store *store);

#ifdef __cplusplus
}
#endif

#endif
