#ifndef CF_GATEWAY_INSTANCE_COUNT_H
#define CF_GATEWAY_INSTANCE_COUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "route/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Counts the entry instances.  Limits that all of them share are divided by
 * this count, or belong to some of them by their place in the order of their
 * numbers.  Too high a count costs little, but with too low a count the
 * parts add up to more than the limit.  Therefore an instance stays counted
 * long after its last message, the highest of several reported counts is used,
 * and an instance that can't know the count yet reports 0.  Does no I/O.
 *
 * Instances that serve control count the entry instances that send them a
 * Hello.  They report only their own count: reported counts that were passed
 * on would never fall again.
 */
enum {
	GW_INSTANCE_COUNT_MAX = 1024, /* entry instances */
	/* three Hello rounds after a start */
	GW_INSTANCE_COUNT_SETTLE_US = 3000000,
	/* an instance that is silent for longer is not counted */
	GW_INSTANCE_COUNT_KEEP_US = 600000000,
	/* a reported count is used for one to two such spans */
	GW_INSTANCE_COUNT_REPORT_SPAN_US = 60000000
};

struct gw_instance_sighting {
	uint32_t instance;
	int64_t heard_us;
};

struct gw_instance_count {
	/* whether other instances send a Hello to this one */
	bool receives_hellos;
	int64_t started_us;
	/* in the order of the instances */
	struct gw_instance_sighting rows[GW_INSTANCE_COUNT_MAX];
	uint32_t count;
	int64_t heard_since_us; /* no row was heard before */
	/*
	 * highest count reported in this span, and in the one before, and the
	 * place of this instance among as many
	 */
	struct rate_members reports[2];
	int64_t span_start_us; /* start of this span */
};

void gw_instance_count_init(
    struct gw_instance_count *counter, bool receives_hellos, int64_t now_us);
void gw_instance_count_mark_heard(
    struct gw_instance_count *counter, uint32_t instance, int64_t now_us);
void gw_instance_count_add_report(struct gw_instance_count *counter,
    const struct rate_members *report, int64_t now_us);
struct rate_members gw_instance_count_own(
    struct gw_instance_count *counter, uint32_t instance, int64_t now_us);
struct rate_members gw_instance_count_get(
    struct gw_instance_count *counter, uint32_t self, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
