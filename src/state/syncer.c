#include "state/syncer.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <fcntl.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "state/journal_format.h"
#include "state/journal_reader.h"
#include "state/snapshot.h"

/* A queued work item: a group of records, or a snapshot file's content. */
struct work {
	struct work *next;
	bool is_snapshot;
	bool is_skipped; /* a snapshot that could not be written */
	uint64_t last_seq;
	struct buf bytes;
};

struct syncer {
	struct syncer_options options;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_thread_mutex_t *mutex;
	apr_thread_cond_t *queued; /* wakes the thread */
	apr_thread_cond_t *done; /* wakes syncer_wait() */
	int event_fd;

	/* protected by the mutex */
	struct work *head;
	struct work *tail;
	bool stop;
	struct jnl_stats stats;

	/* used by the sync thread only */
	int fd;
	uint64_t first_seq;
	uint64_t offset;
	/* earlier segments, by their first record, until a snapshot succeeds */
	uint64_t *older_seqs;
	size_t older_count;
};

static struct work *
work_new(struct syncer *syncer, bool is_snapshot)
{
	struct work *work = alloc_zero(syncer->options.alloc, 1, sizeof(*work));

	work->is_snapshot = is_snapshot;
	buf_init(&work->bytes, syncer->options.alloc);
	return work;
}

static void
work_free(struct syncer *syncer, struct work *work)
{
	buf_free(&work->bytes);
	alloc_free(syncer->options.alloc, work);
}

static void
enqueue(struct syncer *syncer, struct work *work)
{
	if (syncer->tail != NULL)
		syncer->tail->next = work;
	else
		syncer->head = work;
	syncer->tail = work;
}

static int
sync_fd(struct syncer *syncer, int fd)
{
	struct jnl_files *files = syncer->options.files;

	if (syncer->options.unsafe_skip_sync)
		return 0;
	return files->ops->fsync(files, fd) != 0 ? ERR_DISK : 0;
}

/*
 * Writes a mark that everything before it is durable, so that damage to the
 * last group can be distinguished from a torn tail.  The mark itself need not
 * be durable.  Returns 0 or ERR_DISK.
 */
static int
write_mark(struct syncer *syncer, uint64_t seq)
{
	struct jformat_record mark = {JFORMAT_KIND_MARK, seq, seq, NULL, 0};
	struct buf bytes;
	int e;

	buf_init(&bytes, syncer->options.alloc);
	jformat_encode_record(&bytes, &mark);
	e = snapshot_write_all(syncer->options.files, syncer->fd, bytes.data,
	    bytes.len, syncer->offset);
	syncer->offset += bytes.len;
	buf_free(&bytes);
	return e;
}

static int
write_records(struct syncer *syncer, struct work *work)
{
	int e;

	e = snapshot_write_all(syncer->options.files, syncer->fd,
	    work->bytes.data, work->bytes.len, syncer->offset);
	if (e != 0)
		return e;
	syncer->offset += work->bytes.len;
	e = sync_fd(syncer, syncer->fd);
	if (e != 0)
		return e;
	return write_mark(syncer, work->last_seq);
}

static void
add_older(struct syncer *syncer, uint64_t first_seq)
{
	syncer->older_seqs =
	    alloc_resize(syncer->options.alloc, syncer->older_seqs,
		(syncer->older_count + 1) * sizeof(*syncer->older_seqs));
	syncer->older_seqs[syncer->older_count++] = first_seq;
}

/* Creates and syncs a new segment and closes the current one. */
static int
start_segment(struct syncer *syncer, uint64_t first_seq)
{
	struct jnl_files *files = syncer->options.files;
	char path[JREADER_PATH_BYTES];
	struct buf head;
	int fd, e;

	jreader_segment_path(path, syncer->options.folder, first_seq);
	fd = files->ops->open(files, path, O_RDWR | O_CREAT | O_TRUNC);
	if (fd < 0)
		return ERR_DISK;
	buf_init(&head, syncer->options.alloc);
	jformat_encode_header(&head, JFORMAT_SEGMENT, first_seq);
	e = snapshot_write_all(files, fd, head.data, head.len, 0);
	buf_free(&head);
	if (e == 0)
		e = sync_fd(syncer, fd);
	if (e == 0 && files->ops->syncdir(files, syncer->options.folder) != 0)
		e = ERR_DISK;
	if (files->ops->close(files, syncer->fd) != 0)
		e = ERR_DISK;
	add_older(syncer, syncer->first_seq);
	syncer->fd = fd;
	syncer->first_seq = first_seq;
	syncer->offset = JFORMAT_HEADER_BYTES;
	return e;
}

/*
 * Removes the files that the new snapshot covers.  Errors are ignored: the
 * next start skips and removes a covered file.
 */
