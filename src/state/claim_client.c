#include "state/claim_op.h"

#include <string.h>

enum {
	OPS_DEFAULT_MAX = 4096,
	OPS_LIMIT = 65535,
	RESEND_DEFAULT_MS = 200,
	OUTCOME_RETRY_MS = 60000, /* how long an outcome is resent */
	RELEASE_RETRY_MS = 10000 /* how long a release is resent */
};

/* Creates the claimant of an instance. */
struct claim_client *
claim_client_new(const struct claim_client_options *options)
{
	const struct alloc *alloc;
	struct claim_client *client;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	client = alloc_zero(alloc, 1, sizeof(*client));
	client->options = *options;
	client->options.alloc = alloc;
	if (options->ops_max == 0)
		client->options.ops_max = OPS_DEFAULT_MAX;
	if (client->options.ops_max > OPS_LIMIT)
		client->options.ops_max = OPS_LIMIT;
	if (options->resend_ms == 0)
		client->options.resend_ms = RESEND_DEFAULT_MS;
	client->ops_size = client->options.ops_max;
	client->ops =
	    alloc_zero(alloc, client->ops_size, sizeof(struct claim_op *));
	rng_init(&client->rng, options->seed);
	return client;
}

void
claim_client_free(struct claim_client *client)
{
	const struct alloc *alloc;
	uint32_t i;

	if (client == NULL)
		return;
	alloc = client->options.alloc;
	for (i = 0; i < client->ops_size; i++)
		alloc_free(alloc, client->ops[i]);
	alloc_free(alloc, client->ops);
	alloc_free(alloc, client->ended_lives);
	alloc_free(alloc, client);
}

/* Reports the result of a step to the caller, unless the op was answered. */
void
claim_client_report(struct claim_client *client, struct claim_op *op,
    enum claim_step step, int error, const struct claim_entry *entry)
{
	struct claim_client_action action = {0};

	if (op->answered)
		return;
	action.kind = CLAIM_CLIENT_STEP_ENDED;
	action.op = op->id;
	action.step = step;
	action.error = error;
	action.entry.key = op->key;
	if (entry != NULL)
		action.entry = *entry;
	client->options.emit(client->options.ctx, &action);
}

/* Reports the result of a step to the caller and frees the op. */
void
claim_client_end_op(struct claim_client *client, struct claim_op *op,
    enum claim_step step, int error, const struct claim_entry *entry)
{
	claim_client_report(client, op, step, error, entry);
	claim_op_free(client, op);
}

/* Reports a failed step to the caller, then releases the claim. */
void
claim_client_fail_and_release(struct claim_client *client, struct claim_op *op,
    int64_t now_us, enum claim_step step, int error,
    const struct claim_entry *entry)
{
	claim_client_report(client, op, step, error, entry);
	op->answered = true;
	op->deadline_us = now_us + RELEASE_RETRY_MS * (int64_t)1000;
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_RELEASING);
}

static void
report_halted_list(
    struct claim_client *client, uint32_t from, const struct claim_msg *msg)
{
	struct claim_client_action action = {0};

	if (msg->op != CLAIM_MSG_LIST_HALTED)
		return;
	action.kind = CLAIM_CLIENT_HALTED_LIST;
	action.to = from;
	action.msg = msg;
	client->options.emit(client->options.ctx, &action);
}

/* Processes a message of a replica. */
void
claim_client_receive(struct claim_client *client, int64_t now_us, uint32_t from,
    const struct claim_msg *msg)
{
	struct claim_vote *vote;
	struct claim_op *op;
	uint32_t i;

	if (msg->epoch != client->set.epoch)
		return;
	if (msg->kind == CLAIM_MSG_ENTRIES)
		report_halted_list(client, from, msg);
	if (msg->kind != CLAIM_MSG_REPLY || msg->error == ERR_NO_QUORUM)
		return;
	op = claim_op_find_exchange(client, msg->op);
	if (op == NULL || claim_ballot_compare(&op->ballot, &msg->ballot) != 0)
		return;
	for (i = 0; i < client->set.count; i++)
		if (client->set.instances[i] == from)
			break;
	if (i == client->set.count)
		return;
	vote = &op->votes[i];
	vote->arrived = true;
	vote->error = msg->error;
	vote->entry = msg->entry;
	claim_vote_evaluate(client, op, now_us);
}

static void
handle_timeout(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	switch (op->state) {
	case CLAIM_OP_ACQUIRING:
		claim_client_fail_and_release(client, op, now_us,
		    CLAIM_STEP_ACQUIRE, ERR_NO_QUORUM, NULL);
		break;
	case CLAIM_OP_MARKING:
		claim_client_fail_and_release(
		    client, op, now_us, CLAIM_STEP_MARK, ERR_NO_QUORUM, NULL);
		break;
	case CLAIM_OP_WRITING_OUTCOME:
		claim_client_end_op(
		    client, op, CLAIM_STEP_DONE, ERR_NO_QUORUM, NULL);
		break;
	case CLAIM_OP_RELEASING:
		claim_client_end_op(
		    client, op, CLAIM_STEP_RELEASE, ERR_NO_QUORUM, NULL);
		break;
	case CLAIM_OP_PREPARING:
	case CLAIM_OP_RESOLVING:
		claim_client_end_op(
		    client, op, CLAIM_STEP_RESOLVE, ERR_NO_QUORUM, NULL);
		break;
	case CLAIM_OP_READING:
		claim_client_end_op(
		    client, op, CLAIM_STEP_READ, ERR_NO_QUORUM, NULL);
		break;
	default:
		break;
	}
}

