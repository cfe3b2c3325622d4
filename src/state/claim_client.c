#include "state/claim_op.h"

#include <string.h>

enum {
	OPS_MAX = 4096,
	OPS_LIMIT = 65535,
	RESEND_DEFAULT_MS = 200,
	FINISH_MS = 60000, /* an outcome is offered to the replicas so long */
	RELEASE_MS = 10000
};

/* Creates the claimant's side of an instance. */
struct cl_client *
cl_client_new(const struct cl_client_options *options)
{
	const struct alloc *alloc;
	struct cl_client *client;

	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	client = alloc_zero(alloc, 1, sizeof(*client));
	client->options = *options;
	client->options.alloc = alloc;
	if (options->ops_max == 0)
		client->options.ops_max = OPS_MAX;
	if (client->options.ops_max > OPS_LIMIT)
		client->options.ops_max = OPS_LIMIT;
	if (options->resend_ms == 0)
		client->options.resend_ms = RESEND_DEFAULT_MS;
	client->ops_size = client->options.ops_max;
	client->ops =
	    alloc_zero(alloc, client->ops_size, sizeof(struct cl_op *));
	rng_init(&client->rng, options->seed);
	return client;
}

void
cl_client_free(struct cl_client *client)
{
	const struct alloc *alloc;
	uint32_t i;

	if (client == NULL)
		return;
	alloc = client->options.alloc;
	for (i = 0; i < client->ops_size; i++)
		alloc_free(alloc, client->ops[i]);
	alloc_free(alloc, client->ops);
	alloc_free(alloc, client->gone);
	alloc_free(alloc, client);
}

/* Tells the caller how a step of an op ended. */
void
cl_client_answer(struct cl_client *client, struct cl_op *op, enum cl_step step,
    int error, const struct cl_entry *entry)
{
	struct cl_client_action action = {0};

	if (op->silent)
		return;
	action.kind = CL_CLIENT_ANSWER;
	action.op = op->id;
	action.step = step;
	action.error = error;
	action.entry.key = op->key;
	if (entry != NULL)
		action.entry = *entry;
	client->options.emit(client->options.ctx, &action);
}

/* Tells the caller and forgets the op. */
void
cl_client_end(struct cl_client *client, struct cl_op *op, enum cl_step step,
    int error, const struct cl_entry *entry)
{
	cl_client_answer(client, op, step, error, entry);
	cl_op_free(client, op);
}

/* Answers a step that has failed, and gives back what was taken. */
void
cl_client_give_up(struct cl_client *client, struct cl_op *op, int64_t now_us,
    enum cl_step step, int error, const struct cl_entry *entry)
{
	cl_client_answer(client, op, step, error, entry);
	op->silent = true;
	op->deadline_us = now_us + RELEASE_MS * (int64_t)1000;
	cl_op_ask(client, op, now_us, CL_OP_RELEASING);
}

static void
halts_arrived(struct cl_client *client, uint32_t from, const struct cl_msg *msg)
{
	struct cl_client_action action = {0};

	if (msg->op != CL_MSG_HALTS)
		return;
	action.kind = CL_CLIENT_HALTS;
	action.to = from;
	action.msg = msg;
	client->options.emit(client->options.ctx, &action);
}

/* Takes a replica's answer. */
void
cl_client_message(struct cl_client *client, int64_t now_us, uint32_t from,
    const struct cl_msg *msg)
{
	struct cl_vote *vote;
	struct cl_op *op;
	uint32_t i;

	if (msg->epoch != client->set.epoch)
		return;
	if (msg->kind == CL_MSG_ENTRIES)
		halts_arrived(client, from, msg);
	if (msg->kind != CL_MSG_REPLY || msg->error == ERR_NO_QUORUM)
		return;
	op = cl_op_of_exchange(client, msg->op);
	if (op == NULL || cl_ballot_compare(&op->ballot, &msg->ballot) != 0)
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
	cl_vote_count(client, op, now_us);
}

