#include "gateway/crash_log.h"

#include <string.h>

#include "route/suspects.h"

/* Returns the entry of a life, which is added if there is room, or NULL. */
static struct crash_log_life *
get_life(struct crash_log *log, const struct gw_note *note)
{
	struct crash_log_life *life;

	for (size_t i = 0; i < log->count; i++) {
		if (log->lives[i].life == note->part)
			return &log->lives[i];
	}
	if (log->count == CRASH_LOG_LIVES_MAX)
		return NULL;
	life = &log->lives[log->count++];
	memset(life, 0, sizeof(*life));
	life->life = note->part;
	life->told_by = note->told_by;
	life->at_us = note->at_us;
	return life;
}

/*
 * Adds a mark, or the acquittal of one.  Returns whether it is the first since
 * the log was cleared, so that its lines are due in CRASH_LOG_INTERVAL_US.
 */
bool
crash_log_add(struct crash_log *log, const struct gw_note *note)
{
	bool is_first = log->count == 0;
	struct crash_log_life *life = get_life(log, note);
	bool acquitted = note->value == SUSPECTS_ACQUITTED;

	if (life == NULL) {
		log->further_acquittals += acquitted;
		log->further_marks += !acquitted;
		return false;
	}
	life->acquittals += acquitted;
	life->marks += !acquitted;
	if (!acquitted && life->cause_count < CRASH_LOG_CAUSES_MAX)
		life->causes[life->cause_count++] = *note;
	return is_first;
}

/* Returns how many lives are logged, the first ones. */
size_t
crash_log_lines(const struct crash_log *log)
{
	return log->count < CRASH_LOG_LINES_MAX ? log->count
						: CRASH_LOG_LINES_MAX;
}

/*
 * Empties the log.  *lives, *marks: how many lives, at least, and marks with
 * their acquittals were not among the lines.
 */
void
crash_log_clear(struct crash_log *log, uint32_t *lives, uint32_t *marks)
{
	*lives = (uint32_t)(log->count - crash_log_lines(log));
	*marks = log->further_marks + log->further_acquittals;
	for (size_t i = crash_log_lines(log); i < log->count; i++)
		*marks += log->lives[i].marks + log->lives[i].acquittals;
	log->count = 0;
	log->further_marks = log->further_acquittals = 0;
}
