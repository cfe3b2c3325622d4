#include "route/suspects.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/slot_index.h"
#include "core/map.h"

enum {
	/*
	 * A new life is heard of within this time, so a later answer under the
	 * old life's id proves that the old life goes on
	 */
	RETRACT_MIN_US = 5000000,
	/* Interval of checks whether another prompt has completed */
	HOLD_POLL_US = 100000,
	PART_KEY_SEED = 0x70617274,
	/* Entries in the index of causes for each run */
	RUN_CAUSES_MAX = SUSPECTS_PARTS_MAX + 1,
	COMPLETION_PROBES = 4 /* slots that may hold the completion of a part */
};

/* A run that ended, or may have ended, before its answer was complete. */
struct broken_run {
	/* Its possible causes, less those that have completed since */
	struct suspects_request request;
	struct suspects_life life;
	int64_t at_us;
	bool closed; /* true: closed by the server; false: it fell silent */
	bool may_be_whole; /* its answer looks complete */
	bool server_answered; /* the life has answered a later request */
	bool resolved; /* marked, or cleared by completed runs */
};

/* A crash that counts against a known good part unless it completes soon. */
struct held_crash {
	struct suspects_cause part;
	uint64_t life;
	int64_t at_us;
	int64_t due_us; /* earliest time at which it counts */
	int64_t last_us; /* when it counts though no other prompt completes */
	bool others_complete; /* a prompt without the part has, since then */
};

struct completion {
	uint64_t key; /* of a part; 0: free */
	int64_t at_us; /* of the last run with the part that completed */
};

struct ended_life {
	uint64_t life;
	int64_t at_us; /* 0: free */
};

struct mark {
	uint64_t key; /* from cause_key(); 0: free */
	struct suspects_cause cause;
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
	/*
	 * Runs by what they have in common; in runs_by_cause, a run takes
	 * RUN_CAUSES_MAX slots, in the order of cause_at().
	 */
	struct slot_index runs_by_life;
	struct slot_index runs_by_name;
	struct slot_index runs_by_address;
	struct slot_index runs_by_cause;
	struct ended_life ended[SUSPECTS_ENDED_MAX];
	struct slot_index ended_by_life;
	uint32_t next_ended;
	struct held_crash held[SUSPECTS_HELD_MAX];
	uint32_t held_count;
	struct slot_index held_by_part;
	/* Whether all held crashes are marked others_complete */
	bool held_others_complete;
	struct completion completions[SUSPECTS_COMPLETIONS_MAX];
	struct map *by_key;
	struct mark marks[SUSPECTS_MARKS_MAX];
	/* Each mark takes SUSPECTS_LIVES_MAX slots. */
	struct slot_index marks_by_life;
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
	table->by_key = map_new(options->alloc, SUSPECTS_MARKS_MAX);
	slot_index_init(&table->runs_by_life, options->alloc);
	slot_index_init(&table->runs_by_name, options->alloc);
	slot_index_init(&table->runs_by_address, options->alloc);
	slot_index_init(&table->runs_by_cause, options->alloc);
	slot_index_init(&table->ended_by_life, options->alloc);
	slot_index_init(&table->held_by_part, options->alloc);
	slot_index_init(&table->marks_by_life, options->alloc);
	return table;
}

/* Releases a table. */
void
suspects_free(struct suspect_table *table)
{
	if (table == NULL)
		return;
	map_free(table->by_key);
	slot_index_release(&table->runs_by_life);
	slot_index_release(&table->runs_by_name);
	slot_index_release(&table->runs_by_address);
	slot_index_release(&table->runs_by_cause);
	slot_index_release(&table->ended_by_life);
	slot_index_release(&table->held_by_part);
	slot_index_release(&table->marks_by_life);
	alloc_free(table->options.alloc, table);
}

/* Returns the key of a cause's mark; those of parts are hashed. */
static uint64_t
cause_key(const struct suspects_cause *cause)
{
	return cause->is_part
		   ? XXH64(&cause->id, sizeof(cause->id), PART_KEY_SEED)
		   : cause->id;
}

/*
 * Returns a cause that a request contains: the whole request first, then the
 * parts.
 */
