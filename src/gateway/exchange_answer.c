#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/err.h"
#include "gateway/follow.h"
#include "gateway/path_check.h"
#include "http/event_stream.h"
#include "route/retry.h"

/*
 * Validates a backend server's answer and forwards it to the caller, or retries
 * the request at another server.
 */

enum {
	/* Largest plain answer; these are buffered whole. */
	ANSWER_MAX_BYTES = 16 * 1024 * 1024,
	/* An answer or gap this many times longer than expected is slow. */
	SLOW_FACTOR = 3,
	/* Expected of any answer in addition to its work. */
	FIRST_BYTE_OVERHEAD_MS = 40,
	/* A server with less backlog counts as idle. */
	IDLE_BACKLOG_MS = 10,
	/* With more backlog, gaps say nothing about a version. */
	GAP_BACKLOG_MAX_MS = 50,
	/* Gaps at the start of a stream that make up its one sample. */
	GAPS_TIMED = 4,
	/* A stream whose gaps are this many times longer is sampled early. */
	LATE_GAPS_FACTOR = 4,
	STATUS_OK = 200,
	STATUS_REDIRECT = 300, /* the lowest that is no success */
	STATUS_MISDIRECTED = 421,
	STATUS_UNAVAILABLE = 503
};

#define EVENT_STREAM_TYPE "text/event-stream"

/* Weight of the newest gap in the usual gap of a model. */
static const double gap_weight = 0.02;
/* Weight of the newest gap in its server's mean time. */
static const double server_gap_weight = 0.05;
/* Weight of the newest plain answer in its server's mean time. */
static const double server_time_weight = 0.3;
/* Time that is recorded for gaps of the usual length. */
static const double gap_scale_ms = 16;

/*
 * Returns the outcomes of the service's roll-out on this route, or NULL if none
 * is under way.  is_new_version: set if the attempt's server runs the new
 * version.
 */
static struct evidence_row *
rollout_row(struct gw_exchange *ex, bool *is_new_version)
{
	const struct ord_rollout *rollout = ord_newest_rollout(
	    gw_follower_orders(ex->entry->gw->order_follower),
	    ex->service_config->name);
	struct evidence_row *row;

	if (rollout == NULL || rollout->state >= ORD_COMPLETED)
		return NULL;
	row = evidence_row(ex->entry->outcomes, 0, rollout->service,
	    rollout->target, ex->route->name);
	*is_new_version =
	    strcmp(pool_server_at(ex->entry->pool, ex->attempt.server)
		       ->announced.version,
		rollout->target) == 0;
	return row;
}

/*
 * Returns the counts of the version that the attempt's server runs; NULL if no
 * roll-out is under way.
 */
static struct verdict_counts *
version_counts(struct gw_exchange *ex)
{
	bool is_new_version;
	struct evidence_row *row = rollout_row(ex, &is_new_version);

	if (row == NULL)
		return NULL;
	return is_new_version ? &row->fresh : &row->known;
}

/*
 * Returns whether the timing of the attempt can be compared: its server was
 * warm and has not restarted since.
 */
static bool
is_timing_valid(const struct gw_exchange *ex)
{
	return !ex->attempt.server_cold &&
	       pool_server_at(ex->entry->pool, ex->attempt.server)
		       ->announced.born_ms == ex->attempt.born_ms;
}

/*
 * Records how long an answer took, in milliseconds, as evidence for a roll-out.
 * Leaves out cold servers, and servers of the old version that are much slower
 * than their peers.  load: load class of the server.
 */
static void
record_rollout_time(struct gw_exchange *ex, uint32_t load, double ms)
{
	struct gw_entry *entry = ex->entry;
	struct evidence_row *row;
	bool is_new_version;

	if (!is_timing_valid(ex))
		return;
	row = rollout_row(ex, &is_new_version);
	if (row != NULL &&
	    (is_new_version || !pool_is_slow(entry->pool, ex->attempt.server)))
		timing_add(
		    is_new_version ? &row->fresh_times : &row->known_times,
		    load, ms);
}

/*
 * Records the time a server took, in milliseconds, so that slow servers are
 * detected.
 */
static void
record_server_time(struct gw_exchange *ex, double ms, double weight)
{
	if (is_timing_valid(ex))
		pool_record_latency(
		    ex->entry->pool, ex->attempt.server, ms, weight);
}

/*
 * Records the time to the first byte of an answer in the estimate of its
 * server, and how far it was from what was predicted.
 */
static void
record_answer_time(struct gw_exchange *ex)
{
	struct gw_entry *entry = ex->entry;
	int64_t seen_us = gw_exchange_now_us(ex) - ex->attempt.sent_us;
	struct pool_answer_time answer = {
	    .seen_ms = (double)seen_us / US_PER_MS,
	    .nominal_ms = ex->attempt.nominal_ms,
	    .requests = ex->attempt.server_load,
	    .is_whole = ex->route->kind != ROUTE_STREAM};

	/* Of a model's whole answer only the first event was predicted. */
	if (!is_timing_valid(ex) ||
	    (ex->service_config->is_engine && answer.is_whole))
		return;
	metrics_observe_us(entry->estimate_error_us,
	    llabs(seen_us - (int64_t)(ex->attempt.predicted_ms * US_PER_MS)));
	pool_record_answer_time(
	    entry->pool, ex->attempt.server, &answer, gw_exchange_now_us(ex));
}

