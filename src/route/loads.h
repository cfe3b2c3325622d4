#ifndef CF_ROUTE_LOADS_H
#define CF_ROUTE_LOADS_H

#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What several instances have under way at the backend servers, as each of them
 * reports it, and the sum over all but one.  No I/O.
 */
enum {
	LD_SERVERS_MAX = 1024, /* in one report */
	LOADS_INSTANCES_MAX = 512
};

struct ld_load {
	uint32_t server; /* hash of its id */
	uint32_t pending_ms; /* work sent there that has not begun */
	uint32_t running; /* requests there */
};

struct ld;

struct ld *ld_new(const struct alloc *alloc, int64_t lasting_us);
void ld_free(struct ld *ld);
void ld_report(struct ld *ld, uint32_t source, const struct ld_load *loads,
    size_t count, int64_t now_us);
size_t ld_sum(const struct ld *ld, uint32_t except, int64_t now_us,
    struct ld_load *out, size_t max);
uint32_t loads_server_hash(const char *id);

#ifdef __cplusplus
}
#endif

#endif
