#include "core/neighbour.h"

#include <string.h>

enum {
	NB_STALE_US = 15000000, /* a report not renewed for this long ends */
	NB_RESERVE_PERMILLE = 100, /* kept back for each better priority */
	NB_RESERVE_PRIORITIES = 4
};

/* Starts without any neighbour known. */
void
nb_init(struct nb *nb, uint16_t own)
{
	memset(nb, 0, sizeof(*nb));
	nb->own = own;
}

/* Takes in a CF_EV_NEIGHBOUR. */
void
nb_heard(struct nb *nb, const struct cf_event *event, int64_t now_us)
{
	struct nb_report *n;
	uint16_t dc = event->u.neighbour.data_centre;

	if (dc >= CFG_DATA_CENTRES_MAX || dc == nb->own)
		return;
	n = &nb->reports[dc];
	n->heard_us = now_us;
	n->spare = event->u.neighbour.spare_slots;
	n->reported = n->spare;
	n->versions = event->u.neighbour.versions;
	n->services = event->u.neighbour.services;
	n->cut_off = event->u.neighbour.cut_off;
	n->known = true;
}

/* Whether a data centre may be sent this work at all, full or not. */
static bool
nb_may_take(const struct nb *nb, const struct cfg *cfg, uint16_t dc,
    const struct nb_need *need)
{
	const struct nb_report *n = &nb->reports[dc];
	const struct cfg_workspace *w = &cfg->workspaces[need->workspace];

	if (dc == nb->own || !n->known || n->cut_off ||
	    need->now_us - n->heard_us > NB_STALE_US)
		return false;
	if (!need->unsafe_anywhere &&
	    (!w->present || !(w->data_centres >> dc & 1) ||
		!cfg->data_centres[dc].present || cfg->data_centres[dc].out))
		return false;
	if (need->versions == 0)
		return (n->services >> need->service & 1) != 0;
	return (n->versions & need->versions) != 0;
}

static uint32_t
nb_room(const struct nb_report *n, uint16_t priority)
{
	uint32_t steps =
	    priority < NB_RESERVE_PRIORITIES ? priority : NB_RESERVE_PRIORITIES;
	uint32_t kept = n->reported * NB_RESERVE_PERMILLE * steps / 1000;

	return n->spare > kept ? n->spare - kept : 0;
}

/* Returns the data centre with the most room for this work, or CFG_NONE. */
uint16_t
nb_pick(const struct nb *nb, const struct cfg *cfg, const struct nb_need *need)
{
	uint16_t priority = cfg->workspaces[need->workspace].priority;
	uint16_t best = CFG_NONE;
	uint32_t best_room = 0;
	uint32_t room;
	uint16_t dc;

	for (dc = 0; dc < cfg->data_centre_count; dc++) {
		if (!nb_may_take(nb, cfg, dc, need))
			continue;
		room = nb_room(&nb->reports[dc], priority);
		if (room > best_room) {
			best = dc;
			best_room = room;
		}
	}
	return best;
}

/* Whether any other data centre could take this work once it has room. */
bool
nb_reachable(
    const struct nb *nb, const struct cfg *cfg, const struct nb_need *need)
{
	uint16_t dc;

	for (dc = 0; dc < cfg->data_centre_count; dc++)
		if (nb_may_take(nb, cfg, dc, need))
			return true;
	return false;
}

/* Counts one request against a data centre's room. */
void
nb_sent(struct nb *nb, uint16_t data_centre)
{
	if (nb->reports[data_centre].spare > 0)
		nb->reports[data_centre].spare--;
}