/*
 * Records the time that an idle server took to read a prompt, as it would be on
 * a machine of the usual pace.
 */
static void
record_prompt_reading(struct gw_exchange *ex)
{
	int64_t took_us = gw_exchange_now_us(ex) - ex->attempt.sent_us;

	prefill_add_sample(&ex->service_state->prefill_rates[ex->model_index],
	    ex->attempt.unread_tokens,
	    (int64_t)((double)took_us / pool_reported_factor(ex->entry->pool,
					    ex->attempt.server, false)));
}

/* Returns whether the server reports more than half of its slots busy. */
static bool
is_loaded(const struct gw_exchange *ex)
{
	const struct pool_server *s =
	    pool_server_at(ex->entry->pool, ex->attempt.server);

	return s->has_load && s->running * 2U > s->announced.slots;
}

/*
 * Records an answer as it begins: the time it took, and whether it is a
 * failure.
 */
static void
record_answer(struct gw_exchange *ex, bool failed)
{
	struct verdict_counts *counts = version_counts(ex);
	const struct pool_server *s =
	    pool_server_at(ex->entry->pool, ex->attempt.server);
	/* A machine that is slow now does not make its version slow. */
	double factor =
	    pool_reported_factor(ex->entry->pool, ex->attempt.server, false);
	double ms = (double)upstream_server_time_us(ex->attempt.call) /
		    US_PER_MS / factor;

	if (!failed && ex->route->kind != ROUTE_STREAM) {
		record_rollout_time(ex,
		    timing_slot_load_class(
			ex->attempt.server_load, s->announced.slots),
		    ms);
		record_server_time(ex, ms, server_time_weight);
	}
	if (counts == NULL)
		return;
	counts->answers++;
	counts->failures += failed;
	counts->errors += failed;
	if (is_loaded(ex)) {
		counts->loaded++;
		counts->loaded_errors += failed;
	}
	if (failed)
		return;
	counts->slow +=
	    (double)(gw_exchange_now_us(ex) - ex->attempt.sent_us) / US_PER_MS /
		factor >
	    SLOW_FACTOR * (ex->attempt.expected_ms + FIRST_BYTE_OVERHEAD_MS);
}

/* Records an answer that broke off, or never began. */
static void
record_broken_answer(struct gw_exchange *ex)
{
	struct verdict_counts *counts = version_counts(ex);

	if (counts == NULL)
		return;
	counts->answers += !ex->attempt.header_received;
	counts->failures++;
}

/* Sends the caller the head of a streamed answer. */
static void
begin_answer(struct gw_exchange *ex)
{
	front_begin_answer(
	    ex->caller, ex->attempt.status, &ex->answer_head, true, 0);
	ex->answer_begun = true;
}

/*
 * Returns the expected length of the answer in tokens: the caller's estimate,
 * or else a third of the maximum.
 */
uint32_t
gw_exchange_output_tokens(const struct gw_exchange *ex)
{
	return ex->request.output_tokens_guess > 0
		   ? ex->request.output_tokens_guess
		   : ex->request.output_tokens_max / 3;
}

/*
 * Records the limit that an answer names, or that a server which ran the
 * request names none any more, and tells the other instances of a change.
 */
static void
record_limit(struct gw_exchange *ex, const struct gw_answer_header *answer)
{
	struct gw_entry *entry = ex->entry;
	uint16_t server = ex->attempt.server;
	int64_t now_us = gw_exchange_now_us(ex);
	bool changed = false;

	if (answer->limit_unreadable) {
		entry->limits_unreadable->value++;
		gw_exchange_log(ex, LOG_LEVEL_WARN, "limit_unreadable",
		    "server=%s",
		    pool_server_at(entry->pool, server)->announced.id);
	} else if (answer->has_limit)
		changed = pool_record_limit(entry->pool, server,
		    answer->limit_milli_per_s, ex->attempt.sent_us, now_us);
	else if (answer->has_proof && !answer->not_run)
		changed = pool_record_no_limit(
		    entry->pool, server, ex->attempt.sent_us, now_us);
	if (changed)
		gw_entry_tell_limit(entry, server);
}

/*
 * Records that an answer says that its server is brittle, or that one to a
 * request that ran does not, and tells the other instances of a change.
 */
static void
record_brittle(struct gw_exchange *ex, const struct gw_answer_header *answer)
{
	struct gw_entry *entry = ex->entry;
	uint16_t server = ex->attempt.server;
	int64_t now_us = gw_exchange_now_us(ex);
	bool changed = false;

	if (answer->brittle_unreadable) {
		entry->brittle_unreadable->value++;
		gw_exchange_log(ex, LOG_LEVEL_WARN, "brittle_unreadable",
		    "server=%s",
		    pool_server_at(entry->pool, server)->announced.id);
		/* It is brittle all the same; none is the lowest number. */
		changed = pool_record_brittle(
		    entry->pool, server, 0, ex->attempt.sent_us, now_us);
	} else if (answer->is_brittle)
		changed = pool_record_brittle(entry->pool, server,
		    answer->rejections_max, ex->attempt.sent_us, now_us);
	else if (answer->has_proof && !answer->not_run)
		changed = pool_record_not_brittle(
		    entry->pool, server, ex->attempt.sent_us, now_us);
	if (changed)
		gw_entry_tell_brittle(entry, server);
}

