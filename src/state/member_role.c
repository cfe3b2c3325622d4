#include "state/member_i.h"

/* Roles of the data centre, held under leases from a majority of voters. */

enum {
	JITTER_US = 300000,
	/* Upper bound of the random delay after a split vote. */
	BACKOFF_US = 1000000,
	ROUND_SHIFT = 33 /* rounds begin below 2^31: at most 5 bytes sent */
};

static uint64_t
candidate_id(const struct membership *membership)
{
	/* Differs per incarnation: a restart does not inherit a lease. */
	return membership->self.incarnation * 0x9e3779b97f4a7c15u ^
	       membership->self.instance;
}

/*
 * Initialises the candidate for each role.  The first round number depends on
 * the incarnation, so that a late answer to an earlier life is not counted.
 */
void
member_role_init(struct membership *membership)
{
	for (int role = 0; role < MEMBER_ROLES; role++) {
		struct lease_holder *hold = &membership->roles[role].hold;

		lease_holder_init(hold, &membership->options.lease,
		    membership->options.voter_count);
		hold->round = candidate_id(membership) >> ROUND_SHIFT;
	}
}

/* Returns the index of a voter, or -1 if the instance is not one. */
static int
voter_rank(const struct membership *membership, uint32_t instance)
{
	for (uint32_t i = 0; i < membership->options.voter_count; i++) {
		if (membership->options.voters[i] == instance)
			return (int)i;
	}
	return -1;
}

/* Returns whether this instance holds a role; now_us must be just read. */
bool
member_role_held(
    const struct membership *membership, enum member_role role, int64_t now_us)
{
	return membership->leave_done_us == 0 &&
	       lease_holder_is_valid(&membership->roles[role].hold, now_us);
}

/* Returns the instance that last reported to hold a role, or 0. */
uint32_t
member_role_holder(const struct membership *membership, enum member_role role)
{
	if (membership->self.roles >> role & 1)
		return membership->self.instance;
	for (uint32_t i = 0; i < membership->count; i++) {
		const struct member_record *r = &membership->members[i].record;

		if (r->state == MEMBER_ALIVE && (r->roles >> role & 1) != 0)
			return r->instance;
	}
	return 0;
}

/* Returns the vote that a candidate's message refers to. */
static struct member_vote *
vote_of(struct membership *membership, const struct member_msg *msg)
{
	return &membership->roles[msg->role]
		    .votes[msg->target % MEMBER_DATA_CENTRES_MAX];
}

static void
answer_request(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	struct member_vote *vote = vote_of(membership, msg);
	struct member_msg answer = {.kind = MEMBER_MSG_LEASE_ANSWER,
	    .role = msg->role,
	    .target = msg->target,
	    .round = msg->round};

	answer.granted = lease_voter_request(
	    &vote->lease, membership->now_us, msg->fence, &answer.fence);
	if (answer.granted && vote->holder != msg->fence)
		vote->round = 0;
	if (answer.granted && msg->round > vote->round)
		vote->round = msg->round;
	vote->holder = vote->lease.holder;
	member_send(membership, from, &answer);
}

static void
request_votes(struct membership *membership, enum member_role role)
{
	struct member_msg msg = {.kind = MEMBER_MSG_LEASE_REQUEST,
	    .role = role,
	    .target = membership->options.data_centre,
	    .round = membership->roles[role].hold.round,
	    .fence = candidate_id(membership)};

	membership->roles[role].asked_round = msg.round;
	for (uint32_t i = 0; i < membership->options.voter_count; i++)
		member_send(membership, membership->options.voters[i], &msg);
}

/* Updates the own record and emits an action when a role is won or lost. */
static void
update_held(struct membership *membership, enum member_role role)
{
	struct member_role_state *r = &membership->roles[role];
	bool held = member_role_held(membership, role, membership->now_us);
	struct member_action action = {.role = role, .fence = r->hold.fence};

	if (held == r->held)
		return;
	r->held = held;
	action.kind = held ? MEMBER_ROLE_WON : MEMBER_ROLE_LOST;
	membership->self.roles =
	    (uint8_t)((membership->self.roles & ~(1u << role)) |
		      (held ? 1u << role : 0));
	membership->self.version++;
	/* The other data centres send no work here until they know a relay. */
	if (held && role == MEMBER_RELAY)
		membership->summary_due_us = membership->now_us;
	member_emit(membership, &action);
}

/* Renews held roles and requests those without a known holder. */
void
member_role_tick(struct membership *membership)
{
	for (int role = 0; role < MEMBER_ROLES; role++) {
		uint32_t holder =
		    member_role_holder(membership, (enum member_role)role);
		struct lease_holder *hold = &membership->roles[role].hold;

		update_held(membership, (enum member_role)role);
		if (membership->leave_done_us != 0 ||
		    (holder != 0 && holder != membership->self.instance)) {
			hold->seen_us = membership->now_us;
			continue;
		}
		if (lease_holder_tick(hold, membership->now_us,
			rng_below(&membership->rng, JITTER_US)))
			request_votes(membership, (enum member_role)role);
	}
}

static void
release_votes(struct membership *membership, enum member_role role)
{
	struct member_msg msg = {.kind = MEMBER_MSG_LEASE_RELEASE,
	    .role = role,
	    .target = membership->options.data_centre,
	    .round = membership->roles[role].asked_round,
	    .fence = candidate_id(membership)};

	for (uint32_t i = 0; i < membership->options.voter_count; i++)
		member_send(membership, membership->options.voters[i], &msg);
}

/* Releases its votes when a voter has already granted another candidate. */
static void
yield_role(struct membership *membership, enum member_role role)
{
	struct lease_holder *hold = &membership->roles[role].hold;

	lease_holder_drop(hold);
	hold->due_us =
	    membership->now_us + rng_below(&membership->rng, BACKOFF_US);
	release_votes(membership, role);
}

/* Handles a candidate's request, a voter's answer, or a release. */
void
member_role_receive(
    struct membership *membership, uint32_t from, const struct member_msg *msg)
{
	struct member_role_state *r = &membership->roles[msg->role];
	int rank = voter_rank(membership, from);

	if (msg->kind == MEMBER_MSG_LEASE_REQUEST) {
		answer_request(membership, from, msg);
	} else if (msg->kind == MEMBER_MSG_LEASE_RELEASE) {
		/* A reordered release must not revoke a later vote. */
		if (msg->round >= vote_of(membership, msg)->round)
			lease_voter_release(
			    &vote_of(membership, msg)->lease, msg->fence);
	} else if (!msg->granted && !r->held && msg->round == r->hold.round) {
		yield_role(membership, msg->role);
	} else if (rank >= 0) {
		lease_holder_on_reply(&r->hold, membership->now_us,
		    (uint32_t)rank, msg->round, msg->granted, msg->fence);
		update_held(membership, msg->role);
	}
}

/* Releases all held roles before leaving. */
void
member_role_release(struct membership *membership)
{
	for (int role = 0; role < MEMBER_ROLES; role++) {
		if (!membership->roles[role].held)
			continue;
		lease_holder_drop(&membership->roles[role].hold);
		update_held(membership, (enum member_role)role);
		release_votes(membership, (enum member_role)role);
	}
}
