#include "gateway/settings.h"

#include <argp.h>
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"

enum {
	LINE_BYTES = 1024,
	QUALITY_PERMILLE_MAX = 990, /* a good answer has no infinite value */
	FIRST_OPTION_KEY = 256, /* argp takes lower keys for short options */
	MEMORY_MIN_MB = 16,
	MEMORY_MAX_MB = 1024 * 1024,
	DESCRIPTORS_MIN = 64
};

enum setting_type {
	SETTING_TEXT,
	SETTING_NUMBER,
	/* a time in milliseconds, or in seconds with the unit "s" */
	SETTING_MS,
	SETTING_PERMILLE, /* written as a fraction, stored in thousandths */
	SETTING_BOOL,
	SETTING_ADDRESS,
	SETTING_SEEDS,
	SETTING_LEVEL
};

struct setting {
	const char *name;
	enum setting_type type;
	size_t offset;
	size_t size; /* size in bytes of a SETTING_TEXT */
	const char *doc;
};

#define TEXT(name, field, doc)                                           \
	{                                                                \
		name, SETTING_TEXT, offsetof(struct gw_settings, field), \
		    sizeof(((struct gw_settings *)0)->field), doc        \
	}
#define VALUE(name, type, field, doc)                                   \
	{                                                               \
		name, type, offsetof(struct gw_settings, field), 0, doc \
	}

static const struct setting setting_table[] = {
    TEXT("settings", settings_path, "file with further settings, one per line"),
    TEXT("instance", instance, "name of this instance"),
    TEXT("data-centre", data_centre, "data centre of this instance"),
    TEXT("dialect", dialect, "what callers, servers and operators speak"),
    TEXT("link-host", link_host, "IPv4 address for links between instances"),
    VALUE("link-port", SETTING_NUMBER, link_port,
	"port for links, the same on every instance"),
    VALUE("forward-port", SETTING_NUMBER, forward_port,
	"port for requests of other instances, the same on all; 0: none"),
    TEXT("source-address", source_address,
	"local IPv4 address of connections to backend servers"),
    TEXT("cluster-key", cluster_key,
	"64 hexadecimal digits, the same on every instance"),
    VALUE("listen", SETTING_ADDRESS, listen, "IP:PORT for callers"),
    VALUE("ready-listen", SETTING_ADDRESS, ready_listen,
	"IP:PORT of the readiness check for the load balancer"),
    VALUE("control-listen", SETTING_ADDRESS, control_listen,
	"IP:PORT for operators and backend servers"),
    VALUE("metrics-listen", SETTING_ADDRESS, metrics_listen,
	"IP:PORT of the metrics page"),
    TEXT("data-dir", data_dir, "folder of the state replica"),
    VALUE("disk-losses", SETTING_NUMBER, disk_losses,
	"state replicas that may lose their disks at the same time"),
    VALUE("bootstrap", SETTING_BOOL, bootstrap,
	"true only when the whole system starts for the first time"),
    VALUE("seeds", SETTING_SEEDS, seeds,
	"IP:PORT,... of instances that serve control"),
    VALUE("log-level", SETTING_LEVEL, log_level, "error, warn, info or debug"),
    VALUE("log-lines", SETTING_NUMBER, log_lines,
	"lines a second about requests that succeed"),
    VALUE("contact-ms", SETTING_MS, contact_ms,
	"silence after which an instance counts as lost"),
    VALUE("drain-ms", SETTING_MS, drain_ms,
	"time within which a leaving server gets its last request"),
    VALUE("grace-ms", SETTING_MS, grace_ms,
	"time from SIGTERM to the end of the process"),
    VALUE("revoke-ms", SETTING_MS, revoke_ms,
	"time in which a key taken away is refused everywhere"),
    VALUE("retry-share", SETTING_PERMILLE, retry_permille,
	"retries allowed per request of a service, a fraction"),
    VALUE("retry-slack", SETTING_NUMBER, retry_slack,
	"retries allowed on top in each window, over all instances"),
    VALUE("retry-window-ms", SETTING_MS, retry_window_ms,
	"length of that window"),
    VALUE("exposure-share", SETTING_PERMILLE, exposure_permille,
	"largest fraction of a service's requests for a bad version"),
    VALUE("cold-share", SETTING_PERMILLE, cold_permille,
	"largest load of a cold server, as a multiple of its cold capacity"),
    VALUE("cold-slack", SETTING_NUMBER, cold_slack,
	"requests per second on top of that"),
    VALUE("quality-target", SETTING_PERMILLE, quality_permille,
	"share of good answers wanted of routes with several models"),
    VALUE("announce-ms", SETTING_MS, announce_ms,
	"time between two announcements of a backend server"),
    VALUE("session-ms", SETTING_MS, session_ms,
	"longest pause between requests of one session"),
    VALUE("memory-mb", SETTING_NUMBER, memory_mb,
	"memory of this process in MiB; half of it is for callers and servers"),
    VALUE("descriptors-max", SETTING_NUMBER, descriptors_max,
	"descriptors that this process may open"),
};

