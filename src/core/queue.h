#ifndef CF_QUEUE_H
#define CF_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Requests that wait for room, in weighted fair order.  Workspaces of a lower
 * priority number go first; within one priority the workspace that has been
 * served least for its weight does (start-time fair queueing).  Requests of
 * one workspace keep their order of arrival.
 */
enum {
	QUEUE_NONE = -1,
	QUEUE_COST_SCALE = 1024 /* virtual time of one unit at weight 1 */
};

struct queue;

struct queue *queue_new(const struct alloc *alloc, uint32_t slots);
void queue_free(struct queue *queue);
void queue_configure(struct queue *queue, const struct cfg *cfg);
void queue_push(struct queue *queue, uint16_t workspace, uint32_t slot);
void queue_remove(struct queue *queue, uint32_t slot);
void queue_charge(struct queue *queue, uint16_t workspace, uint32_t cost);
void queue_record_service(
    struct queue *queue, uint16_t workspace, int64_t now_us);
int64_t queue_interval_us(
    const struct queue *queue, uint16_t workspace, int64_t now_us);
uint32_t queue_count(const struct queue *queue);
uint32_t queue_waiting(const struct queue *queue, uint16_t workspace);
uint32_t queue_ahead(const struct queue *queue, uint16_t workspace);
int64_t queue_victim(const struct queue *queue, uint16_t workspace);

/*
 * A walk in fair order.  After queue_scan_start(), queue_scan_next() returns
 * the next request to look at; one that was taken out with queue_remove()
 * since then lets its workspace have another turn.
 */
void queue_scan_start(struct queue *queue);
int64_t queue_scan_next(struct queue *queue);

#ifdef __cplusplus
}
#endif

#endif