/*
 * Updates what is known of the server from the head of its answer: its load,
 * and whether it is leaving or asks for a pause.  The latter two are ignored in
 * answers of an earlier life, or of another server at the same address.
 */
static void
update_server_state(struct gw_exchange *ex, unsigned int status,
    const struct gw_answer_header *answer)
{
	struct gw_entry *entry = ex->entry;
	const struct pool_server *s =
	    pool_server_at(entry->pool, ex->attempt.server);
	int64_t now_us = gw_exchange_now_us(ex);

	if (answer->has_load)
		pool_record_load(entry->pool, ex->attempt.server,
		    answer->running, answer->waiting, now_us);
	entry->paces_unreadable->value += answer->pace_unreadable;
	if (answer->has_cold)
		pool_record_cold(
		    entry->pool, ex->attempt.server, answer->cold_ms, now_us);
	if (status == STATUS_MISDIRECTED ||
	    s->announced.born_ms != ex->attempt.born_ms)
		return;
	if (answer->has_pace)
		pool_record_pace(entry->pool, ex->attempt.server,
		    answer->pace_percent, now_us);
	ex->attempt.server_leaving = answer->leaving;
	if (answer->leaving && s->announced.state == REGISTRY_READY)
		gw_entry_server_leaving(entry, &s->announced);
	record_limit(ex, answer);
	record_brittle(ex, answer);
	if (status != STATUS_UNAVAILABLE)
		return;
	if (answer->pause_unreadable) {
		entry->pauses_unreadable->value++;
		gw_exchange_log(ex, LOG_LEVEL_WARN, "pause_unreadable",
		    "server=%s", s->announced.id);
	} else if (answer->has_pause) {
		entry->pauses->value++;
		ex->attempt.pause_ms = answer->pause_ms;
		pool_record_pause(
		    entry->pool, ex->attempt.server, answer->pause_ms, now_us);
		gw_exchange_log(ex, LOG_LEVEL_INFO, "server_paused",
		    "server=%s pause_ms=%u", s->announced.id, answer->pause_ms);
	}
}

/*
 * Updates the count of buffered bytes.  Returns 0, or ERR_TOO_LARGE if there is
 * no memory for this answer.
 */
static int
count_buffered(struct gw_exchange *ex)
{
	struct gw_entry *entry = ex->entry;

	entry->buffered_bytes += ex->answer_body.len;
	entry->buffered_bytes -= ex->buffered_bytes;
	ex->buffered_bytes = ex->answer_body.len;
	return memory_budget_keeps_answer(
		   &entry->gw->memory.budget, ex->buffered_bytes)
		   ? 0
		   : ERR_TOO_LARGE;
}

/*
 * Returns whether an answer to a request for a stream is one.  type: its type;
 * NULL if it names none, which is taken for a stream.
 */
static bool
is_event_stream(const struct gw_exchange *ex, const char *type)
{
	return ex->route->kind == ROUTE_STREAM &&
	       ex->attempt.status < STATUS_REDIRECT &&
	       (type == NULL || strncasecmp(type, EVENT_STREAM_TYPE,
				    strlen(EVENT_STREAM_TYPE)) == 0);
}

/*
 * Prepares for the body of an answer that is to be passed on.  Returns 0, or
 * ERR_UPSTREAM for a success that can't continue a stream which has begun.
 */
int
gw_exchange_begin_body(
    struct gw_exchange *ex, const struct header_fields *headers)
{
	const struct gw_dialect *dialect = ex->entry->gw->dialect;
	const char *type = headers_get(headers, "Content-Type");

	ex->attempt.is_event_stream = is_event_stream(ex, type);
	ex->attempt.continues = ex->answer_begun;
	if (ex->answer_begun && ex->attempt.status < STATUS_REDIRECT &&
	    (ex->attempt.status != STATUS_OK || !ex->attempt.is_event_stream ||
		(ex->stream_is_typed && type == NULL))) {
		gw_exchange_log(ex, LOG_LEVEL_WARN, "not_the_stream",
		    "status=%u type=\"%s\"", ex->attempt.status,
		    type != NULL ? type : "");
		return ERR_UPSTREAM;
	}
	if (!ex->answer_begun) {
		ex->stream_is_typed = type != NULL;
		buf_clear(&ex->answer_head);
		dialect->ops->write_answer(dialect, headers, &ex->answer_head);
	}
	buf_clear(&ex->answer_body);
	ex->attempt.scanned_bytes = 0;
	(void)count_buffered(ex);
	return 0;
}

/* Logs that an answer to another request came, once for each attempt. */
void
gw_exchange_log_mismatch(struct gw_exchange *ex, const char *from)
{
	if (!ex->attempt.mismatch_logged)
		gw_exchange_log(
		    ex, LOG_LEVEL_WARN, "answer_of_another", "server=%s", from);
	ex->attempt.mismatch_logged = true;
}

/*
 * Handles the head of an answer.  Returns 0, UPSTREAM_SKIP_ANSWER for an answer
 * to another request, or ERR_UPSTREAM if the answer is defective or not wanted.
 */
