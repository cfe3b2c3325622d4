#include "state/claim_op.h"

#include <string.h>

/* Evaluates the replicas' replies to an op. */

/* Retries a claim under a higher ballot after a random delay. */
static void
retry_later(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	op->tries++;
	claim_op_new_ballot(client, op);
	claim_op_schedule_exchange(client, op, now_us, CLAIM_OP_ACQUIRING);
}

/* Returns the newest entry among the replies with this error, or NULL. */
static const struct claim_entry *
newest_vote(
    const struct claim_client *client, const struct claim_op *op, int error)
{
	const struct claim_entry *best;
	uint32_t i;

	best = NULL;
	for (i = 0; i < client->set.count; i++) {
		if (!op->votes[i].arrived || op->votes[i].error != error)
			continue;
		if (best == NULL ||
		    claim_entry_is_newer(&op->votes[i].entry, best))
			best = &op->votes[i].entry;
	}
	return best;
}

/* The other claimants of a key, as seen in refusals. */
struct rivals {
	const struct claim_entry *marked; /* newest with a marker or halted */
	uint32_t strongest; /* most replicas that promised to one live rival */
	bool above; /* a live rival has a higher ballot */
	bool alive; /* there is a live rival */
};

static void
count_rival(const struct claim_client *client, const struct claim_op *op,
    const struct claim_entry *entry, struct rivals *rivals)
{
	uint32_t i, same;

	if (entry->phase == CLAIM_MARKED || entry->phase == CLAIM_HALTED) {
		if (rivals->marked == NULL ||
		    claim_entry_is_newer(entry, rivals->marked))
			rivals->marked = entry;
		return;
	}
	if (!entry->held || claim_op_owner_ended(client, &entry->promised))
		return;
	rivals->alive = true;
	if (claim_ballot_compare(&entry->promised, &op->ballot) > 0)
		rivals->above = true;
	same = 0;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived && op->votes[i].entry.held &&
		    claim_ballot_compare(
			&op->votes[i].entry.promised, &entry->promised) == 0)
			same++;
	if (same > rivals->strongest)
		rivals->strongest = same;
}

/*
 * Asks the replicas that refused again after a random delay, by which a rival
 * with a lower ballot may have given up.
 */
static void
retry_refusing_replicas(
    struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	uint32_t i;

	op->tries++;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].error != 0)
			op->votes[i].arrived = false;
	op->due_us = now_us + claim_op_retry_delay_us(client, op);
}

/* When no majority can grant the claim, reports the reason or retries. */
static void
handle_claim_refusal(
    struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	struct rivals rivals = {0};
	const struct claim_vote *vote;
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
		claim_client_fail_and_release(
		    client, op, now_us, CLAIM_STEP_ACQUIRE, error, NULL);
	else if (rivals.marked != NULL)
		claim_client_fail_and_release(client, op, now_us,
		    CLAIM_STEP_ACQUIRE,
		    rivals.marked->phase == CLAIM_HALTED ||
			    claim_op_owner_ended(
				client, &rivals.marked->accepted)
			? ERR_HALTED
			: ERR_IN_PROGRESS,
		    rivals.marked);
	else if (rivals.above || rivals.strongest >= claim_op_majority(client))
		claim_client_fail_and_release(client, op, now_us,
		    CLAIM_STEP_ACQUIRE, ERR_IN_PROGRESS, NULL);
	else if (rivals.alive)
		retry_refusing_replicas(client, op, now_us);
	else
		retry_later(client, op, now_us);
}

static void
evaluate_claim(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	const struct claim_entry *ran;
	uint32_t granted, refused;

	ran = newest_vote(client, op, ERR_DUPLICATE);
	granted = claim_op_error_count(client, op, 0);
	refused = claim_op_arrived_count(client, op) - granted;
	if (ran != NULL && ran->phase != CLAIM_FREE) {
		claim_client_fail_and_release(
		    client, op, now_us, CLAIM_STEP_ACQUIRE, ERR_DUPLICATE, ran);
	} else if (granted >= claim_op_majority(client)) {
		op->best = *newest_vote(client, op, 0);
		op->state = CLAIM_OP_HELD;
		claim_client_report(
		    client, op, CLAIM_STEP_ACQUIRE, 0, &op->best);
	} else if (client->set.count - refused < claim_op_majority(client)) {
		handle_claim_refusal(client, op, now_us);
	}
}

/* Evaluates the replies to a marker, an outcome or a release. */
static void
evaluate_write(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	uint32_t accepted, refused;
	bool lost;

	accepted = claim_op_error_count(client, op, 0);
	refused = claim_op_arrived_count(client, op) - accepted;
	lost = client->set.count - refused < claim_op_majority(client);
	if (accepted < claim_op_majority(client) && !lost)
		return;
	switch (op->state) {
	case CLAIM_OP_MARKING:
		if (lost) {
			claim_client_fail_and_release(client, op, now_us,
			    CLAIM_STEP_MARK, ERR_IN_PROGRESS, NULL);
			break;
		}
		op->state = CLAIM_OP_MARKED;
		claim_client_report(client, op, CLAIM_STEP_MARK, 0, NULL);
		break;
	case CLAIM_OP_WRITING_OUTCOME:
		claim_client_end_op(
		    client, op, CLAIM_STEP_DONE, lost ? ERR_STALE : 0, NULL);
		break;
	default:
		if (lost ||
		    claim_op_arrived_count(client, op) == client->set.count ||
		    !op->answered)
			claim_client_end_op(client, op, CLAIM_STEP_RELEASE,
			    lost ? ERR_STALE : 0, NULL);
		break;
	}
}

static void
evaluate_read(struct claim_client *client, struct claim_op *op)
{
	struct claim_entry merged;
	bool too_old;
	uint32_t i;

	if (claim_op_arrived_count(client, op) < claim_op_majority(client))
		return;
	memset(&merged, 0, sizeof(merged));
	merged.key = op->key;
	too_old = false;
	for (i = 0; i < client->set.count; i++) {
		if (!op->votes[i].arrived)
			continue;
		if (op->votes[i].error != 0)
			too_old = true;
		claim_entry_merge(&merged, &op->votes[i].entry);
	}
	claim_client_end_op(client, op, CLAIM_STEP_READ,
	    too_old && merged.phase == CLAIM_FREE ? ERR_DUPLICATE : 0, &merged);
}

/* Evaluates the replies to the present request, by the state of the op. */
void
claim_vote_evaluate(
    struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	switch (op->state) {
	case CLAIM_OP_ACQUIRING:
		evaluate_claim(client, op, now_us);
		break;
	case CLAIM_OP_MARKING:
	case CLAIM_OP_WRITING_OUTCOME:
	case CLAIM_OP_RELEASING:
		evaluate_write(client, op, now_us);
		break;
	case CLAIM_OP_PREPARING:
		claim_resolve_count_promises(client, op, now_us);
		break;
	case CLAIM_OP_RESOLVING:
		claim_resolve_count_accepts(client, op, now_us);
		break;
	case CLAIM_OP_READING:
		evaluate_read(client, op);
		break;
	default:
		break;
	}
}
