#include <apr_strings.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"

enum {
	ANNOUNCE_EVENTS = 256, /* cache events in one announcement */
	ANNOUNCE_LOADS = 64, /* past load reports, for the lag */
	ANNOUNCE_TIMEOUT_MS = 1000
};

struct load {
	int64_t at_us;
	int running;
	int queued;
};

struct cache_event {
	uint64_t sequence;
	uint64_t prefix;
	bool stored;
};

/* The posts to one URL: one at a time. */
struct post {
	struct engine *engine;
	bool busy;
};

struct announcer {
	int64_t next_us;
	uint64_t sequence;
	struct load loads[ANNOUNCE_LOADS];
	unsigned load_at;
	uint64_t *blocks; /* ring of prefixes held, oldest overwritten */
	unsigned block_at;
	struct cache_event events[ANNOUNCE_EVENTS];
	int event_count;
	struct post posts[FLAGS_ITEMS_MAX]; /* by URL */
};

/* Makes the announcer; its first announcement is due at once. */
void
announce_init(struct engine *engine)
{
	struct announcer *a = alloc_zero(alloc_default(), 1, sizeof(*a));

	a->blocks = alloc_zero(
	    alloc_default(), engine->options.cache_blocks, sizeof(*a->blocks));
	engine->announcer = a;
}

/* Frees the announcer. */
void
announce_free(struct engine *engine)
{
	alloc_free(alloc_default(), engine->announcer->blocks);
	alloc_free(alloc_default(), engine->announcer);
}

/* Notes one cache event; a share of them is lost and leaves a gap. */
static void
announce_event(struct engine *engine, uint64_t prefix, bool stored)
{
	struct announcer *a = engine->announcer;
	uint64_t sequence = ++a->sequence;

	if (rng_below(&engine->rng, 1000) <
	    (uint32_t)engine->options.cache_gap_permille)
		return;
	if (a->event_count < ANNOUNCE_EVENTS)
		a->events[a->event_count++] =
		    (struct cache_event){sequence, prefix, stored};
}

static bool
announce_holds(const struct engine *engine, uint64_t prefix)
{
	int64_t i;

	for (i = 0; i < engine->options.cache_blocks; i++)
		if (engine->announcer->blocks[i] == prefix)
			return true;
	return false;
}

/* Stores a prefix in place of the oldest. */
static void
announce_store(struct engine *engine, uint64_t prefix)
{
	struct announcer *a = engine->announcer;
	uint64_t *block = &a->blocks[a->block_at];

	if (*block != 0)
		announce_event(engine, *block, false);
	*block = prefix;
	a->block_at = (a->block_at + 1) % engine->options.cache_blocks;
	announce_event(engine, prefix, true);
}

/* Looks a prefix up in the cache and stores it; returns whether it was held. */
bool
announce_prefix(struct engine *engine, uint64_t prefix)
{
	if (announce_holds(engine, prefix))
		return true;
	announce_store(engine, prefix);
	return false;
}

/* Returns the load as it was report_lag_ms ago. */
static struct load
announce_load(struct engine *engine)
{
	struct announcer *a = engine->announcer;
	int64_t now_us = tl_now_us();
	int64_t wanted_us = now_us - engine->options.report_lag_ms * 1000;
	struct load best = {
	    now_us, engine->running, engine->admitted - engine->running};
	unsigned i;

	a->loads[a->load_at++ % ANNOUNCE_LOADS] = best;
	if (engine->options.report_lag_ms == 0)
		return best;
	best.running = 0;
	best.queued = 0;
	best.at_us = 0;
	for (i = 0; i < ANNOUNCE_LOADS; i++)
		if (a->loads[i].at_us <= wanted_us &&
		    a->loads[i].at_us > best.at_us)
			best = a->loads[i];
	return best;
}

static json_t *
announce_names(const struct flag_list *names)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < names->count; i++)
		json_array_append_new(list, json_string(names->items[i]));
	return list;
}

/* Returns the cache events since the last announcement. */
static json_t *
announce_events(struct announcer *a)
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

/* Returns the announcement as JSON text for free(3). */
char *
announce_text(struct engine *engine)
{
	const struct engine_options *o = &engine->options;
	struct load load = announce_load(engine);
	json_t *root;
	char *text;

	root = json_pack("{s:s, s:s, s:s, s:I, s:o, s:o, s:s, s:I, s:I, s:i, "
			 "s:i, s:I, s:b, s:o}",
	    "server", o->name, "address", engine->address, "data_centre",
	    o->data_centre, "incarnation", (json_int_t)engine->incarnation,
	    "versions", announce_names(&o->versions), "services",
	    announce_names(&o->services), "warmth",
	    engine_cold(engine) ? "cold" : "warm", "slots",
	    (json_int_t)o->slots, "cold_slots", (json_int_t)o->cold_slots,
	    "running", load.running, "queued", load.queued, "token_us",
	    (json_int_t)o->token_us, "leaving", engine->leaving_us != 0,
	    "cache", announce_events(engine->announcer));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void
on_posted(void *ctx, CURL *easy, CURLcode code)
{
	struct post *post = ctx;

	post->busy = false;
	if (code == CURLE_OK)
		post->engine->stats.announced++;
}

/* Announces to every URL whose last announcement has ended. */
void
announce_now(struct engine *engine)
{
	struct announcer *a = engine->announcer;
	char *text = announce_text(engine);
	char *url;
	int i;

	for (i = 0; i < engine->options.announce.count; i++) {
		if (a->posts[i].busy)
			continue;
		a->posts[i].engine = engine;
		a->posts[i].busy = true;
		url = apr_psprintf(engine->pool, "%s/v1/announce",
		    engine->options.announce.items[i]);
		tl_post(engine->loop, url, text, ANNOUNCE_TIMEOUT_MS, on_posted,
		    &a->posts[i]);
	}
	a->event_count = 0;
	free(text);
}

/* Announces if it is time; returns when it wants to be called again. */
int64_t
announce_tick(struct engine *engine)
{
	struct announcer *a = engine->announcer;
	int64_t now_us = tl_now_us();

	if (now_us >= a->next_us) {
		a->next_us = now_us + engine->options.announce_ms * 1000;
		announce_now(engine);
	}
	return a->next_us;
}