static int
on_head(void *ctx, struct upstream_call *call, unsigned int status,
    const struct header_fields *headers)
{
	struct gw_exchange *ex = ctx;
	struct gw_entry *entry = ex->entry;
	const struct gw_dialect *dialect = entry->gw->dialect;
	struct gw_answer_header answer;
	int64_t now_us = gw_exchange_now_us(ex);
	bool is_idle_read;

	(void)call;
	dialect->ops->read_answer(dialect, headers, &answer);
	ex->service_state->reach.heard_us = now_us;
	if (answer.id != NULL && strcmp(answer.id, ex->request.id) != 0) {
		gw_exchange_log_mismatch(
		    ex, pool_server_at(entry->pool, ex->attempt.server)
			    ->announced.id);
		return UPSTREAM_SKIP_ANSWER;
	}
	is_idle_read = !ex->attempt.header_received &&
		       ex->attempt.backlog_ms < IDLE_BACKLOG_MS &&
		       ex->attempt.unread_tokens > 0 && status < 300;
	gw_exchange_clear_pending(ex);
	ex->attempt.progress_us = now_us;
	ex->attempt.header_received = true;
	ex->attempt.status = status;
	ex->attempt.not_run = answer.not_run || status == STATUS_MISDIRECTED;
	update_server_state(ex, status, &answer);
	if (is_idle_read)
		record_prompt_reading(ex);
	if (!ex->attempt.not_run) {
		pool_record_acceptance(entry->pool, ex->attempt.server, now_us);
		record_answer(ex, status >= 500);
		if (status < STATUS_REDIRECT)
			record_answer_time(ex);
	}
	if (status < 300 &&
	    (!answer.has_proof || answer.encoded || answer.id == NULL)) {
		ex->attempt.defective = true;
		return ERR_UPSTREAM;
	}
	if (status < 300 &&
	    gw_exchange_should_escalate(ex, answer.confidence)) {
		ex->attempt.escalated = true;
		return ERR_UPSTREAM;
	}
	if (gw_exchange_begin_body(ex, headers) != 0) {
		ex->attempt.defective = true;
		return ERR_UPSTREAM;
	}
	return 0;
}

/*
 * Parses the "id: N" line of an event.  Returns false if it has none, or no
 * number.
 */
static bool
parse_event_id(const char *event, size_t len, uint64_t *id)
{
	size_t at = 0;

	while (at + 3 < len) {
		const char *end = memchr(event + at, '\n', len - at);

		if (strncmp(event + at, "id:", 3) == 0) {
			char *stop;

			*id = strtoull(event + at + 3, &stop, 10);
			return stop != event + at + 3;
		}
		if (end == NULL)
			break;
		at = (size_t)(end - event) + 1;
	}
	return false;
}

/*
 * Returns whether the attempt's server is reading prompts, which delays events
 * in any version.  Servers of a new version read more prompts, since their
 * prefix caches are still empty.
 */
static bool
has_prompt_backlog(const struct gw_exchange *ex)
{
	return pool_backlog_ms(ex->entry->pool, ex->attempt.server,
		   gw_exchange_now_us(ex)) > GAP_BACKLOG_MAX_MS;
}

/*
 * Records the mean length of the first gaps, relative to the usual gap of the
 * model.
 */
static void
record_mean_gap(struct gw_exchange *ex, double learned_us, uint8_t gaps)
{
	record_rollout_time(ex,
	    timing_prefill_load_class(ex->attempt.reading_max_ms),
	    gap_scale_ms * (double)ex->attempt.gap_sum_us /
		(gaps * learned_us));
}

/*
 * Adds up the first gaps of a stream and records their mean.  A stream whose
 * gaps already take LATE_GAPS_FACTOR times as long as all of them should is
 * recorded at once; otherwise the slowest streams would be recorded last.
 */
static void
record_early_gap(struct gw_exchange *ex, double learned_us, int64_t gap_us)
{
	double reading_ms = pool_backlog_ms(
	    ex->entry->pool, ex->attempt.server, gw_exchange_now_us(ex));

	if (ex->attempt.gap_count == GAPS_TIMED)
		return;
	if (reading_ms > ex->attempt.reading_max_ms)
		ex->attempt.reading_max_ms = reading_ms;
	ex->attempt.gap_sum_us += gap_us;
	ex->attempt.gap_count++;
	if ((double)ex->attempt.gap_sum_us >
	    learned_us * GAPS_TIMED * LATE_GAPS_FACTOR)
		ex->attempt.gap_count = GAPS_TIMED;
	if (ex->attempt.gap_count == GAPS_TIMED)
		record_mean_gap(ex, learned_us, GAPS_TIMED);
}

/*
 * Records the gap since the previous event as evidence for a roll-out.  The
 * usual length of a gap is learned for each model from the old version.
 */
