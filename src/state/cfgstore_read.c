#include <stdlib.h>

#include "state/cfgstore_i.h"

/* Brings the answer that a change id has had; false if none is known. */
bool
cfgstore_get_answer(const struct cfgstore *cfgstore, const char *id,
    struct cfgstore_result *result)
{
	const struct cs_answered *answered = cs_recall(cfgstore, id);

	if (answered == NULL)
		return false;
	*result = answered->result;
	result->repeated = true;
	return true;
}

/* Returns the revision of the last accepted change. */
uint64_t
cfgstore_revision(const struct cfgstore *cfgstore)
{
	return cfgstore->revision;
}

/* Returns the log index of the last entry applied. */
uint64_t
cfgstore_applied_index(const struct cfgstore *cfgstore)
{
	return cfgstore->log_index;
}

/* Returns the number of sections in the document. */
size_t
cs_section_count(const struct cfgstore *cfgstore)
{
	return cfgstore->present_count;
}

static void
show(const struct cs_stored *stored, struct cfgstore_section *section)
{
	section->path = stored->path;
	section->text = stored->text;
	section->len = stored->len;
	section->revision = stored->revision;
	section->author = stored->author;
	section->when_us = stored->when_us;
	section->removed = stored->removed;
}

/* Brings the section at a position in the order of paths. */
bool
cfgstore_section_at(
    const struct cfgstore *cfgstore, size_t i, struct cfgstore_section *section)
{
	size_t at;

	if (i >= cfgstore->present_count)
		return false;
	if (cfgstore->present_count == cfgstore->section_count) {
		show(&cfgstore->sections[i], section);
		return true;
	}
	for (at = 0; at < cfgstore->section_count; at++) {
		if (cfgstore->sections[at].removed)
			continue;
		if (i-- == 0)
			break;
	}
	show(&cfgstore->sections[at], section);
	return true;
}

/* Brings the section of a path; false if the document has none. */
bool
cfgstore_section_get(const struct cfgstore *cfgstore, const char *path,
    struct cfgstore_section *section)
{
	bool found;
	size_t i = cs_find(cfgstore, path, &found);

	if (!found || cfgstore->sections[i].removed)
		return false;
	show(&cfgstore->sections[i], section);
	return true;
}

/* Returns the number of changes that the history still has. */
size_t
cfgstore_history_count(const struct cfgstore *cfgstore)
{
	return cfgstore->history_count;
}

/* Brings an entry of the history, the oldest first. */
bool
cfgstore_history_at(
    const struct cfgstore *cfgstore, size_t i, struct cfgstore_history *entry)
{
	const struct cs_event *event;

	if (i >= cfgstore->history_count)
		return false;
	event = &cfgstore->history[i];
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
	const struct cs_stored *x = *(const struct cs_stored *const *)a;
	const struct cs_stored *y = *(const struct cs_stored *const *)b;

	return (x->revision > y->revision) - (x->revision < y->revision);
}

/*
 * Calls visit for each section changed or removed after a revision, oldest
 * first.  Returns 0, or ERR_STALE if the whole document must be sent instead.
 */
int
cfgstore_changes_since(const struct cfgstore *cfgstore, uint64_t revision,
    void (*visit)(void *ctx, const struct cfgstore_section *section), void *ctx)
{
	const struct cs_stored **changed;
	struct cfgstore_section section;
	size_t count = 0, i;

	if (revision < cfgstore->floor || revision > cfgstore->revision)
		return ERR_STALE;
	changed = alloc_get(
	    cfgstore->alloc, (cfgstore->section_count + 1) * sizeof(void *));
	for (i = 0; i < cfgstore->section_count; i++)
		if (cfgstore->sections[i].revision > revision)
			changed[count++] = &cfgstore->sections[i];
	qsort((void *)changed, count, sizeof(void *), revision_order);
	for (i = 0; i < count; i++) {
		show(changed[i], &section);
		visit(ctx, &section);
	}
	alloc_free(cfgstore->alloc, (void *)changed);
	return 0;
}
