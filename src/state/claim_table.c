#include "state/claim_table.h"

#include <string.h>

enum {
	TABLE_FIRST_SLOTS = 64
};

/* Prepares an empty table. */
void
claim_table_init(struct claim_table *table, const struct alloc *alloc)
{
	memset(table, 0, sizeof(*table));
	table->alloc = alloc;
}

void
claim_table_free(struct claim_table *table)
{
	alloc_free(table->alloc, table->slots);
	alloc_free(table->alloc, table->index);
	alloc_free(table->alloc, table->undated);
}

static uint32_t
key_hash(const struct claim_key *key)
{
	uint64_t h;

	memcpy(&h, key->hash, sizeof(h));
	h ^= ((uint64_t)key->workspace << 32 | key->born) *
	     0x9e3779b97f4a7c15ULL;
	return (uint32_t)(h ^ h >> 32);
}

/* Returns the slot of a key, or NULL. */
struct claim_slot *
claim_table_find(const struct claim_table *table, const struct claim_key *key)
{
	uint32_t i, mask;

	if (table->index_size == 0)
		return NULL;
	mask = table->index_size - 1;
	for (i = key_hash(key) & mask; table->index[i] != 0; i = (i + 1) & mask)
		if (claim_key_equal(
			&table->slots[table->index[i] - 1].entry.key, key))
			return &table->slots[table->index[i] - 1];
	return NULL;
}

static void
index_put(struct claim_table *table, uint32_t position)
{
	uint32_t i, mask;

	mask = table->index_size - 1;
	i = key_hash(&table->slots[position].entry.key) & mask;
	while (table->index[i] != 0)
		i = (i + 1) & mask;
	table->index[i] = position + 1;
}

/* Rebuilds the index, with a load factor of at most one half. */
static void
index_rebuild(struct claim_table *table)
{
	uint32_t i;

	alloc_free(table->alloc, table->index);
	table->index_size = table->size * 2;
	table->index =
	    alloc_zero(table->alloc, table->index_size, sizeof(*table->index));
	for (i = 0; i < table->count; i++)
		index_put(table, i);
}

static void
undated_add(struct claim_table *table, uint32_t workspace)
{
	uint32_t i;

	for (i = 0; i < table->undated_count; i++) {
		if (table->undated[i].workspace == workspace) {
			table->undated[i].count++;
			return;
		}
	}
	table->undated = alloc_resize(
	    table->alloc, table->undated, (i + 1) * sizeof(*table->undated));
	table->undated[i].workspace = workspace;
	table->undated[i].count = 1;
	table->undated_count++;
}

/* Adds an empty entry for a key that the table does not hold. */
struct claim_slot *
claim_table_add(struct claim_table *table, const struct claim_key *key)
{
	struct claim_slot *slot;

	if (table->count == table->size) {
		table->size =
		    table->size > 0 ? table->size * 2 : TABLE_FIRST_SLOTS;
		table->slots = alloc_resize(table->alloc, table->slots,
		    table->size * sizeof(*table->slots));
		index_rebuild(table);
	}
	slot = &table->slots[table->count];
	memset(slot, 0, sizeof(*slot));
	slot->entry.key = *key;
	index_put(table, table->count++);
	if (key->born == 0)
		undated_add(table, key->workspace);
	return slot;
}

/* Returns the number of keys of a workspace that have no birth time. */
uint32_t
claim_table_undated_count(const struct claim_table *table, uint32_t workspace)
{
	uint32_t i;

	for (i = 0; i < table->undated_count; i++)
		if (table->undated[i].workspace == workspace)
			return table->undated[i].count;
	return 0;
}

/*
 * Drops the entries of dated keys born before floor (in CLAIM_BIRTH_BUCKET_S
 * units).
 */
void
claim_table_expire(struct claim_table *table, uint32_t floor)
{
	uint32_t i, kept;

	kept = 0;
	for (i = 0; i < table->count; i++) {
		if (table->slots[i].entry.key.born != 0 &&
		    table->slots[i].entry.key.born < floor)
			continue;
		if (kept != i)
			table->slots[kept] = table->slots[i];
		kept++;
	}
	if (kept == table->count)
		return;
	table->count = kept;
	table->generation++;
	index_rebuild(table);
}

/* Returns the memory size of the table in bytes. */
size_t
claim_table_bytes(const struct claim_table *table)
{
	return table->size * sizeof(*table->slots) +
	       table->index_size * sizeof(*table->index) +
	       table->undated_count * sizeof(*table->undated);
}
