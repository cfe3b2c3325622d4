#include "state/cfgstore.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "state/cfgstore_i.h"
#include "wire/cfgstore.pb-c.h"

enum {
	HISTORY_MAX = 1000,
	ID_WINDOW = 10000
};

/* Creates an empty store at revision 0. */
struct cs *
cs_new(const struct cs_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct cs *cs = alloc_zero(alloc, 1, sizeof(*cs));

	cs->options = *options;
	cs->alloc = alloc;
	if (cs->options.history_max == 0)
		cs->options.history_max = HISTORY_MAX;
	if (cs->options.id_window == 0)
		cs->options.id_window = ID_WINDOW;
	cs->history = alloc_zero(
	    alloc, cs->options.history_max + 1, sizeof(*cs->history));
	return cs;
}

static void
free_stored(struct cs *cs, struct cfgstore_stored_section *stored)
{
	alloc_free(cs->alloc, stored->path);
	alloc_free(cs->alloc, stored->text);
	alloc_free(cs->alloc, stored->author);
}

static void
free_event(struct cs *cs, struct cfgstore_history_record *event)
{
	alloc_free(cs->alloc, event->id);
	alloc_free(cs->alloc, event->author);
	alloc_free(cs->alloc, event->team);
	alloc_free(cs->alloc, event->paths);
}

/* Empties the store, before an image is restored. */
void
cfgstore_clear(struct cs *cs)
{
	struct cfgstore_answer *answered;
	size_t i;

	for (i = 0; i < cs->section_count; i++)
		free_stored(cs, &cs->sections[i]);
	for (i = 0; i < cs->history_count; i++)
		free_event(cs, &cs->history[i]);
	while ((answered = cs->oldest) != NULL) {
		cs->oldest = answered->next;
		alloc_free(cs->alloc, answered->id);
		alloc_free(cs->alloc, answered);
	}
	cs->newest = NULL;
	memset(cs->buckets, 0, sizeof(cs->buckets));
	cs->section_count = cs->present_count = cs->history_count = 0;
	cs->revision = cs->log_index = cs->delta_base_min = 0;
}

void
cs_free(struct cs *cs)
{
	if (cs == NULL)
		return;
	cfgstore_clear(cs);
	alloc_free(cs->alloc, cs->sections);
	alloc_free(cs->alloc, cs->history);
	alloc_free(cs->alloc, cs);
}

