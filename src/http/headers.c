#include "http/headers.h"

#include <string.h>
#include <strings.h>

/* Prepares an empty list. */
void
hh_init(struct hh *hh, const struct alloc *alloc)
{
	memset(hh, 0, sizeof(*hh));
	buf_init(&hh->text, alloc);
}

/* Releases the memory of a list. */
void
hh_free(struct hh *hh)
{
	buf_free(&hh->text);
	hh->count = 0;
}

/* Empties a list and keeps its memory. */
void
hh_clear(struct hh *hh)
{
	buf_clear(&hh->text);
	hh->count = 0;
	hh->in_value = false;
	hh->overflow = false;
}

/* Takes a part of a field's name; the first one after a value begins a field.
 */
void
hh_parse_name(struct hh *hh, const char *data, size_t len)
{
	if (hh->count == 0 || hh->in_value) {
		hh_finish(hh);
		if (hh->count == HH_FIELDS_MAX) {
			hh->overflow = true;
			hh->count--;
		}
		hh->fields[hh->count++].name = (uint32_t)hh->text.len;
		hh->in_value = false;
	}
	buf_add(&hh->text, data, len);
}

/* Takes a part of the current field's value. */
void
hh_parse_value(struct hh *hh, const char *data, size_t len)
{
	if (!hh->in_value) {
		buf_add(&hh->text, "", 1);
		hh->fields[hh->count - 1].value = (uint32_t)hh->text.len;
		hh->in_value = true;
	}
	buf_add(&hh->text, data, len);
}

/* Ends the last field. */
void
hh_finish(struct hh *hh)
{
	if (hh->count == 0 || !hh->in_value)
		return;
	buf_add(&hh->text, "", 1);
	hh->in_value = false;
}

/* Returns the name of a field. */
const char *
hh_name(const struct hh *hh, uint32_t i)
{
	return (const char *)hh->text.data + hh->fields[i].name;
}

/* Returns the value of a field. */
const char *
hh_value(const struct hh *hh, uint32_t i)
{
	return (const char *)hh->text.data + hh->fields[i].value;
}

/* Returns the value of the first field of a name, or NULL. */
const char *
hh_get(const struct hh *hh, const char *name)
{
	for (uint32_t i = 0; i < hh->count; i++) {
		if (strcasecmp(hh_name(hh, i), name) == 0)
			return hh_value(hh, i);
	}
	return NULL;
}

/* Returns how many fields have a name. */
uint32_t
hh_count(const struct hh *hh, const char *name)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < hh->count; i++)
		count += strcasecmp(hh_name(hh, i), name) == 0;
	return count;
}

/*
 * Tells whether the fields can be passed on: none was left out, and no value
 * holds a line break, which another parser might take for a new field.
 */
bool
hh_is_sound(const struct hh *hh)
{
	if (hh->overflow)
		return false;
	for (uint32_t i = 0; i < hh->count; i++) {
		if (strpbrk(hh_value(hh, i), "\r\n") != NULL)
			return false;
	}
	return true;
}

/* Tells whether a comma-separated list holds a word, in any case. */
bool
hh_list_has(const char *list, const char *word)
{
	size_t len = strlen(word);

	while (list != NULL && *list != '\0') {
		size_t n;

		list += strspn(list, " \t,");
		n = strcspn(list, " \t,;");
		if (n == len && strncasecmp(list, word, len) == 0)
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

/* Tells whether a field concerns only the connection it came on (RFC 9110). */
bool
hh_is_hop_by_hop(const struct hh *hh, const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	    "Expect"};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	for (uint32_t i = 0; i < hh->count; i++) {
		if (strcasecmp(hh_name(hh, i), "Connection") == 0 &&
		    hh_list_has(hh_value(hh, i), name))
			return true;
	}
	return false;
}
