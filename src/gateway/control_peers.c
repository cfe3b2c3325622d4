#include <string.h>

#include "gateway/control_peers.h"

/*
 * Factor of a multiplicative hash: an odd number whose set bits are spread
 * over all 32.
 */
static const uint32_t hash_factor = 2654435761U;

/*
 * Returns the entry of an instance, which is added if missing.  Returns NULL
 * if there is no room, or for the instance 0.
 */
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

/*
 * Records a message from an instance.  Returns its entry, or NULL as
 * gw_peers_get_or_add().
 */
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

/* Sets the seeds, which are never removed. */
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

/*
 * Removes the instances that have been silent for GW_PEER_FORGET_US, which
 * presumably don't serve control any more.
 */
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

/*
 * Lists the instances that serve control, including this one if it does.
 * Returns their number, at most max.
 */
uint32_t
gw_peers_list(const struct gw_peers *peers, uint32_t *out, uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < peers->count && count < max; i++)
		out[count++] = peers->rows[i].instance;
	return count;
}

/*
 * Whether an instance was heard from within GW_PEER_ALIVE_US.  This instance
 * itself is always alive.
 */
bool
gw_peers_is_alive(
    const struct gw_peers *peers, const struct gw_peer *row, int64_t now_us)
{
	return row->instance == peers->self ||
	       (row->heard_us != 0 &&
		   now_us - row->heard_us < GW_PEER_ALIVE_US);
}

/*
 * Returns an instance that was heard from within GW_PEER_ALIVE_US, preferably
 * one of this data centre, or 0 if there is none.
 */
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

static bool
is_other_alive(
    const struct gw_peers *peers, const struct gw_peer *row, int64_t now_us)
{
	return row->instance != peers->self &&
	       now_us - row->heard_us < GW_PEER_ALIVE_US;
}

/*
 * Returns the live instance that follows this one, or precedes it, in the ring
 * of all instances in the order of their addresses; 0 if there is none.
 */
static uint32_t
ring_neighbour(const struct gw_peers *peers, bool precedes, int64_t now_us)
{
	uint32_t found = 0, shortest = UINT32_MAX;

	for (uint32_t i = 0; i < peers->count; i++) {
		const struct gw_peer *row = &peers->rows[i];
		uint32_t distance = precedes ? peers->self - row->instance
					     : row->instance - peers->self;

		if (!is_other_alive(peers, row, now_us) || distance >= shortest)
			continue;
		shortest = distance;
		found = row->instance;
	}
	return found;
}

static bool
serves_control(const struct gw_peers *peers)
{
	for (uint32_t i = 0; i < peers->count; i++) {
		if (peers->rows[i].instance == peers->self)
			return true;
	}
	return false;
}

/*
 * Whether this instance subscribes to the registry of the given one.  It
 * subscribes to the first GW_PEERS_SUBSCRIBED_MAX live instances in the order
 * of a hash, which differs at each instance so that the load is spread.  One
 * that serves control itself subscribes to its neighbours in the ring first:
 * with the hash alone there may be an instance to which no other subscribes,
 * and what servers tell it reaches no others.
 */
bool
gw_peers_is_subscribed_to(
    const struct gw_peers *peers, uint32_t instance, int64_t now_us)
{
	uint32_t own = (instance ^ peers->self) * hash_factor;
	uint32_t next = 0, previous = 0;
	uint32_t before = 0;

	if (serves_control(peers)) {
		next = ring_neighbour(peers, false, now_us);
		previous = ring_neighbour(peers, true, now_us);
	}
	if (instance == next || instance == previous)
		return true;
	for (uint32_t i = 0; i < peers->count; i++) {
		const struct gw_peer *row = &peers->rows[i];

		if (row->instance != instance &&
		    is_other_alive(peers, row, now_us) &&
		    (row->instance == next || row->instance == previous ||
			(row->instance ^ peers->self) * hash_factor < own))
			before++;
	}
	return before < GW_PEERS_SUBSCRIBED_MAX;
}

/* Whether any instance was ever heard from. */
bool
gw_peers_any_heard(const struct gw_peers *peers)
{
	for (uint32_t i = 0; i < peers->count; i++) {
		if (peers->rows[i].heard_us != 0)
			return true;
	}
	return false;
}
