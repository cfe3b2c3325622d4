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
 * one, by route and by the instance that saw them.  Counts grow from the order
 * on and are told as they are, so whoever leads next has them all, and a
 * report that is lost or comes twice changes nothing.
 */
enum {
	EVIDENCE_ROWS_MAX = 4096,
	EVIDENCE_ROUTES_MAX =
	    256 /* of one service; others are judged with these */
};

struct ev_row {
	uint64_t source; /* a life of an instance */
	char service[RG_NAME_BYTES];
	char target[RG_NAME_BYTES]; /* the new version */
	char route[RG_NAME_BYTES];
	struct vd_counts fresh; /* of the new version */
	struct vd_counts known; /* of the old one */
	struct timing_histogram fresh_times; /* that answers took */
	struct timing_histogram known_times;
};

/* What all rows of a roll-out say together. */
struct ev_summary {
	struct vd_counts fresh;
	struct vd_counts known;
	uint32_t fresh_timed; /* answers whose times were compared */
	uint32_t known_timed;
	const char *route; /* on which the new version does worse; "": all */
	bool is_worse;
	bool is_slower; /* by the times; with is_worse, the reason for it */
	bool is_doubtful; /* it may well be slower */
};

struct ev;

struct ev *ev_new(const struct alloc *alloc);
void ev_free(struct ev *ev);
struct ev_row *ev_row(struct ev *ev, uint64_t source, const char *service,
    const char *target, const char *route);
size_t ev_count(const struct ev *ev);
const struct ev_row *ev_at(const struct ev *ev, size_t i);
void ev_drop(struct ev *ev, const char *service, const char *target);
void ev_sum_up(const struct ev *ev, const char *service, const char *target,
    uint32_t loads, struct ev_summary *summary);

#ifdef __cplusplus
}
#endif

#endif
