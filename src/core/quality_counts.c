#include "core/quality_counts.h"

#include <math.h>
#include <string.h>

#include "core/quality.h"

enum {
	PLACES = 3, /* of enum cf_place */
	LEVELS = 3
};

#define HALF_LIFE_US (12 * 3600 * INT64_C(1000000)) /* of a count */
#define WINDOW_UNLIMITED 1e9f

/* Observations that the prior counts for, at each level. */
static const float prior_observations[LEVELS] = {10, 20, 40};

/* Most observations that a pair of counts adds up to, at each level. */
static const float window_size[LEVELS] = {4000, 2000, 600};

struct counts {
	float pass; /* ratings */
	float fail;
	float good; /* quick outcomes */
	float bad;
};

struct cell {
	struct counts current;
	struct counts reference; /* valid in the version's reference epoch */
	uint32_t reference_epoch;
	int64_t last_rating_us;
	int64_t last_outcome_us;
};

struct quality_counts {
	const struct alloc *alloc;
	bool no_forgetting;
	bool no_pooling;
	uint16_t version_count;
	uint16_t workspace_count;
	uint32_t *reference_epochs; /* references set, for each version */
	struct cell *levels[LEVELS];
};

/*
 * Creates an empty store without any version or workspace.  The flags are for
 * tests: counts never decay, or each workspace has only its own evidence.
 */
struct quality_counts *
quality_counts_new(
    const struct alloc *alloc, bool no_forgetting, bool no_pooling)
{
	struct quality_counts *s = alloc_zero(alloc, 1, sizeof(*s));

	s->alloc = alloc;
	s->no_forgetting = no_forgetting;
	s->no_pooling = no_pooling;
	return s;
}

void
quality_counts_free(struct quality_counts *s)
{
	int i;

	if (s == NULL)
		return;
	for (i = 0; i < LEVELS; i++)
		alloc_free(s->alloc, s->levels[i]);
	alloc_free(s->alloc, s->reference_epochs);
	alloc_free(s->alloc, s);
}

/* Returns the number of rows at a level; a row has a cell for each version. */
static size_t
level_rows(int level, uint16_t workspaces)
{
	static const size_t rows[LEVELS] = {
	    PLACES, PLACES * QUAL_CLASSES_MAX, PLACES * QUAL_CLASSES_MAX};

	return level == LEVELS - 1 ? rows[level] * workspaces : rows[level];
}

/* Makes room for more versions or workspaces; existing counts stay. */
void
quality_counts_grow(
    struct quality_counts *s, uint16_t versions, uint16_t workspaces)
{
	struct cell *grown;
	size_t row, rows;
	int i;

	for (i = 0; i < LEVELS; i++) {
		rows = level_rows(i, workspaces);
		grown =
		    alloc_zero(s->alloc, rows * versions + 1, sizeof(*grown));
		rows = s->levels[i] != NULL ? level_rows(i, s->workspace_count)
					    : 0;
		for (row = 0; row < rows; row++)
			memcpy(grown + row * versions,
			    s->levels[i] + row * s->version_count,
			    s->version_count * sizeof(*grown));
		alloc_free(s->alloc, s->levels[i]);
		s->levels[i] = grown;
	}
	s->reference_epochs = alloc_resize(s->alloc, s->reference_epochs,
	    (versions + 1U) * sizeof(*s->reference_epochs));
	memset(s->reference_epochs + s->version_count, 0,
	    (versions + 1U - s->version_count) * sizeof(*s->reference_epochs));
	s->version_count = versions;
	s->workspace_count = workspaces;
}

static struct cell *
cell_at(const struct quality_counts *s, int level,
    const struct quality_counts_key *key)
{
	size_t row = (size_t)key->place;

	if (level > 0)
		row += PLACES * (size_t)(key->class % QUAL_CLASSES_MAX);
	if (level > 1)
		row += PLACES * QUAL_CLASSES_MAX * (size_t)key->workspace;
	return &s->levels[level][row * s->version_count + key->version];
}

/*
 * Returns a cell that an observation is to be added to.  If a reference has
 * been set for the version since the cell's last observation, the counts are
 * copied to the reference first.
 */
static struct cell *
cell_for_update(
    struct quality_counts *s, int level, const struct quality_counts_key *key)
{
	struct cell *c = cell_at(s, level, key);

