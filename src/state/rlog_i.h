#ifndef CF_RLOG_I_H
#define CF_RLOG_I_H

/* Declarations shared by the files of the replicated log; see rlog.h. */

#include "base/rng.h"
#include "state/rlog.h"
#include "state/rlog_quorum.h"

enum {
	RLOG_ROUNDS_KEPT = 16, /* heartbeat rounds whose start time is kept */
	RLOG_BATCH_BYTES = 64 * 1024, /* limit of entry data in one message */
	RLOG_BATCH_ENTRIES = 256,
	/* Messages delayed until a record is durable. */
	RLOG_DELAYED_SENDS_MAX = 256,
	RLOG_HELLO_TTL_US = 3000000, /* a HELLO older than this is ignored */
	/* Wait for an entry that carries the commit index. */
	RLOG_COMMIT_RECORD_DELAY_US = 20000,
	/* Minimum interval of rounds started for reads. */
	RLOG_READ_ROUND_INTERVAL_US = 20000
};

/* One entry kept in memory. */
struct rlog_slot {
	uint64_t term;
	enum rlog_entry_kind kind;
	/* Token of the local caller that proposed it; 0: none. */
	uint64_t token;
	uint64_t number; /* number of its journal record */
	/* Bytes of the log up to and including this entry. */
	uint64_t end_bytes;
	uint8_t *data;
	size_t len;
};

struct rlog_config {
	struct rlog_member members[RLOG_MEMBERS_MAX];
	size_t count;
};

enum rlog_peer_state {
	/* One message at a time until the matching index is found. */
	RLOG_PEER_PROBE,
	RLOG_PEER_REPLICATE, /* entries are pipelined within the window */
	/* The log no longer has the entries the follower needs. */
	RLOG_PEER_SNAPSHOT
};

struct rlog_peer {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	uint64_t acked_round;
	int64_t heard_us;
	/* RLOG_PEER_SNAPSHOT: index of the snapshot being sent. */
	uint64_t snapshot_index;
	uint64_t snapshot_offset;
	/* Heartbeat round of the last step back in the snapshot. */
	uint64_t last_rewind_round;
	uint64_t sent_commit; /* highest commit index sent to this peer */
	enum rlog_peer_state state;
	uint64_t instance;
	/* Reported by rlog_quorum(); 0: none since this replica started. */
	int64_t message_us; /* last message of any kind */
	int64_t answered_us; /* last answer to a request for a vote */
	enum rlog_answer answer;
	bool probing; /* RLOG_PEER_PROBE: a message is in flight */
	bool granted; /* granted its vote or pre-vote in this election */
};

/* A message that is sent once a journal record is durable. */
struct rlog_delayed_send {
	uint64_t number;
	uint64_t instance;
	struct rlog_msg message; /* never has entries or a chunk */
};

struct rlog_read {
	uint64_t token;
	uint64_t index;
	int64_t until_us;
};

struct rlog_hello {
	uint64_t instance;
	uint64_t id; /* 0: none heard */
	int64_t heard_us;
	bool empty;
	bool joinable;
	/*
	 * This replica has seen the identity as a voter; never cleared for the
	 * same identity.  Only used with a fixed set of instances.
	 */
	bool was_voter;
};

struct rlog_snapshot {
	uint64_t index;
	uint64_t term;
	struct rlog_config config;
	struct buf data;
};

struct rlog {
	struct rlog_options options;
	const struct alloc *alloc;
	struct rng rng;
	int64_t now_us;
	int64_t last_step_us;
	struct rlog_actions *out;
	void **deferred_frees; /* blocks to free at the next step */
	size_t deferred_free_count;
	size_t deferred_free_size;

	/* Durable state, as it will be once all records are synced. */
	uint64_t id;
	uint64_t term;
	uint64_t voted_for;
	struct rlog_snapshot snapshot;
	uint64_t base_index; /* index before the first entry in the log */
	uint64_t base_term;
	struct rlog_config base_config;
	struct rlog_slot *slots;
	size_t slot_count;
	size_t slot_size;

