#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "gateway/entry.h"
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

struct gm {
	struct gw *gw;
	struct hf *server;
};

static void
set(struct gw *gw, enum metrics_kind kind, const char *name, uint64_t value)
{
	metrics_get(gw->metrics, kind, name, "")->value = value;
}

static void
measure_entry(struct gw *gw)
{
	const struct ge *ge = gw->entry;
	int64_t left_us = gf_left_us(gw->follow);
	struct pl_spared spared =
	    pl_spared(ge->pool, NULL, loop_now_us(gw->loop));
	uint64_t servers = 0, suspects = 0, in_flight = 0;
	int64_t now_us = loop_now_us(gw->loop);

	for (uint16_t i = 0; i < pl_count(ge->pool); i++) {
		const struct pl_server *s = pl_at(ge->pool, i);

		servers += s->used;
		suspects += s->used && (s->down_until_us > now_us ||
					   s->ejected_until_us > now_us);
		in_flight += s->in_flight;
	}
	for (struct ge_service *v = ge->services; v != NULL; v = v->next) {
		double left = bu_read(&v->budget, now_us).left;

		v->budget_left->value = left > 0 ? (uint64_t)left : 0;
	}
	set(gw, METRICS_GAUGE, "celeryford_retry_slack_instances",
	    ge->instances);
	set(gw, METRICS_GAUGE, "celeryford_servers", servers);
	set(gw, METRICS_GAUGE, "celeryford_servers_suspected", suspects);
	set(gw, METRICS_GAUGE, "celeryford_crash_marks",
	    su_marks(ge->suspects, 1, loop_now_us(gw->loop)));
	set(gw, METRICS_GAUGE, "celeryford_crash_marks_refused",
	    su_marks(ge->suspects, GE_CRASHES_REFUSED, loop_now_us(gw->loop)));
	set(gw, METRICS_COUNTER, "celeryford_crash_suspects_dropped_total",
	    su_dropped(ge->suspects));
	set(gw, METRICS_GAUGE, "celeryford_servers_leaving", spared.leaving);
	set(gw, METRICS_GAUGE, "celeryford_servers_paused", spared.paused);
	set(gw, METRICS_GAUGE, "celeryford_attempts_in_flight", in_flight);
	set(gw, METRICS_GAUGE, "celeryford_open_requests",
	    hf_open_exchanges(ge->front));
	set(gw, METRICS_GAUGE, "celeryford_caller_connections",
	    hf_connections(ge->front));
	set(gw, METRICS_COUNTER, "celeryford_server_connections_total",
	    hu_dialled(ge->client));
	set(gw, METRICS_GAUGE, "celeryford_orders_revision",
	    ord_revision(gf_orders(gw->follow)));
	set(gw, METRICS_GAUGE, "celeryford_document_number",
	    ge->table != NULL ? ge->table->number : 0);
	set(gw, METRICS_GAUGE, "celeryford_orders_lease_milliseconds",
	    left_us > 0 ? (uint64_t)left_us / 1000 : 0);
}

static void
measure(struct gw *gw)
{
	uint32_t control[64];

	set(gw, METRICS_GAUGE, "celeryford_control_instances",
	    gw_control_instances(gw, control, 64));
	set(gw, METRICS_GAUGE, "celeryford_entry_instances",
	    gw_entry_instances(gw));
	set(gw, METRICS_GAUGE, "celeryford_registered_servers",
	    rg_count(gw->registry));
	set(gw, METRICS_COUNTER, "celeryford_log_lines_left_out_total",
	    log_left_out());
	gw_measure_links(gw);
	if (gw->entry != NULL)
		measure_entry(gw);
	if (gw->replica != NULL)
		gr_measure(gw->replica);
}

static void
on_request(void *ctx, struct hf_exchange *x)
{
	static const struct hf_header type = {
	    "Content-Type", "text/plain; version=0.0.4"};
	struct gm *gm = ctx;
	struct buf text;

	if (strcmp(hf_method(x), "GET") != 0 ||
	    strcmp(hf_target(x), "/metrics") != 0) {
		hf_answer(x, err_answer(ERR_NOT_FOUND)->http_status, NULL, 0,
		    NULL, 0);
		return;
	}
	buf_init(&text, gm->gw->alloc);
	measure(gm->gw);
	metrics_print(gm->gw->metrics, &text);
	hf_answer(x, HTTP_OK, &type, 1, text.data, text.len);
	buf_free(&text);
}

static void
on_gone(void *ctx, struct hf_exchange *x)
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

static const struct hf_handler handler = {on_request, on_gone, on_refused};

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gm *gm;
	struct hf_options options = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .host = gw->settings->metrics_listen.host,
	    .port = gw->settings->metrics_listen.port,
	    .connections_max = CONNECTIONS_MAX,
	    .limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS,
		IDLE_TIMEOUT_MS},
	    .handler = &handler};

	if (gw->settings->metrics_listen.host[0] == '\0')
		return 0;
	gm = alloc_zero(gw->alloc, 1, sizeof(*gm));
	gm->gw = gw;
	options.ctx = gm;
	gm->server = hf_new(&options);
	if (gm->server == NULL) {
		alloc_free(gw->alloc, gm);
		return ERR_IO;
	}
	gw->metrics_page = gm;
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;

	if (gw->metrics_page == NULL)
		return;
	hf_free(gw->metrics_page->server);
	alloc_free(gw->alloc, gw->metrics_page);
	gw->metrics_page = NULL;
}

struct sup_child_spec
gw_child_metrics(struct gw *gw)
{
	return (struct sup_child_spec){"metrics", start, stop, gw};
}