static void
timed_out(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	switch (op->state) {
	case CL_OP_CLAIMING:
		cl_client_give_up(
		    client, op, now_us, CL_STEP_CLAIM, ERR_NO_QUORUM, NULL);
		break;
	case CL_OP_MARKING:
		cl_client_give_up(
		    client, op, now_us, CL_STEP_MARK, ERR_NO_QUORUM, NULL);
		break;
	case CL_OP_FINISHING:
		cl_client_end(client, op, CL_STEP_DONE, ERR_NO_QUORUM, NULL);
		break;
	case CL_OP_RELEASING:
		cl_client_end(client, op, CL_STEP_RELEASE, ERR_NO_QUORUM, NULL);
		break;
	case CL_OP_PREPARING:
	case CL_OP_RESOLVING:
		cl_client_end(client, op, CL_STEP_RESOLVE, ERR_NO_QUORUM, NULL);
		break;
	case CL_OP_READING:
		cl_client_end(client, op, CL_STEP_READ, ERR_NO_QUORUM, NULL);
		break;
	default:
		break;
	}
}

static bool
waits_for_caller(const struct cl_op *op)
{
	return op->state == CL_OP_HELD || op->state == CL_OP_MARKED;
}

/* Resends what is unanswered and ends what is past its deadline. */
void
cl_client_tick(struct cl_client *client, int64_t now_us)
{
	struct cl_op *op;
	uint32_t i;

	if (client->open == 0)
		return;
	for (i = 0; i < client->ops_size; i++) {
		op = client->ops[i];
		if (op == NULL || waits_for_caller(op))
			continue;
		if (now_us >= op->deadline_us)
			timed_out(client, op, now_us);
		else if (now_us >= op->due_us)
			cl_op_resend(client, op, now_us);
	}
}

