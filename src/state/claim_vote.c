#include "state/claim_op.h"

#include <string.h>

/* What the claimant makes of the replicas' answers. */

/* Tries a claim again, under a higher ballot. */
static void
retry_later(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	op->tries++;
	cl_op_new_ballot(client, op);
	cl_op_ask_later(client, op, now_us, CL_OP_CLAIMING);
}

/* Returns the latest accepted entry among the answers with an error. */
static const struct cl_entry *
best_vote(const struct cl_client *client, const struct cl_op *op, int error)
{
	const struct cl_entry *best;
	uint32_t i;

	best = NULL;
	for (i = 0; i < client->set.count; i++) {
		if (!op->votes[i].arrived || op->votes[i].error != error)
			continue;
		if (best == NULL || cl_entry_newer(&op->votes[i].entry, best))
			best = &op->votes[i].entry;
	}
	return best;
}

/* What refusals of a claim say about the other claimants. */
struct rivals {
	const struct cl_entry *marked;
	uint32_t strongest; /* replicas that one live rival holds */
	bool above; /* one of them has a higher ballot */
	bool alive;
};

static void
count_rival(const struct cl_client *client, const struct cl_op *op,
    const struct cl_entry *entry, struct rivals *rivals)
{
	uint32_t i, same;

	if (entry->phase == CL_MARKED || entry->phase == CL_HALTED) {
		if (rivals->marked == NULL ||
		    cl_entry_newer(entry, rivals->marked))
			rivals->marked = entry;
		return;
	}
	if (!entry->held || cl_op_is_gone(client, &entry->promised))
		return;
	rivals->alive = true;
	if (cl_ballot_compare(&entry->promised, &op->ballot) > 0)
		rivals->above = true;
	same = 0;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived && op->votes[i].entry.held &&
		    cl_ballot_compare(
			&op->votes[i].entry.promised, &entry->promised) == 0)
			same++;
	if (same > rivals->strongest)
		rivals->strongest = same;
}

/* Waits for a rival with a lower ballot to give up, then asks it again. */
static void
outlast(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	uint32_t i;

	op->tries++;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].error != 0)
			op->votes[i].arrived = false;
	op->due_us = now_us + cl_op_jitter_us(client, op);
}

/* No majority can grant any more: says why, or tries again. */
static void
claim_refused(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	struct rivals rivals = {0};
	const struct cl_vote *vote;
	uint32_t i;
	int error;

	error = 0;
	for (i = 0; i < client->set.count; i++) {
		vote = &op->votes[i];
		if (!vote->arrived || vote->error == 0)
			continue;
		if (vote->error == ERR_IN_PROGRESS || vote->error == ERR_HALTED)
			count_rival(client, op, &vote->entry, &rivals);
		else if (vote->error != ERR_STALE)
			error = vote->error;
	}
	if (error != 0)
		cl_client_give_up(
		    client, op, now_us, CL_STEP_CLAIM, error, NULL);
	else if (rivals.marked != NULL)
		cl_client_give_up(client, op, now_us, CL_STEP_CLAIM,
		    rivals.marked->phase == CL_HALTED ||
			    cl_op_is_gone(client, &rivals.marked->accepted)
			? ERR_HALTED
			: ERR_IN_PROGRESS,
		    rivals.marked);
	else if (rivals.above || rivals.strongest >= cl_op_majority(client))
		cl_client_give_up(
		    client, op, now_us, CL_STEP_CLAIM, ERR_IN_PROGRESS, NULL);
	else if (rivals.alive)
		outlast(client, op, now_us);
	else
		retry_later(client, op, now_us);
}

static void
claim_voted(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	const struct cl_entry *ran;
	uint32_t granted, refused;

	ran = best_vote(client, op, ERR_DUPLICATE);
	granted = cl_op_count(client, op, 0);
	refused = cl_op_arrived(client, op) - granted;
	if (ran != NULL && ran->phase != CL_FREE) {
		cl_client_give_up(
		    client, op, now_us, CL_STEP_CLAIM, ERR_DUPLICATE, ran);
	} else if (granted >= cl_op_majority(client)) {
		op->best = *best_vote(client, op, 0);
		op->state = CL_OP_HELD;
		cl_client_answer(client, op, CL_STEP_CLAIM, 0, &op->best);
	} else if (client->set.count - refused < cl_op_majority(client)) {
		claim_refused(client, op, now_us);
	}
}

/* Counts the answers to a marker, an outcome or a release. */
static void
write_voted(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	uint32_t accepted, refused;
	bool lost;

	accepted = cl_op_count(client, op, 0);
	refused = cl_op_arrived(client, op) - accepted;
	lost = client->set.count - refused < cl_op_majority(client);
	if (accepted < cl_op_majority(client) && !lost)
		return;
	switch (op->state) {
	case CL_OP_MARKING:
		if (lost) {
			cl_client_give_up(client, op, now_us, CL_STEP_MARK,
			    ERR_IN_PROGRESS, NULL);
			break;
		}
		op->state = CL_OP_MARKED;
		cl_client_answer(client, op, CL_STEP_MARK, 0, NULL);
		break;
	case CL_OP_FINISHING:
		cl_client_end(
		    client, op, CL_STEP_DONE, lost ? ERR_STALE : 0, NULL);
		break;
	default:
		if (lost || cl_op_arrived(client, op) == client->set.count ||
		    !op->silent)
			cl_client_end(client, op, CL_STEP_RELEASE,
			    lost ? ERR_STALE : 0, NULL);
		break;
	}
}

static void
read_voted(struct cl_client *client, struct cl_op *op)
{
	struct cl_entry merged;
	bool too_old;
	uint32_t i;

	if (cl_op_arrived(client, op) < cl_op_majority(client))
		return;
	memset(&merged, 0, sizeof(merged));
	merged.key = op->key;
	too_old = false;
	for (i = 0; i < client->set.count; i++) {
		if (!op->votes[i].arrived)
			continue;
		if (op->votes[i].error != 0)
			too_old = true;
		cl_entry_merge(&merged, &op->votes[i].entry);
	}
	cl_client_end(client, op, CL_STEP_READ,
	    too_old && merged.phase == CL_FREE ? ERR_DUPLICATE : 0, &merged);
}

/* Acts on the answers that have arrived to the present question. */
void
cl_vote_count(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	switch (op->state) {
	case CL_OP_CLAIMING:
		claim_voted(client, op, now_us);
		break;
	case CL_OP_MARKING:
	case CL_OP_FINISHING:
	case CL_OP_RELEASING:
		write_voted(client, op, now_us);
		break;
	case CL_OP_PREPARING:
		cl_resolve_prepared(client, op, now_us);
		break;
	case CL_OP_RESOLVING:
		cl_resolve_written(client, op, now_us);
		break;
	case CL_OP_READING:
		read_voted(client, op);
		break;
	default:
		break;
	}
}
