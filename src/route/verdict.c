#include "route/verdict.h"

#include <math.h>

enum {
	FAILURES_MIN = 4, /* of the new version, before it can be judged */
	TIMES_MIN = 10, /* answers of both, before their times are compared */
	ANSWERS_MIN = 12, /* of the new version, before it gets everything */
	FINISHING_PERMILLE = 500, /* of the duration: then everything moves */
	LATEST_PERMILLE = 650, /* of the duration: then few answers will do */
	COMPLETE_PERMILLE = 850, /* of the duration: old servers may stop */
	SETTLE_MS = 6000 /* what was sent to the old servers ends */
};

static const double share_worse = 0.08; /* a smaller difference is borne */
static const double deviations = 3.0; /* beyond chance */
static const double times_slower = 2.5;

static double
share(const struct vd_counts *c)
{
	return c->answers > 0 ? (double)c->failures / c->answers : 0;
}

/* Time to the first byte against the time expected. */
static double
pace(const struct vd_counts *c)
{
	return c->work > 0 ? c->seconds / c->work : 0;
}

/* Tells whether a new version does worse than the old one, beyond chance. */
bool
vd_is_worse(const struct vd_counts *fresh, const struct vd_counts *known)
{
	double base = share(known);
	double noise;

	if (fresh->failures >= FAILURES_MIN) {
		noise = sqrt((base * (1 - base) + 0.01) / fresh->answers);
		if (share(fresh) > base + share_worse &&
		    share(fresh) > base + deviations * noise)
			return true;
	}
	return fresh->answers >= TIMES_MIN && known->answers >= TIMES_MIN &&
	       pace(known) > 0 && pace(fresh) > times_slower * pace(known);
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
		(part >= LATEST_PERMILLE && in->fresh.answers > 0)))
		return ORD_FINISHING;
	return ORD_RUNNING;
}
