#ifndef CF_HIST_H
#define CF_HIST_H

#include <stdint.h>

/*
 * Counts of durations in microseconds, in buckets no wider than 1/64 of their
 * value, so that percentiles are accurate to about 1.6% without keeping
 * samples.
 */
enum {
	HIST_STEPS = 64, /* buckets per power of two */
	HIST_POWERS = 34, /* up to about 4 hours */
	HIST_BUCKETS = HIST_STEPS * HIST_POWERS
};

struct hist {
	uint64_t count;
	uint64_t max_us;
	uint64_t buckets[HIST_BUCKETS];
};

void hist_add(struct hist *hist, int64_t value_us);
uint64_t hist_percentile(const struct hist *hist, double percent);

#endif