enum {
	SETTING_COUNT = sizeof(setting_table) / sizeof(setting_table[0])
};

/* Sets the default values. */
void
gw_settings_set_defaults(struct gw_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	snprintf(settings->dialect, sizeof(settings->dialect), "platform");
	settings->log_level = LOG_LEVEL_INFO;
	settings->log_lines = 400;
	settings->disk_losses = 1;
	settings->contact_ms = 3000;
	settings->drain_ms = 2000;
	settings->grace_ms = 8000;
	settings->revoke_ms = 5000;
	settings->retry_permille = 200;
	settings->retry_slack = 50;
	settings->retry_window_ms = 10000;
	settings->exposure_permille = 150;
	settings->cold_permille = 1000;
	settings->cold_slack = 5;
	settings->quality_permille = 900;
	settings->announce_ms = 1200;
	settings->session_ms = 5000;
	settings->memory_mb = 256;
	settings->descriptors_max = 4096;
}

/* Appends the names of all settings, one per line. */
void
gw_settings_names(struct buf *out)
{
	for (size_t i = 0; i < SETTING_COUNT; i++)
		buf_addf(out, "%s\n", setting_table[i].name);
}

static bool
read_number(const char *text, uint32_t *out)
{
	char *end;
	double value;

	errno = 0;
	value = strtod(text, &end);
	if (end == text || *end != '\0' || errno != 0 || value < 0 ||
	    value > UINT32_MAX)
		return false;
	*out = (uint32_t)value;
	return true;
}

/* Reads a time such as "6500", "6500 ms" or "6.5 s", in whole milliseconds. */
static bool
read_ms(const char *text, uint32_t *out)
{
	char *unit;
	double value;

	errno = 0;
	value = strtod(text, &unit);
	if (unit == text || errno != 0)
		return false;
	unit += strspn(unit, " ");
	if (strcmp(unit, "s") == 0)
		value *= 1000;
	else if (*unit != '\0' && strcmp(unit, "ms") != 0)
		return false;
	if (!(value >= 0) || value > UINT32_MAX)
		return false;
	*out = (uint32_t)value;
	return true;
}

/* Reads a fraction such as "0.15", as thousandths. */
static bool
read_permille(const char *text, uint32_t *out)
{
	char *end;
	double value = strtod(text, &end);

	if (end == text || *end != '\0' || !(value >= 0) || value > 1000)
		return false;
	*out = (uint32_t)(value * 1000 + 0.5);
	return true;
}

/* Reads "IP:PORT"; an empty text clears the address. */
static bool
read_address(const char *text, struct gw_host_port *out)
{
	const char *colon = strrchr(text, ':');
	uint32_t port;

	if (text[0] == '\0') {
		memset(out, 0, sizeof(*out));
		return true;
	}
	if (colon == NULL || (size_t)(colon - text) >= sizeof(out->host) ||
	    !read_number(colon + 1, &port) || port > UINT16_MAX)
		return false;
	memcpy(out->host, text, (size_t)(colon - text));
	out->host[colon - text] = '\0';
	out->port = (uint16_t)port;
	return true;
}

static bool
read_seeds(const char *text, struct gw_settings *settings)
{
	char copy[LINE_BYTES];
	char *rest, *word;
	struct gw_host_port seeds[GW_SEEDS_MAX];
	uint32_t count = 0;

	if (strlen(text) >= sizeof(copy))
		return false;
	memcpy(copy, text, strlen(text) + 1);
	for (word = strtok_r(copy, ", ", &rest); word != NULL;
	     word = strtok_r(NULL, ", ", &rest)) {
		if (count == GW_SEEDS_MAX || !read_address(word, &seeds[count]))
			return false;
		count++;
	}
	memcpy(settings->seeds, seeds, count * sizeof(seeds[0]));
	settings->seed_count = count;
	return true;
}

