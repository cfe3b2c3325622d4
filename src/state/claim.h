#ifndef CF_CLAIM_H
#define CF_CLAIM_H

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
 * Claims ensure that a call that must not be repeated runs at most once.
 *
 * A claim belongs to a key (workspace, request key) and is stored on a majority
 * of the state replicas.  The claimant (claim_client, in any instance) takes
 * these steps; each is durable on a majority before the next one starts:
 *
 *	claim_client_acquire()		excludes all other claimants of the key
 *	claim_client_write_marker()	writes the attempt marker; from here on
 *					the call may run
 *	claim_client_write_outcome()	writes the outcome, which answers a
 *					resend
 *
 * If the claimant knows that the call has not run, it calls
 * claim_client_release() instead; if it cannot know, claim_client_write_halt().
 * Between the marker and each dispatch, claim_client_may_dispatch() checks the
 * age of the marker, because an operator may resolve a claim whose claimant
 * appears to have ended.
 *
 * A replica (claim_store) keeps one entry for each key: the highest ballot that
 * it promised and the highest (ballot, phase) that it accepted.  A claim is a
 * promise by a majority, and the marker is accepted under that promise.  If
 * the claimant ends without a marker, another claimant takes the claim over
 * under a higher ballot; a late marker of the old claimant then no longer finds
 * a majority.  A claim with a marker and no outcome is halted until
 * claim_client_resolve().  docs/design/claims.md shows why this is safe.
 *
 * Both sides are state machines that do no I/O.  They pass actions to emit(),
 * which must not call back into the same object.  now_us is monotonic time in
 * microseconds; only claim_store_tick() takes the wall clock.
 */

enum {
	CLAIM_KEY_HASH_BYTES = 16,
	CLAIM_DIGEST_BYTES = 16,
	CLAIM_MSG_ENTRIES_MAX = 16, /* entries in one message, at most */
	CLAIM_REPLICAS_MAX = 9,
	CLAIM_BIRTH_BUCKET_S = 60, /* unit of a key's birth time */
	CLAIM_MARKER_LEASE_MS = 4000, /* a younger marker allows a dispatch */
	CLAIM_MARKER_RESOLVABLE_MS = 6000 /* minimum age to be resolved */
};

/*
 * born is the time when the caller made the key, in minutes
 * (CLAIM_BIRTH_BUCKET_S) since 1970; 0 for an undated key.  hash is of the text
 * of the request key.
 */
struct claim_key {
	uint32_t workspace;
	uint32_t born;
	uint8_t hash[CLAIM_KEY_HASH_BYTES];
};

/* Unique, because a client never uses a round twice. */
struct claim_ballot {
	uint64_t round;
	uint32_t instance;
	uint64_t incarnation;
};

enum claim_phase {
	CLAIM_FREE, /* nothing was ever accepted */
	CLAIM_MARKED, /* the call was dispatched, or is about to be */
	CLAIM_HALTED, /* dispatched; the claimant does not know the outcome */
	CLAIM_RELEASED, /* marked; the claimant knows that it has not run */
	CLAIM_DONE,
	CLAIM_RESOLVED_RAN, /* an operator resolved a halted attempt */
	CLAIM_RESOLVED_NOT_RUN,
	CLAIM_PHASE_COUNT
};

/* A key keeps its last resolution through later phases. */
struct claim_resolution {
	struct claim_ballot attempt; /* the halted attempt that it ended */
	uint64_t change_id; /* change id of the operator's order; 0: none yet */
	enum claim_phase verdict;
};

/*
 * The state of a key at a replica.  A claim is a promise only.  A phase is what
 * the replica accepted, and it carries the last resolution with it.
 */
struct claim_entry {
	struct claim_key key;
	struct claim_ballot promised;
	bool held; /* the claimant of promised has not released it */
	/* Ballot under which phase was accepted. */
	struct claim_ballot accepted;
	enum claim_phase phase;
	int32_t status; /* CLAIM_DONE: status of the first response */
	/* CLAIM_DONE: digest of the first response. */
	uint8_t digest[CLAIM_DIGEST_BYTES];
	struct claim_resolution resolution;
};

enum claim_msg_kind {
	CLAIM_MSG_ACQUIRE = 1, /* asks for a promise of ballot to a claimant */
	CLAIM_MSG_PREPARE, /* the same, to write entry.resolution */
	CLAIM_MSG_WRITE, /* asks to accept entry's phase under ballot */
	CLAIM_MSG_RELEASE, /* returns the promise; no marker was sent */
	CLAIM_MSG_READ,
	CLAIM_MSG_REPLY, /* to the five above: error and present entry */
	CLAIM_MSG_LIST_HALTED, /* from cursor on, entries marked or halted */
	CLAIM_MSG_LEARN, /* from cursor on, all; for a replaced replica */
	CLAIM_MSG_ENTRIES /* reply to the two above; op is their kind */
};

