#include "route/loads.h"

#include <string.h>
#include <xxhash.h>

struct source {
	uint32_t id;
	int64_t received_us;
	struct loads_entry *loads;
	size_t count;
};

struct load_reports {
	const struct alloc *alloc;
	int64_t report_ttl_us;
	struct source sources[LOADS_INSTANCES_MAX];
	size_t count;
};

/* Creates an empty table; a report expires after report_ttl_us. */
struct load_reports *
loads_new(const struct alloc *alloc, int64_t report_ttl_us)
{
	struct load_reports *reports = alloc_zero(alloc, 1, sizeof(*reports));

	reports->alloc = alloc;
	reports->report_ttl_us = report_ttl_us;
	return reports;
}

/* Releases a table and its reports. */
void
loads_free(struct load_reports *reports)
{
	if (reports == NULL)
		return;
	for (size_t i = 0; i < reports->count; i++)
		alloc_free(reports->alloc, reports->sources[i].loads);
	alloc_free(reports->alloc, reports);
}

/*
 * Returns the entry of an instance, which may replace an expired one; NULL if
 * the table is full.
 */
static struct source *
find_source(struct load_reports *reports, uint32_t id, int64_t now_us)
{
	struct source *oldest = NULL;

	for (size_t i = 0; i < reports->count; i++) {
		struct source *s = &reports->sources[i];

		if (s->id == id)
			return s;
		if (now_us - s->received_us > reports->report_ttl_us)
			oldest = s;
	}
	if (oldest != NULL) {
		oldest->id = id;
		return oldest;
	}
	if (reports->count == LOADS_INSTANCES_MAX)
		return NULL;
	reports->sources[reports->count].id = id;
	return &reports->sources[reports->count++];
}

/*
 * Stores an instance's report in place of its previous one.  It is dropped if
 * the table is full of current reports.
 */
void
loads_store_report(struct load_reports *reports, uint32_t source,
    const struct loads_entry *loads, size_t count, int64_t now_us)
{
	struct source *s = find_source(reports, source, now_us);

	if (s == NULL)
		return;
	if (count > LOADS_SERVERS_MAX)
		count = LOADS_SERVERS_MAX;
	s->loads = alloc_resize(
	    reports->alloc, s->loads, (count > 0 ? count : 1) * sizeof(*loads));
	memcpy(s->loads, loads, count * sizeof(*loads));
	s->count = count;
	s->received_us = now_us;
}

/*
 * Adds the load of one server to a sum; it is dropped if the sum already has
 * max servers.
 */
static void
add_load(struct loads_entry *out, size_t *count, size_t max,
    const struct loads_entry *load)
{
	for (size_t i = 0; i < *count; i++) {
		if (out[i].server == load->server) {
			out[i].pending_ms += load->pending_ms;
			out[i].running += load->running;
			return;
		}
	}
	if (*count < max)
		out[(*count)++] = *load;
}

/*
 * Sums the current reports of all instances except one into out.  Returns the
 * number of servers.
 */
size_t
loads_sum_others(const struct load_reports *reports, uint32_t except,
    int64_t now_us, struct loads_entry *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < reports->count; i++) {
		const struct source *s = &reports->sources[i];

		if (s->id == except ||
		    now_us - s->received_us > reports->report_ttl_us)
			continue;
		for (size_t k = 0; k < s->count; k++)
			add_load(out, &count, max, &s->loads[k]);
	}
	return count;
}

/* Returns the hash that identifies a server in reports. */
uint32_t
loads_server_hash(const char *id)
{
	return XXH32(id, strlen(id), 0);
}
