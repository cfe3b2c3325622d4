#include "route/verdict.h"

#include <math.h>

enum {
	/* Errors of the new version before its error share is judged */
	ERRORS_MIN = 5,
	/* Failures of the new version before its failure share is judged */
	FAILURES_MIN = 4,
	/* Answers of both versions before their slow shares are compared */
	SLOW_ANSWERS_MIN = 10,
	/* Answers of the new version from which slow_margin_many applies */
	SLOW_ANSWERS_MANY = 60,
	/* Gaps of the new version from which slow_margin_few_gaps applies */
	GAPS_FEW_MIN = 50,
	/*
	 * Gaps of the old version before gaps are compared, and of the new
	 * version from which slow_margin applies
	 */
	GAPS_MIN = 400,
	GAPS_LATE_MIN = 10, /* gaps that suffice near the end of the roll-out */
	/* Errors of busy servers before their share is judged */
	LOADED_ERRORS_MIN = 3,
	LOADED_MIN = 15, /* answers of busy servers that end the load trial */
	/*
	 * Start of the load trial, as a part of the duration; more sessions go
	 * to the new version from then on
	 */
	LOAD_TRIAL_PERMILLE = 520,
	/* Answers of the new version before it gets all requests */
	ANSWERS_MIN = 20,
	/* Answers that suffice near the end of the roll-out */
	ANSWERS_LATE_MIN = 5,
	/*
	 * Part of the duration after which the new version may get all requests
	 */
	FINISHING_PERMILLE = 620,
	/* Part of the duration after which ANSWERS_LATE_MIN answers suffice */
	LAST_CHANCE_PERMILLE = 720,
	/* Part of the duration after which old servers may stop */
	COMPLETE_PERMILLE = 900,
	OLD_REQUESTS_MS = 5000 /* time for requests at old servers to end */
};

/* Difference of failure shares that is tolerated */
static const double failure_margin = 0.08;
/* Lower than failure_margin, since a server crash does not count as an error */
static const double error_margin = 0.02;
/* Difference of the shares of slow answers or gaps that is tolerated */
static const double slow_margin = 0.3;
/* The same with SLOW_ANSWERS_MANY answers or more */
static const double slow_margin_many = 0.15;
static const double slow_margin_few_gaps = 0.55;
static const double trial_factor = 0.8; /* of the permitted exposure */
static const double load_trial_factor = 1.8;
static const double slow_gap_share_max = 0.8;
/* Standard deviations that rule out chance */
static const double deviations_min = 3.0;
/* Added to the variance, for versions that have not failed yet */
static const double variance_min = 0.01;

static double
share(uint32_t part, uint32_t all)
{
	return all > 0 ? (double)part / all : 0;
}

/*
 * Tells whether a share exceeds the base share by the margin and by more than
 * chance explains.
 */
static bool
exceeds_base(uint32_t part, uint32_t all, double base, double margin)
{
	double noise = sqrt((base * (1 - base) + variance_min) / all);

	return share(part, all) > base + margin &&
	       share(part, all) > base + deviations_min * noise;
}

/*
 * Tells whether busy servers of the new version make more errors than servers
 * of the old version make at any load.  Being slower under load is not held
 * against them.
 */
static bool
is_worse_when_loaded(
    const struct verdict_counts *fresh, const struct verdict_counts *known)
{
	return fresh->loaded_errors >= LOADED_ERRORS_MIN &&
	       exceeds_base(fresh->loaded_errors, fresh->loaded,
		   share(known->errors, known->answers), failure_margin);
}

/*
 * Tells whether a new version does worse than the old one by more than chance
 * explains.
 */
