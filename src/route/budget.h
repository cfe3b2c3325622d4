#ifndef CF_ROUTE_BUDGET_H
#define CF_ROUTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The retry budget of one service at one instance.  All instances together, and
 * all their lives, keep this bound without a word between them: in any window,
 * repeats are at most a share of the requests of that window or of the one
 * before, whichever has more, and a slack.
 *
 * It is a token bucket.  A request adds the larger part of the share, a repeat
 * takes one token.  The bucket holds at most what the rest of the share makes
 * of the requests of the last window, and this instance's part of the slack.
 * So after any moment the repeats are at most what the window before has left
 * and what the requests since then add, and both sums run over the same time at
 * every instance.  A life begins with an empty bucket, since the one before may
 * have emptied its own; its part of the slack comes once, after a window.
 *
 * Half of the slack is not given to any instance: requests are counted as they
 * arrive and repeats as they are sent, while the bound is about when callers
 * send the ones and backend servers get the others.
 */
enum {
	RETRY_BUDGET_SLOTS = 20 /* a window is counted in so many parts */
};

struct bu_options {
	uint32_t permille; /* repeats per 1,000 requests */
	uint32_t slack; /* repeats on top, of all instances together */
	uint32_t instances; /* that share the slack; 0: not known, no slack */
	uint32_t window_ms;
	int64_t begun_us; /* when this instance's life began */
};

struct bu {
	uint64_t per_request; /* all three in millionths of a repeat */
	uint64_t slack_part;
	uint64_t tokens;
	bool has_slack;
	int64_t slack_us; /* when this life may use its part */
	uint32_t permille;
	int64_t slot_us;
	int64_t first_us; /* beginning of the newest slot */
	uint32_t newest;
	uint32_t requests[RETRY_BUDGET_SLOTS];
	uint32_t repeats[RETRY_BUDGET_SLOTS];
};

/* What a budget stands at, for logs and metrics. */
struct bu_state {
	uint32_t requests; /* counted in the window */
	uint32_t repeats;
	double left; /* repeats that may go out now */
};

void bu_init(struct bu *bu, const struct bu_options *options, int64_t now_us);
void bu_set(struct bu *bu, const struct bu_options *options);
void bu_request(struct bu *bu, int64_t now_us);
bool bu_may_repeat(struct bu *bu, int64_t now_us);
bool bu_take(struct bu *bu, int64_t now_us);
struct bu_state bu_read(struct bu *bu, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
