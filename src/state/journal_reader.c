#include "state/journal_reader.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "state/journal_format.h"
#include "state/snapshot.h"

enum {
	READ_STEP_BYTES = 1 << 16
};

/* Formats the path of the segment that starts at first_seq. */
void
jreader_segment_path(char *path, const char *folder, uint64_t first_seq)
{
	(void)snprintf(path, JREADER_PATH_BYTES,
	    "%s/journal-%016" PRIx64 ".log", folder, first_seq);
}

/* Formats the path of the snapshot that covers records up to seq. */
void
jreader_snapshot_path(char *path, const char *folder, uint64_t seq)
{
	(void)snprintf(path, JREADER_PATH_BYTES,
	    "%s/snapshot-%016" PRIx64 ".img", folder, seq);
}

static int
set_error(struct jreader *jreader, int error, size_t offset, const char *what)
{
	buf_clear(&jreader->why);
	buf_addf(
	    &jreader->why, "%s: offset %zu: %s", jreader->path, offset, what);
	return error;
}

static int
load_file(struct jreader *jreader)
{
	ssize_t n;
	int fd;

	buf_clear(&jreader->file);
	fd = open(jreader->path, O_RDONLY | O_CLOEXEC);
	if (fd < 0)
		return set_error(jreader, ERR_DISK, 0, strerror(errno));
	do {
		buf_reserve(&jreader->file, READ_STEP_BYTES);
		n = read(fd, jreader->file.data + jreader->file.len,
		    READ_STEP_BYTES);
		if (n > 0)
			jreader->file.len += (size_t)n;
	} while (n > 0 || (n < 0 && errno == EINTR));
	(void)close(fd);
	if (n < 0)
		return set_error(
		    jreader, ERR_DISK, jreader->file.len, strerror(errno));
	jreader->read_bytes += jreader->file.len;
	return 0;
}

static bool
parse_name(
    const char *name, const char *before, const char *after, uint64_t *seq)
{
	size_t n = strlen(before);
	char *end;

	if (strncmp(name, before, n) != 0)
		return false;
	*seq = strtoull(name + n, &end, 16);
	return end == name + n + 16 && strcmp(end, after) == 0;
}

static void
add_segment(struct jreader *jreader, uint64_t first_seq)
{
	jreader->segments = alloc_resize(jreader->alloc, jreader->segments,
	    (jreader->segment_count + 1) * sizeof(*jreader->segments));
	jreader->segments[jreader->segment_count].first_seq = first_seq;
	jreader->segments[jreader->segment_count].stale = false;
	jreader->segment_count++;
}

static void
add_old_snapshot(struct jreader *jreader, uint64_t seq)
{
	jreader->old_snapshots =
	    alloc_resize(jreader->alloc, jreader->old_snapshots,
		(jreader->old_snapshot_count + 1) *
		    sizeof(*jreader->old_snapshots));
	jreader->old_snapshots[jreader->old_snapshot_count++] = seq;
}

static void
add_snapshot(struct jreader *jreader, uint64_t seq)
{
	if (!jreader->has_snapshot) {
		jreader->has_snapshot = true;
		jreader->snapshot_seq = seq;
	} else if (seq > jreader->snapshot_seq) {
		add_old_snapshot(jreader, jreader->snapshot_seq);
		jreader->snapshot_seq = seq;
	} else {
		add_old_snapshot(jreader, seq);
	}
}

static int
segment_order(const void *a, const void *b)
{
	const struct jreader_segment *x = a, *y = b;

	return (x->first_seq > y->first_seq) - (x->first_seq < y->first_seq);
}

static int
list_folder(struct jreader *jreader)
{
	struct dirent *entry;
	uint64_t seq;
	DIR *dir;

	dir = opendir(jreader->folder);
	if (dir == NULL)
		return set_error(jreader, ERR_DISK, 0, strerror(errno));
	while ((entry = readdir(dir)) != NULL) {
		if (parse_name(entry->d_name, "journal-", ".log", &seq))
			add_segment(jreader, seq);
		else if (parse_name(entry->d_name, "snapshot-", ".img", &seq))
			add_snapshot(jreader, seq);
	}
	(void)closedir(dir);
	if (jreader->segment_count > 1)
		qsort(jreader->segments, jreader->segment_count,
		    sizeof(*jreader->segments), segment_order);
	return 0;
}

/*
 * Finds the first segment to replay.  The segment after a snapshot is created
 * before the snapshot is renamed into place, so if it is missing, a file has
 * been lost: ERR_CORRUPT.
 */
static int
find_first_segment(struct jreader *jreader)
{
	size_t i;

	jreader->next_seq =
	    jreader->has_snapshot ? jreader->snapshot_seq + 1 : 1;
	for (i = 0; i < jreader->segment_count; i++) {
		if (jreader->segments[i].first_seq >= jreader->next_seq)
			break;
		jreader->segments[i].stale = true;
	}
	jreader->current = i;
	if (i < jreader->segment_count &&
	    jreader->segments[i].first_seq == jreader->next_seq)
		return 0;
	if (jreader->segment_count == 0 && !jreader->has_snapshot)
		return 0;
	jreader_segment_path(jreader->path, jreader->folder, jreader->next_seq);
	return set_error(jreader, ERR_CORRUPT, 0, "the segment is missing");
}

/*
 * Lists a data folder and checks its whole snapshot.  Returns 0, or ERR_DISK,
 * ERR_CORRUPT or ERR_VERSION with the reason in jr->why.  The caller must call
 * jreader_close() in either case.
 */
int
jreader_open(
    struct jreader *jreader, const struct alloc *alloc, const char *folder)
{
	size_t bad;
	int e;