bool
verdict_is_worse(
    const struct verdict_counts *fresh, const struct verdict_counts *known)
{
	if (is_worse_when_loaded(fresh, known))
		return true;
	if (fresh->failures >= FAILURES_MIN &&
	    exceeds_base(fresh->failures, fresh->answers,
		share(known->failures, known->answers), failure_margin))
		return true;
	if (fresh->errors >= ERRORS_MIN &&
	    exceeds_base(fresh->errors, fresh->answers,
		share(known->errors, known->answers), error_margin))
		return true;
	if (fresh->answers >= SLOW_ANSWERS_MIN &&
	    known->answers >= SLOW_ANSWERS_MIN &&
	    exceeds_base(fresh->slow, fresh->answers,
		share(known->slow, known->answers),
		fresh->answers < SLOW_ANSWERS_MANY ? slow_margin
						   : slow_margin_many))
		return true;
	if (fresh->gaps < GAPS_FEW_MIN || known->gaps < GAPS_MIN)
		return false;
	return exceeds_base(fresh->slow_gaps, fresh->gaps,
	    share(known->slow_gaps, known->gaps),
	    fresh->gaps < GAPS_MIN ? slow_margin_few_gaps : slow_margin);
}

/*
 * Returns the share of the sessions that a new version gets.  exposure_permille
 * is the most that a bad version may get until the time limit; the trial and
 * the load trial together use three quarters of it.
 */
uint32_t
verdict_trial_permille(uint32_t exposure_permille, bool load_trial)
{
	double part = load_trial ? load_trial_factor : trial_factor;

	return (uint32_t)(exposure_permille * part);
}

/* Returns the elapsed part of the duration in permille. */
static int64_t
elapsed_permille(int64_t elapsed_ms, uint32_t duration_ms)
{
	return duration_ms > 0 ? elapsed_ms * 1000 / duration_ms : 1000;
}

/*
 * Tells whether a running roll-out is in its load trial, which begins after
 * half of its duration.  From then on, sessions of the old version may switch
 * to the new one.
 */
bool
verdict_is_load_trial(int64_t elapsed_ms, uint32_t duration_ms)
{
	return elapsed_permille(elapsed_ms, duration_ms) >= LOAD_TRIAL_PERMILLE;
}

/*
 * Tells whether the few gaps seen in a version's streams were nearly all slow.
 * A very slow version shows few gaps, because its streams take long.
 */
static bool
streams_look_slow(const struct verdict_counts *fresh)
{
	return fresh->gaps >= GAPS_LATE_MIN &&
	       share(fresh->slow_gaps, fresh->gaps) > slow_gap_share_max;
}

/*
 * Tells whether enough is known of a version to give it all requests.  A
 * version that may be slower waits for more answers and is rolled back if time
 * runs out: a version that was held back can be rolled out again, but once a
 * slow one has completed there are no old servers left to return to.
 */
static bool
has_enough_evidence(const struct verdict_input *in, int64_t part)
{
	if (in->may_be_slower)
		return false;
	if (part >= LAST_CHANCE_PERMILLE)
		return in->fresh.answers >= ANSWERS_LATE_MIN;
	return in->fresh.answers >= ANSWERS_MIN &&
	       in->fresh.loaded >= LOADED_MIN;
}

/* Returns the state that a roll-out should be in now. */
enum ord_rollout_state
verdict_next_state(const struct verdict_input *in)
{
	int64_t part = elapsed_permille(in->elapsed_ms, in->duration_ms);

	if (in->state >= ORD_COMPLETED)
		return in->state;
	if (in->is_worse ||
	    (part >= LAST_CHANCE_PERMILLE &&
		(streams_look_slow(&in->fresh) || in->may_be_slower)))
		return ORD_ROLLED_BACK;
	if (in->state == ORD_FINISHING)
		return part >= COMPLETE_PERMILLE ||
			       in->finishing_ms >= OLD_REQUESTS_MS
			   ? ORD_COMPLETED
			   : ORD_FINISHING;
	if (in->has_servers && part >= FINISHING_PERMILLE &&
	    has_enough_evidence(in, part))
		return ORD_FINISHING;
	return ORD_RUNNING;
}
