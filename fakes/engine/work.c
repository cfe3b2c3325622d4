#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "engine.h"

enum {
	WORK_SCAN_US = 20000, /* between looks for clients that are gone */
	WORK_IDLE_US = 1000000,
	WORK_CALLS_PER_US = 10 /* a look at all calls waits for so many */
};

/* Returns whether the engine is still in its cold start. */
bool
engine_cold(const struct engine *engine)
{
	return tl_now_us() < engine->cold_until_us;
}

/* Ends the process as a crash would, after a line that says what caused it. */
void
engine_crash(struct engine *engine, const char *why)
{
	char *text = stats_json(engine, true, true);
	FILE *file;

	fprintf(stderr, "%s: crashed by %s\n", engine->options.name, why);
	if (engine->options.stats_file != NULL) {
		file = fopen(engine->options.stats_file, "w");
		if (file != NULL) {
			fputs(text, file);
			fclose(file);
		}
	}
	_exit(ENGINE_CRASHED);
}

/* Gives a call a slot: its first token is due after the prompt is read. */
static void
work_start(struct engine *engine, struct call *call)
{
	const struct engine_options *o = &engine->options;

	call->started = true;
	call->first_due_us += tl_now_us() + o->first_token_us;
	if (call->fault == FAULT_LATE)
		call->first_due_us += o->late_ms * 1000;
	if (call->first_due_us < engine->next_due_us)
		engine->next_due_us = call->first_due_us;
	engine->running++;
}

/* Returns the queued call to run next: lowest priority number, then oldest. */
static struct call *
work_next(struct engine *engine)
{
	struct call *call, *best = NULL;

	for (call = engine->calls; call != NULL; call = call->next)
		if (!call->started && !call->gone && call->admitted &&
		    (best == NULL || call->priority < best->priority))
			best = call;
	return best;
}

/* Keeps the highest number of calls at once; too many while cold crash. */
static void
work_count(struct engine *engine)
{
	struct engine_stats *stats = &engine->stats;

	if ((uint64_t)engine->admitted > stats->peak)
		stats->peak = engine->admitted;
	if (!engine_cold(engine))
		return;
	if ((uint64_t)engine->admitted > stats->cold_peak)
		stats->cold_peak = engine->admitted;
	if (engine->admitted > engine->options.cold_slots)
		engine_crash(engine, "more calls at once than it bears cold");
}

/* Takes a call in: it starts now if a slot is free, or waits in the queue. */
int
work_admit(struct engine *engine, struct call *call)
{
	call->admitted = true;
	call->prev = engine->calls_last;
	if (engine->calls_last != NULL)
		engine->calls_last->next = call;
	else
		engine->calls = call;
	engine->calls_last = call;
	engine->admitted++;
	work_count(engine);
	if (engine->running < engine->options.slots)
		work_start(engine, call);
	return 0;
}

/* Takes a call out, whole or not, and gives its slot to the next. */
void
work_end(struct engine *engine, struct call *call)
{
	struct call *next;

	if (!call->admitted)
		return;
	call->admitted = false;
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		engine->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	else
		engine->calls_last = call->prev;
	engine->admitted--;
	if (!call->started)
		return;
	engine->running--;
	next = engine->admitted > engine->running ? work_next(engine) : NULL;
	if (next != NULL)
		work_start(engine, next);
}

/* Returns when a call wants to be resumed: next token, or whole answer. */
static int64_t
work_wanted_us(const struct engine *engine, const struct call *call)
{
	uint32_t tokens = call->stream ? call->sent : call->tokens - 1;

	return call->first_due_us + tokens * engine->options.token_us;
}

/* Suspends a call's connection until work_tick() finds a token due. */
void
work_suspend(struct call *call)
{
	struct engine *engine = call->engine;
	int64_t wanted_us = work_wanted_us(engine, call);

	call->suspended = true;
	MHD_suspend_connection(call->connection);
	if (call->started && wanted_us < engine->next_due_us)
		engine->next_due_us = wanted_us;
}

/* Returns how many tokens of a call are due by now. */
uint32_t
work_due(const struct engine *engine, const struct call *call)
{
	int64_t token_us = engine->options.token_us;
	int64_t now_us;
	int64_t due;

	if (!call->started)
		return 0;
	if (token_us == 0 && engine->options.first_token_us == 0 &&
	    call->fault != FAULT_LATE && engine->options.prompt_token_us == 0)
		return call->tokens;
	now_us = tl_now_us();
	if (now_us < call->first_due_us)
		return 0;
	if (token_us == 0)
		return call->tokens;
	due = 1 + (now_us - call->first_due_us) / token_us;
	return due < call->tokens ? (uint32_t)due : call->tokens;
}

/* Returns whether a suspended call's client has closed its connection. */
static bool
work_client_gone(const struct call *call)
{
	const union MHD_ConnectionInfo *info;
	char byte;
	ssize_t got;

	info = MHD_get_connection_info(
	    call->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	got = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static void
work_resume(struct call *call)
{
	call->suspended = false;
	MHD_resume_connection(call->connection);
	tl_kick(call->engine->loop);
}

/* Looks for clients that have disconnected while their calls wait. */
static void
work_scan(struct engine *engine)
{
	struct call *call;

	for (call = engine->calls; call != NULL; call = call->next) {
		if (!call->suspended || !work_client_gone(call))
			continue;
		call->gone = true;
		work_resume(call);
	}
}

/*
 * Resumes the calls that have a token due.  Returns when it wants to be called
 * again, in microseconds of the monotonic clock.
 */
int64_t
work_tick(struct engine *engine)
{
	int64_t now_us = tl_now_us();
	int64_t wanted_us, soonest_us;
	struct call *call;

	if (now_us >= engine->next_scan_us) {
		work_scan(engine);
		engine->next_scan_us = now_us + WORK_SCAN_US;
	}
	if (now_us >= engine->next_due_us) {
		engine->next_due_us = now_us + WORK_IDLE_US;
		soonest_us = now_us + engine->admitted / WORK_CALLS_PER_US;
		for (call = engine->calls; call != NULL; call = call->next) {
			if (!call->started || !call->suspended ||
			    call->conn->silent)
				continue;
			wanted_us = work_wanted_us(engine, call);
			if (wanted_us <= now_us)
				work_resume(call);
			else if (wanted_us < engine->next_due_us)
				engine->next_due_us = wanted_us;
		}
		if (engine->next_due_us < soonest_us)
			engine->next_due_us = soonest_us;
	}
	if (engine->calls == NULL)
		return now_us + WORK_IDLE_US;
	return engine->next_due_us < engine->next_scan_us
		   ? engine->next_due_us
		   : engine->next_scan_us;
}
