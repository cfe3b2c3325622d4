#include <string.h>

#include "state/rlog_i.h"

/*
 * Tells whether new instances may join the log and silent voters are replaced.
 * With a fixed set of instances, only operators remove members.
 */
bool
rlog_has_open_membership(const struct rlog *rlog)
{
	return rlog->options.instances == 0;
}

static struct rlog_hello *
find_hello(struct rlog *rlog, uint64_t instance)
{
	for (size_t i = 0; i < rlog->hello_count; i++)
		if (rlog->hellos[i].instance == instance)
			return &rlog->hellos[i];
	return NULL;
}

/*
 * Returns the HELLO record of an instance.  A new one replaces the record that
 * was heard least recently if the table is full.
 */
static struct rlog_hello *
find_or_add_hello(struct rlog *rlog, uint64_t instance)
{
	struct rlog_hello *hello = find_hello(rlog, instance);

	if (hello != NULL)
		return hello;
	if (rlog->hello_count < RLOG_INSTANCES_MAX) {
		hello = &rlog->hellos[rlog->hello_count++];
	} else {
		hello = &rlog->hellos[0];
		for (size_t i = 1; i < RLOG_INSTANCES_MAX; i++)
			if (rlog->hellos[i].heard_us < hello->heard_us)
				hello = &rlog->hellos[i];
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
rlog_set_founders(struct rlog *rlog)
{
	const struct rlog_options *options = &rlog->options;

	for (size_t i = 0; i < options->founder_count && i < RLOG_MEMBERS_MAX;
	     i++)
		rlog->founders[rlog->founder_count++] = options->founders[i];
	for (uint64_t i = 0;
	     rlog->founder_count < RLOG_INSTANCES_MAX && i < RLOG_INSTANCES_MAX;
	     i++)
		if (options->instances >> i & 1)
			rlog->founders[rlog->founder_count++] = i;
	for (size_t i = 0; i < rlog->founder_count; i++)
		(void)find_or_add_hello(rlog, rlog->founders[i]);
	memcpy(
	    rlog->hello_targets, rlog->founders, sizeof(rlog->hello_targets));
	rlog->hello_target_count = rlog->founder_count;
}

/*
 * Sets the instances that receive this replica's HELLO messages while it is not
 * a voter: those that are known to have a replica, or may have one.
 */
void
rlog_set_hello_targets(
    struct rlog *rlog, const uint64_t *instances, size_t count)
{
	if (count > RLOG_INSTANCES_MAX)
		count = RLOG_INSTANCES_MAX;
	memcpy(rlog->hello_targets, instances, count * sizeof(*instances));
	rlog->hello_target_count = count;
}

/* Tells whether an identity is a voter in the latest configuration. */
bool
rlog_is_voter(const struct rlog *rlog, uint64_t id)
{
	size_t i;

	for (i = 0; i < rlog->config.count; i++)
		if (rlog->config.members[i].id == id)
			return rlog->config.members[i].voter;
	return false;
}

/* Returns the number of voters in the latest configuration. */
size_t
rlog_voter_count(const struct rlog *rlog)
{
	size_t count = 0, i;

	for (i = 0; i < rlog->config.count; i++)
		if (rlog->config.members[i].voter)
			count++;
	return count;
}

/* Returns the replication progress of another member, or NULL. */
struct rlog_peer *
rlog_find_peer(struct rlog *rlog, uint64_t id)
{
	size_t i;

	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].id == id)
			return &rlog->peers[i];
	return NULL;
}

/* Tells whether an identity is a voter or a learner. */
bool
rlog_is_member(const struct rlog *rlog, uint64_t id)
{
	size_t i;

	for (i = 0; i < rlog->config.count; i++)
		if (rlog->config.members[i].id == id)
			return true;
	return false;
}

/*
 * Rebuilds the peer table from the configuration; the progress of remaining
 * members is kept.
 */
static void
refresh_peers(struct rlog *rlog)
{
	struct rlog_peer peers[RLOG_MEMBERS_MAX];
	const struct rlog_member *member;
	const struct rlog_peer *old;
	size_t count = 0, i;

	memset(peers, 0, sizeof(peers));
	for (i = 0; i < rlog->config.count; i++) {
		member = &rlog->config.members[i];
		if (member->id == rlog->id)
			continue;
		old = rlog_find_peer(rlog, member->id);
		if (old != NULL) {
			peers[count++] = *old;
			continue;
		}
		peers[count].id = member->id;
		peers[count].instance = member->instance;
		peers[count].next = rlog_last_index(rlog) + 1;
		peers[count].heard_us = rlog->now_us;
		count++;
	}
	memcpy(rlog->peers, peers, sizeof(peers));
	rlog->peer_count = count;
}

