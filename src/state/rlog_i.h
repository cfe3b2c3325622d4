#ifndef CF_RLOG_I_H
#define CF_RLOG_I_H

/* What the files of the replicated log share; see rlog.h for the module. */

#include "base/rng.h"
#include "state/rlog.h"

enum {
	RL_ROUNDS = 16, /* heartbeat rounds whose start is remembered */
	RL_BATCH_BYTES = 64 * 1024, /* entries in one message */
	RL_BATCH_ENTRIES = 256,
	RL_HELD_MAX = 256, /* messages that wait for the disk */
	RL_HELLO_FRESH_US = 3000000, /* age of a HELLO that still counts */
	RL_COMMIT_WAIT_US = 20000, /* for an entry to carry the commit index */
	RL_READ_ROUND_US = 20000 /* rounds for reads come no faster */
};

/* One entry kept in memory. */
struct rl_slot {
	uint64_t term;
	enum rl_entry_kind kind;
	uint64_t token; /* of the caller that proposed it here */
	uint64_t number; /* of its journal record */
	uint64_t end_bytes; /* running sum over the log, this one included */
	uint8_t *data;
	size_t len;
};

struct rl_config {
	struct rlog_member members[RL_MEMBERS_MAX];
	size_t count;
};

enum rl_peer_state {
	RL_PROBE, /* one message at a time until the logs are matched */
	RL_REPLICATE, /* entries are sent ahead within the window */
	RL_SNAPSHOT /* the follower needs what the log no longer has */
};

struct rl_peer {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	uint64_t acked_round;
	int64_t heard_us;
	uint64_t snapshot_index; /* RL_SNAPSHOT: which one is sent */
	uint64_t snapshot_offset;
	uint64_t rewound_round; /* when it last went back */
	uint64_t told_commit; /* highest commit index sent to it */
	enum rl_peer_state state;
	uint64_t instance;
	bool probing; /* RL_PROBE: a message is under way */
	bool granted; /* of this vote or pre-vote */
};

/* A message that waits for a journal record to be durable. */
struct rl_held {
	uint64_t number;
	uint64_t instance;
	struct rlog_msg message; /* without entries or chunk */
};

struct rl_read {
	uint64_t token;
	uint64_t index;
	int64_t until_us;
};

struct rl_hello {
	uint64_t instance;
	uint64_t id; /* 0: none heard */
	int64_t heard_us;
	bool empty;
	bool joinable;
	bool was_voter; /* seen as a voter here; sticks to the identity */
};

struct rl_snapshot {
	uint64_t index;
	uint64_t term;
	struct rl_config config;
	struct buf data;
};

struct rlog {
	struct rlog_options options;
	const struct alloc *alloc;
	struct rng rng;
	int64_t now_us;
	int64_t last_step_us;
	struct rlog_actions *out;
	void **garbage; /* freed at the next step */
	size_t garbage_count;
	size_t garbage_size;

	/* durable state, as it will be once all records are synced */
	uint64_t id;
	uint64_t term;
	uint64_t voted_for;
	struct rl_snapshot snapshot;
	uint64_t base_index; /* the entry before the first one kept */
	uint64_t base_term;
	struct rl_config base_config;
	struct rl_slot *slots;
	size_t slot_count;
	size_t slot_size;

	/* what the journal has reported */
	uint64_t number; /* last record asked for */
	uint64_t persisted;
	uint64_t vote_number; /* record of the current term and vote */
	uint64_t snapshot_number; /* record of the snapshot taken in */
	uint64_t durable; /* entries up to this index */
	uint64_t commit_number; /* outstanding RL_REC_COMMIT; 0: none */
	uint64_t commit_pending;
	uint64_t commit_durable;
	int64_t commit_due_us; /* 0: no record due */
	struct rl_held held[RL_HELD_MAX];
	size_t held_count;

	enum rl_role role;
	uint64_t leader_instance;
	bool was_voter; /* durable */
	bool started;
	bool restore_due;
	bool dead; /* the journal failed */
	bool leaving;
	bool transfer; /* this candidacy was asked for by the leader */
	bool snapshot_asked;
	uint64_t leader_id; /* 0: unknown */
	uint64_t told_term;
	uint64_t told_leader;
	enum rl_role told_role;
	uint64_t commit;
	uint64_t applied;
	struct rl_config config; /* the latest in the log */
	uint64_t config_index;

	/* followers */
	int64_t election_us;
	int64_t promise_us; /* no vote for others before this */
	uint64_t verified; /* the leader's log and this one agree */
	uint64_t seen_round;
	struct buf incoming; /* snapshot chunks */
	uint64_t incoming_index;
	uint64_t incoming_term;
	int64_t hello_us;
	struct rl_hello hellos[RLOG_INSTANCES_MAX];
	size_t hello_count;
	uint64_t founders[RLOG_INSTANCES_MAX];
	size_t founder_count;
	uint64_t known[RLOG_INSTANCES_MAX]; /* introductions go to these */
	size_t known_count;

