#include "state/snapshot.h"

#include <fcntl.h>
#include <stdio.h>

#include "state/journal_format.h"
#include "state/journal_reader.h"

/* Appends the content of the snapshot file that covers records up to seq. */
void
sn_encode(
    struct buf *out, uint64_t seq, const struct jnl_image *images, size_t count)
{
	uint8_t number[sizeof(uint64_t)];
	struct jf_record record = {.durable = seq};
	size_t i;

	jf_header_put(out, JF_SNAPSHOT, seq);
	for (i = 0; i < count; i++) {
		record.kind = images[i].kind;
		record.data = images[i].data;
		record.len = (uint32_t)images[i].len;
		jf_record_put(out, &record);
	}
	jf_put64(number, count);
	record.kind = JF_KIND_END;
	record.data = number;
	record.len = sizeof(number);
	jf_record_put(out, &record);
}

/*
 * Checks a snapshot file as a whole.  Returns 0, ERR_VERSION, or ERR_CORRUPT
 * with the offset of what is damaged.
 */
int
sn_verify(const uint8_t *data, size_t len, uint64_t seq, size_t *bad)
{
	struct jf_record record;
	uint64_t count = 0, covers;
	size_t n;
	int e;

	*bad = 0;
	e = jf_header_get(data, len, JF_SNAPSHOT, &covers);
	if (e != 0)
		return e;
	if (covers != seq)
		return ERR_CORRUPT;
	for (*bad = JF_HEADER_BYTES;; *bad += n) {
		n = jf_record_get(data + *bad, len - *bad, &record);
		if (n == 0 || record.durable != seq)
			return ERR_CORRUPT;
		if (record.kind == JF_KIND_END)
			break;
		count++;
	}
	if (record.len != sizeof(count) || jf_get64(record.data) != count)
		return ERR_CORRUPT;
	return *bad + n == len ? 0 : ERR_CORRUPT;
}

/*
 * Writes len bytes at an offset, across short writes.  Returns 0 or ERR_DISK:
 * a disk that takes no more bytes is as lost as one that fails.
 */
int
sn_write_all(struct jnl_files *files, int fd, const void *data, size_t len,
    uint64_t offset)
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
 * Makes a file appear whole or not at all: written under a temporary name,
 * synced, renamed, and the folder synced.  Returns 0 or ERR_DISK.
 */
int
sn_write_file(struct jnl_files *files, const char *folder, const char *path,
    const void *data, size_t len)
{
	char temporary[JR_PATH_BYTES + 8];
	int fd, e;

	(void)snprintf(temporary, sizeof(temporary), "%s.tmp", path);
	fd = files->ops->open(files, temporary, O_RDWR | O_CREAT | O_TRUNC);
	if (fd < 0)
		return ERR_DISK;
	e = sn_write_all(files, fd, data, len, 0);
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
