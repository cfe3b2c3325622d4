#include "config/compile.h"

#include <ctype.h>
#include <fnmatch.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "config/schema.h"

enum {
	DEFAULT_WEIGHT = 1,
	DEFAULT_TARGET_PERMILLE = 900,
	DEFAULT_DEADLINE_MS = 1500,
	DEFAULT_RETRY_PERMILLE = 100,
	DEFAULT_PRIOR_PERMILLE = 700,
	DEFAULT_UNRATED_MAX = 20,
	DEFAULT_COST_MICRO = 1000,
	DEFAULT_SERVICE_TIMEOUT_MS = 30000,
	PERMILLE = 1000,
	SERVICES_MAX = 64 /* services have one bit each in 64-bit masks */
};

struct compiler {
	const struct alloc *alloc;
	struct cfg *cfg;
	struct section_problems *problems;
};

/*
 * Returns the index of the entry with the given name, or -1.  The entries of
 * every table begin with their name.
 */
static int
find_name(const void *table, size_t count, size_t size, const char *name)
{
	const char *entry = table;

	for (size_t i = 0; i < count; i++, entry += size) {
		if (strcmp(entry, name) == 0)
			return (int)i;
	}
	return -1;
}

/* Returns the index of a version named "MODEL/VERSION", or -1. */
int
cfg_find_version(const struct cfg *cfg, const char *name)
{
	return find_name(
	    cfg->versions, cfg->version_count, sizeof(*cfg->versions), name);
}

/* Returns the index of a model, or -1. */
int
cfg_find_model(const struct cfg *cfg, const char *name)
{
	return find_name(
	    cfg->models, cfg->model_count, sizeof(*cfg->models), name);
}

/* Returns the index of a service, or -1. */
int
cfg_find_service(const struct cfg *cfg, const char *name)
{
	return find_name(
	    cfg->services, cfg->service_count, sizeof(*cfg->services), name);
}

/* Returns the index of a data centre, or -1. */
int
cfg_find_data_centre(const struct cfg *cfg, const char *name)
{
	return find_name(cfg->data_centres, cfg->data_centre_count,
	    sizeof(*cfg->data_centres), name);
}

static void
hash_key(const char *key, uint8_t hash[CFG_KEY_HASH_BYTES])
{
	crypto_generichash(hash, CFG_KEY_HASH_BYTES, (const uint8_t *)key,
	    strlen(key), NULL, 0);
}

/*
 * Returns the index of the workspace that an API key belongs to, or -1.  All
 * workspaces are compared, each in constant time, so that the time taken
 * reveals nothing about the keys.
 */
int
cfg_find_workspace_by_key(const struct cfg *cfg, const char *key)
{
	uint8_t hash[CFG_KEY_HASH_BYTES];
	int found = -1;

	hash_key(key, hash);
	for (int i = 0; i < cfg->workspace_count; i++) {
		const struct cfg_workspace *w = &cfg->workspaces[i];
		int same = sodium_memcmp(w->key_hash, hash, sizeof(hash)) == 0;

		if (same && w->present)
			found = i;
	}
	return found;
}

/* Returns a copy of a table with room for one more entry. */
static void *
copy_table(const struct compiler *c, const void *old, size_t count, size_t size)
{
	char *table = alloc_zero(c->alloc, count + 1, size);

	if (count > 0)
		memcpy(table, old, count * size);
	return table;
}

/*
 * Copies the tables of the previous revision and marks all entries as absent,
 * so that entries keep their indices.
 */
static struct cfg *
copy_previous(const struct compiler *c, const struct cfg *previous)
{
	static const struct cfg none;
	struct cfg *cfg = alloc_zero(c->alloc, 1, sizeof(*cfg));
	const struct cfg *p = previous != NULL ? previous : &none;

	*cfg = *p;
	cfg->data_centres = copy_table(
	    c, p->data_centres, p->data_centre_count, sizeof(*p->data_centres));
	cfg->models =
	    copy_table(c, p->models, p->model_count, sizeof(*p->models));
	cfg->versions =
	    copy_table(c, p->versions, p->version_count, sizeof(*p->versions));
	cfg->services =
	    copy_table(c, p->services, p->service_count, sizeof(*p->services));
	cfg->workspaces = copy_table(
	    c, p->workspaces, p->workspace_count, sizeof(*p->workspaces));
	for (int i = 0; i < cfg->data_centre_count; i++)
		cfg->data_centres[i].present = false;
	for (int i = 0; i < cfg->model_count; i++)
		cfg->models[i].present = false;
	for (int i = 0; i < cfg->version_count; i++)
		cfg->versions[i].present = false;
	for (int i = 0; i < cfg->service_count; i++)
		cfg->services[i].present = false;
	for (int i = 0; i < cfg->workspace_count; i++)
		cfg->workspaces[i].present = false;
	return cfg;
}

