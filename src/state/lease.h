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
 * lease_voter is a voter's side: it grants a lease to one candidate, and after
 * a restart it is silent for one whole lease, because it has forgotten what it
 * granted.  lease_holder is the candidate's: it holds the lease once a majority
 * of the voters has granted, until the time it asked plus the lease minus a
 * margin for clock drift.  Every action under the lease asks
 * lease_holder_is_valid() with the clock read just before; a gap between two
 * steps longer than LS_JUMP_MS drops the lease at once, before the clock is
 * believed again.
 *
 * The fencing number is all of a voter's state that has to be durable, and
 * only where it is used: voters without a disk make leases, not numbers.  The
 * leadership of orders takes its number from the replicated log.
 *
 * lease_orders is the leadership of orders to model engines.  Orders carry the
 * fencing number; an engine that ignores it must be given none by the new
 * leader before the old lease is over.
 */

enum {
	LS_LEASE_MS = 3000,
	LS_MARGIN_MS = 500, /* clock drift and the time an action takes */
	LS_JUMP_MS = 1000,
	LS_VOTERS_MAX = 96
};

struct lease_options {
	uint32_t lease_ms; /* 0: LS_LEASE_MS */
	uint32_t margin_ms; /* 0: LS_MARGIN_MS */
	uint32_t jump_ms; /* 0: LS_JUMP_MS */
	/* For tests that show what each mechanism is for. */
	bool unsafe_skip_wait;
	bool unsafe_skip_check;
	bool unsafe_skip_jump;
};

struct lease_voter {
	struct lease_options options;
	int64_t silent_until_us;
	int64_t granted_until_us;
	uint64_t holder; /* id of the candidate; 0: none */
	uint64_t fence; /* highest fencing number seen */
};

void lease_voter_init(struct lease_voter *vote,
    const struct lease_options *options, int64_t now_us);
/* True: granted from now on; *fence: the number for the holder's orders. */
bool lease_voter_request(struct lease_voter *vote, int64_t now_us,
    uint64_t candidate, uint64_t *fence);
void lease_voter_release(struct lease_voter *vote, uint64_t candidate);

struct lease_holder {
	struct lease_options options;
	uint32_t voters;
	uint64_t round; /* of the present question */
	int64_t asked_us;
	uint32_t grants;
	uint8_t granted[LS_VOTERS_MAX];
	int64_t until_us; /* 0: not held */
	uint64_t fence;
	int64_t seen_us; /* last step, for jumps */
	int64_t due_us; /* next question */
};

void lease_holder_init(struct lease_holder *hold,
    const struct lease_options *options, uint32_t voters);
/* True: ask all voters now, with hold->round. */
bool lease_holder_tick(
    struct lease_holder *hold, int64_t now_us, uint32_t jitter_us);
void lease_holder_on_reply(struct lease_holder *hold, int64_t now_us,
    uint32_t voter, uint64_t round, bool granted, uint64_t fence);
bool lease_holder_is_valid(const struct lease_holder *hold, int64_t now_us);
void lease_holder_drop(struct lease_holder *hold);

struct lease_orders {
	struct lease_options options;
	uint64_t fence; /* 0: not the leader */
	int64_t until_us;
	int64_t old_until_us; /* a former leader may give orders until then */
};

void lease_orders_init(
    struct lease_orders *orders, const struct lease_options *options);
/* Leadership won or renewed; until_us: when the own lease ends. */
void lease_orders_set_leader(struct lease_orders *orders, int64_t now_us,
    uint64_t fence, int64_t until_us);
void ls_orders_lost(struct lease_orders *orders);
bool lease_orders_allowed(const struct lease_orders *orders, int64_t now_us,
    bool engine_checks_fence);

#ifdef __cplusplus
}
#endif

#endif
