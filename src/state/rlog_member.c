#include <string.h>

#include "state/rlog_i.h"

static struct rlog_hello *
find_hello(struct rl *rl, uint64_t instance)
{
	for (size_t i = 0; i < rl->hello_count; i++)
		if (rl->hellos[i].instance == instance)
			return &rl->hellos[i];
	return NULL;
}

/*
 * Returns the HELLO record of an instance.  A new one replaces the record that
 * was heard least recently if the table is full.
 */
static struct rlog_hello *
find_or_add_hello(struct rl *rl, uint64_t instance)
{
	struct rlog_hello *hello = find_hello(rl, instance);

	if (hello != NULL)
		return hello;
	if (rl->hello_count < RL_INSTANCES_MAX) {
		hello = &rl->hellos[rl->hello_count++];
	} else {
		hello = &rl->hellos[0];
		for (size_t i = 1; i < RL_INSTANCES_MAX; i++)
			if (rl->hellos[i].heard_us < hello->heard_us)
				hello = &rl->hellos[i];
	}
	memset(hello, 0, sizeof(*hello));
	hello->instance = instance;
	return hello;
}

/*
 * Reads the founders from the options and makes them the initial targets of
 * HELLO messages.
 */
void
rlog_set_founders(struct rl *rl)
{
	const struct rl_options *options = &rl->options;

	for (size_t i = 0; i < options->founder_count && i < RLOG_MEMBERS_MAX;
	     i++)
		rl->founders[rl->founder_count++] = options->founders[i];
	for (uint64_t i = 0;
	     rl->founder_count < RL_INSTANCES_MAX && i < RL_INSTANCES_MAX; i++)
		if (options->instances >> i & 1)
			rl->founders[rl->founder_count++] = i;
	for (size_t i = 0; i < rl->founder_count; i++)
		(void)find_or_add_hello(rl, rl->founders[i]);
	memcpy(rl->hello_targets, rl->founders, sizeof(rl->hello_targets));
	rl->hello_target_count = rl->founder_count;
}

/*
 * Sets the instances that receive this replica's HELLO messages while it is not
 * a voter: those that are known to have a replica, or may have one.
 */
void
rl_introduce(struct rl *rl, const uint64_t *instances, size_t count)
{
	if (count > RL_INSTANCES_MAX)
		count = RL_INSTANCES_MAX;
	memcpy(rl->hello_targets, instances, count * sizeof(*instances));
	rl->hello_target_count = count;
}

/* Tells whether an identity is a voter in the latest configuration. */
bool
rlog_is_voter(const struct rl *rl, uint64_t id)
{
	size_t i;

	for (i = 0; i < rl->config.count; i++)
		if (rl->config.members[i].id == id)
			return rl->config.members[i].voter;
	return false;
}

/* Returns the number of voters in the latest configuration. */
size_t
rlog_voter_count(const struct rl *rl)
{
	size_t count = 0, i;

	for (i = 0; i < rl->config.count; i++)
		if (rl->config.members[i].voter)
			count++;
	return count;
}

/* Returns the replication progress of another member, or NULL. */
struct rlog_peer *
rlog_find_peer(struct rl *rl, uint64_t id)
{
	size_t i;

	for (i = 0; i < rl->peer_count; i++)
		if (rl->peers[i].id == id)
			return &rl->peers[i];
	return NULL;
}

static bool
is_member(const struct rl *rl, uint64_t id)
{
	size_t i;

	for (i = 0; i < rl->config.count; i++)
		if (rl->config.members[i].id == id)
			return true;
	return false;
}

/*
 * Rebuilds the peer table from the configuration; the progress of remaining
 * members is kept.
 */
