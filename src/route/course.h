#ifndef CF_ROUTE_RETRY_H
#define CF_ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "route/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What follows when an attempt of a request has ended: another attempt, the
 * server's answer, or an answer of the gateway's own.  No I/O and no state.
 *
 * Two promises decide: what may run once only is sent again only while it is
 * certain that it has not run, and an answer that says so is given only then.
 */
enum cs_end {
	CS_ANSWERED, /* a whole answer of the server */
	CS_NOT_RUN, /* the server says that it did not run it */
	CS_UNREACHABLE, /* not a byte was sent */
	CS_BROKEN, /* sent, and no whole answer came */
	CS_DEFECTIVE /* an answer that is not the server's own, or not to this
		      */
};

enum retry_step {
	CS_PASS_ON, /* give the caller the server's answer */
	CS_AGAIN, /* send it to another server */
	CS_RESUME, /* go on at another server after the last event passed on */
	CS_REFUSE, /* it has not run and won't: the caller may come back */
	CS_FAIL, /* it may have run */
	CS_CUT /* end the answer that has begun, without its end */
};

struct cs_input {
	enum route_kind kind;
	bool resumable;
	enum cs_end end;
	unsigned int status; /* CS_ANSWERED */
	bool begun; /* the caller has part of an answer */
	bool may_have_run; /* in an earlier attempt */
	uint8_t runs; /* attempts that ran or may have, this one included */
	uint8_t runs_max;
	uint8_t sends; /* attempts altogether */
	bool budget; /* the retry budget allows another, or needn't */
	int64_t left_us; /* until the caller's time is over */
};

enum retry_step cs_next(const struct cs_input *in);

#ifdef __cplusplus
}
#endif

#endif
