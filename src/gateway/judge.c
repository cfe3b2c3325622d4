#include "gateway/judge.h"

#include <inttypes.h>
#include <string.h>

#include "base/err.h"
#include "base/log.h"
#include "gateway/replica.h"

enum {
	JUDGE_PERIOD_US = 250000 /* period at which roll-outs are judged */
};

struct gw_judge {
	struct gw *gw;
	struct evidence_table *evidence;
	struct loop_timer *timer;
	int64_t finishing_us; /* when this replica first saw ORD_FINISHING */
	bool is_proposing; /* a proposed state waits for its outcome */
};

/*
 * Records the outcomes that an instance has counted so far for the versions of
 * a roll-out.  Ignores a report with fewer answers than the last one, which
 * arrived out of order.
 */
void
gw_judge_add_report(struct gw_judge *jdg, const struct evidence_row *reported)
{
	struct evidence_row *row = evidence_row(jdg->evidence, reported->source,
	    reported->service, reported->target, reported->route);

	if (row == NULL || reported->fresh.answers < row->fresh.answers ||
	    reported->known.answers < row->known.answers)
		return;
	*row = *reported;
}

struct target_search {
	const struct ord_rollout *rollout;
	bool found;
};

static void
find_ready_target(void *ctx, const struct registry_server *server)
{
	struct target_search *search = ctx;

	if (server->state == REGISTRY_READY &&
	    strcmp(server->service, search->rollout->service) == 0 &&
	    strcmp(server->version, search->rollout->target) == 0)
		search->found = true;
}

static void
verdict_done(void *ctx, int error)
{
	struct gw_judge *jdg = ctx;

	/* The next timer proposes it again. */
	if (error != 0)
		log_event(LOG_LEVEL_WARN, "verdict_failed", "error=%s",
		    err_name(error));
	jdg->is_proposing = false;
}

/* Logs the verdict on a roll-out and proposes its next state. */
static void
propose_state(struct gw_judge *jdg, const struct ord_rollout *rollout,
    const struct verdict_input *input, const struct evidence_summary *summary)
{
	struct buf change;

	log_event(LOG_LEVEL_INFO, "verdict",
	    "service=%s version=%s state=%d elapsed_ms=%" PRId64
	    " answers=%u failures=%u errors=%u slow=%u gaps=%u slow_gaps=%u "
	    "loaded=%u loaded_errors=%u "
	    "base_answers=%u base_failures=%u base_slow=%u base_gaps=%u "
	    "base_slow_gaps=%u timed=%u base_timed=%u slower=%d doubtful=%d "
	    "worse_on=%s",
	    rollout->service, rollout->target, rollout->state,
	    input->elapsed_ms, input->fresh.answers, input->fresh.failures,
	    input->fresh.errors, input->fresh.slow, input->fresh.gaps,
	    input->fresh.slow_gaps, input->fresh.loaded,
	    input->fresh.loaded_errors, input->known.answers,
	    input->known.failures, input->known.slow, input->known.gaps,
	    input->known.slow_gaps, summary->fresh_timed, summary->known_timed,
	    summary->is_slower, summary->is_doubtful, summary->route);
	jdg->finishing_us = 0;
	jdg->is_proposing = true;
	buf_init(&change, jdg->gw->alloc);
	ord_encode_rollout(rollout, &change);
	gw_replica_propose(jdg->gw->replica, &change, verdict_done, jdg);
	buf_free(&change);
}

/* Judges one roll-out and proposes its next state if that changes. */
static void
judge_rollout(struct gw_judge *jdg, const struct ord_rollout *rollout)
{
	int64_t now_us = loop_now_us(jdg->gw->loop);
	struct target_search search = {rollout, false};
	struct verdict_input input = {.state = rollout->state,
	    .elapsed_ms = (now_us - rollout->ordered_us) / 1000,
	    .duration_ms = rollout->duration_ms};
	struct ord_rollout next = *rollout;
	struct evidence_summary summary;

	if (rollout->state == ORD_FINISHING && jdg->finishing_us == 0)
		jdg->finishing_us = now_us;
	if (rollout->state == ORD_FINISHING)
		input.finishing_ms = (now_us - jdg->finishing_us) / 1000;
	registry_visit_changes(
	    jdg->gw->registry, 0, find_ready_target, &search);
	input.has_servers = search.found;
	/*
	 * Only while the new version has a small share are its busy servers
	 * compared: with all traffic, they have more load than the old ones
	 * had.
	 */
	evidence_summarize(jdg->evidence, rollout->service, rollout->target,
	    rollout->state == ORD_RUNNING ? TIMING_LOAD_CLASSES
					  : TIMING_QUIET_CLASSES,
	    &summary);
	input.fresh = summary.fresh;
	input.known = summary.known;
	input.is_worse = summary.is_worse;
	input.may_be_slower = summary.is_doubtful;
	next.state = verdict_next_state(&input);
	if (next.state != rollout->state)
		propose_state(jdg, &next, &input, &summary);
}

static void
on_timer(void *ctx)
{
	struct gw_judge *jdg = ctx;
	const struct ord *orders;

	jdg->timer = loop_after(jdg->gw->loop, JUDGE_PERIOD_US, on_timer, jdg);
	orders = gw_replica_orders(jdg->gw->replica);
	for (size_t i = 0; orders != NULL && i < ord_rollout_count(orders);
	     i++) {
		const struct ord_rollout *rollout = ord_rollout_at(orders, i);

		if (rollout->state >= ORD_COMPLETED)
			evidence_drop_rollout(
			    jdg->evidence, rollout->service, rollout->target);
		else if (!jdg->is_proposing &&
			 gw_replica_holds_lease(jdg->gw->replica))
			judge_rollout(jdg, rollout);
	}
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_judge *jdg;

	if (gw->replica == NULL)
		return 0;
	jdg = alloc_zero(gw->alloc, 1, sizeof(*jdg));
	jdg->gw = gw;
	jdg->evidence = evidence_new(gw->alloc);
	jdg->timer = loop_after(gw->loop, JUDGE_PERIOD_US, on_timer, jdg);
	gw->judge = jdg;
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_judge *jdg = gw->judge;

	if (jdg == NULL)
		return;
	gw->judge = NULL;
	loop_cancel(jdg->timer);
	if (gw->replica != NULL)
		gw_replica_drop_callbacks(gw->replica, jdg);
	evidence_free(jdg->evidence);
	alloc_free(gw->alloc, jdg);
}

struct sup_child_spec
gw_child_judge(struct gw *gw)
{
	return (struct sup_child_spec){"judge", start, stop, gw};
}