/* Returns the index of a path, or the index at which to insert it. */
size_t
cfgstore_find_index(const struct cs *cs, const char *path, bool *found)
{
	size_t low = 0, high = cs->section_count, middle;
	int order;

	*found = false;
	while (low < high) {
		middle = low + (high - low) / 2;
		order = strcmp(cs->sections[middle].path, path);
		if (order == 0) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct cfgstore_stored_section *
insert_section(struct cs *cs, size_t i, const char *path)
{
	if (cs->section_count == cs->section_capacity) {
		cs->section_capacity =
		    cs->section_capacity > 0 ? cs->section_capacity * 2 : 64;
		cs->sections = alloc_resize(cs->alloc, cs->sections,
		    cs->section_capacity * sizeof(*cs->sections));
	}
	memmove(&cs->sections[i + 1], &cs->sections[i],
	    (cs->section_count - i) * sizeof(*cs->sections));
	cs->section_count++;
	memset(&cs->sections[i], 0, sizeof(cs->sections[i]));
	cs->sections[i].path = alloc_strdup(cs->alloc, path);
	cs->sections[i].removed = true;
	return &cs->sections[i];
}

/*
 * Returns the record of a path, which may be a removed section.  If there is
 * none, adds one marked as removed with create, else returns NULL.
 */
struct cfgstore_stored_section *
cfgstore_find_section(struct cs *cs, const char *path, bool create)
{
	bool found;
	size_t i = cfgstore_find_index(cs, path, &found);

	if (found)
		return &cs->sections[i];
	return create ? insert_section(cs, i, path) : NULL;
}

/* Replaces a section's text; NULL removes the section. */
void
cfgstore_set_text(struct cs *cs, struct cfgstore_stored_section *stored,
    const void *text, size_t len)
{
	bool removed = text == NULL;

	if (stored->removed && !removed)
		cs->present_count++;
	else if (!stored->removed && removed)
		cs->present_count--;
	alloc_free(cs->alloc, stored->text);
	stored->removed = removed;
	stored->text = NULL;
	stored->len = 0;
	if (removed)
		return;
	stored->text = alloc_get(cs->alloc, len + 1);
	memcpy(stored->text, text, len);
	stored->text[len] = '\0';
	stored->len = len;
}

void
cfgstore_set_author(
    struct cs *cs, struct cfgstore_stored_section *stored, const char *author)
{
	alloc_free(cs->alloc, stored->author);
	stored->author = alloc_strdup(cs->alloc, author);
}

static size_t
bucket_of(const char *id)
{
	return (size_t)(XXH3_64bits(id, strlen(id)) % CFGSTORE_ANSWER_BUCKETS);
}

/* Returns the recorded answer to a change id, or NULL. */
struct cfgstore_answer *
cfgstore_find_answer(const struct cs *cs, const char *id)
{
	struct cfgstore_answer *answered = cs->buckets[bucket_of(id)];

	while (answered != NULL && strcmp(answered->id, id) != 0)
		answered = answered->next_in_bucket;
	return answered;
}

static void
drop_oldest_answer(struct cs *cs)
{
	struct cfgstore_answer *answered = cs->oldest;
	struct cfgstore_answer **link = &cs->buckets[bucket_of(answered->id)];

	while (*link != answered)
		link = &(*link)->next_in_bucket;
	*link = answered->next_in_bucket;
	cs->oldest = answered->next;
	if (cs->oldest == NULL)
		cs->newest = NULL;
	alloc_free(cs->alloc, answered->id);
	alloc_free(cs->alloc, answered);
}

/*
 * Records the answer to a change.  Answers expire by distance in the log, which
 * is the same on every replica, and not by time, which differs between them.
 */
struct cfgstore_answer *
cfgstore_add_answer(struct cs *cs, const char *id, uint64_t log_index,
    const struct cs_result *result)
{
	struct cfgstore_answer *answered =
	    alloc_zero(cs->alloc, 1, sizeof(*answered));
	size_t bucket = bucket_of(id);

	while (cs->oldest != NULL &&
	       cs->oldest->log_index + cs->options.id_window <= log_index)
		drop_oldest_answer(cs);
	answered->id = alloc_strdup(cs->alloc, id);
	answered->log_index = log_index;
	answered->result = *result;
	answered->next_in_bucket = cs->buckets[bucket];
	cs->buckets[bucket] = answered;
	if (cs->newest != NULL)
		cs->newest->next = answered;
	else
		cs->oldest = answered;
	cs->newest = answered;
	return answered;
}

/* Drops removed sections that are older than the oldest possible delta. */
static void
drop_removed_sections(struct cs *cs)
{
	size_t kept = 0, i;

	for (i = 0; i < cs->section_count; i++) {
		struct cfgstore_stored_section *stored = &cs->sections[i];

		if (stored->removed && stored->revision <= cs->delta_base_min)
			free_stored(cs, stored);
		else
			cs->sections[kept++] = *stored;
	}
	cs->section_count = kept;
}

/*
 * Appends an entry to the history.  A full history drops its oldest tenth; the
 * revision and author of the last change stay in each section's record.
 */
void
cfgstore_history_add(struct cs *cs, const struct cs_history *entry)
{
	struct cfgstore_history_record *event;
	size_t drop = cs->options.history_max / 10 + 1, i;

	if (cs->history_count == cs->options.history_max) {
		cs->delta_base_min = cs->history[drop - 1].revision;
		for (i = 0; i < drop; i++)
			free_event(cs, &cs->history[i]);
		cs->history_count -= drop;
		memmove(cs->history, cs->history + drop,
		    cs->history_count * sizeof(*cs->history));
		drop_removed_sections(cs);
	}
	event = &cs->history[cs->history_count++];
	event->revision = entry->revision;
	event->log_index = entry->log_index;
	event->when_us = entry->when_us;
	event->id = alloc_strdup(cs->alloc, entry->id);
	event->author = alloc_strdup(cs->alloc, entry->author);
	event->team = alloc_strdup(cs->alloc, entry->team);
	event->paths = alloc_strdup(cs->alloc, entry->paths);
}

static bool
is_valid_name(const char *text, size_t size)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++)
		if (i + 1 == size || (unsigned char)text[i] <= ' ')
			return false;
	return i > 0;
}

static int
check_item(const struct cs *cs, const Cspb__Change *change, size_t i)
{
	const Cspb__Item *item = change->item[i];
	size_t j;

	if (!is_valid_name(item->path, CS_PATH_BYTES) ||
	    item->text.len > CFGSTORE_TEXT_MAX_BYTES)
		return ERR_MALFORMED;
	for (j = 0; j < i; j++)
		if (strcmp(change->item[j]->path, item->path) == 0)
			return ERR_MALFORMED;
	if (cs->options.may_change != NULL &&
	    !cs->options.may_change(
		cs->options.ctx, cs, change->team, item->path))
		return ERR_FORBIDDEN;
	return 0;
}