static void
record_event_gap(struct gw_exchange *ex, int64_t gap_us)
{
	double *learned = &ex->service_state->usual_gap_us[ex->model_index];
	struct verdict_counts *counts = version_counts(ex);

	/* Nor does one that is slow always. */
	gap_us =
	    (int64_t)((double)gap_us / pool_reported_factor(ex->entry->pool,
					   ex->attempt.server, true));
	if (ex->attempt.role == POOL_ROLE_BASE &&
	    !pool_is_slow(ex->entry->pool, ex->attempt.server))
		*learned += *learned == 0
				? (double)gap_us
				: gap_weight * ((double)gap_us - *learned);
	if (*learned == 0)
		return;
	record_early_gap(ex, *learned, gap_us);
	if (has_prompt_backlog(ex))
		return;
	record_server_time(
	    ex, gap_scale_ms * (double)gap_us / *learned, server_gap_weight);
	if (counts == NULL)
		return;
	counts->gaps++;
	counts->slow_gaps += (double)gap_us > SLOW_FACTOR * *learned;
}

/* Records the time to the first byte of the answer. */
static void
record_first_byte(struct gw_exchange *ex)
{
	if (ex->first_byte_us != 0)
		return;
	ex->first_byte_us = gw_exchange_now_us(ex);
	metrics_observe_us(
	    ex->entry->first_byte_us, ex->first_byte_us - ex->arrived_us);
}

/*
 * Records that a stream makes progress.  Only whole events count: a server that
 * has stalled may still send a byte now and then.
 */
static void
record_event_progress(struct gw_exchange *ex)
{
	int64_t now_us = gw_exchange_now_us(ex);

	if (ex->answer_begun && ex->attempt.forwarded_to == 0)
		record_event_gap(ex, now_us - ex->attempt.progress_us);
	ex->attempt.progress_us = now_us;
}

/* Returns whether an event consists of comments, which have no id. */
static bool
is_comment(const char *event, size_t len)
{
	return len > 0 && event[0] == ':' &&
	       memmem(event, len, "\ndata", strlen("\ndata")) == NULL;
}

/*
 * Returns whether the stream can go on at another server: that takes the id of
 * the last event that the caller has got.
 */
bool
gw_exchange_may_resume(const struct gw_exchange *ex)
{
	return ex->route->resumable &&
	       (!ex->answer_begun ||
		   (ex->has_last_event && !ex->has_unnumbered));
}

/*
 * Returns whether an event can follow those that the caller has got.  The ids
 * must not go back.  The first new event of a resumed run must have an id, and
 * the next one if the ids have been consecutive so far.
 */
static bool
may_follow(const struct gw_exchange *ex, bool has_id, uint64_t id)
{
	if (!ex->has_last_event)
		return true;
	if (!has_id)
		return !ex->attempt.continues;
	if (id <= ex->last_event_id)
		return false;
	return !ex->attempt.continues || ex->attempt.new_events > 0 ||
	       !ex->ids_consecutive || id == ex->last_event_id + 1;
}

/* Sends an event to the caller and records its id. */
static void
forward_event(struct gw_exchange *ex, const void *event, size_t len,
    bool has_id, uint64_t id)
{
	int64_t now_us = gw_exchange_now_us(ex);

	if (!ex->answer_begun)
		begin_answer(ex);
	if (ex->caller != NULL)
		front_write_body(ex->caller, event, len);
	ex->attempt.new_events++;
	if (ex->event_us != 0 && now_us - ex->event_us > ex->longest_gap_us)
		ex->longest_gap_us = now_us - ex->event_us;
	ex->event_us = now_us;
	if (!has_id) {
		ex->has_unnumbered = true;
		return;
	}
	if (ex->has_last_event)
		ex->ids_consecutive &= id == ex->last_event_id + 1;
	ex->last_event_id = id;
	ex->has_last_event = true;
}

/*
 * Handles a complete event.  Returns whether it was forwarded, or ERR_UPSTREAM
 * if it can't follow what the caller has got.
 */
static int
process_event(struct gw_exchange *ex, const char *event, size_t len)
{
	uint64_t id = 0;
	bool has_id = parse_event_id(event, len, &id);

	if (is_comment(event, len)) {
		if (ex->answer_begun && ex->caller != NULL)
			front_write_body(ex->caller, event, len);
		return 0;
	}
	ex->attempt.events++;
	/* A resumed run may repeat events that the caller has. */
	if (has_id && ex->has_last_event && id <= ex->last_event_id &&
	    ex->attempt.new_events == 0)
		return 0;
	if (!may_follow(ex, has_id, id)) {
		gw_exchange_log(ex, LOG_LEVEL_WARN, "event_out_of_order",
		    "has_id=%d id=%" PRIu64 " last=%" PRIu64 " continues=%d",
		    has_id, id, ex->last_event_id, ex->attempt.continues);
		ex->attempt.defective = true;
		return ERR_UPSTREAM;
	}
	forward_event(ex, event, len, has_id, id);
	return 1;
}

/*
 * Forwards complete events to the caller and buffers an incomplete one.  Stops
 * reading while the caller lags by more than there is memory for.  Returns 0,
 * ERR_TOO_LARGE, or ERR_UPSTREAM for an event that is not of this stream.
 */
