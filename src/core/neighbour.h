#ifndef CF_NEIGHBOUR_H
#define CF_NEIGHBOUR_H

#include <stdbool.h>
#include <stdint.h>

#include "celeryford.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The other data centres: which of them are reachable and how many requests
 * each can still take.  Requests sent there count against its last report; a
 * report that is not renewed expires.  The last part of a neighbour's spare
 * slots is reserved for workspaces of better priority.
 */
struct neighbour_report {
	int64_t received_us;
	uint32_t remaining_slots; /* less what was sent since the report */
	uint32_t reported_slots; /* remaining_slots when the report came */
	uint64_t versions; /* mask of versions with room */
	uint64_t services; /* mask of plain services */
	bool known;
	bool cut_off; /* not reachable */
};

struct neighbours {
	struct neighbour_report reports[CFG_DATA_CENTRES_MAX];
	uint16_t own; /* index of this data centre */
};

/* What a request needs of another data centre. */
struct neighbour_need {
	uint16_t workspace;
	uint16_t service;
	uint64_t versions; /* any of these; 0: the plain service */
	int64_t now_us;
	bool unsafe_anywhere; /* tests: ignore the configuration */
};

void neighbour_init(struct neighbours *neighbours, uint16_t own);
void neighbour_update(struct neighbours *neighbours,
    const struct cf_event *event, int64_t now_us);
uint16_t neighbour_choose(const struct neighbours *neighbours,
    const struct cfg *cfg, const struct neighbour_need *need);
bool neighbour_any_allowed(const struct neighbours *neighbours,
    const struct cfg *cfg, const struct neighbour_need *need);
void neighbour_count_forward(
    struct neighbours *neighbours, uint16_t data_centre);

#ifdef __cplusplus
}
#endif

#endif
