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
gw_judge_add_report(
    struct gw_judge *rollout_judge, const struct evidence_row *reported)
{
	struct evidence_row *row =
	    evidence_row(rollout_judge->evidence, reported->source,
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
	struct gw_judge *rollout_judge = ctx;

	/* The next timer proposes it again. */
	if (error != 0)
		log_event(LOG_LEVEL_WARN, "verdict_failed", "error=%s",
		    err_name(error));
	rollout_judge->is_proposing = false;
}

/* Logs the verdict on a roll-out and proposes its next state. */
static void
propose_state(struct gw_judge *rollout_judge, const struct ord_rollout *rollout,
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
	rollout_judge->finishing_us = 0;
	rollout_judge->is_proposing = true;
	buf_init(&change, rollout_judge->gw->alloc);
	ord_encode_rollout(rollout, &change);
	gw_replica_propose(
	    rollout_judge->gw->replica, &change, verdict_done, rollout_judge);
	buf_free(&change);
}

/* Judges one roll-out and proposes its next state if that changes. */
static void
judge_rollout(struct gw_judge *rollout_judge, const struct ord_rollout *rollout)
{
	int64_t now_us = loop_now_us(rollout_judge->gw->loop);
	struct target_search search = {rollout, false};
	struct verdict_input input = {.state = rollout->state,
	    .elapsed_ms = (now_us - rollout->ordered_us) / 1000,
	    .duration_ms = rollout->duration_ms};
	struct ord_rollout next = *rollout;
	struct evidence_summary summary;

	if (rollout->state == ORD_FINISHING && rollout_judge->finishing_us == 0)
		rollout_judge->finishing_us = now_us;
	if (rollout->state == ORD_FINISHING)
		input.finishing_ms =
		    (now_us - rollout_judge->finishing_us) / 1000;
	registry_visit_changes(
	    rollout_judge->gw->registry, 0, find_ready_target, &search);
	input.has_servers = search.found;
	/*
	 * Only while the new version has a small share are its busy servers
	 * compared: with all traffic, they have more load than the old ones
	 * had.
	 */
	evidence_summarize(rollout_judge->evidence, rollout->service,
	    rollout->target,
	    rollout->state == ORD_RUNNING ? TIMING_LOAD_CLASSES
					  : TIMING_QUIET_CLASSES,
	    &summary);
	input.fresh = summary.fresh;
	input.known = summary.known;
	input.is_worse = summary.is_worse;
	input.may_be_slower = summary.is_doubtful;
	next.state = verdict_next_state(&input);
	if (next.state != rollout->state)
		propose_state(rollout_judge, &next, &input, &summary);
}

static void
on_timer(void *ctx)
{
	struct gw_judge *rollout_judge = ctx;
	const struct ord *orders;

	rollout_judge->timer = loop_after(
	    rollout_judge->gw->loop, JUDGE_PERIOD_US, on_timer, rollout_judge);
	orders = gw_replica_orders(rollout_judge->gw->replica);
	for (size_t i = 0; orders != NULL && i < ord_rollout_count(orders);
	     i++) {
		const struct ord_rollout *rollout = ord_rollout_at(orders, i);

		if (rollout->state >= ORD_COMPLETED)
			evidence_drop_rollout(rollout_judge->evidence,
			    rollout->service, rollout->target);
		else if (!rollout_judge->is_proposing &&
			 gw_replica_holds_lease(rollout_judge->gw->replica))
			judge_rollout(rollout_judge, rollout);
	}
}

static int
start(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_judge *rollout_judge;

	if (gw->replica == NULL)
		return 0;
	rollout_judge = alloc_zero(gw->alloc, 1, sizeof(*rollout_judge));
	rollout_judge->gw = gw;
	rollout_judge->evidence = evidence_new(gw->alloc);
	rollout_judge->timer =
	    loop_after(gw->loop, JUDGE_PERIOD_US, on_timer, rollout_judge);
	gw->judge = rollout_judge;
	return 0;
}

static void
stop(void *ctx)
{
	struct gw *gw = ctx;
	struct gw_judge *rollout_judge = gw->judge;

	if (rollout_judge == NULL)
		return;
	gw->judge = NULL;
	loop_cancel(rollout_judge->timer);
	if (gw->replica != NULL)
		gw_replica_drop_callbacks(gw->replica, rollout_judge);
	evidence_free(rollout_judge->evidence);
	alloc_free(gw->alloc, rollout_judge);
}

struct sup_child_spec
gw_child_judge(struct gw *gw)
{
	return (struct sup_child_spec){"judge", start, stop, gw};
}
