#include <string.h>

#include "state/rlog_i.h"

/*
 * Tells whether this replica is the leader; its lease may have expired
 * nevertheless.
 */
bool
rlog_is_leader(const struct rlog *rlog)
{
	return rlog->role == RLOG_LEADER;
}

/* Returns the current term, which is the fencing number of orders. */
uint64_t
rlog_term(const struct rlog *rlog)
{
	return rlog->term;
}

/* Returns the instance number of the known leader, or RLOG_NO_INSTANCE. */
uint64_t
rlog_leader_instance(const struct rlog *rlog)
{
	return rlog->leader_instance;
}

/*
 * Returns the monotonic time in microseconds until which no other replica can
 * lead, or 0 if this replica holds no confirmed lease.
 */
int64_t
rlog_lease_until_us(const struct rlog *rlog)
{
	return rlog->role == RLOG_LEADER &&
		       rlog->commit >= rlog->term_start_index
		   ? rlog->lease_until_us
		   : 0;
}

/*
 * Returns the monotonic time in microseconds at which the next RLOG_EV_TICK is
 * due, at most jump_us / 2 ahead, so that normal gaps stay well below jump_us.
 */
int64_t
rlog_next_tick_us(const struct rlog *rlog)
{
	int64_t due = rlog->now_us + rlog->options.jump_us / 2;
	int64_t next = rlog->role == RLOG_LEADER ? rlog->heartbeat_us
						 : rlog_election_due_us(rlog);

	if (rlog->disk_failed)
		return due;
	if (rlog->commit_due_us != 0 && rlog->commit_due_us < next)
		next = rlog->commit_due_us;
	return next < due ? next : due;
}

/* Returns the identity of this replica. */
uint64_t
rlog_replica_id(const struct rlog *rlog)
{
	return rlog->id;
}

/*
 * Returns the index up to which a replica that restarts without peers would
 * apply entries again.
 */
uint64_t
rlog_durable_commit(const struct rlog *rlog)
{
	return rlog->commit_durable < rlog->durable ? rlog->commit_durable
						    : rlog->durable;
}

/* Fills in the status that status pages show. */
void
rlog_status(const struct rlog *rlog, struct rlog_status *status)
{
	memset(status, 0, sizeof(*status));
	status->role = rlog->role;
	status->id = rlog->id;
	status->term = rlog->term;
	status->first_index = rlog->base_index + 1;
	status->last_index = rlog_last_index(rlog);
	status->last_term = rlog_last_term(rlog);
	status->durable_index = rlog->durable;
	status->commit = rlog->commit;
	status->applied = rlog->applied;
	status->snapshot_index = rlog->snapshot.index;
	status->log_bytes = rlog_bytes_between(
	    (struct rlog *)rlog, rlog->base_index, rlog_last_index(rlog));
	status->members_index = rlog->config_index;
	status->member_count = rlog->config.count;
	memcpy(status->members, rlog->config.members,
	    rlog->config.count * sizeof(rlog->config.members[0]));
}
