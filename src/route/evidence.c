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
	if (ev->count == EV_ROWS_MAX)
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
};

static struct sum *
sum_of(struct sum *sums, size_t *count, const char *route)
{
	for (size_t i = 0; i < *count; i++) {
		if (strcmp(sums[i].route, route) == 0)
			return &sums[i];
	}
	if (*count == EV_ROUTES_MAX)
		return &sums[0];
	sums[*count] = (struct sum){.route = route};
	return &sums[(*count)++];
}

/*
 * Tells whether a new version does worse than the old one, on all routes
 * together or on any of them, which is then named; sets the counts of all
 * routes.
 */
bool
ev_is_worse(const struct ev *ev, const char *service, const char *target,
    struct vd_counts *fresh, struct vd_counts *known, const char **route)
{
	static struct sum sums[EV_ROUTES_MAX];
	size_t count = 0;

	memset(fresh, 0, sizeof(*fresh));
	memset(known, 0, sizeof(*known));
	*route = "";
	for (size_t i = 0; i < ev->count; i++) {
		const struct ev_row *row = &ev->rows[i];
		struct sum *sum;

		if (!is_of(row, service, target))
			continue;
		sum = sum_of(sums, &count, row->route);
		add(&sum->fresh, &row->fresh);
		add(&sum->known, &row->known);
		add(fresh, &row->fresh);
		add(known, &row->known);
	}
	for (size_t i = 0; i < count; i++) {
		if (vd_is_worse(&sums[i].fresh, &sums[i].known)) {
			*route = sums[i].route;
			return true;
		}
	}
	return vd_is_worse(fresh, known);
}
