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

struct jn {
	struct jn_options options;
	char *folder;
	int lock_fd;
	struct jreader reader;
	bool replayed;
	struct syncer *sync_thread;
	struct jn_stats replay_stats;
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
lock_folder(struct jn *jn, struct buf *why)
{
	char path[JREADER_PATH_BYTES];

	if (mkdir(jn->folder, FOLDER_MODE) != 0 && errno != EEXIST)
		return set_error(why, jn->folder, strerror(errno));
	(void)snprintf(path, sizeof(path), "%s/lock", jn->folder);
	jn->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, LOCK_MODE);
	if (jn->lock_fd < 0)
		return set_error(why, path, strerror(errno));
	if (flock(jn->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return set_error(why, path, "another process has the folder");
	return 0;
}

/*
 * Locks a data folder and opens it for replay.  Returns 0, ERR_DISK,
 * ERR_CORRUPT or ERR_VERSION; on an error the reason is appended to why and
 * *jn_out is NULL.
 */
int
jn_open(const struct jn_options *options, struct jn **jn_out, struct buf *why)
{
	const struct alloc *alloc;
	struct jn *jn;
	int e;

	*jn_out = NULL;
	alloc = options->alloc != NULL ? options->alloc : alloc_default();
	if (apr_initialize() != APR_SUCCESS)
		return ERR_INTERNAL;
	jn = alloc_zero(alloc, 1, sizeof(*jn));
	jn->options = *options;
	jn->options.alloc = alloc;
	if (jn->options.files == NULL)
		jn->options.files = jn_files_system();
	if (jn->options.snapshot_min_bytes == 0)
		jn->options.snapshot_min_bytes = SNAPSHOT_MIN_BYTES;
	jn->folder = alloc_strdup(alloc, options->folder);
	jn->lock_fd = -1;
	jn->reader.alloc = alloc;
	e = lock_folder(jn, why);
	if (e == 0) {
		e = jreader_open(&jn->reader, alloc, jn->folder);
		if (e != 0)
			buf_adds(why, buf_text(&jn->reader.why));
	}
	if (e != 0) {
		jn_close(jn);
		return e;
	}
	*jn_out = jn;
	return 0;
}

/*
 * Reads the next record of the replay.  Returns 1, 0 at the end, or an error
 * whose text jn_why() returns.
 */
int
jn_next(struct jn *jn, struct jn_record *record)
{
	int e = jreader_next(&jn->reader, record);

	if (e == 0)
		jn->replayed = true;
	return e;
}

/* Returns the file, offset and reason of the last error of jn_next(). */
const char *
jn_why(const struct jn *jn)
{
	return buf_text(&jn->reader.why);
}

/*
 * Rewrites the last segment without its torn tail.  The segment is copied to a
 * new file instead of being synced in place: after a failed sync the kernel
 * may serve pages that are not on the disk and mark them clean.
 */
static int
rewrite_segment(struct jn *jn, uint64_t *first_seq, uint64_t *bytes)
{
	struct jreader *jreader = &jn->reader;
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
	jreader_segment_path(path, jn->folder, *first_seq);
	return snapshot_write_file(jn->options.files, jn->folder, path,
	    jreader->file.data, jreader->file.len);
}

/* Removes temporary files left by a crash. */
static void
remove_temporary(struct jn *jn)
{
	struct jn_files *files = jn->options.files;
	char path[JREADER_PATH_BYTES];
	struct dirent *entry;
	const char *dot;
	DIR *dir;

	dir = opendir(jn->folder);
	if (dir == NULL)
		return;
	while ((entry = readdir(dir)) != NULL) {
		dot = strrchr(entry->d_name, '.');
		if (dot == NULL || strcmp(dot, ".tmp") != 0)
			continue;
		(void)snprintf(
		    path, sizeof(path), "%s/%s", jn->folder, entry->d_name);
		(void)files->ops->unlink(files, path);
	}
	(void)closedir(dir);
}

/* Removes segments and older snapshots that the newest snapshot covers. */
static void
remove_stale(struct jn *jn)
{
	struct jn_files *files = jn->options.files;
	struct jreader *jreader = &jn->reader;
	char path[JREADER_PATH_BYTES];
	size_t i;

	for (i = 0; i < jreader->segment_count && jreader->segments[i].stale;
	     i++) {
		jreader_segment_path(
		    path, jn->folder, jreader->segments[i].first_seq);
		(void)files->ops->unlink(files, path);
	}
	for (i = 0; i < jreader->old_snapshot_count; i++) {
		jreader_snapshot_path(
		    path, jn->folder, jreader->old_snapshots[i]);
		(void)files->ops->unlink(files, path);
	}
}

/*
 * Ends the replay and starts the sync thread.  Records not yet read are read
 * and checked first.  Returns 0, ERR_DISK, ERR_INTERNAL if the thread cannot
 * start, or an error of jn_next().
 */
int
jn_start(struct jn *jn)
{
	struct syncer_options options = {0};
	struct jreader *jreader = &jn->reader;
	struct jn_record record;
	char path[JREADER_PATH_BYTES];
	int e;

	while (!jn->replayed)
		if ((e = jn_next(jn, &record)) < 0)
			return e;
	e = rewrite_segment(jn, &options.first_seq, &options.segment_bytes);
	if (e != 0)
		return e;
	remove_stale(jn);
	remove_temporary(jn);
	jreader_segment_path(path, jn->folder, options.first_seq);
	options.fd =
	    jn->options.files->ops->open(jn->options.files, path, O_RDWR);
	if (options.fd < 0)
		return ERR_DISK;
	options.alloc = jn->options.alloc;
	options.folder = jn->folder;
	options.files = jn->options.files;
	options.unsafe_skip_sync = jn->options.unsafe_skip_sync;
	options.last_seq = jreader->next_seq - 1;
	options.snapshot_seq = jreader->snapshot_seq;
	options.has_snapshot = jreader->has_snapshot;
	options.snapshot_bytes = jreader->snapshot_bytes;
	jn->replay_stats.torn_bytes = jreader->torn_bytes;
	jn->replay_stats.replay_bytes = jreader->read_bytes;
	buf_free(&jreader->file);
	jn->sync_thread = syncer_new(&options);
	return jn->sync_thread != NULL ? 0 : ERR_INTERNAL;
}

/*
 * Queues a record and returns its sequence number.  The bytes are copied.  The
 * record is durable once jn_poll() reports this number or a higher one.
 */
uint64_t
jn_append(struct jn *jn, uint16_t kind, const void *data, size_t len)
{
	return syncer_append(jn->sync_thread, kind, data, len);
}

/* Returns a descriptor that becomes readable when jn_poll() has a result. */
int
jn_fd(const struct jn *jn)
{
	return syncer_fd(jn->sync_thread);
}

/*
 * Reads the highest durable sequence number.  Returns 0, or ERR_DISK after a
 * write or sync has failed; the number no longer changes then.
 */
int
jn_poll(struct jn *jn, uint64_t *durable_seq)
{
	return syncer_poll(jn->sync_thread, durable_seq);
}

/* Blocks until a record is durable: 0, ERR_DISK or ERR_TIMEOUT. */
int
jn_wait(struct jn *jn, uint64_t seq, uint32_t timeout_ms)
{
	return syncer_wait(jn->sync_thread, seq, timeout_ms);
}

/*
 * Returns whether a new snapshot is due: the records since the last one take
 * more than twice its size.  This bounds what a restart reads to a constant
 * factor of the state.
 */
bool
jn_snapshot_due(const struct jn *jn)
{
	struct jn_stats stats;

	syncer_stats(jn->sync_thread, &stats);
	return !stats.snapshot_queued &&
	       stats.segment_bytes > jn->options.snapshot_min_bytes &&
	       stats.segment_bytes > 2 * stats.snapshot_bytes;
}

/*
 * Queues a snapshot that replaces every record appended so far.  The images
 * must contain the effect of exactly those records.  Records appended later
 * follow the snapshot.  Returns 0, or ERR_DISK after a disk error.
 */
int
jn_snapshot(struct jn *jn, const struct jn_image *images, size_t count)
{
	return syncer_snapshot(jn->sync_thread, images, count);
}

void
jn_stats(struct jn *jn, struct jn_stats *stats)
{
	memset(stats, 0, sizeof(*stats));
	if (jn->sync_thread != NULL)
		syncer_stats(jn->sync_thread, stats);
	stats->torn_bytes = jn->replay_stats.torn_bytes;
	stats->replay_bytes = jn->replay_stats.replay_bytes;
}

/* Writes the queued records, ends the sync thread and unlocks the folder. */
void
jn_close(struct jn *jn)
{
	const struct alloc *alloc = jn->options.alloc;

	if (jn->sync_thread != NULL)
		syncer_free(jn->sync_thread);
	jreader_close(&jn->reader);
	if (jn->lock_fd >= 0)
		(void)close(jn->lock_fd);
	alloc_free(alloc, jn->folder);
	alloc_free(alloc, jn);
	apr_terminate();
}
