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

static uint16_t *
bucket_of(struct nt *nt, enum nt_kind kind, uint64_t key)
{
	return &nt->buckets[XXH64(&key, sizeof(key), kind) % BUCKETS];
}

static void
link_note(struct nt *nt, uint16_t i)
{
	uint16_t *bucket = bucket_of(nt, nt->notes[i].kind, nt->notes[i].key);

	nt->next[i] = *bucket;
	*bucket = i;
}

/*
 * Takes a note.  Returns whether it is news: the key is not known, or had a
 * lower value.  What finds no room is counted as dropped and is no news.
 */
bool
nt_take(struct nt *nt, enum nt_kind kind, uint64_t key, uint32_t value,
    int64_t now_us)
{
	uint16_t i = *bucket_of(nt, kind, key);

	while (
	    i != NONE && (nt->notes[i].kind != kind || nt->notes[i].key != key))
		i = nt->next[i];
	if (i != NONE && nt->notes[i].value >= value)
		return false;
	if (i == NONE && nt->count == NT_MAX) {
		nt->dropped++;
		return false;
	}
	if (i == NONE) {
		i = (uint16_t)nt->count++;
		nt->notes[i] = (struct nt_note){.kind = kind, .key = key};
		link_note(nt, i);
	}
	nt->notes[i].value = value;
	nt->notes[i].at_us = now_us;
	return true;
}

/* Forgets the notes that nobody repeats any more. */
void
nt_forget(struct nt *nt, int64_t now_us)
{
	size_t kept = 0;

	memset(nt->buckets, 0xff, sizeof(nt->buckets));
	for (size_t i = 0; i < nt->count; i++) {
		if (now_us - nt->notes[i].at_us >= NT_KEPT_US)
			continue;
		nt->notes[kept] = nt->notes[i];
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

/* Returns how many notes found no room. */
uint64_t
nt_dropped(const struct nt *nt)
{
	return nt->dropped;
}
