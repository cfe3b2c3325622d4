#include "route/suspects.h"

#include <string.h>

#include "core/map.h"

enum {
	RETRACT_US = 5000000 /* a new life is heard of within this */
};

/* A run that was broken off. */
struct suspect {
	uint64_t fingerprint;
	struct su_life life;
	int64_t at_us;
	bool closed; /* by the server; else it just fell silent */
	bool answered; /* the server has answered a later request */
	bool done; /* marked */
};

struct ended {
	uint64_t life;
	int64_t at_us; /* 0: free */
};

struct mark {
	uint64_t fingerprint; /* 0: free */
	int64_t at_us; /* of its last change */
	uint8_t count;
	uint64_t lives[SUSPECTS_LIVES_MAX];
	enum su_state states[SUSPECTS_LIVES_MAX];
};

/* Marks and lives form rings: a new one replaces the oldest. */
struct su {
	struct su_options options;
	struct suspect suspects[SUSPECTS_RUNS_MAX]; /* in order of time */
	uint32_t first;
	uint32_t count;
	struct ended ended[SUSPECTS_ENDED_MAX];
	uint32_t next_ended;
	struct map *by_fingerprint;
	struct mark marks[SUSPECTS_MARKS_MAX];
	uint32_t next_mark;
	uint32_t mark_count; /* places that were ever used */
	uint64_t dropped;
};

/* Creates an empty record. */
struct su *
su_new(const struct su_options *options)
{
	struct su *su = alloc_zero(options->alloc, 1, sizeof(*su));

	su->options = *options;
	su->by_fingerprint = map_new(options->alloc, SUSPECTS_MARKS_MAX);
	return su;
}

/* Releases a record. */
void
su_free(struct su *su)
{
	if (su == NULL)
		return;
	map_free(su->by_fingerprint);
	alloc_free(su->options.alloc, su);
}

static struct suspect *
suspect_at(struct su *su, uint32_t i)
{
	return &su->suspects[(su->first + i) % SUSPECTS_RUNS_MAX];
}

static void
forget_old(struct su *su, int64_t now_us)
{
	while (su->count > 0 &&
	       now_us - suspect_at(su, 0)->at_us >= SU_SUSPECT_US) {
		su->first = (su->first + 1) % SUSPECTS_RUNS_MAX;
		su->count--;
	}
}

static struct ended *
find_ended(struct su *su, uint64_t life, int64_t now_us)
{
	for (uint32_t i = 0; i < SUSPECTS_ENDED_MAX; i++) {
		struct ended *e = &su->ended[i];

		if (e->at_us != 0 && e->life == life &&
		    now_us - e->at_us < SU_SUSPECT_US)
			return e;
	}
	return NULL;
}

static void
prove(struct su *su, struct suspect *s)
{
	s->done = true;
	su->options.proved(
	    su->options.ctx, s->fingerprint, s->life.life, SUSPECTS_CRASHED);
}

/*
 * A run of a request ended before its answer was whole: the server closed its
 * connection, or fell silent, which busy servers do as well.
 */
void
su_broken(struct su *su, const struct su_life *life, uint64_t fingerprint,
    bool closed, int64_t now_us)
{
	struct suspect *s;

	forget_old(su, now_us);
	if (su->count == SUSPECTS_RUNS_MAX) {
		su->first = (su->first + 1) % SUSPECTS_RUNS_MAX;
		su->count--;
		su->dropped++;
	}
	s = suspect_at(su, su->count++);
	*s = (struct suspect){.fingerprint = fingerprint,
	    .life = *life,
	    .at_us = now_us,
	    .closed = closed};
	if (find_ended(su, life->life, now_us) != NULL)
		prove(su, s);
}

/* Takes back the marks of a life that has not ended after all. */
static void
retract(struct su *su, uint64_t life)
{
	for (uint32_t i = 0; i < su->mark_count; i++) {
		struct mark *m = &su->marks[i];

		for (uint8_t k = 0; m->fingerprint != 0 && k < m->count; k++) {
			if (m->lives[k] == life &&
			    m->states[k] == SUSPECTS_CRASHED)
				su->options.proved(su->options.ctx,
				    m->fingerprint, life, SU_ACQUITTED);
		}
	}
}

