#include "ctl.h"

#include <stdio.h>
#include <string.h>

#include "config/compile.h"
#include "config/section.h"

/* The commands config check, diff, apply, show and history. */

static int
print_problems(const char *file, const struct section_problems *problems)
{
	struct buf text;

	buf_init(&text, alloc_default());
	section_problems_print(problems, &text);
	fprintf(stderr, "%s:\n%s", file, buf_text(&text));
	buf_free(&text);
	return CTL_INVALID;
}

/*
 * Reads a file into sections and compiles them.  Prints every problem and
 * returns an exit status.
 */
static int
load_sections(const char *file, struct section_list *sections)
{
	static struct section_problems problems;
	struct buf text;
	struct cfg *cfg;
	int status;

	problems.count = 0;
	section_list_init(sections, alloc_default());
	buf_init(&text, alloc_default());
	status = ctl_read_file(file, &text);
	if (status == CTL_OK &&
	    section_split(buf_text(&text), text.len, sections, &problems) != 0)
		status = print_problems(file, &problems);
	buf_free(&text);
	if (status != CTL_OK)
		return status;
	cfg = compile_sections(alloc_default(), sections, 0, NULL, &problems);
	if (cfg == NULL)
		return print_problems(file, &problems);
	compile_free(alloc_default(), cfg);
	return CTL_OK;
}

/* config check FILE: prints every problem with its line; works offline. */
int
ctl_config_check(const struct ctl *ctl, int argc, char **argv)
{
	struct section_list sections;
	int status = load_sections(argv[0], &sections);

	(void)ctl;
	(void)argc;
	if (status == CTL_OK)
		printf(
		    "%s: %zu sections, no problems\n", argv[0], sections.count);
	section_list_free(&sections);
	return status;
}

static const json_t *
find_by_path(const json_t *list, const char *path)
{
	size_t i;
	json_t *section;

	json_array_foreach(list, i, section)
	{
		if (strcmp(json_string_value(json_object_get(section, "path")),
			path) == 0)
			return section;
	}
	return NULL;
}

/*
 * Returns whether a section is managed by the system itself and therefore not
 * part of an operator's file.
 */
static bool
is_internal(const char *path)
{
	return strncmp(path, "replicas/", 9) == 0;
}

static void
add_changed(
    const struct section_list *file, const json_t *in_force, json_t *items)
{
	for (size_t i = 0; i < file->count; i++) {
		const struct section *s = &file->items[i];
		const json_t *old = find_by_path(in_force, s->path);
		json_int_t base =
		    old != NULL
			? json_integer_value(json_object_get(old, "revision"))
			: 0;

		if (old != NULL &&
		    strcmp(json_string_value(json_object_get(old, "text")),
			s->text) == 0)
			continue;
		json_array_append_new(
		    items, json_pack("{s:s,s:I,s:s}", "path", s->path,
			       "base_revision", base, "text", s->text));
	}
}

static void
add_removed(
    const struct section_list *file, const json_t *in_force, json_t *items)
{
	size_t i;
	json_t *old;

	json_array_foreach(in_force, i, old)
	{
		const char *path =
		    json_string_value(json_object_get(old, "path"));

		if (section_find(file, path) == NULL && !is_internal(path))
			json_array_append_new(items,
			    json_pack("{s:s,s:O,s:n}", "path", path,
				"base_revision",
				json_object_get(old, "revision"), "text"));
	}
}

/*
 * Makes the change that turns the document in force into that of the file.
 * The caller releases items and document, also after an error.
 */
static int
make_change(
    const struct ctl *ctl, const char *file, json_t **items, json_t **document)
{
	struct section_list sections;
	const json_t *in_force;
	int status = load_sections(file, &sections);

	*document = NULL;
	*items = json_array();
	if (status == CTL_OK)
		status = ctl_get_document(ctl, document);
	if (status == CTL_OK) {
		in_force = json_object_get(*document, "sections");
		add_changed(&sections, in_force, *items);
		add_removed(&sections, in_force, *items);
	}
	section_list_free(&sections);
	return status;
}

static void
print_lines(char mark, const char *text)
{
	while (text != NULL && *text != '\0') {
		size_t len = strcspn(text, "\n");

		printf("%c   %.*s\n", mark, (int)len, text);
		text += len + (text[len] == '\n');
	}
}

/* config diff FILE: prints old lines with - and new ones with +, by section. */
int
ctl_config_diff(const struct ctl *ctl, int argc, char **argv)
{
	json_t *items, *document, *item;
	int status = make_change(ctl, argv[0], &items, &document);
	size_t i;

	(void)argc;
	if (status == CTL_OK && ctl->json)
		ctl_print_json(items);
	json_array_foreach(items, i, item)
	{
		const char *path =
		    json_string_value(json_object_get(item, "path"));
		const json_t *old =
		    find_by_path(json_object_get(document, "sections"), path);

		if (status != CTL_OK || ctl->json)
			break;
		printf("%s\n", path);
		print_lines(
		    '-', json_string_value(json_object_get(old, "text")));
		print_lines(
		    '+', json_string_value(json_object_get(item, "text")));
	}
	json_decref(items);
	json_decref(document);
	return status;
}

/* config apply FILE [CHANGE-ID]: sends the sections that differ. */
int
ctl_config_apply(const struct ctl *ctl, int argc, char **argv)
{
	json_t *items, *document;
	int status = make_change(ctl, argv[0], &items, &document);

	json_decref(document);
	if (status != CTL_OK || json_array_size(items) == 0) {
		json_decref(items);
		if (status == CTL_OK)
			printf("no section differs\n");
		return status;
	}
	return ctl_send_change(ctl, items, argc > 1 ? argv[1] : NULL);
}

static void
show_sections(const json_t *list, const char *only)
{
	struct section_list sections;
	struct buf text;
	size_t i;
	json_t *section;

	section_list_init(&sections, alloc_default());
	json_array_foreach(list, i, section)
	{
		const json_t *body = json_object_get(section, "text");
		const char *path =
		    json_string_value(json_object_get(section, "path"));

		if ((only == NULL && !is_internal(path)) ||
		    (only != NULL && strcmp(only, path) == 0))
			section_list_add(&sections, path,
			    json_string_value(body), json_string_length(body),
			    1);
	}
	buf_init(&text, alloc_default());
	section_join(&sections, &text);
	fputs(buf_text(&text), stdout);
	buf_free(&text);
	section_list_free(&sections);
}

/* config show [SECTION]: prints the document in force, or one section. */
int
ctl_config_show(const struct ctl *ctl, int argc, char **argv)
{
	json_t *document = NULL;
	int status = ctl_get_document(ctl, &document);

	if (status == CTL_OK && ctl->json)
		ctl_print_json(document);
	else if (status == CTL_OK)
		show_sections(json_object_get(document, "sections"),
		    argc > 0 ? argv[0] : NULL);
	json_decref(document);
	return status;
}

/* config history: lists the accepted changes. */
int
ctl_config_history(const struct ctl *ctl, int argc, char **argv)
{
	static const char *const columns[] = {"revision", "when_us", "team",
	    "author", "change_id", "sections", NULL};
	json_t *list = NULL;
	int status = ctl_get_json(ctl, "/ops/history", &list);

	(void)argc;
	(void)argv;
	if (status == CTL_OK && ctl->json)
		ctl_print_json(list);
	else if (status == CTL_OK)
		ctl_print_table(list, columns);
	json_decref(list);
	return status;
}
