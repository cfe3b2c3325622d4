#include "policy/policy.h"

#include <stdlib.h>
#include <string.h>

/*
 * Baseline policies.  Each combines a chain rule and a server rule; all share
 * the code that retries failed attempts, up to RETRIES_MAX times, and neither
 * queues a request nor refuses one for load.  "direct" makes the quality and
 * roll-out decisions of the core with the same code.
 */

enum {
	OPEN_MAX = 1 << 15, /* slots of an instance for open requests, by id */
	SERVERS_MAX = 64,
	RETRIES_MAX = 2
};

enum chain_rule {
	CHAIN_ROTATE, /* each version in turn, whatever its quality */
	CHAIN_BEST, /* the most expensive version */
	CHAIN_FIXED, /* the cheapest version, then the most expensive */
	CHAIN_ORACLE,
	CHAIN_BLIND_ORACLE, /* knows the averages only */
	CHAIN_LOWER_BOUND, /* cheapest version whose bound meets the target */
	CHAIN_QUALITY /* core/quality.h and core/rollout.h */
};

enum server_rule {
	SERVER_ROTATE,
	SERVER_LEAST_LOAD, /* least reported load */
	SERVER_BEST_OF_TWO /* by reported load and attempts sent since */
};

struct baseline_kind {
	struct policy_kind kind; /* first member */
	enum chain_rule chain;
	enum server_rule server;
};

struct server {
	bool known; /* a load report has arrived */
	bool leaving;
	uint16_t slots;
	uint16_t reported; /* running and queued attempts */
	uint16_t sent; /* attempts of this instance since the report */
	uint16_t running; /* attempts of this instance */
};

struct open_request {
	uint32_t id;
	bool used;
	struct qual_chain chain;
	uint16_t workspace;
	uint16_t task_class;
	uint8_t chain_index; /* of the version in use */
	uint8_t retries;
	uint8_t attempts;
	uint16_t server;
	bool streaming;
	int64_t sent_us;
	int64_t deadline_us;
};

struct baseline {
	struct policy policy; /* first member */
	const struct baseline_kind *rule;
	struct policy_options options;
	const struct cfg *cfg;
	struct rng rng;
	struct qual *qual;
	struct rollout *rollout;
	uint32_t rotation;
	struct server servers[SERVERS_MAX];
	struct open_request *open;
};

static struct open_request *
find_open_request(struct baseline *b, uint32_t id)
{
	struct open_request *q = &b->open[id % OPEN_MAX];

	return q->used && q->id == id ? q : NULL;
}

static uint16_t
known_load(const struct baseline *b, uint16_t s)
{
	uint16_t load = b->servers[s].reported;

	if (b->rule->server == SERVER_BEST_OF_TWO)
		load += b->servers[s].sent;
	return load;
}

/* Returns the first usable server from a random one on. */
static uint16_t
pick_random_usable(struct baseline *b, uint16_t avoid)
{
	uint16_t n = b->options.servers, s, i;

	s = (uint16_t)rng_below(&b->rng, n);
	for (i = 0; i < n; i++, s = (s + 1) % n)
		if (b->servers[s].known && !b->servers[s].leaving && s != avoid)
			return s;
	return CF_NO_SERVER;
}

static uint16_t
pick_least_loaded(struct baseline *b, uint16_t avoid)
{
	uint16_t best = CF_NO_SERVER, s;

	for (s = 0; s < b->options.servers; s++) {
		if (!b->servers[s].known || b->servers[s].leaving || s == avoid)
			continue;
		if (best == CF_NO_SERVER ||
		    known_load(b, s) < known_load(b, best))
			best = s;
	}
	return best;
}

static uint16_t
pick_server(struct baseline *b, uint16_t avoid)
{
	uint16_t s, other, i;

	switch (b->rule->server) {
	case SERVER_ROTATE:
		for (i = 0; i < b->options.servers; i++) {
			s = (uint16_t)(b->rotation++ % b->options.servers);
			if (b->servers[s].known && !b->servers[s].leaving &&
			    s != avoid)
				return s;
		}
		return CF_NO_SERVER;
	case SERVER_LEAST_LOAD:
		return pick_least_loaded(b, avoid);
	default:
		s = pick_random_usable(b, avoid);
		other = pick_random_usable(b, s);
		if (other != CF_NO_SERVER && other != avoid &&
		    known_load(b, other) < known_load(b, s))
			return other;
		return s;
	}
}

