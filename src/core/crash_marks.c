#include "core/crash_marks.h"

#include "core/map.h"

/* A mark expires this long after the last crash. */
#define CRASH_MARK_LIFETIME_US (INT64_C(600) * 1000000)

struct crash_mark {
	uint64_t fingerprint;
	int64_t expires_us;
	uint8_t crashes; /* 0: the entry is free */
	bool unsent; /* other instances have not been told */
};

/* The marks form a ring: a new mark replaces the oldest one. */
struct crash_marks {
	const struct alloc *alloc;
	struct map *by_fingerprint; /* indices into ring */
	struct crash_mark *ring;
	uint32_t capacity;
	uint32_t oldest; /* entry that the next new mark replaces */
	uint32_t unsent_count;
	uint32_t unsent_scan; /* entry where the next search begins */
};

/* Creates an empty set that holds up to capacity marks. */
struct crash_marks *
crash_marks_new(const struct alloc *alloc, uint32_t capacity)
{
	struct crash_marks *marks = alloc_zero(alloc, 1, sizeof(*marks));

	marks->alloc = alloc;
	marks->capacity = capacity;
	marks->by_fingerprint = map_new(alloc, capacity);
	marks->ring = alloc_zero(alloc, capacity, sizeof(*marks->ring));
	return marks;
}

void
crash_marks_free(struct crash_marks *marks)
{
	if (marks == NULL)
		return;
	map_free(marks->by_fingerprint);
	alloc_free(marks->alloc, marks->ring);
	alloc_free(marks->alloc, marks);
}

/* Returns the number of crashes of a fingerprint; 0 if it has no live mark. */
uint8_t
crash_marks_count(
    const struct crash_marks *marks, uint64_t fingerprint, int64_t now_us)
{
	int64_t slot;

	if (fingerprint == 0 || map_count(marks->by_fingerprint) == 0)
		return 0;
	slot = map_get(marks->by_fingerprint, fingerprint);
	if (slot == MAP_NONE || marks->ring[slot].expires_us <= now_us)
		return 0;
	return marks->ring[slot].crashes;
}

static void
remove_mark(struct crash_marks *marks, struct crash_mark *mark)
{
	if (mark->crashes == 0)
		return;
	if (mark->unsent)
		marks->unsent_count--;
	map_remove(marks->by_fingerprint, mark->fingerprint);
	mark->crashes = 0;
	mark->unsent = false;
}

/* Returns the mark of a fingerprint, renewed, or a new one without crashes. */
static struct crash_mark *
find_or_add_mark(
    struct crash_marks *marks, uint64_t fingerprint, int64_t now_us)
{
	int64_t slot = map_get(marks->by_fingerprint, fingerprint);
	struct crash_mark *mark;

	if (slot != MAP_NONE) {
		mark = &marks->ring[slot];
		if (mark->expires_us <= now_us)
			mark->crashes = 0;
	} else {
		mark = &marks->ring[marks->oldest];
		remove_mark(marks, mark);
		mark->fingerprint = fingerprint;
		map_put(marks->by_fingerprint, fingerprint, marks->oldest);
		marks->oldest = (marks->oldest + 1) % marks->capacity;
	}
	mark->expires_us = now_us + CRASH_MARK_LIFETIME_US;
	return mark;
}

/* Adds one crash to a fingerprint and queues its mark for other instances. */
void
crash_marks_add(struct crash_marks *marks, uint64_t fingerprint, int64_t now_us)
{
	struct crash_mark *mark;

	if (fingerprint == 0)
		return;
	mark = find_or_add_mark(marks, fingerprint, now_us);
	if (mark->crashes < UINT8_MAX)
		mark->crashes++;
	if (!mark->unsent)
		marks->unsent_count++;
	mark->unsent = true;
}

/* Merges another instance's crash count of a fingerprint: the higher one. */
void
crash_marks_merge(struct crash_marks *marks, uint64_t fingerprint,
    uint8_t crashes, int64_t now_us)
{
	struct crash_mark *mark;

	if (fingerprint == 0 || crashes == 0)
		return;
	mark = find_or_add_mark(marks, fingerprint, now_us);
	if (crashes > mark->crashes)
		mark->crashes = crashes;
}

/*
 * Removes the mark of a suspect that ran to its end without a crash.  A
 * fingerprint that is refused stays so until its mark expires.
 */
void
crash_marks_clear_suspect(struct crash_marks *marks, uint64_t fingerprint)
{
	int64_t slot;

	if (fingerprint == 0 || map_count(marks->by_fingerprint) == 0)
		return;
	slot = map_get(marks->by_fingerprint, fingerprint);
	if (slot != MAP_NONE && marks->ring[slot].crashes < CRASH_MARKS_REFUSED)
		remove_mark(marks, &marks->ring[slot]);
}

/* Returns the next unsent mark and clears its flag; false if there is none. */
bool
crash_marks_next_unsent(
    struct crash_marks *marks, uint64_t *fingerprint, uint8_t *crashes)
{
	struct crash_mark *mark;

	while (marks->unsent_count > 0) {
		mark = &marks->ring[marks->unsent_scan];
		if (mark->unsent) {
			mark->unsent = false;
			marks->unsent_count--;
			*fingerprint = mark->fingerprint;
			*crashes = mark->crashes;
			return true;
		}
		marks->unsent_scan = (marks->unsent_scan + 1) % marks->capacity;
	}
	return false;
}
