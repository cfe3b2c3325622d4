#include <stdio.h>
#include <string.h>

#include "state/cfgstore_i.h"
#include "wire/cfgstore.pb-c.h"

/* Appends a change as a log entry carries it: 0 or ERR_TOO_LARGE. */
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
		if (change->items[i].len > CS_TEXT_MAX_BYTES)
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
sections_out(const struct cfgstore *cfgstore, Cspb__Section *sections,
    Cspb__Section **pointers)
{
	size_t i;

	for (i = 0; i < cfgstore->section_count; i++) {
		const struct cs_stored *stored = &cfgstore->sections[i];

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
answers_out(const struct cfgstore *cfgstore, Cspb__Answer *answers,
    Cspb__Answer **pointers)
{
	struct cs_answered *from;
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
history_out(const struct cfgstore *cfgstore, Cspb__History *history,
    Cspb__History **pointers)
{
	size_t i;

	for (i = 0; i < cfgstore->history_count; i++) {
		const struct cs_event *event = &cfgstore->history[i];

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
	const struct cs_answered *answered;
	size_t count = 0;

	for (answered = cfgstore->oldest; answered != NULL;
	     answered = answered->next)
		count++;
	return count;
}

static void
pack(const Cspb__Image *image, struct buf *out)
{
	size_t len = cspb__image__get_packed_size(image);

	buf_reserve(out, len);
	(void)cspb__image__pack(image, out->data + out->len);
	out->len += len;
	out->data[out->len] = '\0';
}

/*
 * Appends an image of the whole store: sections, history, and the answers to
 * change ids, so that a resend after a snapshot is still answered the same.
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
	image.floor = cfgstore->floor;
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
	sections_out(cfgstore, sections, image.section);
	answers_out(cfgstore, answers, image.answer);
	history_out(cfgstore, history, image.history);
	pack(&image, out);
	alloc_free(cfgstore->alloc, (void *)image.section);
	alloc_free(cfgstore->alloc, (void *)image.answer);
	alloc_free(cfgstore->alloc, (void *)image.history);
	alloc_free(cfgstore->alloc, sections);
	alloc_free(cfgstore->alloc, answers);
	alloc_free(cfgstore->alloc, history);
}

static void
section_in(struct cfgstore *cfgstore, const Cspb__Section *from)
{
	struct cs_stored *stored = cs_store(cfgstore, from->path, true);
	const void *text =
	    from->text.data != NULL ? (const void *)from->text.data : "";

	cs_set_text(
	    cfgstore, stored, from->removed ? NULL : text, from->text.len);
	cs_set_author(cfgstore, stored, from->author);
	stored->revision = from->revision;
	stored->when_us = from->when_us;
}

static void
answer_in(struct cfgstore *cfgstore, const Cspb__Answer *from)
{
	struct cfgstore_result result = {0};

	result.error = from->error;
	result.revision = from->revision;
	result.won_revision = from->won_revision;
	(void)snprintf(result.path, sizeof(result.path), "%s", from->path);
	(void)snprintf(result.won_author, sizeof(result.won_author), "%s",
	    from->won_author);
	(void)cs_remember(cfgstore, from->id, from->log_index, &result);
}

static void
history_in(struct cfgstore *cfgstore, const Cspb__History *from)
{
	struct cfgstore_history entry = {from->revision, from->log_index,
	    from->when_us, from->id, from->author, from->team, from->paths};

	cs_history_add(cfgstore, &entry);
}

/* Replaces the content by an image: 0 or ERR_CORRUPT, then it is empty. */
int
cfgstore_restore_image(struct cfgstore *cfgstore, const void *data, size_t len)
{
	Cspb__Image *image = cspb__image__unpack(NULL, len, data);
	size_t i;

	cs_clear(cfgstore);
	if (image == NULL)
		return ERR_CORRUPT;
	for (i = 0; i < image->n_section; i++)
		section_in(cfgstore, image->section[i]);
	for (i = 0; i < image->n_answer; i++)
		answer_in(cfgstore, image->answer[i]);
	for (i = 0; i < image->n_history; i++)
		history_in(cfgstore, image->history[i]);
	cfgstore->revision = image->revision;
	cfgstore->log_index = image->log_index;
	cfgstore->floor = image->floor;
	cspb__image__free_unpacked(image, NULL);
	return 0;
}
