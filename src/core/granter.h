#ifndef CF_GRANTER_H
#define CF_GRANTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "celeryford.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Leases warm-up credits of cold backend servers to the entry instances of one
 * data centre.  The live leases of a server never add up to more requests than
 * it can run while cold.  One instance at a time is the granter.  A new granter
 * grants nothing until every lease that its predecessor may have granted has
 * expired.
 *
 * The caller converts a lease to the clock of the instance that asked for it:
 * there the lease ends no later than lease_us after the request was sent.
 */
struct granter_options {
	const struct alloc *alloc; /* NULL: the C library's */
	uint16_t max_servers;
	uint16_t max_instances;
	int64_t lease_us; /* 0: GRANTER_LEASE_US */
	int64_t now_us; /* when this instance became the granter */
	bool unsafe_skip_wait; /* tests: earlier leases are ignored */
};

#define GRANTER_LEASE_US (INT64_C(5) * 1000000)

struct granter_lease {
	uint64_t incarnation;
	uint16_t credits; /* all that the instance holds of the server */
	int64_t until_us; /* on the granter's clock */
};

struct granter;

struct granter *granter_new(const struct granter_options *options);
void granter_free(struct granter *gr);
void granter_update_server(
    struct granter *gr, const struct cf_announce *announcement, int64_t now_us);
bool granter_lease_credits(struct granter *gr, uint16_t instance,
    uint16_t server, uint64_t incarnation, uint16_t wanted, int64_t now_us,
    struct granter_lease *lease);
void granter_return_credits(struct granter *gr, uint16_t instance,
    uint16_t server, uint16_t credits, int64_t now_us);
uint16_t granter_leased_credits(
    const struct granter *gr, uint16_t server, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
