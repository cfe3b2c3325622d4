#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "platform/dialect.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses lines "NAME: VALUE" as header fields, reads them as a request and as
 * an answer, and writes the fields that are forwarded.  No input may crash, or
 * yield more than GW_PROMPT_PARTS_MAX prompt parts.  The forwarded fields must
 * not contain a line break taken from a value.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct gw_dialect *dialect = platform_dialect();
	const struct gw_forward_header send = {
	    .deadline_ms = 1, .server = "i-1", .model = "m", .priority = -1};
	static struct gw_request_header request;
	struct gw_answer_header answer;
	struct buf lines;
	struct header_fields header_fields;

	headers_init(&header_fields, alloc_default());
	while (size > 0) {
		const uint8_t *end = memchr(data, '\n', size);
		size_t len = end != NULL ? (size_t)(end - data) : size;
		const uint8_t *colon = memchr(data, ':', len);

		if (colon != NULL && memchr(data, '\0', len) == NULL) {
			size_t name = (size_t)(colon - data);

			headers_parse_name(
			    &header_fields, (const char *)data, name);
			headers_parse_value(&header_fields,
			    (const char *)colon + 1, len - name - 1);
		}
		data += len + (end != NULL);
		size -= len + (end != NULL);
	}
	headers_close(&header_fields);
	buf_init(&lines, alloc_default());
	(void)dialect->ops->read_request(dialect, &header_fields, &request);
	dialect->ops->read_answer(dialect, &header_fields, &answer);
	dialect->ops->write_request(dialect, &header_fields, &send, &lines);
	dialect->ops->write_answer(dialect, &header_fields, &lines);
	if (request.part_count > GW_PROMPT_PARTS_MAX)
		__builtin_trap();
	buf_free(&lines);
	headers_free(&header_fields);
	return 0;
}
