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

/* One queued piece of work: records, or a snapshot file's content. */
struct work {
	struct work *next;
	bool is_snapshot;
	uint64_t last_seq;
	struct buf bytes;
};

struct sy {
	struct sy_options options;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_thread_mutex_t *mutex;
	apr_thread_cond_t *queued; /* wakes the thread */
	apr_thread_cond_t *done; /* wakes sy_wait() */
	int event_fd;

	/* under the mutex */
	struct work *head;
	struct work *tail;
	bool stop;
	struct jnl_stats stats;

	/* of the thread alone */
	int fd;
	uint64_t first_seq;
	uint64_t offset;
};

static struct work *
work_new(struct sy *sy, bool is_snapshot)
{
	struct work *work = alloc_zero(sy->options.alloc, 1, sizeof(*work));

	work->is_snapshot = is_snapshot;
	buf_init(&work->bytes, sy->options.alloc);
	return work;
}

static void
work_free(struct sy *sy, struct work *work)
{
	buf_free(&work->bytes);
	alloc_free(sy->options.alloc, work);
}

static void
enqueue(struct sy *sy, struct work *work)
{
	if (sy->tail != NULL)
		sy->tail->next = work;
	else
		sy->head = work;
	sy->tail = work;
}

static int
sync_fd(struct sy *sy, int fd)
{
	struct jnl_files *files = sy->options.files;

	if (sy->options.unsafe_skip_sync)
		return 0;
	return files->ops->fsync(files, fd) != 0 ? ERR_DISK : 0;
}

/*
 * Notes in the segment that all before it is durable, so that damage to the
 * last group is told from a torn tail.  The note itself need not be durable.
 */
static int
write_mark(struct sy *sy, uint64_t seq)
{
	struct jf_record mark = {JF_KIND_MARK, seq, seq, NULL, 0};
	struct buf bytes;
	int e;

	buf_init(&bytes, sy->options.alloc);
	jf_record_put(&bytes, &mark);
	e = sn_write_all(
	    sy->options.files, sy->fd, bytes.data, bytes.len, sy->offset);
	sy->offset += bytes.len;
	buf_free(&bytes);
	return e;
}

static int
do_records(struct sy *sy, struct work *work)
{
	int e;

	e = sn_write_all(sy->options.files, sy->fd, work->bytes.data,
	    work->bytes.len, sy->offset);
	if (e != 0)
		return e;
	sy->offset += work->bytes.len;
	e = sync_fd(sy, sy->fd);
	if (e != 0)
		return e;
	return write_mark(sy, work->last_seq);
}

static int
start_segment(struct sy *sy, uint64_t first_seq)
{
	struct jnl_files *files = sy->options.files;
	char path[JR_PATH_BYTES];
	struct buf head;
	int fd, e;

	jr_segment_path(path, sy->options.folder, first_seq);
	fd = files->ops->open(files, path, O_RDWR | O_CREAT | O_TRUNC);
	if (fd < 0)
		return ERR_DISK;
	buf_init(&head, sy->options.alloc);
	jf_header_put(&head, JF_SEGMENT, first_seq);
	e = sn_write_all(files, fd, head.data, head.len, 0);
	buf_free(&head);
	if (e == 0)
		e = sync_fd(sy, fd);
	if (e == 0 && files->ops->syncdir(files, sy->options.folder) != 0)
		e = ERR_DISK;
	if (files->ops->close(files, sy->fd) != 0)
		e = ERR_DISK;
	sy->fd = fd;
	sy->first_seq = first_seq;
	sy->offset = JF_HEADER_BYTES;
	return e;
}

/* Removes what the new snapshot covers; a file that stays does no harm. */
static void
remove_old(struct sy *sy, uint64_t old_first, uint64_t snapshot_seq)
{
	struct jnl_files *files = sy->options.files;
	char path[JR_PATH_BYTES];

	if (old_first != sy->first_seq) {
		jr_segment_path(path, sy->options.folder, old_first);
		(void)files->ops->unlink(files, path);
	}
	if (sy->options.has_snapshot &&
	    sy->options.snapshot_seq != snapshot_seq) {
		jr_snapshot_path(
		    path, sy->options.folder, sy->options.snapshot_seq);
		(void)files->ops->unlink(files, path);
	}
	sy->options.has_snapshot = true;
	sy->options.snapshot_seq = snapshot_seq;
}

