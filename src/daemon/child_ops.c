#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "config/compile.h"
#include "daemon/node.h"
#include "daemon/operator.h"
#include "daemon/state.h"
#include "entry/answer.h"

/* The ops child: the port for metrics, health and operators' requests. */

enum {
	/* The part of the memory that bodies may take, as a divisor */
	OPS_BODIES_DIVISOR = 16,
	HTTP_OK = 200,
	BODY_BYTES = 128
};

static const char bearer[] = "Bearer ";

static bool
is_ready(void *ctx, struct buf *why)
{
	struct node *node = ctx;

	if (node->draining)
		buf_adds(why, "draining\n");
	else if (node_cfg(node) == NULL)
		buf_adds(why, "no configuration yet\n");
	return why->len == 0;
}

static void
set_metric(
    struct node *node, enum metrics_kind kind, const char *name, uint64_t value)
{
	metrics_get(node->metrics, kind, name, "")->value = value;
}

static void
update_metrics(void *ctx)
{
	struct node *node = ctx;
	const struct peer_stats *stats = peer_stats(node->hub);

	set_metric(node, METRICS_COUNTER, "celeryford_peer_sent_bytes_total",
	    stats->sent_bytes);
	set_metric(node, METRICS_COUNTER,
	    "celeryford_peer_received_bytes_total", stats->received_bytes);
	set_metric(node, METRICS_COUNTER, "celeryford_peer_sent_frames_total",
	    stats->sent_frames);
	set_metric(node, METRICS_COUNTER,
	    "celeryford_peer_dropped_frames_total", stats->dropped_frames);
	set_metric(node, METRICS_COUNTER, "celeryford_peer_refused_links_total",
	    stats->refused_links);
	set_metric(node, METRICS_GAUGE, "celeryford_open_requests",
	    entry_open_requests(node->entry));
	set_metric(node, METRICS_GAUGE, "celeryford_open_bills",
	    request_records_open_bills(node->request_records));
	set_metric(node, METRICS_GAUGE, "celeryford_config_revision",
	    node_config_revision(node));
	set_metric(
	    node, METRICS_GAUGE, "celeryford_isolated", node_is_isolated(node));
	if (node->settings->data_dir[0] != '\0')
		state_log_update_metrics(node);
}

static void
answer_explain(struct node *node, struct http_server_exchange *x)
{
	struct answer_error not_found = {
	    .error = ERR_NOT_FOUND, .param = "request"};
	const char *id = http_server_query(x, "request");
	struct buf text;

	buf_init(&text, node->alloc);
	if (id != NULL && entry_append_decisions(node->entry, id, &text))
		http_server_answer(x, HTTP_OK, NULL, 0, text.data, text.len);
	else
		answer_error(x, &not_found);
	buf_free(&text);
}

static void
add_data_centres(const struct cfg *cfg, struct buf *out)
{
	buf_adds(out, "[");
	for (uint16_t i = 0; cfg != NULL && i < cfg->data_centre_count; i++) {
		const struct cfg_data_centre *dc = &cfg->data_centres[i];

		if (dc->present)
			buf_addf(out,
			    "%s{\"data_centre\":\"%s\",\"state\":\"%s\"}",
			    out->data[out->len - 1] == '[' ? "" : ",", dc->name,
			    dc->out ? "out" : "in");
	}
	buf_adds(out, "]");
}

static void
answer_status(struct node *node, struct http_server_exchange *x)
{
	const struct settings *s = node->settings;
	struct buf text;

	buf_init(&text, node->alloc);
	buf_addf(&text,
	    "{\"instance\":\"%s\",\"data_centre\":\"%s\",\"revision\":%" PRIu64
	    ",\"isolated\":%s,\"draining\":%s,\"open_requests\":%u,"
	    "\"open_bills\":%u,\"data_centres\":",
	    s->instance, s->data_centre, node_config_revision(node),
	    node_is_isolated(node) ? "true" : "false",
	    node->draining ? "true" : "false", entry_open_requests(node->entry),
	    request_records_open_bills(node->request_records));
	add_data_centres(node_cfg(node), &text);
	buf_adds(&text, ",\"instances\":");
	node_append_member_status(node, &text);
	buf_adds(&text, ",\"servers\":");
	entry_append_server_status(node->entry, &text);
	buf_adds(&text, "}");
	answer_json(x, HTTP_OK, buf_text(&text), text.len);
	buf_free(&text);
}

static void
answer_servers(struct node *node, struct http_server_exchange *x)
{
	struct buf text;

	buf_init(&text, node->alloc);
	entry_append_server_status(node->entry, &text);
	answer_json(x, HTTP_OK, buf_text(&text), text.len);
	buf_free(&text);
}

/* Asks the leader for a read whose only parameter is a query number. */
static void
ask_with_query_number(struct node *node, struct http_server_exchange *x,
    enum operator_kind kind, const char *team, const char *name)
{
	const char *value = http_server_query(x, name);
	char body[BODY_BYTES];

	snprintf(body, sizeof(body), "{\"%s\":%" PRIu64 "}", name,
	    value != NULL ? (uint64_t)strtoull(value, NULL, 10) : 0);
	operators_send_request(
	    node->operators, x, kind, team, body, strlen(body));
}

