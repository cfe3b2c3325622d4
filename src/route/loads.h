#ifndef CF_ROUTE_LOADS_H
#define CF_ROUTE_LOADS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The load that each instance reports to have at the backend servers, and the
 * sum of the reports of all other instances.  No I/O.
 */
enum {
	LOADS_SERVERS_MAX = 1024, /* servers in one report */
	LOADS_INSTANCES_MAX = 512,
	/*
	 * Time between two reports of an instance without requests, each of
	 * which is answered by the load of the others
	 */
	LOADS_IDLE_PERIOD_US = 1000000
};

struct loads_entry {
	uint32_t server; /* hash of the server's id */
	/* Prompt work sent to the server that has not begun */
	uint32_t pending_ms;
	uint32_t running; /* requests at the server */
};

/* When an instance reports; all fields start at zero. */
struct loads_schedule {
	bool was_empty; /* its last report had no requests */
	int64_t sent_us; /* time of that report; 0: none yet */
};

bool loads_is_due(
    struct loads_schedule *schedule, size_t count, int64_t now_us);

struct load_reports;

struct load_reports *loads_new(
    const struct alloc *alloc, int64_t report_ttl_us);
void loads_free(struct load_reports *reports);
void loads_store_report(struct load_reports *reports, uint32_t source,
    const struct loads_entry *loads, size_t count, int64_t now_us);
size_t loads_sum_others(struct load_reports *reports, uint32_t except,
    int64_t now_us, struct loads_entry *out, size_t max);
size_t loads_sum_with(struct load_reports *reports, uint32_t except,
    struct load_reports *others, int64_t now_us, struct loads_entry *out,
    size_t max);
uint32_t loads_server_hash(const char *id);

#ifdef __cplusplus
}
#endif

#endif
