#ifndef CF_GATEWAY_LOADS_H
#define CF_GATEWAY_LOADS_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Exchange of load reports.  While it has requests at backend servers, each
 * entry instance reports its load there to one control instance several times a
 * second.  The control instances exchange the sums of these reports, and tell
 * each entry instance the load that all others cause together.  One without
 * requests asks for that once a second, so that it knows when it gets some.
 */
struct gw_loads;

struct gw_loads *gw_loads_new(struct gw *gw);
void gw_loads_free(struct gw_loads *reports);
void gw_loads_receive(
    struct gw_loads *reports, uint32_t from, const uint8_t *data, uint32_t len);

#ifdef __cplusplus
}
#endif

#endif
