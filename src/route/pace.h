#ifndef CF_ROUTE_PREFILL_H
#define CF_ROUTE_PREFILL_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * How long a service's model takes to read a prompt, learned from the time to
 * the first event of requests that found their server without a backlog.
 * Faster samples count at once, slower ones little by little, as a server that
 * was thought idle may have had work that is not known here.
 */
struct pc {
	double us_per_token; /* 0: nothing is known yet */
};

double pc_work_ms(const struct pc *pc, uint32_t tokens);
void pc_sample(struct pc *pc, uint32_t tokens, int64_t first_us);

#ifdef __cplusplus
}
#endif

#endif
