#include "route/pace.h"

#include <math.h>

enum {
	/* Time in which samples of a server lose half of their weight */
	SERVER_HALF_LIFE_US = 4000000,
	SERVICE_HALF_LIFE_US = 30000000,
	/* The same for what a report says about the time after it */
	REPORT_HALF_LIFE_US = 250000,
	/* The same for the usual pace of a server that is not used */
	REPORT_MEAN_HALF_LIFE_US = 60000000,
	/* Age up to which derived values are used again */
	DERIVED_MAX_AGE_US = 250000,
	REPORT_MIN_PERCENT = 50, /* reported figures are cut to this range */
	REPORT_MAX_PERCENT = 400,
	REPORTS_AVERAGED = 16,
	/* Equal reports in a row, over this time, from which on one is stuck */
	STUCK_REPORTS = 32,
	STUCK_US = 5000000,
	TAKES_WELL_UNBOUNDED = UINT16_MAX
};

/* Weight of the service's mean in a server's estimate, in samples */
static const double prior_weight = 1;
/* Weight of samples by the distance of their band */
static const double band_weights[PACE_BANDS] = {1, 0.25, 0.06, 0.02};
/* Fewer samples say no less about chance than this many */
static const double weight_min = 0.1;
/* Weight of a report's full effect in the learned one */
static const double trust_prior_weight = 0.5;
/*
 * The same where a report corrects a time that is evidence: noise in a server's
 * own weight would be noise in the evidence
 */
static const double evidence_prior_weight = 4;
/* Standard errors of a mean that chance explains */
static const double chance_errors = 1.5;
/* Ratio of the standard deviation to the mean difference of noise */
static const double normal_ratio = 1.25;
/* Deviation assumed before it is known */
static const double unknown_deviation = 0.5;
/* Largest logarithm of the factor between a server and its service */
static const double deviation_max = 2;
static const double deviation_weight = 1.0 / 64;
/* Largest part of a sample that counts, as a logarithm */
static const double unexpected_max = 2.5;
static const double time_min_ms = 0.1;
static const double time_max_ms = 600000;
/* Share of the earlier life's evidence that a restart leaves */
static const double restart_share = 0.1;
/* Samples in a band before it bounds what a server takes */
static const double bound_weight_min = 1.5;

static double
clamp(double value, double least, double most)
{
	return value < least ? least : value > most ? most : value;
}

/* Returns the share of weight that is left after some time. */
static double
left_after(int64_t elapsed_us, int64_t half_life_us)
{
	return elapsed_us <= 0
		   ? 1
		   : exp2(-(double)elapsed_us / (double)half_life_us);
}

/* Returns the band of a number of requests at a server. */
static uint32_t
band_of(uint32_t requests, uint32_t slots)
{
	uint64_t band = slots > 0 ? (uint64_t)requests * PACE_BANDS / slots : 0;

	return band < PACE_BANDS ? (uint32_t)band : PACE_BANDS - 1;
}

/* Adds a sample to the averages, after the older ones lost weight. */
static void
add_to_means(struct pace_means *means, uint32_t band, double sample,
    int64_t half_life_us, int64_t now_us)
{
	double left = left_after(now_us - means->updated_us, half_life_us);

	for (uint32_t i = 0; i < PACE_BANDS; i++)
		means->weight[i] = (float)(means->weight[i] * left);
	means->updated_us = now_us;
	means->weight[band] += 1;
	means->mean[band] +=
	    (float)((sample - means->mean[band]) / means->weight[band]);
}

/*
 * Returns the mean of a service in a band, or in the nearest one that has
 * samples, preferably with less load; 0 without any.
 */
static double
service_mean(const struct pace_means *means, uint32_t band)
{
	for (uint32_t i = band + 1; i-- > 0;) {
		if (means->weight[i] > 0)
			return means->mean[i];
	}
	for (uint32_t i = band + 1; i < PACE_BANDS; i++) {
		if (means->weight[i] > 0)
			return means->mean[i];
	}
	return 0;
}

/* Returns the share of a report that agrees with the times seen. */
static double
weighted_trust_of(const struct pace_trust *trust, double prior, double weight)
{
	return clamp(
	    (trust->covariance + weight * prior) / (trust->variance + weight),
	    0, 1);
}

static double
trust_of(const struct pace_trust *trust, double prior)
{
	return weighted_trust_of(trust, prior, trust_prior_weight);
}

static double
mean_deviation(const struct pace_service *service)
{
	return service->deviation > 0 ? service->deviation : unknown_deviation;
}

