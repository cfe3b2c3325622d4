#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "gateway/document.h"
#include "gateway/farewells.h"
#include "gateway/gateway.h"
#include "gateway/replica.h"
#include "http/front.h"

enum {
	/* Parts of the descriptors, as divisors, with and without an entry */
	DESCRIPTORS_DIVISOR = 2,
	DESCRIPTORS_DIVISOR_ENTRY = 4,
	BODY_MAX_BYTES = 4 * 1024 * 1024,
	HEADER_MAX_BYTES = 16 * 1024,
	HEADER_TIMEOUT_MS = 3000,
	IDLE_TIMEOUT_MS = 60000,
	HTTP_OK = 200,
	HTTP_REDIRECT = 307
};

/*
 * A call that waits: an operator's change for its check or its outcome from the
 * log, a server's farewell for the disk.
 */
struct pending_change {
	struct gw_control *ctl;
	struct front_exchange *x; /* NULL: the caller closed the connection */
	const char *kind; /* name of the change in log lines */
	struct pending_change *next;
};

struct gw_control {
	struct gw *gw;
	struct front_server *server;
	struct gw_document_reader *documents;
	struct pending_change *pending_changes;
};

static void
answer_json(
    struct front_exchange *x, unsigned int status, const struct buf *body)
{
	static const struct front_header type = {
	    "Content-Type", "application/json"};

	front_answer(x, status, &type, 1, body->data, body->len);
}

static void
answer_error(struct gw_control *ctl, struct front_exchange *x, int error,
    const char *why)
{
	struct buf body;

	buf_init(&body, ctl->gw->alloc);
	ctl->gw->dialect->ops->write_error(ctl->gw->dialect, error, why, &body);
	answer_json(x, err_answer(error)->http_status, &body);
	buf_free(&body);
}

static void
answer_empty(struct front_exchange *x)
{
	static const struct front_header type = {
	    "Content-Type", "application/json"};

	front_answer(x, HTTP_OK, &type, 1, "{}", 2);
}

/*
 * Redirects a caller to the leader, which listens on the same port.  Answers
 * ERR_NO_QUORUM if no other instance is known to lead.
 */
static void
redirect_to_leader(struct gw_control *ctl, struct front_exchange *x)
{
	uint32_t leader =
	    ctl->gw->replica != NULL ? gw_replica_leader(ctl->gw->replica) : 0;
	char host[GW_NAME_BYTES], location[512];
	struct front_header header = {"Location", location};

	if (leader == 0 || leader == ctl->gw->self) {
		answer_error(ctl, x, ERR_NO_QUORUM, NULL);
		return;
	}
	gw_format_address(leader, host);
	snprintf(location, sizeof(location), "http://%s:%u%s", host,
	    ctl->gw->settings->control_listen.port, front_target(x));
	front_answer(x, HTTP_REDIRECT, &header, 1, NULL, 0);
}

/*
 * Frees a pending change.  Returns its call, or NULL if the caller has closed
 * the connection.
 */
static struct front_exchange *
end_pending(struct pending_change *pending)
{
	struct gw_control *ctl = pending->ctl;
	struct front_exchange *x = pending->x;

	for (struct pending_change **at = &ctl->pending_changes; *at != NULL;
	     at = &(*at)->next) {
		if (*at == pending) {
			*at = pending->next;
			break;
		}
	}
	if (x != NULL)
		front_set_data(x, NULL);
	alloc_free(ctl->gw->alloc, pending);
	return x;
}

/* Answers the operator's call with the outcome of its change. */
static void
change_done(void *ctx, int error)
{
	struct pending_change *pending = ctx;
	struct gw_control *ctl = pending->ctl;
	struct front_exchange *x;

	log_event(LOG_LEVEL_INFO, "order", "kind=%s result=%s", pending->kind,
	    err_name(error));
	x = end_pending(pending);
	if (x != NULL && error == 0)
		answer_empty(x);
	else if (x != NULL)
		answer_error(ctl, x, ERR_NO_QUORUM, NULL);
}

