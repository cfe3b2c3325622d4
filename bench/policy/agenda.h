#ifndef BENCH_AGENDA_H
#define BENCH_AGENDA_H

#include <stddef.h>
#include <stdint.h>

/* The events to come of a run, earliest first; equal times come in order of
 * insertion. */
struct agenda_item {
	int64_t at_us;
	uint64_t order;
	uint32_t kind;
	uint32_t a;
};

struct agenda {
	struct agenda_item *items;
	size_t count;
	size_t room;
	uint64_t order;
};

void agenda_add(struct agenda *h, int64_t at_us, uint32_t kind, uint32_t a);
struct agenda_item agenda_take(struct agenda *h);
void agenda_free(struct agenda *h);

#endif
