#include <string.h>

#include "state/rlog_i.h"

static struct rl_hello *
find_hello(struct rlog *rlog, uint64_t instance)
{
	for (size_t i = 0; i < rlog->hello_count; i++)
		if (rlog->hellos[i].instance == instance)
			return &rlog->hellos[i];
	return NULL;
}

/* Returns the row of an instance; a new one takes the oldest when full. */
static struct rl_hello *
get_hello(struct rlog *rlog, uint64_t instance)
{
	struct rl_hello *hello = find_hello(rlog, instance);

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

/* Takes the founders from the options; they are known from the beginning. */
void
rl_set_founders(struct rlog *rlog)
{
	const struct rlog_options *options = &rlog->options;

	for (size_t i = 0; i < options->founder_count && i < RL_MEMBERS_MAX;
	     i++)
		rlog->founders[rlog->founder_count++] = options->founders[i];
	for (uint64_t i = 0;
	     rlog->founder_count < RLOG_INSTANCES_MAX && i < RLOG_INSTANCES_MAX;
	     i++)
		if (options->instances >> i & 1)
			rlog->founders[rlog->founder_count++] = i;
	for (size_t i = 0; i < rlog->founder_count; i++)
		(void)get_hello(rlog, rlog->founders[i]);
	memcpy(rlog->known, rlog->founders, sizeof(rlog->known));
	rlog->known_count = rlog->founder_count;
}

/*
 * Sets the instances that this replica introduces itself to while it is no
 * voter: those that are known to keep a replica, or may do so.
 */
void
rlog_set_hello_targets(
    struct rlog *rlog, const uint64_t *instances, size_t count)
{
	if (count > RLOG_INSTANCES_MAX)
		count = RLOG_INSTANCES_MAX;
	memcpy(rlog->known, instances, count * sizeof(*instances));
	rlog->known_count = count;
}

/* Tells whether an identity is a voter in the latest configuration. */
bool
rl_is_voter(const struct rlog *rlog, uint64_t id)
{
	size_t i;

	for (i = 0; i < rlog->config.count; i++)
		if (rlog->config.members[i].id == id)
			return rlog->config.members[i].voter;
	return false;
}

/* Returns the number of voters in the latest configuration. */
size_t
rl_voter_count(const struct rlog *rlog)
{
	size_t count = 0, i;

	for (i = 0; i < rlog->config.count; i++)
		if (rlog->config.members[i].voter)
			count++;
	return count;
}

/* Returns the progress of another member, or NULL. */
struct rl_peer *
rl_peer_of(struct rlog *rlog, uint64_t id)
{
	size_t i;

	for (i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].id == id)
			return &rlog->peers[i];
	return NULL;
}

static bool
is_member(const struct rlog *rlog, uint64_t id)
{
	size_t i;

	for (i = 0; i < rlog->config.count; i++)
		if (rlog->config.members[i].id == id)
			return true;
	return false;
}

/* Gives every other member a row of progress, keeping the rows that stay. */
static void
refresh_peers(struct rlog *rlog)
{
	struct rl_peer peers[RL_MEMBERS_MAX];
	const struct rlog_member *member;
	const struct rl_peer *old;
	size_t count = 0, i;

	memset(peers, 0, sizeof(peers));
	for (i = 0; i < rlog->config.count; i++) {
		member = &rlog->config.members[i];
		if (member->id == rlog->id)
			continue;
		old = rl_peer_of(rlog, member->id);
		if (old != NULL) {
			peers[count++] = *old;
			continue;
		}
		peers[count].id = member->id;
		peers[count].instance = member->instance;
		peers[count].next = rl_last_index(rlog) + 1;
		peers[count].heard_us = rlog->now_us;
		count++;
	}
	memcpy(rlog->peers, peers, sizeof(peers));
	rlog->peer_count = count;
}