struct claim_msg {
	enum claim_msg_kind kind;
	uint64_t epoch; /* of the replica set */
	uint64_t op; /* exchange id; a reply repeats it and ballot */
	int error;
	struct claim_ballot ballot;
	struct claim_ballot takeover; /* ACQUIRE: of a claimant that ended */
	struct claim_entry entry;
	uint64_t cursor; /* next position; 0 in ENTRIES: no more */
	uint32_t floor; /* reply to LEARN: the sender's birth-time floor */
	uint32_t entry_count;
	struct claim_entry entries[CLAIM_MSG_ENTRIES_MAX];
};

void claim_msg_encode(const struct claim_msg *msg, struct buf *out);
int claim_msg_decode(struct claim_msg *msg, const uint8_t *data, size_t len);

/* The replica set; epoch grows by one with each change of it. */
struct claim_replicas {
	uint64_t epoch;
	uint32_t count;
	uint32_t instances[CLAIM_REPLICAS_MAX];
};

int claim_key_parse(
    uint32_t workspace, const char *text, struct claim_key *key);
bool claim_key_equal(const struct claim_key *a, const struct claim_key *b);
int claim_ballot_compare(
    const struct claim_ballot *a, const struct claim_ballot *b);
bool claim_ballot_is_zero(const struct claim_ballot *ballot);
bool claim_entry_is_newer(
    const struct claim_entry *a, const struct claim_entry *b);
bool claim_entry_merge(struct claim_entry *to, const struct claim_entry *from);
void claim_entry_encode(const struct claim_entry *entry, struct buf *out);
int claim_entry_decode(
    struct claim_entry *entry, const uint8_t *data, size_t len);
const char *claim_phase_name(enum claim_phase phase);

/* Replica side. */

enum claim_store_action_kind {
	CLAIM_STORE_SEND, /* message to an instance */
	CLAIM_STORE_PERSIST, /* a record, then claim_store_persisted() */
	CLAIM_STORE_LEARNED /* a replaced replica may vote from now on */
};

struct claim_store_action {
	enum claim_store_action_kind kind;
	uint32_t to;
	const struct claim_msg *msg; /* valid during emit() */
	uint64_t sequence;
	const uint8_t *record;
	size_t record_len;
};

struct claim_store_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct claim_store_action *action);
	void *ctx;
	uint32_t instance;
	bool replaced; /* empty disk in a used set: must learn first */
	uint32_t horizon_s; /* older keys are refused; 0: 24 h */
	uint32_t skew_s; /* tolerated wall clock difference; 0: 300 */
	uint32_t entries_max; /* refuses new keys when full; 0: 400,000 */
	uint32_t undated_max; /* per workspace, never expire; 0: 10,000 */
	/* Each disables one safety mechanism, for tests only. */
	bool unsafe_skip_sync;
	bool unsafe_skip_ballots;
	bool unsafe_skip_learning;
	bool unsafe_forget;
	bool unsafe_skip_wait_out;
};

struct claim_store;

struct claim_store *claim_store_new(const struct claim_store_options *options);
void claim_store_free(struct claim_store *store);
void claim_store_set_replicas(
    struct claim_store *store, const struct claim_replicas *set);
void claim_store_receive(struct claim_store *store, int64_t now_us,
    uint32_t from, const struct claim_msg *msg);
void claim_store_persisted(
    struct claim_store *store, int64_t now_us, uint64_t sequence);
void claim_store_persist_failed(struct claim_store *store);
void claim_store_tick(
    struct claim_store *store, int64_t now_us, int64_t wall_s);

/* Journal replay and snapshots; a snapshot is a sequence of records. */
int claim_store_replay(
    struct claim_store *store, const uint8_t *record, size_t len);
void claim_store_snapshot(const struct claim_store *store, struct buf *out);
int claim_store_restore_snapshot(
    struct claim_store *store, const uint8_t *image, size_t len);

bool claim_store_can_vote(const struct claim_store *store);
uint32_t claim_store_entry_count(const struct claim_store *store);
size_t claim_store_memory_bytes(const struct claim_store *store);
bool claim_store_get(const struct claim_store *store,
    const struct claim_key *key, struct claim_entry *entry);

/* Claimant side. */

