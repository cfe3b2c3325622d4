#include "core/queue.h"

#include <string.h>

enum {
	QUEUE_NO_SLOT = UINT32_MAX,
	QUEUE_INTERVAL_DIVISOR = 8, /* reciprocal weight of an interval */
	QUEUE_SCAN_MAX = 8 /* requests of a flow returned by one scan */
};

struct queue_link {
	uint32_t next;
	uint32_t prev;
	uint16_t flow; /* QUEUE_NO_FLOW: not queued */
};

struct queue_flow {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
	uint32_t weight;
	uint16_t priority;
	uint64_t virtual_time; /* start tag: virtual time of its next request */
	int64_t last_served_us; /* last service; 0: none queued since */
	int64_t mean_interval_us; /* moving average between two services */
	uint32_t scanned; /* requests returned by this scan */
	uint32_t cursor; /* slot that this scan returns next */
};

struct queue {
	const struct alloc *alloc;
	struct queue_link *links;
	uint32_t slots;
	struct queue_flow *flows;
	uint16_t flow_count;
	uint32_t count;
	uint64_t virtual_now; /* start tag of the request last served */
};

/* Makes room for the table slots 0 to slots - 1. */
void
queue_reserve(struct queue *queue, uint32_t slots)
{
	if (slots <= queue->slots)
		return;
	queue->links = alloc_resize(
	    queue->alloc, queue->links, slots * sizeof(*queue->links));
	for (uint32_t i = queue->slots; i < slots; i++)
		queue->links[i].flow = QUEUE_NO_FLOW;
	queue->slots = slots;
}

/* Returns an empty queue for the table slots 0 to slots - 1. */
struct queue *
queue_new(const struct alloc *alloc, uint32_t slots)
{
	struct queue *queue = alloc_zero(alloc, 1, sizeof(*queue));

	queue->alloc = alloc;
	queue_reserve(queue, slots);
	return queue;
}

/* Returns a copy of a queue, which changes independently. */
struct queue *
queue_copy(const struct queue *queue)
{
	struct queue *copy = alloc_zero(queue->alloc, 1, sizeof(*copy));

	*copy = *queue;
	copy->links = NULL;
	copy->flows = NULL;
	if (queue->slots > 0) {
		copy->links = alloc_zero(
		    queue->alloc, queue->slots, sizeof(*copy->links));
		memcpy(copy->links, queue->links,
		    queue->slots * sizeof(*copy->links));
	}
	if (queue->flow_count > 0) {
		copy->flows = alloc_zero(
		    queue->alloc, queue->flow_count, sizeof(*copy->flows));
		memcpy(copy->flows, queue->flows,
		    queue->flow_count * sizeof(*copy->flows));
	}
	return copy;
}

void
queue_free(struct queue *queue)
{
	if (queue == NULL)
		return;
	alloc_free(queue->alloc, queue->links);
	alloc_free(queue->alloc, queue->flows);
	alloc_free(queue->alloc, queue);
}

/*
 * Sets the priority and weight of a flow, which is created if need be; its
 * queued requests stay queued.
 */
void
queue_set_flow(
    struct queue *queue, uint16_t flow, uint16_t priority, uint32_t weight)
{
	if (flow >= queue->flow_count) {
		queue->flows = alloc_resize(queue->alloc, queue->flows,
		    (flow + 1U) * sizeof(*queue->flows));
		for (uint32_t i = queue->flow_count; i <= flow; i++)
			queue->flows[i] =
			    (struct queue_flow){.head = QUEUE_NO_SLOT,
				.tail = QUEUE_NO_SLOT,
				.cursor = QUEUE_NO_SLOT,
				.weight = 1};
		queue->flow_count = (uint16_t)(flow + 1);
	}
	queue->flows[flow].priority = priority;
	queue->flows[flow].weight = weight > 0 ? weight : 1;
}

/*
 * Tells whether a flow has no requests and has been served no more than its
 * share, so that it may be forgotten.
 */
