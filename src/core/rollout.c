#include "core/rollout.h"

#include <math.h>
#include <string.h>

/* Drops of the pass share that the test is designed for. */
static const float drops[RO_DROPS] = {0.08f, 0.25f};

#define QUICK_PART 0.6f /* of a drop that quick evidence shows */
#define SLOW_DROP 0.25f /* rise of the share of slow first tokens */
#define SLOW_FACTOR 3.0f /* times the version's usual latency */
#define SLOW_EXPECTED 0.03f
#define SLOW_EXPECTED_MAX 0.6f
#define SLOW_SLACK 1.5f
#define EXPECT_LOW 0.05f
#define EXPECT_HIGH 0.985f
#define HOLD_AT 6.0f
#define RELEASE_AT 2.0f
#define CALM_BELOW 0.5f
#define STOP_AT 21.0f
#define STOP_ROLLING_AT 17.0f /* sees far less evidence in a day */
#define BASELINE_RATE (1 / 512.0f)
#define RECENT_RATE (1 / 32.0f)

enum {
	LATENCY_WARMUP = 64, /* first tokens before slowness is judged */
	LEARNING_RATINGS = 600,
	RECENT_MIN = 16, /* outcomes before a version is a comparison */
	HELD_UNRATED = 3 /* trickle of one instance while on hold */
};

/* An answer that was not rated by then never will be. */
#define UNRATED_EXPIRY_US (180 * INT64_C(1000000))
#define HELD_EXPIRY_US (60 * INT64_C(1000000))

/* First tokens closer to each other wait in the same queue. */
#define LATENCY_PAUSE_US INT64_C(1000000)

enum stream {
	QUICK,
	RATED,
	QUALITY, /* both of them */
	SLOW,
	STREAMS
};

struct version {
	bool present;
	enum cfg_version_state state;
	enum ro_watch watch;
	uint16_t stage_permille;
	uint16_t unrated_max;
	uint64_t exposure;
	float sums[STREAMS][RO_DROPS];
	struct cf_digest own; /* since the last digest was taken */
	float pass; /* usual shares, where the caller gives none */
	float good;
	float latency_us; /* usual time to first token */
	float slow_recent; /* shares of slow first tokens */
	float slow_usual;
	int64_t latency_next_us; /* no first token counts before */
	uint32_t latency_count;
	float bad_recent;
	uint32_t outcome_count;
	uint32_t rated_count; /* up to LEARNING_RATINGS */
	float rating_share; /* part of a rating that has not freed a slot */
	uint16_t unrated_head;
	uint16_t unrated_count;
	int64_t unrated_us[RO_UNRATED_MAX]; /* served times, a ring */
};

struct ro {
	const struct alloc *alloc;
	struct ro_options options;
	uint16_t count;
	struct version *versions;
	int64_t now_us; /* latest time seen */
};

struct ro *
ro_new(const struct alloc *alloc)
{
	struct ro_options options = {0};

	options.alloc = alloc;
	return ro_new_with(&options);
}

/* Creates a watch that holds every version stopped until ro_configure(). */
struct ro *
ro_new_with(const struct ro_options *options)
{
	const struct alloc *alloc;
	struct ro *ro;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	ro = alloc_zero(alloc, 1, sizeof(*ro));
	ro->alloc = alloc;
	ro->options = *options;
	if (ro->options.instances == 0)
		ro->options.instances = RO_INSTANCES_DEFAULT;
	return ro;
}

void
ro_free(struct ro *ro)
{
	if (ro == NULL)
		return;
	alloc_free(ro->alloc, ro->versions);
	alloc_free(ro->alloc, ro);
}

/* Clears what was held against a version, for a new start. */
static void
version_restart(struct version *v)
{
	memset(v->sums, 0, sizeof(v->sums));
	memset(&v->own, 0, sizeof(v->own));
	v->watch = RO_OPEN;
	v->exposure = 0;
	v->unrated_count = 0;
	v->rating_share = 0;
}

/* Slots of one instance, so that all together stay within the cap. */
static uint16_t
cap_share(const struct ro *ro, uint16_t cap)
{
	uint32_t share;

	share = cap / ro->options.instances;
	if (share == 0 && cap > 0)
		share = 1;
	return (uint16_t)(share < RO_UNRATED_MAX ? share : RO_UNRATED_MAX);
}

static void
version_configure(
    struct ro *ro, struct version *v, const struct cfg_version *cfg)
{
	bool returns;

	returns = cfg->present && cfg->state != CFG_WITHDRAWN &&
		  (!v->present || v->state == CFG_WITHDRAWN);
	if (returns)
		version_restart(v);
	if (v->pass == 0) {
		v->pass = fmaxf((float)cfg->prior_permille / 1000, EXPECT_LOW);
		v->good = 1 - (1 - v->pass) * QUICK_PART;
	}
	v->present = cfg->present;
	v->state = cfg->state;
	v->stage_permille = cfg->stage_permille;
	v->unrated_max = cap_share(ro, cfg->unrated_max);
}

