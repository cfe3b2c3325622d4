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
 * Bills: each request is billed once.
 *
 * A request id is (owner, sequence): the incarnation of the entry instance
 * that took the request from its caller, and a number without gaps in it.  A
 * bill is a set of cost items, one an attempt; retries, hedges and cascade
 * steps are items of one bill, and a second arrival of the same item changes
 * nothing.  So copies of a bill merge in any order.
 *
 * The entry side (bl_client) keeps a bill until enough replicas have it
 * durably.  bl_client_intent() comes before the first dispatch and
 * bl_client_settle() before the caller gets the end of its answer; each is
 * answered by BL_CLIENT_DURABLE.  Cut off from the replicas, copies on a
 * second instance of the data centre count until the replicas are back.
 *
 * The replica side (bl_store) merges, persists and acknowledges, and pulls
 * from its peers what they got and it did not.  A seal, agreed through the
 * replicated log, fixes the export order: for each owner, the sequence up to
 * which all its bills are settled.  The export is the row of seals, and in
 * each the bills by owner and sequence: stable, complete, each bill once.
 * Sealed bills go to the archive, and leave memory when every replica has
 * archived them.  A replica so late that the others could not wait for it is
 * bl_store_behind() and starts again from the tail of another.
 */

enum {
	BL_ITEMS_MAX = 8,
	BL_BATCH = 16, /* bills in one message */
	BL_REPLICAS_MAX = 9,
	BL_SEAL_MAX = 64 /* owners in one seal */
};

struct bl_id {
	uint64_t owner;
	uint64_t sequence; /* from 1, without gaps */
};

struct bl_item {
	uint8_t attempt; /* unique in the bill */
	uint32_t version; /* hash of its name */
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t cost_nano;
};

enum bl_state {
	BL_INTENT = 1,
	BL_SETTLED, /* the owner knows all items */
	BL_CLOSED /* given up by an operator: the owner is lost */
};

struct bl_bill {
	struct bl_id id;
	uint32_t workspace;
	uint32_t service; /* plain service, or 0xffff */
	uint64_t request; /* as callers see it, for the export */
	enum bl_state state;
	int64_t born_s; /* wall clock of the intent */
	uint8_t item_count;
	struct bl_item items[BL_ITEMS_MAX]; /* by attempt */
};

/* Merges from into to; true: something changed. */
bool bl_bill_merge(struct bl_bill *to, const struct bl_bill *from);
uint64_t bl_bill_cost_nano(const struct bl_bill *bill);

enum bl_msg_kind {
	BL_MSG_PUT = 1, /* bills; answered by ACK with the same op */
	BL_MSG_ACK, /* durable at a replica, or held by a peer instance */
	BL_MSG_PULL, /* replica to replica: after this arrival number */
	BL_MSG_BATCH /* bills, last: arrival number of the last one */
};

struct bl_msg {
	enum bl_msg_kind kind;
	uint64_t op; /* PULL: last archived seal; BATCH: last dropped one */
	uint64_t life; /* PULL, BATCH: of the pulled store; ACK: owner */
	uint64_t last; /* PULL, BATCH: arrival number; ACK: sequence */
	bool more; /* BATCH: pull again at once */
	bool replica; /* ACK: from a replica's disk */
	uint32_t count;
	struct bl_bill bills[BL_BATCH];
};

void bl_msg_encode(const struct bl_msg *msg, struct buf *out);
int bl_msg_decode(struct bl_msg *msg, const uint8_t *data, size_t len);

/* Owners and their settled prefixes; goes through the replicated log. */
struct bl_seal {
	uint64_t number; /* from 1 */
	uint32_t count;
	struct bl_id upto[BL_SEAL_MAX]; /* by owner */
};

/* A bill that was given up goes through the log as well. */
void bl_bill_encode(const struct bl_bill *bill, struct buf *out);
int bl_bill_decode(struct bl_bill *bill, const uint8_t *data, size_t len);
void bl_seal_encode(const struct bl_seal *seal, struct buf *out);
int bl_seal_decode(struct bl_seal *seal, const uint8_t *data, size_t len);

/* Replica side. */

enum bl_store_action_kind {
	BL_STORE_SEND,
	BL_STORE_PERSIST, /* record, then bl_store_persisted() */
	BL_STORE_ARCHIVE /* next line of the export, once and in order */
};

struct bl_store_action {
	enum bl_store_action_kind kind;
	uint32_t to;
	const struct bl_msg *msg; /* valid during emit() */
	uint64_t sequence;
	const uint8_t *record;
	size_t record_len;
	uint64_t seal;
	uint64_t position; /* ARCHIVE: number of the line, from 1 */
	const struct bl_bill *bill;
};