	/* candidates and leaders */
	struct rl_peer peers[RL_MEMBERS_MAX];
	size_t peer_count;
	int64_t heartbeat_us;
	uint32_t campaigns; /* since a leader was last heard */
	uint64_t round;
	uint64_t min_round; /* earlier rounds grant no lease */
	int64_t round_us[RL_ROUNDS];
	int64_t quorum_us; /* a quorum answered a round begun then */
	int64_t lease_until_us;
	uint64_t term_start; /* index of the term's first entry */
	struct rl_read *reads;
	size_t read_count;
	size_t read_size;
	int64_t handover_until_us; /* 0: none under way */
	uint64_t remove_token;
	uint64_t remove_index; /* configuration that does it; 0: none */
};

/* rlog.c */
struct rlog_action *rl_emit(struct rlog *rlog, enum rl_action_kind kind);
void rl_discard(struct rlog *rlog, void *block);
void rl_send(struct rlog *rlog, uint64_t instance, const struct rlog_msg *msg);
void rl_send_after(struct rlog *rlog, uint64_t number, uint64_t instance,
    const struct rlog_msg *msg);
struct rlog_msg rl_msg_to(
    const struct rlog *rlog, enum rl_msg_kind kind, uint64_t to_id);
void rl_refuse(struct rlog *rlog, uint64_t token, int error);
void rl_advance_durable(struct rlog *rlog);

/* rlog_log.c */
uint64_t rl_last_index(const struct rlog *rlog);
uint64_t rl_last_term(const struct rlog *rlog);
bool rl_term_at(const struct rlog *rlog, uint64_t index, uint64_t *term);
struct rl_slot *rl_slot_at(struct rlog *rlog, uint64_t index);
uint64_t rl_bytes_between(struct rlog *rlog, uint64_t after, uint64_t to);
struct rl_slot *rl_log_add(struct rlog *rlog, uint64_t term,
    enum rl_entry_kind kind, const void *data, size_t len);
void rl_log_truncate(struct rlog *rlog, uint64_t from);
void rl_log_cut(struct rlog *rlog, uint64_t index);
void rl_log_reset(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rl_config *config);
struct rlog_entry rl_entry_at(struct rlog *rlog, uint64_t index);

/* rlog_store.c */
void rl_persist_identity(struct rlog *rlog);
void rl_persist_vote(struct rlog *rlog);
void rl_persist_entry(struct rlog *rlog, uint64_t index);
void rl_persist_snapshot(struct rlog *rlog);
void rl_persist_commit(struct rlog *rlog);
void rl_config_encode(const struct rl_config *config, struct buf *out);
int rl_config_decode(const void *data, size_t len, struct rl_config *config);

/* rlog_elect.c */
void rl_become_follower(struct rlog *rlog, uint64_t term, uint64_t leader_id,
    uint64_t leader_instance);
void rl_campaign(struct rlog *rlog, bool transfer);
void rl_count_votes(struct rlog *rlog);
int64_t rl_election_due_us(const struct rlog *rlog);
void rl_elect_tick(struct rlog *rlog);
void rl_rest_election(struct rlog *rlog);
void rl_on_prevote(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_prevote_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_vote(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_vote_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_timeout_now(struct rlog *rlog, const struct rlog_msg *msg);

/* rlog_lead.c */
void rl_become_leader(struct rlog *rlog);
void rl_lead_tick(struct rlog *rlog);
void rl_start_round(struct rlog *rlog);
void rl_replicate(struct rlog *rlog);
void rl_advance_commit(struct rlog *rlog);
void rl_renew_lease(struct rlog *rlog);
void rl_on_append_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_snapshot_reply(struct rlog *rlog, const struct rlog_msg *msg);
void rl_handover(struct rlog *rlog);

/* rlog_follow.c */
void rl_on_append(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_snapshot(struct rlog *rlog, const struct rlog_msg *msg);
void rl_reply_durable(struct rlog *rlog);
void rl_install(struct rlog *rlog, uint64_t index, uint64_t term,
    const struct rl_config *config, const void *data, size_t len);

/* rlog_member.c */
void rl_config_refresh(struct rlog *rlog);
bool rl_is_voter(const struct rlog *rlog, uint64_t id);
size_t rl_voter_count(const struct rlog *rlog);
struct rl_peer *rl_peer_of(struct rlog *rlog, uint64_t id);
void rl_member_tick(struct rlog *rlog);
void rl_hello_tick(struct rlog *rlog);
void rl_on_hello(struct rlog *rlog, const struct rlog_msg *msg);
void rl_on_remove(struct rlog *rlog, uint64_t instance, uint64_t token);
void rl_member_committed(struct rlog *rlog);
bool rl_is_empty(const struct rlog *rlog);
void rl_set_founders(struct rlog *rlog);

/* rlog_client.c */
void rl_on_propose(
    struct rlog *rlog, uint64_t token, const void *data, size_t len);
void rl_on_read(struct rlog *rlog, uint64_t token);
void rl_grant_reads(struct rlog *rlog);
void rl_refuse_reads(struct rlog *rlog, int error);
void rl_apply(struct rlog *rlog);
void rl_on_snapshot_taken(
    struct rlog *rlog, uint64_t index, const void *data, size_t len);
void rl_ask_snapshot(struct rlog *rlog);

#endif
