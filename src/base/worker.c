#include "base/worker.h"

#include <apr_pools.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/err.h"

struct job_queue {
	struct worker_job *head;
	struct worker_job *tail;
};

struct worker {
	struct worker_options options;
	apr_pool_t *pool; /* NULL: the thread has not been started */
	apr_thread_t *thread;
	apr_thread_mutex_t *mutex;
	apr_thread_cond_t *wake;
	struct loop_watch *watch;
	int event_fd; /* readable while jobs are finished */

	/* protected by the mutex */
	struct job_queue waiting;
	struct job_queue finished;
	bool stop;
};

static void
push_job(struct job_queue *queue, struct worker_job *job)
{
	job->next = NULL;
	if (queue->tail != NULL)
		queue->tail->next = job;
	else
		queue->head = job;
	queue->tail = job;
}

/* Removes and returns the first job, or returns NULL. */
static struct worker_job *
pop_job(struct job_queue *queue)
{
	struct worker_job *job = queue->head;

	if (job == NULL)
		return NULL;
	queue->head = job->next;
	if (queue->head == NULL)
		queue->tail = NULL;
	return job;
}

static void *APR_THREAD_FUNC
worker_main(apr_thread_t *thread, void *data)
{
	struct worker *worker = data;
	const uint64_t one = 1;
	ssize_t n;

	apr_thread_mutex_lock(worker->mutex);
	while (!worker->stop) {
		struct worker_job *job = pop_job(&worker->waiting);

		if (job == NULL) {
			apr_thread_cond_wait(worker->wake, worker->mutex);
			continue;
		}
		apr_thread_mutex_unlock(worker->mutex);
		job->ops->run(job);
		apr_thread_mutex_lock(worker->mutex);
		push_job(&worker->finished, job);
		n = write(worker->event_fd, &one, sizeof(one));
		(void)n; /* counter full: the descriptor is readable already */
	}
	apr_thread_mutex_unlock(worker->mutex);
	apr_thread_exit(thread, APR_SUCCESS);
	return NULL;
}

/* Reports the finished jobs, on the loop's thread. */
static void
on_finished(void *ctx, int events)
{
	struct worker *worker = ctx;
	struct worker_job *job;
	uint64_t count;
	ssize_t n;

	(void)events;
	n = read(worker->event_fd, &count, sizeof(count));
	(void)n; /* the queue tells what has finished */
	for (;;) {
		apr_thread_mutex_lock(worker->mutex);
		job = pop_job(&worker->finished);
		apr_thread_mutex_unlock(worker->mutex);
		if (job == NULL)
			break;
		job->ops->done(job);
	}
}

static void
close_thread(struct worker *worker)
{
	loop_unwatch(worker->watch);
	worker->watch = NULL;
	if (worker->event_fd >= 0)
		(void)close(worker->event_fd);
	worker->event_fd = -1;
	if (worker->pool != NULL)
		apr_pool_destroy(worker->pool);
	worker->pool = NULL;
}

static bool
start_thread(struct worker *worker)
{
	worker->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (worker->event_fd < 0 ||
	    apr_pool_create(&worker->pool, NULL) != APR_SUCCESS)
		return false;
	if (apr_thread_mutex_create(&worker->mutex, APR_THREAD_MUTEX_DEFAULT,
		worker->pool) != APR_SUCCESS ||
	    apr_thread_cond_create(&worker->wake, worker->pool) != APR_SUCCESS)
		return false;
	worker->watch = loop_watch(worker->options.loop, worker->event_fd,
	    LOOP_READ, on_finished, worker);
	return worker->watch != NULL &&
	       apr_thread_create(&worker->thread, NULL, worker_main, worker,
		   worker->pool) == APR_SUCCESS;
}

/* Creates a worker whose jobs are reported on the options' loop. */
struct worker *
worker_new(const struct worker_options *options)
{
	struct worker *worker = alloc_zero(options->alloc, 1, sizeof(*worker));

	worker->options = *options;
	worker->event_fd = -1;
	return worker;
}

/*
 * Submits a job.  Returns 0, or ERR_INTERNAL if no thread can be started; the
 * caller then keeps the job.
 */
int
worker_submit(struct worker *worker, struct worker_job *job)
{
	if (worker->pool == NULL && !start_thread(worker)) {
		close_thread(worker);
		return ERR_INTERNAL;
	}
	apr_thread_mutex_lock(worker->mutex);
	push_job(&worker->waiting, job);
	apr_thread_cond_signal(worker->wake);
	apr_thread_mutex_unlock(worker->mutex);
	return 0;
}

static void
drop_jobs(struct job_queue *queue)
{
	struct worker_job *job;

	while ((job = pop_job(queue)) != NULL)
		job->ops->drop(job);
}

/* Waits for the job that is running and drops all that were not reported. */
void
worker_free(struct worker *worker)
{
	apr_status_t status;

	if (worker->pool != NULL) {
		apr_thread_mutex_lock(worker->mutex);
		worker->stop = true;
		apr_thread_cond_signal(worker->wake);
		apr_thread_mutex_unlock(worker->mutex);
		apr_thread_join(&status, worker->thread);
		drop_jobs(&worker->finished);
		drop_jobs(&worker->waiting);
		close_thread(worker);
	}
	alloc_free(worker->options.alloc, worker);
}
