#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/err.h"
#include "gateway/follow.h"
#include "route/cascade.h"
#include "route/course.h"

/* A backend server's answer: checked, passed on, or tried again elsewhere. */

enum {
	ANSWER_MAX_BYTES = 16 * 1024 * 1024, /* of a plain answer, buffered */
	EVENT_MAX_BYTES = 1024 * 1024,
	BUFFERED_MAX_BYTES = 24 * 1024 * 1024, /* of all answers together */
	BUFFERED_FREE_BYTES = 64 * 1024, /* of any answer, above that too */
	UNTAKEN_MAX_BYTES = 64 * 1024, /* by a caller, before reading stops */
	SLOW_FACTOR = 3, /* of the time expected: far too late */
	FIRST_BYTE_MS = 40, /* of any answer, on top of its work */
	BACKLOG_NONE_MS = 10, /* a server counts as idle below this */
	GAP_BACKLOG_MS = 50, /* beyond it, gaps tell nothing of a version */
	GAPS_TIMED = 4, /* the first of a stream; one answer counts once */
	GAPS_LATE = 4, /* times as long as usual: it is timed before that */
	STATUS_MISDIRECTED = 421,
	STATUS_REFUSED = 503
};

static const double gap_weight = 0.02; /* of the newest time between events */
static const double server_gap_weight = 0.05; /* the same, for its server */
static const double server_time_weight = 0.3; /* of its newest plain answer */
static const double gap_scale_ms = 16; /* stands for gaps as long as usual */

/* What was seen of the versions here, while a roll-out judges one. */
static struct ev_row *
version_row(struct gx *gx, bool *fresh)
{
	const struct ord_rollout *rollout =
	    ord_rollout_of(gf_orders(gx->ge->gw->follow), gx->target->name);
	struct ev_row *row;

	if (rollout == NULL || rollout->state >= ORD_COMPLETED)
		return NULL;
	row = ev_row(gx->ge->outcomes, 0, rollout->service, rollout->target,
	    gx->route->name);
	*fresh = strcmp(pl_at(gx->ge->pool, gx->now.server)->said.version,
		     rollout->target) == 0;
	return row;
}

/* The counts of the version that answers. */
static struct vd_counts *
version_counts(struct gx *gx)
{
	bool fresh;
	struct ev_row *row = version_row(gx, &fresh);

	if (row == NULL)
		return NULL;
	return fresh ? &row->fresh : &row->known;
}

/* Whether the attempt's server was warm, and is in the same life. */
static bool
is_measure(const struct gx *gx)
{
	return !gx->now.cold &&
	       pl_at(gx->ge->pool, gx->now.server)->said.born_ms ==
		   gx->now.born_ms;
}

/*
 * Notes how long an answer took for the judgement of a roll-out.  Servers that
 * are cold, and those of the old version that are much slower than their like,
 * are no measure.
 */
static void
note_time(struct gx *gx, uint32_t load, double ms)
{
	struct ge *ge = gx->ge;
	struct ev_row *row;
	bool fresh;

	if (!is_measure(gx))
		return;
	row = version_row(gx, &fresh);
	if (row != NULL && (fresh || !pl_is_slow(ge->pool, gx->now.server)))
		ti_add(fresh ? &row->fresh_times : &row->known_times, load, ms);
}

/* Notes how long a server took, so that those in trouble are known. */
static void
note_server_time(struct gx *gx, double ms, double weight)
{
	if (is_measure(gx))
		pl_timed(gx->ge->pool, gx->now.server, ms, weight);
}

/* Whether the attempt's server has over half of its slots busy, as it says. */
static bool
is_loaded(const struct gx *gx)
{
	const struct pl_server *s = pl_at(gx->ge->pool, gx->now.server);

	return s->has_load && s->running * 2U > s->said.slots;
}

/* Counts an answer as it begins: its time, and whether it is a failure. */
static void
note_answer(struct gx *gx, bool failed)
{
	struct vd_counts *counts = version_counts(gx);
	const struct pl_server *s = pl_at(gx->ge->pool, gx->now.server);
	double ms = (double)hu_taken_us(gx->now.call) / US_PER_MS;

	if (!failed && gx->route->kind != RT_STREAM) {
		note_time(gx, ti_load_of(gx->now.load, s->said.slots), ms);
		note_server_time(gx, ms, server_time_weight);
	}
	if (counts == NULL)
		return;
	counts->answers++;
	counts->failures += failed;
	counts->errors += failed;
	if (is_loaded(gx)) {
		counts->loaded++;
		counts->loaded_errors += failed;
	}
	if (failed)
		return;
	counts->slow += (double)(gx_now(gx) - gx->now.sent_us) / US_PER_MS >
			SLOW_FACTOR * (gx->now.expected_ms + FIRST_BYTE_MS);
}