/*
 * Marks the identities that are voters, so that with a fixed set of instances a
 * voter that an operator removes later can't join again through an old HELLO.
 */
static void
mark_known_voters(struct rlog *rlog)
{
	const struct rlog_member *member;
	struct rlog_hello *hello;
	size_t i;

	for (i = 0; i < rlog->config.count; i++) {
		member = &rlog->config.members[i];
		if (!member->voter)
			continue;
		hello = find_hello(rlog, member->instance);
		if (hello != NULL && hello->id == member->id)
			hello->was_voter = true;
	}
}

/*
 * Applies the latest configuration in the log.  A configuration takes effect as
 * soon as it is appended, committed or not.
 */
void
rlog_config_reload(struct rlog *rlog)
{
	size_t i = rlog->slot_count;

	rlog->config = rlog->base_config;
	rlog->config_index = rlog->base_index;
	while (i-- > 0) {
		const struct rlog_slot *slot = &rlog->slots[i];

		if (slot->kind != RLOG_ENTRY_MEMBERS)
			continue;
		if (rlog_config_decode(slot->data, slot->len, &rlog->config) ==
		    0)
			rlog->config_index = rlog->base_index + 1 + i;
		break;
	}
	refresh_peers(rlog);
	mark_known_voters(rlog);
}

/* Tells whether the data folder has never been part of a log. */
bool
rlog_is_empty(const struct rlog *rlog)
{
	return rlog->term == 0 && rlog_last_index(rlog) == 0;
}

/* Appends a configuration to the log; it takes effect at once. */
void
rlog_append_config(struct rlog *rlog, const struct rlog_config *config)
{
	struct buf data;

	buf_init(&data, rlog->alloc);
	rlog_config_encode(config, &data);
	(void)rlog_log_append(
	    rlog, rlog->term, RLOG_ENTRY_MEMBERS, data.data, data.len);
	buf_free(&data);
	rlog_persist_entry(rlog, rlog_last_index(rlog));
}

static uint64_t
lowest_instance(const struct rlog *rlog)
{
	uint64_t lowest = UINT64_MAX;

	for (size_t i = 0; i < rlog->founder_count; i++)
		if (rlog->founders[i] < lowest)
			lowest = rlog->founders[i];
	return rlog->founder_count > 0 ? lowest : (uint64_t)RLOG_NO_INSTANCE;
}

