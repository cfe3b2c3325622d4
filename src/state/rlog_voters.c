#include <string.h>

#include "state/rlog_i.h"

/*
 * Decides which members vote, one change at a time and only while a quorum
 * commits the changes.
 *
 * A learner that has caught up becomes a voter.  A voter that has been silent
 * for rlog_silence_limit_us() becomes a learner if it can be spared, as its
 * instance may never return.  One that does return still gets the leader's
 * messages, catches up and votes again.
 */

enum {
	VOTERS_MAX = 9, /* further instances stand by as learners */
	/* Silence after which a learner is forgotten. */
	LEARNER_EXPIRY_US = 60000000
};

/* Returns the name of a change for logs. */
const char *
rlog_member_change_name(enum rlog_member_change change)
{
	switch (change) {
	case RLOG_MEMBER_JOINED:
		return "joined";
	case RLOG_MEMBER_PROMOTED:
		return "promoted";
	case RLOG_MEMBER_DEMOTED:
		return "demoted";
	case RLOG_MEMBER_REPLACED:
		return "replaced";
	case RLOG_MEMBER_EXPIRED:
		return "expired";
	}
	return "unknown";
}

/*
 * Returns the silence in microseconds after which an instance may be gone for
 * good.  A leader that only restarts is replaced in less.
 */
int64_t
rlog_silence_limit_us(const struct rlog *rlog)
{
	return 2 * rlog->options.election_max_us;
}

/*
 * Tells whether the members may be changed: the last change and an entry of the
 * leader's term have to be committed, so that each two successive quorums
 * overlap.
 */
bool
rlog_may_change_members(const struct rlog *rlog)
{
	if (rlog->role != RLOG_LEADER || rlog->handover_until_us != 0)
		return false;
	return rlog->options.unsafe_overlap_changes ||
	       (rlog->commit >= rlog->term_start_index &&
		   rlog->config_index <= rlog->commit);
}

/* Removes the member at position i. */
void
rlog_remove_member_at(struct rlog_config *config, size_t i)
{
	config->count--;
	memmove(&config->members[i], &config->members[i + 1],
	    (config->count - i) * sizeof(config->members[0]));
}

/* Returns for how long a member has been silent; 0 for this replica. */
static int64_t
silence_us(struct rlog *rlog, const struct rlog_member *member)
{
	const struct rlog_peer *peer = rlog_find_peer(rlog, member->id);

	return peer != NULL ? rlog->now_us - peer->heard_us : 0;
}

/*
 * Returns the number of voters, this replica included, that have replied to it
 * as this term's leader within the last within_us.
 */
static size_t
count_heard_voters(struct rlog *rlog, int64_t within_us)
{
	size_t count = rlog_is_voter(rlog, rlog->id) ? 1 : 0;

	for (size_t i = 0; i < rlog->peer_count; i++) {
		const struct rlog_peer *peer = &rlog->peers[i];

		if (rlog_is_voter(rlog, peer->id) &&
		    peer->acked_round >= rlog->min_round &&
		    rlog->now_us - peer->heard_us < within_us)
			count++;
	}
	return count;
}

/*
 * Returns the voter, or the learner, that has been silent for longest, and for
 * at_least_us; config->count if there is none.  Of several, the oldest member.
 */
static size_t
find_silent(struct rlog *rlog, const struct rlog_config *config, bool voter,
    int64_t at_least_us)
{
	size_t found = config->count;
	int64_t longest_us = at_least_us - 1;

	for (size_t i = 0; i < config->count; i++) {
		int64_t silent_us = silence_us(rlog, &config->members[i]);

		if (config->members[i].voter != voter ||
		    silent_us <= longest_us)
			continue;
		longest_us = silent_us;
		found = i;
	}
	return found;
}

