#ifndef BENCH_SAMPLES_H
#define BENCH_SAMPLES_H

#include <stddef.h>

/* Collected values whose percentiles are computed at the end of a run. */
struct samples {
	double *items;
	size_t count;
	size_t capacity;
};

void samples_add(struct samples *samples, double value);
double samples_percentile(struct samples *samples, double part);
void samples_free(struct samples *samples);

#endif