/*
 * Takes over a revision.  A stopped version opens again only after a revision
 * in which it was withdrawn.  This is the only function that allocates.
 */
void
ro_configure(struct ro *ro, const struct cfg *cfg)
{
	uint16_t i;

	if (cfg->version_count > ro->count) {
		ro->versions = alloc_resize(ro->alloc, ro->versions,
		    cfg->version_count * sizeof(*ro->versions));
		memset(ro->versions + ro->count, 0,
		    (cfg->version_count - ro->count) * sizeof(*ro->versions));
		ro->count = cfg->version_count;
	}
	for (i = 0; i < cfg->version_count; i++)
		version_configure(ro, &ro->versions[i], &cfg->versions[i]);
}

static int64_t
expiry_us(const struct version *v)
{
	if (v->watch == RO_HELD && v->state == CFG_RELEASED)
		return HELD_EXPIRY_US;
	return UNRATED_EXPIRY_US;
}

/* Counts the answers of this instance that a rating may still come for. */
static uint16_t
unrated_now(const struct ro *ro, const struct version *v)
{
	uint16_t i;

	for (i = 0; i < v->unrated_count; i++)
		if (ro->now_us -
			v->unrated_us[(v->unrated_head + i) % RO_UNRATED_MAX] <
		    expiry_us(v))
			break;
	return v->unrated_count - i;
}

static bool
version_has_room(const struct ro *ro, const struct version *v)
{
	uint16_t cap;

	if (ro->options.unsafe_no_cap)
		return true;
	if (v->state != CFG_ROLLING && v->watch != RO_HELD)
		return true;
	cap = v->state == CFG_ROLLING ? v->unrated_max : RO_UNRATED_MAX;
	if (v->watch == RO_HELD && cap > HELD_UNRATED)
		cap = HELD_UNRATED;
	return unrated_now(ro, v) < cap;
}

/* Released versions that are on hold, if all of them are. */
static uint64_t
all_held(const struct ro *ro)
{
	uint64_t mask = 0;
	uint16_t i;

	for (i = 0; i < ro->count && i < CFG_VERSIONS_MAX; i++) {
		const struct version *v = &ro->versions[i];

		if (!v->present || v->state != CFG_RELEASED)
			continue;
		if (v->watch == RO_OPEN)
			return 0;
		if (v->watch == RO_HELD)
			mask |= UINT64_C(1) << i;
	}
	return mask;
}

/* Versions that may take one more request of draws in [low, high). */
static uint64_t
open_mask(const struct ro *ro, uint32_t low, uint32_t high)
{
	uint64_t mask = all_held(ro);
	uint32_t from = 0;
	bool in_share;
	uint16_t i;

	for (i = 0; i < ro->count && i < CFG_VERSIONS_MAX; i++) {
		const struct version *v = &ro->versions[i];

		if (!v->present || v->state == CFG_WITHDRAWN)
			continue;
		in_share = true;
		if (v->state == CFG_ROLLING) {
			in_share =
			    high > from && low < from + v->stage_permille;
			from += v->stage_permille;
		}
		if (in_share && v->watch != RO_STOPPED &&
		    version_has_room(ro, v))
			mask |= UINT64_C(1) << i;
	}
	return mask;
}

/*
 * Returns the versions that may take one more request.  Each version in
 * roll-out owns its own interval of the draw, as wide as its stage.  A hold
 * leaves at least one released version open.
 */
uint64_t
ro_open(const struct ro *ro, uint16_t draw_permille)
{
	return open_mask(ro, draw_permille, draw_permille + 1U);
}

/* Returns the versions that may take one more request of some draw. */
uint64_t
ro_room(const struct ro *ro)
{
	return open_mask(ro, 0, UINT32_MAX);
}

static void
unrated_pop(struct version *v)
{
	v->unrated_head = (v->unrated_head + 1) % RO_UNRATED_MAX;
	v->unrated_count--;
}

static struct version *
version_at(struct ro *ro, uint16_t version, int64_t now_us)
{
	struct version *v;

	if (now_us > ro->now_us)
		ro->now_us = now_us;
	if (version >= ro->count)
		return NULL;
	v = &ro->versions[version];
	while (v->unrated_count > unrated_now(ro, v))
		unrated_pop(v);
	return v;
}

/* Counts an answer of this instance that is not rated yet. */
void
ro_served(struct ro *ro, uint16_t version, int64_t now_us)
{
	struct version *v = version_at(ro, version, now_us);

	if (v == NULL)
		return;
	v->exposure++;
	if (v->unrated_count == RO_UNRATED_MAX)
		unrated_pop(v);
	v->unrated_us[(v->unrated_head + v->unrated_count) % RO_UNRATED_MAX] =
	    now_us;
	v->unrated_count++;
}