static void
report_change(struct rlog *rlog, enum rlog_member_change change,
    const struct rlog_member *member)
{
	struct rlog_action *action = rlog_add_action(rlog, RLOG_ACT_MEMBERS);

	action->u.members.change = change;
	action->u.members.instance = member->instance;
	action->u.members.silent_us = silence_us(rlog, member);
}

static void
drop_member(struct rlog *rlog, struct rlog_config *config, size_t i,
    enum rlog_member_change change)
{
	report_change(rlog, change, &config->members[i]);
	rlog_remove_member_at(config, i);
}

static bool
wants_to_join(const struct rlog *rlog, const struct rlog_hello *hello)
{
	return hello->id != 0 && hello->joinable &&
	       (!hello->was_voter || rlog_has_open_membership(rlog)) &&
	       hello->heard_us + RLOG_HELLO_TTL_US > rlog->now_us &&
	       !rlog_is_member(rlog, hello->id);
}

/*
 * Makes room for a learner of an instance.  An older learner of the instance
 * goes first, then, if the table is full, the learner that has been silent for
 * longest.  Returns whether the configuration changed.
 */
static bool
make_room(struct rlog *rlog, struct rlog_config *config, uint64_t instance)
{
	size_t i;

	for (i = 0; i < config->count; i++) {
		if (config->members[i].instance == instance &&
		    !config->members[i].voter) {
			drop_member(rlog, config, i, RLOG_MEMBER_REPLACED);
			return true;
		}
	}
	if (config->count < RLOG_MEMBERS_MAX || !rlog_has_open_membership(rlog))
		return false;
	i = find_silent(rlog, config, false, rlog_silence_limit_us(rlog));
	if (i == config->count)
		return false;
	drop_member(rlog, config, i, RLOG_MEMBER_EXPIRED);
	return true;
}

/*
 * Adds a replica that asked for it as a learner.  Returns whether the
 * configuration changed.
 */
static bool
add_learner(struct rlog *rlog, struct rlog_config *config)
{
	const struct rlog_hello *hello;
	struct rlog_member *member;

	for (size_t h = 0; h < rlog->hello_count; h++) {
		hello = &rlog->hellos[h];
		if (!wants_to_join(rlog, hello))
			continue;
		if (make_room(rlog, config, hello->instance))
			return true;
		if (config->count == RLOG_MEMBERS_MAX)
			return false;
		member = &config->members[config->count++];
		member->id = hello->id;
		member->instance = hello->instance;
		member->voter = rlog->options.unsafe_vote_uncaught;
		report_change(rlog, RLOG_MEMBER_JOINED, member);
		return true;
	}
	return false;
}

static bool
has_caught_up(struct rlog *rlog, const struct rlog_peer *peer)
{
	return peer->state == RLOG_PEER_REPLICATE &&
	       peer->match >= rlog->base_index &&
	       peer->heard_us + 2 * rlog->options.heartbeat_us > rlog->now_us &&
	       rlog_bytes_between(rlog, peer->match, rlog_last_index(rlog)) <=
		   rlog->options.window_bytes / 4;
}

static size_t
find_replaced_voter(const struct rlog_config *config, size_t i)
{
	size_t j;

	for (j = 0; j < config->count; j++)
		if (j != i && config->members[j].voter &&
		    config->members[j].instance == config->members[i].instance)
			return j;
	return i;
}

/*
 * Tells whether another voter may be added: all voters are heard, or one is
 * gone and could not be spared before.  As long as it is open which of them are
 * gone, a newcomer would raise the quorum while their votes still count.  The
 * new voter comes before the old one goes where that is needed, as the old one
 * may be alive while another voter loses its disk.
 */
static bool
may_add_voter(struct rlog *rlog)
{
	size_t voters = rlog_voter_count(rlog);
	bool one_is_gone =
	    find_silent(rlog, &rlog->config, true,
		rlog_silence_limit_us(rlog)) < rlog->config.count;

	if (!rlog_has_open_membership(rlog) ||
	    rlog->options.unsafe_keep_silent_voters)
		return true;
	if (voters > VOTERS_MAX || (voters == VOTERS_MAX && !one_is_gone))
		return false;
	return one_is_gone || count_heard_voters(rlog,
				  rlog->options.election_max_us) == voters;
}

