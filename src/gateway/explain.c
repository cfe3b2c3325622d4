#include "gateway/explain.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "gateway/exchange.h"

enum {
	SERVERS_LISTED_MAX = 64,
	HTTP_OK = 200,
	HTTP_UNAVAILABLE = 503
};

/*
 * A copy of what the decisions change: the service and model states, the pool,
 * the random generator and the metrics.  Everything else is shared with the
 * entry and only read, but for what a look at crash marks drops as expired.
 */
struct scratch {
	struct gw gw;
	struct gw_entry entry;
	struct gw_exchange ex;
	struct header_fields headers;
	const char *host;
	const char *path;
};

static void
copy_services(struct scratch *scratch)
{
	const struct gw_entry_service *from = scratch->entry.services;
	struct gw_entry_service **at = &scratch->entry.services;

	for (; from != NULL; from = from->next) {
		*at = alloc_zero(scratch->gw.alloc, 1, sizeof(**at));
		**at = *from;
		gw_waiting_copy(&from->waiting, &(*at)->waiting);
		at = &(*at)->next;
	}
	*at = NULL;
}

static void
copy_models(struct scratch *scratch)
{
	const struct gw_entry_models *from = scratch->entry.models;
	struct gw_entry_models **at = &scratch->entry.models;

	for (; from != NULL; from = from->next) {
		*at = alloc_zero(scratch->gw.alloc, 1, sizeof(**at));
		**at = *from;
		at = &(*at)->next;
	}
	*at = NULL;
}

static struct scratch *
scratch_new(const struct gw *gw)
{
	struct scratch *scratch = alloc_zero(gw->alloc, 1, sizeof(*scratch));

	scratch->gw = *gw;
	scratch->gw.metrics = metrics_new(gw->alloc);
	scratch->entry = *gw->entry;
	scratch->entry.gw = &scratch->gw;
	scratch->entry.pool = pool_copy(gw->entry->pool);
	copy_services(scratch);
	copy_models(scratch);
	headers_init(&scratch->headers, gw->alloc);
	scratch->ex.entry = &scratch->entry;
	scratch->ex.arrived_us = loop_now_us(gw->loop);
	return scratch;
}

static void
scratch_free(struct scratch *scratch)
{
	const struct alloc *alloc = scratch->gw.alloc;
	struct gw_entry_service *service;
	struct gw_entry_models *models;

	while ((service = scratch->entry.services) != NULL) {
		scratch->entry.services = service->next;
		gw_waiting_free_copy(&service->waiting);
		alloc_free(alloc, service);
	}
	while ((models = scratch->entry.models) != NULL) {
		scratch->entry.models = models->next;
		alloc_free(alloc, models);
	}
	gw_entry_table_release(scratch->ex.table);
	pool_free_copy(scratch->entry.pool);
	metrics_free(scratch->gw.metrics);
	headers_free(&scratch->headers);
	alloc_free(alloc, scratch);
}

/* Adds the header fields of the question.  Returns whether all are texts. */
static bool
read_headers(struct scratch *scratch, const json_t *fields)
{
	const char *name;
	json_t *value;

	if (fields != NULL && !json_is_object(fields))
		return false;
	json_object_foreach((json_t *)fields, name, value)
	{
		const char *text = json_string_value(value);

		if (text == NULL || *name == '\0')
			return false;
		headers_parse_name(&scratch->headers, name, strlen(name));
		headers_parse_value(&scratch->headers, text, strlen(text));
	}
	headers_close(&scratch->headers);
	return !scratch->headers.overflow &&
	       scratch->gw.dialect->ops->read_request(scratch->gw.dialect,
		   &scratch->headers, &scratch->ex.request) == 0;
}

/* Gives the request a key of the workspace with a name.  Returns if it has one.
 */
static bool
set_workspace(struct scratch *scratch, const json_t *name)
{
	const struct gw_entry_table *table = scratch->entry.table;
	const char *key;

	if (name == NULL)
		return true;
	if (!json_is_string(name) || table == NULL)
		return false;
	key = route_table_key_of(table->routes, json_string_value(name));
	if (key == NULL || strlen(key) >= sizeof(scratch->ex.request.key))
		return false;
	memcpy(scratch->ex.request.key, key, strlen(key) + 1);
	return true;
}

/* Reads the question.  Returns NULL, or the name of the field that is wrong. */
static const char *
read_question(struct scratch *scratch, json_t *question)
{
	const char *name;
	json_t *value;

	json_object_foreach(question, name, value)
	{
		if (strcmp(name, "host") != 0 && strcmp(name, "path") != 0 &&
		    strcmp(name, "workspace") != 0 &&
		    strcmp(name, "headers") != 0)
			return name;
	}
	scratch->host = json_string_value(json_object_get(question, "host"));
	scratch->path = json_string_value(json_object_get(question, "path"));
	if (scratch->host == NULL || *scratch->host == '\0')
		return "host";
	if (scratch->path == NULL || *scratch->path != '/')
		return "path";
	if (!read_headers(scratch, json_object_get(question, "headers")))
		return "headers";
	if (!set_workspace(scratch, json_object_get(question, "workspace")))
		return "workspace";
	return NULL;
}

