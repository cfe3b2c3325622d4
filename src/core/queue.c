#include "core/queue.h"

enum {
	QUEUE_END = UINT32_MAX,
	QUEUE_PACE_SHARE = 8, /* weight of one gap in their average */
	QUEUE_LOOK_AHEAD = 8 /* requests of a workspace seen in one walk */
};

struct queue_link {
	uint32_t next;
	uint32_t prev;
	uint16_t workspace; /* CFG_NONE: not queued */
};

struct queue_lane {
	uint32_t head;
	uint32_t tail;
	uint32_t count;
	uint32_t weight;
	uint16_t priority;
	uint64_t served; /* virtual time */
	int64_t served_us; /* a waiting one was last served; 0: none waited */
	int64_t gap_us; /* average time between two of them */
	uint32_t seen; /* in this walk */
	uint32_t cursor; /* next one of this walk */
};

struct queue {
	const struct alloc *alloc;
	struct queue_link *links;
	struct queue_lane *lanes;
	uint16_t lane_count;
	uint32_t count;
	uint64_t now; /* virtual time of the last one served */
};

/* Returns an empty queue for table slots 0 to slots - 1. */
struct queue *
queue_new(const struct alloc *alloc, uint32_t slots)
{
	struct queue *queue = alloc_zero(alloc, 1, sizeof(*queue));
	uint32_t i;

	queue->alloc = alloc;
	queue->links = alloc_zero(alloc, slots, sizeof(*queue->links));
	for (i = 0; i < slots; i++)
		queue->links[i].workspace = CFG_NONE;
	return queue;
}

void
queue_free(struct queue *queue)
{
	if (queue == NULL)
		return;
	alloc_free(queue->alloc, queue->links);
	alloc_free(queue->alloc, queue->lanes);
	alloc_free(queue->alloc, queue);
}

/* Takes over weights and priorities; what waits goes on waiting. */
void
queue_configure(struct queue *queue, const struct cfg *cfg)
{
	struct queue_lane *lane;
	uint16_t i;

	if (cfg->workspace_count > queue->lane_count) {
		queue->lanes = alloc_resize(queue->alloc, queue->lanes,
		    cfg->workspace_count * sizeof(*queue->lanes));
		for (i = queue->lane_count; i < cfg->workspace_count; i++)
			queue->lanes[i] = (struct queue_lane){
			    .head = QUEUE_END, .tail = QUEUE_END};
		queue->lane_count = cfg->workspace_count;
	}
	for (i = 0; i < cfg->workspace_count; i++) {
		lane = &queue->lanes[i];
		lane->priority = cfg->workspaces[i].priority;
		lane->weight = cfg->workspaces[i].weight;
		if (lane->weight == 0)
			lane->weight = 1;
	}
}

/* Puts a slot behind the others of its workspace. */
void
queue_push(struct queue *queue, uint16_t workspace, uint32_t slot)
{
	struct queue_lane *lane = &queue->lanes[workspace];
	struct queue_link *link = &queue->links[slot];

	link->workspace = workspace;
	link->next = QUEUE_END;
	link->prev = lane->tail;
	if (lane->tail == QUEUE_END)
		lane->head = slot;
	else
		queue->links[lane->tail].next = slot;
	lane->tail = slot;
	if (lane->count++ == 0 && lane->served < queue->now)
		lane->served = queue->now;
	queue->count++;
}

/* Takes a slot out, wherever it stands; harmless if it is not queued. */
void
queue_remove(struct queue *queue, uint32_t slot)
{
	struct queue_link *link = &queue->links[slot];
	struct queue_lane *lane;

	if (link->workspace == CFG_NONE)
		return;
	lane = &queue->lanes[link->workspace];
	if (link->prev == QUEUE_END)
		lane->head = link->next;
	else
		queue->links[link->prev].next = link->next;
	if (link->next == QUEUE_END)
		lane->tail = link->prev;
	else
		queue->links[link->next].prev = link->prev;
	if (lane->cursor == slot)
		lane->cursor = link->next;
	if (lane->seen > 0)
		lane->seen--;
	lane->count--;
	queue->count--;
	link->workspace = CFG_NONE;
}

/* Counts work given to a workspace, queued before or not. */
void
queue_charge(struct queue *queue, uint16_t workspace, uint32_t cost)
{
	struct queue_lane *lane = &queue->lanes[workspace];

	if (lane->count == 0 && lane->served < queue->now)
		lane->served = queue->now;
	if (lane->served > queue->now)
		queue->now = lane->served;
	lane->served += (uint64_t)cost * QUEUE_COST_SCALE / lane->weight;
}