/*
 * Reduces a difference that rests on some samples by what chance explains.  A
 * large one is left nearly as it is.
 */
static double
without_chance(
    double difference, double weight, const struct pace_service *service)
{
	double chance = chance_errors * normal_ratio * mean_deviation(service) /
			sqrt(weight > weight_min ? weight : weight_min);

	if (fabs(difference) <= chance)
		return 0;
	return difference - chance * chance / difference;
}

/*
 * Derives a server's deviation from its service in each band.  Samples of other
 * bands count less, the farther they are.
 */
static void
derive_deviations(
    struct pace *pace, const struct pace_service *service, int64_t now_us)
{
	double left =
	    left_after(now_us - pace->means.updated_us, SERVER_HALF_LIFE_US);
	double difference[PACE_BANDS];

	for (uint32_t i = 0; i < PACE_BANDS; i++)
		difference[i] =
		    pace->means.mean[i] - service_mean(&service->means, i);
	for (uint32_t i = 0; i < PACE_BANDS; i++) {
		double sum = 0, sum_weight = 0;

		for (uint32_t k = 0; k < PACE_BANDS; k++) {
			double weight = pace->means.weight[k] * left *
					band_weights[k > i ? k - i : i - k];

			sum += weight * difference[k];
			sum_weight += weight;
		}
		pace->deviation[i] = (float)clamp(
		    without_chance(
			sum / (sum_weight + prior_weight), sum_weight, service),
		    -deviation_max, deviation_max);
	}
}

/*
 * Derives the number of requests from which a server would answer fewer a
 * second.  Times to a first event only show that by comparison with the
 * service, since they grow with the load anyway.
 */
static uint16_t
derive_takes_well(const struct pace *pace, const struct pace_service *service,
    uint32_t slots, int64_t now_us)
{
	double left =
	    left_after(now_us - pace->means.updated_us, SERVER_HALF_LIFE_US);

	for (uint32_t i = 1; i < PACE_BANDS; i++) {
		double rise = pace->deviation[i] - pace->deviation[i - 1];

		if (service->whole_answers)
			rise += without_chance(
			    service_mean(&service->means, i) -
				service_mean(&service->means, i - 1),
			    service->means.weight[i], service);
		if (pace->means.weight[i] * left >= bound_weight_min &&
		    rise > log((i + 1.0) / i))
			return (uint16_t)((slots * i + PACE_BANDS - 1) /
					  PACE_BANDS);
	}
	return TAKES_WELL_UNBOUNDED;
}

/* Updates the derived values if they are old. */
static void
derive(struct pace *pace, const struct pace_service *service, uint32_t slots,
    int64_t now_us)
{
	if (pace->derived_us != 0 &&
	    now_us - pace->derived_us < DERIVED_MAX_AGE_US)
		return;
	derive_deviations(pace, service, now_us);
	pace->takes_well = derive_takes_well(pace, service, slots, now_us);
	pace->trusted =
	    (float)trust_of(&pace->trust, trust_of(&service->trust, 1));
	pace->derived_us = now_us;
}

/* Returns the logarithm of the factor that a server would report now. */
static double
expected_report(const struct pace *pace, int64_t now_us)
{
	int64_t age_us = now_us - pace->reported_us;
	double change = pace->report - pace->report_mean;

	return pace->report_mean *
		   left_after(age_us, REPORT_MEAN_HALF_LIFE_US) +
	       change * left_after(age_us, REPORT_HALF_LIFE_US);
}

/* Stores the pace that a server reports; 100: as usual, more: slower. */
void
pace_report(struct pace *pace, uint32_t percent, int64_t now_us)
{
	double factor =
	    clamp(percent, REPORT_MIN_PERCENT, REPORT_MAX_PERCENT) / 100;

	pace->report = (float)log(factor);
	if (pace->reports < REPORTS_AVERAGED)
		pace->reports++;
	pace->report_mean +=
	    (pace->report - pace->report_mean) / (float)pace->reports;
	if (percent != pace->percent || pace->repeats == 0) {
		pace->percent = percent;
		pace->repeats = 0;
		pace->repeated_since_us = now_us;
	}
	pace->repeats++;
	pace->reported_us = now_us;
}

static bool
is_stuck(const struct pace *pace)
{
	return pace->repeats >= STUCK_REPORTS &&
	       pace->reported_us - pace->repeated_since_us >= STUCK_US;
}