/*
 * A server answered a request that went out at sent_us.  Returns how many of
 * its suspects that clears.
 */
uint32_t
su_answered(struct su *su, uint64_t life, int64_t sent_us, int64_t now_us)
{
	struct ended *e;
	uint32_t cleared = 0;

	forget_old(su, now_us);
	for (uint32_t i = 0; i < su->count; i++) {
		struct suspect *s = suspect_at(su, i);

		if (s->life.life == life && !s->answered &&
		    s->at_us < sent_us) {
			s->answered = true;
			cleared++;
		}
	}
	/* A server with its old id answers too, and is heard of soon after. */
	e = find_ended(su, life, now_us);
	if (e != NULL && sent_us - e->at_us > RETRACT_US) {
		e->at_us = 0;
		retract(su, life);
	}
	return cleared;
}

/* A life has ended: its address refuses connections.  Returns new marks. */
uint32_t
su_ended(struct su *su, uint64_t life, int64_t now_us)
{
	struct ended *e = find_ended(su, life, now_us);
	uint32_t marked = 0;

	forget_old(su, now_us);
	if (e == NULL) {
		e = &su->ended[su->next_ended];
		su->next_ended = (su->next_ended + 1) % SUSPECTS_ENDED_MAX;
		*e = (struct ended){life, now_us};
	}
	for (uint32_t i = 0; i < su->count; i++) {
		struct suspect *s = suspect_at(su, i);

		if (s->life.life != life || s->answered || s->done)
			continue;
		prove(su, s);
		marked++;
	}
	return marked;
}

/*
 * A later life is known at the address or under the id of lives with suspects,
 * which have thus ended.  Where it has the id of one, the answers that seemed
 * to clear suspects there may have been its own.  Returns new marks.
 */
uint32_t
su_succeeded(struct su *su, const struct su_life *next, int64_t now_us)
{
	uint32_t marked = 0;

	forget_old(su, now_us);
	for (uint32_t i = 0; i < su->count; i++) {
		struct suspect *s = suspect_at(su, i);
		bool same_name = s->life.name == next->name;

		if (s->done || s->life.life == next->life ||
		    (!same_name && s->life.address != next->address) ||
		    (s->answered && !same_name))
			continue;
		prove(su, s);
		marked++;
	}
	return marked;
}

static struct mark *
find_mark(struct su *su, uint64_t fingerprint, int64_t now_us)
{
	int64_t slot = map_get(su->by_fingerprint, fingerprint);

	if (slot == MAP_NONE || now_us - su->marks[slot].at_us >= SU_MARK_US)
		return NULL;
	return &su->marks[slot];
}

static struct mark *
make_mark(struct su *su, uint64_t fingerprint)
{
	int64_t slot = map_get(su->by_fingerprint, fingerprint);
	struct mark *m;

	if (slot == MAP_NONE) {
		slot = su->next_mark;
		su->next_mark = (su->next_mark + 1) % SUSPECTS_MARKS_MAX;
		if (su->mark_count < SUSPECTS_MARKS_MAX)
			su->mark_count++;
	}
	m = &su->marks[slot];
	if (m->fingerprint != 0 && m->fingerprint != fingerprint)
		map_remove(su->by_fingerprint, m->fingerprint);
	memset(m, 0, sizeof(*m));
	m->fingerprint = fingerprint;
	map_put(su->by_fingerprint, fingerprint, (uint32_t)slot);
	return m;
}

/* The place of a life in a mark; a new one may take that of an acquitted. */
static uint8_t
place_of(const struct mark *m, uint64_t life)
{
	uint8_t i;

	for (i = 0; i < m->count; i++) {
		if (m->lives[i] == life)
			return i;
	}
	for (i = 0; i < m->count && m->count == SUSPECTS_LIVES_MAX; i++) {
		if (m->states[i] == SU_ACQUITTED)
			return i;
	}
	return m->count;
}