/* Returns the index of a name in a table; appends an entry if it is new. */
static uint16_t
intern(const struct compiler *c, void **table, uint16_t *count, size_t size,
    const char *name)
{
	int found = find_name(*table, *count, size, name);

	if (found >= 0)
		return (uint16_t)found;
	*table = alloc_resize(c->alloc, *table, ((size_t)*count + 1) * size);
	memset((char *)*table + *count * size, 0, size);
	snprintf((char *)*table + *count * size, CFG_NAME_BYTES, "%s", name);
	return (*count)++;
}

#define INTERN(c, tables, counter, name)                          \
	intern(c, (void **)&(c)->cfg->tables, &(c)->cfg->counter, \
	    sizeof(*(c)->cfg->tables), name)

static uint32_t
or_default(uint32_t value, uint32_t fallback)
{
	return value != 0 ? value : fallback;
}

/* Returns the value; above 1000 adds a problem and returns 1000. */
static uint16_t
check_permille(struct compiler *c, const struct section *s, const char *key,
    uint32_t value)
{
	if (value <= PERMILLE)
		return (uint16_t)value;
	section_add_problem(
	    c->problems, s->line, s->path, "%s: %u is above 1000", key, value);
	return PERMILLE;
}

/* Returns the value; above 65535 adds a problem and returns 65535. */
static uint16_t
check_uint16(struct compiler *c, const struct section *s, const char *key,
    uint32_t value)
{
	if (value <= UINT16_MAX)
		return (uint16_t)value;
	section_add_problem(
	    c->problems, s->line, s->path, "%s: %u is above 65535", key, value);
	return UINT16_MAX;
}

/* Returns the part of a section's path after the group. */
static const char *
section_name(const struct section *section)
{
	return strchr(section->path, '/') + 1;
}

static bool
check_name_length(struct compiler *c, const struct section *s, size_t len)
{
	if (len < CFG_NAME_BYTES)
		return true;
	section_add_problem(c->problems, s->line, s->path,
	    "the name is longer than %d bytes", CFG_NAME_BYTES - 1);
	return false;
}

static void
compile_data_centre(struct compiler *c, const struct section *s,
    const struct schema_data_centre *in)
{
	struct cfg_data_centre *dc;
	uint16_t i =
	    INTERN(c, data_centres, data_centre_count, section_name(s));

	if (i >= CFG_DATA_CENTRES_MAX) {
		section_add_problem(c->problems, s->line, s->path,
		    "more than %d data centres", CFG_DATA_CENTRES_MAX);
		c->cfg->data_centre_count--;
		return;
	}
	dc = &c->cfg->data_centres[i];
	dc->present = true;
	dc->out = in->state != 0;
	snprintf(dc->region, sizeof(dc->region), "%s",
	    in->region != NULL ? in->region : "");
}

static bool
is_served_isolated(const struct schema_version *in)
{
	if (in->when_isolated != ISOLATED_DEFAULT)
		return in->when_isolated == ISOLATED_SERVE;
	return in->state == CFG_RELEASED;
}

static void
compile_version(struct compiler *c, const struct section *s,
    const struct schema_version *in)
{
	char name[2 * CFG_NAME_BYTES + SECTION_PATH_BYTES];
	struct cfg_version *v;
	uint16_t model, i;

	snprintf(name, sizeof(name), "%s/%s", in->model, section_name(s));
	if (!check_name_length(c, s, strlen(name)))
		return;
	model = INTERN(c, models, model_count, in->model);
	c->cfg->models[model].present = true;
	i = INTERN(c, versions, version_count, name);
	if (i >= CFG_VERSIONS_MAX) {
		section_add_problem(c->problems, s->line, s->path,
		    "more than %d versions since the start of this process",
		    CFG_VERSIONS_MAX);
		c->cfg->version_count--;
		return;
	}
	v = &c->cfg->versions[i];
	v->present = true;
	v->model = model;
	v->state = (enum cfg_version_state)in->state;
	v->stage_permille =
	    check_permille(c, s, "stage_permille", in->stage_permille);
	v->cost_micro = or_default(in->cost_micro, DEFAULT_COST_MICRO);
	v->prior_permille = check_permille(c, s, "prior_permille",
	    or_default(in->prior_permille, DEFAULT_PRIOR_PERMILLE));
	v->unrated_max = check_uint16(c, s, "unrated_max",
	    or_default(in->unrated_max, DEFAULT_UNRATED_MAX));
	v->serve_isolated = is_served_isolated(in);
}