static int
do_snapshot(struct sy *sy, struct work *work)
{
	uint64_t old_first = sy->first_seq;
	char path[JR_PATH_BYTES];
	int e;

	if (sy->first_seq != work->last_seq + 1) {
		e = start_segment(sy, work->last_seq + 1);
		if (e != 0)
			return e;
	}
	jr_snapshot_path(path, sy->options.folder, work->last_seq);
	e = sn_write_file(sy->options.files, sy->options.folder, path,
	    work->bytes.data, work->bytes.len);
	if (e == 0)
		remove_old(sy, old_first, work->last_seq);
	return e;
}

static void
signal_event(struct sy *sy)
{
	const uint64_t one = 1;
	ssize_t n;

	n = write(sy->event_fd, &one, sizeof(one));
	(void)n; /* full: the reader is woken already */
}

/* Records the outcome of one piece of work, under the mutex. */
static void
finish(struct sy *sy, struct work *work, int e)
{
	struct jnl_stats *stats = &sy->stats;

	if (e != 0) {
		stats->error = ERR_DISK;
	} else if (work->is_snapshot) {
		stats->snapshot_queued = false;
		stats->snapshot_seq = work->last_seq;
		stats->snapshot_bytes = work->bytes.len;
		stats->segment_bytes = sy->offset;
		stats->bytes_written += work->bytes.len;
	} else {
		stats->durable_seq = work->last_seq;
		stats->syncs++;
		stats->bytes_written += work->bytes.len;
		stats->segment_bytes = sy->offset;
	}
	apr_thread_cond_broadcast(sy->done);
}

/* Does the first piece of work; the mutex is held on entry and return. */
static void
do_next(struct sy *sy)
{
	struct work *work = sy->head;
	int e = sy->stats.error;

	sy->head = work->next;
	if (sy->head == NULL)
		sy->tail = NULL;
	apr_thread_mutex_unlock(sy->mutex);
	if (e == 0)
		e = work->is_snapshot ? do_snapshot(sy, work)
				      : do_records(sy, work);
	apr_thread_mutex_lock(sy->mutex);
	finish(sy, work, e);
	signal_event(sy);
	work_free(sy, work);
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *data)
{
	struct sy *sy = data;

	apr_thread_mutex_lock(sy->mutex);
	for (;;) {
		while (sy->head == NULL && !sy->stop)
			apr_thread_cond_wait(sy->queued, sy->mutex);
		if (sy->head == NULL)
			break;
		do_next(sy);
	}
	apr_thread_mutex_unlock(sy->mutex);
	apr_thread_exit(thread, APR_SUCCESS);
	return NULL;
}

static bool
start(struct sy *sy)
{
	if (apr_pool_create(&sy->pool, NULL) != APR_SUCCESS)
		return false;
	return apr_thread_mutex_create(&sy->mutex, APR_THREAD_MUTEX_DEFAULT,
		   sy->pool) == APR_SUCCESS &&
	       apr_thread_cond_create(&sy->queued, sy->pool) == APR_SUCCESS &&
	       apr_thread_cond_create(&sy->done, sy->pool) == APR_SUCCESS &&
	       apr_thread_create(&sy->thread, NULL, run, sy, sy->pool) ==
		   APR_SUCCESS;
}

/* Starts the thread on an open segment.  Returns NULL if it cannot start. */
struct sy *
sy_new(const struct sy_options *options)
{
	struct sy *sy = alloc_zero(options->alloc, 1, sizeof(*sy));

	sy->options = *options;
	sy->options.folder = alloc_strdup(options->alloc, options->folder);
	sy->fd = options->fd;
	sy->first_seq = options->first_seq;
	sy->offset = options->segment_bytes;
	sy->stats.appended_seq = options->last_seq;
	sy->stats.durable_seq = options->last_seq;
	sy->stats.snapshot_seq = options->snapshot_seq;
	sy->stats.snapshot_bytes = options->snapshot_bytes;
	sy->stats.segment_bytes = options->segment_bytes;
	sy->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (sy->event_fd < 0 || !start(sy)) {
		if (sy->event_fd >= 0)
			(void)close(sy->event_fd);
		if (sy->pool != NULL)
			apr_pool_destroy(sy->pool);
		alloc_free(options->alloc, (void *)sy->options.folder);
		alloc_free(options->alloc, sy);
		return NULL;
	}
	return sy;
}

