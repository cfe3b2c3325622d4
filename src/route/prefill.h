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
struct prefill_rate {
	double us_per_token; /* 0: no sample yet */
};

double prefill_work_ms(const struct prefill_rate *rate, uint32_t tokens);
void prefill_add_sample(
    struct prefill_rate *rate, uint32_t tokens, int64_t first_us);

#ifdef __cplusplus
}
#endif

#endif
