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
 * CELERYFORD_LINK_PORT) and lines "link-port = 7340" of a file, in this order
 * of precedence.  The file is read again when it changes.
 */
enum {
	GW_NAME_BYTES = 64,
	GW_PATH_BYTES = 256,
	GW_SEEDS_MAX = 16
};

struct gw_host_port {
	char host[GW_NAME_BYTES]; /* "" if not set */
	uint16_t port;
};

struct gw_settings {
	/* path of the settings file; "": none */
	char settings_path[GW_PATH_BYTES];
	char instance[GW_NAME_BYTES];
	char data_centre[GW_NAME_BYTES];
	char dialect[GW_NAME_BYTES];
	char link_host[GW_NAME_BYTES]; /* IPv4 address of this instance */
	uint32_t link_port; /* the same on every instance */
	/*
	 * port for requests that other instances forward, the same on every
	 * instance; 0: none are forwarded
	 */
	uint32_t forward_port;
	/* local IPv4 address of connections to servers; "": any */
	char source_address[GW_NAME_BYTES];
	char cluster_key[GW_PATH_BYTES]; /* 64 hexadecimal digits */
	/* for callers; "": no entry at this instance */
	struct gw_host_port listen;
	struct gw_host_port ready_listen;
	/* for operators and backend servers */
	struct gw_host_port control_listen;
	struct gw_host_port metrics_listen;
	char data_dir[GW_PATH_BYTES];
	bool bootstrap; /* the whole system starts for the first time */
	struct gw_host_port seeds[GW_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t log_level;
	/* log lines per second about requests that succeed */
	uint32_t log_lines;
	/* state replicas that may lose their disks at the same time */
	uint32_t disk_losses;
	/* silence after which an instance counts as lost */
	uint32_t contact_ms;
	/* time after which a leaving server gets no more requests */
	uint32_t drain_ms;
	uint32_t grace_ms; /* from SIGTERM to the end of the process */
	/* time within which a revoked API key is refused everywhere */
	uint32_t revoke_ms;
	uint32_t retry_permille; /* allowed retries per request of a service */
	/* retries on top in each window, over all instances */
	uint32_t retry_slack;
	uint32_t retry_window_ms;
	/* largest share of a service's requests for a bad version */
	uint32_t exposure_permille;
	/* largest load of a cold server, relative to its cold capacity */
	uint32_t cold_permille;
	uint32_t cold_slack; /* requests per second on top of that */
	uint32_t announce_ms; /* period of a backend server's announcements */
	uint32_t memory_mb; /* of the machine for this process */
	uint32_t descriptors_max; /* that this process may open */
	/* share of good answers wanted on routes with several models */
	uint32_t quality_permille;
	uint32_t session_ms; /* longest pause between requests of one session */
};

int gw_settings_read(
    struct gw_settings *settings, int argc, char **argv, struct buf *why);
int gw_settings_reload(struct gw_settings *settings, struct buf *why);
int gw_settings_read_line(
    struct gw_settings *settings, const char *line, struct buf *why);
void gw_settings_set_defaults(struct gw_settings *settings);
void gw_settings_names(struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