static int
forward_events(struct gw_exchange *ex, const void *data, size_t len)
{
	size_t n, passed = 0;
	bool progressed = false;
	int result;

	buf_add(&ex->answer_body, data, len);
	while ((n = event_stream_next(
		    &ex->answer_body, &ex->attempt.scanned_bytes)) > 0) {
		if (!progressed)
			record_event_progress(ex);
		progressed = true;
		result =
		    process_event(ex, (const char *)ex->answer_body.data, n);
		if (result < 0)
			return result;
		passed += result > 0 ? n : 0;
		buf_consume(&ex->answer_body, n);
	}
	if (passed > 0) {
		record_first_byte(ex);
		metrics_observe_us(ex->entry->event_pass_us,
		    clock_monotonic_us() - gw_exchange_now_us(ex));
	}
	if (ex->caller != NULL &&
	    front_pending_bytes(ex->caller) >
		memory_budget_unread_max(&ex->entry->gw->memory.budget)) {
		ex->is_paused = true;
		upstream_set_paused(ex->attempt.call, true);
		gw_exchange_set_timer(ex);
	}
	return ex->answer_body.len > EVENT_STREAM_EVENT_MAX_BYTES
		   ? ERR_TOO_LARGE
		   : count_buffered(ex);
}

/* Handles a part of an answer's body.  Returns 0 or ERR_TOO_LARGE. */
int
gw_exchange_take_data(struct gw_exchange *ex, const void *data, size_t len)
{
	if (ex->attempt.not_run)
		return 0;
	if (ex->attempt.is_event_stream)
		return forward_events(ex, data, len);
	ex->attempt.progress_us = gw_exchange_now_us(ex);
	record_first_byte(ex);
	buf_add(&ex->answer_body, data, len);
	return ex->answer_body.len > ANSWER_MAX_BYTES ? ERR_TOO_LARGE
						      : count_buffered(ex);
}

static int
on_data(void *ctx, struct upstream_call *call, const void *data, size_t len)
{
	struct gw_exchange *ex = ctx;

	(void)call;
	ex->service_state->reach.heard_us = gw_exchange_now_us(ex);
	return gw_exchange_take_data(ex, data, len);
}

/*
 * Returns whether a status implies that the request has not run.  Without the
 * server's own statement that is not to be trusted.
 */
static bool
implies_not_run(unsigned int status)
{
	return status == 408 || status == 429 || status == 503;
}

/*
 * Returns whether a stream stops within an event.  It was broken off then, even
 * where its length or its last chunk marks its end.
 */
bool
gw_exchange_stops_within_event(const struct gw_exchange *ex)
{
	const char *rest = buf_text(&ex->answer_body);

	return ex->attempt.is_event_stream &&
	       strspn(rest, "\r\n") < ex->answer_body.len;
}

/*
 * Returns whether a stream has ended with its connection before the first
 * event.
 */
static bool
stops_before_events(
    const struct gw_exchange *ex, const struct upstream_result *result)
{
	return ex->attempt.is_event_stream &&
	       result->end == UPSTREAM_END_CONNECTION &&
	       ex->attempt.events == 0 && !ex->has_last_event;
}

/* Returns how the attempt ended. */
static enum retry_end
classify_end(const struct gw_exchange *ex, const struct upstream_result *result)
{
	if (result->error == 0 && (gw_exchange_stops_within_event(ex) ||
				      stops_before_events(ex, result)))
		return RETRY_END_BROKEN;
	if (ex->attempt.not_run && result->error == 0)
		return RETRY_END_NOT_RUN;
	if (ex->attempt.defective)
		return RETRY_END_DEFECTIVE;
	if (result->error == 0)
		return implies_not_run(result->status) ? RETRY_END_DEFECTIVE
						       : RETRY_END_ANSWERED;
	if (!result->sent)
		return RETRY_END_UNREACHABLE;
	return ex->attempt.not_run ? RETRY_END_NOT_RUN : RETRY_END_BROKEN;
}

/*
 * Reports the result of the attempt to the pool, and logs if the server is
 * ejected for it.
 */
static void
record_health(struct gw_exchange *ex, bool failed)
{
	const struct pool_server *s =
	    pool_server_at(ex->entry->pool, ex->attempt.server);
	int64_t before_us = s->ejected_until_us;

	pool_record_outcome(ex->entry->pool, ex->attempt.server, failed,
	    gw_exchange_now_us(ex));
	if (s->ejected_until_us != before_us)
		log_event(LOG_LEVEL_WARN, "server_ejected",
		    "server=%s outcomes=%u for_ms=%" PRId64, s->announced.id,
		    s->outcomes,
		    (s->ejected_until_us - gw_exchange_now_us(ex)) / US_PER_MS);
}

/* Returns the life of the server that the attempt was sent to. */
struct suspects_life
gw_exchange_life(const struct gw_exchange *ex)
{
	const struct registry_server *server =
	    &pool_server_at(ex->entry->pool, ex->attempt.server)->announced;
	struct suspects_life life = gw_entry_life_of(server);

	life.life = registry_life_hash(server->id, ex->attempt.born_ms);
	return life;
}

/*
 * Makes the request a suspect, as its server may have crashed while running it:
 * the attempt ends without an answer.  A server that was leaving may simply
 * have ended and is ignored.  closed: the server closed the connection, which
 * is stronger evidence than silence; it is probed at once.
 */
