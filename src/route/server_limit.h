#ifndef CF_ROUTE_SERVER_LIMIT_H
#define CF_ROUTE_SERVER_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "route/rate_share.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What an instance knows of the limit that a server names in its answers: the
 * requests a second that it takes from all instances together.  No I/O.
 *
 * A limit holds until an answer names another or none.  Answers overtake each
 * other, so a higher limit or none counts only in the answer to a request that
 * was sent after the lower one was heard.
 *
 * Instances tell each other.  Each change that one hears in an answer gets the
 * number after the last that it knows, and the highest number wins, of equal
 * ones the lower limit.  An instance that was told a wrong value corrects it
 * with the next answer that it gets itself.
 */
enum {
	/*
	 * Lower limits count as this one: a server that gets no request can't
	 * say that its limit has ended.
	 */
	SERVER_LIMIT_MIN_MILLI_PER_S = 100,
	SERVER_LIMIT_MAX_MILLI_PER_S =
	    1000000000, /* higher ones count as this */
	/* Without any news for so long a limit is forgotten */
	SERVER_LIMIT_KEEP_US = 600000000,
	/* A limit that goes on is told again after this time */
	SERVER_LIMIT_TELL_US = 300000000
};

struct server_limit {
	uint32_t milli_per_s; /* thousandths of a request a second; 0: none */
	uint32_t change; /* number of the last change; 0: there was none */
	int64_t heard_us; /* when it was last named or told */
	int64_t told_us; /* when this change began to be told */
};

bool server_limit_hear(struct server_limit *limit, uint32_t milli_per_s,
    int64_t sent_us, int64_t now_us);
bool server_limit_hear_none(
    struct server_limit *limit, int64_t sent_us, int64_t now_us);
bool server_limit_told(
    struct server_limit *limit, uint64_t packed, int64_t now_us);
uint64_t server_limit_pack(const struct server_limit *limit);
struct rate_bound server_limit_bound(
    const struct server_limit *limit, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
