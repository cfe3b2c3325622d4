#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/*
 * Finds the decisions on one request in a log file, and asks an instance where
 * a request would go.
 */

enum {
	REQUEST_BYTES = 160
};

/* Returns whether a line has "request=ID" with exactly this id. */
static bool
is_line_of_request(const char *line, const char *request)
{
	char wanted[REQUEST_BYTES];
	size_t len =
	    (size_t)snprintf(wanted, sizeof(wanted), " request=%s", request);
	const char *at = strstr(line, wanted);

	return at != NULL &&
	       (at[len] == ' ' || at[len] == '\n' || at[len] == '\0');
}

/* Prints a line from its time on, without the id, which all lines share. */
static void
print_line(const char *line, const char *request)
{
	const char *stamp = strstr(line, "ts=");
	const char *at = strstr(line, " request=");
	const char *from = stamp != NULL ? stamp : line;

	printf("%.*s%s", (int)(at - from), from,
	    at + strlen(" request=") + strlen(request));
}

/*
 * Prints the lines of a log about a request, in the order of the log, which is
 * oldest first.  The path "-" is standard input.  Returns CTL_REFUSED if there
 * is no such line or the file can't be opened.
 */
int
ctl_explain_log(const char *request, const char *path)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char *line = NULL;
	size_t size = 0;
	int found = 0;

	if (file == NULL)
		return ctl_fail(CTL_REFUSED, "%s: %s", path, strerror(errno));
	while (getline(&line, &size, file) > 0) {
		if (!is_line_of_request(line, request))
			continue;
		print_line(line, request);
		found++;
	}
	free(line);
	if (file != stdin)
		fclose(file);
	if (found == 0)
		return ctl_fail(
		    CTL_REFUSED, "no log line about request %s", request);
	return CTL_OK;
}

/*
 * Adds "workspace=NAME" or a header field, "NAME:VALUE", to a question.
 * Returns an exit status.
 */
static int
add_argument(json_t *question, json_t *headers, const char *argument)
{
	static const char workspace[] = "workspace=";
	const char *colon = strchr(argument, ':');
	char name[REQUEST_BYTES];

	if (strncmp(argument, workspace, sizeof(workspace) - 1) == 0) {
		json_object_set_new(question, "workspace",
		    json_string(argument + sizeof(workspace) - 1));
		return CTL_OK;
	}
	if (colon == NULL || colon == argument ||
	    (size_t)(colon - argument) >= sizeof(name))
		return ctl_fail(CTL_USAGE,
		    "%s: workspace=NAME or a header field NAME:VALUE is "
		    "expected",
		    argument);
	snprintf(name, sizeof(name), "%.*s", (int)(colon - argument), argument);
	colon += 1 + strspn(colon + 1, " ");
	if (json_object_set_new(headers, name, json_string(colon)) != 0)
		return ctl_fail(CTL_USAGE, "%s: the value is not UTF-8", name);
	return CTL_OK;
}

/* Prints the items of an object that are no lists, one a line. */
static void
print_items(const json_t *object, const char *prefix)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object, name, value)
	{
		if (json_is_object(value))
			print_items(value, name);
		else if (!json_is_array(value)) {
			char *text = json_dumps(
			    value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));

			printf("%s%s%s: %s\n", prefix,
			    *prefix != '\0' ? " " : "", name,
			    json_is_string(value) ? json_string_value(value)
						  : text);
			free(text);
		}
	}
}

/*
 * explain route HOST PATH [workspace=NAME] [FIELD:VALUE]...: asks an entry
 * instance where a request would go now, and why.
 */
int
ctl_explain_route(const struct ctl *ctl, int argc, char **argv)
{
	static const char *const columns[] = {"id", "reason", "data_centre",
	    "version", "first_event_ms", "error_ms", "requests", "slots",
	    "takes_well", "slowness", "backlog_ms", "announced_age_ms",
	    "load_age_ms", "others_age_ms", "pace_age_ms", NULL};
	json_t *headers = json_object(), *answer = NULL;
	json_t *question = json_pack("{s:s, s:s, s:o}", "host", argv[0], "path",
	    argv[1], "headers", headers);
	int status = question != NULL
			 ? CTL_OK
			 : ctl_fail(CTL_USAGE, "HOST or PATH is not UTF-8");

	for (int i = 2; i < argc && status == CTL_OK; i++)
		status = add_argument(question, headers, argv[i]);
	if (status == CTL_OK)
		status = ctl_post_json(ctl, "/explain", question, &answer);
	if (status == CTL_OK && ctl->json)
		ctl_print_json(answer);
	else if (status == CTL_OK) {
		print_items(answer, "");
		if (json_object_get(answer, "servers") != NULL)
			ctl_print_table(
			    json_object_get(answer, "servers"), columns);
	}
	json_decref(answer);
	json_decref(question);
	return status;
}