void
gw_exchange_suspect_crash(struct gw_exchange *ex, bool closed)
{
	struct gw_entry *entry = ex->entry;
	const struct pool_server *s =
	    pool_server_at(entry->pool, ex->attempt.server);
	struct suspects_life life = gw_exchange_life(ex);
	char parts[GW_PARTS_TEXT_BYTES];

	if (s->announced.born_ms == ex->attempt.born_ms &&
	    s->announced.state != REGISTRY_READY)
		return;
	gw_exchange_log(ex, LOG_LEVEL_INFO, "suspected",
	    "server=%s born_ms=%" PRIu64 " life=%016" PRIx64
	    " fingerprint=%016" PRIx64 " parts=%s closed=%d",
	    s->announced.id, ex->attempt.born_ms, life.life,
	    ex->causes.fingerprint, gw_exchange_format_parts(ex, parts),
	    closed);
	suspects_add_broken_run(entry->suspects, &life, &ex->causes, closed,
	    gw_exchange_now_us(ex));
	gw_entry_report_held_crashes(entry);
	if (closed && s->announced.born_ms == ex->attempt.born_ms)
		gw_entry_probe_server(entry, ex->attempt.server);
}

/* Records what the end of an attempt proves or refutes about crashes. */
static void
record_crash_evidence(struct gw_exchange *ex, enum retry_end end,
    const struct upstream_result *result)
{
	struct gw_entry *entry = ex->entry;
	const struct pool_server *s =
	    pool_server_at(entry->pool, ex->attempt.server);
	uint32_t cleared;

	if (end == RETRY_END_BROKEN &&
	    (result->closed || result->end == UPSTREAM_END_CONNECTION))
		gw_exchange_suspect_crash(ex, true);
	if (result->error != 0 || end == RETRY_END_BROKEN)
		return;
	cleared = suspects_record_answer(entry->suspects,
	    registry_life_hash(s->announced.id, ex->attempt.born_ms),
	    ex->attempt.sent_us, gw_exchange_now_us(ex));
	if (cleared > 0)
		log_event(LOG_LEVEL_INFO, "suspects_cleared",
		    "server=%s count=%u", s->announced.id, cleared);
	if (end == RETRY_END_ANSWERED && result->status < 500)
		suspects_acquit(
		    entry->suspects, &ex->causes, gw_exchange_now_us(ex));
}

/*
 * Reports the end of an attempt to the pool and to the evidence of a roll-out.
 */
static void
record_outcome(struct gw_exchange *ex, enum retry_end end,
    const struct upstream_result *result)
{
	struct gw_entry *entry = ex->entry;
	int64_t now_us = gw_exchange_now_us(ex);
	bool failed = end == RETRY_END_BROKEN || end == RETRY_END_DEFECTIVE ||
		      (end == RETRY_END_ANSWERED && result->status >= 500);

	record_crash_evidence(ex, end, result);
	if (end == RETRY_END_UNREACHABLE) {
		log_event(LOG_LEVEL_WARN, "server_unreachable",
		    "server=%s error=%s",
		    pool_server_at(entry->pool, ex->attempt.server)
			->announced.id,
		    err_name(result->error));
		pool_record_connect_failure(entry->pool, ex->attempt.server,
		    result->error == ERR_TIMEOUT, now_us);
		gw_path_failed(entry, ex->attempt.server,
		    result->refused &&
			pool_server_at(entry->pool, ex->attempt.server)
				->announced.born_ms == ex->attempt.born_ms);
	} else if (end == RETRY_END_NOT_RUN)
		pool_record_refusal(entry->pool, ex->attempt.server, now_us);
	else
		record_health(ex, failed);
	if (end == RETRY_END_UNREACHABLE || end == RETRY_END_NOT_RUN)
		return;
	if (end == RETRY_END_BROKEN ||
	    (end == RETRY_END_DEFECTIVE && !ex->attempt.header_received))
		record_broken_answer(ex);
}

/*
 * Sends the caller the whole answer, or the rest of a streamed one, and frees
 * the request.
 */
void
gw_exchange_complete(struct gw_exchange *ex)
{
	struct gw_entry *entry = ex->entry;

	gw_exchange_log_end(ex, "answered", ex->attempt.status);
	entry->answers->value++;
	metrics_observe_us(
	    entry->answer_us, gw_exchange_now_us(ex) - ex->arrived_us);
	answer_time_add(&ex->service_state->answer_time,
	    gw_exchange_now_us(ex) - ex->arrived_us);
	if (ex->caller == NULL) {
		gw_exchange_free(ex);
		return;
	}
	if (ex->answer_begun) {
		if (ex->answer_body.len > 0)
			front_write_body(ex->caller, ex->answer_body.data,
			    ex->answer_body.len);
		front_end_answer(ex->caller, true);
	} else {
		struct front_exchange *x = ex->caller;

		front_begin_answer(x, ex->attempt.status, &ex->answer_head,
		    false, ex->answer_body.len);
		front_write_body(x, ex->answer_body.data, ex->answer_body.len);
		front_end_answer(x, true);
	}
	ex->caller = NULL;
	gw_exchange_free(ex);
}

/*
 * Returns whether the request would be retried if the retry budget allowed it.
 */
static bool
is_refused_by_budget(const struct retry_input *in)
{
	struct retry_input with_budget = *in;

	with_budget.budget = true;
	return retry_next_step(&with_budget) != retry_next_step(in);
}

