#include "route/timing.h"

#include <math.h>
#include <string.h>

enum {
	SLOT_LOAD_CLASSES = 3,
	/* Answers of the old version before a load class is compared */
	BASE_ANSWERS_MIN = 8,
	/* Slow answers of the new version before they count */
	SLOW_ANSWERS_MIN = 4,
	SLOW_ANSWERS_MIN_LIKELY = 3
};

/* Prompt work that bounds each load class but the last. */
static const double prefill_class_ms[TIMING_LOAD_CLASSES - 1] = {
    10, 50, 150, 400, 1000};
/* Share of additional slow answers that is tolerated */
static const double excess_share_min = 0.12;
/* Added to the variance, for times that no answer of the old version reached */
static const double variance_min = 0.01;
static const double certain_deviations = 4.0;
static const double likely_deviations = 3.0;

/*
 * Returns the load class of a server by its requests: one class for each third
 * of its slots.
 */
uint32_t
timing_slot_load_class(uint32_t requests, uint32_t slots)
{
	uint32_t load_class =
	    slots > 0 ? requests * SLOT_LOAD_CLASSES / slots : 0;

	return load_class < SLOT_LOAD_CLASSES ? load_class
					      : SLOT_LOAD_CLASSES - 1;
}

/* Returns the load class of a server by the prompt work queued there, in ms. */
uint32_t
timing_prefill_load_class(double ms)
{
	uint32_t load_class = 0;

	while (load_class < TIMING_LOAD_CLASSES - 1 &&
	       ms >= prefill_class_ms[load_class])
		load_class++;
	return load_class;
}

/*
 * Counts an answer that took so many milliseconds at a server of a load class.
 */
void
timing_add(struct timing_histogram *histogram, uint32_t load_class, double ms)
{
	int bucket = ms > 1 ? (int)(log2(ms) * TIMING_BUCKETS_PER_DOUBLING) : 0;
	uint16_t *cell;

	if (bucket >= TIMING_BUCKETS)
		bucket = TIMING_BUCKETS - 1;
	cell =
	    &histogram->cells[load_class * TIMING_BUCKETS + (uint32_t)bucket];
	if (*cell < UINT16_MAX)
		(*cell)++;
}

/*
 * Encodes the non-empty cells as pairs of a cell's distance from the previous
 * one and its count.  Returns the number of values written.
 */
uint32_t
timing_pack(
    const struct timing_histogram *histogram, uint32_t out[TIMING_PACKED_MAX])
{
	uint32_t count = 0, before = 0;

	for (uint32_t i = 0; i < TIMING_CELLS; i++) {
		if (histogram->cells[i] == 0)
			continue;
		out[count++] = i - before;
		out[count++] = histogram->cells[i];
		before = i;
	}
	return count;
}

/* Decodes what timing_pack() wrote; returns false if it is malformed. */
bool
timing_unpack(
    struct timing_histogram *histogram, const uint32_t *pairs, size_t count)
{
	uint64_t cell = 0;

	memset(histogram, 0, sizeof(*histogram));
	if (count % 2 != 0)
		return false;
	for (size_t i = 0; i < count; i += 2) {
		cell += pairs[i];
		if (cell >= TIMING_CELLS || pairs[i + 1] > UINT16_MAX)
			return false;
		histogram->cells[cell] = (uint16_t)pairs[i + 1];
	}
	return true;
}

/* Adds the counts of another histogram. */
void
timing_merge(struct timing_histogram *to, const struct timing_histogram *from)
{
	for (uint32_t i = 0; i < TIMING_CELLS; i++) {
		uint32_t sum = (uint32_t)to->cells[i] + from->cells[i];

		to->cells[i] = (uint16_t)(sum < UINT16_MAX ? sum : UINT16_MAX);
	}
}

/* Returns the number of answers counted. */
uint32_t
timing_count(const struct timing_histogram *histogram)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < TIMING_CELLS; i++)
		count += histogram->cells[i];
	return count;
}

/* Totals over the compared load classes for one time threshold. */
struct comparison {
	uint32_t compared; /* answers of the new version */
	uint32_t slow; /* of these, the answers above the threshold */
	double expected;
	double variance;
};

/*
 * Adds a load class for one threshold.  fresh_above are the new version's
 * answers above the threshold, known_above the old version's answers above the
 * threshold less the margin.
 */
static void
add_class(struct comparison *sums, uint32_t fresh_above, uint32_t fresh_count,
    uint32_t known_above, uint32_t known_count)
{
	double share = (double)known_above / known_count;
	/*
	 * The old version's share is itself an estimate from known_count
	 * answers.
	 */
	double widening = 1 + (double)fresh_count / known_count;

	sums->compared += fresh_count;
	sums->slow += fresh_above;
	sums->expected += share * fresh_count;
	sums->variance +=
	    (share * (1 - share) + variance_min) * fresh_count * widening;
}

/*
 * Tells whether there are more slow answers than the tolerance and chance
 * explain.
 */
static bool
exceeds_expectation(
    const struct comparison *sums, enum timing_confidence confidence)
{
	double more = sums->slow - sums->expected;
	bool certain = confidence == TIMING_CERTAIN;

	return sums->slow >=
		   (certain ? SLOW_ANSWERS_MIN : SLOW_ANSWERS_MIN_LIKELY) &&
	       more > excess_share_min * sums->compared &&
	       more > (certain ? certain_deviations : likely_deviations) *
			  sqrt(sums->variance);
}

/* Number of answers in each bucket or a slower one, by load class. */
struct exceedance {
	uint32_t counts[TIMING_LOAD_CLASSES][TIMING_BUCKETS];
};

/* Computes, for each bucket, the number of answers in it or in a slower one. */
static void
count_exceeding(
    const struct timing_histogram *histogram, struct exceedance *above)
{
	for (uint32_t load_class = 0; load_class < TIMING_LOAD_CLASSES;
	     load_class++) {
		uint32_t sum = 0;

		for (uint32_t at = TIMING_BUCKETS; at-- > 0;) {
			sum +=
			    histogram->cells[load_class * TIMING_BUCKETS + at];
			above->counts[load_class][at] = sum;
		}
	}
}

/*
 * Tells whether the new version's answers take longer than the old version's in
 * the first load_classes load classes.
 */
bool
timing_is_slower(const struct timing_histogram *fresh,
    const struct timing_histogram *known, uint32_t load_classes,
    enum timing_confidence confidence)
{
	struct exceedance fresh_above, known_above;

	count_exceeding(fresh, &fresh_above);
	count_exceeding(known, &known_above);
	for (uint32_t at = TIMING_MARGIN_BUCKETS; at < TIMING_BUCKETS; at++) {
		struct comparison sums = {0};

		for (uint32_t load_class = 0; load_class < load_classes;
		     load_class++) {
			if (known_above.counts[load_class][0] >=
			    BASE_ANSWERS_MIN)
				add_class(&sums,
				    fresh_above.counts[load_class][at],
				    fresh_above.counts[load_class][0],
				    known_above
					.counts[load_class]
					       [at - TIMING_MARGIN_BUCKETS],
				    known_above.counts[load_class][0]);
		}
		if (exceeds_expectation(&sums, confidence))
			return true;
	}
	return false;
}
