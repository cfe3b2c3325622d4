#include "state/claim_op.h"

#include <string.h>

/*
 * An operator's order about a halted attempt: a promise from a majority, then
 * the verdict accepted by one.  A verdict that a majority may already have
 * accepted is taken over, so that an attempt is resolved once; a resend finds
 * the first verdict, also when the key was claimed again since.
 */

static bool
resolves(const struct cl_entry *entry, const struct cl_op *op)
{
	return entry->resolution.change_id != 0 &&
	       cl_ballot_compare(
		   &entry->resolution.attempt, &op->order.attempt) == 0;
}

/* Returns an entry with a resolution that a majority holds, or NULL. */
static const struct cl_entry *
settled(const struct cl_client *client, const struct cl_op *op)
{
	const struct cl_entry *entry;
	uint32_t i, j, same;

	for (i = 0; i < client->set.count; i++) {
		entry = &op->votes[i].entry;
		if (!op->votes[i].arrived || !resolves(entry, op))
			continue;
		same = 0;
		for (j = 0; j < client->set.count; j++)
			if (op->votes[j].arrived &&
			    resolves(&op->votes[j].entry, op) &&
			    op->votes[j].entry.resolution.change_id ==
				entry->resolution.change_id)
				same++;
		if (same >= cl_op_majority(client))
			return entry;
	}
	return NULL;
}

static void
end_with(
    struct cl_client *client, struct cl_op *op, const struct cl_entry *entry)
{
	struct cl_entry copy;

	copy = *entry;
	cl_client_end(client, op, CL_STEP_RESOLVE,
	    copy.resolution.change_id == op->order.change_id ? 0 : ERR_CONFLICT,
	    &copy);
}

static void
again(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	op->tries++;
	cl_op_new_ballot(client, op);
	cl_op_ask_later(client, op, now_us, CL_OP_PREPARING);
}

/* A majority has promised: finds the verdict that has to be written. */
static void
promised(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	const struct cl_entry *best;
	uint32_t i;
	int c;

	best = NULL;
	for (i = 0; i < client->set.count; i++)
		if (op->votes[i].arrived && op->votes[i].error == 0 &&
		    (best == NULL || cl_entry_newer(&op->votes[i].entry, best)))
			best = &op->votes[i].entry;
	if (best == NULL)
		return;
	op->best = *best;
	c = cl_ballot_compare(&best->accepted, &op->order.attempt);
	if (resolves(best, op)) {
		cl_op_ask(client, op, now_us, CL_OP_RESOLVING);
	} else if (c > 0) {
		cl_client_end(client, op, CL_STEP_RESOLVE, ERR_STALE, best);
	} else if (c == 0 &&
		   (best->phase == CL_MARKED || best->phase == CL_HALTED)) {
		op->best.resolution = op->order;
		cl_op_ask(client, op, now_us, CL_OP_RESOLVING);
	} else {
		cl_client_end(client, op, CL_STEP_RESOLVE, ERR_NOT_FOUND, best);
	}
}

/* No majority promises: ends with the reason, or tries again. */
static void
refused(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	const struct cl_entry *stale;
	bool partly;
	uint32_t i;

	stale = NULL;
	partly = false;
	for (i = 0; i < client->set.count; i++) {
		if (!op->votes[i].arrived)
			continue;
		partly = partly || resolves(&op->votes[i].entry, op);
		if (op->votes[i].error == ERR_STALE)
			stale = &op->votes[i].entry;
	}
	if (cl_op_count(client, op, ERR_IN_PROGRESS) > 0)
		cl_client_end(
		    client, op, CL_STEP_RESOLVE, ERR_IN_PROGRESS, NULL);
	else if (stale != NULL && !partly)
		cl_client_end(client, op, CL_STEP_RESOLVE, ERR_STALE, NULL);
	else
		again(client, op, now_us);
}

/* Counts the answers to the promise. */
void
cl_resolve_prepared(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	const struct cl_entry *entry;
	uint32_t granted, refusals, i;

	entry = settled(client, op);
	if (entry != NULL) {
		end_with(client, op, entry);
		return;
	}
	for (i = 0; i < client->set.count; i++) {
		if (op->votes[i].arrived &&
		    op->votes[i].entry.phase == CL_DONE &&
		    !resolves(&op->votes[i].entry, op)) {
			cl_client_end(client, op, CL_STEP_RESOLVE,
			    ERR_DUPLICATE, &op->votes[i].entry);
			return;
		}
	}
	granted = cl_op_count(client, op, 0);
	refusals = cl_op_arrived(client, op) - granted;
	if (granted >= cl_op_majority(client))
		promised(client, op, now_us);
	else if (client->set.count - refusals < cl_op_majority(client))
		refused(client, op, now_us);
}

/* Counts the answers to the verdict. */
void
cl_resolve_written(struct cl_client *client, struct cl_op *op, int64_t now_us)
{
	uint32_t accepted, refusals;

	accepted = cl_op_count(client, op, 0);
	refusals = cl_op_arrived(client, op) - accepted;
	if (accepted >= cl_op_majority(client))
		end_with(client, op, &op->best);
	else if (client->set.count - refusals < cl_op_majority(client))
		again(client, op, now_us);
}
