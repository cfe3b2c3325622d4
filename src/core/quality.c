#include "core/quality.h"

#include <math.h>
#include <string.h>

#include "core/quality_counts.h"
#include "core/chain.h"

/* Limits and step of the natural logarithm of a workspace's price. */
#define PRICE_LOG_START 2.0 /* prefers the better versions at first */
#define PRICE_LOG_MIN (-2.3)
#define PRICE_LOG_MAX 15.0 /* makes up a deficit of some 100 rated answers */
#define PRICE_LOG_STEP 0.1 /* for one rating */

#define MARGIN_SIGMAS 1.0 /* standard deviations above the target */
#define RATINGS_MAX 1e6
#define FLOOR_SIGMAS 0.5 /* standard deviations below the mean */
#define ESCALATED_PRIOR_FACTOR 0.9f /* of the first try's prior */
#define KEPT_FAILURE_FACTOR 0.4f /* part of failures that quick scores miss */

struct version {
	bool usable; /* configured and not withdrawn */
	bool in_rollout;
	float relative_cost; /* as a share of the most expensive version's */
	float prior; /* pass share before any evidence */
};

struct workspace {
	double target; /* pass share, in [0, 1] */
	double price_log; /* natural logarithm of the price of quality */
	double rating_count; /* up to RATINGS_MAX */
};

struct qual {
	const struct alloc *alloc;
	struct qual_options options;
	uint16_t version_count;
	uint16_t workspace_count;
	struct version *versions;
	struct workspace *workspaces;
	struct quality_counts *counts;
};

struct qual *
qual_new(const struct alloc *alloc)
{
	struct qual_options options = {0};

	options.alloc = alloc;
	return qual_new_with(&options);
}

/* Creates estimates without any version or workspace: see qual_configure(). */
struct qual *
qual_new_with(const struct qual_options *options)
{
	const struct alloc *alloc;
	struct qual *q;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	q = alloc_zero(alloc, 1, sizeof(*q));
	q->alloc = alloc;
	q->options = *options;
	q->counts = quality_counts_new(
	    alloc, options->unsafe_no_forgetting, options->unsafe_no_pooling);
	return q;
}

void
qual_free(struct qual *q)
{
	if (q == NULL)
		return;
	quality_counts_free(q->counts);
	alloc_free(q->alloc, q->versions);
	alloc_free(q->alloc, q->workspaces);
	alloc_free(q->alloc, q);
}

/* Makes room for more versions and workspaces and keeps the known ones. */
static void
grow_tables(struct qual *q, uint16_t versions, uint16_t workspaces)
{
	uint16_t w;

	quality_counts_grow(q->counts, versions, workspaces);
	q->versions = alloc_resize(
	    q->alloc, q->versions, (versions + 1U) * sizeof(*q->versions));
	memset(q->versions + q->version_count, 0,
	    (versions + 1U - q->version_count) * sizeof(*q->versions));
	q->workspaces = alloc_resize(q->alloc, q->workspaces,
	    (workspaces + 1U) * sizeof(*q->workspaces));
	for (w = q->workspace_count; w < workspaces; w++)
		q->workspaces[w].price_log = PRICE_LOG_START;
	q->version_count = versions;
	q->workspace_count = workspaces;
}

/*
 * Applies a configuration revision.  Versions and workspaces whose index was
 * known before keep their evidence and prices.  No other function allocates
 * after qual_new().
 */
void
qual_configure(struct qual *q, const struct cfg *cfg)
{
	uint16_t versions, workspaces, i;
	uint32_t max_cost_micro = 1;

	versions = cfg->version_count > q->version_count ? cfg->version_count
							 : q->version_count;
	workspaces = cfg->workspace_count > q->workspace_count
			 ? cfg->workspace_count
			 : q->workspace_count;
	if (versions != q->version_count || workspaces != q->workspace_count)
		grow_tables(q, versions, workspaces);
	for (i = 0; i < versions; i++)
		q->versions[i].usable = false;
	for (i = 0; i < cfg->version_count; i++)
		if (cfg->versions[i].present &&
		    cfg->versions[i].cost_micro > max_cost_micro)
			max_cost_micro = cfg->versions[i].cost_micro;
	for (i = 0; i < cfg->version_count; i++) {
		const struct cfg_version *v = &cfg->versions[i];

		q->versions[i].usable = v->present && v->state != CFG_WITHDRAWN;
		q->versions[i].in_rollout = v->state == CFG_ROLLING;
		q->versions[i].relative_cost =
		    (float)v->cost_micro / (float)max_cost_micro;
		q->versions[i].prior =
		    fminf(fmaxf((float)v->prior_permille / 1000, 0.02f), 0.99f);
	}
	for (i = 0; i < cfg->workspace_count; i++)
		q->workspaces[i].target =
		    cfg->workspaces[i].target_permille / 1000.0;
}