static void
refresh_peers(struct rl *rl)
{
	struct rlog_peer peers[RLOG_MEMBERS_MAX];
	const struct rl_member *member;
	const struct rlog_peer *old;
	size_t count = 0, i;

	memset(peers, 0, sizeof(peers));
	for (i = 0; i < rl->config.count; i++) {
		member = &rl->config.members[i];
		if (member->id == rl->id)
			continue;
		old = rlog_find_peer(rl, member->id);
		if (old != NULL) {
			peers[count++] = *old;
			continue;
		}
		peers[count].id = member->id;
		peers[count].instance = member->instance;
		peers[count].next = rlog_last_index(rl) + 1;
		peers[count].heard_us = rl->now_us;
		count++;
	}
	memcpy(rl->peers, peers, sizeof(peers));
	rl->peer_count = count;
}

/*
 * Marks the identities that are voters, so that a voter that is removed later
 * can't join again through an old HELLO.
 */
static void
mark_known_voters(struct rl *rl)
{
	const struct rl_member *member;
	struct rlog_hello *hello;
	size_t i;

	for (i = 0; i < rl->config.count; i++) {
		member = &rl->config.members[i];
		if (!member->voter)
			continue;
		hello = find_hello(rl, member->instance);
		if (hello != NULL && hello->id == member->id)
			hello->was_voter = true;
	}
}

/*
 * Applies the latest configuration in the log.  A configuration takes effect as
 * soon as it is appended, committed or not.
 */
void
rlog_config_reload(struct rl *rl)
{
	size_t i = rl->slot_count;

	rl->config = rl->base_config;
	rl->config_index = rl->base_index;
	while (i-- > 0) {
		const struct rlog_slot *slot = &rl->slots[i];

		if (slot->kind != RLOG_ENTRY_MEMBERS)
			continue;
		if (rlog_config_decode(slot->data, slot->len, &rl->config) == 0)
			rl->config_index = rl->base_index + 1 + i;
		break;
	}
	refresh_peers(rl);
	mark_known_voters(rl);
}

/* Tells whether the data folder has never been part of a log. */
bool
rlog_is_empty(const struct rl *rl)
{
	return rl->term == 0 && rlog_last_index(rl) == 0;
}

static void
append_config(struct rl *rl, const struct rlog_config *config)
{
	struct buf data;

	buf_init(&data, rl->alloc);
	rlog_config_encode(config, &data);
	(void)rlog_log_append(
	    rl, rl->term, RLOG_ENTRY_MEMBERS, data.data, data.len);
	buf_free(&data);
	rlog_persist_entry(rl, rlog_last_index(rl));
}

static uint64_t
lowest_instance(const struct rl *rl)
{
	uint64_t lowest = UINT64_MAX;

	for (size_t i = 0; i < rl->founder_count; i++)
		if (rl->founders[i] < lowest)
			lowest = rl->founders[i];
	return rl->founder_count > 0 ? lowest : (uint64_t)RL_NO_INSTANCE;
}

static bool
all_founders_empty(struct rl *rl)
{
	const struct rlog_hello *hello;
	size_t i;

	for (i = 0; i < rl->founder_count; i++) {
		if (rl->founders[i] == rl->options.instance)
			continue;
		hello = find_or_add_hello(rl, rl->founders[i]);
		if (hello->id == 0 || !hello->empty ||
		    hello->heard_us + RLOG_HELLO_TTL_US < rl->now_us)
			return false;
	}
	return true;
}

/*
 * Forms the log with every founder as a voter.  A replica that has ever been
 * part of a log never reports an empty folder, so a replica that lost its disk
 * can't form a second log while another holds the first.
 */
static void
form_log(struct rl *rl)
{
	struct rlog_config config = {0};
	size_t i;

	for (i = 0; i < rl->founder_count && config.count < RLOG_MEMBERS_MAX;
	     i++) {
		struct rl_member *member = &config.members[config.count];
		uint64_t founder = rl->founders[i];

		member->id = founder == rl->options.instance
				 ? rl->id
				 : find_or_add_hello(rl, founder)->id;
		member->instance = founder;
		member->voter = true;
		config.count++;
	}
	rl->term = 1;
	rl->voted_for = rl->id;
	rlog_persist_vote(rl);
	append_config(rl, &config);
	rlog_reset_election_timer(rl);
}

