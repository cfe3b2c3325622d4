#ifndef CF_GATEWAY_HEADCOUNT_H
#define CF_GATEWAY_HEADCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How many entry instances there are, for what all of them share in equal
 * parts.  Too high a number costs little; with one too low the parts add up to
 * more than there is.  So an instance counts as there long after it was heard,
 * the highest of several answers holds, and one that can't know yet says so.
 * Does no I/O.
 *
 * Instances that serve control count the entry instances that greet them, and
 * tell the others only what they counted themselves: numbers that were passed
 * on would never fall again.
 */
enum {
	GW_ENTRY_COUNT_MAX = 1024, /* entry instances */
	GW_ENTRY_COUNT_SETTLE_US =
	    3000000, /* three rounds of greetings after a start */
	GW_ENTRY_COUNT_KEEP_US =
	    600000000, /* unheard for longer: not counted any more */
	GW_ENTRY_COUNT_REPORT_SPAN_US =
	    60000000 /* what was reports holds for one to two of these */
};

struct gw_entry_sighting {
	uint32_t instance;
	int64_t heard_us;
};

struct gw_entry_count {
	bool receives_hellos; /* the others greet this instance */
	int64_t started_us;
	struct gw_entry_sighting rows[GW_ENTRY_COUNT_MAX];
	uint32_t count;
	uint32_t
	    reports[2]; /* highest of the present span and the one before */
	int64_t span_start_us; /* when the present span began */
};

void gw_entry_count_init(
    struct gw_entry_count *counter, bool receives_hellos, int64_t now_us);
void gw_entry_count_mark_heard(
    struct gw_entry_count *counter, uint32_t instance, int64_t now_us);
void gw_entry_count_add_report(
    struct gw_entry_count *counter, uint32_t count, int64_t now_us);
uint32_t gw_entry_count_own(struct gw_entry_count *counter, int64_t now_us);
uint32_t gw_entry_count_get(struct gw_entry_count *counter, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
