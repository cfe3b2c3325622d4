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
 * Session binding during a roll-out: which version each session runs on.
 *
 * An unknown session gets its version by a hash of its key, which gives the
 * same result at every instance.  A session that the hash assigns to the new
 * version although it began on the old one is pinned to the old version, and
 * the instance that knows of it tells the others.  Until all instances have
 * heard of such sessions, unknown sessions use the old version.  Late in a
 * roll-out, sessions may switch to the new version by the same hash; none
 * switches back.
 */
struct session_roles;

struct sessions_query {
	uint64_t session; /* hash of the session key; 0: no session */
	int64_t now_us;
	int64_t order_age_us; /* since the roll-out's order */
	uint32_t permille; /* share of the new version */
	/* Random number below 1,000, for requests without a session */
	uint32_t draw;
	/* Sessions of the old version may switch to the new one */
	bool may_switch_version;
};

struct session_roles *sessions_new(
    const struct alloc *alloc, int64_t max_idle_us);
void sessions_free(struct session_roles *table);
enum pool_role sessions_pick_role(const struct session_roles *table,
    const struct sessions_query *query, bool *bound);
bool sessions_record_request(struct session_roles *table, uint64_t session,
    enum pool_role role, uint32_t permille, int64_t now_us);
void sessions_touch(
    struct session_roles *table, uint64_t session, int64_t now_us);
void sessions_pin_to_base(
    struct session_roles *table, uint64_t session, int64_t now_us);
void sessions_begin_rollout(struct session_roles *table, uint32_t permille,
    int64_t now_us, void (*pin)(void *ctx, uint64_t session), void *ctx);

#ifdef __cplusplus
}
#endif

#endif
