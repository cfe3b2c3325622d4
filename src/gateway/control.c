#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "gateway/replica.h"
#include "http/front.h"

enum {
	CONNECTIONS_MAX = 2000,
	BODY_MAX_BYTES = 4 * 1024 * 1024,
	HEADER_MAX_BYTES = 16 * 1024,
	HEADER_TIMEOUT_MS = 3000,
	IDLE_TIMEOUT_MS = 60000,
	HTTP_OK = 200,
	HTTP_REDIRECT = 307
};

/* One order that waits for the log. */
struct order {
	struct gc *gc;
	struct hf_exchange *x; /* NULL: the operator has left */
	const char *what;
	struct order *next;
};

struct gc {
	struct gw *gw;
	struct hf *server;
	struct order *orders;
};

/* Operators' and backend servers' calls. */

static void
answer_text(struct hf_exchange *x, unsigned int status, const struct buf *body)
{
	static const struct hf_header type = {
	    "Content-Type", "application/json"};

	hf_answer(x, status, &type, 1, body->data, body->len);
}

static void
answer_error(struct gc *gc, struct hf_exchange *x, int error, const char *why)
{
	struct buf body;

	buf_init(&body, gc->gw->alloc);
	gc->gw->dialect->ops->write_error(gc->gw->dialect, error, why, &body);
	answer_text(x, err_answer(error)->http_status, &body);
	buf_free(&body);
}

static void
answer_empty(struct hf_exchange *x)
{
	static const struct hf_header type = {
	    "Content-Type", "application/json"};

	hf_answer(x, HTTP_OK, &type, 1, "{}", 2);
}

/* Sends a caller on to the leader, which listens on the same port. */
static void
answer_elsewhere(struct gc *gc, struct hf_exchange *x)
{
	uint32_t leader =
	    gc->gw->replica != NULL ? gr_leader(gc->gw->replica) : 0;
	char host[GS_NAME_BYTES], location[512];
	struct hf_header header = {"Location", location};

	if (leader == 0 || leader == gc->gw->self) {
		answer_error(gc, x, ERR_NO_QUORUM, NULL);
		return;
	}
	gw_address_text(leader, host);
	snprintf(location, sizeof(location), "http://%s:%u%s", host,
	    gc->gw->settings->control_listen.port, hf_target(x));
	hf_answer(x, HTTP_REDIRECT, &header, 1, NULL, 0);
}

static void
order_done(void *ctx, int error)
{
	struct order *order = ctx;
	struct gc *gc = order->gc;

	for (struct order **at = &gc->orders; *at != NULL; at = &(*at)->next) {
		if (*at == order) {
			*at = order->next;
			break;
		}
	}
	log_event(LOG_LEVEL_INFO, "order", "kind=%s result=%s", order->what,
	    err_name(error));
	if (order->x != NULL) {
		hf_set_data(order->x, NULL);
		if (error == 0)
			answer_empty(order->x);
		else
			answer_error(gc, order->x, ERR_NO_QUORUM, NULL);
	}
	alloc_free(gc->gw->alloc, order);
}

static struct order *
new_order(struct gc *gc, struct hf_exchange *x, const char *what)
{
	struct order *order = alloc_zero(gc->gw->alloc, 1, sizeof(*order));

	order->gc = gc;
	order->x = x;
	order->what = what;
	order->next = gc->orders;
	gc->orders = order;
	hf_set_data(x, order);
	return order;
}

static void
propose(struct gc *gc, struct hf_exchange *x, const char *what,
    const struct buf *change)
{
	gr_propose(gc->gw->replica, change, order_done, new_order(gc, x, what));
}

static void
put_document(struct gc *gc, struct hf_exchange *x)
{
	const struct dl_dialect *dialect = gc->gw->dialect;
	const struct buf *text = hf_body(x);
	struct rt_table *table = NULL;
	uint64_t number = 0;
	struct buf why;
	int error;

	buf_init(&why, gc->gw->alloc);
	error = dialect->ops->read_document(
	    dialect, buf_text(text), text->len, &table, &number, &why);
	rt_free(table);
	if (error != 0) {
		log_event(LOG_LEVEL_WARN, "document_refused",
		    "number=%" PRIu64 " error=%s why=\"%s\"", number,
		    err_name(error), buf_text(&why));
		answer_error(gc, x, error, buf_text(&why));
	} else if (gr_is_current(gc->gw->replica) &&
		   number <= ord_number(gr_orders(gc->gw->replica))) {
		/* A higher one is in force, or this one was taken before. */
		answer_empty(x);
	} else {
		gr_propose_document(gc->gw->replica, number, text, order_done,
		    new_order(gc, x, "document"));
	}
	buf_free(&why);
}

static void
get_document(struct gc *gc, struct hf_exchange *x)
{
	const struct ord *ord = gr_orders(gc->gw->replica);

	if (!gr_is_current(gc->gw->replica) || ord_number(ord) == 0)
		answer_error(gc, x, ERR_NO_QUORUM, NULL);
	else
		answer_text(x, HTTP_OK, ord_text(ord));
}

static void
start_rollout(struct gc *gc, struct hf_exchange *x, struct dl_call *call)
{
	struct buf change;

	if (gr_is_current(gc->gw->replica) &&
	    ord_is_target(gr_orders(gc->gw->replica), call->rollout.service,
		call->rollout.target)) {
		answer_empty(x);
		return;
	}
	call->rollout.ordered_wall_ms = clock_wall_us() / 1000;
	buf_init(&change, gc->gw->alloc);
	ord_encode_rollout(&call->rollout, &change);
	propose(gc, x, "rollout", &change);
	buf_free(&change);
}

