#ifndef CF_GATEWAY_PATH_CHECK_H
#define CF_GATEWAY_PATH_CHECK_H

#include "gateway/entry.h"

#ifdef __cplusplus
extern "C" {
#endif

void gw_path_watch(struct gw_entry *entry);
void gw_path_connected(
    struct gw_entry *entry, const struct sockaddr_in *address);
void gw_path_failed(struct gw_entry *entry, uint16_t server, bool refused);

#ifdef __cplusplus
}
#endif

#endif