/* Starts the trickle of a suspected version. */
static void
hold(struct version *v)
{
	if (v->watch != RO_HELD && v->state == CFG_RELEASED)
		v->unrated_count = 0;
	v->watch = RO_HELD;
}

static float
largest_sum(const struct version *v)
{
	float top = 0;
	int i, d;

	for (i = 0; i < STREAMS; i++)
		for (d = 0; d < RO_DROPS; d++)
			top = fmaxf(top, v->sums[i][d]);
	return top;
}

/* Compares the sums with the thresholds. */
static void
judge(struct ro *ro, struct version *v)
{
	float top = largest_sum(v);
	float stop_at = v->state == CFG_ROLLING ? STOP_ROLLING_AT : STOP_AT;

	if (ro->options.unsafe_no_test || v->watch == RO_STOPPED)
		return;
	if (ro->options.unsafe_low_stop)
		stop_at = HOLD_AT;
	if (top >= stop_at)
		v->watch = RO_STOPPED;
	else if (top >= HOLD_AT && !ro->options.unsafe_no_hold)
		hold(v);
	else if (top <= RELEASE_AT)
		v->watch = RO_OPEN;
}

/* Log-likelihood ratio of one observation for a drop of its share. */
static float
ratio(bool good, float expected, float drop)
{
	float worse;

	expected = fminf(fmaxf(expected, EXPECT_LOW), EXPECT_HIGH);
	worse = fmaxf(expected - drop, expected / 4);
	return good ? logf(worse / expected)
		    : logf((1 - worse) / (1 - expected));
}

static void
add(struct version *v, enum stream stream, int drop, float llr)
{
	v->sums[stream][drop] = fmaxf(v->sums[stream][drop] + llr, 0);
	if (stream == QUICK || stream == RATED)
		v->sums[QUALITY][drop] = fmaxf(v->sums[QUALITY][drop] + llr, 0);
}

/*
 * Share of bad outcomes that other versions show lately: what hits all of
 * them, as a lost data centre does, is not held against one.
 */
static float
common_bad(const struct ro *ro, const struct version *own)
{
	float sum = 0;
	int n = 0;
	uint16_t i;

	for (i = 0; i < ro->count; i++) {
		const struct version *v = &ro->versions[i];

		if (v == own || v->outcome_count < RECENT_MIN)
			continue;
		sum += v->bad_recent;
		n++;
	}
	return n > 0 ? sum / (float)n : 0;
}

/*
 * Takes in the quick outcome of an own attempt: good unless it failed, was
 * defective or scored low.  expected is the usual share of good ones.
 */
void
ro_outcome_against(
    struct ro *ro, uint16_t version, bool good, double expected, int64_t now_us)
{
	struct version *v = version_at(ro, version, now_us);
	float e, llr;
	int d;

	if (v == NULL)
		return;
	v->bad_recent += ((float)!good - v->bad_recent) * RECENT_RATE;
	if (v->outcome_count < UINT32_MAX)
		v->outcome_count++;
	e = fminf((float)expected, 1 - common_bad(ro, v));
	for (d = 0; d < RO_DROPS; d++) {
		llr = ratio(good, e, drops[d] * QUICK_PART);
		v->own.quick[d] += llr;
		add(v, QUICK, d, llr);
	}
	judge(ro, v);
}

/* The same against the version's own usual share. */
void
ro_outcome(struct ro *ro, uint16_t version, bool good, int64_t now_us)
{
	struct version *v = version_at(ro, version, now_us);

	if (v == NULL)
		return;
	ro_outcome_against(ro, version, good, v->good, now_us);
	v->good += ((float)good - v->good) * BASELINE_RATE;
}

/* Frees slots under the cap: of the ratings of all instances, its share. */
static void
unrated_rated(const struct ro *ro, struct version *v)
{
	v->rating_share += 1 / (float)ro->options.instances;
	if (v->rating_share < 1)
		return;
	v->rating_share -= 1;
	if (v->unrated_count > 0)
		unrated_pop(v);
}

/*
 * Takes in a rating of any instance's answer.  The first ones of a released
 * version only teach what to expect of it.
 */
void
ro_rated_against(struct ro *ro, uint16_t version, bool passed, double expected,
    int64_t now_us)
{
	struct version *v = version_at(ro, version, now_us);
	int d;

	if (v == NULL)
		return;
	unrated_rated(ro, v);
	if (v->state == CFG_RELEASED && v->rated_count < LEARNING_RATINGS) {
		v->rated_count++;
		return;
	}
	for (d = 0; d < RO_DROPS; d++)
		add(v, RATED, d, ratio(passed, (float)expected, drops[d]));
	judge(ro, v);
}

