#ifndef CF_BILL_TABLE_H
#define CF_BILL_TABLE_H

#include "state/bill.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Bills by id, in a hash of chains.  Nodes do not move; order links them by
 * their last change, oldest first.
 */
struct bl_node {
	struct bl_bill bill;
	uint64_t arrival; /* number of the last change */
	uint64_t record; /* store: journal record of the last change */
	uint64_t seal; /* store: archived with it, kept for slower peers */
	/* Entry side only. */
	uint64_t op; /* number of the content, echoed by ACK */
	uint32_t acks; /* bit mask of replicas */
	bool peer_ack; /* another instance of the data centre holds it */
	bool foreign; /* held for another instance */
	bool durable; /* the caller was told so */
	int64_t since_us; /* when this content was first sent */
	int64_t due_us;
	struct bl_node *chain;
	struct bl_node *older;
	struct bl_node *newer;
};

struct bl_table {
	const struct alloc *alloc;
	struct bl_node **buckets;
	uint32_t bucket_count;
	uint32_t count;
	struct bl_node *oldest;
	struct bl_node *newest;
	uint64_t arrivals;
};

void bl_table_init(struct bl_table *table, const struct alloc *alloc);
void bl_table_free(struct bl_table *table);
struct bl_node *bl_table_find(
    const struct bl_table *table, const struct bl_id *id);
struct bl_node *bl_table_add(struct bl_table *table, const struct bl_id *id);
void bl_table_touch(struct bl_table *table, struct bl_node *node);
void bl_table_remove(struct bl_table *table, struct bl_node *node);

#ifdef __cplusplus
}
#endif

#endif
