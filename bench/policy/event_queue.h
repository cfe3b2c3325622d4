#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/*
 * The pending events of a run as a binary heap, earliest first; events of the
 * same time come in order of insertion.
 */
struct scheduled_event {
	int64_t at_us;
	uint64_t sequence; /* of insertion */
	uint32_t kind;
	uint32_t arg;
};

struct event_queue {
	struct scheduled_event *items;
	size_t count;
	size_t capacity;
	uint64_t sequence; /* given to the next event */
};

void event_queue_add(
    struct event_queue *h, int64_t at_us, uint32_t kind, uint32_t arg);
struct scheduled_event event_queue_pop(struct event_queue *h);
void event_queue_free(struct event_queue *h);

#endif
