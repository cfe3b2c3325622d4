#ifndef CF_GATEWAY_SETTINGS_H
#define CF_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The gateway's settings: flags, environment variables (--link-port and
 * CELERYFORD_LINK_PORT) and lines "link-port = 7340" of a file, in that order
 * of precedence.  The file is read again when it changes.
 */
enum {
	GS_NAME_BYTES = 64,
	GW_PATH_BYTES = 256,
	GW_SEEDS_MAX = 16
};

struct gw_host_port {
	char host[GS_NAME_BYTES]; /* "" if not set */
	uint16_t port;
};

struct gs {
	char settings_path[GW_PATH_BYTES]; /* the file; "": none */
	char instance[GS_NAME_BYTES];
	char data_centre[GS_NAME_BYTES];
	char dialect[GS_NAME_BYTES];
	char link_host[GS_NAME_BYTES]; /* this instance's own address */
	uint32_t link_port; /* the same on every instance */
	char cluster_key[GW_PATH_BYTES]; /* 64 hexadecimal digits */
	struct gw_host_port listen; /* callers; "": no entry here */
	struct gw_host_port ready_listen;
	struct gw_host_port control_listen; /* operators, backend servers */
	struct gw_host_port metrics_listen;
	char data_dir[GW_PATH_BYTES];
	bool bootstrap; /* the whole system starts for the first time */
	struct gw_host_port seeds[GW_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t log_level;
	uint32_t log_lines; /* a second, of requests that succeed */
	uint32_t contact_ms; /* silence after which an instance is lost */
	uint32_t drain_ms; /* nothing more is sent to a server that leaves */
	uint32_t grace_ms; /* from SIGTERM to the end of the process */
	uint32_t revoke_ms; /* a key taken away is refused within this */
	uint32_t retry_permille; /* repeats on top of a service's requests */
	uint32_t retry_slack; /* and this many, over all instances */
	uint32_t retry_window_ms;
	uint32_t exposure_permille; /* most that a bad version may get */
	uint32_t cold_permille; /* a cold server's load over what it bears */
	uint32_t cold_slack; /* and this many requests a second */
	uint32_t announce_ms; /* backend servers announce themselves so often */
	uint32_t session_ms; /* requests of a session follow within this */
};

int gw_settings_read(
    struct gs *settings, int argc, char **argv, struct buf *why);
int gw_settings_reload(struct gs *settings, struct buf *why);
int gs_read_line(struct gs *settings, const char *line, struct buf *why);
void gs_defaults(struct gs *settings);
void gs_names(struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
