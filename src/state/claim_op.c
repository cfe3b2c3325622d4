#include "state/claim_op.h"

#include <string.h>

enum {
	SLOT_BITS = 16, /* of an exchange */
	JITTER_MIN_US = 2000,
	JITTER_STEP_US = 10000, /* grows with the tries */
	JITTER_TRIES_MAX = 8
};

static uint32_t
key_bucket(const struct cl_key *key)
{
	return (key->hash[0] | (uint32_t)key->hash[1] << 8) % CL_OP_BUCKETS;
}

/* Creates an op without a question yet; NULL when too many are open. */
struct cl_op *
cl_op_new(struct cl_client *client, uint64_t id, const struct cl_key *key)
{
	struct cl_op **bucket, *op;
	uint32_t slot;

	if (client->ops_size == 0 || client->open >= client->ops_size)
		return NULL;
	for (slot = 0; slot < client->ops_size; slot++)
		if (client->ops[(slot + id) % client->ops_size] == NULL)
			break;
	slot = (uint32_t)((slot + id) % client->ops_size);
	op = alloc_zero(client->options.alloc, 1, sizeof(*op));
	op->id = id;
	op->key = *key;
	op->exchange = slot;
	client->ops[slot] = op;
	client->open++;
	bucket = &client->by_id[id % CL_OP_BUCKETS];
	op->next_id = *bucket;
	*bucket = op;
	bucket = &client->by_key[key_bucket(key)];
	op->next_key = *bucket;
	*bucket = op;
	return op;
}

/* Ends an op; late answers to it find nothing. */
void
cl_op_free(struct cl_client *client, struct cl_op *op)
{
	struct cl_op **at;

	at = &client->by_id[op->id % CL_OP_BUCKETS];
	while (*at != op)
		at = &(*at)->next_id;
	*at = op->next_id;
	at = &client->by_key[key_bucket(&op->key)];
	while (*at != op)
		at = &(*at)->next_key;
	*at = op->next_key;
	client->ops[op->exchange & ((1U << SLOT_BITS) - 1)] = NULL;
	client->open--;
	alloc_free(client->options.alloc, op);
}

struct cl_op *
cl_op_find(const struct cl_client *client, uint64_t id)
{
	struct cl_op *op;

	op = client->by_id[id % CL_OP_BUCKETS];
	while (op != NULL && op->id != id)
		op = op->next_id;
	return op;
}

/* Returns the claim of a key that is open here; questions about it aside. */
struct cl_op *
cl_op_of_key(const struct cl_client *client, const struct cl_key *key)
{
	struct cl_op *op;

	for (op = client->by_key[key_bucket(key)]; op != NULL;
	     op = op->next_key)
		if (op->state < CL_OP_PREPARING && cl_key_equal(&op->key, key))
			return op;
	return NULL;
}

struct cl_op *
cl_op_of_exchange(const struct cl_client *client, uint64_t exchange)
{
	uint32_t slot;
	struct cl_op *op;

	slot = exchange & ((1U << SLOT_BITS) - 1);
	if (slot >= client->ops_size)
		return NULL;
	op = client->ops[slot];
	return op != NULL && op->exchange == exchange ? op : NULL;
}

/* Gives an op a ballot above all that it has seen, never used before. */
void
cl_op_new_ballot(struct cl_client *client, struct cl_op *op)
{
	const struct cl_entry *entry;
	uint32_t i;

	for (i = 0; i < client->set.count; i++) {
		entry = &op->votes[i].entry;
		if (entry->promised.round > client->round)
			client->round = entry->promised.round;
		if (entry->accepted.round > client->round)
			client->round = entry->accepted.round;
	}
	if (op->order.attempt.round > client->round)
		client->round = op->order.attempt.round;
	op->ballot.round = ++client->round;
	op->ballot.instance = client->options.instance;
	op->ballot.incarnation = client->options.incarnation;
}

/* A random delay before the next try, so that rivals do not meet again. */
int64_t
cl_op_jitter_us(struct cl_client *client, const struct cl_op *op)
{
	uint32_t tries;

	tries = op->tries < JITTER_TRIES_MAX ? op->tries : JITTER_TRIES_MAX;
	return JITTER_MIN_US +
	       rng_below(&client->rng, (tries + 1) * JITTER_STEP_US);
}