static void
send_hello(struct rl *rl, uint64_t instance, uint64_t to_id)
{
	struct rl_msg msg = rlog_new_msg(rl, RLOG_MSG_HELLO, to_id);

	msg.ok = rlog_is_empty(rl);
	msg.joinable = !rl->was_voter;
	rlog_send(rl, instance, &msg);
}

static void
record_own_vote_right(struct rl *rl)
{
	if (rl->was_voter || !rlog_is_voter(rl, rl->id))
		return;
	rl->was_voter = true;
	rlog_persist_identity(rl);
}

/*
 * Sends HELLO messages while this replica has never been a voter and hears from
 * no leader, and forms the log if this replica is the lowest founder and all
 * founders are empty.
 */
void
rlog_hello_tick(struct rl *rl)
{
	size_t i;

	record_own_vote_right(rl);
	if (rl->was_voter || rl->leaving || rl->now_us < rl->next_hello_us)
		return;
	rl->next_hello_us = rl->now_us + 2 * rl->options.heartbeat_us;
	if (is_member(rl, rl->id) && rl->leader_id != 0)
		return;
	for (i = 0; i < rl->hello_target_count; i++)
		if (rl->hello_targets[i] != rl->options.instance)
			send_hello(rl, rl->hello_targets[i], 0);
	if (rlog_is_empty(rl) && lowest_instance(rl) == rl->options.instance &&
	    all_founders_empty(rl))
		form_log(rl);
}

/*
 * Records a HELLO.  An empty replica replies to the lowest founder, addressed
 * by identity.  Only such a reply counts as a report of an empty folder for
 * forming the log, since an unsolicited HELLO may have been delayed for long
 * and says nothing about the present.
 */
void
rlog_on_hello(struct rl *rl, const struct rl_msg *msg)
{
	struct rlog_hello *hello;

	/* With a fixed set of instances, others can't join. */
	if (rl->options.instances != 0 &&
	    (msg->from_instance >= RL_INSTANCES_MAX ||
		(rl->options.instances >> msg->from_instance & 1) == 0))
		return;
	hello = find_or_add_hello(rl, msg->from_instance);
	if (hello->id != msg->from_id)
		hello->was_voter = false;
	if (hello->id != msg->from_id || !msg->ok)
		hello->empty = false;
	else if (msg->to_id == rl->id)
		hello->empty = true;
	hello->id = msg->from_id;
	hello->heard_us = rl->now_us;
	hello->joinable = msg->joinable;
	hello->was_voter |= rlog_is_voter(rl, msg->from_id);
	if (msg->to_id == 0 && rlog_is_empty(rl) &&
	    msg->from_instance == lowest_instance(rl))
		send_hello(rl, msg->from_instance, msg->from_id);
}

static bool
is_fresh(const struct rl *rl, const struct rlog_hello *hello)
{
	return hello->id != 0 && hello->joinable && !hello->was_voter &&
	       hello->heard_us + RLOG_HELLO_TTL_US > rl->now_us;
}

static void
remove_member_at(struct rlog_config *config, size_t i)
{
	config->count--;
	memmove(&config->members[i], &config->members[i + 1],
	    (config->count - i) * sizeof(config->members[0]));
}

/*
 * Adds a new replica as a learner.  An older learner of the same instance is
 * removed first.  Returns whether the configuration changed.
 */
static bool
add_learner(struct rl *rl, struct rlog_config *config)
{
	const struct rlog_hello *hello;
	struct rl_member *member;
	size_t h;
	size_t i;

	for (h = 0; h < rl->hello_count; h++) {
		hello = &rl->hellos[h];
		if (!is_fresh(rl, hello) || is_member(rl, hello->id))
			continue;
		for (i = 0; i < config->count; i++) {
			if (config->members[i].instance == hello->instance &&
			    !config->members[i].voter) {
				remove_member_at(config, i);
				return true;
			}
		}
		if (config->count == RLOG_MEMBERS_MAX)
			return false;
		member = &config->members[config->count++];
		member->id = hello->id;
		member->instance = hello->instance;
		member->voter = rl->options.unsafe_vote_uncaught;
		return true;
	}
	return false;
}

