#ifndef CF_JOURNAL_READER_H
#define CF_JOURNAL_READER_H

/*
 * Reads a data folder in order: the newest snapshot, then the records after
 * it.  Changes nothing on the disk; jnl_open(), jnl_check() and jnl_dump() all
 * read through it.
 */

#include "state/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JR_PATH_BYTES = 4096
};

struct jr_segment {
	uint64_t first_seq;
	bool stale; /* covered by the snapshot */
};

struct jr {
	const struct alloc *alloc;
	const char *folder;
	struct jr_segment *segments; /* by first_seq */
	size_t segment_count;
	uint64_t snapshot_seq;
	bool has_snapshot;
	uint64_t *old_snapshots; /* older ones still lying about */
	size_t old_snapshot_count;

	/* the file being read */
	struct buf file;
	char path[JR_PATH_BYTES];
	size_t current; /* segment index */
	bool in_snapshot;
	bool open;
	size_t offset;
	size_t record_offset; /* of the record returned last */
	uint64_t next_seq;

	uint64_t read_bytes;
	uint64_t snapshot_bytes;
	uint64_t torn_bytes;
	struct buf why;
};

int jr_open(struct jr *jr, const struct alloc *alloc, const char *folder);
int jr_next(struct jr *jr, struct jnl_record *record);
void jr_close(struct jr *jr);
void jr_segment_path(char *path, const char *folder, uint64_t first_seq);
void jr_snapshot_path(char *path, const char *folder, uint64_t seq);

#ifdef __cplusplus
}
#endif

#endif