bool
queue_flow_is_idle(const struct queue *queue, uint16_t flow)
{
	return queue->flows[flow].count == 0 &&
	       queue->flows[flow].virtual_time <= queue->virtual_now;
}

/* Appends a slot to the requests of a flow. */
void
queue_push(struct queue *queue, uint16_t index, uint32_t slot)
{
	struct queue_flow *flow = &queue->flows[index];
	struct queue_link *link = &queue->links[slot];

	link->flow = index;
	link->next = QUEUE_NO_SLOT;
	link->prev = flow->tail;
	if (flow->tail == QUEUE_NO_SLOT)
		flow->head = slot;
	else
		queue->links[flow->tail].next = slot;
	flow->tail = slot;
	if (flow->count++ == 0 && flow->virtual_time < queue->virtual_now)
		flow->virtual_time = queue->virtual_now;
	queue->count++;
}

/* Removes a slot from any position; does nothing if it is not queued. */
void
queue_remove(struct queue *queue, uint32_t slot)
{
	struct queue_link *link = &queue->links[slot];
	struct queue_flow *flow;

	if (link->flow == QUEUE_NO_FLOW)
		return;
	flow = &queue->flows[link->flow];
	if (link->prev == QUEUE_NO_SLOT)
		flow->head = link->next;
	else
		queue->links[link->prev].next = link->next;
	if (link->next == QUEUE_NO_SLOT)
		flow->tail = link->prev;
	else
		queue->links[link->next].prev = link->prev;
	if (flow->cursor == slot)
		flow->cursor = link->next;
	if (flow->scanned > 0)
		flow->scanned--;
	if (--flow->count == 0)
		flow->last_served_us = flow->mean_interval_us = 0;
	queue->count--;
	link->flow = QUEUE_NO_FLOW;
}

/*
 * Charges a flow for a dispatched request, whether or not it was queued
 * before.  cost is in the units of router_attempt_cost().
 */
void
queue_charge(struct queue *queue, uint16_t index, uint32_t cost)
{
	struct queue_flow *flow = &queue->flows[index];

	if (flow->count == 0 && flow->virtual_time < queue->virtual_now)
		flow->virtual_time = queue->virtual_now;
	if (flow->virtual_time > queue->virtual_now)
		queue->virtual_now = flow->virtual_time;
	flow->virtual_time += (uint64_t)cost * QUEUE_COST_SCALE / flow->weight;
}

/*
 * Records that a queued request of a flow has been dispatched at now_us.
 * To be called after the request was removed from the queue.
 */
void
queue_record_service(struct queue *queue, uint16_t index, int64_t now_us)
{
	struct queue_flow *flow = &queue->flows[index];

	if (flow->last_served_us != 0)
		flow->mean_interval_us +=
		    (now_us - flow->last_served_us - flow->mean_interval_us) /
		    QUEUE_INTERVAL_DIVISOR;
	flow->last_served_us = flow->count > 0 ? now_us : 0;
	if (flow->count == 0)
		flow->mean_interval_us = 0;
}

/*
 * Returns the time that the queue takes to serve one request of a flow, as
 * observed since the flow last had none queued; 0 if nothing was observed.
 */
int64_t
queue_interval_us(const struct queue *queue, uint16_t index, int64_t now_us)
{
	const struct queue_flow *flow = &queue->flows[index];
	int64_t since_us = now_us - flow->last_served_us;

	if (flow->last_served_us == 0)
		return 0;
	return since_us > flow->mean_interval_us ? since_us
						 : flow->mean_interval_us;
}

uint32_t
queue_count(const struct queue *queue)
{
	return queue->count;
}

/* Returns the number of queued requests of a flow. */
uint32_t
queue_waiting(const struct queue *queue, uint16_t index)
{
	return queue->flows[index].count;
}

/*
 * Returns the number of queued requests that will be served before one of a
 * flow that has own_ahead of the same flow ahead of it: these, all those of
 * better priority, and of the others of equal priority as many as their weights
 * allow until its own are served.
 */
