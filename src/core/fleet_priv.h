#ifndef CF_FLEET_PRIV_H
#define CF_FLEET_PRIV_H

#include "core/fleet.h"

/* What fleet.c (who is there) and fleet_pick.c (who is best) share. */
struct fleet {
	const struct alloc *alloc;
	struct fleet_options options;
	struct fleet_server *servers;
	uint16_t server_index_end; /* above every server ever announced */
	uint64_t versions; /* loaded somewhere */
	uint16_t *lists; /* FLEET_LISTS rows of server indices */
	uint16_t list_count[FLEET_LISTS];
	uint32_t list_slots[FLEET_LISTS];
	int64_t others_load_mean; /* load by other instances, 1024 a slot */
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
