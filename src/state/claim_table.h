#ifndef CF_CLAIM_TABLE_H
#define CF_CLAIM_TABLE_H

#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The entries of a claim replica: a dense array, so that a cursor can walk it,
 * and an open-addressing index over it.  Pointers to slots end with the next
 * add or expire; positions end with the next expire, which changes generation.
 */
struct cl_slot {
	struct cl_entry entry;
	int64_t marked_us; /* when the marker was last accepted here */
};

struct cl_undated {
	uint32_t workspace;
	uint32_t count;
};

struct cl_table {
	const struct alloc *alloc;
	struct cl_slot *slots;
	uint32_t count;
	uint32_t size;
	uint32_t *index; /* position + 1; 0: empty */
	uint32_t index_size; /* a power of two */
	uint32_t generation;
	struct cl_undated *undated;
	uint32_t undated_count;
};

void cl_table_init(struct cl_table *table, const struct alloc *alloc);
void cl_table_free(struct cl_table *table);
struct cl_slot *cl_table_find(
    const struct cl_table *table, const struct cl_key *key);
struct cl_slot *cl_table_add(struct cl_table *table, const struct cl_key *key);
uint32_t cl_table_undated(const struct cl_table *table, uint32_t workspace);
void cl_table_expire(struct cl_table *table, uint32_t floor);
size_t cl_table_bytes(const struct cl_table *table);

#ifdef __cplusplus
}
#endif

#endif
