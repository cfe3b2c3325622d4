#include "policy/event_queue.h"

#include <stdbool.h>
#include <stdlib.h>

static bool
is_earlier(const struct scheduled_event *x, const struct scheduled_event *y)
{
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us;
	return x->sequence < y->sequence;
}

static void
swap(struct scheduled_event *x, struct scheduled_event *y)
{
	struct scheduled_event t = *x;

	*x = *y;
	*y = t;
}

/* Inserts an event; arg says which object kind applies to. */
void
event_queue_add(
    struct event_queue *h, int64_t at_us, uint32_t kind, uint32_t arg)
{
	struct scheduled_event *p;
	size_t i;

	if (h->count == h->capacity) {
		h->capacity = h->capacity == 0 ? 1024 : 2 * h->capacity;
		p = realloc(h->items, h->capacity * sizeof(*h->items));
		if (p == NULL)
			abort();
		h->items = p;
	}
	i = h->count++;
	h->items[i].at_us = at_us;
	h->items[i].sequence = h->sequence++;
	h->items[i].kind = kind;
	h->items[i].arg = arg;
	while (i > 0 && is_earlier(&h->items[i], &h->items[(i - 1) / 2])) {
		swap(&h->items[i], &h->items[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

/* Removes the earliest event; the heap must not be empty. */
struct scheduled_event
event_queue_pop(struct event_queue *h)
{
	struct scheduled_event first = h->items[0];
	size_t i = 0, child;

	h->items[0] = h->items[--h->count];
	for (;;) {
		child = 2 * i + 1;
		if (child >= h->count)
			break;
		if (child + 1 < h->count &&
		    is_earlier(&h->items[child + 1], &h->items[child]))
			child++;
		if (!is_earlier(&h->items[child], &h->items[i]))
			break;
		swap(&h->items[i], &h->items[child]);
		i = child;
	}
	return first;
}

void
event_queue_free(struct event_queue *h)
{
	free(h->items);
}
