#ifndef CF_CRASH_MARKS_H
#define CF_CRASH_MARKS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Crash marks: fingerprints of requests that ran on a backend server when it
 * crashed.  One crash makes every request that ran there a suspect of being a
 * query of death.  A suspect never runs beside another suspect on a server, and
 * after its second crash it is refused.
 */
enum {
	MARKS_REFUSED = 2 /* crashes at which a request is refused */
};

struct marks;

struct marks *marks_new(const struct alloc *alloc, uint32_t capacity);
void marks_free(struct marks *marks);
uint8_t marks_get(
    const struct marks *marks, uint64_t fingerprint, int64_t now_us);
void marks_add(struct marks *marks, uint64_t fingerprint, int64_t now_us);
void marks_merge(
    struct marks *marks, uint64_t fingerprint, uint8_t crashes, int64_t now_us);
void marks_acquit(struct marks *marks, uint64_t fingerprint);

/* Returns each mark that the other instances have to be told of once. */
bool marks_next_news(
    struct marks *marks, uint64_t *fingerprint, uint8_t *crashes);

#ifdef __cplusplus
}
#endif

#endif