static struct suspects_cause
cause_at(const struct suspects_request *request, uint8_t i)
{
	return i == 0 ? (struct suspects_cause){request->fingerprint, false}
		      : (struct suspects_cause){request->parts[i - 1], true};
}

static bool
is_same_cause(const struct suspects_cause *a, const struct suspects_cause *b)
{
	return a->id == b->id && a->is_part == b->is_part;
}

static uint16_t
cause_slot(uint16_t run, uint8_t i)
{
	return (uint16_t)(run * RUN_CAUSES_MAX + i);
}

static uint16_t
run_slot(const struct suspect_table *table, uint32_t i)
{
	return (uint16_t)((table->first + i) % SUSPECTS_RUNS_MAX);
}

/* Enters one of a run's causes, or what has taken its place, into the index. */
static void
index_cause(struct suspect_table *table, uint16_t run, uint8_t i)
{
	const struct suspects_request *request = &table->runs[run].request;
	struct suspects_cause cause;

	slot_index_remove(&table->runs_by_cause, cause_slot(run, i));
	if (i > request->part_count)
		return;
	cause = cause_at(request, i);
	if (cause.id != 0)
		slot_index_put(&table->runs_by_cause, cause_key(&cause),
		    cause_slot(run, i));
}

static void
index_run(struct suspect_table *table, uint16_t run)
{
	const struct suspects_life *life = &table->runs[run].life;

	slot_index_put(&table->runs_by_life, life->life, run);
	slot_index_put(&table->runs_by_name, life->name, run);
	slot_index_put(&table->runs_by_address, life->address, run);
	for (uint8_t i = 0; i <= table->runs[run].request.part_count; i++)
		index_cause(table, run, i);
}

static int
compare_ages(const void *a, const void *b)
{
	return (int)*(const uint16_t *)a - (int)*(const uint16_t *)b;
}

/* Runs found by one or two indices, the oldest first. */
struct run_list {
	uint16_t runs[2 * SUSPECTS_RUNS_MAX];
	uint32_t count;
};

/* Adds the runs with a key in an index to a list, as positions in the ring. */
static void
list_runs(const struct suspect_table *table, const struct slot_index *index,
    uint64_t key, struct run_list *list)
{
	uint16_t i = slot_index_first(index, key);

	for (; i != SLOT_INDEX_NONE; i = slot_index_next(index, i))
		list->runs[list->count++] =
		    (uint16_t)((i + SUSPECTS_RUNS_MAX - table->first) %
			       SUSPECTS_RUNS_MAX);
}

/* Orders a list by age and returns it with the slots of its runs. */
static void
sort_runs(const struct suspect_table *table, struct run_list *list)
{
	qsort(list->runs, list->count, sizeof(list->runs[0]), compare_ages);
	for (uint32_t i = 0; i < list->count; i++)
		list->runs[i] = run_slot(table, list->runs[i]);
}

/* Drops the oldest broken run. */
static void
drop_run(struct suspect_table *table)
{
	uint16_t run = run_slot(table, 0);

	slot_index_remove(&table->runs_by_life, run);
	slot_index_remove(&table->runs_by_name, run);
	slot_index_remove(&table->runs_by_address, run);
	for (int i = 0; i < RUN_CAUSES_MAX; i++)
		slot_index_remove(
		    &table->runs_by_cause, cause_slot(run, (uint8_t)i));
	table->first = (table->first + 1) % SUSPECTS_RUNS_MAX;
	table->count--;
}

/* Drops the broken runs that are too old to be marked. */
static void
drop_expired_runs(struct suspect_table *table, int64_t now_us)
{
	while (table->count > 0 &&
	       now_us - table->runs[table->first].at_us >= SUSPECTS_RUN_TTL_US)
		drop_run(table);
}

/* Returns the record of a life that ended recently, or NULL. */
static struct ended_life *
find_ended_life(struct suspect_table *table, uint64_t life, int64_t now_us)
{
	const struct slot_index *ended = &table->ended_by_life;
	uint16_t i = slot_index_first(ended, life);

	for (; i != SLOT_INDEX_NONE; i = slot_index_next(ended, i)) {
		if (table->ended[i].at_us != 0 &&
		    now_us - table->ended[i].at_us < SUSPECTS_RUN_TTL_US)
			return &table->ended[i];
	}
	return NULL;
}

