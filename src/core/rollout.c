#include "core/rollout.h"

#include <math.h>
#include <string.h>

/* Drops of the pass share that the sequential test is designed to detect. */
static const float drops[ROLLOUT_DROPS] = {0.08f, 0.25f};

#define OUTCOME_DROP_FACTOR 0.6f /* part of a drop that quick outcomes show */

/* Rise of the share of slow first tokens that is tested for. */
#define SLOW_SHARE_RISE 0.25f

/* A first token is slow above this multiple of the version's usual latency. */
#define SLOW_FACTOR 3.0f

/* Expected share of slow first tokens. */
#define SLOW_EXPECTED_MIN 0.03f
#define SLOW_EXPECTED_MAX 0.6f
#define SLOW_TOLERANCE 1.5f /* multiple of the usual share */

/* Limits of the expected share of good observations. */
#define EXPECTED_SHARE_MIN 0.05f
#define EXPECTED_SHARE_MAX 0.985f

/* Thresholds of the largest sum, in nats. */
#define HOLD_THRESHOLD 6.0f
#define RELEASE_THRESHOLD 2.0f
#define UNSUSPECTED_MAX 0.5f
#define STOP_THRESHOLD 21.0f

/* Lower: a version in roll-out has far less evidence in a day. */
#define STOP_THRESHOLD_IN_ROLLOUT 17.0f

/* Weight of one observation in a moving average. */
#define LONG_TERM_RATE (1 / 512.0f)
#define RECENT_RATE (1 / 32.0f)

enum {
	/* First tokens of a version before any of them is judged slow. */
	LATENCY_SAMPLES_MIN = 64,

	/* Ratings of a released version before ratings are tested. */
	LEARNING_RATINGS = 600,

	/* Outcomes of a version before others are compared with it. */
	COMPARISON_OUTCOMES_MIN = 16,

	/* Unrated answers of one instance while a version is on hold. */
	HELD_UNRATED_MAX = 3
};

/* An answer that is not rated within this time never will be. */
#define UNRATED_EXPIRY_US (180 * INT64_C(1000000))

/* An unrated answer of a released version on hold frees its slot after this. */
#define HELD_EXPIRY_US (60 * INT64_C(1000000))

/* First tokens closer together than this waited in the same queue. */
#define LATENCY_SAMPLE_INTERVAL_US INT64_C(1000000)

/* Kinds of observations with sums of their own. */
enum stream {
	STREAM_OUTCOMES, /* quick outcomes */
	STREAM_RATINGS,
	STREAM_QUALITY, /* outcomes and ratings together */
	STREAM_LATENCY, /* slow first tokens */
	STREAM_COUNT
};

struct version {
	bool present;
	enum cfg_version_state state;
	enum rollout_verdict verdict;
	uint16_t stage_permille;
	uint16_t unrated_max; /* of this instance */
	uint64_t answers_served; /* since the version was last enabled */
	float sums[STREAM_COUNT][ROLLOUT_DROPS]; /* log-likelihood, in nats */
	struct cf_digest own_digest; /* since the last rollout_take_digests() */
	float usual_pass_share; /* for calls without an expected share */
	float usual_good_share;
	float usual_latency_us; /* time to first token */
	float recent_slow_share; /* of first tokens */
	float usual_slow_share;
	int64_t next_latency_us; /* first tokens before this are not tested */
	uint32_t latency_count; /* up to LATENCY_SAMPLES_MIN */
	float recent_bad_share; /* of outcomes */
	uint32_t outcome_count;
	uint32_t rated_count; /* up to LEARNING_RATINGS */
	float unapplied_ratings; /* below 1: ratings that freed no slot yet */
	uint16_t unrated_head;
	uint16_t unrated_count;
	int64_t served_us[ROLLOUT_UNRATED_MAX]; /* of unrated answers; a ring */
};

struct rollout {
	const struct alloc *alloc;
	struct rollout_options options;
	uint16_t count;
	struct version *versions;
	int64_t now_us; /* latest time of any call */
};

