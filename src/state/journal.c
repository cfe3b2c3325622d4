#include "state/journal.h"

#include <apr_general.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "state/journal_format.h"
#include "state/journal_reader.h"
#include "state/snapshot.h"
#include "state/syncer.h"

enum {
	SNAPSHOT_MIN_BYTES = 1024 * 1024,
	FOLDER_MODE = 0700,
	LOCK_MODE = 0600
};

struct jnl {
	struct jnl_options options;
	char *folder;
	int lock_fd;
	struct jreader reader;
	bool replayed;
	struct syncer *sync_thread;
	struct jnl_stats replay_stats;
};

static int
set_error(struct buf *why, const char *path, const char *text)
{
	buf_addf(why, "%s: %s", path, text);
	return ERR_DISK;
}

/*
 * Locks the data folder for this process.  Two writers would each truncate the
 * other's tail.  Returns 0 or ERR_DISK.
 */
static int
lock_folder(struct jnl *jnl, struct buf *why)
{
	char path[JREADER_PATH_BYTES];

	if (mkdir(jnl->folder, FOLDER_MODE) != 0 && errno != EEXIST)
		return set_error(why, jnl->folder, strerror(errno));
	(void)snprintf(path, sizeof(path), "%s/lock", jnl->folder);
	jnl->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, LOCK_MODE);
	if (jnl->lock_fd < 0)
		return set_error(why, path, strerror(errno));
	if (flock(jnl->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return set_error(why, path, "another process has the folder");
	return 0;
}

/*
 * Locks a data folder and opens it for replay.  Returns 0, ERR_DISK,
 * ERR_CORRUPT or ERR_VERSION; on an error the reason is appended to why and
 * *jnl_out is NULL.
 */
int
jnl_open(
    const struct jnl_options *options, struct jnl **jnl_out, struct buf *why)
{
	const struct alloc *alloc;
	struct jnl *jnl;
	int e;

	*jnl_out = NULL;
	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	if (apr_initialize() != APR_SUCCESS)
		return ERR_INTERNAL;
	jnl = alloc_zero(alloc, 1, sizeof(*jnl));
	jnl->options = *options;
	jnl->options.alloc = alloc;
	if (jnl->options.files == NULL)
		jnl->options.files = jnl_files_system();
	if (jnl->options.snapshot_min_bytes == 0)
		jnl->options.snapshot_min_bytes = SNAPSHOT_MIN_BYTES;
	jnl->folder = alloc_strdup(alloc, options->folder);
	jnl->lock_fd = -1;
	jnl->reader.alloc = alloc;
	e = lock_folder(jnl, why);
	if (e == 0) {
		e = jreader_open(&jnl->reader, alloc, jnl->folder);
		if (e != 0)
			buf_adds(why, buf_text(&jnl->reader.why));
	}
	if (e != 0) {
		jnl_close(jnl);
		return e;
	}
	*jnl_out = jnl;
	return 0;
}

/*
 * Reads the next record of the replay.  Returns 1, 0 at the end, or an error
 * whose text jnl_error_text() returns.
 */
int
jnl_next_record(struct jnl *jnl, struct jnl_record *record)
{
	int e = jreader_next(&jnl->reader, record);

	if (e == 0)
		jnl->replayed = true;
	return e;
}

/*
 * Returns the file, offset and reason of the last error of jnl_next_record().
 */
const char *
jnl_error_text(const struct jnl *jnl)
{
	return buf_text(&jnl->reader.why);
}

/*
 * Rewrites the last segment without its torn tail.  The segment is copied to a
 * new file instead of being synced in place: after a failed sync the kernel
 * may serve pages that are not on the disk and mark them clean.
 */
static int
rewrite_segment(struct jnl *jnl, uint64_t *first_seq, uint64_t *bytes)
{
	struct jreader *jreader = &jnl->reader;
	struct jformat_record mark = {JFORMAT_KIND_MARK, jreader->next_seq - 1,
	    jreader->next_seq - 1, NULL, 0};
	char path[JREADER_PATH_BYTES];

	if (jreader->segment_count == 0 || jreader->file.len == 0) {
		buf_clear(&jreader->file);
		*first_seq = jreader->next_seq;
		jformat_encode_header(
		    &jreader->file, JFORMAT_SEGMENT, *first_seq);
	} else {
		*first_seq = jreader->segments[jreader->current].first_seq;
	}
	jformat_encode_record(&jreader->file, &mark);
	*bytes = jreader->file.len;
	jreader_segment_path(path, jnl->folder, *first_seq);
	return snapshot_write_file(jnl->options.files, jnl->folder, path,
	    jreader->file.data, jreader->file.len);
}

/* Removes temporary files left by a crash. */
static void
remove_temporary(struct jnl *jnl)
{
	struct jnl_files *files = jnl->options.files;
	char path[JREADER_PATH_BYTES];
	struct dirent *entry;
	const char *dot;
	DIR *dir;

	dir = opendir(jnl->folder);
	if (dir == NULL)
		return;
	while ((entry = readdir(dir)) != NULL) {
		dot = strrchr(entry->d_name, '.');
		if (dot == NULL || strcmp(dot, ".tmp") != 0)
			continue;
		(void)snprintf(
		    path, sizeof(path), "%s/%s", jnl->folder, entry->d_name);
		(void)files->ops->unlink(files, path);
	}
	(void)closedir(dir);
}

/* Removes segments and older snapshots that the newest snapshot covers. */
static void
remove_stale(struct jnl *jnl)
{
	struct jnl_files *files = jnl->options.files;
	struct jreader *jreader = &jnl->reader;
	char path[JREADER_PATH_BYTES];
	size_t i;

	for (i = 0; i < jreader->segment_count && jreader->segments[i].stale;
	     i++) {
		jreader_segment_path(
		    path, jnl->folder, jreader->segments[i].first_seq);
		(void)files->ops->unlink(files, path);
	}
	for (i = 0; i < jreader->old_snapshot_count; i++) {
		jreader_snapshot_path(
		    path, jnl->folder, jreader->old_snapshots[i]);
		(void)files->ops->unlink(files, path);
	}
}

/*
 * Ends the replay and starts the sync thread.  Records not yet read are read
 * and checked first.  Returns 0, ERR_DISK, ERR_INTERNAL if the thread cannot
 * start, or an error of jnl_next_record().
 */
int
jnl_start(struct jnl *jnl)
{
	struct syncer_options options = {0};
	struct jreader *jreader = &jnl->reader;
	struct jnl_record record;
	char path[JREADER_PATH_BYTES];
	uint64_t *older;
	size_t i;
	int e;

	while (!jnl->replayed)
		if ((e = jnl_next_record(jnl, &record)) < 0)
			return e;
	/* The copy of the segment may need their space. */
	remove_temporary(jnl);
	e = rewrite_segment(jnl, &options.first_seq, &options.segment_bytes);
	if (e != 0)
		return e;
	/* Last, as only now the name of the snapshot is durable for sure. */
	remove_stale(jnl);
	jreader_segment_path(path, jnl->folder, options.first_seq);
	options.fd =
	    jnl->options.files->ops->open(jnl->options.files, path, O_RDWR);
	if (options.fd < 0)
		return ERR_DISK;
	older = alloc_zero(
	    jnl->options.alloc, jreader->segment_count + 1, sizeof(*older));
	for (i = 0; i < jreader->current; i++)
		if (!jreader->segments[i].stale)
			older[options.older_count++] =
			    jreader->segments[i].first_seq;
	options.older_seqs = older;
	options.alloc = jnl->options.alloc;
	options.folder = jnl->folder;
	options.files = jnl->options.files;
	options.unsafe_skip_sync = jnl->options.unsafe_skip_sync;
	options.last_seq = jreader->next_seq - 1;
	options.snapshot_seq = jreader->snapshot_seq;
	options.has_snapshot = jreader->has_snapshot;
	options.snapshot_bytes = jreader->snapshot_bytes;
	jnl->replay_stats.torn_bytes = jreader->torn_bytes;
	jnl->replay_stats.replay_bytes = jreader->read_bytes;
	buf_free(&jreader->file);
	jnl->sync_thread = syncer_new(&options);
	alloc_free(jnl->options.alloc, older);
	if (jnl->sync_thread != NULL)
		return 0;
	(void)jnl->options.files->ops->close(jnl->options.files, options.fd);
	return ERR_INTERNAL;
}

/*
 * Queues a record and returns its sequence number.  The bytes are copied.  The
 * record is durable once jnl_poll() reports this number or a higher one.
 */
uint64_t
jnl_append(struct jnl *jnl, uint16_t kind, const void *data, size_t len)
{
	return syncer_append(jnl->sync_thread, kind, data, len);
}

/* Returns a descriptor that becomes readable when jnl_poll() has a result. */
int
jnl_fd(const struct jnl *jnl)
{
	return syncer_fd(jnl->sync_thread);
}

/*
 * Reads the highest durable sequence number.  Returns 0, or ERR_DISK after a
 * write or sync has failed; the number no longer changes then.
 */
int
jnl_poll(struct jnl *jnl, uint64_t *durable_seq)
{
	return syncer_poll(jnl->sync_thread, durable_seq);
}

/* Blocks until a record is durable: 0, ERR_DISK or ERR_TIMEOUT. */
int
jnl_wait(struct jnl *jnl, uint64_t seq, uint32_t timeout_ms)
{
	return syncer_wait(jnl->sync_thread, seq, timeout_ms);
}

/*
 * Returns whether a new snapshot is due: the records since the last one, or
 * since the last try, take more than twice its size.  Unless snapshots fail,
 * this bounds what a restart reads to a constant factor of the state.
 */
bool
jnl_snapshot_due(const struct jnl *jnl)
{
	struct jnl_stats stats;

	syncer_stats(jnl->sync_thread, &stats);
	return !stats.snapshot_queued &&
	       stats.segment_bytes > jnl->options.snapshot_min_bytes &&
	       stats.segment_bytes > 2 * stats.snapshot_bytes;
}

/*
 * Queues a snapshot that replaces every record appended so far.  The images
 * must contain the effect of exactly those records.  Records appended later
 * follow the snapshot.  Returns 0, or ERR_DISK after a disk error.
 */
int
jnl_queue_snapshot(
    struct jnl *jnl, const struct jnl_image *images, size_t count)
{
	return syncer_snapshot(jnl->sync_thread, images, count);
}

void
jnl_stats(struct jnl *jnl, struct jnl_stats *stats)
{
	memset(stats, 0, sizeof(*stats));
	if (jnl->sync_thread != NULL)
		syncer_stats(jnl->sync_thread, stats);
	stats->torn_bytes = jnl->replay_stats.torn_bytes;
	stats->replay_bytes = jnl->replay_stats.replay_bytes;
}

/* Writes the queued records, ends the sync thread and unlocks the folder. */
void
jnl_close(struct jnl *jnl)
{
	const struct alloc *alloc = jnl->options.alloc;

	if (jnl->sync_thread != NULL)
		syncer_free(jnl->sync_thread);
	jreader_close(&jnl->reader);
	if (jnl->lock_fd >= 0)
		(void)close(jnl->lock_fd);
	alloc_free(alloc, jnl->folder);
	alloc_free(alloc, jnl);
	apr_terminate();
}