struct bl_store_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct bl_store_action *action);
	void *ctx;
	uint32_t instance;
	uint64_t life; /* new for each life of the process */
	uint32_t bills_max; /* in memory; 0: 200,000; full: no ACK */
	uint32_t pull_ms; /* 0: 500 */
	/* For tests that show what each mechanism is for. */
	bool unsafe_skip_sync;
	bool unsafe_skip_merge;
	bool unsafe_seal_gaps;
};

struct bl_store;

struct bl_store *bl_store_new(const struct bl_store_options *options);
void bl_store_free(struct bl_store *store);
void bl_store_peers(
    struct bl_store *store, const uint32_t *instances, uint32_t count);
void bl_store_message(struct bl_store *store, int64_t now_us, uint32_t from,
    const struct bl_msg *msg);
void bl_store_persisted(struct bl_store *store, uint64_t sequence);
void bl_store_persist_failed(struct bl_store *store);
void bl_store_tick(struct bl_store *store, int64_t now_us);

/* What the replicated log's leader proposes next; false: nothing new. */
bool bl_store_propose(const struct bl_store *store, struct bl_seal *seal);
/* A seal was agreed; applied at once or when its bills have arrived. */
void bl_store_sealed(struct bl_store *store, const struct bl_seal *seal);
/*
 * Operators give up an unsettled bill whose owner is lost: the bill that is
 * to go through the log, then what every replica does when it was agreed.
 */
int bl_store_close(const struct bl_store *store, const struct bl_id *id,
    struct bl_bill *closed);
void bl_store_closed(struct bl_store *store, const struct bl_bill *closed);
/* What is sealed, for the replicated log's snapshot, and back. */
void bl_store_tail(const struct bl_store *store, struct buf *out);
int bl_store_adopt(struct bl_store *store, const uint8_t *tail, size_t len);

int bl_store_restore(struct bl_store *store, const uint8_t *record, size_t len);
void bl_store_image(const struct bl_store *store, struct buf *out);
int bl_store_restore_image(
    struct bl_store *store, const uint8_t *image, size_t len);

uint32_t bl_store_count(const struct bl_store *store);
uint64_t bl_store_seal_number(const struct bl_store *store);
uint64_t bl_store_exported(const struct bl_store *store);
/* Must adopt the tail of another replica. */
bool bl_store_behind(const struct bl_store *store);
/* Arrivals at bills that were sealed or closed already. */
uint64_t bl_store_late(const struct bl_store *store);
/* The audit: unsettled intents born before, oldest first; returns how many. */
size_t bl_store_unsettled(const struct bl_store *store, int64_t before_s,
    struct bl_bill *bills, size_t max);

/* Entry side. */

enum bl_client_action_kind {
	BL_CLIENT_SEND,
	BL_CLIENT_DURABLE /* the intent or settlement of a bill is safe */
};

struct bl_client_action {
	enum bl_client_action_kind kind;
	uint32_t to;
	const struct bl_msg *msg; /* valid during emit() */
	struct bl_id id;
	enum bl_state state;
};

struct bl_client_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct bl_client_action *action);
	void *ctx;
	uint32_t instance;
	uint64_t owner; /* incarnation of this instance */
	uint32_t copies; /* that make a bill durable; 0: 2 */
	uint32_t bills_max; /* kept at once; 0: 65,536 */
	uint32_t resend_ms; /* 0: 200 */
	uint32_t cut_ms; /* without a replica: use peers; 0: 1,000 */
	/* For tests that show what each mechanism is for. */
	bool unsafe_forget_unacked;
};

struct bl_client;

struct bl_client *bl_client_new(const struct bl_client_options *options);
void bl_client_free(struct bl_client *client);
void bl_client_replicas(
    struct bl_client *client, const uint32_t *instances, uint32_t count);
void bl_client_peers(
    struct bl_client *client, const uint32_t *instances, uint32_t count);
/* Returns the bill's sequence, or ERR_NO_CAPACITY when the client is full. */
int64_t bl_client_intent(struct bl_client *client, int64_t now_us,
    int64_t wall_s, uint32_t workspace, uint32_t service, uint64_t request);
int bl_client_item(
    struct bl_client *client, uint64_t sequence, const struct bl_item *item);
int bl_client_settle(
    struct bl_client *client, int64_t now_us, uint64_t sequence);
void bl_client_message(struct bl_client *client, int64_t now_us, uint32_t from,
    const struct bl_msg *msg);
void bl_client_tick(struct bl_client *client, int64_t now_us);
/* Bills not yet on enough replicas; a graceful leave waits for 0. */
uint32_t bl_client_open(const struct bl_client *client);

#ifdef __cplusplus
}
#endif

#endif
