#include "core/quality.h"

#include <math.h>
#include <string.h>

#include "core/cells.h"
#include "core/chain.h"

#define PRICE_START 2.0 /* leans to the better versions */
#define PRICE_LOW (-2.3)
#define PRICE_HIGH 15.0 /* a debt of some 100 rated answers is repaid */
#define PRICE_STEP 0.1
#define MARGIN_SIGMAS 1.0
#define RATINGS_MAX 1e6
#define FLOOR_PART 0.5 /* of a standard deviation */
#define ESCALATED_PRIOR 0.9f /* of the first try's mean */
#define KEPT_PRIOR 0.4f /* part of failures that quick scores miss */

struct version {
	bool usable;
	bool rolling;
	float cost; /* share of the dearest version's */
	float prior;
};

struct workspace {
	double target;
	double price; /* natural logarithm */
	double ratings;
};

struct qual {
	const struct alloc *alloc;
	struct qual_options options;
	uint16_t version_count;
	uint16_t workspace_count;
	struct version *versions;
	struct workspace *workspaces;
	struct cells *cells;
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
	q->cells = cells_new(
	    alloc, options->unsafe_no_forgetting, options->unsafe_no_pooling);
	return q;
}

void
qual_free(struct qual *q)
{
	if (q == NULL)
		return;
	cells_free(q->cells);
	alloc_free(q->alloc, q->versions);
	alloc_free(q->alloc, q->workspaces);
	alloc_free(q->alloc, q);
}

static void
grow(struct qual *q, uint16_t versions, uint16_t workspaces)
{
	uint16_t w;

	cells_grow(q->cells, versions, workspaces);
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

static float
prior_pass(const struct version *v, enum cf_place place)
{
	if (place == CF_KEPT)
		return 1 - (1 - v->prior) * KEPT_PRIOR;
	return place == CF_ESCALATED ? v->prior * ESCALATED_PRIOR : v->prior;
}

static float
mean_pass(
    const struct qual *q, const struct cells_key *key, enum cells_view view)
{
	return cells_pass(q->cells, key,
	    prior_pass(&q->versions[key->version], key->place), view);
}

static float
mean_bad(
    const struct qual *q, const struct cells_key *key, enum cells_view view)
{
	return cells_bad(
	    q->cells, key, (1 - q->versions[key->version].prior) / 2, view);
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

static struct cells_key
key_of(const struct cf_rating *r)
{
	struct cells_key key;

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
	const struct cells_key key = key_of(r);

	if (!known(q, r->workspace, r->version))
		return;
	cells_add_rating(q->cells, &key, r->passed, now_us);
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
		cells_settle(q->cells, version);
}

static void
evidence(struct qual *q, const struct cells_key *key, bool good, int64_t now_us)
{
	if (known(q, key->workspace, key->version))
		cells_add_quick(q->cells, key, good, now_us);
}

/* Takes in the quick verdict on a first try: good, or one that escalates. */
void
qual_evidence(struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
	const struct cells_key key = {workspace, task_class, CF_ALONE, version};

	evidence(q, &key, good, now_us);
}

/* Takes in the quick verdict on an escalated attempt. */
void
qual_evidence_escalated(struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
	const struct cells_key key = {
	    workspace, task_class, CF_ESCALATED, version};

	evidence(q, &key, good, now_us);
}

static void
estimate_version(const struct qual *q, uint16_t workspace, uint16_t class,
    uint16_t version, struct chain_estimate *e)
{
	struct cells_key key = {workspace, class, CF_ALONE, version};
	float n;

	n = cells_weight(q->cells, &key, true, VIEW_NOW);
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
		    ask->may_escalate, rng, chain);
	}
}

/* Returns the expected pass share of a first try; 0 for unknown indices. */
double
qual_mean(const struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class)
{
	const struct cells_key key = {workspace, task_class, CF_ALONE, version};

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
	const struct cells_key key = key_of(r);

	if (!known(q, r->workspace, r->version))
		return 0;
	return floor_of(mean_pass(q, &key, VIEW_SETTLED),
	    cells_weight(q->cells, &key, true, VIEW_SETTLED));
}

/* Returns the share of good attempts that quick evidence is tested against. */
double
qual_expect_good(const struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool escalated)
{
	const struct cells_key key = {workspace, task_class,
	    escalated ? CF_ESCALATED : CF_ALONE, version};

	if (!known(q, workspace, version))
		return 0;
	return floor_of(1 - mean_bad(q, &key, VIEW_SETTLED),
	    cells_weight(q->cells, &key, false, VIEW_SETTLED));
}

double
qual_price(const struct qual *q, uint16_t workspace)
{
	if (workspace >= q->workspace_count)
		return 0;
	return q->workspaces[workspace].price;
}