/* A voter that is removed must not join again on an old introduction. */
static void
note_voters(struct rlog *rlog)
{
	const struct rlog_member *member;
	struct rl_hello *hello;
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
 * Takes the latest configuration in the log into use: it binds from the moment
 * that it is written, committed or not.
 */
void
rl_config_refresh(struct rlog *rlog)
{
	size_t i = rlog->slot_count;

	rlog->config = rlog->base_config;
	rlog->config_index = rlog->base_index;
	while (i-- > 0) {
		const struct rl_slot *slot = &rlog->slots[i];

		if (slot->kind != RL_ENTRY_MEMBERS)
			continue;
		if (rl_config_decode(slot->data, slot->len, &rlog->config) == 0)
			rlog->config_index = rlog->base_index + 1 + i;
		break;
	}
	refresh_peers(rlog);
	note_voters(rlog);
}

/* Tells whether this folder has never taken part in a log. */
bool
rl_is_empty(const struct rlog *rlog)
{
	return rlog->term == 0 && rl_last_index(rlog) == 0;
}

static void
write_config(struct rlog *rlog, const struct rl_config *config)
{
	struct buf data;

	buf_init(&data, rlog->alloc);
	rl_config_encode(config, &data);
	(void)rl_log_add(
	    rlog, rlog->term, RL_ENTRY_MEMBERS, data.data, data.len);
	buf_free(&data);
	rl_persist_entry(rlog, rl_last_index(rlog));
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
all_empty(struct rlog *rlog)
{
	const struct rl_hello *hello;
	size_t i;

	for (i = 0; i < rlog->founder_count; i++) {
		if (rlog->founders[i] == rlog->options.instance)
			continue;
		hello = get_hello(rlog, rlog->founders[i]);
		if (hello->id == 0 || !hello->empty ||
		    hello->heard_us + RL_HELLO_FRESH_US < rlog->now_us)
			return false;
	}
	return true;
}

/*
 * Forms the log with every founder as a voter.  Any replica that has ever
 * taken part keeps silent about being empty, so a lost disk forms no second
 * log while another holds the first.
 */
static void
form(struct rlog *rlog)
{
	struct rl_config config = {0};
	size_t i;

	for (i = 0; i < rlog->founder_count && config.count < RL_MEMBERS_MAX;
	     i++) {
		struct rlog_member *member = &config.members[config.count];
		uint64_t founder = rlog->founders[i];

		member->id = founder == rlog->options.instance
				 ? rlog->id
				 : get_hello(rlog, founder)->id;
		member->instance = founder;
		member->voter = true;
		config.count++;
	}
	rlog->term = 1;
	rlog->voted_for = rlog->id;
	rl_persist_vote(rlog);
	write_config(rlog, &config);
	rl_rest_election(rlog);
}

static void
send_hello(struct rlog *rlog, uint64_t instance, uint64_t to_id)
{
	struct rlog_msg msg = rl_msg_to(rlog, RL_MSG_HELLO, to_id);

	msg.ok = rl_is_empty(rlog);
	msg.joinable = !rlog->was_voter;
	rl_send(rlog, instance, &msg);
}

static void
note_voter(struct rlog *rlog)
{
	if (rlog->was_voter || !rl_is_voter(rlog, rlog->id))
		return;
	rlog->was_voter = true;
	rl_persist_identity(rlog);
}

/* Introduces this replica while it is no voter and hears from no leader. */
void
rl_hello_tick(struct rlog *rlog)
{
	size_t i;

	note_voter(rlog);
	if (rlog->was_voter || rlog->leaving || rlog->now_us < rlog->hello_us)
		return;
	rlog->hello_us = rlog->now_us + 2 * rlog->options.heartbeat_us;
	if (is_member(rlog, rlog->id) && rlog->leader_id != 0)
		return;
	for (i = 0; i < rlog->known_count; i++)
		if (rlog->known[i] != rlog->options.instance)
			send_hello(rlog, rlog->known[i], 0);
	if (rl_is_empty(rlog) &&
	    lowest_instance(rlog) == rlog->options.instance && all_empty(rlog))
		form(rlog);
}

/*
 * Notes an introduction.  An empty replica answers the lowest instance by its
 * identity; only such an answer counts towards forming the log, since an
 * introduction that was long under way says nothing about now.
 */
void
rl_on_hello(struct rlog *rlog, const struct rlog_msg *msg)
{
	struct rl_hello *hello;

	/* A fixed set takes in nobody from outside of it. */
	if (rlog->options.instances != 0 &&
	    (msg->from_instance >= RLOG_INSTANCES_MAX ||
		(rlog->options.instances >> msg->from_instance & 1) == 0))
		return;
	hello = get_hello(rlog, msg->from_instance);
	if (hello->id != msg->from_id)
		hello->was_voter = false;
	if (hello->id != msg->from_id || !msg->ok)
		hello->empty = false;
	else if (msg->to_id == rlog->id)
		hello->empty = true;
	hello->id = msg->from_id;
	hello->heard_us = rlog->now_us;
	hello->joinable = msg->joinable;
	hello->was_voter |= rl_is_voter(rlog, msg->from_id);
	if (msg->to_id == 0 && rl_is_empty(rlog) &&
	    msg->from_instance == lowest_instance(rlog))
		send_hello(rlog, msg->from_instance, msg->from_id);
}

static bool
is_fresh(const struct rlog *rlog, const struct rl_hello *hello)
{
	return hello->id != 0 && hello->joinable && !hello->was_voter &&
	       hello->heard_us + RL_HELLO_FRESH_US > rlog->now_us;
}

static void
remove_at(struct rl_config *config, size_t i)
{
	config->count--;
	memmove(&config->members[i], &config->members[i + 1],
	    (config->count - i) * sizeof(config->members[0]));
}

/* Takes in a newcomer as a learner, in place of an older learner there. */
static bool
add_learner(struct rlog *rlog, struct rl_config *config)
{
	const struct rl_hello *hello;
	struct rlog_member *member;
	size_t h;
	size_t i;

	for (h = 0; h < rlog->hello_count; h++) {
		hello = &rlog->hellos[h];
		if (!is_fresh(rlog, hello) || is_member(rlog, hello->id))
			continue;
		for (i = 0; i < config->count; i++) {
			if (config->members[i].instance == hello->instance &&
			    !config->members[i].voter) {
				remove_at(config, i);
				return true;
			}
		}
		if (config->count == RL_MEMBERS_MAX)
			return false;
		member = &config->members[config->count++];
		member->id = hello->id;
		member->instance = hello->instance;
		member->voter = rlog->options.unsafe_vote_uncaught;
		return true;
	}
	return false;
}

static bool
has_caught_up(struct rlog *rlog, const struct rl_peer *peer)
{
	return peer->state == RL_REPLICATE && peer->match >= rlog->base_index &&
	       peer->heard_us + 2 * rlog->options.heartbeat_us > rlog->now_us &&
	       rl_bytes_between(rlog, peer->match, rl_last_index(rlog)) <=
		   rlog->options.window_bytes / 4;
}

static size_t
older_voter(const struct rl_config *config, size_t i)
{
	size_t j;

	for (j = 0; j < i; j++)
		if (config->members[j].voter &&
		    config->members[j].instance == config->members[i].instance)
			return j;
	return i;
}

/*
 * Gives a learner that has caught up its vote.  The identity that its instance
 * had before goes first, a moment earlier: with both voting, the quorum would
 * be larger while one of its members is known to be dead.
 */
static bool
promote_learner(struct rlog *rlog, struct rl_config *config)
{
	const struct rl_peer *peer, *old;
	size_t i, j;

	for (i = 0; i < config->count; i++) {
		peer = rl_peer_of(rlog, config->members[i].id);
		if (peer == NULL || config->members[i].voter ||
		    !has_caught_up(rlog, peer))
			continue;
		j = older_voter(config, i);
		if (j == i) {
			config->members[i].voter = true;
			return true;
		}
		old = rl_peer_of(rlog, config->members[j].id);
		if (old == NULL ||
		    old->heard_us + rlog->options.election_max_us >
			rlog->now_us)
			continue;
		remove_at(config, j);
		return true;
	}
	return false;
}

static bool
may_change(const struct rlog *rlog)
{
	return rlog->role == RLOG_LEADER && rlog->commit >= rlog->term_start &&
	       rlog->config_index <= rlog->commit &&
	       rlog->handover_until_us == 0;
}

/* Takes the next step of a repair: one change of membership at a time. */
void
rl_member_tick(struct rlog *rlog)
{
	struct rl_config config = rlog->config;

	if (!may_change(rlog))
		return;
	if (promote_learner(rlog, &config) || add_learner(rlog, &config))
		write_config(rlog, &config);
}

/* Removes every replica of an instance for good, at an operator's word. */
void
rl_on_remove(struct rlog *rlog, uint64_t instance, uint64_t token)
{
	struct rl_config config = rlog->config;
	size_t i = config.count;

	if (rlog->role != RLOG_LEADER) {
		rl_refuse(rlog, token, ERR_NOT_LEADER);
		return;
	}
	while (i-- > 0)
		if (config.members[i].instance == instance)
			break;
	if (i == (size_t)-1) {
		rl_refuse(rlog, token, ERR_NOT_FOUND);
		return;
	}
	if (!may_change(rlog) || rlog->remove_index != 0 ||
	    (config.members[i].voter && rl_voter_count(rlog) == 1)) {
		rl_refuse(rlog, token, ERR_CONFLICT);
		return;
	}
	remove_at(&config, i);
	write_config(rlog, &config);
	rlog->remove_token = token;
	rlog->remove_index = rl_last_index(rlog);
}

/* Acts on a configuration that has become committed. */
void
rl_member_committed(struct rlog *rlog)
{
	struct rlog_action *action;

	if (rlog->remove_index != 0 && rlog->commit >= rlog->remove_index) {
		action = rl_emit(rlog, RLOG_ACT_REMOVED);
		action->u.done.token = rlog->remove_token;
		rlog->remove_index = 0;
		rlog->remove_token = 0;
	}
	if (rlog->config_index <= rlog->commit && !rl_is_voter(rlog, rlog->id))
		rl_become_follower(rlog, rlog->term, 0, 0);
}
