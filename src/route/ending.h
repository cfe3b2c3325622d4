#ifndef CF_ROUTE_ENDING_H
#define CF_ROUTE_ENDING_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decides whether an answer is whole that only the end of its connection
 * delimits.  A server that crashes ends its connections in the same way, so
 * that the bytes don't tell.  What does is whether its process has outlived the
 * answer: a connection that was begun after the end and is accepted shows that,
 * a refused one shows that it hasn't.
 *
 * A part that is taken for a whole answer misleads its caller; a whole one that
 * is taken for a part costs a second run, or an error that promises nothing.
 * Without a sign the answer therefore counts as broken off.  Announcements of
 * the server are no sign, since they may be older than its end.  No I/O.
 */
enum {
	/*
	 * Longest wait for a sign of a server that doesn't react, where the
	 * request can't run again.  A sound server may be silent for a second.
	 */
	ENDING_WAIT_MAX_US = 1500000
};

enum ending_sign {
	ENDING_SERVER_GOES_ON, /* accepts a connection begun after the end */
	ENDING_SERVER_ENDED, /* refuses it */
	ENDING_NO_SIGN /* does not react */
};

enum ending_step {
	ENDING_WHOLE,
	ENDING_BROKEN_OFF,
	ENDING_ASK_AGAIN /* try to connect to the server once more */
};

struct ending_input {
	enum ending_sign sign;
	bool same_life; /* no later life of the server is known */
	bool may_rerun; /* the request may run again elsewhere */
	int64_t waited_us; /* since the end of the answer */
	int64_t left_us; /* until the caller's deadline */
};

enum ending_step ending_next_step(const struct ending_input *in);
const char *ending_sign_name(enum ending_sign sign);

#ifdef __cplusplus
}
#endif

#endif
