#include "daemon/settings.h"

#include <argp.h>
#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "base/log.h"

/*
 * One table defines the flags, the environment variables and the messages.  An
 * invalid value ends the process with status 2 before any port is opened; the
 * message names the flag, the value and what is accepted.
 */

enum {
	EXIT_USAGE = 2,
	KEY_FIRST = 256,
	ENV_BYTES = 64,
	MEMORY_MIN_MB = 32,
	DESCRIPTORS_MIN = 64
};

enum setting_key {
	KEY_LISTEN = KEY_FIRST,
	KEY_OPS_LISTEN,
	KEY_PEER_LISTEN,
	KEY_PEER,
	KEY_INSTANCE,
	KEY_DATA_CENTRE,
	KEY_DATA_DIR,
	KEY_CONFIG,
	KEY_CLUSTER_KEY,
	KEY_LOG_LEVEL,
	KEY_BODY_MAX,
	KEY_MEMORY,
	KEY_DESCRIPTORS,
	KEY_DRAIN_DELAY,
	KEY_DRAIN_MAX,
	KEY_CHECK
};

const char *argp_program_version = "celeryfordd " CF_VERSION;

static const struct argp_option setting_options[] = {
    {"listen", KEY_LISTEN, "IP:PORT", 0, "Callers' and servers' HTTP", 0},
    {"ops-listen", KEY_OPS_LISTEN, "IP:PORT", 0,
	"Operators' HTTP, metrics and health", 0},
    {"peer-listen", KEY_PEER_LISTEN, "IP:PORT", 0, "Links from instances", 0},
    {"peer", KEY_PEER, "NAME@DC=IP:PORT[,http=PORT][,replica]", 0,
	"Another instance; may be given again", 0},
    {"instance", KEY_INSTANCE, "NAME", 0, "Name of this instance", 0},
    {"data-centre", KEY_DATA_CENTRE, "NAME", 0, "Where it runs", 0},
    {"data-dir", KEY_DATA_DIR, "FOLDER", 0,
	"Keep a state replica in this folder", 0},
    {"config", KEY_CONFIG, "FILE", 0,
	"First document, for a replica set that has none yet", 0},
    {"cluster-key", KEY_CLUSTER_KEY, "FILE", 0,
	"Keys shared by all instances, newest first", 0},
    {"log-level", KEY_LOG_LEVEL, "LEVEL", 0, "error, warn, info or debug", 0},
    {"body-max-bytes", KEY_BODY_MAX, "BYTES", 0,
	"Largest request body (default 1048576)", 0},
    {"memory-mb", KEY_MEMORY, "MB", 0, "Memory of this process (default 256)",
	0},
    {"descriptors-max", KEY_DESCRIPTORS, "COUNT", 0,
	"Descriptors that this process may open (default 24000)", 0},
    {"drain-delay-ms", KEY_DRAIN_DELAY, "MS", 0,
	"On SIGTERM, unready before closing (default 2000)", 0},
    {"drain-max-ms", KEY_DRAIN_MAX, "MS", 0,
	"On SIGTERM, longest wait for requests (default 600000)", 0},
    {"check", KEY_CHECK, NULL, 0, "Validate the settings and end", 0}, {0}};

/* Reports an invalid value and ends the process. */
static void
reject(const char *flag, const char *value, const char *accepted)
{
	fprintf(stderr, "celeryfordd: --%s: \"%s\" is not accepted: %s\n", flag,
	    value, accepted);
	exit(EXIT_USAGE);
}

static const char *
flag_name(int key)
{
	for (const struct argp_option *o = setting_options; o->name; o++) {
		if (o->key == key)
			return o->name;
	}
	return "";
}

static bool
parse_number(const char *text, uint32_t max, uint32_t *out)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (!isdigit((unsigned char)text[0]) || *end != '\0' || value > max)
		return false;
	*out = (uint32_t)value;
	return true;
}

static bool
parse_address(const char *text, struct settings_address *out)
{
	const char *colon = strrchr(text, ':');
	unsigned char binary[sizeof(struct in6_addr)];
	const char *start = text;
	size_t len;
	uint32_t port;

	if (colon == NULL || !parse_number(colon + 1, UINT16_MAX, &port))
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && text[len - 1] == ']') {
		start = text + 1;
		len -= 2;
	}
	if (len == 0 || len >= sizeof(out->host))
		return false;
	snprintf(out->host, sizeof(out->host), "%.*s", (int)len, start);
	out->port = (uint16_t)port;
	return inet_pton(AF_INET, out->host, binary) == 1 ||
	       inet_pton(AF_INET6, out->host, binary) == 1;
}

static void
set_address(int key, const char *value, struct settings_address *out)
{
	if (!parse_address(value, out))
		reject(flag_name(key), value,
		    "an IP number and a port, such as 127.0.0.1:8080 or "
		    "[::1]:8080, are needed");
}

