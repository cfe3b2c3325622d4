#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "daemon/directory.h"
#include "daemon/state.h"

/*
 * The claims that this replica keeps.  Whether its store starts empty as one
 * of the first replicas, or must learn as a replacement, follows from how the
 * replicated log first shows this replica: as a voter or as a learner.
 */

enum {
	US_PER_S = 1000000
};

static void
send_message(struct node *node, uint32_t to, const struct claim_msg *msg)
{
	struct buf bytes;

	buf_init(&bytes, node->alloc);
	claim_msg_encode(msg, &bytes);
	node_send(node, to, PEER_CLAIM, &bytes);
	buf_free(&bytes);
}

static void
emit(void *ctx, const struct claim_store_action *action)
{
	struct state *state = ctx;

	switch (action->kind) {
	case CLAIM_STORE_SEND:
		send_message(state->node, action->to, action->msg);
		break;
	case CLAIM_STORE_PERSIST:
		state_append(state, JNL_KIND_CLAIMS, action->record,
		    action->record_len, OWNER_CLAIMS, action->sequence);
		break;
	case CLAIM_STORE_LEARNED:
		log_event(LOG_LEVEL_INFO, "claims_ready", "keys=%u",
		    claim_store_entry_count(state->claims));
		break;
	}
}

static void
create(struct state *state, bool replaced)
{
	struct claim_store_options options = {.alloc = state->node->alloc,
	    .emit = emit,
	    .ctx = state,
	    .instance = directory_self(state->node->directory)->number,
	    .replaced = replaced};

	state->claims = claim_store_new(&options);
	log_event(LOG_LEVEL_INFO, "claims_opened", "replaced=%d", replaced);
}

/* Replays a journal record, or an image of a journal snapshot. */
int
state_claims_replay(
    struct state *state, const void *data, size_t len, bool image)
{
	if (state->claims == NULL)
		create(state, false);
	return image ? claim_store_restore_snapshot(state->claims, data, len)
		     : claim_store_replay(state->claims, data, len);
}

static void
create_when_known(struct state *state, const struct rlog_status *status)
{
	for (size_t i = 0; i < status->member_count; i++) {
		if (status->members[i].id == status->id)
			create(state, !status->members[i].voter);
	}
}

/* Follows the replicated log's membership: is this replica new in an old set?
 */
void
state_claims_members(struct state *state)
{
	struct rlog_status status;

	if (state->claims != NULL)
		return;
	rlog_status(state->rlog, &status);
	create_when_known(state, &status);
	if (state->claims != NULL && state->set.epoch > 0)
		claim_store_set_replicas(state->claims, &state->set);
}

/* Takes the set of replicas that the configuration names. */
void
state_claims_set(struct state *state, const struct claim_replicas *set)
{
	state->set = *set;
	if (state->claims != NULL)
		claim_store_set_replicas(state->claims, set);
}

/* Takes a claimant's or another replica's message. */
void
state_claims_message(
    struct state *state, uint32_t from, const struct claim_msg *msg)
{
	if (state->claims != NULL)
		claim_store_receive(
		    state->claims, loop_now_us(state->node->loop), from, msg);
}

/* Lets time pass. */
void
state_claims_tick(struct state *state)
{
	if (state->claims != NULL)
		claim_store_tick(state->claims, loop_now_us(state->node->loop),
		    clock_wall_us() / US_PER_S);
}
