#include "route/suspects.h"

#include <string.h>

#include "core/map.h"

enum {
	/*
	 * A new life is heard of within this time, so a later answer under the
	 * old life's id proves that the old life goes on
	 */
	RETRACT_MIN_US = 5000000
};

/* A run that ended before its answer was complete. */
struct broken_run {
	uint64_t fingerprint;
	struct suspects_life life;
	int64_t at_us;
	bool closed; /* true: closed by the server; false: it fell silent */
	bool server_answered; /* the life has answered a later request */
	bool resolved; /* marked, or cleared by a completed run */
};

struct ended_life {
	uint64_t life;
	int64_t at_us; /* 0: free */
};

struct mark {
	uint64_t fingerprint; /* 0: free */
	int64_t at_us; /* time of the last change */
	uint8_t count;
	uint64_t lives[SUSPECTS_LIVES_MAX];
	enum suspects_finding states[SUSPECTS_LIVES_MAX];
};

/* Marks and ended lives are rings in which a new entry replaces the oldest. */
struct suspect_table {
	struct suspects_options options;
	struct broken_run runs[SUSPECTS_RUNS_MAX]; /* ring, oldest first */
	uint32_t first;
	uint32_t count;
	struct ended_life ended[SUSPECTS_ENDED_MAX];
	uint32_t next_ended;
	struct map *by_fingerprint;
	struct mark marks[SUSPECTS_MARKS_MAX];
	uint32_t next_mark;
	uint32_t mark_count; /* entries of marks that were ever used */
	uint64_t dropped;
};

/* Creates an empty table. */
struct suspect_table *
suspects_new(const struct suspects_options *options)
{
	struct suspect_table *table =
	    alloc_zero(options->alloc, 1, sizeof(*table));

	table->options = *options;
	table->by_fingerprint = map_new(options->alloc, SUSPECTS_MARKS_MAX);
	return table;
}

/* Releases a table. */
void
suspects_free(struct suspect_table *table)
{
	if (table == NULL)
		return;
	map_free(table->by_fingerprint);
	alloc_free(table->options.alloc, table);
}

static struct broken_run *
run_at(struct suspect_table *table, uint32_t i)
{
	return &table->runs[(table->first + i) % SUSPECTS_RUNS_MAX];
}

/* Drops the broken runs that are too old to be marked. */
static void
drop_expired_runs(struct suspect_table *table, int64_t now_us)
{
	while (table->count > 0 &&
	       now_us - run_at(table, 0)->at_us >= SUSPECTS_RUN_TTL_US) {
		table->first = (table->first + 1) % SUSPECTS_RUNS_MAX;
		table->count--;
	}
}

/* Returns the record of a life that ended recently, or NULL. */
static struct ended_life *
find_ended_life(struct suspect_table *table, uint64_t life, int64_t now_us)
{
	for (uint32_t i = 0; i < SUSPECTS_ENDED_MAX; i++) {
		struct ended_life *e = &table->ended[i];

		if (e->at_us != 0 && e->life == life &&
		    now_us - e->at_us < SUSPECTS_RUN_TTL_US)
			return e;
	}
	return NULL;
}

/* Reports that the life of a broken run ended under its request. */
static void
report_crash(struct suspect_table *table, struct broken_run *run)
{
	run->resolved = true;
	table->options.proved(table->options.ctx, run->fingerprint,
	    run->life.life, SUSPECTS_CRASHED);
}

/*
 * Records that a run ended before its answer was complete.  closed: the server
 * closed the connection; otherwise it fell silent, which busy servers do as
 * well.
 */
void
suspects_add_broken_run(struct suspect_table *table,
    const struct suspects_life *life, uint64_t fingerprint, bool closed,
    int64_t now_us)
{
	struct broken_run *run;

	drop_expired_runs(table, now_us);
	if (table->count == SUSPECTS_RUNS_MAX) {
		table->first = (table->first + 1) % SUSPECTS_RUNS_MAX;
		table->count--;
		table->dropped++;
	}
	run = run_at(table, table->count++);
	*run = (struct broken_run){.fingerprint = fingerprint,
	    .life = *life,
	    .at_us = now_us,
	    .closed = closed};
	if (find_ended_life(table, life->life, now_us) != NULL)
		report_crash(table, run);
}

/* Acquits all requests marked for a life that has not ended after all. */
static void
retract_crashes(struct suspect_table *table, uint64_t life)
{
	for (uint32_t i = 0; i < table->mark_count; i++) {
		struct mark *m = &table->marks[i];

		for (uint8_t k = 0; m->fingerprint != 0 && k < m->count; k++) {
			if (m->lives[k] == life &&
			    m->states[k] == SUSPECTS_CRASHED)
				table->options.proved(table->options.ctx,
				    m->fingerprint, life, SUSPECTS_ACQUITTED);
		}
	}
}

