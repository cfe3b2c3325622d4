#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include <stddef.h>

#include "base/rng.h"
#include "core/cfg.h"

/*
 * The model of the simulation, hidden from the router: the difficulty of each
 * request and the probability that an answer of each version passes.
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
	double network_us; /* round trip to a backend server */
	double forward_us; /* round trip to another data centre */
	double peak_per_s; /* rate of requests at the peak of the day */
	double stream_share; /* share of requests that are streamed */
	uint64_t shares[WORLD_WORKSPACES]; /* percent of the traffic */
	uint16_t targets[WORLD_WORKSPACES]; /* quality, permille */
};

extern const struct world_user world_users[];
extern const size_t world_user_count;

/* Properties of one request. */
struct world_request {
	uint16_t workspace;
	uint16_t task_class;
	bool streaming;
	double difficulty; /* log-odds */
	uint32_t prompt_tokens;
	uint32_t output_tokens;
};

struct world {
	const struct world_user *user;
	double drop[WORLD_VERSIONS]; /* of the pass probability, 0 to 1 */
};

extern const uint32_t world_cost_micro[WORLD_VERSIONS];
extern const double world_token_us[WORLD_VERSIONS];

/*
 * Quick scores: share of answers that get one, and share of low scores by
 * outcome.
 */
#define WORLD_SCORED_SHARE 0.8
#define WORLD_LOW_SCORE_IF_FAILED 0.75
#define WORLD_LOW_SCORE_IF_PASSED 0.04

void world_draw_request(
    const struct world *world, struct rng *rng, struct world_request *request);
#define WORLD_REQUEST_SPREAD 0.8 /* deviation within a class, log-odds */

double world_workspace_difficulty(uint16_t workspace);
double world_usual_difficulty(const struct world_request *request);
double world_pass_probability(const struct world *world,
    const struct world_request *request, uint16_t version);
double world_service_us(const struct world_request *request, uint16_t version);
double world_prefill_us(const struct world_request *request);
double world_low_score_probability(double pass);

/* Creates the configuration of a user; world_cfg_free() frees it. */
struct cfg *world_cfg_new(const struct world_user *user);
void world_cfg_free(struct cfg *cfg);

#endif