/* Counts an answer that failed after its beginning, or never began. */
static void
note_broken(struct gx *gx)
{
	struct vd_counts *counts = version_counts(gx);

	if (counts == NULL)
		return;
	counts->answers += !gx->now.answered;
	counts->failures++;
}

static void
begin_answer(struct gx *gx)
{
	hf_begin(gx->x, gx->now.status, &gx->lines, true, 0);
	gx->begun = true;
}

/* Tokens that the answer will probably have. */
static uint32_t
output_guess(const struct gx *gx)
{
	return gx->request.output_tokens_guess > 0
		   ? gx->request.output_tokens_guess
		   : gx->request.output_tokens_max / 3;
}

/* Whether the answer that begins now is dropped for a larger model's. */
static bool
should_escalate(struct gx *gx, int confidence)
{
	int64_t now_us = gx_now(gx);
	struct ca_input in = {.model_count = gx->route->model_count,
	    .model = gx->model,
	    .confidence = confidence,
	    .prompt_tokens = gx->request.prompt_tokens,
	    .output_tokens = output_guess(gx),
	    .may_repeat = gx->runs + 1 < gx->route->attempts_max &&
			  bu_may_repeat(&gx->service->budget, now_us),
	    .spent_us = now_us - gx->arrived_us,
	    .goal_us = (int64_t)gx->route->goal_ms * US_PER_MS,
	    .left_us = gx->deadline_us - now_us};
	uint16_t next;

	if (!gx->request.any_model || gx->begun || gx->x == NULL ||
	    gx->model + 1 >= gx->route->model_count)
		return false;
	next = ca_next(gx->route->model_count, gx->model);
	if (!gx_expect(gx, next, &in.work_us, &in.backlog_us) ||
	    !ca_should_escalate(&in))
		return false;
	gx->model = next;
	gx_log(gx, LOG_LEVEL_INFO, "escalate",
	    "confidence=%d model=%s spent_ms=%" PRId64 " expected_ms=%" PRId64,
	    confidence, gx->route->models[gx->model], in.spent_us / US_PER_MS,
	    (in.work_us + in.backlog_us) / US_PER_MS);
	return true;
}

/*
 * Takes what an answer says of its server: its load, and what it wants to get
 * from now on.  Answers of an earlier life, or of another server at the same
 * address, say nothing of that.
 */
static void
note_server(struct gx *gx, unsigned int status, const struct dl_answer *answer)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, gx->now.server);
	int64_t now_us = gx_now(gx);

	if (answer->has_load)
		pl_load(ge->pool, gx->now.server, answer->running,
		    answer->waiting, now_us);
	if (answer->has_cold)
		pl_cold(ge->pool, gx->now.server, answer->cold_ms, now_us);
	if (status == STATUS_MISDIRECTED || s->said.born_ms != gx->now.born_ms)
		return;
	gx->now.leaving = answer->leaving;
	if (answer->leaving && s->said.state == RG_READY)
		ge_server_leaves(ge, &s->said);
	if (status != STATUS_REFUSED)
		return;
	if (answer->pause_unreadable) {
		ge->pauses_unreadable->value++;
		gx_log(gx, LOG_LEVEL_WARN, "pause_unreadable", "server=%s",
		    s->said.id);
	} else if (answer->has_pause) {
		ge->pauses->value++;
		gx->now.pause_ms = answer->pause_ms;
		pl_paused(ge->pool, gx->now.server, answer->pause_ms, now_us);
		gx_log(gx, LOG_LEVEL_INFO, "server_paused",
		    "server=%s pause_ms=%u", s->said.id, answer->pause_ms);
	}
}

/*
 * Counts what is kept of the answer.  Returns ERR_TOO_LARGE where all answers
 * together take more memory than there is for them, and this one is not small.
 */
