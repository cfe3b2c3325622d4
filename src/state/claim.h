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
 * Claims: a call that must not be repeated runs at most once.
 *
 * A claim belongs to a key (workspace, request key) and lives on a majority of
 * the state replicas.  The claimant (cl_client, in any instance) takes these
 * steps, each durable on a majority before the next:
 *
 *	cl_client_claim()	nobody else may run the key
 *	cl_client_mark()	attempt marker: it may run from here on
 *	cl_client_done()	the outcome, so that a resend is told
 *
 * or cl_client_release() when it knows that the call has not run, or
 * cl_client_halt() when it cannot know.  Between
 * the marker and each dispatch cl_client_may_dispatch() checks the marker's
 * age, because an operator may resolve a claim whose claimant looks gone.
 *
 * A replica (cl_store) keeps one entry a key: the highest ballot promised, and
 * the highest (ballot, phase) accepted.  A claim is a promise on a majority;
 * the marker is accepted under it.  A claim without marker whose claimant is
 * gone is taken over under a higher ballot, after which a late marker of the
 * old claimant finds no majority any more.
 * A claim with a marker and no outcome is halted and waits for
 * cl_client_resolve().  docs/design/claims.md argues why this is safe.
 *
 * Both sides are state machines: nothing below does I/O, and what is to be
 * done comes out of emit(), which must not call back into the same object.
 * now_us is monotonic time; only cl_store_tick() takes the wall clock.
 */

enum {
	CL_KEY_BYTES = 16,
	CL_DIGEST_BYTES = 16,
	CL_BATCH = 16, /* entries in one message */
	CL_REPLICAS_MAX = 9,
	CL_BORN_S = 60, /* width of a birth bucket */
	CL_MARK_LEASE_MS = 4000, /* age up to which a marker allows dispatch */
	CL_MARK_WAIT_MS = 6000 /* age from which a marker may be resolved */
};

/* born is the birth time of the key in minutes since 1970; 0: undated. */
struct cl_key {
	uint32_t workspace;
	uint32_t born;
	uint8_t hash[CL_KEY_BYTES];
};

/* Unique: a client never uses one round twice. */
struct cl_ballot {
	uint64_t round;
	uint32_t instance;
	uint64_t incarnation;
};

enum cl_phase {
	CL_FREE, /* nothing was ever accepted */
	CL_MARKED, /* dispatched, or about to be */
	CL_HALTED, /* dispatched, and the claimant does not know the outcome */
	CL_RELEASED, /* marked, but the claimant knows that it has not run */
	CL_DONE,
	CL_RESOLVED_RAN, /* an operator's word after a halt */
	CL_RESOLVED_NOT_RUN,
	CL_PHASES
};

/* The last resolution stays with the key through later phases. */
struct cl_resolution {
	struct cl_ballot attempt; /* the halted attempt that it ended */
	uint64_t change_id; /* of the operator's order; 0: none yet */
	enum cl_phase verdict;
};

/*
 * What a replica knows of a key.  A claim only promises; the phases are what
 * was accepted, and carry the last resolution forward.
 */
struct cl_entry {
	struct cl_key key;
	struct cl_ballot promised;
	bool held; /* the promised claimant has not released */
	struct cl_ballot accepted; /* whose phase this is */
	enum cl_phase phase;
	int32_t status; /* CL_DONE: status of the first answer */
	uint8_t digest[CL_DIGEST_BYTES]; /* CL_DONE: of the first answer */
	struct cl_resolution resolution;
};

enum cl_msg_kind {
	CL_MSG_CLAIM = 1, /* promise ballot to a claimant */
	CL_MSG_PREPARE, /* promise ballot to resolve entry.resolution */
	CL_MSG_WRITE, /* accept entry.phase and what goes with it at ballot */
	CL_MSG_RELEASE, /* a claimant without marker gives ballot back */
	CL_MSG_READ,
	CL_MSG_REPLY, /* to the five above: error, and the entry now held */
	CL_MSG_HALTS, /* cursor: entries with a marker or halted */
	CL_MSG_LEARN, /* cursor: all entries, for a replaced replica */
	CL_MSG_ENTRIES /* to the two above */
};

struct cl_msg {
	enum cl_msg_kind kind;
	uint64_t epoch; /* of the replica set */
	uint64_t op; /* echoed in the reply, as is ballot */
	int error;
	struct cl_ballot ballot;
	struct cl_ballot takeover; /* CLAIM: holder that is gone */
	struct cl_entry entry;
	uint64_t cursor; /* next position; 0 in ENTRIES: the end */
	uint32_t floor; /* LEARN: birth times below are refused */
	uint32_t entry_count;
	struct cl_entry entries[CL_BATCH];
};

void cl_msg_encode(const struct cl_msg *msg, struct buf *out);
int cl_msg_decode(struct cl_msg *msg, const uint8_t *data, size_t len);

/* The replicas; the epoch grows by one with each change of the set. */
struct cl_replicas {
	uint64_t epoch;
	uint32_t count;
	uint32_t instances[CL_REPLICAS_MAX];
};