/*
 * Records that a life answered a request sent at sent_us.  Returns how many of
 * its suspects this clears.
 */
uint32_t
suspects_record_answer(
    struct suspect_table *table, uint64_t life, int64_t sent_us, int64_t now_us)
{
	struct ended_life *e;
	uint32_t cleared = 0;

	drop_expired_runs(table, now_us);
	for (uint32_t i = 0; i < table->count; i++) {
		struct broken_run *run = run_at(table, i);

		if (run->life.life == life && !run->server_answered &&
		    run->at_us < sent_us) {
			run->server_answered = true;
			cleared++;
		}
	}
	/*
	 * An earlier answer may come from a new life with the same id, which is
	 * heard of within RETRACT_MIN_US.
	 */
	e = find_ended_life(table, life, now_us);
	if (e != NULL && sent_us - e->at_us > RETRACT_MIN_US) {
		e->at_us = 0;
		retract_crashes(table, life);
	}
	return cleared;
}

/*
 * Records that a life has ended because its address refuses connections.
 * Returns the number of new marks.
 */
uint32_t
suspects_life_ended(struct suspect_table *table, uint64_t life, int64_t now_us)
{
	struct ended_life *e = find_ended_life(table, life, now_us);
	uint32_t marked = 0;

	drop_expired_runs(table, now_us);
	if (e == NULL) {
		e = &table->ended[table->next_ended];
		table->next_ended =
		    (table->next_ended + 1) % SUSPECTS_ENDED_MAX;
		*e = (struct ended_life){life, now_us};
	}
	for (uint32_t i = 0; i < table->count; i++) {
		struct broken_run *run = run_at(table, i);

		if (run->life.life != life || run->server_answered ||
		    run->resolved)
			continue;
		report_crash(table, run);
		marked++;
	}
	return marked;
}

/*
 * Records that a later life was seen, which ends all earlier lives at its
 * address or with its id.  If the id is the same, answers that seemed to clear
 * suspects may have come from the new life, so those suspects are marked as
 * well.  Returns the number of new marks.
 */
uint32_t
suspects_later_life_seen(struct suspect_table *table,
    const struct suspects_life *next, int64_t now_us)
{
	uint32_t marked = 0;

	drop_expired_runs(table, now_us);
	for (uint32_t i = 0; i < table->count; i++) {
		struct broken_run *run = run_at(table, i);
		bool same_name = run->life.name == next->name;

		if (run->resolved || run->life.life == next->life ||
		    (!same_name && run->life.address != next->address) ||
		    (run->server_answered && !same_name))
			continue;
		report_crash(table, run);
		marked++;
	}
	return marked;
}

/*
 * Returns the mark of a request, or NULL if it has none or the mark has
 * expired.
 */
static struct mark *
find_mark(struct suspect_table *table, uint64_t fingerprint, int64_t now_us)
{
	int64_t slot = map_get(table->by_fingerprint, fingerprint);

	if (slot == MAP_NONE ||
	    now_us - table->marks[slot].at_us >= SUSPECTS_MARK_TTL_US)
		return NULL;
	return &table->marks[slot];
}

/*
 * Creates an empty mark for a request, in place of its expired one or of the
 * oldest mark.
 */
static struct mark *
make_mark(struct suspect_table *table, uint64_t fingerprint)
{
	int64_t slot = map_get(table->by_fingerprint, fingerprint);
	struct mark *m;

	if (slot == MAP_NONE) {
		slot = table->next_mark;
		table->next_mark = (table->next_mark + 1) % SUSPECTS_MARKS_MAX;
		if (table->mark_count < SUSPECTS_MARKS_MAX)
			table->mark_count++;
	}
	m = &table->marks[slot];
	if (m->fingerprint != 0 && m->fingerprint != fingerprint)
		map_remove(table->by_fingerprint, m->fingerprint);
	memset(m, 0, sizeof(*m));
	m->fingerprint = fingerprint;
	map_put(table->by_fingerprint, fingerprint, (uint32_t)slot);
	return m;
}

/*
 * Returns the position of a life in a mark.  In a full mark, a new life takes
 * the place of an acquitted one; SUSPECTS_LIVES_MAX if there is none.
 */
static uint8_t
life_slot(const struct mark *m, uint64_t life)
{
	uint8_t i;

	for (i = 0; i < m->count; i++) {
		if (m->lives[i] == life)
			return i;
	}
	for (i = 0; i < m->count && m->count == SUSPECTS_LIVES_MAX; i++) {
		if (m->states[i] == SUSPECTS_ACQUITTED)
			return i;
	}
	return m->count;
}

