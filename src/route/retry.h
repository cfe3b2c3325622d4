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
enum retry_end {
	RETRY_END_ANSWERED, /* a complete answer of the server */
	RETRY_END_NOT_RUN, /* the server says that it did not run the request */
	RETRY_END_UNREACHABLE, /* no byte of the request was sent */
	RETRY_END_BROKEN, /* sent, but no complete answer came */
	/*
	 * An answer that is not the server's own or belongs to another request
	 */
	RETRY_END_DEFECTIVE
};

enum retry_step {
	RETRY_PASS_ON, /* give the caller the server's answer */
	RETRY_ELSEWHERE, /* send the request to another server */
	/* Continue at another server after the last event that was passed on */
	RETRY_RESUME,
	/* The request has not run and will not run; the caller may retry it */
	RETRY_REFUSE,
	RETRY_FAIL, /* it may have run */
	/* End the answer that has begun early, without a regular end */
	RETRY_TRUNCATE
};

struct retry_input {
	enum route_kind kind;
	bool resumable;
	enum retry_end end;
	unsigned int status; /* HTTP status, if end is RETRY_END_ANSWERED */
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

bool retry_may_rerun(enum route_kind kind, bool resumable);
enum retry_step retry_next_step(const struct retry_input *in);

#ifdef __cplusplus
}
#endif

#endif
