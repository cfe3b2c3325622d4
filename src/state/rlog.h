#ifndef CF_RLOG_H
#define CF_RLOG_H

/*
 * The replicated log among the state replicas, as a state machine without I/O.
 *
 * The caller hands in one event and the monotonic time, and carries out the
 * actions that come back, in their order, before the next step:
 *
 *	rl = rlog_new(&options);
 *	for each journal record of kind JNL_KIND_RLOG + x:
 *		rlog_replay(rl, kind, data, len);
 *	rlog_start(rl, now_us);
 *	rlog_step(rl, now_us, &event, &actions);
 *	for (i = 0; i < actions.count; i++)
 *		carry_out(&actions.items[i]);
 *
 * RLOG_ACT_PERSIST asks for a journal record; once the journal reports it
 * durable, RLOG_EV_PERSISTED carries its number back (the highest durable one
 *is enough).  Votes and acknowledgements wait for that.  RLOG_ACT_SEND goes to
 *an instance; links may lose, double, delay and reorder messages.
 *RLOG_ACT_APPLY hands committed entries to the configuration store, each index
 *once and in order; RLOG_ACT_RESTORE replaces its content first.  What was
 *applied up to rl_durable_commit() is applied again by a restart without peers:
 *a revision goes out to other instances once that covers its index.
 *
 * A replica is named by its identity, 64 random bits that live and die with
 * its data folder, and reached through its instance, a number that the caller
 * gives: from its settings, or made of the address that it is reached at.  A
 *replica that lost its disk comes back under a new identity: it joins as a
 *learner, without a vote; once it has caught up, the old identity of its
 *instance is removed and it becomes a voter.  The log is formed once, by the
 *lowest founder, when every founder says that its folder is new.
 *
 * The term is the fencing number of orders.  rlog_lease_until_us() bounds
 * leadership in time: an action under it compares a clock read just before.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/alloc.h"
#include "base/buf.h"
#include "base/err.h"
#include "state/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RL_MEMBERS_MAX = 16,
	RLOG_INSTANCES_MAX = 64, /* one bit each in the instance mask */
	RLOG_NO_INSTANCE = 0xffff,
	RL_ENTRY_MAX_BYTES = 4 * 1024 * 1024
};

/* Journal record kinds. */
enum rl_record_kind {
	RLOG_REC_IMAGE =
	    JNL_KIND_RLOG, /* in snapshots: the whole of rlog_image() */
	RL_REC_IDENTITY = JNL_KIND_RLOG + 1,
	RL_REC_VOTE = JNL_KIND_RLOG + 2,
	RL_REC_ENTRY = JNL_KIND_RLOG + 3, /* replaces this index and above */
	RL_REC_SNAPSHOT = JNL_KIND_RLOG + 4,
	RL_REC_COMMIT = JNL_KIND_RLOG + 5
};

struct rlog_options {
	const struct alloc *alloc; /* NULL: the C library's */
	uint64_t seed; /* of the random election times */
	uint64_t fresh_id; /* identity to take if the folder has none */
	uint64_t instance; /* this instance's number */
	/*
	 * The instances that form the log: a mask of numbers below
	 * RLOG_INSTANCES_MAX, or a list of any numbers.  With neither, this
	 * replica never forms a log and only joins one that it is introduced
	 * to (rlog_set_hello_targets()).
	 */
	uint64_t instances;
	const uint64_t *founders; /* copied; RL_MEMBERS_MAX at most */
	size_t founder_count;
	int64_t heartbeat_us; /* 0: 250 ms */
	int64_t election_min_us; /* 0: 900 ms */
	int64_t election_max_us; /* 0: 1,400 ms */
	int64_t lease_us; /* 0: 750 ms; below election_min_us by the drift */
	int64_t jump_us; /* 0: 400 ms; a longer gap drops leases */
	uint32_t window_bytes; /* 0: 256 KB in flight to a follower */
	uint32_t chunk_bytes; /* 0: 64 KB of snapshot a message */
	uint32_t compact_bytes; /* 0: 1 MB of entries before a snapshot */

