#ifndef BENCH_POLICY_H
#define BENCH_POLICY_H

#include "celeryford.h"
#include "core/quality.h"
#include "core/rollout.h"
#include "policy/world.h"

/*
 * A policy makes the routing decisions of one entry instance.  It handles the
 * events of celeryford.h and returns actions; baselines ignore the events that
 * they don't need.
 */
struct policy_options {
	uint64_t seed;
	uint16_t data_centre;
	uint16_t instance;
	uint16_t servers; /* of the data centre */
	const struct world *world; /* read by the oracles only */
	const struct world_request *(*request)(void *ctx, uint32_t id);
	void *ctx;
	const double *oracle_price; /* one for each workspace */
};

struct policy;

struct policy_kind {
	const char *name;
	struct policy *(*make)(
	    const struct policy_kind *kind, const struct policy_options *);
	bool adapts; /* to ratings, digests and stopped versions */
};

extern const struct policy_kind policy_router;
extern const struct policy_kind *const policy_kinds[];
extern const size_t policy_kind_count;

struct policy_vtable {
	void (*step)(struct policy *policy, int64_t now_us,
	    const struct cf_event *event, struct cf_actions *actions);
	void (*release)(struct policy *policy);
	struct rollout *(*get_rollout)(struct policy *policy); /* may be NULL */
	size_t (*digests)(
	    struct policy *policy, struct cf_digest *out, size_t max);
};

struct policy {
	const struct policy_vtable *vtable; /* first member */
};

/* Finds the prices at which an oracle just meets every workspace's target. */
void oracle_prices(const struct world *world, uint64_t seed, bool blind,
    double prices[WORLD_WORKSPACES]);

/* Finds the oracle's chain for one request at a price. */
void oracle_chain(const struct world *world,
    const struct world_request *request, double price, uint64_t allowed,
    bool blind, struct qual_chain *chain);

#endif
