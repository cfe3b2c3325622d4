#include "core/marks.h"

#include "core/map.h"

#define MARKS_EXPIRE_US (INT64_C(600) * 1000000) /* after the last crash */

struct mark {
	uint64_t fingerprint;
	int64_t until_us;
	uint8_t crashes; /* 0: the slot is free */
	bool news;
};

/* The slots form a ring: a new mark replaces the oldest one. */
struct marks {
	const struct alloc *alloc;
	struct map *by_fingerprint;
	struct mark *ring;
	uint32_t capacity;
	uint32_t next;
	uint32_t news_count;
	uint32_t news_from;
};

/* Returns a memory for the given number of fingerprints. */
struct marks *
marks_new(const struct alloc *alloc, uint32_t capacity)
{
	struct marks *marks = alloc_zero(alloc, 1, sizeof(*marks));

	marks->alloc = alloc;
	marks->capacity = capacity;
	marks->by_fingerprint = map_new(alloc, capacity);
	marks->ring = alloc_zero(alloc, capacity, sizeof(*marks->ring));
	return marks;
}

void
marks_free(struct marks *marks)
{
	if (marks == NULL)
		return;
	map_free(marks->by_fingerprint);
	alloc_free(marks->alloc, marks->ring);
	alloc_free(marks->alloc, marks);
}

/* Returns how many crashes are on record for a fingerprint; 0 is none. */
uint8_t
marks_get(const struct marks *marks, uint64_t fingerprint, int64_t now_us)
{
	int64_t slot;

	if (fingerprint == 0 || map_count(marks->by_fingerprint) == 0)
		return 0;
	slot = map_get(marks->by_fingerprint, fingerprint);
	if (slot == MAP_NONE || marks->ring[slot].until_us <= now_us)
		return 0;
	return marks->ring[slot].crashes;
}

static void
marks_drop(struct marks *marks, struct mark *mark)
{
	if (mark->crashes == 0)
		return;
	if (mark->news)
		marks->news_count--;
	map_remove(marks->by_fingerprint, mark->fingerprint);
	mark->crashes = 0;
	mark->news = false;
}

/* Returns the mark of a fingerprint, made anew where there is none. */
static struct mark *
marks_touch(struct marks *marks, uint64_t fingerprint, int64_t now_us)
{
	int64_t slot = map_get(marks->by_fingerprint, fingerprint);
	struct mark *mark;

	if (slot != MAP_NONE) {
		mark = &marks->ring[slot];
		if (mark->until_us <= now_us)
			mark->crashes = 0;
	} else {
		mark = &marks->ring[marks->next];
		marks_drop(marks, mark);
		mark->fingerprint = fingerprint;
		map_put(marks->by_fingerprint, fingerprint, marks->next);
		marks->next = (marks->next + 1) % marks->capacity;
	}
	mark->until_us = now_us + MARKS_EXPIRE_US;
	return mark;
}

/* Counts one crash against a fingerprint and makes it news. */
void
marks_add(struct marks *marks, uint64_t fingerprint, int64_t now_us)
{
	struct mark *mark;

	if (fingerprint == 0)
		return;
	mark = marks_touch(marks, fingerprint, now_us);
	if (mark->crashes < UINT8_MAX)
		mark->crashes++;
	if (!mark->news)
		marks->news_count++;
	mark->news = true;
}

/* Takes in what another instance counted. */
void
marks_merge(
    struct marks *marks, uint64_t fingerprint, uint8_t crashes, int64_t now_us)
{
	struct mark *mark;

	if (fingerprint == 0 || crashes == 0)
		return;
	mark = marks_touch(marks, fingerprint, now_us);
	if (crashes > mark->crashes)
		mark->crashes = crashes;
}

/* Clears a suspect that ran to its end; a refused one stays refused. */
void
marks_acquit(struct marks *marks, uint64_t fingerprint)
{
	int64_t slot;

	if (fingerprint == 0 || map_count(marks->by_fingerprint) == 0)
		return;
	slot = map_get(marks->by_fingerprint, fingerprint);
	if (slot != MAP_NONE && marks->ring[slot].crashes < MARKS_REFUSED)
		marks_drop(marks, &marks->ring[slot]);
}

/* Returns false when there is no news. */
bool
marks_next_news(struct marks *marks, uint64_t *fingerprint, uint8_t *crashes)
{
	struct mark *mark;

	while (marks->news_count > 0) {
		mark = &marks->ring[marks->news_from];
		if (mark->news) {
			mark->news = false;
			marks->news_count--;
			*fingerprint = mark->fingerprint;
			*crashes = mark->crashes;
			return true;
		}
		marks->news_from = (marks->news_from + 1) % marks->capacity;
	}
	return false;
}
