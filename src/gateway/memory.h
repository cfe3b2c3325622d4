#ifndef CF_GATEWAY_MEMORY_H
#define CF_GATEWAY_MEMORY_H

#include "base/loop.h"
#include "http/memory_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Memory and descriptors of one instance: what it holds for callers and servers
 * counts toward one budget, taken from the settings; see docs/design/memory.md.
 */
struct gw;

struct gw_memory {
	struct memory_budget budget;
	uint32_t descriptors_max; /* for callers and servers */
	struct loop_timer *shed_timer; /* NULL: the budget is not short */
	int64_t logged_us; /* when the last line was written */
	uint64_t logged_closed;
	uint64_t logged_refused;
};

void gw_memory_init(struct gw *gw);
void gw_memory_update_metrics(struct gw *gw);

#ifdef __cplusplus
}
#endif

#endif