/* Tells whether a request is the cause or its prompt contains it. */
bool
suspects_contains_cause(
    const struct suspects_request *request, const struct suspects_cause *cause)
{
	for (uint8_t i = 0; i <= request->part_count; i++) {
		struct suspects_cause own = cause_at(request, i);

		if (is_same_cause(&own, cause))
			return true;
	}
	return false;
}

/* Returns when a run with a part last completed here; 0: not known. */
static int64_t
completed_us(const struct suspect_table *table, uint64_t key)
{
	for (uint32_t i = 0; i < COMPLETION_PROBES; i++) {
		const struct completion *c =
		    &table->completions[(key + i) % SUSPECTS_COMPLETIONS_MAX];

		if (c->key == key)
			return c->at_us;
	}
	return 0;
}

static void
record_completion(struct suspect_table *table, uint64_t key, int64_t now_us)
{
	struct completion *into = NULL;

	for (uint32_t i = 0; i < COMPLETION_PROBES; i++) {
		struct completion *c =
		    &table->completions[(key + i) % SUSPECTS_COMPLETIONS_MAX];

		if (c->key == key) {
			into = c;
			break;
		}
		if (into == NULL || c->at_us < into->at_us)
			into = c;
	}
	*into = (struct completion){key, now_us};
}

/* Tells whether a cause is a part that has completed here lately. */
static bool
is_known_good(const struct suspect_table *table,
    const struct suspects_cause *cause, int64_t now_us)
{
	int64_t at_us;

	if (!cause->is_part)
		return false;
	at_us = completed_us(table, cause_key(cause));
	return at_us != 0 && now_us - at_us < SUSPECTS_KNOWN_GOOD_US;
}

static int64_t
hold_max_us(const struct suspect_table *table)
{
	return table->options.hold_max_us != 0 ? table->options.hold_max_us
					       : SUSPECTS_HOLD_MAX_US;
}

/* Holds back a crash under a known good part. */
static void
hold_crash(struct suspect_table *table, const struct suspects_cause *part,
    const struct broken_run *run, int64_t now_us)
{
	const struct slot_index *held = &table->held_by_part;
	uint16_t i = slot_index_first(held, cause_key(part));

	for (; i != SLOT_INDEX_NONE; i = slot_index_next(held, i)) {
		if (table->held[i].life == run->life.life)
			return;
	}
	if (table->held_count == SUSPECTS_HELD_MAX) {
		table->dropped++;
		return;
	}
	slot_index_put(
	    &table->held_by_part, cause_key(part), (uint16_t)table->held_count);
	table->held_others_complete = false;
	table->held[table->held_count++] = (struct held_crash){.part = *part,
	    .life = run->life.life,
	    .at_us = run->at_us,
	    .due_us = now_us + SUSPECTS_HOLD_US,
	    .last_us = now_us + hold_max_us(table)};
}

/* Drops a held crash; the last one takes its place. */
static void
drop_held(struct suspect_table *table, uint16_t i)
{
	uint16_t last = (uint16_t)--table->held_count;

	slot_index_remove(&table->held_by_part, i);
	slot_index_remove(&table->held_by_part, last);
	if (i == last)
		return;
	table->held[i] = table->held[last];
	slot_index_put(
	    &table->held_by_part, cause_key(&table->held[i].part), i);
}

/* Returns when a held crash is to be looked at; it counts once that is past. */
static int64_t
next_look_us(const struct held_crash *held, int64_t now_us)
{
	int64_t poll_us = now_us + HOLD_POLL_US;

	if (held->due_us > now_us || held->others_complete)
		return held->due_us;
	return held->last_us < poll_us ? held->last_us : poll_us;
}

/*
 * Reports the held crashes that are due.  Returns when to call this again, or 0
 * if none is held.
 */
int64_t
suspects_report_held(struct suspect_table *table, int64_t now_us)
{
	int64_t next_us = 0;
	uint32_t i = 0;

	while (i < table->held_count) {
		struct held_crash h = table->held[i];
		int64_t look_us = next_look_us(&h, now_us);

		if (look_us <= now_us) {
			drop_held(table, (uint16_t)i);
			table->options.proved(table->options.ctx, &h.part,
			    h.life, SUSPECTS_CRASHED, h.at_us);
			continue;
		}
		if (next_us == 0 || look_us < next_us)
			next_us = look_us;
		i++;
	}
	return next_us;
}

