#ifndef CF_RLOG_H
#define CF_RLOG_H

/*
 * The replicated log of the state replicas: Raft as a state machine without
 * I/O.
 *
 * The caller passes in one event and the monotonic time, and carries out the
 * returned actions in order before the next step:
 *
 *	rl = rlog_new(&options);
 *	for each journal record of kind JNL_KIND_RLOG + x:
 *		rlog_replay(rl, kind, data, len);
 *	rlog_start(rl, now_us);
 *	rlog_step(rl, now_us, &event, &actions);
 *	for (i = 0; i < actions.count; i++)
 *		carry_out(&actions.items[i]);
 *
 * RLOG_ACT_PERSIST asks for a journal record.  Once the journal reports it
 * durable, RLOG_EV_PERSISTED returns its number; the highest durable number is
 * enough.  Votes and acknowledgements are delayed until then.  RLOG_ACT_SEND
 * sends a message to an instance; links may lose, duplicate, delay and reorder
 * messages.  RLOG_ACT_APPLY passes committed entries to the configuration
 * store, each index once and in order; RLOG_ACT_RESTORE replaces the content of
 * the store first.  A replica that restarts without peers applies entries again
 * only up to rlog_durable_commit(), so a revision may be published to other
 * instances only once that covers its index.
 *
 * A replica is identified by 64 random bits that are stored in its data folder
 * and lost with it.  Messages reach it through its instance, a number that the
 * caller gives: from its settings, or derived from the instance's address.  A
 * replica that lost its disk returns under a new identity: it joins as a
 * learner, without a vote; once it has caught up, the old identity of its
 * instance is removed and the learner becomes a voter.  The founder with the
 * lowest instance number forms the log, once, after every founder has reported
 * an empty folder.
 *
 * Unless the instances are a fixed set, others join at any time.  Each that has
 * caught up becomes a voter, and a voter that has been silent for long becomes
 * a learner until it is heard again; see rlog_voters.c.
 *
 * The term is the fencing number of orders.  rlog_lease_until_us() bounds
 * leadership in time: before each action under the lease, the caller compares
 * it with a clock read just before.
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
	RLOG_MEMBERS_MAX = 16,
	RLOG_INSTANCES_MAX = 64, /* one bit each in the instance mask */
	RLOG_NO_INSTANCE = 0xffff,
	RLOG_ENTRY_MAX_BYTES = 4 * 1024 * 1024
};

/* Journal record kinds. */
enum rlog_record_kind {
	RLOG_REC_IMAGE = JNL_KIND_RLOG, /* in journal snapshots: rlog_image() */
	RLOG_REC_IDENTITY = JNL_KIND_RLOG + 1,
	RLOG_REC_VOTE = JNL_KIND_RLOG + 2,
	/* Replaces the entries from its index on. */
	RLOG_REC_ENTRY = JNL_KIND_RLOG + 3,
	RLOG_REC_SNAPSHOT = JNL_KIND_RLOG + 4,
	RLOG_REC_COMMIT = JNL_KIND_RLOG + 5
};

struct rlog_options {
	const struct alloc *alloc; /* NULL: the C library's */
	uint64_t seed; /* seeds the random election timeouts */
	uint64_t fresh_id; /* identity to use if the folder has none */
	uint64_t instance; /* number of this instance */
	/*
	 * The instances that form the log: a bit mask of numbers below
	 * RLOG_INSTANCES_MAX, or a list of any numbers.  With neither, this
	 * replica never forms a log and only joins one through the instances
	 * given by rlog_set_hello_targets().
	 */
	uint64_t instances;
	const uint64_t *founders; /* copied; RLOG_MEMBERS_MAX at most */
	size_t founder_count;
	int64_t heartbeat_us; /* 0: 250 ms */
	int64_t election_min_us; /* 0: 900 ms */
	int64_t election_max_us; /* 0: 1,400 ms */
	/* 0: 750 ms; shorter than election_min_us by the clock drift. */
	int64_t lease_us;
	/* 0: 400 ms; a longer gap between two steps drops leases. */
	int64_t jump_us;
	/* 0: 256 KB; limit of bytes in flight to a follower. */
	uint32_t window_bytes;
	uint32_t chunk_bytes; /* 0: 64 KB; snapshot bytes in one message */
	/* 0: 1 MB; entries to apply before a snapshot is taken. */
	uint32_t compact_bytes;
	/*
	 * At least 3; silent voters lose their vote only while as many
	 * voters remain.  2N + 1 keeps acknowledged entries on more than N
	 * disks.
	 */
	uint32_t voters_min;

