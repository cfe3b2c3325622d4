#include "route/answer_time.h"

/* Weights of the newest answer */
static const double mean_weight = 1.0 / 8;
static const double deviation_weight = 1.0 / 4;
/* Few answers take longer than the mean and as many deviations. */
static const double deviations = 2;

/* Adds the time from a request's arrival to the end of its answer. */
void
answer_time_add(struct answer_time *time, int64_t took_us)
{
	double off = (double)took_us - time->mean_us;

	if (time->mean_us == 0) {
		time->mean_us = (double)took_us;
		time->deviation_us = (double)took_us / 2;
		return;
	}
	time->mean_us += mean_weight * off;
	time->deviation_us +=
	    deviation_weight * ((off < 0 ? -off : off) - time->deviation_us);
}

/*
 * Tells whether most answers take no longer than left_us.  Without any answer
 * so far it is taken for granted.
 */
bool
answer_time_fits(const struct answer_time *time, int64_t left_us)
{
	return time->mean_us == 0 ||
	       time->mean_us + deviations * time->deviation_us <=
		   (double)left_us;
}
