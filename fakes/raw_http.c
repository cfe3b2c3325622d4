#include "raw_http.h"

#include <stdio.h>
#include <string.h>

/*
 * Copies the value of a request's field; "" if it has none.  name includes the
 * colon and the space after it.
 */
void
raw_http_copy_field(
    const char *request, const char *name, char *out, size_t size)
{
	const char *at = strstr(request, name);

	out[0] = '\0';
	if (at != NULL)
		snprintf(out, size, "%.*s",
		    (int)strcspn(at + strlen(name), "\r\n"), at + strlen(name));
}
