#include "policy/agenda.h"

#include <stdbool.h>
#include <stdlib.h>

static bool
before(const struct agenda_item *x, const struct agenda_item *y)
{
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us;
	return x->order < y->order;
}

static void
swap(struct agenda_item *x, struct agenda_item *y)
{
	struct agenda_item t = *x;

	*x = *y;
	*y = t;
}

/* Adds an event. */
void
agenda_add(struct agenda *h, int64_t at_us, uint32_t kind, uint32_t a)
{
	struct agenda_item *p;
	size_t i;

	if (h->count == h->room) {
		h->room = h->room == 0 ? 1024 : 2 * h->room;
		p = realloc(h->items, h->room * sizeof(*h->items));
		if (p == NULL)
			abort();
		h->items = p;
	}
	i = h->count++;
	h->items[i].at_us = at_us;
	h->items[i].order = h->order++;
	h->items[i].kind = kind;
	h->items[i].a = a;
	while (i > 0 && before(&h->items[i], &h->items[(i - 1) / 2])) {
		swap(&h->items[i], &h->items[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

/* Removes the earliest event; the heap must not be empty. */
struct agenda_item
agenda_take(struct agenda *h)
{
	struct agenda_item first = h->items[0];
	size_t i = 0, child;

	h->items[0] = h->items[--h->count];
	for (;;) {
		child = 2 * i + 1;
		if (child >= h->count)
			break;
		if (child + 1 < h->count &&
		    before(&h->items[child + 1], &h->items[child]))
			child++;
		if (!before(&h->items[child], &h->items[i]))
			break;
		swap(&h->items[i], &h->items[child]);
		i = child;
	}
	return first;
}

void
agenda_free(struct agenda *h)
{
	free(h->items);
}
