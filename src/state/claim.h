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
 * of the state replicas.  The claimant (cl_client, in any instance) takes these
 * steps; each is durable on a majority before the next one starts:
 *
 *	cl_client_claim()	excludes all other claimants of the key
 *	cl_client_mark()	writes the attempt marker; the call may run
 *				from here on
 *	cl_client_done()	writes the outcome, which answers a resend
 *
 * If the claimant knows that the call has not run, it calls
 * cl_client_release() instead; if it cannot know, claim_client_write_halt().
 * Between the marker and each dispatch, cl_client_may_dispatch() checks the
 * age of the marker, because an operator may resolve a claim whose claimant
 * appears to have ended.
 *
 * A replica (cl_store) keeps one entry for each key: the highest ballot that it
 * promised and the highest (ballot, phase) that it accepted.  A claim is a
 * promise by a majority, and the marker is accepted under that promise.  If
 * the claimant ends without a marker, another claimant takes the claim over
 * under a higher ballot; a late marker of the old claimant then no longer finds
 * a majority.  A claim with a marker and no outcome is halted until
 * cl_client_resolve().  docs/design/claims.md shows why this is safe.
 *
 * Both sides are state machines that do no I/O.  They pass actions to emit(),
 * which must not call back into the same object.  now_us is monotonic time in
 * microseconds; only cl_store_tick() takes the wall clock.
 */

enum {
	CL_KEY_BYTES = 16,
	CL_DIGEST_BYTES = 16,
	CLAIM_MSG_ENTRIES_MAX = 16, /* entries in one message, at most */
	CL_REPLICAS_MAX = 9,
	CL_BORN_S = 60, /* unit of a key's birth time */
	CLAIM_MARKER_LEASE_MS = 4000, /* a younger marker allows a dispatch */
	CLAIM_MARKER_RESOLVABLE_MS = 6000 /* minimum age to be resolved */
};

/*
 * born is the time when the caller made the key, in minutes (CL_BORN_S) since
 * 1970; 0 for an undated key.  hash is of the text of the request key.
 */
struct cl_key {
	uint32_t workspace;
	uint32_t born;
	uint8_t hash[CL_KEY_BYTES];
};

/* Unique, because a client never uses a round twice. */
struct cl_ballot {
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
	CL_RESOLVED_RAN, /* an operator resolved a halted attempt */
	CL_RESOLVED_NOT_RUN,
	CLAIM_PHASE_COUNT
};

/* A key keeps its last resolution through later phases. */
struct cl_resolution {
	struct cl_ballot attempt; /* the halted attempt that it ended */
	uint64_t change_id; /* change id of the operator's order; 0: none yet */
	enum claim_phase verdict;
};

/*
 * The state of a key at a replica.  A claim is a promise only.  A phase is what
 * the replica accepted, and it carries the last resolution with it.
 */
struct cl_entry {
	struct cl_key key;
	struct cl_ballot promised;
	bool held; /* the claimant of promised has not released it */
	struct cl_ballot accepted; /* ballot under which phase was accepted */
	enum claim_phase phase;
	int32_t status; /* CLAIM_DONE: status of the first response */
	uint8_t digest[CL_DIGEST_BYTES]; /* CLAIM_DONE: of the first response */
	struct cl_resolution resolution;
};

enum claim_msg_kind {
	CLAIM_MSG_ACQUIRE = 1, /* asks for a promise of ballot to a claimant */
	CLAIM_MSG_PREPARE, /* the same, to write entry.resolution */
	CLAIM_MSG_WRITE, /* asks to accept entry's phase under ballot */
	CLAIM_MSG_RELEASE, /* returns the promise; no marker was sent */
	CLAIM_MSG_READ,
	CL_MSG_REPLY, /* to the five above: error and present entry */
	CLAIM_MSG_LIST_HALTED, /* from cursor on, entries marked or halted */
	CLAIM_MSG_LEARN, /* from cursor on, all; for a replaced replica */
	CL_MSG_ENTRIES /* reply to the two above; op is their kind */
};

struct cl_msg {
	enum claim_msg_kind kind;
	uint64_t epoch; /* of the replica set */
	uint64_t op; /* exchange id; a reply repeats it and ballot */
	int error;
	struct cl_ballot ballot;
	struct cl_ballot takeover; /* ACQUIRE: of a claimant that ended */
	struct cl_entry entry;
	uint64_t cursor; /* next position; 0 in ENTRIES: no more */
	uint32_t floor; /* reply to LEARN: the sender's birth-time floor */
	uint32_t entry_count;
	struct cl_entry entries[CLAIM_MSG_ENTRIES_MAX];
};

void cl_msg_encode(const struct cl_msg *msg, struct buf *out);
int cl_msg_decode(struct cl_msg *msg, const uint8_t *data, size_t len);

/* The replica set; epoch grows by one with each change of it. */
struct cl_replicas {
	uint64_t epoch;
	uint32_t count;
	uint32_t instances[CL_REPLICAS_MAX];
};