static uint32_t
count_ahead(const struct queue *queue, uint16_t index, uint32_t own_ahead)
{
	const struct queue_flow *own = &queue->flows[index];
	const struct queue_flow *flow;
	uint64_t ahead = own_ahead;
	uint64_t share;
	uint16_t i;

	if (queue->count == 0)
		return 0;
	for (i = 0; i < queue->flow_count; i++) {
		flow = &queue->flows[i];
		if (i == index || flow->count == 0 ||
		    flow->priority > own->priority)
			continue;
		share = (uint64_t)(own_ahead + 1) * flow->weight / own->weight;
		if (flow->priority < own->priority || share > flow->count)
			share = flow->count;
		ahead += share;
	}
	return ahead > UINT32_MAX ? UINT32_MAX : (uint32_t)ahead;
}

/* Counts the requests that go before one that a flow adds now. */
uint32_t
queue_ahead(const struct queue *queue, uint16_t flow)
{
	return count_ahead(queue, flow, queue->flows[flow].count);
}

/* Counts the requests of the same flow that go before a queued one. */
uint32_t
queue_own_ahead(const struct queue *queue, uint32_t slot)
{
	uint32_t ahead = 0;

	for (uint32_t at = queue->links[slot].prev; at != QUEUE_NO_SLOT;
	     at = queue->links[at].prev)
		ahead++;
	return ahead;
}

/* Counts the requests that go before a queued one. */
uint32_t
queue_ahead_of(const struct queue *queue, uint32_t slot)
{
	return count_ahead(
	    queue, queue->links[slot].flow, queue_own_ahead(queue, slot));
}

/*
 * Returns the slot of the queued request to drop in favour of a new one of the
 * given flow when the table is full: the newest of the flow with the
 * worst priority and, among equals, the longest queue for its weight.  Returns
 * QUEUE_NONE if the new request is the one to refuse.
 */
int64_t
queue_victim(const struct queue *queue, uint16_t index)
{
	const struct queue_flow *own = &queue->flows[index];
	const struct queue_flow *worst = NULL;
	const struct queue_flow *flow;
	uint16_t i;

	for (i = 0; i < queue->flow_count; i++) {
		flow = &queue->flows[i];
		if (flow->count == 0)
			continue;
		if (worst == NULL || flow->priority > worst->priority ||
		    (flow->priority == worst->priority &&
			(uint64_t)flow->count * worst->weight >
			    (uint64_t)worst->count * flow->weight))
			worst = flow;
	}
	if (worst == NULL || worst == own || worst->priority < own->priority)
		return QUEUE_NONE;
	if (worst->priority == own->priority &&
	    (uint64_t)worst->count * own->weight <=
		(uint64_t)(own->count + 1) * worst->weight)
		return QUEUE_NONE;
	return worst->tail;
}

/* Starts a scan over the queued requests. */
void
queue_scan_start(struct queue *queue)
{
	uint16_t i;

	for (i = 0; i < queue->flow_count; i++) {
		queue->flows[i].scanned = 0;
		queue->flows[i].cursor = queue->flows[i].head;
	}
}

/*
 * Returns the slot of the next request of the scan, or QUEUE_NONE at its end.
 */
int64_t
queue_scan_next(struct queue *queue)
{
	struct queue_flow *best = NULL;
	struct queue_flow *flow;
	uint32_t slot;
	uint16_t i;

	for (i = 0; i < queue->flow_count; i++) {
		flow = &queue->flows[i];
		if (flow->count == 0 || flow->cursor == QUEUE_NO_SLOT ||
		    flow->scanned >= QUEUE_SCAN_MAX)
			continue;
		if (best == NULL || flow->priority < best->priority ||
		    (flow->priority == best->priority &&
			flow->virtual_time < best->virtual_time))
			best = flow;
	}
	if (best == NULL)
		return QUEUE_NONE;
	slot = best->cursor;
	best->scanned++;
	best->cursor = queue->links[slot].next;
	return slot;
}