static struct pending_change *
add_pending(struct gw_control *ctl, struct front_exchange *x, const char *kind)
{
	struct pending_change *pending =
	    alloc_zero(ctl->gw->alloc, 1, sizeof(*pending));

	pending->ctl = ctl;
	pending->x = x;
	pending->kind = kind;
	pending->next = ctl->pending_changes;
	ctl->pending_changes = pending;
	front_set_data(x, pending);
	return pending;
}

static void
propose_change(struct gw_control *ctl, struct front_exchange *x,
    const char *kind, const struct buf *change)
{
	gw_replica_propose(
	    ctl->gw->replica, change, change_done, add_pending(ctl, x, kind));
}

/* Whether this instance may decide on the calls of operators. */
static bool
is_leader(const struct gw_control *ctl)
{
	return ctl->gw->replica != NULL &&
	       gw_replica_is_leader(ctl->gw->replica);
}

/*
 * Proposes a document that has been read.  A number that is not higher than the
 * one in force is accepted without effect.
 */
static void
propose_document(void *ctx, struct gw_document *document)
{
	struct pending_change *pending = ctx;
	struct gw_control *ctl = pending->ctl;
	struct front_exchange *x;

	if (document->error != 0) {
		log_event(LOG_LEVEL_WARN, "document_refused",
		    "number=%" PRIu64 " error=%s why=\"%s\"", document->number,
		    err_name(document->error), buf_text(&document->why));
		x = end_pending(pending);
		if (x != NULL)
			answer_error(
			    ctl, x, document->error, buf_text(&document->why));
	} else if (!is_leader(ctl)) {
		/* The leadership was lost in the meantime. */
		x = end_pending(pending);
		if (x != NULL)
			redirect_to_leader(ctl, x);
	} else if (gw_replica_holds_lease(ctl->gw->replica) &&
		   document->number <= ord_document_number(gw_replica_orders(
					   ctl->gw->replica))) {
		/*
		 * A higher number is in force, or this document was accepted
		 * before.
		 */
		x = end_pending(pending);
		if (x != NULL)
			answer_empty(x);
	} else {
		gw_replica_propose_document(ctl->gw->replica, document->number,
		    &document->text, change_done, pending);
	}
}

/* Checks an operator's document, then proposes it. */
static void
put_document(struct gw_control *ctl, struct front_exchange *x)
{
	gw_document_read(ctl->documents, front_body(x), propose_document,
	    add_pending(ctl, x, "document"));
}

/*
 * Answers with the document in force, or ERR_NO_QUORUM if this replica has no
 * lease or there is no document yet.
 */
static void
get_document(struct gw_control *ctl, struct front_exchange *x)
{
	const struct ord *orders = gw_replica_orders(ctl->gw->replica);

	if (!gw_replica_holds_lease(ctl->gw->replica) ||
	    ord_document_number(orders) == 0)
		answer_error(ctl, x, ERR_NO_QUORUM, NULL);
	else
		answer_json(x, HTTP_OK, ord_document_text(orders));
}

/*
 * Proposes a roll-out.  One to a version that is or was the service's target is
 * taken for the same order, which operators repeat until it is acknowledged: it
 * succeeds without effect, also when that roll-out has ended.
 */
static void
start_rollout(struct gw_control *ctl, struct front_exchange *x,
    struct gw_control_call *call)
{
	const struct ord_rollout *known = NULL;
	struct buf change;

	if (gw_replica_holds_lease(ctl->gw->replica))
		known = ord_find_rollout(gw_replica_orders(ctl->gw->replica),
		    call->rollout.service, call->rollout.target);
	if (known != NULL) {
		log_event(LOG_LEVEL_INFO, "order",
		    "kind=rollout result=known service=%s target=%s ended=%d",
		    known->service, known->target,
		    known->state >= ORD_COMPLETED);
		answer_empty(x);
		return;
	}
	call->rollout.ordered_wall_ms = clock_wall_us() / 1000;
	buf_init(&change, ctl->gw->alloc);
	ord_encode_rollout(&call->rollout, &change);
	propose_change(ctl, x, "rollout", &change);
	buf_free(&change);
}

