#ifndef CF_BILL_H
#define CF_BILL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Bills ensure that each request is billed once.
 *
 * A bill has the id (owner, sequence): the incarnation of the entry instance
 * that received the request from the caller, and a number that the owner counts
 * up without gaps.  A bill is a set of cost items, one for each attempt.
 * Retries, hedges and cascade steps are items of one bill, and a repeated item
 * changes nothing, so copies of a bill can be merged in any order.
 *
 * The entry side (bill_client) keeps a bill until enough replicas have it
 * durably.  bill_client_add_intent() is called before the first dispatch and
 * bill_client_settle() before the caller gets the end of the response; each is
 * confirmed by BILL_CLIENT_DURABLE.  If the entry instance is cut off from the
 * replicas, a copy on a second instance of the data centre counts as durable
 * until the replicas are reachable again.
 *
 * The replica side (bill_store) merges bills, persists and acknowledges them,
 * and pulls from its peers the bills that it has not received.  A seal, agreed
 * through the replicated log, fixes the order of the export: for each owner,
 * the sequence up to which all its bills are settled.  The export lists the
 * seals in order, and in each seal the bills by owner and sequence.  It is
 * therefore stable and complete, and holds each bill once.  Sealed bills are
 * archived, and leave memory when every replica has archived them.  If the
 * other replicas could not wait for a slow one, that one is
 * bill_store_is_behind() and has to adopt the sealed state of another replica
 * (bill_store_encode_seal_state()).
 */

enum {
	BILL_ITEMS_MAX = 8,
	BILL_MSG_BILLS_MAX = 16, /* bills in one message, at most */
	BILL_REPLICAS_MAX = 9,
	BILL_SEAL_OWNERS_MAX = 64 /* owners in one seal, at most */
};

struct bill_id {
	uint64_t owner;
	uint64_t sequence; /* from 1, without gaps for an owner */
};

struct bill_item {
	uint8_t attempt; /* number of the attempt, unique in the bill */
	uint32_t version; /* hash of the name of the version that ran */
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t cost_nano; /* billionths of the currency's unit */
};

enum bill_state {
	BILL_INTENT = 1, /* opened; may be dispatched once it is durable */
	BILL_SETTLED, /* complete: the owner has added all items */
	BILL_CLOSED /* an operator ended it, as its owner is lost */
};

struct bill_entry {
	struct bill_id id;
	uint32_t workspace;
	uint32_t service; /* id of a plain service, or 0xffff */
	uint64_t request; /* request id that callers see, for the export */
	enum bill_state state;
	int64_t born_s; /* Unix time of the intent, wall clock */
	uint8_t item_count;
	struct bill_item items[BILL_ITEMS_MAX]; /* in the order of attempt */
};

/* Merges from into to.  Returns whether to changed. */
bool bill_merge(struct bill_entry *to, const struct bill_entry *from);
uint64_t bill_cost_nano(const struct bill_entry *bill);

enum bill_msg_kind {
	BILL_MSG_PUT = 1, /* bills to store; the ACK has the same op */
	BILL_MSG_ACK, /* durable at a replica, or kept by a peer instance */
	BILL_MSG_PULL, /* between replicas: requests bills after last */
	BILL_MSG_BATCH /* reply to PULL: bills, in the order of arrival */
};

struct bill_msg {
	enum bill_msg_kind kind;
	uint64_t op; /* PULL: last seal archived; BATCH: last one dropped */
	uint64_t life; /* PULL, BATCH: life of the source; ACK: owner */
	uint64_t last; /* PULL, BATCH: last arrival so far; ACK: sequence */
	bool more; /* BATCH: there are more bills, pull again at once */
	bool replica; /* ACK: durable on the disk of a replica */
	uint32_t count;
	struct bill_entry bills[BILL_MSG_BILLS_MAX];
};

void bill_msg_encode(const struct bill_msg *msg, struct buf *out);
int bill_msg_decode(struct bill_msg *msg, const uint8_t *data, size_t len);

/*
 * For each owner, the sequence up to which its bills, which are all settled,
 * are exported with this seal.  Seals are entries of the replicated log.
 */
struct bill_seal {
	uint64_t number; /* from 1 */
	uint32_t count;
	struct bill_id upto[BILL_SEAL_OWNERS_MAX]; /* in the order of owner */
};

/* Log entries are seals and closed bills. */
void bill_encode(const struct bill_entry *bill, struct buf *out);
int bill_decode(struct bill_entry *bill, const uint8_t *data, size_t len);
void bill_seal_encode(const struct bill_seal *seal, struct buf *out);
int bill_seal_decode(struct bill_seal *seal, const uint8_t *data, size_t len);

/* Replica side. */

enum bill_store_action_kind {
	BILL_STORE_SEND,
	BILL_STORE_PERSIST, /* write a record, then bill_store_persisted() */
	BILL_STORE_ARCHIVE /* append a line to the export, once and in order */
};

struct bill_store_action {
	enum bill_store_action_kind kind;
	uint32_t to;
	const struct bill_msg *msg; /* valid during emit() */
	uint64_t sequence;
	const uint8_t *record;
	size_t record_len;
	uint64_t seal;
	uint64_t position; /* ARCHIVE: line number in the export, from 1 */
	const struct bill_entry *bill;
};

