#ifndef CF_MEMBER_H
#define CF_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/err.h"
#include "state/lease.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Membership of the instances, and the small facts that they tell each other.
 *
 * Within a data centre every instance probes one random other each period and
 * is probed about as often, so the cost of an instance does not grow with
 * their number.  A probe that fails, also through helpers, makes a suspect; a
 * suspect that does not object in time is gone.  A member's record carries
 * its incarnation (one life of the process) and a version that the member
 * itself raises to object.  An instance that was paused itself judges nobody
 * by the time that it missed.
 *
 * Records and items (crash marks, ratings, summaries) ride on probes and
 * their answers; each is passed on a bounded number of times and a message
 * has a bounded size.  Items marked wide cross to the other data centres
 * through the relays only, as does the summary of spare capacity.
 *
 * The granter and the relay of a data centre are roles under leases from a
 * majority of a fixed set of voters (see state/lease.h).  With two instances
 * in a data centre, name a third voter elsewhere.
 */

enum {
	MEMBER_COUNT_MAX = 128, /* of one data centre */
	MEMBER_DATA_CENTRES_MAX = 16,
	MEMBER_VERSIONS_MAX = 64,
	MB_ITEM_BYTES = 64,
	MB_RECORDS_BATCH = 12, /* records in one message */
	MB_ITEMS_BATCH = 8, /* items in one message */
	MEMBER_VOTERS_MAX = 5
};

enum mb_state {
	MEMBER_ALIVE = 1,
	MEMBER_SUSPECT,
	MB_LEFT, /* gracefully */
	MB_GONE
};

enum mb_role {
	MEMBER_GRANTER,
	MEMBER_RELAY,
	MB_ROLES
};

struct member_record {
	uint32_t instance;
	uint64_t incarnation; /* grows with each life */
	uint32_t version;
	enum mb_state state;
	uint8_t roles; /* bit mask of enum mb_role, held now */
};

enum member_item_kind {
	MEMBER_ITEM_CRASH_MARK = 1,
	MEMBER_ITEM_BIND,
	MEMBER_ITEM_RATING,
	MEMBER_ITEM_GONE, /* wide: key is the instance, data its incarnation */
	MEMBER_ITEM_SUMMARY, /* wide: key is the data centre */
	MEMBER_ITEM_DIGEST /* wide: key is the version, data its evidence */
};

struct member_item {
	enum member_item_kind kind;
	uint32_t origin; /* instance that published it */
	uint64_t incarnation; /* of the origin */
	uint32_t number; /* of the origin's items */
	bool wide;
	uint64_t key;
	uint8_t len;
	uint8_t data[MB_ITEM_BYTES];
};

/* Spare slots per version; index is the version's. */
struct member_summary {
	uint16_t data_centre;
	uint32_t number; /* grows; an older one is ignored */
	uint16_t instances; /* alive */
	uint32_t relay;
	uint16_t spare[MEMBER_VERSIONS_MAX];
};

enum mb_msg_kind {
	MB_MSG_PING = 1,
	MB_MSG_ACK,
	MB_MSG_PING_REQ, /* probe target for the sender */
	MB_MSG_JOIN, /* answered by records, all of them */
	MB_MSG_RECORDS,
	MB_MSG_ITEMS, /* to target only, or (target 0) between relays */
	MB_MSG_SPARE, /* to the relay: summary of the sender's own share */
	MB_MSG_SUMMARY, /* between relays */
	MB_MSG_LEASE_ASK,
	MB_MSG_LEASE_ANSWER,
	MB_MSG_LEASE_RELEASE
};

struct member_msg {
	enum mb_msg_kind kind;
	uint32_t probe; /* echoed in ACK */
	uint32_t target; /* PING_REQ, PING on behalf; LEASE_*: data centre */
	struct member_record self;
	enum mb_role role;
	uint64_t round; /* LEASE_*: echoed */
	uint64_t fence;
	bool granted;
	struct member_summary summary;
	uint32_t record_count;
	struct member_record records[MB_RECORDS_BATCH];
	uint32_t item_count;
	struct member_item items[MB_ITEMS_BATCH];
};

void member_msg_encode(const struct member_msg *msg, struct buf *out);
int member_msg_decode(struct member_msg *msg, const uint8_t *data, size_t len);

enum mb_action_kind {
	MEMBER_SEND,
	MEMBER_JOINED, /* a member is alive that was not: record */
	MEMBER_ENDED, /* this life of an instance left or is gone: record */
	MEMBER_ITEM_RECEIVED, /* seen for the first time */
	MEMBER_SUMMARY_RECEIVED, /* of another data centre */
	MEMBER_DATA_CENTRE_SILENT, /* nothing of this data centre for silent_ms
				    */
	MEMBER_ROLE_WON,
	MEMBER_ROLE_LOST,
	MEMBER_LEAVE_DONE /* the others know; the process may end */
};

struct member_action {
	enum mb_action_kind kind;
	uint32_t to;
	const struct member_msg *msg; /* valid during emit(), as all pointers */
	const struct member_record *record;
	const struct member_item *item;
	const struct member_summary *summary;
	uint16_t data_centre;
	enum mb_role role;
	uint64_t fence; /* MEMBER_ROLE_WON */
};

struct member_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct member_action *action);
	void *ctx;
	uint64_t seed;
	uint32_t instance;
	uint64_t incarnation;
	uint16_t data_centre;
	uint32_t period_ms; /* between probes; 0: 1,000 */
	uint32_t ack_ms; /* 0: 300; helpers are asked after it */
	uint32_t suspect_ms; /* 0: 3,000 */
	uint32_t jump_ms; /* a longer gap is an own pause; 0: 1,000 */
	uint32_t silent_ms; /* 0: 30,000 */
	uint32_t summary_ms; /* 0: 2,000 */
	uint32_t voter_count;
	uint32_t voters[MEMBER_VOTERS_MAX];
	struct lease_options lease;
	/* For tests that show what each mechanism is for. */
	bool unsafe_skip_pause;
	bool unsafe_skip_helpers;
};

struct membership;

struct membership *member_new(
    const struct member_options *options, int64_t now_us);
void member_free(struct membership *membership);
/* Instances to try first; those of this data centre and one of each other. */
void member_add_seed(struct membership *membership, uint32_t instance);
void member_add_data_centre_seed(
    struct membership *membership, uint16_t data_centre, uint32_t instance);
void member_receive(struct membership *membership, int64_t now_us,
    uint32_t from, const struct member_msg *msg);
void member_tick(struct membership *membership, int64_t now_us);
int64_t mb_due_us(const struct membership *membership);

/* to 0: to all of the data centre; wide: to all instances. */
int member_publish(struct membership *membership, int64_t now_us,
    const struct member_item *item, uint32_t to, bool wide);
/* This instance's share of the spare slots; sent with the next summary. */
void member_set_spare(
    struct membership *membership, const uint16_t spare[MEMBER_VERSIONS_MAX]);
void member_leave(struct membership *membership, int64_t now_us);

bool member_role_held(
    const struct membership *membership, enum mb_role role, int64_t now_us);
uint32_t member_role_holder(
    const struct membership *membership, enum mb_role role);
size_t member_copy_records(const struct membership *membership,
    struct member_record *records, size_t max);
bool mb_alive(const struct membership *membership, uint32_t instance);

#ifdef __cplusplus
}
#endif

#endif
