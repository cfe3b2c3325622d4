#include <string.h>

#include "state/rlog_i.h"

/*
 * Tells whether this replica is the leader; its lease may have expired
 * nevertheless.
 */
bool
rl_is_leader(const struct rl *rl)
{
	return rl->role == RL_LEADER;
}

/* Returns the current term, which is the fencing number of orders. */
uint64_t
rl_term(const struct rl *rl)
{
	return rl->term;
}

/* Returns the instance number of the known leader, or RL_NO_INSTANCE. */
uint64_t
rl_leader(const struct rl *rl)
{
	return rl->leader_instance;
}

/*
 * Returns the monotonic time in microseconds until which no other replica can
 * lead, or 0 if this replica holds no confirmed lease.
 */
int64_t
rl_lease_until_us(const struct rl *rl)
{
	return rl->role == RL_LEADER && rl->commit >= rl->term_start_index
		   ? rl->lease_until_us
		   : 0;
}

/*
 * Returns the monotonic time in microseconds at which the next RL_EV_TICK is
 * due, at most jump_us / 2 ahead, so that normal gaps stay well below jump_us.
 */
int64_t
rl_wake_us(const struct rl *rl)
{
	int64_t due = rl->now_us + rl->options.jump_us / 2;
	int64_t next =
	    rl->role == RL_LEADER ? rl->heartbeat_us : rlog_election_due_us(rl);

	if (rl->disk_failed)
		return due;
	if (rl->commit_due_us != 0 && rl->commit_due_us < next)
		next = rl->commit_due_us;
	return next < due ? next : due;
}

/* Returns the identity of this replica. */
uint64_t
rl_id(const struct rl *rl)
{
	return rl->id;
}

/*
 * Returns the index up to which a replica that restarts without peers would
 * apply entries again.
 */
uint64_t
rlog_durable_commit(const struct rl *rl)
{
	return rl->commit_durable < rl->durable ? rl->commit_durable
						: rl->durable;
}

/* Fills in the status that status pages show. */
void
rl_status(const struct rl *rl, struct rl_status *status)
{
	memset(status, 0, sizeof(*status));
	status->role = rl->role;
	status->id = rl->id;
	status->term = rl->term;
	status->first_index = rl->base_index + 1;
	status->last_index = rlog_last_index(rl);
	status->last_term = rlog_last_term(rl);
	status->durable_index = rl->durable;
	status->commit = rl->commit;
	status->applied = rl->applied;
	status->snapshot_index = rl->snapshot.index;
	status->log_bytes = rlog_bytes_between(
	    (struct rl *)rl, rl->base_index, rlog_last_index(rl));
	status->members_index = rl->config_index;
	status->member_count = rl->config.count;
	memcpy(status->members, rl->config.members,
	    rl->config.count * sizeof(rl->config.members[0]));
}
