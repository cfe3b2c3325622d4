#ifndef CF_GATEWAY_LOADS_H
#define CF_GATEWAY_LOADS_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Entry instances tell one that serves control what they have under way at the
 * backend servers, several times a second while that changes; it sums up what
 * all have, with the sums of the others that serve control, and tells each
 * instance what the rest has.
 */
struct gw_loads;

struct gw_loads *gl_new(struct gw *gw);
void gl_free(struct gw_loads *reports);
void gl_message(
    struct gw_loads *reports, uint32_t from, const uint8_t *data, uint32_t len);

#ifdef __cplusplus
}
#endif

#endif
