#ifndef CF_GATEWAY_FAREWELLS_H
#define CF_GATEWAY_FAREWELLS_H

#include "gateway/gateway.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The backend servers that are leaving or have left, on the disk of each
 * instance with a data folder.  The registry forgets them when all processes
 * stop at once, and an announcement of theirs that is still on its way would
 * then count as that of a new server.
 *
 * A journal of its own in the data folder holds them, which an older build
 * leaves alone.  Each instance writes what it hears itself and what the others
 * tell it; a farewell is acknowledged once the instance that heard it has it on
 * its disk.
 */
struct gw_farewells;

/*
 * Called with 0 once all farewells known so far are on the disk, or with
 * ERR_DISK or ERR_TIMEOUT.
 */
typedef void (*gw_farewells_fn)(void *ctx, int error);

void gw_farewells_server_changed(
    struct gw_farewells *farewells, const struct registry_server *changed);
void gw_farewells_await(
    struct gw_farewells *farewells, gw_farewells_fn done, void *ctx);
void gw_farewells_cancel(struct gw_farewells *farewells, void *ctx);

#ifdef __cplusplus
}
#endif

#endif