static uint64_t
allowed_versions(const struct baseline *b, uint16_t workspace)
{
	uint64_t mask = 0;
	uint32_t v;

	for (v = 0; v < b->cfg->version_count; v++)
		if (cfg_version_allowed(
			b->cfg, workspace, v, b->options.data_centre))
			mask |= UINT64_C(1) << v;
	return mask;
}

/* Returns the cheapest or the most expensive version of a mask. */
static uint16_t
version_at_cost_extreme(
    const struct baseline *b, uint64_t mask, bool most_expensive)
{
	uint16_t v, best = CFG_NONE;

	for (v = 0; v < b->cfg->version_count; v++)
		if ((mask >> v & 1) != 0 &&
		    (best == CFG_NONE ||
			(b->cfg->versions[v].cost_micro >
			    b->cfg->versions[best].cost_micro) ==
			    most_expensive))
			best = v;
	return best;
}

/*
 * Returns the cheapest version whose mean pass share less a margin of 10
 * permille meets the target, or the most expensive one if none does.
 */
static uint16_t
lower_bound_version(
    const struct baseline *b, const struct cf_request *r, uint64_t mask)
{
	uint16_t v, best = CFG_NONE, target;

	target = b->cfg->workspaces[r->workspace].target_permille;
	for (v = 0; v < b->cfg->version_count; v++)
		if ((mask >> v & 1) != 0 &&
		    qual_pass_share(b->qual, r->workspace, v, r->task_class) *
				1000 -
			    10 >=
			target &&
		    (best == CFG_NONE || b->cfg->versions[v].cost_micro <
					     b->cfg->versions[best].cost_micro))
			best = v;
	return best != CFG_NONE ? best : version_at_cost_extreme(b, mask, true);
}

static void
make_chain(struct qual_chain *chain, uint16_t first, uint16_t next)
{
	memset(chain, 0, sizeof(*chain));
	chain->count = next != CFG_NONE && next != first ? 2 : 1;
	chain->versions[0] = first;
	chain->versions[1] = next;
}

static void
choose_quality(struct baseline *b, const struct cf_request *r, uint64_t mask,
    struct qual_chain *chain)
{
	struct qual_query query;

	memset(&query, 0, sizeof(query));
	query.workspace = r->workspace;
	query.task_class = r->task_class;
	query.rolling_open = rollout_open_versions(
	    b->rollout, (uint16_t)rng_below(&b->rng, 1000));
	query.candidates = mask & query.rolling_open;
	query.may_escalate = !r->streaming;
	qual_choose_chain(b->qual, &b->rng, &query, chain);
}

static void
choose_chain(
    struct baseline *b, const struct cf_request *r, struct qual_chain *chain)
{
	uint64_t mask = allowed_versions(b, r->workspace);
	uint32_t v, i;

	switch (b->rule->chain) {
	case CHAIN_ROTATE:
		for (i = 0, v = 0; i < WORLD_VERSIONS; i++) {
			v = (uint16_t)(b->rotation / b->options.servers + i) %
			    WORLD_VERSIONS;
			if (mask >> v & 1)
				break;
		}
		make_chain(chain, v, CFG_NONE);
		break;
	case CHAIN_BEST:
		make_chain(
		    chain, version_at_cost_extreme(b, mask, true), CFG_NONE);
		break;
	case CHAIN_FIXED:
		make_chain(chain, version_at_cost_extreme(b, mask, false),
		    r->streaming ? CFG_NONE
				 : version_at_cost_extreme(b, mask, true));
		break;
	case CHAIN_ORACLE:
	case CHAIN_BLIND_ORACLE:
		oracle_chain(b->options.world,
		    b->options.request(b->options.ctx, r->id),
		    b->options.oracle_price[r->workspace], mask,
		    b->rule->chain == CHAIN_BLIND_ORACLE, chain);
		break;
	case CHAIN_LOWER_BOUND:
		make_chain(chain, lower_bound_version(b, r, mask), CFG_NONE);
		break;
	default:
		choose_quality(b, r, mask, chain);
	}
}

static struct cf_action *
add_action(
    struct cf_actions *actions, enum cf_action_kind kind, uint32_t request)
{
	struct cf_action *a = &actions->items[actions->count++];

	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->request = request;
	return a;
}

static void
refuse(struct open_request *q, struct cf_actions *actions, int error)
{
	struct cf_action *a = add_action(actions, CF_ACT_REFUSE, q->id);

	a->error = error;
	a->retry_after_ms = 1000;
	q->used = false;
}

