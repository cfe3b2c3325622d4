#ifndef CF_GATEWAY_CRASH_LOG_H
#define CF_GATEWAY_CRASH_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/notes.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Collects the crash marks that this instance hears of, so that they are logged
 * by the life of the server that ended: under the requests that ran there, and
 * the parts of their prompts, there may be a hundred marks and as many
 * acquittals.  No I/O.
 */
enum {
	CRASH_LOG_INTERVAL_US = 1000000, /* from the first mark to the lines */
	CRASH_LOG_LINES_MAX = 8, /* lives logged each time */
	CRASH_LOG_LIVES_MAX = 64, /* lives told apart */
	CRASH_LOG_CAUSES_MAX = 4 /* marks named of each life */
};

struct crash_log_life {
	uint64_t life;
	uint32_t marks;
	uint32_t acquittals;
	struct gw_note causes[CRASH_LOG_CAUSES_MAX]; /* the first marks */
	uint8_t cause_count;
	uint32_t told_by; /* who told the first one */
	int64_t at_us; /* time of the first one */
};

struct crash_log {
	struct crash_log_life
	    lives[CRASH_LOG_LIVES_MAX]; /* first heard first */
	size_t count;
	/* Notes about further lives */
	uint32_t further_marks;
	uint32_t further_acquittals;
};

bool crash_log_add(struct crash_log *log, const struct gw_note *note);
size_t crash_log_lines(const struct crash_log *log);
void crash_log_clear(struct crash_log *log, uint32_t *lives, uint32_t *marks);

#ifdef __cplusplus
}
#endif

#endif