static int
count_buffered(struct gx *gx)
{
	struct ge *ge = gx->ge;

	ge->buffered += gx->body.len;
	ge->buffered -= gx->buffered;
	gx->buffered = gx->body.len;
	return ge->buffered > BUFFERED_MAX_BYTES &&
		       gx->buffered > BUFFERED_FREE_BYTES
		   ? ERR_TOO_LARGE
		   : 0;
}

static int
on_head(void *ctx, struct hu_call *call, unsigned int status,
    const struct hh *headers)
{
	struct gx *gx = ctx;
	struct ge *ge = gx->ge;
	const struct dl_dialect *dialect = ge->gw->dialect;
	struct dl_answer answer;
	int64_t now_us = gx_now(gx);

	(void)call;
	dialect->ops->read_answer(dialect, headers, &answer);
	if (answer.id != NULL && gx->request.id[0] != '\0' &&
	    strcmp(answer.id, gx->request.id) != 0) {
		if (!gx->now.other_logged)
			gx_log(gx, LOG_LEVEL_WARN, "answer_of_another",
			    "server=%s",
			    pl_at(ge->pool, gx->now.server)->said.id);
		gx->now.other_logged = true;
		return HU_NOT_OURS;
	}
	if (!gx->now.answered && gx->now.backlog_ms < BACKLOG_NONE_MS &&
	    gx->now.tokens > 0 && status < 300)
		pc_sample(&gx->service->paces[gx->model], gx->now.tokens,
		    now_us - gx->now.sent_us);
	gx_begin_work(gx);
	gx->now.progress_us = now_us;
	gx->now.answered = true;
	gx->now.status = status;
	gx->now.not_run = answer.not_run || status == STATUS_MISDIRECTED;
	note_server(gx, status, &answer);
	if (!gx->now.not_run) {
		pl_accepted(ge->pool, gx->now.server, now_us);
		note_answer(gx, status >= 500);
	}
	if (status < 300 &&
	    (!answer.has_proof || answer.encoded || answer.id == NULL)) {
		gx->now.defective = true;
		return ERR_UPSTREAM;
	}
	if (status < 300 && should_escalate(gx, answer.confidence)) {
		gx->now.dropped = true;
		return ERR_UPSTREAM;
	}
	if (!gx->begun) {
		buf_clear(&gx->lines);
		dialect->ops->write_answer(dialect, headers, &gx->lines);
	}
	buf_clear(&gx->body);
	(void)count_buffered(gx);
	return 0;
}

/* Reads "id: N" of an event; false if there is none. */
static bool
event_id(const char *event, size_t len, uint64_t *id)
{
	size_t at = 0;

	while (at + 3 < len) {
		const char *end = memchr(event + at, '\n', len - at);

		if (strncmp(event + at, "id:", 3) == 0) {
			*id = strtoull(event + at + 3, NULL, 10);
			return true;
		}
		if (end == NULL)
			break;
		at = (size_t)(end - event) + 1;
	}
	return false;
}

/* Length of the first whole event, its blank line included; 0: none yet. */
static size_t
whole_event(const struct buf *buf)
{
	for (size_t i = 1; i < buf->len; i++) {
		if (buf->data[i] != '\n')
			continue;
		if (buf->data[i - 1] == '\n' ||
		    (i >= 3 && buf->data[i - 1] == '\r' &&
			buf->data[i - 2] == '\n'))
			return i + 1;
	}
	return 0;
}

/*
 * Whether prompts are being read at the attempt's server, which delays the
 * events of any version; a new version's servers read more of them, since they
 * keep none yet.
 */
static bool
is_reading(const struct gx *gx)
{
	return pl_backlog_ms(gx->ge->pool, gx->now.server, gx_now(gx)) >
	       GAP_BACKLOG_MS;
}

/* Notes the mean of so many gaps, by what is usual for the model. */
static void
note_gaps(struct gx *gx, double learned_us, uint8_t gaps)
{
	note_time(gx, ti_reading(gx->now.reading_ms),
	    gap_scale_ms * (double)gx->now.gaps_us / (gaps * learned_us));
}

/*
 * Times the first gaps of a stream.  One whose gaps are already as long as all
 * of them should be together is noted at once, or the slowest would be last.
 */
