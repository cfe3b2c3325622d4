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
 * versions of a document of many small records.  The second text is encoded as
 * pieces to copy from the first and pieces of new bytes.
 */
void diff_encode(const struct buf *from, const struct buf *to, struct buf *out);
/*
 * Appends the second text to out.  Has the type cfgsync_apply_fn; ctx isn't
 * used.  Returns 0, or ERR_CORRUPT if the difference doesn't fit the first
 * text.
 */
int diff_apply(void *ctx, const struct buf *from, const uint8_t *diff,
    size_t len, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
