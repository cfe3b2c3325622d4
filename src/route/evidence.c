#include "route/evidence.h"

#include <stdio.h>
#include <string.h>

struct ev {
	const struct alloc *alloc;
	struct ev_row *rows;
	size_t count;
};

/* Creates an empty table. */
struct ev *
ev_new(const struct alloc *alloc)
{
	struct ev *ev = alloc_zero(alloc, 1, sizeof(*ev));

	ev->alloc = alloc;
	return ev;
}

/* Releases a table. */
void
ev_free(struct ev *ev)
{
	if (ev == NULL)
		return;
	alloc_free(ev->alloc, ev->rows);
	alloc_free(ev->alloc, ev);
}

static bool
is_of(const struct ev_row *row, const char *service, const char *target)
{
	return strcmp(row->service, service) == 0 &&
	       strcmp(row->target, target) == 0;
}

/* Returns a row, made on first use; NULL if there are too many. */
struct ev_row *
ev_row(struct ev *ev, uint64_t source, const char *service, const char *target,
    const char *route)
{
	struct ev_row *row;

	for (size_t i = 0; i < ev->count; i++) {
		row = &ev->rows[i];
		if (row->source == source && is_of(row, service, target) &&
		    strcmp(row->route, route) == 0)
			return row;
	}
	if (ev->count == EVIDENCE_ROWS_MAX)
		return NULL;
	if ((ev->count & (ev->count - 1)) == 0)
		ev->rows = alloc_resize(ev->alloc, ev->rows,
		    (ev->count > 0 ? ev->count * 2 : 1) * sizeof(*ev->rows));
	row = &ev->rows[ev->count++];
	memset(row, 0, sizeof(*row));
	row->source = source;
	snprintf(row->service, sizeof(row->service), "%s", service);
	snprintf(row->target, sizeof(row->target), "%s", target);
	snprintf(row->route, sizeof(row->route), "%s", route);
	return row;
}

size_t
ev_count(const struct ev *ev)
{
	return ev->count;
}

const struct ev_row *
ev_at(const struct ev *ev, size_t i)
{
	return &ev->rows[i];
}

/* Forgets a roll-out that is over. */
void
ev_drop(struct ev *ev, const char *service, const char *target)
{
	size_t kept = 0;

	for (size_t i = 0; i < ev->count; i++) {
		if (!is_of(&ev->rows[i], service, target))
			ev->rows[kept++] = ev->rows[i];
	}
	ev->count = kept;
}

static void
add(struct vd_counts *to, const struct vd_counts *from)
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

struct sum {
	const char *route;
	struct vd_counts fresh;
	struct vd_counts known;
	struct timing_histogram fresh_times;
	struct timing_histogram known_times;
};

static struct sum *
sum_of(struct sum *sums, size_t *count, const char *route)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(sums[i].route, route) == 0)
			return &sums[i];
	}
	if (*count == EVIDENCE_ROUTES_MAX)
		return &sums[0];
	memset(&sums[*count], 0, sizeof(sums[*count]));
	sums[*count].route = route;
	return &sums[(*count)++];
}

static void
add_row(struct sum *sum, const struct ev_row *row)
{
	add(&sum->fresh, &row->fresh);
	add(&sum->known, &row->known);
	timing_merge(&sum->fresh_times, &row->fresh_times);
	timing_merge(&sum->known_times, &row->known_times);
}

static void
judge(const struct sum *sum, uint32_t loads, struct ev_summary *summary)
{
	bool slower = timing_is_slower(
	    &sum->fresh_times, &sum->known_times, loads, TIMING_CERTAIN);

	summary->is_doubtful |= timing_is_slower(
	    &sum->fresh_times, &sum->known_times, loads, TIMING_LIKELY);
	if (summary->is_worse ||
	    (!slower && !verdict_is_worse(&sum->fresh, &sum->known)))
		return;
	summary->is_worse = true;
	summary->is_slower = slower;
	summary->route = sum->route;
}

/*
 * Sums up what the instances have seen of a roll-out: whether the new version
 * does worse than the old one, on any route, which is then named, or on all
 * together.  Times are compared in the first so many classes of load.
 */
void
ev_sum_up(const struct ev *ev, const char *service, const char *target,
    uint32_t loads, struct ev_summary *summary)
{
	static struct sum sums[EVIDENCE_ROUTES_MAX];
	static struct sum all;
	size_t count = 0;

	memset(&all, 0, sizeof(all));
	all.route = "";
	for (size_t i = 0; i < ev->count; i++) {
		const struct ev_row *row = &ev->rows[i];

		if (!is_of(row, service, target))
			continue;
		add_row(sum_of(sums, &count, row->route), row);
		add_row(&all, row);
	}
	*summary = (struct ev_summary){.fresh = all.fresh,
	    .known = all.known,
	    .fresh_timed = timing_count(&all.fresh_times),
	    .known_timed = timing_count(&all.known_times),
	    .route = ""};
	for (size_t i = 0; i < count; i++)
		judge(&sums[i], loads, summary);
	judge(&all, loads, summary);
}