/* Whether the life of the instance that owns a ballot has ended. */
bool
cl_op_is_gone(const struct cl_client *client, const struct cl_ballot *ballot)
{
	uint32_t i;

	for (i = 0; i < client->gone_count; i++)
		if (client->gone[i].instance == ballot->instance)
			return ballot->incarnation <=
			       client->gone[i].incarnation;
	return ballot->instance == client->options.instance &&
	       ballot->incarnation < client->options.incarnation;
}

/* How many replicas make an answer hold. */
uint32_t
cl_op_majority(const struct cl_client *client)
{
	if (client->options.unsafe_one_replica)
		return 1;
	return client->set.count / 2 + 1;
}

uint32_t
cl_op_count(const struct cl_client *client, const struct cl_op *op, int error)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived && op->votes[i].error == error)
			n++;
	return n;
}

uint32_t
cl_op_arrived(const struct cl_client *client, const struct cl_op *op)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived)
			n++;
	return n;
}

static void
write_msg(const struct cl_op *op, enum cl_phase phase, struct cl_msg *msg)
{
	msg->kind = CL_MSG_WRITE;
	msg->entry.phase = phase;
	msg->entry.resolution = op->best.resolution;
	if (phase == CL_DONE) {
		msg->entry.status = op->status;
		memcpy(msg->entry.digest, op->digest, sizeof(op->digest));
	}
}

static void
op_msg(const struct cl_client *client, const struct cl_op *op,
    const struct cl_vote *vote, struct cl_msg *msg)
{
	switch (op->state) {
	case CL_OP_CLAIMING:
		msg->kind = CL_MSG_CLAIM;
		if (vote->entry.held &&
		    cl_op_is_gone(client, &vote->entry.promised))
			msg->takeover = vote->entry.promised;
		break;
	case CL_OP_MARKING:
		write_msg(op, CL_MARKED, msg);
		break;
	case CL_OP_FINISHING:
		write_msg(op, op->outcome, msg);
		break;
	case CL_OP_RELEASING:
		if (op->marker_sent)
			write_msg(op, CL_RELEASED, msg);
		else
			msg->kind = CL_MSG_RELEASE;
		break;
	case CL_OP_PREPARING:
		msg->kind = CL_MSG_PREPARE;
		msg->entry.resolution = op->order;
		break;
	case CL_OP_RESOLVING:
		write_msg(op, op->best.resolution.verdict, msg);
		break;
	default:
		msg->kind = CL_MSG_READ;
		break;
	}
}

/* Sends the present question to the replicas that have not answered it. */
void
cl_op_resend(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	struct cl_client_action action = {0};
	struct cl_msg msg;
	uint32_t i;

	op->due_us = now_us + client->options.resend_ms * (int64_t)1000;
	action.kind = CL_CLIENT_SEND;
	action.op = op->id;
	action.msg = &msg;
	for (i = 0; i < client->set.count; i++) {
		if (op->votes[i].arrived)
			continue;
		memset(&msg, 0, sizeof(msg));
		msg.epoch = client->set.epoch;
		msg.op = op->exchange;
		msg.ballot = op->ballot;
		msg.entry.key = op->key;
		op_msg(client, op, &op->votes[i], &msg);
		action.to = client->set.instances[i];
		client->options.emit(client->options.ctx, &action);
	}
}

/* Makes a new question, sent later; answers to earlier ones are ignored. */
void
cl_op_ask_later(struct cl_client *client, struct cl_op *op, int64_t now_us,
    enum cl_op_state state)
{
	uint32_t i;

	op->state = state;
	op->exchange = ++client->exchange << SLOT_BITS |
		       (op->exchange & ((1U << SLOT_BITS) - 1));
	for (i = 0; i < CL_REPLICAS_MAX; i++)
		op->votes[i].arrived = false;
	op->due_us = now_us + cl_op_jitter_us(client, op);
}

/* Puts a new question to all replicas at once. */
void
cl_op_ask(struct cl_client *client, struct cl_op *op, int64_t now_us,
    enum cl_op_state state)
{
	cl_op_ask_later(client, op, now_us, state);
	cl_op_resend(client, op, now_us);
}