/* Returns the pass share of an answer in this place before any evidence. */
static float
prior_pass_share(const struct version *v, enum cf_place place)
{
	if (place == CF_KEPT)
		return 1 - (1 - v->prior) * KEPT_FAILURE_FACTOR;
	return place == CF_ESCALATED ? v->prior * ESCALATED_PRIOR_FACTOR
				     : v->prior;
}

static float
estimate_pass_share(const struct qual *q, const struct quality_counts_key *key,
    enum quality_counts_view view)
{
	return quality_counts_pass_share(q->counts, key,
	    prior_pass_share(&q->versions[key->version], key->place), view);
}

static float
estimate_bad_share(const struct qual *q, const struct quality_counts_key *key,
    enum quality_counts_view view)
{
	return quality_counts_bad_share(
	    q->counts, key, (1 - q->versions[key->version].prior) / 2, view);
}

static bool
is_known(const struct qual *q, uint16_t workspace, uint16_t version)
{
	return workspace < q->workspace_count && version < q->version_count;
}

/*
 * Returns the margin that is added to the target, so that the share over all
 * answers stays above the target although only a part of them is rated.  Summed
 * over n ratings the margin is MARGIN_SIGMAS standard deviations of n outcomes.
 */
static double
target_margin(const struct workspace *w)
{
	return MARGIN_SIGMAS / 2 * sqrt(w->target * (1 - w->target)) /
	       sqrt(w->rating_count);
}

/* Raises a workspace's price after a failed rating, lowers it after a pass. */
static void
update_price(struct qual *q, uint16_t workspace, bool passed)
{
	struct workspace *w = &q->workspaces[workspace];

	if (q->options.unsafe_fixed_price)
		return;
	w->rating_count += w->rating_count < RATINGS_MAX;
	w->price_log +=
	    PRICE_LOG_STEP * (w->target + target_margin(w) - passed);
	w->price_log = fmin(fmax(w->price_log, PRICE_LOG_MIN), PRICE_LOG_MAX);
}

static struct quality_counts_key
rating_key(const struct cf_rating *r)
{
	struct quality_counts_key key;

	key.workspace = r->workspace;
	key.class = r->task_class;
	key.place = r->place;
	key.version = r->version;
	return key;
}

/*
 * Adds the rating of an answer that a caller received.  A rating of an unknown
 * workspace or version is ignored.
 */
void
qual_add_rating(struct qual *q, const struct cf_rating *r, int64_t now_us)
{
	const struct quality_counts_key key = rating_key(r);

	if (!is_known(q, r->workspace, r->version))
		return;
	quality_counts_add_rating(q->counts, &key, r->passed, now_us);
	update_price(q, r->workspace, r->passed);
}

/*
 * Makes the evidence on a version so far the reference of
 * qual_expected_pass_share() and qual_expected_good_share().  The caller does
 * so only while rollout_is_unsuspected() holds for the version, so that a drop
 * in quality does not lower the expectation that the version is tested against.
 */
void
qual_set_reference(struct qual *q, uint16_t version)
{
	if (version < q->version_count)
		quality_counts_set_reference(q->counts, version);
}

static void
record_outcome(struct qual *q, const struct quality_counts_key *key, bool good,
    int64_t now_us)
{
	if (is_known(q, key->workspace, key->version))
		quality_counts_add_outcome(q->counts, key, good, now_us);
}

/*
 * Adds the quick outcome of a first try.  An answer that is not good is
 * flagged: it escalates where the chain goes on.
 */
void
qual_add_outcome(struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
	const struct quality_counts_key key = {
	    workspace, task_class, CF_ALONE, version};

	record_outcome(q, &key, good, now_us);
}

/* Adds the quick outcome of an escalated attempt. */
void
qual_add_escalated_outcome(struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class, bool good, int64_t now_us)
{
	const struct quality_counts_key key = {
	    workspace, task_class, CF_ESCALATED, version};

	record_outcome(q, &key, good, now_us);
}