struct rollout *
rollout_new(const struct alloc *alloc)
{
	struct rollout_options options = {0};

	options.alloc = alloc;
	return rollout_new_with(&options);
}

/*
 * Creates a monitor for which every version is stopped until
 * rollout_configure().
 */
struct rollout *
rollout_new_with(const struct rollout_options *options)
{
	const struct alloc *alloc;
	struct rollout *rollout;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	rollout = alloc_zero(alloc, 1, sizeof(*rollout));
	rollout->alloc = alloc;
	rollout->options = *options;
	if (rollout->options.instances == 0)
		rollout->options.instances = ROLLOUT_INSTANCES_DEFAULT;
	return rollout;
}

void
rollout_free(struct rollout *rollout)
{
	if (rollout == NULL)
		return;
	alloc_free(rollout->alloc, rollout->versions);
	alloc_free(rollout->alloc, rollout);
}

/* Resets the sums and counts of a version that is enabled. */
static void
reset_version(struct version *v)
{
	memset(v->sums, 0, sizeof(v->sums));
	memset(&v->own_digest, 0, sizeof(v->own_digest));
	v->verdict = ROLLOUT_OPEN;
	v->answers_served = 0;
	v->unrated_count = 0;
	v->unapplied_ratings = 0;
}

/*
 * Returns this instance's part of a cap on unrated answers, so that all
 * instances together stay within the cap; at least 1 if the cap is not 0.
 */
static uint16_t
instance_cap(const struct rollout *rollout, uint16_t cap)
{
	uint32_t share;

	share = cap / rollout->options.instances;
	if (share == 0 && cap > 0)
		share = 1;
	return (uint16_t)(share < ROLLOUT_UNRATED_MAX ? share
						      : ROLLOUT_UNRATED_MAX);
}

static void
version_configure(
    struct rollout *rollout, struct version *v, const struct cfg_version *cfg)
{
	bool enters_service;

	enters_service = cfg->present && cfg->state != CFG_WITHDRAWN &&
			 (!v->present || v->state == CFG_WITHDRAWN);
	if (enters_service)
		reset_version(v);
	if (v->usual_pass_share == 0) {
		v->usual_pass_share = fmaxf(
		    (float)cfg->prior_permille / 1000, EXPECTED_SHARE_MIN);
		v->usual_good_share =
		    1 - (1 - v->usual_pass_share) * OUTCOME_DROP_FACTOR;
	}
	v->present = cfg->present;
	v->state = cfg->state;
	v->stage_permille = cfg->stage_permille;
	v->unrated_max = instance_cap(rollout, cfg->unrated_max);
}

/*
 * Applies a configuration revision.  A stopped version opens again only after a
 * revision in which it was withdrawn.  No other function allocates after
 * rollout_new().
 */
void
rollout_configure(struct rollout *rollout, const struct cfg *cfg)
{
	uint16_t i;

	if (cfg->version_count > rollout->count) {
		rollout->versions =
		    alloc_resize(rollout->alloc, rollout->versions,
			cfg->version_count * sizeof(*rollout->versions));
		memset(rollout->versions + rollout->count, 0,
		    (cfg->version_count - rollout->count) *
			sizeof(*rollout->versions));
		rollout->count = cfg->version_count;
	}
	for (i = 0; i < cfg->version_count; i++)
		version_configure(
		    rollout, &rollout->versions[i], &cfg->versions[i]);
}

/* Returns how long an answer counts as unrated. */
static int64_t
unrated_expiry_us(const struct version *v)
{
	if (v->verdict == ROLLOUT_HELD && v->state == CFG_RELEASED)
		return HELD_EXPIRY_US;
	return UNRATED_EXPIRY_US;
}

/* Counts the answers of this instance that may still be rated. */
static uint16_t
count_unrated(const struct rollout *rollout, const struct version *v)
{
	uint16_t i;

	for (i = 0; i < v->unrated_count; i++)
		if (rollout->now_us - v->served_us[(v->unrated_head + i) %
						   ROLLOUT_UNRATED_MAX] <
		    unrated_expiry_us(v))
			break;
	return v->unrated_count - i;
}

