#ifndef CF_RLOG_I_H
#define CF_RLOG_I_H

/* What the files of the replicated log share; see rlog.h for the module. */

#include "base/rng.h"
#include "state/rlog.h"

enum {
	RLOG_ROUNDS_KEPT = 16, /* heartbeat rounds whose start is remembered */
	RLOG_BATCH_BYTES = 64 * 1024, /* entries in one message */
	RLOG_BATCH_ENTRIES = 256,
	RLOG_DELAYED_SENDS_MAX = 256, /* messages that wait for the disk */
	RLOG_HELLO_TTL_US = 3000000, /* age of a HELLO that still counts */
	RLOG_COMMIT_RECORD_DELAY_US =
	    20000, /* for an entry to carry the commit index */
	RLOG_READ_ROUND_INTERVAL_US =
	    20000 /* rounds for reads come no faster */
};

/* One entry kept in memory. */
struct rlog_slot {
	uint64_t term;
	enum rlog_entry_kind kind;
	uint64_t token; /* of the caller that proposed it here */
	uint64_t number; /* of its journal record */
	uint64_t end_bytes; /* running sum over the log, this one included */
	uint8_t *data;
	size_t len;
};

struct rlog_config {
	struct rl_member members[RLOG_MEMBERS_MAX];
	size_t count;
};

enum rlog_peer_state {
	RLOG_PEER_PROBE, /* one message at a time until the logs are matched */
	RLOG_PEER_REPLICATE, /* entries are sent ahead within the window */
	RLOG_PEER_SNAPSHOT /* the follower needs what the log no longer has */
};

struct rlog_peer {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	uint64_t acked_round;
	int64_t heard_us;
	uint64_t snapshot_index; /* RLOG_PEER_SNAPSHOT: which one is sent */
	uint64_t snapshot_offset;
	uint64_t last_rewind_round; /* when it last went back */
	uint64_t sent_commit; /* highest commit index sent to it */
	enum rlog_peer_state state;
	uint64_t instance;
	bool probing; /* RLOG_PEER_PROBE: a message is under way */
	bool granted; /* of this vote or pre-vote */
};

/* A message that waits for a journal record to be durable. */
struct rlog_delayed_send {
	uint64_t number;
	uint64_t instance;
	struct rl_msg message; /* without entries or chunk */
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
	bool was_voter; /* seen as a voter here; sticks to the identity */
};

struct rlog_snapshot {
	uint64_t index;
	uint64_t term;
	struct rlog_config config;
	struct buf data;
};

struct rl {
	struct rl_options options;
	const struct alloc *alloc;
	struct rng rng;
	int64_t now_us;
	int64_t last_step_us;
	struct rl_actions *out;
	void **deferred_frees; /* freed at the next step */
	size_t deferred_free_count;
	size_t deferred_free_size;

	/* durable state, as it will be once all records are synced */
	uint64_t id;
	uint64_t term;
	uint64_t voted_for;
	struct rlog_snapshot snapshot;
	uint64_t base_index; /* the entry before the first one kept */
	uint64_t base_term;
	struct rlog_config base_config;
	struct rlog_slot *slots;
	size_t slot_count;
	size_t slot_size;

	/* what the journal has reported */
	uint64_t number; /* last record asked for */
	uint64_t persisted;
	uint64_t vote_record; /* record of the current term and vote */
	uint64_t snapshot_record; /* record of the snapshot taken in */
	uint64_t durable; /* entries up to this index */
	uint64_t commit_record; /* outstanding RLOG_REC_COMMIT; 0: none */
	uint64_t commit_pending;
	uint64_t commit_durable;
	int64_t commit_due_us; /* 0: no record due */
	struct rlog_delayed_send held[RLOG_DELAYED_SENDS_MAX];
	size_t delayed_count;

	enum rlog_role role;
	uint64_t leader_instance;
	bool was_voter; /* durable */
	bool started;
	bool restore_pending;
	bool dead; /* the journal failed */
	bool leaving;
	bool transfer; /* this candidacy was asked for by the leader */
	bool image_requested;
	uint64_t leader_id; /* 0: unknown */
	uint64_t reported_term;
	uint64_t reported_leader;
	enum rlog_role reported_role;
	uint64_t commit;
	uint64_t applied;
	struct rlog_config config; /* the latest in the log */
	uint64_t config_index;

	/* followers */
	int64_t election_us;
	int64_t vote_promise_until_us; /* no vote for others before this */
	uint64_t verified; /* the leader's log and this one agree */
	uint64_t newest_round;
	struct buf incoming; /* snapshot chunks */
	uint64_t incoming_index;
	uint64_t incoming_term;
	int64_t next_hello_us;
	struct rlog_hello hellos[RL_INSTANCES_MAX];
	size_t hello_count;
	uint64_t founders[RL_INSTANCES_MAX];
	size_t founder_count;
	uint64_t known[RL_INSTANCES_MAX]; /* introductions go to these */
	size_t known_count;

	/* candidates and leaders */
	struct rlog_peer peers[RLOG_MEMBERS_MAX];
	size_t peer_count;
	int64_t heartbeat_us;
	uint32_t campaigns; /* since a leader was last heard */
	uint64_t round;
	uint64_t min_round; /* earlier rounds grant no lease */
	int64_t round_us[RLOG_ROUNDS_KEPT];
	int64_t quorum_us; /* a quorum answered a round begun then */
	int64_t lease_until_us;
	uint64_t term_start_index; /* index of the term's first entry */
	struct rlog_read *reads;
	size_t read_count;
	size_t read_size;
	int64_t handover_until_us; /* 0: none under way */
	uint64_t remove_token;
	uint64_t remove_index; /* configuration that does it; 0: none */
};

