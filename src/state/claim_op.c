#include "state/claim_op.h"

#include <string.h>

enum {
	SLOT_BITS = 16, /* low bits of an exchange id */
	JITTER_MIN_US = 2000,
	JITTER_STEP_US = 10000, /* added to the range with each try */
	JITTER_TRIES_MAX = 8
};

static uint32_t
key_bucket(const struct claim_key *key)
{
	return (key->hash[0] | (uint32_t)key->hash[1] << 8) % CLAIM_OP_BUCKETS;
}

/* Creates an op without a request.  Returns NULL when too many are open. */
struct claim_op *
claim_op_new(
    struct claim_client *client, uint64_t id, const struct claim_key *key)
{
	struct claim_op **bucket, *op;
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
	bucket = &client->by_id[id % CLAIM_OP_BUCKETS];
	op->next_id = *bucket;
	*bucket = op;
	bucket = &client->by_key[key_bucket(key)];
	op->next_key = *bucket;
	*bucket = op;
	return op;
}

/* Removes and frees an op.  Late replies to it are ignored. */
void
claim_op_free(struct claim_client *client, struct claim_op *op)
{
	struct claim_op **at;

	at = &client->by_id[op->id % CLAIM_OP_BUCKETS];
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

struct claim_op *
claim_op_find(const struct claim_client *client, uint64_t id)
{
	struct claim_op *op;

	op = client->by_id[id % CLAIM_OP_BUCKETS];
	while (op != NULL && op->id != id)
		op = op->next_id;
	return op;
}

/* Returns the open claim of a key, or NULL; skips resolutions and reads. */
struct claim_op *
claim_op_find_key(
    const struct claim_client *client, const struct claim_key *key)
{
	struct claim_op *op;

	for (op = client->by_key[key_bucket(key)]; op != NULL;
	     op = op->next_key)
		if (op->state < CLAIM_OP_PREPARING &&
		    claim_key_equal(&op->key, key))
			return op;
	return NULL;
}

struct claim_op *
claim_op_find_exchange(const struct claim_client *client, uint64_t exchange)
{
	uint32_t slot;
	struct claim_op *op;

	slot = exchange & ((1U << SLOT_BITS) - 1);
	if (slot >= client->ops_size)
		return NULL;
	op = client->ops[slot];
	return op != NULL && op->exchange == exchange ? op : NULL;
}

/* Gives an op a new ballot, above all that the replicas have reported. */
void
claim_op_new_ballot(struct claim_client *client, struct claim_op *op)
{
	const struct claim_entry *entry;
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

/*
 * Returns a random delay before a retry, so that rivals do not collide again.
 */
int64_t
claim_op_retry_delay_us(struct claim_client *client, const struct claim_op *op)
{
	uint32_t tries;

	tries = op->tries < JITTER_TRIES_MAX ? op->tries : JITTER_TRIES_MAX;
	return JITTER_MIN_US +
	       rng_below(&client->rng, (tries + 1) * JITTER_STEP_US);
}

/* Returns whether the incarnation that owns a ballot has ended. */
bool
claim_op_owner_ended(
    const struct claim_client *client, const struct claim_ballot *ballot)
{
	uint32_t i;

	for (i = 0; i < client->ended_life_count; i++)
		if (client->ended_lives[i].instance == ballot->instance)
			return ballot->incarnation <=
			       client->ended_lives[i].incarnation;
	return ballot->instance == client->options.instance &&
	       ballot->incarnation < client->options.incarnation;
}

/* Returns how many replicas must agree. */
uint32_t
claim_op_majority(const struct claim_client *client)
{
	if (client->options.unsafe_one_replica)
		return 1;
	return client->set.count / 2 + 1;
}

uint32_t
claim_op_error_count(
    const struct claim_client *client, const struct claim_op *op, int error)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived && op->votes[i].error == error)
			n++;
	return n;
}

uint32_t
claim_op_arrived_count(
    const struct claim_client *client, const struct claim_op *op)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived)
			n++;
	return n;
}

static void
fill_write_msg(
    const struct claim_op *op, enum claim_phase phase, struct claim_msg *msg)
{
	msg->kind = CLAIM_MSG_WRITE;
	msg->entry.phase = phase;
	msg->entry.resolution = op->best.resolution;
	if (phase == CLAIM_DONE) {
		msg->entry.status = op->status;
		memcpy(msg->entry.digest, op->digest, sizeof(op->digest));
	}
}

static void
fill_msg(const struct claim_client *client, const struct claim_op *op,
    const struct claim_vote *vote, struct claim_msg *msg)
{
	switch (op->state) {
	case CLAIM_OP_ACQUIRING:
		msg->kind = CLAIM_MSG_ACQUIRE;
		if (vote->entry.held &&
		    claim_op_owner_ended(client, &vote->entry.promised))
			msg->takeover = vote->entry.promised;
		break;
	case CLAIM_OP_MARKING:
		fill_write_msg(op, CLAIM_MARKED, msg);
		break;
	case CLAIM_OP_WRITING_OUTCOME:
		fill_write_msg(op, op->outcome, msg);
		break;
	case CLAIM_OP_RELEASING:
		if (op->marker_sent)
			fill_write_msg(op, CLAIM_RELEASED, msg);
		else
			msg->kind = CLAIM_MSG_RELEASE;
		break;
	case CLAIM_OP_PREPARING:
		msg->kind = CLAIM_MSG_PREPARE;
		msg->entry.resolution = op->order;
		break;
	case CLAIM_OP_RESOLVING:
		fill_write_msg(op, op->best.resolution.verdict, msg);
		break;
	default:
		msg->kind = CLAIM_MSG_READ;
		break;
	}
}

/* Sends the present request to the replicas that have not replied to it. */
void
claim_op_resend(
    struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	struct claim_client_action action = {0};
	struct claim_msg msg;
	uint32_t i;

	op->due_us = now_us + client->options.resend_ms * (int64_t)1000;
	action.kind = CLAIM_CLIENT_SEND;
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
		fill_msg(client, op, &op->votes[i], &msg);
		action.to = client->set.instances[i];
		client->options.emit(client->options.ctx, &action);
	}
}

/*
 * Starts a new exchange, whose request is sent after a random delay.  Replies
 * to earlier exchanges are ignored.
 */
void
claim_op_schedule_exchange(struct claim_client *client, struct claim_op *op,
    int64_t now_us, enum claim_op_state state)
{
	uint32_t i;

	op->state = state;
	op->exchange = ++client->exchange << SLOT_BITS |
		       (op->exchange & ((1U << SLOT_BITS) - 1));
	for (i = 0; i < CLAIM_REPLICAS_MAX; i++)
		op->votes[i].arrived = false;
	op->due_us = now_us + claim_op_retry_delay_us(client, op);
}

/* Starts a new exchange and sends its request to all replicas at once. */
void
claim_op_start_exchange(struct claim_client *client, struct claim_op *op,
    int64_t now_us, enum claim_op_state state)
{
	claim_op_schedule_exchange(client, op, now_us, state);
	claim_op_resend(client, op, now_us);
}