static bool
read_value(struct gw_settings *settings, const struct setting *setting,
    const char *text)
{
	char *field = (char *)settings + setting->offset;
	int level;

	switch (setting->type) {
	case SETTING_TEXT:
		if (strlen(text) >= setting->size)
			return false;
		memcpy(field, text, strlen(text) + 1);
		return true;
	case SETTING_NUMBER:
		return read_number(text, (uint32_t *)(void *)field);
	case SETTING_MS:
		return read_ms(text, (uint32_t *)(void *)field);
	case SETTING_PERMILLE:
		return read_permille(text, (uint32_t *)(void *)field);
	case SETTING_BOOL:
		if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0)
			return false;
		*(bool *)field = strcmp(text, "true") == 0;
		return true;
	case SETTING_ADDRESS:
		return read_address(text, (struct gw_host_port *)(void *)field);
	case SETTING_SEEDS:
		return read_seeds(text, settings);
	case SETTING_LEVEL:
		level = log_level_from_name(text);
		if (level >= 0)
			settings->log_level = (uint32_t)level;
		return level >= 0;
	}
	return false;
}

static int
set_value(struct gw_settings *settings, const struct setting *setting,
    const char *text, struct buf *why)
{
	if (read_value(settings, setting, text))
		return 0;
	buf_addf(why, "%s: \"%s\" is not accepted: %s", setting->name, text,
	    setting->doc);
	return ERR_SETTING;
}

static char *
trim(char *text)
{
	size_t len;

	while (isspace((unsigned char)*text))
		text++;
	len = strlen(text);
	while (len > 0 && isspace((unsigned char)text[len - 1]))
		text[--len] = '\0';
	return text;
}

/*
 * Reads one line "name = value".  Ignores empty lines and "# ...".  Returns 0,
 * or ERR_SETTING with a message in why.
 */
int
gw_settings_read_line(
    struct gw_settings *settings, const char *line, struct buf *why)
{
	char copy[LINE_BYTES];
	char *name, *value;

	if (strlen(line) >= sizeof(copy)) {
		buf_adds(why, "a line is too long");
		return ERR_SETTING;
	}
	memcpy(copy, line, strlen(line) + 1);
	name = trim(copy);
	if (name[0] == '\0' || name[0] == '#')
		return 0;
	value = strchr(name, '=');
	if (value == NULL) {
		buf_addf(why, "\"%s\" is no \"name = value\"", name);
		return ERR_SETTING;
	}
	*value++ = '\0';
	name = trim(name);
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (strcmp(setting_table[i].name, name) == 0)
			return set_value(
			    settings, &setting_table[i], trim(value), why);
	}
	buf_addf(why, "there is no setting \"%s\"", name);
	return ERR_SETTING;
}

/*
 * Returns 0, ERR_IO if the file can't be read now, or ERR_SETTING if it is
 * invalid, with a message in why.
 */
static int
read_file(struct gw_settings *settings, struct buf *why)
{
	char line[LINE_BYTES];
	FILE *file;
	int error = 0;

	if (settings->settings_path[0] == '\0')
		return 0;
	file = fopen(settings->settings_path, "re");
	if (file == NULL) {
		buf_addf(why, "settings: \"%s\": %s", settings->settings_path,
		    strerror(errno));
		return ERR_IO;
	}
	while (error == 0 && fgets(line, sizeof(line), file) != NULL)
		error = gw_settings_read_line(settings, line, why);
	if (error == 0 && ferror(file)) {
		buf_addf(why, "settings: \"%s\": can't be read",
		    settings->settings_path);
		error = ERR_IO;
	}
	fclose(file);
	return error;
}

static int
read_environment(struct gw_settings *settings, struct buf *why)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		char name[GW_NAME_BYTES] = "CELERYFORD_";
		size_t n = strlen(name);
		const char *value;

		for (const char *c = setting_table[i].name; *c != '\0'; c++)
			name[n++] =
			    *c == '-' ? '_' : (char)toupper((unsigned char)*c);
		name[n] = '\0';
		value = getenv(name);
		if (value != NULL &&
		    set_value(settings, &setting_table[i], value, why) != 0)
			return ERR_SETTING;
	}
	return 0;
}

struct parse_context {
	struct gw_settings *settings;
	struct buf *why;
	/* the first pass reads only the path of the file */
	bool settings_path_only;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse_context *parse = state->input;
	const struct setting *setting;

	if (key < FIRST_OPTION_KEY || key >= FIRST_OPTION_KEY + SETTING_COUNT)
		return ARGP_ERR_UNKNOWN;
	setting = &setting_table[key - FIRST_OPTION_KEY];
	if (parse->settings_path_only && strcmp(setting->name, "settings") != 0)
		return 0;
	if (set_value(parse->settings, setting, arg, parse->why) != 0)
		argp_error(state, "%s", buf_text(parse->why));
	return 0;
}