static void
dispatch(struct baseline *b, struct open_request *q, uint16_t avoid,
    int64_t now_us, struct cf_actions *actions)
{
	struct cf_action *a;
	uint16_t s = pick_server(b, avoid);

	if (s == CF_NO_SERVER && avoid != CF_NO_SERVER)
		s = pick_server(b, CF_NO_SERVER);
	if (s == CF_NO_SERVER || q->chain.count == 0) {
		refuse(q, actions, ERR_NO_SERVER);
		return;
	}
	q->server = s;
	q->sent_us = now_us;
	b->servers[s].sent++;
	b->servers[s].running++;
	a = add_action(actions, CF_ACT_DISPATCH, q->id);
	a->attempt = q->attempts++;
	a->server = s;
	a->version = q->chain.versions[q->chain_index];
	if (b->rollout != NULL)
		rollout_add_served(b->rollout, a->version, now_us);
}

static void
on_request(struct baseline *b, const struct cf_request *r, int64_t now_us,
    struct cf_actions *actions)
{
	struct open_request *q = &b->open[r->id % OPEN_MAX];

	memset(q, 0, sizeof(*q));
	q->id = r->id;
	q->used = true;
	q->workspace = r->workspace;
	q->task_class = r->task_class;
	q->streaming = r->streaming;
	q->deadline_us = r->deadline_us;
	choose_chain(b, r, &q->chain);
	dispatch(b, q, CF_NO_SERVER, now_us, actions);
}

/* Makes a version's evidence its reference unless the version is suspected. */
static void
set_reference_if_unsuspected(struct baseline *b, uint16_t version)
{
	if (b->rollout != NULL && rollout_is_unsuspected(b->rollout, version))
		qual_set_reference(b->qual, version);
}

static void
learn_outcome(
    struct baseline *b, const struct open_request *q, bool good, int64_t now_us)
{
	uint16_t v = q->chain.versions[q->chain_index];
	bool escalated = q->chain_index > 0;

	if (b->rollout == NULL)
		return;
	rollout_add_outcome(b->rollout, v, good,
	    qual_expected_good_share(
		b->qual, q->workspace, v, q->task_class, escalated),
	    now_us);
	if (escalated)
		qual_add_escalated_outcome(
		    b->qual, q->workspace, v, q->task_class, good, now_us);
	else
		qual_add_outcome(
		    b->qual, q->workspace, v, q->task_class, good, now_us);
	set_reference_if_unsuspected(b, v);
}

static void
on_done(struct baseline *b, const struct cf_attempt *t, int64_t now_us,
    struct cf_actions *actions)
{
	struct open_request *q = find_open_request(b, t->request);
	struct cf_action *a;
	bool good;

	if (q == NULL)
		return;
	b->servers[q->server].running--;
	good = !t->defective && t->score_permille >= QUAL_SCORE_LOW_PERMILLE;
	learn_outcome(b, q, good, now_us);
	if (!good && q->chain_index + 1 < q->chain.count &&
	    now_us < q->deadline_us) {
		q->chain_index++;
		dispatch(b, q, CF_NO_SERVER, now_us, actions);
		return;
	}
	a = add_action(actions, CF_ACT_ANSWER, q->id);
	a->attempt = t->attempt;
	a->place = CF_ALONE;
	if (q->chain.count > 1)
		a->place = q->chain_index > 0 ? CF_ESCALATED : CF_KEPT;
	q->used = false;
}

static void
on_failed(struct baseline *b, const struct cf_attempt *t, int64_t now_us,
    struct cf_actions *actions)
{
	struct open_request *q = find_open_request(b, t->request);

	if (q == NULL)
		return;
	b->servers[q->server].running--;
	if (q->retries++ < RETRIES_MAX)
		dispatch(b, q, q->server, now_us, actions);
	else
		refuse(q, actions, t->error);
}

static void
on_announce(struct baseline *b, const struct cf_announce *a)
{
	struct server *s = &b->servers[a->server];

	s->known = true;
	s->leaving = a->leaving;
	s->slots = a->slots;
	s->reported = a->running + a->queued;
	s->sent = 0;
}

static void
on_rating(struct baseline *b, const struct cf_rating *r, int64_t now_us)
{
	if (b->rollout != NULL)
		rollout_add_rating(b->rollout, r->version, r->passed,
		    qual_expected_pass_share(b->qual, r), now_us);
	if (b->qual != NULL)
		qual_add_rating(b->qual, r, now_us);
	set_reference_if_unsuspected(b, r->version);
}

static void
on_config(struct baseline *b, const struct cfg *cfg)
{
	b->cfg = cfg;
	if (b->qual != NULL)
		qual_configure(b->qual, cfg);
	if (b->rollout != NULL)
		rollout_configure(b->rollout, cfg);
}

