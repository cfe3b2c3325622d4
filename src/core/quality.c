#include "core/quality.h"

#include "core/chain.h"

#include <math.h>
#include <string.h>

enum {
	PLACES = 3, /* of enum cf_place */
	LEVELS = 3 /* version; with class; with class and workspace */
};

/* Half-life of evidence. */
#define FORGET_US (12 * 3600 * INT64_C(1000000))

/* Evidence that a parent's mean counts for, for each level. */
static const float prior_weight[LEVELS] = {10, 20, 40};

/* Ratings that a cell's memory holds, for each level. */
static const float window[LEVELS] = {4000, 2000, 600};

#define PRICE_START 2.0 /* leans to the better versions */
#define PRICE_LOW (-2.3)
#define PRICE_HIGH 5.8
#define PRICE_STEP 0.1
#define MARGIN_SIGMAS 1.0
#define RATINGS_MAX 1e6
#define FLOOR_PART 0.5 /* of a standard deviation */
#define ESCALATED_PRIOR 0.9f /* of the first try's mean */
#define KEPT_PRIOR 0.4f /* part of failures that quick scores miss */

/* Decayed counts of ratings and of quick evidence. */
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

struct version {
	bool usable;
	bool rolling;
	uint32_t epoch; /* counts qual_settle() */
	float cost; /* share of the dearest version's */
	float prior;
};

struct workspace {
	double target;
	double price; /* natural logarithm */
	double ratings;
};

/* What a cell is about; upper levels leave parts out. */
struct key {
	uint16_t workspace;
	uint16_t class;
	enum cf_place place;
	uint16_t version;
};

enum view {
	VIEW_NOW,
	VIEW_SETTLED
};

struct qual {
	const struct alloc *alloc;
	struct qual_options options;
	uint16_t version_count;
	uint16_t workspace_count;
	struct version *versions;
	struct workspace *workspaces;
	struct cell *cells[LEVELS];
};

struct qual *
qual_new(const struct alloc *alloc)
{
	struct qual_options options = {0};

	options.alloc = alloc;
	return qual_new_with(&options);
}

/* Creates estimates that know nothing until qual_configure(). */
struct qual *
qual_new_with(const struct qual_options *options)
{
	const struct alloc *alloc;
	struct qual *q;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	q = alloc_zero(alloc, 1, sizeof(*q));
	q->alloc = alloc;
	q->options = *options;
	return q;
}

void
qual_free(struct qual *q)
{
	int level;

	if (q == NULL)
		return;
	for (level = 0; level < LEVELS; level++)
		alloc_free(q->alloc, q->cells[level]);
	alloc_free(q->alloc, q->versions);
	alloc_free(q->alloc, q->workspaces);
	alloc_free(q->alloc, q);
}

/* Rows of version_count cells at a level. */
static size_t
level_rows(int level, uint16_t workspaces)
{
	static const size_t rows[LEVELS] = {
	    PLACES, PLACES * QUAL_CLASSES_MAX, PLACES * QUAL_CLASSES_MAX};

	return level == LEVELS - 1 ? rows[level] * workspaces : rows[level];
}

static struct cell *
cell_at(const struct qual *q, int level, const struct key *key)
{
	size_t row = (size_t)key->place;

	if (level > 0)
		row += PLACES * (size_t)(key->class % QUAL_CLASSES_MAX);
	if (level > 1)
		row += PLACES * QUAL_CLASSES_MAX * (size_t)key->workspace;
	return &q->cells[level][row * q->version_count + key->version];
}

/* Moves rows of old_count elements into rows of new_count elements. */
static void *
regrow(const struct alloc *alloc, void *old, size_t size, size_t old_rows,
    size_t old_count, size_t new_rows, size_t new_count)
{
	size_t row;
	char *p;

	p = alloc_zero(alloc, new_rows * new_count + 1, size);
	for (row = 0; old != NULL && row < old_rows; row++)
		memcpy(p + row * new_count * size,
		    (char *)old + row * old_count * size, old_count * size);
	alloc_free(alloc, old);
	return p;
}

