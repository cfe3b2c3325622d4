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
	struct jr reader;
	bool replayed;
	struct sy *syncer;
	struct jn_stats replay_stats;
};

static int
explain(struct buf *why, const char *path, const char *text)
{
	buf_addf(why, "%s: %s", path, text);
	return ERR_DISK;
}

/* One process a folder: two writers would each cut the other's tail. */
static int
lock_folder(struct jn *jn, struct buf *why)
{
	char path[JR_PATH_BYTES];

	if (mkdir(jn->folder, FOLDER_MODE) != 0 && errno != EEXIST)
		return explain(why, jn->folder, strerror(errno));
	(void)snprintf(path, sizeof(path), "%s/lock", jn->folder);
	jn->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, LOCK_MODE);
	if (jn->lock_fd < 0)
		return explain(why, path, strerror(errno));
	if (flock(jn->lock_fd, LOCK_EX | LOCK_NB) != 0)
		return explain(why, path, "another process has the folder");
	return 0;
}

/*
 * Opens a data folder for replay and keeps others out of it.  Returns 0,
 * ERR_DISK, ERR_CORRUPT or ERR_VERSION; the reason goes into why, and *jn_out
 * is NULL on an error.
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
		e = jr_open(&jn->reader, alloc, jn->folder);
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
 * Brings the next record of the replay.  Returns 1, 0 at the end, or an error
 * that jn_why() explains.
 */
int
jn_next(struct jn *jn, struct jn_record *record)
{
	int e = jr_next(&jn->reader, record);

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
 * Puts the last segment back without its torn tail.  It is copied, not synced
 * in place: after a failed sync the system may show bytes that are not on the
 * disk and call them clean.
 */
static int
rewrite_segment(struct jn *jn, uint64_t *first_seq, uint64_t *bytes)
{
	struct jr *jr = &jn->reader;
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
	jr_segment_path(path, jn->folder, *first_seq);
	return sn_write_file(
	    jn->options.files, jn->folder, path, jr->file.data, jr->file.len);
}

/* Removes files that a crash left under a temporary name. */
static void
remove_temporary(struct jn *jn)
{
	struct jn_files *files = jn->options.files;
	char path[JR_PATH_BYTES];
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

static void
remove_stale(struct jn *jn)
{
	struct jn_files *files = jn->options.files;
	struct jr *jr = &jn->reader;
	char path[JR_PATH_BYTES];
	size_t i;

	for (i = 0; i < jr->segment_count && jr->segments[i].stale; i++) {
		jr_segment_path(path, jn->folder, jr->segments[i].first_seq);
		(void)files->ops->unlink(files, path);
	}
	for (i = 0; i < jr->old_snapshot_count; i++) {
		jr_snapshot_path(path, jn->folder, jr->old_snapshots[i]);
		(void)files->ops->unlink(files, path);
	}
}

/*
 * Ends the replay and starts the sync thread; the rest of the replay is read
 * and checked first.  Returns 0, ERR_DISK, or an error as jn_next().
 */
int
jn_start(struct jn *jn)
{
	struct sy_options options = {0};
	struct jr *jr = &jn->reader;
	struct jn_record record;
	char path[JR_PATH_BYTES];
	int e;

	while (!jn->replayed)
		if ((e = jn_next(jn, &record)) < 0)
			return e;
	e = rewrite_segment(jn, &options.first_seq, &options.segment_bytes);
	if (e != 0)
		return e;
	remove_stale(jn);
	remove_temporary(jn);
	jr_segment_path(path, jn->folder, options.first_seq);
	options.fd =
	    jn->options.files->ops->open(jn->options.files, path, O_RDWR);
	if (options.fd < 0)
		return ERR_DISK;
	options.alloc = jn->options.alloc;
	options.folder = jn->folder;
	options.files = jn->options.files;
	options.unsafe_skip_sync = jn->options.unsafe_skip_sync;
	options.last_seq = jr->next_seq - 1;
	options.snapshot_seq = jr->snapshot_seq;
	options.has_snapshot = jr->has_snapshot;
	options.snapshot_bytes = jr->snapshot_bytes;
	jn->replay_stats.torn_bytes = jr->torn_bytes;
	jn->replay_stats.replay_bytes = jr->read_bytes;
	buf_free(&jr->file);
	jn->syncer = sy_new(&options);
	return jn->syncer != NULL ? 0 : ERR_INTERNAL;
}

/*
 * Queues a record and returns its sequence number.  The bytes are copied.  It
 * is durable once jn_poll() reports a number as high.
 */
uint64_t
jn_append(struct jn *jn, uint16_t kind, const void *data, size_t len)
{
	return sy_append(jn->syncer, kind, data, len);
}

/* Returns a descriptor that turns readable when jn_poll() has news. */
int
jn_fd(const struct jn *jn)
{
	return sy_fd(jn->syncer);
}

/*
 * Brings the highest durable sequence number.  Returns 0, or ERR_DISK once the
 * journal is lost; the number then stands still.
 */
int
jn_poll(struct jn *jn, uint64_t *durable_seq)
{
	return sy_poll(jn->syncer, durable_seq);
}

/* Blocks until a record is durable: 0, ERR_DISK or ERR_TIMEOUT. */
int
jn_wait(struct jn *jn, uint64_t seq, uint32_t timeout_ms)
{
	return sy_wait(jn->syncer, seq, timeout_ms);
}

/*
 * Tells whether the records since the snapshot outweigh it, so that what a
 * restart reads stays within a constant factor of the state.
 */
bool
jn_snapshot_due(const struct jn *jn)
{
	struct jn_stats stats;

	sy_stats(jn->syncer, &stats);
	return !stats.snapshot_queued &&
	       stats.segment_bytes > jn->options.snapshot_min_bytes &&
	       stats.segment_bytes > 2 * stats.snapshot_bytes;
}

/*
 * Queues a snapshot that replaces every record appended so far; the images
 * must stand for exactly those.  Records appended later follow it.
 */
int
jn_snapshot(struct jn *jn, const struct jn_image *images, size_t count)
{
	return sy_snapshot(jn->syncer, images, count);
}

/* Copies the counters. */
void
jn_stats(struct jn *jn, struct jn_stats *stats)
{
	memset(stats, 0, sizeof(*stats));
	if (jn->syncer != NULL)
		sy_stats(jn->syncer, stats);
	stats->torn_bytes = jn->replay_stats.torn_bytes;
	stats->replay_bytes = jn->replay_stats.replay_bytes;
}

/* Writes what is queued and gives the folder back. */
void
jn_close(struct jn *jn)
{
	const struct alloc *alloc = jn->options.alloc;

	if (jn->syncer != NULL)
		sy_free(jn->syncer);
	jr_close(&jn->reader);
	if (jn->lock_fd >= 0)
		(void)close(jn->lock_fd);
	alloc_free(alloc, jn->folder);
	alloc_free(alloc, jn);
	apr_terminate();
}
