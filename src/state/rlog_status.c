#include <string.h>

#include "state/rlog_i.h"

/* Tells whether this replica leads; its lease may be over all the same. */
bool
rlog_is_leader(const struct rlog *rlog)
{
	return rlog->role == RLOG_LEADER;
}

/* Returns the current term: the fencing number of orders. */
uint64_t
rlog_term(const struct rlog *rlog)
{
	return rlog->term;
}

/* Returns the instance of the known leader, or RLOG_NO_INSTANCE. */
uint64_t
rlog_leader_instance(const struct rlog *rlog)
{
	return rlog->leader_instance;
}

/* Returns until when no other replica can lead; 0 if that is not known. */
int64_t
rlog_lease_until_us(const struct rlog *rlog)
{
	return rlog->role == RLOG_LEADER && rlog->commit >= rlog->term_start
		   ? rlog->lease_until_us
		   : 0;
}

/* Returns when the next RLOG_EV_TICK is due; gaps stay well under jump_us. */
int64_t
rlog_next_tick_us(const struct rlog *rlog)
{
	int64_t due = rlog->now_us + rlog->options.jump_us / 2;
	int64_t next = rlog->role == RLOG_LEADER ? rlog->heartbeat_us
						 : rl_election_due_us(rlog);

	if (rlog->dead)
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

/* Returns the index up to which a restart without peers would apply again. */
uint64_t
rl_durable_commit(const struct rlog *rlog)
{
	return rlog->commit_durable < rlog->durable ? rlog->commit_durable
						    : rlog->durable;
}

/* Copies what status pages show. */
void
rlog_status(const struct rlog *rlog, struct rlog_status *status)
{
	memset(status, 0, sizeof(*status));
	status->role = rlog->role;
	status->id = rlog->id;
	status->term = rlog->term;
	status->first_index = rlog->base_index + 1;
	status->last_index = rl_last_index(rlog);
	status->last_term = rl_last_term(rlog);
	status->durable_index = rlog->durable;
	status->commit = rlog->commit;
	status->applied = rlog->applied;
	status->snapshot_index = rlog->snapshot.index;
	status->log_bytes = rl_bytes_between(
	    (struct rlog *)rlog, rlog->base_index, rl_last_index(rlog));
	status->members_index = rlog->config_index;
	status->member_count = rlog->config.count;
	memcpy(status->members, rlog->config.members,
	    rlog->config.count * sizeof(rlog->config.members[0]));
}
