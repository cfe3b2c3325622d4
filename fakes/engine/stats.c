#include <apr_strings.h>
#include <jansson.h>
#include <stdlib.h>

#include "engine.h"

/* Makes the counters of keys and attempts. */
void
stats_init(struct engine *engine)
{
	engine->stats.keys = apr_hash_make(engine->pool);
	engine->stats.chat_keys = apr_hash_make(engine->pool);
	engine->stats.attempts = apr_hash_make(engine->pool);
}

/* Counts a name in a table; returns how often it has been counted. */
static uint64_t
stats_count(struct engine *engine, apr_hash_t *table, const char *name)
{
	uint64_t *count = apr_hash_get(table, name, APR_HASH_KEY_STRING);

	if (count == NULL) {
		count = apr_pcalloc(engine->pool, sizeof(*count));
		apr_hash_set(table, apr_pstrdup(engine->pool, name),
		    APR_HASH_KEY_STRING, count);
	}
	return ++*count;
}

/* Counts an attempt by its Celeryford-Request. */
void
stats_attempt(struct engine *engine, const char *id)
{
	if (stats_count(engine, engine->stats.attempts, id) > 1)
		engine->stats.attempts_repeated++;
}

/* Counts one run of a call by its Idempotency-Key, which may be NULL. */
void
stats_run(struct engine *engine, const char *key, bool service)
{
	struct engine_stats *stats = &engine->stats;

	if (service)
		stats->service_runs++;
	if (key == NULL)
		return;
	if (!service)
		stats_count(engine, stats->chat_keys, key);
	else if (stats_count(engine, stats->keys, key) > 1)
		stats->double_runs++;
}

/* Returns a table of counts as an object of name to count. */
static json_t *
stats_table(apr_hash_t *table)
{
	json_t *object = json_object();
	apr_hash_index_t *at;
	const void *name;
	void *count;

	for (at = apr_hash_first(NULL, table); at != NULL;
	     at = apr_hash_next(at)) {
		apr_hash_this(at, &name, NULL, &count);
		json_object_set_new(
		    object, name, json_integer(*(uint64_t *)count));
	}
	return object;
}

/*
 * Returns the counters as JSON text for free(3), with the tables of keys and
 * of attempts if asked for.
 */
char *
stats_json(struct engine *engine, bool keys, bool attempts)
{
	const struct engine_stats *s = &engine->stats;
	json_t *root = json_object();
	char *text;

	json_object_set_new(root, "server", json_string(engine->options.name));
	json_object_set_new(root, "requests", json_integer(s->requests));
	json_object_set_new(root, "running", json_integer(engine->running));
	json_object_set_new(
	    root, "queued", json_integer(engine->admitted - engine->running));
	json_object_set_new(root, "tokens", json_integer(s->tokens));
	json_object_set_new(root, "cancelled", json_integer(s->cancelled));
	json_object_set_new(
	    root, "service_runs", json_integer(s->service_runs));
	json_object_set_new(root, "double_runs", json_integer(s->double_runs));
	json_object_set_new(root, "peak", json_integer(s->peak));
	json_object_set_new(root, "cold_peak", json_integer(s->cold_peak));
	json_object_set_new(root, "announced", json_integer(s->announced));
	json_object_set_new(root, "orders", json_integer(s->orders));
	json_object_set_new(
	    root, "orders_stale", json_integer(s->orders_stale));
	json_object_set_new(
	    root, "after_leaving_ms", json_integer(s->after_leaving_us / 1000));
	json_object_set_new(
	    root, "attempts_seen", json_integer(apr_hash_count(s->attempts)));
	json_object_set_new(
	    root, "attempts_repeated", json_integer(s->attempts_repeated));
	if (keys) {
		json_object_set_new(root, "keys", stats_table(s->keys));
		json_object_set_new(
		    root, "chat_keys", stats_table(s->chat_keys));
	}
	if (attempts)
		json_object_set_new(root, "attempts", stats_table(s->attempts));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
