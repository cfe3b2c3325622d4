#ifndef CF_CLOCK_H
#define CF_CLOCK_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

int64_t clock_monotonic_us(void);
int64_t clock_wall_us(void);

#ifdef __cplusplus
}
#endif

#endif