static void
parse_flags(struct gw_settings *settings, int argc, char **argv,
    bool settings_path_only, struct buf *why)
{
	struct argp_option options[SETTING_COUNT + 1] = {{0}};
	struct argp argp = {options, parse_option, NULL,
	    "Routes requests to backend servers by a table of routes.\v"
	    "Each flag has an environment variable: --link-port and "
	    "CELERYFORD_LINK_PORT.  Lines \"link-port = 7340\" in the file "
	    "of --settings apply where neither is given.",
	    NULL, NULL, NULL};
	struct parse_context parse = {settings, why, settings_path_only};

	for (size_t i = 0; i < SETTING_COUNT; i++) {
		options[i].name = setting_table[i].name;
		options[i].key = FIRST_OPTION_KEY + (int)i;
		options[i].arg = "VALUE";
		options[i].doc = setting_table[i].doc;
	}
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
}

static int
check_settings(const struct gw_settings *settings, struct buf *why)
{
	struct in_addr address;

	if (settings->instance[0] == '\0' || settings->data_centre[0] == '\0' ||
	    settings->link_host[0] == '\0' || settings->link_port == 0 ||
	    settings->link_port > UINT16_MAX ||
	    settings->cluster_key[0] == '\0')
		buf_adds(why, "instance, data-centre, link-host, link-port and "
			      "cluster-key are required");
	else if (settings->listen.host[0] == '\0' &&
		 settings->control_listen.host[0] == '\0')
		buf_adds(why, "listen or control-listen is required");
	else if (settings->control_listen.host[0] != '\0' &&
		 settings->data_dir[0] == '\0')
		buf_adds(why, "control-listen requires data-dir");
	else if (settings->quality_permille > QUALITY_PERMILLE_MAX)
		buf_adds(why, "quality-target is more than 0.99");
	else if (settings->forward_port > UINT16_MAX)
		buf_adds(why, "forward-port is no port");
	else if (settings->source_address[0] != '\0' &&
		 inet_pton(AF_INET, settings->source_address, &address) != 1)
		buf_adds(why, "source-address is no IPv4 address");
	else if (settings->memory_mb < MEMORY_MIN_MB ||
		 settings->memory_mb > MEMORY_MAX_MB)
		buf_addf(why, "memory-mb: %d to %d is required", MEMORY_MIN_MB,
		    MEMORY_MAX_MB);
	else if (settings->descriptors_max < DESCRIPTORS_MIN)
		buf_addf(why, "descriptors-max: at least %d is required",
		    DESCRIPTORS_MIN);
	else
		return 0;
	return ERR_SETTING;
}

/*
 * Reads file, environment and flags.  Returns 0, ERR_IO if the file can't be
 * read, or ERR_SETTING with the invalid setting in why.  An invalid flag ends
 * the process.
 */
int
gw_settings_read(
    struct gw_settings *settings, int argc, char **argv, struct buf *why)
{
	int error;

	gw_settings_set_defaults(settings);
	error = read_environment(settings, why);
	if (error == 0)
		parse_flags(settings, argc, argv, true, why);
	if (error == 0)
		error = read_file(settings, why);
	if (error == 0)
		error = read_environment(settings, why);
	if (error == 0)
		parse_flags(settings, argc, argv, false, why);
	return error == 0 ? check_settings(settings, why) : error;
}

/*
 * Reads the file again and adopts only the settings that may change while the
 * process runs: seeds, limits and the log level.  Returns 0, ERR_IO if the file
 * can't be read now, or ERR_SETTING if it is invalid.  On an error all settings
 * stay as they are, and the message is in why.
 */
int
gw_settings_reload(struct gw_settings *settings, struct buf *why)
{
	struct gw_settings next = *settings;
	int error = read_file(&next, why);

	if (error != 0)
		return error;
	memcpy(next.link_host, settings->link_host, sizeof(next.link_host));
	next.link_port = settings->link_port;
	next.forward_port = settings->forward_port;
	memcpy(next.source_address, settings->source_address,
	    sizeof(next.source_address));
	next.listen = settings->listen;
	next.ready_listen = settings->ready_listen;
	next.control_listen = settings->control_listen;
	next.metrics_listen = settings->metrics_listen;
	memcpy(next.data_dir, settings->data_dir, sizeof(next.data_dir));
	next.bootstrap = settings->bootstrap;
	next.memory_mb = settings->memory_mb;
	next.descriptors_max = settings->descriptors_max;
	*settings = next;
	return 0;
}
