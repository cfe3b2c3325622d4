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

/* Makes an empty store at revision 0. */
struct cfgstore *
cfgstore_new(const struct cfgstore_options *options)
{
	const struct alloc *alloc =
	    options->alloc != NULL ? options->alloc : alloc_default();
	struct cfgstore *cfgstore = alloc_zero(alloc, 1, sizeof(*cfgstore));

	cfgstore->options = *options;
	cfgstore->alloc = alloc;
	if (cfgstore->options.history_max == 0)
		cfgstore->options.history_max = HISTORY_MAX;
	if (cfgstore->options.id_window == 0)
		cfgstore->options.id_window = ID_WINDOW;
	cfgstore->history = alloc_zero(alloc, cfgstore->options.history_max + 1,
	    sizeof(*cfgstore->history));
	return cfgstore;
}

static void
free_stored(struct cfgstore *cfgstore, struct cs_stored *stored)
{
	alloc_free(cfgstore->alloc, stored->path);
	alloc_free(cfgstore->alloc, stored->text);
	alloc_free(cfgstore->alloc, stored->author);
}

static void
free_event(struct cfgstore *cfgstore, struct cs_event *event)
{
	alloc_free(cfgstore->alloc, event->id);
	alloc_free(cfgstore->alloc, event->author);
	alloc_free(cfgstore->alloc, event->team);
	alloc_free(cfgstore->alloc, event->paths);
}

/* Empties the store before an image is read. */
void
cs_clear(struct cfgstore *cfgstore)
{
	struct cs_answered *answered;
	size_t i;

	for (i = 0; i < cfgstore->section_count; i++)
		free_stored(cfgstore, &cfgstore->sections[i]);
	for (i = 0; i < cfgstore->history_count; i++)
		free_event(cfgstore, &cfgstore->history[i]);
	while ((answered = cfgstore->oldest) != NULL) {
		cfgstore->oldest = answered->next;
		alloc_free(cfgstore->alloc, answered->id);
		alloc_free(cfgstore->alloc, answered);
	}
	cfgstore->newest = NULL;
	memset(cfgstore->buckets, 0, sizeof(cfgstore->buckets));
	cfgstore->section_count = cfgstore->present_count =
	    cfgstore->history_count = 0;
	cfgstore->revision = cfgstore->log_index = cfgstore->floor = 0;
}

/* Releases the store. */
void
cfgstore_free(struct cfgstore *cfgstore)
{
	if (cfgstore == NULL)
		return;
	cs_clear(cfgstore);
	alloc_free(cfgstore->alloc, cfgstore->sections);
	alloc_free(cfgstore->alloc, cfgstore->history);
	alloc_free(cfgstore->alloc, cfgstore);
}