static void
remove_covered(struct syncer *syncer, uint64_t snapshot_seq)
{
	struct jnl_files *files = syncer->options.files;
	char path[JREADER_PATH_BYTES];

	for (size_t i = 0; i < syncer->older_count; i++) {
		jreader_segment_path(
		    path, syncer->options.folder, syncer->older_seqs[i]);
		(void)files->ops->unlink(files, path);
	}
	syncer->older_count = 0;
	if (syncer->options.has_snapshot &&
	    syncer->options.snapshot_seq != snapshot_seq) {
		jreader_snapshot_path(
		    path, syncer->options.folder, syncer->options.snapshot_seq);
		(void)files->ops->unlink(files, path);
	}
	syncer->options.has_snapshot = true;
	syncer->options.snapshot_seq = snapshot_seq;
}

/*
 * Starts a new segment and writes a snapshot of what precedes it.  A snapshot
 * for which there is no room leaves the records as they are and sets
 * work->is_skipped.  Returns 0 or ERR_DISK.
 */
static int
write_snapshot(struct syncer *syncer, struct work *work)
{
	struct jnl_files *files = syncer->options.files;
	char path[JREADER_PATH_BYTES];
	int e;

	if (syncer->first_seq != work->last_seq + 1) {
		e = start_segment(syncer, work->last_seq + 1);
		if (e != 0)
			return e;
	}
	jreader_snapshot_path(path, syncer->options.folder, work->last_seq);
	if (snapshot_write_temporary(
		files, path, work->bytes.data, work->bytes.len) != 0) {
		work->is_skipped = true;
		return 0;
	}
	e = snapshot_install(files, syncer->options.folder, path);
	if (e == 0)
		remove_covered(syncer, work->last_seq);
	return e;
}

static void
signal_event(struct syncer *syncer)
{
	const uint64_t one = 1;
	ssize_t n;

	n = write(syncer->event_fd, &one, sizeof(one));
	(void)n; /* counter full: the descriptor is readable already */
}

/* Records the result of a work item.  The caller holds the mutex. */
static void
record_result(struct syncer *syncer, struct work *work, int e)
{
	struct jnl_stats *stats = &syncer->stats;

	if (e != 0) {
		stats->error = ERR_DISK;
	} else if (work->is_skipped) {
		stats->snapshot_queued = false;
		stats->snapshot_failures++;
		stats->segment_bytes = syncer->offset;
	} else if (work->is_snapshot) {
		stats->snapshot_queued = false;
		stats->snapshot_seq = work->last_seq;
		stats->snapshot_bytes = work->bytes.len;
		stats->segment_bytes = syncer->offset;
		stats->bytes_written += work->bytes.len;
	} else {
		stats->durable_seq = work->last_seq;
		stats->syncs++;
		stats->bytes_written += work->bytes.len;
		stats->segment_bytes = syncer->offset;
	}
	apr_thread_cond_broadcast(syncer->done);
}

/*
 * Executes the first work item, or skips it after a disk error.  The mutex is
 * held on entry and on return, and released during the disk operations.
 */
static void
execute_next(struct syncer *syncer)
{
	struct work *work = syncer->head;
	int e = syncer->stats.error;

	syncer->head = work->next;
	if (syncer->head == NULL)
		syncer->tail = NULL;
	apr_thread_mutex_unlock(syncer->mutex);
	if (e == 0)
		e = work->is_snapshot ? write_snapshot(syncer, work)
				      : write_records(syncer, work);
	apr_thread_mutex_lock(syncer->mutex);
	record_result(syncer, work, e);
	signal_event(syncer);
	work_free(syncer, work);
}

static void *APR_THREAD_FUNC
sync_thread_main(apr_thread_t *thread, void *data)
{
	struct syncer *syncer = data;

	apr_thread_mutex_lock(syncer->mutex);
	for (;;) {
		while (syncer->head == NULL && !syncer->stop)
			apr_thread_cond_wait(syncer->queued, syncer->mutex);
		if (syncer->head == NULL)
			break;
		execute_next(syncer);
	}
	apr_thread_mutex_unlock(syncer->mutex);
	apr_thread_exit(thread, APR_SUCCESS);
	return NULL;
}

static bool
start_thread(struct syncer *syncer)
{
	if (apr_pool_create(&syncer->pool, NULL) != APR_SUCCESS)
		return false;
	return apr_thread_mutex_create(&syncer->mutex, APR_THREAD_MUTEX_DEFAULT,
		   syncer->pool) == APR_SUCCESS &&
	       apr_thread_cond_create(&syncer->queued, syncer->pool) ==
		   APR_SUCCESS &&
	       apr_thread_cond_create(&syncer->done, syncer->pool) ==
		   APR_SUCCESS &&
	       apr_thread_create(&syncer->thread, NULL, sync_thread_main,
		   syncer, syncer->pool) == APR_SUCCESS;
}