static void
time_gap(struct gx *gx, double learned_us, int64_t gap_us)
{
	double reading_ms =
	    pl_backlog_ms(gx->ge->pool, gx->now.server, gx_now(gx));

	if (gx->now.gaps == GAPS_TIMED)
		return;
	if (reading_ms > gx->now.reading_ms)
		gx->now.reading_ms = reading_ms;
	gx->now.gaps_us += gap_us;
	gx->now.gaps++;
	if ((double)gx->now.gaps_us > learned_us * GAPS_TIMED * GAPS_LATE)
		gx->now.gaps = GAPS_TIMED;
	if (gx->now.gaps == GAPS_TIMED)
		note_gaps(gx, learned_us, GAPS_TIMED);
}

/*
 * Counts the time since the event before for the judgement of a roll-out.  How
 * long it should be is learned from the old version, for each model.
 */
static void
note_gap(struct gx *gx, int64_t gap_us)
{
	double *learned = &gx->service->gap_us[gx->model];
	struct vd_counts *counts = version_counts(gx);

	if (gx->now.role == PL_BASE &&
	    !pl_is_slow(gx->ge->pool, gx->now.server))
		*learned += *learned == 0
				? (double)gap_us
				: gap_weight * ((double)gap_us - *learned);
	if (*learned == 0)
		return;
	time_gap(gx, *learned, gap_us);
	if (is_reading(gx))
		return;
	note_server_time(
	    gx, gap_scale_ms * (double)gap_us / *learned, server_gap_weight);
	if (counts == NULL)
		return;
	counts->gaps++;
	counts->slow_gaps += (double)gap_us > SLOW_FACTOR * *learned;
}

static void
note_first(struct gx *gx)
{
	if (gx->first_us != 0)
		return;
	gx->first_us = gx_now(gx);
	metrics_observe_us(gx->ge->first_us, gx->first_us - gx->arrived_us);
}

/* Passes whole events on as they come; half of one is kept back. */
static int
pass_events(struct gx *gx, const void *data, size_t len)
{
	size_t n, passed = 0;
	uint64_t id;

	buf_add(&gx->body, data, len);
	while ((n = whole_event(&gx->body)) > 0) {
		bool has_id = event_id((const char *)gx->body.data, n, &id);

		/* A run that goes on may repeat what the caller has. */
		if (!(has_id && gx->has_event && id <= gx->last_event)) {
			if (!gx->begun)
				begin_answer(gx);
			if (gx->x != NULL)
				hf_write(gx->x, gx->body.data, n);
			if (has_id) {
				gx->last_event = id;
				gx->has_event = true;
			}
			passed += n;
		}
		buf_consume(&gx->body, n);
	}
	if (passed > 0) {
		note_first(gx);
		metrics_observe_us(
		    gx->ge->pass_us, clock_monotonic_us() - gx_now(gx));
	}
	if (gx->x != NULL && hf_pending(gx->x) > UNTAKEN_MAX_BYTES) {
		gx->paused = true;
		hu_pause(gx->now.call, true);
		gx_set_timer(gx);
	}
	return gx->body.len > EVENT_MAX_BYTES ? ERR_TOO_LARGE
					      : count_buffered(gx);
}

static int
on_data(void *ctx, struct hu_call *call, const void *data, size_t len)
{
	struct gx *gx = ctx;

	(void)call;
	if (gx->begun && gx->route->kind == RT_STREAM)
		note_gap(gx, gx_now(gx) - gx->now.progress_us);
	gx->now.progress_us = gx_now(gx);
	if (gx->now.not_run)
		return 0;
	if (gx->route->kind == RT_STREAM && gx->now.status < 300)
		return pass_events(gx, data, len);
	note_first(gx);
	buf_add(&gx->body, data, len);
	return gx->body.len > ANSWER_MAX_BYTES ? ERR_TOO_LARGE
					       : count_buffered(gx);
}

/* Statuses that promise that nothing ran, without the server's word for it. */
static bool
promises_not_run(unsigned int status)
{
	return status == 408 || status == 429 || status == 503;
}

static enum cs_end
classify(const struct gx *gx, const struct hu_result *result)
{
	if (gx->now.not_run && result->error == 0)
		return CS_NOT_RUN;
	if (gx->now.defective)
		return CS_DEFECTIVE;
	if (result->error == 0)
		return promises_not_run(result->status) ? CS_DEFECTIVE
							: CS_ANSWERED;
	if (!result->sent)
		return CS_UNREACHABLE;
	return gx->now.not_run ? CS_NOT_RUN : CS_BROKEN;
}

