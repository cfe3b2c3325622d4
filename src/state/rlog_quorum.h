#ifndef CF_RLOG_QUORUM_H
#define CF_RLOG_QUORUM_H

/*
 * Why a replica knows no leader, for logs and metrics.
 *
 *	if (rlog_watch_report(&watch, rlog, now_us, name, ctx, &line) ==
 *	    RLOG_WATCH_LOST)
 *		log_event(LOG_LEVEL_WARN, "no_leader", "%s", buf_text(&line));
 */

#include "state/rlog.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The answer of a voter to the last request for its vote or pre-vote. */
enum rlog_answer {
	RLOG_ANSWER_NONE,
	RLOG_ANSWER_GRANTED,
	RLOG_ANSWER_REFUSED, /* it has heard a leader, or votes for another */
	RLOG_ANSWER_LOG_BEHIND /* its log is newer than this replica's */
};

struct rlog_voter_state {
	uint64_t instance;
	bool is_self;
	int64_t silent_us; /* -1: never heard by this replica */
	enum rlog_answer answer;
};

/* What this replica knows of the others. */
struct rlog_quorum {
	int64_t leaderless_us; /* 0: a leader is known */
	uint64_t term;
	bool is_member;
	bool is_voter;
	struct rlog_voter_state voters[RLOG_MEMBERS_MAX];
	size_t voter_count;
	size_t heard; /* voters heard of late, this replica included */
	size_t needed; /* majority of the voters */
	size_t asked; /* instances to which this replica introduces itself */
	size_t introduced; /* instances that introduced themselves of late */
};

/* When a replica without a leader was reported last; starts zeroed. */
struct rlog_watch {
	int64_t due_us; /* of the next report; 0: none so far */
};

enum rlog_watch_result {
	RLOG_WATCH_QUIET,
	RLOG_WATCH_LOST, /* no leader for long: report it, at a bounded rate */
	RLOG_WATCH_FOUND /* the end of what was reported */
};

/* Appends the name of an instance. */
typedef void (*rlog_name_fn)(void *ctx, uint64_t instance, struct buf *out);

void rlog_quorum(
    const struct rlog *rlog, int64_t now_us, struct rlog_quorum *quorum);
const char *rlog_quorum_reason(const struct rlog_quorum *quorum);
void rlog_quorum_append(const struct rlog_quorum *quorum, rlog_name_fn name,
    void *ctx, struct buf *out);
enum rlog_watch_result rlog_watch_step(
    struct rlog_watch *watch, const struct rlog_quorum *quorum, int64_t now_us);
enum rlog_watch_result rlog_watch_report(struct rlog_watch *watch,
    const struct rlog *rlog, int64_t now_us, rlog_name_fn name, void *ctx,
    struct buf *line);

#ifdef __cplusplus
}
#endif

#endif
