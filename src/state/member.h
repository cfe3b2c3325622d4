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
 * Membership of the instances and dissemination of small items among them.
 *
 * Within a data centre every instance probes one random other each period and
 * is probed about as often, so the cost per instance does not grow with their
 * number.  If a probe fails, also through helpers, the member becomes a
 * suspect; a suspect that does not refute this in time is gone.  A member's
 * record carries its incarnation (one life of the process) and a version that
 * only the member itself raises, to refute a suspicion.  An instance that was
 * paused extends its timeouts by the pause.
 *
 * Records and items (crash marks, ratings, summaries) are piggybacked on
 * probes and their answers; each is sent a bounded number of times and a
 * message has a bounded size.  Items marked wide go to the other data centres
 * through the relays only, as does the summary of spare capacity.
 *
 * The granter and the relay of a data centre are roles under leases from a
 * majority of a fixed set of voters (see state/lease.h).  A data centre with
 * two instances needs a third voter in another data centre.
 */

enum {
	MEMBER_COUNT_MAX = 128, /* of one data centre */
	MEMBER_DATA_CENTRES_MAX = 16,
	MEMBER_VERSIONS_MAX = 64,
	MEMBER_ITEM_BYTES = 64,
	MEMBER_RECORDS_BATCH = 12, /* records in one message */
	MEMBER_ITEMS_BATCH = 8, /* items in one message */
	MEMBER_VOTERS_MAX = 5
};

enum member_state {
	MEMBER_ALIVE = 1,
	MEMBER_SUSPECT,
	MEMBER_LEFT, /* gracefully */
	MEMBER_GONE
};

enum member_role {
	MEMBER_GRANTER,
	MEMBER_RELAY,
	MEMBER_ROLES
};

struct member_record {
	uint32_t instance;
	uint64_t incarnation; /* increases with each life */
	uint32_t version;
	enum member_state state;
	uint8_t roles; /* bit mask of enum member_role, held now */
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
	uint32_t number; /* sequence number among the origin's items */
	bool wide;
	uint64_t key;
	uint8_t len;
	uint8_t data[MEMBER_ITEM_BYTES];
};

/* Spare slots of a data centre per version, indexed by version. */
struct member_summary {
	uint16_t data_centre;
	uint32_t number; /* increases; an older one is ignored */
	uint16_t instances; /* alive */
	uint32_t relay; /* instance that sent it */
	uint16_t spare[MEMBER_VERSIONS_MAX];
};

enum member_msg_kind {
	MEMBER_MSG_PING = 1,
	MEMBER_MSG_ACK,
	MEMBER_MSG_PING_REQ, /* asks a helper to probe target */
	MEMBER_MSG_JOIN, /* answered with all records */
	MEMBER_MSG_RECORDS,
	MEMBER_MSG_ITEMS, /* to target alone; target 0: between relays */
	MEMBER_MSG_SPARE, /* to the relay: the sender's spare slots */
	MEMBER_MSG_SUMMARY, /* between relays */
	MEMBER_MSG_LEASE_REQUEST,
	MEMBER_MSG_LEASE_ANSWER,
	MEMBER_MSG_LEASE_RELEASE
};

struct member_msg {
	enum member_msg_kind kind;
	uint32_t probe; /* echoed in ACK */
	/* PING_REQ, PING for a requester: instance; LEASE_*: data centre. */
	uint32_t target;
	struct member_record self;
	enum member_role role;
	uint64_t round; /* LEASE_*: echoed */
	uint64_t fence;
	bool granted;
	struct member_summary summary;
	uint32_t record_count;
	struct member_record records[MEMBER_RECORDS_BATCH];
	uint32_t item_count;
	struct member_item items[MEMBER_ITEMS_BATCH];
};

void member_msg_encode(const struct member_msg *msg, struct buf *out);
int member_msg_decode(struct member_msg *msg, const uint8_t *data, size_t len);

enum member_action_kind {
	MEMBER_SEND,
	MEMBER_JOINED, /* a member is alive that was not before: record */
	MEMBER_ENDED, /* a life of an instance left or is gone: record */
	MEMBER_ITEM_RECEIVED, /* a new item: item */
	MEMBER_SUMMARY_RECEIVED, /* from another data centre: summary */
	MEMBER_DATA_CENTRE_SILENT, /* no summary of data_centre for silent_ms */
	MEMBER_ROLE_WON,
	MEMBER_ROLE_LOST,
	MEMBER_LEAVE_DONE /* the others are informed; the process may end */
};

struct member_action {
	enum member_action_kind kind;
	uint32_t to;
	const struct member_msg *msg; /* valid during emit(), as all pointers */
	const struct member_record *record;
	const struct member_item *item;
	const struct member_summary *summary;
	uint16_t data_centre;
	enum member_role role;
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
	uint32_t ack_ms; /* before helpers are asked; 0: 300 */
	uint32_t suspect_ms; /* to refute a suspicion; 0: 3,000 */
	/*
	 * A longer gap between ticks counts as a pause of this process.
	 * 0: 1,000.
	 */
	uint32_t jump_ms;
	uint32_t silent_ms; /* until MEMBER_DATA_CENTRE_SILENT; 0: 30,000 */
	uint32_t summary_ms; /* shortest summary period; 0: 2,000 */
	uint32_t voter_count;
	uint32_t voters[MEMBER_VOTERS_MAX];
	struct lease_options lease;
	/* Tests only: each disables one mechanism. */
	bool unsafe_skip_pause;
	bool unsafe_skip_helpers;
};

struct membership;

struct membership *member_new(
    const struct member_options *options, int64_t now_us);
void member_free(struct membership *membership);
/* Instances to contact first, of this and of the other data centres. */
void member_add_seed(struct membership *membership, uint32_t instance);
void member_add_data_centre_seed(
    struct membership *membership, uint16_t data_centre, uint32_t instance);
void member_receive(struct membership *membership, int64_t now_us,
    uint32_t from, const struct member_msg *msg);
void member_tick(struct membership *membership, int64_t now_us);
int64_t member_due_us(const struct membership *membership);

/* to 0: to the whole data centre, with wide to all data centres. */
int member_publish(struct membership *membership, int64_t now_us,
    const struct member_item *item, uint32_t to, bool wide);
/* Sets the spare slots this instance sees; sent with the next summary. */
void member_set_spare(
    struct membership *membership, const uint16_t spare[MEMBER_VERSIONS_MAX]);
void member_leave(struct membership *membership, int64_t now_us);

bool member_role_held(
    const struct membership *membership, enum member_role role, int64_t now_us);
uint32_t member_role_holder(
    const struct membership *membership, enum member_role role);
size_t member_copy_records(const struct membership *membership,
    struct member_record *records, size_t max);
bool member_is_alive(const struct membership *membership, uint32_t instance);

#ifdef __cplusplus
}
#endif

#endif
