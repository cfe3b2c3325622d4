#include "base/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum {
	LOG_LINE_BYTES = 2048,
	LOG_PREFIX_BYTES = 96
};

static log4c_category_t *log_category;

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

/* Writes a finished line; log4c's own appender puts its name before it. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	(void)appender;
	return fputs(event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t log_appender_type = {
    "celeryford", NULL, append_line, NULL};

/* Opens the log on standard error.  Returns 0, or -1 if log4c refuses. */
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

/* Writes one line; the format gives the key=value pairs after the event. */
void
log_event(enum log_level level, const char *event, const char *format, ...)
{
	char line[LOG_LINE_BYTES];
	size_t n;
	va_list args;

	if (log_category == NULL || !log4c_category_is_priority_enabled(
					log_category, log_priorities[level]))
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
