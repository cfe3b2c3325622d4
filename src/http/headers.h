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
	HH_FIELDS_MAX = 128
};

struct hh_field {
	uint32_t name; /* offsets into text, in bytes */
	uint32_t value;
};

struct hh {
	struct buf text;
	struct hh_field fields[HH_FIELDS_MAX];
	uint32_t count;
	bool in_value; /* the last field's value is being read */
	bool overflow; /* the message has more than HH_FIELDS_MAX fields */
};

void hh_init(struct hh *headers, const struct alloc *alloc);
void hh_free(struct hh *headers);
void hh_clear(struct hh *headers);
void hh_parse_name(struct hh *headers, const char *data, size_t len);
void hh_parse_value(struct hh *headers, const char *data, size_t len);
void hh_finish(struct hh *headers);
const char *hh_name(const struct hh *headers, uint32_t i);
const char *hh_value(const struct hh *headers, uint32_t i);
const char *hh_get(const struct hh *headers, const char *name);
uint32_t hh_count(const struct hh *headers, const char *name);
bool hh_is_sound(const struct hh *headers);
bool hh_list_has(const char *list, const char *word);
bool hh_is_hop_by_hop(const struct hh *headers, const char *name);

#ifdef __cplusplus
}
#endif

#endif