static void
get_rollout(struct gw_control *ctl, struct front_exchange *x,
    const struct gw_control_call *call)
{
	const struct gw_dialect *dialect = ctl->gw->dialect;
	const struct ord_rollout *rollout;
	struct buf body;

	if (!gw_replica_holds_lease(ctl->gw->replica)) {
		answer_error(ctl, x, ERR_NO_QUORUM, NULL);
		return;
	}
	rollout = ord_newest_rollout(
	    gw_replica_orders(ctl->gw->replica), call->rollout.service);
	if (rollout == NULL) {
		answer_error(ctl, x, ERR_NOT_FOUND, NULL);
		return;
	}
	buf_init(&body, ctl->gw->alloc);
	dialect->ops->write_rollout(dialect, rollout, &body);
	answer_json(x, HTTP_OK, &body);
	buf_free(&body);
}

/*
 * Proposes to take a data centre out of use or back, unless it is so already.
 */
static void
set_data_centre_out(struct gw_control *ctl, struct front_exchange *x,
    const struct gw_control_call *call)
{
	bool out = call->kind == GW_CALL_DISABLE_DATA_CENTRE;
	struct buf change;

	if (gw_replica_holds_lease(ctl->gw->replica) &&
	    ord_is_disabled(gw_replica_orders(ctl->gw->replica),
		call->data_centre) == out) {
		answer_empty(x);
		return;
	}
	buf_init(&change, ctl->gw->alloc);
	ord_encode_disabled(call->data_centre, out, &change);
	propose_change(ctl, x, out ? "take_out" : "take_back", &change);
	buf_free(&change);
}

static void
answer_announced(struct gw_control *ctl, struct front_exchange *x)
{
	const struct gw_dialect *dialect = ctl->gw->dialect;
	struct buf body;

	buf_init(&body, ctl->gw->alloc);
	dialect->ops->write_announced(dialect, NULL, &body);
	answer_json(x, HTTP_OK, &body);
	buf_free(&body);
}

/*
 * Acknowledges a server's farewell.  Without it on the disk the server is asked
 * to call another instance.
 */
static void
farewell_recorded(void *ctx, int error)
{
	struct pending_change *pending = ctx;
	struct gw_control *ctl = pending->ctl;
	struct front_exchange *x = end_pending(pending);

	if (error != 0)
		log_event(LOG_LEVEL_WARN, "farewell_not_recorded", "error=%s",
		    err_name(error));
	if (x != NULL && error == 0)
		answer_announced(ctl, x);
	else if (x != NULL)
		answer_error(
		    ctl, x, ERR_NO_QUORUM, "the farewell is not on the disk");
}

/* Records what a backend server announces, or that it leaves. */
static void
handle_announcement(struct gw_control *ctl, struct front_exchange *x,
    struct gw_control_call *call)
{
	const struct registry_server *known =
	    registry_find(ctl->gw->registry, call->server.id);

	if (!registry_is_plausible(&call->server, clock_wall_us() / 1000)) {
		log_event(LOG_LEVEL_WARN, "announcement_rejected",
		    "server=%s born_ms=%" PRIu64, call->server.id,
		    call->server.born_ms);
		answer_error(
		    ctl, x, ERR_MALFORMED, "born: the time is in the future");
		return;
	}
	call->server.heard_us = loop_now_us(ctl->gw->loop);
	/* A server that leaves without naming its life ends its known life. */
	if (call->kind == GW_CALL_LEAVE && known != NULL) {
		if (call->server.born_ms == 0)
			call->server.born_ms = known->born_ms;
		if (call->server.seq == 0)
			call->server.seq = known->seq;
	}
	gw_server_announced(ctl->gw, &call->server);
	if (call->server.state == REGISTRY_READY || ctl->gw->farewells == NULL)
		answer_announced(ctl, x);
	else
		gw_farewells_await(ctl->gw->farewells, farewell_recorded,
		    add_pending(ctl, x, "farewell"));
}

/*
 * Handles a call that only the leader can answer; other replicas redirect it.
 */
