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
	LOG_FLUSH_BYTES = 4096, /* gathered lines are written from here on */
	/* A pipe that is writable takes so many bytes without waiting. */
	LOG_WRITE_BYTES = 4096
};

static log4c_category_t *log_category;

static char log_buffer[LOG_BUFFER_BYTES];
static size_t log_used;
static uint64_t log_missing; /* lines left out, in all */
static uint64_t log_missing_told;
static bool log_gathers;

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

/* Hands a finished line on as it is: log_event() has made it whole. */
static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_layout_type_t log_layout_type = {"celeryford", format_line};

static size_t format_prefix(
    char *line, enum log_level level, const char *event);

/* Keeps a finished line, or counts it where there is no room. */
static void
keep(const char *line, size_t len)
{
	if (len > LOG_BUFFER_BYTES - log_used) {
		log_missing++;
		return;
	}
	memcpy(log_buffer + log_used, line, len);
	log_used += len;
}

/* Says how many lines were left out, as soon as there is room again. */
static void
tell_missing(void)
{
	char line[LOG_PREFIX_BYTES * 2];
	size_t n;

	if (log_missing == log_missing_told || log_used > LOG_BUFFER_BYTES / 2)
		return;
	n = format_prefix(line, LOG_LEVEL_WARN, "log_lines_left_out");
	n += (size_t)snprintf(line + n, sizeof(line) - n, "lines=%llu\n",
	    (unsigned long long)(log_missing - log_missing_told));
	log_missing_told = log_missing;
	keep(line, n);
}

/* Writes what the reader takes without making this process wait. */
void
log_flush(void)
{
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
	size_t done = 0;

	tell_missing();
	while (done < log_used && poll(&out, 1, 0) == 1 &&
	       (out.revents & POLLOUT) != 0) {
		size_t n = log_used - done;
		ssize_t written;

		if (n > LOG_WRITE_BYTES)
			n = LOG_WRITE_BYTES;
		written = write(STDOUT_FILENO, log_buffer + done, n);
		if (written < 0 && errno == EINTR)
			continue;
		if (written <= 0)
			break;
		done += (size_t)written;
	}
	log_used -= done;
	memmove(log_buffer, log_buffer + done, log_used);
}

/* Gathers lines until log_flush(), or until there are many. */
void
log_gather(bool gather)
{
	log_gathers = gather;
}

/* Returns how many lines were left out so far. */
uint64_t
log_left_out(void)
{
	return log_missing;
}

static void
keep_and_write(const char *line, size_t len)
{
	keep(line, len);
	if (!log_gathers || log_used >= LOG_FLUSH_BYTES)
		log_flush();
}

/* Takes a finished line; log4c's own appender puts its name before it. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	const char *line = event->evt_rendered_msg;

	(void)appender;
	keep_and_write(line, strlen(line));
	return 0;
}

static const log4c_appender_type_t log_appender_type = {
    "celeryford", NULL, append_line, NULL};

/* Opens the log on standard output.  Returns 0, or -1 if log4c refuses. */
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

/* Releases what log4c holds. */
void
log_close(void)
{
	log_flush();
	log_category = NULL;
	log4c_fini();
}

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

/* Tells whether lines of a level are written at all. */
bool
log_is_enabled(enum log_level level)
{
	return log_category != NULL && log4c_category_is_priority_enabled(
					   log_category, log_priorities[level]);
}

/* Appends a finished line to a buffer, to be logged later or never. */
void
log_add(struct buf *out, enum log_level level, const char *event,
    const char *format, va_list args)
{
	char prefix[LOG_PREFIX_BYTES];

	buf_add(out, prefix, format_prefix(prefix, level, event));
	buf_addv(out, format, args);
	buf_add(out, "\n", 1);
}

/* Logs finished lines as they are. */
void
log_lines(const struct buf *lines)
{
	if (lines->len > 0)
		keep_and_write((const char *)lines->data, lines->len);
}

/* Writes one line; the format gives the key=value pairs after the event. */
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
 * Writes text in double quotes, with quotes, backslashes and control bytes
 * replaced, cut to LOG_QUOTED_BYTES.  Returns quoted.
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

/* Returns the level of a name, or -1 for a name that is none. */
int
log_level_from_name(const char *name)
{
	for (int i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
		if (strcmp(name, log_level_names[i]) == 0)
			return i;
	}
	return -1;
}
