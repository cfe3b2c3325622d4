#include "gateway/notes.h"

#include <string.h>
#include <xxhash.h>

enum {
	BUCKETS = 1024,
	NONE = UINT16_MAX
};

struct gw_notes {
	const struct alloc *alloc;
	struct gw_note notes[GW_NOTES_MAX];
	uint16_t next[GW_NOTES_MAX]; /* next note of the same bucket */
	uint16_t buckets[BUCKETS];
	/* Neighbours in the order in which notes were heard, or NONE */
	uint16_t older[GW_NOTES_MAX];
	uint16_t newer[GW_NOTES_MAX];
	uint16_t oldest;
	uint16_t newest;
	size_t count;
	size_t held_count; /* how many of them are GW_NOTE_SESSION_HELD */
	int64_t changed_us; /* when gw_notes_add() last accepted a note */
	uint64_t dropped;
	uint64_t last_number; /* of the note that was heard last */
};

/* Creates an empty table. */
struct gw_notes *
gw_notes_new(const struct alloc *alloc)
{
	struct gw_notes *table = alloc_zero(alloc, 1, sizeof(*table));

	table->alloc = alloc;
	memset(table->buckets, 0xff, sizeof(table->buckets));
	table->oldest = table->newest = NONE;
	return table;
}

/* Releases a table. */
void
gw_notes_free(struct gw_notes *table)
{
	if (table != NULL)
		alloc_free(table->alloc, table);
}

static uint64_t
hash_note(const struct gw_note *note, uint64_t seed)
{
	const uint64_t words[3] = {(uint64_t)note->kind, note->key, note->part};

	return XXH64(words, sizeof(words), seed);
}

static uint16_t *
find_bucket(struct gw_notes *table, const struct gw_note *note)
{
	return &table->buckets[hash_note(note, 0) % BUCKETS];
}

static void
link_note(struct gw_notes *table, uint16_t i)
{
	uint16_t *bucket = find_bucket(table, &table->notes[i]);

	table->next[i] = *bucket;
	*bucket = i;
}

/* Makes a note that is not in the order the one that was heard last. */
static void
append_heard(struct gw_notes *table, uint16_t i)
{
	table->older[i] = table->newest;
	table->newer[i] = NONE;
	if (table->newest != NONE)
		table->newer[table->newest] = i;
	else
		table->oldest = i;
	table->newest = i;
}

static void
remove_heard(struct gw_notes *table, uint16_t i)
{
	uint16_t older = table->older[i], newer = table->newer[i];

	if (older != NONE)
		table->newer[older] = newer;
	else
		table->oldest = newer;
	if (newer != NONE)
		table->older[newer] = older;
	else
		table->newest = older;
}

static bool
is_same_subject(const struct gw_note *a, const struct gw_note *b)
{
	return a->kind == b->kind && a->key == b->key && a->part == b->part;
}

/* Returns the index of the note about a subject, or NONE. */
static uint16_t
find_note(const struct gw_notes *table, const struct gw_note *subject)
{
	uint16_t i = table->buckets[hash_note(subject, 0) % BUCKETS];

	while (i != NONE && !is_same_subject(&table->notes[i], subject))
		i = table->next[i];
	return i;
}

/* Returns the time until a note expires; 0 or less: it has expired. */
static int64_t
remaining_us(const struct gw_note *note, int64_t now_us)
{
	int64_t keep_us = GW_NOTES_KEEP_US;

	if (note->kind == GW_NOTE_CRASH || note->kind == GW_NOTE_PART_CRASH)
		keep_us = GW_NOTES_CRASH_KEEP_US;
	else if (note->kind == GW_NOTE_SERVER_LIMIT ||
		 note->kind == GW_NOTE_SERVER_BRITTLE)
		keep_us = GW_NOTES_LIMIT_KEEP_US;
	return note->at_us - now_us + keep_us;
}

/*
 * Adds a note.  Returns whether it is new: the table had no note of this
 * subject, or one with a lower value.  Returns false for an expired note, and
 * for one without room, which is counted as dropped.
 */
bool
gw_notes_add(struct gw_notes *table, const struct gw_note *note, int64_t now_us)
{
	uint16_t i = find_note(table, note);

	if ((i != NONE && table->notes[i].value >= note->value) ||
	    remaining_us(note, now_us) <= 0)
		return false;
	if (i == NONE && (table->count == GW_NOTES_MAX ||
			     (note->kind == GW_NOTE_SESSION_HELD &&
				 table->held_count == GW_NOTES_HELD_MAX))) {
		table->dropped++;
		return false;
	}
	if (i == NONE) {
		i = (uint16_t)table->count++;
		table->notes[i] = *note;
		table->held_count += note->kind == GW_NOTE_SESSION_HELD;
		link_note(table, i);
	} else {
		remove_heard(table, i);
	}
	append_heard(table, i);
	table->notes[i].value = note->value;
	table->notes[i].told_by = note->told_by;
	table->notes[i].at_us = note->at_us;
	table->notes[i].heard_us = table->changed_us = now_us;
	table->notes[i].number = ++table->last_number;
	return true;
}

