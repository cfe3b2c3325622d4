#include "config/schema.h"

#include <cyaml/cyaml.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const cyaml_strval_t data_centre_states[] = {{"in", 0}, {"out", 1}};
static const cyaml_strval_t version_states[] = {
    {"released", 0}, {"rolling", 1}, {"withdrawn", 2}};
static const cyaml_strval_t isolated_modes[] = {
    {"default", 0}, {"serve", 1}, {"stop", 2}};

static const cyaml_schema_value_t name_value = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, 127)};

#define OPTIONAL_UINT(type, member) \
	CYAML_FIELD_UINT(#member, CYAML_FLAG_OPTIONAL, struct type, member)
#define OPTIONAL_ENUM(type, member, values)                                 \
	CYAML_FIELD_ENUM(#member, CYAML_FLAG_OPTIONAL, struct type, member, \
	    values, CYAML_ARRAY_LEN(values))
#define OPTIONAL_NAMES(type, member)                                       \
	CYAML_FIELD_SEQUENCE(#member,                                      \
	    CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER, struct type, member, \
	    &name_value, 0, 64)
#define OPTIONAL_TEXT(type, member)                                           \
	CYAML_FIELD_STRING_PTR(#member,                                       \
	    CYAML_FLAG_OPTIONAL | CYAML_FLAG_POINTER, struct type, member, 0, \
	    127)

static const cyaml_schema_field_t team_fields[] = {
    CYAML_FIELD_STRING_PTR(
	"key_hash", CYAML_FLAG_POINTER, struct schema_team, key_hash, 64, 64),
    OPTIONAL_NAMES(schema_team, owns), CYAML_FIELD_END};

static const cyaml_schema_field_t data_centre_fields[] = {
    OPTIONAL_TEXT(schema_data_centre, region),
    OPTIONAL_ENUM(schema_data_centre, state, data_centre_states),
    CYAML_FIELD_END};

static const cyaml_schema_field_t version_fields[] = {
    CYAML_FIELD_STRING_PTR(
	"model", CYAML_FLAG_POINTER, struct schema_version, model, 1, 63),
    OPTIONAL_ENUM(schema_version, state, version_states),
    OPTIONAL_UINT(schema_version, stage_permille),
    OPTIONAL_UINT(schema_version, cost_micro),
    OPTIONAL_UINT(schema_version, prior_permille),
    OPTIONAL_UINT(schema_version, unrated_max),
    OPTIONAL_ENUM(schema_version, when_isolated, isolated_modes),
    CYAML_FIELD_END};

static const cyaml_schema_field_t service_fields[] = {
    CYAML_FIELD_BOOL(
	"idempotent", CYAML_FLAG_OPTIONAL, struct schema_service, idempotent),
    OPTIONAL_UINT(schema_service, timeout_ms), CYAML_FIELD_END};

static const cyaml_schema_field_t workspace_fields[] = {
    CYAML_FIELD_STRING_PTR("key_hash", CYAML_FLAG_POINTER,
	struct schema_workspace, key_hash, 64, 64),
    OPTIONAL_UINT(schema_workspace, priority),
    OPTIONAL_UINT(schema_workspace, weight),
    OPTIONAL_UINT(schema_workspace, target_permille),
    OPTIONAL_UINT(schema_workspace, deadline_ms),
    OPTIONAL_UINT(schema_workspace, rate_per_s),
    OPTIONAL_UINT(schema_workspace, retry_permille),
    OPTIONAL_NAMES(schema_workspace, versions),
    OPTIONAL_NAMES(schema_workspace, services),
    OPTIONAL_NAMES(schema_workspace, data_centres), CYAML_FIELD_END};

static const cyaml_schema_field_t replicas_fields[] = {
    OPTIONAL_UINT(schema_replicas, epoch),
    OPTIONAL_NAMES(schema_replicas, voters), CYAML_FIELD_END};

#define GROUP_SCHEMA(type, fields)                                           \
	{                                                                    \
		CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct type, fields) \
	}

static const struct {
	const char *name;
	cyaml_schema_value_t schema;
	const cyaml_schema_field_t *fields;
} schema_groups[SCHEMA_GROUPS] = {
    [SCHEMA_TEAMS] = {"teams", GROUP_SCHEMA(schema_team, team_fields),
	team_fields},
    [SCHEMA_DATA_CENTRES] = {"data_centres",
	GROUP_SCHEMA(schema_data_centre, data_centre_fields),
	data_centre_fields},
    [SCHEMA_VERSIONS] = {"versions",
	GROUP_SCHEMA(schema_version, version_fields), version_fields},
    [SCHEMA_SERVICES] = {"services",
	GROUP_SCHEMA(schema_service, service_fields), service_fields},
    [SCHEMA_WORKSPACES] = {"workspaces",
	GROUP_SCHEMA(schema_workspace, workspace_fields), workspace_fields},
    [SCHEMA_REPLICAS] = {"replicas",
	GROUP_SCHEMA(schema_replicas, replicas_fields), replicas_fields},
};