	/* Tests only: switch one mechanism off. */
	bool unsafe_skip_persist; /* answers before records are durable */
	bool unsafe_skip_prevote;
	bool unsafe_skip_vote_wait; /* votes right after a restart */
	bool unsafe_skip_lease_check; /* reads on being leader alone */
	bool unsafe_skip_jump_check; /* leases survive a frozen process */
	bool unsafe_keep_identity; /* a lost disk keeps the old identity */
	bool unsafe_vote_uncaught; /* a learner becomes a voter at once */
	bool unsafe_commit_old_term; /* counts copies of older terms */
	bool unsafe_skip_log_check; /* votes for shorter logs */
};

enum rl_role {
	RL_FOLLOWER,
	RL_PRECANDIDATE,
	RL_CANDIDATE,
	RLOG_LEADER
};

enum rl_entry_kind {
	RL_ENTRY_DATA,
	RL_ENTRY_EMPTY, /* the first entry of a leader's term */
	RL_ENTRY_MEMBERS
};

struct rlog_entry {
	uint64_t index;
	uint64_t term;
	enum rl_entry_kind kind;
	const uint8_t *data;
	size_t len;
};

struct rlog_member {
	uint64_t id;
	uint64_t instance;
	bool voter; /* false: a learner */
};

enum rl_msg_kind {
	RL_MSG_HELLO = 1, /* who I am, and whether my folder is new */
	RL_MSG_PREVOTE,
	RL_MSG_PREVOTE_REPLY,
	RL_MSG_VOTE,
	RL_MSG_VOTE_REPLY,
	RL_MSG_APPEND, /* entries; none: a heartbeat */
	RL_MSG_APPEND_REPLY,
	RL_MSG_SNAPSHOT, /* one chunk */
	RL_MSG_SNAPSHOT_REPLY,
	RL_MSG_TIMEOUT_NOW /* leadership is handed over to the receiver */
};

struct rlog_msg {
	enum rl_msg_kind kind;
	uint64_t from_id;
	uint64_t to_id; /* 0: whoever keeps that instance */
	uint64_t from_instance;
	uint64_t term;
	uint64_t log_index; /* last or previous entry; snapshot's last */
	uint64_t log_term;
	uint64_t commit;
	uint64_t round; /* of heartbeats; a reply repeats it */
	uint64_t match; /* reply: the log agrees up to here, durably */
	bool ok; /* reply: granted or accepted; HELLO: the folder is new */
	bool joinable; /* HELLO: has never been a voter */
	bool transfer; /* VOTE: on the old leader's behalf */
	uint64_t offset; /* SNAPSHOT: of the chunk; reply: next wanted */
	uint64_t total; /* SNAPSHOT: size */
	const uint8_t *chunk;
	size_t chunk_len;
	const struct rlog_entry *entries;
	size_t entry_count;
	const struct rlog_member *members; /* SNAPSHOT: as of log_index */
	size_t member_count;
};

enum rl_event_kind {
	RLOG_EV_TICK, /* time has passed */
	RLOG_EV_MESSAGE,
	RLOG_EV_PROPOSE, /* append this entry if leader */
	RL_EV_READ, /* may the caller read the applied state now? */
	RLOG_EV_PERSISTED, /* records up to a number are durable */
	RLOG_EV_SNAPSHOT_TAKEN, /* the answer to RLOG_ACT_TAKE_SNAPSHOT */
	RL_EV_REMOVE, /* operator: remove an instance's replica for good */
	RLOG_EV_HANDOVER, /* graceful leave: give leadership away */
	RLOG_EV_DISK_LOST /* the journal failed: fall silent for good */
};

struct rlog_event {
	enum rl_event_kind kind;
	union {
		const struct rlog_msg *message;
		struct {
			uint64_t token; /* the caller's; comes back */
			const void *data;
			size_t len;
		} propose;
		struct {
			uint64_t token;
		} read;
		struct {
			uint64_t number;
		} persisted;
		struct {
			uint64_t index; /* applied index of the image */
			const void *data;
			size_t len;
		} snapshot;
		struct {
			uint64_t instance;
			uint64_t token;
		} remove;
	} u;
};

