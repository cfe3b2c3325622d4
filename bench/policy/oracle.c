#include <math.h>
#include <string.h>

#include "policy/policy.h"

/*
 * The oracle knows the pass probability of each request on each version and the
 * error rates of quick scores, but not the outcome of an attempt.  The blind
 * oracle knows only the averages of a workspace and task class.
 */

enum {
	ORACLE_SAMPLE = 4000, /* requests */
	BLIND_SAMPLE = 800, /* requests */
	RELEASED_MASK = 7, /* every version but WORLD_NEW */
	ORACLE_BISECTION_STEPS = 20,
	GRID_POINTS_PER_SIDE = 6
};

#define GRID_STEP 0.5 /* standard deviations of difficulty */

struct chain_value {
	double pass; /* probability */
	double cost; /* 1e-6 */
};

static double
answer_cost(const struct world_request *r, uint16_t version)
{
	return world_cost_micro[version] * (double)r->output_tokens / 1000;
}

/*
 * Returns the expected value of a chain whose second version, if any, answers
 * after a low quick score of the first.
 */
static struct chain_value
chain_value_of(const struct world *world, const struct world_request *r,
    uint16_t first, uint16_t next)
{
	struct chain_value v;
	double p, f;

	p = world_pass_probability(world, r, first);
	v.pass = p;
	v.cost = answer_cost(r, first);
	if (next == CFG_NONE)
		return v;
	f = world_low_score_probability(p);
	v.pass = p * (1 - WORLD_SCORED_SHARE * WORLD_LOW_SCORE_IF_PASSED) +
		 f * world_pass_probability(world, r, next);
	v.cost += f * answer_cost(r, next);
	return v;
}

/*
 * Returns the value averaged over the normal distribution of difficulty in the
 * request's workspace and class, which needs no knowledge of the request
 * itself.
 */
static struct chain_value
mean_chain_value(const struct world *world, const struct world_request *r,
    uint16_t first, uint16_t next)
{
	struct chain_value sum = {0, 0}, v;
	struct world_request other = *r;
	double weight, total = 0;
	int z;

	for (z = -GRID_POINTS_PER_SIDE; z <= GRID_POINTS_PER_SIDE; z++) {
		weight = exp(-0.5 * z * z * GRID_STEP * GRID_STEP);
		other.difficulty = world_usual_difficulty(r) +
				   WORLD_REQUEST_SPREAD * z * GRID_STEP;
		v = chain_value_of(world, &other, first, next);
		sum.pass += weight * v.pass;
		sum.cost += weight * v.cost;
		total += weight;
	}
	sum.pass /= total;
	sum.cost /= total;
	return sum;
}

/* Finds the chain with the highest price * pass - cost. */
static struct chain_value
choose_best_chain(const struct world *world, const struct world_request *r,
    double price, uint64_t allowed, bool blind, struct qual_chain *chain)
{
	struct chain_value best = {0, 0}, v;
	uint32_t a, b;
	bool found = false;

	memset(chain, 0, sizeof(*chain));
	for (a = 0; a < WORLD_VERSIONS; a++) {
		for (b = 0; b <= WORLD_VERSIONS; b++) {
			if (!(allowed >> a & 1) || a == b ||
			    (b < WORLD_VERSIONS &&
				(r->streaming || !(allowed >> b & 1))))
				continue;
			v = (blind ? mean_chain_value : chain_value_of)(
			    world, r, a, b < WORLD_VERSIONS ? b : CFG_NONE);
			if (found && price * v.pass - v.cost <=
					 price * best.pass - best.cost)
				continue;
			found = true;
			best = v;
			chain->versions[0] = a;
			chain->versions[1] = b;
			chain->count = b < WORLD_VERSIONS ? 2 : 1;
		}
	}
	return best;
}

/* Finds the best chain for a request; price is 1e-6 for each passed answer. */
void
oracle_chain(const struct world *world, const struct world_request *r,
    double price, uint64_t allowed, bool blind, struct qual_chain *chain)
{
	choose_best_chain(world, r, price, allowed, blind, chain);
}

static double
sample_pass(const struct world *world, uint64_t seed, uint16_t workspace,
    double price, bool blind)
{
	struct world_request r;
	struct qual_chain chain;
	struct rng rng;
	double sum = 0;
	int i, n = blind ? BLIND_SAMPLE : ORACLE_SAMPLE;

	rng_init(&rng, seed);
	for (i = 0; i < n; i++) {
		world_draw_request(world, &rng, &r);
		r.difficulty += world_workspace_difficulty(workspace) -
				world_workspace_difficulty(r.workspace);
		r.workspace = workspace;
		sum += choose_best_chain(
		    world, &r, price, RELEASED_MASK, blind, &chain)
			   .pass;
	}
	return sum / n;
}

/*
 * Finds the price at which each workspace just meets its target, by bisection
 * of the logarithm over a sample of requests.
 */
void
oracle_prices(const struct world *world, uint64_t seed, bool blind,
    double prices[WORLD_WORKSPACES])
{
	double low, high, mid, target;
	uint32_t w;
	int i;

	for (w = 0; w < WORLD_WORKSPACES; w++) {
		low = 0;
		high = 14;
		target = world->user->targets[w] / 1000.0;
		for (i = 0; i < ORACLE_BISECTION_STEPS; i++) {
			mid = (low + high) / 2;
			if (sample_pass(world, seed, w, exp(mid), blind) <
			    target)
				low = mid;
			else
				high = mid;
		}
		prices[w] = exp(high);
	}
}