/* Queues a record and returns its sequence number. */
uint64_t
sy_append(struct sy *sy, uint16_t kind, const void *data, size_t len)
{
	struct jf_record record = {kind, 0, 0, data, (uint32_t)len};

	apr_thread_mutex_lock(sy->mutex);
	if (sy->tail == NULL || sy->tail->is_snapshot)
		enqueue(sy, work_new(sy, false));
	record.seq = ++sy->stats.appended_seq;
	record.durable = sy->stats.durable_seq;
	jf_record_put(&sy->tail->bytes, &record);
	sy->tail->last_seq = record.seq;
	apr_thread_cond_signal(sy->queued);
	apr_thread_mutex_unlock(sy->mutex);
	return record.seq;
}

/* Queues a snapshot of everything appended so far. */
int
sy_snapshot(struct sy *sy, const struct jnl_image *images, size_t count)
{
	struct work *work = work_new(sy, true);
	int e;

	apr_thread_mutex_lock(sy->mutex);
	work->last_seq = sy->stats.appended_seq;
	sn_encode(&work->bytes, work->last_seq, images, count);
	enqueue(sy, work);
	sy->stats.snapshot_queued = true;
	e = sy->stats.error;
	apr_thread_cond_signal(sy->queued);
	apr_thread_mutex_unlock(sy->mutex);
	return e;
}

/* Returns the descriptor that turns readable when work has ended. */
int
sy_fd(const struct sy *sy)
{
	return sy->event_fd;
}

/* Returns 0 or ERR_DISK for good, and how far records are durable. */
int
sy_poll(struct sy *sy, uint64_t *durable_seq)
{
	uint64_t count;
	ssize_t n;
	int e;

	n = read(sy->event_fd, &count, sizeof(count));
	(void)n; /* nothing new: the numbers below are right all the same */
	apr_thread_mutex_lock(sy->mutex);
	*durable_seq = sy->stats.durable_seq;
	e = sy->stats.error;
	apr_thread_mutex_unlock(sy->mutex);
	return e;
}

/* Blocks until a record is durable: 0, ERR_DISK or ERR_TIMEOUT. */
int
sy_wait(struct sy *sy, uint64_t seq, uint32_t timeout_ms)
{
	apr_interval_time_t left = (apr_interval_time_t)timeout_ms * 1000;
	apr_status_t status = APR_SUCCESS;
	int e;

	apr_thread_mutex_lock(sy->mutex);
	while (sy->stats.durable_seq < seq && sy->stats.error == 0 &&
	       status == APR_SUCCESS)
		status = apr_thread_cond_timedwait(sy->done, sy->mutex, left);
	if (sy->stats.durable_seq >= seq)
		e = 0;
	else
		e = sy->stats.error != 0 ? sy->stats.error : ERR_TIMEOUT;
	apr_thread_mutex_unlock(sy->mutex);
	return e;
}

/* Copies the counters. */
void
sy_stats(struct sy *sy, struct jnl_stats *stats)
{
	apr_thread_mutex_lock(sy->mutex);
	*stats = sy->stats;
	apr_thread_mutex_unlock(sy->mutex);
}

/* Does what is queued, ends the thread and closes the segment. */
void
sy_free(struct sy *sy)
{
	apr_status_t status;

	apr_thread_mutex_lock(sy->mutex);
	sy->stop = true;
	apr_thread_cond_signal(sy->queued);
	apr_thread_mutex_unlock(sy->mutex);
	apr_thread_join(&status, sy->thread);
	(void)sy->options.files->ops->close(sy->options.files, sy->fd);
	(void)close(sy->event_fd);
	apr_pool_destroy(sy->pool);
	alloc_free(sy->options.alloc, (void *)sy->options.folder);
	alloc_free(sy->options.alloc, sy);
}
