#include <apr_strings.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "engine.h"

/* Orders of the router that the engine has executed or rejected. */
struct orders {
	int64_t fencing; /* highest fencing token of an executed order */
	apr_hash_t *answers; /* order id -> struct order_answer */
};

struct order_answer {
	unsigned status;
	char *body;
};

void
orders_init(struct engine *engine)
{
	engine->orders =
	    alloc_zero(alloc_default(), 1, sizeof(*engine->orders));
	engine->orders->answers = apr_hash_make(engine->pool);
}

void
orders_free(struct engine *engine)
{
	alloc_free(alloc_default(), engine->orders);
}

static int
orders_find_version(const struct engine *engine, const char *version)
{
	int i;

	for (i = 0; i < engine->options.versions.count; i++)
		if (strcmp(engine->options.versions.items[i], version) == 0)
			return i;
	return -1;
}

/* Loads or unloads a version; returns false if the order is malformed. */
static bool
orders_apply(struct engine *engine, const char *action, const char *version)
{
	struct engine_options *o = &engine->options;
	int at;

	if (strcmp(action, "role") == 0)
		return true;
	if (version == NULL)
		return false;
	at = orders_find_version(engine, version);
	if (strcmp(action, "load") == 0) {
		if (at < 0 && o->versions.count < FLAG_LIST_ITEMS_MAX)
			o->versions.items[o->versions.count++] =
			    apr_pstrdup(engine->pool, version);
		return true;
	}
	if (strcmp(action, "unload") != 0)
		return false;
	if (at >= 0)
		o->versions.items[at] = o->versions.items[--o->versions.count];
	return true;
}

/*
 * Executes an order unless its fencing token is lower than that of an executed
 * one (with --ignore-fencing also then), and stores the answer by the order's
 * id.
 */
static struct order_answer *
orders_execute(struct engine *engine, const char *id, json_t *root)
{
	struct order_answer *answer;
	const char *action, *version;
	int64_t fencing;

	action = json_string_value(json_object_get(root, "action"));
	version = json_string_value(json_object_get(root, "version"));
	fencing = json_integer_value(json_object_get(root, "fencing"));
	answer = apr_pcalloc(engine->pool, sizeof(*answer));
	engine->stats.orders++;
	if (fencing < engine->orders->fencing &&
	    !engine->options.ignore_fencing) {
		engine->stats.orders_stale++;
		answer->status = 409;
	} else if (action == NULL || !orders_apply(engine, action, version)) {
		answer->status = 400;
	} else {
		answer->status = 200;
		if (fencing > engine->orders->fencing)
			engine->orders->fencing = fencing;
	}
	answer->body = apr_psprintf(engine->pool,
	    "{\"id\":\"%s\",\"status\":\"%s\",\"fencing\":%lld}\n", id,
	    answer->status == 200   ? "done"
	    : answer->status == 409 ? "stale"
				    : "malformed",
	    (long long)engine->orders->fencing);
	apr_hash_set(engine->orders->answers, apr_pstrdup(engine->pool, id),
	    APR_HASH_KEY_STRING, answer);
	return answer;
}

/* Answers an order; a repeated order gets the stored answer. */
enum MHD_Result
orders_answer(struct engine *engine, struct call *call)
{
	json_t *root =
	    json_loadb(buf_text(&call->body), call->body.len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "id"));
	struct order_answer *answer;

	call->answered = true;
	if (id == NULL) {
		json_decref(root);
		return serve_json(call->connection, 400,
		    "{\"status\":\"malformed\"}\n", NULL, NULL);
	}
	answer = apr_hash_get(engine->orders->answers, id, APR_HASH_KEY_STRING);
	if (answer == NULL)
		answer = orders_execute(engine, id, root);
	json_decref(root);
	return serve_json(
	    call->connection, answer->status, answer->body, NULL, NULL);
}
