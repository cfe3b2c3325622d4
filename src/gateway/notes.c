#include "gateway/notes.h"

#include <string.h>
#include <xxhash.h>

enum {
	BUCKETS = 1024,
	NONE = UINT16_MAX
};

struct nt {
	const struct alloc *alloc;
	struct nt_note notes[NT_MAX];
	uint16_t next[NT_MAX]; /* of the same bucket */
	uint16_t buckets[BUCKETS];
	size_t count;
	size_t held; /* of these, sessions */
	int64_t changed_us;
	uint64_t dropped;
};

/* Creates an empty table. */
struct nt *
nt_new(const struct alloc *alloc)
{
	struct nt *nt = alloc_zero(alloc, 1, sizeof(*nt));

	nt->alloc = alloc;
	memset(nt->buckets, 0xff, sizeof(nt->buckets));
	return nt;
}

/* Releases a table. */
void
nt_free(struct nt *nt)
{
	if (nt != NULL)
		alloc_free(nt->alloc, nt);
}

static uint64_t
hash_of(const struct nt_note *note, uint64_t seed)
{
	const uint64_t words[3] = {(uint64_t)note->kind, note->key, note->part};

	return XXH64(words, sizeof(words), seed);
}

static uint16_t *
bucket_of(struct nt *nt, const struct nt_note *note)
{
	return &nt->buckets[hash_of(note, 0) % BUCKETS];
}

static void
link_note(struct nt *nt, uint16_t i)
{
	uint16_t *bucket = bucket_of(nt, &nt->notes[i]);

	nt->next[i] = *bucket;
	*bucket = i;
}

static bool
is_same(const struct nt_note *a, const struct nt_note *b)
{
	return a->kind == b->kind && a->key == b->key && a->part == b->part;
}

static int64_t
left_us(const struct nt_note *note, int64_t now_us)
{
	return note->at_us - now_us +
	       (note->kind == NT_CRASH ? NT_CRASH_KEPT_US : NT_KEPT_US);
}

/*
 * Takes a note.  Returns whether it is news: there was none, or one with a
 * lower value.  What finds no room is counted as dropped and is no news.
 */
bool
nt_take(struct nt *nt, const struct nt_note *note, int64_t now_us)
{
	uint16_t i = *bucket_of(nt, note);

	while (i != NONE && !is_same(&nt->notes[i], note))
		i = nt->next[i];
	if ((i != NONE && nt->notes[i].value >= note->value) ||
	    left_us(note, now_us) <= 0)
		return false;
	if (i == NONE &&
	    (nt->count == NT_MAX ||
		(note->kind == NT_HELD && nt->held == NT_HELD_MAX))) {
		nt->dropped++;
		return false;
	}
	if (i == NONE) {
		i = (uint16_t)nt->count++;
		nt->notes[i] = *note;
		nt->held += note->kind == NT_HELD;
		link_note(nt, i);
	}
	nt->notes[i].value = note->value;
	nt->notes[i].at_us = note->at_us;
	nt->notes[i].heard_us = nt->changed_us = now_us;
	return true;
}

/* Forgets the notes whose time is over. */
void
nt_forget(struct nt *nt, int64_t now_us)
{
	size_t kept = 0;

	memset(nt->buckets, 0xff, sizeof(nt->buckets));
	nt->held = 0;
	for (size_t i = 0; i < nt->count; i++) {
		if (left_us(&nt->notes[i], now_us) <= 0)
			continue;
		nt->notes[kept] = nt->notes[i];
		nt->held += nt->notes[kept].kind == NT_HELD;
		link_note(nt, (uint16_t)kept++);
	}
	nt->count = kept;
}

size_t
nt_count(const struct nt *nt)
{
	return nt->count;
}

const struct nt_note *
nt_at(const struct nt *nt, size_t i)
{
	return &nt->notes[i];
}

/*
 * Sums up all notes but those that are about to be forgotten, which others may
 * have forgotten already.
 */
struct nt_sum
nt_sum(const struct nt *nt, int64_t now_us)
{
	struct nt_sum sum = {0, 0};

	for (size_t i = 0; i < nt->count; i++) {
		if (left_us(&nt->notes[i], now_us) <= NT_SUM_MARGIN_US)
			continue;
		sum.digest ^= hash_of(&nt->notes[i], nt->notes[i].value);
		sum.count++;
	}
	return sum;
}

/* Compares the sum that another instance told with the own one. */
void
nt_compare(
    struct nt_peer *peer, const struct nt_sum *own, const struct nt_sum *its)
{
	bool same = own->digest == its->digest && own->count == its->count;

	peer->rounds = same ? 0 : peer->rounds + 1;
	peer->lacks_most = its->count * 2 < own->count;
	if (same)
		peer->next = 0;
}

/*
 * Whether another instance should be told all notes: its sum was another for so
 * many rounds, and either nothing new was heard for as long as news is repeated
 * or it has just begun to hear.  A table without room can't be made the same as
 * others.
 */
bool
nt_should_tell_all(const struct nt *nt, const struct nt_peer *peer,
    uint32_t rounds, int64_t now_us)
{
	return peer->rounds >= rounds && nt->count > 0 && nt->count < NT_MAX &&
	       nt->held < NT_HELD_MAX &&
	       (peer->lacks_most || now_us - nt->changed_us >= NT_SPREAD_US);
}

/* Returns how many notes found no room. */
uint64_t
nt_dropped(const struct nt *nt)
{
	return nt->dropped;
}
