#ifndef CF_BILL_TABLE_H
#define CF_BILL_TABLE_H

#include "state/bill.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Bills by id, in a chained hash table.  Nodes do not move in memory.  A list
 * (older, newer) links them in the order of their last change.
 */
struct bill_node {
	struct bill_entry bill;
	uint64_t arrival; /* number of its last change in this table */
	uint64_t record; /* store: sequence of its last journal record */
	uint64_t seal; /* store: archived in this seal, kept for slow peers */
	/* Entry side only. */
	uint64_t op; /* id of the present content, repeated by ACK */
	uint32_t acks; /* bit mask of replicas that acknowledged it */
	bool peer_ack; /* another instance of the data centre keeps it */
	bool foreign; /* kept for another instance */
	bool durable; /* reported as durable to the caller */
	int64_t since_us; /* when this content was first sent */
	int64_t due_us;
	struct bill_node *chain; /* next in the bucket */
	struct bill_node *older;
	struct bill_node *newer;
};

struct bill_table {
	const struct alloc *alloc;
	struct bill_node **buckets;
	uint32_t bucket_count;
	uint32_t count;
	struct bill_node *oldest;
	struct bill_node *newest;
	uint64_t arrivals; /* number of changes so far */
};

void bill_table_init(struct bill_table *table, const struct alloc *alloc);
void bill_table_free(struct bill_table *table);
struct bill_node *bill_table_find(
    const struct bill_table *table, const struct bill_id *id);
struct bill_node *bill_table_add(
    struct bill_table *table, const struct bill_id *id);
void bill_table_make_newest(struct bill_table *table, struct bill_node *node);
void bill_table_remove(struct bill_table *table, struct bill_node *node);

#ifdef __cplusplus
}
#endif

#endif