/* Returns whether a name has 1 to 63 of the characters that are allowed. */
static bool
is_valid_name(const char *name, size_t len)
{
	if (len == 0 || len >= SECURE_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!isalnum((unsigned char)name[i]) &&
		    strchr("-_.", name[i]) == NULL)
			return false;
	}
	return true;
}

static void
set_name(int key, const char *value, char out[SECURE_NAME_BYTES])
{
	if (!is_valid_name(value, strlen(value)))
		reject(flag_name(key), value,
		    "1 to 63 letters, digits, '-', '_' or '.' are needed");
	snprintf(out, SECURE_NAME_BYTES, "%s", value);
}

static void
set_path(int key, const char *value, char out[SETTINGS_PATH_BYTES])
{
	if (value[0] == '\0' || strlen(value) >= SETTINGS_PATH_BYTES)
		reject(flag_name(key), value,
		    "a path of 1 to 511 bytes is needed");
	snprintf(out, SETTINGS_PATH_BYTES, "%s", value);
}

static void
set_number(int key, const char *value, uint32_t max, uint32_t *out)
{
	char accepted[64];

	snprintf(accepted, sizeof(accepted),
	    "a whole number up to %u is needed", max);
	if (!parse_number(value, max, out))
		reject(flag_name(key), value, accepted);
}

/* Parses what may follow a peer's address: ",http=PORT" and ",replica". */
static bool
parse_peer_options(const char *text, struct settings_peer *peer)
{
	while (*text == ',') {
		size_t len = strcspn(++text, ",");
		char word[32];
		uint32_t port;

		snprintf(word, sizeof(word), "%.*s", (int)len, text);
		text += len;
		if (strcmp(word, "replica") == 0) {
			peer->replica = true;
		} else if (strncmp(word, "http=", 5) == 0 &&
			   parse_number(word + 5, UINT16_MAX, &port)) {
			peer->http_port = (uint16_t)port;
		} else {
			return false;
		}
	}
	return true;
}

static bool
parse_peer(const char *text, struct settings_peer *peer)
{
	const char *at = strchr(text, '@');
	const char *equals = at != NULL ? strchr(at, '=') : NULL;
	char address[SETTINGS_HOST_BYTES + 16];
	size_t len;

	if (equals == NULL || !is_valid_name(text, (size_t)(at - text)) ||
	    !is_valid_name(at + 1, (size_t)(equals - at - 1)))
		return false;
	snprintf(peer->instance, sizeof(peer->instance), "%.*s",
	    (int)(at - text), text);
	snprintf(peer->data_centre, sizeof(peer->data_centre), "%.*s",
	    (int)(equals - at - 1), at + 1);
	len = strcspn(equals + 1, ",");
	if (len >= sizeof(address) ||
	    !parse_peer_options(equals + 1 + len, peer))
		return false;
	snprintf(address, sizeof(address), "%.*s", (int)len, equals + 1);
	return parse_address(address, &peer->address);
}

static void
add_peer(struct settings *settings, const char *value)
{
	struct settings_peer peer = {0};

	if (settings->peer_count == SETTINGS_PEERS_MAX)
		reject("peer", value, "at most 512 peers are accepted");
	if (!parse_peer(value, &peer))
		reject("peer", value,
		    "NAME@DATA-CENTRE=IP:PORT is needed, then ,http=PORT if "
		    "requests may be forwarded to it, and ,replica if it keeps "
		    "a state replica");
	for (uint32_t i = 0; i < settings->peer_count; i++) {
		if (strcmp(settings->peers[i].instance, peer.instance) == 0)
			reject("peer", value, "the name is given twice");
	}
	settings->peers = realloc(settings->peers,
	    (settings->peer_count + 1) * sizeof(*settings->peers));
	if (settings->peers == NULL)
		abort();
	settings->peers[settings->peer_count++] = peer;
}

