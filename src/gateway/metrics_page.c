#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "gateway/entry.h"
#include "gateway/explain.h"
#include "gateway/follow.h"
#include "gateway/metrics_page.h"
#include "gateway/replica.h"

enum {
	CONNECTIONS_MAX = 16,
	HEADER_MAX_BYTES = 8192,
	BODY_MAX_BYTES = 4096,
	HEADER_TIMEOUT_MS = 3000,
	IDLE_TIMEOUT_MS = 15000,
	HTTP_OK = 200
};

/* Servers that take this many times as long as others count as slow. */
static const double slow_factor = 1.5;

struct gw_metrics_page {
	struct gw *gw;
	struct front_server *front;
};

static void
set_sample(
    struct gw *gw, enum metrics_kind kind, const char *name, uint64_t value)
{
	metrics_get(gw->metrics, kind, name, "")->value = value;
}

/* Updates the metrics that are read from the entry's state. */
static void
update_entry_values(struct gw *gw)
{
	const struct gw_entry *e = gw->entry;
	int64_t left_us = gw_follower_lease_left_us(gw->order_follower);
	struct pool_withdrawn withdrawn =
	    pool_withdrawn(e->pool, NULL, loop_now_us(gw->loop));
	uint64_t servers = 0, suspects = 0, in_flight = 0, slow = 0,
		 bounded = 0;
	uint32_t waiting[ADMISSION_LEVELS] = {0};
	int64_t now_us = loop_now_us(gw->loop);

	for (uint16_t i = 0; i < pool_server_count(e->pool); i++) {
		const struct pool_server *s = pool_server_at(e->pool, i);

		servers += s->used;
		suspects += s->used && (s->down_until_us > now_us ||
					   s->ejected_until_us > now_us);
		in_flight += s->in_flight;
		if (!s->used)
			continue;
		slow += pool_slowness(e->pool, i, now_us) >= slow_factor;
		bounded +=
		    pool_takes_well(e->pool, i, now_us) < s->announced.slots;
	}
	for (struct gw_entry_service *service = e->services; service != NULL;
	     service = service->next) {
		for (int level = 0; level < ADMISSION_LEVELS; level++)
			waiting[level] += service->waiting.level_counts[level];
		double left = retry_budget_read(&service->budget, now_us).left;

		service->budget_left->value = left > 0 ? (uint64_t)left : 0;
	}
	for (int level = 0; level < ADMISSION_LEVELS; level++) {
		char label[32];

		snprintf(label, sizeof(label), "level=\"%d\"", level);
		metrics_get(gw->metrics, METRICS_GAUGE,
		    "celeryford_waiting_requests", label)
		    ->value = waiting[level];
	}
	set_sample(gw, METRICS_GAUGE, "celeryford_retry_slack_instances",
	    e->members.count);
	set_sample(gw, METRICS_GAUGE, "celeryford_servers", servers);
	set_sample(gw, METRICS_GAUGE, "celeryford_servers_suspected", suspects);
	set_sample(gw, METRICS_GAUGE, "celeryford_servers_slow", slow);
	set_sample(
	    gw, METRICS_GAUGE, "celeryford_servers_below_slots", bounded);
	set_sample(gw, METRICS_GAUGE, "celeryford_crash_marks",
	    suspects_mark_count(e->suspects, 1, loop_now_us(gw->loop)));
	set_sample(gw, METRICS_GAUGE, "celeryford_crash_marks_refused",
	    suspects_mark_count(
		e->suspects, SUSPECTS_REFUSED_MIN, loop_now_us(gw->loop)));
	set_sample(gw, METRICS_COUNTER,
	    "celeryford_crash_suspects_dropped_total",
	    suspects_dropped_count(e->suspects));
	set_sample(
	    gw, METRICS_GAUGE, "celeryford_servers_leaving", withdrawn.leaving);
	set_sample(
	    gw, METRICS_GAUGE, "celeryford_servers_paused", withdrawn.paused);
	set_sample(
	    gw, METRICS_GAUGE, "celeryford_servers_limited", withdrawn.limited);
	set_sample(
	    gw, METRICS_GAUGE, "celeryford_servers_brittle", withdrawn.brittle);
	set_sample(gw, METRICS_COUNTER, "celeryford_bounded_choices_total",
	    pool_bounded_count(e->pool));
	set_sample(
	    gw, METRICS_GAUGE, "celeryford_attempts_in_flight", in_flight);
	set_sample(gw, METRICS_GAUGE, "celeryford_open_requests",
	    front_open_exchanges(e->front));
	set_sample(gw, METRICS_GAUGE, "celeryford_caller_connections",
	    front_connection_count(e->front));
	set_sample(gw, METRICS_COUNTER, "celeryford_unread_closed_total",
	    front_unread_closed(e->front));
	set_sample(gw, METRICS_COUNTER, "celeryford_server_connections_total",
	    upstream_dial_count(e->client));
	set_sample(gw, METRICS_GAUGE, "celeryford_orders_revision",
	    ord_revision(gw_follower_orders(gw->order_follower)));
	set_sample(gw, METRICS_GAUGE, "celeryford_document_number",
	    e->table != NULL ? e->table->number : 0);
	set_sample(gw, METRICS_GAUGE, "celeryford_orders_lease_milliseconds",
	    left_us > 0 ? (uint64_t)left_us / 1000 : 0);
}

