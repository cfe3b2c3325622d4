#ifndef CF_RLOG_H
#define CF_RLOG_H

/*
 * The replicated log among the state replicas, as a state machine without I/O.
 *
 * The caller hands in one event and the monotonic time, and carries out the
 * actions that come back, in their order, before the next step:
 *
 *	rl = rl_new(&options);
 *	for each journal record of kind JN_KIND_RLOG + x:
 *		rl_replay(rl, kind, data, len);
 *	rl_start(rl, now_us);
 *	rl_step(rl, now_us, &event, &actions);
 *	for (i = 0; i < actions.count; i++)
 *		carry_out(&actions.items[i]);
 *
 * RL_ACT_PERSIST asks for a journal record; once the journal reports it
 * durable, RL_EV_PERSISTED carries its number back (the highest durable one is
 * enough).  Votes and acknowledgements wait for that.  RL_ACT_SEND goes to an
 * instance; links may lose, double, delay and reorder messages.  RL_ACT_APPLY
 * hands committed entries to the configuration store, each index once and in
 * order; RL_ACT_RESTORE replaces its content first.  What was applied up to
 * rlog_durable_commit() is applied again by a restart without peers: a revision
 * goes out to other instances once that covers its index.
 *
 * A replica is named by its identity, 64 random bits that live and die with
 * its data folder, and reached through its instance, a number that the caller
 * gives: from its settings, or made of the address that it is reached at.  A
 *replica that lost its disk comes back under a new identity: it joins as a
 *learner, without a vote; once it has caught up, the old identity of its
 *instance is removed and it becomes a voter.  The log is formed once, by the
 *lowest founder, when every founder says that its folder is new.
 *
 * The term is the fencing number of orders.  rl_lease_until_us() bounds
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
	RLOG_MEMBERS_MAX = 16,
	RL_INSTANCES_MAX = 64, /* one bit each in the instance mask */
	RL_NO_INSTANCE = 0xffff,
	RLOG_ENTRY_MAX_BYTES = 4 * 1024 * 1024
};

/* Journal record kinds. */
enum rlog_record_kind {
	RL_REC_IMAGE = JN_KIND_RLOG, /* in snapshots: the whole of rl_image() */
	RLOG_REC_IDENTITY = JN_KIND_RLOG + 1,
	RLOG_REC_VOTE = JN_KIND_RLOG + 2,
	RLOG_REC_ENTRY = JN_KIND_RLOG + 3, /* replaces this index and above */
	RLOG_REC_SNAPSHOT = JN_KIND_RLOG + 4,
	RLOG_REC_COMMIT = JN_KIND_RLOG + 5
};

