#ifndef CF_GATEWAY_SERVER_MESSAGE_H
#define CF_GATEWAY_SERVER_MESSAGE_H

#include "state/registry.h"
#include "wire/cluster.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * What instances tell each other of a backend server, and keep of it on disk.
 */

/* A message and what it points to; the names are those of the server. */
struct gw_server_message {
	Clpb__Server pb;
	Clpb__Model models[REGISTRY_MODELS_MAX];
	Clpb__Model *model_list[REGISTRY_MODELS_MAX];
};

void gw_server_message_init(struct gw_server_message *message,
    const struct registry_server *server, bool only_refreshed, int64_t now_us);
bool gw_server_message_read(
    const Clpb__Server *pb, int64_t now_us, struct registry_server *out);

#ifdef __cplusplus
}
#endif

#endif