/*
 * Logs and discards what was buffered of an answer that exceeded a size limit,
 * as it may never end.  The part received is of no use.
 */
static void
discard_unending_answer(struct gw_exchange *ex)
{
	struct gw_entry *entry = ex->entry;

	entry->unending_answers->value++;
	gw_exchange_log(ex, LOG_LEVEL_WARN, "answer_unending",
	    "server=%s status=%u kept_bytes=%zu all_kept_bytes=%zu",
	    pool_server_at(entry->pool, ex->attempt.server)->announced.id,
	    ex->attempt.status, ex->buffered_bytes, entry->buffered_bytes);
	buf_free(&ex->answer_body);
	(void)count_buffered(ex);
}

/* Handles the end of an attempt, and carries out the step that follows. */
static void
attempt_done(void *ctx, const struct upstream_result *result)
{
	struct gw_exchange *ex = ctx;
	struct gw_entry *entry = ex->entry;
	enum retry_end end = classify_end(ex, result);

	ex->attempt.call = NULL;
	ex->attempt.end = result->end;
	gw_exchange_leave_server(ex);
	if ((end == RETRY_END_ANSWERED && result->status < STATUS_REDIRECT) ||
	    ex->attempt.escalated)
		answer_time_add(&ex->service_state->waiting.service_time,
		    gw_exchange_now_us(ex) - ex->attempt.sent_us);
	ex->refused_full = end == RETRY_END_NOT_RUN;
	if (ex->attempt.escalated) {
		ex->run_count++;
		ex->may_have_run = true;
		ex->may_have_arrived = true;
		ex->tried_count = 0; /* the larger model may run there */
		gw_exchange_place(ex);
		gw_entry_retry_waiting(entry);
		return;
	}
	if (result->error == ERR_TOO_LARGE)
		discard_unending_answer(ex);
	if (end == RETRY_END_ANSWERED && result->end == UPSTREAM_END_CONNECTION)
		gw_exchange_await_sign(ex, result);
	else
		gw_exchange_conclude(ex, end, result);
}

/* Records how an attempt ended, and carries out the step that follows. */
void
gw_exchange_conclude(struct gw_exchange *ex, enum retry_end end,
    const struct upstream_result *result)
{
	/* A short stream has fewer gaps than are timed. */
	if (end == RETRY_END_ANSWERED && ex->attempt.gap_count > 0 &&
	    ex->attempt.gap_count < GAPS_TIMED)
		record_mean_gap(ex,
		    ex->service_state->usual_gap_us[ex->model_index],
		    ex->attempt.gap_count);
	record_outcome(ex, end, result);
	if (end != RETRY_END_ANSWERED)
		gw_exchange_log(ex, LOG_LEVEL_INFO, "attempt_failed",
		    "server=%s end=%d status=%u error=%s sent=%d "
		    "closed=%d reused=%d ms=%" PRId64,
		    pool_server_at(ex->entry->pool, ex->attempt.server)
			->announced.id,
		    end, result->status, err_name(result->error), result->sent,
		    result->closed, result->reused,
		    (gw_exchange_now_us(ex) - ex->attempt.sent_us) / US_PER_MS);
	gw_exchange_follow_up(ex, end, result);
}

/* Carries out the step that follows an attempt. */
void
gw_exchange_follow_up(struct gw_exchange *ex, enum retry_end end,
    const struct upstream_result *result)
{
	struct gw_entry *entry = ex->entry;
	struct retry_input in = {.kind = ex->route->kind,
	    .resumable = gw_exchange_may_resume(ex),
	    .end = end,
	    .status = ex->attempt.status,
	    .begun = ex->answer_begun,
	    .runs_max = ex->route->attempts_max,
	    .left_us = ex->deadline_us - gw_exchange_now_us(ex)};

	if (end != RETRY_END_UNREACHABLE && end != RETRY_END_NOT_RUN) {
		ex->run_count += ex->attempt.runs_max;
		ex->may_have_run = true;
	}
	ex->may_have_arrived |= end != RETRY_END_UNREACHABLE;
	in.may_have_run = ex->may_have_run;
	in.runs = ex->run_count;
	in.sends = ex->send_count;
	in.budget = !ex->may_have_arrived ||
		    retry_budget_allows(
			&ex->service_state->budget, gw_exchange_now_us(ex));
	if (ex->caller == NULL) {
		gw_exchange_free(ex);
		gw_entry_retry_waiting(entry);
		return;
	}
	if (is_refused_by_budget(&in))
		gw_exchange_log_no_budget(ex);
	switch (retry_next_step(&in)) {
	case RETRY_PASS_ON:
		gw_exchange_complete(ex);
		break;
	case RETRY_ELSEWHERE:
	case RETRY_RESUME:
		gw_exchange_place(ex);
		break;
	case RETRY_REFUSE:
		gw_exchange_answer_error(ex, ERR_NO_CAPACITY, GW_RETRY_FULL_MS);
		break;
	case RETRY_FAIL:
		gw_exchange_answer_error(ex, ERR_UPSTREAM, 0);
		break;
	case RETRY_TRUNCATE:
		gw_exchange_truncate(ex);
		break;
	}
	gw_entry_retry_waiting(entry);
}

const struct upstream_handler gw_exchange_call_handler = {
    on_head, on_data, attempt_done};
