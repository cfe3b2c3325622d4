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
 * What a workspace may spend here: requests against its rate (a token bucket
 * over this instance's part of it), and retries and hedges against its
 * successes (its retry budget).
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
