#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "platform/dialect.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses a control call: the first byte selects the method and target, the rest
 * is the body.  An accepted announcement must have a port and a service.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct {
		const char *method;
		const char *target;
	} calls[] = {{"PUT", "/api/instances/i-1"},
	    {"DELETE", "/api/instances/i-1"}, {"POST", "/api/rollouts"},
	    {"POST", "/api/evacuations/a"}, {"PUT", "/api/config"}};
	const struct gw_dialect *dialect = platform_dialect();
	static struct gw_control_call call;
	struct buf body, why;
	size_t at;

	if (size == 0)
		return 0;
	at = data[0] % (sizeof(calls) / sizeof(calls[0]));
	buf_init(&body, alloc_default());
	buf_init(&why, alloc_default());
	buf_add(&body, data + 1, size - 1);
	if (dialect->ops->read_call(dialect, calls[at].method, calls[at].target,
		&body, &call, &why) == 0 &&
	    call.kind == GW_CALL_ANNOUNCE &&
	    (call.server.port == 0 || call.server.service[0] == '\0'))
		__builtin_trap();
	buf_free(&body);
	buf_free(&why);
	return 0;
}
