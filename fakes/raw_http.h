#ifndef CF_RAW_HTTP_H
#define CF_RAW_HTTP_H

#include <stddef.h>

/* For stand-ins that read requests from sockets without an HTTP library. */
void raw_http_copy_field(
    const char *request, const char *name, char *out, size_t size);

#endif
