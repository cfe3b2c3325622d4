#include <string.h>

#include "gateway/known.h"

/* An odd number whose bits are spread over all 32; orders rows by a hash. */
static const uint32_t hash_factor = 2654435761U;

/* Returns the row of an instance, which is added; NULL without room. */
struct gw_peer *
gw_peers_get_or_add(struct gw_peers *peers, uint32_t instance)
{
	struct gw_peer *row;

	for (uint32_t i = 0; i < peers->count; i++) {
		if (peers->rows[i].instance == instance)
			return &peers->rows[i];
	}
	if (instance == 0 || peers->count == GW_PEERS_MAX)
		return NULL;
	row = &peers->rows[peers->count++];
	memset(row, 0, sizeof(*row));
	row->instance = instance;
	if (peers->changed != NULL)
		peers->changed(peers->ctx);
	return row;
}

/* Notes that an instance was heard from; NULL without room for it. */
struct gw_peer *
gw_peers_mark_heard(struct gw_peers *peers, uint32_t instance,
    bool same_data_centre, int64_t now_us)
{
	struct gw_peer *row = gw_peers_get_or_add(peers, instance);

	if (row != NULL) {
		row->heard_us = now_us;
		row->same_data_centre = same_data_centre;
	}
	return row;
}

/* Sets the seeds, which are never forgotten. */
void
gw_peers_set_seeds(
    struct gw_peers *peers, const uint32_t *seeds, uint32_t count)
{
	for (uint32_t i = 0; i < peers->count; i++)
		peers->rows[i].is_seed = false;
	for (uint32_t i = 0; i < count; i++) {
		struct gw_peer *row = gw_peers_get_or_add(peers, seeds[i]);

		if (row != NULL)
			row->is_seed = true;
	}
}

/* Forgets instances that serve control no longer, as far as one can tell. */
void
gw_peers_remove_silent(struct gw_peers *peers, int64_t now_us)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < peers->count; i++) {
		const struct gw_peer *row = &peers->rows[i];

		if (row->is_seed || row->instance == peers->self ||
		    now_us - row->heard_us < GW_PEER_FORGET_US)
			peers->rows[kept++] = *row;
	}
	if (kept == peers->count)
		return;
	peers->count = kept;
	if (peers->changed != NULL)
		peers->changed(peers->ctx);
}

/* Lists the instances that serve control, this one included if it does. */
uint32_t
gw_peers_list(const struct gw_peers *peers, uint32_t *out, uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < peers->count && count < max; i++)
		out[count++] = peers->rows[i].instance;
	return count;
}

/* Whether an instance was heard from lately; this one is always alive. */
bool
gw_peers_is_alive(
    const struct gw_peers *peers, const struct gw_peer *row, int64_t now_us)
{
	return row->instance == peers->self ||
	       (row->heard_us != 0 &&
		   now_us - row->heard_us < GW_PEER_ALIVE_US);
}

/* Returns an instance heard from lately, a same_data_centre one first; 0 if
 * none was. */
uint32_t
gw_peers_nearest(const struct gw_peers *peers, int64_t now_us)
{
	const struct gw_peer *best = NULL;

	for (uint32_t i = 0; i < peers->count; i++) {
		const struct gw_peer *row = &peers->rows[i];

		if (row->heard_us == 0 ||
		    now_us - row->heard_us > GW_PEER_ALIVE_US)
			continue;
		if (best == NULL ||
		    (row->same_data_centre && !best->same_data_centre) ||
		    (row->same_data_centre == best->same_data_centre &&
			row->instance < best->instance))
			best = row;
	}
	return best != NULL ? best->instance : 0;
}

/*
 * Whether an instance is among those whose registries this one listens to: the
 * first few heard from lately, by a hash that differs at each instance, so that
 * the load spreads.
 */
bool
gw_peers_is_subscribed_to(
    const struct gw_peers *peers, uint32_t instance, int64_t now_us)
{
	uint32_t own = (instance ^ peers->self) * hash_factor;
	uint32_t before = 0;

	for (uint32_t i = 0; i < peers->count; i++) {
		const struct gw_peer *row = &peers->rows[i];

		if (row->instance != instance && row->instance != peers->self &&
		    now_us - row->heard_us < GW_PEER_ALIVE_US &&
		    (row->instance ^ peers->self) * hash_factor < own)
			before++;
	}
	return before < GW_PEERS_SUBSCRIBED_MAX;
}

/* Whether any other instance was ever heard from. */
bool
gw_peers_any_heard(const struct gw_peers *peers)
{
	for (uint32_t i = 0; i < peers->count; i++) {
		if (peers->rows[i].heard_us != 0)
			return true;
	}
	return false;
}
