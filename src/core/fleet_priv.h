#ifndef CF_FLEET_PRIV_H
#define CF_FLEET_PRIV_H

#include "core/fleet.h"

/*
 * Internals shared by fleet.c, which keeps the servers' state, and
 * fleet_pick.c, which chooses between them.
 */
struct fleet {
	const struct alloc *alloc;
	struct fleet_options options;
	struct fleet_server *servers;
	/* one above the highest index ever announced */
	uint16_t server_index_end;
	uint64_t versions; /* mask of versions that a usable server runs */
	uint16_t *lists; /* FLEET_LISTS rows of max_servers indices */
	uint16_t list_count[FLEET_LISTS];
	uint32_t list_slots[FLEET_LISTS];
	int64_t others_load_mean; /* mean load by others, 1/1024 of a slot */
	struct cache *cache;
};

static inline uint16_t *
fleet_list(const struct fleet *fleet, uint16_t list)
{
	return &fleet->lists[(size_t)list * fleet->options.max_servers];
}

static inline uint16_t
fleet_list_index(const struct fleet_need *need)
{
	return need->version != CFG_NONE
		   ? need->version
		   : (uint16_t)(CFG_VERSIONS_MAX + need->service);
}

#endif
