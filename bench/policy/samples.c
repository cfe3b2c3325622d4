#include "policy/samples.h"

#include <stdlib.h>

void
samples_add(struct samples *t, double value)
{
	double *p;

	if (t->count == t->capacity) {
		t->capacity = t->capacity == 0 ? 4096 : 2 * t->capacity;
		p = realloc(t->items, t->capacity * sizeof(*p));
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

/* Sorts the values and returns their percentile; part is 0 to 1. */
double
samples_percentile(struct samples *t, double part)
{
	size_t i;

	if (t->count == 0)
		return 0;
	qsort(t->items, t->count, sizeof(*t->items), compare);
	i = (size_t)(part * (double)t->count);
	return t->items[i < t->count ? i : t->count - 1];
}

void
samples_free(struct samples *t)
{
	free(t->items);
}
