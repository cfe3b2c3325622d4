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

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The state child of an instance with a data folder: one journal under the
 * replicated log, the configuration store, the claims and the bills.
 *
 *	child_state.c	start, replay, stop; the journal and its snapshots
 *	state_log.c	the replicated log's actions
 *	state_config.c	the configuration store and operators' changes
 *	state_read.c	what operators read
 *	state_claims.c	claims kept for the claimants of all instances
 *	state_bills.c	bills, their seals and the export
 */

/* Who hears that a journal record is durable. */
enum state_owner {
	OWNER_LOG,
	OWNER_CLAIMS,
	OWNER_BILLS,
	OWNER_CONFIG
};

/* First byte of a replicated log entry's data. */
enum state_entry {
	ENTRY_CHANGE = 'C',
	ENTRY_SEAL = 'S'
};

struct state_waiting {
	uint64_t seq; /* of the journal */
	enum state_owner owner;
	uint64_t number; /* of the owner */
};

struct state_queued {
	struct rlog_event event;
	struct buf data; /* what the event points to */
	struct state_queued *next;
};

/* One operator's request that waits for the log. */
struct state_request {
	uint32_t from; /* instance that asked */
	uint64_t id; /* of that instance */
	uint32_t kind;
	char team[CFGSTORE_NAME_BYTES];
	char author[CFGSTORE_NAME_BYTES];
	struct buf body;
	uint64_t token; /* 0: not proposed yet */
	struct state_request *next;
};

struct state {
	struct node *node;
	struct jnl *jnl;
	struct loop_watch *watch;
	struct loop_timer *tick;
	struct state_waiting *waiting; /* a ring, oldest first */
	size_t waiting_first;
	size_t waiting_count;
	size_t waiting_size;

	struct rlog *rlog;
	struct rlog_actions actions;
	struct loop_timer *wake;
	struct state_queued *queued; /* events that arose inside a step */
	bool stepping;
	bool lost; /* the journal failed */
	uint64_t next_token;

	struct cfgstore *cfgstore;
	struct cfgsync_source *source;
	struct state_request *requests; /* oldest first */

	struct claim_store *claims;
	struct claim_replicas set; /* as the configuration names it */

	struct bill_store *bills;
	uint64_t bills_life;
	FILE *archive;
	uint64_t archived; /* lines in it */
	int64_t next_seal_us;
	int64_t next_export_us; /* a replica that is behind asks again */
	uint64_t seal_token;
};

/* child_state.c */
uint64_t state_append(struct state *state, uint16_t kind, const void *data,
    size_t len, enum state_owner owner, uint64_t number);

/* state_log.c */
int state_log_new(struct state *state);
void state_log_start(struct state *state);
void state_log_step(struct state *state, const struct rlog_event *event);
void state_log_message(struct state *state, const uint8_t *data, uint32_t len);
uint64_t state_log_propose(
    struct state *state, enum state_entry kind, const struct buf *data);

/* state_config.c */
void state_config_new(struct state *state);
void state_config_free(struct state *state);
void state_config_apply(struct state *state, uint64_t index, const void *data,
    size_t len, uint64_t token);
int state_config_restore(struct state *state, const void *data, size_t len);
void state_config_refused(struct state *state, uint64_t token, int error);
void state_config_leader(struct state *state, bool is_leader);
void state_config_tick(struct state *state);
void state_operator(struct state *state, uint32_t from, uint64_t id,
    uint32_t kind, const char *team, const char *author, const void *body,
    size_t len);

void state_reply(struct state *state, struct state_request *request, int error,
    json_t *body);
void state_drop_request(struct state *state, struct state_request *request);

/* state_read.c */
void state_read(struct state *state, struct state_request *request);

/* state_claims.c */
void state_claims_members(struct state *state);
void state_claims_set(struct state *state, const struct claim_replicas *set);
int state_claims_replay(
    struct state *state, const void *data, size_t len, bool image);
void state_claims_message(
    struct state *state, uint32_t from, const struct claim_msg *msg);
void state_claims_tick(struct state *state);

/* state_bills.c */
int state_bills_new(struct state *state);
void state_bills_free(struct state *state);
void state_bills_seal(struct state *state, const void *data, size_t len);
void state_bills_message(
    struct state *state, uint32_t from, const struct bill_msg *msg);
void state_bills_tick(struct state *state);
void state_bills_export_message(
    struct state *state, uint32_t from, const uint8_t *data, uint32_t len);
void state_bills_export(struct state *state, uint64_t after, struct buf *out);
void state_bills_unsettled(struct state *state, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
