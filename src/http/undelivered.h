#ifndef CF_HTTP_UNDELIVERED_H
#define CF_HTTP_UNDELIVERED_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

bool http_has_undelivered(int fd);
uint16_t http_local_port(int fd);

#ifdef __cplusplus
}
#endif

#endif