/*
 * Reports that the life of a broken run ended under its request and under the
 * parts of its prompt.
 */
static void
report_crash(
    struct suspect_table *table, struct broken_run *run, int64_t now_us)
{
	run->resolved = true;
	for (uint8_t i = 0; i <= run->request.part_count; i++) {
		struct suspects_cause cause = cause_at(&run->request, i);

		if (is_known_good(table, &cause, now_us))
			hold_crash(table, &cause, run, now_us);
		else if (cause.id != 0)
			table->options.proved(table->options.ctx, &cause,
			    run->life.life, SUSPECTS_CRASHED, run->at_us);
	}
}

static void
add_run(struct suspect_table *table, const struct broken_run *added)
{
	int64_t now_us = added->at_us;
	struct broken_run *run;
	uint16_t slot;

	drop_expired_runs(table, now_us);
	if (table->count == SUSPECTS_RUNS_MAX) {
		drop_run(table);
		table->dropped++;
	}
	slot = run_slot(table, table->count++);
	run = &table->runs[slot];
	*run = *added;
	index_run(table, slot);
	if (find_ended_life(table, run->life.life, now_us) != NULL)
		report_crash(table, run, now_us);
}

/*
 * Records that a run ended before its answer was complete.  closed: the server
 * closed the connection; otherwise it fell silent, which busy servers do as
 * well.
 */
void
suspects_add_broken_run(struct suspect_table *table,
    const struct suspects_life *life, const struct suspects_request *request,
    bool closed, int64_t now_us)
{
	add_run(table, &(struct broken_run){.request = *request,
			   .life = *life,
			   .at_us = now_us,
			   .closed = closed});
}

/*
 * Records a run whose answer is complete unless its server crashed: the end of
 * the connection marked its end.  It counts as completed once the server has
 * answered a later request.
 */
void
suspects_add_unproved_run(struct suspect_table *table,
    const struct suspects_life *life, const struct suspects_request *request,
    int64_t now_us)
{
	add_run(table, &(struct broken_run){.request = *request,
			   .life = *life,
			   .at_us = now_us,
			   .may_be_whole = true});
}

