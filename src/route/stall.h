#ifndef CF_ROUTE_STALL_H
#define CF_ROUTE_STALL_H

#include <stdbool.h>
#include <stdint.h>

#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The stall timeout: how long an attempt may make no progress before it counts
 * as lost because its server is cut off, or because its connection went silent
 * without an error.  Only requests that may run again are moved to another
 * server; others wait for their deadline.  No I/O and no state.
 */
struct stall_input {
	enum route_kind kind;
	bool resumable;
	bool begun; /* events have been passed on to the caller */
	bool can_move; /* attempts and retry budget allow another attempt */
	uint32_t goal_ms;
	uint32_t gap_goal_ms;
	/* Time to the first byte, estimated when the server was chosen */
	double expected_ms;
};

/* Returns the longest time without progress; 0: no limit. */
int64_t stall_timeout_us(const struct stall_input *in);

#ifdef __cplusplus
}
#endif

#endif
