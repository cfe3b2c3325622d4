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

/* Returns the first row whose instance is not below one; rows are sorted. */
static uint32_t
row_of(const struct gw_instance_count *counter, uint32_t instance)
{
	uint32_t low = 0, high = counter->count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (counter->rows[middle].instance < instance)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Records a message from an entry instance. */
void
gw_instance_count_mark_heard(
    struct gw_instance_count *counter, uint32_t instance, int64_t now_us)
{
	uint32_t i = row_of(counter, instance);
	bool known =
	    i < counter->count && counter->rows[i].instance == instance;

	if (!known && counter->count == GW_INSTANCE_COUNT_MAX)
		return;
	if (!known) {
		memmove(&counter->rows[i + 1], &counter->rows[i],
		    (counter->count - i) * sizeof(counter->rows[0]));
		counter->count++;
	}
	counter->rows[i] = (struct gw_instance_sighting){instance, now_us};
}

/* Drops the instances that have been silent for long. */
static void
drop_silent(struct gw_instance_count *counter, int64_t now_us)
{
	uint32_t kept = 0;

	if (now_us - counter->heard_since_us < GW_INSTANCE_COUNT_KEEP_US)
		return;
	counter->heard_since_us = now_us;
	for (uint32_t i = 0; i < counter->count; i++) {
		int64_t heard_us = counter->rows[i].heard_us;

		if (now_us - heard_us >= GW_INSTANCE_COUNT_KEEP_US)
			continue;
		if (heard_us < counter->heard_since_us)
			counter->heard_since_us = heard_us;
		counter->rows[kept++] = counter->rows[i];
	}
	counter->count = kept;
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
	uint32_t before;

	drop_silent(counter, now_us);
	if (!counter->receives_hellos ||
	    now_us - counter->started_us < GW_INSTANCE_COUNT_SETTLE_US)
		return members;
	before = row_of(counter, instance);
	members.count = counter->count;
	if (before < counter->count &&
	    counter->rows[before].instance == instance)
		members.place = before + 1;
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