static void
compile_service(struct compiler *c, const struct section *s,
    const struct schema_service *in)
{
	struct cfg_service *service;
	uint16_t i = INTERN(c, services, service_count, section_name(s));

	if (i >= SERVICES_MAX) {
		section_add_problem(c->problems, s->line, s->path,
		    "more than %d services", SERVICES_MAX);
		c->cfg->service_count--;
		return;
	}
	service = &c->cfg->services[i];
	service->present = true;
	service->idempotent = in->idempotent;
	service->timeout_ms =
	    or_default(in->timeout_ms, DEFAULT_SERVICE_TIMEOUT_MS);
}

/* A table of the configuration whose names are matched against patterns. */
struct named_table {
	const char *key; /* the workspace's key, for messages */
	const void *entries;
	size_t count;
	size_t size;
	size_t present_offset; /* offset of "present" in an entry */
};

/*
 * Returns the mask of the present entries that match one of the patterns.  A
 * pattern without a match adds a problem.
 */
static uint64_t
match_names(struct compiler *c, const struct section *s,
    const struct named_table *table, char **patterns, uint32_t pattern_count)
{
	uint64_t mask = 0;

	for (uint32_t p = 0; p < pattern_count; p++) {
		const char *entry = table->entries;
		uint64_t found = 0;

		for (size_t i = 0; i < table->count;
		     i++, entry += table->size) {
			if (*(const bool *)(entry + table->present_offset) &&
			    fnmatch(patterns[p], entry, 0) == 0)
				found |= (uint64_t)1 << i;
		}
		if (found == 0)
			section_add_problem(c->problems, s->line, s->path,
			    "%s: no entry matches \"%s\"", table->key,
			    patterns[p]);
		mask |= found;
	}
	return mask;
}

