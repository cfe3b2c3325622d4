#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "engine.h"

enum {
	LEAVE_LIMIT_US = 30000000 /* for calls in progress at SIGTERM */
};

static volatile sig_atomic_t stop_asked;

enum flag {
	FLAG_LISTEN = 0x100,
	FLAG_NAME,
	FLAG_DATA_CENTRE,
	FLAG_ANNOUNCE,
	FLAG_VERSION,
	FLAG_SERVICE,
	FLAG_CRASH_ON,
	FLAG_STATS_FILE,
	FLAG_IGNORE_FENCING,
	FLAG_NUMBERS /* the flags that take a number start here */
};

/* The flags that take a number, with where it goes. */
static const struct number_flag {
	const char *name;
	size_t offset;
	int64_t value;
	const char *help;
} number_flags[] = {
#define NUMBER(name, field, value, help)                                  \
	{                                                                 \
		name, offsetof(struct engine_options, field), value, help \
	}
    NUMBER("announce-ms", announce_ms, 500, "between announcements"),
    NUMBER("leave-ms", leave_ms, 2000, "from SIGTERM to the earliest exit"),
    NUMBER("slots", slots, 8, "calls run at once"),
    NUMBER("cold-slots", cold_slots, 1, "calls borne at once while cold"),
    NUMBER("cold-ms", cold_ms, 0, "length of the cold start"),
    NUMBER("token-us", token_us, 0, "between tokens"),
    NUMBER("first-token-us", first_token_us, 0, "to the first token"),
    NUMBER("prompt-token-us", prompt_token_us, 0,
	"to the first token, for each prompt token not cached"),
    NUMBER("cache-blocks", cache_blocks, 256, "prefixes held"),
    NUMBER("pass-permille", pass_permille, 950, "share of good answers"),
    NUMBER("tokens", tokens, 16, "of an answer without max_tokens"),
    NUMBER("report-lag-ms", report_lag_ms, 0, "load is announced this late"),
    NUMBER("cache-gap-permille", cache_gap_permille, 0,
	"share of cache events lost"),
    NUMBER("silent-after", silent_after, 0,
	"requests after which the open connections go silent"),
    NUMBER("late-permille", late_permille, 0, "share of late answers"),
    NUMBER("late-ms", late_ms, 3000, "delay of a late answer"),
    NUMBER("cross-permille", cross_permille, 0, "share of crossed answers"),
    NUMBER("cut-permille", cut_permille, 0, "share of cut answers"),
    NUMBER("seed", seed, 1, "of the random source")
#undef NUMBER
};

enum {
	NUMBER_FLAGS = sizeof(number_flags) / sizeof(number_flags[0]),
	TEXT_FLAGS = 9
};

static const struct argp_option text_flags[TEXT_FLAGS] = {
    {"listen", FLAG_LISTEN, "IP:PORT", 0, "address to serve", 0},
    {"name", FLAG_NAME, "NAME", 0, "of this server", 0},
    {"data-centre", FLAG_DATA_CENTRE, "NAME", 0, "where it stands", 0},
    {"announce", FLAG_ANNOUNCE, "URL", 0, "instance to report to", 0},
    {"version", FLAG_VERSION, "MODEL/VERSION", 0, "loaded version", 0},
    {"service", FLAG_SERVICE, "NAME", 0, "plain service offered", 0},
    {"crash-on", FLAG_CRASH_ON, "TEXT", 0, "a body with it crashes", 0},
    {"stats-file", FLAG_STATS_FILE, "FILE", 0, "counters at the end", 0},
    {"ignore-fencing", FLAG_IGNORE_FENCING, NULL, 0,
	"carry out orders with old fencing numbers", 0}};

static void
add_name(struct argp_state *state, const char **names, int *count, char *name)
{
	if (*count == ENGINE_NAMES_MAX)
		argp_error(state, "more than %d of one flag", ENGINE_NAMES_MAX);
	names[(*count)++] = name;
}

static void
set_number(struct argp_state *state, struct engine_options *o, int key,
    const char *arg)
{
	const struct number_flag *flag = &number_flags[key - FLAG_NUMBERS];
	char *end;
	long long value = strtoll(arg, &end, 10);

	if (*arg == '\0' || *end != '\0' || value < 0)
		argp_error(state, "--%s: %s is not a number from 0 up",
		    flag->name, arg);
	memcpy((char *)o + flag->offset, &(int64_t){value}, sizeof(int64_t));
}

