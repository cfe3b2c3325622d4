#include "core/session.h"

#include <string.h>

#include "core/map.h"

enum {
	SESSION_NO_SLOT = UINT32_MAX,
	SESSION_SNAPSHOTS_MAX = 16 /* version changes kept per workspace */
};

struct session_binding {
	uint64_t hash;
	uint16_t workspace;
	uint16_t version;
	uint32_t newer;
	uint32_t older;
};

/* Versions available to new sessions of a workspace from one revision on. */
struct session_snapshot {
	uint64_t revision;
	uint64_t released;
	uint64_t rolling;
	uint16_t stage_permille[CFG_VERSIONS_MAX];
};

struct session_history {
	struct session_snapshot snapshots[SESSION_SNAPSHOTS_MAX];
	uint8_t count;
	uint8_t newest;
};

struct session_table {
	const struct alloc *alloc;
	const struct cfg *cfg;
	struct map *by_hash;
	struct session_binding *bindings;
	uint32_t capacity;
	uint32_t used;
	uint32_t newest;
	uint32_t oldest;
	struct session_history *histories;
	uint16_t history_count;
};

/* Returns a table without bindings that keeps up to capacity of them. */
struct session_table *
session_new(const struct alloc *alloc, uint32_t capacity)
{
	struct session_table *s = alloc_zero(alloc, 1, sizeof(*s));

	s->alloc = alloc;
	s->capacity = capacity;
	s->by_hash = map_new(alloc, capacity);
	s->bindings = alloc_zero(alloc, capacity, sizeof(*s->bindings));
	s->newest = SESSION_NO_SLOT;
	s->oldest = SESSION_NO_SLOT;
	return s;
}

void
session_free(struct session_table *s)
{
	if (s == NULL)
		return;
	map_free(s->by_hash);
	alloc_free(s->alloc, s->bindings);
	alloc_free(s->alloc, s->histories);
	alloc_free(s->alloc, s);
}

/* Mixes two 64-bit values into a well-distributed hash. */
static uint64_t
session_hash(uint64_t a, uint64_t b)
{
	a ^= b + UINT64_C(0x9e3779b97f4a7c15) + (a << 6) + (a >> 2);
	a ^= a >> 31;
	a *= UINT64_C(0x7fb5d329728ea185);
	a ^= a >> 27;
	a *= UINT64_C(0x81dadef4bc2dd44d);
	return a ^ a >> 33;
}

static void
session_make_snapshot(const struct cfg *cfg, uint16_t workspace,
    struct session_snapshot *snapshot)
{
	const struct cfg_workspace *w = &cfg->workspaces[workspace];
	const struct cfg_version *v;
	uint16_t i;

	memset(snapshot, 0, sizeof(*snapshot));
	snapshot->revision = cfg->revision;
	for (i = 0; w->present && i < cfg->version_count; i++) {
		v = &cfg->versions[i];
		if (!v->present || !(w->versions >> i & 1))
			continue;
		if (v->state == CFG_RELEASED)
			snapshot->released |= UINT64_C(1) << i;
		if (v->state != CFG_ROLLING)
			continue;
		snapshot->rolling |= UINT64_C(1) << i;
		snapshot->stage_permille[i] = v->stage_permille;
	}
}

/*
 * Applies a configuration revision.  Adds a snapshot to the history of each
 * workspace for which it changes the versions that new sessions may get.
 */
void
session_configure(struct session_table *s, const struct cfg *cfg)
{
	struct session_snapshot now, *last;
	struct session_history *history;
	uint16_t i;

	s->cfg = cfg;
	if (cfg->workspace_count > s->history_count) {
		s->histories = alloc_resize(s->alloc, s->histories,
		    cfg->workspace_count * sizeof(*history));
		memset(&s->histories[s->history_count], 0,
		    (cfg->workspace_count - s->history_count) *
			sizeof(*history));
		s->history_count = cfg->workspace_count;
	}
	for (i = 0; i < cfg->workspace_count; i++) {
		history = &s->histories[i];
		last = &history->snapshots[history->newest];
		session_make_snapshot(cfg, i, &now);
		if (history->count > 0) {
			now.revision = last->revision;
			if (memcmp(&now, last, sizeof(now)) == 0)
				continue;
			now.revision = cfg->revision;
			history->newest =
			    (history->newest + 1) % SESSION_SNAPSHOTS_MAX;
		}
		history->snapshots[history->newest] = now;
		if (history->count < SESSION_SNAPSHOTS_MAX)
			history->count++;
	}
}

/*
 * Returns the snapshot in effect at the revision of a session's birth; the
 * newest if birth is 0, the oldest kept if birth is before all of them.
 */
