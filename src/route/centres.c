#include "route/centres.h"

#include <stdio.h>
#include <string.h>

/* Returns the row of a data centre, which is created on first use. */
static struct centres_row *
get_row(struct centre_table *table, const char *name)
{
	struct centres_row *row;

	for (uint32_t i = 0; i < table->count; i++) {
		if (strcmp(table->rows[i].name, name) == 0)
			return &table->rows[i];
	}
	row = &table->rows[table->count < CENTRES_MAX ? table->count++ : 0];
	memset(row, 0, sizeof(*row));
	snprintf(row->name, sizeof(row->name), "%s", name);
	return row;
}

/* Tells whether the servers of a data centre should be avoided for now. */
bool
centres_is_down(struct centre_table *table, const char *name, int64_t now_us)
{
	return get_row(table, name)->down_until_us > now_us;
}

/*
 * Records that a server of a data centre could not be reached.  silent: the
 * connection attempt was not even refused.
 */
void
centres_record_failure(struct centre_table *table, const char *name,
    uint16_t server, bool silent, int64_t now_us)
{
	struct centres_row *row = get_row(table, name);

	if (now_us - row->failed_us > CENTRES_FAILURE_WINDOW_US)
		row->failures = 0;
	if (row->failures == 0 || row->last != server)
		row->failures++;
	row->last = server;
	row->failed_us = now_us;
	if (silent || row->failures >= CENTRES_FAILURES_MIN)
		row->down_until_us = now_us + CENTRES_DOWN_US;
}

/* Records that a server of a data centre answered. */
void
centres_record_answer(struct centre_table *table, const char *name)
{
	struct centres_row *row = get_row(table, name);

	row->failures = 0;
	row->down_until_us = 0;
}
