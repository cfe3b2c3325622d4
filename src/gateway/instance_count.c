#include "gateway/instance_count.h"

#include <string.h>

/* Initializes a counter without any instance. */
void
gw_instance_count_init(
    struct gw_instance_count *counter, bool receives_hellos, int64_t now_us)
{
	memset(counter, 0, sizeof(*counter));
	counter->receives_hellos = receives_hellos;
	counter->started_us = counter->span_start_us = now_us;
}

/* Records a message from an entry instance. */
void
gw_instance_count_mark_heard(
    struct gw_instance_count *counter, uint32_t instance, int64_t now_us)
{
	uint32_t i = 0;

	while (i < counter->count && counter->rows[i].instance != instance)
		i++;
	if (i == GW_INSTANCE_COUNT_MAX)
		return;
	if (i == counter->count)
		counter->count++;
	counter->rows[i] = (struct gw_instance_sighting){instance, now_us};
}

/*
 * Records the count of another instance, and the place of this one; count 0: it
 * does not know it yet.
 */
void
gw_instance_count_add_report(struct gw_instance_count *counter,
    const struct rate_members *report, int64_t now_us)
{
	if (report->count == 0)
		return;
	if (now_us - counter->span_start_us >=
	    GW_INSTANCE_COUNT_REPORT_SPAN_US) {
		counter->reports[1] = counter->reports[0];
		counter->reports[0] = (struct rate_members){0};
		counter->span_start_us = now_us;
	}
	if (report->count > counter->reports[0].count)
		counter->reports[0] = *report;
}

/*
 * Returns how many instances this one counted itself and the place of one of
 * them, or zeros if it does not know yet or is sent no Hello messages.
 */
struct rate_members
gw_instance_count_own(
    struct gw_instance_count *counter, uint32_t instance, int64_t now_us)
{
	struct rate_members members = {0};
	uint32_t kept = 0, before = 0;
	bool known = false;

	for (uint32_t i = 0; i < counter->count; i++) {
		if (now_us - counter->rows[i].heard_us >=
		    GW_INSTANCE_COUNT_KEEP_US)
			continue;
		counter->rows[kept] = counter->rows[i];
		before += counter->rows[kept].instance < instance;
		known |= counter->rows[kept].instance == instance;
		kept++;
	}
	counter->count = kept;
	if (!counter->receives_hellos ||
	    now_us - counter->started_us < GW_INSTANCE_COUNT_SETTLE_US)
		return members;
	members.count = kept;
	members.place = known ? before + 1 : 0;
	return members;
}

/*
 * Returns the highest of this instance's own count and the recently reported
 * ones, with its place among as many; zeros if none is known yet.  self: number
 * of this instance.
 */
struct rate_members
gw_instance_count_get(
    struct gw_instance_count *counter, uint32_t self, int64_t now_us)
{
	struct rate_members members =
	    gw_instance_count_own(counter, self, now_us);

	for (int i = 0; i < 2; i++) {
		if (counter->reports[i].count > members.count)
			members = counter->reports[i];
	}
	return members;
}
