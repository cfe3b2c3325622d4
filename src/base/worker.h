#ifndef CF_WORKER_H
#define CF_WORKER_H

#include "base/alloc.h"
#include "base/loop.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A thread for computations that would keep the event loop from its other work
 * for too long.  Jobs run one at a time, in the order in which they were
 * submitted.
 *
 *	struct my_job { struct worker_job job; ...input and result... };
 *
 *	my_job->job.ops = &my_ops;
 *	if (worker_submit(worker, &my_job->job) != 0)
 *		...no thread can be had...
 *
 * The thread is started with the first job.
 */
struct worker;
struct worker_job;

struct worker_job_ops {
	/* Computes the result, on the worker's thread. */
	void (*run)(struct worker_job *job);
	/* Uses the result and frees the job, on the loop's thread. */
	void (*done)(struct worker_job *job);
	/* Frees a job that was submitted and will not be reported as done. */
	void (*drop)(struct worker_job *job);
};

/* The first member of each job; a submitted one belongs to the worker. */
struct worker_job {
	const struct worker_job_ops *ops;
	struct worker_job *next;
};

struct worker_options {
	const struct alloc *alloc;
	struct loop *loop;
};

struct worker *worker_new(const struct worker_options *options);
int worker_submit(struct worker *worker, struct worker_job *job);
void worker_free(struct worker *worker);

#ifdef __cplusplus
}
#endif

#endif
