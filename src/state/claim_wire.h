#ifndef CF_CLAIM_WIRE_H
#define CF_CLAIM_WIRE_H

#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Journal records of a claim replica that are not entries. */

/* Which earlier majorities a replica knows about. */
enum cl_coverage {
	CL_COVERS_NONE, /* replaced, still learning: votes on nothing */
	CL_COVERS_DATED, /* every key that it forgot is past the horizon */
	CL_COVERS_ALL
};

struct cl_meta {
	uint32_t floor; /* births below are refused */
	uint64_t epoch; /* of the newest replica set */
	enum cl_coverage coverage;
};

void cl_meta_encode(const struct cl_meta *meta, struct buf *out);
int cl_record_decode(struct cl_entry *entry, struct cl_meta *meta,
    const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