	if (c->reference_epoch != s->reference_epochs[key->version]) {
		c->reference = c->current;
		c->reference_epoch = s->reference_epochs[key->version];
	}
	return c;
}

/* Decays a pair of counts by the time since the last observation. */
static void
decay(float *a, float *b, int64_t *last_us, int64_t now_us)
{
	float retained;

	if (now_us <= *last_us)
		return;
	retained = exp2f(-(float)(now_us - *last_us) / (float)HALF_LIFE_US);
	*a *= retained;
	*b *= retained;
	*last_us = now_us;
}

/*
 * Adds one observation to a pair of counts.  Older observations lose weight, so
 * that the pair adds up to no more than size.
 */
static void
add_observation(float *hit, float *miss, float size)
{
	float retained = 1 - 1 / size;

	*hit = *hit * retained + 1;
	*miss *= retained;
}

static float
window_for_level(const struct quality_counts *s, int level)
{
	return s->no_forgetting ? WINDOW_UNLIMITED : window_size[level];
}

/* Adds the rating of one answer. */
void
quality_counts_add_rating(struct quality_counts *s,
    const struct quality_counts_key *key, bool passed, int64_t now_us)
{
	struct cell *c;
	int i;

	for (i = 0; i < LEVELS; i++) {
		c = cell_for_update(s, i, key);
		if (!s->no_forgetting)
			decay(&c->current.pass, &c->current.fail,
			    &c->last_rating_us, now_us);
		add_observation(passed ? &c->current.pass : &c->current.fail,
		    passed ? &c->current.fail : &c->current.pass,
		    window_for_level(s, i));
	}
}

/* Adds the quick outcome of one attempt. */
void
quality_counts_add_outcome(struct quality_counts *s,
    const struct quality_counts_key *key, bool good, int64_t now_us)
{
	struct cell *c;
	int i;

	for (i = 0; i < LEVELS; i++) {
		c = cell_for_update(s, i, key);
		if (!s->no_forgetting)
			decay(&c->current.good, &c->current.bad,
			    &c->last_outcome_us, now_us);
		add_observation(good ? &c->current.good : &c->current.bad,
		    good ? &c->current.bad : &c->current.good,
		    window_for_level(s, i));
	}
}

/*
 * Makes the current counts of a version its reference.  The cost does not
 * depend on the number of cells: each cell copies its counts at its next
 * observation, and until then its current counts are the reference.
 */
void
quality_counts_set_reference(struct quality_counts *s, uint16_t version)
{
	s->reference_epochs[version]++;
}

static const struct counts *
counts_at(const struct quality_counts *s, int level,
    const struct quality_counts_key *key, enum quality_counts_view view)
{
	const struct cell *c = cell_at(s, level, key);

	if (view == QUALITY_COUNTS_CURRENT ||
	    c->reference_epoch != s->reference_epochs[key->version])
		return &c->current;
	return &c->reference;
}

/* Returns the posterior mean of the pass share. */
float
quality_counts_pass_share(const struct quality_counts *s,
    const struct quality_counts_key *key, float prior,
    enum quality_counts_view view)
{
	const struct counts *c;
	float k;
	int i;

	for (i = s->no_pooling ? LEVELS - 1 : 0; i < LEVELS; i++) {
		c = counts_at(s, i, key, view);
		k = prior_observations[i];
		prior = (c->pass + k * prior) / (c->pass + c->fail + k);
	}
	return prior;
}

/* Returns the posterior mean of the share of quick outcomes that are bad. */
float
quality_counts_bad_share(const struct quality_counts *s,
    const struct quality_counts_key *key, float prior,
    enum quality_counts_view view)
{
	const struct counts *c;
	float k;
	int i;

	for (i = s->no_pooling ? LEVELS - 1 : 0; i < LEVELS; i++) {
		c = counts_at(s, i, key, view);
		k = prior_observations[i];
		prior = (c->bad + k * prior) / (c->good + c->bad + k);
	}
	return prior;
}

/*
 * Returns the number of observations behind the mean of the last level, prior
 * included: of ratings, or else of quick outcomes.
 */
float
quality_counts_weight(const struct quality_counts *s,
    const struct quality_counts_key *key, bool ratings,
    enum quality_counts_view view)
{
	const struct counts *c = counts_at(s, LEVELS - 1, key, view);

	return prior_observations[LEVELS - 1] +
	       (ratings ? c->pass + c->fail : c->good + c->bad);
}