	/* For tests only: each flag disables one safety mechanism. */
	bool unsafe_skip_persist; /* replies before records are durable */
	bool unsafe_skip_prevote;
	bool unsafe_skip_vote_wait; /* grants votes right after a restart */
	/* Grants reads to a leader without a lease. */
	bool unsafe_skip_lease_check;
	/* Keeps leases when the process was frozen. */
	bool unsafe_skip_jump_check;
	/* A replica that lost its disk keeps its old identity. */
	bool unsafe_keep_identity;
	/* Adds a new replica as a voter before it catches up. */
	bool unsafe_vote_uncaught;
	/* Commits entries of older terms by counting copies. */
	bool unsafe_commit_old_term;
	/* Votes for candidates with an outdated log. */
	bool unsafe_skip_log_check;
	/* Changes members again before the last change is committed. */
	bool unsafe_overlap_changes;
	/*
	 * As builds before replaces_voters: voters that never return keep
	 * their vote.
	 */
	bool unsafe_keep_silent_voters;
};

enum rlog_role {
	RLOG_FOLLOWER,
	RLOG_PRECANDIDATE,
	RLOG_CANDIDATE,
	RLOG_LEADER
};

enum rlog_entry_kind {
	RLOG_ENTRY_DATA,
	RLOG_ENTRY_EMPTY, /* first entry of a leader's term */
	RLOG_ENTRY_MEMBERS
};

struct rlog_entry {
	uint64_t index;
	uint64_t term;
	enum rlog_entry_kind kind;
	const uint8_t *data;
	size_t len;
};

struct rlog_member {
	uint64_t id;
	uint64_t instance;
	bool voter; /* false: a learner */
};

enum rlog_msg_kind {
	RLOG_MSG_HELLO = 1, /* sender's identity; is its folder empty? */
	RLOG_MSG_PREVOTE,
	RLOG_MSG_PREVOTE_REPLY,
	RLOG_MSG_VOTE,
	RLOG_MSG_VOTE_REPLY,
	RLOG_MSG_APPEND, /* entries; a heartbeat if there are none */
	RLOG_MSG_APPEND_REPLY,
	RLOG_MSG_SNAPSHOT, /* one chunk */
	RLOG_MSG_SNAPSHOT_REPLY,
	RLOG_MSG_TIMEOUT_NOW /* transfers leadership to the receiver */
};

struct rlog_msg {
	enum rlog_msg_kind kind;
	uint64_t from_id;
	uint64_t to_id; /* 0: any replica on the receiving instance */
	uint64_t from_instance;
	uint64_t term;
	/*
	 * Index of the sender's last entry, of the entry before those sent, or
	 * of the last one in the snapshot.
	 */
	uint64_t log_index;
	uint64_t log_term;
	uint64_t commit;
	uint64_t round; /* heartbeat round; copied into the reply */
	uint64_t match; /* reply: the logs match up to this index, durably */
	bool ok; /* reply: granted or accepted; HELLO: the folder is empty */
	bool joinable; /* HELLO: asks to become a member */
	bool transfer; /* VOTE: the old leader asked for this election */
	/* APPEND: the leader takes the votes of instances that are gone. */
	bool replaces_voters;
	/* SNAPSHOT: byte offset of the chunk; reply: next one expected. */
	uint64_t offset;
	uint64_t total; /* SNAPSHOT: size of the whole snapshot in bytes */
	const uint8_t *chunk;
	size_t chunk_len;
	const struct rlog_entry *entries;
	size_t entry_count;
	/* SNAPSHOT: membership at log_index. */
	const struct rlog_member *members;
	size_t member_count;
};

enum rlog_event_kind {
	RLOG_EV_TICK, /* the time has advanced */
	RLOG_EV_MESSAGE,
	RLOG_EV_PROPOSE, /* append this entry if leader */
	RLOG_EV_READ, /* request to read the applied state */
	RLOG_EV_PERSISTED, /* records up to a number are durable */
	RLOG_EV_SNAPSHOT_TAKEN, /* reply to RLOG_ACT_TAKE_SNAPSHOT */
	/* An operator removes an instance's replica permanently. */
	RLOG_EV_REMOVE,
	RLOG_EV_HANDOVER, /* graceful shutdown: transfer leadership */
	RLOG_EV_DISK_LOST /* the journal failed: stop taking part */
};

