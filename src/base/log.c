#include "base/log.h"

#include <errno.h>
#include <log4c.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum {
	LOG_LINE_BYTES = 2048,
	LOG_PREFIX_BYTES = 96,
	LOG_FLUSH_THRESHOLD_BYTES = 4096, /* flush at this fill level */
	/* A writable pipe accepts this many bytes without blocking. */
	LOG_WRITE_MAX_BYTES = 4096
};

static log4c_category_t *log_category;

static char log_buffer[LOG_BUFFER_BYTES];
static size_t log_used;
static uint64_t log_dropped; /* lines dropped since start */
static uint64_t log_dropped_reported; /* of these, already logged */
static bool log_is_buffering;

static const int log_priorities[] = {
    [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const log_level_names[] = {
    [LOG_LEVEL_ERROR] = "error",
    [LOG_LEVEL_WARN] = "warn",
    [LOG_LEVEL_INFO] = "info",
    [LOG_LEVEL_DEBUG] = "debug",
};

/* log4c layout: returns the message, which log_event() has formatted. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_layout_type_t log_layout_type = {"celeryford", format_line};

static size_t format_prefix(
    char *line, enum log_level level, const char *event);

/* Appends a formatted line to the buffer; counts it as dropped if full. */
static void
buffer_line(const char *line, size_t len)
{
	if (len > LOG_BUFFER_BYTES - log_used) {
		log_dropped++;
		return;
	}
	memcpy(log_buffer + log_used, line, len);
	log_used += len;
}

/*
 * Logs how many lines were dropped since the last report, once the buffer is
 * at most half full.
 */
static void
report_dropped_lines(void)
{
	char line[LOG_PREFIX_BYTES * 2];
	size_t n;

	if (log_dropped == log_dropped_reported ||
	    log_used > LOG_BUFFER_BYTES / 2)
		return;
	n = format_prefix(line, LOG_LEVEL_WARN, "log_lines_left_out");
	n += (size_t)snprintf(line + n, sizeof(line) - n, "lines=%llu\n",
	    (unsigned long long)(log_dropped - log_dropped_reported));
	log_dropped_reported = log_dropped;
	buffer_line(line, n);
}

/* Writes buffered lines as far as standard output accepts them now. */
void
log_flush(void)
{
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
	size_t written_bytes = 0;

	report_dropped_lines();
	while (written_bytes < log_used && poll(&out, 1, 0) == 1 &&
	       (out.revents & POLLOUT) != 0) {
		size_t n = log_used - written_bytes;
		ssize_t written;

		if (n > LOG_WRITE_MAX_BYTES)
			n = LOG_WRITE_MAX_BYTES;
		written = write(STDOUT_FILENO, log_buffer + written_bytes, n);
		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			break;
		written_bytes += (size_t)written;
	}
	log_used -= written_bytes;
	memmove(log_buffer, log_buffer + written_bytes, log_used);
}

/*
 * Enables or disables buffering.  With buffering, lines are written by
 * log_flush() or when LOG_FLUSH_THRESHOLD_BYTES are buffered.
 */
void
log_set_buffering(bool enabled)
{
	log_is_buffering = enabled;
}

/* Returns the number of lines dropped since start. */
uint64_t
log_dropped_lines(void)
{
	return log_dropped;
}

/* Buffers a line and flushes unless more lines may be buffered. */
static void
buffer_and_flush(const char *line, size_t len)
{
	buffer_line(line, len);
	if (!log_is_buffering || log_used >= LOG_FLUSH_THRESHOLD_BYTES)
		log_flush();
}

/*
 * log4c appender for formatted lines.  log4c's own stream appender is not used
 * because it prefixes each line with its name.
 */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	const char *line = event->evt_rendered_msg;

	(void)appender;
	buffer_and_flush(line, strlen(line));
	return 0;
}

static const log4c_appender_type_t log_appender_type = {
    "celeryford", NULL, append_line, NULL};

/*
 * Opens the log on standard output and drops lines below the given level.
 * Returns 0, or -1 if log4c has no category for the log.
 */
int
log_open(enum log_level level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log4c_init();
	log4c_layout_type_set(&log_layout_type);
	layout = log4c_layout_get("celeryford");
	log4c_layout_set_type(layout, &log_layout_type);
	log4c_appender_type_set(&log_appender_type);
	appender = log4c_appender_get("celeryford");
	log4c_appender_set_type(appender, &log_appender_type);
	log4c_appender_set_layout(appender, layout);
	log_category = log4c_category_get("celeryford");
	if (log_category == NULL)
		return -1;
	log4c_category_set_appender(log_category, appender);
	log4c_category_set_additivity(log_category, 0);
	log4c_category_set_priority(log_category, log_priorities[level]);
	return 0;
}

/* Flushes the log and releases log4c's resources. */
void
log_close(void)
{
	log_flush();
	log_category = NULL;
	log4c_fini();
}

/*
 * Formats time stamp, level and event into line, which must hold
 * LOG_PREFIX_BYTES.  Returns the length.
 */
static size_t
format_prefix(char *line, enum log_level level, const char *event)
{
	struct timespec now;
	struct tm utc;
	char stamp[32];
	int n;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	n = snprintf(line, LOG_PREFIX_BYTES, "ts=%s.%06ldZ level=%s event=%s ",
	    stamp, now.tv_nsec / 1000, log_level_names[level], event);
	return n < LOG_PREFIX_BYTES ? (size_t)n : LOG_PREFIX_BYTES - 1;
}

/* Returns whether lines of a level are logged. */
bool
log_is_enabled(enum log_level level)
{
	return log_category != NULL && log4c_category_is_priority_enabled(
					   log_category, log_priorities[level]);
}

/*
 * Formats a line into out without logging it; log_lines() can log it later.
 */
void
log_format_line(struct buf *out, enum log_level level, const char *event,
    const char *format, va_list args)
{
	char prefix[LOG_PREFIX_BYTES];

	buf_add(out, prefix, format_prefix(prefix, level, event));
	buf_addv(out, format, args);
	buf_add(out, "\n", 1);
}

/* Logs lines formatted by log_format_line(). */
void
log_lines(const struct buf *lines)
{
	if (lines->len > 0)
		buffer_and_flush((const char *)lines->data, lines->len);
}

/*
 * Logs one line; format gives the key=value pairs that follow the event.  A
 * line is truncated to LOG_LINE_BYTES.
 */
void
log_event(enum log_level level, const char *event, const char *format, ...)
{
	char line[LOG_LINE_BYTES];
	size_t n;
	va_list args;

	if (!log_is_enabled(level))
		return;
	n = format_prefix(line, level, event);
	va_start(args, format);
	vsnprintf(line + n, sizeof(line) - n - 1, format, args);
	va_end(args);
	n = strlen(line);
	line[n] = '\n';
	line[n + 1] = '\0';
	log4c_category_log(log_category, log_priorities[level], "%s", line);
}

/*
 * Copies text into quoted in double quotes, truncated to LOG_QUOTED_BYTES.
 * Quotes, backslashes and control characters become dots.  Returns quoted.
 */
const char *
log_quote(char quoted[LOG_QUOTED_BYTES], const char *text)
{
	size_t n = 0;

	quoted[n++] = '"';
	for (; *text != '\0' && n < LOG_QUOTED_BYTES - 2; text++) {
		unsigned char c = (unsigned char)*text;

		quoted[n++] = c < ' ' || c == '"' || c == '\\' ? '.' : (char)c;
	}
	quoted[n++] = '"';
	quoted[n] = '\0';
	return quoted;
}

/* Returns the level with the given name, or -1 if there is none. */
int
log_level_from_name(const char *name)
{
	for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
		if (strcmp(name, log_level_names[i]) == 0)
			return i;
	}
	return -1;
}