/* Notes that a waiting request of a workspace was served just now. */
void
queue_served(struct queue *queue, uint16_t workspace, int64_t now_us)
{
	struct queue_lane *lane = &queue->lanes[workspace];

	if (lane->served_us != 0)
		lane->gap_us += (now_us - lane->served_us - lane->gap_us) /
				QUEUE_PACE_SHARE;
	lane->served_us = lane->count > 0 ? now_us : 0;
	if (lane->count == 0)
		lane->gap_us = 0;
}

/*
 * Returns how long a workspace's queue takes for one of its requests, as
 * observed since it last had none waiting; 0 when nothing was observed.
 */
int64_t
queue_pace_us(const struct queue *queue, uint16_t workspace, int64_t now_us)
{
	const struct queue_lane *lane = &queue->lanes[workspace];
	int64_t since_us = now_us - lane->served_us;

	if (lane->served_us == 0)
		return 0;
	return since_us > lane->gap_us ? since_us : lane->gap_us;
}

uint32_t
queue_count(const struct queue *queue)
{
	return queue->count;
}

/* Returns how many requests of a workspace wait. */
uint32_t
queue_waiting(const struct queue *queue, uint16_t workspace)
{
	return queue->lanes[workspace].count;
}

/*
 * Returns how many waiting requests will be served before one that a workspace
 * adds now: all of better priority, and of its own priority what fits the
 * weights until its own waiting ones are through.
 */
uint32_t
queue_ahead(const struct queue *queue, uint16_t workspace)
{
	const struct queue_lane *own = &queue->lanes[workspace];
	const struct queue_lane *lane;
	uint64_t ahead = own->count;
	uint64_t share;
	uint16_t i;

	if (queue->count == 0)
		return 0;
	for (i = 0; i < queue->lane_count; i++) {
		lane = &queue->lanes[i];
		if (i == workspace || lane->count == 0 ||
		    lane->priority > own->priority)
			continue;
		share = (uint64_t)(own->count + 1) * lane->weight / own->weight;
		if (lane->priority < own->priority || share > lane->count)
			share = lane->count;
		ahead += share;
	}
	return ahead > UINT32_MAX ? UINT32_MAX : (uint32_t)ahead;
}

/*
 * Returns the youngest waiting request that has to make place for one of the
 * given workspace when the table is full: from the worst priority, then from
 * the longest lane for its weight.  QUEUE_NONE: the newcomer has to go.
 */
int64_t
queue_victim(const struct queue *queue, uint16_t workspace)
{
	const struct queue_lane *own = &queue->lanes[workspace];
	const struct queue_lane *worst = NULL;
	const struct queue_lane *lane;
	uint16_t i;

	for (i = 0; i < queue->lane_count; i++) {
		lane = &queue->lanes[i];
		if (lane->count == 0)
			continue;
		if (worst == NULL || lane->priority > worst->priority ||
		    (lane->priority == worst->priority &&
			(uint64_t)lane->count * worst->weight >
			    (uint64_t)worst->count * lane->weight))
			worst = lane;
	}
	if (worst == NULL || worst == own || worst->priority < own->priority)
		return QUEUE_NONE;
	if (worst->priority == own->priority &&
	    (uint64_t)worst->count * own->weight <=
		(uint64_t)(own->count + 1) * worst->weight)
		return QUEUE_NONE;
	return worst->tail;
}

/* Starts a walk over the waiting requests. */
void
queue_turn_start(struct queue *queue)
{
	uint16_t i;

	for (i = 0; i < queue->lane_count; i++) {
		queue->lanes[i].seen = 0;
		queue->lanes[i].cursor = queue->lanes[i].head;
	}
}

/* Returns the next request of the walk, or QUEUE_NONE at its end. */
int64_t
queue_turn_next(struct queue *queue)
{
	struct queue_lane *best = NULL;
	struct queue_lane *lane;
	uint32_t slot;
	uint16_t i;

	for (i = 0; i < queue->lane_count; i++) {
		lane = &queue->lanes[i];
		if (lane->count == 0 || lane->cursor == QUEUE_END ||
		    lane->seen >= QUEUE_LOOK_AHEAD)
			continue;
		if (best == NULL || lane->priority < best->priority ||
		    (lane->priority == best->priority &&
			lane->served < best->served))
			best = lane;
	}
	if (best == NULL)
		return QUEUE_NONE;
	slot = best->cursor;
	best->seen++;
	best->cursor = queue->links[slot].next;
	return slot;
}
