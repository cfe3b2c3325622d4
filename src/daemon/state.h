#ifndef CF_STATE_H
#define CF_STATE_H

#include <jansson.h>
#include <stdio.h>

#include "daemon/node.h"
#include "state/bill.h"
#include "state/cfgstore.h"
#include "state/cfgsync.h"
#include "state/claim.h"
#include "state/journal.h"
#include "state/rlog.h"
#include "state/rlog_quorum.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The state child of an instance with a data folder.  The replicated log, the
 * claims, the bills and the copy of the configuration share one journal; the
 * configuration store is rebuilt from the log.
 *
 * An error of the folder ends all of it.  What the folder holds is then unknown
 * until it has been read again, so the modules answer nothing more.  A second
 * later, and again until it succeeds, they are made anew from the folder, as
 * after a restart.  Meanwhile the instance serves as one without a replica.
 *
 *	child_state.c	start, replay and stop; the journal and its snapshots
 *	state_log.c	events and actions of the replicated log
 *	state_config.c	the configuration store and operators' changes
 *	state_read.c	operators' requests that only read
 *	state_claims.c	the claims that all instances make
 *	state_bills.c	the bills, their seals and the export file
 */

/* The module that is notified when a journal record is durable. */
enum state_owner {
	OWNER_LOG,
	OWNER_CLAIMS,
	OWNER_BILLS,
	OWNER_CONFIG
};

/* Type of a replicated log entry: the first byte of its data. */
enum state_entry_type {
	ENTRY_CHANGE = 'C',
	ENTRY_SEAL = 'S'
};

/* A journal record that is not durable yet. */
struct state_waiting_record {
	uint64_t seq; /* sequence number in the journal */
	enum state_owner owner;
	uint64_t number; /* the number by which the owner knows the record */
};

/* An event of the replicated log that waits for the current step to end. */
struct state_queued_event {
	struct rlog_event event;
	struct buf data; /* copy of the data that the event points to */
	struct state_queued_event *next;
};

/* An operator's request that the leader has not answered yet. */
struct state_request {
	uint32_t from; /* number of the asking instance; 0: the leader itself */
	uint64_t id; /* assigned by the asking instance */
	uint32_t kind; /* enum operator_kind */
	char team[CFGSTORE_NAME_BYTES];
	char author[CFGSTORE_NAME_BYTES];
	struct buf body;
	uint64_t token; /* of its proposal to the log; 0: not proposed yet */
	struct state_request *next;
};

struct state {
	struct node *node;
	struct jnl *jnl;
	struct loop_watch *watch;
	struct loop_timer *tick;
	struct state_waiting_record *waiting; /* ring buffer, oldest first */
	size_t waiting_first; /* index of the oldest */
	size_t waiting_count;
	size_t waiting_size; /* slots allocated */

	struct rlog *rlog;
	struct rlog_actions actions;
	struct loop_timer *wake;
	/* Events raised during a step, oldest first. */
	struct state_queued_event *queued;
	bool stepping; /* a step of the log is in progress */
	bool journal_failed; /* the folder has failed and is not used */
	uint64_t snapshot_failures; /* of this journal, those logged */
	uint64_t last_token; /* newest token of a proposal */
	struct rlog_watch leader_watch;

	struct cfgstore *cfgstore;
	struct cfgsync_source *source;
	struct state_request *requests; /* oldest first */

	struct claim_store *claims;
	/* From the configuration; epoch 0: not known yet. */
	struct claim_replicas set;

	struct bill_store *bills;
	FILE *export_file;
	uint64_t export_line_count; /* whole lines in export_file */
	int64_t next_seal_us; /* when the leader proposes a seal again */
	int64_t next_export_us; /* when missing lines are asked for again */
	uint64_t seal_token; /* of the proposed seal; 0: none in progress */
};

/* child_state.c */
uint64_t state_append_record(struct state *state, uint16_t kind,
    const void *data, size_t len, enum state_owner owner, uint64_t number);
void state_folder_failed(struct state *state, const char *what);

/* state_log.c */
int state_log_new(struct state *state);
void state_log_start(struct state *state);
void state_log_step(struct state *state, const struct rlog_event *event);
void state_log_receive(struct state *state, const uint8_t *data, uint32_t len);
void state_log_tick(struct state *state);
void state_log_update_metrics(const struct node *node);
uint64_t state_log_propose(
    struct state *state, enum state_entry_type kind, const struct buf *data);

/* state_config.c */
void state_config_new(struct state *state);
void state_config_free(struct state *state);
void state_config_apply(struct state *state, uint64_t index, const void *data,
    size_t len, uint64_t token);
int state_config_restore(struct state *state, const void *data, size_t len);
void state_config_end_proposal(struct state *state, uint64_t token, int error);
void state_config_on_leader_change(struct state *state, bool is_leader);
void state_config_tick(struct state *state);
void state_receive_request(struct state *state, uint32_t from, uint64_t id,
    uint32_t kind, const char *team, const char *author, const void *body,
    size_t len);

void state_reply(struct state *state, struct state_request *request, int error,
    json_t *body);
void state_drop_request(struct state *state, struct state_request *request);

/* state_read.c */
void state_answer_read(struct state *state, struct state_request *request);

/* state_claims.c */
void state_claims_open_if_member(struct state *state);
void state_claims_set_replicas(
    struct state *state, const struct claim_replicas *set);
int state_claims_replay(
    struct state *state, const void *data, size_t len, bool image);
void state_claims_receive(
    struct state *state, uint32_t from, const struct claim_msg *msg);
void state_claims_tick(struct state *state);

/* state_bills.c */
int state_bills_new(struct state *state);
void state_bills_free(struct state *state);
void state_bills_apply_seal(struct state *state, const void *data, size_t len);
void state_bills_receive(
    struct state *state, uint32_t from, const struct bill_msg *msg);
void state_bills_tick(struct state *state);
void state_bills_receive_export(
    struct state *state, uint32_t from, const uint8_t *data, uint32_t len);
void state_bills_append_export(
    struct state *state, uint64_t after, struct buf *out);
void state_bills_append_unsettled(struct state *state, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
