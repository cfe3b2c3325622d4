#include "state/claim_op.h"

#include <string.h>

/*
 * Writes an operator's verdict on a halted attempt in two rounds: a majority
 * promises the ballot, then a majority accepts the verdict.  If a majority may
 * already have accepted a verdict, that one is written again, so that an
 * attempt is resolved once.  A resent order gets the first verdict, even if the
 * key was claimed again in the meantime.
 */

static bool
resolves_attempt(const struct claim_entry *entry, const struct claim_op *op)
{
	return entry->resolution.change_id != 0 &&
	       claim_ballot_compare(
		   &entry->resolution.attempt, &op->order.attempt) == 0;
}

/* Returns an entry whose resolution a majority has accepted, or NULL. */
static const struct claim_entry *
majority_resolution(
    const struct claim_client *client, const struct claim_op *op)
{
	const struct claim_entry *entry;
	uint32_t i, j, same;

	for (i = 0; i < client->set.count; i++) {
		entry = &op->votes[i].entry;
		if (!op->votes[i].arrived || !resolves_attempt(entry, op))
			continue;
		same = 0;
		for (j = 0; j < client->set.count; j++)
			if (op->votes[j].arrived &&
			    resolves_attempt(&op->votes[j].entry, op) &&
			    op->votes[j].entry.resolution.change_id ==
				entry->resolution.change_id)
				same++;
		if (same >= claim_op_majority(client))
			return entry;
	}
	return NULL;
}

static void
report_resolution(struct claim_client *client, struct claim_op *op,
    const struct claim_entry *entry)
{
	struct claim_entry copy;

	copy = *entry;
	claim_client_end_op(client, op, CLAIM_STEP_RESOLVE,
	    copy.resolution.change_id == op->order.change_id ? 0 : ERR_CONFLICT,
	    &copy);
}

static void
retry_prepare(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	op->tries++;
	claim_op_new_ballot(client, op);
	claim_op_schedule_exchange(client, op, now_us, CLAIM_OP_PREPARING);
}

/* After promises of a majority, chooses the verdict and writes it. */
static void
write_verdict(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	const struct claim_entry *best;
	uint32_t i;
	int c;

	best = NULL;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived && op->votes[i].error == 0 &&
		    (best == NULL ||
			claim_entry_is_newer(&op->votes[i].entry, best)))
			best = &op->votes[i].entry;
	if (best == NULL)
		return;
	op->best = *best;
	c = claim_ballot_compare(&best->accepted, &op->order.attempt);
	if (resolves_attempt(best, op)) {
		claim_op_start_exchange(client, op, now_us, CLAIM_OP_RESOLVING);
	} else if (c > 0) {
		claim_client_end_op(
		    client, op, CLAIM_STEP_RESOLVE, ERR_STALE, best);
	} else if (c == 0 && (best->phase == CLAIM_MARKED ||
				 best->phase == CLAIM_HALTED)) {
		op->best.resolution = op->order;
		claim_op_start_exchange(client, op, now_us, CLAIM_OP_RESOLVING);
	} else {
		claim_client_end_op(
		    client, op, CLAIM_STEP_RESOLVE, ERR_NOT_FOUND, best);
	}
}

/* When no majority can promise, reports the reason or tries again. */
static void
handle_refusal(struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	const struct claim_entry *stale;
	bool partly;
	uint32_t i;

	stale = NULL;
	partly = false;
	for (i = 0; i < client->set.count; i++) {
		if (!op->votes[i].arrived)
			continue;
		partly = partly || resolves_attempt(&op->votes[i].entry, op);
		if (op->votes[i].error == ERR_STALE)
			stale = &op->votes[i].entry;
	}
	if (claim_op_error_count(client, op, ERR_IN_PROGRESS) > 0)
		claim_client_end_op(
		    client, op, CLAIM_STEP_RESOLVE, ERR_IN_PROGRESS, NULL);
	else if (stale != NULL && !partly)
		claim_client_end_op(
		    client, op, CLAIM_STEP_RESOLVE, ERR_STALE, NULL);
	else
		retry_prepare(client, op, now_us);
}

/* Evaluates the replies to the request for a promise. */
void
claim_resolve_count_promises(
    struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	const struct claim_entry *entry;
	uint32_t granted, refusals, i;

	entry = majority_resolution(client, op);
	if (entry != NULL) {
		report_resolution(client, op, entry);
		return;
	}
	for (i = 0; i < client->set.count; i++) {
		if (op->votes[i].arrived &&
		    op->votes[i].entry.phase == CLAIM_DONE &&
		    !resolves_attempt(&op->votes[i].entry, op)) {
			claim_client_end_op(client, op, CLAIM_STEP_RESOLVE,
			    ERR_DUPLICATE, &op->votes[i].entry);
			return;
		}
	}
	granted = claim_op_error_count(client, op, 0);
	refusals = claim_op_arrived_count(client, op) - granted;
	if (granted >= claim_op_majority(client))
		write_verdict(client, op, now_us);
	else if (client->set.count - refusals < claim_op_majority(client))
		handle_refusal(client, op, now_us);
}

/* Evaluates the replies to the verdict. */
void
claim_resolve_count_accepts(
    struct claim_client *client, struct claim_op *op, int64_t now_us)
{
	uint32_t accepted, refusals;

	accepted = claim_op_error_count(client, op, 0);
	refusals = claim_op_arrived_count(client, op) - accepted;
	if (accepted >= claim_op_majority(client))
		report_resolution(client, op, &op->best);
	else if (client->set.count - refusals < claim_op_majority(client))
		retry_prepare(client, op, now_us);
}
