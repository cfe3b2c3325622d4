#ifndef CF_FLEET_PRIV_H
#define CF_FLEET_PRIV_H

#include "core/fleet.h"

/* What fleet.c (who is there) and fleet_pick.c (who is best) share. */
struct fl {
	const struct alloc *alloc;
	struct fl_options options;
	struct fl_server *servers;
	uint16_t end; /* above every server ever announced */
	uint64_t versions; /* loaded somewhere */
	uint16_t *lists; /* FL_LISTS rows of server indices */
	uint16_t list_count[FL_LISTS];
	uint32_t list_slots[FL_LISTS];
	int64_t others_mean; /* load by other instances, 1024 a slot */
	struct cache *cache;
};

static inline uint16_t *
fl_list(const struct fl *fl, uint16_t list)
{
	return &fl->lists[(size_t)list * fl->options.max_servers];
}

static inline uint16_t
fl_list_of(const struct fl_need *need)
{
	return need->version != CFG_NONE
		   ? need->version
		   : (uint16_t)(CFG_VERSIONS_MAX + need->service);
}

#endif
