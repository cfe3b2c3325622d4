#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* The decisions on one request, from the lines of a log. */

enum {
	REQUEST_BYTES = 160
};

/* Whether a line is about a request: "request=ID" with nothing after the id. */
static bool
is_about(const char *line, const char *request)
{
	char wanted[REQUEST_BYTES];
	size_t len =
	    (size_t)snprintf(wanted, sizeof(wanted), " request=%s", request);
	const char *at = strstr(line, wanted);

	return at != NULL &&
	       (at[len] == ' ' || at[len] == '\n' || at[len] == '\0');
}

/* Prints a line without the id that all of them have. */
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
 * Prints the lines of a log about a request, oldest first as they were
 * written.  "-" reads standard input.  CTL_REFUSED if there is none.
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
		if (!is_about(line, request))
			continue;
		print_line(line, request);
		found++;
	}
	free(line);
	if (file != stdin)
		fclose(file);
	if (found == 0)
		return ctl_fail(
		    CTL_REFUSED, "no line about request %s", request);
	return CTL_OK;
}