/* Handles a read that the leader of the replicated log answers. */
static void
get_from_leader(struct node *node, struct http_server_exchange *x,
    const char *team, const char *resource)
{
	struct answer_error not_found = {
	    .error = ERR_NOT_FOUND, .param = "path"};
	struct operators *operators = node->operators;

	if (strcmp(resource, "config") == 0)
		operators_send_request(
		    operators, x, OPERATOR_DOCUMENT, team, "", 0);
	else if (strcmp(resource, "history") == 0)
		operators_send_request(
		    operators, x, OPERATOR_HISTORY, team, "", 0);
	else if (strcmp(resource, "log") == 0)
		operators_send_request(operators, x, OPERATOR_LOG, team, "", 0);
	else if (strcmp(resource, "unsettled") == 0)
		operators_send_request(
		    operators, x, OPERATOR_UNSETTLED, team, "", 0);
	else if (strcmp(resource, "unconfirmed") == 0)
		ask_with_query_number(
		    node, x, OPERATOR_UNCONFIRMED, team, "revision");
	else if (strcmp(resource, "bills") == 0)
		ask_with_query_number(node, x, OPERATOR_BILLS, team, "after");
	else
		answer_error(x, &not_found);
}

static void
handle_get(struct node *node, struct http_server_exchange *x, const char *team,
    const char *resource)
{
	if (strcmp(resource, "status") == 0)
		answer_status(node, x);
	else if (strcmp(resource, "servers") == 0)
		answer_servers(node, x);
	else if (strcmp(resource, "explain") == 0)
		answer_explain(node, x);
	else if (strcmp(resource, "halts") == 0)
		request_records_list_halted(node->request_records, x);
	else
		get_from_leader(node, x, team, resource);
}

static void
handle_post(struct node *node, struct http_server_exchange *x, const char *team,
    const char *resource)
{
	struct answer_error not_found = {
	    .error = ERR_NOT_FOUND, .param = "path"};
	const struct buf *body = http_server_body(x);

	if (strcmp(resource, "config") == 0)
		operators_send_request(node->operators, x, OPERATOR_APPLY, team,
		    body->data, body->len);
	else if (strcmp(resource, "halts") == 0)
		request_records_resolve_halted(node->request_records, x);
	else
		answer_error(x, &not_found);
}

/* Finds the team whose key the request carries; false if there is none. */
static bool
find_caller_team(const struct node *node, const struct http_server_exchange *x,
    char team[CFG_NAME_BYTES])
{
	const struct section_list *sections = node_sections(node);
	const char *auth = http_server_header(x, "Authorization");

	return sections != NULL && auth != NULL &&
	       strncmp(auth, bearer, sizeof(bearer) - 1) == 0 &&
	       compile_find_team_by_key(
		   sections, auth + sizeof(bearer) - 1, team);
}

/* Handles a request under /ops/. */
static void
handle_operator_request(void *ctx, struct http_server_exchange *x)
{
	static const char prefix[] = "/ops/";
	struct answer_error refused = {
	    .error = ERR_NO_KEY, .param = "Authorization"};
	struct node *node = ctx;
	char team[CFG_NAME_BYTES];

	if (strncmp(http_server_path(x), prefix, sizeof(prefix) - 1) != 0) {
		refused.error = ERR_NOT_FOUND;
		refused.param = "path";
		answer_error(x, &refused);
	} else if (node_cfg(node) == NULL) {
		refused.error = ERR_ISOLATED;
		refused.retry_after_ms = 1000;
		answer_error(x, &refused);
	} else if (!find_caller_team(node, x, team)) {
		answer_error(x, &refused);
	} else if (strcmp(http_server_method(x), "POST") == 0) {
		handle_post(
		    node, x, team, http_server_path(x) + sizeof(prefix) - 1);
	} else {
		handle_get(
		    node, x, team, http_server_path(x) + sizeof(prefix) - 1);
	}
}

/* Called when a client is gone before its answer. */
static void
on_client_gone(void *ctx, struct http_server_exchange *x)
{
	struct node *node = ctx;

	operators_cancel_request(node->operators, x);
	if (node->request_records != NULL)
		request_records_cancel_query(node->request_records, x);
}

static const struct ops_ports ops_ports = {
    is_ready, update_metrics, handle_operator_request, on_client_gone};

static int
start(void *ctx)
{
	struct node *node = ctx;
	struct ops_options options = {.alloc = node->alloc,
	    .loop = node->loop,
	    .metrics = node->metrics,
	    .host = node->settings->ops_listen.host,
	    .port = node->settings->ops_listen.port,
	    .bodies_max_bytes =
		settings_memory_bytes(node->settings) / OPS_BODIES_DIVISOR,
	    .ports = &ops_ports,
	    .ctx = node};

	node->operators = operators_new(node);
	node->ops = ops_new(&options);
	if (node->ops != NULL)
		return 0;
	operators_free(node->operators);
	node->operators = NULL;
	return ERR_IO;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;

	operators_free(node->operators);
	node->operators = NULL;
	ops_free(node->ops);
	node->ops = NULL;
}

struct sup_child_spec
child_ops(struct node *node)
{
	return (struct sup_child_spec){"ops", start, stop, node};
}
