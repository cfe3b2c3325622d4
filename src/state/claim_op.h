#ifndef CF_CLAIM_OP_H
#define CF_CLAIM_OP_H

#include "base/rng.h"
#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the files of the claimant only. */

enum {
	CL_OP_BUCKETS = 1024
};

/* What an op is doing; the held and marked states wait for the caller. */
enum cl_op_state {
	CL_OP_CLAIMING,
	CL_OP_HELD,
	CL_OP_MARKING,
	CL_OP_MARKED,
	CL_OP_FINISHING, /* outcome */
	CL_OP_RELEASING,
	CL_OP_PREPARING, /* a resolution's promise */
	CL_OP_RESOLVING,
	CL_OP_READING
};

/* The last answer of a replica in the present exchange. */
struct cl_vote {
	bool arrived;
	int error;
	struct cl_entry entry;
};

struct cl_op {
	uint64_t id;
	uint64_t exchange; /* names one question to the replicas; 0: none */
	enum cl_op_state state;
	struct cl_key key;
	struct cl_ballot ballot;
	struct cl_resolution order;
	struct cl_entry best; /* latest accepted of the promises */
	enum cl_phase outcome; /* CL_DONE or CL_HALTED */
	int32_t status;
	uint8_t digest[CL_DIGEST_BYTES];
	bool marker_sent;
	bool silent; /* the caller has its answer already */
	int64_t marked_us; /* when the last marker was asked for */
	int64_t deadline_us;
	int64_t due_us; /* next resend */
	uint32_t tries;
	struct cl_vote votes[CL_REPLICAS_MAX];
	struct cl_op *next_id;
	struct cl_op *next_key;
};

struct cl_gone {
	uint32_t instance;
	uint64_t incarnation; /* the last life that ended */
};

struct cl_client {
	struct cl_client_options options;
	struct cl_replicas set;
	struct rng rng;
	uint64_t round; /* last one used */
	uint64_t exchange; /* last one used */
	struct cl_op **ops; /* by slot, the low part of an exchange */
	uint32_t ops_size;
	uint32_t open;
	struct cl_op *by_id[CL_OP_BUCKETS];
	struct cl_op *by_key[CL_OP_BUCKETS];
	struct cl_gone *gone;
	uint32_t gone_count;
};

/* claim_op.c */
struct cl_op *cl_op_new(
    struct cl_client *client, uint64_t id, const struct cl_key *key);
void cl_op_free(struct cl_client *client, struct cl_op *op);
struct cl_op *cl_op_find(const struct cl_client *client, uint64_t id);
struct cl_op *cl_op_of_key(
    const struct cl_client *client, const struct cl_key *key);
struct cl_op *cl_op_of_exchange(
    const struct cl_client *client, uint64_t exchange);
void cl_op_ask(struct cl_client *client, struct cl_op *op, int64_t now_us,
    enum cl_op_state state);
void cl_op_ask_later(struct cl_client *client, struct cl_op *op, int64_t now_us,
    enum cl_op_state state);
void cl_op_resend(struct cl_client *client, struct cl_op *op, int64_t now_us);
void cl_op_new_ballot(struct cl_client *client, struct cl_op *op);
int64_t cl_op_jitter_us(struct cl_client *client, const struct cl_op *op);
bool cl_op_is_gone(
    const struct cl_client *client, const struct cl_ballot *ballot);
uint32_t cl_op_majority(const struct cl_client *client);
uint32_t cl_op_count(
    const struct cl_client *client, const struct cl_op *op, int error);
uint32_t cl_op_arrived(const struct cl_client *client, const struct cl_op *op);

/* claim_resolve.c */
void cl_resolve_prepared(
    struct cl_client *client, struct cl_op *op, int64_t now_us);
void cl_resolve_written(
    struct cl_client *client, struct cl_op *op, int64_t now_us);

/* claim_vote.c */
void cl_vote_count(struct cl_client *client, struct cl_op *op, int64_t now_us);

/* claim_client.c */
void cl_client_give_up(struct cl_client *client, struct cl_op *op,
    int64_t now_us, enum cl_step step, int error, const struct cl_entry *entry);
void cl_client_answer(struct cl_client *client, struct cl_op *op,
    enum cl_step step, int error, const struct cl_entry *entry);
void cl_client_end(struct cl_client *client, struct cl_op *op,
    enum cl_step step, int error, const struct cl_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
