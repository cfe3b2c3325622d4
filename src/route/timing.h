#ifndef CF_ROUTE_TIMING_H
#define CF_ROUTE_TIMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Tells whether the answers of a new version take longer than those of the old
 * version.
 *
 * Answer times are counted in a histogram with logarithmic buckets for each
 * load class of the server.  For every threshold on that scale, the share of
 * the new version's answers above the threshold is compared with the share that
 * the old version would have if all its answers took TIMING_MARGIN_BUCKETS
 * buckets longer.  Neither distribution has to be known in advance, servers
 * under high load are compared with their like, and a version that is slow for
 * only some of its answers is detected like one that is slower throughout.  No
 * I/O.
 */
enum {
	TIMING_LOAD_CLASSES = 6, /* classes of server load */
	TIMING_BUCKETS_PER_DOUBLING = 4, /* 19% per bucket */
	TIMING_BUCKETS = 14 * TIMING_BUCKETS_PER_DOUBLING, /* 1 ms to 16 s */
	TIMING_CELLS = TIMING_LOAD_CLASSES * TIMING_BUCKETS,
	TIMING_PACKED_MAX = 2 * TIMING_CELLS,
	/* Answers that take 1.68 times as long are tolerated */
	TIMING_MARGIN_BUCKETS = 3,
	TIMING_QUIET_CLASSES = 2 /* classes of servers with little load */
};

struct timing_histogram {
	uint16_t cells[TIMING_CELLS];
};

/* Required confidence of a comparison. */
enum timing_confidence {
	/* Beyond chance, even when the comparison is repeated many times */
	TIMING_CERTAIN,
	TIMING_LIKELY /* more likely than not */
};

uint32_t timing_slot_load_class(uint32_t requests, uint32_t slots);
uint32_t timing_prefill_load_class(double ms);
void timing_add(
    struct timing_histogram *histogram, uint32_t load_class, double ms);
uint32_t timing_pack(
    const struct timing_histogram *histogram, uint32_t out[TIMING_PACKED_MAX]);
bool timing_unpack(
    struct timing_histogram *histogram, const uint32_t *pairs, size_t count);
void timing_merge(
    struct timing_histogram *to, const struct timing_histogram *from);
uint32_t timing_count(const struct timing_histogram *histogram);
bool timing_is_slower(const struct timing_histogram *fresh,
    const struct timing_histogram *known, uint32_t load_classes,
    enum timing_confidence confidence);

#ifdef __cplusplus
}
#endif

#endif
