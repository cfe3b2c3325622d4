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
	CRASH_MARKS_REFUSED = 2 /* crashes at which a request is refused */
};

struct crash_marks;

struct crash_marks *crash_marks_new(
    const struct alloc *alloc, uint32_t capacity);
void crash_marks_free(struct crash_marks *marks);
uint8_t crash_marks_count(
    const struct crash_marks *marks, uint64_t fingerprint, int64_t now_us);
void crash_marks_add(
    struct crash_marks *marks, uint64_t fingerprint, int64_t now_us);
void crash_marks_merge(struct crash_marks *marks, uint64_t fingerprint,
    uint8_t crashes, int64_t now_us);
void crash_marks_clear_suspect(struct crash_marks *marks, uint64_t fingerprint);

/* Returns each mark that the other instances have to be told of once. */
bool crash_marks_next_unsent(
    struct crash_marks *marks, uint64_t *fingerprint, uint8_t *crashes);

#ifdef __cplusplus
}
#endif

#endif
