#ifndef CF_SNAPSHOT_H
#define CF_SNAPSHOT_H

/*
 * Snapshot files: the images of all state modules in one file that replaces
 * every journal record up to a sequence number.
 */

#include "state/journal.h"

#ifdef __cplusplus
extern "C" {
#endif

void snapshot_encode(struct buf *out, uint64_t seq,
    const struct jnl_image *images, size_t count);
int snapshot_verify(const uint8_t *data, size_t len, uint64_t seq, size_t *bad);
int snapshot_write_temporary(
    struct jnl_files *files, const char *path, const void *data, size_t len);
int snapshot_install(
    struct jnl_files *files, const char *folder, const char *path);
int snapshot_write_file(struct jnl_files *files, const char *folder,
    const char *path, const void *data, size_t len);
int snapshot_write_all(struct jnl_files *files, int fd, const void *data,
    size_t len, uint64_t offset);

#ifdef __cplusplus
}
#endif

#endif
