#include "route/sessions.h"

#include <xxhash.h>

enum {
	/* A session that hashes to a used slot replaces its session */
	SLOTS = 8192,
	PIN_DURATION_US = 60000000, /* longer than most roll-outs */
	/* Time in which all instances hear of a pinned session */
	PIN_SPREAD_US = 1000000,
	PERMILLE = 1000
};

struct slot {
	uint64_t session;
	int64_t seen_us;
	enum pool_role role;
	int64_t pinned_until_us; /* pinned to the old version until then */
};

struct session_roles {
	const struct alloc *alloc;
	int64_t max_idle_us;
	struct slot slots[SLOTS];
};

/*
 * Creates an empty table; max_idle_us is the longest pause of a session between
 * requests.
 */
struct session_roles *
sessions_new(const struct alloc *alloc, int64_t max_idle_us)
{
	struct session_roles *table = alloc_zero(alloc, 1, sizeof(*table));

	table->alloc = alloc;
	table->max_idle_us = max_idle_us;
	return table;
}

/* Releases a table. */
void
sessions_free(struct session_roles *table)
{
	if (table != NULL)
		alloc_free(table->alloc, table);
}

static uint64_t
session_hash(uint64_t session)
{
	return XXH64(&session, sizeof(session), 0);
}

/* Tells whether the hash assigns a session to the new version. */
static bool
hashes_to_target(uint64_t session, uint32_t permille)
{
	return session_hash(session) / SLOTS % PERMILLE < permille;
}

static struct slot *
session_slot(const struct session_roles *table, uint64_t session)
{
	return (struct slot *)&table->slots[session_hash(session) % SLOTS];
}

/* Tells whether a session of the old version should switch to the new one. */
static bool
switches_version(const struct slot *slot, const struct sessions_query *query)
{
	return query->may_switch_version && slot->role == POOL_ROLE_BASE &&
	       hashes_to_target(query->session, query->permille);
}

/*
 * Returns the version that a request goes to.  *bound: it must not go to the
 * other version.
 */
enum pool_role
sessions_pick_role(const struct session_roles *table,
    const struct sessions_query *query, bool *bound)
{
	const struct slot *slot;

	*bound = false;
	if (query->session == 0)
		return query->draw < query->permille ? POOL_ROLE_TARGET
						     : POOL_ROLE_BASE;
	slot = session_slot(table, query->session);
	if (slot->session == query->session &&
	    (query->now_us < slot->pinned_until_us ||
		query->now_us - slot->seen_us < 2 * table->max_idle_us) &&
	    !switches_version(slot, query)) {
		*bound = true;
		return slot->role;
	}
	if (query->order_age_us < PIN_SPREAD_US)
		return POOL_ROLE_BASE;
	return hashes_to_target(query->session, query->permille)
		   ? POOL_ROLE_TARGET
		   : POOL_ROLE_BASE;
}

/*
 * Returns the slot of a session, which replaces another session unless that one
 * is pinned; NULL if it is.
 */
static struct slot *
claim_slot(struct session_roles *table, uint64_t session, int64_t now_us)
{
	struct slot *slot = session_slot(table, session);

	if (slot->session == session)
		return slot;
	if (now_us < slot->pinned_until_us)
		return NULL;
	*slot = (struct slot){.session = session};
	return slot;
}

/*
 * Records that a request of a session goes to a version; permille is 0 while no
 * roll-out runs.  Returns whether the other instances must be told to pin the
 * session to the old version.
 */
bool
sessions_record_request(struct session_roles *table, uint64_t session,
    enum pool_role role, uint32_t permille, int64_t now_us)
{
	struct slot *slot;

	if (session == 0 || (slot = claim_slot(table, session, now_us)) == NULL)
		return false;
	slot->seen_us = now_us;
	slot->role = role;
	return role == POOL_ROLE_BASE && now_us >= slot->pinned_until_us &&
	       hashes_to_target(session, permille);
}

/* Records that a request of a session is in progress or ends. */
void
sessions_touch(struct session_roles *table, uint64_t session, int64_t now_us)
{
	struct slot *slot = session_slot(table, session);

	if (session != 0 && slot->session == session)
		slot->seen_us = now_us;
}

/*
 * Pins a session to the old version, because some instance has seen it there.
 */
void
sessions_pin_to_base(
    struct session_roles *table, uint64_t session, int64_t now_us)
{
	struct slot *slot = claim_slot(table, session, now_us);

	if (slot == NULL)
		return;
	slot->role = POOL_ROLE_BASE;
	slot->pinned_until_us = now_us + PIN_DURATION_US;
}

/*
 * Starts a roll-out: calls pin for each recent session that the hash assigns to
 * the new version.
 */
void
sessions_begin_rollout(struct session_roles *table, uint32_t permille,
    int64_t now_us, void (*pin)(void *ctx, uint64_t session), void *ctx)
{
	for (uint32_t i = 0; i < SLOTS; i++) {
		struct slot *slot = &table->slots[i];

		slot->pinned_until_us = 0;
		slot->role = POOL_ROLE_BASE;
		if (slot->session != 0 &&
		    now_us - slot->seen_us < 2 * table->max_idle_us &&
		    hashes_to_target(slot->session, permille))
			pin(ctx, slot->session);
	}
}
