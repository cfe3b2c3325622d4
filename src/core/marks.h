#ifndef CF_MARKS_H
#define CF_MARKS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/alloc.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Fingerprints of requests under which a backend server crashed.  One crash
 * makes every request that ran there a suspect; a suspect runs beside no other
 * suspect, and at its second crash it is refused from then on.
 */
enum {
	MARKS_REFUSED = 2 /* crashes from which on a request is refused */
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

/* Takes the next mark that other instances have to be told of. */
bool marks_next_news(
    struct marks *marks, uint64_t *fingerprint, uint8_t *crashes);

#ifdef __cplusplus
}
#endif

#endif
