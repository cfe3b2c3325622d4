#include <stdlib.h>

#include "state/cfgstore_i.h"

/* Reads the recorded answer to a change id; false if there is none. */
bool
cs_answer(const struct cs *cs, const char *id, struct cs_result *result)
{
	const struct cfgstore_answer *answered = cfgstore_find_answer(cs, id);

	if (answered == NULL)
		return false;
	*result = answered->result;
	result->repeated = true;
	return true;
}

/* Returns the revision of the last accepted change. */
uint64_t
cs_revision(const struct cs *cs)
{
	return cs->revision;
}

/* Returns the log index of the last entry applied. */
uint64_t
cs_applied_index(const struct cs *cs)
{
	return cs->log_index;
}

/* Returns the number of sections in the document. */
size_t
cfgstore_section_count(const struct cs *cs)
{
	return cs->present_count;
}

static void
fill_section(
    const struct cfgstore_stored_section *stored, struct cs_section *section)
{
	section->path = stored->path;
	section->text = stored->text;
	section->len = stored->len;
	section->revision = stored->revision;
	section->author = stored->author;
	section->when_us = stored->when_us;
	section->removed = stored->removed;
}

/* Reads the i-th section in path order; false past the end. */
bool
cs_section_at(const struct cs *cs, size_t i, struct cs_section *section)
{
	size_t at;

	if (i >= cs->present_count)
		return false;
	if (cs->present_count == cs->section_count) {
		fill_section(&cs->sections[i], section);
		return true;
	}
	for (at = 0; at < cs->section_count; at++) {
		if (cs->sections[at].removed)
			continue;
		if (i-- == 0)
			break;
	}
	fill_section(&cs->sections[at], section);
	return true;
}

/* Reads the section at a path; false if the document has none. */
bool
cs_section_get(
    const struct cs *cs, const char *path, struct cs_section *section)
{
	bool found;
	size_t i = cfgstore_find_index(cs, path, &found);

	if (!found || cs->sections[i].removed)
		return false;
	fill_section(&cs->sections[i], section);
	return true;
}

/* Returns the number of changes in the history. */
size_t
cs_history_count(const struct cs *cs)
{
	return cs->history_count;
}

/* Reads the i-th history entry, the oldest first; false past the end. */
bool
cs_history_at(const struct cs *cs, size_t i, struct cs_history *entry)
{
	const struct cfgstore_history_record *event;

	if (i >= cs->history_count)
		return false;
	event = &cs->history[i];
	entry->revision = event->revision;
	entry->log_index = event->log_index;
	entry->when_us = event->when_us;
	entry->id = event->id;
	entry->author = event->author;
	entry->team = event->team;
	entry->paths = event->paths;
	return true;
}

static int
revision_order(const void *a, const void *b)
{
	const struct cfgstore_stored_section *x =
	    *(const struct cfgstore_stored_section *const *)a;
	const struct cfgstore_stored_section *y =
	    *(const struct cfgstore_stored_section *const *)b;

	return (x->revision > y->revision) - (x->revision < y->revision);
}

/*
 * Calls visit for each section changed or removed after a revision, oldest
 * first.  Returns 0, or ERR_STALE if the whole document must be sent instead.
 */
int
cs_since(const struct cs *cs, uint64_t revision,
    void (*visit)(void *ctx, const struct cs_section *section), void *ctx)
{
	const struct cfgstore_stored_section **changed;
	struct cs_section section;
	size_t count = 0, i;

	if (revision < cs->delta_base_min || revision > cs->revision)
		return ERR_STALE;
	changed =
	    alloc_get(cs->alloc, (cs->section_count + 1) * sizeof(void *));
	for (i = 0; i < cs->section_count; i++)
		if (cs->sections[i].revision > revision)
			changed[count++] = &cs->sections[i];
	qsort((void *)changed, count, sizeof(void *), revision_order);
	for (i = 0; i < count; i++) {
		fill_section(changed[i], &section);
		visit(ctx, &section);
	}
	alloc_free(cs->alloc, (void *)changed);
	return 0;
}