static void
baseline_step(struct policy *policy, int64_t now_us,
    const struct cf_event *event, struct cf_actions *actions)
{
	struct baseline *b = (struct baseline *)policy;
	struct open_request *q;

	actions->count = 0;
	switch (event->kind) {
	case CF_EV_CONFIG:
		on_config(b, event->u.config);
		break;
	case CF_EV_ANNOUNCE:
		on_announce(b, &event->u.announce);
		break;
	case CF_EV_SERVER_GONE:
		b->servers[event->u.gone.server].known = false;
		break;
	case CF_EV_REQUEST:
		on_request(b, &event->u.request, now_us, actions);
		break;
	case CF_EV_FIRST_TOKEN:
		q = find_open_request(b, event->u.attempt.request);
		if (q != NULL && b->rollout != NULL)
			rollout_add_latency(b->rollout,
			    q->chain.versions[q->chain_index],
			    (uint32_t)(now_us - q->sent_us), now_us);
		break;
	case CF_EV_DONE:
		on_done(b, &event->u.attempt, now_us, actions);
		break;
	case CF_EV_FAILED:
		on_failed(b, &event->u.attempt, now_us, actions);
		break;
	case CF_EV_DIGEST:
		if (b->rollout != NULL)
			rollout_merge_digest(
			    b->rollout, &event->u.digest, now_us);
		break;
	case CF_EV_RATING:
		on_rating(b, &event->u.rating, now_us);
		break;
	default:
		break;
	}
}

static void
baseline_release(struct policy *policy)
{
	struct baseline *b = (struct baseline *)policy;

	qual_free(b->qual);
	rollout_free(b->rollout);
	free(b->open);
	free(b);
}

static struct rollout *
baseline_get_rollout(struct policy *policy)
{
	return ((struct baseline *)policy)->rollout;
}

static size_t
baseline_digests(struct policy *policy, struct cf_digest *out, size_t max)
{
	struct baseline *b = (struct baseline *)policy;

	return b->rollout != NULL ? rollout_take_digests(b->rollout, out, max)
				  : 0;
}

static const struct policy_vtable baseline_vtable = {
    baseline_step, baseline_release, baseline_get_rollout, baseline_digests};

static struct policy *
baseline_make(
    const struct policy_kind *kind, const struct policy_options *options)
{
	const struct baseline_kind *rule = (const struct baseline_kind *)kind;
	struct rollout_options rollout_options = {0};
	struct baseline *b = calloc(1, sizeof(*b));

	b->policy.vtable = &baseline_vtable;
	b->rule = rule;
	b->options = *options;
	b->open = calloc(OPEN_MAX, sizeof(*b->open));
	rng_init(&b->rng, options->seed);
	b->rotation = rng_below(&b->rng, 1000);
	if (rule->chain == CHAIN_QUALITY || rule->chain == CHAIN_LOWER_BOUND)
		b->qual = qual_new(NULL);
	rollout_options.instances = WORLD_INSTANCES;
	if (rule->chain == CHAIN_QUALITY)
		b->rollout = rollout_new_with(&rollout_options);
	return &b->policy;
}

static const struct baseline_kind kinds[] = {
    {{"direct", baseline_make, true}, CHAIN_QUALITY, SERVER_BEST_OF_TWO},
    {{"lower-bound", baseline_make, true}, CHAIN_LOWER_BOUND,
	SERVER_BEST_OF_TWO},
    {{"oracle", baseline_make, false}, CHAIN_ORACLE, SERVER_BEST_OF_TWO},
    {{"blind-oracle", baseline_make, false}, CHAIN_BLIND_ORACLE,
	SERVER_BEST_OF_TWO},
    {{"always-best", baseline_make, false}, CHAIN_BEST, SERVER_BEST_OF_TWO},
    {{"fixed-cascade", baseline_make, false}, CHAIN_FIXED, SERVER_BEST_OF_TWO},
    {{"round-robin", baseline_make, false}, CHAIN_ROTATE, SERVER_ROTATE},
    {{"least-load", baseline_make, false}, CHAIN_ROTATE, SERVER_LEAST_LOAD},
};

const struct policy_kind *const policy_kinds[] = {&policy_router,
    &kinds[0].kind, &kinds[1].kind, &kinds[2].kind, &kinds[3].kind,
    &kinds[4].kind, &kinds[5].kind, &kinds[6].kind, &kinds[7].kind};
const size_t policy_kind_count = sizeof(policy_kinds) / sizeof(policy_kinds[0]);
