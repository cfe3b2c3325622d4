#include <stdio.h>
#include <string.h>

#include "base/err.h"
#include "daemon/node.h"
#include "entry/answer.h"

/* The ops child: metrics, health and operators' requests. */

static bool
is_ready(void *ctx, struct buf *why)
{
	struct node *node = ctx;

	if (node->draining)
		buf_adds(why, "draining\n");
	else if (node->cfg == NULL)
		buf_adds(why, "no configuration yet\n");
	return why->len == 0;
}

static void
measure(void *ctx)
{
	struct node *node = ctx;
	const struct peer_stats *stats = peer_stats(node->hub);

	metrics_get(node->metrics, METRICS_COUNTER,
	    "celeryford_peer_sent_bytes_total", "")
	    ->value = stats->sent_bytes;
	metrics_get(node->metrics, METRICS_COUNTER,
	    "celeryford_peer_received_bytes_total", "")
	    ->value = stats->received_bytes;
	metrics_get(
	    node->metrics, METRICS_GAUGE, "celeryford_open_requests", "")
	    ->value = entry_open_requests(node->entry);
}

static void
answer_explain(struct node *node, struct hs_exchange *x)
{
	struct answer_error missing = {
	    .error = ERR_NOT_FOUND, .param = "request"};
	const char *id = hs_query(x, "request");
	struct buf text;

	buf_init(&text, node->alloc);
	if (id != NULL && entry_explain(node->entry, id, &text))
		hs_answer(x, 200, NULL, 0, text.data, text.len);
	else
		answer_error(x, &missing);
	buf_free(&text);
}

static void
operate(void *ctx, struct hs_exchange *x)
{
	struct answer_error missing = {.error = ERR_NOT_FOUND, .param = "path"};
	struct node *node = ctx;
	struct buf text;

	if (strcmp(hs_path(x), "/ops/explain") == 0) {
		answer_explain(node, x);
		return;
	}
	if (strcmp(hs_path(x), "/ops/servers") == 0) {
		buf_init(&text, node->alloc);
		entry_status(node->entry, &text);
		answer_json(x, 200, buf_text(&text), text.len);
		buf_free(&text);
		return;
	}
	if (strcmp(hs_path(x), "/ops/bills") == 0) {
		node_export_bills(node, x);
		return;
	}
	answer_error(x, &missing);
}

static void
gone(void *ctx, struct hs_exchange *x)
{
	(void)ctx;
	(void)x;
}

static const struct ops_ports ops_ports = {is_ready, measure, operate, gone};

static int
start(void *ctx)
{
	struct node *node = ctx;
	struct ops_options options = {.alloc = node->alloc,
	    .loop = node->loop,
	    .metrics = node->metrics,
	    .host = node->settings->ops_listen.host,
	    .port = node->settings->ops_listen.port,
	    .ports = &ops_ports,
	    .ctx = node};

	node->ops = ops_new(&options);
	return node->ops != NULL ? 0 : ERR_IO;
}

static void
stop(void *ctx)
{
	struct node *node = ctx;

	ops_free(node->ops);
	node->ops = NULL;
}

struct sup_child_spec
child_ops(struct node *node)
{
	return (struct sup_child_spec){"ops", start, stop, node};
}
