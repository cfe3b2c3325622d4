#include "config/section.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

#include "base/err.h"

/* Initializes an empty list. */
void
section_list_init(struct section_list *list, const struct alloc *alloc)
{
	memset(list, 0, sizeof(*list));
	list->alloc = alloc;
}

/* Frees all sections and leaves an empty list. */
void
section_list_free(struct section_list *list)
{
	for (size_t i = 0; i < list->count; i++)
		alloc_free(list->alloc, list->items[i].text);
	alloc_free(list->alloc, list->items);
	section_list_init(list, list->alloc);
}

/* Appends a section; path and text are copied. */
void
section_list_add(struct section_list *list, const char *path, const char *text,
    size_t len, uint32_t line)
{
	struct section *section;

	if (list->count == list->size) {
		list->size = list->size > 0 ? list->size * 2 : 16;
		list->items = alloc_resize(list->alloc, list->items,
		    list->size * sizeof(*list->items));
	}
	section = &list->items[list->count++];
	memset(section, 0, sizeof(*section));
	snprintf(section->path, sizeof(section->path), "%s", path);
	section->text = alloc_get(list->alloc, len + 1);
	memcpy(section->text, text, len);
	section->text[len] = '\0';
	section->line = line;
}

/* Returns the section with the given path, or NULL. */
const struct section *
section_find(const struct section_list *list, const char *path)
{
	for (size_t i = 0; i < list->count; i++) {
		if (strcmp(list->items[i].path, path) == 0)
			return &list->items[i];
	}
	return NULL;
}

/*
 * Adds a problem.  Problems beyond SECTION_PROBLEMS_MAX are dropped and long
 * messages are truncated.
 */
void
section_add_problem(struct section_problems *problems, uint32_t line,
    const char *path, const char *format, ...)
{
	struct section_problem *problem;
	va_list args;

	if (problems->count == SECTION_PROBLEMS_MAX)
		return;
	problem = &problems->items[problems->count++];
	problem->line = line;
	snprintf(problem->path, sizeof(problem->path), "%s", path);
	va_start(args, format);
	vsnprintf(problem->text, sizeof(problem->text), format, args);
	va_end(args);
}

/* Appends one line per problem: "line 12: workspaces/permits: ...". */
void
section_problems_print(const struct section_problems *problems, struct buf *out)
{
	for (size_t i = 0; i < problems->count; i++) {
		const struct section_problem *p = &problems->items[i];

		buf_addf(out, "line %u: %s%s%s\n", p->line, p->path,
		    p->path[0] != '\0' ? ": " : "", p->text);
	}
}

/* Appends lines with up to indent leading blanks removed from each. */
static void
add_dedented(struct buf *out, const char *text, size_t len, size_t indent)
{
	const char *end = text + len;

	while (text < end) {
		const char *next = memchr(text, '\n', (size_t)(end - text));
		size_t blanks = 0;

		next = next != NULL ? next + 1 : end;
		while (blanks < indent && text + blanks < next &&
		       text[blanks] == ' ')
			blanks++;
		buf_add(out, text + blanks, (size_t)(next - text) - blanks);
		text = next;
	}
}

static size_t
trimmed_len(const char *text, size_t len)
{
	while (len > 0 && strchr(" \t\r\n", text[len - 1]) != NULL)
		len--;
	return len;
}

/* Adds a section with the document text of one node, comments included. */
static void
add_node_section(struct section_list *list, const char *path,
    const char *document, const yaml_node_t *node)
{
	size_t start = node->start_mark.index;
	size_t len =
	    trimmed_len(document + start, node->end_mark.index - start);
	struct buf text;

	buf_init(&text, list->alloc);
	add_dedented(&text, document + start, len, node->start_mark.column);
	buf_adds(&text, "\n");
	section_list_add(list, path, buf_text(&text), text.len,
	    (uint32_t)node->start_mark.line + 1);
	buf_free(&text);
}

/* Returns the text of a scalar node, or NULL for any other. */
static const char *
scalar_text(const yaml_node_t *node)
{
	if (node == NULL || node->type != YAML_SCALAR_NODE)
		return NULL;
	return (const char *)node->data.scalar.value;
}

static void
split_group(yaml_document_t *yaml, const char *document, const char *group,
    const yaml_node_t *node, struct section_list *list,
    struct section_problems *problems)
{
	yaml_node_pair_t *pair = node->data.mapping.pairs.start;

