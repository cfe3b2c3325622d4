#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Finds the decisions on one request in a log file. */

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
