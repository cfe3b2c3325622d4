#include <apr_general.h>
#include <math.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

enum {
	SECOND_US = 1000000,
	LOAD_RESENDS_MAX = 65536
};

#define FLAG(name, kind, field, number, text, help)                       \
	{                                                                 \
		name, kind, offsetof(struct load_options, field), number, \
		    text, help                                            \
	}
#define NUMBER(name, field, number, help) \
	FLAG(name, FLAG_NUMBER, field, number, NULL, help)
#define TEXT(name, field, text, help) \
	FLAG(name, FLAG_TEXT, field, 0, text, help)

static const struct flag flags[] = {
    FLAG("target", FLAG_LIST, targets, 0, NULL, "URL of an instance"),
    FLAG("engine-stats", FLAG_LIST, engine_stats, 0, NULL,
	"URL of an engine, or file URL of its counters"),
    FLAG("watch", FLAG_LIST, watch, 0, NULL,
	"NAME=PID of a process to read the processor time of"),
    TEXT("key", key, NULL, "API key"),
    TEXT("model", model, "auto", "model to ask for"),
    TEXT("service", service, NULL, "plain service to call"),
    TEXT("bills", bills, NULL, "URL of the bills, one JSON object a line"),
    TEXT("rater", rater, NULL, "URL of the rating service"),
    TEXT("workspace", workspace, "", "name that ratings carry"),
    TEXT("answered", answered, NULL,
	"file for the Celeryford-Request of each whole answer"),
    TEXT("json", json, NULL, "file for the report"),
    NUMBER("rate", rate, 100, "requests a second"),
    NUMBER("seconds", seconds, 10, "length of the arrivals"),
    NUMBER("stream-permille", stream_permille, 500, "share of streams"),
    NUMBER("service-permille", service_permille, 0, "share of plain calls"),
    NUMBER("key-permille", key_permille, 0,
	"share of chats with an Idempotency-Key; plain calls all have one"),
    NUMBER("resend-permille", resend_permille, 0,
	"share of keyed requests that are sent twice"),
    NUMBER("sessions", sessions, 0, "sessions to choose from; 0 none"),
    NUMBER("prompt-tokens", prompt_tokens, 32, "length of a prompt"),
    NUMBER("max-tokens", max_tokens, 16, "length of an answer"),
    NUMBER("deadline-ms", deadline_ms, 0, "to the first token; 0 none"),
    NUMBER("timeout-ms", timeout_ms, 60000, "after which a caller leaves"),
    NUMBER("settle-ms", settle_ms, 0,
	"from the last answer to the reading of engines and bills"),
    NUMBER("open-max", open_max, 10000, "requests open at once"),
    NUMBER("seed", seed, 1, "of the arrivals and choices")};

/*
 * Advances next_us by an exponential interval: arrivals are a Poisson process.
 */
static void
schedule_next(struct load *load)
{
	double gap_us = -log(1 - rng_unit(&load->rng)) * SECOND_US /
			(double)load->options.rate;

	load->next_us += (int64_t)gap_us;
}

/* Sends all due requests; returns when to call again. */
static int64_t
send_due_requests(struct load *load, int64_t now_us)
{
	const struct resend *resend;
	int64_t due_us =
	    now_us < load->end_us ? load->end_us : now_us + SECOND_US;

	while (load->next_us <= now_us && load->next_us < load->end_us) {
		load_request_send_new(load, load->next_us);
		schedule_next(load);
	}
	if (load->next_us < load->end_us && load->next_us < due_us)
		due_us = load->next_us;
	while (load->resend_count > 0) {
		resend = &load->resends[load->resend_first];
		if (resend->due_us > now_us)
			return resend->due_us < due_us ? resend->due_us
						       : due_us;
		load_request_send_again(load);
	}
	return due_us;
}

/*
 * Sends requests until end_us, then waits for the open ones, at most the
 * caller's timeout and a second, and for the settling time of the options.
 */
static void
run_load(struct load *load)
{
	int64_t limit_us, now_us;
	bool sampled = false;

	load->start_us = tool_loop_now_us();
	load->next_us = load->start_us;
	load->end_us = load->start_us + load->options.seconds * SECOND_US;
	limit_us = load->end_us + load->options.timeout_ms * 1000 + SECOND_US;
	for (;;) {
		now_us = tool_loop_now_us();
		if (now_us >= load->end_us && !sampled) {
			watch_sample(load);
			sampled = true;
		}
		if (now_us >= limit_us ||
		    (now_us >= load->end_us && load->resend_count == 0 &&
			tool_loop_running_transfers(load->loop) == 0))
			break;
		tool_loop_poll_once(
		    load->loop, send_due_requests(load, now_us));
	}
	limit_us = tool_loop_now_us() + load->options.settle_ms * 1000;
	while (tool_loop_now_us() < limit_us)
		tool_loop_poll_once(load->loop, limit_us);
}

/* Sets up an empty run whose prefix is the wall clock time. */
static void
load_init(struct load *load)
{
	size_t len = (size_t)load->options.prompt_tokens * 4;
	size_t i;

	load->loop = tool_loop_new();
	apr_pool_create(&load->pool, NULL);
	rng_init(&load->rng, (uint64_t)load->options.seed);
	snprintf(load->run, sizeof(load->run), "l%llx",
	    (unsigned long long)tool_loop_wall_clock_us());
	load->padding = alloc_zero(alloc_default(), len + 1, 1);
	for (i = 0; i < len; i++)
		load->padding[i] = "word "[i % 5];
	load->resend_capacity = LOAD_RESENDS_MAX;
	load->resends = alloc_zero(
	    alloc_default(), LOAD_RESENDS_MAX, sizeof(*load->resends));
	load->errors = apr_hash_make(load->pool);
	load->versions = apr_hash_make(load->pool);
	load->session_versions = apr_hash_make(load->pool);
	load->requests = apr_hash_make(load->pool);
}

int
main(int argc, char **argv)
{
	static struct load load;

	flags_parse(argc, argv, "An open-loop load tool for celeryford.", flags,
	    sizeof(flags) / sizeof(flags[0]), &load.options);
	if (load.options.targets.count == 0 || load.options.rate == 0) {
		fprintf(stderr,
		    "cf-load: --target URL is needed, and a --rate above 0\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	load_init(&load);
	watch_start(&load);
	run_load(&load);
	return report_results(&load);
}
