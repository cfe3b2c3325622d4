#ifndef CF_SLOT_INDEX_H
#define CF_SLOT_INDEX_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	SLOT_INDEX_NONE = UINT16_MAX
};

/*
 * Finds the slots of a table by a 64-bit key; several slots may have the same
 * key.  Each slot has at most one key.  The index grows with the table.
 */
struct slot_index {
	const struct alloc *alloc;
	struct slot_index_entry *entries; /* by slot */
	uint32_t size; /* entries */
	uint16_t *heads; /* first slot of each bucket */
	uint32_t bucket_count; /* a power of 2, or 0 */
};

void slot_index_init(struct slot_index *index, const struct alloc *alloc);
void slot_index_release(struct slot_index *index);
void slot_index_put(struct slot_index *index, uint64_t key, uint16_t slot);
void slot_index_remove(struct slot_index *index, uint16_t slot);
uint16_t slot_index_first(const struct slot_index *index, uint64_t key);
uint16_t slot_index_next(const struct slot_index *index, uint16_t slot);

#ifdef __cplusplus
}
#endif

#endif
