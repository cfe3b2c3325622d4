#ifndef BENCH_TALLY_H
#define BENCH_TALLY_H

#include <stddef.h>

/* Numbers whose percentiles are asked for at the end. */
struct tally {
	double *items;
	size_t count;
	size_t room;
};

void tally_add(struct tally *tally, double value);
double tally_percentile(struct tally *tally, double part);
void tally_free(struct tally *tally);

#endif
