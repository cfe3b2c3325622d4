#ifndef CF_LEASE_H
#define CF_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Leases: at most one holder at a time, without a disk.
 *
 * lease_voter is the voter's side.  It grants the lease to one candidate at a
 * time; after a restart it grants nothing for one whole lease, because it has
 * lost what it granted.  lease_holder is the candidate's side.  It holds the
 * lease once a majority of the voters has granted it, until the time of the
 * request plus the lease minus a margin for clock drift.  Before every action
 * under the lease, call lease_holder_is_valid() with the clock read just
 * before.  A gap of more than LEASE_CLOCK_JUMP_MS between two steps drops the
 * lease at once, before the new time is used for anything else.
 *
 * The fencing number is the only state of a voter that has to be durable, and
 * only where it is used: voters without a disk grant leases but provide no
 * fencing numbers.  The leadership of orders takes its number from the
 * replicated log.
 *
 * lease_orders is the leadership of orders to model engines.  Orders carry the
 * fencing number.  The new leader must not send orders to an engine that
 * ignores the number before the old lease has ended.
 */

enum {
	LEASE_DEFAULT_MS = 3000,
	/* Covers clock drift and the time an action takes. */
	LEASE_DRIFT_MARGIN_MS = 500,
	LEASE_CLOCK_JUMP_MS = 1000,
	LEASE_VOTERS_MAX = 96
};

struct lease_options {
	uint32_t lease_ms; /* 0: LEASE_DEFAULT_MS */
	uint32_t margin_ms; /* 0: LEASE_DRIFT_MARGIN_MS */
	uint32_t jump_ms; /* 0: LEASE_CLOCK_JUMP_MS */
	/* For tests only: each flag disables one safety mechanism. */
	bool unsafe_skip_wait;
	bool unsafe_skip_check;
	bool unsafe_skip_jump;
};

struct lease_voter {
	struct lease_options options;
	int64_t no_grants_until_us;
	int64_t granted_until_us;
	uint64_t holder; /* id of the candidate; 0: none */
	uint64_t fence; /* highest fencing number known */
};

void lease_voter_init(struct lease_voter *vote,
    const struct lease_options *options, int64_t now_us);
/*
 * Returns true if granted; *fence is then the number for the holder's orders.
 */
bool lease_voter_request(struct lease_voter *vote, int64_t now_us,
    uint64_t candidate, uint64_t *fence);
void lease_voter_release(struct lease_voter *vote, uint64_t candidate);

struct lease_holder {
	struct lease_options options;
	uint32_t voters;
	uint64_t round; /* number of the current request */
	int64_t asked_us;
	uint32_t grants;
	uint8_t granted[LEASE_VOTERS_MAX];
	int64_t until_us; /* 0: not held */
	uint64_t fence;
	int64_t seen_us; /* time of the last tick, to detect clock jumps */
	int64_t due_us; /* time of the next request */
};

void lease_holder_init(struct lease_holder *hold,
    const struct lease_options *options, uint32_t voters);
/* Returns true to request the lease from all voters now, with hold->round. */
bool lease_holder_tick(
    struct lease_holder *hold, int64_t now_us, uint32_t jitter_us);
void lease_holder_on_reply(struct lease_holder *hold, int64_t now_us,
    uint32_t voter, uint64_t round, bool granted, uint64_t fence);
bool lease_holder_is_valid(const struct lease_holder *hold, int64_t now_us);
void lease_holder_drop(struct lease_holder *hold);

struct lease_orders {
	struct lease_options options;
	uint64_t fence; /* fencing number; 0: never the leader */
	int64_t until_us;
	/* A former leader may send orders until then. */
	int64_t former_leader_until_us;
};

void lease_orders_init(
    struct lease_orders *orders, const struct lease_options *options);
/* Leadership won or renewed; until_us: end of this leader's lease. */
void lease_orders_set_leader(struct lease_orders *orders, int64_t now_us,
    uint64_t fence, int64_t until_us);
void lease_orders_clear_leader(struct lease_orders *orders);
bool lease_orders_allowed(const struct lease_orders *orders, int64_t now_us,
    bool engine_checks_fence);

#ifdef __cplusplus
}
#endif

#endif
