#include "route/verdict.h"

#include <math.h>

enum {
	ERRORS_MIN = 5, /* the same, of its own errors */
	FAILURES_MIN = 4, /* of the new version, before it can be judged */
	TIMES_MIN = 10, /* answers of both, before their times are compared */
	GAPS_FEW = 50, /* will do where most of them are too long */
	GAPS_MIN = 400, /* between events of both, the same */
	ANSWERS_MIN = 20, /* of the new version, before it gets everything */
	ANSWERS_FEW = 5, /* will do when the time is nearly over */
	FINISHING_PERMILLE = 620, /* of the duration: then everything moves */
	LATEST_PERMILLE = 700, /* of the duration: then few answers will do */
	COMPLETE_PERMILLE = 900, /* of the duration: old servers may stop */
	SETTLE_MS = 5000 /* what was sent to the old servers ends */
};

static const double share_worse = 0.08; /* a smaller difference is borne */
static const double errors_worse = 0.02; /* a crash makes no errors */
static const double slow_worse = 0.3; /* the same, of what comes late */
static const double most_slow_worse = 0.55;
static const double deviations = 3.0; /* beyond chance */
static const double least_variance = 0.01; /* where none ever failed so far */

static double
share(uint32_t part, uint32_t all)
{
	return all > 0 ? (double)part / all : 0;
}

/* Whether one share is above another, by a margin and beyond chance. */
static bool
is_above(uint32_t part, uint32_t all, double base, double margin)
{
	double noise = sqrt((base * (1 - base) + least_variance) / all);

	return share(part, all) > base + margin &&
	       share(part, all) > base + deviations * noise;
}

/* Tells whether a new version does worse than the old one, beyond chance. */
bool
vd_is_worse(const struct vd_counts *fresh, const struct vd_counts *known)
{
	if (fresh->failures >= FAILURES_MIN &&
	    is_above(fresh->failures, fresh->answers,
		share(known->failures, known->answers), share_worse))
		return true;
	if (fresh->errors >= ERRORS_MIN &&
	    is_above(fresh->errors, fresh->answers,
		share(known->errors, known->answers), errors_worse))
		return true;
	if (fresh->answers >= TIMES_MIN && known->answers >= TIMES_MIN &&
	    is_above(fresh->slow, fresh->answers,
		share(known->slow, known->answers), slow_worse))
		return true;
	if (fresh->gaps < GAPS_FEW || known->gaps < GAPS_MIN)
		return false;
	return is_above(fresh->slow_gaps, fresh->gaps,
	    share(known->slow_gaps, known->gaps),
	    fresh->gaps < GAPS_MIN ? most_slow_worse : slow_worse);
}

/* Returns the state that a roll-out should be in now. */
enum ord_rollout_state
vd_next(const struct vd_input *in)
{
	int64_t part = in->duration_ms > 0
			   ? in->elapsed_ms * 1000 / in->duration_ms
			   : 1000;

	if (in->state >= ORD_COMPLETED)
		return in->state;
	if (in->is_worse)
		return ORD_ROLLED_BACK;
	if (in->state == ORD_FINISHING)
		return part >= COMPLETE_PERMILLE ||
			       in->finishing_ms >= SETTLE_MS
			   ? ORD_COMPLETED
			   : ORD_FINISHING;
	if (in->has_servers && part >= FINISHING_PERMILLE &&
	    (in->fresh.answers >= ANSWERS_MIN ||
		(part >= LATEST_PERMILLE && in->fresh.answers >= ANSWERS_FEW)))
		return ORD_FINISHING;
	return ORD_RUNNING;
}