	/* Progress reported by the journal. */
	uint64_t number; /* number of the last record emitted */
	uint64_t persisted;
	/* Number of the record of the current term and vote. */
	uint64_t vote_record;
	/* Number of the record of the last installed snapshot. */
	uint64_t snapshot_record;
	uint64_t durable; /* entries are durable up to this index */
	/*
	 * Number of the record with the commit index that is not durable yet;
	 * 0: none.
	 */
	uint64_t commit_record;
	uint64_t commit_pending;
	uint64_t commit_durable;
	/* When to record the commit index; 0: not scheduled. */
	int64_t commit_due_us;
	struct rlog_delayed_send delayed[RLOG_DELAYED_SENDS_MAX];
	size_t delayed_count;

	enum rlog_role role;
	uint64_t leader_instance;
	bool was_voter; /* recorded durably with the identity */
	bool started;
	bool restore_pending;
	/* The journal failed; the replica takes no further part. */
	bool disk_failed;
	bool leaving;
	bool transfer; /* the leader asked for this election */
	bool image_requested;
	uint64_t leader_id; /* 0: unknown */
	uint64_t reported_term;
	uint64_t reported_leader;
	enum rlog_role reported_role;
	uint64_t commit;
	uint64_t applied;
	/* Latest configuration in the log, committed or not. */
	struct rlog_config config;
	uint64_t config_index;

	/* Follower state. */
	int64_t election_us;
	/* No vote for another candidate before this time. */
	int64_t vote_promise_until_us;
	/* The log matches the leader's up to this index. */
	uint64_t verified_index;
	uint64_t newest_round;
	struct buf incoming; /* snapshot bytes received so far */
	uint64_t incoming_index;
	uint64_t incoming_term;
	int64_t leader_heard_us; /* last message of a leader, or the start */
	/* When to take over from a leader of an older build; 0: it is none. */
	int64_t takeover_us;
	int64_t takeover_asked_us; /* pre-votes for it were sent; 0: not yet */
	uint64_t takeover_from; /* identity of that leader */
	uint32_t takeovers; /* tried since a leader of this build was heard */
	int64_t led_us; /* last time that a leader was known, or the start */
	int64_t next_hello_us;
	struct rlog_hello hellos[RLOG_INSTANCES_MAX];
	size_t hello_count;
	uint64_t founders[RLOG_INSTANCES_MAX];
	size_t founder_count;
	/* Instances that receive HELLO messages. */
	uint64_t hello_targets[RLOG_INSTANCES_MAX];
	size_t hello_target_count;

	/* State of candidates and leaders. */
	struct rlog_peer peers[RLOG_MEMBERS_MAX];
	size_t peer_count;
	int64_t heartbeat_us;
	/* Elections started since a leader was last heard. */
	uint32_t campaigns;
	uint64_t round;
	/* Replies to earlier rounds don't extend the lease. */
	uint64_t min_round;
	int64_t round_us[RLOG_ROUNDS_KEPT];
	/* Start of the newest round that a quorum answered. */
	int64_t quorum_us;
	int64_t lease_until_us;
	/* Index of the first entry of the leader's term. */
	uint64_t term_start_index;
	struct rlog_read *reads;
	size_t read_count;
	size_t read_size;
	/* End of the leadership transfer; 0: none in progress. */
	int64_t handover_until_us;
	uint64_t remove_token;
	/* Index of the configuration without the removed member; 0: none. */
	uint64_t remove_index;
};

/* rlog.c */
struct rlog_action *rlog_add_action(
    struct rlog *rlog, enum rlog_action_kind kind);
void rlog_free_later(struct rlog *rlog, void *block);
void rlog_send(
    struct rlog *rlog, uint64_t instance, const struct rlog_msg *msg);
void rlog_send_when_durable(struct rlog *rlog, uint64_t number,
    uint64_t instance, const struct rlog_msg *msg);
struct rlog_msg rlog_new_msg(
    const struct rlog *rlog, enum rlog_msg_kind kind, uint64_t to_id);
void rlog_refuse(struct rlog *rlog, uint64_t token, int error);
void rlog_advance_durable(struct rlog *rlog);

/* rlog_log.c */
uint64_t rlog_last_index(const struct rlog *rlog);
uint64_t rlog_last_term(const struct rlog *rlog);
bool rlog_term_at(const struct rlog *rlog, uint64_t index, uint64_t *term);
struct rlog_slot *rlog_slot_at(struct rlog *rlog, uint64_t index);
uint64_t rlog_bytes_between(struct rlog *rlog, uint64_t after, uint64_t to);
struct rlog_slot *rlog_log_append(struct rlog *rlog, uint64_t term,
    enum rlog_entry_kind kind, const void *data, size_t len);
