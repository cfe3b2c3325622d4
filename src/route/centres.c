#include "route/centres.h"

#include <stdio.h>
#include <string.h>

static struct centres_row *
get(struct centre_table *centre_table, const char *name)
{
	struct centres_row *row;

	for (uint32_t i = 0; i < centre_table->count; i++) {
		if (strcmp(centre_table->rows[i].name, name) == 0)
			return &centre_table->rows[i];
	}
	row = &centre_table->rows[centre_table->count < CENTRES_MAX
				      ? centre_table->count++
				      : 0];
	memset(row, 0, sizeof(*row));
	snprintf(row->name, sizeof(row->name), "%s", name);
	return row;
}

/* Whether the data centre is to be left alone for now. */
bool
centres_is_down(
    struct centre_table *centre_table, const char *name, int64_t now_us)
{
	return get(centre_table, name)->down_until_us > now_us;
}

/* A server there could not be reached; silent: it did not even refuse. */
void
centres_record_failure(struct centre_table *centre_table, const char *name,
    uint16_t server, bool silent, int64_t now_us)
{
	struct centres_row *row = get(centre_table, name);

	if (now_us - row->failed_us > CENTRES_FAILURE_WINDOW_US)
		row->failures = 0;
	if (row->failures == 0 || row->last != server)
		row->failures++;
	row->last = server;
	row->failed_us = now_us;
	if (silent || row->failures >= CENTRES_FAILURES_MIN)
		row->down_until_us = now_us + CENTRES_DOWN_US;
}

/* A server there has answered. */
void
centres_record_answer(struct centre_table *centre_table, const char *name)
{
	struct centres_row *row = get(centre_table, name);

	row->failures = 0;
	row->down_until_us = 0;
}
