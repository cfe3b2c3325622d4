#include "route/sessions.h"

#include <xxhash.h>

enum {
	SLOTS = 8192, /* a session that shares another's slot replaces it */
	HELD_US = 60000000, /* longer than most roll-outs */
	SPREAD_US = 1000000, /* others have heard of a session by then */
	PERMILLE = 1000
};

struct slot {
	uint64_t session;
	int64_t seen_us;
	enum pl_role role;
	int64_t held_until_us; /* with the old version */
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

static bool
is_target(uint64_t session, uint32_t permille)
{
	return hash(session) / SLOTS % PERMILLE < permille;
}

static struct slot *
slot_of(const struct se *se, uint64_t session)
{
	return (struct slot *)&se->slots[hash(session) % SLOTS];
}

static bool
goes_over(const struct slot *slot, const struct se_query *query)
{
	return query->may_go_over && slot->role == PL_BASE &&
	       is_target(query->session, query->permille);
}

/* Returns the version for a request; bound: it must be that one. */
enum pl_role
se_role(const struct se *se, const struct se_query *query, bool *bound)
{
	const struct slot *slot;

	*bound = false;
	if (query->session == 0)
		return query->draw < query->permille ? PL_TARGET : PL_BASE;
	slot = slot_of(se, query->session);
	if (slot->session == query->session &&
	    (query->now_us < slot->held_until_us ||
		query->now_us - slot->seen_us < 2 * se->pause_us) &&
	    !goes_over(slot, query)) {
		*bound = true;
		return slot->role;
	}
	if (query->order_age_us < SPREAD_US)
		return PL_BASE;
	return is_target(query->session, query->permille) ? PL_TARGET : PL_BASE;
}

/* Takes a session's slot, unless one that is held has it. */
static struct slot *
take_slot(struct se *se, uint64_t session, int64_t now_us)
{
	struct slot *slot = slot_of(se, session);

	if (slot->session == session)
		return slot;
	if (now_us < slot->held_until_us)
		return NULL;
	*slot = (struct slot){.session = session};
	return slot;
}

/*
 * A request of a session goes to a version.  Returns whether the others must
 * hear that the session is held to the old one; permille is 0 while no
 * roll-out runs.
 */
bool
se_note(struct se *se, uint64_t session, enum pl_role role, uint32_t permille,
    int64_t now_us)
{
	struct slot *slot;

	if (session == 0 || (slot = take_slot(se, session, now_us)) == NULL)
		return false;
	slot->seen_us = now_us;
	slot->role = role;
	return role == PL_BASE && now_us >= slot->held_until_us &&
	       is_target(session, permille);
}

/* A request of a session is under way, or ends. */
void
se_touch(struct se *se, uint64_t session, int64_t now_us)
{
	struct slot *slot = slot_of(se, session);

	if (session != 0 && slot->session == session)
		slot->seen_us = now_us;
}

/* Holds a session to the old version, as some instance has seen it there. */
void
se_hold(struct se *se, uint64_t session, int64_t now_us)
{
	struct slot *slot = take_slot(se, session, now_us);

	if (slot == NULL)
		return;
	slot->role = PL_BASE;
	slot->held_until_us = now_us + HELD_US;
}

/*
 * A roll-out begins: calls hold for each session that was seen lately and that
 * the hash would give to the new version.
 */
void
se_begin(struct se *se, uint32_t permille, int64_t now_us,
    void (*hold)(void *ctx, uint64_t session), void *ctx)
{
	for (uint32_t i = 0; i < SLOTS; i++) {
		struct slot *slot = &se->slots[i];

		slot->held_until_us = 0;
		slot->role = PL_BASE;
		if (slot->session != 0 &&
		    now_us - slot->seen_us < 2 * se->pause_us &&
		    is_target(slot->session, permille))
			hold(ctx, slot->session);
	}
}
