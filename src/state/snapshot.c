#include "state/snapshot.h"

#include <fcntl.h>
#include <stdio.h>

#include "state/journal_format.h"
#include "state/journal_reader.h"

enum {
	TEMPORARY_PATH_BYTES = JREADER_PATH_BYTES + 8
};

/* Appends the content of a snapshot file that covers records up to seq. */
void
snapshot_encode(
    struct buf *out, uint64_t seq, const struct jnl_image *images, size_t count)
{
	uint8_t number[sizeof(uint64_t)];
	struct jformat_record record = {.synced_seq = seq};
	size_t i;

	jformat_encode_header(out, JFORMAT_SNAPSHOT, seq);
	for (i = 0; i < count; i++) {
		record.kind = images[i].kind;
		record.data = images[i].data;
		record.len = (uint32_t)images[i].len;
		jformat_encode_record(out, &record);
	}
	jformat_put64(number, count);
	record.kind = JFORMAT_KIND_END;
	record.data = number;
	record.len = sizeof(number);
	jformat_encode_record(out, &record);
}

/*
 * Checks a whole snapshot file.  Returns 0, ERR_VERSION, or ERR_CORRUPT with
 * the offset of the damage in *bad.
 */
int
snapshot_verify(const uint8_t *data, size_t len, uint64_t seq, size_t *bad)
{
	struct jformat_record record;
	uint64_t count = 0, covers;
	size_t n;
	int e;

	*bad = 0;
	e = jformat_decode_header(data, len, JFORMAT_SNAPSHOT, &covers);
	if (e != 0)
		return e;
	if (covers != seq)
		return ERR_CORRUPT;
	for (*bad = JFORMAT_HEADER_BYTES;; *bad += n) {
		n = jformat_decode_record(data + *bad, len - *bad, &record);
		if (n == 0 || record.synced_seq != seq)
			return ERR_CORRUPT;
		if (record.kind == JFORMAT_KIND_END)
			break;
		count++;
	}
	if (record.len != sizeof(count) || jformat_get64(record.data) != count)
		return ERR_CORRUPT;
	return *bad + n == len ? 0 : ERR_CORRUPT;
}

/*
 * Writes len bytes at an offset and continues after short writes.  Returns 0 or
 * ERR_DISK; a write of no bytes counts as a disk failure.
 */
int
snapshot_write_all(struct jnl_files *files, int fd, const void *data,
    size_t len, uint64_t offset)
{
	const uint8_t *from = data;
	ssize_t n;

	while (len > 0) {
		n = files->ops->pwrite(files, fd, from, len, (off_t)offset);
		if (n <= 0)
			return ERR_DISK;
		from += n;
		len -= (size_t)n;
		offset += (uint64_t)n;
	}
	return 0;
}

static void
make_temporary_path(char *temporary, const char *path)
{
	(void)snprintf(temporary, TEMPORARY_PATH_BYTES, "%s.tmp", path);
}

/*
 * Writes and syncs the content of a file under a temporary name.  Returns 0, or
 * ERR_DISK with the temporary file removed.
 */
int
snapshot_write_temporary(
    struct jnl_files *files, const char *path, const void *data, size_t len)
{
	char temporary[TEMPORARY_PATH_BYTES];
	int fd, e;

	make_temporary_path(temporary, path);
	fd = files->ops->open(files, temporary, O_RDWR | O_CREAT | O_TRUNC);
	if (fd < 0)
		return ERR_DISK;
	e = snapshot_write_all(files, fd, data, len, 0);
	if (e == 0 && files->ops->fsync(files, fd) != 0)
		e = ERR_DISK;
	if (files->ops->close(files, fd) != 0)
		e = ERR_DISK;
	if (e != 0)
		(void)files->ops->unlink(files, temporary);
	return e;
}

/*
 * Renames a temporary file into place and syncs the folder.  Returns 0 or
 * ERR_DISK.
 */
int
snapshot_install(struct jnl_files *files, const char *folder, const char *path)
{
	char temporary[TEMPORARY_PATH_BYTES];

	make_temporary_path(temporary, path);
	if (files->ops->rename(files, temporary, path) != 0 ||
	    files->ops->syncdir(files, folder) != 0)
		return ERR_DISK;
	return 0;
}

/*
 * Creates or replaces a file (a snapshot or a segment) atomically.  Returns 0
 * or ERR_DISK.
 */
int
snapshot_write_file(struct jnl_files *files, const char *folder,
    const char *path, const void *data, size_t len)
{
	int e = snapshot_write_temporary(files, path, data, len);

	return e != 0 ? e : snapshot_install(files, folder, path);
}