static error_t
on_flag(int key, char *arg, struct argp_state *state)
{
	struct engine_options *o = state->input;

	if (key >= FLAG_NUMBERS && key < FLAG_NUMBERS + NUMBER_FLAGS) {
		set_number(state, o, key, arg);
		return 0;
	}
	switch (key) {
	case FLAG_LISTEN:
		o->listen = arg;
		return 0;
	case FLAG_NAME:
		o->name = arg;
		return 0;
	case FLAG_DATA_CENTRE:
		o->data_centre = arg;
		return 0;
	case FLAG_ANNOUNCE:
		add_name(state, o->announce, &o->announce_count, arg);
		return 0;
	case FLAG_VERSION:
		add_name(state, o->versions, &o->version_count, arg);
		return 0;
	case FLAG_SERVICE:
		add_name(state, o->services, &o->service_count, arg);
		return 0;
	case FLAG_CRASH_ON:
		o->crash_on = arg;
		return 0;
	case FLAG_STATS_FILE:
		o->stats_file = arg;
		return 0;
	case FLAG_IGNORE_FENCING:
		o->ignore_fencing = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Reads the flags; a wrong one ends the process with exit status 2. */
static void
read_flags(int argc, char **argv, struct engine_options *o)
{
	struct argp_option flags[TEXT_FLAGS + NUMBER_FLAGS + 1] = {{0}};
	struct argp argp = {flags, on_flag, NULL,
	    "A stand-in for a model engine and for plain services.", NULL, NULL,
	    NULL};
	int i;

	memcpy(flags, text_flags, sizeof(text_flags));
	for (i = 0; i < NUMBER_FLAGS; i++) {
		flags[TEXT_FLAGS + i] =
		    (struct argp_option){number_flags[i].name, FLAG_NUMBERS + i,
			"N", 0, number_flags[i].help, 0};
		memcpy((char *)o + number_flags[i].offset,
		    &number_flags[i].value, sizeof(int64_t));
	}
	argp_err_exit_status = 2;
	argp_parse(&argp, argc, argv, 0, NULL, o);
	if (o->cache_blocks == 0)
		o->cache_blocks = 1;
}

static void
on_signal(int number)
{
	stop_asked = 1;
}

/* Serves until SIGTERM, then until the calls in progress have ended. */
static void
serve(struct engine *engine)
{
	int64_t work_us, announce_us, now_us;

	for (;;) {
		now_us = loop_now_us();
		if (stop_asked && engine->leaving_us == 0) {
			engine->leaving_us = now_us;
			announce_now(engine);
		}
		if (engine->leaving_us != 0 &&
		    now_us >
			engine->leaving_us + engine->options.leave_ms * 1000 &&
		    (engine->admitted == 0 ||
			now_us > engine->leaving_us + LEAVE_LIMIT_US))
			return;
		work_us = work_tick(engine);
		announce_us = announce_tick(engine);
		if (announce_us < work_us)
			work_us = announce_us;
		if (engine->leaving_us != 0 && work_us > now_us + 50000)
			work_us = now_us + 50000;
		loop_turn(engine->loop, work_us);
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
	static struct engine engine = {.options = {.listen = "127.0.0.1:9001",
					   .name = "e1",
					   .data_centre = "local"}};
	struct MHD_Daemon *daemon;

	read_flags(argc, argv, &engine.options);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	engine.loop = loop_new();
	apr_pool_create(&engine.pool, NULL);
	rng_init(&engine.rng, (uint64_t)engine.options.seed);
	engine.incarnation = (uint64_t)loop_wall_us();
	engine.cold_until_us = loop_now_us() + engine.options.cold_ms * 1000;
	stats_init(&engine);
	orders_init(&engine);
	announce_init(&engine);
	daemon = http_start(&engine);
	if (daemon == NULL) {
		fprintf(stderr, "%s: can't listen on %s\n", engine.options.name,
		    engine.options.listen);
		return 1;
	}
	loop_serve(engine.loop, daemon);
	serve(&engine);
	if (engine.options.stats_file != NULL)
		write_stats(&engine);
	_Exit(0);
}
