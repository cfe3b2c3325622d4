#ifndef CF_EVIDENCE_H
#define CF_EVIDENCE_H

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
struct evidence_key {
	uint16_t workspace;
	uint16_t class;
	enum cf_place place;
	uint16_t version;
};

enum evidence_view {
	EVIDENCE_CURRENT,
	EVIDENCE_REFERENCE /* at the last evidence_set_reference() */
};

struct evidence;

struct evidence *evidence_new(
    const struct alloc *alloc, bool no_forgetting, bool no_pooling);
void evidence_free(struct evidence *evidence);
void evidence_grow(
    struct evidence *evidence, uint16_t versions, uint16_t workspaces);
void evidence_add_rating(struct evidence *evidence,
    const struct evidence_key *key, bool passed, int64_t now_us);
void evidence_add_outcome(struct evidence *evidence,
    const struct evidence_key *key, bool good, int64_t now_us);
void evidence_set_reference(struct evidence *evidence, uint16_t version);
float evidence_pass_share(const struct evidence *evidence,
    const struct evidence_key *key, float prior, enum evidence_view view);
float evidence_bad_share(const struct evidence *evidence,
    const struct evidence_key *key, float prior, enum evidence_view view);
float evidence_weight(const struct evidence *evidence,
    const struct evidence_key *key, bool ratings, enum evidence_view view);

#ifdef __cplusplus
}
#endif

#endif
