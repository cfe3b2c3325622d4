#include "http/headers.h"

#include <string.h>
#include <strings.h>

/* Initialises an empty set of fields. */
void
headers_init(struct header_fields *headers, const struct alloc *alloc)
{
	memset(headers, 0, sizeof(*headers));
	buf_init(&headers->text, alloc);
}

/* Frees the memory of the fields. */
void
headers_free(struct header_fields *headers)
{
	buf_free(&headers->text);
	headers->count = 0;
}

/* Removes all fields and keeps the memory. */
void
headers_clear(struct header_fields *headers)
{
	buf_clear(&headers->text);
	headers->count = 0;
	headers->in_value = false;
	headers->overflow = false;
	headers->closed = false;
}

/* Terminates the value of the last field. */
static void
end_value(struct header_fields *headers)
{
	if (headers->count == 0 || !headers->in_value)
		return;
	buf_add(&headers->text, "", 1);
	headers->in_value = false;
}

/*
 * Appends a part of a field's name. The first part after a value starts a new
 * field; if there is no room, the last field is overwritten and overflow is
 * set.
 */
void
headers_parse_name(struct header_fields *headers, const char *data, size_t len)
{
	if (headers->closed)
		return;
	if (headers->count == 0 || headers->in_value) {
		end_value(headers);
		if (headers->count == HEADERS_FIELDS_MAX) {
			headers->overflow = true;
			headers->count--;
		}
		headers->fields[headers->count++].name =
		    (uint32_t)headers->text.len;
		headers->in_value = false;
	}
	buf_add(&headers->text, data, len);
}

/* Appends a part of the current field's value. */
void
headers_parse_value(struct header_fields *headers, const char *data, size_t len)
{
	if (headers->closed)
		return;
	if (!headers->in_value) {
		buf_add(&headers->text, "", 1);
		headers->fields[headers->count - 1].value =
		    (uint32_t)headers->text.len;
		headers->in_value = true;
	}
	buf_add(&headers->text, data, len);
}

/*
 * Ends the header.  Fields that the parser reports afterwards are trailers,
 * which must not change what the message has been judged by; they are dropped.
 */
void
headers_close(struct header_fields *headers)
{
	end_value(headers);
	headers->closed = true;
}

/* Returns the name of a field. */
const char *
headers_name(const struct header_fields *headers, uint32_t i)
{
	return (const char *)headers->text.data + headers->fields[i].name;
}

/* Returns the value of a field. */
const char *
headers_value(const struct header_fields *headers, uint32_t i)
{
	return (const char *)headers->text.data + headers->fields[i].value;
}

/* Returns the value of the first field with a name, ignoring case, or NULL. */
const char *
headers_get(const struct header_fields *headers, const char *name)
{
	for (uint32_t i = 0; i < headers->count; i++) {
		if (strcasecmp(headers_name(headers, i), name) == 0)
			return headers_value(headers, i);
	}
	return NULL;
}

/* Returns the number of fields with a name, ignoring case. */
uint32_t
headers_count(const struct header_fields *headers, const char *name)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < headers->count; i++)
		count += strcasecmp(headers_name(headers, i), name) == 0;
	return count;
}

/*
 * Returns whether the fields can be forwarded: none was dropped, and no value
 * contains a line break, which another parser might take for the start of a new
 * field.
 */
bool
headers_are_forwardable(const struct header_fields *headers)
{
	if (headers->overflow)
		return false;
	for (uint32_t i = 0; i < headers->count; i++) {
		if (strpbrk(headers_value(headers, i), "\r\n") != NULL)
			return false;
	}
	return true;
}

/*
 * Returns whether a comma-separated list contains a word, ignoring case and
 * parameters after a semicolon. list may be NULL.
 */
bool
headers_list_contains(const char *list, const char *word)
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

/*
 * Returns whether a field applies only to the connection on which it arrived: a
 * hop-by-hop field of RFC 9110, or one listed in Connection.
 */
bool
headers_is_hop_by_hop(const struct header_fields *headers, const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	    "Expect"};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	for (uint32_t i = 0; i < headers->count; i++) {
		if (strcasecmp(headers_name(headers, i), "Connection") == 0 &&
		    headers_list_contains(headers_value(headers, i), name))
			return true;
	}
	return false;
}