enum claim_step {
	CLAIM_STEP_ACQUIRE,
	CLAIM_STEP_MARK,
	CLAIM_STEP_DONE,
	CLAIM_STEP_RELEASE,
	CLAIM_STEP_RESOLVE,
	CLAIM_STEP_READ
};

enum claim_client_action_kind {
	CLAIM_CLIENT_SEND,
	CLAIM_CLIENT_STEP_ENDED, /* a step ended; error: 0 or an err.h number */
	/* One replica's reply to claim_client_list_halted() */
	CLAIM_CLIENT_HALTED_LIST
};

/*
 * Results of a step, in error:
 *
 * claim: 0, ERR_IN_PROGRESS, ERR_DUPLICATE (with phase CLAIM_DONE, entry has
 * status and digest; with CLAIM_FREE, the key is older than the horizon and may
 * have run), ERR_HALTED (entry.accepted is the attempt to resolve),
 * ERR_MALFORMED (born in the future), ERR_NO_CAPACITY or ERR_NO_QUORUM.
 *
 * marker: 0, ERR_IN_PROGRESS (another claimant took over) or ERR_NO_QUORUM.
 * After an error the op has ended and nothing may be dispatched.
 *
 * outcome, release: 0, ERR_STALE (an operator resolved the attempt meanwhile)
 * or ERR_NO_QUORUM.
 *
 * resolution: 0, ERR_CONFLICT (another order resolved it, see entry),
 * ERR_DUPLICATE (the attempt has an outcome), ERR_STALE (not the last attempt),
 * ERR_NOT_FOUND (not halted), ERR_IN_PROGRESS (the marker is too young) or
 * ERR_NO_QUORUM.
 *
 * A step that the state of the op does not allow gets ERR_NOT_FOUND.
 */
struct claim_client_action {
	enum claim_client_action_kind kind;
	uint32_t to;
	const struct claim_msg *msg; /* valid during emit() */
	uint64_t op;
	enum claim_step step;
	int error;
	struct claim_entry entry;
};

struct claim_client_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct claim_client_action *action);
	void *ctx;
	uint32_t instance;
	uint64_t incarnation; /* grows with each life of the instance */
	uint64_t seed;
	uint32_t ops_max; /* open ops at once; 0: 4,096 */
	uint32_t resend_ms; /* 0: 200 */
	/* Each disables one safety mechanism, for tests only. */
	bool unsafe_skip_marker;
	bool unsafe_dispatch_late;
	bool unsafe_one_replica;
};

struct claim_client;

struct claim_client *claim_client_new(
    const struct claim_client_options *options);
void claim_client_free(struct claim_client *client);
void claim_client_set_replicas(
    struct claim_client *client, const struct claim_replicas *set);
/* Records that incarnation and all earlier ones of instance have ended. */
void claim_client_set_life_ended(
    struct claim_client *client, uint32_t instance, uint64_t incarnation);
void claim_client_receive(struct claim_client *client, int64_t now_us,
    uint32_t from, const struct claim_msg *msg);
void claim_client_tick(struct claim_client *client, int64_t now_us);
int64_t claim_client_next_due_us(const struct claim_client *client);

/* The caller chooses op_id, a new one for each request. */
void claim_client_acquire(struct claim_client *client, int64_t now_us,
    uint64_t op_id, const struct claim_key *key, int64_t deadline_us);
void claim_client_write_marker(struct claim_client *client, int64_t now_us,
    uint64_t op_id, int64_t deadline_us);
void claim_client_write_outcome(struct claim_client *client, int64_t now_us,
    uint64_t op_id, int32_t status, const uint8_t digest[CLAIM_DIGEST_BYTES]);
void claim_client_write_halt(
    struct claim_client *client, int64_t now_us, uint64_t op_id);
void claim_client_release(
    struct claim_client *client, int64_t now_us, uint64_t op_id);
void claim_client_resolve(struct claim_client *client, int64_t now_us,
    uint64_t op_id, const struct claim_key *key,
    const struct claim_resolution *order, int64_t deadline_us);
void claim_client_read(struct claim_client *client, int64_t now_us,
    uint64_t op_id, const struct claim_key *key, int64_t deadline_us);
void claim_client_list_halted(
    struct claim_client *client, uint32_t replica, uint64_t cursor);

/* Drops an op without writing an outcome; a marker stays. */
void claim_client_drop_op(struct claim_client *client, uint64_t op);

/* To be checked just before each dispatch; false: renew the marker first. */
bool claim_client_may_dispatch(
    const struct claim_client *client, int64_t now_us, uint64_t op_id);
uint32_t claim_client_op_count(const struct claim_client *client);

#ifdef __cplusplus
}
#endif

#endif