/* Tells the pool how the server did, and the log if that made a difference. */
static void
note_health(struct gx *gx, bool failed)
{
	const struct pl_server *s = pl_at(gx->ge->pool, gx->now.server);
	int64_t before_us = s->ejected_until_us;

	pl_outcome(gx->ge->pool, gx->now.server, failed, gx_now(gx));
	if (s->ejected_until_us != before_us)
		log_event(LOG_LEVEL_WARN, "server_ejected",
		    "server=%s outcomes=%u for_ms=%" PRId64, s->said.id,
		    s->outcomes,
		    (s->ejected_until_us - gx_now(gx)) / US_PER_MS);
}

/*
 * The attempt under way ends without a word from its server, which may have
 * crashed under the request.  One that was about to leave may just have ended.
 * A connection that the server closed tells more than silence does: whether it
 * is still there is looked at, at once.
 */
void
gx_suspect(struct gx *gx, bool closed)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, gx->now.server);
	struct su_life life = ge_life_of(&s->said);

	if (s->said.born_ms == gx->now.born_ms && s->said.state != RG_READY)
		return;
	life.life = rg_life_of(s->said.id, gx->now.born_ms);
	gx_log(gx, LOG_LEVEL_INFO, "suspected",
	    "server=%s born_ms=%" PRIu64 " life=%016" PRIx64
	    " fingerprint=%016" PRIx64 " closed=%d",
	    s->said.id, gx->now.born_ms, life.life, gx->fingerprint, closed);
	su_broken(ge->suspects, &life, gx->fingerprint, closed, gx_now(gx));
	if (closed && s->said.born_ms == gx->now.born_ms)
		ge_probe(ge, gx->now.server);
}

/* Notes what the end of an attempt says of crashes. */
static void
note_crashes(struct gx *gx, enum cs_end end, const struct hu_result *result)
{
	struct ge *ge = gx->ge;
	const struct pl_server *s = pl_at(ge->pool, gx->now.server);
	uint32_t cleared;

	if (end == CS_BROKEN && result->closed)
		gx_suspect(gx, true);
	if (end == CS_UNREACHABLE && result->refused &&
	    s->said.born_ms == gx->now.born_ms)
		ge_server_refuses(ge, &s->said);
	if (result->error != 0)
		return;
	cleared =
	    su_answered(ge->suspects, rg_life_of(s->said.id, gx->now.born_ms),
		gx->now.sent_us, gx_now(gx));
	if (cleared > 0)
		log_event(LOG_LEVEL_INFO, "suspects_cleared",
		    "server=%s count=%u", s->said.id, cleared);
	if (end == CS_ANSWERED && result->status < 500)
		su_ran_well(ge->suspects, gx->fingerprint, gx_now(gx));
}

static void
note_outcome(struct gx *gx, enum cs_end end, const struct hu_result *result)
{
	struct ge *ge = gx->ge;
	int64_t now_us = gx_now(gx);
	bool failed = end == CS_BROKEN || end == CS_DEFECTIVE ||
		      (end == CS_ANSWERED && result->status >= 500);

	note_crashes(gx, end, result);
	if (end == CS_UNREACHABLE) {
		log_event(LOG_LEVEL_WARN, "server_unreachable",
		    "server=%s error=%s",
		    pl_at(ge->pool, gx->now.server)->said.id,
		    err_name(result->error));
		pl_unreachable(ge->pool, gx->now.server,
		    result->error == ERR_TIMEOUT, now_us);
	} else if (end == CS_NOT_RUN)
		pl_refused(ge->pool, gx->now.server, now_us);
	else
		note_health(gx, failed);
	if (end == CS_UNREACHABLE || end == CS_NOT_RUN)
		return;
	if (end == CS_BROKEN || (end == CS_DEFECTIVE && !gx->now.answered))
		note_broken(gx);
}

