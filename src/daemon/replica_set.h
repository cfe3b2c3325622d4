#ifndef CF_REPLICA_SET_H
#define CF_REPLICA_SET_H

#include <stdbool.h>

#include "base/buf.h"
#include "config/section.h"
#include "state/claim.h"
#include "state/rlog.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The section "replicas/current": who keeps claims and bills.  The leader of
 * the replicated log writes it after each change of membership, so that every
 * instance learns the set as it learns the rest of the configuration, and a
 * set has one epoch everywhere: the revision of the section.
 */
struct directory;

extern const char replica_set_path[];
extern const char replica_set_team[];

bool replica_set_text(const struct directory *directory,
    const struct rlog_status *status, struct buf *out);
bool replica_set_read(
    const struct section_list *sections, struct claim_replicas *set);

#ifdef __cplusplus
}
#endif

#endif
