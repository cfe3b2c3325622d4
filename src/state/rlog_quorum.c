#include "state/rlog_quorum.h"

#include <inttypes.h>
#include <string.h>

#include "state/rlog_i.h"

enum {
	/* An election takes less; a leader that is only slow is not reported.
	 */
	WATCH_FIRST_US = 2000000,
	WATCH_PERIOD_US = 10000000,
	US_PER_MS = 1000
};

/*
 * Returns the silence after which a voter no longer counts as heard: each
 * replica without a leader sends something at least this often.
 */
static int64_t
silence_max_us(const struct rlog *rlog)
{
	return 2 * rlog->options.election_max_us;
}

static const struct rlog_peer *
find_peer(const struct rlog *rlog, uint64_t id)
{
	for (size_t i = 0; i < rlog->peer_count; i++)
		if (rlog->peers[i].id == id)
			return &rlog->peers[i];
	return NULL;
}

static struct rlog_voter_state
voter_state(
    const struct rlog *rlog, const struct rlog_member *member, int64_t now_us)
{
	struct rlog_voter_state state = {
	    .instance = member->instance, .silent_us = -1};
	const struct rlog_peer *peer = find_peer(rlog, member->id);

	if (peer == NULL) {
		state.is_self = true;
		state.silent_us = 0;
		return state;
	}
	if (peer->message_us != 0)
		state.silent_us = now_us - peer->message_us;
	if (peer->answered_us != 0 &&
	    now_us - peer->answered_us <= silence_max_us(rlog))
		state.answer = peer->answer;
	return state;
}

/* Fills in what a replica knows of the voters and of its own place. */
void
rlog_quorum(const struct rlog *rlog, int64_t now_us, struct rlog_quorum *quorum)
{
	memset(quorum, 0, sizeof(*quorum));
	quorum->term = rlog->term;
	quorum->is_member = rlog_is_member(rlog, rlog->id);
	quorum->is_voter = rlog_is_voter(rlog, rlog->id);
	quorum->asked = rlog->hello_target_count;
	if (rlog->leader_id == 0)
		quorum->leaderless_us = now_us - rlog->led_us;
	for (size_t i = 0; i < rlog->config.count; i++) {
		const struct rlog_member *member = &rlog->config.members[i];
		struct rlog_voter_state state;

		if (!member->voter)
			continue;
		state = voter_state(rlog, member, now_us);
		if (state.silent_us >= 0 &&
		    state.silent_us <= silence_max_us(rlog))
			quorum->heard++;
		quorum->voters[quorum->voter_count++] = state;
	}
	quorum->needed = quorum->voter_count / 2 + 1;
	for (size_t i = 0; i < rlog->hello_count; i++)
		quorum->introduced +=
		    rlog->hellos[i].id != 0 &&
		    rlog->hellos[i].heard_us + RLOG_HELLO_TTL_US > now_us;
}

/* Returns in one word why no leader is known. */
const char *
rlog_quorum_reason(const struct rlog_quorum *quorum)
{
	size_t refused = 0, behind = 0;

	for (size_t i = 0; i < quorum->voter_count; i++) {
		refused += quorum->voters[i].answer == RLOG_ANSWER_REFUSED;
		behind += quorum->voters[i].answer == RLOG_ANSWER_LOG_BEHIND;
	}
	if (!quorum->is_member)
		return "not_admitted";
	if (quorum->heard < quorum->needed)
		return "voters_silent";
	if (!quorum->is_voter)
		return "no_vote";
	if (behind > 0)
		return "log_behind";
	return refused > 0 ? "votes_refused" : "undecided";
}

static const char *
answer_name(enum rlog_answer answer)
{
	switch (answer) {
	case RLOG_ANSWER_NONE:
		break;
	case RLOG_ANSWER_GRANTED:
		return "granted";
	case RLOG_ANSWER_REFUSED:
		return "refused";
	case RLOG_ANSWER_LOG_BEHIND:
		return "log_behind";
	}
	return "none";
}

/* Appends each voter, its silence and its answer, as the value of a field. */
static void
append_voters(const struct rlog_quorum *quorum, rlog_name_fn name, void *ctx,
    struct buf *out)
{
	for (size_t i = 0; i < quorum->voter_count; i++) {
		const struct rlog_voter_state *voter = &quorum->voters[i];

		if (i > 0)
			buf_adds(out, ",");
		name(ctx, voter->instance, out);
		if (voter->is_self)
			buf_adds(out, ":self");
		else if (voter->silent_us < 0)
			buf_adds(out, ":never_heard");
		else
			buf_addf(out, ":%" PRId64 "ms:%s",
			    voter->silent_us / US_PER_MS,
			    answer_name(voter->answer));
	}
}

/* Appends the fields of the log line on a replica without a leader. */
void
rlog_quorum_append(const struct rlog_quorum *quorum, rlog_name_fn name,
    void *ctx, struct buf *out)
{
	buf_addf(out,
	    "for_ms=%" PRId64 " why=%s term=%" PRIu64
	    " voters=%zu heard=%zu needed=%zu asked=%zu introduced=%zu "
	    "members=",
	    quorum->leaderless_us / US_PER_MS, rlog_quorum_reason(quorum),
	    quorum->term, quorum->voter_count, quorum->heard, quorum->needed,
	    quorum->asked, quorum->introduced);
	append_voters(quorum, name, ctx, out);
}

/* Tells whether something is to be reported now. */
enum rlog_watch_result
rlog_watch_step(
    struct rlog_watch *watch, const struct rlog_quorum *quorum, int64_t now_us)
{
	if (quorum->leaderless_us == 0) {
		bool was_reported = watch->due_us != 0;

		watch->due_us = 0;
		return was_reported ? RLOG_WATCH_FOUND : RLOG_WATCH_QUIET;
	}
	if (quorum->leaderless_us < WATCH_FIRST_US || now_us < watch->due_us)
		return RLOG_WATCH_QUIET;
	watch->due_us = now_us + WATCH_PERIOD_US;
	return RLOG_WATCH_LOST;
}

/*
 * Tells whether something is to be logged now, and appends the fields of its
 * line.
 */
enum rlog_watch_result
rlog_watch_report(struct rlog_watch *watch, const struct rlog *rlog,
    int64_t now_us, rlog_name_fn name, void *ctx, struct buf *line)
{
	struct rlog_quorum quorum;
	enum rlog_watch_result result;

	rlog_quorum(rlog, now_us, &quorum);
	result = rlog_watch_step(watch, &quorum, now_us);
	if (result == RLOG_WATCH_LOST)
		rlog_quorum_append(&quorum, name, ctx, line);
	else if (result == RLOG_WATCH_FOUND)
		buf_addf(line, "term=%" PRIu64, quorum.term);
	return result;
}
