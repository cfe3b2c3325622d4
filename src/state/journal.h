#ifndef CF_JOURNAL_H
#define CF_JOURNAL_H

/*
 * The journal of one data folder, shared by every state module of the process.
 *
 * A module appends records (a kind and bytes); one thread writes and syncs
 * them in groups and reports the highest durable sequence number.  The effect
 * of a record must not be visible outside the process before its sequence
 * number is durable.
 *
 *	jn_open(&options, &jn, &why);
 *	while ((e = jn_next(jn, &record)) > 0)
 *		replay(&record);	snapshot records come first
 *	jn_start(jn);
 *	seq = jn_append(jn, kind, bytes, len);
 *	...jn_fd(jn) becomes readable...
 *	if (jn_poll(jn, &durable) == 0 && durable >= seq)
 *		acknowledge();
 *
 * A failed write or sync is final: from then on jn_poll() returns ERR_DISK and
 * the durable sequence number no longer changes.  Files: segments
 * "journal-SEQ.log" and snapshots "snapshot-SEQ.img".  A torn tail, which was
 * never durable, is truncated; damage to durable records is an error.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/buf.h"
#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	JN_FORMAT_VERSION = 1,
	JN_RECORD_MAX_BYTES = 64 * 1024 * 1024,
	/* Record kinds: each module owns 256 of them from its base. */
	JN_KIND_RLOG = 0x0100,
	JN_KIND_CFGSTORE = 0x0200,
	JN_KIND_CLAIMS = 0x0300,
	JN_KIND_BILLS = 0x0400,
	JN_KIND_MEMBER = 0x0500,
	JN_KIND_LEASES = 0x0600,
	JN_KIND_CFGDIST = 0x0700
};

/*
 * The file operations that change a data folder.  They return 0 (pwrite: the
 * bytes written) or a negative errno value.  Tests substitute a failing disk.
 */
struct jn_files;

struct jn_file_ops {
	int (*open)(struct jn_files *files, const char *path, int flags);
	int (*close)(struct jn_files *files, int fd);
	ssize_t (*pwrite)(struct jn_files *files, int fd, const void *data,
	    size_t len, off_t offset);
	int (*fsync)(struct jn_files *files, int fd);
	int (*rename)(struct jn_files *files, const char *from, const char *to);
	int (*unlink)(struct jn_files *files, const char *path);
	int (*syncdir)(struct jn_files *files, const char *path);
};

struct jn_files {
	const struct jn_file_ops *ops;
};

/* Operations on the real file system. */
struct jn_files *jn_files_system(void);

struct jn_options {
	const struct alloc *alloc; /* NULL: the C library's */
	const char *folder; /* created if missing */
	struct jn_files *files; /* NULL: the real file system */
	uint64_t snapshot_min_bytes; /* 0: 1 MB; see jn_snapshot_due() */
	bool unsafe_skip_sync; /* tests only: reports records as durable
				  without syncing */
};

/* One record during replay; data is valid until the next jn_next(). */
struct jn_record {
	uint64_t seq; /* 0: from the snapshot */
	uint16_t kind;
	const uint8_t *data;
	size_t len;
};

/* One part of a snapshot: a module's image, or a part of that image. */
struct jn_image {
	uint16_t kind;
	const void *data;
	size_t len;
};

struct jn_stats {
	uint64_t appended_seq;
	uint64_t durable_seq;
	uint64_t syncs;
	uint64_t bytes_written;
	uint64_t torn_bytes; /* truncated from the tail at start */
	uint64_t replay_bytes; /* read by jn_open() and jn_next() */
	uint64_t snapshot_seq;
	uint64_t snapshot_bytes;
	uint64_t segment_bytes; /* written since the snapshot */
	bool snapshot_queued;
	int error; /* 0, or ERR_DISK after the first failure */
};

struct jn;

int jn_open(
    const struct jn_options *options, struct jn **jn_out, struct buf *why);
int jn_next(struct jn *jn, struct jn_record *record);
const char *jn_why(const struct jn *jn);
int jn_start(struct jn *jn);
uint64_t jn_append(struct jn *jn, uint16_t kind, const void *data, size_t len);
int jn_fd(const struct jn *jn);
int jn_poll(struct jn *jn, uint64_t *durable_seq);
int jn_wait(struct jn *jn, uint64_t seq, uint32_t timeout_ms);
bool jn_snapshot_due(const struct jn *jn);
int jn_snapshot(struct jn *jn, const struct jn_image *images, size_t count);
void jn_stats(struct jn *jn, struct jn_stats *stats);
void jn_close(struct jn *jn);

/* Read-only inspection of a folder, for the operator's tool. */
int jn_check(const char *folder, struct buf *report);
int jn_dump(const char *folder, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
