#ifndef CF_LOG_H
#define CF_LOG_H

#ifdef __cplusplus
extern "C" {
#endif

/*
 * One key=value line an event on standard error, through log4c:
 *
 *	ts=2026-11-30T08:00:00.000123Z level=info event=dispatch request=...
 *
 * A value that can hold blanks or quotes goes through log_quote().
 */
enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

enum {
	LOG_QUOTED_BYTES = 256
};

int log_open(enum log_level level);
void log_close(void);
void log_event(enum log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
const char *log_quote(char quoted[LOG_QUOTED_BYTES], const char *text);
int log_level_from_name(const char *name);

#ifdef __cplusplus
}
#endif

#endif