/* Fills in what a choice knows of one version. */
static void
estimate_version(const struct qual *q, uint16_t workspace, uint16_t class,
    uint16_t version, struct chain_estimate *e)
{
	struct quality_counts_key key = {workspace, class, CF_ALONE, version};
	float n;

	n = quality_counts_weight(
	    q->counts, &key, true, QUALITY_COUNTS_CURRENT);
	e->version = version;
	e->relative_cost = q->versions[version].relative_cost;
	e->flagged_share = estimate_bad_share(q, &key, QUALITY_COUNTS_CURRENT);
	e->pass_share = estimate_pass_share(q, &key, QUALITY_COUNTS_CURRENT);
	e->pass_sigma = sqrtf(e->pass_share * (1 - e->pass_share) / n);
	key.place = CF_KEPT;
	e->kept_pass_share =
	    (1 - e->flagged_share) *
	    estimate_pass_share(q, &key, QUALITY_COUNTS_CURRENT);
	key.place = CF_ESCALATED;
	e->escalated_pass_share =
	    estimate_pass_share(q, &key, QUALITY_COUNTS_CURRENT);
}

/* Estimates the usable versions of a mask; returns their number. */
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

/* Returns the mask of versions in roll-out that are not withdrawn. */
static uint64_t
rollout_mask(const struct qual *q)
{
	uint64_t mask = 0;
	uint16_t v;

	for (v = 0; v < q->version_count && v < CFG_VERSIONS_MAX; v++)
		if (q->versions[v].in_rollout && q->versions[v].usable)
			mask |= UINT64_C(1) << v;
	return mask;
}

/*
 * Chooses the chain of versions for one request.  rolling_open tells which
 * versions in roll-out the request's draw admits: the candidate of lowest index
 * among them is tried first, and the other versions in roll-out are left out.
 * The chain is empty, with the reason CF_WHY_NO_SERVER, if no version is left.
 */
void
qual_choose_chain(struct qual *q, struct rng *rng,
    const struct qual_query *query, struct qual_chain *chain)
{
	struct chain_estimate all[CFG_VERSIONS_MAX], first;
	uint64_t rolling, open;
	size_t n;

	memset(chain, 0, sizeof(*chain));
	chain->reason = CF_WHY_NO_SERVER;
	if (query->workspace >= q->workspace_count)
		return;
	rolling = rollout_mask(q);
	open = query->rolling_open & query->candidates & rolling;
	if (q->options.unsafe_any_candidate)
		rolling = 0;
	n = estimate_all(q, query->workspace, query->task_class,
	    query->candidates & ~rolling, all);
	if (open != 0) {
		estimate_version(q, query->workspace, query->task_class,
		    (uint16_t)__builtin_ctzll(open), &first);
		chain_choose_escalation(all, n, &first,
		    q->workspaces[query->workspace].price_log,
		    query->may_escalate, chain);
	} else if (n > 0) {
		chain_choose(all, n, q->workspaces[query->workspace].price_log,
		    query->may_escalate, rng, chain);
	}
}

/* Returns the expected pass share of a first try; 0 for an unknown index. */
double
qual_pass_share(const struct qual *q, uint16_t workspace, uint16_t version,
    uint16_t task_class)
{
	const struct quality_counts_key key = {
	    workspace, task_class, CF_ALONE, version};

	if (!is_known(q, workspace, version))
		return 0;
	return estimate_pass_share(q, &key, QUALITY_COUNTS_CURRENT);
}

/*
 * Returns a share of n observations less FLOOR_SIGMAS of its standard
 * deviations, and at least 0.
 */
static double
lower_bound(double mean, double n)
{
	return fmax(mean - FLOOR_SIGMAS * sqrt(mean * (1 - mean) / (n + 1)), 0);
}

/*
 * Returns the pass share that a rating is tested against; 0 for an unknown
 * index.
 */
double
qual_expected_pass_share(const struct qual *q, const struct cf_rating *r)
{
	const struct quality_counts_key key = rating_key(r);

	if (!is_known(q, r->workspace, r->version))
		return 0;
	return lower_bound(
	    estimate_pass_share(q, &key, QUALITY_COUNTS_REFERENCE),
	    quality_counts_weight(
		q->counts, &key, true, QUALITY_COUNTS_REFERENCE));
}

/*
 * Returns the share of good outcomes that a quick outcome is tested against; 0
 * for an unknown index.
 */
double
qual_expected_good_share(const struct qual *q, uint16_t workspace,
    uint16_t version, uint16_t task_class, bool escalated)
{
	const struct quality_counts_key key = {workspace, task_class,
	    escalated ? CF_ESCALATED : CF_ALONE, version};

	if (!is_known(q, workspace, version))
		return 0;
	return lower_bound(
	    1 - estimate_bad_share(q, &key, QUALITY_COUNTS_REFERENCE),
	    quality_counts_weight(
		q->counts, &key, false, QUALITY_COUNTS_REFERENCE));
}

double
qual_price_log(const struct qual *q, uint16_t workspace)
{
	if (workspace >= q->workspace_count)
		return 0;
	return q->workspaces[workspace].price_log;
}