/* Returns whether the unrated cap admits one more answer of a version. */
static bool
version_has_room(const struct rollout *rollout, const struct version *v)
{
	uint16_t cap;

	if (rollout->options.unsafe_no_cap)
		return true;
	if (v->state != CFG_ROLLING && v->verdict != ROLLOUT_HELD)
		return true;
	cap = v->state == CFG_ROLLING ? v->unrated_max : ROLLOUT_UNRATED_MAX;
	if (v->verdict == ROLLOUT_HELD && cap > HELD_UNRATED_MAX)
		cap = HELD_UNRATED_MAX;
	return count_unrated(rollout, v) < cap;
}

/*
 * Returns the mask of released versions on hold if no released version is open,
 * else 0.  These versions take requests regardless of the cap on hold.
 */
static uint64_t
held_released_mask(const struct rollout *rollout)
{
	uint64_t mask = 0;
	uint16_t i;

	for (i = 0; i < rollout->count && i < CFG_VERSIONS_MAX; i++) {
		const struct version *v = &rollout->versions[i];

		if (!v->present || v->state != CFG_RELEASED)
			continue;
		if (v->verdict == ROLLOUT_OPEN)
			return 0;
		if (v->verdict == ROLLOUT_HELD)
			mask |= UINT64_C(1) << i;
	}
	return mask;
}

/*
 * Returns the mask of versions that may take one more request for some draw in
 * [low, high).  The intervals of the versions in roll-out lie side by side, in
 * the order of their indices.
 */
static uint64_t
open_mask(const struct rollout *rollout, uint32_t low, uint32_t high)
{
	uint64_t mask = held_released_mask(rollout);
	uint32_t from = 0;
	bool in_share;
	uint16_t i;

	for (i = 0; i < rollout->count && i < CFG_VERSIONS_MAX; i++) {
		const struct version *v = &rollout->versions[i];

		if (!v->present || v->state == CFG_WITHDRAWN)
			continue;
		in_share = true;
		if (v->state == CFG_ROLLING) {
			in_share =
			    high > from && low < from + v->stage_permille;
			from += v->stage_permille;
		}
		if (in_share && v->verdict != ROLLOUT_STOPPED &&
		    version_has_room(rollout, v))
			mask |= UINT64_C(1) << i;
	}
	return mask;
}

/*
 * Returns the mask of versions that may take one more request with this draw,
 * in [0, 1000).  Each version in roll-out takes an interval of the draws as
 * wide as its stage.  A hold never closes all released versions.
 */
uint64_t
rollout_open_versions(const struct rollout *rollout, uint16_t draw_permille)
{
	return open_mask(rollout, draw_permille, draw_permille + 1U);
}

/* Returns the mask of versions that may take one more request for some draw. */
uint64_t
rollout_versions_with_room(const struct rollout *rollout)
{
	return open_mask(rollout, 0, UINT32_MAX);
}

static void
remove_oldest_unrated(struct version *v)
{
	v->unrated_head = (v->unrated_head + 1) % ROLLOUT_UNRATED_MAX;
	v->unrated_count--;
}

/*
 * Advances the time and returns a version, without its expired unrated answers;
 * NULL for an unknown index.
 */
static struct version *
version_at(struct rollout *rollout, uint16_t version, int64_t now_us)
{
	struct version *v;

	if (now_us > rollout->now_us)
		rollout->now_us = now_us;
	if (version >= rollout->count)
		return NULL;
	v = &rollout->versions[version];
	while (v->unrated_count > count_unrated(rollout, v))
		remove_oldest_unrated(v);
	return v;
}

/*
 * Counts an answer that this instance served as unrated.  Beyond
 * ROLLOUT_UNRATED_MAX the oldest one no longer counts.
 */
