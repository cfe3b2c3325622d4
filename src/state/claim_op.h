#ifndef CF_CLAIM_OP_H
#define CF_CLAIM_OP_H

#include "base/rng.h"
#include "state/claim.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Internal to the claimant: claim_{client,op,resolve,vote}.c. */

enum {
	CLAIM_OP_BUCKETS = 1024
};

/* Progress of an op.  HELD and MARKED wait for the caller's next step. */
enum claim_op_state {
	CLAIM_OP_ACQUIRING,
	CLAIM_OP_HELD,
	CLAIM_OP_MARKING,
	CLAIM_OP_MARKED,
	CLAIM_OP_WRITING_OUTCOME,
	CLAIM_OP_RELEASING,
	CLAIM_OP_PREPARING, /* asks for promises to write a resolution */
	CLAIM_OP_RESOLVING,
	CLAIM_OP_READING
};

/* A replica's reply in the present exchange, or its last one before. */
struct claim_vote {
	bool arrived;
	int error;
	struct claim_entry entry;
};

struct claim_op {
	uint64_t id;
	/* Id of the present request, its low bits the slot; 0: none */
	uint64_t exchange;
	enum claim_op_state state;
	struct claim_key key;
	struct claim_ballot ballot;
	struct claim_resolution order;
	struct claim_entry best; /* newest accepted entry among the promises */
	enum claim_phase outcome; /* CLAIM_DONE or CLAIM_HALTED */
	int32_t status;
	uint8_t digest[CLAIM_DIGEST_BYTES];
	bool marker_sent;
	bool answered; /* the caller got its result; report no more */
	int64_t marked_us; /* when the caller last asked for a marker */
	int64_t deadline_us;
	int64_t due_us; /* next resend */
	uint32_t tries;
	struct claim_vote votes[CLAIM_REPLICAS_MAX];
	struct claim_op *next_id;
	struct claim_op *next_key;
};

struct claim_ended_life {
	uint32_t instance;
	uint64_t incarnation; /* the last that ended, as did all before */
};

struct claim_client {
	struct claim_client_options options;
	struct claim_replicas set;
	struct rng rng;
	uint64_t round; /* last one used or seen */
	uint64_t exchange; /* last one used */
	struct claim_op **ops; /* by slot, the low bits of an exchange id */
	uint32_t ops_size;
	uint32_t open;
	struct claim_op *by_id[CLAIM_OP_BUCKETS];
	struct claim_op *by_key[CLAIM_OP_BUCKETS];
	struct claim_ended_life *ended_lives;
	uint32_t ended_life_count;
};

/* claim_op.c */
struct claim_op *claim_op_new(
    struct claim_client *client, uint64_t id, const struct claim_key *key);
void claim_op_free(struct claim_client *client, struct claim_op *op);
struct claim_op *claim_op_find(const struct claim_client *client, uint64_t id);
struct claim_op *claim_op_find_key(
    const struct claim_client *client, const struct claim_key *key);
struct claim_op *claim_op_find_exchange(
    const struct claim_client *client, uint64_t exchange);
void claim_op_start_exchange(struct claim_client *client, struct claim_op *op,
    int64_t now_us, enum claim_op_state state);
void claim_op_schedule_exchange(struct claim_client *client,
    struct claim_op *op, int64_t now_us, enum claim_op_state state);
void claim_op_resend(
    struct claim_client *client, struct claim_op *op, int64_t now_us);
void claim_op_new_ballot(struct claim_client *client, struct claim_op *op);
int64_t claim_op_retry_delay_us(
    struct claim_client *client, const struct claim_op *op);
bool claim_op_owner_ended(
    const struct claim_client *client, const struct claim_ballot *ballot);
uint32_t claim_op_majority(const struct claim_client *client);
uint32_t claim_op_error_count(
    const struct claim_client *client, const struct claim_op *op, int error);
uint32_t claim_op_arrived_count(
    const struct claim_client *client, const struct claim_op *op);

/* claim_resolve.c */
void claim_resolve_count_promises(
    struct claim_client *client, struct claim_op *op, int64_t now_us);
void claim_resolve_count_accepts(
    struct claim_client *client, struct claim_op *op, int64_t now_us);

/* claim_vote.c */
void claim_vote_evaluate(
    struct claim_client *client, struct claim_op *op, int64_t now_us);

/* claim_client.c */
void claim_client_fail_and_release(struct claim_client *client,
    struct claim_op *op, int64_t now_us, enum claim_step step, int error,
    const struct claim_entry *entry);
void claim_client_report(struct claim_client *client, struct claim_op *op,
    enum claim_step step, int error, const struct claim_entry *entry);
void claim_client_end_op(struct claim_client *client, struct claim_op *op,
    enum claim_step step, int error, const struct claim_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