struct rlog_event {
	enum rlog_event_kind kind;
	union {
		const struct rlog_msg *message;
		struct {
			/* Chosen by the caller and returned in the result. */
			uint64_t token;
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

enum rlog_member_change {
	RLOG_MEMBER_JOINED, /* added as a learner */
	RLOG_MEMBER_PROMOTED, /* learner to voter */
	RLOG_MEMBER_DEMOTED, /* silent voter to learner */
	RLOG_MEMBER_REPLACED, /* its instance has a newer identity */
	RLOG_MEMBER_EXPIRED /* learner that is silent for long */
};

enum rlog_action_kind {
	RLOG_ACT_PERSIST, /* append to the journal */
	RLOG_ACT_SEND,
	RLOG_ACT_APPLY, /* apply a committed entry */
	RLOG_ACT_RESTORE, /* replace the state by an image */
	/* RLOG_EV_READ is granted: the applied state is current. */
	RLOG_ACT_GRANT_READ,
	RLOG_ACT_REFUSE, /* a propose, read or remove failed */
	RLOG_ACT_REMOVED, /* RLOG_EV_REMOVE is committed */
	RLOG_ACT_LEADER, /* the known leader or its term changed */
	RLOG_ACT_MEMBERS, /* as leader, this replica changes the members */
	RLOG_ACT_TAKE_SNAPSHOT /* reply with an image of the applied state */
};

struct rlog_action {
	enum rlog_action_kind kind;
	union {
		struct {
			/* Record number; grows by one each time. */
			uint64_t number;
			uint16_t kind;
			const uint8_t *data;
			size_t len;
		} persist;
		struct {
			uint64_t instance;
			struct rlog_msg message;
		} send;
		struct {
			struct rlog_entry entry; /* RLOG_ENTRY_DATA only */
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
			 * ERR_NOT_LEADER, ERR_NO_QUORUM, ERR_TOO_LARGE: nothing
			 * was done.  ERR_TIMEOUT: the outcome is unknown here;
			 * the caller may retry under the same change id.
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
			enum rlog_member_change change;
			uint64_t instance; /* of the member concerned */
			int64_t silent_us; /* since it was last heard */
			size_t voters; /* their number after the change */
		} members;
		struct {
			uint64_t index;
		} take;
	} u;
};

/* The actions of one step; valid until the next step. */
struct rlog_actions {
	struct rlog_action *items;
	size_t count;
	size_t size;
};

struct rlog_status {
	enum rlog_role role;
	uint64_t id;
	uint64_t term;
	uint64_t first_index; /* first entry still in the log */
	uint64_t last_index;
	uint64_t last_term;
	uint64_t durable_index;
	uint64_t commit;
	uint64_t applied;
	uint64_t snapshot_index;
	uint64_t log_bytes;
	struct rlog_member members[RLOG_MEMBERS_MAX];
	size_t member_count;
	uint64_t members_index; /* index of the entry that set members */
};

struct rlog;

struct rlog *rlog_new(const struct rlog_options *options);
int rlog_replay(struct rlog *rlog, uint16_t kind, const void *data, size_t len);
void rlog_start(struct rlog *rlog, int64_t now_us);
void rlog_step(struct rlog *rlog, int64_t now_us,
    const struct rlog_event *event, struct rlog_actions *actions);
void rlog_image(const struct rlog *rlog_const, struct buf *out);
void rlog_free(struct rlog *rlog);
void rlog_actions_free(struct rlog *rlog, struct rlog_actions *actions);

bool rlog_is_leader(const struct rlog *rlog);
uint64_t rlog_term(const struct rlog *rlog);
const char *rlog_member_change_name(enum rlog_member_change change);
uint64_t rlog_leader_instance(const struct rlog *rlog);
void rlog_set_hello_targets(
    struct rlog *rlog, const uint64_t *instances, size_t count);
int64_t rlog_lease_until_us(const struct rlog *rlog);
int64_t rlog_next_tick_us(const struct rlog *rlog);
uint64_t rlog_replica_id(const struct rlog *rlog);
uint64_t rlog_durable_commit(const struct rlog *rlog);
void rlog_status(const struct rlog *rlog, struct rlog_status *status);

/* Wire encoding; release a decoded message with rlog_msg_release(). */
int rlog_msg_encode(const struct rlog_msg *msg, struct buf *out);
int rlog_msg_decode(const void *data, size_t len, struct rlog_msg *msg);
void rlog_msg_release(struct rlog_msg *msg);

#ifdef __cplusplus
}
#endif

#endif
