#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include <stddef.h>

#include "base/rng.h"
#include "core/cfg.h"

/*
 * What the bench knows and the router does not: how hard each request is, and
 * with which probability an answer of each version passes.
 */
enum {
	WORLD_WORKSPACES = 10,
	WORLD_CLASSES = 4,
	WORLD_VERSIONS = 4,
	WORLD_SMALL = 0,
	WORLD_MIDDLE = 1,
	WORLD_LARGE = 2,
	WORLD_NEW = 3, /* the version that scenarios roll out */
	WORLD_DATA_CENTRES = 4,
	WORLD_INSTANCES = 8 /* two in each data centre */
};

struct world_user {
	const char *name;
	uint16_t model_servers; /* in each data centre */
	double network_us; /* to a backend server and back */
	double forward_us; /* to another data centre and back */
	double peak_per_s; /* requests of a day's peak */
	double stream_share; /* requests whose tokens pass on at once */
	uint64_t shares[WORLD_WORKSPACES]; /* of the traffic, percent */
	uint16_t targets[WORLD_WORKSPACES]; /* permille */
};

extern const struct world_user world_users[];
extern const size_t world_user_count;

/* One request as the world sees it. */
struct world_request {
	uint16_t workspace;
	uint16_t task_class;
	bool streaming;
	double difficulty;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
};

struct world {
	const struct world_user *user;
	double drop[WORLD_VERSIONS]; /* points of pass probability, 0 to 1 */
};

extern const uint32_t world_cost_micro[WORLD_VERSIONS];
extern const double world_token_us[WORLD_VERSIONS];

/* Quick scores: share of answers that get one, and of low ones. */
#define WORLD_SCORED 0.8
#define WORLD_LOW_IF_FAILED 0.75
#define WORLD_LOW_IF_PASSED 0.04

void world_draw(
    const struct world *world, struct rng *rng, struct world_request *request);
#define WORLD_REQUEST_SPREAD 0.8 /* log-odds, within a class */

double world_workspace_difficulty(uint16_t workspace);
double world_usual_difficulty(const struct world_request *request);
double world_pass(const struct world *world,
    const struct world_request *request, uint16_t version);
double world_service_us(const struct world_request *request, uint16_t version);
double world_prefill_us(const struct world_request *request);
double world_flagged(double pass);

/* The configuration that belongs to a user; world_cfg_free() frees it. */
struct cfg *world_cfg_new(const struct world_user *user);
void world_cfg_free(struct cfg *cfg);

#endif
