#ifndef CF_ROUTE_EVIDENCE_H
#define CF_ROUTE_EVIDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "route/timing.h"
#include "route/verdict.h"
#include "state/registry.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How the answers of a roll-out's new version compare with those of the old
 * one, by route and by the instance that observed them.  Counts are cumulative
 * since the roll-out's order and are reported as totals.  A new leader
 * therefore gets all of them, and a report that is lost or arrives twice does
 * no harm.
 */
enum {
	EVIDENCE_ROWS_MAX = 4096,
	/* Routes of one service; further ones are counted with the first */
	EVIDENCE_ROUTES_MAX = 256
};

struct ev_row {
	uint64_t source; /* identifies a life of the reporting instance */
	char service[RG_NAME_BYTES];
	char target[RG_NAME_BYTES]; /* version that is rolled out */
	char route[RG_NAME_BYTES];
	struct vd_counts fresh; /* answers of the new version */
	struct vd_counts known; /* answers of the old version */
	struct timing_histogram fresh_times; /* answer times */
	struct timing_histogram known_times;
};

/* Totals over all rows of a roll-out. */
struct ev_summary {
	struct vd_counts fresh;
	struct vd_counts known;
	uint32_t fresh_timed; /* answers whose times were compared */
	uint32_t known_timed;
	/* Route on which the new version does worse; "": all together */
	const char *route;
	bool is_worse;
	bool is_slower; /* the reason for is_worse is its answer times */
	/* The new version is likely slower, though not certainly */
	bool is_doubtful;
};

struct ev;

struct ev *ev_new(const struct alloc *alloc);
void ev_free(struct ev *table);
struct ev_row *ev_row(struct ev *table, uint64_t source, const char *service,
    const char *target, const char *route);
size_t ev_count(const struct ev *table);
const struct ev_row *ev_at(const struct ev *table, size_t i);
void ev_drop(struct ev *table, const char *service, const char *target);
void ev_sum_up(const struct ev *table, const char *service, const char *target,
    uint32_t load_classes, struct ev_summary *summary);

#ifdef __cplusplus
}
#endif

#endif
