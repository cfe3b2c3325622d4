#include "state/snapshot.h"

#include <fcntl.h>
#include <stdio.h>

#include "state/journal_format.h"
#include "state/journal_reader.h"

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

/*
 * Creates or replaces a file (a snapshot or a segment) atomically: writes it
 * under a temporary name, syncs it, renames it and syncs the folder.  Returns 0
 * or ERR_DISK.
 */
int
snapshot_write_file(struct jnl_files *files, const char *folder,
    const char *path, const void *data, size_t len)
{
	char temporary[JREADER_PATH_BYTES + 8];
	int fd, e;

	(void)snprintf(temporary, sizeof(temporary), "%s.tmp", path);
	fd = files->ops->open(files, temporary, O_RDWR | O_CREAT | O_TRUNC);
	if (fd < 0)
		return ERR_DISK;
	e = snapshot_write_all(files, fd, data, len, 0);
	if (e == 0 && files->ops->fsync(files, fd) != 0)
		e = ERR_DISK;
	if (files->ops->close(files, fd) != 0)
		e = ERR_DISK;
	if (e != 0)
		return e;
	if (files->ops->rename(files, temporary, path) != 0 ||
	    files->ops->syncdir(files, folder) != 0)
		return ERR_DISK;
	return 0;
}
