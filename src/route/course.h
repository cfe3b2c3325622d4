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
 * Decides what follows when an attempt of a request has ended: another attempt,
 * the server's answer, or an answer of the gateway's own.  No I/O and no state.
 *
 * Two guarantees decide.  A request that may run only once is sent again only
 * while it is certain that it has not run.  An answer that says that the
 * request has not run is given only if that is certain.
 */
enum cs_end {
	CS_ANSWERED, /* a complete answer of the server */
	CS_NOT_RUN, /* the server says that it did not run the request */
	CS_UNREACHABLE, /* no byte of the request was sent */
	CS_BROKEN, /* sent, but no complete answer came */
	/*
	 * An answer that is not the server's own or belongs to another request
	 */
	CS_DEFECTIVE
};

enum retry_step {
	CS_PASS_ON, /* give the caller the server's answer */
	CS_AGAIN, /* send the request to another server */
	/* Continue at another server after the last event that was passed on */
	CS_RESUME,
	CS_REFUSE, /* it has not run and will not run; the caller may retry */
	CS_FAIL, /* it may have run */
	CS_CUT /* break off the answer that has begun, without a regular end */
};

struct cs_input {
	enum route_kind kind;
	bool resumable;
	enum cs_end end;
	unsigned int status; /* HTTP status, if end is CS_ANSWERED */
	bool begun; /* the caller has received part of an answer */
	bool may_have_run; /* in an earlier attempt */
	/* Attempts that ran or may have run, including this one */
	uint8_t runs;
	uint8_t runs_max;
	uint8_t sends; /* all attempts */
	/* The retry budget allows another attempt or does not apply */
	bool budget;
	int64_t left_us; /* until the caller's deadline */
};

enum retry_step cs_next(const struct cs_input *in);

#ifdef __cplusplus
}
#endif

#endif
