#ifndef CF_MEMBER_CORE_H
#define CF_MEMBER_CORE_H

#include "base/rng.h"
#include "state/member.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the membership only. */

enum {
	MB_ITEMS_KEPT = 256, /* items still passed on */
	MB_ORIGINS = 1024, /* publishers whose items are told apart */
	MB_SEEDS_MAX = 32
};

struct mb_peer {
	struct mb_record record;
	uint32_t sends; /* times that the record is still passed on */
	int64_t suspected_us; /* when this observer began to suspect */
	bool confirmed; /* another one suspects as well */
	int64_t spare_us; /* relay: when spare was sent; 0: never */
	uint16_t spare[MB_VERSIONS_MAX];
};

struct mb_slot {
	struct mb_item item;
	uint32_t sends;
};

/* Numbers of an origin's items that were seen: the highest, and 64 below. */
struct mb_origin {
	uint32_t instance;
	uint64_t incarnation;
	uint32_t highest;
	uint64_t window;
};

struct mb_remote {
	uint32_t contact; /* a seed, later the relay */
	uint32_t number; /* of the last summary */
	uint32_t relay; /* that made it */
	int64_t heard_us; /* 0: never */
	bool silent;
};

struct mb {
	struct mb_options options;
	struct rng rng;
	struct mb_record self;
	struct mb_peer peers[MB_MEMBERS_MAX];
	uint32_t peer_count;
	uint32_t seeds[MB_SEEDS_MAX];
	uint32_t seed_count;
	int64_t seen_us; /* last tick */
	/* The probe under way. */
	uint32_t probe;
	uint32_t target; /* 0: none */
	int64_t probed_us;
	bool acked;
	bool helped;
	uint32_t turn; /* position in the present round of members */
	uint32_t periods;
	/* Leaving. */
	bool leaving;
	bool left;
	int64_t leave_us;
	uint32_t leave_acks;
	/* Items. */
	struct mb_slot slots[MB_ITEMS_KEPT];
	uint32_t slot_count;
	struct mb_origin origins[MB_ORIGINS];
	uint32_t item_number;
	/* Roles. */
	struct ls_hold holds[MB_ROLES];
	struct ls_vote votes[MB_DATA_CENTRES_MAX][MB_ROLES];
	/* Between data centres. */
	struct mb_remote remotes[MB_DATA_CENTRES_MAX];
	uint16_t spare[MB_VERSIONS_MAX];
	int64_t summary_us; /* next one */
	uint32_t summary_number;
	int64_t idle_us; /* when numbers that did not change are sent again */
	uint32_t sent_relay;
	uint16_t sent_instances;
	uint16_t sent_spare[MB_VERSIONS_MAX];
};

/* member.c */
struct mb_peer *mb_peer_find(const struct mb *mb, uint32_t instance);
void mb_send(struct mb *mb, uint32_t to, struct mb_msg *msg);
void mb_emit_record(
    struct mb *mb, enum mb_action_kind kind, const struct mb_record *record);
uint32_t mb_sends(const struct mb *mb);
void mb_self_changed(struct mb *mb);
static inline bool
mb_up(const struct mb_record *record)
{
	return record->state == MB_ALIVE || record->state == MB_SUSPECT;
}

/* member_record.c */
void mb_record_apply(
    struct mb *mb, int64_t now_us, const struct mb_record *record, bool own);
void mb_record_suspect(struct mb *mb, int64_t now_us, struct mb_peer *peer);
void mb_record_tick(struct mb *mb, int64_t now_us);
void mb_record_fill(struct mb *mb, struct mb_msg *msg);

/* member_item.c */
void mb_item_take(struct mb *mb, const struct mb_item *item, bool direct);
void mb_item_fill(struct mb *mb, struct mb_msg *msg);

/* member_role.c */
void mb_role_init(struct mb *mb, int64_t now_us);
void mb_role_tick(struct mb *mb, int64_t now_us);
void mb_role_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg);
void mb_role_release(struct mb *mb);

/* member_relay.c */
void mb_relay_tick(struct mb *mb, int64_t now_us);
void mb_relay_ended(
    struct mb *mb, int64_t now_us, const struct mb_record *record);
void mb_relay_forward(struct mb *mb, const struct mb_item *item);
void mb_relay_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg);
void mb_relay_item(struct mb *mb, int64_t now_us, const struct mb_item *item);
void mb_relay_paused(struct mb *mb, int64_t gap_us);

#ifdef __cplusplus
}
#endif

#endif