/* Starts the sync thread on an open segment.  Returns NULL on failure. */
struct syncer *
syncer_new(const struct syncer_options *options)
{
	struct syncer *syncer = alloc_zero(options->alloc, 1, sizeof(*syncer));

	syncer->options = *options;
	syncer->options.folder = alloc_strdup(options->alloc, options->folder);
	syncer->fd = options->fd;
	syncer->first_seq = options->first_seq;
	syncer->offset = options->segment_bytes;
	for (size_t i = 0; i < options->older_count; i++)
		add_older(syncer, options->older_seqs[i]);
	syncer->stats.appended_seq = options->last_seq;
	syncer->stats.durable_seq = options->last_seq;
	syncer->stats.snapshot_seq = options->snapshot_seq;
	syncer->stats.snapshot_bytes = options->snapshot_bytes;
	syncer->stats.segment_bytes = options->segment_bytes;
	syncer->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (syncer->event_fd < 0 || !start_thread(syncer)) {
		if (syncer->event_fd >= 0)
			(void)close(syncer->event_fd);
		if (syncer->pool != NULL)
			apr_pool_destroy(syncer->pool);
		alloc_free(options->alloc, syncer->older_seqs);
		alloc_free(options->alloc, (void *)syncer->options.folder);
		alloc_free(options->alloc, syncer);
		return NULL;
	}
	return syncer;
}

/* Queues a record and returns its sequence number. */
uint64_t
syncer_append(
    struct syncer *syncer, uint16_t kind, const void *data, size_t len)
{
	struct jformat_record record = {kind, 0, 0, data, (uint32_t)len};

	apr_thread_mutex_lock(syncer->mutex);
	if (syncer->tail == NULL || syncer->tail->is_snapshot)
		enqueue(syncer, work_new(syncer, false));
	record.seq = ++syncer->stats.appended_seq;
	record.synced_seq = syncer->stats.durable_seq;
	jformat_encode_record(&syncer->tail->bytes, &record);
	syncer->tail->last_seq = record.seq;
	apr_thread_cond_signal(syncer->queued);
	apr_thread_mutex_unlock(syncer->mutex);
	return record.seq;
}

/* Queues a snapshot of all records appended so far.  Returns 0 or ERR_DISK. */
int
syncer_snapshot(
    struct syncer *syncer, const struct jnl_image *images, size_t count)
{
	struct work *work = work_new(syncer, true);
	int e;

	apr_thread_mutex_lock(syncer->mutex);
	work->last_seq = syncer->stats.appended_seq;
	snapshot_encode(&work->bytes, work->last_seq, images, count);
	enqueue(syncer, work);
	syncer->stats.snapshot_queued = true;
	e = syncer->stats.error;
	apr_thread_cond_signal(syncer->queued);
	apr_thread_mutex_unlock(syncer->mutex);
	return e;
}

/* Returns a descriptor that becomes readable when a work item completes. */
int
syncer_fd(const struct syncer *syncer)
{
	return syncer->event_fd;
}

/*
 * Reads the highest durable sequence number.  Returns 0, or ERR_DISK after the
 * first disk error.
 */
int
syncer_poll(struct syncer *syncer, uint64_t *durable_seq)
{
	uint64_t count;
	ssize_t n;
	int e;

	n = read(syncer->event_fd, &count, sizeof(count));
	(void)n; /* the values below are valid without an event too */
	apr_thread_mutex_lock(syncer->mutex);
	*durable_seq = syncer->stats.durable_seq;
	e = syncer->stats.error;
	apr_thread_mutex_unlock(syncer->mutex);
	return e;
}

/* Blocks until a record is durable: 0, ERR_DISK or ERR_TIMEOUT. */
int
syncer_wait(struct syncer *syncer, uint64_t seq, uint32_t timeout_ms)
{
	apr_interval_time_t left = (apr_interval_time_t)timeout_ms * 1000;
	apr_status_t status = APR_SUCCESS;
	int e;

	apr_thread_mutex_lock(syncer->mutex);
	while (syncer->stats.durable_seq < seq && syncer->stats.error == 0 &&
	       status == APR_SUCCESS)
		status = apr_thread_cond_timedwait(
		    syncer->done, syncer->mutex, left);
	if (syncer->stats.durable_seq >= seq)
		e = 0;
	else
		e = syncer->stats.error != 0 ? syncer->stats.error
					     : ERR_TIMEOUT;
	apr_thread_mutex_unlock(syncer->mutex);
	return e;
}

void
syncer_stats(struct syncer *syncer, struct jnl_stats *stats)
{
	apr_thread_mutex_lock(syncer->mutex);
	*stats = syncer->stats;
	apr_thread_mutex_unlock(syncer->mutex);
}

/* Executes the queued work, ends the thread and closes the segment. */
void
syncer_free(struct syncer *syncer)
{
	apr_status_t status;

	apr_thread_mutex_lock(syncer->mutex);
	syncer->stop = true;
	apr_thread_cond_signal(syncer->queued);
	apr_thread_mutex_unlock(syncer->mutex);
	apr_thread_join(&status, syncer->thread);
	(void)syncer->options.files->ops->close(
	    syncer->options.files, syncer->fd);
	(void)close(syncer->event_fd);
	apr_pool_destroy(syncer->pool);
	alloc_free(syncer->options.alloc, syncer->older_seqs);
	alloc_free(syncer->options.alloc, (void *)syncer->options.folder);
	alloc_free(syncer->options.alloc, syncer);
}
