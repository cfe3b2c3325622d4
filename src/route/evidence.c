#include "route/evidence.h"

#include <stdio.h>
#include <string.h>

struct evidence_table {
	const struct alloc *alloc;
	struct evidence_row *rows;
	size_t count;
};

/* Creates an empty table. */
struct evidence_table *
evidence_new(const struct alloc *alloc)
{
	struct evidence_table *table = alloc_zero(alloc, 1, sizeof(*table));

	table->alloc = alloc;
	return table;
}

/* Releases a table. */
void
evidence_free(struct evidence_table *table)
{
	if (table == NULL)
		return;
	alloc_free(table->alloc, table->rows);
	alloc_free(table->alloc, table);
}

static bool
belongs_to(
    const struct evidence_row *row, const char *service, const char *target)
{
	return strcmp(row->service, service) == 0 &&
	       strcmp(row->target, target) == 0;
}

/*
 * Returns the row of an instance, roll-out and route, which is created on first
 * use; NULL if the table is full.
 */
struct evidence_row *
evidence_row(struct evidence_table *table, uint64_t source, const char *service,
    const char *target, const char *route)
{
	struct evidence_row *row;

	for (size_t i = 0; i < table->count; i++) {
		row = &table->rows[i];
		if (row->source == source && belongs_to(row, service, target) &&
		    strcmp(row->route, route) == 0)
			return row;
	}
	if (table->count == EVIDENCE_ROWS_MAX)
		return NULL;
	if ((table->count & (table->count - 1)) == 0)
		table->rows = alloc_resize(table->alloc, table->rows,
		    (table->count > 0 ? table->count * 2 : 1) *
			sizeof(*table->rows));
	row = &table->rows[table->count++];
	memset(row, 0, sizeof(*row));
	row->source = source;
	snprintf(row->service, sizeof(row->service), "%s", service);
	snprintf(row->target, sizeof(row->target), "%s", target);
	snprintf(row->route, sizeof(row->route), "%s", route);
	return row;
}

size_t
evidence_row_count(const struct evidence_table *table)
{
	return table->count;
}

const struct evidence_row *
evidence_row_at(const struct evidence_table *table, size_t i)
{
	return &table->rows[i];
}

/* Drops the rows of a roll-out that is over. */
void
evidence_drop_rollout(
    struct evidence_table *table, const char *service, const char *target)
{
	size_t kept = 0;

	for (size_t i = 0; i < table->count; i++) {
		if (!belongs_to(&table->rows[i], service, target))
			table->rows[kept++] = table->rows[i];
	}
	table->count = kept;
}

static void
add_counts(struct verdict_counts *to, const struct verdict_counts *from)
{
	to->answers += from->answers;
	to->failures += from->failures;
	to->errors += from->errors;
	to->slow += from->slow;
	to->gaps += from->gaps;
	to->slow_gaps += from->slow_gaps;
	to->loaded += from->loaded;
	to->loaded_errors += from->loaded_errors;
}

struct totals {
	const char *route;
	struct verdict_counts fresh;
	struct verdict_counts known;
	struct timing_histogram fresh_times;
	struct timing_histogram known_times;
};

/*
 * Returns the totals of a route; those of the first route if there are too
 * many.
 */
static struct totals *
route_totals(struct totals *routes, size_t *count, const char *route)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(routes[i].route, route) == 0)
			return &routes[i];
	}
	if (*count == EVIDENCE_ROUTES_MAX)
		return &routes[0];
	memset(&routes[*count], 0, sizeof(routes[*count]));
	routes[*count].route = route;
	return &routes[(*count)++];
}

static void
add_row(struct totals *totals, const struct evidence_row *row)
{
	add_counts(&totals->fresh, &row->fresh);
	add_counts(&totals->known, &row->known);
	timing_merge(&totals->fresh_times, &row->fresh_times);
	timing_merge(&totals->known_times, &row->known_times);
}

/*
 * Compares the versions on one route, or on all if its name is empty, and adds
 * the result to the summary.
 */
static void
compare_versions(const struct totals *totals, uint32_t load_classes,
    struct evidence_summary *summary)
{
	bool slower = timing_is_slower(&totals->fresh_times,
	    &totals->known_times, load_classes, TIMING_CERTAIN);

	summary->is_doubtful |= timing_is_slower(&totals->fresh_times,
	    &totals->known_times, load_classes, TIMING_LIKELY);
	if (summary->is_worse ||
	    (!slower && !verdict_is_worse(&totals->fresh, &totals->known)))
		return;
	summary->is_worse = true;
	summary->is_slower = slower;
	summary->route = totals->route;
}

/*
 * Compares the new version with the old one over the reports of all instances:
 * on each route, and on all routes together.  summary->route names the first
 * route on which the new version does worse.  Answer times are compared in the
 * first load_classes load classes only.
 */
void
evidence_summarize(const struct evidence_table *table, const char *service,
    const char *target, uint32_t load_classes, struct evidence_summary *summary)
{
	static struct totals routes[EVIDENCE_ROUTES_MAX];
	static struct totals all;
	size_t count = 0;

	memset(&all, 0, sizeof(all));
	all.route = "";
	for (size_t i = 0; i < table->count; i++) {
		const struct evidence_row *row = &table->rows[i];

		if (!belongs_to(row, service, target))
			continue;
		add_row(route_totals(routes, &count, row->route), row);
		add_row(&all, row);
	}
	*summary = (struct evidence_summary){.fresh = all.fresh,
	    .known = all.known,
	    .fresh_timed = timing_count(&all.fresh_times),
	    .known_timed = timing_count(&all.known_times),
	    .route = ""};
	for (size_t i = 0; i < count; i++)
		compare_versions(&routes[i], load_classes, summary);
	compare_versions(&all, load_classes, summary);
}