static void
get_rollout(struct gc *gc, struct hf_exchange *x, const struct dl_call *call)
{
	const struct dl_dialect *dialect = gc->gw->dialect;
	const struct ord_rollout *rollout;
	struct buf body;

	if (!gr_is_current(gc->gw->replica)) {
		answer_error(gc, x, ERR_NO_QUORUM, NULL);
		return;
	}
	rollout =
	    ord_rollout_of(gr_orders(gc->gw->replica), call->rollout.service);
	if (rollout == NULL) {
		answer_error(gc, x, ERR_NOT_FOUND, NULL);
		return;
	}
	buf_init(&body, gc->gw->alloc);
	dialect->ops->write_rollout(dialect, rollout, &body);
	answer_text(x, HTTP_OK, &body);
	buf_free(&body);
}

static void
take_out(struct gc *gc, struct hf_exchange *x, const struct dl_call *call)
{
	bool out = call->kind == DL_TAKE_OUT;
	struct buf change;

	if (gr_is_current(gc->gw->replica) &&
	    ord_is_out(gr_orders(gc->gw->replica), call->data_centre) == out) {
		answer_empty(x);
		return;
	}
	buf_init(&change, gc->gw->alloc);
	ord_encode_out(call->data_centre, out, &change);
	propose(gc, x, out ? "take_out" : "take_back", &change);
	buf_free(&change);
}

static void
server_said(struct gc *gc, struct hf_exchange *x, struct dl_call *call)
{
	const struct dl_dialect *dialect = gc->gw->dialect;
	const struct rg_server *known =
	    rg_find(gc->gw->registry, call->server.id);
	struct buf body;

	call->server.heard_us = loop_now_us(gc->gw->loop);
	/* A farewell that names no life ends the one that is known. */
	if (call->kind == DL_LEAVE && known != NULL) {
		if (call->server.born_ms == 0)
			call->server.born_ms = known->born_ms;
		if (call->server.seq == 0)
			call->server.seq = known->seq;
	}
	gw_server_heard(gc->gw, &call->server);
	buf_init(&body, gc->gw->alloc);
	dialect->ops->write_announced(dialect, NULL, &body);
	answer_text(x, HTTP_OK, &body);
	buf_free(&body);
}

/* Calls that only the leader can answer. */
static void
leader_call(struct gc *gc, struct hf_exchange *x, struct dl_call *call)
{
	if (gc->gw->replica == NULL || !gr_leads(gc->gw->replica)) {
		answer_elsewhere(gc, x);
		return;
	}
	switch (call->kind) {
	case DL_PUT_DOCUMENT:
		put_document(gc, x);
		break;
	case DL_GET_DOCUMENT:
		get_document(gc, x);
		break;
	case DL_START_ROLLOUT:
		start_rollout(gc, x, call);
		break;
	case DL_GET_ROLLOUT:
		get_rollout(gc, x, call);
		break;
	case DL_TAKE_OUT:
	case DL_TAKE_BACK:
		take_out(gc, x, call);
		break;
	case DL_ANNOUNCE:
	case DL_LEAVE:
	case DL_UNKNOWN_CALL:
		answer_error(gc, x, ERR_NOT_FOUND, NULL);
		break;
	}
}

static void
on_request(void *ctx, struct hf_exchange *x)
{
	static struct dl_call call;
	struct gc *gc = ctx;
	const struct dl_dialect *dialect = gc->gw->dialect;
	struct buf why;
	int error;

	buf_init(&why, gc->gw->alloc);
	error = dialect->ops->read_call(
	    dialect, hf_method(x), hf_target(x), hf_body(x), &call, &why);
	if (error != 0) {
		log_event(LOG_LEVEL_WARN, "call_refused",
		    "method=%s error=%s why=\"%s\"", hf_method(x),
		    err_name(error), buf_text(&why));
		answer_error(gc, x, error, buf_text(&why));
	} else if (call.kind == DL_ANNOUNCE || call.kind == DL_LEAVE) {
		server_said(gc, x, &call);
	} else {
		leader_call(gc, x, &call);
	}
	buf_free(&why);
}

static void
on_gone(void *ctx, struct hf_exchange *x)
{
	struct order *order = hf_data(x);

	(void)ctx;
	if (order != NULL)
		order->x = NULL;
}

static void
on_refused(void *ctx, int error)
{
	(void)ctx;
	log_event(LOG_LEVEL_WARN, "call_refused", "error=%s", err_name(error));
}

static const struct hf_handler handler = {on_request, on_gone, on_refused};

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gc *gc;
	struct hf_options options = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .host = gw->settings->control_listen.host,
	    .port = gw->settings->control_listen.port,
	    .connections_max = CONNECTIONS_MAX,
	    .limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS,
		IDLE_TIMEOUT_MS},
	    .handler = &handler};

	if (gw->settings->control_listen.host[0] == '\0')
		return 0;
	gc = alloc_zero(gw->alloc, 1, sizeof(*gc));
	gc->gw = gw;
	options.ctx = gc;
	gc->server = hf_new(&options);
	if (gc->server == NULL) {
		alloc_free(gw->alloc, gc);
		return ERR_IO;
	}
	gw->control = gc;
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gc *gc = gw->control;

	if (gc == NULL)
		return;
	gw->control = NULL;
	hf_free(gc->server);
	while (gc->orders != NULL) {
		struct order *order = gc->orders;

		gc->orders = order->next;
		if (gw->replica != NULL)
			gr_forget(gw->replica, order);
		alloc_free(gw->alloc, order);
	}
	alloc_free(gw->alloc, gc);
}

struct sup_child_spec
gw_child_control(struct gw *gw)
{
	return (struct sup_child_spec){"control", start, stop, gw};
}
