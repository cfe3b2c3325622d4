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
 * Which version the sessions of this instance run on while a roll-out is under
 * way.  A session that was seen before stays with its version.  One that was
 * not gets its version by a hash of its name, which is the same at every
 * instance, and only once the order is older than a session's longest pause:
 * before that, an unknown session may have begun on the old version elsewhere.
 */
struct se;

struct se_query {
	uint64_t session; /* 0: none */
	int64_t now_us;
	int64_t order_age_us; /* since the roll-out was ordered */
	uint32_t permille; /* share of the new version */
	uint32_t draw; /* below 1,000, for requests without a session */
};

struct se *se_new(const struct alloc *alloc, int64_t pause_us);
void se_free(struct se *se);
enum pl_role se_role(
    const struct se *se, const struct se_query *query, bool *bound);
void se_note(
    struct se *se, uint64_t session, enum pl_role role, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