static bool
waits_for_caller(const struct claim_op *op)
{
	return op->state == CLAIM_OP_HELD || op->state == CLAIM_OP_MARKED;
}

/* Resends unanswered requests and ends ops past their deadline. */
void
claim_client_tick(struct claim_client *client, int64_t now_us)
{
	struct claim_op *op;
	uint32_t i;

	if (client->open == 0)
		return;
	for (i = 0; i < client->ops_size; i++) {
		op = client->ops[i];
		if (op == NULL || waits_for_caller(op))
			continue;
		if (now_us >= op->deadline_us)
			handle_timeout(client, op, now_us);
		else if (now_us >= op->due_us)
			claim_op_resend(client, op, now_us);
	}
}

/*
 * Returns the time when claim_client_tick() has something to do next, INT64_MAX
 * if it has not.
 */
int64_t
claim_client_next_due_us(const struct claim_client *client)
{
	const struct claim_op *op;
	int64_t due_us;
	uint32_t i;

	due_us = INT64_MAX;
	if (client->open == 0)
		return due_us;
	for (i = 0; i < client->ops_size; i++) {
		op = client->ops[i];
		if (op == NULL || waits_for_caller(op))
			continue;
		if (op->due_us < due_us)
			due_us = op->due_us;
		if (op->deadline_us < due_us)
			due_us = op->deadline_us;
	}
	return due_us;
}

/*
 * Sets the replica set.  Open requests go to the new set with the next tick; an
 * epoch that is not newer is ignored.
 */
void
claim_client_set_replicas(
    struct claim_client *client, const struct claim_replicas *set)
{
	struct claim_op *op;
	uint32_t i;

	if (set->epoch <= client->set.epoch)
		return;
	client->set = *set;
	for (i = 0; i < client->ops_size; i++) {
		op = client->ops[i];
		if (op == NULL)
			continue;
		memset(op->votes, 0, sizeof(op->votes));
		op->due_us = 0;
	}
}

/* Records that an incarnation of an instance, and all before it, have ended. */
void
claim_client_set_life_ended(
    struct claim_client *client, uint32_t instance, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < client->ended_life_count; i++)
		if (client->ended_lives[i].instance == instance)
			break;
	if (i == client->ended_life_count) {
		client->ended_lives =
		    alloc_resize(client->options.alloc, client->ended_lives,
			(i + 1) * sizeof(*client->ended_lives));
		client->ended_lives[i].instance = instance;
		client->ended_lives[i].incarnation = 0;
		client->ended_life_count++;
	}
	if (incarnation > client->ended_lives[i].incarnation)
		client->ended_lives[i].incarnation = incarnation;
}

static void
report_error(struct claim_client *client, uint64_t op_id, enum claim_step step,
    int error)
{
	struct claim_client_action action = {0};

	action.kind = CLAIM_CLIENT_STEP_ENDED;
	action.op = op_id;
	action.step = step;
	action.error = error;
	client->options.emit(client->options.ctx, &action);
}

/*
 * Claims a key for an op.  The result comes as CLAIM_STEP_ACQUIRE, at the
 * deadline at the latest.
 */
void
claim_client_acquire(struct claim_client *client, int64_t now_us,
    uint64_t op_id, const struct claim_key *key, int64_t deadline_us)
{
	struct claim_op *op;

	op = claim_op_find_key(client, key);
	if (op != NULL && !op->answered) {
		report_error(
		    client, op_id, CLAIM_STEP_ACQUIRE, ERR_IN_PROGRESS);
		return;
	}
	if (op != NULL)
		claim_op_free(client, op);
	op = claim_op_new(client, op_id, key);
	if (op == NULL) {
		report_error(
		    client, op_id, CLAIM_STEP_ACQUIRE, ERR_NO_CAPACITY);
		return;
	}
	op->deadline_us = deadline_us;
	claim_op_new_ballot(client, op);
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_ACQUIRING);
}

/*
 * Writes or renews the attempt marker of a held claim.  The call may be
 * dispatched only after the result 0.
 */
void
claim_client_write_marker(struct claim_client *client, int64_t now_us,
    uint64_t op_id, int64_t deadline_us)
{
	struct claim_op *op;

	op = claim_op_find(client, op_id);
	if (op == NULL || !waits_for_caller(op)) {
		report_error(client, op_id, CLAIM_STEP_MARK, ERR_NOT_FOUND);
		return;
	}
	op->deadline_us = deadline_us;
	op->marked_us = now_us;
	if (client->options.unsafe_skip_marker) {
		op->state = CLAIM_OP_MARKED;
		claim_client_report(client, op, CLAIM_STEP_MARK, 0, NULL);
		return;
	}
	op->marker_sent = true;
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_MARKING);
}