int cl_key_parse(uint32_t workspace, const char *text, struct cl_key *key);
bool claim_key_equal(const struct cl_key *a, const struct cl_key *b);
int claim_ballot_compare(const struct cl_ballot *a, const struct cl_ballot *b);
bool claim_ballot_is_zero(const struct cl_ballot *ballot);
bool claim_entry_is_newer(const struct cl_entry *a, const struct cl_entry *b);
bool claim_entry_merge(struct cl_entry *to, const struct cl_entry *from);
void claim_entry_encode(const struct cl_entry *entry, struct buf *out);
int claim_entry_decode(struct cl_entry *entry, const uint8_t *data, size_t len);
const char *cl_phase_name(enum claim_phase phase);

/* Replica side. */

enum claim_store_action_kind {
	CL_STORE_SEND, /* message to an instance */
	CL_STORE_PERSIST, /* a record, then cl_store_persisted() */
	CL_STORE_READY /* a replaced replica may vote from now on */
};

struct cl_store_action {
	enum claim_store_action_kind kind;
	uint32_t to;
	const struct cl_msg *msg; /* valid during emit() */
	uint64_t sequence;
	const uint8_t *record;
	size_t record_len;
};

struct cl_store_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct cl_store_action *action);
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

struct cl_store;

struct cl_store *cl_store_new(const struct cl_store_options *options);
void cl_store_free(struct cl_store *store);
void cl_store_replicas(struct cl_store *store, const struct cl_replicas *set);
void cl_store_message(struct cl_store *store, int64_t now_us, uint32_t from,
    const struct cl_msg *msg);
void cl_store_persisted(
    struct cl_store *store, int64_t now_us, uint64_t sequence);
void cl_store_persist_failed(struct cl_store *store);
void cl_store_tick(struct cl_store *store, int64_t now_us, int64_t wall_s);

/* Journal replay and snapshots; a snapshot is a sequence of records. */
int cl_store_restore(struct cl_store *store, const uint8_t *record, size_t len);
void cl_store_image(const struct cl_store *store, struct buf *out);
int cl_store_restore_image(
    struct cl_store *store, const uint8_t *image, size_t len);

bool claim_store_can_vote(const struct cl_store *store);
uint32_t cl_store_count(const struct cl_store *store);
size_t claim_store_memory_bytes(const struct cl_store *store);
bool claim_store_get(const struct cl_store *store, const struct cl_key *key,
    struct cl_entry *entry);

/* Claimant side. */

enum cl_step {
	CL_STEP_CLAIM,
	CL_STEP_MARK,
	CL_STEP_DONE,
	CL_STEP_RELEASE,
	CL_STEP_RESOLVE,
	CL_STEP_READ
};

enum claim_client_action_kind {
	CL_CLIENT_SEND,
	CL_CLIENT_ANSWER, /* a step ended; error: 0 or an err.h number */
	CL_CLIENT_HALTS /* one replica's reply to cl_client_halts() */
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
struct cl_client_action {
	enum claim_client_action_kind kind;
	uint32_t to;
	const struct cl_msg *msg; /* valid during emit() */
	uint64_t op;
	enum cl_step step;
	int error;
	struct cl_entry entry;
};

struct cl_client_options {
	const struct alloc *alloc;
	void (*emit)(void *ctx, const struct cl_client_action *action);
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

struct cl_client;

struct cl_client *cl_client_new(const struct cl_client_options *options);
void cl_client_free(struct cl_client *client);
void cl_client_replicas(
    struct cl_client *client, const struct cl_replicas *set);
/* Records that incarnation and all earlier ones of instance have ended. */
void cl_client_gone(
    struct cl_client *client, uint32_t instance, uint64_t incarnation);
void cl_client_message(struct cl_client *client, int64_t now_us, uint32_t from,
    const struct cl_msg *msg);
void cl_client_tick(struct cl_client *client, int64_t now_us);
int64_t claim_client_next_due_us(const struct cl_client *client);

/* The caller chooses op_id, a new one for each request. */
void cl_client_claim(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, int64_t deadline_us);
void cl_client_mark(struct cl_client *client, int64_t now_us, uint64_t op_id,
    int64_t deadline_us);
void cl_client_done(struct cl_client *client, int64_t now_us, uint64_t op_id,
    int32_t status, const uint8_t digest[CL_DIGEST_BYTES]);
void claim_client_write_halt(
    struct cl_client *client, int64_t now_us, uint64_t op_id);
void cl_client_release(
    struct cl_client *client, int64_t now_us, uint64_t op_id);
void cl_client_resolve(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, const struct cl_resolution *order,
    int64_t deadline_us);
void claim_client_read(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, int64_t deadline_us);
void cl_client_halts(
    struct cl_client *client, uint32_t replica, uint64_t cursor);

/* Drops an op without writing an outcome; a marker stays. */
void cl_client_forget(struct cl_client *client, uint64_t op);

/* To be checked just before each dispatch; false: renew the marker first. */
bool cl_client_may_dispatch(
    const struct cl_client *client, int64_t now_us, uint64_t op_id);
uint32_t claim_client_op_count(const struct cl_client *client);

#ifdef __cplusplus
}
#endif

#endif
