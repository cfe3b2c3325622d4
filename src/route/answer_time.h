#ifndef CF_ROUTE_ANSWER_TIME_H
#define CF_ROUTE_ANSWER_TIME_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Estimates how long a service's whole answers take, as smoothed mean and mean
 * deviation.  An instance that shuts down takes no request that would probably
 * not be answered before its end.
 */
struct answer_time {
	double mean_us; /* 0: no answer yet */
	double deviation_us;
};

void answer_time_add(struct answer_time *time, int64_t took_us);
bool answer_time_fits(const struct answer_time *time, int64_t left_us);

#ifdef __cplusplus
}
#endif

#endif
