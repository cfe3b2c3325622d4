#include "route/timing.h"

#include <math.h>
#include <string.h>

enum {
	SLOT_CLASSES = 3,
	KNOWN_MIN = 8, /* answers of the old version, to compare a class */
	SLOW_MIN = 4, /* answers that take too long, before they count */
	SLOW_MIN_DOUBTFUL = 3
};

/* Reading that ends the classes but the last. */
static const double reading_ms[TI_LOADS - 1] = {10, 50, 150, 400, 1000};
static const double least_more = 0.12; /* a smaller share is borne */
static const double least_variance = 0.01; /* where none took so long yet */
static const double sure_deviations = 4.0;
static const double doubtful_deviations = 3.0;

/* The class of a server that has so many requests: a third of its slots each.
 */
uint32_t
ti_load_of(uint32_t requests, uint32_t slots)
{
	uint32_t load = slots > 0 ? requests * SLOT_CLASSES / slots : 0;

	return load < SLOT_CLASSES ? load : SLOT_CLASSES - 1;
}

/* The class of a server that has to read prompts for so long. */
uint32_t
ti_reading(double ms)
{
	uint32_t load = 0;

	while (load < TI_LOADS - 1 && ms >= reading_ms[load])
		load++;
	return load;
}

/* Counts an answer that took so long at a server of a class. */
void
ti_add(struct timing_histogram *timing_histogram, uint32_t load, double ms)
{
	int bucket = ms > 1 ? (int)(log2(ms) * TIMING_BUCKETS_PER_DOUBLING) : 0;
	uint16_t *cell;

	if (bucket >= TIMING_BUCKETS)
		bucket = TIMING_BUCKETS - 1;
	cell =
	    &timing_histogram->cells[load * TIMING_BUCKETS + (uint32_t)bucket];
	if (*cell < UINT16_MAX)
		(*cell)++;
}

/*
 * Writes the counts as pairs of a cell, as its distance from the one before,
 * and its count.  Returns how many numbers that are.
 */
uint32_t
ti_pack(const struct timing_histogram *timing_histogram,
    uint32_t out[TI_PACKED_MAX])
{
	uint32_t count = 0, before = 0;

	for (uint32_t i = 0; i < TIMING_CELLS; i++) {
		if (timing_histogram->cells[i] == 0)
			continue;
		out[count++] = i - before;
		out[count++] = timing_histogram->cells[i];
		before = i;
	}
	return count;
}

/* Reads them; false if they are not such pairs. */
bool
ti_unpack(struct timing_histogram *timing_histogram, const uint32_t *pairs,
    size_t count)
{
	uint64_t cell = 0;

	memset(timing_histogram, 0, sizeof(*timing_histogram));
	if (count % 2 != 0)
		return false;
	for (size_t i = 0; i < count; i += 2) {
		cell += pairs[i];
		if (cell >= TIMING_CELLS || pairs[i + 1] > UINT16_MAX)
			return false;
		timing_histogram->cells[cell] = (uint16_t)pairs[i + 1];
	}
	return true;
}

/* Adds the counts of another instance. */
void
timing_merge(struct timing_histogram *to, const struct timing_histogram *from)
{
	for (uint32_t i = 0; i < TIMING_CELLS; i++) {
		uint32_t sum = (uint32_t)to->cells[i] + from->cells[i];

		to->cells[i] = (uint16_t)(sum < UINT16_MAX ? sum : UINT16_MAX);
	}
}

/* Returns how many answers were counted. */
uint32_t
timing_count(const struct timing_histogram *timing_histogram)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < TIMING_CELLS; i++)
		count += timing_histogram->cells[i];
	return count;
}

/* What the classes of both versions add up to, down to one time. */
struct sums {
	uint32_t compared; /* answers of the new version */
	uint32_t slow; /* of these, those that took longer */
	double expected;
	double variance;
};

/*
 * Adds a class at one time.  fresh_above and known_above are the answers that
 * took longer, the old version's by the margin less.
 */
static void
add_class(struct sums *sums, uint32_t fresh_above, uint32_t fresh_count,
    uint32_t known_above, uint32_t known_count)
{
	double share = (double)known_above / known_count;
	/* The share itself is known from so many answers only. */
	double widening = 1 + (double)fresh_count / known_count;

	sums->compared += fresh_count;
	sums->slow += fresh_above;
	sums->expected += share * fresh_count;
	sums->variance +=
	    (share * (1 - share) + least_variance) * fresh_count * widening;
}

static bool
is_beyond(const struct sums *sums, enum timing_confidence doubt)
{
	double more = sums->slow - sums->expected;
	bool sure = doubt == TIMING_CERTAIN;

	return sums->slow >= (sure ? SLOW_MIN : SLOW_MIN_DOUBTFUL) &&
	       more > least_more * sums->compared &&
	       more > (sure ? sure_deviations : doubtful_deviations) *
			  sqrt(sums->variance);
}

/* What took at least as long as each place of the scale, by class. */
struct above {
	uint32_t counts[TI_LOADS][TIMING_BUCKETS];
};

static void
sum_above(const struct timing_histogram *timing_histogram, struct above *above)
{
	for (uint32_t load = 0; load < TI_LOADS; load++) {
		uint32_t sum = 0;

		for (uint32_t at = TIMING_BUCKETS; at-- > 0;) {
			sum +=
			    timing_histogram->cells[load * TIMING_BUCKETS + at];
			above->counts[load][at] = sum;
		}
	}
}

/*
 * Tells whether the new version's answers take longer than the old one's, in
 * the first so many classes.
 */
bool
timing_is_slower(const struct timing_histogram *fresh,
    const struct timing_histogram *known, uint32_t loads,
    enum timing_confidence doubt)
{
	struct above f, k;

	sum_above(fresh, &f);
	sum_above(known, &k);
	for (uint32_t at = TIMING_MARGIN_BUCKETS; at < TIMING_BUCKETS; at++) {
		struct sums sums = {0};

		for (uint32_t load = 0; load < loads; load++) {
			if (k.counts[load][0] >= KNOWN_MIN)
				add_class(&sums, f.counts[load][at],
				    f.counts[load][0],
				    k.counts[load][at - TIMING_MARGIN_BUCKETS],
				    k.counts[load][0]);
		}
		if (is_beyond(&sums, doubt))
			return true;
	}
	return false;
}