/*
 * Returns whether the change is based on the section's current revision.  An
 * absent section has revision 0, or the revision that removed it.
 */
static bool
base_matches(struct cs *cs, const Cspb__Item *item)
{
	const struct cfgstore_stored_section *stored =
	    cfgstore_find_section(cs, item->path, false);

	if (cs->options.unsafe_skip_base_check)
		return true;
	if (stored == NULL)
		return item->base_revision == 0;
	if (stored->removed && item->base_revision == 0)
		return true;
	return item->base_revision == stored->revision;
}

static int
check_change(
    struct cs *cs, const Cspb__Change *change, struct cs_result *result)
{
	const struct cfgstore_stored_section *stored;
	size_t i;
	int e;

	if (change->n_item == 0 || change->n_item > CS_ITEMS_MAX ||
	    !is_valid_name(change->author, CS_NAME_BYTES) ||
	    !is_valid_name(change->team, CS_NAME_BYTES))
		return ERR_MALFORMED;
	for (i = 0; i < change->n_item; i++) {
		(void)snprintf(result->path, sizeof(result->path), "%s",
		    change->item[i]->path);
		e = check_item(cs, change, i);
		if (e != 0)
			return e;
		if (base_matches(cs, change->item[i]))
			continue;
		stored =
		    cfgstore_find_section(cs, change->item[i]->path, false);
		if (stored != NULL) {
			result->won_revision = stored->revision;
			(void)snprintf(result->won_author,
			    sizeof(result->won_author), "%s", stored->author);
		}
		return ERR_CONFLICT;
	}
	result->path[0] = '\0';
	return 0;
}

static void
accept_change(struct cs *cs, uint64_t log_index, const Cspb__Change *change)
{
	struct cs_history entry = {0};
	struct cfgstore_stored_section *stored;
	struct buf paths;
	size_t i;

	cs->revision++;
	buf_init(&paths, cs->alloc);
	for (i = 0; i < change->n_item; i++) {
		const Cspb__Item *item = change->item[i];
		const void *text = item->text.data != NULL
				       ? (const void *)item->text.data
				       : "";

		stored = cfgstore_find_section(cs, item->path, true);
		cfgstore_set_text(
		    cs, stored, item->remove ? NULL : text, item->text.len);
		cfgstore_set_author(cs, stored, change->author);
		stored->revision = cs->revision;
		stored->when_us = change->when_us;
		buf_addf(&paths, "%s%s\n", item->remove ? "-" : "", item->path);
	}
	entry.revision = cs->revision;
	entry.log_index = log_index;
	entry.when_us = change->when_us;
	entry.id = change->id;
	entry.author = change->author;
	entry.team = change->team;
	entry.paths = buf_text(&paths);
	cfgstore_history_add(cs, &entry);
	buf_free(&paths);
}

static void
apply_decoded(struct cs *cs, uint64_t log_index, const Cspb__Change *change,
    struct cs_result *result)
{
	const struct cfgstore_answer *answered;

	if (!is_valid_name(change->id, CS_NAME_BYTES)) {
		result->error = ERR_MALFORMED;
		return;
	}
	answered = cfgstore_find_answer(cs, change->id);
	if (answered != NULL && !cs->options.unsafe_skip_ids) {
		*result = answered->result;
		result->repeated = true;
		return;
	}
	result->error = check_change(cs, change, result);
	if (result->error == 0)
		accept_change(cs, log_index, change);
	result->revision = cs->revision;
	(void)cfgstore_add_answer(cs, change->id, log_index, result);
}

/*
 * Applies a log entry.  result receives the outcome: the change was accepted
 * under a new revision, or rejected with no section changed.
 */
void
cs_apply(struct cs *cs, uint64_t log_index, const void *data, size_t len,
    struct cs_result *result)
{
	Cspb__Change *change;

	memset(result, 0, sizeof(*result));
	cs->log_index = log_index;
	result->revision = cs->revision;
	change = cspb__change__unpack(NULL, len, data);
	if (change == NULL) {
		result->error = ERR_MALFORMED;
		return;
	}
	apply_decoded(cs, log_index, change, result);
	cspb__change__free_unpacked(change, NULL);
}
