#ifndef CF_HTTP_LISTENER_H
#define CF_HTTP_LISTENER_H

#include <stdbool.h>
#include <sys/socket.h>

#ifdef __cplusplus
extern "C" {
#endif

int listener_open(
    const struct sockaddr *address, socklen_t len, bool share_port);

#ifdef __cplusplus
}
#endif

#endif