	memset(jreader, 0, sizeof(*jreader));
	jreader->alloc = alloc;
	jreader->folder = folder;
	buf_init(&jreader->file, alloc);
	buf_init(&jreader->why, alloc);
	(void)snprintf(jreader->path, sizeof(jreader->path), "%s", folder);
	e = list_folder(jreader);
	if (e == 0)
		e = find_first_segment(jreader);
	if (e != 0 || !jreader->has_snapshot)
		return e;
	jreader_snapshot_path(jreader->path, folder, jreader->snapshot_seq);
	e = load_file(jreader);
	if (e != 0)
		return e;
	e = snapshot_verify(
	    jreader->file.data, jreader->file.len, jreader->snapshot_seq, &bad);
	if (e != 0)
		return set_error(jreader, e, bad,
		    e == ERR_VERSION ? "unknown format version"
				     : "the checksum does not match");
	jreader->snapshot_bytes = jreader->file.len;
	jreader->in_snapshot = true;
	jreader->open = true;
	jreader->offset = JFORMAT_HEADER_BYTES;
	return 0;
}

static bool
is_last_segment(const struct jreader *jreader)
{
	return jreader->current + 1 == jreader->segment_count;
}

/*
 * Loads the current segment.  An incomplete header in the last segment is a
 * torn tail.
 */
static int
open_segment(struct jreader *jreader)
{
	uint64_t first;
	int e;

	jreader_segment_path(jreader->path, jreader->folder,
	    jreader->segments[jreader->current].first_seq);
	e = load_file(jreader);
	if (e != 0)
		return e;
	e = jformat_decode_header(
	    jreader->file.data, jreader->file.len, JFORMAT_SEGMENT, &first);
	if (e == ERR_VERSION)
		return set_error(jreader, e, 0, "unknown format version");
	jreader->open = true;
	jreader->offset = JFORMAT_HEADER_BYTES;
	if (e == 0 && first == jreader->segments[jreader->current].first_seq)
		return 0;
	if (e == 0 || !is_last_segment(jreader) ||
	    jformat_was_durable(jreader->file.data, jreader->file.len, 0))
		return set_error(
		    jreader, ERR_CORRUPT, 0, "the header is damaged");
	jreader->torn_bytes = jreader->file.len;
	jreader->file.len = 0;
	jreader->offset = 0;
	return 0;
}

/*
 * Handles bytes that are not a valid record: the end of the segment, a torn
 * tail or damage.  Returns 1 to go on with the next segment, 0 at the end of
 * the journal, or ERR_CORRUPT.
 */
static int
end_segment(struct jreader *jreader)
{
	const uint8_t *rest = jreader->file.data + jreader->offset;
	size_t len = jreader->file.len - jreader->offset;

	if (!is_last_segment(jreader)) {
		if (jreader->next_seq !=
		    jreader->segments[jreader->current + 1].first_seq)
			return set_error(jreader, ERR_CORRUPT, jreader->offset,
			    "the checksum does not match");
		jreader->current++;
		jreader->open = false;
		return 1;
	}
	if (len > 0) {
		if (jformat_was_durable(rest, len, jreader->next_seq))
			return set_error(jreader, ERR_CORRUPT, jreader->offset,
			    "the checksum does not match");
		jreader->torn_bytes = len;
		jreader->file.len = jreader->offset;
	}
	return 0;
}

static int
next_in_segment(struct jreader *jreader, struct jnl_record *record)
{
	struct jformat_record raw;
	size_t n;
	int e;

	for (;;) {
		if (!jreader->open && (e = open_segment(jreader)) != 0)
			return e;
		n = jformat_decode_record(jreader->file.data + jreader->offset,
		    jreader->file.len - jreader->offset, &raw);
		if (n == 0) {
			e = end_segment(jreader);
			if (e <= 0)
				return e;
			continue;
		}
		jreader->record_offset = jreader->offset;
		if (raw.kind != JFORMAT_KIND_MARK &&
		    raw.seq != jreader->next_seq)
			return set_error(jreader, ERR_CORRUPT, jreader->offset,
			    "a record is missing");
		jreader->offset += n;
		if (raw.kind == JFORMAT_KIND_MARK)
			continue;
		jreader->next_seq++;
		record->seq = raw.seq;
		record->kind = raw.kind;
		record->data = raw.data;
		record->len = raw.len;
		return 1;
	}
}

/*
 * Reads the next record.  Returns 1, 0 at the end, or ERR_CORRUPT, ERR_DISK or
 * ERR_VERSION with the file and offset in jr->why.
 */
int
jreader_next(struct jreader *jreader, struct jnl_record *record)
{
	struct jformat_record raw;

	if (jreader->in_snapshot) {
		jreader->record_offset = jreader->offset;
		jreader->offset +=
		    jformat_decode_record(jreader->file.data + jreader->offset,
			jreader->file.len - jreader->offset, &raw);
		if (raw.kind != JFORMAT_KIND_END) {
			record->seq = 0;
			record->kind = raw.kind;
			record->data = raw.data;
			record->len = raw.len;
			return 1;
		}
		jreader->in_snapshot = false;
		jreader->open = false;
	}
	if (jreader->segment_count == 0)
		return 0;
	return next_in_segment(jreader, record);
}

/* Releases the reader's memory. */
void
jreader_close(struct jreader *jreader)
{
	buf_free(&jreader->file);
	buf_free(&jreader->why);
	alloc_free(jreader->alloc, jreader->segments);
	alloc_free(jreader->alloc, jreader->old_snapshots);
	jreader->segments = NULL;
	jreader->old_snapshots = NULL;
}
