#include "core/cells.h"

#include <math.h>
#include <string.h>

#include "core/quality.h"

enum {
	PLACES = 3, /* of enum cf_place */
	LEVELS = 3
};

/* Half-life of evidence. */
#define FORGET_US (12 * 3600 * INT64_C(1000000))
#define WINDOW_ENDLESS 1e9f

/* Evidence that a parent's mean counts for, for each level. */
static const float prior_weight[LEVELS] = {10, 20, 40};

/* Observations that a cell's memory holds, for each level. */
static const float window[LEVELS] = {4000, 2000, 600};

struct counts {
	float pass;
	float fail;
	float good;
	float bad;
};

struct cell {
	struct counts now;
	struct counts settled; /* holds if epoch is the version's */
	uint32_t epoch;
	int64_t rated_us;
	int64_t seen_us;
};

struct cells {
	const struct alloc *alloc;
	bool no_forgetting;
	bool no_pooling;
	uint16_t version_count;
	uint16_t workspace_count;
	uint32_t *epochs; /* of each version: times it settled */
	struct cell *levels[LEVELS];
};

/* Creates counts without a version or workspace; the flags are for tests. */
struct cells *
cells_new(const struct alloc *alloc, bool no_forgetting, bool no_pooling)
{
	struct cells *s = alloc_zero(alloc, 1, sizeof(*s));

	s->alloc = alloc;
	s->no_forgetting = no_forgetting;
	s->no_pooling = no_pooling;
	return s;
}

void
cells_free(struct cells *s)
{
	int i;

	if (s == NULL)
		return;
	for (i = 0; i < LEVELS; i++)
		alloc_free(s->alloc, s->levels[i]);
	alloc_free(s->alloc, s->epochs);
	alloc_free(s->alloc, s);
}

/* Rows of version_count cells at a level. */
static size_t
level_rows(int level, uint16_t workspaces)
{
	static const size_t rows[LEVELS] = {
	    PLACES, PLACES * QUAL_CLASSES_MAX, PLACES * QUAL_CLASSES_MAX};

	return level == LEVELS - 1 ? rows[level] * workspaces : rows[level];
}

/* Makes room for more versions or workspaces; what was counted stays. */
void
cells_grow(struct cells *s, uint16_t versions, uint16_t workspaces)
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
	s->epochs = alloc_resize(
	    s->alloc, s->epochs, (versions + 1U) * sizeof(*s->epochs));
	memset(s->epochs + s->version_count, 0,
	    (versions + 1U - s->version_count) * sizeof(*s->epochs));
	s->version_count = versions;
	s->workspace_count = workspaces;
}

static struct cell *
cell_at(const struct cells *s, int level, const struct cells_key *key)
{
	size_t row = (size_t)key->place;

	if (level > 0)
		row += PLACES * (size_t)(key->class % QUAL_CLASSES_MAX);
	if (level > 1)
		row += PLACES * QUAL_CLASSES_MAX * (size_t)key->workspace;
	return &s->levels[level][row * s->version_count + key->version];
}

/* Returns a cell to add to, after keeping its counts as last settled. */
static struct cell *
cell_touch(struct cells *s, int level, const struct cells_key *key)
{
	struct cell *c = cell_at(s, level, key);

	if (c->epoch != s->epochs[key->version]) {
		c->settled = c->now;
		c->epoch = s->epochs[key->version];
	}
	return c;
}

/* Multiplies a pair of counts for the time that passed. */
static void
forget(float *a, float *b, int64_t *last_us, int64_t now_us)
{
	float keep;

	if (now_us <= *last_us)
		return;
	keep = exp2f(-(float)(now_us - *last_us) / (float)FORGET_US);
	*a *= keep;
	*b *= keep;
	*last_us = now_us;
}

/* Adds one observation to a pair of counts that holds at most size. */
static void
observe(float *hit, float *miss, float size)
{
	float keep = 1 - 1 / size;

	*hit = *hit * keep + 1;
	*miss *= keep;
}

static float
window_of(const struct cells *s, int level)
{
	return s->no_forgetting ? WINDOW_ENDLESS : window[level];
}

/* Adds the rating of one answer. */
void
cells_add_rating(
    struct cells *s, const struct cells_key *key, bool passed, int64_t now_us)
{
	struct cell *c;
	int i;

	for (i = 0; i < LEVELS; i++) {
		c = cell_touch(s, i, key);
		if (!s->no_forgetting)
			forget(
			    &c->now.pass, &c->now.fail, &c->rated_us, now_us);
		observe(passed ? &c->now.pass : &c->now.fail,
		    passed ? &c->now.fail : &c->now.pass, window_of(s, i));
	}
}

/* Adds the quick verdict on one attempt. */
void
cells_add_quick(
    struct cells *s, const struct cells_key *key, bool good, int64_t now_us)
{
	struct cell *c;
	int i;

	for (i = 0; i < LEVELS; i++) {
		c = cell_touch(s, i, key);
		if (!s->no_forgetting)
			forget(&c->now.good, &c->now.bad, &c->seen_us, now_us);
		observe(good ? &c->now.good : &c->now.bad,
		    good ? &c->now.bad : &c->now.good, window_of(s, i));
	}
}

/* Makes the present counts of a version its settled ones, in one step. */
void
cells_settle(struct cells *s, uint16_t version)
{
	s->epochs[version]++;
}

static const struct counts *
counts_at(const struct cells *s, int level, const struct cells_key *key,
    enum cells_view view)
{
	const struct cell *c = cell_at(s, level, key);

	if (view == VIEW_NOW || c->epoch != s->epochs[key->version])
		return &c->now;
	return &c->settled;
}

/* Returns the posterior mean of the pass share. */
float
cells_pass(const struct cells *s, const struct cells_key *key, float prior,
    enum cells_view view)
{
	const struct counts *c;
	float k;
	int i;

	for (i = s->no_pooling ? LEVELS - 1 : 0; i < LEVELS; i++) {
		c = counts_at(s, i, key, view);
		k = prior_weight[i];
		prior = (c->pass + k * prior) / (c->pass + c->fail + k);
	}
	return prior;
}

/* Returns the posterior mean of the share of attempts that are not good. */
float
cells_bad(const struct cells *s, const struct cells_key *key, float prior,
    enum cells_view view)
{
	const struct counts *c;
	float k;
	int i;

	for (i = s->no_pooling ? LEVELS - 1 : 0; i < LEVELS; i++) {
		c = counts_at(s, i, key, view);
		k = prior_weight[i];
		prior = (c->bad + k * prior) / (c->good + c->bad + k);
	}
	return prior;
}

/* Returns the observations that the last level's mean rests on. */
float
cells_weight(const struct cells *s, const struct cells_key *key, bool ratings,
    enum cells_view view)
{
	const struct counts *c = counts_at(s, LEVELS - 1, key, view);

	return prior_weight[LEVELS - 1] +
	       (ratings ? c->pass + c->fail : c->good + c->bad);
}
