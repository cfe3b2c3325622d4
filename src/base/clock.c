#include "base/clock.h"

#include <apr_time.h>
#include <time.h>

/*
 * Returns microseconds that grow while the machine is suspended too, so that
 * a lease held by a process that slept is seen as over.
 */
int64_t
clock_monotonic_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns microseconds since 1970, for records that people read. */
int64_t
clock_wall_us(void)
{
	return apr_time_now();
}