/* Learns how far a report explains the difference from the other estimate. */
static void
add_to_trust(struct pace_trust *trust, double report, double difference)
{
	double left = 1 - deviation_weight;

	trust->covariance =
	    (float)(trust->covariance * left + report * difference);
	trust->variance = (float)(trust->variance * left + report * report);
}

/* Adds the time of an answer; call pace_report() with its report before. */
void
pace_add_sample(struct pace *pace, struct pace_service *service,
    const struct pace_sample *sample, int64_t now_us)
{
	uint32_t band = band_of(sample->requests, sample->slots);
	double time = log(clamp(sample->seen_ms, time_min_ms, time_max_ms) /
			  clamp(sample->nominal_ms, time_min_ms, time_max_ms));
	double report = expected_report(pace, now_us), change, estimate, off;
	bool known = service->means.weight[band] > 0;

	derive(pace, service, sample->slots, now_us);
	change = report - pace->report_mean;
	estimate = service_mean(&service->means, band) + pace->deviation[band];
	off = time - estimate - pace->trusted * report;
	if (known && pace->reports > 0) {
		double unexplained = off + pace->trusted * change;

		add_to_trust(&pace->trust, change, unexplained);
		add_to_trust(&service->trust, change, unexplained);
	}
	if (known)
		service->deviation =
		    service->deviation == 0
			? (float)fmin(fabs(off), unexpected_max)
			: (float)(service->deviation +
				  deviation_weight *
				      (fmin(fabs(off), unexpected_max) -
					  service->deviation));
	/* A single time that is far off says little about the others. */
	if (known)
		time = estimate + clamp(off, -unexpected_max, unexpected_max);
	else
		time -= pace->trusted * report;
	add_to_means(&service->means, band, time, SERVICE_HALF_LIFE_US, now_us);
	add_to_means(&pace->means, band, time, SERVER_HALF_LIFE_US, now_us);
	pace->derived_us = 0;
}

/*
 * Forgets what a restart may have changed.  Little evidence of the earlier life
 * is left, because the machine is often the same.
 */
void
pace_restart(struct pace *pace)
{
	for (uint32_t i = 0; i < PACE_BANDS; i++)
		pace->means.weight[i] =
		    (float)(pace->means.weight[i] * restart_share);
	pace->reports = 0;
	pace->repeats = 0;
	pace->report = pace->report_mean = 0;
	pace->trust = (struct pace_trust){0};
	pace->derived_us = 0;
}

/*
 * Returns the factor by which a server with so many requests is expected to
 * take longer than its service usually does under such load.
 */
double
pace_slowness(struct pace *pace, const struct pace_service *service,
    uint32_t requests, uint32_t slots, int64_t now_us)
{
	double slowness;

	derive(pace, service, slots, now_us);
	slowness = pace->deviation[band_of(requests, slots)];
	if (pace->reports > 0)
		slowness += pace->trusted * expected_report(pace, now_us);
	return slowness == 0
		   ? 1
		   : exp(clamp(slowness, -deviation_max, deviation_max));
}

/* Returns how many requests a server takes well, at most its slots. */
uint32_t
pace_takes_well(struct pace *pace, const struct pace_service *service,
    uint32_t slots, int64_t now_us)
{
	derive(pace, service, slots, now_us);
	return pace->takes_well < slots ? pace->takes_well : slots;
}

/*
 * Returns the usual ratio of the time of an answer to what its work should take
 * at a server of the service with so many requests; 1 if nothing is known.
 */
double
pace_usual_factor(
    const struct pace_service *service, uint32_t requests, uint32_t slots)
{
	return exp(service_mean(&service->means, band_of(requests, slots)));
}

/* Tells whether a service has enough samples for its usual times. */
bool
pace_is_known(const struct pace_service *service)
{
	return service->deviation > 0;
}

/* Returns the usual error of an estimate as a share of it. */
double
pace_error_share(const struct pace_service *service)
{
	return expm1(mean_deviation(service));
}

/*
 * Returns the factor that a server reported for its last answer, or usually
 * reports, as far as its reports, and those of its service, agree with the
 * times seen; 1 for reports that are stuck.
 */
double
pace_reported_factor(
    const struct pace *pace, const struct pace_service *service, bool usual)
{
	double report = usual ? pace->report_mean : pace->report;
	double trust = weighted_trust_of(
	    &pace->trust, trust_of(&service->trust, 1), evidence_prior_weight);

	return pace->reports > 0 && !is_stuck(pace) ? exp(trust * report) : 1;
}
