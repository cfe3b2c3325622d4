#include <apr_strings.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"

enum {
	ANNOUNCE_EVENTS_MAX = 256, /* cache events per announcement */
	ANNOUNCE_LOAD_SAMPLES = 64, /* ring of past loads, for report_lag_ms */
	ANNOUNCE_TIMEOUT_MS = 1000
};

struct load_sample {
	int64_t at_us;
	int running;
	int queued;
};

struct cache_event {
	uint64_t sequence;
	uint64_t prefix;
	bool stored;
};

/* A URL to announce to, with at most one request in progress. */
struct announce_target {
	struct engine *engine;
	bool busy;
};

struct announcer {
	int64_t next_us;
	uint64_t sequence;
	struct load_sample loads[ANNOUNCE_LOAD_SAMPLES];
	unsigned load_next;
	uint64_t *blocks; /* ring of cached prefixes; evicts the oldest */
	unsigned block_next;
	struct cache_event events[ANNOUNCE_EVENTS_MAX];
	int event_count;
	/* in the order of the --announce flags */
	struct announce_target targets[FLAG_LIST_ITEMS_MAX];
};

/* Creates the announcer; the first announcement is due immediately. */
void
announce_init(struct engine *engine)
{
	struct announcer *a = alloc_zero(alloc_default(), 1, sizeof(*a));

	a->blocks = alloc_zero(
	    alloc_default(), engine->options.cache_blocks, sizeof(*a->blocks));
	engine->announcer = a;
}

void
announce_free(struct engine *engine)
{
	alloc_free(alloc_default(), engine->announcer->blocks);
	alloc_free(alloc_default(), engine->announcer);
}

/*
 * Adds a cache event to the next announcement.  Drops a share of the events,
 * cache_gap_permille, which leaves gaps in the sequence numbers.
 */
static void
announce_add_cache_event(struct engine *engine, uint64_t prefix, bool stored)
{
	struct announcer *a = engine->announcer;
	uint64_t sequence = ++a->sequence;

	if (rng_below(&engine->rng, 1000) <
	    (uint32_t)engine->options.cache_gap_permille)
		return;
	if (a->event_count < ANNOUNCE_EVENTS_MAX)
		a->events[a->event_count++] =
		    (struct cache_event){sequence, prefix, stored};
}

static bool
announce_prefix_cached(const struct engine *engine, uint64_t prefix)
{
	int64_t i;

	for (i = 0; i < engine->options.cache_blocks; i++)
		if (engine->announcer->blocks[i] == prefix)
			return true;
	return false;
}

/* Caches a prefix and evicts the oldest one if the cache is full. */
static void
announce_store_prefix(struct engine *engine, uint64_t prefix)
{
	struct announcer *a = engine->announcer;
	uint64_t *block = &a->blocks[a->block_next];

	if (*block != 0)
		announce_add_cache_event(engine, *block, false);
	*block = prefix;
	a->block_next = (a->block_next + 1) % engine->options.cache_blocks;
	announce_add_cache_event(engine, prefix, true);
}

/* Returns whether a prefix is cached, and caches it if it isn't. */
bool
announce_lookup_prefix(struct engine *engine, uint64_t prefix)
{
	if (announce_prefix_cached(engine, prefix))
		return true;
	announce_store_prefix(engine, prefix);
	return false;
}

/* Records the current load; returns the one recorded report_lag_ms ago. */
static struct load_sample
announce_lagged_load(struct engine *engine)
{
	struct announcer *a = engine->announcer;
	int64_t now_us = tool_loop_now_us();
	int64_t cutoff_us = now_us - engine->options.report_lag_ms * 1000;
	struct load_sample best = {
	    now_us, engine->running, engine->admitted - engine->running};
	unsigned i;

	a->loads[a->load_next++ % ANNOUNCE_LOAD_SAMPLES] = best;
	if (engine->options.report_lag_ms == 0)
		return best;
	best.running = 0;
	best.queued = 0;
	best.at_us = 0;
	for (i = 0; i < ANNOUNCE_LOAD_SAMPLES; i++)
		if (a->loads[i].at_us <= cutoff_us &&
		    a->loads[i].at_us > best.at_us)
			best = a->loads[i];
	return best;
}

static json_t *
announce_names_json(const struct flag_list *names)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < names->count; i++)
		json_array_append_new(list, json_string(names->items[i]));
	return list;
}

/* Returns the cache events since the last announcement. */
static json_t *
announce_cache_events_json(struct announcer *a)
{
	json_t *list = json_array();
	char prefix[32];
	int i;

	for (i = 0; i < a->event_count; i++) {
		apr_snprintf(prefix, sizeof(prefix),
		    "%016" APR_UINT64_T_HEX_FMT, a->events[i].prefix);
		json_array_append_new(
		    list, json_pack("{s:I, s:s, s:b}", "seq",
			      (json_int_t)a->events[i].sequence, "prefix",
			      prefix, "stored", a->events[i].stored));
	}
	return list;
}

/* Returns the announcement as JSON text, to be released with free(3). */
char *
announce_json(struct engine *engine)
{
	const struct engine_options *o = &engine->options;
	struct load_sample load = announce_lagged_load(engine);
	json_t *root;
	char *text;

	root = json_pack("{s:s, s:s, s:s, s:I, s:o, s:o, s:s, s:I, s:I, s:i, "
			 "s:i, s:I, s:b, s:o}",
	    "server", o->name, "address", engine->address, "data_centre",
	    o->data_centre, "incarnation", (json_int_t)engine->incarnation,
	    "versions", announce_names_json(&o->versions), "services",
	    announce_names_json(&o->services), "warmth",
	    engine_is_cold(engine) ? "cold" : "warm", "slots",
	    (json_int_t)o->slots, "cold_slots", (json_int_t)o->cold_slots,
	    "running", load.running, "queued", load.queued, "token_us",
	    (json_int_t)o->token_us, "leaving", engine->leaving_since_us != 0,
	    "cache", announce_cache_events_json(engine->announcer));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void
on_announced(void *ctx, CURL *easy, CURLcode code)
{
	struct announce_target *target = ctx;

	target->busy = false;
	if (code == CURLE_OK)
		target->engine->stats.announced++;
}

/* Announces to every URL that has no announcement in progress. */
void
announce_now(struct engine *engine)
{
	struct announcer *a = engine->announcer;
	char *text = announce_json(engine);
	char *url;
	int i;

	for (i = 0; i < engine->options.announce.count; i++) {
		if (a->targets[i].busy)
			continue;
		a->targets[i].engine = engine;
		a->targets[i].busy = true;
		url = apr_psprintf(engine->pool, "%s/v1/announce",
		    engine->options.announce.items[i]);
		tool_loop_post_json(engine->loop, url, text,
		    ANNOUNCE_TIMEOUT_MS, on_announced, &a->targets[i]);
	}
	a->event_count = 0;
	free(text);
}

/* Announces if an announcement is due; returns when the next one is due. */
int64_t
announce_tick(struct engine *engine)
{
	struct announcer *a = engine->announcer;
	int64_t now_us = tool_loop_now_us();

	if (now_us >= a->next_us) {
		a->next_us = now_us + engine->options.announce_ms * 1000;
		announce_now(engine);
	}
	return a->next_us;
}