int cl_key_parse(uint32_t workspace, const char *text, struct cl_key *key);
bool cl_key_equal(const struct cl_key *a, const struct cl_key *b);
int cl_ballot_compare(const struct cl_ballot *a, const struct cl_ballot *b);
bool cl_ballot_zero(const struct cl_ballot *ballot);
bool cl_entry_newer(const struct cl_entry *a, const struct cl_entry *b);
bool cl_entry_merge(struct cl_entry *to, const struct cl_entry *from);
void cl_entry_encode(const struct cl_entry *entry, struct buf *out);
int cl_entry_decode(struct cl_entry *entry, const uint8_t *data, size_t len);
const char *cl_phase_name(enum cl_phase phase);

/* Replica side. */

enum cl_store_action_kind {
	CL_STORE_SEND, /* message to an instance */
	CL_STORE_PERSIST, /* journal record, then cl_store_persisted() */
	CL_STORE_READY /* a replaced replica has learned enough to vote */
};

struct cl_store_action {
	enum cl_store_action_kind kind;
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
	bool replaced; /* empty disk in an old set: learn before voting */
	uint32_t horizon_s; /* keys born earlier are refused; 0: 24 h */
	uint32_t skew_s; /* tolerated between wall clocks; 0: 300 */
	uint32_t entries_max; /* 0: 400,000; full: claims are refused */
	uint32_t undated_max; /* of a workspace; 0: 10,000, never expire */
	/* For tests that show what each mechanism is for. */
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

/* Journal replay and snapshots; an image is a row of records. */
int cl_store_restore(struct cl_store *store, const uint8_t *record, size_t len);
void cl_store_image(const struct cl_store *store, struct buf *out);
int cl_store_restore_image(
    struct cl_store *store, const uint8_t *image, size_t len);

bool cl_store_ready(const struct cl_store *store);
uint32_t cl_store_count(const struct cl_store *store);
size_t cl_store_bytes(const struct cl_store *store);
bool cl_store_get(const struct cl_store *store, const struct cl_key *key,
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

enum cl_client_action_kind {
	CL_CLIENT_SEND,
	CL_CLIENT_ANSWER, /* a step of an op ended: error 0 or err.h number */
	CL_CLIENT_HALTS /* entries of one replica, as asked by halts() */
};

/*
 * Answers to a claim: 0, ERR_IN_PROGRESS, ERR_DUPLICATE (phase CL_DONE: entry
 * has status and digest; CL_FREE: the key is older than the horizon and may
 * have run), ERR_HALTED (entry.accepted is the attempt to resolve),
 * ERR_MALFORMED (born in the future), ERR_NO_CAPACITY, ERR_NO_QUORUM.  To a
 * marker: 0, ERR_IN_PROGRESS (another claimant took over) or ERR_NO_QUORUM;
 * after an error the op is over and nothing may be dispatched.  To an outcome
 * or a release: 0, ERR_STALE (resolved by an operator meanwhile) or
 * ERR_NO_QUORUM.  To a resolution: 0, ERR_CONFLICT (resolved by another
 * order, see entry), ERR_DUPLICATE (it has an outcome), ERR_STALE (not the
 * last attempt), ERR_NOT_FOUND (not halted), ERR_IN_PROGRESS (too early) or
 * ERR_NO_QUORUM.
 */
struct cl_client_action {
	enum cl_client_action_kind kind;
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
	uint32_t ops_max; /* open at once; 0: 4,096 */
	uint32_t resend_ms; /* 0: 200 */
	/* For tests that show what each mechanism is for. */
	bool unsafe_skip_marker;
	bool unsafe_dispatch_late;
	bool unsafe_one_replica;
};

struct cl_client;

struct cl_client *cl_client_new(const struct cl_client_options *options);
void cl_client_free(struct cl_client *client);
void cl_client_replicas(
    struct cl_client *client, const struct cl_replicas *set);
/* This life of an instance, and all before it, have ended. */
void cl_client_gone(
    struct cl_client *client, uint32_t instance, uint64_t incarnation);
void cl_client_message(struct cl_client *client, int64_t now_us, uint32_t from,
    const struct cl_msg *msg);
void cl_client_tick(struct cl_client *client, int64_t now_us);
int64_t cl_client_due_us(const struct cl_client *client);

/* op_id is chosen by the caller, another for each request. */
void cl_client_claim(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, int64_t deadline_us);
void cl_client_mark(struct cl_client *client, int64_t now_us, uint64_t op_id,
    int64_t deadline_us);
void cl_client_done(struct cl_client *client, int64_t now_us, uint64_t op_id,
    int32_t status, const uint8_t digest[CL_DIGEST_BYTES]);
void cl_client_halt(struct cl_client *client, int64_t now_us, uint64_t op_id);
void cl_client_release(
    struct cl_client *client, int64_t now_us, uint64_t op_id);
void cl_client_resolve(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, const struct cl_resolution *order,
    int64_t deadline_us);
void cl_client_read(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, int64_t deadline_us);
void cl_client_halts(
    struct cl_client *client, uint32_t replica, uint64_t cursor);

/* Drops a held or marked op: the outcome is unknown, the marker stays. */
void cl_client_forget(struct cl_client *client, uint64_t op);

/* Checked just before every dispatch; false: mark again first. */
bool cl_client_may_dispatch(
    const struct cl_client *client, int64_t now_us, uint64_t op_id);
uint32_t cl_client_open(const struct cl_client *client);

#ifdef __cplusplus
}
#endif

#endif
