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
 * Estimates the probability that an answer of a version passes its rating, for
 * each workspace and task class, and chooses for each request the chain of
 * versions that meets the workspace's target at the lowest cost.
 *
 * The estimates rest on two kinds of evidence.  qual_add_outcome() adds the
 * quick outcome of every attempt that ended: good unless it failed, was
 * defective or had a quick score below QUAL_SCORE_LOW_PERMILLE.
 * qual_add_rating() adds the rating of an answer that a caller received;
 * ratings arrive late and for only a part of the answers.  Each place in a
 * chain (enum cf_place) has estimates of its own, because kept answers pass
 * more often than those of the same version alone, and escalated answers belong
 * to harder requests.
 *
 * Each workspace has a price of quality: the cost that one more passing answer
 * is worth.  Ratings raise the price while the workspace is below its target
 * and lower it while it is above.  The chain with the highest value at that
 * price is chosen.
 */
enum {
	QUAL_CHAIN_MAX = 4,
	QUAL_CLASSES_MAX = 16,
	QUAL_SCORE_LOW_PERMILLE = 500 /* quick scores below this escalate */
};

struct qual_chain {
	uint8_t count;
	uint16_t versions[QUAL_CHAIN_MAX]; /* in the order they are tried */
	enum cf_reason reason;
};

/* What qual_choose_chain() needs to know of one request. */
struct qual_query {
	uint16_t workspace;
	uint16_t task_class;
	uint64_t candidates; /* mask of versions that may run */
	/* Versions that the draw admits, from rollout_open_versions() */
	uint64_t rolling_open;
	bool may_escalate; /* a second version may replace a flagged answer */
};

struct qual_options {
	const struct alloc *alloc; /* NULL: the C library's */
	bool unsafe_fixed_price; /* tests: ratings do not move the price */
	bool unsafe_no_forgetting; /* tests: evidence never decays */
	bool unsafe_no_pooling; /* tests: no evidence of other workspaces */
	bool unsafe_any_candidate; /* tests: ignore rolling_open */
};

struct qual;

struct qual *qual_new(const struct alloc *alloc);
struct qual *qual_new_with(const struct qual_options *options);
void qual_free(struct qual *qual);
void qual_configure(struct qual *qual, const struct cfg *cfg);
void qual_add_rating(
    struct qual *qual, const struct cf_rating *rating, int64_t now_us);
void qual_add_outcome(struct qual *qual, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us);
void qual_add_escalated_outcome(struct qual *qual, uint16_t workspace,
    uint16_t version, uint16_t task_class, bool good, int64_t now_us);
void qual_set_reference(struct qual *qual, uint16_t version);
void qual_choose_chain(struct qual *qual, struct rng *rng,
    const struct qual_query *query, struct qual_chain *chain);
double qual_pass_share(const struct qual *qual, uint16_t workspace,
    uint16_t version, uint16_t task_class);

/*
 * Lower bounds of the expected shares of passed ratings and of good quick
 * outcomes, in [0, 1], at the version's last qual_set_reference().  They are
 * the expectation of the sequential test in core/rollout.h.
 */
double qual_expected_pass_share(
    const struct qual *qual, const struct cf_rating *rating);
double qual_expected_good_share(const struct qual *qual, uint16_t workspace,
    uint16_t version, uint16_t task_class, bool escalated);

/* Natural logarithm of a workspace's price of quality. */
double qual_price_log(const struct qual *qual, uint16_t workspace);

#ifdef __cplusplus
}
#endif

#endif
