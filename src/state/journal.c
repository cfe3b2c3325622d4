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
	struct jr reader;
	bool replayed;
	struct sy *syncer;
	struct jnl_stats replay_stats;
};

static int
explain(struct buf *why, const char *path, const char *text)
{
	buf_addf(why, "%s: %s", path, text);
	return ERR_DISK;
}

/* One process a folder: two writers would each cut the other's tail. */
static int
lock_folder(struct jnl *jnl, struct buf *why)
{
	char path[JR_PATH_BYTES];

	if (mkdir(jnl->folder, FOLDER_MODE) != 0 && errno != EEXIST)
		return explain(why, jnl->folder, strerror(errno));
	(void)snprintf(path, sizeof(path), "%s/lock", jnl->folder);
	jnl->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, LOCK_MODE);
	if (jnl->lock_fd < 0)
		return explain(why, path, strerror(errno));
	if (flock(jnl->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return explain(why, path, "another process has the folder");
	return 0;
}

/*
 * Opens a data folder for replay and keeps others out of it.  Returns 0,
 * ERR_DISK, ERR_CORRUPT or ERR_VERSION; the reason goes into why, and *jnl_out
 * is NULL on an error.
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
		e = jr_open(&jnl->reader, alloc, jnl->folder);
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
 * Brings the next record of the replay.  Returns 1, 0 at the end, or an error
 * that jnl_error_text() explains.
 */
int
jnl_next_record(struct jnl *jnl, struct jnl_record *record)
{
	int e = jr_next(&jnl->reader, record);

	if (e == 0)
		jnl->replayed = true;
	return e;
}

/* Returns the file, offset and reason of the last error of jnl_next_record().
 */
const char *
jnl_error_text(const struct jnl *jnl)
{
	return buf_text(&jnl->reader.why);
}

/*
 * Puts the last segment back without its torn tail.  It is copied, not synced
 * in place: after a failed sync the system may show bytes that are not on the
 * disk and call them clean.
 */
static int
rewrite_segment(struct jnl *jnl, uint64_t *first_seq, uint64_t *bytes)
{
	struct jr *jr = &jnl->reader;
	struct jf_record mark = {
	    JF_KIND_MARK, jr->next_seq - 1, jr->next_seq - 1, NULL, 0};
	char path[JR_PATH_BYTES];

	if (jr->segment_count == 0 || jr->file.len == 0) {
		buf_clear(&jr->file);
		*first_seq = jr->next_seq;
		jf_header_put(&jr->file, JF_SEGMENT, *first_seq);
	} else {
		*first_seq = jr->segments[jr->current].first_seq;
	}
	jf_record_put(&jr->file, &mark);
	*bytes = jr->file.len;
	jr_segment_path(path, jnl->folder, *first_seq);
	return sn_write_file(
	    jnl->options.files, jnl->folder, path, jr->file.data, jr->file.len);
}

/* Removes files that a crash left under a temporary name. */
static void
remove_temporary(struct jnl *jnl)
{
	struct jnl_files *files = jnl->options.files;
	char path[JR_PATH_BYTES];
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

static void
remove_stale(struct jnl *jnl)
{
	struct jnl_files *files = jnl->options.files;
	struct jr *jr = &jnl->reader;
	char path[JR_PATH_BYTES];
	size_t i;

	for (i = 0; i < jr->segment_count && jr->segments[i].stale; i++) {
		jr_segment_path(path, jnl->folder, jr->segments[i].first_seq);
		(void)files->ops->unlink(files, path);
	}
	for (i = 0; i < jr->old_snapshot_count; i++) {
		jr_snapshot_path(path, jnl->folder, jr->old_snapshots[i]);
		(void)files->ops->unlink(files, path);
	}
}

/*
 * Ends the replay and starts the sync thread; the rest of the replay is read
 * and checked first.  Returns 0, ERR_DISK, or an error as jnl_next_record().
 */
int
jnl_start(struct jnl *jnl)
{
	struct sy_options options = {0};
	struct jr *jr = &jnl->reader;
	struct jnl_record record;
	char path[JR_PATH_BYTES];
	int e;

	while (!jnl->replayed)
		if ((e = jnl_next_record(jnl, &record)) < 0)
			return e;
	e = rewrite_segment(jnl, &options.first_seq, &options.segment_bytes);
	if (e != 0)
		return e;
	remove_stale(jnl);
	remove_temporary(jnl);
	jr_segment_path(path, jnl->folder, options.first_seq);
	options.fd =
	    jnl->options.files->ops->open(jnl->options.files, path, O_RDWR);
	if (options.fd < 0)
		return ERR_DISK;
	options.alloc = jnl->options.alloc;
	options.folder = jnl->folder;
	options.files = jnl->options.files;
	options.unsafe_skip_sync = jnl->options.unsafe_skip_sync;
	options.last_seq = jr->next_seq - 1;
	options.snapshot_seq = jr->snapshot_seq;
	options.has_snapshot = jr->has_snapshot;
	options.snapshot_bytes = jr->snapshot_bytes;
	jnl->replay_stats.torn_bytes = jr->torn_bytes;
	jnl->replay_stats.replay_bytes = jr->read_bytes;
	buf_free(&jr->file);
	jnl->syncer = sy_new(&options);
	return jnl->syncer != NULL ? 0 : ERR_INTERNAL;
}

/*
 * Queues a record and returns its sequence number.  The bytes are copied.  It
 * is durable once jnl_poll() reports a number as high.
 */
uint64_t
jnl_append(struct jnl *jnl, uint16_t kind, const void *data, size_t len)
{
	return sy_append(jnl->syncer, kind, data, len);
}

/* Returns a descriptor that turns readable when jnl_poll() has news. */
int
jnl_fd(const struct jnl *jnl)
{
	return sy_fd(jnl->syncer);
}

/*
 * Brings the highest durable sequence number.  Returns 0, or ERR_DISK once the
 * journal is lost; the number then stands still.
 */
int
jnl_poll(struct jnl *jnl, uint64_t *durable_seq)
{
	return sy_poll(jnl->syncer, durable_seq);
}

/* Blocks until a record is durable: 0, ERR_DISK or ERR_TIMEOUT. */
int
jnl_wait(struct jnl *jnl, uint64_t seq, uint32_t timeout_ms)
{
	return sy_wait(jnl->syncer, seq, timeout_ms);
}

/*
 * Tells whether the records since the snapshot outweigh it, so that what a
 * restart reads stays within a constant factor of the state.
 */
bool
jnl_snapshot_due(const struct jnl *jnl)
{
	struct jnl_stats stats;

	sy_stats(jnl->syncer, &stats);
	return !stats.snapshot_queued &&
	       stats.segment_bytes > jnl->options.snapshot_min_bytes &&
	       stats.segment_bytes > 2 * stats.snapshot_bytes;
}

/*
 * Queues a snapshot that replaces every record appended so far; the images
 * must stand for exactly those.  Records appended later follow it.
 */
int
jnl_queue_snapshot(
    struct jnl *jnl, const struct jnl_image *images, size_t count)
{
	return sy_snapshot(jnl->syncer, images, count);
}

/* Copies the counters. */
void
jnl_stats(struct jnl *jnl, struct jnl_stats *stats)
{
	memset(stats, 0, sizeof(*stats));
	if (jnl->syncer != NULL)
		sy_stats(jnl->syncer, stats);
	stats->torn_bytes = jnl->replay_stats.torn_bytes;
	stats->replay_bytes = jnl->replay_stats.replay_bytes;
}

/* Writes what is queued and gives the folder back. */
void
jnl_close(struct jnl *jnl)
{
	const struct alloc *alloc = jnl->options.alloc;

	if (jnl->syncer != NULL)
		sy_free(jnl->syncer);
	jr_close(&jnl->reader);
	if (jnl->lock_fd >= 0)
		(void)close(jnl->lock_fd);
	alloc_free(alloc, jnl->folder);
	alloc_free(alloc, jnl);
	apr_terminate();
}
