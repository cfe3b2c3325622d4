#ifndef CF_DIFF_H
#define CF_DIFF_H

#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Differences between two texts that are mostly the same, such as successive
 * documents of many small records.  The second text is told as pieces to copy
 * from the first and pieces that are new.
 */
void diff_encode(const struct buf *from, const struct buf *to, struct buf *out);
/* Fits cfgsync_apply_fn; ERR_CORRUPT if the difference is not one to this text.
 */
int diff_apply(void *ctx, const struct buf *from, const uint8_t *diff,
    size_t len, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
