#include "route/retry.h"

enum {
	/* Attempts of one request, including those that were refused */
	ATTEMPTS_MAX = 6,
	/* Another attempt would be too late with less time left */
	TIME_LEFT_MIN_US = 20000,
	STATUS_REDIRECT = 300, /* the lowest that is no success */
	STATUS_SERVER_ERROR = 500,
	STATUS_TIMEOUT = 504
};

/* Tells whether a request of such a route may run a second time at all. */
bool
retry_may_rerun(enum route_kind kind, bool resumable)
{
	return kind == ROUTE_IDEMPOTENT || (kind == ROUTE_STREAM && resumable);
}

static bool
may_rerun(const struct retry_input *in)
{
	return retry_may_rerun(in->kind, in->resumable);
}

/* Tells whether limits, budget and time left allow another attempt. */
static bool
limits_allow_attempt(const struct retry_input *in)
{
	return in->budget && in->sends < ATTEMPTS_MAX &&
	       in->runs < in->runs_max && in->left_us > TIME_LEFT_MIN_US;
}

/*
 * Returns the step when no further attempt is made.  ran: the request may have
 * run.
 */
static enum retry_step
step_without_retry(const struct retry_input *in, bool ran)
{
	if (in->begun)
		return RETRY_TRUNCATE;
	return ran ? RETRY_FAIL : RETRY_REFUSE;
}

/* Returns the step that makes another attempt. */
static enum retry_step
step_with_retry(const struct retry_input *in)
{
	return in->begun ? RETRY_RESUME : RETRY_ELSEWHERE;
}

/*
 * Returns the step after a complete answer of a server.  The request ran, but
 * an error of this server may not recur at another one; a timeout is not
 * retried.  In the middle of a stream any answer but a success is an error, as
 * its body is no part of the stream.
 */
static enum retry_step
step_after_answer(const struct retry_input *in)
{
	bool failed =
	    in->status >= (in->begun ? STATUS_REDIRECT : STATUS_SERVER_ERROR);

	if (!failed)
		return RETRY_PASS_ON;
	if (in->status != STATUS_TIMEOUT && may_rerun(in) &&
	    limits_allow_attempt(in))
		return step_with_retry(in);
	return in->begun ? RETRY_TRUNCATE : RETRY_PASS_ON;
}

/* Returns the next step after an attempt has ended. */
enum retry_step
retry_next_step(const struct retry_input *in)
{
	switch (in->end) {
	case RETRY_END_ANSWERED:
		return step_after_answer(in);
	case RETRY_END_NOT_RUN:
	case RETRY_END_UNREACHABLE:
		if (limits_allow_attempt(in) &&
		    (!in->may_have_run || may_rerun(in)))
			return step_with_retry(in);
		return step_without_retry(in, in->may_have_run);
	case RETRY_END_BROKEN:
	case RETRY_END_DEFECTIVE:
		if (may_rerun(in) && limits_allow_attempt(in))
			return step_with_retry(in);
		return step_without_retry(in, true);
	}
	return RETRY_FAIL;
}
