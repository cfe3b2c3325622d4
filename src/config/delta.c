#include "config/delta.h"

#include <string.h>
#include <yaml.h>

#include "base/err.h"
#include "wire/operator.pb-c.h"

/* Starts an empty encoding, to which delta_add() appends sections. */
void
delta_begin(struct buf *out)
{
	buf_clear(out);
}

/*
 * Appends one section, or its removal.  Concatenated protobuf messages merge
 * their repeated fields, so each section is encoded as a message of its own.
 */
void
delta_add(struct buf *out, const char *path, const char *text, size_t len,
    bool removed)
{
	Opr__Section section = OPR__SECTION__INIT;
	Opr__Section *items[1] = {&section};
	Opr__Sections message = OPR__SECTIONS__INIT;

	section.path = (char *)path;
	section.text.data = (uint8_t *)text;
	section.text.len = len;
	section.removed = removed;
	message.n_sections = 1;
	message.sections = items;
	buf_reserve(out, opr__sections__get_packed_size(&message));
	out->len += opr__sections__pack(&message, out->data + out->len);
}

/*
 * Decodes sections and appends them to a list, except removed ones.  Returns 0
 * or ERR_MALFORMED.
 */
int
delta_read(const void *data, size_t len, struct section_list *list)
{
	Opr__Sections *message = opr__sections__unpack(NULL, len, data);

	if (message == NULL)
		return ERR_MALFORMED;
	for (size_t i = 0; i < message->n_sections; i++) {
		const Opr__Section *s = message->sections[i];

		if (!s->removed)
			section_list_add(list, s->path,
			    (const char *)s->text.data, s->text.len, 1);
	}
	opr__sections__free_unpacked(message, NULL);
	return 0;
}

static const Opr__Section *
find_change(const Opr__Sections *delta, const char *path)
{
	for (size_t i = 0; i < delta->n_sections; i++) {
		if (strcmp(delta->sections[i]->path, path) == 0)
			return delta->sections[i];
	}
	return NULL;
}

static void
add_unchanged(const struct section_list *list, const Opr__Sections *delta,
    struct buf *out)
{
	for (size_t i = 0; i < list->count; i++) {
		const struct section *s = &list->items[i];

		if (find_change(delta, s->path) == NULL)
			delta_add(
			    out, s->path, s->text, strlen(s->text), false);
	}
}

/*
 * Applies a delta to a document and writes the new document to out.  Returns 0
 * or ERR_MALFORMED.  Configuration distribution uses it as its
 * cfgsync_apply_fn.
 */
int
delta_apply(void *ctx, const struct buf *document, const uint8_t *delta,
    size_t len, struct buf *out)
{
	Opr__Sections *changes = opr__sections__unpack(NULL, len, delta);
	struct section_list list;
	int error;

	(void)ctx;
	if (changes == NULL)
		return ERR_MALFORMED;
	section_list_init(&list, alloc_default());
	error = delta_read(document->data, document->len, &list);
	delta_begin(out);
	if (error == 0)
		add_unchanged(&list, changes, out);
	for (size_t i = 0; error == 0 && i < changes->n_sections; i++) {
		const Opr__Section *s = changes->sections[i];

		if (!s->removed)
			delta_add(out, s->path, (const char *)s->text.data,
			    s->text.len, false);
	}
	section_list_free(&list);
	opr__sections__free_unpacked(changes, NULL);
	return error;
}

static int
collect_output(void *ctx, unsigned char *data, size_t len)
{
	buf_add(ctx, data, len);
	return 1;
}

/*
 * Converts a flow mapping (in braces) to block style with one key per line.
 * Returns 0 or ERR_MALFORMED.
 */
static int
to_block_style(const char *text, struct buf *out)
{
	yaml_parser_t parser;
	yaml_emitter_t emitter;
	yaml_document_t document;
	int ok;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(
	    &parser, (const unsigned char *)text, strlen(text));
	ok = yaml_parser_load(&parser, &document);
	yaml_parser_delete(&parser);
	if (!ok || yaml_document_get_root_node(&document) == NULL)
		return ERR_MALFORMED;
	yaml_document_get_root_node(&document)->data.mapping.style =
	    YAML_BLOCK_MAPPING_STYLE;
	document.start_implicit = 1;
	document.end_implicit = 1;
	yaml_emitter_initialize(&emitter);
	yaml_emitter_set_output(&emitter, collect_output, out);
	yaml_emitter_set_width(&emitter, -1);
	ok = yaml_emitter_open(&emitter) &&
	     yaml_emitter_dump(&emitter, &document) &&
	     yaml_emitter_close(&emitter);
	yaml_emitter_delete(&emitter);
	return ok ? 0 : ERR_MALFORMED;
}

/* Copies text to out; replaces the line of a key or appends one. */
static void
set_key_line(
    const char *text, const char *key, const char *value, struct buf *out)
{
	size_t key_len = strlen(key);
	bool replaced = false;

	while (*text != '\0') {
		size_t len = strcspn(text, "\n");

		if (strncmp(text, key, key_len) == 0 && text[key_len] == ':') {
			buf_addf(out, "%s: %s\n", key, value);
			replaced = true;
		} else {
			buf_addf(out, "%.*s\n", (int)len, text);
		}
		text += len + (text[len] == '\n');
	}
	if (!replaced)
		buf_addf(out, "%s: %s\n", key, value);
}

/*
 * Appends a section's text to out with a top-level key set to a scalar value;
 * adds the key if it is absent.  Returns 0, or ERR_MALFORMED if a text in flow
 * style is not valid YAML.
 */
int
delta_set_key(
    const char *text, const char *key, const char *value, struct buf *out)
{
	struct buf block;
	int error = 0;

	if (text[0] != '{') {
		set_key_line(text, key, value, out);
		return 0;
	}
	buf_init(&block, alloc_default());
	error = to_block_style(text, &block);
	if (error == 0)
		set_key_line(buf_text(&block), key, value, out);
	buf_free(&block);
	return error;
}
