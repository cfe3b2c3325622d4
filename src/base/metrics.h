#ifndef CF_METRICS_H
#define CF_METRICS_H

#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The daemon's counters, gauges and latency histograms, printed in the
 * Prometheus text format.  A series lives as long as its registry, so a module
 * can look it up once and keep the pointer.
 */
enum metrics_kind {
	METRICS_COUNTER,
	METRICS_GAUGE,
	METRICS_HISTOGRAM
};
enum {
	METRICS_BUCKETS = 20
}; /* upper bounds double from 64 us; the last bucket is unbounded */

struct metrics_series {
	uint64_t value; /* for a histogram, the number of samples */
	uint64_t sum_us; /* histograms only */
	uint64_t buckets[METRICS_BUCKETS]; /* samples each, not cumulative */
};

struct metrics;

struct metrics *metrics_new(const struct alloc *alloc);
void metrics_free(struct metrics *metrics);
struct metrics_series *metrics_get(struct metrics *metrics,
    enum metrics_kind kind, const char *name, const char *labels);
void metrics_observe_us(struct metrics_series *series, int64_t duration_us);
void metrics_print(const struct metrics *metrics, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