/* Returns the note about the whole of a key, or NULL. */
const struct gw_note *
gw_notes_find(
    const struct gw_notes *table, enum gw_note_kind kind, uint64_t key)
{
	const struct gw_note subject = {.kind = kind, .key = key};
	uint16_t i = find_note(table, &subject);

	return i != NONE ? &table->notes[i] : NULL;
}

/* Removes the expired notes.  Those that stay keep their order. */
void
gw_notes_remove_expired(struct gw_notes *table, int64_t now_us)
{
	static uint16_t heard[GW_NOTES_MAX], moved_to[GW_NOTES_MAX];
	size_t kept = 0, count = 0;

	for (uint16_t i = table->oldest; i != NONE; i = table->newer[i])
		heard[count++] = i;
	memset(table->buckets, 0xff, sizeof(table->buckets));
	table->held_count = 0;
	for (size_t i = 0; i < table->count; i++) {
		moved_to[i] = NONE;
		if (remaining_us(&table->notes[i], now_us) <= 0)
			continue;
		table->notes[kept] = table->notes[i];
		table->held_count +=
		    table->notes[kept].kind == GW_NOTE_SESSION_HELD;
		moved_to[i] = (uint16_t)kept;
		link_note(table, (uint16_t)kept++);
	}
	table->count = kept;
	table->oldest = table->newest = NONE;
	for (size_t i = 0; i < count; i++) {
		if (moved_to[heard[i]] != NONE)
			append_heard(table, moved_to[heard[i]]);
	}
}

/*
 * Returns the note that was heard last, and then each one heard before; NULL if
 * there is none.
 */
const struct gw_note *
gw_notes_newest(const struct gw_notes *table)
{
	return table->newest != NONE ? &table->notes[table->newest] : NULL;
}

const struct gw_note *
gw_notes_heard_before(const struct gw_notes *table, const struct gw_note *note)
{
	uint16_t older = table->older[note - table->notes];

	return older != NONE ? &table->notes[older] : NULL;
}

/* Returns the note that was heard next after another one, or NULL. */
const struct gw_note *
gw_notes_heard_after(const struct gw_notes *table, const struct gw_note *note)
{
	uint16_t newer = table->newer[note - table->notes];

	return newer != NONE ? &table->notes[newer] : NULL;
}

/* Returns the number of the note that was heard last; 0: none was. */
uint64_t
gw_notes_last_number(const struct gw_notes *table)
{
	return table->last_number;
}

size_t
gw_notes_count(const struct gw_notes *table)
{
	return table->count;
}

const struct gw_note *
gw_notes_at(const struct gw_notes *table, size_t i)
{
	return &table->notes[i];
}

/*
 * Summarizes all notes except those that are about to expire, which other
 * instances may have removed already.
 */
struct gw_notes_summary
gw_notes_summarize(const struct gw_notes *table, int64_t now_us)
{
	struct gw_notes_summary sum = {0, 0};

	for (size_t i = 0; i < table->count; i++) {
		if (remaining_us(&table->notes[i], now_us) <=
		    GW_NOTES_SUMMARY_MARGIN_US)
			continue;
		sum.digest ^=
		    hash_note(&table->notes[i], table->notes[i].value);
		sum.count++;
	}
	return sum;
}

/* Compares the summary of another instance with this instance's own one. */
void
gw_notes_compare(struct gw_notes_peer *peer, const struct gw_notes_summary *own,
    const struct gw_notes_summary *its)
{
	bool same = own->digest == its->digest && own->count == its->count;

	peer->mismatch_rounds = same ? 0 : peer->mismatch_rounds + 1;
	peer->lacks_most = its->count * 2 < own->count;
	if (same)
		peer->next = 0;
}

/*
 * Whether all notes should be sent to another instance: its summary has
 * differed for the given number of rounds, and either this table has not
 * changed for as long as new notes are repeated, or the other instance has
 * fewer than half as many notes because it has just started.  A full table
 * can't be made equal to others, so that nothing is sent.
 */
bool
gw_notes_should_send_all(const struct gw_notes *table,
    const struct gw_notes_peer *peer, uint32_t rounds, int64_t now_us)
{
	return peer->mismatch_rounds >= rounds && table->count > 0 &&
	       table->count < GW_NOTES_MAX &&
	       table->held_count < GW_NOTES_HELD_MAX &&
	       (peer->lacks_most ||
		   now_us - table->changed_us >= GW_NOTES_REPEAT_US);
}

/* Returns how many notes were dropped for lack of room. */
uint64_t
gw_notes_dropped(const struct gw_notes *table)
{
	return table->dropped;
}