static bool
all_founders_empty(struct rlog *rlog)
{
	const struct rlog_hello *hello;
	size_t i;

	for (i = 0; i < rlog->founder_count; i++) {
		if (rlog->founders[i] == rlog->options.instance)
			continue;
		hello = find_or_add_hello(rlog, rlog->founders[i]);
		if (hello->id == 0 || !hello->empty ||
		    hello->heard_us + RLOG_HELLO_TTL_US < rlog->now_us)
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
form_log(struct rlog *rlog)
{
	struct rlog_config config = {0};
	size_t i;

	for (i = 0; i < rlog->founder_count && config.count < RLOG_MEMBERS_MAX;
	     i++) {
		struct rlog_member *member = &config.members[config.count];
		uint64_t founder = rlog->founders[i];

		member->id = founder == rlog->options.instance
				 ? rlog->id
				 : find_or_add_hello(rlog, founder)->id;
		member->instance = founder;
		member->voter = true;
		config.count++;
	}
	rlog->term = 1;
	rlog->voted_for = rlog->id;
	rlog_persist_vote(rlog);
	rlog_append_config(rlog, &config);
	rlog_reset_election_timer(rlog);
}

static void
send_hello(struct rlog *rlog, uint64_t instance, uint64_t to_id)
{
	struct rlog_msg msg = rlog_new_msg(rlog, RLOG_MSG_HELLO, to_id);

	msg.ok = rlog_is_empty(rlog);
	msg.joinable = !rlog->was_voter || rlog_has_open_membership(rlog);
	rlog_send(rlog, instance, &msg);
}

/*
 * Tells whether this replica introduces itself to the others.  One that has
 * never been a voter does so until a leader has added it.  A former voter may
 * have been removed while it was cut off, which it can't learn from the leader
 * that no longer sends to it; it asks to be added again under its identity,
 * with its log and its vote.
 */
static bool
seeks_leader(const struct rlog *rlog)
{
	if (!rlog->was_voter)
		return !rlog_is_member(rlog, rlog->id) || rlog->leader_id == 0;
	return rlog_has_open_membership(rlog) && rlog->role != RLOG_LEADER &&
	       rlog->now_us - rlog->leader_heard_us >=
		   rlog_silence_limit_us(rlog);
}

static void
record_own_vote_right(struct rlog *rlog)
{
	if (rlog->was_voter || !rlog_is_voter(rlog, rlog->id))
		return;
	rlog->was_voter = true;
	rlog_persist_identity(rlog);
}

/*
 * Sends HELLO messages while no leader sends to this replica, and forms the log
 * if this replica is the lowest founder and all founders are empty.
 */
void
rlog_hello_tick(struct rlog *rlog)
{
	size_t i;

	record_own_vote_right(rlog);
	if (rlog->leaving || rlog->now_us < rlog->next_hello_us)
		return;
	rlog->next_hello_us = rlog->now_us + 2 * rlog->options.heartbeat_us;
	if (!seeks_leader(rlog))
		return;
	for (i = 0; i < rlog->hello_target_count; i++)
		if (rlog->hello_targets[i] != rlog->options.instance)
			send_hello(rlog, rlog->hello_targets[i], 0);
	if (rlog_is_empty(rlog) &&
	    lowest_instance(rlog) == rlog->options.instance &&
	    all_founders_empty(rlog))
		form_log(rlog);
}

/*
 * Records a HELLO.  An empty replica replies to the lowest founder, addressed
 * by identity.  Only such a reply counts as a report of an empty folder for
 * forming the log, since an unsolicited HELLO may have been delayed for long
 * and says nothing about the present.
 */
void
rlog_on_hello(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rlog_hello *hello;

	/* With a fixed set of instances, others can't join. */
	if (rlog->options.instances != 0 &&
	    (msg->from_instance >= RLOG_INSTANCES_MAX ||
		(rlog->options.instances >> msg->from_instance & 1) == 0))
		return;
	hello = find_or_add_hello(rlog, msg->from_instance);
	if (hello->id != msg->from_id)
		hello->was_voter = false;
	if (hello->id != msg->from_id || !msg->ok)
		hello->empty = false;
	else if (msg->to_id == rlog->id)
		hello->empty = true;
	hello->id = msg->from_id;
	hello->heard_us = rlog->now_us;
	hello->joinable = msg->joinable;
	hello->was_voter |= rlog_is_voter(rlog, msg->from_id);
	if (msg->to_id == 0 && rlog_is_empty(rlog) &&
	    msg->from_instance == lowest_instance(rlog))
		send_hello(rlog, msg->from_instance, msg->from_id);
}

/*
 * Handles an operator's request to remove a replica of an instance permanently.
 */
void
rlog_on_remove(struct rlog *rlog, uint64_t instance, uint64_t token)
{
	struct rlog_config config = rlog->config;
	size_t i = config.count;

	if (rlog->role != RLOG_LEADER) {
		rlog_refuse(rlog, token, ERR_NOT_LEADER);
		return;
	}
	while (i-- > 0)
		if (config.members[i].instance == instance)
			break;
	if (i == (size_t)-1) {
		rlog_refuse(rlog, token, ERR_NOT_FOUND);
		return;
	}
	if (!rlog_may_change_members(rlog) || rlog->remove_index != 0 ||
	    (config.members[i].voter && rlog_voter_count(rlog) == 1)) {
		rlog_refuse(rlog, token, ERR_CONFLICT);
		return;
	}
	rlog_remove_member_at(&config, i);
	rlog_append_config(rlog, &config);
	rlog->remove_token = token;
	rlog->remove_index = rlog_last_index(rlog);
}

/*
 * Handles a newly committed configuration: reports a finished removal, and
 * steps down if this replica is no longer a voter.
 */
void
rlog_member_committed(struct rlog *rlog)
{
	struct rlog_action *action;

	if (rlog->remove_index != 0 && rlog->commit >= rlog->remove_index) {
		action = rlog_add_action(rlog, RLOG_ACT_REMOVED);
		action->u.done.token = rlog->remove_token;
		rlog->remove_index = 0;
		rlog->remove_token = 0;
	}
	if (rlog->config_index <= rlog->commit &&
	    !rlog_is_voter(rlog, rlog->id))
		rlog_become_follower(rlog, rlog->term, 0, 0);
}