/* Returns when cl_client_tick() has something to do next; INT64_MAX: never. */
int64_t
cl_client_due_us(const struct cl_client *client)
{
	const struct cl_op *op;
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

/* Takes a replica set; open questions go to the new one with the next tick. */
void
cl_client_replicas(struct cl_client *client, const struct cl_replicas *set)
{
	struct cl_op *op;
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

/* Notes that a life of an instance, and so every earlier one, has ended. */
void
cl_client_gone(
    struct cl_client *client, uint32_t instance, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < client->gone_count; i++)
		if (client->gone[i].instance == instance)
			break;
	if (i == client->gone_count) {
		client->gone = alloc_resize(client->options.alloc, client->gone,
		    (i + 1) * sizeof(*client->gone));
		client->gone[i].instance = instance;
		client->gone[i].incarnation = 0;
		client->gone_count++;
	}
	if (incarnation > client->gone[i].incarnation)
		client->gone[i].incarnation = incarnation;
}

static void
refuse(struct cl_client *client, uint64_t op_id, enum cl_step step, int error)
{
	struct cl_client_action action = {0};

	action.kind = CL_CLIENT_ANSWER;
	action.op = op_id;
	action.step = step;
	action.error = error;
	client->options.emit(client->options.ctx, &action);
}

/* Claims a key for op; answered by CL_STEP_CLAIM at the deadline at latest. */
void
cl_client_claim(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, int64_t deadline_us)
{
	struct cl_op *op;

	op = cl_op_of_key(client, key);
	if (op != NULL && !op->silent) {
		refuse(client, op_id, CL_STEP_CLAIM, ERR_IN_PROGRESS);
		return;
	}
	if (op != NULL)
		cl_op_free(client, op);
	op = cl_op_new(client, op_id, key);
	if (op == NULL) {
		refuse(client, op_id, CL_STEP_CLAIM, ERR_NO_CAPACITY);
		return;
	}
	op->deadline_us = deadline_us;
	cl_op_new_ballot(client, op);
	cl_op_ask(client, op, now_us, CL_OP_CLAIMING);
}

/*
 * Places the attempt marker of a held claim, or renews it.  Only after the
 * answer 0 may the call be dispatched.
 */
void
cl_client_mark(struct cl_client *client, int64_t now_us, uint64_t op_id,
    int64_t deadline_us)
{
	struct cl_op *op;

	op = cl_op_find(client, op_id);
	if (op == NULL || !waits_for_caller(op)) {
		refuse(client, op_id, CL_STEP_MARK, ERR_NOT_FOUND);
		return;
	}
	op->deadline_us = deadline_us;
	op->marked_us = now_us;
	if (client->options.unsafe_skip_marker) {
		op->state = CL_OP_MARKED;
		cl_client_answer(client, op, CL_STEP_MARK, 0, NULL);
		return;
	}
	op->marker_sent = true;
	cl_op_ask(client, op, now_us, CL_OP_MARKING);
}

static void
finish(struct cl_client *client, int64_t now_us, uint64_t op_id,
    enum cl_phase phase, int32_t status, const uint8_t *digest)
{
	struct cl_op *op;

	op = cl_op_find(client, op_id);
	if (op == NULL || op->state != CL_OP_MARKED) {
		refuse(client, op_id, CL_STEP_DONE, ERR_NOT_FOUND);
		return;
	}
	op->outcome = phase;
	op->status = status;
	if (digest != NULL)
		memcpy(op->digest, digest, CL_DIGEST_BYTES);
	op->deadline_us = now_us + FINISH_MS * (int64_t)1000;
	cl_op_ask(client, op, now_us, CL_OP_FINISHING);
}

/* Records the outcome of a marked claim, with a digest of its answer. */
void
cl_client_done(struct cl_client *client, int64_t now_us, uint64_t op_id,
    int32_t status, const uint8_t digest[CL_DIGEST_BYTES])
{
	finish(client, now_us, op_id, CL_DONE, status, digest);
}

/* Records that the outcome of a marked claim is unknown. */
void
cl_client_halt(struct cl_client *client, int64_t now_us, uint64_t op_id)
{
	finish(client, now_us, op_id, CL_HALTED, 0, NULL);
}

/* Gives a claim back.  The caller knows that the call has not run. */
void
cl_client_release(struct cl_client *client, int64_t now_us, uint64_t op_id)
{
	struct cl_op *op;

	op = cl_op_find(client, op_id);
	if (op == NULL || !waits_for_caller(op)) {
		refuse(client, op_id, CL_STEP_RELEASE, ERR_NOT_FOUND);
		return;
	}
	op->deadline_us = now_us + RELEASE_MS * (int64_t)1000;
	cl_op_ask(client, op, now_us, CL_OP_RELEASING);
}

/* Carries out an operator's order about a halted attempt. */
void
cl_client_resolve(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, const struct cl_resolution *order,
    int64_t deadline_us)
{
	struct cl_op *op;

	if (order->change_id == 0 || cl_ballot_zero(&order->attempt) ||
	    (order->verdict != CL_RESOLVED_RAN &&
		order->verdict != CL_RESOLVED_NOT_RUN)) {
		refuse(client, op_id, CL_STEP_RESOLVE, ERR_MALFORMED);
		return;
	}
	op = cl_op_new(client, op_id, key);
	if (op == NULL) {
		refuse(client, op_id, CL_STEP_RESOLVE, ERR_NO_CAPACITY);
		return;
	}
	op->order = *order;
	op->deadline_us = deadline_us;
	cl_op_new_ballot(client, op);
	cl_op_ask(client, op, now_us, CL_OP_PREPARING);
}

/* Reads what a majority knows of a key. */
void
cl_client_read(struct cl_client *client, int64_t now_us, uint64_t op_id,
    const struct cl_key *key, int64_t deadline_us)
{
	struct cl_op *op;

	op = cl_op_new(client, op_id, key);
	if (op == NULL) {
		refuse(client, op_id, CL_STEP_READ, ERR_NO_CAPACITY);
		return;
	}
	op->deadline_us = deadline_us;
	cl_op_ask(client, op, now_us, CL_OP_READING);
}

/* Asks one replica for its entries with a marker and no outcome. */
void
cl_client_halts(struct cl_client *client, uint32_t replica, uint64_t cursor)
{
	struct cl_client_action action = {0};
	struct cl_msg msg = {0};

	msg.kind = CL_MSG_HALTS;
	msg.epoch = client->set.epoch;
	msg.cursor = cursor;
	action.kind = CL_CLIENT_SEND;
	action.to = replica;
	action.msg = &msg;
	client->options.emit(client->options.ctx, &action);
}

/* Whether the marker of an op is young enough to dispatch under it. */
bool
cl_client_may_dispatch(
    const struct cl_client *client, int64_t now_us, uint64_t op_id)
{
	const struct cl_op *op;

	op = cl_op_find(client, op_id);
	if (op == NULL || op->state != CL_OP_MARKED)
		return false;
	return client->options.unsafe_dispatch_late ||
	       now_us - op->marked_us < CL_MARK_LEASE_MS * (int64_t)1000;
}

uint32_t
cl_client_open(const struct cl_client *client)
{
	return client->open;
}

/*
 * Drops an op without a word to the replicas.  A marker that stands stays: the
 * key is halted until operators decide.
 */
void
cl_client_forget(struct cl_client *client, uint64_t op_id)
{
	struct cl_op *op = cl_op_find(client, op_id);

	if (op != NULL)
		cl_op_free(client, op);
}
