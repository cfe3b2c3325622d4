#include "state/member_i.h"

/* Roles of the data centre, held under leases from a majority of voters. */

enum {
	JITTER_US = 300000,
	BACKOFF_US =
	    1000000, /* upper bound of the random delay after a split vote */
	ROUND_SHIFT = 33 /* rounds begin below 2^31: at most 5 bytes sent */
};

static uint64_t
candidate_id(const struct mb *mb)
{
	/* Differs per incarnation: a restart does not inherit a lease. */
	return mb->self.incarnation * 0x9e3779b97f4a7c15u ^ mb->self.instance;
}

/*
 * Initialises the candidate for each role.  The first round number depends on
 * the incarnation, so that a late answer to an earlier life is not counted.
 */
void
member_role_init(struct mb *mb)
{
	for (int role = 0; role < MEMBER_ROLES; role++) {
		struct lease_holder *hold = &mb->roles[role].hold;

		lease_holder_init(
		    hold, &mb->options.lease, mb->options.voter_count);
		hold->round = candidate_id(mb) >> ROUND_SHIFT;
	}
}

/* Returns the index of a voter, or -1 if the instance is not one. */
static int
voter_rank(const struct mb *mb, uint32_t instance)
{
	for (uint32_t i = 0; i < mb->options.voter_count; i++) {
		if (mb->options.voters[i] == instance)
			return (int)i;
	}
	return -1;
}

/* Returns whether this instance holds a role; now_us must be just read. */
bool
mb_role_held(const struct mb *mb, enum member_role role, int64_t now_us)
{
	return mb->leave_done_us == 0 &&
	       lease_holder_is_valid(&mb->roles[role].hold, now_us);
}

/* Returns the instance that last reported to hold a role, or 0. */
uint32_t
mb_role_holder(const struct mb *mb, enum member_role role)
{
	if (mb->self.roles >> role & 1)
		return mb->self.instance;
	for (uint32_t i = 0; i < mb->count; i++) {
		const struct mb_record *r = &mb->members[i].record;

		if (r->state == MB_ALIVE && (r->roles >> role & 1) != 0)
			return r->instance;
	}
	return 0;
}

/* Returns the vote that a candidate's message refers to. */
static struct member_vote *
vote_of(struct mb *mb, const struct mb_msg *msg)
{
	return &mb->roles[msg->role].votes[msg->target % MB_DATA_CENTRES_MAX];
}

static void
answer_request(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	struct member_vote *vote = vote_of(mb, msg);
	struct mb_msg answer = {.kind = MEMBER_MSG_LEASE_ANSWER,
	    .role = msg->role,
	    .target = msg->target,
	    .round = msg->round};

	answer.granted = lease_voter_request(
	    &vote->lease, mb->now_us, msg->fence, &answer.fence);
	if (answer.granted && vote->holder != msg->fence)
		vote->round = 0;
	if (answer.granted && msg->round > vote->round)
		vote->round = msg->round;
	vote->holder = vote->lease.holder;
	member_send(mb, from, &answer);
}

static void
request_votes(struct mb *mb, enum member_role role)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_LEASE_REQUEST,
	    .role = role,
	    .target = mb->options.data_centre,
	    .round = mb->roles[role].hold.round,
	    .fence = candidate_id(mb)};

	mb->roles[role].asked_round = msg.round;
	for (uint32_t i = 0; i < mb->options.voter_count; i++)
		member_send(mb, mb->options.voters[i], &msg);
}

/* Updates the own record and emits an action when a role is won or lost. */
static void
update_held(struct mb *mb, enum member_role role)
{
	struct member_role_state *r = &mb->roles[role];
	bool held = mb_role_held(mb, role, mb->now_us);
	struct mb_action action = {.role = role, .fence = r->hold.fence};

	if (held == r->held)
		return;
	r->held = held;
	action.kind = held ? MB_ROLE_WON : MB_ROLE_LOST;
	mb->self.roles = (uint8_t)((mb->self.roles & ~(1u << role)) |
				   (held ? 1u << role : 0));
	mb->self.version++;
	/* The other data centres send no work here until they know a relay. */
	if (held && role == MB_RELAY)
		mb->summary_due_us = mb->now_us;
	member_emit(mb, &action);
}

/* Renews held roles and requests those without a known holder. */
void
member_role_tick(struct mb *mb)
{
	for (int role = 0; role < MEMBER_ROLES; role++) {
		uint32_t holder = mb_role_holder(mb, (enum member_role)role);
		struct lease_holder *hold = &mb->roles[role].hold;

		update_held(mb, (enum member_role)role);
		if (mb->leave_done_us != 0 ||
		    (holder != 0 && holder != mb->self.instance)) {
			hold->seen_us = mb->now_us;
			continue;
		}
		if (lease_holder_tick(
			hold, mb->now_us, rng_below(&mb->rng, JITTER_US)))
			request_votes(mb, (enum member_role)role);
	}
}

static void
release_votes(struct mb *mb, enum member_role role)
{
	struct mb_msg msg = {.kind = MEMBER_MSG_LEASE_RELEASE,
	    .role = role,
	    .target = mb->options.data_centre,
	    .round = mb->roles[role].asked_round,
	    .fence = candidate_id(mb)};

	for (uint32_t i = 0; i < mb->options.voter_count; i++)
		member_send(mb, mb->options.voters[i], &msg);
}

/* Releases its votes when a voter has already granted another candidate. */
static void
yield_role(struct mb *mb, enum member_role role)
{
	struct lease_holder *hold = &mb->roles[role].hold;

	lease_holder_drop(hold);
	hold->due_us = mb->now_us + rng_below(&mb->rng, BACKOFF_US);
	release_votes(mb, role);
}

/* Handles a candidate's request, a voter's answer, or a release. */
void
member_role_receive(struct mb *mb, uint32_t from, const struct mb_msg *msg)
{
	struct member_role_state *r = &mb->roles[msg->role];
	int rank = voter_rank(mb, from);

	if (msg->kind == MEMBER_MSG_LEASE_REQUEST) {
		answer_request(mb, from, msg);
	} else if (msg->kind == MEMBER_MSG_LEASE_RELEASE) {
		/* A reordered release must not revoke a later vote. */
		if (msg->round >= vote_of(mb, msg)->round)
			lease_voter_release(
			    &vote_of(mb, msg)->lease, msg->fence);
	} else if (!msg->granted && !r->held && msg->round == r->hold.round) {
		yield_role(mb, msg->role);
	} else if (rank >= 0) {
		lease_holder_on_reply(&r->hold, mb->now_us, (uint32_t)rank,
		    msg->round, msg->granted, msg->fence);
		update_held(mb, msg->role);
	}
}

/* Releases all held roles before leaving. */
void
member_role_release(struct mb *mb)
{
	for (int role = 0; role < MEMBER_ROLES; role++) {
		if (!mb->roles[role].held)
			continue;
		lease_holder_drop(&mb->roles[role].hold);
		update_held(mb, (enum member_role)role);
		release_votes(mb, (enum member_role)role);
	}
}