/*
 * Promotes a learner that has caught up to voter.  An old identity of its
 * instance has lost its disk and is removed first, in a separate change: with
 * both as voters, the quorum would be larger while one of its members is known
 * to be dead.
 */
static bool
promote_learner(struct rlog *rlog, struct rlog_config *config)
{
	const struct rlog_peer *peer;
	size_t i, j;

	for (i = 0; i < config->count; i++) {
		peer = rlog_find_peer(rlog, config->members[i].id);
		if (peer == NULL || config->members[i].voter ||
		    !has_caught_up(rlog, peer))
			continue;
		j = find_replaced_voter(config, i);
		if (j == i && may_add_voter(rlog)) {
			config->members[i].voter = true;
			report_change(
			    rlog, RLOG_MEMBER_PROMOTED, &config->members[i]);
			return true;
		}
		if (j == i || config->members[j].id == rlog->id ||
		    silence_us(rlog, &config->members[j]) <
			rlog->options.election_max_us)
			continue;
		drop_member(rlog, config, j, RLOG_MEMBER_REPLACED);
		return true;
	}
	return false;
}

/*
 * Tells whether a silent voter can be spared, though it may be alive and its
 * demotion may not be committed before other voters are lost.  With an even
 * number of voters the quorum becomes smaller, so that nothing is lost.  With
 * an odd number, those that are heard have to be a quorum without it even after
 * as many losses as are to be borne.
 */
static bool
can_spare_voter(struct rlog *rlog)
{
	size_t voters = rlog_voter_count(rlog);
	size_t heard = count_heard_voters(rlog, 2 * rlog->options.heartbeat_us);
	size_t losses = (rlog->options.voters_min - 1) / 2;

	if (voters <= rlog->options.voters_min)
		return false;
	return voters % 2 == 0 || heard >= (voters - 1) / 2 + 1 + losses;
}

/* Tells whether this replica, as leader, takes the votes of silent voters. */
bool
rlog_replaces_voters(const struct rlog *rlog)
{
	return rlog_has_open_membership(rlog) &&
	       !rlog->options.unsafe_keep_silent_voters;
}

/* Takes the vote of the voter that has been silent for longest. */
static bool
demote_silent_voter(struct rlog *rlog, struct rlog_config *config)
{
	size_t i = find_silent(rlog, config, true, rlog_silence_limit_us(rlog));

	if (i == config->count || !can_spare_voter(rlog))
		return false;
	report_change(rlog, RLOG_MEMBER_DEMOTED, &config->members[i]);
	config->members[i].voter = false;
	return true;
}

static bool
expire_learner(struct rlog *rlog, struct rlog_config *config)
{
	size_t i = find_silent(rlog, config, false, LEARNER_EXPIRY_US);

	if (i == config->count)
		return false;
	drop_member(rlog, config, i, RLOG_MEMBER_EXPIRED);
	return true;
}

static bool
choose_change(struct rlog *rlog, struct rlog_config *config)
{
	if (rlog_replaces_voters(rlog) && demote_silent_voter(rlog, config))
		return true;
	if (promote_learner(rlog, config))
		return true;
	if (rlog_has_open_membership(rlog) && expire_learner(rlog, config))
		return true;
	return add_learner(rlog, config);
}

/* Makes the next change of the members, if one is due. */
void
rlog_voters_tick(struct rlog *rlog)
{
	struct rlog_config config = rlog->config;
	size_t reported = rlog->out->count;

	if (!rlog_may_change_members(rlog) || !choose_change(rlog, &config))
		return;
	rlog_append_config(rlog, &config);
	rlog->out->items[reported].u.members.voters = rlog_voter_count(rlog);
}