static void
grow(struct qual *q, uint16_t versions, uint16_t workspaces)
{
	uint16_t w;
	int level;

	for (level = 0; level < LEVELS; level++)
		q->cells[level] = regrow(q->alloc, q->cells[level],
		    sizeof(struct cell), level_rows(level, q->workspace_count),
		    q->version_count, level_rows(level, workspaces), versions);
	q->versions = alloc_resize(
	    q->alloc, q->versions, (versions + 1U) * sizeof(*q->versions));
	memset(q->versions + q->version_count, 0,
	    (versions + 1U - q->version_count) * sizeof(*q->versions));
	q->workspaces = alloc_resize(q->alloc, q->workspaces,
	    (workspaces + 1U) * sizeof(*q->workspaces));
	for (w = q->workspace_count; w < workspaces; w++)
		q->workspaces[w].price = PRICE_START;
	q->version_count = versions;
	q->workspace_count = workspaces;
}

/*
 * Takes over a revision.  Evidence and prices of indices that were known
 * before stay.  This is the only function that allocates.
 */
void
qual_configure(struct qual *q, const struct cfg *cfg)
{
	uint16_t versions, workspaces, i;
	uint32_t dearest = 1;

	versions = cfg->version_count > q->version_count ? cfg->version_count
							 : q->version_count;
	workspaces = cfg->workspace_count > q->workspace_count
			 ? cfg->workspace_count
			 : q->workspace_count;
	if (versions != q->version_count || workspaces != q->workspace_count)
		grow(q, versions, workspaces);
	for (i = 0; i < versions; i++)
		q->versions[i].usable = false;
	for (i = 0; i < cfg->version_count; i++)
		if (cfg->versions[i].present &&
		    cfg->versions[i].cost_micro > dearest)
			dearest = cfg->versions[i].cost_micro;
	for (i = 0; i < cfg->version_count; i++) {
		const struct cfg_version *v = &cfg->versions[i];

		q->versions[i].usable = v->present && v->state != CFG_WITHDRAWN;
		q->versions[i].rolling = v->state == CFG_ROLLING;
		q->versions[i].cost = (float)v->cost_micro / (float)dearest;
		q->versions[i].prior =
		    fminf(fmaxf((float)v->prior_permille / 1000, 0.02f), 0.99f);
	}
	for (i = 0; i < cfg->workspace_count; i++)
		q->workspaces[i].target =
		    cfg->workspaces[i].target_permille / 1000.0;
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
prior_pass(const struct version *v, enum cf_place place)
{
	if (place == CF_KEPT)
		return 1 - (1 - v->prior) * KEPT_PRIOR;
	return place == CF_ESCALATED ? v->prior * ESCALATED_PRIOR : v->prior;
}

/* Counts as they are, or as they were when the version last settled. */
static const struct counts *
counts_of(const struct qual *q, const struct cell *c, uint16_t version,
    enum view view)
{
	if (view == VIEW_NOW || c->epoch != q->versions[version].epoch)
		return &c->now;
	return &c->settled;
}

static float
mean_pass(const struct qual *q, const struct key *key, enum view view)
{
	const struct counts *c;
	float m, k;
	int i;

	m = prior_pass(&q->versions[key->version], key->place);
	for (i = 0; i < LEVELS; i++) {
		if (q->options.unsafe_no_pooling && i < LEVELS - 1)
			continue;
		c = counts_of(q, cell_at(q, i, key), key->version, view);
		k = prior_weight[i];
		m = (c->pass + k * m) / (c->pass + c->fail + k);
	}
	return m;
}

static float
mean_bad(const struct qual *q, const struct key *key, enum view view)
{
	const struct counts *c;
	float m, k;
	int i;

	m = (1 - q->versions[key->version].prior) / 2;
	for (i = 0; i < LEVELS; i++) {
		c = counts_of(q, cell_at(q, i, key), key->version, view);
		k = prior_weight[i];
		m = (c->bad + k * m) / (c->good + c->bad + k);
	}
	return m;
}

static bool
known(const struct qual *q, uint16_t workspace, uint16_t version)
{
	return workspace < q->workspace_count && version < q->version_count;
}

/*
 * Excess over the target, so that the total stays above it although only a
 * part of the answers is rated.  Summed over n ratings it is MARGIN_SIGMAS
 * standard deviations of n outcomes.
 */
static double
margin_of(const struct workspace *w)
{
	return MARGIN_SIGMAS / 2 * sqrt(w->target * (1 - w->target)) /
	       sqrt(w->ratings);
}

/* Moves a workspace's price against one rating. */
static void
price_step(struct qual *q, uint16_t workspace, bool passed)
{
	struct workspace *w = &q->workspaces[workspace];

	if (q->options.unsafe_fixed_price)
		return;
	w->ratings += w->ratings < RATINGS_MAX;
	w->price += PRICE_STEP * (w->target + margin_of(w) - passed);
	w->price = fmin(fmax(w->price, PRICE_LOW), PRICE_HIGH);
}

static float
window_of(const struct qual *q, int level)
{
	return q->options.unsafe_no_forgetting ? 1e9f : window[level];
}

/* Keeps the counts as they were when the version settled last. */
static struct cell *
cell_touch(struct qual *q, int level, const struct key *key)
{
	struct cell *c = cell_at(q, level, key);

	if (c->epoch != q->versions[key->version].epoch) {
		c->settled = c->now;
		c->epoch = q->versions[key->version].epoch;
	}
	return c;
}

static struct key
key_of(const struct cf_rating *r)
{
	struct key key;

	key.workspace = r->workspace;
	key.class = r->task_class;
	key.place = r->place;
	key.version = r->version;
	return key;
}

/* Takes in the rating of an answer that a caller received. */
void
qual_rate(struct qual *q, const struct cf_rating *r, int64_t now_us)
{
	struct key key = key_of(r);
	struct cell *c;
	int i;

	if (!known(q, r->workspace, r->version))
		return;
	for (i = 0; i < LEVELS; i++) {
		c = cell_touch(q, i, &key);
		if (!q->options.unsafe_no_forgetting)
			forget(
			    &c->now.pass, &c->now.fail, &c->rated_us, now_us);
		if (r->passed)
			observe(&c->now.pass, &c->now.fail, window_of(q, i));
		else
			observe(&c->now.fail, &c->now.pass, window_of(q, i));
	}
	price_step(q, r->workspace, r->passed);
}

/*
 * Makes the evidence on a version so far the reference of qual_expect_passed()
 * and qual_expect_good().  The caller settles a version while nothing speaks
 * against it, so that a turn to the worse does not move what it is tested
 * against.
 */
void
qual_settle(struct qual *q, uint16_t version)
{
	if (version < q->version_count)
		q->versions[version].epoch++;
}

static void
evidence(struct qual *q, const struct key *key, bool good, int64_t now_us)
{
	struct cell *c;
	int i;

	if (!known(q, key->workspace, key->version))
		return;
	for (i = 0; i < LEVELS; i++) {
		c = cell_touch(q, i, key);
		forget(&c->now.good, &c->now.bad, &c->seen_us, now_us);
		if (good)
			observe(&c->now.good, &c->now.bad, window_of(q, i));
		else
			observe(&c->now.bad, &c->now.good, window_of(q, i));
	}
}

/* Takes in the quick verdict on a first try: good, or one that escalates. */
void
qual_evidence(struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
	const struct key key = {workspace, task_class, CF_ALONE, version};

	evidence(q, &key, good, now_us);
}

/* Takes in the quick verdict on an escalated attempt. */
void
qual_evidence_escalated(struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
	const struct key key = {workspace, task_class, CF_ESCALATED, version};

	evidence(q, &key, good, now_us);
}

static void
estimate_version(const struct qual *q, uint16_t workspace, uint16_t class,
    uint16_t version, struct chain_estimate *e)
{
	struct key key = {workspace, class, CF_ALONE, version};
	const struct counts *c;
	float n;

	c = &cell_at(q, LEVELS - 1, &key)->now;
	n = c->pass + c->fail + prior_weight[LEVELS - 1];
	e->version = version;
	e->cost = q->versions[version].cost;
	e->flagged = mean_bad(q, &key, VIEW_NOW);
	e->solo = mean_pass(q, &key, VIEW_NOW);
	e->sigma = sqrtf(e->solo * (1 - e->solo) / n);
	key.place = CF_KEPT;
	e->kept = (1 - e->flagged) * mean_pass(q, &key, VIEW_NOW);
	key.place = CF_ESCALATED;
	e->after = mean_pass(q, &key, VIEW_NOW);
}

static size_t
estimate_all(const struct qual *q, uint16_t workspace, uint16_t class,
    uint64_t mask, struct chain_estimate *out)
{
	size_t n = 0;
	uint16_t v;

	for (; mask != 0; mask &= mask - 1) {
		v = (uint16_t)__builtin_ctzll(mask);
		if (v < q->version_count && q->versions[v].usable)
			estimate_version(q, workspace, class, v, &out[n++]);
	}
	return n;
}

/* Versions in roll-out that take new work at all. */
static uint64_t
rolling_mask(const struct qual *q)
{
	uint64_t mask = 0;
	uint16_t v;

	for (v = 0; v < q->version_count && v < CFG_VERSIONS_MAX; v++)
		if (q->versions[v].rolling && q->versions[v].usable)
			mask |= UINT64_C(1) << v;
	return mask;
}

/*
 * Chooses the chain of versions for one request.  Of rolling_open, the
 * versions in roll-out whose share the request falls into, one comes first.
 * Versions in roll-out outside it are left out.  The chain is empty if nothing
 * is left.
 */
void
qual_choose(struct qual *q, struct rng *rng, const struct qual_ask *ask,
    struct qual_chain *chain)
{
	struct chain_estimate all[CFG_VERSIONS_MAX], first;
	uint64_t rolling, open;
	size_t n;

	memset(chain, 0, sizeof(*chain));
	chain->reason = CF_WHY_NO_SERVER;
	if (ask->workspace >= q->workspace_count)
		return;
	rolling = rolling_mask(q);
	open = ask->rolling_open & ask->candidates & rolling;
	if (q->options.unsafe_any_candidate)
		rolling = 0;
	n = estimate_all(q, ask->workspace, ask->task_class,
	    ask->candidates & ~rolling, all);
	if (open != 0) {
		estimate_version(q, ask->workspace, ask->task_class,
		    (uint16_t)__builtin_ctzll(open), &first);
		chain_follow(all, n, &first,
		    q->workspaces[ask->workspace].price, ask->may_escalate,
		    chain);
	} else if (n > 0) {
		chain_choose(all, n, q->workspaces[ask->workspace].price,
		    ask->may_escalate,
		    q->workspaces[ask->workspace].price < PRICE_START ? rng
								      : NULL,
		    chain);
	}
}

/* Returns the expected pass share of a first try; 0 for unknown indices. */
double
qual_mean(const struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class)
{
	const struct key key = {workspace, task_class, CF_ALONE, version};

	if (!known(q, workspace, version))
		return 0;
	return mean_pass(q, &key, VIEW_NOW);
}

/* Returns a share less a part of the standard deviation of n observations. */
static double
floor_of(double mean, double n)
{
	return fmax(mean - FLOOR_PART * sqrt(mean * (1 - mean) / (n + 1)), 0);
}

/* Returns the pass share that a rating is tested against. */
double
qual_expect_passed(const struct qual *q, const struct cf_rating *r)
{
	const struct key key = key_of(r);
	const struct counts *c;

	if (!known(q, r->workspace, r->version))
		return 0;
	c = counts_of(
	    q, cell_at(q, LEVELS - 1, &key), r->version, VIEW_SETTLED);
	return floor_of(mean_pass(q, &key, VIEW_SETTLED),
	    c->pass + c->fail + prior_weight[LEVELS - 1]);
}

/* Returns the share of good attempts that quick evidence is tested against. */
double
qual_expect_good(const struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool escalated)
{
	const struct key key = {workspace, task_class,
	    escalated ? CF_ESCALATED : CF_ALONE, version};
	const struct counts *c;

	if (!known(q, workspace, version))
		return 0;
	c = counts_of(q, cell_at(q, LEVELS - 1, &key), version, VIEW_SETTLED);
	return floor_of(1 - mean_bad(q, &key, VIEW_SETTLED),
	    c->good + c->bad + prior_weight[LEVELS - 1]);
}

double
qual_price(const struct qual *q, uint16_t workspace)
{
	if (workspace >= q->workspace_count)
		return 0;
	return q->workspaces[workspace].price;
}
