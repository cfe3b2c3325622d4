#ifndef CF_JOURNAL_READER_H
#define CF_JOURNAL_READER_H

/*
 * Reads a data folder in order: the newest snapshot, then the records after
 * it.  It never changes the disk.  jnl_open(), jnl_check() and jnl_dump() all
 * use it.
 */

#include "state/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JREADER_PATH_BYTES = 4096
};

struct jreader_segment {
	uint64_t first_seq;
	bool stale; /* covered by the snapshot */
};

struct jreader {
	const struct alloc *alloc;
	const char *folder;
	struct jreader_segment *segments; /* by first_seq */
	size_t segment_count;
	uint64_t snapshot_seq;
	bool has_snapshot;
	uint64_t *old_snapshots; /* older than snapshot_seq, not yet removed */
	size_t old_snapshot_count;

	/* The file being read. */
	struct buf file;
	char path[JREADER_PATH_BYTES];
	size_t current; /* index into segments */
	bool in_snapshot;
	bool open; /* the current file is loaded */
	size_t offset;
	size_t record_offset; /* of the record returned last */
	uint64_t next_seq;

	uint64_t read_bytes;
	uint64_t snapshot_bytes;
	uint64_t torn_bytes;
	struct buf why; /* text of the last error */
};

int jreader_open(
    struct jreader *jreader, const struct alloc *alloc, const char *folder);
int jreader_next(struct jreader *jreader, struct jnl_record *record);
void jreader_close(struct jreader *jreader);
void jreader_segment_path(char *path, const char *folder, uint64_t first_seq);
void jreader_snapshot_path(char *path, const char *folder, uint64_t seq);

#ifdef __cplusplus
}
#endif

#endif
