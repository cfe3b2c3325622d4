#ifndef CF_DELTA_H
#define CF_DELTA_H

#include "base/buf.h"
#include "config/section.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Sections as bytes: the whole document that an instance keeps, and the deltas
 * that turn one revision of it into the next.
 */
void delta_begin(struct buf *out);
void delta_add(struct buf *out, const char *path, const char *text, size_t len,
    bool removed);
int delta_read(const void *data, size_t len, struct section_list *list);
int delta_apply(void *ctx, const struct buf *document, const uint8_t *delta,
    size_t len, struct buf *out);

/* A section's text with one key set; comments stay. */
int delta_set_key(
    const char *text, const char *key, const char *value, struct buf *out);

#ifdef __cplusplus
}
#endif

#endif
