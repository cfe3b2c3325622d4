#ifndef CF_ROUTE_TIMING_H
#define CF_ROUTE_TIMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Whether the answers of a new version take longer than those of the old one.
 *
 * Times are counted on a logarithmic scale, by how much the server had to do
 * then, and compared with each other: at every time on the scale,
 * the part of the new version's answers that took longer with the part of the
 * old one's that would if all of them took TIMING_MARGIN_BUCKETS longer.  So
 * neither has to be known in advance, servers that have much to do are compared
 * with their like, and a version that is slow for some of its answers only is
 * seen like one that is slower throughout.  No I/O.
 */
enum {
	TI_LOADS = 6, /* classes of how much a server has to do */
	TIMING_BUCKETS_PER_DOUBLING = 4, /* of a doubling: 19% each */
	TIMING_BUCKETS = 14 * TIMING_BUCKETS_PER_DOUBLING, /* 1 ms to 16 s */
	TIMING_CELLS = TI_LOADS * TIMING_BUCKETS,
	TI_PACKED_MAX = 2 * TIMING_CELLS,
	TIMING_MARGIN_BUCKETS = 3, /* 1.68 times as long is borne */
	TI_QUIET_LOADS = 2 /* classes of servers that have little to do */
};

struct timing_histogram {
	uint16_t cells[TIMING_CELLS];
};

/* How sure the comparison has to be. */
enum timing_confidence {
	TIMING_CERTAIN, /* beyond chance, though it is made again and again */
	TIMING_LIKELY /* more likely than not */
};

uint32_t ti_load_of(uint32_t requests, uint32_t slots);
uint32_t ti_reading(double ms);
void ti_add(
    struct timing_histogram *timing_histogram, uint32_t load, double ms);
uint32_t ti_pack(const struct timing_histogram *timing_histogram,
    uint32_t out[TI_PACKED_MAX]);
bool ti_unpack(struct timing_histogram *timing_histogram, const uint32_t *pairs,
    size_t count);
void timing_merge(
    struct timing_histogram *to, const struct timing_histogram *from);
uint32_t timing_count(const struct timing_histogram *timing_histogram);
bool timing_is_slower(const struct timing_histogram *fresh,
    const struct timing_histogram *known, uint32_t loads,
    enum timing_confidence doubt);

#ifdef __cplusplus
}
#endif

#endif
