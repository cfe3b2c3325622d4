#include "route/loads.h"

#include <string.h>
#include <xxhash.h>

#include "base/slot_index.h"

struct source {
	uint32_t id;
	int64_t received_us;
	struct loads_entry *loads;
	size_t count;
};

/* What all current reports say of one server. */
struct total {
	struct loads_entry load;
	uint32_t reports;
};

struct load_reports {
	const struct alloc *alloc;
	int64_t report_ttl_us;
	struct source sources[LOADS_INSTANCES_MAX];
	size_t count;
	struct slot_index sources_by_id;
	struct total totals[LOADS_SERVERS_MAX];
	uint16_t total_count;
	struct slot_index totals_by_server;
	int64_t oldest_us; /* no report that counts is older */
};

/* Creates an empty table; a report expires after report_ttl_us. */
struct load_reports *
loads_new(const struct alloc *alloc, int64_t report_ttl_us)
{
	struct load_reports *reports = alloc_zero(alloc, 1, sizeof(*reports));

	reports->alloc = alloc;
	reports->report_ttl_us = report_ttl_us;
	slot_index_init(&reports->sources_by_id, alloc);
	slot_index_init(&reports->totals_by_server, alloc);
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
	slot_index_release(&reports->sources_by_id);
	slot_index_release(&reports->totals_by_server);
	alloc_free(reports->alloc, reports);
}

/* Adds a load to the total of its server, unless there are too many servers. */
static bool
add_load(struct load_reports *reports, const struct loads_entry *load)
{
	struct slot_index *index = &reports->totals_by_server;
	uint16_t i = slot_index_first(index, load->server);

	if (i == SLOT_INDEX_NONE) {
		if (reports->total_count == LOADS_SERVERS_MAX)
			return false;
		i = reports->total_count++;
		reports->totals[i] = (struct total){{load->server, 0, 0}, 0};
		slot_index_put(index, load->server, i);
	}
	reports->totals[i].load.pending_ms += load->pending_ms;
	reports->totals[i].load.running += load->running;
	reports->totals[i].reports++;
	return true;
}

/* Takes a load that was added out of the total of its server. */
static void
remove_load(struct load_reports *reports, const struct loads_entry *load)
{
	struct slot_index *index = &reports->totals_by_server;
	uint16_t i = slot_index_first(index, load->server), last;

	if (i == SLOT_INDEX_NONE)
		return;
	reports->totals[i].load.pending_ms -= load->pending_ms;
	reports->totals[i].load.running -= load->running;
	if (--reports->totals[i].reports > 0)
		return;
	last = --reports->total_count;
	slot_index_remove(index, i);
	slot_index_remove(index, last);
	if (i == last)
		return;
	reports->totals[i] = reports->totals[last];
	slot_index_put(index, reports->totals[i].load.server, i);
}

/* Takes a report out of the totals. */
static void
clear_report(struct load_reports *reports, struct source *source)
{
	for (size_t i = 0; i < source->count; i++)
		remove_load(reports, &source->loads[i]);
	source->count = 0;
}

/* Takes the reports that have expired out of the totals. */
static void
expire_reports(struct load_reports *reports, int64_t now_us)
{
	if (now_us - reports->oldest_us <= reports->report_ttl_us)
		return;
	reports->oldest_us = now_us;
	for (size_t i = 0; i < reports->count; i++) {
		struct source *s = &reports->sources[i];

		if (now_us - s->received_us > reports->report_ttl_us)
			clear_report(reports, s);
		else if (s->received_us < reports->oldest_us)
			reports->oldest_us = s->received_us;
	}
}

static struct source *
known_source(struct load_reports *reports, uint32_t id)
{
	uint16_t i = slot_index_first(&reports->sources_by_id, id);

	return i != SLOT_INDEX_NONE ? &reports->sources[i] : NULL;
}

/* Returns an expired entry, which another instance may take, or NULL. */
static struct source *
find_expired(struct load_reports *reports, int64_t now_us)
{
	for (size_t i = 0; i < reports->count; i++) {
		if (now_us - reports->sources[i].received_us >
		    reports->report_ttl_us)
			return &reports->sources[i];
	}
	return NULL;
}

