#ifndef CF_QUALITY_COUNTS_H
#define CF_QUALITY_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "celeryford.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decayed counts of ratings and of quick outcomes, at three levels: for a
 * version; for a version and task class; for a version, task class and
 * workspace.  The mean of one level is the prior of the next, so that a new
 * workspace starts from the evidence of the others.  Each place in a chain
 * (enum cf_place) has counts of its own.
 */
struct quality_counts_key {
	uint16_t workspace;
	uint16_t class;
	enum cf_place place;
	uint16_t version;
};

enum quality_counts_view {
	QUALITY_COUNTS_CURRENT,
	QUALITY_COUNTS_REFERENCE /* as of the last reference set */
};

struct quality_counts;

struct quality_counts *quality_counts_new(
    const struct alloc *alloc, bool no_forgetting, bool no_pooling);
void quality_counts_free(struct quality_counts *counts);
void quality_counts_grow(
    struct quality_counts *counts, uint16_t versions, uint16_t workspaces);
void quality_counts_add_rating(struct quality_counts *counts,
    const struct quality_counts_key *key, bool passed, int64_t now_us);
void quality_counts_add_outcome(struct quality_counts *counts,
    const struct quality_counts_key *key, bool good, int64_t now_us);
void quality_counts_set_reference(
    struct quality_counts *counts, uint16_t version);
float quality_counts_pass_share(const struct quality_counts *counts,
    const struct quality_counts_key *key, float prior,
    enum quality_counts_view view);
float quality_counts_bad_share(const struct quality_counts *counts,
    const struct quality_counts_key *key, float prior,
    enum quality_counts_view view);
float quality_counts_weight(const struct quality_counts *counts,
    const struct quality_counts_key *key, bool ratings,
    enum quality_counts_view view);

#ifdef __cplusplus
}
#endif

#endif