/* Updates all metrics that are read from state and not counted as events. */
static void
update_values(struct gw *gw)
{
	uint32_t control[64];

	set_sample(gw, METRICS_GAUGE, "celeryford_control_instances",
	    gw_list_control_instances(gw, control, 64));
	set_sample(gw, METRICS_GAUGE, "celeryford_entry_instances",
	    gw_entry_members(gw).count);
	set_sample(gw, METRICS_GAUGE, "celeryford_registered_servers",
	    registry_live_count(gw->registry));
	set_sample(gw, METRICS_COUNTER, "celeryford_log_lines_left_out_total",
	    log_dropped_lines());
	gw_update_link_metrics(gw);
	gw_memory_update_metrics(gw);
	if (gw->entry != NULL)
		update_entry_values(gw);
	if (gw->replica != NULL)
		gw_replica_update_metrics(gw->replica);
}

/* Answers GET /metrics and POST /explain, and anything else with 404. */
static void
on_request(void *ctx, struct front_exchange *x)
{
	static const struct front_header type = {
	    "Content-Type", "text/plain; version=0.0.4"};
	struct gw_metrics_page *page = ctx;
	struct buf text;

	if (strcmp(front_method(x), "POST") == 0 &&
	    strcmp(front_target(x), "/explain") == 0) {
		gw_explain(page->gw, x);
		return;
	}
	if (strcmp(front_method(x), "GET") != 0 ||
	    strcmp(front_target(x), "/metrics") != 0) {
		front_answer(x, err_answer(ERR_NOT_FOUND)->http_status, NULL, 0,
		    NULL, 0);
		return;
	}
	buf_init(&text, page->gw->alloc);
	update_values(page->gw);
	metrics_print(page->gw->metrics, &text);
	front_answer(x, HTTP_OK, &type, 1, text.data, text.len);
	buf_free(&text);
}

static void
on_gone(void *ctx, struct front_exchange *x)
{
	(void)ctx;
	(void)x;
}

static void
on_refused(void *ctx, int error)
{
	(void)ctx;
	log_event(LOG_LEVEL_INFO, "metrics_request_unreadable", "error=%s",
	    err_name(error));
}

static const struct front_callbacks handler = {on_request, on_gone, on_refused};

/*
 * Starts the metrics page, if an address is configured.  Returns 0 or ERR_IO.
 */
static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_metrics_page *page;
	struct front_options options = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .host = gw->settings->metrics_listen.host,
	    .port = gw->settings->metrics_listen.port,
	    .connections_max = CONNECTIONS_MAX,
	    .limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS,
		IDLE_TIMEOUT_MS},
	    .handler = &handler};

	if (gw->settings->metrics_listen.host[0] == '\0')
		return 0;
	page = alloc_zero(gw->alloc, 1, sizeof(*page));
	page->gw = gw;
	options.ctx = page;
	page->front = front_new(&options);
	if (page->front == NULL) {
		alloc_free(gw->alloc, page);
		return ERR_IO;
	}
	gw->metrics_page = page;
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;

	if (gw->metrics_page == NULL)
		return;
	front_free(gw->metrics_page->front);
	alloc_free(gw->alloc, gw->metrics_page);
	gw->metrics_page = NULL;
}

/* Returns the supervisor's specification of the metrics page. */
struct sup_child_spec
gw_child_metrics(struct gw *gw)
{
	return (struct sup_child_spec){"metrics", start, stop, gw};
}