/* Brings the position of a path, or where it would stand. */
size_t
cs_find(const struct cfgstore *cfgstore, const char *path, bool *found)
{
	size_t low = 0, high = cfgstore->section_count, middle;
	int order;

	*found = false;
	while (low < high) {
		middle = low + (high - low) / 2;
		order = strcmp(cfgstore->sections[middle].path, path);
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

static struct cs_stored *
insert_at(struct cfgstore *cfgstore, size_t i, const char *path)
{
	if (cfgstore->section_count == cfgstore->section_size) {
		cfgstore->section_size = cfgstore->section_size > 0
					     ? cfgstore->section_size * 2
					     : 64;
		cfgstore->sections =
		    alloc_resize(cfgstore->alloc, cfgstore->sections,
			cfgstore->section_size * sizeof(*cfgstore->sections));
	}
	memmove(&cfgstore->sections[i + 1], &cfgstore->sections[i],
	    (cfgstore->section_count - i) * sizeof(*cfgstore->sections));
	cfgstore->section_count++;
	memset(&cfgstore->sections[i], 0, sizeof(cfgstore->sections[i]));
	cfgstore->sections[i].path = alloc_strdup(cfgstore->alloc, path);
	cfgstore->sections[i].removed = true;
	return &cfgstore->sections[i];
}

/* Returns the record of a path, removed or not, or NULL. */
struct cs_stored *
cs_store(struct cfgstore *cfgstore, const char *path, bool create)
{
	bool found;
	size_t i = cs_find(cfgstore, path, &found);

	if (found)
		return &cfgstore->sections[i];
	return create ? insert_at(cfgstore, i, path) : NULL;
}

/* Replaces a section's text; NULL removes the section. */
void
cs_set_text(struct cfgstore *cfgstore, struct cs_stored *stored,
    const void *text, size_t len)
{
	bool removed = text == NULL;

	if (stored->removed && !removed)
		cfgstore->present_count++;
	else if (!stored->removed && removed)
		cfgstore->present_count--;
	alloc_free(cfgstore->alloc, stored->text);
	stored->removed = removed;
	stored->text = NULL;
	stored->len = 0;
	if (removed)
		return;
	stored->text = alloc_get(cfgstore->alloc, len + 1);
	memcpy(stored->text, text, len);
	stored->text[len] = '\0';
	stored->len = len;
}

/* Replaces a section's author. */
void
cs_set_author(
    struct cfgstore *cfgstore, struct cs_stored *stored, const char *author)
{
	alloc_free(cfgstore->alloc, stored->author);
	stored->author = alloc_strdup(cfgstore->alloc, author);
}

static size_t
bucket_of(const char *id)
{
	return (size_t)(XXH3_64bits(id, strlen(id)) % CS_BUCKETS);
}

/* Returns what is known of a change id, or NULL. */
struct cs_answered *
cs_recall(const struct cfgstore *cfgstore, const char *id)
{
	struct cs_answered *answered = cfgstore->buckets[bucket_of(id)];

	while (answered != NULL && strcmp(answered->id, id) != 0)
		answered = answered->next_in_bucket;
	return answered;
}

static void
forget_oldest(struct cfgstore *cfgstore)
{
	struct cs_answered *answered = cfgstore->oldest;
	struct cs_answered **link = &cfgstore->buckets[bucket_of(answered->id)];

	while (*link != answered)
		link = &(*link)->next_in_bucket;
	*link = answered->next_in_bucket;
	cfgstore->oldest = answered->next;
	if (cfgstore->oldest == NULL)
		cfgstore->newest = NULL;
	alloc_free(cfgstore->alloc, answered->id);
	alloc_free(cfgstore->alloc, answered);
}

/*
 * Keeps the answer to a change.  Answers expire by distance in the log, which
 * is the same on every replica, not by time, which is not.
 */
struct cs_answered *
cs_remember(struct cfgstore *cfgstore, const char *id, uint64_t log_index,
    const struct cfgstore_result *result)
{
	struct cs_answered *answered =
	    alloc_zero(cfgstore->alloc, 1, sizeof(*answered));
	size_t bucket = bucket_of(id);

	while (cfgstore->oldest != NULL &&
	       cfgstore->oldest->log_index + cfgstore->options.id_window <=
		   log_index)
		forget_oldest(cfgstore);
	answered->id = alloc_strdup(cfgstore->alloc, id);
	answered->log_index = log_index;
	answered->result = *result;
	answered->next_in_bucket = cfgstore->buckets[bucket];
	cfgstore->buckets[bucket] = answered;
	if (cfgstore->newest != NULL)
		cfgstore->newest->next = answered;
	else
		cfgstore->oldest = answered;
	cfgstore->newest = answered;
	return answered;
}

/* Drops removed sections that no delta reaches back to any more. */
static void
drop_removed(struct cfgstore *cfgstore)
{
	size_t kept = 0, i;

	for (i = 0; i < cfgstore->section_count; i++) {
		struct cs_stored *stored = &cfgstore->sections[i];

		if (stored->removed && stored->revision <= cfgstore->floor)
			free_stored(cfgstore, stored);
		else
			cfgstore->sections[kept++] = *stored;
	}
	cfgstore->section_count = kept;
}

/*
 * Adds to the history.  Beyond its length the oldest entries go, a tenth at a
 * time; the last change of each section stays with the section.
 */
void
cs_history_add(struct cfgstore *cfgstore, const struct cfgstore_history *entry)
{
	struct cs_event *event;
	size_t drop = cfgstore->options.history_max / 10 + 1, i;

	if (cfgstore->history_count == cfgstore->options.history_max) {
		cfgstore->floor = cfgstore->history[drop - 1].revision;
		for (i = 0; i < drop; i++)
			free_event(cfgstore, &cfgstore->history[i]);
		cfgstore->history_count -= drop;
		memmove(cfgstore->history, cfgstore->history + drop,
		    cfgstore->history_count * sizeof(*cfgstore->history));
		drop_removed(cfgstore);
	}
	event = &cfgstore->history[cfgstore->history_count++];
	event->revision = entry->revision;
	event->log_index = entry->log_index;
	event->when_us = entry->when_us;
	event->id = alloc_strdup(cfgstore->alloc, entry->id);
	event->author = alloc_strdup(cfgstore->alloc, entry->author);
	event->team = alloc_strdup(cfgstore->alloc, entry->team);
	event->paths = alloc_strdup(cfgstore->alloc, entry->paths);
}

static bool
is_name(const char *text, size_t size)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++)
		if (i + 1 == size || (unsigned char)text[i] <= ' ')
			return false;
	return i > 0;
}