/*
 * Returns the entry of an instance, which may replace an expired one; NULL if
 * the table is full.
 */
static struct source *
find_source(struct load_reports *reports, uint32_t id, int64_t now_us)
{
	uint16_t known = slot_index_first(&reports->sources_by_id, id);
	struct source *s;

	if (known != SLOT_INDEX_NONE)
		return &reports->sources[known];
	s = find_expired(reports, now_us);
	if (s == NULL && reports->count == LOADS_INSTANCES_MAX)
		return NULL;
	if (s == NULL)
		s = &reports->sources[reports->count++];
	s->id = id;
	slot_index_put(
	    &reports->sources_by_id, id, (uint16_t)(s - reports->sources));
	return s;
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
	clear_report(reports, s);
	s->loads = alloc_resize(
	    reports->alloc, s->loads, (count > 0 ? count : 1) * sizeof(*loads));
	s->received_us = now_us;
	for (size_t i = 0; i < count; i++) {
		if (add_load(reports, &loads[i]))
			s->loads[s->count++] = loads[i];
	}
}

/*
 * Copies the totals without the report of one instance, which may be NULL, in
 * their order; the servers that no other instance reports have no reports.
 */
static void
copy_totals(const struct load_reports *reports, const struct source *except,
    struct total *out)
{
	const struct slot_index *index = &reports->totals_by_server;

	memcpy(out, reports->totals, reports->total_count * sizeof(*out));
	for (size_t i = 0; except != NULL && i < except->count; i++) {
		const struct loads_entry *load = &except->loads[i];
		uint16_t k = slot_index_first(index, load->server);

		if (k == SLOT_INDEX_NONE)
			continue;
		out[k].load.pending_ms -= load->pending_ms;
		out[k].load.running -= load->running;
		out[k].reports--;
	}
}

/*
 * Sums the current reports of all instances except one, and of all in another
 * table unless that is NULL, into out.  Returns the number of servers.
 */
size_t
loads_sum_with(struct load_reports *reports, uint32_t except,
    struct load_reports *others, int64_t now_us, struct loads_entry *out,
    size_t max)
{
	static struct total totals[2 * LOADS_SERVERS_MAX];
	size_t total_count, count = 0;

	expire_reports(reports, now_us);
	copy_totals(reports, known_source(reports, except), totals);
	total_count = reports->total_count;
	if (others != NULL)
		expire_reports(others, now_us);
	for (uint16_t i = 0; others != NULL && i < others->total_count; i++) {
		const struct total *other = &others->totals[i];
		uint16_t k = slot_index_first(
		    &reports->totals_by_server, other->load.server);

		if (k == SLOT_INDEX_NONE) {
			totals[total_count++] = *other;
			continue;
		}
		totals[k].load.pending_ms += other->load.pending_ms;
		totals[k].load.running += other->load.running;
		totals[k].reports += other->reports;
	}
	for (size_t i = 0; i < total_count && count < max; i++) {
		if (totals[i].reports > 0)
			out[count++] = totals[i].load;
	}
	return count;
}

/*
 * Sums the current reports of all instances except one into out.  Returns the
 * number of servers.
 */
size_t
loads_sum_others(struct load_reports *reports, uint32_t except, int64_t now_us,
    struct loads_entry *out, size_t max)
{
	return loads_sum_with(reports, except, NULL, now_us, out, max);
}

/* Returns the hash that identifies a server in reports. */
uint32_t
loads_server_hash(const char *id)
{
	return XXH32(id, strlen(id), 0);
}

/*
 * Tells whether an instance with requests at so many servers is to report now,
 * and records that it does.
 */
bool
loads_is_due(struct loads_schedule *schedule, size_t count, int64_t now_us)
{
	if (count == 0 && schedule->was_empty &&
	    now_us - schedule->sent_us < LOADS_IDLE_PERIOD_US)
		return false;
	schedule->was_empty = count == 0;
	schedule->sent_us = now_us;
	return true;
}