static void
handle_leader_call(struct gw_control *ctl, struct front_exchange *x,
    struct gw_control_call *call)
{
	if (!is_leader(ctl)) {
		redirect_to_leader(ctl, x);
		return;
	}
	switch (call->kind) {
	case GW_CALL_PUT_DOCUMENT:
		put_document(ctl, x);
		break;
	case GW_CALL_GET_DOCUMENT:
		get_document(ctl, x);
		break;
	case GW_CALL_START_ROLLOUT:
		start_rollout(ctl, x, call);
		break;
	case GW_CALL_GET_ROLLOUT:
		get_rollout(ctl, x, call);
		break;
	case GW_CALL_DISABLE_DATA_CENTRE:
	case GW_CALL_ENABLE_DATA_CENTRE:
		set_data_centre_out(ctl, x, call);
		break;
	case GW_CALL_ANNOUNCE:
	case GW_CALL_LEAVE:
	case GW_CALL_UNKNOWN:
		answer_error(ctl, x, ERR_NOT_FOUND, NULL);
		break;
	}
}

static void
on_request(void *ctx, struct front_exchange *x)
{
	static struct gw_control_call call;
	struct gw_control *ctl = ctx;
	const struct gw_dialect *dialect = ctl->gw->dialect;
	struct buf why;
	int error;

	buf_init(&why, ctl->gw->alloc);
	error = dialect->ops->read_call(dialect, front_method(x),
	    front_target(x), front_body(x), &call, &why);
	if (error != 0) {
		log_event(LOG_LEVEL_WARN, "call_refused",
		    "method=%s error=%s why=\"%s\"", front_method(x),
		    err_name(error), buf_text(&why));
		answer_error(ctl, x, error, buf_text(&why));
	} else if (call.kind == GW_CALL_ANNOUNCE ||
		   call.kind == GW_CALL_LEAVE) {
		handle_announcement(ctl, x, &call);
	} else {
		handle_leader_call(ctl, x, &call);
	}
	buf_free(&why);
}

/* Detaches a pending change from its caller, who closed the connection. */
static void
on_caller_gone(void *ctx, struct front_exchange *x)
{
	struct pending_change *pending = front_data(x);

	(void)ctx;
	if (pending != NULL)
		pending->x = NULL;
}

static void
on_refused(void *ctx, int error)
{
	(void)ctx;
	log_event(LOG_LEVEL_WARN, "call_refused", "error=%s", err_name(error));
}

static const struct front_callbacks handler = {
    on_request, on_caller_gone, on_refused};

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_control *ctl;
	bool has_entry = gw->settings->listen.host[0] != '\0';
	struct front_options options = {
	    .alloc = memory_budget_alloc(&gw->memory.budget, MEMORY_CALLERS),
	    .loop = gw->loop,
	    .host = gw->settings->control_listen.host,
	    .port = gw->settings->control_listen.port,
	    .connections_max = gw->memory.descriptors_max /
			       (uint32_t)(has_entry ? DESCRIPTORS_DIVISOR_ENTRY
						    : DESCRIPTORS_DIVISOR),
	    .limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS,
		IDLE_TIMEOUT_MS},
	    .memory = &gw->memory.budget,
	    .handler = &handler};
	struct gw_document_reader_options documents = {.alloc = gw->alloc,
	    .loop = gw->loop,
	    .dialect = gw->dialect,
	    .from_operators = true};

	if (gw->settings->control_listen.host[0] == '\0')
		return 0;
	ctl = alloc_zero(gw->alloc, 1, sizeof(*ctl));
	ctl->gw = gw;
	options.ctx = ctl;
	ctl->server = front_new(&options);
	if (ctl->server == NULL) {
		alloc_free(gw->alloc, ctl);
		return ERR_IO;
	}
	ctl->documents = gw_document_reader_new(&documents);
	gw->control = ctl;
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_control *ctl = gw->control;

	if (ctl == NULL)
		return;
	gw->control = NULL;
	gw_document_reader_free(ctl->documents);
	front_free(ctl->server);
	while (ctl->pending_changes != NULL) {
		struct pending_change *pending = ctl->pending_changes;

		ctl->pending_changes = pending->next;
		if (gw->replica != NULL)
			gw_replica_drop_callbacks(gw->replica, pending);
		if (gw->farewells != NULL)
			gw_farewells_cancel(gw->farewells, pending);
		alloc_free(gw->alloc, pending);
	}
	alloc_free(gw->alloc, ctl);
}

struct sup_child_spec
gw_child_control(struct gw *gw)
{
	return (struct sup_child_spec){"control", start, stop, gw};
}