/* The same against the version's own usual share. */
void
ro_rated(struct ro *ro, uint16_t version, bool passed, int64_t now_us)
{
	struct version *v = version_at(ro, version, now_us);

	if (v == NULL)
		return;
	ro_rated_against(ro, version, passed, v->pass, now_us);
	v->pass += ((float)passed - v->pass) * BASELINE_RATE;
}

/*
 * The share of slow first tokens to expect: the version's own in the long run,
 * or more where other versions are slow lately too, as under load.
 */
static float
slow_expected(const struct ro *ro, const struct version *own)
{
	float sum = 0, n = 0, e;
	uint16_t i;

	for (i = 0; i < ro->count; i++) {
		const struct version *v = &ro->versions[i];

		if (v == own || v->latency_count < LATENCY_WARMUP)
			continue;
		sum += v->slow_recent;
		n++;
	}
	e = fmaxf(SLOW_EXPECTED, SLOW_SLACK * own->slow_usual);
	if (n > 0)
		e = fmaxf(e, SLOW_SLACK * sum / n + SLOW_EXPECTED);
	return fminf(e, SLOW_EXPECTED_MAX);
}

/*
 * Takes in the time to first token of an own attempt.  It is slow if it takes
 * SLOW_FACTOR times the version's usual time.  At most one in LATENCY_PAUSE_US
 * counts, since what waits in one queue is slow together.
 */
void
ro_latency(
    struct ro *ro, uint16_t version, uint32_t first_token_us, int64_t now_us)
{
	struct version *v = version_at(ro, version, now_us);
	float us = (float)first_token_us, seen, expected;
	bool slow;

	if (v == NULL)
		return;
	if (v->latency_count < LATENCY_WARMUP) {
		v->latency_count++;
		v->latency_us += (us - v->latency_us) / (float)v->latency_count;
		return;
	}
	seen = us / fmaxf(v->latency_us, 1);
	slow = seen > SLOW_FACTOR;
	expected = slow_expected(ro, v);
	v->slow_recent += ((float)slow - v->slow_recent) * RECENT_RATE;
	v->slow_usual += ((float)slow - v->slow_usual) * BASELINE_RATE;
	if (!slow)
		v->latency_us += (us - v->latency_us) * BASELINE_RATE;
	if (now_us < v->latency_next_us)
		return;
	v->latency_next_us = now_us + LATENCY_PAUSE_US;
	add(v, SLOW, 0, ratio(!slow, 1 - expected, SLOW_DROP));
	judge(ro, v);
}

/*
 * Moves what this instance observed since the last call into at most max
 * digests for the other instances; returns their number.
 */
size_t
ro_digest_take(struct ro *ro, struct cf_digest *out, size_t max)
{
	size_t n = 0;
	uint16_t i;

	for (i = 0; i < ro->count && n < max; i++) {
		struct version *v = &ro->versions[i];

		if (v->own.quick[0] == 0)
			continue;
		out[n] = v->own;
		out[n++].version = i;
		memset(&v->own, 0, sizeof(v->own));
	}
	return n;
}

/* Adds what another instance observed. */
void
ro_digest_merge(struct ro *ro, const struct cf_digest *digest, int64_t now_us)
{
	struct version *v = version_at(ro, digest->version, now_us);
	int d;

	if (v == NULL)
		return;
	for (d = 0; d < RO_DROPS; d++)
		add(v, QUICK, d, digest->quick[d]);
	judge(ro, v);
}

bool
ro_stopped(const struct ro *ro, uint16_t version)
{
	return ro_watch(ro, version) == RO_STOPPED;
}

enum ro_watch
ro_watch(const struct ro *ro, uint16_t version)
{
	if (version >= ro->count)
		return RO_STOPPED;
	return ro->versions[version].watch;
}

/* Returns the answers this instance served since the version's last return. */
uint64_t
ro_exposure(const struct ro *ro, uint16_t version)
{
	return version < ro->count ? ro->versions[version].exposure : 0;
}

uint16_t
ro_unrated(const struct ro *ro, uint16_t version)
{
	return version < ro->count ? unrated_now(ro, &ro->versions[version])
				   : 0;
}

/* Whether nothing speaks against the quality of a version for now. */
bool
ro_calm(const struct ro *ro, uint16_t version)
{
	return version < ro->count &&
	       ro->versions[version].sums[QUALITY][0] <= CALM_BELOW;
}

/* Returns the largest sum of log-likelihood ratios, in nats. */
double
ro_statistic(const struct ro *ro, uint16_t version)
{
	return version < ro->count ? largest_sum(&ro->versions[version]) : 0;
}
