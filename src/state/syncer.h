#ifndef CF_SYNCER_H
#define CF_SYNCER_H

/*
 * The thread that writes and syncs a data folder.  Work is queued in order:
 * groups of records for the current segment, and snapshots that start a new
 * one.  Everything queued while a sync runs goes into the next group.
 */

#include "state/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

struct sy_options {
	const struct alloc *alloc;
	const char *folder;
	struct jnl_files *files;
	bool unsafe_skip_sync;
	int fd; /* the current segment; the syncer closes it */
	uint64_t first_seq; /* of that segment */
	uint64_t segment_bytes; /* already in it */
	uint64_t last_seq; /* durable */
	uint64_t snapshot_seq;
	bool has_snapshot;
	uint64_t snapshot_bytes;
};

struct sy;

struct sy *sy_new(const struct sy_options *options);
uint64_t sy_append(struct sy *sy, uint16_t kind, const void *data, size_t len);
int sy_snapshot(struct sy *sy, const struct jnl_image *images, size_t count);
int sy_fd(const struct sy *sy);
int sy_poll(struct sy *sy, uint64_t *durable_seq);
int sy_wait(struct sy *sy, uint64_t seq, uint32_t timeout_ms);
void sy_stats(struct sy *sy, struct jnl_stats *stats);
void sy_free(struct sy *sy);

#ifdef __cplusplus
}
#endif

#endif