void
rollout_add_served(struct rollout *rollout, uint16_t version, int64_t now_us)
{
	struct version *v = version_at(rollout, version, now_us);

	if (v == NULL)
		return;
	v->answers_served++;
	if (v->unrated_count == ROLLOUT_UNRATED_MAX)
		remove_oldest_unrated(v);
	v->served_us[(v->unrated_head + v->unrated_count) %
		     ROLLOUT_UNRATED_MAX] = now_us;
	v->unrated_count++;
}

/*
 * Puts a version on hold.  For a released version the count of unrated answers
 * starts at 0, since the cap on hold applies only from now on.
 */
static void
hold_version(struct version *v)
{
	if (v->verdict != ROLLOUT_HELD && v->state == CFG_RELEASED)
		v->unrated_count = 0;
	v->verdict = ROLLOUT_HELD;
}

static float
largest_sum(const struct version *v)
{
	float largest = 0;
	int i, d;

	for (i = 0; i < STREAM_COUNT; i++)
		for (d = 0; d < ROLLOUT_DROPS; d++)
			largest = fmaxf(largest, v->sums[i][d]);
	return largest;
}

/* Compares the largest sum with the thresholds and sets the verdict. */
static void
apply_thresholds(struct rollout *rollout, struct version *v)
{
	float largest = largest_sum(v);
	float stop_at = v->state == CFG_ROLLING ? STOP_THRESHOLD_IN_ROLLOUT
						: STOP_THRESHOLD;

	if (rollout->options.unsafe_no_test || v->verdict == ROLLOUT_STOPPED)
		return;
	if (rollout->options.unsafe_low_stop)
		stop_at = HOLD_THRESHOLD;
	if (largest >= stop_at)
		v->verdict = ROLLOUT_STOPPED;
	else if (largest >= HOLD_THRESHOLD && !rollout->options.unsafe_no_hold)
		hold_version(v);
	else if (largest <= RELEASE_THRESHOLD)
		v->verdict = ROLLOUT_OPEN;
}

/*
 * Returns the log-likelihood ratio of one observation, in nats: "the share of
 * good ones has dropped by drop" against "it is as expected".
 */
static float
log_likelihood_ratio(bool good, float expected, float drop)
{
	float worse;

	expected =
	    fminf(fmaxf(expected, EXPECTED_SHARE_MIN), EXPECTED_SHARE_MAX);
	worse = fmaxf(expected - drop, expected / 4);
	return good ? logf(worse / expected)
		    : logf((1 - worse) / (1 - expected));
}

/* Adds a log-likelihood ratio to a stream's sum, which stays at 0 or above. */
static void
add_to_sums(struct version *v, enum stream stream, int drop, float llr)
{
	v->sums[stream][drop] = fmaxf(v->sums[stream][drop] + llr, 0);
	if (stream == STREAM_OUTCOMES || stream == STREAM_RATINGS)
		v->sums[STREAM_QUALITY][drop] =
		    fmaxf(v->sums[STREAM_QUALITY][drop] + llr, 0);
}

/*
 * Returns the recent share of bad outcomes of the other versions.  A fault that
 * affects all versions, such as the loss of a data centre, thus does not count
 * against one of them.
 */
static float
bad_share_of_others(const struct rollout *rollout, const struct version *own)
{
	float sum = 0;
	int n = 0;
	uint16_t i;

	for (i = 0; i < rollout->count; i++) {
		const struct version *v = &rollout->versions[i];

		if (v == own || v->outcome_count < COMPARISON_OUTCOMES_MIN)
			continue;
		sum += v->recent_bad_share;
		n++;
	}
	return n > 0 ? sum / (float)n : 0;
}

/*
 * Adds the quick outcome of an attempt of this instance: good unless it failed,
 * was defective or scored low.  expected is the usual share of good ones.
 */
