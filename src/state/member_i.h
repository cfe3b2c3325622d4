#ifndef CF_MEMBER_I_H
#define CF_MEMBER_I_H

#include "base/rng.h"
#include "state/member.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Internals of membership; see member.h. */
enum {
	MEMBER_ITEMS_KEPT = 512, /* known items, to report each only once */
	MEMBER_PROBES_MAX = 8,
	MEMBER_HELPERS = 2,
	MEMBER_SEEDS_MAX = 512,
	MEMBER_LEAVE_MS = 600 /* how long a leaving member still sends */
};

struct member_entry {
	struct member_record record;
	int64_t suspect_until_us; /* when it is declared gone; 0: no suspect */
	uint8_t transmits_left; /* messages that still carry this record */
};

struct member_probe {
	uint32_t number; /* 0: free */
	uint32_t target;
	uint32_t requester; /* instance that asked for help; 0: own probe */
	uint32_t requester_number; /* its probe number */
	int64_t helpers_due_us; /* when to ask helpers; 0: already asked */
	int64_t timeout_us; /* when the probe has failed */
};

struct member_known_item {
	struct member_item item;
	uint8_t transmits_left; /* messages that still carry this item */
};

struct member_data_centre {
	uint16_t data_centre;
	uint32_t relay; /* of its last summary; 0: unknown */
	uint32_t number; /* of its last summary */
	int64_t heard_us; /* when that arrived, at first when seeded */
	bool known; /* has a seed instance */
	bool silent;
};

/* A vote on a role of one data centre; a voter may serve several. */
struct member_vote {
	struct lease_voter lease;
	uint64_t holder; /* candidate to which round belongs */
	uint64_t round; /* latest granted request */
};

struct member_role_state {
	struct member_vote votes[MEMBER_DATA_CENTRES_MAX];
	struct lease_holder hold;
	uint64_t asked_round; /* latest request of this candidate */
	bool held;
};

struct membership {
	struct member_options options;
	struct rng rng;
	int64_t now_us;
	int64_t last_tick_us; /* to detect pauses of this process */
	struct member_record self;
	struct member_entry members[MEMBER_COUNT_MAX];
	uint32_t count;
	uint32_t next_probe_index; /* next in members to be probed */
	uint32_t seeds[MEMBER_SEEDS_MAX];
	uint32_t seed_count;
	struct {
		uint16_t data_centre;
		uint32_t instance;
	} data_centre_seeds[MEMBER_SEEDS_MAX];
	uint32_t data_centre_seed_count;
	struct member_probe probes[MEMBER_PROBES_MAX];
	uint32_t probe_number;
	int64_t probe_due_us;
	int64_t join_due_us;
	struct member_known_item items[MEMBER_ITEMS_KEPT];
	uint32_t item_next;
	uint32_t item_number;
	struct member_data_centre data_centres[MEMBER_DATA_CENTRES_MAX];
	struct member_role_state roles[MEMBER_ROLES];
	uint16_t own_spare[MEMBER_VERSIONS_MAX];
	uint16_t spare_of[MEMBER_COUNT_MAX][MEMBER_VERSIONS_MAX];
	uint32_t spare_from[MEMBER_COUNT_MAX]; /* instance of spare_of[i] */
	uint32_t spare_count;
	uint32_t summary_number;
	int64_t summary_due_us;
	int64_t leave_done_us; /* when the leave ends; 0: not leaving */
	bool left;
};

/* member.c */
int64_t member_option_us(uint32_t value_ms, uint32_t fallback_ms);
void member_emit(
    struct membership *membership, const struct member_action *action);
void member_send(
    struct membership *membership, uint32_t to, struct member_msg *msg);
struct member_entry *member_find(
    struct membership *membership, uint32_t instance);
uint8_t member_transmit_limit(const struct membership *membership);

/* member_record.c */
void member_merge_record(
    struct membership *membership, const struct member_record *record);
void member_suspect(struct membership *membership, uint32_t instance);
void member_expire_suspects(struct membership *membership);
void member_add_records(struct membership *membership, struct member_msg *msg);

/* member_probe.c */
void member_probe_next(struct membership *membership);
void member_probe_tick(struct membership *membership);
void member_probe_receive(
    struct membership *membership, uint32_t from, const struct member_msg *msg);
void member_extend_probes(struct membership *membership, int64_t gap_us);

/* member_item.c */
void member_publish_gone(
    struct membership *membership, const struct member_record *record);
void member_receive_item(struct membership *membership,
    const struct member_item *item, const struct member_msg *msg);
void member_add_items(struct membership *membership, struct member_msg *msg);
void member_summary_tick(struct membership *membership);
void member_summary_receive(
    struct membership *membership, uint32_t from, const struct member_msg *msg);

/* member_role.c */
void member_role_init(struct membership *membership);
void member_role_tick(struct membership *membership);
void member_role_receive(
    struct membership *membership, uint32_t from, const struct member_msg *msg);
void member_role_release(struct membership *membership);

#ifdef __cplusplus
}
#endif

#endif
