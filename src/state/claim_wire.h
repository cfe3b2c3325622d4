#ifndef CF_CLAIM_WIRE_H
#define CF_CLAIM_WIRE_H

#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Journal records of a claim replica that hold no entry. */

/* The keys whose earlier votes a replica is known to have. */
enum claim_coverage {
	CLAIM_COVERS_NONE, /* replaced and still learning; does not vote */
	CLAIM_COVERS_DATED, /* any dated key it lost is past the horizon */
	CLAIM_COVERS_ALL
};

struct claim_meta {
	uint32_t floor; /* keys with an earlier birth time are refused */
	uint64_t epoch; /* of the newest replica set seen */
	enum claim_coverage coverage;
};

void claim_meta_encode(const struct claim_meta *meta, struct buf *out);
int claim_record_decode(struct claim_entry *entry, struct claim_meta *meta,
    const uint8_t *data, size_t len);

#ifdef __cplusplus
}
#endif

#endif
