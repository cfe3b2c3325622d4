#include "state/bill_table.h"

#include <string.h>

enum {
	TABLE_FIRST_BUCKETS = 256
};

/* Prepares an empty table. */
void
bill_table_init(struct bill_table *table, const struct alloc *alloc)
{
	memset(table, 0, sizeof(*table));
	table->alloc = alloc;
}

void
bill_table_free(struct bill_table *table)
{
	struct bill_node *node, *next;

	for (node = table->oldest; node != NULL; node = next) {
		next = node->newer;
		alloc_free(table->alloc, node);
	}
	alloc_free(table->alloc, table->buckets);
}

static struct bill_node **
bucket_of(const struct bill_table *table, const struct bill_id *id)
{
	uint64_t h;

	h = (id->owner ^ id->sequence * 0x9e3779b97f4a7c15ULL) *
	    0xff51afd7ed558ccdULL;
	return &table->buckets[(h >> 32) & (table->bucket_count - 1)];
}

/* Returns the node of a bill, or NULL. */
struct bill_node *
bill_table_find(const struct bill_table *table, const struct bill_id *id)
{
	struct bill_node *node;

	if (table->bucket_count == 0)
		return NULL;
	for (node = *bucket_of(table, id); node != NULL; node = node->chain)
		if (node->bill.id.owner == id->owner &&
		    node->bill.id.sequence == id->sequence)
			return node;
	return NULL;
}

static void
grow(struct bill_table *table)
{
	struct bill_node *node, **bucket;

	alloc_free(table->alloc, table->buckets);
	table->bucket_count = table->bucket_count > 0 ? table->bucket_count * 2
						      : TABLE_FIRST_BUCKETS;
	table->buckets = alloc_zero(
	    table->alloc, table->bucket_count, sizeof(struct bill_node *));
	for (node = table->oldest; node != NULL; node = node->newer) {
		bucket = bucket_of(table, &node->bill.id);
		node->chain = *bucket;
		*bucket = node;
	}
}

static void
link_newest(struct bill_table *table, struct bill_node *node)
{
	node->arrival = ++table->arrivals;
	node->older = table->newest;
	node->newer = NULL;
	if (table->newest != NULL)
		table->newest->newer = node;
	else
		table->oldest = node;
	table->newest = node;
}

static void
unlink_order(struct bill_table *table, struct bill_node *node)
{
	if (node->older != NULL)
		node->older->newer = node->newer;
	else
		table->oldest = node->newer;
	if (node->newer != NULL)
		node->newer->older = node->older;
	else
		table->newest = node->older;
}

/* Adds an empty bill that the table does not hold. */
struct bill_node *
bill_table_add(struct bill_table *table, const struct bill_id *id)
{
	struct bill_node **bucket, *node;

	if (table->count >= table->bucket_count)
		grow(table);
	node = alloc_zero(table->alloc, 1, sizeof(*node));
	node->bill.id = *id;
	bucket = bucket_of(table, id);
	node->chain = *bucket;
	*bucket = node;
	link_newest(table, node);
	table->count++;
	return node;
}

/* Makes a changed bill the newest, with a new arrival number. */
void
bill_table_make_newest(struct bill_table *table, struct bill_node *node)
{
	unlink_order(table, node);
	link_newest(table, node);
}

void
bill_table_remove(struct bill_table *table, struct bill_node *node)
{
	struct bill_node **at;

	for (at = bucket_of(table, &node->bill.id); *at != node;)
		at = &(*at)->chain;
	*at = node->chain;
	unlink_order(table, node);
	alloc_free(table->alloc, node);
	table->count--;
}
