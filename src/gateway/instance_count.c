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

/* Records the count of another instance; 0: it does not know it yet. */
void
gw_instance_count_add_report(
    struct gw_instance_count *counter, uint32_t count, int64_t now_us)
{
	if (count == 0)
		return;
	if (now_us - counter->span_start_us >=
	    GW_INSTANCE_COUNT_REPORT_SPAN_US) {
		counter->reports[1] = counter->reports[0];
		counter->reports[0] = 0;
		counter->span_start_us = now_us;
	}
	if (count > counter->reports[0])
		counter->reports[0] = count;
}

/*
 * Returns how many instances this one counted itself, or 0 if it does not know
 * yet or is sent no Hello messages.
 */
uint32_t
gw_instance_count_own(struct gw_instance_count *counter, int64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < counter->count; i++) {
		if (now_us - counter->rows[i].heard_us <
		    GW_INSTANCE_COUNT_KEEP_US)
			counter->rows[kept++] = counter->rows[i];
	}
	counter->count = kept;
	if (!counter->receives_hellos ||
	    now_us - counter->started_us < GW_INSTANCE_COUNT_SETTLE_US)
		return 0;
	return kept;
}

/*
 * Returns the highest of this instance's own count and the recently reported
 * ones, or 0 if none is known yet.
 */
uint32_t
gw_instance_count_get(struct gw_instance_count *counter, int64_t now_us)
{
	uint32_t count = gw_instance_count_own(counter, now_us);

	for (int i = 0; i < 2; i++) {
		if (counter->reports[i] > count)
			count = counter->reports[i];
	}
	return count;
}
