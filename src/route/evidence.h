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

struct evidence_row {
	uint64_t source; /* identifies a life of the reporting instance */
	char service[REGISTRY_NAME_BYTES];
	char target[REGISTRY_NAME_BYTES]; /* version that is rolled out */
	char route[REGISTRY_NAME_BYTES];
	struct verdict_counts fresh; /* answers of the new version */
	struct verdict_counts known; /* answers of the old version */
	struct timing_histogram fresh_times; /* answer times */
	struct timing_histogram known_times;
};

/* Totals over all rows of a roll-out. */
struct evidence_summary {
	struct verdict_counts fresh;
	struct verdict_counts known;
	uint32_t fresh_timed; /* answers whose times were compared */
	uint32_t known_timed;
	/* Route on which the new version does worse; "": all together */
	const char *route;
	bool is_worse;
	bool is_slower; /* the reason for is_worse is its answer times */
	/* The new version is likely slower, though not certainly */
	bool is_doubtful;
};

struct evidence_table;

struct evidence_table *evidence_new(const struct alloc *alloc);
void evidence_free(struct evidence_table *table);
struct evidence_row *evidence_row(struct evidence_table *table, uint64_t source,
    const char *service, const char *target, const char *route);
size_t evidence_row_count(const struct evidence_table *table);
const struct evidence_row *evidence_row_at(
    const struct evidence_table *table, size_t i);
void evidence_drop_rollout(
    struct evidence_table *table, const char *service, const char *target);
void evidence_summarize(const struct evidence_table *table, const char *service,
    const char *target, uint32_t load_classes,
    struct evidence_summary *summary);

#ifdef __cplusplus
}
#endif

#endif
