#ifndef CF_ROUTE_REACH_H
#define CF_ROUTE_REACH_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Tells whether this instance can reach the servers of a service at all, or has
 * lost its path to them.  A server that can't be reached may have ended; an
 * instance that can connect to none of many has lost the path itself.  No I/O.
 *
 * Evidence are connections: each that is established shows that there is a
 * path.  Bytes on open connections don't, since those may go on while new ones
 * fail.  They show however that the open connections don't hang, so that a
 * silence of all of them is what a check begins with.
 */
enum {
	/* Servers that must fail one after the other, or all if there are
	   fewer */
	REACH_FAILURES_MIN = 8,
	/* Silence of all servers, while requests wait, that begins a check */
	REACH_SILENCE_US = 400000,
	/* Time for the outcome of probes */
	REACH_PROBE_US = 300000,
	/* Failures that are older don't count */
	REACH_FAILURE_TTL_US = 5000000,
	/* Servers that are probed at a time while the path is lost */
	REACH_LOST_PROBES = 2
};

struct reach {
	bool lost;
	int64_t lost_us; /* since when */
	int64_t heard_us; /* last byte or established connection */
	int64_t failed_us; /* last failure to connect */
	/* Lives of servers that failed since the last success */
	uint64_t failed[REACH_FAILURES_MIN];
	uint8_t failed_count;
	uint8_t probed; /* servers probed in the last round */
	int64_t probed_us; /* when that began */
};

bool reach_record_success(struct reach *reach, int64_t now_us);
bool reach_forget(struct reach *reach);
bool reach_record_failure(
    struct reach *reach, uint64_t life, uint32_t server_count, int64_t now_us);
bool reach_has_failed(const struct reach *reach, uint64_t life);
bool reach_is_silent(const struct reach *reach, int64_t now_us);
uint8_t reach_begin_probes(
    struct reach *reach, bool requests_wait, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