	for (; pair < node->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(yaml, pair->key);
		yaml_node_t *value = yaml_document_get_node(yaml, pair->value);
		uint32_t line = (uint32_t)key->start_mark.line + 1;
		char path[SECTION_PATH_BYTES];

		if (scalar_text(key) == NULL ||
		    strchr(scalar_text(key), '/') != NULL ||
		    snprintf(path, sizeof(path), "%s/%s", group,
			scalar_text(key)) >= (int)sizeof(path)) {
			section_add_problem(problems, line, group,
			    "a name must be a short scalar without '/'");
			continue;
		}
		if (value->type != YAML_MAPPING_NODE) {
			section_add_problem(problems, line, path,
			    "a section must be a mapping of keys to values");
			continue;
		}
		if (section_find(list, path) != NULL) {
			section_add_problem(
			    problems, line, path, "duplicate section");
			continue;
		}
		add_node_section(list, path, document, value);
	}
}

static void
split_root(yaml_document_t *yaml, const char *document,
    struct section_list *list, struct section_problems *problems)
{
	yaml_node_t *root = yaml_document_get_root_node(yaml);
	yaml_node_pair_t *pair;

	if (root == NULL)
		return;
	if (root->type != YAML_MAPPING_NODE) {
		section_add_problem(problems,
		    (uint32_t)root->start_mark.line + 1, "",
		    "the document must be a mapping of section groups");
		return;
	}
	for (pair = root->data.mapping.pairs.start;
	     pair < root->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(yaml, pair->key);
		yaml_node_t *value = yaml_document_get_node(yaml, pair->value);
		uint32_t line = (uint32_t)key->start_mark.line + 1;

		if (scalar_text(key) == NULL ||
		    value->type != YAML_MAPPING_NODE)
			section_add_problem(problems, line,
			    scalar_text(key) != NULL ? scalar_text(key) : "",
			    "a group must be a mapping of names to sections");
		else
			split_group(yaml, document, scalar_text(key), value,
			    list, problems);
	}
}

/*
 * Splits a document into sections and appends them to a list.  Returns 0, or
 * ERR_INVALID if problems were added; valid sections are appended even then.
 * Returns ERR_INTERNAL if the YAML parser can't be initialized.
 */
int
section_split(const char *document, size_t len, struct section_list *list,
    struct section_problems *problems)
{
	size_t problems_before = problems->count;
	yaml_parser_t parser;
	yaml_document_t yaml;

	if (!yaml_parser_initialize(&parser))
		return ERR_INTERNAL;
	yaml_parser_set_input_string(
	    &parser, (const unsigned char *)document, len);
	yaml_parser_set_encoding(&parser, YAML_UTF8_ENCODING);
	if (yaml_parser_load(&parser, &yaml)) {
		split_root(&yaml, document, list, problems);
		yaml_document_delete(&yaml);
	} else {
		section_add_problem(problems,
		    (uint32_t)parser.problem_mark.line + 1, "", "%s",
		    parser.problem != NULL ? parser.problem : "invalid YAML");
	}
	yaml_parser_delete(&parser);
	return problems->count == problems_before ? 0 : ERR_INVALID;
}

static int
compare_paths(const void *a, const void *b)
{
	const struct section *const *x = a;
	const struct section *const *y = b;

	return strcmp((*x)->path, (*y)->path);
}

static void
print_section(
    const struct section *section, const char **group, struct buf *out)
{
	size_t len = strcspn(section->path, "/");
	const char *text = section->text;

	if (*group == NULL || strncmp(*group, section->path, len + 1) != 0)
		buf_addf(out, "%.*s:\n", (int)len, section->path);
	*group = section->path;
	buf_addf(out, "  %s:\n", section->path + len + 1);
	while (*text != '\0') {
		size_t line = strcspn(text, "\n");

		buf_addf(out, "    %.*s\n", (int)line, text);
		text += line + (text[line] == '\n');
	}
}

/* Appends the document made of the sections, sorted by group and name. */
void
section_join(const struct section_list *list, struct buf *out)
{
	const struct section **sorted;
	const char *group = NULL;

	if (list->count == 0)
		return;
	sorted = alloc_zero(list->alloc, list->count, sizeof(struct section *));
	for (size_t i = 0; i < list->count; i++)
		sorted[i] = &list->items[i];
	qsort(sorted, list->count, sizeof(struct section *), compare_paths);
	for (size_t i = 0; i < list->count; i++)
		print_section(sorted[i], &group, out);
	alloc_free(list->alloc, sorted);
}
