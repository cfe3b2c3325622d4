#ifndef CF_CLOCK_H
#define CF_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Monotonic time in microseconds; also advances while suspended. */
int64_t clock_monotonic_us(void);

/* Microseconds since the Unix epoch, for records that people read. */
int64_t clock_wall_us(void);

#ifdef __cplusplus
}
#endif

#endif
