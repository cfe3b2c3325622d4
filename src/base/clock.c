#include "base/clock.h"

#include <apr_time.h>
#include <time.h>

/*
 * Returns the monotonic time in microseconds.  The clock also advances while
 * the system is suspended, so that a lease held across a suspend is seen as
 * expired.
 */
int64_t
clock_monotonic_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/*
 * Returns the wall-clock time in microseconds since the Unix epoch, for
 * records that people read.
 */
int64_t
clock_wall_us(void)
{
	return apr_time_now();
}
