#include "route/verdict.h"

#include <math.h>

enum {
	ERRORS_MIN = 5, /* the same, of its own errors */
	FAILURES_MIN = 4, /* of the new version, before it can be judged */
	TIMES_MIN = 10, /* answers of both, before their times are compared */
	TIMES_MANY = 60, /* of the new version, for a smaller margin to do */
	GAPS_FEW = 50, /* will do where most of them are too long */
	GAPS_MIN = 400, /* between events of both, the same */
	GAPS_LEAST = 10, /* will do when the time is nearly over */
	LOADED_ERRORS_MIN = 3, /* of busy servers, before they count */
	LOADED_MIN = 15, /* answers of busy servers that end the load trial */
	LOAD_TRIAL_PERMILLE = 520, /* of the duration: more sessions go there */
	ANSWERS_MIN = 20, /* of the new version, before it gets everything */
	ANSWERS_FEW = 5, /* will do when the time is nearly over */
	FINISHING_PERMILLE = 620, /* of the duration: then everything moves */
	LATEST_PERMILLE = 720, /* of the duration: then few answers will do */
	COMPLETE_PERMILLE = 900, /* of the duration: old servers may stop */
	SETTLE_MS = 5000 /* what was sent to the old servers ends */
};

static const double share_worse = 0.08; /* a smaller difference is borne */
static const double errors_worse = 0.02; /* a crash makes no errors */
static const double slow_worse = 0.3; /* the same, of what comes late */
static const double many_slow_worse = 0.15; /* of TIMES_MANY answers */
static const double most_slow_worse = 0.55;
static const double trial_part = 0.8; /* of the exposure that is allowed */
static const double load_trial_part = 1.8;
static const double nearly_all_slow = 0.8;
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

/*
 * Whether busy servers of the new version fail more than servers of the old one
 * do at any load.  They may well be slower.
 */
static bool
is_worse_when_loaded(
    const struct vd_counts *fresh, const struct vd_counts *known)
{
	return fresh->loaded_errors >= LOADED_ERRORS_MIN &&
	       is_above(fresh->loaded_errors, fresh->loaded,
		   share(known->errors, known->answers), share_worse);
}

/* Tells whether a new version does worse than the old one, beyond chance. */
bool
verdict_is_worse(const struct vd_counts *fresh, const struct vd_counts *known)
{
	if (is_worse_when_loaded(fresh, known))
		return true;
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
		share(known->slow, known->answers),
		fresh->answers < TIMES_MANY ? slow_worse : many_slow_worse))
		return true;
	if (fresh->gaps < GAPS_FEW || known->gaps < GAPS_MIN)
		return false;
	return is_above(fresh->slow_gaps, fresh->gaps,
	    share(known->slow_gaps, known->gaps),
	    fresh->gaps < GAPS_MIN ? most_slow_worse : slow_worse);
}

/*
 * Returns the share of the sessions that a new version gets, from the most that
 * a bad one may get until the time limit: over the trial and the load trial
 * that makes three quarters of it.
 */
uint32_t
vd_trial_permille(uint32_t exposure_permille, bool load_trial)
{
	double part = load_trial ? load_trial_part : trial_part;

	return (uint32_t)(exposure_permille * part);
}

static int64_t
part_of(int64_t elapsed_ms, uint32_t duration_ms)
{
	return duration_ms > 0 ? elapsed_ms * 1000 / duration_ms : 1000;
}

/*
 * Tells whether a running roll-out is in its load trial.  That begins after
 * half of the duration, from when a session may go on with the new version.
 */
bool
vd_is_load_trial(int64_t elapsed_ms, uint32_t duration_ms)
{
	return part_of(elapsed_ms, duration_ms) >= LOAD_TRIAL_PERMILLE;
}

/*
 * Whether what little was seen of a version's streams was slow.  A very slow
 * version shows few gaps, since its streams take long.
 */
static bool
is_doubtful(const struct vd_counts *fresh)
{
	return fresh->gaps >= GAPS_LEAST &&
	       share(fresh->slow_gaps, fresh->gaps) > nearly_all_slow;
}

/*
 * Whether enough is known of a version for it to get everything.  One that may
 * be slower waits for more answers, and is rolled back if time runs out: a
 * version that is kept back can be brought in again, while a slow one that is
 * completed has no old servers left to go back to.
 */
static bool
has_shown_enough(const struct vd_input *in, int64_t part)
{
	if (in->may_be_slower)
		return false;
	if (part >= LATEST_PERMILLE)
		return in->fresh.answers >= ANSWERS_FEW;
	return in->fresh.answers >= ANSWERS_MIN &&
	       in->fresh.loaded >= LOADED_MIN;
}

/* Returns the state that a roll-out should be in now. */
enum ord_rollout_state
vd_next(const struct vd_input *in)
{
	int64_t part = part_of(in->elapsed_ms, in->duration_ms);

	if (in->state >= ORD_COMPLETED)
		return in->state;
	if (in->is_worse || (part >= LATEST_PERMILLE &&
				(is_doubtful(&in->fresh) || in->may_be_slower)))
		return ORD_ROLLED_BACK;
	if (in->state == ORD_FINISHING)
		return part >= COMPLETE_PERMILLE ||
			       in->finishing_ms >= SETTLE_MS
			   ? ORD_COMPLETED
			   : ORD_FINISHING;
	if (in->has_servers && part >= FINISHING_PERMILLE &&
	    has_shown_enough(in, part))
		return ORD_FINISHING;
	return ORD_RUNNING;
}
