#ifndef CF_ROUTE_PACE_H
#define CF_ROUTE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Estimates how long each server of a service takes, compared with the others,
 * and how many requests it takes well.  No I/O.
 *
 * A sample is the time that an answer took, relative to the time that its work
 * should take.  Samples are averaged as logarithms, in bands by the share of
 * the server's slots that was busy when the request was sent.  A server's
 * estimate is its service's mean in that band plus its own deviation, as far as
 * its samples show one beyond chance.  Samples lose weight with time, so a
 * server without new ones returns to the mean and is tried again.
 *
 * A server may report the pace of its machine.  The report explains a part of
 * each time, and this part is learned: a report that does not agree with the
 * times seen has no effect.  One that never changes is stuck and explains
 * nothing: the pace of a machine varies.
 *
 * A server takes requests well up to the band after which more of them would
 * get fewer answers a second out of it.
 */
enum {
	PACE_BANDS = 4 /* bands of load, each a quarter of the slots */
};

/* Averages of logarithms of times, by band of load. */
struct pace_means {
	float mean[PACE_BANDS];
	float weight[PACE_BANDS]; /* in samples, as of updated_us */
	int64_t updated_us;
};

/* How far reports agree with times seen. */
struct pace_trust {
	float covariance;
	float variance;
};

/* What is known of all servers of a service together. */
struct pace_service {
	struct pace_means means;
	struct pace_trust trust;
	float deviation; /* mean difference from the estimate; 0: unknown */
	/* A sample is the time of a whole answer, not to its first event */
	bool whole_answers;
};

/* What is known of one server. */
struct pace {
	struct pace_means means; /* without what reports explain */
	struct pace_trust trust;
	uint8_t reports; /* in report_mean; 0: none */
	float report; /* logarithm of the last reported factor */
	float report_mean;
	int64_t reported_us;
	uint32_t percent; /* last report as it was sent */
	uint32_t repeats; /* reports in a row with that figure */
	int64_t repeated_since_us;
	/* Derived from the above at derived_us, by band */
	int64_t derived_us; /* 0: not yet */
	float deviation[PACE_BANDS];
	float trusted; /* share of a report that counts, 0 to 1 */
	uint16_t takes_well;
};

struct pace_sample {
	double seen_ms;
	double nominal_ms; /* that the work should take; > 0 */
	uint32_t requests; /* at the server when the request was sent */
	uint32_t slots; /* of the server; 0: unknown */
};

void pace_report(struct pace *pace, uint32_t percent, int64_t now_us);
void pace_add_sample(struct pace *pace, struct pace_service *service,
    const struct pace_sample *sample, int64_t now_us);
void pace_restart(struct pace *pace);
double pace_slowness(struct pace *pace, const struct pace_service *service,
    uint32_t requests, uint32_t slots, int64_t now_us);
uint32_t pace_takes_well(struct pace *pace, const struct pace_service *service,
    uint32_t slots, int64_t now_us);
double pace_usual_factor(
    const struct pace_service *service, uint32_t requests, uint32_t slots);
bool pace_is_known(const struct pace_service *service);
double pace_error_share(const struct pace_service *service);
double pace_reported_factor(
    const struct pace *pace, const struct pace_service *service, bool usual);

#ifdef __cplusplus
}
#endif

#endif
