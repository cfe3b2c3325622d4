#include "base/rng.h"

#include <sodium.h>
#include <string.h>

/* Initializes the generator with a seed. */
void
rng_init(struct rng *rng, uint64_t seed)
{
	memset(rng, 0, sizeof(*rng));
	rng->seed = seed;
	rng->used = RNG_POOL_BYTES;
}

/* Derives the next block of random bytes from the seed and block number. */
static void
rng_refill(struct rng *rng)
{
	uint8_t key[randombytes_SEEDBYTES] = {0};

	memcpy(key, &rng->seed, sizeof(rng->seed));
	memcpy(key + sizeof(rng->seed), &rng->block, sizeof(rng->block));
	randombytes_buf_deterministic(rng->pool, sizeof(rng->pool), key);
	rng->block++;
	rng->used = 0;
}

/* Returns a uniformly distributed 64-bit number. */
uint64_t
rng_u64(struct rng *rng)
{
	uint64_t v;

	if (rng->used + sizeof(v) > RNG_POOL_BYTES)
		rng_refill(rng);
	memcpy(&v, rng->pool + rng->used, sizeof(v));
	rng->used += sizeof(v);
	return v;
}

/* Returns a number in [0, limit); limit must not be 0. */
uint32_t
rng_below(struct rng *rng, uint32_t limit)
{
	return (uint32_t)(((rng_u64(rng) >> 32) * (uint64_t)limit) >> 32);
}

/* Returns a number in [0, 1). */
double
rng_unit(struct rng *rng)
{
	return (double)(rng_u64(rng) >> 11) * 0x1.0p-53;
}

/* Returns a seed from the system's random source, for production use. */
uint64_t
rng_system_seed(void)
{
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	return seed;
}
