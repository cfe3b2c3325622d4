#include "state/member_core.h"

#include <string.h>

enum {
	ASK_JITTER_US = 200000
};

/* The roles of a data centre, under leases from the voters. */

static uint64_t
candidate(const struct mb_record *record)
{
	return (uint64_t)record->instance << 32 | (uint32_t)record->incarnation;
}

static uint32_t
voter_index(const struct mb *mb, uint32_t instance)
{
	uint32_t i;

	for (i = 0; i < mb->options.voter_count; i++)
		if (mb->options.voters[i] == instance)
			break;
	return i;
}

/* Prepares the leases; a voter of whatever data centre starts silent. */
void
mb_role_init(struct mb *mb, int64_t now_us)
{
	uint32_t i, d;

	for (i = 0; i < MB_ROLES; i++) {
		ls_hold_init(
		    &mb->holds[i], &mb->options.lease, mb->options.voter_count);
		for (d = 0; d < MB_DATA_CENTRES_MAX; d++)
			ls_vote_init(
			    &mb->votes[d][i], &mb->options.lease, now_us);
	}
}

/* Spreads the roles: the order of preference differs by role. */
static uint64_t
preference(uint32_t instance, enum mb_role role)
{
	uint64_t h;

	h = (instance + 1) * 0x9e3779b97f4a7c15ULL + role * 0x2545f491ULL;
	h ^= h >> 29;
	h *= 0xbf58476d1ce4e5b9ULL;
	return h ^ h >> 32;
}

/* Whether this instance should ask for a role: nobody has it, nobody is
 * preferred to it. */
static bool
wants(const struct mb *mb, enum mb_role role)
{
	const struct mb_peer *peer;
	uint32_t i;

	if (mb->leaving)
		return false;
	if ((mb->self.roles >> role & 1) != 0)
		return true;
	for (i = 0; i < mb->peer_count; i++) {
		peer = &mb->peers[i];
		if (peer->record.state != MB_ALIVE)
			continue;
		if ((peer->record.roles >> role & 1) != 0 ||
		    preference(peer->record.instance, role) >
			preference(mb->self.instance, role))
			return false;
	}
	return true;
}

static void
answered(
    struct mb *mb, int64_t now_us, uint32_t voter, const struct mb_msg *answer)
{
	struct mb_action action = {0};
	struct ls_hold *hold;

	hold = &mb->holds[answer->role];
	ls_hold_answer(
	    hold, now_us, voter, answer->round, answer->granted, answer->fence);
	if ((mb->self.roles >> answer->role & 1) != 0 ||
	    !ls_hold_valid(hold, now_us))
		return;
	mb->self.roles |= (uint8_t)(1U << answer->role);
	mb_self_changed(mb);
	action.kind = MB_ROLE_WON;
	action.role = answer->role;
	action.fence = hold->fence;
	mb->options.emit(mb->options.ctx, &action);
}

static void
vote(struct mb *mb, int64_t now_us, const struct mb_msg *ask,
    const struct mb_record *from, struct mb_msg *answer)
{
	memset(answer, 0, sizeof(*answer));
	answer->kind = MB_MSG_LEASE_ANSWER;
	answer->role = ask->role;
	answer->round = ask->round;
	answer->fence = ask->fence;
	answer->granted = ls_vote_ask(&mb->votes[ask->target][ask->role],
	    now_us, candidate(from), &answer->fence);
}

static void
ask_voters(struct mb *mb, int64_t now_us, enum mb_role role)
{
	struct mb_msg ask = {0}, answer;
	uint32_t i;

	ask.kind = MB_MSG_LEASE_ASK;
	ask.role = role;
	ask.target = mb->options.data_centre;
	ask.round = mb->holds[role].round;
	ask.fence = mb->holds[role].fence;
	for (i = 0; i < mb->options.voter_count; i++) {
		if (mb->options.voters[i] != mb->self.instance) {
			mb_send(mb, mb->options.voters[i], &ask);
			continue;
		}
		vote(mb, now_us, &ask, &mb->self, &answer);
		answered(mb, now_us, i, &answer);
	}
}

static void
lose(struct mb *mb, enum mb_role role)
{
	struct mb_action action = {0};

	mb->self.roles &= (uint8_t) ~(1U << role);
	mb_self_changed(mb);
	action.kind = MB_ROLE_LOST;
	action.role = role;
	mb->options.emit(mb->options.ctx, &action);
}

/* Renews what is held, asks for what is free, notes what has ended. */
void
mb_role_tick(struct mb *mb, int64_t now_us)
{
	struct ls_hold *hold;
	bool ask;
	uint32_t i;

	for (i = 0; i < MB_ROLES; i++) {
		hold = &mb->holds[i];
		if (!wants(mb, (enum mb_role)i))
			continue;
		ask = ls_hold_tick(
		    hold, now_us, rng_below(&mb->rng, ASK_JITTER_US));
		if ((mb->self.roles >> i & 1) != 0 &&
		    !ls_hold_valid(hold, now_us))
			lose(mb, (enum mb_role)i);
		if (ask)
			ask_voters(mb, now_us, (enum mb_role)i);
	}
}

/* Gives all roles back. */
void
mb_role_release(struct mb *mb)
{
	struct mb_msg msg;
	uint32_t i, v;

	for (i = 0; i < MB_ROLES; i++) {
		if ((mb->self.roles >> i & 1) == 0)
			continue;
		ls_hold_drop(&mb->holds[i]);
		ls_vote_release(&mb->votes[mb->options.data_centre][i],
		    candidate(&mb->self));
		lose(mb, (enum mb_role)i);
		for (v = 0; v < mb->options.voter_count; v++) {
			if (mb->options.voters[v] == mb->self.instance)
				continue;
			memset(&msg, 0, sizeof(msg));
			msg.kind = MB_MSG_LEASE_RELEASE;
			msg.role = (enum mb_role)i;
			msg.target = mb->options.data_centre;
			mb_send(mb, mb->options.voters[v], &msg);
		}
	}
}

/* Takes a question, an answer or a release. */
void
mb_role_message(
    struct mb *mb, int64_t now_us, uint32_t from, const struct mb_msg *msg)
{
	struct mb_msg answer;
	uint32_t voter;

	if (msg->target >= MB_DATA_CENTRES_MAX)
		return;
	if (msg->kind == MB_MSG_LEASE_ASK) {
		vote(mb, now_us, msg, &msg->self, &answer);
		mb_send(mb, from, &answer);
	} else if (msg->kind == MB_MSG_LEASE_RELEASE) {
		ls_vote_release(
		    &mb->votes[msg->target][msg->role], candidate(&msg->self));
	} else if (msg->kind == MB_MSG_LEASE_ANSWER && !mb->leaving) {
		voter = voter_index(mb, from);
		if (voter < mb->options.voter_count)
			answered(mb, now_us, voter, msg);
	}
}

/* Whether this instance holds a role, by the clock read just before. */
bool
mb_role_held(const struct mb *mb, enum mb_role role, int64_t now_us)
{
	return (mb->self.roles >> role & 1) != 0 &&
	       ls_hold_valid(&mb->holds[role], now_us);
}

/* Returns the instance that is believed to hold a role; 0: none known. */
uint32_t
mb_role_holder(const struct mb *mb, enum mb_role role)
{
	uint32_t i;

	if ((mb->self.roles >> role & 1) != 0)
		return mb->self.instance;
	for (i = 0; i < mb->peer_count; i++)
		if (mb_up(&mb->peers[i].record) &&
		    (mb->peers[i].record.roles >> role & 1) != 0)
			return mb->peers[i].record.instance;
	return 0;
}
