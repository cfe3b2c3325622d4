#include "hist.h"

enum {
	HIST_STEP_BITS = 6 /* base-2 logarithm of HIST_STEPS */
};

/* Returns the bucket of a value; the last one holds all that are larger. */
static unsigned
hist_bucket(uint64_t value)
{
	unsigned power, bucket;

	if (value < HIST_STEPS)
		return (unsigned)value;
	power = 63 - (unsigned)__builtin_clzll(value);
	bucket = (power - HIST_STEP_BITS + 1) * HIST_STEPS +
		 (unsigned)(value >> (power - HIST_STEP_BITS)) - HIST_STEPS;
	return bucket < HIST_BUCKETS ? bucket : HIST_BUCKETS - 1;
}

/* Returns the highest value of a bucket. */
static uint64_t
hist_bucket_max_us(unsigned bucket)
{
	unsigned power = bucket / HIST_STEPS;

	if (power == 0)
		return bucket;
	return ((uint64_t)(bucket % HIST_STEPS + HIST_STEPS + 1)
		   << (power - 1)) -
	       1;
}

/* Counts one duration; a negative one counts as 0. */
void
hist_add(struct hist *hist, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;

	hist->count++;
	hist->buckets[hist_bucket(value)]++;
	if (value > hist->max_us)
		hist->max_us = value;
}

/*
 * Returns the duration in microseconds that this percentage of the durations
 * does not exceed; 0 if there are none.
 */
uint64_t
hist_percentile(const struct hist *hist, double percent)
{
	uint64_t rank = (uint64_t)((double)hist->count * percent / 100 + 0.5);
	uint64_t seen = 0, value;
	unsigned i;

	if (hist->count == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (i = 0; i < HIST_BUCKETS; i++) {
		seen += hist->buckets[i];
		if (seen >= rank)
			break;
	}
	value = hist_bucket_max_us(i);
	return value < hist->max_us ? value : hist->max_us;
}
