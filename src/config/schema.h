#ifndef CF_SCHEMA_H
#define CF_SCHEMA_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "config/section.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The keys of each group of sections, parsed with libcyaml.  An absent key
 * reads as 0; docs/CONFIGURATION.md and compile.c define what 0 means for each
 * key.
 */
enum schema_group {
	SCHEMA_TEAMS,
	SCHEMA_DATA_CENTRES,
	SCHEMA_VERSIONS,
	SCHEMA_SERVICES,
	SCHEMA_WORKSPACES,
	SCHEMA_REPLICAS, /* maintained by the state replicas */
	SCHEMA_GROUPS /* number of groups */
};

/* Whether an isolated instance still serves a version. */
enum schema_isolated {
	ISOLATED_DEFAULT, /* only a released version is served */
	ISOLATED_SERVE,
	ISOLATED_STOP
};

struct schema_team {
	char *key_hash; /* of the operator key, hexadecimal */
	char **owns; /* fnmatch(3) patterns of section paths */
	uint32_t owns_count;
};

struct schema_data_centre {
	char *region;
	uint32_t state; /* 0: "in", 1: "out" */
};

struct schema_version {
	char *model;
	uint32_t state; /* enum cfg_version_state */
	uint32_t stage_permille;
	uint32_t cost_micro;
	uint32_t prior_permille;
	uint32_t unrated_max;
	uint32_t when_isolated; /* enum schema_isolated */
};

struct schema_service {
	bool idempotent;
	uint32_t timeout_ms;
};

struct schema_workspace {
	char *key_hash; /* of the API key, hexadecimal */
	uint32_t priority;
	uint32_t weight;
	uint32_t target_permille;
	uint32_t deadline_ms;
	uint32_t rate_per_s;
	uint32_t retry_permille;
	char **versions; /* fnmatch(3) patterns, as the two below */
	uint32_t versions_count;
	char **services;
	uint32_t services_count;
	char **data_centres;
	uint32_t data_centres_count;
};

struct schema_replicas {
	uint64_t epoch; /* log index of the membership; only increases */
	char **voters; /* "INSTANCE@IDENTITY" */
	uint32_t voters_count;
};

const char *schema_group_name(enum schema_group group);
int schema_group_from_path(const char *path);
void *schema_load(enum schema_group group, const struct section *section,
    struct section_problems *problems);
void schema_free(enum schema_group group, void *data);
void schema_print_keys(struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
