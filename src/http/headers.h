#ifndef CF_HTTP_HEADERS_H
#define CF_HTTP_HEADERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Header fields of one message, in the order of arrival. Names and values are
 * NUL-terminated strings in one buffer, so that a message needs two allocations
 * regardless of the number of fields.
 */
enum {
	HEADERS_FIELDS_MAX = 128
};

struct header_field {
	uint32_t name; /* offsets into text, in bytes */
	uint32_t value;
};

struct header_fields {
	struct buf text;
	struct header_field fields[HEADERS_FIELDS_MAX];
	uint32_t count;
	bool in_value; /* the last field's value is being read */
	bool closed; /* the header is complete: trailer fields are dropped */
	bool overflow; /* the message has more than HEADERS_FIELDS_MAX fields */
};

void headers_init(struct header_fields *headers, const struct alloc *alloc);
void headers_free(struct header_fields *headers);
void headers_clear(struct header_fields *headers);
void headers_parse_name(
    struct header_fields *headers, const char *data, size_t len);
void headers_parse_value(
    struct header_fields *headers, const char *data, size_t len);
void headers_close(struct header_fields *headers);
const char *headers_name(const struct header_fields *headers, uint32_t i);
const char *headers_value(const struct header_fields *headers, uint32_t i);
const char *headers_get(const struct header_fields *headers, const char *name);
uint32_t headers_count(const struct header_fields *headers, const char *name);
bool headers_are_forwardable(const struct header_fields *headers);
bool headers_list_contains(const char *list, const char *word);
bool headers_is_hop_by_hop(
    const struct header_fields *headers, const char *name);

#ifdef __cplusplus
}
#endif

#endif
