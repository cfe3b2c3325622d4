#ifndef CF_ROUTE_ENDING_H
#define CF_ROUTE_ENDING_H

#include <stdbool.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Decides whether an answer is whole that only the end of its connection
 * delimits.  A server that crashes ends its connections in the same way, so
 * that the bytes don't tell.  What does is whether its process has outlived the
 * answer: a connection that was begun right after the end and is accepted shows
 * that, a refused one shows that it hasn't.
 *
 * A part that is taken for a whole answer misleads its caller; a whole one that
 * is taken for a part costs a second run, or an error that promises nothing.
 * Without a sign the answer therefore counts as broken off.  Announcements of
 * the server are no sign, since they may be older than its end, and neither is
 * a connection that is accepted later, since it may be to the next process.  No
 * I/O.
 */
enum ending_sign {
	ENDING_SERVER_GOES_ON, /* accepts a connection begun after the end */
	ENDING_SERVER_ENDED, /* refuses it */
	ENDING_NO_SIGN /* does not react, or closes each connection at once */
};

bool ending_is_whole(enum ending_sign sign, bool same_life);
const char *ending_sign_name(enum ending_sign sign);

#ifdef __cplusplus
}
#endif

#endif
