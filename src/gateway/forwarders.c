#include "gateway/forwarders.h"

static bool
is_usable(const struct gw_forward_candidate *row,
    const struct gw_forward_candidate *receiver)
{
	return row->takes_forwarded && !row->cut_off &&
	       row->instance != receiver->instance;
}

/*
 * Tells whether the instances of the receiver's data centre that reach the
 * servers are enough for those there that don't.
 */
static bool
is_near_enough(const struct gw_forward_candidate *rows, uint32_t count,
    const struct gw_forward_candidate *receiver)
{
	uint32_t usable = 0, cut_off = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (rows[i].data_centre != receiver->data_centre)
			continue;
		usable += is_usable(&rows[i], receiver);
		cut_off += rows[i].cut_off;
	}
	return usable * GW_FORWARDERS_LOAD_MAX >= cut_off && usable > 0;
}

/*
 * Lists the instances to which the receiver may forward requests, at most
 * GW_FORWARDERS_MAX: those of its own data centre, if they are enough, else of
 * all.  Where there are more, receivers get different ones.  Returns their
 * number.
 */
uint32_t
gw_forwarders_choose(const struct gw_forward_candidate *rows, uint32_t count,
    const struct gw_forward_candidate *receiver,
    uint32_t out[GW_FORWARDERS_MAX])
{
	bool near_only = is_near_enough(rows, count, receiver);
	uint32_t chosen = 0;

	for (uint32_t n = 0; n < count && chosen < GW_FORWARDERS_MAX; n++) {
		uint32_t i =
		    (uint32_t)(((uint64_t)receiver->instance + n) % count);

		if (is_usable(&rows[i], receiver) &&
		    (!near_only ||
			rows[i].data_centre == receiver->data_centre))
			out[chosen++] = rows[i].instance;
	}
	return chosen;
}
