#include "sup/sup.h"

#include <string.h>

#include "base/err.h"
#include "base/log.h"

enum {
	SUP_CHILDREN_MAX = 16,
	SUP_RESTARTS_MAX = 16,
	US_PER_MS = 1000
};

struct child {
	struct sup *sup;
	struct sup_child_spec spec;
	struct loop_timer *restart;
	bool running;
	int64_t failed_us[SUP_RESTARTS_MAX]; /* latest failures, a ring */
	uint32_t failures;
};

struct sup {
	struct sup_options options;
	struct child children[SUP_CHILDREN_MAX];
	uint32_t count;
	bool stopping;
};

/* Creates a supervisor without children. */
struct sup *
sup_new(const struct sup_options *options)
{
	struct sup *sup = alloc_zero(options->alloc, 1, sizeof(*sup));

	sup->options = *options;
	if (sup->options.restarts_max >= SUP_RESTARTS_MAX)
		sup->options.restarts_max = SUP_RESTARTS_MAX - 1;
	return sup;
}

/* Stops what still runs, and releases the supervisor. */
void
sup_free(struct sup *sup)
{
	if (sup == NULL)
		return;
	sup_stop(sup);
	alloc_free(sup->options.alloc, sup);
}

/* Adds a child, to be started after those added before it. */
void
sup_add(struct sup *sup, const struct sup_child_spec *spec)
{
	struct child *child;

	if (sup->count == SUP_CHILDREN_MAX)
		return;
	child = &sup->children[sup->count++];
	child->sup = sup;
	child->spec = *spec;
}

static int
start_child(struct child *child)
{
	int error = child->spec.start(child->spec.ctx);

	child->running = error == 0;
	if (error == 0)
		log_event(LOG_LEVEL_INFO, "child_started", "child=%s",
		    child->spec.name);
	return error;
}

static void
stop_child(struct child *child)
{
	loop_cancel(child->restart);
	child->restart = NULL;
	if (!child->running)
		return;
	child->running = false;
	child->spec.stop(child->spec.ctx);
	log_event(
	    LOG_LEVEL_INFO, "child_stopped", "child=%s", child->spec.name);
}

/* Starts every child.  On an error those already started are stopped. */
int
sup_start(struct sup *sup)
{
	sup->stopping = false;
	for (uint32_t i = 0; i < sup->count; i++) {
		int error = start_child(&sup->children[i]);

		if (error != 0) {
			log_event(LOG_LEVEL_ERROR, "child_not_started",
			    "child=%s error=%s", sup->children[i].spec.name,
			    err_name(error));
			sup_stop(sup);
			return error;
		}
	}
	return 0;
}

/* Stops every child, the last one started first. */
void
sup_stop(struct sup *sup)
{
	sup->stopping = true;
	for (uint32_t i = sup->count; i > 0; i--)
		stop_child(&sup->children[i - 1]);
}

static struct child *
find_child(const struct sup *sup, const char *name)
{
	for (uint32_t i = 0; i < sup->count; i++) {
		if (strcmp(sup->children[i].spec.name, name) == 0)
			return (struct child *)&sup->children[i];
	}
	return NULL;
}

/* Whether the failures kept are all inside the window. */
static bool
over_limit(const struct child *child, int64_t now_us)
{
	const struct sup_options *options = &child->sup->options;
	uint32_t oldest = child->failures - options->restarts_max - 1;

	if (child->failures <= options->restarts_max)
		return false;
	return now_us - child->failed_us[oldest % SUP_RESTARTS_MAX] <=
	       (int64_t)options->window_ms * US_PER_MS;
}

static void
restart(void *ctx)
{
	struct child *child = ctx;
	int error;

	child->restart = NULL;
	error = start_child(child);
	if (error != 0)
		sup_child_failed(child->sup, child->spec.name, error);
}

/*
 * Reports that a child can't go on.  It is stopped and started again after the
 * delay, or the supervisor's own failure is reported to its parent.
 */
void
sup_child_failed(struct sup *sup, const char *name, int error)
{
	struct child *child = find_child(sup, name);
	int64_t now_us = loop_now_us(sup->options.loop);

	if (child == NULL || sup->stopping || child->restart != NULL)
		return;
	log_event(LOG_LEVEL_ERROR, "child_failed", "child=%s error=%s", name,
	    err_name(error));
	child->failed_us[child->failures++ % SUP_RESTARTS_MAX] = now_us;
	stop_child(child);
	if (over_limit(child, now_us)) {
		sup_stop(sup);
		sup->options.failed(sup->options.ctx, name, error);
		return;
	}
	child->restart = loop_after(sup->options.loop,
	    (int64_t)sup->options.delay_ms * US_PER_MS, restart, child);
}

/* Returns whether a child is up. */
bool
sup_child_running(const struct sup *sup, const char *name)
{
	const struct child *child = find_child(sup, name);

	return child != NULL && child->running;
}