static int
check_item(
    const struct cfgstore *cfgstore, const Cspb__Change *change, size_t i)
{
	const Cspb__Item *item = change->item[i];
	size_t j;

	if (!is_name(item->path, CFGSTORE_PATH_BYTES) ||
	    item->text.len > CS_TEXT_MAX_BYTES)
		return ERR_MALFORMED;
	for (j = 0; j < i; j++)
		if (strcmp(change->item[j]->path, item->path) == 0)
			return ERR_MALFORMED;
	if (cfgstore->options.may_change != NULL &&
	    !cfgstore->options.may_change(
		cfgstore->options.ctx, cfgstore, change->team, item->path))
		return ERR_FORBIDDEN;
	return 0;
}

/*
 * A change must have read the section as it is.  An absent section reads as
 * revision 0, or as the revision that removed it.
 */
static bool
base_matches(struct cfgstore *cfgstore, const Cspb__Item *item)
{
	const struct cs_stored *stored = cs_store(cfgstore, item->path, false);

	if (cfgstore->options.unsafe_skip_base_check)
		return true;
	if (stored == NULL)
		return item->base_revision == 0;
	if (stored->removed && item->base_revision == 0)
		return true;
	return item->base_revision == stored->revision;
}

static int
check_change(struct cfgstore *cfgstore, const Cspb__Change *change,
    struct cfgstore_result *result)
{
	const struct cs_stored *stored;
	size_t i;
	int e;

	if (change->n_item == 0 || change->n_item > CFGSTORE_ITEMS_MAX ||
	    !is_name(change->author, CFGSTORE_NAME_BYTES) ||
	    !is_name(change->team, CFGSTORE_NAME_BYTES))
		return ERR_MALFORMED;
	for (i = 0; i < change->n_item; i++) {
		(void)snprintf(result->path, sizeof(result->path), "%s",
		    change->item[i]->path);
		e = check_item(cfgstore, change, i);
		if (e != 0)
			return e;
		if (base_matches(cfgstore, change->item[i]))
			continue;
		stored = cs_store(cfgstore, change->item[i]->path, false);
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
accept_change(
    struct cfgstore *cfgstore, uint64_t log_index, const Cspb__Change *change)
{
	struct cfgstore_history entry = {0};
	struct cs_stored *stored;
	struct buf paths;
	size_t i;

	cfgstore->revision++;
	buf_init(&paths, cfgstore->alloc);
	for (i = 0; i < change->n_item; i++) {
		const Cspb__Item *item = change->item[i];
		const void *text = item->text.data != NULL
				       ? (const void *)item->text.data
				       : "";

		stored = cs_store(cfgstore, item->path, true);
		cs_set_text(cfgstore, stored, item->remove ? NULL : text,
		    item->text.len);
		cs_set_author(cfgstore, stored, change->author);
		stored->revision = cfgstore->revision;
		stored->when_us = change->when_us;
		buf_addf(&paths, "%s%s\n", item->remove ? "-" : "", item->path);
	}
	entry.revision = cfgstore->revision;
	entry.log_index = log_index;
	entry.when_us = change->when_us;
	entry.id = change->id;
	entry.author = change->author;
	entry.team = change->team;
	entry.paths = buf_text(&paths);
	cs_history_add(cfgstore, &entry);
	buf_free(&paths);
}

static void
apply_decoded(struct cfgstore *cfgstore, uint64_t log_index,
    const Cspb__Change *change, struct cfgstore_result *result)
{
	const struct cs_answered *answered;

	if (!is_name(change->id, CFGSTORE_NAME_BYTES)) {
		result->error = ERR_MALFORMED;
		return;
	}
	answered = cs_recall(cfgstore, change->id);
	if (answered != NULL && !cfgstore->options.unsafe_skip_ids) {
		*result = answered->result;
		result->repeated = true;
		return;
	}
	result->error = check_change(cfgstore, change, result);
	if (result->error == 0)
		accept_change(cfgstore, log_index, change);
	result->revision = cfgstore->revision;
	(void)cs_remember(cfgstore, change->id, log_index, result);
}

/*
 * Applies a log entry.  result tells what became of the change: accepted under
 * a new revision, or refused with no section changed.
 */
void
cfgstore_apply(struct cfgstore *cfgstore, uint64_t log_index, const void *data,
    size_t len, struct cfgstore_result *result)
{
	Cspb__Change *change;

	memset(result, 0, sizeof(*result));
	cfgstore->log_index = log_index;
	result->revision = cfgstore->revision;
	change = cspb__change__unpack(NULL, len, data);
	if (change == NULL) {
		result->error = ERR_MALFORMED;
		return;
	}
	apply_decoded(cfgstore, log_index, change, result);
	cspb__change__free_unpacked(change, NULL);
}
