#ifndef CF_ROUTE_SESSIONS_H
#define CF_ROUTE_SESSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "route/pool.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Which version the sessions run on while a roll-out is under way.  A session
 * that is not known gets its version by a hash of its name, which is the same
 * at every instance.  One that the hash gives to the new version though it has
 * begun on the old one is held there: the instance that knows so tells the
 * others.  Until they have heard of all such sessions, unknown ones stay with
 * the old version.  Late in a roll-out sessions may go over to the new version,
 * by the same hash; none goes back.
 */
struct se;

struct se_query {
	uint64_t session; /* 0: none */
	int64_t now_us;
	int64_t order_age_us; /* since the roll-out was ordered */
	uint32_t permille; /* share of the new version */
	uint32_t draw; /* below 1,000, for requests without a session */
	bool may_go_over; /* sessions of the old version, to the new one */
};

struct se *se_new(const struct alloc *alloc, int64_t pause_us);
void se_free(struct se *se);
enum pl_role se_role(
    const struct se *se, const struct se_query *query, bool *bound);
bool se_note(struct se *se, uint64_t session, enum pl_role role,
    uint32_t permille, int64_t now_us);
void se_touch(struct se *se, uint64_t session, int64_t now_us);
void se_hold(struct se *se, uint64_t session, int64_t now_us);
void se_begin(struct se *se, uint32_t permille, int64_t now_us,
    void (*hold)(void *ctx, uint64_t session), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