/* Takes what was proved here or elsewhere, at at_us of the own clock. */
void
su_take(struct su *su, uint64_t fingerprint, uint64_t life, enum su_state state,
    int64_t at_us)
{
	struct mark *m;
	uint8_t i;

	if (fingerprint == 0)
		return;
	m = find_mark(su, fingerprint, at_us);
	if (m == NULL)
		m = make_mark(su, fingerprint);
	i = place_of(m, life);
	if (i == SUSPECTS_LIVES_MAX)
		return;
	if (i == m->count)
		m->count++;
	else if (m->lives[i] == life && m->states[i] >= state)
		return;
	m->lives[i] = life;
	m->states[i] = state;
	if (at_us > m->at_us)
		m->at_us = at_us;
}

/* A request ran to its end: what was marked and suspected before is void. */
void
su_ran_well(struct su *su, uint64_t fingerprint, int64_t now_us)
{
	struct mark *m = find_mark(su, fingerprint, now_us);

	for (uint32_t i = 0; i < su->count; i++) {
		struct suspect *s = suspect_at(su, i);

		s->done |= s->fingerprint == fingerprint;
	}
	for (uint8_t i = 0; m != NULL && i < m->count; i++) {
		if (m->states[i] == SUSPECTS_CRASHED)
			su->options.proved(su->options.ctx, fingerprint,
			    m->lives[i], SU_ACQUITTED);
	}
}

static uint8_t
crashes_of(const struct mark *m)
{
	uint8_t crashes = 0;

	for (uint8_t i = 0; i < m->count; i++)
		crashes += m->states[i] == SUSPECTS_CRASHED;
	return crashes;
}

static bool
ended_under(const struct mark *m, uint64_t life)
{
	for (uint8_t i = 0; i < m->count; i++) {
		if (m->lives[i] == life && m->states[i] == SUSPECTS_CRASHED)
			return true;
	}
	return false;
}

/* Whether a life ended under a request with more crashes than so many. */
static bool
is_explained(const struct su *su, uint64_t life, uint8_t crashes)
{
	for (uint32_t i = 0; i < su->mark_count; i++) {
		const struct mark *m = &su->marks[i];

		if (m->fingerprint != 0 && m->count > crashes &&
		    ended_under(m, life) && crashes_of(m) > crashes)
			return true;
	}
	return false;
}

static void
add_pending(struct su *su, uint64_t fingerprint, struct su_record *record)
{
	uint64_t seen[SUSPECTS_LIVES_MAX] = {0};

	for (uint32_t i = 0; i < su->count; i++) {
		const struct suspect *s = suspect_at(su, i);
		uint8_t k;

		if (s->fingerprint != fingerprint || !s->closed || s->done ||
		    s->answered)
			continue;
		for (k = 0; k < record->pending; k++) {
			if (seen[k] == s->life.life)
				break;
		}
		if (k < record->pending || k == SUSPECTS_LIVES_MAX)
			continue;
		seen[record->pending++] = s->life.life;
		if (record->oldest_us == 0)
			record->oldest_us = s->at_us;
	}
}

/* Tells what is known of a request. */
void
su_look(struct su *su, uint64_t fingerprint, int64_t now_us,
    struct su_record *record)
{
	const struct mark *m = find_mark(su, fingerprint, now_us);
	uint8_t all;

	memset(record, 0, sizeof(*record));
	forget_old(su, now_us);
	add_pending(su, fingerprint, record);
	if (m == NULL)
		return;
	record->marked_us = m->at_us;
	all = crashes_of(m);
	for (uint8_t i = 0; i < m->count; i++) {
		if (m->states[i] == SUSPECTS_CRASHED &&
		    (all == 1 || !is_explained(su, m->lives[i], all)))
			record->lives[record->crashes++] = m->lives[i];
	}
}

/* Counts the marks with so many crashes or more. */
uint32_t
su_marks(const struct su *su, uint8_t crashes, int64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < su->mark_count; i++) {
		const struct mark *m = &su->marks[i];

		count += m->fingerprint != 0 &&
			 now_us - m->at_us < SU_MARK_US &&
			 crashes_of(m) >= crashes;
	}
	return count;
}

/* Returns how many suspects were forgotten for want of room. */
uint64_t
su_dropped(const struct su *su)
{
	return su->dropped;
}