static const struct session_snapshot *
session_snapshot_at(const struct session_history *history, uint64_t birth)
{
	uint8_t at = history->newest;
	uint8_t i;

	for (i = 1; birth != 0 && i < history->count; i++) {
		if (history->snapshots[at].revision <= birth)
			break;
		at = (uint8_t)((at + SESSION_SNAPSHOTS_MAX - 1) %
			       SESSION_SNAPSHOTS_MAX);
	}
	return &history->snapshots[at];
}

/*
 * Returns the cheapest candidate whose configured prior meets the target, else
 * the one with the highest prior; CFG_NONE if there is no candidate.
 */
static uint16_t
session_cheapest(
    const struct cfg *cfg, uint64_t candidates, uint16_t target_permille)
{
	const struct cfg_version *v = cfg->versions;
	uint16_t best = CFG_NONE, cheap = CFG_NONE;
	uint16_t i;

	for (; candidates != 0; candidates &= candidates - 1) {
		i = (uint16_t)__builtin_ctzll(candidates);
		if (best == CFG_NONE ||
		    v[i].prior_permille > v[best].prior_permille)
			best = i;
		if (v[i].prior_permille >= target_permille &&
		    (cheap == CFG_NONE ||
			v[i].cost_micro < v[cheap].cost_micro))
			cheap = i;
	}
	return cheap != CFG_NONE ? cheap : best;
}

static uint16_t
session_choose_in(const struct session_table *s,
    const struct session_snapshot *snapshot, const struct session_key *key,
    uint64_t candidates)
{
	uint64_t rolling = snapshot->rolling & candidates;
	uint16_t i;

	for (; rolling != 0; rolling &= rolling - 1) {
		i = (uint16_t)__builtin_ctzll(rolling);
		if (session_hash(key->id, i) % 1000 <
		    snapshot->stage_permille[i])
			return i;
	}
	return session_cheapest(s->cfg, snapshot->released & candidates,
	    s->cfg->workspaces[key->workspace].target_permille);
}

/*
 * Returns the version for a session without a binding, out of the mask of
 * candidates: a version in roll-out if the session's hash falls within its
 * stage, else the cheapest version whose configured prior meets the workspace's
 * target.  If no version from the session's birth is a candidate, the newest
 * configuration applies; CFG_NONE if that gives none either.
 */
uint16_t
session_choose_version(const struct session_table *s,
    const struct session_key *key, uint64_t candidates)
{
	const struct session_history *history = &s->histories[key->workspace];
	uint16_t version = session_choose_in(
	    s, session_snapshot_at(history, key->birth), key, candidates);

	if (version == CFG_NONE)
		version = session_choose_in(
		    s, session_snapshot_at(history, 0), key, candidates);
	return version;
}

static void
session_unlink(struct session_table *s, uint32_t slot)
{
	struct session_binding *b = &s->bindings[slot];

	if (b->newer == SESSION_NO_SLOT)
		s->newest = b->older;
	else
		s->bindings[b->newer].older = b->older;
	if (b->older == SESSION_NO_SLOT)
		s->oldest = b->newer;
	else
		s->bindings[b->older].newer = b->newer;
}

static void
session_link(struct session_table *s, uint32_t slot)
{
	struct session_binding *b = &s->bindings[slot];

	b->newer = SESSION_NO_SLOT;
	b->older = s->newest;
	if (s->newest == SESSION_NO_SLOT)
		s->oldest = slot;
	else
		s->bindings[s->newest].newer = slot;
	s->newest = slot;
}

/*
 * Returns the version that a session is bound to, or CFG_NONE.  Marks the
 * binding as the most recently used.
 */
uint16_t
session_find_binding(struct session_table *s, const struct session_key *key)
{
	int64_t slot =
	    map_get(s->by_hash, session_hash(key->id, key->workspace));

	if (slot == MAP_NONE)
		return CFG_NONE;
	session_unlink(s, (uint32_t)slot);
	session_link(s, (uint32_t)slot);
	return s->bindings[slot].version;
}

/*
 * Binds a session to a version and replaces its earlier binding, if any.
 * Evicts the least recently used binding if the table is full.
 */
void
session_bind(
    struct session_table *s, const struct session_key *key, uint16_t version)
{
	uint64_t hash = session_hash(key->id, key->workspace);
	int64_t found = map_get(s->by_hash, hash);
	uint32_t slot;

	if (s->capacity == 0)
		return;
	if (found != MAP_NONE) {
		slot = (uint32_t)found;
		session_unlink(s, slot);
	} else if (s->used < s->capacity) {
		slot = s->used++;
	} else {
		slot = s->oldest;
		session_unlink(s, slot);
		map_remove(s->by_hash, s->bindings[slot].hash);
	}
	s->bindings[slot].hash = hash;
	s->bindings[slot].workspace = key->workspace;
	s->bindings[slot].version = version;
	session_link(s, slot);
	map_put(s->by_hash, hash, slot);
}