void
rollout_add_outcome(struct rollout *rollout, uint16_t version, bool good,
    double expected, int64_t now_us)
{
	struct version *v = version_at(rollout, version, now_us);
	float e, llr;
	int d;

	if (v == NULL)
		return;
	v->recent_bad_share +=
	    ((float)!good - v->recent_bad_share) * RECENT_RATE;
	if (v->outcome_count < UINT32_MAX)
		v->outcome_count++;
	e = fminf((float)expected, 1 - bad_share_of_others(rollout, v));
	for (d = 0; d < ROLLOUT_DROPS; d++) {
		llr = log_likelihood_ratio(
		    good, e, drops[d] * OUTCOME_DROP_FACTOR);
		v->own_digest.quick[d] += llr;
		add_to_sums(v, STREAM_OUTCOMES, d, llr);
	}
	apply_thresholds(rollout, v);
}

/* Adds a quick outcome that is tested against the version's usual share. */
void
rollout_add_outcome_vs_usual(
    struct rollout *rollout, uint16_t version, bool good, int64_t now_us)
{
	struct version *v = version_at(rollout, version, now_us);

	if (v == NULL)
		return;
	rollout_add_outcome(
	    rollout, version, good, v->usual_good_share, now_us);
	v->usual_good_share +=
	    ((float)good - v->usual_good_share) * LONG_TERM_RATE;
}

/*
 * Frees a slot under the unrated cap for every n-th rating, n being the number
 * of instances: ratings of all instances' answers arrive here.
 */
static void
free_rated_slot(const struct rollout *rollout, struct version *v)
{
	v->unapplied_ratings += 1 / (float)rollout->options.instances;
	if (v->unapplied_ratings < 1)
		return;
	v->unapplied_ratings -= 1;
	if (v->unrated_count > 0)
		remove_oldest_unrated(v);
}

/*
 * Adds a rating of any instance's answer.  The first LEARNING_RATINGS ones of a
 * released version are not tested, as the expected share is not known well yet.
 */
void
rollout_add_rating(struct rollout *rollout, uint16_t version, bool passed,
    double expected, int64_t now_us)
{
	struct version *v = version_at(rollout, version, now_us);
	int d;

	if (v == NULL)
		return;
	free_rated_slot(rollout, v);
	if (v->state == CFG_RELEASED && v->rated_count < LEARNING_RATINGS) {
		v->rated_count++;
		return;
	}
	for (d = 0; d < ROLLOUT_DROPS; d++)
		add_to_sums(v, STREAM_RATINGS, d,
		    log_likelihood_ratio(passed, (float)expected, drops[d]));
	apply_thresholds(rollout, v);
}

/* Adds a rating that is tested against the version's usual share. */
void
rollout_add_rating_vs_usual(
    struct rollout *rollout, uint16_t version, bool passed, int64_t now_us)
{
	struct version *v = version_at(rollout, version, now_us);

	if (v == NULL)
		return;
	rollout_add_rating(
	    rollout, version, passed, v->usual_pass_share, now_us);
	v->usual_pass_share +=
	    ((float)passed - v->usual_pass_share) * LONG_TERM_RATE;
}

/*
 * Returns the share of slow first tokens to expect: the version's long-term
 * share, or more if other versions have been slow recently too, as under load.
 */
static float
expected_slow_share(const struct rollout *rollout, const struct version *own)
{
	float sum = 0, n = 0, e;
	uint16_t i;

	for (i = 0; i < rollout->count; i++) {
		const struct version *v = &rollout->versions[i];

		if (v == own || v->latency_count < LATENCY_SAMPLES_MIN)
			continue;
		sum += v->recent_slow_share;
		n++;
	}
	e = fmaxf(SLOW_EXPECTED_MIN, SLOW_TOLERANCE * own->usual_slow_share);
	if (n > 0)
		e = fmaxf(e, SLOW_TOLERANCE * sum / n + SLOW_EXPECTED_MIN);
	return fminf(e, SLOW_EXPECTED_MAX);
}

/*
 * Adds the time to first token of an attempt of this instance.  It is slow
 * above SLOW_FACTOR times the version's usual time.  At most one in
 * LATENCY_SAMPLE_INTERVAL_US is tested, since requests that wait in the same
 * queue are slow together.
 */
