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
	struct loop_timer *restart_timer; /* NULL if no restart is pending */
	bool running;
	/* Ring of the times of the latest failures, monotonic. */
	int64_t failed_us[SUP_RESTARTS_MAX];
	uint32_t failure_count; /* since the supervisor was created */
};

struct sup {
	struct sup_options options;
	struct child children[SUP_CHILDREN_MAX];
	uint32_t child_count;
	bool stopping;
};

/*
 * Creates a supervisor without children.  restarts_max is limited to
 * SUP_RESTARTS_MAX - 1, since only SUP_RESTARTS_MAX failure times are kept.
 */
struct sup *
sup_new(const struct sup_options *options)
{
	struct sup *sup = alloc_zero(options->alloc, 1, sizeof(*sup));

	sup->options = *options;
	if (sup->options.restarts_max >= SUP_RESTARTS_MAX)
		sup->options.restarts_max = SUP_RESTARTS_MAX - 1;
	return sup;
}

/* Stops the running children and frees the supervisor. */
void
sup_free(struct sup *sup)
{
	if (sup == NULL)
		return;
	sup_stop(sup);
	alloc_free(sup->options.alloc, sup);
}

/*
 * Adds a child, which sup_start() starts after those added before it.  A child
 * beyond SUP_CHILDREN_MAX is ignored.
 */
void
sup_add(struct sup *sup, const struct sup_child_spec *spec)
{
	struct child *child;

	if (sup->child_count == SUP_CHILDREN_MAX)
		return;
	child = &sup->children[sup->child_count++];
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
	loop_cancel(child->restart_timer);
	child->restart_timer = NULL;
	if (!child->running)
		return;
	child->running = false;
	child->spec.stop(child->spec.ctx);
	log_event(
	    LOG_LEVEL_INFO, "child_stopped", "child=%s", child->spec.name);
}

/*
 * Starts all children.  If one fails to start, stops those already started and
 * returns its error; otherwise returns 0.
 */
int
sup_start(struct sup *sup)
{
	sup->stopping = false;
	for (uint32_t i = 0; i < sup->child_count; i++) {
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

/* Stops all children in reverse order of their start. */
void
sup_stop(struct sup *sup)
{
	sup->stopping = true;
	for (uint32_t i = sup->child_count; i > 0; i--)
		stop_child(&sup->children[i - 1]);
}

static struct child *
find_child(const struct sup *sup, const char *name)
{
	for (uint32_t i = 0; i < sup->child_count; i++) {
		if (strcmp(sup->children[i].spec.name, name) == 0)
			return (struct child *)&sup->children[i];
	}
	return NULL;
}

/* Returns whether more than restarts_max failures lie within the window. */
static bool
is_over_restart_limit(const struct child *child, int64_t now_us)
{
	const struct sup_options *options = &child->sup->options;
	uint32_t oldest = child->failure_count - options->restarts_max - 1;

	if (child->failure_count <= options->restarts_max)
		return false;
	return now_us - child->failed_us[oldest % SUP_RESTARTS_MAX] <=
	       (int64_t)options->window_ms * US_PER_MS;
}

static void
restart_child(void *ctx)
{
	struct child *child = ctx;
	int error;

	child->restart_timer = NULL;
	error = start_child(child);
	if (error != 0)
		sup_child_failed(child->sup, child->spec.name, error);
}

/*
 * Reports that a child has failed.  The child is stopped and restarted after
 * delay_ms.  If that exceeds the restart limit, the supervisor stops all its
 * children and reports its own failure through the failed callback instead.
 * The report is ignored for an unknown child, while the supervisor is stopping
 * and while a restart of the child is pending.
 */
void
sup_child_failed(struct sup *sup, const char *name, int error)
{
	struct child *child = find_child(sup, name);
	int64_t now_us = loop_now_us(sup->options.loop);

	if (child == NULL || sup->stopping || child->restart_timer != NULL)
		return;
	log_event(LOG_LEVEL_ERROR, "child_failed", "child=%s error=%s", name,
	    err_name(error));
	child->failed_us[child->failure_count++ % SUP_RESTARTS_MAX] = now_us;
	stop_child(child);
	if (is_over_restart_limit(child, now_us)) {
		sup_stop(sup);
		sup->options.failed(sup->options.ctx, name, error);
		return;
	}
	child->restart_timer = loop_after(sup->options.loop,
	    (int64_t)sup->options.delay_ms * US_PER_MS, restart_child, child);
}

/* Returns whether a child is running; false for an unknown name. */
bool
sup_child_running(const struct sup *sup, const char *name)
{
	const struct child *child = find_child(sup, name);

	return child != NULL && child->running;
}
