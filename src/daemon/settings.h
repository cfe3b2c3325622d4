#ifndef CF_SETTINGS_H
#define CF_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/secure.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The daemon's settings.  Each has a flag and an environment variable of the
 * same name (--ops-listen, CELERYFORD_OPS_LISTEN); the flag takes precedence.
 */
enum {
	SETTINGS_HOST_BYTES = 64,
	SETTINGS_PEERS_MAX = 512,
	SETTINGS_PATH_BYTES = 512
};

struct settings_address {
	char host[SETTINGS_HOST_BYTES];
	uint16_t port;
};

struct settings_peer {
	char instance[SECURE_NAME_BYTES];
	char data_centre[SECURE_NAME_BYTES];
	struct settings_address address;
	uint16_t http_port; /* for forwarded requests; 0: none are forwarded */
	bool replica; /* keeps a state replica */
};

struct settings {
	struct settings_address listen;
	struct settings_address ops_listen;
	struct settings_address peer_listen;
	char instance[SECURE_NAME_BYTES];
	char data_centre[SECURE_NAME_BYTES];
	char data_dir[SETTINGS_PATH_BYTES]; /* "" without a state replica */
	char config[SETTINGS_PATH_BYTES]; /* document of a new replica set */
	char cluster_key[SETTINGS_PATH_BYTES];
	struct settings_peer *peers;
	uint32_t peer_count;
	uint32_t body_max_bytes;
	uint32_t memory_mb; /* of the machine for this process */
	uint32_t descriptors_max; /* that this process may open */
	uint32_t drain_delay_ms; /* for the load balancer to notice a drain */
	uint32_t drain_max_ms; /* longest wait for streams to end */
	int log_level;
	bool check; /* only validate the settings */
};

void settings_read(struct settings *settings, int argc, char **argv);
size_t settings_memory_bytes(const struct settings *settings);
uint32_t settings_callers_max(const struct settings *settings);
void settings_free(struct settings *settings);

#ifdef __cplusplus
}
#endif

#endif
