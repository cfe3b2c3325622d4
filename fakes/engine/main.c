#include <apr_general.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include "engine.h"

enum {
	DRAIN_LIMIT_US = 30000000 /* for the calls in progress at SIGTERM */
};

static volatile sig_atomic_t stop_requested;

#define FLAG(name, kind, field, number, text, help)                         \
	{                                                                   \
		name, kind, offsetof(struct engine_options, field), number, \
		    text, help                                              \
	}

static const struct flag flags[] = {
    FLAG("listen", FLAG_TEXT, listen, 0, "127.0.0.1:9001",
	"address to serve, IP:PORT"),
    FLAG("name", FLAG_TEXT, name, 0, "e1", "of this server"),
    FLAG("data-centre", FLAG_TEXT, data_centre, 0, "local", "where it stands"),
    FLAG("announce", FLAG_LIST, announce, 0, NULL,
	"URL of an instance to report to"),
    FLAG("version", FLAG_LIST, versions, 0, NULL, "loaded MODEL/VERSION"),
    FLAG("service", FLAG_LIST, services, 0, NULL, "plain service offered"),
    FLAG("crash-on", FLAG_TEXT, crash_on, 0, NULL,
	"a body with this text crashes it"),
    FLAG("stats-file", FLAG_TEXT, stats_file, 0, NULL,
	"file for the counters at the end"),
    FLAG("ignore-fencing", FLAG_SWITCH, ignore_fencing, 0, NULL,
	"carry out orders with old fencing numbers"),
    FLAG("announce-ms", FLAG_NUMBER, announce_ms, 500, NULL,
	"between announcements"),
    FLAG("leave-ms", FLAG_NUMBER, leave_ms, 2000, NULL,
	"from SIGTERM to the earliest exit"),
    FLAG("slots", FLAG_NUMBER, slots, 8, NULL, "calls run at once"),
    FLAG("cold-slots", FLAG_NUMBER, cold_slots, 1, NULL,
	"calls borne at once while cold"),
    FLAG("cold-ms", FLAG_NUMBER, cold_ms, 0, NULL, "length of the cold start"),
    FLAG("token-us", FLAG_NUMBER, token_us, 0, NULL, "between tokens"),
    FLAG("first-token-us", FLAG_NUMBER, first_token_us, 0, NULL,
	"to the first token"),
    FLAG("prompt-token-us", FLAG_NUMBER, prompt_token_us, 0, NULL,
	"to the first token, for each prompt token not cached"),
    FLAG("cache-blocks", FLAG_NUMBER, cache_blocks, 256, NULL, "prefixes held"),
    FLAG("pass-permille", FLAG_NUMBER, pass_permille, 950, NULL,
	"share of good answers"),
    FLAG("tokens", FLAG_NUMBER, tokens, 16, NULL,
	"of an answer without max_tokens"),
    FLAG("report-lag-ms", FLAG_NUMBER, report_lag_ms, 0, NULL,
	"load is announced this late"),
    FLAG("cache-gap-permille", FLAG_NUMBER, cache_gap_permille, 0, NULL,
	"share of cache events lost"),
    FLAG("silent-after", FLAG_NUMBER, silent_after, 0, NULL,
	"requests after which the open connections go silent"),
    FLAG("late-permille", FLAG_NUMBER, late_permille, 0, NULL,
	"share of late answers"),
    FLAG("late-ms", FLAG_NUMBER, late_ms, 3000, NULL, "delay of a late answer"),
    FLAG("cross-permille", FLAG_NUMBER, cross_permille, 0, NULL,
	"share of crossed answers"),
    FLAG("cut-permille", FLAG_NUMBER, cut_permille, 0, NULL,
	"share of cut answers"),
    FLAG("seed", FLAG_NUMBER, seed, 1, NULL, "of the random source")};

static void
on_signal(int number)
{
	stop_requested = 1;
}

/*
 * Serves until SIGTERM; then announces that the server leaves and returns once
 * leave_ms have passed, and either the calls in progress have ended or
 * DRAIN_LIMIT_US have passed.
 */
static void
serve(struct engine *engine)
{
	int64_t work_us, announce_us, now_us;

	for (;;) {
		now_us = tool_loop_now_us();
		if (stop_requested && engine->leaving_since_us == 0) {
			engine->leaving_since_us = now_us;
			announce_now(engine);
		}
		if (engine->leaving_since_us != 0 &&
		    now_us > engine->leaving_since_us +
				 engine->options.leave_ms * 1000 &&
		    (engine->admitted == 0 ||
			now_us > engine->leaving_since_us + DRAIN_LIMIT_US))
			return;
		work_us = work_resume_due(engine);
		announce_us = announce_tick(engine);
		if (announce_us < work_us)
			work_us = announce_us;
		if (engine->leaving_since_us != 0 && work_us > now_us + 50000)
			work_us = now_us + 50000;
		tool_loop_poll_once(engine->loop, work_us);
	}
}

static void
write_stats(struct engine *engine)
{
	char *text = stats_json(engine, true, true);
	FILE *file = fopen(engine->options.stats_file, "w");

	if (file != NULL) {
		fputs(text, file);
		fclose(file);
	}
	free(text);
}

int
main(int argc, char **argv)
{
	static struct engine engine;
	struct MHD_Daemon *daemon;

	flags_parse(argc, argv,
	    "A stand-in for a model engine and for plain services.", flags,
	    sizeof(flags) / sizeof(flags[0]), &engine.options);
	if (engine.options.cache_blocks == 0)
		engine.options.cache_blocks = 1;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	engine.loop = tool_loop_new();
	apr_pool_create(&engine.pool, NULL);
	rng_init(&engine.rng, (uint64_t)engine.options.seed);
	engine.incarnation = (uint64_t)tool_loop_wall_clock_us();
	engine.cold_until_us =
	    tool_loop_now_us() + engine.options.cold_ms * 1000;
	stats_init(&engine);
	orders_init(&engine);
	announce_init(&engine);
	daemon = http_start(&engine);
	if (daemon == NULL) {
		fprintf(stderr, "%s: can't listen on %s\n", engine.options.name,
		    engine.options.listen);
		return 1;
	}
	tool_loop_attach_daemon(engine.loop, daemon);
	serve_print_address("serves", engine.options.listen,
	    MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port,
	    &engine.address);
	serve(&engine);
	if (engine.options.stats_file != NULL)
		write_stats(&engine);
	_Exit(0);
}
