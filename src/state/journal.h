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
 *	jnl_open(&options, &jn, &why);
 *	while ((e = jnl_next_record(jn, &record)) > 0)
 *		replay(&record);	snapshot records come first
 *	jnl_start(jn);
 *	seq = jnl_append(jn, kind, bytes, len);
 *	...jnl_fd(jn) becomes readable...
 *	if (jnl_poll(jn, &durable) == 0 && durable >= seq)
 *		acknowledge();
 *
 * A failed write or sync of records is final: from then on jnl_poll() returns
 * ERR_DISK and the durable sequence number no longer changes.  A snapshot that
 * can't be written is counted and dropped; the records before it stay, and the
 * next snapshot is due when as many have followed.  Files: segments
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
	JNL_FORMAT_VERSION = 1,
	JNL_RECORD_MAX_BYTES = 64 * 1024 * 1024,
	/* Record kinds: each module owns 256 of them from its base. */
	JNL_KIND_RLOG = 0x0100,
	JNL_KIND_CFGSTORE = 0x0200,
	JNL_KIND_CLAIMS = 0x0300,
	JNL_KIND_BILLS = 0x0400,
	JNL_KIND_MEMBER = 0x0500,
	JNL_KIND_LEASES = 0x0600,
	JNL_KIND_CFGDIST = 0x0700,
	JNL_KIND_FAREWELL = 0x0800
};

/*
 * The file operations that change a data folder.  They return 0 (pwrite: the
 * bytes written) or a negative errno value.  Tests substitute a failing disk.
 */
struct jnl_files;

struct jnl_file_ops {
	int (*open)(struct jnl_files *files, const char *path, int flags);
	int (*close)(struct jnl_files *files, int fd);
	ssize_t (*pwrite)(struct jnl_files *files, int fd, const void *data,
	    size_t len, off_t offset);
	int (*fsync)(struct jnl_files *files, int fd);
	int (*rename)(
	    struct jnl_files *files, const char *from, const char *to);
	int (*unlink)(struct jnl_files *files, const char *path);
	int (*syncdir)(struct jnl_files *files, const char *path);
};

struct jnl_files {
	const struct jnl_file_ops *ops;
};

/* Operations on the real file system. */
struct jnl_files *jnl_files_system(void);

struct jnl_options {
	const struct alloc *alloc; /* NULL: the C library's */
	const char *folder; /* created if missing */
	struct jnl_files *files; /* NULL: the real file system */
	uint64_t snapshot_min_bytes; /* 0: 1 MB; see jnl_snapshot_due() */
	/* Tests only: reports records as durable without syncing. */
	bool unsafe_skip_sync;
};

/* One record during replay; data is valid until the next jnl_next_record(). */
struct jnl_record {
	uint64_t seq; /* 0: from the snapshot */
	uint16_t kind;
	const uint8_t *data;
	size_t len;
};

/* One part of a snapshot: a module's image, or a part of that image. */
struct jnl_image {
	uint16_t kind;
	const void *data;
	size_t len;
};

struct jnl_stats {
	uint64_t appended_seq;
	uint64_t durable_seq;
	uint64_t syncs;
	uint64_t bytes_written;
	uint64_t torn_bytes; /* truncated from the tail at start */
	uint64_t replay_bytes; /* read by jnl_open() and jnl_next_record() */
	uint64_t snapshot_seq;
	uint64_t snapshot_bytes;
	uint64_t segment_bytes; /* written since the last try of a snapshot */
	uint64_t snapshot_failures; /* since jnl_start() */
	bool snapshot_queued;
	int error; /* 0, or ERR_DISK after the first failure */
};

struct jnl;

int jnl_open(
    const struct jnl_options *options, struct jnl **jnl_out, struct buf *why);
int jnl_next_record(struct jnl *jnl, struct jnl_record *record);
const char *jnl_error_text(const struct jnl *jnl);
int jnl_start(struct jnl *jnl);
uint64_t jnl_append(
    struct jnl *jnl, uint16_t kind, const void *data, size_t len);
int jnl_fd(const struct jnl *jnl);
int jnl_poll(struct jnl *jnl, uint64_t *durable_seq);
int jnl_wait(struct jnl *jnl, uint64_t seq, uint32_t timeout_ms);
bool jnl_snapshot_due(const struct jnl *jnl);
int jnl_queue_snapshot(
    struct jnl *jnl, const struct jnl_image *images, size_t count);
void jnl_stats(struct jnl *jnl, struct jnl_stats *stats);
void jnl_close(struct jnl *jnl);

/* journal_probe.c: does a folder that failed take writes again? */
int jnl_probe(const struct jnl_options *options);

/* Read-only inspection of a folder, for the operator's tool. */
int jnl_check(const char *folder, struct buf *report);
int jnl_dump(const char *folder, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
