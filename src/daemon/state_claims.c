#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "daemon/directory.h"
#include "daemon/state.h"

/*
 * The claims that this replica keeps.  If the replicated log first lists this
 * replica as a voter, it is one of the first replicas and its store starts
 * empty.  If it is first listed as a learner, it replaces another replica and
 * its store must copy the claims from the others.
 */

enum {
	US_PER_S = 1000000
};

static void
send_claim_message(struct node *node, uint32_t to, const struct claim_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, node->alloc);
	claim_msg_encode(msg, &bytes);
	node_send(node, to, PEER_CLAIM, &bytes);
	buf_free(&bytes);
}

/* Carries out an action of the claim store. */
static void
run_store_action(void *ctx, const struct claim_store_action *action)
{
	struct state *state = ctx;

	switch (action->kind) {
	case CLAIM_STORE_SEND:
		send_claim_message(state->node, action->to, action->msg);
		break;
	case CLAIM_STORE_PERSIST:
		state_append_record(state, JNL_KIND_CLAIMS, action->record,
		    action->record_len, OWNER_CLAIMS, action->sequence);
		break;
	case CLAIM_STORE_LEARNED:
		log_event(LOG_LEVEL_INFO, "claims_ready", "keys=%u",
		    claim_store_entry_count(state->claims));
		break;
	}
}

static void
create_store(struct state *state, bool replaced)
{
	struct claim_store_options options = {.alloc = state->node->alloc,
	    .emit = run_store_action,
	    .ctx = state,
	    .instance = directory_self(state->node->directory)->number,
	    .replaced = replaced};

	state->claims = claim_store_new(&options);
	log_event(LOG_LEVEL_INFO, "claims_opened", "replaced=%d", replaced);
}

/* Replays a journal record or, with image set, the image of a snapshot. */
int
state_claims_replay(
    struct state *state, const void *data, size_t len, bool image)
{
	if (state->claims == NULL)
		create_store(state, false);
	return image ? claim_store_restore_snapshot(state->claims, data, len)
		     : claim_store_replay(state->claims, data, len);
}

/* Creates the store once the log lists this replica as a member. */
static void
create_store_if_member(struct state *state, const struct rlog_status *status)
{
	for (size_t i = 0; i < status->member_count; i++) {
		if (status->members[i].id == status->id)
			create_store(state, !status->members[i].voter);
	}
}

/* Called after each step of the log: creates the store if it isn't yet. */
void
state_claims_open_if_member(struct state *state)
{
	struct rlog_status status;

	if (state->claims != NULL)
		return;
	rlog_status(state->rlog, &status);
	create_store_if_member(state, &status);
	if (state->claims != NULL && state->set.epoch > 0)
		claim_store_set_replicas(state->claims, &state->set);
}

/* Sets the replica set that the configuration names. */
void
state_claims_set_replicas(struct state *state, const struct claim_replicas *set)
{
	state->set = *set;
	if (state->claims != NULL)
		claim_store_set_replicas(state->claims, set);
}

/* Handles a message of a claimant or of another replica. */
void
state_claims_receive(
    struct state *state, uint32_t from, const struct claim_msg *msg)
{
	if (state->claims != NULL)
		claim_store_receive(
		    state->claims, loop_now_us(state->node->loop), from, msg);
}

/* Advances the store to the current time. */
void
state_claims_tick(struct state *state)
{
	if (state->claims != NULL)
		claim_store_tick(state->claims, loop_now_us(state->node->loop),
		    clock_wall_us() / US_PER_S);
}
