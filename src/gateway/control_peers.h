#ifndef CF_GATEWAY_CONTROL_PEERS_H
#define CF_GATEWAY_CONTROL_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "gateway/notes.h"

/*
 * The instances that serve control, as one instance knows them: its seeds,
 * those that other instances list, and those that it has received messages
 * from.  Does no I/O.
 */

enum {
	GW_PEERS_MAX = 64,
	/* registries that an instance subscribes to */
	GW_PEERS_SUBSCRIBED_MAX = 3,
	/* an instance that is silent for longer is not listed to others */
	GW_PEER_ALIVE_US = 4000000,
	/* an instance that is silent for longer is removed, unless a seed */
	GW_PEER_FORGET_US = 30000000
};

/* An instance that serves control. */
struct gw_peer {
	uint32_t instance; /* its IPv4 address in host byte order */
	bool is_seed;
	int64_t heard_us; /* last message from it; 0: none yet */
	bool same_data_centre; /* it is in this instance's data centre */
	uint64_t registry_incarnation; /* incarnation of its registry */
	uint64_t last_change; /* last change of that registry received here */
	/* Comparison of its notes with this instance's */
	struct gw_notes_peer notes;
};

struct gw_peers {
	uint32_t self;
	struct gw_peer rows[GW_PEERS_MAX];
	uint32_t count;
	/* Called after each instance that is added or removed. */
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
