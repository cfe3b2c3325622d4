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
	struct entry *first;
};

/* Creates an empty registry. */
struct metrics *
metrics_new(const struct alloc *alloc)
{
	struct metrics *metrics = alloc_zero(alloc, 1, sizeof(*metrics));

	metrics->alloc = alloc;
	return metrics;
}

/* Releases the registry and every series in it. */
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
find(struct entry *e, const char *name, const char *labels)
{
	for (; e != NULL; e = e->next) {
		if (strcmp(e->name, name) == 0 &&
		    strcmp(e->labels, labels) == 0)
			return e;
	}
	return NULL;
}

/*
 * Returns the series of a name and labels ("" for none, otherwise such as
 * kind="rate"), made on first use.  Series of one name stay together.
 */
struct metrics_series *
metrics_get(struct metrics *metrics, enum metrics_kind kind, const char *name,
    const char *labels)
{
	struct entry *e = find(metrics->first, name, labels);
	struct entry **at = &metrics->first;

	if (e != NULL)
		return &e->series;
	e = alloc_zero(metrics->alloc, 1, sizeof(*e));
	e->kind = kind;
	e->name = alloc_strdup(metrics->alloc, name);
	e->labels = alloc_strdup(metrics->alloc, labels);
	while (*at != NULL && strcmp((*at)->name, name) <= 0)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
	return &e->series;
}

/* Adds one duration to a histogram. */
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
	uint64_t below = 0;
	double limit_s = METRICS_FIRST_BUCKET_US / 1e6;

	for (int i = 0; i < METRICS_BUCKETS; i++) {
		below += e->series.buckets[i];
		if (i < METRICS_BUCKETS - 1)
			buf_addf(out,
			    "%s_bucket{%s%sle=\"%.6g\"} %" PRIu64 "\n", e->name,
			    e->labels, comma, limit_s, below);
		else
			buf_addf(out,
			    "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", e->name,
			    e->labels, comma, below);
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
	const char *last = "";

	for (const struct entry *e = metrics->first; e != NULL; e = e->next) {
		if (strcmp(last, e->name) != 0)
			buf_addf(
			    out, "# TYPE %s %s\n", e->name, kinds[e->kind]);
		last = e->name;
		if (e->kind == METRICS_HISTOGRAM)
			print_histogram(e, out);
		else
			buf_addf(out, "%s{%s} %" PRIu64 "\n", e->name,
			    e->labels, e->series.value);
	}
}
