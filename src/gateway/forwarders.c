#include "gateway/forwarders.h"

/* Which instances come into question, for an instance that is cut off. */
struct choice {
	const struct gw_forward_candidate *receiver;
	bool last_resort; /* those that are shutting down as well */
	bool near_only; /* only those of its data centre */
};

static bool
is_usable(const struct choice *choice, const struct gw_forward_candidate *row)
{
	return (row->takes_forwarded ||
		   (choice->last_resort && row->takes_as_last_resort)) &&
	       !row->cut_off && row->instance != choice->receiver->instance &&
	       (!choice->near_only ||
		   row->data_centre == choice->receiver->data_centre);
}

static uint32_t
count_usable(const struct choice *choice,
    const struct gw_forward_candidate *rows, uint32_t count)
{
	uint32_t usable = 0;

	for (uint32_t i = 0; i < count; i++)
		usable += is_usable(choice, &rows[i]);
	return usable;
}

/*
 * Tells whether the instances of the receiver's data centre that reach the
 * servers are enough for those there that don't.
 */
static bool
is_near_enough(const struct choice *choice,
    const struct gw_forward_candidate *rows, uint32_t count)
{
	struct choice near = *choice;
	uint32_t usable, cut_off = 0;

	near.near_only = true;
	usable = count_usable(&near, rows, count);
	for (uint32_t i = 0; i < count; i++)
		cut_off +=
		    rows[i].data_centre == choice->receiver->data_centre &&
		    rows[i].cut_off;
	return usable * GW_FORWARDERS_LOAD_MAX >= cut_off && usable > 0;
}

/*
 * Lists the instances to which the receiver may forward requests, at most
 * GW_FORWARDERS_MAX: those of its own data centre, if they are enough, else of
 * all.  Those that are shutting down are listed only if there is no other.
 * Where there are more, receivers get different ones.  Returns their number.
 */
uint32_t
gw_forwarders_choose(const struct gw_forward_candidate *rows, uint32_t count,
    const struct gw_forward_candidate *receiver,
    uint32_t out[GW_FORWARDERS_MAX])
{
	struct choice choice = {.receiver = receiver};
	uint32_t chosen = 0;

	choice.last_resort = count_usable(&choice, rows, count) == 0;
	choice.near_only = is_near_enough(&choice, rows, count);
	for (uint32_t n = 0; n < count && chosen < GW_FORWARDERS_MAX; n++) {
		uint32_t i =
		    (uint32_t)(((uint64_t)receiver->instance + n) % count);

		if (is_usable(&choice, &rows[i]))
			out[chosen++] = rows[i].instance;
	}
	return chosen;
}
