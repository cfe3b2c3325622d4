#include <sodium.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "wire/envelope.pb-c.h"
#include "wire/secure.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Passes arbitrary bytes as Hello, stream header, encrypted frame and envelope.
 * None may crash, and no bytes may decrypt without the cluster key.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct secure_peer self = {"a", "kingston", 1};
	struct secure_keys keys = {.count = 1};
	Wire__Envelope *envelope;
	struct secure_session *session;
	struct buf out;

	if (sodium_init() < 0)
		abort();
	buf_init(&out, alloc_default());
	session = secure_new(alloc_default(), &keys, &self, 0);
	secure_write_hello(session, &out);
	secure_receive_hello(session, data, (uint32_t)size, &out);
	secure_receive_header(session, data, (uint32_t)size);
	if (secure_decrypt(session, data, (uint32_t)size, &out) == 0)
		__builtin_trap();
	secure_free(session);
	envelope = wire__envelope__unpack(NULL, size, data);
	if (envelope != NULL)
		wire__envelope__free_unpacked(envelope, NULL);
	buf_free(&out);
	return 0;
}