#define MATCH_PATTERNS(c, s, in, tables, counter, type)      \
	match_names(c, s,                                    \
	    &(struct named_table){#tables, (c)->cfg->tables, \
		(c)->cfg->counter, sizeof(struct type),      \
		offsetof(struct type, present)},             \
	    (in)->tables, (in)->tables##_count)

static void
compile_masks(struct compiler *c, const struct section *s,
    const struct schema_workspace *in, struct cfg_workspace *w)
{
	w->versions =
	    MATCH_PATTERNS(c, s, in, versions, version_count, cfg_version);
	w->services =
	    MATCH_PATTERNS(c, s, in, services, service_count, cfg_service);
	w->data_centres = (uint32_t)MATCH_PATTERNS(
	    c, s, in, data_centres, data_centre_count, cfg_data_centre);
	if (in->data_centres_count == 0)
		w->data_centres = UINT32_MAX;
}

static void
compile_workspace(struct compiler *c, const struct section *s,
    const struct schema_workspace *in)
{
	struct cfg_workspace *w;
	uint16_t i;

	if (!check_name_length(c, s, strlen(section_name(s))))
		return;
	i = INTERN(c, workspaces, workspace_count, section_name(s));
	w = &c->cfg->workspaces[i];
	w->present = true;
	if (sodium_hex2bin(w->key_hash, sizeof(w->key_hash), in->key_hash,
		strlen(in->key_hash), NULL, NULL, NULL) != 0)
		section_add_problem(c->problems, s->line, s->path,
		    "key_hash: must have 64 hexadecimal digits");
	w->priority = check_uint16(c, s, "priority", in->priority);
	w->weight = check_uint16(
	    c, s, "weight", or_default(in->weight, DEFAULT_WEIGHT));
	w->target_permille = check_permille(c, s, "target_permille",
	    or_default(in->target_permille, DEFAULT_TARGET_PERMILLE));
	w->deadline_ms = or_default(in->deadline_ms, DEFAULT_DEADLINE_MS);
	w->rate_per_s = in->rate_per_s;
	w->retry_permille = check_permille(c, s, "retry_permille",
	    or_default(in->retry_permille, DEFAULT_RETRY_PERMILLE));
	compile_masks(c, s, in, w);
}

/*
 * Returns whether a name has only letters, digits, '-', '_' and '.'.  A team
 * with any other name could impersonate the system, which uses a name such as
 * "(replicas)" for its own changes.
 */
static bool
is_valid_name(const char *name)
{
	if (*name == '\0')
		return false;
	for (; *name != '\0'; name++) {
		if (!isalnum((unsigned char)*name) &&
		    strchr("-_.", *name) == NULL)
			return false;
	}
	return true;
}

static void
compile_section(
    struct compiler *c, enum schema_group group, const struct section *section)
{
	void *data = schema_load(group, section, c->problems);

	if (data == NULL)
		return;
	switch (group) {
	case SCHEMA_DATA_CENTRES:
		compile_data_centre(c, section, data);
		break;
	case SCHEMA_VERSIONS:
		compile_version(c, section, data);
		break;
	case SCHEMA_SERVICES:
		compile_service(c, section, data);
		break;
	case SCHEMA_WORKSPACES:
		compile_workspace(c, section, data);
		break;
	case SCHEMA_TEAMS:
	case SCHEMA_REPLICAS:
	case SCHEMA_GROUPS:
		break;
	}
	schema_free(group, data);
}

/*
 * Compiles sections into a configuration, to be freed with compile_free().  If
 * there are errors, adds all of them to problems and returns NULL.  previous
 * may be NULL.
 */
struct cfg *
compile_sections(const struct alloc *alloc, const struct section_list *sections,
    uint64_t revision, const struct cfg *previous,
    struct section_problems *problems)
{
	struct compiler c = {alloc, NULL, problems};
	size_t before = problems->count;

	c.cfg = copy_previous(&c, previous);
	c.cfg->revision = revision;
	/* Workspaces refer to entries of the other groups, so come later. */
	for (int group = 0; group < SCHEMA_GROUPS; group++) {
		for (size_t i = 0; i < sections->count; i++) {
			const struct section *s = &sections->items[i];

			if (schema_group_from_path(s->path) == group)
				compile_section(
				    &c, (enum schema_group)group, s);
		}
	}
	for (size_t i = 0; i < sections->count; i++) {
		const struct section *s = &sections->items[i];

		if (schema_group_from_path(s->path) < 0)
			section_add_problem(problems, s->line, s->path,
			    "there is no such group of sections");
		else if (!is_valid_name(section_name(s)))
			section_add_problem(problems, s->line, s->path,
			    "a name may hold letters, digits, '-', '_' and '.'");
	}
	if (problems->count == before)
		return c.cfg;
	compile_free(alloc, c.cfg);
	return NULL;
}

/* Frees a compiled configuration; NULL is allowed. */
void
compile_free(const struct alloc *alloc, struct cfg *cfg)
{
	if (cfg == NULL)
		return;
	alloc_free(alloc, cfg->data_centres);
	alloc_free(alloc, cfg->models);
	alloc_free(alloc, cfg->versions);
	alloc_free(alloc, cfg->services);
	alloc_free(alloc, cfg->workspaces);
	alloc_free(alloc, cfg);
}

static struct schema_team *
load_team(const struct section *section)
{
	struct section_problems ignored = {0};

	return schema_load(SCHEMA_TEAMS, section, &ignored);
}

/*
 * Returns whether a team may change a section, that is, whether one of its
 * "owns" patterns matches the path.  Ownership is read from the sections in
 * force.
 */
bool
compile_team_owns(
    const struct section_list *sections, const char *team, const char *path)
{
	char team_path[SECTION_PATH_BYTES];
	const struct section *section;
	struct schema_team *in;
	bool owns = false;

	snprintf(team_path, sizeof(team_path), "teams/%s", team);
	section = section_find(sections, team_path);
	in = section != NULL ? load_team(section) : NULL;
	if (in == NULL)
		return false;
	for (uint32_t i = 0; i < in->owns_count && !owns; i++)
		owns = fnmatch(in->owns[i], path, 0) == 0;
	schema_free(SCHEMA_TEAMS, in);
	return owns;
}

/*
 * Finds the team that an operator key belongs to.  All teams are compared, each
 * in constant time.
 */
bool
compile_find_team_by_key(const struct section_list *sections, const char *key,
    char team[CFG_NAME_BYTES])
{
	uint8_t hash[CFG_KEY_HASH_BYTES];
	bool found = false;

	hash_key(key, hash);
	for (size_t i = 0; i < sections->count; i++) {
		const struct section *s = &sections->items[i];
		uint8_t known[CFG_KEY_HASH_BYTES] = {0};
		struct schema_team *in;

		if (schema_group_from_path(s->path) != SCHEMA_TEAMS)
			continue;
		in = load_team(s);
		if (in != NULL &&
		    sodium_hex2bin(known, sizeof(known), in->key_hash,
			strlen(in->key_hash), NULL, NULL, NULL) == 0 &&
		    sodium_memcmp(known, hash, sizeof(hash)) == 0) {
			snprintf(team, CFG_NAME_BYTES, "%s", section_name(s));
			found = true;
		}
		schema_free(SCHEMA_TEAMS, in);
	}
	return found;
}