static void
write_outcome(struct claim_client *client, int64_t now_us, uint64_t op_id,
    enum claim_phase phase, int32_t status, const uint8_t *digest)
{
	struct claim_op *op;

	op = claim_op_find(client, op_id);
	if (op == NULL || op->state != CLAIM_OP_MARKED) {
		report_error(client, op_id, CLAIM_STEP_DONE, ERR_NOT_FOUND);
		return;
	}
	op->outcome = phase;
	op->status = status;
	if (digest != NULL)
		memcpy(op->digest, digest, CLAIM_DIGEST_BYTES);
	op->deadline_us = now_us + OUTCOME_RETRY_MS * (int64_t)1000;
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_WRITING_OUTCOME);
}

/* Writes the outcome of a marked claim, with a digest of the response. */
void
claim_client_write_outcome(struct claim_client *client, int64_t now_us,
    uint64_t op_id, int32_t status, const uint8_t digest[CLAIM_DIGEST_BYTES])
{
	write_outcome(client, now_us, op_id, CLAIM_DONE, status, digest);
}

/* Writes that the outcome of a marked claim is unknown. */
void
claim_client_write_halt(
    struct claim_client *client, int64_t now_us, uint64_t op_id)
{
	write_outcome(client, now_us, op_id, CLAIM_HALTED, 0, NULL);
}

/* Releases a claim.  The caller must know that the call has not run. */
void
claim_client_release(
    struct claim_client *client, int64_t now_us, uint64_t op_id)
{
	struct claim_op *op;

	op = claim_op_find(client, op_id);
	if (op == NULL || !waits_for_caller(op)) {
		report_error(client, op_id, CLAIM_STEP_RELEASE, ERR_NOT_FOUND);
		return;
	}
	op->deadline_us = now_us + RELEASE_RETRY_MS * (int64_t)1000;
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_RELEASING);
}

/* Writes an operator's verdict on a halted attempt. */
void
claim_client_resolve(struct claim_client *client, int64_t now_us,
    uint64_t op_id, const struct claim_key *key,
    const struct claim_resolution *order, int64_t deadline_us)
{
	struct claim_op *op;

	if (order->change_id == 0 || claim_ballot_is_zero(&order->attempt) ||
	    (order->verdict != CLAIM_RESOLVED_RAN &&
		order->verdict != CLAIM_RESOLVED_NOT_RUN)) {
		report_error(client, op_id, CLAIM_STEP_RESOLVE, ERR_MALFORMED);
		return;
	}
	op = claim_op_new(client, op_id, key);
	if (op == NULL) {
		report_error(
		    client, op_id, CLAIM_STEP_RESOLVE, ERR_NO_CAPACITY);
		return;
	}
	op->order = *order;
	op->deadline_us = deadline_us;
	claim_op_new_ballot(client, op);
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_PREPARING);
}

/* Reads the newest state of a key from a majority. */
void
claim_client_read(struct claim_client *client, int64_t now_us, uint64_t op_id,
    const struct claim_key *key, int64_t deadline_us)
{
	struct claim_op *op;

	op = claim_op_new(client, op_id, key);
	if (op == NULL) {
		report_error(client, op_id, CLAIM_STEP_READ, ERR_NO_CAPACITY);
		return;
	}
	op->deadline_us = deadline_us;
	claim_op_start_exchange(client, op, now_us, CLAIM_OP_READING);
}

/* Requests from one replica its entries with a marker and no outcome. */
void
claim_client_list_halted(
    struct claim_client *client, uint32_t replica, uint64_t cursor)
{
	struct claim_client_action action = {0};
	struct claim_msg msg = {0};

	msg.kind = CLAIM_MSG_LIST_HALTED;
	msg.epoch = client->set.epoch;
	msg.cursor = cursor;
	action.kind = CLAIM_CLIENT_SEND;
	action.to = replica;
	action.msg = &msg;
	client->options.emit(client->options.ctx, &action);
}

/* Returns whether the marker of an op is young enough for a dispatch. */
bool
claim_client_may_dispatch(
    const struct claim_client *client, int64_t now_us, uint64_t op_id)
{
	const struct claim_op *op;

	op = claim_op_find(client, op_id);
	if (op == NULL || op->state != CLAIM_OP_MARKED)
		return false;
	return client->options.unsafe_dispatch_late ||
	       now_us - op->marked_us < CLAIM_MARKER_LEASE_MS * (int64_t)1000;
}

uint32_t
claim_client_op_count(const struct claim_client *client)
{
	return client->open;
}

/*
 * Frees an op without a message to the replicas.  If its marker was written,
 * the key stays halted until an operator resolves it.
 */
void
claim_client_drop_op(struct claim_client *client, uint64_t op_id)
{
	struct claim_op *op = claim_op_find(client, op_id);

	if (op != NULL)
		claim_op_free(client, op);
}
