#ifndef CF_CFG_H
#define CF_CFG_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One compiled configuration revision, as the router reads it; immutable once
 * compiled.  An index refers to the same data centre, model, version, service
 * or workspace in every later revision of the process: an entry that is removed
 * from the document keeps its index, with present == false.
 */
enum {
	CFG_NAME_BYTES = 64,
	CFG_VERSIONS_MAX = 64, /* one bit each in version masks */
	CFG_DATA_CENTRES_MAX = 16, /* one bit each in data centre masks */
	CFG_KEY_HASH_BYTES = 32,
	CFG_NONE = 0xffff /* no index */
};

struct cfg_data_centre {
	char name[CFG_NAME_BYTES];
	char region[CFG_NAME_BYTES];
	bool present;
	bool out; /* taken out of service by operators */
};

struct cfg_model {
	char name[CFG_NAME_BYTES];
	bool present;
};

enum cfg_version_state {
	CFG_RELEASED,
	CFG_ROLLING, /* in roll-out: exposure is capped and monitored */
	CFG_WITHDRAWN /* receives no new work */
};

struct cfg_version {
	char name[CFG_NAME_BYTES];
	bool present;
	uint16_t model;
	enum cfg_version_state state;
	uint16_t stage_permille; /* share of traffic while CFG_ROLLING */
	uint32_t cost_micro; /* 1e-6 price units per 1,000 output tokens */
	uint16_t prior_permille; /* expected share of answers that pass */
	bool serve_isolated; /* served after the configuration lease ended */
	uint16_t unrated_max; /* cap on unrated answers while CFG_ROLLING */
};

struct cfg_service {
	char name[CFG_NAME_BYTES];
	bool present;
	bool idempotent; /* a call may be repeated */
	uint32_t timeout_ms;
};

struct cfg_workspace {
	char name[CFG_NAME_BYTES];
	bool present;
	uint8_t key_hash[CFG_KEY_HASH_BYTES]; /* crypto_generichash */
	uint64_t versions; /* mask of versions it may use */
	uint64_t services; /* mask of services it may call */
	uint32_t data_centres; /* mask of data centres it may run in */
	uint16_t priority; /* 0 is served first when capacity is scarce */
	uint16_t weight; /* share under contention */
	uint16_t target_permille; /* share of answers that must pass */
	uint32_t deadline_ms; /* to the first token, if the caller sets none */
	uint32_t rate_per_s; /* 0: no limit */
	uint32_t retry_permille; /* retries and hedges per 1,000 successes */
};

struct cfg {
	uint64_t revision;
	uint16_t data_centre_count;
	uint16_t model_count;
	uint16_t version_count;
	uint16_t service_count;
	uint16_t workspace_count;
	struct cfg_data_centre *data_centres;
	struct cfg_model *models;
	struct cfg_version *versions;
	struct cfg_service *services;
	struct cfg_workspace *workspaces;
};

/*
 * Whether a workspace may run a version in a data centre now.  The last check
 * at the dispatch of every attempt, after any wait in the queue.
 */
static inline bool
cfg_version_allowed(const struct cfg *cfg, uint16_t workspace, uint16_t version,
    uint16_t data_centre)
{
	const struct cfg_workspace *w;
	const struct cfg_version *v;

	if (workspace >= cfg->workspace_count ||
	    version >= cfg->version_count ||
	    data_centre >= cfg->data_centre_count)
		return false;
	w = &cfg->workspaces[workspace];
	v = &cfg->versions[version];
	return w->present && v->present && v->state != CFG_WITHDRAWN &&
	       (w->versions >> version & 1) != 0 &&
	       (w->data_centres >> data_centre & 1) != 0 &&
	       cfg->data_centres[data_centre].present &&
	       !cfg->data_centres[data_centre].out;
}

/* Whether a workspace may call a plain service in a data centre now. */
static inline bool
cfg_service_allowed(const struct cfg *cfg, uint16_t workspace, uint16_t service,
    uint16_t data_centre)
{
	const struct cfg_workspace *w;

	if (workspace >= cfg->workspace_count ||
	    service >= cfg->service_count ||
	    data_centre >= cfg->data_centre_count)
		return false;
	w = &cfg->workspaces[workspace];
	return w->present && cfg->services[service].present &&
	       (w->services >> service & 1) != 0 &&
	       (w->data_centres >> data_centre & 1) != 0 &&
	       cfg->data_centres[data_centre].present &&
	       !cfg->data_centres[data_centre].out;
}

#ifdef __cplusplus
}
#endif

#endif
