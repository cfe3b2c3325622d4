#ifndef CF_ROUTE_BUDGET_H
#define CF_ROUTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The retry budget of one service at one instance.  All instances in all their
 * lives keep the following bound together, without communicating: in any
 * window, repeats are at most a share of the requests of that window or of the
 * one before, whichever has more, plus a slack.
 *
 * It is a token bucket.  A request adds the larger part of the share, and a
 * repeat takes one token.  The bucket holds at most the rest of the share of
 * the last window's requests plus this instance's part of the slack.  The
 * repeats after any moment are thus bounded by what the window before left over
 * and what the requests since then add, and both sums cover the same time at
 * every instance.  A life starts with an empty bucket, because its predecessor
 * may have emptied its own.  It gets its part of the slack once, after a window
 * has passed.
 *
 * Half of the slack is not assigned to any instance: requests are counted when
 * they arrive and repeats when they are sent, while the bound is about when
 * callers send requests and backend servers receive repeats.
 */
enum {
	RETRY_BUDGET_SLOTS = 20 /* parts in which a window is counted */
};

struct retry_budget_options {
	uint32_t permille; /* repeats per 1,000 requests */
	uint32_t slack; /* additional repeats, of all instances together */
	/* Instances that share the slack; 0: not known, no slack */
	uint32_t instances;
	uint32_t window_ms;
	int64_t begun_us; /* when this instance's life began */
};

struct retry_budget {
	/* this, slack_part and tokens are in millionths of a repeat */
	uint64_t tokens_per_request;
	uint64_t slack_part;
	uint64_t tokens;
	bool has_slack;
	int64_t slack_due_us; /* when this life may use its part of the slack */
	uint32_t permille;
	int64_t slot_us;
	int64_t newest_slot_us; /* start of the newest slot */
	uint32_t newest_slot;
	uint32_t requests[RETRY_BUDGET_SLOTS];
	uint32_t repeats[RETRY_BUDGET_SLOTS];
};

/* Snapshot of a budget for logs and metrics. */
struct retry_budget_state {
	uint32_t requests; /* counted in the window */
	uint32_t repeats;
	double left; /* repeats that may be sent now */
};

void retry_budget_init(struct retry_budget *budget,
    const struct retry_budget_options *options, int64_t now_us);
void retry_budget_configure(
    struct retry_budget *budget, const struct retry_budget_options *options);
void retry_budget_add_request(struct retry_budget *budget, int64_t now_us);
bool retry_budget_allows(struct retry_budget *budget, int64_t now_us);
bool retry_budget_consume(struct retry_budget *budget, int64_t now_us);
struct retry_budget_state retry_budget_read(
    struct retry_budget *budget, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