/*
 * Applies a finding made here or at another instance; at_us is on the own
 * clock.
 */
void
suspects_apply_finding(struct suspect_table *table, uint64_t fingerprint,
    uint64_t life, enum suspects_finding state, int64_t at_us)
{
	struct mark *m;
	uint8_t i;

	if (fingerprint == 0)
		return;
	m = find_mark(table, fingerprint, at_us);
	if (m == NULL)
		m = make_mark(table, fingerprint);
	i = life_slot(m, life);
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

/*
 * Records that a run of a request completed, which voids its earlier marks and
 * pending suspicions.
 */
void
suspects_acquit(
    struct suspect_table *table, uint64_t fingerprint, int64_t now_us)
{
	struct mark *m = find_mark(table, fingerprint, now_us);

	for (uint32_t i = 0; i < table->count; i++) {
		struct broken_run *run = run_at(table, i);

		run->resolved |= run->fingerprint == fingerprint;
	}
	for (uint8_t i = 0; m != NULL && i < m->count; i++) {
		if (m->states[i] == SUSPECTS_CRASHED)
			table->options.proved(table->options.ctx, fingerprint,
			    m->lives[i], SUSPECTS_ACQUITTED);
	}
}

/* Returns the lives of a mark that count as crashes. */
static uint8_t
crash_count(const struct mark *m)
{
	uint8_t crashes = 0;

	for (uint8_t i = 0; i < m->count; i++)
		crashes += m->states[i] == SUSPECTS_CRASHED;
	return crashes;
}

static bool
has_crash(const struct mark *m, uint64_t life)
{
	for (uint8_t i = 0; i < m->count; i++) {
		if (m->lives[i] == life && m->states[i] == SUSPECTS_CRASHED)
			return true;
	}
	return false;
}

/*
 * Tells whether a life ended under a request with more than the given number of
 * crashes.
 */
static bool
is_explained(const struct suspect_table *table, uint64_t life, uint8_t crashes)
{
	for (uint32_t i = 0; i < table->mark_count; i++) {
		const struct mark *m = &table->marks[i];

		if (m->fingerprint != 0 && m->count > crashes &&
		    has_crash(m, life) && crash_count(m) > crashes)
			return true;
	}
	return false;
}

/*
 * Counts the lives that closed a run of a request and are not known to have
 * ended.
 */
static void
count_pending_runs(struct suspect_table *table, uint64_t fingerprint,
    struct suspects_summary *record)
{
	uint64_t seen[SUSPECTS_LIVES_MAX] = {0};

	for (uint32_t i = 0; i < table->count; i++) {
		const struct broken_run *run = run_at(table, i);
		uint8_t k;

		if (run->fingerprint != fingerprint || !run->closed ||
		    run->resolved || run->server_answered)
			continue;
		for (k = 0; k < record->pending; k++) {
			if (seen[k] == run->life.life)
				break;
		}
		if (k < record->pending || k == SUSPECTS_LIVES_MAX)
			continue;
		seen[record->pending++] = run->life.life;
		if (record->oldest_us == 0)
			record->oldest_us = run->at_us;
	}
}

/* Fills in what is known of a request. */
void
suspects_lookup(struct suspect_table *table, uint64_t fingerprint,
    int64_t now_us, struct suspects_summary *record)
{
	const struct mark *m = find_mark(table, fingerprint, now_us);
	uint8_t all;

	memset(record, 0, sizeof(*record));
	drop_expired_runs(table, now_us);
	count_pending_runs(table, fingerprint, record);
	if (m == NULL)
		return;
	record->marked_us = m->at_us;
	all = crash_count(m);
	for (uint8_t i = 0; i < m->count; i++) {
		if (m->states[i] == SUSPECTS_CRASHED &&
		    (all == 1 || !is_explained(table, m->lives[i], all)))
			record->lives[record->crashes++] = m->lives[i];
	}
}

/* Returns the number of marks with at least so many crashes. */
uint32_t
suspects_mark_count(
    const struct suspect_table *table, uint8_t crashes, int64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->mark_count; i++) {
		const struct mark *m = &table->marks[i];

		count += m->fingerprint != 0 &&
			 now_us - m->at_us < SUSPECTS_MARK_TTL_US &&
			 crash_count(m) >= crashes;
	}
	return count;
}

/* Returns how many broken runs were dropped because the table was full. */
uint64_t
suspects_dropped_count(const struct suspect_table *table)
{
	return table->dropped;
}
