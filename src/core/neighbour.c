#include "core/neighbour.h"

#include <string.h>

enum {
	REPORT_LIFETIME_US = 15000000, /* unless it is renewed */
	RESERVE_PERMILLE = 100, /* for each better priority */
	RESERVE_PRIORITIES = 4
};

/* Initialises the table with no neighbour known. */
void
neighbour_init(struct neighbours *neighbours, uint16_t own)
{
	memset(neighbours, 0, sizeof(*neighbours));
	neighbours->own = own;
}

/*
 * Updates a neighbour from a CF_EV_NEIGHBOUR event.  Reports of this data
 * centre itself or of an index out of range are ignored.
 */
void
neighbour_update(
    struct neighbours *neighbours, const struct cf_event *event, int64_t now_us)
{
	struct neighbour_report *n;
	uint16_t dc = event->u.neighbour.data_centre;

	if (dc >= CFG_DATA_CENTRES_MAX || dc == neighbours->own)
		return;
	n = &neighbours->reports[dc];
	n->received_us = now_us;
	n->remaining_slots = event->u.neighbour.spare_slots;
	n->reported_slots = n->remaining_slots;
	n->versions = event->u.neighbour.versions;
	n->services = event->u.neighbour.services;
	n->cut_off = event->u.neighbour.cut_off;
	n->known = true;
}

/* Returns whether a data centre is in reach and may run this request. */
static bool
neighbour_is_allowed(const struct neighbours *neighbours, const struct cfg *cfg,
    uint16_t dc, const struct neighbour_need *need)
{
	const struct neighbour_report *n = &neighbours->reports[dc];
	const struct cfg_workspace *w = &cfg->workspaces[need->workspace];

	if (dc == neighbours->own || !n->known || n->cut_off ||
	    need->now_us - n->received_us > REPORT_LIFETIME_US)
		return false;
	if (!need->unsafe_anywhere &&
	    (!w->present || !(w->data_centres >> dc & 1) ||
		!cfg->data_centres[dc].present || cfg->data_centres[dc].out))
		return false;
	return need->versions != 0 || (n->services >> need->service & 1) != 0;
}

/* Returns whether a data centre may run this request and has room for it. */
static bool
neighbour_has_room(const struct neighbours *neighbours, const struct cfg *cfg,
    uint16_t dc, const struct neighbour_need *need)
{
	return neighbour_is_allowed(neighbours, cfg, dc, need) &&
	       (need->versions == 0 ||
		   (neighbours->reports[dc].versions & need->versions) != 0);
}

/*
 * Returns the slots of a neighbour that a priority may use; 0 is the best
 * priority.
 */
static uint32_t
neighbour_free_slots(const struct neighbour_report *n, uint16_t priority)
{
	uint32_t levels =
	    priority < RESERVE_PRIORITIES ? priority : RESERVE_PRIORITIES;
	uint32_t reserved =
	    n->reported_slots * RESERVE_PERMILLE * levels / 1000;

	return n->remaining_slots > reserved ? n->remaining_slots - reserved
					     : 0;
}

/* Returns the data centre with the most free slots for it, or CFG_NONE. */
uint16_t
neighbour_choose(const struct neighbours *neighbours, const struct cfg *cfg,
    const struct neighbour_need *need)
{
	uint16_t priority = cfg->workspaces[need->workspace].priority;
	uint16_t best = CFG_NONE;
	uint32_t best_slots = 0;
	uint32_t free_slots;
	uint16_t dc;

	for (dc = 0; dc < cfg->data_centre_count; dc++) {
		if (!neighbour_has_room(neighbours, cfg, dc, need))
			continue;
		free_slots =
		    neighbour_free_slots(&neighbours->reports[dc], priority);
		if (free_slots > best_slots) {
			best = dc;
			best_slots = free_slots;
		}
	}
	return best;
}

/*
 * Returns whether any other data centre may run this once it has room.  Reports
 * name only the versions that have room, and are seconds old, so one that names
 * none of the request's versions may run them all the same.
 */
bool
neighbour_any_allowed(const struct neighbours *neighbours,
    const struct cfg *cfg, const struct neighbour_need *need)
{
	uint16_t dc;

	for (dc = 0; dc < cfg->data_centre_count; dc++)
		if (neighbour_is_allowed(neighbours, cfg, dc, need))
			return true;
	return false;
}

/* Takes one spare slot of a data centre for a request that was sent there. */
void
neighbour_count_forward(struct neighbours *neighbours, uint16_t data_centre)
{
	if (neighbours->reports[data_centre].remaining_slots > 0)
		neighbours->reports[data_centre].remaining_slots--;
}
