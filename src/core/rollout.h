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
 * Watches every version for a turn to the worse, and caps the answers of a
 * version in roll-out that are not rated yet.
 *
 * Each answer adds its log-likelihood ratio, "worse by one of RO_DROPS drops"
 * against "as expected", to sums that never fall below zero (CUSUM).  Quick
 * outcomes, ratings and slow first tokens have sums of their own, so that a
 * version which is bad in one of them is not excused by the others, and
 * outcomes and ratings have one together.  The largest sum counts.  At the
 * lower threshold the version is on hold: it takes no more than a trickle, at
 * the price of some false holds, until the sum falls again.  At the upper one
 * it is stopped until a configuration withdraws it or its state changes.
 *
 * Ratings reach every instance.  Outcomes are this instance's own and are
 * exchanged as digests; latency stays with the instance that saw it.
 */
enum {
	RO_DROPS = CF_DROPS,
	RO_UNRATED_MAX = 64, /* per version and instance */
	RO_INSTANCES_DEFAULT = 8
};

struct ro_options {
	const struct alloc *alloc; /* NULL: the C library's */
	uint16_t instances; /* that share a version's unrated cap; 0: default */
	bool unsafe_no_cap; /* tests: the unrated cap is not checked */
	bool unsafe_no_test; /* tests: evidence neither holds nor stops */
	bool unsafe_no_hold; /* tests: only the upper threshold acts */
	bool unsafe_low_stop; /* tests: stop at the threshold for holds */
};

enum ro_watch {
	RO_OPEN,
	RO_HELD, /* suspected: a trickle only */
	RO_STOPPED
};

struct ro;

struct ro *ro_new(const struct alloc *alloc);
struct ro *ro_new_with(const struct ro_options *options);
void ro_free(struct ro *ro);
void ro_configure(struct ro *ro, const struct cfg *cfg);

/* Mask of versions that may take one more request of this draw [0, 1000). */
uint64_t ro_open(const struct ro *ro, uint16_t draw_permille);
uint64_t ro_room(const struct ro *ro);
void ro_served(struct ro *ro, uint16_t version, int64_t now_us);
void ro_outcome(struct ro *ro, uint16_t version, bool good, int64_t now_us);
void ro_rated(struct ro *ro, uint16_t version, bool passed, int64_t now_us);
void ro_latency(
    struct ro *ro, uint16_t version, uint32_t first_token_us, int64_t now_us);

/* The same against an expected share, which core/quality.h estimates. */
void ro_outcome_against(struct ro *ro, uint16_t version, bool good,
    double expected, int64_t now_us);
void ro_rated_against(struct ro *ro, uint16_t version, bool passed,
    double expected, int64_t now_us);

/* Own observations for the other instances, and theirs for this one. */
size_t ro_digest_take(struct ro *ro, struct cf_digest *out, size_t max);
void ro_digest_merge(
    struct ro *ro, const struct cf_digest *digest, int64_t now_us);

/* Whether the sequential test has stopped a version; true until configured. */
bool ro_stopped(const struct ro *ro, uint16_t version);
enum ro_watch ro_watch(const struct ro *ro, uint16_t version);
uint64_t ro_exposure(const struct ro *ro, uint16_t version);
uint16_t ro_unrated(const struct ro *ro, uint16_t version);
bool ro_calm(const struct ro *ro, uint16_t version);
double ro_statistic(const struct ro *ro, uint16_t version);

#ifdef __cplusplus
}
#endif

#endif