static const char *
decision_name(enum gw_place place)
{
	switch (place) {
	case GW_PLACE_SEND:
		return "send";
	case GW_PLACE_FORWARD:
		return "forward";
	case GW_PLACE_AWAIT_ORDERS:
		return "await_orders";
	case GW_PLACE_AWAIT_SERVERS:
		return "await_servers";
	case GW_PLACE_WAIT:
		return "wait";
	default:
		return "refuse";
	}
}

/* Returns why a request is refused. */
static const char *
refusal_name(const struct gw_placement *placement)
{
	switch (placement->place) {
	case GW_PLACE_REFUSE_FULL:
		return "servers_full";
	case GW_PLACE_REFUSE_LIMITED:
		return "servers_limited";
	case GW_PLACE_REFUSE_PAUSED:
		return "servers_paused";
	case GW_PLACE_REFUSE_CRASHES:
		return "crashes";
	default:
		return err_name(placement->error);
	}
}

static void
set_text(json_t *to, const char *name, const char *text)
{
	json_object_set_new(to, name, json_string(text));
}

static void
set_number(json_t *to, const char *name, int64_t number)
{
	json_object_set_new(to, name, json_integer(number));
}

/* Sets a figure, rounded to thousandths; null if it isn't finite. */
static void
set_figure(json_t *to, const char *name, double figure)
{
	json_object_set_new(to, name,
	    isfinite(figure) ? json_real(round(figure * 1000) / 1000)
			     : json_null());
}

/* Sets the age of something; null if there is none. */
static void
set_age(json_t *to, const char *name, bool is_known, int64_t age_us)
{
	json_object_set_new(to, name,
	    is_known ? json_integer(age_us / US_PER_MS) : json_null());
}

static json_t *
server_json(struct scratch *scratch, const struct pool_explained *e,
    const struct gw_placement *placement)
{
	const struct pool_server *s =
	    pool_server_at(scratch->entry.pool, e->server);
	int64_t now_us = scratch->ex.arrived_us;
	json_t *out = json_object();

	set_text(out, "id", s->announced.id);
	set_text(out, "data_centre", s->announced.data_centre);
	set_text(out, "version", s->announced.version);
	set_text(out, "reason",
	    e->server == placement->server ? "picked" : pool_fit_name(e->fit));
	set_figure(out, "first_event_ms", e->estimate.first_event_ms);
	set_figure(out, "error_ms", e->estimate.error_ms);
	set_number(out, "requests", e->requests);
	set_number(out, "own_requests", s->in_flight);
	set_number(out, "slots", s->announced.slots);
	set_number(out, "takes_well", e->estimate.takes_well);
	set_figure(out, "slowness", e->slowness);
	set_figure(out, "backlog_ms", e->backlog_ms);
	json_object_set_new(out, "is_prefix_home", json_boolean(e->is_home));
	if (pool_is_bounded(scratch->entry.pool, e->server, now_us)) {
		set_figure(out, "share_per_s",
		    pool_share_of(scratch->entry.pool, e->server, now_us)
			.per_s);
		set_figure(out, "share_left", s->bucket.tokens);
	}
	set_age(out, "announced_age_ms", true, now_us - s->announced.heard_us);
	set_age(out, "load_age_ms", s->has_load, now_us - s->load_reported_us);
	set_age(out, "others_age_ms", s->peer_reported_us != 0,
	    now_us - s->peer_reported_us);
	set_age(out, "pace_age_ms", s->pace.means.updated_us != 0,
	    now_us - s->pace.means.updated_us);
	return out;
}

/* Describes the servers of the request's service. */
static void
set_servers(
    struct scratch *scratch, const struct gw_placement *placement, json_t *out)
{
	struct pool_explained listed[SERVERS_LISTED_MAX];
	struct pool_explanation explanation;
	json_t *servers = json_array(), *reasons = json_object();

	pool_explain(scratch->entry.pool, &placement->query, placement->server,
	    scratch->ex.arrived_us, &explanation, listed, SERVERS_LISTED_MAX);
	for (uint16_t i = 0; i < explanation.count; i++)
		json_array_append_new(
		    servers, server_json(scratch, &listed[i], placement));
	for (int fit = 0; fit < POOL_FITS_COUNT; fit++) {
		if (explanation.by_fit[fit] > 0)
			set_number(reasons, pool_fit_name((enum pool_fit)fit),
			    explanation.by_fit[fit]);
	}
	set_number(out, "servers_total", explanation.total);
	set_number(
	    out, "servers_left_out", explanation.total - explanation.count);
	json_object_set_new(out, "servers_by_reason", reasons);
	json_object_set_new(out, "servers", servers);
}

