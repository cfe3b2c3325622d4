#ifndef CF_SYNCER_H
#define CF_SYNCER_H

/*
 * The thread that writes and syncs a data folder.  Work items are executed in
 * order: groups of records for the current segment, and snapshots, which start
 * a new segment.  Records queued during a sync form the next group.
 */

#include "state/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

struct syncer_options {
	const struct alloc *alloc;
	const char *folder;
	struct jnl_files *files;
	bool unsafe_skip_sync;
	int fd; /* of the current segment; the syncer closes it */
	uint64_t first_seq; /* of that segment */
	/* of the segments before it that the snapshot does not cover */
	const uint64_t *older_seqs;
	size_t older_count;
	uint64_t segment_bytes; /* already in that segment */
	uint64_t last_seq; /* last durable record */
	uint64_t snapshot_seq;
	bool has_snapshot;
	uint64_t snapshot_bytes;
};

struct syncer;

struct syncer *syncer_new(const struct syncer_options *options);
uint64_t syncer_append(
    struct syncer *syncer, uint16_t kind, const void *data, size_t len);
int syncer_snapshot(
    struct syncer *syncer, const struct jnl_image *images, size_t count);
int syncer_fd(const struct syncer *syncer);
int syncer_poll(struct syncer *syncer, uint64_t *durable_seq);
int syncer_wait(struct syncer *syncer, uint64_t seq, uint32_t timeout_ms);
void syncer_stats(struct syncer *syncer, struct jnl_stats *stats);
void syncer_free(struct syncer *syncer);

#ifdef __cplusplus
}
#endif

#endif
