#include "gateway/memory.h"

#include <inttypes.h>
#include <sys/resource.h>

#include "base/log.h"
#include "gateway/gateway.h"

enum {
	BYTES_PER_MB = 1024 * 1024,
	/*
	 * The budget's part of the memory, as a divisor; the rest is for state,
	 * for the allocator's gaps and for bytes that have not been read.
	 */
	BUDGET_DIVISOR = 2,
	/* Descriptors for links, listeners and files */
	DESCRIPTORS_OWN = 32,
	LOG_INTERVAL_US = 1000000
};

static const char *const kind_labels[MEMORY_KIND_COUNT] = {
    "kind=\"callers\"", "kind=\"answers\"", "kind=\"servers\""};

/* Logs that memory is short, at most once in LOG_INTERVAL_US. */
static void
log_short(struct gw *gw)
{
	struct gw_memory *m = &gw->memory;
	const struct memory_budget *b = &m->budget;
	int64_t now_us = loop_now_us(gw->loop);

	if (m->logged_us != 0 && now_us - m->logged_us < LOG_INTERVAL_US)
		return;
	log_event(LOG_LEVEL_WARN, "memory_short",
	    "held_bytes=%zu total_bytes=%zu callers=%zu answers=%zu "
	    "servers=%zu closed=%" PRIu64 " refused=%" PRIu64,
	    b->held_bytes, b->total_bytes, b->held_by_kind[MEMORY_CALLERS],
	    b->held_by_kind[MEMORY_ANSWERS], b->held_by_kind[MEMORY_SERVERS],
	    b->closed - m->logged_closed, b->refused - m->logged_refused);
	m->logged_us = now_us;
	m->logged_closed = b->closed;
	m->logged_refused = b->refused;
}

static void
on_shed(void *ctx)
{
	struct gw *gw = ctx;

	gw->memory.shed_timer = NULL;
	(void)memory_budget_shed(&gw->memory.budget);
	log_short(gw);
}

/* Closes connections in the next turn of the loop, as one may be in use now. */
static void
on_short(void *ctx)
{
	struct gw *gw = ctx;

	if (gw->memory.shed_timer == NULL)
		gw->memory.shed_timer = loop_after(gw->loop, 0, on_shed, gw);
}

/* Sets the budget and the number of descriptors from the settings. */
void
gw_memory_init(struct gw *gw)
{
	const struct gw_settings *s = gw->settings;
	struct rlimit limit;

	memory_budget_init(&gw->memory.budget,
	    (size_t)s->memory_mb * BYTES_PER_MB / BUDGET_DIVISOR, on_short, gw);
	gw->memory.descriptors_max = s->descriptors_max;
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    limit.rlim_cur < s->descriptors_max)
		gw->memory.descriptors_max = (uint32_t)limit.rlim_cur;
	if (gw->memory.descriptors_max > DESCRIPTORS_OWN)
		gw->memory.descriptors_max -= DESCRIPTORS_OWN;
}

void
gw_memory_update_metrics(struct gw *gw)
{
	const struct memory_budget *b = &gw->memory.budget;

	for (int kind = 0; kind < MEMORY_KIND_COUNT; kind++)
		metrics_get(gw->metrics, METRICS_GAUGE,
		    "celeryford_memory_held_bytes", kind_labels[kind])
		    ->value = b->held_by_kind[kind];
	metrics_get(
	    gw->metrics, METRICS_GAUGE, "celeryford_memory_total_bytes", "")
	    ->value = b->total_bytes;
	metrics_get(
	    gw->metrics, METRICS_COUNTER, "celeryford_memory_refused_total", "")
	    ->value = b->refused;
	metrics_get(
	    gw->metrics, METRICS_COUNTER, "celeryford_memory_closed_total", "")
	    ->value = b->closed;
}
