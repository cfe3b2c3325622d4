#include <apr_strings.h>
#include <jansson.h>
#include <stdlib.h>

#include "engine.h"

/* Creates the tables that count runs by key, and attempts. */
void
stats_init(struct engine *engine)
{
	engine->stats.keys = apr_hash_make(engine->pool);
	engine->stats.chat_keys = apr_hash_make(engine->pool);
	engine->stats.attempts = apr_hash_make(engine->pool);
}

/* Increments the count of a name in a table and returns it. */
static uint64_t
stats_count_name(struct engine *engine, apr_hash_t *table, const char *name)
{
	uint64_t *count = apr_hash_get(table, name, APR_HASH_KEY_STRING);

	if (count == NULL) {
		count = apr_pcalloc(engine->pool, sizeof(*count));
		apr_hash_set(table, apr_pstrdup(engine->pool, name),
		    APR_HASH_KEY_STRING, count);
	}
	return ++*count;
}

/* Counts an attempt by its Celeryford-Request header. */
void
stats_count_attempt(struct engine *engine, const char *id)
{
	if (stats_count_name(engine, engine->stats.attempts, id) > 1)
		engine->stats.attempts_repeated++;
}

/* Counts the run of a call; key is its Idempotency-Key header or NULL. */
void
stats_count_run(struct engine *engine, const char *key, bool service)
{
	struct engine_stats *stats = &engine->stats;

	if (service)
		stats->service_runs++;
	if (key == NULL)
		return;
	if (!service)
		stats_count_name(engine, stats->chat_keys, key);
	else if (stats_count_name(engine, stats->keys, key) > 1)
		stats->double_runs++;
}

/* Returns a table as a JSON object that maps each name to its count. */
static json_t *
stats_table_json(apr_hash_t *table)
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
 * Returns the counters, and optionally the tables of keys and of attempts, as
 * JSON text to be released with free(3).
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
		json_object_set_new(root, "keys", stats_table_json(s->keys));
		json_object_set_new(
		    root, "chat_keys", stats_table_json(s->chat_keys));
	}
	if (attempts)
		json_object_set_new(
		    root, "attempts", stats_table_json(s->attempts));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}
