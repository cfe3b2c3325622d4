#ifndef CF_QUEUE_H
#define CF_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Queue of requests that wait for room, with strict priorities and start-time
 * fair queueing.  Each request belongs to a flow, such as a workspace.  Flows
 * with a lower priority number are served first; within one priority, the flow
 * that has been served least in proportion to its weight.  Requests of one flow
 * are served in order of arrival.  Both programs use it.
 */
enum {
	QUEUE_NONE = -1,
	QUEUE_NO_FLOW = 0xffff,
	QUEUE_COST_SCALE = 1024 /* virtual time per unit of cost at weight 1 */
};

struct queue;

struct queue *queue_new(const struct alloc *alloc, uint32_t slots);
struct queue *queue_copy(const struct queue *queue);
void queue_free(struct queue *queue);
void queue_reserve(struct queue *queue, uint32_t slots);
void queue_set_flow(
    struct queue *queue, uint16_t flow, uint16_t priority, uint32_t weight);
bool queue_flow_is_idle(const struct queue *queue, uint16_t flow);
void queue_push(struct queue *queue, uint16_t index, uint32_t slot);
void queue_remove(struct queue *queue, uint32_t slot);
void queue_charge(struct queue *queue, uint16_t index, uint32_t cost);
void queue_record_service(struct queue *queue, uint16_t index, int64_t now_us);
int64_t queue_interval_us(
    const struct queue *queue, uint16_t index, int64_t now_us);
uint32_t queue_count(const struct queue *queue);
uint32_t queue_waiting(const struct queue *queue, uint16_t index);
uint32_t queue_ahead(const struct queue *queue, uint16_t flow);
uint32_t queue_own_ahead(const struct queue *queue, uint32_t slot);
uint32_t queue_ahead_of(const struct queue *queue, uint32_t slot);
int64_t queue_victim(const struct queue *queue, uint16_t index);

/*
 * Scans the queue in the order of service.  After queue_scan_start(), each call
 * of queue_scan_next() returns the next request to consider.  A scan returns a
 * limited number of requests of each flow; those removed with
 * queue_remove() meanwhile do not count.
 */
void queue_scan_start(struct queue *queue);
int64_t queue_scan_next(struct queue *queue);

#ifdef __cplusplus
}
#endif

#endif