struct bill_store_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct bill_store_action *action);
	void *ctx;
	uint32_t instance;
	uint64_t life; /* another one for each life of the process */
	uint32_t bills_max; /* in memory; no ACK when full; 0: 200,000 */
	uint32_t pull_ms; /* interval of pulls; 0: 500 */
	/* Each disables one safety mechanism, for tests only. */
	bool unsafe_skip_sync;
	bool unsafe_skip_merge;
	bool unsafe_seal_gaps;
};

struct bill_store;

struct bill_store *bill_store_new(const struct bill_store_options *options);
void bill_store_free(struct bill_store *store);
void bill_store_set_peers(
    struct bill_store *store, const uint32_t *instances, uint32_t count);
void bill_store_receive(struct bill_store *store, int64_t now_us, uint32_t from,
    const struct bill_msg *msg);
void bill_store_persisted(struct bill_store *store, uint64_t sequence);
void bill_store_persist_failed(struct bill_store *store);
void bill_store_tick(struct bill_store *store, int64_t now_us);

/* Makes the seal for the log's leader to propose; false: nothing new. */
bool bill_store_propose_seal(
    const struct bill_store *store, struct bill_seal *seal);
/* Applies an agreed seal, at once or when all its bills have arrived. */
void bill_store_seal_agreed(
    struct bill_store *store, const struct bill_seal *seal);
/*
 * Closing of an unsettled bill whose owner is lost, by an operator.  The first
 * function makes the closed bill to propose to the log, the second applies it
 * at every replica when it was agreed.
 */
int bill_store_make_closed(const struct bill_store *store,
    const struct bill_id *id, struct bill_entry *closed);
void bill_store_closed_agreed(
    struct bill_store *store, const struct bill_entry *closed);
/* Encode and adopt the sealed state, for snapshots of the replicated log. */
void bill_store_encode_seal_state(
    const struct bill_store *store, struct buf *out);
int bill_store_adopt_seal_state(
    struct bill_store *store, const uint8_t *sealed_state, size_t len);

int bill_store_replay(
    struct bill_store *store, const uint8_t *record, size_t len);
void bill_store_snapshot(const struct bill_store *store, struct buf *out);
int bill_store_restore_snapshot(
    struct bill_store *store, const uint8_t *image, size_t len);

uint32_t bill_store_unsealed_count(const struct bill_store *store);
uint64_t bill_store_last_seal(const struct bill_store *store);
uint64_t bill_store_exported_lines(const struct bill_store *store);
/* Returns whether this replica must adopt the sealed state of another. */
bool bill_store_is_behind(const struct bill_store *store);
/* Returns how many copies arrived for bills already sealed or closed. */
uint64_t bill_store_late_count(const struct bill_store *store);
/* Lists unsettled bills born before a time, for audits. */
size_t bill_store_list_unsettled(const struct bill_store *store,
    int64_t before_s, struct bill_entry *bills, size_t max);

/* Entry side. */

enum bill_client_action_kind {
	BILL_CLIENT_SEND,
	BILL_CLIENT_DURABLE /* an intent or settlement has enough copies */
};

struct bill_client_action {
	enum bill_client_action_kind kind;
	uint32_t to;
	const struct bill_msg *msg; /* valid during emit() */
	struct bill_id id;
	enum bill_state state;
};

struct bill_client_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct bill_client_action *action);
	void *ctx;
	uint32_t instance;
	uint64_t owner; /* incarnation of this instance, owner of its bills */
	uint32_t copies; /* number that makes a bill durable; 0: 2 */
	uint32_t bills_max; /* kept at once; 0: 65,536 */
	uint32_t resend_ms; /* 0: 200 */
	uint32_t cut_ms; /* unacknowledged time until peers count; 0: 1,000 */
	/* Disables one safety mechanism, for tests only. */
	bool unsafe_forget_unacked;
};

struct bill_client;

struct bill_client *bill_client_new(const struct bill_client_options *options);
void bill_client_free(struct bill_client *client);
void bill_client_set_replicas(
    struct bill_client *client, const uint32_t *instances, uint32_t count);
void bill_client_set_peers(
    struct bill_client *client, const uint32_t *instances, uint32_t count);
/* Returns the bill's sequence, or ERR_NO_CAPACITY when the client is full. */
int64_t bill_client_add_intent(struct bill_client *client, int64_t now_us,
    int64_t wall_s, uint32_t workspace, uint32_t service, uint64_t request);
int bill_client_add_item(struct bill_client *client, uint64_t sequence,
    const struct bill_item *item);
int bill_client_settle(
    struct bill_client *client, int64_t now_us, uint64_t sequence);
void bill_client_receive(struct bill_client *client, int64_t now_us,
    uint32_t from, const struct bill_msg *msg);
void bill_client_tick(struct bill_client *client, int64_t now_us);
/*
 * Returns how many bills are not yet settled and on enough replicas.  A
 * graceful shutdown waits for 0.
 */
uint32_t bill_client_bill_count(const struct bill_client *client);

#ifdef __cplusplus
}
#endif

#endif
