#ifndef CF_LIMIT_H
#define CF_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Limits of each workspace on this instance: a rate limit, a token bucket with
 * this instance's share of the workspace's rate, and a retry budget, which
 * limits retries and hedges in proportion to successes.
 */
struct limit;

struct limit *limit_new(const struct alloc *alloc);
void limit_free(struct limit *limit);
void limit_configure(
    struct limit *limit, const struct cfg *cfg, uint16_t instances);
bool limit_admit(struct limit *limit, uint16_t workspace, int64_t now_us,
    uint32_t *retry_after_ms);
void limit_record_success(struct limit *limit, uint16_t workspace);
bool limit_take_retry(struct limit *limit, uint16_t workspace);

#ifdef __cplusplus
}
#endif

#endif
