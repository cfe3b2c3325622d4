#ifndef CF_CELLS_H
#define CF_CELLS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "celeryford.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decayed counts of ratings and quick evidence at three levels: for a version,
 * with its task class, and with class and workspace.  The mean of a level is
 * the prior of the next, so that a new workspace starts from what others
 * learned.  Each answer's place in its chain has counts of its own.
 */
struct cells_key {
	uint16_t workspace;
	uint16_t class;
	enum cf_place place;
	uint16_t version;
};

enum cells_view {
	VIEW_NOW,
	VIEW_SETTLED /* as of the version's last cells_settle() */
};

struct cells;

struct cells *cells_new(
    const struct alloc *alloc, bool no_forgetting, bool no_pooling);
void cells_free(struct cells *cells);
void cells_grow(struct cells *cells, uint16_t versions, uint16_t workspaces);
void cells_add_rating(struct cells *cells, const struct cells_key *key,
    bool passed, int64_t now_us);
void cells_add_quick(struct cells *cells, const struct cells_key *key,
    bool good, int64_t now_us);
void cells_settle(struct cells *cells, uint16_t version);
float cells_pass(const struct cells *cells, const struct cells_key *key,
    float prior, enum cells_view view);
float cells_bad(const struct cells *cells, const struct cells_key *key,
    float prior, enum cells_view view);
float cells_weight(const struct cells *cells, const struct cells_key *key,
    bool ratings, enum cells_view view);

#ifdef __cplusplus
}
#endif

#endif
