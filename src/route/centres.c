#include "route/centres.h"

#include <stdio.h>
#include <string.h>

static struct ce_row *
get(struct ce *ce, const char *name)
{
	struct ce_row *row;

	for (uint32_t i = 0; i < ce->count; i++) {
		if (strcmp(ce->rows[i].name, name) == 0)
			return &ce->rows[i];
	}
	row = &ce->rows[ce->count < CE_MAX ? ce->count++ : 0];
	memset(row, 0, sizeof(*row));
	snprintf(row->name, sizeof(row->name), "%s", name);
	return row;
}

/* Whether the data centre is to be left alone for now. */
bool
ce_is_down(struct ce *ce, const char *name, int64_t now_us)
{
	return get(ce, name)->down_until_us > now_us;
}

/* A server there could not be reached; silent: it did not even refuse. */
void
ce_failed(struct ce *ce, const char *name, uint16_t server, bool silent,
    int64_t now_us)
{
	struct ce_row *row = get(ce, name);

	if (now_us - row->failed_us > CE_WINDOW_US)
		row->failures = 0;
	if (row->failures == 0 || row->last != server)
		row->failures++;
	row->last = server;
	row->failed_us = now_us;
	if (silent || row->failures >= CE_FAILURES)
		row->down_until_us = now_us + CE_DOWN_US;
}

/* A server there has answered. */
void
ce_answered(struct ce *ce, const char *name)
{
	struct ce_row *row = get(ce, name);

	row->failures = 0;
	row->down_until_us = 0;
}
