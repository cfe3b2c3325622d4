#include "route/loads.h"

#include <string.h>
#include <xxhash.h>

struct source {
	uint32_t id;
	int64_t at_us;
	struct ld_load *loads;
	size_t count;
};

struct ld {
	const struct alloc *alloc;
	int64_t lasting_us;
	struct source sources[LOADS_INSTANCES_MAX];
	size_t count;
};

/* Creates an empty table; a report counts for lasting_us. */
struct ld *
ld_new(const struct alloc *alloc, int64_t lasting_us)
{
	struct ld *ld = alloc_zero(alloc, 1, sizeof(*ld));

	ld->alloc = alloc;
	ld->lasting_us = lasting_us;
	return ld;
}

/* Releases a table. */
void
ld_free(struct ld *ld)
{
	if (ld == NULL)
		return;
	for (size_t i = 0; i < ld->count; i++)
		alloc_free(ld->alloc, ld->sources[i].loads);
	alloc_free(ld->alloc, ld);
}

static struct source *
source_of(struct ld *ld, uint32_t id, int64_t now_us)
{
	struct source *oldest = NULL;

	for (size_t i = 0; i < ld->count; i++) {
		struct source *s = &ld->sources[i];

		if (s->id == id)
			return s;
		if (now_us - s->at_us > ld->lasting_us)
			oldest = s;
	}
	if (oldest != NULL) {
		oldest->id = id;
		return oldest;
	}
	if (ld->count == LOADS_INSTANCES_MAX)
		return NULL;
	ld->sources[ld->count].id = id;
	return &ld->sources[ld->count++];
}

/* Takes an instance's report, which replaces its last one. */
void
ld_report(struct ld *ld, uint32_t source, const struct ld_load *loads,
    size_t count, int64_t now_us)
{
	struct source *s = source_of(ld, source, now_us);

	if (s == NULL)
		return;
	if (count > LD_SERVERS_MAX)
		count = LD_SERVERS_MAX;
	s->loads = alloc_resize(
	    ld->alloc, s->loads, (count > 0 ? count : 1) * sizeof(*loads));
	memcpy(s->loads, loads, count * sizeof(*loads));
	s->count = count;
	s->at_us = now_us;
}

static void
add(struct ld_load *out, size_t *count, size_t max, const struct ld_load *load)
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

/* Sums what all instances but one reported lately; returns how many servers. */
size_t
ld_sum(const struct ld *ld, uint32_t except, int64_t now_us,
    struct ld_load *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < ld->count; i++) {
		const struct source *s = &ld->sources[i];

		if (s->id == except || now_us - s->at_us > ld->lasting_us)
			continue;
		for (size_t k = 0; k < s->count; k++)
			add(out, &count, max, &s->loads[k]);
	}
	return count;
}

/* Returns the short name that reports give a server. */
uint32_t
loads_server_hash(const char *id)
{
	return XXH32(id, strlen(id), 0);
}
