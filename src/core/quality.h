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
 *
 * Two kinds of evidence come in.  qual_evidence() reports every attempt that
 * ended: good unless it failed, was defective or had a quick score below
 * QUAL_SCORE_LOW_PERMILLE.  qual_rate() reports the rating of an answer that a
 * caller received, late and for a part of the answers only.  Estimates are kept
 * apart by the answer's place in its chain: kept answers are better than those
 * of the same version alone, and escalated ones belong to harder requests.
 *
 * Each workspace has a price of quality, a cost that one more passing answer
 * is worth.  Ratings raise it while the workspace is below target and lower it
 * above; the chain with the best value at that price is chosen.
 */
enum {
	QUAL_CHAIN_MAX = 4,
	QUAL_CLASSES_MAX = 16,
	QUAL_SCORE_LOW_PERMILLE = 500 /* quick scores below this escalate */
};

struct qual_chain {
	uint8_t count;
	uint16_t versions[QUAL_CHAIN_MAX]; /* first try first */
	enum cf_reason reason;
};

/* One request's question. */
struct qual_ask {
	uint16_t workspace;
	uint16_t task_class;
	uint64_t candidates; /* mask of versions that may run */
	uint64_t rolling_open; /* mask of ro_open() */
	bool may_escalate;
};

struct qual_options {
	const struct alloc *alloc; /* NULL: the C library's */
	bool unsafe_fixed_price; /* tests: ratings do not move the price */
	bool unsafe_no_forgetting; /* tests: evidence never expires */
	bool unsafe_no_pooling; /* tests: workspaces learn alone */
	bool unsafe_any_candidate; /* tests: ignore closed roll-outs */
};

struct qual;

struct qual *qual_new(const struct alloc *alloc);
struct qual *qual_new_with(const struct qual_options *options);
void qual_free(struct qual *qual);
void qual_configure(struct qual *qual, const struct cfg *cfg);
void qual_rate(
    struct qual *qual, const struct cf_rating *rating, int64_t now_us);
void qual_evidence(struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us);
void qual_evidence_escalated(struct qual *qual, uint16_t workspace,
    uint16_t version, uint16_t task_class, bool good, int64_t now_us);
void qual_settle(struct qual *qual, uint16_t version);
void qual_choose(struct qual *qual, struct rng *rng, const struct qual_ask *ask,
    struct qual_chain *chain);
double qual_mean(const struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class);

/*
 * Least expected pass and good shares, for the sequential test: as they were
 * when the version last settled.
 */
double qual_expect_passed(
    const struct qual *qual, const struct cf_rating *rating);
double qual_expect_good(const struct qual *qual, uint16_t workspace,
    uint16_t version, uint16_t task_class, bool escalated);

/* Natural logarithm of a workspace's price of quality. */
double qual_price(const struct qual *qual, uint16_t workspace);

#ifdef __cplusplus
}
#endif

#endif
