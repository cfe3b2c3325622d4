#include "gateway/forward.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/err.h"

enum {
	FLAG_MAY_HAVE_RUN = 1,
	FLAG_MAY_HAVE_ARRIVED = 2,
	FLAG_COUNTED = 4,
	CODE_BYTES = 32,
	CODE_HEX_BYTES = CODE_BYTES * 2 + 1
};

/*
 * Writes the code of a field as hexadecimal digits.  text: the field without
 * its code.
 */
static void
make_code(const char *text, const char *target, uint32_t to,
    const uint8_t key[SECURE_KEY_BYTES], char out[CODE_HEX_BYTES])
{
	crypto_generichash_state state;
	uint8_t code[CODE_BYTES];

	crypto_generichash_init(&state, key, SECURE_KEY_BYTES, CODE_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)&to, sizeof(to));
	crypto_generichash_update(
	    &state, (const uint8_t *)text, strlen(text) + 1);
	crypto_generichash_update(
	    &state, (const uint8_t *)target, strlen(target) + 1);
	crypto_generichash_final(&state, code, sizeof(code));
	sodium_bin2hex(out, CODE_HEX_BYTES, code, sizeof(code));
}

/* Appends the header line. */
void
gw_forward_write(const struct gw_forward *forward, const char *target,
    const struct secure_keys *keys, struct buf *lines)
{
	char text[GW_FORWARD_FIELD_BYTES], code[CODE_HEX_BYTES];
	unsigned int flags =
	    (forward->may_have_run ? FLAG_MAY_HAVE_RUN : 0) |
	    (forward->may_have_arrived ? FLAG_MAY_HAVE_ARRIVED : 0) |
	    (forward->is_counted ? FLAG_COUNTED : 0);

	snprintf(text, sizeof(text), "%" PRIu32 " %" PRIu64 " %u %u %u",
	    forward->from, forward->document, forward->sends, forward->runs,
	    flags);
	make_code(text, target, forward->to, keys->keys[0], code);
	buf_addf(lines, GW_FORWARD_FIELD ": %s %s\r\n", text, code);
}

/*
 * Reads the field of a request to this instance.  Returns 0, ERR_MALFORMED, or
 * ERR_AUTH if its code was made without a cluster key.
 */
int
gw_forward_read(const struct header_fields *headers, const char *target,
    uint32_t self, const struct secure_keys *keys, struct gw_forward *forward)
{
	const char *value = headers_get(headers, GW_FORWARD_FIELD);
	char text[GW_FORWARD_FIELD_BYTES], code[CODE_HEX_BYTES];
	const char *given = value != NULL ? strrchr(value, ' ') : NULL;
	unsigned int flags;

	memset(forward, 0, sizeof(*forward));
	if (given == NULL || headers_count(headers, GW_FORWARD_FIELD) > 1 ||
	    (size_t)(given - value) >= sizeof(text) ||
	    strlen(given + 1) != CODE_HEX_BYTES - 1)
		return ERR_MALFORMED;
	memcpy(text, value, (size_t)(given - value));
	text[given - value] = '\0';
	if (sscanf(text, "%" SCNu32 " %" SCNu64 " %" SCNu32 " %" SCNu32 " %u",
		&forward->from, &forward->document, &forward->sends,
		&forward->runs, &flags) != 5)
		return ERR_MALFORMED;
	forward->to = self;
	forward->may_have_run = (flags & FLAG_MAY_HAVE_RUN) != 0;
	forward->may_have_arrived = (flags & FLAG_MAY_HAVE_ARRIVED) != 0;
	forward->is_counted = (flags & FLAG_COUNTED) != 0;
	for (uint8_t i = 0; i < keys->count; i++) {
		make_code(text, target, self, keys->keys[i], code);
		if (sodium_memcmp(code, given + 1, CODE_HEX_BYTES - 1) == 0)
			return 0;
	}
	return ERR_AUTH;
}
