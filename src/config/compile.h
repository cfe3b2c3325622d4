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
 * Compiles sections into the form that request routing reads.  Entries keep the
 * indices they had in the previous revision, so that state stored by index
 * stays valid.
 */
struct cfg *compile_sections(const struct alloc *alloc,
    const struct section_list *sections, uint64_t revision,
    const struct cfg *previous, struct section_problems *problems);
void compile_free(const struct alloc *alloc, struct cfg *cfg);

/* Returns whether one of a team's "owns" patterns matches a section path. */
bool compile_team_owns(
    const struct section_list *sections, const char *team, const char *path);

/*
 * Copies the name of the team that an operator key belongs to into team.
 * Returns false if there is none.
 */
bool compile_find_team_by_key(const struct section_list *sections,
    const char *key, char team[CFG_NAME_BYTES]);

int cfg_find_workspace_by_key(const struct cfg *cfg, const char *key);
int cfg_find_version(const struct cfg *cfg, const char *name);
int cfg_find_model(const struct cfg *cfg, const char *name);
int cfg_find_service(const struct cfg *cfg, const char *name);
int cfg_find_data_centre(const struct cfg *cfg, const char *name);

#ifdef __cplusplus
}
#endif

#endif
