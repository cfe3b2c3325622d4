#ifndef CF_CLAIM_TABLE_H
#define CF_CLAIM_TABLE_H

#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The entries of a claim replica, in a dense array that a cursor can traverse,
 * with an open-addressing hash index.  The next add or expire invalidates
 * pointers to slots.  An expire that drops entries invalidates positions and
 * increments generation.
 */
struct claim_slot {
	struct claim_entry entry;
	int64_t marked_us; /* when this replica last accepted the marker */
};

struct claim_undated_keys {
	uint32_t workspace;
	uint32_t count;
};

struct claim_table {
	const struct alloc *alloc;
	struct claim_slot *slots;
	uint32_t count;
	uint32_t size;
	uint32_t *index; /* position in slots + 1; 0: empty */
	uint32_t index_size; /* a power of two */
	uint32_t generation;
	struct claim_undated_keys *undated;
	uint32_t undated_count;
};

void claim_table_init(struct claim_table *table, const struct alloc *alloc);
void claim_table_free(struct claim_table *table);
struct claim_slot *claim_table_find(
    const struct claim_table *table, const struct claim_key *key);
struct claim_slot *claim_table_add(
    struct claim_table *table, const struct claim_key *key);
uint32_t claim_table_undated_count(
    const struct claim_table *table, uint32_t workspace);
void claim_table_expire(struct claim_table *table, uint32_t floor);
size_t claim_table_bytes(const struct claim_table *table);

#ifdef __cplusplus
}
#endif

#endif