/* rlog.c */
struct rl_action *rlog_add_action(struct rl *rl, enum rlog_action_kind kind);
void rlog_free_later(struct rl *rl, void *block);
void rlog_send(struct rl *rl, uint64_t instance, const struct rl_msg *msg);
void rlog_send_when_durable(struct rl *rl, uint64_t number, uint64_t instance,
    const struct rl_msg *msg);
struct rl_msg rlog_new_msg(
    const struct rl *rl, enum rlog_msg_kind kind, uint64_t to_id);
void rlog_refuse(struct rl *rl, uint64_t token, int error);
void rlog_advance_durable(struct rl *rl);

/* rlog_log.c */
uint64_t rlog_last_index(const struct rl *rl);
uint64_t rlog_last_term(const struct rl *rl);
bool rlog_term_at(const struct rl *rl, uint64_t index, uint64_t *term);
struct rlog_slot *rlog_slot_at(struct rl *rl, uint64_t index);
uint64_t rlog_bytes_between(struct rl *rl, uint64_t after, uint64_t to);
struct rlog_slot *rlog_log_append(struct rl *rl, uint64_t term,
    enum rlog_entry_kind kind, const void *data, size_t len);
void rlog_log_truncate(struct rl *rl, uint64_t from);
void rlog_log_compact(struct rl *rl, uint64_t index);
void rlog_log_reset(struct rl *rl, uint64_t index, uint64_t term,
    const struct rlog_config *config);
struct rl_entry rlog_entry_at(struct rl *rl, uint64_t index);

/* rlog_store.c */
void rlog_persist_identity(struct rl *rl);
void rlog_persist_vote(struct rl *rl);
void rlog_persist_entry(struct rl *rl, uint64_t index);
void rlog_persist_snapshot(struct rl *rl);
void rlog_persist_commit(struct rl *rl);
void rlog_config_encode(const struct rlog_config *config, struct buf *out);
int rlog_config_decode(
    const void *data, size_t len, struct rlog_config *config);

/* rlog_elect.c */
void rlog_become_follower(
    struct rl *rl, uint64_t term, uint64_t leader_id, uint64_t leader_instance);
void rlog_campaign(struct rl *rl, bool transfer);
void rlog_count_votes(struct rl *rl);
int64_t rlog_election_due_us(const struct rl *rl);
void rlog_election_tick(struct rl *rl);
void rlog_reset_election_timer(struct rl *rl);
void rlog_on_prevote(struct rl *rl, const struct rl_msg *msg);
void rlog_on_prevote_reply(struct rl *rl, const struct rl_msg *msg);
void rlog_on_vote(struct rl *rl, const struct rl_msg *msg);
void rlog_on_vote_reply(struct rl *rl, const struct rl_msg *msg);
void rlog_on_timeout_now(struct rl *rl, const struct rl_msg *msg);

/* rlog_lead.c */
void rlog_become_leader(struct rl *rl);
void rlog_leader_tick(struct rl *rl);
void rlog_start_round(struct rl *rl);
void rlog_replicate(struct rl *rl);
void rlog_advance_commit(struct rl *rl);
void rlog_renew_lease(struct rl *rl);
void rlog_on_append_reply(struct rl *rl, const struct rl_msg *msg);
void rlog_on_snapshot_reply(struct rl *rl, const struct rl_msg *msg);
void rlog_transfer_leadership(struct rl *rl);

/* rlog_follow.c */
void rlog_on_append(struct rl *rl, const struct rl_msg *msg);
void rlog_on_snapshot(struct rl *rl, const struct rl_msg *msg);
void rlog_ack_durable(struct rl *rl);
void rlog_install_snapshot(struct rl *rl, uint64_t index, uint64_t term,
    const struct rlog_config *config, const void *data, size_t len);

/* rlog_member.c */
void rlog_config_reload(struct rl *rl);
bool rlog_is_voter(const struct rl *rl, uint64_t id);
size_t rlog_voter_count(const struct rl *rl);
struct rlog_peer *rlog_find_peer(struct rl *rl, uint64_t id);
void rlog_member_tick(struct rl *rl);
void rlog_hello_tick(struct rl *rl);
void rlog_on_hello(struct rl *rl, const struct rl_msg *msg);
void rlog_on_remove(struct rl *rl, uint64_t instance, uint64_t token);
void rlog_member_committed(struct rl *rl);
bool rlog_is_empty(const struct rl *rl);
void rlog_set_founders(struct rl *rl);

/* rlog_client.c */
void rlog_on_propose(
    struct rl *rl, uint64_t token, const void *data, size_t len);
void rlog_on_read(struct rl *rl, uint64_t token);
void rlog_grant_reads(struct rl *rl);
void rlog_refuse_reads(struct rl *rl, int error);
void rlog_apply(struct rl *rl);
void rlog_on_snapshot_taken(
    struct rl *rl, uint64_t index, const void *data, size_t len);
void rlog_request_image(struct rl *rl);

#endif
