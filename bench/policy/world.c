#include "policy/world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

const struct world_user world_users[] = {
    {"saddle", 5, 1000, 2000, 20, 0.5, {30, 22, 15, 10, 8, 5, 4, 3, 2, 1},
	{920, 900, 910, 880, 900, 930, 870, 900, 850, 900}},
    {"estiva", 3, 3000, 6000, 12, 0.6, {34, 24, 14, 9, 6, 4, 3, 3, 2, 1},
	{900, 910, 880, 900, 920, 870, 900, 850, 890, 900}},
};
const size_t world_user_count = sizeof(world_users) / sizeof(world_users[0]);

const uint32_t world_cost_micro[WORLD_VERSIONS] = {700, 2800, 12000, 700};
const double world_token_us[WORLD_VERSIONS] = {6000, 10000, 18000, 6000};

/* Log-odds that the answer to a request of difficulty 0 passes. */
static const double ability[WORLD_VERSIONS] = {2.0, 3.0, 4.0, 2.05};
static const uint16_t priors[WORLD_VERSIONS] = {800, 890, 950, 800};
static const double class_difficulty[WORLD_CLASSES] = {-0.6, 0, 0.5, 1.1};
static const double class_share[WORLD_CLASSES] = {0.3, 0.35, 0.2, 0.15};

#define PREFILL_BASE_US 40000.0
#define PREFILL_TOKEN_US 90.0

static double
draw_standard_normal(struct rng *rng)
{
	double u = 1 - rng_unit(rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * rng_unit(rng));
}

static uint16_t
draw_weighted_index(struct rng *rng, const uint64_t *shares, uint16_t count)
{
	uint32_t total = 0, at;
	uint32_t i;

	for (i = 0; i < count; i++)
		total += (uint32_t)shares[i];
	at = rng_below(rng, total);
	for (i = 0; i + 1 < count && at >= shares[i]; i++)
		at -= (uint32_t)shares[i];
	return i;
}

/* Returns the offset of a workspace's difficulty from the mean, in log-odds. */
double
world_workspace_difficulty(uint16_t workspace)
{
	return 0.125 * (workspace * 7 % 5 - 2);
}

double
world_usual_difficulty(const struct world_request *r)
{
	return class_difficulty[r->task_class] +
	       world_workspace_difficulty(r->workspace);
}

/* Draws a request from the user's traffic. */
void
world_draw_request(
    const struct world *world, struct rng *rng, struct world_request *r)
{
	double at = rng_unit(rng);
	uint16_t c = 0;

	r->workspace =
	    draw_weighted_index(rng, world->user->shares, WORLD_WORKSPACES);
	while (c + 1 < WORLD_CLASSES && at >= class_share[c])
		at -= class_share[c++];
	r->task_class = c;
	r->streaming = rng_unit(rng) < world->user->stream_share;
	r->difficulty = world_usual_difficulty(r) +
			WORLD_REQUEST_SPREAD * draw_standard_normal(rng);
	r->prompt_tokens = 200 + rng_below(rng, 1800);
	r->output_tokens = 80 + rng_below(rng, 240);
}

/* Returns the probability that a version's answer passes. */
double
world_pass_probability(
    const struct world *world, const struct world_request *r, uint16_t version)
{
	double p = 1 / (1 + exp(r->difficulty - ability[version]));

	return fmax(p - world->drop[version], 0);
}

double
world_prefill_us(const struct world_request *r)
{
	return PREFILL_BASE_US + PREFILL_TOKEN_US * r->prompt_tokens;
}

double
world_service_us(const struct world_request *r, uint16_t version)
{
	return world_prefill_us(r) + world_token_us[version] * r->output_tokens;
}

/* Returns the probability that an answer gets a low quick score. */
double
world_low_score_probability(double pass)
{
	return WORLD_SCORED_SHARE * (pass * WORLD_LOW_SCORE_IF_PASSED +
					(1 - pass) * WORLD_LOW_SCORE_IF_FAILED);
}

static void
fill_version(struct cfg_version *v, uint16_t i)
{
	snprintf(v->name, sizeof(v->name), "version-%u", i);
	v->present = true;
	v->model = i;
	v->state = i == WORLD_NEW ? CFG_WITHDRAWN : CFG_RELEASED;
	v->stage_permille = 100;
	v->cost_micro = world_cost_micro[i];
	v->prior_permille = priors[i];
	v->unrated_max = 40;
}

static void
fill_workspace(
    struct cfg_workspace *w, const struct world_user *user, uint16_t i)
{
	snprintf(w->name, sizeof(w->name), "workspace-%u", i);
	w->present = true;
	w->versions = (1 << WORLD_VERSIONS) - 1;
	w->data_centres = (1 << WORLD_DATA_CENTRES) - 1;
	w->priority = i % 3;
	w->weight = (uint16_t)user->shares[i];
	w->target_permille = user->targets[i];
	w->deadline_ms = 1500;
	w->retry_permille = 100;
}

struct cfg *
world_cfg_new(const struct world_user *user)
{
	struct cfg *cfg = calloc(1, sizeof(*cfg));
	uint32_t i;

	cfg->revision = 1;
	cfg->data_centre_count = WORLD_DATA_CENTRES;
	cfg->model_count = WORLD_VERSIONS;
	cfg->version_count = WORLD_VERSIONS;
	cfg->workspace_count = WORLD_WORKSPACES;
	cfg->data_centres =
	    calloc(WORLD_DATA_CENTRES, sizeof(*cfg->data_centres));
	cfg->models = calloc(WORLD_VERSIONS, sizeof(*cfg->models));
	cfg->versions = calloc(WORLD_VERSIONS, sizeof(*cfg->versions));
	cfg->workspaces = calloc(WORLD_WORKSPACES, sizeof(*cfg->workspaces));
	for (i = 0; i < WORLD_DATA_CENTRES; i++)
		cfg->data_centres[i].present = true;
	for (i = 0; i < WORLD_VERSIONS; i++) {
		cfg->models[i].present = true;
		fill_version(&cfg->versions[i], i);
	}
	for (i = 0; i < WORLD_WORKSPACES; i++)
		fill_workspace(&cfg->workspaces[i], user, i);
	return cfg;
}

void
world_cfg_free(struct cfg *cfg)
{
	free(cfg->data_centres);
	free(cfg->models);
	free(cfg->versions);
	free(cfg->workspaces);
	free(cfg);
}
