#ifndef CF_GATEWAY_FORWARDERS_H
#define CF_GATEWAY_FORWARDERS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The choice of the instances to which one that has lost its path to the
 * servers of a service may forward requests.  No I/O.
 */
enum {
	GW_FORWARDERS_MAX = 8, /* instances that one is told of */
	/* Cut-off instances that one of the same data centre carries along */
	GW_FORWARDERS_LOAD_MAX = 3
};

struct gw_forward_candidate {
	uint32_t instance;
	uint64_t data_centre; /* hash of its name */
	bool takes_forwarded; /* live, with an entry that takes requests */
	bool takes_as_last_resort; /* the same, but it is shutting down */
	bool cut_off;
};

uint32_t gw_forwarders_choose(const struct gw_forward_candidate *rows,
    uint32_t count, const struct gw_forward_candidate *receiver,
    uint32_t out[GW_FORWARDERS_MAX]);

#ifdef __cplusplus
}
#endif

#endif