struct rl_options {
	const struct alloc *alloc; /* NULL: the C library's */
	uint64_t seed; /* of the random election times */
	uint64_t fresh_id; /* identity to take if the folder has none */
	uint64_t instance; /* this instance's number */
	/*
	 * The instances that form the log: a mask of numbers below
	 * RL_INSTANCES_MAX, or a list of any numbers.  With neither, this
	 * replica never forms a log and only joins one that it is introduced
	 * to (rl_introduce()).
	 */
	uint64_t instances;
	const uint64_t *founders; /* copied; RLOG_MEMBERS_MAX at most */
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

enum rlog_role {
	RLOG_FOLLOWER,
	RLOG_PRECANDIDATE,
	RLOG_CANDIDATE,
	RL_LEADER
};

enum rlog_entry_kind {
	RLOG_ENTRY_DATA,
	RLOG_ENTRY_EMPTY, /* the first entry of a leader's term */
	RLOG_ENTRY_MEMBERS
};

struct rl_entry {
	uint64_t index;
	uint64_t term;
	enum rlog_entry_kind kind;
	const uint8_t *data;
	size_t len;
};

struct rl_member {
	uint64_t id;
	uint64_t instance;
	bool voter; /* false: a learner */
};

enum rlog_msg_kind {
	RLOG_MSG_HELLO = 1, /* who I am, and whether my folder is new */
	RLOG_MSG_PREVOTE,
	RLOG_MSG_PREVOTE_REPLY,
	RLOG_MSG_VOTE,
	RLOG_MSG_VOTE_REPLY,
	RLOG_MSG_APPEND, /* entries; none: a heartbeat */
	RLOG_MSG_APPEND_REPLY,
	RLOG_MSG_SNAPSHOT, /* one chunk */
	RLOG_MSG_SNAPSHOT_REPLY,
	RLOG_MSG_TIMEOUT_NOW /* leadership is handed over to the receiver */
};

struct rl_msg {
	enum rlog_msg_kind kind;
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
	const struct rl_entry *entries;
	size_t entry_count;
	const struct rl_member *members; /* SNAPSHOT: as of log_index */
	size_t member_count;
};

enum rlog_event_kind {
	RL_EV_TICK, /* time has passed */
	RL_EV_MESSAGE,
	RL_EV_PROPOSE, /* append this entry if leader */
	RLOG_EV_READ, /* may the caller read the applied state now? */
	RL_EV_PERSISTED, /* records up to a number are durable */
	RL_EV_SNAPSHOT_TAKEN, /* the answer to RL_ACT_TAKE_SNAPSHOT */
	RLOG_EV_REMOVE, /* operator: remove an instance's replica for good */
	RL_EV_HANDOVER, /* graceful leave: give leadership away */
	RL_EV_DISK_LOST /* the journal failed: fall silent for good */
};

struct rl_event {
	enum rlog_event_kind kind;
	union {
		const struct rl_msg *message;
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

enum rlog_action_kind {
	RL_ACT_PERSIST, /* append to the journal */
	RL_ACT_SEND,
	RL_ACT_APPLY, /* a committed entry */
	RL_ACT_RESTORE, /* replace the state by an image */
	RL_ACT_READ, /* RLOG_EV_READ is granted: the state is current */
	RL_ACT_REFUSE, /* a propose, read or remove that cannot be done */
	RL_ACT_DONE, /* RLOG_EV_REMOVE is in force */
	RL_ACT_LEADER, /* the known leader or its term changed */
	RL_ACT_TAKE_SNAPSHOT /* answer with an image of the applied state */
};

struct rl_action {
	enum rlog_action_kind kind;
	union {
		struct {
			uint64_t number; /* counts up by one */
			uint16_t kind;
			const uint8_t *data;
			size_t len;
		} persist;
		struct {
			uint64_t instance;
			struct rl_msg message;
		} send;
		struct {
			struct rl_entry entry; /* RLOG_ENTRY_DATA only */
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
			uint64_t leader; /* instance or RL_NO_INSTANCE */
		} refuse;
		struct {
			uint64_t token;
		} done;
		struct {
			uint64_t term;
			uint64_t instance; /* or RL_NO_INSTANCE */
			bool is_self;
		} leader;
		struct {
			uint64_t index;
		} take;
	} u;
};

/* What one step asks for; valid until the next step. */
struct rl_actions {
	struct rl_action *items;
	size_t count;
	size_t size;
};

struct rl_status {
	enum rlog_role role;
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
	struct rl_member members[RLOG_MEMBERS_MAX];
	size_t member_count;
	uint64_t members_index; /* log index of the entry that made members */
};

struct rl;

struct rl *rl_new(const struct rl_options *options);
int rl_replay(struct rl *rl, uint16_t kind, const void *data, size_t len);
void rl_start(struct rl *rl, int64_t now_us);
void rl_step(struct rl *rl, int64_t now_us, const struct rl_event *event,
    struct rl_actions *actions);
void rl_image(const struct rl *rl, struct buf *out);
void rl_free(struct rl *rl);
void rl_actions_free(struct rl *rl, struct rl_actions *actions);

bool rl_is_leader(const struct rl *rl);
uint64_t rl_term(const struct rl *rl);
uint64_t rl_leader(const struct rl *rl);
void rl_introduce(struct rl *rl, const uint64_t *instances, size_t count);
int64_t rl_lease_until_us(const struct rl *rl);
int64_t rl_wake_us(const struct rl *rl);
uint64_t rl_id(const struct rl *rl);
uint64_t rlog_durable_commit(const struct rl *rl);
void rl_status(const struct rl *rl, struct rl_status *status);

/* Messages on the wire; a decoded one is released by rl_msg_release(). */
int rl_msg_encode(const struct rl_msg *msg, struct buf *out);
int rl_msg_decode(const void *data, size_t len, struct rl_msg *msg);
void rl_msg_release(struct rl_msg *msg);

#ifdef __cplusplus
}
#endif

#endif
