#ifndef CF_RNG_H
#define CF_RNG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum {
	RNG_POOL_BYTES = 512
};

/*
 * A seeded pseudorandom generator.  The same seed gives the same sequence on
 * every host of the same byte order.
 */
struct rng {
	uint64_t seed;
	uint64_t block; /* number of the next block of the sequence */
	uint32_t used; /* bytes of pool already returned */
	uint8_t pool[RNG_POOL_BYTES];
};

void rng_init(struct rng *rng, uint64_t seed);
uint64_t rng_u64(struct rng *rng);
uint32_t rng_below(struct rng *rng, uint32_t limit);
double rng_unit(struct rng *rng);
uint64_t rng_system_seed(void);

#ifdef __cplusplus
}
#endif

#endif
