#include "route/sessions.h"

#include <xxhash.h>

enum {
	SLOTS = 8192, /* a session that shares another's slot replaces it */
	PERMILLE = 1000
};

struct slot {
	uint64_t session;
	int64_t seen_us;
	enum pl_role role;
};

struct se {
	const struct alloc *alloc;
	int64_t pause_us;
	struct slot slots[SLOTS];
};

/* Creates an empty table; pause_us is a session's longest pause. */
struct se *
se_new(const struct alloc *alloc, int64_t pause_us)
{
	struct se *se = alloc_zero(alloc, 1, sizeof(*se));

	se->alloc = alloc;
	se->pause_us = pause_us;
	return se;
}

/* Releases a table. */
void
se_free(struct se *se)
{
	if (se != NULL)
		alloc_free(se->alloc, se);
}

static uint64_t
hash(uint64_t session)
{
	return XXH64(&session, sizeof(session), 0);
}

/* Returns the version for a request; bound: it must be that one. */
enum pl_role
se_role(const struct se *se, const struct se_query *query, bool *bound)
{
	const struct slot *slot;
	uint64_t h;

	*bound = false;
	if (query->session == 0)
		return query->draw < query->permille ? PL_TARGET : PL_BASE;
	h = hash(query->session);
	slot = &se->slots[h % SLOTS];
	if (slot->session == query->session &&
	    query->now_us - slot->seen_us < 2 * se->pause_us) {
		*bound = true;
		return slot->role;
	}
	if (query->order_age_us < se->pause_us)
		return PL_BASE;
	return h / SLOTS % PERMILLE < query->permille ? PL_TARGET : PL_BASE;
}

/* A request of a session goes to a version. */
void
se_note(struct se *se, uint64_t session, enum pl_role role, int64_t now_us)
{
	struct slot *slot = &se->slots[hash(session) % SLOTS];

	if (session == 0)
		return;
	slot->session = session;
	slot->seen_us = now_us;
	slot->role = role;
}