static bool
has_caught_up(struct rl *rl, const struct rlog_peer *peer)
{
	return peer->state == RLOG_PEER_REPLICATE &&
	       peer->match >= rl->base_index &&
	       peer->heard_us + 2 * rl->options.heartbeat_us > rl->now_us &&
	       rlog_bytes_between(rl, peer->match, rlog_last_index(rl)) <=
		   rl->options.window_bytes / 4;
}

static size_t
find_replaced_voter(const struct rlog_config *config, size_t i)
{
	size_t j;

	for (j = 0; j < i; j++)
		if (config->members[j].voter &&
		    config->members[j].instance == config->members[i].instance)
			return j;
	return i;
}

/*
 * Promotes a learner that has caught up to voter.  The old identity of its
 * instance is removed first, in a separate change: with both as voters, the
 * quorum would be larger while one of its members is known to be dead.
 */
static bool
promote_learner(struct rl *rl, struct rlog_config *config)
{
	const struct rlog_peer *peer, *old;
	size_t i, j;

	for (i = 0; i < config->count; i++) {
		peer = rlog_find_peer(rl, config->members[i].id);
		if (peer == NULL || config->members[i].voter ||
		    !has_caught_up(rl, peer))
			continue;
		j = find_replaced_voter(config, i);
		if (j == i) {
			config->members[i].voter = true;
			return true;
		}
		old = rlog_find_peer(rl, config->members[j].id);
		if (old == NULL ||
		    old->heard_us + rl->options.election_max_us > rl->now_us)
			continue;
		remove_member_at(config, j);
		return true;
	}
	return false;
}

static bool
may_change_members(const struct rl *rl)
{
	return rl->role == RL_LEADER && rl->commit >= rl->term_start_index &&
	       rl->config_index <= rl->commit && rl->handover_until_us == 0;
}

/*
 * Makes the next membership change, one at a time: promotes a learner or adds
 * one.
 */
void
rlog_member_tick(struct rl *rl)
{
	struct rlog_config config = rl->config;

	if (!may_change_members(rl))
		return;
	if (promote_learner(rl, &config) || add_learner(rl, &config))
		append_config(rl, &config);
}

/*
 * Handles an operator's request to remove a replica of an instance permanently.
 */
void
rlog_on_remove(struct rl *rl, uint64_t instance, uint64_t token)
{
	struct rlog_config config = rl->config;
	size_t i = config.count;

	if (rl->role != RL_LEADER) {
		rlog_refuse(rl, token, ERR_NOT_LEADER);
		return;
	}
	while (i-- > 0)
		if (config.members[i].instance == instance)
			break;
	if (i == (size_t)-1) {
		rlog_refuse(rl, token, ERR_NOT_FOUND);
		return;
	}
	if (!may_change_members(rl) || rl->remove_index != 0 ||
	    (config.members[i].voter && rlog_voter_count(rl) == 1)) {
		rlog_refuse(rl, token, ERR_CONFLICT);
		return;
	}
	remove_member_at(&config, i);
	append_config(rl, &config);
	rl->remove_token = token;
	rl->remove_index = rlog_last_index(rl);
}

/*
 * Handles a newly committed configuration: reports a finished removal, and
 * steps down if this replica is no longer a voter.
 */
void
rlog_member_committed(struct rl *rl)
{
	struct rl_action *action;

	if (rl->remove_index != 0 && rl->commit >= rl->remove_index) {
		action = rlog_add_action(rl, RL_ACT_DONE);
		action->u.done.token = rl->remove_token;
		rl->remove_index = 0;
		rl->remove_token = 0;
	}
	if (rl->config_index <= rl->commit && !rlog_is_voter(rl, rl->id))
		rlog_become_follower(rl, rl->term, 0, 0);
}