static void
pass_on(struct gx *gx)
{
	struct ge *ge = gx->ge;

	gx_log_end(gx, "answered", gx->now.status);
	ge->answers->value++;
	metrics_observe_us(ge->whole_us, gx_now(gx) - gx->arrived_us);
	if (gx->x == NULL) {
		gx_free(gx);
		return;
	}
	if (gx->begun) {
		if (gx->body.len > 0)
			hf_write(gx->x, gx->body.data, gx->body.len);
		hf_end(gx->x, true);
	} else {
		struct hf_exchange *x = gx->x;

		hf_begin(x, gx->now.status, &gx->lines, false, gx->body.len);
		hf_write(x, gx->body.data, gx->body.len);
		hf_end(x, true);
	}
	gx->x = NULL;
	gx_free(gx);
}

/* Whether only the retry budget keeps a request from another attempt. */
static bool
is_refused_by_budget(const struct cs_input *in)
{
	struct cs_input with_budget = *in;

	with_budget.budget = true;
	return cs_next(&with_budget) != cs_next(in);
}

/* An answer had no end in sight: what is there of it is of no use. */
static void
drop_unending(struct gx *gx)
{
	struct ge *ge = gx->ge;

	ge->unending->value++;
	gx_log(gx, LOG_LEVEL_WARN, "answer_unending",
	    "server=%s status=%u kept_bytes=%zu all_kept_bytes=%zu",
	    pl_at(ge->pool, gx->now.server)->said.id, gx->now.status,
	    gx->buffered, ge->buffered);
	buf_free(&gx->body);
	(void)count_buffered(gx);
}

static void
attempt_done(void *ctx, const struct hu_result *result)
{
	struct gx *gx = ctx;
	struct ge *ge = gx->ge;
	enum cs_end end = classify(gx, result);
	struct cs_input in = {.kind = gx->route->kind,
	    .resumable = gx->route->resumable,
	    .end = end,
	    .status = gx->now.status,
	    .begun = gx->begun,
	    .runs_max = gx->route->attempts_max,
	    .left_us = gx->deadline_us - gx_now(gx)};

	/* A short stream has fewer gaps. */
	if (end == CS_ANSWERED && gx->now.gaps > 0 && gx->now.gaps < GAPS_TIMED)
		note_gaps(gx, gx->service->gap_us[gx->model], gx->now.gaps);
	gx->now.call = NULL;
	gx_begin_work(gx);
	pl_ended(ge->pool, gx->now.server);
	if (gx->now.dropped) {
		gx->runs++;
		gx->may_have_run = true;
		gx->arrived = true;
		gx->tried_count = 0; /* its server may run the larger one */
		gx_place(gx);
		ge_wake_waiting(ge);
		return;
	}
	if (result->error == ERR_TOO_LARGE)
		drop_unending(gx);
	note_outcome(gx, end, result);
	if (end != CS_UNREACHABLE && end != CS_NOT_RUN) {
		gx->runs++;
		gx->may_have_run = true;
	}
	gx->arrived |= end != CS_UNREACHABLE;
	in.may_have_run = gx->may_have_run;
	in.runs = gx->runs;
	in.sends = gx->sends;
	in.budget =
	    !gx->arrived || bu_may_repeat(&gx->service->budget, gx_now(gx));
	if (end != CS_ANSWERED)
		gx_log(gx, LOG_LEVEL_INFO, "attempt_failed",
		    "server=%s end=%d status=%u error=%s sent=%d "
		    "closed=%d reused=%d ms=%" PRId64,
		    pl_at(ge->pool, gx->now.server)->said.id, end,
		    result->status, err_name(result->error), result->sent,
		    result->closed, result->reused,
		    (gx_now(gx) - gx->now.sent_us) / US_PER_MS);
	if (gx->x == NULL) {
		gx_free(gx);
		ge_wake_waiting(ge);
		return;
	}
	if (is_refused_by_budget(&in))
		gx_log_no_budget(gx);
	switch (cs_next(&in)) {
	case CS_PASS_ON:
		pass_on(gx);
		break;
	case CS_AGAIN:
	case CS_RESUME:
		gx_place(gx);
		break;
	case CS_REFUSE:
		gx_answer_error(gx, ERR_NO_CAPACITY, GX_RETRY_FULL_MS);
		break;
	case CS_FAIL:
		gx_answer_error(gx, ERR_UPSTREAM, 0);
		break;
	case CS_CUT:
		gx_cut(gx);
		break;
	}
	ge_wake_waiting(ge);
}

const struct hu_handler gx_call_handler = {on_head, on_data, attempt_done};