void
rollout_add_latency(struct rollout *rollout, uint16_t version,
    uint32_t first_token_us, int64_t now_us)
{
	struct version *v = version_at(rollout, version, now_us);
	float us = (float)first_token_us, relative_latency, expected;
	bool slow;

	if (v == NULL)
		return;
	if (v->latency_count < LATENCY_SAMPLES_MIN) {
		v->latency_count++;
		v->usual_latency_us +=
		    (us - v->usual_latency_us) / (float)v->latency_count;
		return;
	}
	relative_latency = us / fmaxf(v->usual_latency_us, 1);
	slow = relative_latency > SLOW_FACTOR;
	expected = expected_slow_share(rollout, v);
	v->recent_slow_share +=
	    ((float)slow - v->recent_slow_share) * RECENT_RATE;
	v->usual_slow_share +=
	    ((float)slow - v->usual_slow_share) * LONG_TERM_RATE;
	if (!slow)
		v->usual_latency_us +=
		    (us - v->usual_latency_us) * LONG_TERM_RATE;
	if (now_us < v->next_latency_us)
		return;
	v->next_latency_us = now_us + LATENCY_SAMPLE_INTERVAL_US;
	add_to_sums(v, STREAM_LATENCY, 0,
	    log_likelihood_ratio(!slow, 1 - expected, SLOW_SHARE_RISE));
	apply_thresholds(rollout, v);
}

/*
 * Moves the outcomes that this instance saw since the last call into at most
 * max digests for the other instances; returns their number.
 */
size_t
rollout_take_digests(struct rollout *rollout, struct cf_digest *out, size_t max)
{
	size_t n = 0;
	uint16_t i;

	for (i = 0; i < rollout->count && n < max; i++) {
		struct version *v = &rollout->versions[i];

		if (v->own_digest.quick[0] == 0)
			continue;
		out[n] = v->own_digest;
		out[n++].version = i;
		memset(&v->own_digest, 0, sizeof(v->own_digest));
	}
	return n;
}

/* Adds the outcomes in another instance's digest. */
void
rollout_merge_digest(
    struct rollout *rollout, const struct cf_digest *digest, int64_t now_us)
{
	struct version *v = version_at(rollout, digest->version, now_us);
	int d;

	if (v == NULL)
		return;
	for (d = 0; d < ROLLOUT_DROPS; d++)
		add_to_sums(v, STREAM_OUTCOMES, d, digest->quick[d]);
	apply_thresholds(rollout, v);
}

bool
rollout_is_stopped(const struct rollout *rollout, uint16_t version)
{
	return rollout_verdict(rollout, version) == ROLLOUT_STOPPED;
}

enum rollout_verdict
rollout_verdict(const struct rollout *rollout, uint16_t version)
{
	if (version >= rollout->count)
		return ROLLOUT_STOPPED;
	return rollout->versions[version].verdict;
}

/*
 * Returns the number of answers that this instance served since the version was
 * last enabled.
 */
uint64_t
rollout_exposure(const struct rollout *rollout, uint16_t version)
{
	return version < rollout->count
		   ? rollout->versions[version].answers_served
		   : 0;
}

/* Returns how many answers of this instance may still be rated. */
uint16_t
rollout_unrated_count(const struct rollout *rollout, uint16_t version)
{
	return version < rollout->count
		   ? count_unrated(rollout, &rollout->versions[version])
		   : 0;
}

/* Returns whether the sums show no sign of a drop in a version's quality. */
bool
rollout_is_unsuspected(const struct rollout *rollout, uint16_t version)
{
	return version < rollout->count &&
	       rollout->versions[version].sums[STREAM_QUALITY][0] <=
		   UNSUSPECTED_MAX;
}

/* Returns the largest sum of log-likelihood ratios, in nats. */
double
rollout_statistic(const struct rollout *rollout, uint16_t version)
{
	return version < rollout->count
		   ? largest_sum(&rollout->versions[version])
		   : 0;
}
