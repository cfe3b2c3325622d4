#ifndef CF_ROUTE_PREFILL_H
#define CF_ROUTE_PREFILL_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Estimates how long a service's model takes to process a prompt (prefill).
 * The estimate is learned from the time to the first event of requests whose
 * server had no backlog.  Faster samples get a high weight and slower ones a
 * low weight, because a server that seemed idle may have had work not known
 * here.
 */
struct pc {
	double us_per_token; /* 0: no sample yet */
};

double pc_work_ms(const struct pc *rate, uint32_t tokens);
void pc_sample(struct pc *rate, uint32_t tokens, int64_t first_us);

#ifdef __cplusplus
}
#endif

#endif
