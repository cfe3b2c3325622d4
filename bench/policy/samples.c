#include "policy/samples.h"

#include <stdlib.h>

void
samples_add(struct samples *s, double value)
{
	double *p;

	if (s->count == s->capacity) {
		s->capacity = s->capacity == 0 ? 4096 : 2 * s->capacity;
		p = realloc(s->items, s->capacity * sizeof(*p));
		if (p == NULL)
			abort();
		s->items = p;
	}
	s->items[s->count++] = value;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Sorts the values and returns their percentile; part is 0 to 1. */
double
samples_percentile(struct samples *s, double part)
{
	size_t i;

	if (s->count == 0)
		return 0;
	qsort(s->items, s->count, sizeof(*s->items), compare);
	i = (size_t)(part * (double)s->count);
	return s->items[i < s->count ? i : s->count - 1];
}

void
samples_free(struct samples *s)
{
	free(s->items);
}