/* Returns the group's key in the document. */
const char *
schema_group_name(enum schema_group group)
{
	return schema_groups[group].name;
}

/* Returns the group that a section path belongs to, or -1. */
int
schema_group_from_path(const char *path)
{
	size_t len = strcspn(path, "/");

	for (int i = 0; i < SCHEMA_GROUPS; i++) {
		const char *name = schema_groups[i].name;

		if (strlen(name) == len && strncmp(name, path, len) == 0)
			return i;
	}
	return -1;
}

/* libcyaml log function: appends a message to the buffer in ctx. */
static void
collect_message(cyaml_log_t level, void *ctx, const char *format, va_list args)
{
	struct buf *messages = ctx;

	(void)level;
	buf_addv(messages, format, args);
}

static const cyaml_config_t *
loader_config(cyaml_config_t *config, struct buf *messages)
{
	*config = (cyaml_config_t){.log_fn = collect_message,
	    .log_ctx = messages,
	    .mem_fn = cyaml_mem,
	    .log_level = CYAML_LOG_ERROR};
	return config;
}

/* Returns the line of a section, from 1, that sets a key; 1 if none does. */
static uint32_t
find_key_line(const struct section *section, const char *key)
{
	size_t len = strcspn(key, " ;\n");
	const char *text = section->text;

	for (uint32_t line = 1; *text != '\0'; line++) {
		if (strncmp(text, key, len) == 0 && text[len] == ':')
			return line;
		text += strcspn(text, "\n");
		text += *text == '\n';
	}
	return 1;
}

/*
 * Converts libcyaml's messages into one problem.  The first line of the
 * messages describes the error; the backtrace after it names the field and the
 * line in the section.  An unexpected key has no field, so its line is searched
 * for. fallback is the description if there are no messages.
 */
static void
add_problem(struct section_problems *problems, const struct section *section,
    const struct buf *messages, const char *fallback)
{
	static const char unexpected[] = "Unexpected key: ";
	const char *text = buf_text(messages);
	const char *what = strncmp(text, "Load: ", 6) == 0 ? text + 6 : text;
	const char *field = strstr(text, "in mapping field '");
	const char *where = strstr(text, "line: ");
	uint32_t line = 1;

	if (where != NULL && sscanf(where, "line: %u", &line) != 1)
		line = 1;
	if (strncmp(what, unexpected, sizeof(unexpected) - 1) == 0)
		line = find_key_line(section, what + sizeof(unexpected) - 1);
	if (messages->len == 0)
		what = fallback;
	if (field != NULL)
		field += sizeof("in mapping field '") - 1;
	section_add_problem(problems, section->line + line - 1, section->path,
	    "%.*s%s%.*s", field != NULL ? (int)strcspn(field, "'") : 0,
	    field != NULL ? field : "", field != NULL ? ": " : "",
	    (int)strcspn(what, "\n"), what);
}

/*
 * Parses a section into the structure of its group, to be freed with
 * schema_free().  On an error adds a problem and returns NULL.
 */
void *
schema_load(enum schema_group group, const struct section *section,
    struct section_problems *problems)
{
	struct buf messages;
	cyaml_config_t config;
	cyaml_data_t *data = NULL;
	cyaml_err_t error;

	buf_init(&messages, alloc_default());
	error = cyaml_load_data((const uint8_t *)section->text,
	    strlen(section->text), loader_config(&config, &messages),
	    &schema_groups[group].schema, &data, NULL);
	if (error != CYAML_OK) {
		add_problem(
		    problems, section, &messages, cyaml_strerror(error));
		data = NULL;
	}
	buf_free(&messages);
	return data;
}

/* Frees a structure returned by schema_load(); NULL is allowed. */
void
schema_free(enum schema_group group, void *data)
{
	cyaml_config_t config;

	if (data != NULL)
		cyaml_free(loader_config(&config, NULL),
		    &schema_groups[group].schema, data, 0);
}

/*
 * Appends one "group.key" line for each key, for the test that compares the
 * documentation with the schema.
 */
void
schema_print_keys(struct buf *out)
{
	for (int i = 0; i < SCHEMA_GROUPS; i++) {
		const cyaml_schema_field_t *field = schema_groups[i].fields;

		for (; field->key != NULL; field++)
			buf_addf(
			    out, "%s.%s\n", schema_groups[i].name, field->key);
	}
}
