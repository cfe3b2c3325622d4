#include "base/err.h"

#define ERR_AS_ROW(kind, number, status, again, name, text) \
	[-(number)] = {name, text, status, again},
static const struct err_answer err_table[-ERR_END] = {
    [0] = {"ok", "no error", 200, 0}, ERR_KINDS(ERR_AS_ROW)};
#undef ERR_AS_ROW

/*
 * Returns how an error number (0 or negative) is reported.  An unknown number
 * is reported as ERR_INTERNAL, so that a response is never empty.
 */
const struct err_answer *
err_answer(int error)
{
	if (error > 0 || error <= ERR_END)
		error = ERR_INTERNAL;
	return &err_table[-error];
}

/* Returns the name of an error number as used in responses. */
const char *
err_name(int error)
{
	return err_answer(error)->name;
}

/* Returns the name of a run state as used in responses to callers. */
const char *
err_run_state_name(enum err_run_state state)
{
	switch (state) {
	case ERR_NOT_RUN:
		return "not_run";
	case ERR_RAN:
		return "ran";
	case ERR_MAY_HAVE_RUN:
		break;
	}
	return "may_have_run";
}