void rlog_log_truncate(struct rlog *rlog, uint64_t from);
void rlog_log_compact(struct rlog *rlog, uint64_t index);
void rlog_log_reset(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rlog_config *config);
struct rlog_entry rlog_entry_at(struct rlog *rlog, uint64_t index);

/* rlog_store.c */
void rlog_persist_identity(struct rlog *rlog);
void rlog_persist_vote(struct rlog *rlog);
void rlog_persist_entry(struct rlog *rlog, uint64_t index);
void rlog_persist_snapshot(struct rlog *rlog);
void rlog_persist_commit(struct rlog *rlog);
void rlog_config_encode(const struct rlog_config *config, struct buf *out);
int rlog_config_decode(
    const void *data, size_t len, struct rlog_config *config);

/* rlog_elect.c */
void rlog_become_follower(struct rlog *rlog, uint64_t term, uint64_t leader_id,
    uint64_t leader_instance);
void rlog_campaign(struct rlog *rlog, bool transfer);
void rlog_count_votes(struct rlog *rlog);
void rlog_request_votes(
    struct rlog *rlog, enum rlog_msg_kind kind, uint64_t term, uint64_t number);
int64_t rlog_election_due_us(const struct rlog *rlog);
void rlog_election_tick(struct rlog *rlog);
void rlog_reset_election_timer(struct rlog *rlog);
void rlog_on_prevote(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_prevote_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_vote(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_vote_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_timeout_now(struct rlog *rlog, const struct rlog_msg *msg);

/* rlog_lead.c */
void rlog_become_leader(struct rlog *rlog);
void rlog_leader_tick(struct rlog *rlog);
void rlog_start_round(struct rlog *rlog);
void rlog_replicate(struct rlog *rlog);
void rlog_advance_commit(struct rlog *rlog);
void rlog_renew_lease(struct rlog *rlog);
void rlog_on_append_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_snapshot_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_transfer_leadership(struct rlog *rlog);

/* rlog_follow.c */
void rlog_on_append(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_snapshot(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_ack_durable(struct rlog *rlog);
void rlog_install_snapshot(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rlog_config *config, const void *data, size_t len);

/* rlog_member.c */
void rlog_config_reload(struct rlog *rlog);
bool rlog_is_voter(const struct rlog *rlog, uint64_t id);
size_t rlog_voter_count(const struct rlog *rlog);
struct rlog_peer *rlog_find_peer(struct rlog *rlog, uint64_t id);
bool rlog_is_member(const struct rlog *rlog, uint64_t id);
bool rlog_has_open_membership(const struct rlog *rlog);
void rlog_append_config(struct rlog *rlog, const struct rlog_config *config);
void rlog_hello_tick(struct rlog *rlog);
void rlog_on_hello(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_on_remove(struct rlog *rlog, uint64_t instance, uint64_t token);
void rlog_member_committed(struct rlog *rlog);
bool rlog_is_empty(const struct rlog *rlog);
void rlog_set_founders(struct rlog *rlog);

/* rlog_voters.c */
int64_t rlog_silence_limit_us(const struct rlog *rlog);
bool rlog_may_change_members(const struct rlog *rlog);
void rlog_remove_member_at(struct rlog_config *config, size_t i);
bool rlog_replaces_voters(const struct rlog *rlog);
void rlog_voters_tick(struct rlog *rlog);

/* rlog_takeover.c */
void rlog_takeover_note(struct rlog *rlog, const struct rlog_msg *msg);
void rlog_takeover_tick(struct rlog *rlog);

/* rlog_client.c */
void rlog_on_propose(
    struct rlog *rlog, uint64_t token, const void *data, size_t len);
void rlog_on_read(struct rlog *rlog, uint64_t token);
void rlog_grant_reads(struct rlog *rlog);
void rlog_refuse_reads(struct rlog *rlog, int error);
void rlog_apply(struct rlog *rlog);
void rlog_on_snapshot_taken(
    struct rlog *rlog, uint64_t index, const void *data, size_t len);
void rlog_request_image(struct rlog *rlog);

#endif