/* Describes the wait for room, if one was considered. */
static void
set_wait(const struct scratch *scratch, const struct gw_placement *placement,
    json_t *out)
{
	const struct admission_wait *wait = &placement->wait;
	json_t *to;

	if (wait->now_us == 0)
		return;
	to = json_object();
	set_number(to, "ahead", wait->ahead);
	set_number(to, "level", gw_waiting_level(&scratch->ex));
	set_figure(to, "arriving_per_s", wait->arriving_per_s);
	set_figure(to, "sent_per_s", wait->sent_per_s);
	if (wait->sent_per_s > 0)
		set_number(to, "expected_ms",
		    admission_expected_wait_us(wait) / US_PER_MS);
	if (placement->until_us != 0)
		set_number(to, "longest_ms",
		    (placement->until_us - wait->now_us) / US_PER_MS);
	json_object_set_new(out, "wait", to);
}

static void
set_refusal(const struct scratch *scratch, const struct gw_placement *placement,
    json_t *out)
{
	const struct err_answer *row = err_answer(placement->error);

	set_text(out, "reason", refusal_name(placement));
	set_text(out, "error", err_name(placement->error));
	set_number(out, "status", row->http_status);
	if (row->http_status == HTTP_UNAVAILABLE)
		set_number(out, "retry_after_ms",
		    gw_exchange_retry_after_ms(
			&scratch->ex, placement->retry_ms));
}

/* Makes the decisions on the request and describes them. */
static json_t *
explain(struct scratch *scratch)
{
	static const struct buf no_body;
	struct gw_exchange *ex = &scratch->ex;
	struct gw_arrival arrival = {
	    .host = scratch->host, .target = scratch->path, .body = &no_body};
	struct gw_placement placement;
	struct cascade_choice choice;
	json_t *out = json_object();

	if (gw_exchange_prepare(ex, &arrival, &placement)) {
		if (gw_exchange_decide_model(ex, &choice)) {
			set_figure(out, "model_good", choice.good);
			set_figure(out, "model_good_later", choice.good_later);
		}
		if (gw_exchange_model(ex) != NULL)
			set_text(out, "model", gw_exchange_model(ex));
		gw_exchange_decide(ex, &placement);
	}
	set_text(out, "instance", scratch->gw.settings->instance);
	set_text(out, "data_centre", scratch->gw.settings->data_centre);
	set_number(out, "document",
	    ex->table != NULL ? (int64_t)ex->table->number : 0);
	set_text(out, "decision", decision_name(placement.place));
	if (ex->route != NULL)
		set_text(out, "route", ex->route->name);
	if (ex->workspace != NULL)
		set_text(out, "workspace", ex->workspace->name);
	if (ex->service_config != NULL) {
		set_text(out, "service", ex->service_config->name);
		set_number(out, "priority", ex->priority);
	}
	set_number(
	    out, "deadline_ms", (ex->deadline_us - ex->arrived_us) / US_PER_MS);
	if (placement.place == GW_PLACE_SEND)
		set_text(out, "server",
		    pool_server_at(scratch->entry.pool, placement.server)
			->announced.id);
	if (placement.place >= GW_PLACE_REFUSE)
		set_refusal(scratch, &placement, out);
	set_wait(scratch, &placement, out);
	if (placement.query.service != NULL)
		set_servers(scratch, &placement, out);
	return out;
}

static void
answer(struct front_exchange *x, unsigned int status, json_t *body)
{
	static const struct front_header type = {
	    "Content-Type", "application/json"};
	char *text = json_dumps(body, JSON_COMPACT);

	front_answer(x, status, &type, 1, text, strlen(text));
	free(text);
	json_decref(body);
}

/* Answers an error that names a field of the question; NULL: none. */
static void
answer_error(
    struct front_exchange *x, int error, const char *message, const char *field)
{
	json_t *body = json_object(), *inner = json_object();

	set_text(inner, "message", message);
	if (field != NULL)
		set_text(inner, "param", field);
	json_object_set_new(body, "error", inner);
	answer(x, err_answer(error)->http_status, body);
}

/*
 * Returns the explanation of the request that a question describes, or NULL and
 * the name of the field that is wrong.  The instance has an entry.
 */
json_t *
gw_explain_question(
    const struct gw *gw, json_t *question, const char **wrong_field)
{
	struct scratch *scratch = scratch_new(gw);
	json_t *out = NULL;

	*wrong_field = read_question(scratch, question);
	if (*wrong_field == NULL)
		out = explain(scratch);
	scratch_free(scratch);
	return out;
}

/* Answers the question of an operator where a request would go now. */
void
gw_explain(struct gw *gw, struct front_exchange *x)
{
	const struct buf *body = front_body(x);
	json_t *question, *out;
	const char *wrong_field;

	if (gw->entry == NULL) {
		answer_error(x, ERR_NOT_FOUND,
		    "this instance takes no callers' requests", NULL);
		return;
	}
	question =
	    json_loadb(body->data != NULL ? (const char *)body->data : "",
		body->len, 0, NULL);
	if (!json_is_object(question)) {
		answer_error(
		    x, ERR_MALFORMED, "the question is no JSON object", NULL);
		json_decref(question);
		return;
	}
	out = gw_explain_question(gw, question, &wrong_field);
	if (out != NULL)
		answer(x, HTTP_OK, out);
	else
		answer_error(x, ERR_MALFORMED,
		    "a field is missing, unknown or has no valid value",
		    wrong_field);
	json_decref(question);
}
