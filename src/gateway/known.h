#ifndef GATEWAY_KNOWN_H
#define GATEWAY_KNOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/notes.h"

/*
 * The instances that serve control, as one instance knows them: its seeds, what
 * others tell and whoever is heard from.  Does no I/O.
 */

enum {
	GW_PEERS_MAX = 64,
	GW_PEERS_SUBSCRIBED_MAX =
	    3, /* registries that an instance listens to */
	GW_PEER_ALIVE_US =
	    4000000, /* unheard for longer: not listed any more */
	GW_PEER_FORGET_US =
	    30000000 /* unheard for longer: forgotten, but seeds */
};

/* An instance that serves control. */
struct gw_peer {
	uint32_t instance; /* its address, in the host's order of bytes */
	bool is_seed;
	int64_t heard_us; /* 0: never */
	bool same_data_centre; /* in this data centre */
	uint64_t registry_incarnation; /* its registry's incarnation, and */
	uint64_t last_change; /* the last last_change that arrived from there */
	struct nt_peer notes; /* how its notes compare with ours */
};

struct gw_peers {
	uint32_t self;
	struct gw_peer rows[GW_PEERS_MAX];
	uint32_t count;
	/* Called after each instance that is added or forgotten. */
	void (*changed)(void *ctx);
	void *ctx;
};

struct gw_peer *gw_peers_get_or_add(struct gw_peers *peers, uint32_t instance);
struct gw_peer *gw_peers_mark_heard(struct gw_peers *peers, uint32_t instance,
    bool same_data_centre, int64_t now_us);
void gw_peers_set_seeds(
    struct gw_peers *peers, const uint32_t *seeds, uint32_t count);
void gw_peers_remove_silent(struct gw_peers *peers, int64_t now_us);
uint32_t gw_peers_list(
    const struct gw_peers *peers, uint32_t *out, uint32_t max);
uint32_t gw_peers_nearest(const struct gw_peers *peers, int64_t now_us);
bool gw_peers_is_subscribed_to(
    const struct gw_peers *peers, uint32_t instance, int64_t now_us);
bool gw_peers_is_alive(
    const struct gw_peers *peers, const struct gw_peer *row, int64_t now_us);
bool gw_peers_any_heard(const struct gw_peers *peers);

#endif
