#ifndef CF_ROUTE_STALL_H
#define CF_ROUTE_STALL_H

#include <stdbool.h>
#include <stdint.h>

#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How long an attempt may make no progress before it is taken for lost: its
 * server is cut off, or its connection went silent without an error.  Only
 * requests that may run again are moved; others wait for their time limit.
 * No I/O and no state.
 */
struct pa_input {
	enum route_kind kind;
	bool resumable;
	bool begun; /* events have been passed on */
	bool can_move; /* attempts and budget allow another */
	uint32_t goal_ms;
	uint32_t gap_goal_ms;
	double expected_ms; /* until the first byte, as it was placed */
};

/* Returns the longest time without progress; 0: as long as it takes. */
int64_t pa_limit_us(const struct pa_input *in);

#ifdef __cplusplus
}
#endif

#endif
