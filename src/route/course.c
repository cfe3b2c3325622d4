#include "route/course.h"

enum {
	SENDS_MAX = 6, /* attempts of one request, refused ones included */
	LEFT_MIN_US = 20000, /* less time than this helps nobody */
	STATUS_SERVER_ERROR = 500,
	STATUS_TIMEOUT = 504
};

/* Whether the request may run a second time at all. */
static bool
may_rerun(const struct cs_input *in)
{
	return in->kind == RT_IDEMPOTENT ||
	       (in->kind == RT_STREAM && in->resumable);
}

/* Whether another attempt is possible as far as limits go. */
static bool
has_room(const struct cs_input *in)
{
	return in->budget && in->sends < SENDS_MAX && in->runs < in->runs_max &&
	       in->left_us > LEFT_MIN_US;
}

static enum retry_step
give_up(const struct cs_input *in, bool ran)
{
	if (in->begun)
		return CS_CUT;
	return ran ? CS_FAIL : CS_REFUSE;
}

static enum retry_step
again(const struct cs_input *in)
{
	return in->begun ? CS_RESUME : CS_AGAIN;
}

static enum retry_step
after_answer(const struct cs_input *in)
{
	/* An error of the server's own has run; another may do better. */
	bool failed =
	    in->status >= STATUS_SERVER_ERROR && in->status != STATUS_TIMEOUT;

	if (failed && may_rerun(in) && has_room(in))
		return again(in);
	return in->begun && failed ? CS_CUT : CS_PASS_ON;
}

/* Returns what to do next. */
enum retry_step
cs_next(const struct cs_input *in)
{
	switch (in->end) {
	case CS_ANSWERED:
		return after_answer(in);
	case CS_NOT_RUN:
	case CS_UNREACHABLE:
		if (has_room(in) && (!in->may_have_run || may_rerun(in)))
			return again(in);
		return give_up(in, in->may_have_run);
	case CS_BROKEN:
	case CS_DEFECTIVE:
		if (may_rerun(in) && has_room(in))
			return again(in);
		return give_up(in, true);
	}
	return CS_FAIL;
}
