#include "policy/tally.h"

#include <stdlib.h>

void
tally_add(struct tally *t, double value)
{
	double *p;

	if (t->count == t->room) {
		t->room = t->room == 0 ? 4096 : 2 * t->room;
		p = realloc(t->items, t->room * sizeof(*p));
		if (p == NULL)
			abort();
		t->items = p;
	}
	t->items[t->count++] = value;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns the value below which a part of the numbers lies; sorts them. */
double
tally_percentile(struct tally *t, double part)
{
	size_t i;

	if (t->count == 0)
		return 0;
	qsort(t->items, t->count, sizeof(*t->items), compare);
	i = (size_t)(part * (double)t->count);
	return t->items[i < t->count ? i : t->count - 1];
}

void
tally_free(struct tally *t)
{
	free(t->items);
}
