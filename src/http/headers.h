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
 * The header fields of one message in the order in which they came.  Names and
 * values are NUL-terminated inside one buffer, so that a message costs two
 * allocations however many fields it has.
 */
enum {
	HH_FIELDS_MAX = 128
};

struct hh_field {
	uint32_t name; /* offsets in text */
	uint32_t value;
};

struct hh {
	struct buf text;
	struct hh_field fields[HH_FIELDS_MAX];
	uint32_t count;
	bool in_value; /* the parser is inside a value */
	bool overflow; /* more fields than there is room for */
};

void hh_init(struct hh *hh, const struct alloc *alloc);
void hh_free(struct hh *hh);
void hh_clear(struct hh *hh);
void hh_parse_name(struct hh *hh, const char *data, size_t len);
void hh_parse_value(struct hh *hh, const char *data, size_t len);
void hh_finish(struct hh *hh);
const char *hh_name(const struct hh *hh, uint32_t i);
const char *hh_value(const struct hh *hh, uint32_t i);
const char *hh_get(const struct hh *hh, const char *name);
uint32_t hh_count(const struct hh *hh, const char *name);
bool hh_is_sound(const struct hh *hh);
bool hh_list_has(const char *list, const char *word);
bool hh_is_hop_by_hop(const struct hh *hh, const char *name);

#ifdef __cplusplus
}
#endif

#endif
