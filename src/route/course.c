#include "route/course.h"

enum {
	/* Attempts of one request, including those that were refused */
	ATTEMPTS_MAX = 6,
	/* Another attempt would be too late with less time left */
	TIME_LEFT_MIN_US = 20000,
	STATUS_SERVER_ERROR = 500,
	STATUS_TIMEOUT = 504
};

/* Tells whether the request may run a second time at all. */
static bool
may_rerun(const struct cs_input *in)
{
	return in->kind == RT_IDEMPOTENT ||
	       (in->kind == RT_STREAM && in->resumable);
}

/* Tells whether limits, budget and time left allow another attempt. */
static bool
limits_allow_attempt(const struct cs_input *in)
{
	return in->budget && in->sends < ATTEMPTS_MAX &&
	       in->runs < in->runs_max && in->left_us > TIME_LEFT_MIN_US;
}

/*
 * Returns the step when no further attempt is made.  ran: the request may have
 * run.
 */
static enum retry_step
step_without_retry(const struct cs_input *in, bool ran)
{
	if (in->begun)
		return CS_CUT;
	return ran ? CS_FAIL : CS_REFUSE;
}

/* Returns the step that makes another attempt. */
static enum retry_step
step_with_retry(const struct cs_input *in)
{
	return in->begun ? CS_RESUME : CS_AGAIN;
}

/* Returns the step after a complete answer of a server. */
static enum retry_step
step_after_answer(const struct cs_input *in)
{
	/*
	 * The request ran, but an error of this server may not recur at another
	 * one; a timeout is not retried.
	 */
	bool failed =
	    in->status >= STATUS_SERVER_ERROR && in->status != STATUS_TIMEOUT;

	if (failed && may_rerun(in) && limits_allow_attempt(in))
		return step_with_retry(in);
	return in->begun && failed ? CS_CUT : CS_PASS_ON;
}

/* Returns the next step after an attempt has ended. */
enum retry_step
cs_next(const struct cs_input *in)
{
	switch (in->end) {
	case CS_ANSWERED:
		return step_after_answer(in);
	case CS_NOT_RUN:
	case CS_UNREACHABLE:
		if (limits_allow_attempt(in) &&
		    (!in->may_have_run || may_rerun(in)))
			return step_with_retry(in);
		return step_without_retry(in, in->may_have_run);
	case CS_BROKEN:
	case CS_DEFECTIVE:
		if (may_rerun(in) && limits_allow_attempt(in))
			return step_with_retry(in);
		return step_without_retry(in, true);
	}
	return CS_FAIL;
}
