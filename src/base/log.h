#ifndef CF_LOG_H
#define CF_LOG_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Writes each event as one line of key=value pairs to standard output, through
 * log4c:
 *
 *	ts=2026-11-30T08:00:00.000123Z level=info event=dispatch request=...
 *
 * A value that may contain blanks or quotes must be passed through log_quote().
 *
 * Logging never blocks on a slow reader.  Lines go into a buffer of
 * LOG_BUFFER_BYTES, which is written as far as the reader accepts data.  When
 * the buffer is full, lines are dropped; their number is logged once there is
 * room again.  By default each line is written immediately.  A process with an
 * event loop enables buffering with log_set_buffering() and calls log_flush()
 * periodically.
 */
enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

enum {
	LOG_QUOTED_BYTES = 256,
	LOG_BUFFER_BYTES = 256 * 1024
};

int log_open(enum log_level level);
void log_close(void);
void log_event(enum log_level level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void log_format_line(struct buf *out, enum log_level level, const char *event,
    const char *format, va_list args);
void log_lines(const struct buf *lines);
bool log_is_enabled(enum log_level level);
void log_set_buffering(bool enabled);
void log_flush(void);
uint64_t log_dropped_lines(void);
const char *log_quote(char quoted[LOG_QUOTED_BYTES], const char *text);
int log_level_from_name(const char *name);

#ifdef __cplusplus
}
#endif

#endif