static void
set_log_level(struct settings *settings, const char *value)
{
	settings->log_level = log_level_from_name(value);
	if (settings->log_level < 0)
		reject(
		    "log-level", value, "error, warn, info or debug is needed");
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	struct settings *s = state->input;

	switch (key) {
	case KEY_LISTEN:
		set_address(key, value, &s->listen);
		return 0;
	case KEY_OPS_LISTEN:
		set_address(key, value, &s->ops_listen);
		return 0;
	case KEY_PEER_LISTEN:
		set_address(key, value, &s->peer_listen);
		return 0;
	case KEY_PEER:
		add_peer(s, value);
		return 0;
	case KEY_INSTANCE:
		set_name(key, value, s->instance);
		return 0;
	case KEY_DATA_CENTRE:
		set_name(key, value, s->data_centre);
		return 0;
	case KEY_DATA_DIR:
		set_path(key, value, s->data_dir);
		return 0;
	case KEY_CONFIG:
		set_path(key, value, s->config);
		return 0;
	case KEY_CLUSTER_KEY:
		set_path(key, value, s->cluster_key);
		return 0;
	case KEY_LOG_LEVEL:
		set_log_level(s, value);
		return 0;
	case KEY_BODY_MAX:
		set_number(key, value, 64 * 1024 * 1024, &s->body_max_bytes);
		return 0;
	case KEY_MEMORY:
		set_number(key, value, 1024 * 1024, &s->memory_mb);
		return 0;
	case KEY_DESCRIPTORS:
		set_number(key, value, 1000000, &s->descriptors_max);
		return 0;
	case KEY_DRAIN_DELAY:
		set_number(key, value, 600000, &s->drain_delay_ms);
		return 0;
	case KEY_DRAIN_MAX:
		set_number(key, value, 86400000, &s->drain_max_ms);
		return 0;
	case KEY_CHECK:
		s->check = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
set_defaults(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	s->body_max_bytes = 1024 * 1024;
	s->memory_mb = 256;
	s->descriptors_max = 24000;
	s->drain_delay_ms = 2000;
	s->drain_max_ms = 600000;
	s->log_level = LOG_LEVEL_INFO;
}

/*
 * Returns the value of a flag's environment variable, or NULL.  The variable of
 * "ops-listen" is CELERYFORD_OPS_LISTEN.
 */
static const char *
environment_value(const char *flag)
{
	char name[ENV_BYTES] = "CELERYFORD_";
	size_t n = strlen(name);

	for (; *flag != '\0' && n < sizeof(name) - 1; flag++)
		name[n++] =
		    *flag == '-' ? '_' : (char)toupper((unsigned char)*flag);
	name[n] = '\0';
	return getenv(name);
}

/*
 * Reads the environment variables.  CELERYFORD_PEER holds all peers, separated
 * by blanks.
 */
static void
read_environment(struct settings *settings)
{
	struct argp_state state = {.input = settings};

	for (const struct argp_option *o = setting_options; o->name; o++) {
		const char *value = environment_value(o->name);
		char *copy, *word, *rest;

		if (value == NULL || (o->arg == NULL && value[0] != '1'))
			continue;
		copy = strdup(value);
		if (o->key != KEY_PEER) {
			parse_option(o->key, copy, &state);
		} else {
			for (word = strtok_r(copy, " ", &rest); word != NULL;
			     word = strtok_r(NULL, " ", &rest))
				parse_option(o->key, word, &state);
		}
		free(copy);
	}
}

/* Ends the process if a flag without a default is missing. */
static void
require_flag(bool given, const char *flag)
{
	if (given)
		return;
	fprintf(stderr, "celeryfordd: --%s is needed\n", flag);
	exit(EXIT_USAGE);
}

/*
 * Reads the environment, then the flags, which take precedence.  Ends the
 * process with status 2 if a setting is invalid or missing.
 */
void
settings_read(struct settings *settings, int argc, char **argv)
{
	static const struct argp argp = {setting_options, parse_option, NULL,
	    "Routes requests to model versions and plain services.\v"
	    "Each flag has an environment variable: --ops-listen and "
	    "CELERYFORD_OPS_LISTEN.",
	    NULL, NULL, NULL};

	set_defaults(settings);
	read_environment(settings);
	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, settings);
	require_flag(settings->listen.host[0] != '\0', "listen");
	require_flag(settings->ops_listen.host[0] != '\0', "ops-listen");
	require_flag(settings->peer_listen.host[0] != '\0', "peer-listen");
	require_flag(settings->instance[0] != '\0', "instance");
	require_flag(settings->data_centre[0] != '\0', "data-centre");
	require_flag(settings->cluster_key[0] != '\0', "cluster-key");
	if (settings->memory_mb < MEMORY_MIN_MB)
		reject("memory-mb", "", "at least 32 is needed");
	if (settings->descriptors_max < DESCRIPTORS_MIN)
		reject("descriptors-max", "", "at least 64 is needed");
	for (uint32_t i = 0; i < settings->peer_count; i++) {
		if (strcmp(settings->peers[i].instance, settings->instance) ==
		    0)
			reject("peer", settings->peers[i].instance,
			    "it is the name of this instance");
	}
}

/* Returns the memory of this process, in bytes. */
size_t
settings_memory_bytes(const struct settings *settings)
{
	return (size_t)settings->memory_mb * 1024 * 1024;
}

/*
 * Returns how many connections callers may have: half of the descriptors, since
 * a request under way needs one to a server.
 */
uint32_t
settings_callers_max(const struct settings *settings)
{
	struct rlimit limit;
	uint32_t descriptors = settings->descriptors_max;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < descriptors)
		descriptors = (uint32_t)limit.rlim_cur;
	return descriptors / 2;
}

/* Releases what settings_read() allocated. */
void
settings_free(struct settings *settings)
{
	free(settings->peers);
	settings->peers = NULL;
	settings->peer_count = 0;
}
