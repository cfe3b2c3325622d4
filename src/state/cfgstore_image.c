#include <stdio.h>
#include <string.h>

#include "state/cfgstore_i.h"
#include "wire/cfgstore.pb-c.h"

/* Appends a change in the format of a log entry.  0 or ERR_TOO_LARGE. */
int
cfgstore_change_encode(const struct cfgstore_change *change, struct buf *out)
{
	const struct alloc *alloc = alloc_default();
	Cspb__Change message = CSPB__CHANGE__INIT;
	Cspb__Item *items, **pointers;
	size_t i, len;

	if (change->item_count > CFGSTORE_ITEMS_MAX)
		return ERR_TOO_LARGE;
	for (i = 0; i < change->item_count; i++)
		if (change->items[i].len > CFGSTORE_TEXT_MAX_BYTES)
			return ERR_TOO_LARGE;
	items = alloc_get(alloc, (change->item_count + 1) * sizeof(*items));
	pointers = alloc_get(alloc, (change->item_count + 1) * sizeof(void *));
	for (i = 0; i < change->item_count; i++) {
		cspb__item__init(&items[i]);
		items[i].path = (char *)change->items[i].path;
		items[i].base_revision = change->items[i].base_revision;
		items[i].remove = change->items[i].remove;
		items[i].text.data = (uint8_t *)change->items[i].text;
		items[i].text.len = change->items[i].len;
		pointers[i] = &items[i];
	}
	message.id = (char *)change->id;
	message.author = (char *)change->author;
	message.team = (char *)change->team;
	message.when_us = change->when_us;
	message.n_item = change->item_count;
	message.item = pointers;
	len = cspb__change__get_packed_size(&message);
	buf_reserve(out, len);
	(void)cspb__change__pack(&message, out->data + out->len);
	out->len += len;
	out->data[out->len] = '\0';
	alloc_free(alloc, (void *)pointers);
	alloc_free(alloc, items);
	return 0;
}

static void
export_sections(const struct cfgstore *cfgstore, Cspb__Section *sections,
    Cspb__Section **pointers)
{
	size_t i;

	for (i = 0; i < cfgstore->section_count; i++) {
		const struct cfgstore_stored_section *stored =
		    &cfgstore->sections[i];

		cspb__section__init(&sections[i]);
		sections[i].path = stored->path;
		sections[i].text.data = (uint8_t *)stored->text;
		sections[i].text.len = stored->len;
		sections[i].revision = stored->revision;
		sections[i].author = stored->author;
		sections[i].when_us = stored->when_us;
		sections[i].removed = stored->removed;
		pointers[i] = &sections[i];
	}
}

static void
export_answers(const struct cfgstore *cfgstore, Cspb__Answer *answers,
    Cspb__Answer **pointers)
{
	struct cfgstore_answer *from;
	size_t i = 0;

	for (from = cfgstore->oldest; from != NULL; from = from->next, i++) {
		cspb__answer__init(&answers[i]);
		answers[i].id = from->id;
		answers[i].log_index = from->log_index;
		answers[i].error = from->result.error;
		answers[i].revision = from->result.revision;
		answers[i].path = from->result.path;
		answers[i].won_revision = from->result.won_revision;
		answers[i].won_author = from->result.won_author;
		pointers[i] = &answers[i];
	}
}

static void
export_history(const struct cfgstore *cfgstore, Cspb__History *history,
    Cspb__History **pointers)
{
	size_t i;

	for (i = 0; i < cfgstore->history_count; i++) {
		const struct cfgstore_history_record *event =
		    &cfgstore->history[i];

		cspb__history__init(&history[i]);
		history[i].revision = event->revision;
		history[i].log_index = event->log_index;
		history[i].when_us = event->when_us;
		history[i].id = event->id;
		history[i].author = event->author;
		history[i].team = event->team;
		history[i].paths = event->paths;
		pointers[i] = &history[i];
	}
}

static size_t
answer_count(const struct cfgstore *cfgstore)
{
	const struct cfgstore_answer *answered;
	size_t count = 0;

	for (answered = cfgstore->oldest; answered != NULL;
	     answered = answered->next)
		count++;
	return count;
}