/* Acquits all causes marked for a life that has not ended after all. */
static void
retract_crashes(struct suspect_table *table, uint64_t life, int64_t now_us)
{
	const struct slot_index *marks = &table->marks_by_life;
	uint16_t i = slot_index_first(marks, life), next;

	for (; i != SLOT_INDEX_NONE; i = next) {
		const struct mark *m = &table->marks[i / SUSPECTS_LIVES_MAX];

		next = slot_index_next(marks, i);
		if (m->states[i % SUSPECTS_LIVES_MAX] == SUSPECTS_CRASHED)
			table->options.proved(table->options.ctx, &m->cause,
			    life, SUSPECTS_ACQUITTED, now_us);
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
	struct run_list list;
	struct ended_life *e;
	uint32_t cleared = 0;

	drop_expired_runs(table, now_us);
	list.count = 0;
	list_runs(table, &table->runs_by_life, life, &list);
	sort_runs(table, &list);
	for (uint32_t i = 0; i < list.count; i++) {
		struct broken_run *run = &table->runs[list.runs[i]];

		if (!run->server_answered && run->at_us < sent_us) {
			struct suspects_request request = run->request;

			run->server_answered = true;
			cleared += !run->may_be_whole;
			if (run->may_be_whole && !run->resolved)
				suspects_acquit(table, &request, now_us);
		}
	}
	/*
	 * An earlier answer may come from a new life with the same id, which is
	 * heard of within RETRACT_MIN_US.
	 */
	e = find_ended_life(table, life, now_us);
	if (e != NULL && sent_us - e->at_us > RETRACT_MIN_US) {
		e->at_us = 0;
		retract_crashes(table, life, now_us);
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
	struct run_list list;
	uint32_t marked = 0;

	drop_expired_runs(table, now_us);
	if (find_ended_life(table, life, now_us) == NULL) {
		table->ended[table->next_ended] =
		    (struct ended_life){life, now_us};
		slot_index_put(
		    &table->ended_by_life, life, (uint16_t)table->next_ended);
		table->next_ended =
		    (table->next_ended + 1) % SUSPECTS_ENDED_MAX;
	}
	list.count = 0;
	list_runs(table, &table->runs_by_life, life, &list);
	sort_runs(table, &list);
	for (uint32_t i = 0; i < list.count; i++) {
		struct broken_run *run = &table->runs[list.runs[i]];

		if (run->server_answered || run->resolved)
			continue;
		report_crash(table, run, now_us);
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
	struct run_list list;
	uint32_t marked = 0;

	drop_expired_runs(table, now_us);
	/* A run that is listed twice is resolved the first time. */
	list.count = 0;
	list_runs(table, &table->runs_by_name, next->name, &list);
	list_runs(table, &table->runs_by_address, next->address, &list);
	sort_runs(table, &list);
	for (uint32_t i = 0; i < list.count; i++) {
		struct broken_run *run = &table->runs[list.runs[i]];

		if (run->resolved || run->life.life == next->life ||
		    (run->server_answered && run->life.name != next->name))
			continue;
		report_crash(table, run, now_us);
		marked++;
	}
	return marked;
}

/* Returns a mark by its key, or NULL if there is none or it has expired. */
static struct mark *
find_mark(struct suspect_table *table, uint64_t key, int64_t now_us)
{
	int64_t slot = map_get(table->by_key, key);

	if (slot == MAP_NONE ||
	    now_us - table->marks[slot].at_us >= SUSPECTS_MARK_TTL_US)
		return NULL;
	return &table->marks[slot];
}

/* Returns the slot of one of a mark's lives in the index of lives. */
static uint16_t
mark_slot(const struct suspect_table *table, const struct mark *m, uint8_t i)
{
	return (uint16_t)((m - table->marks) * SUSPECTS_LIVES_MAX + i);
}

/*
 * Creates an empty mark for a cause, in place of its expired one or of the
 * oldest mark.
 */
static struct mark *
make_mark(struct suspect_table *table, const struct suspects_cause *cause)
{
	uint64_t key = cause_key(cause);
	int64_t slot = map_get(table->by_key, key);
	struct mark *m;

	if (slot == MAP_NONE) {
		slot = table->next_mark;
		table->next_mark = (table->next_mark + 1) % SUSPECTS_MARKS_MAX;
		if (table->mark_count < SUSPECTS_MARKS_MAX)
			table->mark_count++;
	}
	m = &table->marks[slot];
	if (m->key != 0 && m->key != key)
		map_remove(table->by_key, m->key);
	for (uint8_t i = 0; i < m->count; i++)
		slot_index_remove(
		    &table->marks_by_life, mark_slot(table, m, i));
	memset(m, 0, sizeof(*m));
	m->key = key;
	m->cause = *cause;
	map_put(table->by_key, key, (uint32_t)slot);
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
 * clock.  A part that has completed here after a crash is acquitted of it.
 */
void
suspects_apply_finding(struct suspect_table *table,
    const struct suspects_cause *cause, uint64_t life,
    enum suspects_finding state, int64_t at_us)
{
	uint64_t key = cause_key(cause);
	struct mark *m;
	uint8_t i;

	if (cause->id == 0)
		return;
	m = find_mark(table, key, at_us);
	if (m == NULL)
		m = make_mark(table, cause);
	i = life_slot(m, life);
	if (i == SUSPECTS_LIVES_MAX)
		return;
	if (i == m->count)
		m->count++;
	else if (m->lives[i] == life && m->states[i] >= state)
		return;
	m->lives[i] = life;
	m->states[i] = state;
	slot_index_put(&table->marks_by_life, life, mark_slot(table, m, i));
	if (at_us > m->at_us)
		m->at_us = at_us;
	if (state == SUSPECTS_CRASHED && cause->is_part &&
	    completed_us(table, key) > at_us)
		table->options.proved(table->options.ctx, cause, life,
		    SUSPECTS_ACQUITTED, completed_us(table, key));
}

/* Removes one of a run's causes. */
static void
clear_cause_of_run(struct suspect_table *table, uint16_t run, uint8_t i)
{
	struct suspects_request *r = &table->runs[run].request;

	if (i == 0) {
		r->fingerprint = 0;
	} else {
		r->parts[i - 1] = r->parts[--r->part_count];
		index_cause(table, run, (uint8_t)(r->part_count + 1));
	}
	index_cause(table, run, i);
	if (r->fingerprint == 0 && r->part_count == 0)
		table->runs[run].resolved = true;
}

/* Removes a cause that has completed from the suspicions not proved yet. */
static void
clear_cause(struct suspect_table *table, const struct suspects_cause *cause)
{
	uint64_t key = cause_key(cause);
	uint16_t i;

	/* What is cleared is no longer found. */
	while ((i = slot_index_first(&table->runs_by_cause, key)) !=
	       SLOT_INDEX_NONE)
		clear_cause_of_run(table, (uint16_t)(i / RUN_CAUSES_MAX),
		    (uint8_t)(i % RUN_CAUSES_MAX));
	while (cause->is_part && (i = slot_index_first(&table->held_by_part,
				      key)) != SLOT_INDEX_NONE)
		drop_held(table, i);
}

/*
 * Records that a prompt completed that has none of the parts with held crashes.
 * From the first one on, as when a server is back, the parts have their time to
 * complete.
 */
static void
record_other_completion(struct suspect_table *table, int64_t now_us)
{
	if (table->held_others_complete)
		return;
	table->held_others_complete = true;
	for (uint32_t i = 0; i < table->held_count; i++) {
		struct held_crash *h = &table->held[i];

		if (h->others_complete)
			continue;
		h->others_complete = true;
		h->due_us = now_us + SUSPECTS_HOLD_US < h->last_us
				? now_us + SUSPECTS_HOLD_US
				: h->last_us;
	}
}

/*
 * Records that a run of a request completed, which voids the earlier marks and
 * pending suspicions of the request and of the parts of its prompt.
 */
void
suspects_acquit(struct suspect_table *table,
    const struct suspects_request *request, int64_t now_us)
{
	for (uint8_t i = 0; i <= request->part_count; i++) {
		struct suspects_cause cause = cause_at(request, i);
		uint64_t key = cause_key(&cause);
		struct mark *m = find_mark(table, key, now_us);

		if (cause.id == 0)
			continue;
		if (cause.is_part)
			record_completion(table, key, now_us);
		clear_cause(table, &cause);
		for (uint8_t k = 0; m != NULL && k < m->count; k++) {
			if (m->states[k] == SUSPECTS_CRASHED)
				table->options.proved(table->options.ctx,
				    &cause, m->lives[k], SUSPECTS_ACQUITTED,
				    now_us);
		}
	}
	/* Requests without parts may be of another service. */
	if (request->part_count > 0)
		record_other_completion(table, now_us);
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
 * Returns how strongly the crashes speak against a cause.  Of two causes with
 * as many crashes, a known good part is the less likely one.
 */
static uint8_t
strength_of(
    const struct suspect_table *table, const struct mark *m, int64_t now_us)
{
	return (uint8_t)(2 * crash_count(m) +
			 !is_known_good(table, &m->cause, now_us));
}

/*
 * Returns the strength of the strongest cause, other than that of a mark, under
 * which a life ended with at least two crashes.  outside: set if one that is as
 * strong as the mark's is not part of the request.
 */
static uint8_t
strongest_other(const struct suspect_table *table, const struct mark *than,
    uint64_t life, const struct suspects_request *request, int64_t now_us,
    bool *outside)
{
	const struct slot_index *marks = &table->marks_by_life;
	uint8_t own = strength_of(table, than, now_us);
	uint8_t strongest = 0;
	uint16_t i = slot_index_first(marks, life);

	*outside = false;
	for (; i != SLOT_INDEX_NONE; i = slot_index_next(marks, i)) {
		const struct mark *m = &table->marks[i / SUSPECTS_LIVES_MAX];
		uint8_t strength;

		if (m == than || m->count < 2 ||
		    now_us - m->at_us >= SUSPECTS_MARK_TTL_US ||
		    !has_crash(m, life) || crash_count(m) < 2)
			continue;
		strength = strength_of(table, m, now_us);
		*outside |= strength == own &&
			    !suspects_contains_cause(request, &m->cause);
		if (strength > strongest)
			strongest = strength;
	}
	return strongest;
}

/*
 * Counts the lives that closed a run with a cause and are not known to have
 * ended.
 */
static void
count_pending_runs(struct suspect_table *table,
    const struct suspects_cause *cause, struct suspects_summary *record)
{
	const struct slot_index *runs = &table->runs_by_cause;
	uint64_t seen[SUSPECTS_LIVES_MAX] = {0};
	uint16_t i = slot_index_first(runs, cause_key(cause));

	for (; i != SLOT_INDEX_NONE; i = slot_index_next(runs, i)) {
		const struct broken_run *run = &table->runs[i / RUN_CAUSES_MAX];
		uint8_t k;

		if (!run->closed || run->resolved || run->server_answered)
			continue;
		if (record->oldest_us == 0 || run->at_us < record->oldest_us)
			record->oldest_us = run->at_us;
		for (k = 0; k < record->pending; k++) {
			if (seen[k] == run->life.life)
				break;
		}
		if (k < record->pending || k == SUSPECTS_LIVES_MAX)
			continue;
		seen[record->pending++] = run->life.life;
	}
}

/* Returns when a refused part with so many crashes may be tried again. */
static int64_t
trial_time_us(const struct mark *m)
{
	int64_t wait_us = SUSPECTS_TRIAL_FIRST_US;

	for (uint8_t n = SUSPECTS_REFUSED_MIN; n < crash_count(m); n++)
		wait_us *= SUSPECTS_TRIAL_FACTOR;
	return m->at_us + wait_us;
}

/*
 * Fills in what is known of one of a request's causes.  Returns its strength.
 */
static uint8_t
look_up_cause(struct suspect_table *table,
    const struct suspects_request *request, const struct suspects_cause *cause,
    int64_t now_us, struct suspects_summary *record)
{
	uint64_t key = cause_key(cause);
	const struct mark *m = find_mark(table, key, now_us);
	bool known_good = is_known_good(table, cause, now_us);
	uint8_t all, certain = 0, alone_min = SUSPECTS_ALONE_MIN;
	bool outside = false;

	memset(record, 0, sizeof(*record));
	record->cause = *cause;
	record->placement_hash = key;
	record->known_good = known_good;
	if (cause->is_part && !known_good)
		alone_min = SUSPECTS_UNKNOWN_ALONE_MIN;
	if (!known_good)
		count_pending_runs(table, cause, record);
	all = m != NULL ? crash_count(m) : 0;
	if (m != NULL)
		record->marked_us = m->at_us;
	for (uint8_t i = 0; all > 0 && i < m->count; i++) {
		if (m->states[i] != SUSPECTS_CRASHED ||
		    (all > 1 &&
			strongest_other(table, m, m->lives[i], request, now_us,
			    &outside) > strength_of(table, m, now_us)))
			continue;
		record->lives[record->crashes++] = m->lives[i];
		certain += !outside;
	}
	/* Runs of other requests with the part may have broken for any reason.
	 */
	if (!cause->is_part)
		certain += record->pending;
	record->refused =
	    certain >= (known_good ? SUSPECTS_KNOWN_GOOD_REFUSED_MIN
				   : SUSPECTS_REFUSED_MIN) ||
	    record->crashes >= SUSPECTS_CERTAIN_MIN;
	if (m != NULL && cause->is_part)
		record->trial_us = trial_time_us(m);
	record->alone = record->crashes + record->pending >= alone_min;
	return m != NULL ? strength_of(table, m, now_us) : 0;
}

/*
 * Decides what is to be done with a request, by the strongest of the causes in
 * it for which it must be refused, or else placed alone.
 */
void
suspects_lookup(struct suspect_table *table,
    const struct suspects_request *request, int64_t now_us,
    struct suspects_summary *record)
{
	uint8_t strongest = 0;

	memset(record, 0, sizeof(*record));
	drop_expired_runs(table, now_us);
	for (uint8_t i = 0; i <= request->part_count; i++) {
		struct suspects_cause cause = cause_at(request, i);
		struct suspects_summary s;
		uint8_t strength =
		    look_up_cause(table, request, &cause, now_us, &s);
		int rank = 2 * s.refused + s.alone;
		int best = 2 * record->refused + record->alone;

		if (i == 0 || rank > best ||
		    (rank == best && rank > 0 && strength > strongest)) {
			*record = s;
			strongest = strength;
		}
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

		count += m->key != 0 &&
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
