#include "base/metrics.h"

#include <inttypes.h>
#include <string.h>

enum {
	METRICS_FIRST_BUCKET_US = 64
};

struct entry {
	struct metrics_series series;
	enum metrics_kind kind;
	char *name;
	char *labels; /* as printed between the braces; may be empty */
	struct entry *next;
};

struct metrics {
	const struct alloc *alloc;
	struct entry *first; /* sorted by name */
};

/* Creates an empty registry. */
struct metrics *
metrics_new(const struct alloc *alloc)
{
	struct metrics *metrics = alloc_zero(alloc, 1, sizeof(*metrics));

	metrics->alloc = alloc;
	return metrics;
}

/* Frees the registry and every series in it. */
void
metrics_free(struct metrics *metrics)
{
	struct entry *next;

	if (metrics == NULL)
		return;
	for (struct entry *e = metrics->first; e != NULL; e = next) {
		next = e->next;
		alloc_free(metrics->alloc, e->name);
		alloc_free(metrics->alloc, e->labels);
		alloc_free(metrics->alloc, e);
	}
	alloc_free(metrics->alloc, metrics);
}

static struct entry *
find_entry(struct entry *e, const char *name, const char *labels)
{
	for (; e != NULL; e = e->next) {
		if (strcmp(e->name, name) == 0 &&
		    strcmp(e->labels, labels) == 0)
			return e;
	}
	return NULL;
}

/*
 * Returns the series with the given name and labels, and creates it on first
 * use.  labels is "" for none, or for example kind="rate".  Series are kept
 * sorted by name, because the output groups them by metric.
 */
struct metrics_series *
metrics_get(struct metrics *metrics, enum metrics_kind kind, const char *name,
    const char *labels)
{
	struct entry *e = find_entry(metrics->first, name, labels);
	struct entry **link = &metrics->first;

	if (e != NULL)
		return &e->series;
	e = alloc_zero(metrics->alloc, 1, sizeof(*e));
	e->kind = kind;
	e->name = alloc_strdup(metrics->alloc, name);
	e->labels = alloc_strdup(metrics->alloc, labels);
	while (*link != NULL && strcmp((*link)->name, name) <= 0)
		link = &(*link)->next;
	e->next = *link;
	*link = e;
	return &e->series;
}

/*
 * Adds a duration in microseconds to a histogram.  A negative duration adds
 * nothing to the sum.
 */
void
metrics_observe_us(struct metrics_series *series, int64_t duration_us)
{
	int64_t limit_us = METRICS_FIRST_BUCKET_US;
	int i;

	for (i = 0; i < METRICS_BUCKETS - 1 && duration_us > limit_us; i++)
		limit_us *= 2;
	series->buckets[i]++;
	series->value++;
	series->sum_us += duration_us > 0 ? (uint64_t)duration_us : 0;
}

static void
print_histogram(const struct entry *e, struct buf *out)
{
	const char *comma = e->labels[0] != '\0' ? "," : "";
	uint64_t cumulative = 0;
	double limit_s = METRICS_FIRST_BUCKET_US / 1e6;

	for (int i = 0; i < METRICS_BUCKETS; i++) {
		cumulative += e->series.buckets[i];
		if (i < METRICS_BUCKETS - 1)
			buf_addf(out,
			    "%s_bucket{%s%sle=\"%.6g\"} %" PRIu64 "\n", e->name,
			    e->labels, comma, limit_s, cumulative);
		else
			buf_addf(out,
			    "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", e->name,
			    e->labels, comma, cumulative);
		limit_s *= 2;
	}
	buf_addf(out, "%s_sum{%s} %.6f\n", e->name, e->labels,
	    (double)e->series.sum_us / 1e6);
	buf_addf(out, "%s_count{%s} %" PRIu64 "\n", e->name, e->labels,
	    e->series.value);
}

/* Appends every series in the Prometheus text format. */
void
metrics_print(const struct metrics *metrics, struct buf *out)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	const char *last_name = "";

	for (const struct entry *e = metrics->first; e != NULL; e = e->next) {
		if (strcmp(last_name, e->name) != 0)
			buf_addf(
			    out, "# TYPE %s %s\n", e->name, kinds[e->kind]);
		last_name = e->name;
		if (e->kind == METRICS_HISTOGRAM)
			print_histogram(e, out);
		else
			buf_addf(out, "%s{%s} %" PRIu64 "\n", e->name,
			    e->labels, e->series.value);
	}
}