static void
pack_image(const Cspb__Image *image, struct buf *out)
{
	size_t len = cspb__image__get_packed_size(image);

	buf_reserve(out, len);
	(void)cspb__image__pack(image, out->data + out->len);
	out->len += len;
	out->data[out->len] = '\0';
}

/*
 * Appends an image of the whole store: sections, history and the answers to
 * change ids, so that a change resent after a snapshot gets the same answer.
 */
void
cfgstore_encode_image(const struct cfgstore *cfgstore, struct buf *out)
{
	Cspb__Image image = CSPB__IMAGE__INIT;
	Cspb__Section *sections;
	Cspb__Answer *answers;
	Cspb__History *history;

	image.revision = cfgstore->revision;
	image.log_index = cfgstore->log_index;
	image.floor = cfgstore->delta_base_min;
	image.n_section = cfgstore->section_count;
	image.n_answer = answer_count(cfgstore);
	image.n_history = cfgstore->history_count;
	sections =
	    alloc_zero(cfgstore->alloc, image.n_section + 1, sizeof(*sections));
	answers =
	    alloc_zero(cfgstore->alloc, image.n_answer + 1, sizeof(*answers));
	history =
	    alloc_zero(cfgstore->alloc, image.n_history + 1, sizeof(*history));
	image.section =
	    alloc_zero(cfgstore->alloc, image.n_section + 1, sizeof(void *));
	image.answer =
	    alloc_zero(cfgstore->alloc, image.n_answer + 1, sizeof(void *));
	image.history =
	    alloc_zero(cfgstore->alloc, image.n_history + 1, sizeof(void *));
	export_sections(cfgstore, sections, image.section);
	export_answers(cfgstore, answers, image.answer);
	export_history(cfgstore, history, image.history);
	pack_image(&image, out);
	alloc_free(cfgstore->alloc, (void *)image.section);
	alloc_free(cfgstore->alloc, (void *)image.answer);
	alloc_free(cfgstore->alloc, (void *)image.history);
	alloc_free(cfgstore->alloc, sections);
	alloc_free(cfgstore->alloc, answers);
	alloc_free(cfgstore->alloc, history);
}

static void
import_section(struct cfgstore *cfgstore, const Cspb__Section *from)
{
	struct cfgstore_stored_section *stored =
	    cfgstore_find_section(cfgstore, from->path, true);
	const void *text =
	    from->text.data != NULL ? (const void *)from->text.data : "";

	cfgstore_set_text(
	    cfgstore, stored, from->removed ? NULL : text, from->text.len);
	cfgstore_set_author(cfgstore, stored, from->author);
	stored->revision = from->revision;
	stored->when_us = from->when_us;
}

static void
import_answer(struct cfgstore *cfgstore, const Cspb__Answer *from)
{
	struct cfgstore_result result = {0};

	result.error = from->error;
	result.revision = from->revision;
	result.won_revision = from->won_revision;
	(void)snprintf(result.path, sizeof(result.path), "%s", from->path);
	(void)snprintf(result.won_author, sizeof(result.won_author), "%s",
	    from->won_author);
	(void)cfgstore_add_answer(cfgstore, from->id, from->log_index, &result);
}

static void
import_history(struct cfgstore *cfgstore, const Cspb__History *from)
{
	struct cfgstore_history entry = {from->revision, from->log_index,
	    from->when_us, from->id, from->author, from->team, from->paths};

	cfgstore_history_add(cfgstore, &entry);
}

/*
 * Replaces the content by that of an image.  Returns 0, or ERR_CORRUPT with the
 * store left empty.
 */
int
cfgstore_restore_image(struct cfgstore *cfgstore, const void *data, size_t len)
{
	Cspb__Image *image = cspb__image__unpack(NULL, len, data);
	size_t i;

	cfgstore_clear(cfgstore);
	if (image == NULL)
		return ERR_CORRUPT;
	for (i = 0; i < image->n_section; i++)
		import_section(cfgstore, image->section[i]);
	for (i = 0; i < image->n_answer; i++)
		import_answer(cfgstore, image->answer[i]);
	for (i = 0; i < image->n_history; i++)
		import_history(cfgstore, image->history[i]);
	cfgstore->revision = image->revision;
	cfgstore->log_index = image->log_index;
	cfgstore->delta_base_min = image->floor;
	cspb__image__free_unpacked(image, NULL);
	return 0;
}
