#ifndef CF_ROLLOUT_H
#define CF_ROLLOUT_H

#include <stdint.h>

#include "base/alloc.h"
#include "celeryford.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Detects a drop in the quality or speed of any version by a sequential test,
 * and caps the unrated answers of versions in roll-out.
 *
 * Each observation adds its log-likelihood ratio, "worse by one of
 * ROLLOUT_DROPS drops" against "as expected", to sums that never fall below
 * zero (CUSUM).  Quick outcomes, ratings and slow first tokens have sums of
 * their own, so that good observations of one kind do not hide bad ones of
 * another.  Outcomes and ratings also share a sum.  The largest sum decides.
 * At the lower threshold, which accepts some false alarms, the version is put
 * on hold: it takes only a few requests until the sum falls again.  At the
 * upper threshold it is stopped until a configuration revision has withdrawn
 * it.
 *
 * Ratings reach every instance.  Each instance sees the outcomes of its own
 * attempts and exchanges them with the others as digests.  Latency is not
 * exchanged.
 */
enum {
	ROLLOUT_DROPS = CF_DROPS,
	ROLLOUT_UNRATED_MAX = 64, /* per version and instance */
	ROLLOUT_INSTANCES_DEFAULT = 8
};

struct rollout_options {
	const struct alloc *alloc; /* NULL: the C library's */
	uint16_t instances; /* that share a version's unrated cap; 0: default */
	bool unsafe_no_cap; /* tests: the unrated cap is not checked */
	bool unsafe_no_test; /* tests: no version is held or stopped */
	bool unsafe_no_hold; /* tests: no version is held */
	bool unsafe_low_stop; /* tests: stop at the threshold for holds */
};

/* Result of the sequential test for one version. */
enum rollout_verdict {
	ROLLOUT_OPEN,
	ROLLOUT_HELD, /* suspected: takes only a few requests */
	ROLLOUT_STOPPED
};

struct rollout;

struct rollout *rollout_new(const struct alloc *alloc);
struct rollout *rollout_new_with(const struct rollout_options *options);
void rollout_free(struct rollout *rollout);
void rollout_configure(struct rollout *rollout, const struct cfg *cfg);

/* Masks of versions that may take one more request; draws are in [0, 1000). */
uint64_t rollout_open_versions(
    const struct rollout *rollout, uint16_t draw_permille);
uint64_t rollout_versions_with_room(const struct rollout *rollout);
void rollout_add_served(
    struct rollout *rollout, uint16_t version, int64_t now_us);
void rollout_add_outcome_vs_usual(
    struct rollout *rollout, uint16_t version, bool good, int64_t now_us);
void rollout_add_rating_vs_usual(
    struct rollout *rollout, uint16_t version, bool passed, int64_t now_us);
void rollout_add_latency(struct rollout *rollout, uint16_t version,
    uint32_t first_token_us, int64_t now_us);

/* The same observations against an expected share, as core/quality.h gives. */
void rollout_add_outcome(struct rollout *rollout, uint16_t version, bool good,
    double expected, int64_t now_us);
void rollout_add_rating(struct rollout *rollout, uint16_t version, bool passed,
    double expected, int64_t now_us);

/* Outcomes for the other instances, and those that they saw. */
size_t rollout_take_digests(
    struct rollout *rollout, struct cf_digest *out, size_t max);
void rollout_merge_digest(
    struct rollout *rollout, const struct cf_digest *digest, int64_t now_us);

/* Whether the sequential test has stopped a version; true if unknown. */
bool rollout_is_stopped(const struct rollout *rollout, uint16_t version);
enum rollout_verdict rollout_verdict(
    const struct rollout *rollout, uint16_t version);
uint64_t rollout_exposure(const struct rollout *rollout, uint16_t version);
uint16_t rollout_unrated_count(const struct rollout *rollout, uint16_t version);
bool rollout_is_unsuspected(const struct rollout *rollout, uint16_t version);
double rollout_statistic(const struct rollout *rollout, uint16_t version);

#ifdef __cplusplus
}
#endif

#endif
