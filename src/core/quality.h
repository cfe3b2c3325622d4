#ifndef CF_QUALITY_H
#define CF_QUALITY_H

#include <stdint.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "celeryford.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Estimates of "an answer of this version passes" for each workspace and task
 * class, and the chain of versions that keeps a workspace's target at the
 * lowest cost.
 */
enum {
	QUAL_CHAIN_MAX = 4,
	QUAL_CLASSES_MAX = 16
};

struct qual_chain {
	uint8_t count;
	uint16_t versions[QUAL_CHAIN_MAX]; /* first try first */
	enum cf_reason reason;
};

struct qual;

struct qual *qual_new(const struct alloc *alloc);
void qual_free(struct qual *qual);
void qual_configure(struct qual *qual, const struct cfg *cfg);
void qual_rate(
    struct qual *qual, const struct cf_rating *rating, int64_t now_us);
void qual_evidence(struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us);
void qual_choose(struct qual *qual, struct rng *rng, uint16_t workspace,
    uint16_t task_class, uint64_t candidates, uint64_t rolling_open,
    bool may_escalate, int64_t now_us, struct qual_chain *chain);
double qual_mean(const struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class);

#ifdef __cplusplus
}
#endif

#endif
