#ifndef CF_DELTA_H
#define CF_DELTA_H

#include "base/buf.h"
#include "config/section.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The binary encoding of sections.  It is used for the whole document that an
 * instance stores and for the deltas from one revision to the next.
 */
void delta_begin(struct buf *out);
void delta_add(struct buf *out, const char *path, const char *text, size_t len,
    bool removed);
int delta_read(const void *data, size_t len, struct section_list *list);
int delta_apply(void *ctx, const struct buf *document, const uint8_t *delta,
    size_t len, struct buf *out);

/*
 * Sets one key in a section's text.  In block style, comments on other lines
 * are preserved.
 */
int delta_set_key(
    const char *text, const char *key, const char *value, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
