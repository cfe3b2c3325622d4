#ifndef CF_MEMBER_I_H
#define CF_MEMBER_I_H

#include "base/rng.h"
#include "state/member.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of membership only. */
enum {
	MB_ITEMS_KEPT = 512, /* known items, so that each is told once */
	MB_PROBES_MAX = 8,
	MB_HELPERS = 2,
	MB_SEEDS_MAX = 512,
	MB_LEAVE_MS = 600 /* a leaving member tells the others so long */
};

struct mb_member {
	struct member_record record;
	int64_t suspect_until_us; /* then it is gone; 0: not suspected */
	uint8_t tell; /* messages that still carry this record */
};

struct mb_probe {
	uint32_t number; /* 0: free */
	uint32_t target;
	uint32_t asked_for; /* instance whose probe this helps; 0: own */
	uint32_t asked_number;
	int64_t helpers_us; /* when helpers are asked; 0: they were */
	int64_t failed_us;
};

struct mb_known_item {
	struct member_item item;
	uint8_t tell;
};

struct mb_place {
	uint16_t data_centre;
	uint32_t relay; /* as it last said; 0: none heard of */
	uint32_t number; /* of its last summary */
	int64_t heard_us;
	bool known;
	bool silent;
};

/* A vote on a role of one data centre: a witness votes in several. */
struct mb_vote {
	struct lease_voter lease;
	uint64_t holder; /* whom round belongs to */
	uint64_t round; /* latest question that was granted */
};

struct mb_role_state {
	struct mb_vote votes[MEMBER_DATA_CENTRES_MAX];
	struct lease_holder hold;
	uint64_t asked_round; /* latest question of this candidate */
	bool held;
};

struct membership {
	struct member_options options;
	struct rng rng;
	int64_t now_us;
	int64_t seen_us; /* last step, for own pauses */
	struct member_record self;
	struct mb_member members[MEMBER_COUNT_MAX];
	uint32_t count;
	uint32_t order; /* next to be probed */
	uint32_t seeds[MB_SEEDS_MAX];
	uint32_t seed_count;
	struct {
		uint16_t data_centre;
		uint32_t instance;
	} place_seeds[MB_SEEDS_MAX];
	uint32_t place_seed_count;
	struct mb_probe probes[MB_PROBES_MAX];
	uint32_t probe_number;
	int64_t probe_due_us;
	int64_t join_due_us;
	struct mb_known_item items[MB_ITEMS_KEPT];
	uint32_t item_next;
	uint32_t item_number;
	struct mb_place places[MEMBER_DATA_CENTRES_MAX];
	struct mb_role_state roles[MB_ROLES];
	uint16_t own_spare[MEMBER_VERSIONS_MAX];
	uint16_t spare_of[MEMBER_COUNT_MAX][MEMBER_VERSIONS_MAX];
	uint32_t spare_from[MEMBER_COUNT_MAX];
	uint32_t spare_count;
	uint32_t summary_number;
	int64_t summary_due_us;
	int64_t leave_us; /* 0: not leaving */
	bool left;
};

/* member.c */
int64_t mb_ms(uint32_t value_ms, uint32_t fallback_ms);
void mb_emit(struct membership *membership, const struct member_action *action);
void mb_send(
    struct membership *membership, uint32_t to, struct member_msg *msg);
struct mb_member *mb_find(struct membership *membership, uint32_t instance);
uint8_t mb_tell_count(const struct membership *membership);

/* member_record.c */
void mb_take_record(
    struct membership *membership, const struct member_record *record);
void mb_suspect(struct membership *membership, uint32_t instance);
void mb_expire_suspects(struct membership *membership);
void mb_add_news(struct membership *membership, struct member_msg *msg);

/* member_probe.c */
void mb_probe_next(struct membership *membership);
void mb_probe_tick(struct membership *membership);
void mb_probe_message(
    struct membership *membership, uint32_t from, const struct member_msg *msg);
void mb_shift_probes(struct membership *membership, int64_t gap_us);

/* member_item.c */
void mb_tell_gone(
    struct membership *membership, const struct member_record *record);
void mb_take_item(struct membership *membership, const struct member_item *item,
    const struct member_msg *msg);
void mb_add_items(struct membership *membership, struct member_msg *msg);
void mb_summary_tick(struct membership *membership);
void mb_summary_message(
    struct membership *membership, uint32_t from, const struct member_msg *msg);

/* member_role.c */
void mb_role_init(struct membership *membership);
void mb_role_tick(struct membership *membership);
void mb_role_message(
    struct membership *membership, uint32_t from, const struct member_msg *msg);
void mb_role_release(struct membership *membership);

#ifdef __cplusplus
}
#endif

#endif
