#ifndef CF_ROLLOUT_H
#define CF_ROLLOUT_H

#include <stdint.h>

#include "base/alloc.h"
#include "celeryford.h"
#include "core/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Watches every version for a turn to the worse, and caps the answers of a
 * version in roll-out that are not rated yet.
 */
struct ro;

struct ro *ro_new(const struct alloc *alloc);
void ro_free(struct ro *ro);
void ro_configure(struct ro *ro, const struct cfg *cfg);

/* Mask of versions that may take one more request of this draw [0, 1000). */
uint64_t ro_open(const struct ro *ro, uint16_t draw_permille);
void ro_served(struct ro *ro, uint16_t version, int64_t now_us);
void ro_outcome(struct ro *ro, uint16_t version, bool good, int64_t now_us);
void ro_rated(struct ro *ro, uint16_t version, bool passed, int64_t now_us);
void ro_latency(
    struct ro *ro, uint16_t version, uint32_t first_token_us, int64_t now_us);

/* Whether the sequential test has stopped a version; true until configured. */
bool ro_stopped(const struct ro *ro, uint16_t version);
uint64_t ro_exposure(const struct ro *ro, uint16_t version);

#ifdef __cplusplus
}
#endif

#endif
