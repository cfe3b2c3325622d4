#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "engine.h"

enum {
	/* between checks for disconnected clients */
	WORK_DISCONNECT_SCAN_US = 20000,
	WORK_IDLE_US = 1000000,
	/* N calls are scanned for due tokens at most once every N / 10 us */
	WORK_SCANNED_CALLS_PER_US = 10
};

/* Returns whether the cold start is still in progress. */
bool
engine_is_cold(const struct engine *engine)
{
	return tool_loop_now_us() < engine->cold_until_us;
}

/*
 * Logs the cause of a crash, writes the counters to the stats file and ends the
 * process immediately, as a crash does.
 */
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
	_exit(ENGINE_CRASH_STATUS);
}

/*
 * Assigns a slot to a call.  Its first token is due once the prompt is
 * processed and first_token_us have passed.
 */
static void
work_start(struct engine *engine, struct call *call)
{
	const struct engine_options *o = &engine->options;

	call->started = true;
	call->first_due_us += tool_loop_now_us() + o->first_token_us;
	if (call->fault == FAULT_LATE)
		call->first_due_us += o->late_ms * 1000;
	if (call->first_due_us < engine->next_due_us)
		engine->next_due_us = call->first_due_us;
	engine->running++;
}

/* Returns the queued call with the lowest priority number, oldest first. */
static struct call *
work_next_queued(struct engine *engine)
{
	struct call *call, *best = NULL;

	for (call = engine->calls; call != NULL; call = call->next)
		if (!call->started && !call->disconnected && call->admitted &&
		    (best == NULL || call->priority < best->priority))
			best = call;
	return best;
}

/*
 * Updates the peaks of concurrent calls.  More than cold_slots calls during the
 * cold start crash the engine.
 */
static void
work_track_peaks(struct engine *engine)
{
	struct engine_stats *stats = &engine->stats;

	if ((uint64_t)engine->admitted > stats->peak)
		stats->peak = engine->admitted;
	if (!engine_is_cold(engine))
		return;
	if ((uint64_t)engine->admitted > stats->cold_peak)
		stats->cold_peak = engine->admitted;
	if (engine->admitted > engine->options.cold_slots)
		engine_crash(engine, "more calls at once than it bears cold");
}

/* Starts a call if a slot is free, or else queues it.  Returns 0. */
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
	work_track_peaks(engine);
	if (engine->running < engine->options.slots)
		work_start(engine, call);
	return 0;
}

/* Removes a call, complete or not, and assigns its slot to the next one. */
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
	next = engine->admitted > engine->running ? work_next_queued(engine)
						  : NULL;
	if (next != NULL)
		work_start(engine, next);
}

/*
 * Returns when a call is to be resumed: when the next token of a stream, or the
 * last token of another answer, is due.
 */
static int64_t
work_resume_time_us(const struct engine *engine, const struct call *call)
{
	uint32_t tokens = call->stream ? call->sent : call->tokens - 1;

	return call->first_due_us + tokens * engine->options.token_us;
}

/* Suspends a call's connection until work_resume_due() finds a token due. */
void
work_suspend(struct call *call)
{
	struct engine *engine = call->engine;
	int64_t resume_us = work_resume_time_us(engine, call);

	call->suspended = true;
	MHD_suspend_connection(call->connection);
	if (call->started && resume_us < engine->next_due_us)
		engine->next_due_us = resume_us;
}

/* Returns how many tokens of a call are due. */
uint32_t
work_tokens_due(const struct engine *engine, const struct call *call)
{
	int64_t token_us = engine->options.token_us;
	int64_t now_us;
	int64_t due;

	if (!call->started)
		return 0;
	if (token_us == 0 && engine->options.first_token_us == 0 &&
	    call->fault != FAULT_LATE && engine->options.prompt_token_us == 0)
		return call->tokens;
	now_us = tool_loop_now_us();
	if (now_us < call->first_due_us)
		return 0;
	if (token_us == 0)
		return call->tokens;
	due = 1 + (now_us - call->first_due_us) / token_us;
	return due < call->tokens ? (uint32_t)due : call->tokens;
}

/* Returns whether a suspended call's client has closed its connection. */
static bool
work_client_disconnected(const struct call *call)
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
	tool_loop_resume_daemon(call->engine->loop);
}

/* Resumes the suspended calls whose clients have disconnected. */
static void
work_detect_disconnects(struct engine *engine)
{
	struct call *call;

	for (call = engine->calls; call != NULL; call = call->next) {
		if (!call->suspended || !work_client_disconnected(call))
			continue;
		call->disconnected = true;
		work_resume(call);
	}
}

/*
 * Resumes the calls that have a token due, and those whose clients have
 * disconnected.  Returns when it must be called again, in microseconds of the
 * monotonic clock.
 */
int64_t
work_resume_due(struct engine *engine)
{
	int64_t now_us = tool_loop_now_us();
	int64_t resume_us, earliest_scan_us;
	struct call *call;

	if (now_us >= engine->next_disconnect_scan_us) {
		work_detect_disconnects(engine);
		engine->next_disconnect_scan_us =
		    now_us + WORK_DISCONNECT_SCAN_US;
	}
	if (now_us >= engine->next_due_us) {
		engine->next_due_us = now_us + WORK_IDLE_US;
		earliest_scan_us =
		    now_us + engine->admitted / WORK_SCANNED_CALLS_PER_US;
		for (call = engine->calls; call != NULL; call = call->next) {
			if (!call->started || !call->suspended ||
			    call->conn->silent)
				continue;
			resume_us = work_resume_time_us(engine, call);
			if (resume_us <= now_us)
				work_resume(call);
			else if (resume_us < engine->next_due_us)
				engine->next_due_us = resume_us;
		}
		if (engine->next_due_us < earliest_scan_us)
			engine->next_due_us = earliest_scan_us;
	}
	if (engine->calls == NULL)
		return now_us + WORK_IDLE_US;
	return engine->next_due_us < engine->next_disconnect_scan_us
		   ? engine->next_due_us
		   : engine->next_disconnect_scan_us;
}