enum rl_action_kind {
	RLOG_ACT_PERSIST, /* append to the journal */
	RLOG_ACT_SEND,
	RLOG_ACT_APPLY, /* a committed entry */
	RLOG_ACT_RESTORE, /* replace the state by an image */
	RLOG_ACT_GRANT_READ, /* RL_EV_READ is granted: the state is current */
	RLOG_ACT_REFUSE, /* a propose, read or remove that cannot be done */
	RLOG_ACT_REMOVED, /* RL_EV_REMOVE is in force */
	RLOG_ACT_LEADER, /* the known leader or its term changed */
	RLOG_ACT_TAKE_SNAPSHOT /* answer with an image of the applied state */
};

struct rlog_action {
	enum rl_action_kind kind;
	union {
		struct {
			uint64_t number; /* counts up by one */
			uint16_t kind;
			const uint8_t *data;
			size_t len;
		} persist;
		struct {
			uint64_t instance;
			struct rlog_msg message;
		} send;
		struct {
			struct rlog_entry entry; /* RL_ENTRY_DATA only */
			uint64_t token; /* 0: not proposed here */
		} apply;
		struct {
			uint64_t index;
			const uint8_t *data;
			size_t len;
		} restore;
		struct {
			uint64_t token;
		} read;
		struct {
			uint64_t token;
			/*
			 * ERR_NOT_LEADER, ERR_NO_QUORUM, ERR_TOO_LARGE: not
			 * done.  ERR_TIMEOUT: the outcome is not known here;
			 * the same change id asks again.
			 */
			int error;
			uint64_t leader; /* instance or RLOG_NO_INSTANCE */
		} refuse;
		struct {
			uint64_t token;
		} done;
		struct {
			uint64_t term;
			uint64_t instance; /* or RLOG_NO_INSTANCE */
			bool is_self;
		} leader;
		struct {
			uint64_t index;
		} take;
	} u;
};

/* What one step asks for; valid until the next step. */
struct rlog_actions {
	struct rlog_action *items;
	size_t count;
	size_t size;
};

struct rlog_status {
	enum rl_role role;
	uint64_t id;
	uint64_t term;
	uint64_t first_index; /* of the entries kept */
	uint64_t last_index;
	uint64_t last_term;
	uint64_t durable_index;
	uint64_t commit;
	uint64_t applied;
	uint64_t snapshot_index;
	uint64_t log_bytes;
	struct rlog_member members[RL_MEMBERS_MAX];
	size_t member_count;
	uint64_t members_index; /* log index of the entry that made members */
};

struct rlog;

struct rlog *rlog_new(const struct rlog_options *options);
int rlog_replay(struct rlog *rlog, uint16_t kind, const void *data, size_t len);
void rlog_start(struct rlog *rlog, int64_t now_us);
void rlog_step(struct rlog *rlog, int64_t now_us,
    const struct rlog_event *event, struct rlog_actions *actions);
void rlog_image(const struct rlog *rlog, struct buf *out);
void rlog_free(struct rlog *rlog);
void rlog_actions_free(struct rlog *rlog, struct rlog_actions *actions);

bool rlog_is_leader(const struct rlog *rlog);
uint64_t rlog_term(const struct rlog *rlog);
uint64_t rlog_leader_instance(const struct rlog *rlog);
void rlog_set_hello_targets(
    struct rlog *rlog, const uint64_t *instances, size_t count);
int64_t rlog_lease_until_us(const struct rlog *rlog);
int64_t rlog_next_tick_us(const struct rlog *rlog);
uint64_t rlog_replica_id(const struct rlog *rlog);
uint64_t rl_durable_commit(const struct rlog *rlog);
void rlog_status(const struct rlog *rlog, struct rlog_status *status);

/* Messages on the wire; a decoded one is released by rlog_msg_release(). */
int rlog_msg_encode(const struct rlog_msg *msg, struct buf *out);
int rlog_msg_decode(const void *data, size_t len, struct rlog_msg *msg);
void rlog_msg_release(struct rlog_msg *msg);

#ifdef __cplusplus
}
#endif

#endif
