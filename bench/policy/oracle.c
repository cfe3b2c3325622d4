#include <math.h>
#include <string.h>

#include "policy/policy.h"

/*
 * The oracle knows the pass probability of each request on each version, and
 * how well quick scores tell; it draws no outcome in advance.  The blind oracle
 * knows only the averages of a workspace and class.
 */

enum {
	ORACLE_SAMPLE = 4000,
	BLIND_SAMPLE = 800,
	RELEASED_MASK = 7,
	ORACLE_STEPS = 20,
	GRID = 6
};

#define GRID_STEP 0.5

struct chain_value {
	double pass;
	double cost;
};

static double
cost_of(const struct world_request *r, uint16_t version)
{
	return world_cost_micro[version] * (double)r->output_tokens / 1000;
}

static struct chain_value
value_of(const struct world *world, const struct world_request *r,
    uint16_t first, uint16_t next)
{
	struct chain_value v;
	double p, f;

	p = world_pass(world, r, first);
	v.pass = p;
	v.cost = cost_of(r, first);
	if (next == CFG_NONE)
		return v;
	f = world_flagged(p);
	v.pass = p * (1 - WORLD_SCORED * WORLD_LOW_IF_PASSED) +
		 f * world_pass(world, r, next);
	v.cost += f * cost_of(r, next);
	return v;
}

/*
 * The value averaged over requests of the same workspace and class: what can
 * be known without looking into the request.
 */
static struct chain_value
mean_value_of(const struct world *world, const struct world_request *r,
    uint16_t first, uint16_t next)
{
	struct chain_value sum = {0, 0}, v;
	struct world_request other = *r;
	double weight, total = 0;
	int z;

	for (z = -GRID; z <= GRID; z++) {
		weight = exp(-0.5 * z * z * GRID_STEP * GRID_STEP);
		other.difficulty = world_usual_difficulty(r) +
				   WORLD_REQUEST_SPREAD * z * GRID_STEP;
		v = value_of(world, &other, first, next);
		sum.pass += weight * v.pass;
		sum.cost += weight * v.cost;
		total += weight;
	}
	sum.pass /= total;
	sum.cost /= total;
	return sum;
}

static struct chain_value
choose(const struct world *world, const struct world_request *r, double price,
    uint64_t allowed, bool blind, struct qual_chain *chain)
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
			v = (blind ? mean_value_of : value_of)(
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

/* Gives the chain with the best value at a price. */
void
oracle_chain(const struct world *world, const struct world_request *r,
    double price, uint64_t allowed, bool blind, struct qual_chain *chain)
{
	choose(world, r, price, allowed, blind, chain);
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
		world_draw(world, &rng, &r);
		r.difficulty += world_workspace_difficulty(workspace) -
				world_workspace_difficulty(r.workspace);
		r.workspace = workspace;
		sum +=
		    choose(world, &r, price, RELEASED_MASK, blind, &chain).pass;
	}
	return sum / n;
}

/* Finds each workspace's price by bisection over a sample of requests. */
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
		for (i = 0; i < ORACLE_STEPS; i++) {
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
