#ifndef CF_COMPILE_H
#define CF_COMPILE_H

#include <stdbool.h>

#include "base/alloc.h"
#include "config/section.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Sections to the compiled revision that the decisions read.  Indices follow
 * the revision before, so that state kept by index stays right.
 */
struct cfg *compile_sections(const struct alloc *alloc,
    const struct section_list *sections, uint64_t revision,
    const struct cfg *previous, struct section_problems *problems);
void compile_free(const struct alloc *alloc, struct cfg *cfg);

/* Whether a team's "owns" patterns cover a section. */
bool compile_team_owns(
    const struct section_list *sections, const char *team, const char *path);

/* The team whose operator key this is, copied to team; false if none. */
bool compile_team_of_key(const struct section_list *sections, const char *key,
    char team[CFG_NAME_BYTES]);

int cfg_find_workspace_by_key(const struct cfg *cfg, const char *key);
int cfg_find_version(const struct cfg *cfg, const char *name);
int cfg_find_model(const struct cfg *cfg, const char *name);
int cfg_find_service(const struct cfg *cfg, const char *name);
int cfg_find_data_centre(const struct cfg *cfg, const char *name);

#ifdef __cplusplus
}
#endif

#endif
